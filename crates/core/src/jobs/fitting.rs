//! Makes records fit what the state service takes: what is detail goes first, and assignments never.

use super::*;
use oatloom_ledger::constants::TIGHT_ROWS;
use oatloom_protocol::wire::FailureCause;
use serde_json::Value;

/// What records may take, and their form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLimits {
    pub form: RecordForm,
    /// Bytes that values are made to fit: the smaller of the present limit and the one to come.
    pub value: usize,
    /// Bytes that no value may exceed: the present limit, until it is known to have fallen.
    pub most: usize,
}

impl Default for RecordLimits {
    fn default() -> Self {
        Self { form: RecordForm::Rows, value: VALUE_BYTES, most: VALUE_BYTES }
    }
}

impl RecordLimits {
    /// Bytes that an assignment record is made to fit. As rows it cannot fit a limit to come, which comes only after all
    /// controllers write the other form.
    fn chunk(&self) -> usize {
        match self.form {
            RecordForm::Rows => self.most,
            RecordForm::Packed => self.value,
        }
    }
}

/// Length of a value as it is sent.
fn size(value: &Value) -> usize {
    value.to_string().len()
}

/// What an assignment record may lose, in this order; the sums and counts stay the same.
const CHUNK_STEPS: [fn(&mut ChunkRecord); 4] = [
    |_| {},
    |record| record.usage.shrink(TIGHT_ROWS),
    |record| record.usage.join_days(),
    |record| record.charges.forget_hosts(),
];

/// The same for a final state.
const OVER_STEPS: [fn(&mut OverRecord); 6] = [
    |_| {},
    |record| shrink_spent(record, FINAL_ROWS),
    |record| shrink_spent(record, TIGHT_ROWS),
    |record| name_causes(record, CAUSES_FEW),
    |record| join_spent_days(record),
    |record| name_causes(record, 0),
];

fn shrink_spent(record: &mut OverRecord, rows: usize) {
    if let Some(spent) = record.spent.as_mut() {
        Arc::make_mut(spent).days.shrink(rows);
    }
}

fn join_spent_days(record: &mut OverRecord) {
    if let Some(spent) = record.spent.as_mut() {
        Arc::make_mut(spent).days.join_days();
    }
}

/// Names the first causes of a failure, and joins the rest.
fn name_causes(record: &mut OverRecord, most: usize) {
    let Some(failure) = record.failure.as_mut().filter(|f| f.causes.len() > most + 1) else {
        return;
    };
    let causes = &mut Arc::make_mut(failure).causes;
    let rest = causes.split_off(most);
    let Some(first) = rest.first() else { return };
    let count = rest.iter().fold(0u32, |sum, cause| sum.saturating_add(cause.count));
    causes.push(FailureCause { host: None, cause: first.cause, count });
}

/// The chunk's record in the form and size that the limits ask for; `None`: not even its least form fits.
fn fitted_chunk(mut record: ChunkRecord, first: u32, limits: &RecordLimits) -> Option<Value> {
    let mut last = None;
    for step in CHUNK_STEPS {
        step(&mut record);
        let value = record.value(limits.form, first);
        if size(&value) <= limits.chunk() {
            return Some(value);
        }
        last = Some(value);
    }
    last.filter(|value| size(value) <= limits.most)
}

impl Book {
    pub(super) fn chunk_value(&self, job: &Job, chunk: u32) -> Option<Value> {
        fitted_chunk(job.record(chunk), chunk * CHUNK_TASKS, &self.limits)
    }

    /// A job's final state, in the size that the limits ask for. The same whenever it is asked for.
    pub(super) fn over_record(
        &self,
        job: &Job,
        status: JobStatus,
        spent: Option<Arc<oatloom_ledger::rollup::Spent>>,
    ) -> OverRecord {
        let mut record = job.over_record(status, spent);
        for step in OVER_STEPS {
            step(&mut record);
            if serde_json::to_string(&record).is_ok_and(|text| text.len() <= self.limits.value) {
                break;
            }
        }
        record
    }

    /// Whether a value is within what the service takes at present.
    pub(super) fn fits(&self, value: &Value) -> bool {
        size(value) <= self.limits.most
    }

    /// Whether the record of a task's chunk can take one more assignment. Guards against a record that could not be written
    /// any more: its tasks would never start, and what has ended of them would never be known.
    pub(super) fn has_room(&mut self, id: &JobId, index: u32, hold: &Hold) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let chunk = index / CHUNK_TASKS;
        let limit = self.limits.chunk().saturating_sub(USAGE_RESERVE_BYTES);
        let range = job.chunk_range(chunk);
        let at_most = |hold: &Hold| {
            2 * (hold.host.as_str().len() + hold.zone.as_str().len()) + ASSIGNMENT_BYTES_MOST
        };
        let known: usize = range.clone().filter_map(|task| job.hold(task)).map(at_most).sum();
        if !self.limited && known + at_most(hold) + CHUNK_HEAD_BYTES <= limit {
            return true;
        }
        let mut record = job.record(chunk);
        record.usage = Default::default();
        record.charges.forget_hosts();
        let (host, zone) = (hold.host.clone(), hold.zone.clone());
        record.held.push((index, hold.attempt, host, hold.shift, zone));
        let fits = size(&record.value(self.limits.form, chunk * CHUNK_TASKS)) <= limit;
        if !fits && !self.said_full {
            self.said_full = true;
            let held = record.held.len() - 1;
            log::warn!(
                "job {id}: no more than {held} of {} tasks with one record can be held at once, since names of \
                 machines are long and values may have {limit} bytes; said once",
                range.len()
            );
        }
        fits
    }
}

#[cfg(test)]
mod tests;

//! Reduces records to the value limit of the state service: details are dropped first, assignments never.

use super::*;
use oatloom_ledger::constants::REDUCED_DAY_ROWS;
use oatloom_protocol::wire::FailureCause;
use serde_json::Value;

/// Size limits and form of stored records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLimits {
    pub form: RecordForm,
    /// Target size of values in bytes: the smaller of the current limit and the announced one.
    pub target_bytes: usize,
    /// Maximum size of values in bytes: the current limit, until it is known to have been lowered.
    pub max_bytes: usize,
}

impl Default for RecordLimits {
    fn default() -> Self {
        Self {
            form: RecordForm::Rows,
            target_bytes: DEFAULT_MAX_VALUE_BYTES,
            max_bytes: DEFAULT_MAX_VALUE_BYTES,
        }
    }
}

impl RecordLimits {
    /// Target size of an assignment record in bytes. As rows it cannot fit an announced lower limit, which takes effect
    /// only after all controllers write the packed form.
    fn chunk(&self) -> usize {
        match self.form {
            RecordForm::Rows => self.max_bytes,
            RecordForm::Packed => self.target_bytes,
        }
    }
}

/// Length of a value as it is sent, in bytes.
fn size(value: &Value) -> usize {
    value.to_string().len()
}

/// Reductions of an assignment record, applied in this order until it fits; sums and counts stay the same.
const CHUNK_REDUCTIONS: [fn(&mut ChunkRecord); 4] = [
    |_| {},
    |record| record.usage.merge_rows(REDUCED_DAY_ROWS),
    |record| record.usage.merge_days(),
    |record| record.charges.merge_hosts(),
];

/// The same for a final record.
const FINAL_RECORD_REDUCTIONS: [fn(&mut FinalRecord); 6] = [
    |_| {},
    |record| shrink_spent(record, REDUCED_USAGE_ROWS),
    |record| shrink_spent(record, REDUCED_DAY_ROWS),
    |record| limit_causes(record, REDUCED_FAILURE_HOSTS),
    |record| join_spent_days(record),
    |record| limit_causes(record, 0),
];

fn shrink_spent(record: &mut FinalRecord, rows: usize) {
    if let Some(spent) = record.spent.as_mut() {
        Arc::make_mut(spent).days.merge_rows(rows);
    }
}

fn join_spent_days(record: &mut FinalRecord) {
    if let Some(spent) = record.spent.as_mut() {
        Arc::make_mut(spent).days.merge_days();
    }
}

/// Keeps the first `limit` causes of a failure and merges the rest into one.
fn limit_causes(record: &mut FinalRecord, limit: usize) {
    let Some(failure) = record.failure.as_mut().filter(|f| f.causes.len() > limit + 1) else {
        return;
    };
    let causes = &mut Arc::make_mut(failure).causes;
    let rest = causes.split_off(limit);
    let Some(first) = rest.first() else { return };
    let count = rest.iter().fold(0u32, |sum, cause| sum.saturating_add(cause.count));
    causes.push(FailureCause { host: None, cause: first.cause, count });
}

/// The stored value of a chunk's record within the limits; `None` if it exceeds the maximum even when fully reduced.
fn fitted_chunk(mut record: ChunkRecord, first: u32, limits: &RecordLimits) -> Option<Value> {
    let mut last = None;
    for reduce in CHUNK_REDUCTIONS {
        reduce(&mut record);
        let value = record.value(limits.form, first);
        if size(&value) <= limits.chunk() {
            return Some(value);
        }
        last = Some(value);
    }
    last.filter(|value| size(value) <= limits.max_bytes)
}

impl JobTable {
    /// The stored value of an assignment record; `None` if it does not fit.
    pub(super) fn chunk_value(&self, job: &Job, chunk: u32) -> Option<Value> {
        fitted_chunk(job.record(chunk), chunk * TASKS_PER_CHUNK, &self.limits)
    }

    /// A job's final record, reduced to the target size. Repeated calls give the same record.
    pub(super) fn final_record(
        &self,
        job: &Job,
        status: JobStatus,
        spent: Option<Arc<oatloom_ledger::rollup::JobUsage>>,
    ) -> FinalRecord {
        let mut record = job.final_record(status, spent);
        for reduce in FINAL_RECORD_REDUCTIONS {
            reduce(&mut record);
            if serde_json::to_string(&record)
                .is_ok_and(|text| text.len() <= self.limits.target_bytes)
            {
                break;
            }
        }
        record
    }

    /// Whether a value is within the current limit of the state service.
    pub(super) fn fits_limit(&self, value: &Value) -> bool {
        size(value) <= self.limits.max_bytes
    }

    /// Whether the record of a task's chunk has room for one more assignment. Guards against a record that grows too
    /// large to be written: its tasks would never start, and the ends of its tasks would never become durable.
    pub(super) fn record_has_room(
        &mut self,
        id: &JobId,
        index: u32,
        assignment: &TaskAssignment,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let chunk = index / TASKS_PER_CHUNK;
        let limit = self.limits.chunk().saturating_sub(USAGE_RESERVE_BYTES);
        let range = job.chunk_range(chunk);
        let max_bytes = |assignment: &TaskAssignment| {
            2 * (assignment.host.as_str().len() + assignment.zone.as_str().len())
                + MAX_ASSIGNMENT_BYTES
        };
        let assigned_bytes: usize =
            range.clone().filter_map(|task| job.assignment(task)).map(max_bytes).sum();
        if !self.failures_limited
            && assigned_bytes + max_bytes(assignment) + MAX_CHUNK_HEADER_BYTES <= limit
        {
            return true;
        }
        let mut record = job.record(chunk);
        record.usage = Default::default();
        record.charges.merge_hosts();
        let (host, zone) = (assignment.host.clone(), assignment.zone.clone());
        record.assignments.push((index, assignment.attempt, host, assignment.session, zone));
        let fits = size(&record.value(self.limits.form, chunk * TASKS_PER_CHUNK)) <= limit;
        if !fits && !self.full_record_logged {
            self.full_record_logged = true;
            let assigned_count = record.assignments.len() - 1;
            log::warn!(
                "job {id}: only {assigned_count} of the {} tasks that share an assignment record can be \
                 assigned at once, since machine names are long and the record is limited to {limit} bytes; \
                 logged only once",
                range.len()
            );
        }
        fits
    }
}

#[cfg(test)]
mod tests;

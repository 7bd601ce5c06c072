//! Usage accounting in the job table: which record holds the usage of an attempt, and which transaction moves it.
//!
//! The usage of an attempt is first written to the assignment record. A job that ends with no task assigned moves its
//! usage to the final record, in the transaction that deletes its assignment records. If tasks are still assigned, each
//! record's usage moves to the roll-ups in the transaction that deletes that record. So the usage of an attempt is in
//! exactly one durable place, and in none before the end of the attempt is durable.

use super::write_queue::{PendingWrite, WriteItem};
use super::*;
use oatloom_ledger::constants::{DAY_CLOSE_DELAY_MS, DAY_MS, MAX_ROLLUP_BYTES};
use oatloom_ledger::entry::UsageEntry;
use oatloom_ledger::rollup::{
    CURSOR_KEY, Cursor, JobUsage, LoadProgress, Rollup, RollupId, Rollups, UsageByDay,
};
use serde_json::json;
use std::collections::BTreeSet;

/// Class under which jobs of unconfigured classes are counted, so that users cannot create any number of keys.
const OTHER_CLASS: &str = "other";

/// The leader's usage accounting.
#[derive(Clone, Debug, Default)]
pub struct UsageAccounting {
    pub rollups: Rollups,
    /// Classes that are counted separately.
    classes: Arc<BTreeSet<String>>,
    /// Time of day, in milliseconds.
    pub wall_ms: u64,
    /// The cursor that the transaction in flight writes.
    cursor: Option<Cursor>,
    /// The revision at which counting starts if no cursor is stored yet.
    start_revision: Revision,
    /// The latest entries, for tests; the oldest are dropped first.
    pub recent_entries: VecDeque<UsageEntry>,
    /// Values of roll-ups that could not be read; the next transaction stores a copy under another key.
    damaged: BTreeMap<RollupId, serde_json::Value>,
    /// State of roll-up transactions that the state service rejected.
    backoff: WriteBackoff<()>,
    /// Since when roll-ups are postponed in favor of writes that users or workers wait for.
    postponed_since: Option<Mono>,
}

impl UsageAccounting {
    /// Accounting that counts these classes separately and writes roll-ups at this interval.
    pub fn new(classes: Arc<BTreeSet<String>>, flush_interval: Millis) -> Self {
        Self { classes, rollups: Rollups::new(flush_interval), ..Self::default() }
    }

    /// Limits the size of roll-up values.
    pub fn with_value_limit(self, value_bytes: usize) -> Self {
        Self { rollups: self.rollups.with_value_limit(value_bytes), ..self }
    }

    /// Whether roll-ups are postponed in favor of writes that somebody waits for, for at most [`MAX_ROLLUP_DELAY_MS`].
    fn should_postpone(&mut self, now: Mono, awaited: bool) -> bool {
        let since = *self.postponed_since.get_or_insert(now);
        awaited && now.since(since) < MAX_ROLLUP_DELAY_MS
    }

    /// The class under which jobs of a class are counted.
    pub fn class(&self, class: &str) -> String {
        if self.classes.contains(class) { class.to_owned() } else { OTHER_CLASS.to_owned() }
    }

    /// The first day that is still open; usage of earlier days is counted on it.
    fn open_from(&self) -> u64 {
        (self.wall_ms.saturating_sub(DAY_CLOSE_DELAY_MS) / DAY_MS).saturating_sub(1)
    }

    /// Whether final records include usage: not if it is known that no durable cursor says where counting starts.
    /// While the cursor is unread they do; guards against a new leader that had not read it yet and left usage out.
    fn includes_usage(&self) -> bool {
        self.rollups.load_progress() == LoadProgress::NotStarted
            || self.rollups.cursor_revision() > Revision(0)
    }

    /// Sets the stored cursor that a new leader has read; without one, counting starts at `start_revision`.
    pub fn set_cursor(&mut self, found: Option<(Cursor, Revision)>, start_revision: Revision) {
        self.start_revision = start_revision;
        self.rollups.set_cursor(found, start_revision);
    }
}

impl JobTable {
    /// Counts an attempt that has ended in the assignment record of its task; its end and its usage become durable in
    /// the same write.
    pub fn record_usage(&mut self, entry: &UsageEntry) {
        let Some(accounting) = self.usage_accounting.as_mut() else { return };
        accounting.recent_entries.push_back(entry.clone());
        if accounting.recent_entries.len() > MAX_RECENT_USAGE_ENTRIES {
            accounting.recent_entries.pop_front();
        }
        log::debug!(target: "usage", "{}", usage_line(entry));
        if let Some(job) = self.jobs.get_mut(&entry.task.job) {
            let chunk = entry.task.index / TASKS_PER_CHUNK;
            job.usage.entry(chunk).or_default().add(entry);
        }
    }

    /// The usage for a job's final record, if its assignment records are deleted in the same transaction.
    pub(super) fn spent(&self, job: &Job, with_records: bool) -> Option<Arc<JobUsage>> {
        let accounting =
            self.usage_accounting.as_ref().filter(|a| with_records && a.includes_usage())?;
        let mut days = UsageByDay::default();
        job.usage.values().for_each(|chunk_usage| days.merge(chunk_usage));
        days.move_closed_days(accounting.open_from());
        let (team, class) = (job.spec.team.clone(), accounting.class(&job.spec.class));
        (!days.is_empty()).then(|| Arc::new(JobUsage { team, class, days }))
    }

    /// Moves the usage of an assignment record to the roll-ups, when the record is deleted after the final record of
    /// its job was written.
    pub(super) fn move_usage_to_rollups(&mut self, id: &JobId, chunk: u32) {
        let Some(accounting) = self.usage_accounting.as_mut().filter(|a| a.includes_usage()) else {
            return;
        };
        let Some(job) = self.jobs.get(id) else { return };
        let Some(mut days) = job.usage.get(&chunk).cloned() else { return };
        days.move_closed_days(accounting.open_from());
        let class = accounting.class(&job.spec.class);
        accounting.rollups.add_usage(&job.spec.team, &class, &days);
    }

    /// Number of roll-ups that the transaction under construction changes.
    pub(super) fn rollups_touched(&self) -> usize {
        self.usage_accounting.as_ref().map_or(0, |accounting| accounting.rollups.write_count())
    }

    /// Adds the writes of roll-ups to a transaction.
    pub(super) fn write_rollups(&mut self, txn: &mut Txn, written: &mut Vec<PendingWrite>) {
        let Some(accounting) = &self.usage_accounting else { return };
        for (rollup_id, version, rollup) in accounting.rollups.writes() {
            let key = rollup_id.key();
            txn.conditions.push(Condition { key: key.clone(), version });
            txn.changes.push(Change::put(key, json!(rollup)));
            written.push(PendingWrite::of(WriteItem::Rollup(rollup_id.clone())));
        }
        if let Some(cursor) = accounting.cursor {
            let version = accounting.rollups.cursor_revision();
            txn.conditions.push(Condition { key: CURSOR_KEY.to_owned(), version });
            txn.changes.push(Change::put(CURSOR_KEY.to_owned(), json!(cursor)));
            written.push(PendingWrite::of(WriteItem::Cursor));
        }
    }

    /// The transaction that adds the usage of final records to the roll-ups, if it is due.
    pub(super) fn next_rollup_txn(
        &mut self,
        fence: Condition,
        ops: usize,
        now: Mono,
        awaited: bool,
    ) -> Option<(Txn, Vec<PendingWrite>)> {
        let accounting = self.usage_accounting.as_mut()?;
        let open_from = accounting.open_from();
        if accounting.backoff.is_deferred(&()) && accounting.backoff.take_due(now).is_none()
            || !accounting.rollups.flush_due(now, open_from)
            || accounting.should_postpone(now, awaited)
        {
            return None;
        }
        accounting.postponed_since = None;
        let max_rollups = ops.saturating_sub(1).clamp(1, MAX_TXN_BYTES / MAX_ROLLUP_BYTES);
        let max_rollups = max_rollups.min(accounting.backoff.max_items());
        accounting.cursor = accounting.rollups.flush(max_rollups, now, open_from);
        let (mut txn, mut written) =
            (Txn { conditions: vec![fence], changes: Vec::new() }, Vec::new());
        self.write_rollups(&mut txn, &mut written);
        self.write_damaged_copies(&mut txn, ops);
        (!written.is_empty()).then_some((txn, written))
    }

    /// Handles a rejected transaction of roll-ups: the next one is smaller or delayed.
    pub(super) fn rollups_rejected(&mut self, now: Mono) {
        let Some(accounting) = self.usage_accounting.as_mut() else { return };
        let rollups = vec![(); accounting.rollups.write_count().max(1)];
        if let Some(RejectionResponse::Deferred((), pause)) =
            accounting.backoff.rejected(&rollups, now)
        {
            log::error!("ledger: roll-up rejected on its own; retrying in {pause:?}");
        }
    }

    /// Adds copies of unreadable values under other keys to a transaction, for later inspection.
    fn write_damaged_copies(&mut self, txn: &mut Txn, ops: usize) {
        let Some(accounting) = self.usage_accounting.as_mut() else { return };
        while txn.changes.len() < ops
            && let Some((rollup_id, value)) = accounting.damaged.pop_first()
        {
            txn.changes.push(Change::put(format!("{}{}", DAMAGED_PREFIX, rollup_id.key()), value));
        }
    }

    /// Applies the commit of a roll-up or of the cursor.
    pub(super) fn rollup_committed(&mut self, item: &WriteItem, revision: Revision) {
        let Some(accounting) = self.usage_accounting.as_mut() else { return };
        match item {
            WriteItem::Rollup(rollup_id) => accounting.rollups.mark_committed(rollup_id, revision),
            WriteItem::Cursor => {
                accounting.backoff.accepted([()].iter());
                if let Some(cursor) = accounting.cursor.take() {
                    accounting.rollups.mark_cursor_committed(cursor, revision);
                }
            }
            WriteItem::FinalRecord(_) | WriteItem::Chunk(..) => {}
        }
    }

    /// Abandons the roll-up writes in flight, whose transaction failed or has an unknown outcome.
    pub(super) fn rollups_abandoned(&mut self) {
        if let Some(accounting) = self.usage_accounting.as_mut() {
            accounting.rollups.discard_writes();
            accounting.cursor = None;
        }
    }

    /// Takes the stored roll-up or cursor, read after a write with an unknown outcome.
    pub(super) fn rollup_resolved(
        &mut self,
        item: &WriteItem,
        row: Option<(&serde_json::Value, Revision)>,
    ) {
        let Some(accounting) = self.usage_accounting.as_mut() else { return };
        match item {
            WriteItem::Rollup(rollup_id) => {
                let found = row.map(|(value, revision)| {
                    let read = serde_json::from_value::<Rollup>(value.clone());
                    let rollup = read.unwrap_or_else(|e| {
                        log::error!("ledger: {} is damaged ({e}); storing a copy", rollup_id.key());
                        accounting.damaged.insert(rollup_id.clone(), value.clone());
                        Rollup { incomplete: true, ..Rollup::default() }
                    });
                    (rollup, revision)
                });
                accounting.rollups.set_stored(rollup_id, found);
            }
            WriteItem::Cursor => {
                let read = |(value, revision): (&serde_json::Value, Revision)| {
                    Some((serde_json::from_value(value.clone()).ok()?, revision))
                };
                let start_revision = accounting.start_revision;
                accounting.rollups.set_cursor(row.and_then(read), start_revision);
            }
            WriteItem::FinalRecord(_) | WriteItem::Chunk(..) => {}
        }
    }

    /// Passes the usage of a final record that is durable at `revision` to the roll-ups.
    pub(super) fn count_final_record(
        &mut self,
        id: &JobId,
        record: &FinalRecord,
        revision: Revision,
    ) {
        if let (Some(accounting), Some(spent)) = (self.usage_accounting.as_mut(), &record.spent) {
            accounting.rollups.add_final_state(id, spent, revision);
        }
    }

    /// Counts final records that earlier leaders wrote after the cursor. `complete` says that these are the last.
    pub fn catch_up(
        &mut self,
        records: impl IntoIterator<Item = (JobId, FinalRecord, Revision)>,
        complete: bool,
    ) {
        for (id, record, revision) in records {
            self.count_final_record(&id, &record, revision);
        }
        if let Some(accounting) = self.usage_accounting.as_mut().filter(|_| complete) {
            accounting.rollups.set_load_progress(LoadProgress::Complete);
        }
    }
}

/// Key prefix of copies of roll-ups that could not be read.
pub const DAMAGED_PREFIX: &str = "use-damaged/";

/// The log line of an attempt's entry; tools parse it.
fn usage_line(e: &UsageEntry) -> String {
    let breakdown = e.run_time_breakdown();
    format!(
        "{} try {} team {} class {} {:?} on {} ({} {} spot {}): {} after {} ms, ran {} (useful {}, repeated {}, \
         lost {}, unseen {}), price {} share {:.3}",
        e.task,
        e.attempt,
        e.team,
        e.class,
        e.rank,
        e.host,
        e.flavor,
        e.zone,
        e.spot,
        oatloom_ledger::sums::end_name(e.end),
        e.held_ms,
        e.ran_ms,
        breakdown.useful_ms,
        breakdown.repeated_ms,
        breakdown.lost_ms,
        e.unseen_ms,
        e.hourly_price,
        e.machine_share
    )
}

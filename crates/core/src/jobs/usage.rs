//! The account of usage as the book keeps it: what goes into which record, and in which write.
//!
//! A job that ends with nothing held takes its usage into its final state, in the write that removes its records.
//! What ends later is moved to the roll-ups by the write that removes its record. So an attempt is in exactly one
//! place, and in none before its end is durable.

use super::writing::{Item, Written};
use super::*;
use oatloom_ledger::constants::{CLOSE_AFTER_MS, DAY_MS, ROLLUP_BYTES};
use oatloom_ledger::entry::Entry;
use oatloom_ledger::rollup::{CURSOR, Cursor, Days, Knowledge, Rollup, Rollups, Slot, Spent};
use serde_json::json;
use std::collections::BTreeSet;

/// Class under which those are accounted that no setting names: keys must not grow with what users think up.
const OTHER_CLASS: &str = "other";

/// The leader's account.
#[derive(Clone, Debug, Default)]
pub struct Account {
    pub rollups: Rollups,
    /// Classes that are told apart.
    classes: Arc<BTreeSet<String>>,
    /// Time of day, in milliseconds.
    pub wall_ms: u64,
    /// The cursor that the transaction under way writes.
    cursor: Option<Cursor>,
    /// The revision from which on it is accounted, if nobody has begun yet.
    begin: Revision,
    /// The latest entries, for tests: the oldest go first.
    pub latest: VecDeque<Entry>,
    /// Roll-ups that could not be read, which are kept aside by the next write.
    damaged: BTreeMap<Slot, serde_json::Value>,
    /// Transactions of roll-ups that the service refused, one after the other.
    refusals: Refusals<()>,
    /// Since when roll-ups wait for what somebody waits for.
    postponed: Option<Mono>,
}

impl Account {
    pub fn new(classes: Arc<BTreeSet<String>>, every: Millis) -> Self {
        Self { classes, rollups: Rollups::new(every), ..Self::default() }
    }

    /// The same with roll-ups that fit values of so many bytes.
    pub fn within(self, value_bytes: usize) -> Self {
        Self { rollups: self.rollups.within(value_bytes), ..self }
    }

    /// Whether roll-ups give way to what somebody waits for, which they do for a while.
    fn gives_way(&mut self, now: Mono, awaited: bool) -> bool {
        let since = *self.postponed.get_or_insert(now);
        awaited && now.since(since) < POSTPONED_MS
    }

    pub fn class(&self, class: &str) -> String {
        if self.classes.contains(class) { class.to_owned() } else { OTHER_CLASS.to_owned() }
    }

    /// The first day that is still open: usage of earlier ones counts for it.
    fn open_from(&self) -> u64 {
        (self.wall_ms.saturating_sub(CLOSE_AFTER_MS) / DAY_MS).saturating_sub(1)
    }

    /// Whether final states carry usage: not while it is known that nothing durable says from where on they are
    /// counted. Guards against a new leader that had not read it yet and left usage out.
    fn begun(&self) -> bool {
        self.rollups.knowledge() == Knowledge::None || self.rollups.cursor_stamp() > Revision(0)
    }

    /// What the cursor's key holds, read by a new leader.
    pub fn set_cursor(&mut self, found: Option<(Cursor, Revision)>, begin: Revision) {
        self.begin = begin;
        self.rollups.set_cursor(found, begin);
    }
}

impl Book {
    /// An attempt has ended. It is counted in the record of its task, which says so in the same write.
    pub fn account(&mut self, entry: &Entry) {
        let Some(account) = self.account.as_mut() else { return };
        account.latest.push_back(entry.clone());
        if account.latest.len() > LATEST_MOST {
            account.latest.pop_front();
        }
        log::debug!(target: "usage", "{}", usage_line(entry));
        if let Some(job) = self.jobs.get_mut(&entry.task.job) {
            let chunk = entry.task.index / CHUNK_TASKS;
            job.usage.entry(chunk).or_default().add(entry);
        }
    }

    /// What a job's final state says of its usage, if its records go in the same write.
    pub(super) fn spent(&self, job: &Job, with_records: bool) -> Option<Arc<Spent>> {
        let account = self.account.as_ref().filter(|a| with_records && a.begun())?;
        let mut days = Days::default();
        job.usage.values().for_each(|of_chunk| days.merge(of_chunk));
        days.reopen_from(account.open_from());
        let (team, class) = (job.spec.team.clone(), account.class(&job.spec.class));
        (!days.is_empty()).then(|| Arc::new(Spent { team, class, days }))
    }

    /// Usage of a record that is being removed later than its job's final state was written goes to the roll-ups.
    pub(super) fn spill(&mut self, id: &JobId, chunk: u32) {
        let Some(account) = self.account.as_mut().filter(|a| a.begun()) else { return };
        let Some(job) = self.jobs.get(id) else { return };
        let Some(mut days) = job.usage.get(&chunk).cloned() else { return };
        days.reopen_from(account.open_from());
        let class = account.class(&job.spec.class);
        account.rollups.spill(&job.spec.team, &class, &days);
    }

    /// Roll-ups that the transaction being made touches.
    pub(super) fn rollups_touched(&self) -> usize {
        self.account.as_ref().map_or(0, |account| account.rollups.touched())
    }

    /// Adds the writes of roll-ups to a transaction.
    pub(super) fn write_rollups(&mut self, txn: &mut Txn, written: &mut Vec<Written>) {
        let Some(account) = &self.account else { return };
        for (slot, version, rollup) in account.rollups.writes() {
            let key = slot.key();
            txn.conditions.push(Condition { key: key.clone(), version });
            txn.changes.push(Change::put(key, json!(rollup)));
            written.push(Written::of(Item::Rollup(slot.clone())));
        }
        if let Some(cursor) = account.cursor {
            let version = account.rollups.cursor_stamp();
            txn.conditions.push(Condition { key: CURSOR.to_owned(), version });
            txn.changes.push(Change::put(CURSOR.to_owned(), json!(cursor)));
            written.push(Written::of(Item::Cursor));
        }
    }

    /// The transaction that counts final states, if it is time.
    pub(super) fn flush(
        &mut self,
        fence: Condition,
        ops: usize,
        now: Mono,
        awaited: bool,
    ) -> Option<(Txn, Vec<Written>)> {
        let account = self.account.as_mut()?;
        let open_from = account.open_from();
        if account.refusals.holds(&()) && account.refusals.take_due(now).is_none()
            || !account.rollups.flush_due(now, open_from)
            || account.gives_way(now, awaited)
        {
            return None;
        }
        account.postponed = None;
        let most = ops.saturating_sub(1).clamp(1, TXN_BYTES / ROLLUP_BYTES);
        let most = most.min(account.refusals.most());
        account.cursor = account.rollups.flush(most, now, open_from);
        let (mut txn, mut written) =
            (Txn { conditions: vec![fence], changes: Vec::new() }, Vec::new());
        self.write_rollups(&mut txn, &mut written);
        self.keep_aside(&mut txn, ops);
        (!written.is_empty()).then_some((txn, written))
    }

    /// A transaction of roll-ups was refused: the next one is smaller, or comes later.
    pub(super) fn flush_refused(&mut self, now: Mono) {
        let Some(account) = self.account.as_mut() else { return };
        let rollups = vec![(); account.rollups.touched().max(1)];
        if let Some(Refusal::SetAside((), pause)) = account.refusals.refused(&rollups, now) {
            log::error!("ledger: a roll-up is refused alone; again in {pause:?}");
        }
    }

    /// Values that could not be read are kept under another key, for somebody to look at.
    fn keep_aside(&mut self, txn: &mut Txn, ops: usize) {
        let Some(account) = self.account.as_mut() else { return };
        while txn.changes.len() < ops
            && let Some((slot, value)) = account.damaged.pop_first()
        {
            txn.changes.push(Change::put(format!("{}{}", DAMAGED, slot.key()), value));
        }
    }

    pub(super) fn rollup_committed(&mut self, item: &Item, revision: Revision) {
        let Some(account) = self.account.as_mut() else { return };
        match item {
            Item::Rollup(slot) => account.rollups.committed(slot, revision),
            Item::Cursor => {
                account.refusals.taken([()].iter());
                if let Some(cursor) = account.cursor.take() {
                    account.rollups.cursor_committed(cursor, revision);
                }
            }
            Item::End(_) | Item::Chunk(..) => {}
        }
    }

    /// What was to be written of the account was not, or it is not known.
    pub(super) fn rollups_abandoned(&mut self) {
        if let Some(account) = self.account.as_mut() {
            account.rollups.abandoned();
            account.cursor = None;
        }
    }

    /// What the store holds of the account, read after a write whose fate was open.
    pub(super) fn rollup_resolved(
        &mut self,
        item: &Item,
        row: Option<(&serde_json::Value, Revision)>,
    ) {
        let Some(account) = self.account.as_mut() else { return };
        match item {
            Item::Rollup(slot) => {
                let found = row.map(|(value, stamp)| {
                    let read = serde_json::from_value::<Rollup>(value.clone());
                    let rollup = read.unwrap_or_else(|e| {
                        log::error!("ledger: {} is damaged and kept aside: {e}", slot.key());
                        account.damaged.insert(slot.clone(), value.clone());
                        Rollup { gap: true, ..Rollup::default() }
                    });
                    (rollup, stamp)
                });
                account.rollups.resolved(slot, found);
            }
            Item::Cursor => {
                let read = |(value, stamp): (&serde_json::Value, Revision)| {
                    Some((serde_json::from_value(value.clone()).ok()?, stamp))
                };
                let begin = account.begin;
                account.rollups.set_cursor(row.and_then(read), begin);
            }
            Item::End(_) | Item::Chunk(..) => {}
        }
    }

    /// A final state is durable.
    pub(super) fn counted(&mut self, id: &JobId, record: &OverRecord, stamp: Revision) {
        if let (Some(account), Some(spent)) = (self.account.as_mut(), &record.spent) {
            account.rollups.over(id, spent, stamp);
        }
    }

    /// Final states that were written after the cursor, by earlier leaders; afterwards all are known.
    pub fn catch_up(
        &mut self,
        over: impl IntoIterator<Item = (JobId, OverRecord, Revision)>,
        all: bool,
    ) {
        for (id, record, stamp) in over {
            self.counted(&id, &record, stamp);
        }
        if let Some(account) = self.account.as_mut().filter(|_| all) {
            account.rollups.enter(Knowledge::All);
        }
    }
}

/// Prefix of values that could not be read.
pub const DAMAGED: &str = "use-damaged/";

/// The entry of an attempt, for the log.
fn usage_line(e: &Entry) -> String {
    let worth = e.worth();
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
        oatloom_ledger::tally::word(e.end),
        e.held_ms,
        e.ran_ms,
        worth.useful_ms,
        worth.repeated_ms,
        worth.lost_ms,
        e.unseen_ms,
        e.price,
        e.share
    )
}

//! Usage by team, class and day: under which key, what is still to be added, and what a write has added.
//!
//! Usage reaches a roll-up in one of two ways, and in each it is moved in one transaction. What is over carries its
//! usage in its final state, which is never rewritten; the roll-up says up to which revision of final states it has
//! counted. What ends later, or outgrows its record, is moved from the assignment record.

use crate::constants::*;
use crate::entry::Entry;
use crate::tally::Tally;
use oatloom_protocol::ids::{JobId, Millis, Mono, Revision};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Prefix of all roll-ups, and the key that says how far they have come.
pub const ROLLUPS: &str = "use/";
pub const CURSOR: &str = "use-cursor";

/// What a name may be made of in a key.
const KEPT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.');

/// A team's and a class's day.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot {
    /// Days since 1970-01-01.
    pub day: u64,
    pub team: String,
    pub class: String,
}

impl Slot {
    /// The key of its roll-up.
    pub fn key(&self) -> String {
        let name = |text: &str| {
            let mut name = utf8_percent_encode(text, KEPT).to_string();
            name.truncate(NAME_BYTES);
            name
        };
        format!("{ROLLUPS}{:06}/{}/{}", self.day, name(&self.team), name(&self.class))
    }

    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.strip_prefix(ROLLUPS)?.split('/');
        let day = parts.next()?.parse().ok()?;
        let mut name = || Some(percent_decode_str(parts.next()?).decode_utf8_lossy().into_owned());
        Some(Self { day, team: name()?, class: name()? })
    }
}

/// Value of a roll-up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollup {
    /// All final states up to this revision are counted.
    #[serde(rename = "r", default)]
    pub through: Revision,
    #[serde(rename = "t")]
    pub tally: Tally,
    /// An earlier value could not be read: it is kept aside, and not in the sums.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub gap: bool,
}

/// Value of the cursor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Final states up to this revision are counted in all roll-ups.
    #[serde(rename = "r")]
    pub through: Revision,
    /// Days before this one do not change any more.
    #[serde(rename = "d")]
    pub closed_before: u64,
}

/// Usage by day, as an assignment record keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Days(BTreeMap<u64, Tally>);

impl Days {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn add(&mut self, entry: &Entry) {
        let tally = self.0.entry(entry.day()).or_default();
        tally.add(entry);
        tally.shrink(JOB_ROWS_MOST);
        while self.0.len() > JOB_DAYS_MOST {
            self.move_up();
        }
    }

    /// The first day's usage counts for the next one.
    fn move_up(&mut self) {
        let Some((_, first)) = self.0.pop_first() else { return };
        if let Some(mut next) = self.0.first_entry() {
            next.get_mut().merge(&first);
            next.get_mut().shrink(JOB_ROWS_MOST);
        }
    }

    /// All usage counts for the last day.
    pub fn join_days(&mut self) {
        while self.0.len() > 1 {
            self.move_up();
        }
        self.shrink(TIGHT_ROWS);
    }

    /// Usage of days before `open` counts for `open`: they may have closed meanwhile.
    pub fn reopen_from(&mut self, open: u64) {
        let late = self.0.iter().take_while(|(day, _)| **day < open);
        let late: Vec<u64> = late.map(|(day, _)| *day).collect();
        for day in late {
            let Some(tally) = self.0.remove(&day) else { continue };
            let into = self.0.entry(open).or_default();
            into.merge(&tally);
            into.shrink(JOB_ROWS_MOST);
        }
    }

    pub fn merge(&mut self, other: &Days) {
        for (day, tally) in &other.0 {
            self.0.entry(*day).or_default().merge(tally);
        }
    }

    /// Joins rows until each day has at most so many.
    pub fn shrink(&mut self, most: usize) {
        self.0.values_mut().for_each(|tally| tally.shrink(most));
    }

    /// About as many bytes as it takes at most when it is written.
    pub fn bytes(&self) -> usize {
        self.0.values().map(|tally| 20 + tally.len() * ROW_BYTES).sum()
    }

    pub fn days(&self) -> impl Iterator<Item = (u64, &Tally)> {
        self.0.iter().map(|(day, tally)| (*day, tally))
    }
}

/// What a final state says of its job's usage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    #[serde(rename = "t")]
    pub team: String,
    #[serde(rename = "c")]
    pub class: String,
    #[serde(rename = "d")]
    pub days: Days,
}

/// Whether this leader knows of all final states that are not counted yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Knowledge {
    /// The cursor has not been read.
    #[default]
    None,
    /// Final states after the cursor are being read.
    After(Revision),
    All,
}

/// A final state that is not counted yet, as far as it goes into one roll-up.
#[derive(Clone, Debug)]
struct Pending {
    stamp: Revision,
    job: JobId,
    slot: Slot,
    tally: Tally,
}

#[derive(Clone, Debug, Default)]
struct Kept {
    stamp: Revision,
    rollup: Rollup,
}

/// The leader's account. What it does not know it takes for missing: a write then conflicts, and is settled by
/// reading the key.
#[derive(Clone, Debug, Default)]
pub struct Rollups {
    knowledge: Knowledge,
    known: BTreeMap<Slot, Kept>,
    cursor: (Revision, Cursor),
    /// Final states that are not counted yet, oldest first.
    pending: VecDeque<Pending>,
    /// What the transaction under way will have made of roll-ups.
    in_flight: BTreeMap<Slot, Rollup>,
    next_flush: Mono,
    every: Millis,
    /// Rows that a roll-up may have.
    rows_most: usize,
    /// The newest final state that is known.
    newest: Revision,
}

impl Rollups {
    /// An account that is empty, and adds what ended so often.
    pub fn new(every: Millis) -> Self {
        Self { every, rows_most: ROLLUP_ROWS_MOST, ..Self::default() }
    }

    /// The same with roll-ups that fit values of so many bytes.
    pub fn within(self, value_bytes: usize) -> Self {
        let rows = value_bytes.saturating_sub(ROLLUP_HEAD_BYTES) / ROW_BYTES;
        Self { rows_most: rows.clamp(1, ROLLUP_ROWS_MOST), ..self }
    }

    pub fn knowledge(&self) -> Knowledge {
        self.knowledge
    }

    /// The one place where the knowledge changes.
    pub fn enter(&mut self, knowledge: Knowledge) {
        self.knowledge = knowledge;
    }

    pub fn cursor(&self) -> Cursor {
        self.cursor.1
    }

    /// What the cursor's key holds; without one, the account begins at `now`.
    pub fn set_cursor(&mut self, found: Option<(Cursor, Revision)>, begin: Revision) {
        let fresh = Cursor { through: begin, closed_before: 0 };
        self.cursor = found.map_or((Revision(0), fresh), |(cursor, stamp)| (stamp, cursor));
        self.newest = self.newest.max(self.cursor.1.through);
    }

    /// A final state stands in the store at a revision.
    pub fn over(&mut self, job: &JobId, spent: &Spent, stamp: Revision) {
        self.newest = self.newest.max(stamp);
        for (day, tally) in spent.days.days() {
            let slot = Slot { day, team: spent.team.clone(), class: spent.class.clone() };
            let counted = self.known.get(&slot).is_some_and(|kept| stamp <= kept.rollup.through);
            // Guards against a final state that is both read and known, and against taking several of one write
            // for the same.
            let there = |p: &Pending| p.stamp == stamp && p.job == *job && p.slot == slot;
            if !counted && !self.pending.iter().any(there) {
                let (job, tally) = (job.clone(), tally.clone());
                self.pending.push_back(Pending { stamp, job, slot, tally });
            }
        }
    }

    /// Final states that are not counted yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Roll-ups that the transaction being made already touches.
    pub fn touched(&self) -> usize {
        self.in_flight.len()
    }

    /// Moves usage of an assignment record into the transaction being made.
    pub fn spill(&mut self, team: &str, class: &str, days: &Days) {
        for (day, tally) in days.days() {
            let slot = Slot { day, team: team.to_owned(), class: class.to_owned() };
            let mut rollup = self.latest(&slot);
            rollup.tally.merge(tally);
            rollup.tally.shrink(self.rows_most);
            self.in_flight.insert(slot, rollup);
        }
    }

    fn latest(&self, slot: &Slot) -> Rollup {
        let kept = || self.known.get(slot).map(|kept| kept.rollup.clone());
        self.in_flight.get(slot).cloned().or_else(kept).unwrap_or_default()
    }

    /// Whether final states are to be counted now. `today`: days before it may then be closed.
    pub fn flush_due(&self, now: Mono, today: u64) -> bool {
        let begin = self.cursor.0 == Revision(0);
        let due = begin || !self.pending.is_empty() || self.may_close(today);
        let due = now >= self.next_flush && due;
        self.knowledge == Knowledge::All && (due || self.pending.len() >= PENDING_MOST)
    }

    fn may_close(&self, today: u64) -> bool {
        self.cursor.1.closed_before < today
    }

    /// Counts final states, in at most `most` roll-ups. Returns the cursor if all are counted by that.
    pub fn flush(&mut self, most: usize, now: Mono, open_from: u64) -> Option<Cursor> {
        self.next_flush = now.plus(self.every);
        let mut left_out = false;
        for Pending { stamp, slot, tally, .. } in &self.pending {
            if !self.in_flight.contains_key(slot) && self.in_flight.len() >= most {
                left_out = true;
                continue;
            }
            let mut rollup = self.latest(slot);
            if *stamp > rollup.through {
                rollup.tally.merge(tally);
            }
            self.in_flight.insert(slot.clone(), rollup);
        }
        for (slot, rollup) in &mut self.in_flight {
            // All of this slot that is pending is in it, and nothing newer is known to anybody.
            if self.pending.iter().any(|p| p.slot == *slot) {
                rollup.through = rollup.through.max(self.newest);
            }
            rollup.tally.shrink(self.rows_most);
        }
        if left_out {
            self.next_flush = now;
            return None;
        }
        let closed_before = self.cursor.1.closed_before.max(open_from);
        Some(Cursor { through: self.newest, closed_before })
    }

    /// What the transaction being made is to write: slot, version that it must have, value.
    pub fn writes(&self) -> impl Iterator<Item = (&Slot, Revision, &Rollup)> {
        self.in_flight.iter().map(|(slot, rollup)| {
            (slot, self.known.get(slot).map_or(Revision(0), |kept| kept.stamp), rollup)
        })
    }

    pub fn cursor_stamp(&self) -> Revision {
        self.cursor.0
    }

    /// The transaction was applied.
    pub fn committed(&mut self, slot: &Slot, revision: Revision) {
        if let Some(rollup) = self.in_flight.remove(slot) {
            self.keep(slot.clone(), rollup, revision);
        }
    }

    pub fn cursor_committed(&mut self, cursor: Cursor, revision: Revision) {
        self.cursor = (revision, cursor);
    }

    /// The transaction was not applied, or it is not known: what it was to write is made anew.
    pub fn abandoned(&mut self) {
        self.in_flight.clear();
        self.next_flush = Mono(0);
    }

    /// What a roll-up's key holds, read after a transaction whose fate was open.
    pub fn resolved(&mut self, slot: &Slot, found: Option<(Rollup, Revision)>) {
        match found {
            Some((rollup, stamp)) => self.keep(slot.clone(), rollup, stamp),
            None => _ = self.known.remove(slot),
        }
    }

    fn keep(&mut self, slot: Slot, rollup: Rollup, stamp: Revision) {
        let through = rollup.through;
        self.pending.retain(|p| p.slot != slot || p.stamp > through);
        self.known.insert(slot, Kept { stamp, rollup });
        // A day that has closed is not written again; one that is, is read.
        while self.known.len() > PENDING_MOST {
            self.known.pop_first();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::End;
    use crate::entry::tests::entry;
    use oatloom_protocol::wire::Cause;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    #[test]
    fn keys_hold_any_name_and_come_back() {
        for name in ["red", "", "a/b c", "ü%"] {
            let slot = Slot { day: 20_788, team: name.into(), class: "c".into() };
            let key = slot.key();
            assert!(!key.contains(' ') && key.matches('/').count() == 3, "{key}");
            assert_eq!(Slot::parse(&key), Some(slot));
        }
        let long = Slot { day: 1, team: "x".repeat(500), class: "ü".repeat(500) };
        assert!(long.key().len() <= 200);
        assert_eq!(Slot::parse("use/x/a/b"), None);
    }

    /// The store as far as the account needs it.
    #[derive(Default)]
    struct Store {
        revision: u64,
        rollups: BTreeMap<Slot, (Rollup, Revision)>,
        cursor: Option<(Cursor, Revision)>,
        over: Vec<(Revision, JobId, Spent)>,
    }

    impl Store {
        /// Applies what is being made if every version agrees; whether so.
        fn apply(&mut self, rollups: &Rollups, cursor: Option<Cursor>) -> bool {
            let stamp = |slot: &Slot| self.rollups.get(slot).map_or(Revision(0), |(_, s)| *s);
            let agree = rollups.writes().all(|(slot, version, _)| stamp(slot) == version)
                && self.cursor.map_or(Revision(0), |(_, s)| s) == rollups.cursor_stamp();
            if agree {
                self.revision += 1;
                for (slot, _, rollup) in rollups.writes() {
                    self.rollups.insert(slot.clone(), (rollup.clone(), Revision(self.revision)));
                }
                if let Some(cursor) = cursor {
                    self.cursor = Some((cursor, Revision(self.revision)));
                }
            }
            agree
        }
    }

    /// Leaders come and go at any step; their writes are applied or not, answered or not. However it goes, what is
    /// counted and what is still to be counted is what was spent, to the last millisecond.
    #[test]
    fn every_final_state_counts_once_over_any_takeover() {
        for seed in 0..200 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut store = Store::default();
            let mut rollups = Rollups::new(FLUSH_MS);
            let mut spent_ms = 0;
            for step in 0..120u64 {
                let now = Mono(step * 10_000);
                match rng.random_range(0..10) {
                    // A takeover: the new leader reads the cursor, and final states after it.
                    0 => {
                        rollups = Rollups::new(FLUSH_MS);
                        rollups.set_cursor(store.cursor, Revision(0));
                        let after = rollups.cursor().through;
                        let late = store.over.iter().filter(|(stamp, ..)| *stamp > after);
                        late.for_each(|(stamp, job, spent)| rollups.over(job, spent, *stamp));
                        rollups.enter(Knowledge::All);
                    }
                    1..6 => {
                        let mut days = Days::default();
                        let mut e = entry(End::Seen(Cause::Done), rng.random_range(1..5_000));
                        e.ended_ms = rng.random_range(0..3) * DAY_MS;
                        days.add(&e);
                        let team = format!("t{}", rng.random_range(0..3));
                        let spent = Spent { team, class: "c".into(), days };
                        // Several jobs may end in one write.
                        store.revision += 1;
                        let stamp = Revision(store.revision);
                        for n in 0..rng.random_range(1..4) {
                            spent_ms += e.ran_ms;
                            let job = JobId::new(&format!("req-{step}{n}"));
                            store.over.push((stamp, job.clone(), spent.clone()));
                            if rollups.knowledge() == Knowledge::All {
                                rollups.over(&job, &spent, stamp);
                            }
                        }
                    }
                    _ if rollups.flush_due(now, 0) => {
                        let cursor = rollups.flush(2, now, 0);
                        let slots: Vec<Slot> = rollups.writes().map(|(s, ..)| s.clone()).collect();
                        let applied = rng.random_bool(0.8) && store.apply(&rollups, cursor);
                        if applied && rng.random_bool(0.6) {
                            for slot in &slots {
                                rollups.committed(slot, Revision(store.revision));
                            }
                            if let Some(cursor) = cursor {
                                rollups.cursor_committed(cursor, Revision(store.revision));
                            }
                        } else {
                            rollups.abandoned();
                            let found = |slot| store.rollups.get(slot).cloned();
                            slots.iter().for_each(|slot| rollups.resolved(slot, found(slot)));
                            rollups.set_cursor(store.cursor, Revision(0));
                        }
                    }
                    _ => {}
                }
            }
            // A last leader counts what is left.
            let mut last = Rollups::default();
            last.set_cursor(store.cursor, Revision(0));
            let after = last.cursor().through;
            let late = store.over.iter().filter(|(stamp, ..)| *stamp > after);
            late.for_each(|(stamp, job, spent)| last.over(job, spent, *stamp));
            last.enter(Knowledge::All);
            let mut rounds = 0;
            while last.pending() > 0 {
                rounds += 1;
                assert!(rounds < 50, "seed {seed}: does not end");
                let cursor = last.flush(2, Mono(0), 0);
                let slots: Vec<Slot> = last.writes().map(|(s, ..)| s.clone()).collect();
                if store.apply(&last, cursor) {
                    let revision = Revision(store.revision);
                    slots.iter().for_each(|slot| last.committed(slot, revision));
                    cursor.into_iter().for_each(|c| last.cursor_committed(c, revision));
                } else {
                    last.abandoned();
                    for slot in &slots {
                        last.resolved(slot, store.rollups.get(slot).cloned());
                    }
                }
            }
            let total: u64 = store.rollups.values().map(|(r, _)| r.tally.total().ran_ms).sum();
            assert_eq!(total, spent_ms, "seed {seed}");
        }
    }

    #[test]
    fn a_jobs_usage_stays_small_and_loses_nothing() {
        let mut days = Days::default();
        for n in 0..90u64 {
            let mut e = entry(End::Seen(Cause::Done), 5);
            e.flavor = format!("f{}", n % 30);
            e.ended_ms = n / 30 * DAY_MS;
            days.add(&e);
        }
        let sums = |days: &Days| -> Vec<(u64, u64)> {
            days.days().map(|(day, tally)| (day, tally.total().attempts)).collect()
        };
        assert_eq!(sums(&days), [(1, 60), (2, 30)]);
        assert!(days.days().all(|(_, tally)| tally.len() <= JOB_ROWS_MOST));
        days.reopen_from(9);
        assert_eq!(sums(&days), [(9, 90)]);
    }
}

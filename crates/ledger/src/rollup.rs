//! Roll-ups: usage by team, class and day, with their keys, the usage still to be added, and the state of writes.
//!
//! Usage reaches a roll-up in one of two ways, each in one transaction. A finished job carries its usage in its final
//! state, which is never rewritten; the roll-up stores the revision up to which final states are counted. Usage of
//! attempts that end later, or that outgrows its record, is moved from the assignment record.

use crate::constants::*;
use crate::entry::UsageEntry;
use crate::sums::UsageByBucket;
use oatloom_protocol::ids::{JobId, Millis, Mono, Revision};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Key prefix of all roll-ups.
pub const ROLLUP_PREFIX: &str = "use/";
/// Key of the cursor.
pub const CURSOR_KEY: &str = "use-cursor";

/// Characters of a name that are percent-encoded in a key.
const KEY_ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.');

/// Identifies a roll-up: one day of a team and class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RollupId {
    /// Days since 1970-01-01.
    pub day: u64,
    pub team: String,
    pub class: String,
}

impl RollupId {
    /// The key under which the roll-up is stored.
    pub fn key(&self) -> String {
        let name = |text: &str| {
            let mut name = utf8_percent_encode(text, KEY_ESCAPED).to_string();
            name.truncate(MAX_KEY_NAME_BYTES);
            name
        };
        format!("{ROLLUP_PREFIX}{:06}/{}/{}", self.day, name(&self.team), name(&self.class))
    }

    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.strip_prefix(ROLLUP_PREFIX)?.split('/');
        let day = parts.next()?.parse().ok()?;
        let mut name = || Some(percent_decode_str(parts.next()?).decode_utf8_lossy().into_owned());
        Some(Self { day, team: name()?, class: name()? })
    }
}

/// Stored value of a roll-up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollup {
    /// All final states up to this revision are counted.
    #[serde(rename = "r", default)]
    pub counted_through: Revision,
    #[serde(rename = "t")]
    pub usage: UsageByBucket,
    /// An earlier value was unreadable: it is stored under another key and missing from the sums.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub incomplete: bool,
}

/// Stored value of the cursor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Final states up to this revision are counted in all roll-ups.
    #[serde(rename = "r")]
    pub counted_through: Revision,
    /// Days before this one are final.
    #[serde(rename = "d")]
    pub closed_before: u64,
}

/// Usage of a job by day, as stored in assignment records and final states.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UsageByDay(BTreeMap<u64, UsageByBucket>);

impl UsageByDay {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn add(&mut self, entry: &UsageEntry) {
        let usage = self.0.entry(entry.day()).or_default();
        usage.add(entry);
        usage.merge_rows(MAX_JOB_DAY_ROWS);
        while self.0.len() > MAX_JOB_DAYS {
            self.merge_first_day();
        }
    }

    /// Merges the first day into the next one.
    fn merge_first_day(&mut self) {
        let Some((_, first)) = self.0.pop_first() else { return };
        if let Some(mut next) = self.0.first_entry() {
            next.get_mut().merge(&first);
            next.get_mut().merge_rows(MAX_JOB_DAY_ROWS);
        }
    }

    /// Merges all days into the last one.
    pub fn merge_days(&mut self) {
        while self.0.len() > 1 {
            self.merge_first_day();
        }
        self.merge_rows(REDUCED_DAY_ROWS);
    }

    /// Moves usage of days before `open` to `open`, because those days may be closed.
    pub fn move_closed_days(&mut self, open: u64) {
        let closed_days = self.0.iter().take_while(|(day, _)| **day < open);
        let closed_days: Vec<u64> = closed_days.map(|(day, _)| *day).collect();
        for day in closed_days {
            let Some(usage) = self.0.remove(&day) else { continue };
            let target = self.0.entry(open).or_default();
            target.merge(&usage);
            target.merge_rows(MAX_JOB_DAY_ROWS);
        }
    }

    pub fn merge(&mut self, other: &UsageByDay) {
        for (day, usage) in &other.0 {
            self.0.entry(*day).or_default().merge(usage);
        }
    }

    /// Merges rows until each day has at most `max_rows`.
    pub fn merge_rows(&mut self, max_rows: usize) {
        self.0.values_mut().for_each(|usage| usage.merge_rows(max_rows));
    }

    /// Approximate upper bound of the stored size, in bytes.
    pub fn estimated_bytes(&self) -> usize {
        self.0.values().map(|usage| 20 + usage.len() * MAX_ROW_BYTES).sum()
    }

    pub fn days(&self) -> impl Iterator<Item = (u64, &UsageByBucket)> {
        self.0.iter().map(|(day, usage)| (*day, usage))
    }
}

/// A job's usage, as stored in its final state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobUsage {
    #[serde(rename = "t")]
    pub team: String,
    #[serde(rename = "c")]
    pub class: String,
    #[serde(rename = "d")]
    pub days: UsageByDay,
}

/// How far this leader has loaded the final states that are not counted yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadProgress {
    /// The cursor has not been read.
    #[default]
    NotStarted,
    /// Final states after this revision, the cursor's, are being read.
    Reading(Revision),
    /// All final states after the cursor are loaded.
    Complete,
}

/// The part of an uncounted final state that belongs to one roll-up.
#[derive(Clone, Debug)]
struct Pending {
    revision: Revision,
    job: JobId,
    id: RollupId,
    usage: UsageByBucket,
}

#[derive(Clone, Debug, Default)]
struct CachedRollup {
    revision: Revision,
    rollup: Rollup,
}

/// The leader's usage accounting. A roll-up that is not cached is assumed not to exist: if it does, the write
/// conflicts, and the stored value is then read and cached.
#[derive(Clone, Debug, Default)]
pub struct Rollups {
    load_progress: LoadProgress,
    cached_rollups: BTreeMap<RollupId, CachedRollup>,
    cursor: (Revision, Cursor),
    /// Final states that are not counted yet, oldest first.
    pending: VecDeque<Pending>,
    /// Roll-ups as the transaction being built or in flight leaves them.
    in_flight: BTreeMap<RollupId, Rollup>,
    next_flush: Mono,
    flush_period: Millis,
    /// Maximum number of rows of a roll-up.
    max_rows: usize,
    /// Revision of the newest known final state.
    newest_final: Revision,
}

impl Rollups {
    /// Empty accounting that adds final states to the roll-ups with the given period.
    pub fn new(flush_period: Millis) -> Self {
        Self { flush_period, max_rows: MAX_ROLLUP_ROWS, ..Self::default() }
    }

    /// Limits roll-ups to values of `value_bytes`.
    pub fn with_value_limit(self, value_bytes: usize) -> Self {
        let rows = value_bytes.saturating_sub(ROLLUP_HEADER_BYTES) / MAX_ROW_BYTES;
        Self { max_rows: rows.clamp(1, MAX_ROLLUP_ROWS), ..self }
    }

    pub fn load_progress(&self) -> LoadProgress {
        self.load_progress
    }

    /// Sets how far the final states are loaded; the state changes only here.
    pub fn set_load_progress(&mut self, load_progress: LoadProgress) {
        self.load_progress = load_progress;
    }

    pub fn cursor(&self) -> Cursor {
        self.cursor.1
    }

    /// Sets the cursor as stored; without a stored one, accounting begins at the revision `begin`.
    pub fn set_cursor(&mut self, found: Option<(Cursor, Revision)>, begin: Revision) {
        let initial = Cursor { counted_through: begin, closed_before: 0 };
        self.cursor = found.map_or((Revision(0), initial), |(cursor, revision)| (revision, cursor));
        self.newest_final = self.newest_final.max(self.cursor.1.counted_through);
    }

    /// Adds a final state that is stored at the given revision.
    pub fn add_final_state(&mut self, job: &JobId, job_usage: &JobUsage, revision: Revision) {
        self.newest_final = self.newest_final.max(revision);
        for (day, usage) in job_usage.days.days() {
            let id = RollupId { day, team: job_usage.team.clone(), class: job_usage.class.clone() };
            let counted = self
                .cached_rollups
                .get(&id)
                .is_some_and(|cached| revision <= cached.rollup.counted_through);
            // A final state may be both read from the store and reported by its write: it is added only once. Several
            // jobs may have ended in one write, so the revision alone does not identify it.
            let same = |p: &Pending| p.revision == revision && p.job == *job && p.id == id;
            if !counted && !self.pending.iter().any(same) {
                let (job, usage) = (job.clone(), usage.clone());
                self.pending.push_back(Pending { revision, job, id, usage });
            }
        }
    }

    /// Number of parts of final states that are not counted yet.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Number of roll-ups that the transaction being built already writes.
    pub fn write_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Adds usage of an assignment record to the transaction being built.
    pub fn add_usage(&mut self, team: &str, class: &str, days: &UsageByDay) {
        for (day, usage) in days.days() {
            let rollup_id = RollupId { day, team: team.to_owned(), class: class.to_owned() };
            let mut rollup = self.latest(&rollup_id);
            rollup.usage.merge(usage);
            rollup.usage.merge_rows(self.max_rows);
            self.in_flight.insert(rollup_id, rollup);
        }
    }

    fn latest(&self, rollup_id: &RollupId) -> Rollup {
        let cached = || self.cached_rollups.get(rollup_id).map(|cached| cached.rollup.clone());
        self.in_flight.get(rollup_id).cloned().or_else(cached).unwrap_or_default()
    }

    /// Whether it is time to count final states. Days before `today` may be closed by that.
    pub fn flush_due(&self, now: Mono, today: u64) -> bool {
        let cursor_missing = self.cursor.0 == Revision(0);
        let due = cursor_missing || !self.pending.is_empty() || self.may_close(today);
        let due = now >= self.next_flush && due;
        self.load_progress == LoadProgress::Complete && (due || self.pending.len() >= MAX_PENDING)
    }

    fn may_close(&self, today: u64) -> bool {
        self.cursor.1.closed_before < today
    }

    /// Adds final states to at most `max_rollups` roll-ups. Returns the new cursor if all are counted.
    pub fn flush(&mut self, max_rollups: usize, now: Mono, open_from: u64) -> Option<Cursor> {
        self.next_flush = now.plus(self.flush_period);
        let mut left_out = false;
        for Pending { revision, id, usage, .. } in &self.pending {
            if !self.in_flight.contains_key(id) && self.in_flight.len() >= max_rollups {
                left_out = true;
                continue;
            }
            let mut rollup = self.latest(id);
            if *revision > rollup.counted_through {
                rollup.usage.merge(usage);
            }
            self.in_flight.insert(id.clone(), rollup);
        }
        for (id, rollup) in &mut self.in_flight {
            // The roll-up now includes all of its final states up to `newest_final`.
            if self.pending.iter().any(|p| p.id == *id) {
                rollup.counted_through = rollup.counted_through.max(self.newest_final);
            }
            rollup.usage.merge_rows(self.max_rows);
        }
        if left_out {
            self.next_flush = now;
            return None;
        }
        let closed_before = self.cursor.1.closed_before.max(open_from);
        Some(Cursor { counted_through: self.newest_final, closed_before })
    }

    /// Writes of the transaction being built: roll-up, required stored revision, new value.
    pub fn writes(&self) -> impl Iterator<Item = (&RollupId, Revision, &Rollup)> {
        self.in_flight.iter().map(|(rollup_id, rollup)| {
            (
                rollup_id,
                self.cached_rollups.get(rollup_id).map_or(Revision(0), |cached| cached.revision),
                rollup,
            )
        })
    }

    pub fn cursor_revision(&self) -> Revision {
        self.cursor.0
    }

    /// Records that the transaction was applied.
    pub fn mark_committed(&mut self, rollup_id: &RollupId, revision: Revision) {
        if let Some(rollup) = self.in_flight.remove(rollup_id) {
            self.cache(rollup_id.clone(), rollup, revision);
        }
    }

    pub fn mark_cursor_committed(&mut self, cursor: Cursor, revision: Revision) {
        self.cursor = (revision, cursor);
    }

    /// Discards the transaction, which was not applied or has an unknown outcome; its writes are rebuilt.
    pub fn discard_writes(&mut self) {
        self.in_flight.clear();
        self.next_flush = Mono(0);
    }

    /// Sets a roll-up as stored, read after a conflict or a transaction with an unknown outcome.
    pub fn set_stored(&mut self, rollup_id: &RollupId, found: Option<(Rollup, Revision)>) {
        match found {
            Some((rollup, revision)) => self.cache(rollup_id.clone(), rollup, revision),
            None => _ = self.cached_rollups.remove(rollup_id),
        }
    }

    fn cache(&mut self, rollup_id: RollupId, rollup: Rollup, revision: Revision) {
        let through = rollup.counted_through;
        self.pending.retain(|p| p.id != rollup_id || p.revision > through);
        self.cached_rollups.insert(rollup_id, CachedRollup { revision, rollup });
        // Drops the oldest days first: closed days are not written again, and others are read again on conflict.
        while self.cached_rollups.len() > MAX_PENDING {
            self.cached_rollups.pop_first();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::AttemptEnd;
    use crate::entry::tests::entry;
    use oatloom_protocol::wire::ExitCause;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    #[test]
    fn keys_round_trip_for_any_name() {
        for name in ["red", "", "a/b c", "ü%"] {
            let rollup_id = RollupId { day: 20_788, team: name.into(), class: "c".into() };
            let key = rollup_id.key();
            assert!(!key.contains(' ') && key.matches('/').count() == 3, "{key}");
            assert_eq!(RollupId::parse(&key), Some(rollup_id));
        }
        let long = RollupId { day: 1, team: "x".repeat(500), class: "ü".repeat(500) };
        assert!(long.key().len() <= 200);
        assert_eq!(RollupId::parse("use/x/a/b"), None);
    }

    /// Simulated state service with the records that accounting uses.
    #[derive(Default)]
    struct Store {
        revision: u64,
        rollups: BTreeMap<RollupId, (Rollup, Revision)>,
        cursor: Option<(Cursor, Revision)>,
        final_states: Vec<(Revision, JobId, JobUsage)>,
    }

    impl Store {
        /// Applies the transaction if every revision matches. Returns whether it was applied.
        fn apply(&mut self, rollups: &Rollups, cursor: Option<Cursor>) -> bool {
            let revision =
                |id: &RollupId| self.rollups.get(id).map_or(Revision(0), |(_, stored)| *stored);
            let matches = rollups.writes().all(|(id, version, _)| revision(id) == version)
                && self.cursor.map_or(Revision(0), |(_, stored)| stored)
                    == rollups.cursor_revision();
            if matches {
                self.revision += 1;
                for (id, _, rollup) in rollups.writes() {
                    self.rollups.insert(id.clone(), (rollup.clone(), Revision(self.revision)));
                }
                if let Some(cursor) = cursor {
                    self.cursor = Some((cursor, Revision(self.revision)));
                }
            }
            matches
        }
    }

    /// With leader changes at any step and with writes that are lost or whose replies are lost, the roll-ups finally
    /// contain exactly the usage of all jobs, to the millisecond.
    #[test]
    fn every_final_state_counts_once_across_leader_changes() {
        for seed in 0..200 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut store = Store::default();
            let mut rollups = Rollups::new(USAGE_FLUSH_PERIOD_MS);
            let mut expected_ms = 0;
            for step in 0..120u64 {
                let now = Mono(step * 10_000);
                match rng.random_range(0..10) {
                    // Leader change: the new leader reads the cursor and the final states after it.
                    0 => {
                        rollups = Rollups::new(USAGE_FLUSH_PERIOD_MS);
                        rollups.set_cursor(store.cursor, Revision(0));
                        let after = rollups.cursor().counted_through;
                        let uncounted =
                            store.final_states.iter().filter(|(revision, ..)| *revision > after);
                        uncounted.for_each(|(revision, job, usage)| {
                            rollups.add_final_state(job, usage, *revision)
                        });
                        rollups.set_load_progress(LoadProgress::Complete);
                    }
                    1..6 => {
                        let mut days = UsageByDay::default();
                        let mut e = entry(
                            AttemptEnd::Reported(ExitCause::Done),
                            rng.random_range(1..5_000),
                        );
                        e.ended_ms = rng.random_range(0..3) * DAY_MS;
                        days.add(&e);
                        let team = format!("t{}", rng.random_range(0..3));
                        let job_usage = JobUsage { team, class: "c".into(), days };
                        // Several jobs may end in one write, with the same revision.
                        store.revision += 1;
                        let revision = Revision(store.revision);
                        for n in 0..rng.random_range(1..4) {
                            expected_ms += e.ran_ms;
                            let job = JobId::new(&format!("req-{step}{n}"));
                            store.final_states.push((revision, job.clone(), job_usage.clone()));
                            if rollups.load_progress() == LoadProgress::Complete {
                                rollups.add_final_state(&job, &job_usage, revision);
                            }
                        }
                    }
                    _ if rollups.flush_due(now, 0) => {
                        let cursor = rollups.flush(2, now, 0);
                        let ids: Vec<RollupId> =
                            rollups.writes().map(|(id, ..)| id.clone()).collect();
                        let applied = rng.random_bool(0.8) && store.apply(&rollups, cursor);
                        if applied && rng.random_bool(0.6) {
                            for id in &ids {
                                rollups.mark_committed(id, Revision(store.revision));
                            }
                            if let Some(cursor) = cursor {
                                rollups.mark_cursor_committed(cursor, Revision(store.revision));
                            }
                        } else {
                            rollups.discard_writes();
                            let found = |id| store.rollups.get(id).cloned();
                            ids.iter().for_each(|id| rollups.set_stored(id, found(id)));
                            rollups.set_cursor(store.cursor, Revision(0));
                        }
                    }
                    _ => {}
                }
            }
            // The last leader counts the remaining final states.
            let mut last = Rollups::default();
            last.set_cursor(store.cursor, Revision(0));
            let after = last.cursor().counted_through;
            let uncounted = store.final_states.iter().filter(|(revision, ..)| *revision > after);
            uncounted
                .for_each(|(revision, job, usage)| last.add_final_state(job, usage, *revision));
            last.set_load_progress(LoadProgress::Complete);
            let mut rounds = 0;
            while last.pending_count() > 0 {
                rounds += 1;
                assert!(rounds < 50, "seed {seed}: flushing does not finish");
                let cursor = last.flush(2, Mono(0), 0);
                let ids: Vec<RollupId> = last.writes().map(|(id, ..)| id.clone()).collect();
                if store.apply(&last, cursor) {
                    let revision = Revision(store.revision);
                    ids.iter().for_each(|id| last.mark_committed(id, revision));
                    cursor.into_iter().for_each(|c| last.mark_cursor_committed(c, revision));
                } else {
                    last.discard_writes();
                    for id in &ids {
                        last.set_stored(id, store.rollups.get(id).cloned());
                    }
                }
            }
            let total: u64 = store.rollups.values().map(|(r, _)| r.usage.total().ran_ms).sum();
            assert_eq!(total, expected_ms, "seed {seed}");
        }
    }

    #[test]
    fn job_usage_stays_small_and_preserves_sums() {
        let mut days = UsageByDay::default();
        for n in 0..90u64 {
            let mut e = entry(AttemptEnd::Reported(ExitCause::Done), 5);
            e.flavor = format!("f{}", n % 30);
            e.ended_ms = n / 30 * DAY_MS;
            days.add(&e);
        }
        let sums = |days: &UsageByDay| -> Vec<(u64, u64)> {
            days.days().map(|(day, usage)| (day, usage.total().attempts)).collect()
        };
        assert_eq!(sums(&days), [(1, 60), (2, 30)]);
        assert!(days.days().all(|(_, usage)| usage.len() <= MAX_JOB_DAY_ROWS));
        days.move_closed_days(9);
        assert_eq!(sums(&days), [(9, 90)]);
    }
}

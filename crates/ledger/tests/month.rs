//! A month of mixed work through usage accounting, in one process and without a state service: the roll-ups by team,
//! class and day sum to exactly the usage entered. `OATLOOM_ATTEMPTS` sets the number of attempts.

use oatloom_ledger::constants::{DAY_MS, USAGE_FLUSH_PERIOD_MS};
use oatloom_ledger::entry::{AttemptEnd, UsageEntry};
use oatloom_ledger::query::{UsagePage, UsageQuery};
use oatloom_ledger::rollup::{
    Cursor, JobUsage, LoadProgress, Rollup, RollupId, Rollups, UsageByDay,
};
use oatloom_ledger::sums::UsageSums;
use oatloom_protocol::ids::{Attempt, HostId, JobId, Mono, Revision, TaskId, Zone};
use oatloom_protocol::wire::{ExitCause, Rank, Shape};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Instant;

/// Simulated state service: roll-ups, cursor, and final states that a new leader would read.
#[derive(Default)]
struct Store {
    revision: u64,
    rollups: BTreeMap<RollupId, (Rollup, Revision)>,
    cursor: Option<(Cursor, Revision)>,
    final_states: Vec<(Revision, JobId, JobUsage)>,
}

impl Store {
    /// Accounting of a new leader, which has read the cursor and the final states after it.
    fn new_leader(&mut self) -> Rollups {
        let mut rollups = Rollups::new(USAGE_FLUSH_PERIOD_MS);
        rollups.set_cursor(self.cursor, Revision(0));
        let after = rollups.cursor().counted_through;
        self.final_states.retain(|(revision, ..)| *revision > after);
        self.final_states
            .iter()
            .for_each(|(revision, job, usage)| rollups.add_final_state(job, usage, *revision));
        rollups.set_load_progress(LoadProgress::Complete);
        rollups
    }

    /// Flushes until nothing is due. Returns the number of keys written.
    fn flush(&mut self, rollups: &mut Rollups, now: Mono, open_from: u64) -> u64 {
        let mut changes = 0;
        while rollups.flush_due(now, open_from) {
            let cursor = rollups.flush(15, now, open_from);
            let stored_revision =
                |id: &RollupId| self.rollups.get(id).map_or(Revision(0), |(_, stored)| *stored);
            let versions_match =
                rollups.writes().all(|(id, version, _)| stored_revision(id) == version);
            let ids: Vec<RollupId> = rollups.writes().map(|(id, ..)| id.clone()).collect();
            if !versions_match {
                rollups.discard_writes();
                for id in &ids {
                    rollups.set_stored(id, self.rollups.get(id).cloned());
                }
                continue;
            }
            self.revision += 1;
            let revision = Revision(self.revision);
            changes += ids.len() as u64 + u64::from(cursor.is_some());
            for (id, _, rollup) in rollups.writes() {
                self.rollups.insert(id.clone(), (rollup.clone(), revision));
            }
            ids.iter().for_each(|id| rollups.mark_committed(id, revision));
            if let Some(cursor) = cursor {
                self.cursor = Some((cursor, revision));
                rollups.mark_cursor_committed(cursor, revision);
                self.final_states.clear();
            }
        }
        changes
    }
}

fn random_entry(
    task: TaskId,
    rng: &mut ChaCha8Rng,
    team: &str,
    class: &str,
    ended_ms: u64,
) -> UsageEntry {
    let ran_ms = rng.random_range(0..240_000);
    let end = match rng.random_range(0..20) {
        0 => AttemptEnd::Reported(ExitCause::Error),
        1 => AttemptEnd::Reported(ExitCause::Stopped),
        2 => AttemptEnd::Unreported,
        _ => AttemptEnd::Reported(ExitCause::Done),
    };
    UsageEntry {
        task,
        attempt: Attempt(rng.random()),
        team: team.to_owned(),
        class: class.to_owned(),
        shape: Shape::Array,
        rank: Rank::Standard,
        host: HostId::new("i-000001"),
        flavor: ["whole", "half"][rng.random_range(0..2)].to_owned(),
        zone: Zone::new(["a", "b", "c"][rng.random_range(0..3)]),
        spot: rng.random_bool(0.5),
        ended_ms,
        held_ms: ran_ms + rng.random_range(0..30_000),
        ran_ms,
        unseen_ms: if end == AttemptEnd::Unreported { 9_000 } else { 0 },
        end,
        progress_saved: rng.random_bool(0.5),
        job_continues: rng.random_bool(0.9),
        checkpoint_ms: 30_000,
        cpus: 0.1 * f64::from(rng.random_range(1..100)),
        gpus: f64::from(rng.random_range(0..4)),
        memory_gb: 8.0,
        hourly_price: rng.random_range(1.0..12.0),
        machine_share: rng.random_range(0.0..1.0),
    }
}

#[test]
fn a_month_is_rolled_up_exactly() {
    let requested = std::env::var("OATLOOM_ATTEMPTS").ok().and_then(|n| n.parse().ok());
    let attempts: u64 = requested.unwrap_or(60_000);
    let mut rng = ChaCha8Rng::seed_from_u64(30);
    let (mut store, mut expected) = (Store::default(), BTreeMap::<RollupId, UsageSums>::new());
    let mut rollups = store.new_leader();
    let (mut entered, mut changes, mut takeovers, mut jobs) = (0, 0, 0, 0u64);
    let started = Instant::now();
    let mut clock = 0;
    while entered < attempts {
        // The time of the job's end is proportional to the share of attempts entered so far.
        let tasks = rng.random_range(1..60).min(attempts - entered);
        clock = (entered as f64 / attempts as f64 * (30 * DAY_MS) as f64) as u64;
        let team = format!("team-{}", rng.random_range(0..4));
        let class = format!("class-{}", rng.random_range(0..6));
        jobs += 1;
        let job = JobId::new(&format!("req-{jobs}"));
        let mut days = UsageByDay::default();
        for n in 0..tasks {
            let e = random_entry(TaskId::new(&job, n as u32), &mut rng, &team, &class, clock);
            let id = RollupId { day: e.day(), team: team.clone(), class: class.clone() };
            expected.entry(id).or_default().add(&UsageSums::from(&e));
            days.add(&e);
        }
        entered += tasks;
        store.revision += 1;
        let job_usage = JobUsage { team, class, days };
        store.final_states.push((Revision(store.revision), job.clone(), job_usage.clone()));
        rollups.add_final_state(&job, &job_usage, Revision(store.revision));
        if rng.random_bool(0.002) {
            takeovers += 1;
            rollups = store.new_leader();
        }
        changes += store.flush(&mut rollups, Mono(clock), (clock / DAY_MS).saturating_sub(1));
    }
    let flush_time = Mono(clock).plus(USAGE_FLUSH_PERIOD_MS);
    changes += store.flush(&mut rollups, flush_time, 31);
    let elapsed = started.elapsed();
    println!(
        "{entered} attempts of {jobs} jobs, {takeovers} takeovers, {changes} changes, {} roll-ups, {:.0} attempts/s",
        store.rollups.len(),
        entered as f64 / elapsed.as_secs_f64()
    );
    assert_eq!(rollups.pending_count(), 0);
    let total_of =
        |(id, (rollup, _)): (&RollupId, &(Rollup, Revision))| (id.clone(), rollup.usage.total());
    assert_eq!(store.rollups.iter().map(total_of).collect::<BTreeMap<_, _>>(), expected);
    assert!(expected.len() <= 4 * 6 * 30, "grows with teams, classes and days only");
    for (rollup, _) in store.rollups.values() {
        assert!(serde_json::to_string(rollup).unwrap().len() < 8 * 1024);
    }
    // The pages of a query sum to the same.
    let mut query = UsageQuery::parse("from=1970-01-02&to=1970-01-20&most=50").unwrap();
    let by_key: BTreeMap<String, &Rollup> =
        store.rollups.iter().map(|(id, (rollup, _))| (id.key(), rollup)).collect();
    let mut reported_cost = 0;
    loop {
        let rest: Vec<_> =
            by_key.range(query.start_key()..).filter(|(k, _)| **k > query.start_key()).collect();
        let found =
            rest.iter().take(40).map(|(key, rollup)| ((*key).clone(), Some((**rollup).clone())));
        let cursor = store.cursor.unwrap_or_default().0;
        let page = UsagePage::build(&query, found, rest.len() > 40, cursor);
        reported_cost += page.rows.iter().map(|row| row.sums.cost_micros).sum::<u64>();
        assert!(page.rows.iter().all(|row| row.closed));
        match page.next {
            Some(next) => query.start_after = Some(next),
            None => break,
        }
    }
    let in_range = expected.iter().filter(|(id, _)| (1..=19).contains(&id.day));
    assert_eq!(reported_cost, in_range.map(|(_, sums)| sums.cost_micros).sum::<u64>());
}

//! Usage accounting: builds the entry of an attempt that is provably gone.

use super::*;
use oatloom_ledger::entry::{AttemptEnd, UsageEntry};

impl LeaderTerm {
    /// Records the usage of an attempt that is about to be released, if it may have been on its machine. `ran_ms`: run
    /// time reported by the worker with the end.
    pub(super) fn record_usage(
        &mut self,
        id: &JobId,
        index: u32,
        end: AttemptEnd,
        (stored, ran_ms): (bool, Option<u64>),
        now: Mono,
    ) {
        let Some(accounting) = &self.job_table.usage_accounting else { return };
        let wall_ms = accounting.wall_ms;
        let Some(job) = self.job_table.get(id) else { return };
        let Some(assignment) =
            job.assignment(index).filter(|assignment| assignment.run_sent != RunSent::No)
        else {
            return;
        };
        let spec = &job.spec;
        let machine = self.fleet.machines.get(&assignment.host);
        // An assignment made by an earlier leader is only known to be no older than its job.
        let since = match assignment.run_sent {
            // A finished job is known from its records alone, which lack the submission time.
            RunSent::Inherited if job.submitted > Mono(0) => job.submitted,
            _ => assignment.assigned_at,
        };
        let running_ms = assignment.running_since.map_or(0, |since| now.since(since).0);
        let running_ms = if end == AttemptEnd::Unreported { 0 } else { running_ms };
        let ran_ms = ran_ms.or(assignment.reported_run_ms).unwrap_or(running_ms);
        // Reports may arrive late, so only the proof that the task is gone bounds how long it ran after the last one.
        let unseen_ms = if end == AttemptEnd::Unreported {
            now.since(since).0.saturating_sub(ran_ms)
        } else {
            0
        };
        let flavor = machine.and_then(|m| self.fleet.flavor(&m.flavor));
        let spot = machine.is_some_and(|m| m.spot);
        let entry = UsageEntry {
            task: TaskId::new(id, index),
            attempt: assignment.attempt,
            team: spec.team.clone(),
            class: spec.class.clone(),
            shape: spec.shape,
            rank: spec.rank,
            host: assignment.host.clone(),
            flavor: flavor.map(|f| f.label.clone()).unwrap_or_default(),
            zone: assignment.zone.clone(),
            spot,
            ended_ms: wall_ms,
            held_ms: now.since(assignment.assigned_at).0.max(ran_ms),
            ran_ms,
            unseen_ms,
            end,
            progress_saved: stored,
            job_continues: matches!(job.state, JobState::Open)
                || end == AttemptEnd::Reported(ExitCause::Done),
            checkpoint_ms: Millis::from_secs(spec.checkpoint_s).0,
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
            hourly_price: flavor.map_or(0.0, |f| f.hourly_price(spot)),
            machine_share: flavor
                .map_or(0.0, |f| Resources::from(&**spec).share_of(&Resources::from(f))),
        };
        self.job_table.record_usage(&entry);
    }
}

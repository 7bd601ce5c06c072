//! Usage of one attempt, from its assignment to its end.

use crate::constants::{DAY_MS, MICROS_PER_UNIT};
use oatloom_protocol::ids::{Attempt, HostId, TaskId, Zone};
use oatloom_protocol::wire::{ExitCause, Rank, Shape};
use std::fmt;

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker reported the end, with this cause.
    Reported(ExitCause),
    /// No end was reported: the machine or its lease was lost. The run time is the one reported last; the attempt
    /// may have run on until the lease expired.
    Unreported,
}

/// Formats an end as `Seen(cause)` or `Unseen`.
impl fmt::Debug for AttemptEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reported(cause) => f.debug_tuple("Seen").field(cause).finish(),
            Self::Unreported => f.write_str("Unseen"),
        }
    }
}

/// Usage of an attempt, recorded at its end. Times are measured by the worker if it reported them, otherwise by
/// the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageEntry {
    pub task: TaskId,
    pub attempt: Attempt,
    pub team: String,
    pub class: String,
    pub shape: Shape,
    pub rank: Rank,
    pub host: HostId,
    pub flavor: String,
    pub zone: Zone,
    pub spot: bool,
    /// Wall-clock time of the end, in milliseconds.
    pub ended_ms: u64,
    /// Time from assignment to end, in milliseconds.
    pub held_ms: u64,
    /// Run time within `held_ms`, in milliseconds.
    pub ran_ms: u64,
    /// Upper bound on the unreported run time, in milliseconds.
    pub unseen_ms: u64,
    pub end: AttemptEnd,
    /// Whether its progress was saved when it was stopped.
    pub progress_saved: bool,
    /// Whether its job continues, so that lost work has to be run again.
    pub job_continues: bool,
    /// Checkpoint interval in milliseconds; 0: no checkpoints.
    pub checkpoint_ms: u64,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    /// Hourly price of the machine at the end.
    pub hourly_price: f64,
    /// Share of the machine that the attempt occupied.
    pub machine_share: f64,
}

/// An attempt's run time by its use. The parts sum to the run time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTimeBreakdown {
    /// Run time of a completed task or a replica, or saved progress.
    pub useful_ms: u64,
    /// Run time that has to be repeated.
    pub repeated_ms: u64,
    /// Run time wasted because the job was cancelled or failed.
    pub lost_ms: u64,
}

impl UsageEntry {
    /// The day on which the attempt is counted, in days since 1970-01-01.
    pub fn day(&self) -> u64 {
        self.ended_ms / DAY_MS
    }

    /// Splits the run time by its use. Useful work is run time of tasks that completed, saved progress and run time
    /// of replicas (protocol, "How aims are counted"). An attempt is assumed to start at a checkpoint.
    pub fn run_time_breakdown(&self) -> RunTimeBreakdown {
        let ran = self.ran_ms;
        let useful_ms = match self.end {
            _ if self.shape == Shape::Service => ran,
            AttemptEnd::Reported(ExitCause::Done) => ran,
            AttemptEnd::Reported(ExitCause::Stopped) if self.progress_saved => ran,
            _ if !self.job_continues => 0,
            _ => ran.checked_div(self.checkpoint_ms).unwrap_or(0) * self.checkpoint_ms,
        };
        let not_useful_ms = ran - useful_ms;
        match self.job_continues {
            true => RunTimeBreakdown { useful_ms, repeated_ms: not_useful_ms, lost_ms: 0 },
            false => RunTimeBreakdown { useful_ms, repeated_ms: 0, lost_ms: not_useful_ms },
        }
    }

    /// Cost of its share of the machine from assignment to end, in millionths of a unit of money.
    pub fn cost_micros(&self) -> u64 {
        let hours = self.held_ms as f64 / 3_600_000.0;
        (hours * self.hourly_price.max(0.0) * self.machine_share.clamp(0.0, 1.0) * MICROS_PER_UNIT)
            .round() as u64
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use oatloom_protocol::ids::JobId;

    pub fn entry(end: AttemptEnd, ran_ms: u64) -> UsageEntry {
        UsageEntry {
            task: TaskId::new(&JobId::new("req-1"), 0),
            attempt: Attempt(1),
            team: "red".into(),
            class: "quick".into(),
            shape: Shape::Array,
            rank: Rank::Low,
            host: HostId::new("i-1"),
            flavor: "g4".into(),
            zone: Zone::new("a"),
            spot: false,
            ended_ms: 5 * DAY_MS + 7,
            held_ms: ran_ms + 1_000,
            ran_ms,
            unseen_ms: 0,
            end,
            progress_saved: false,
            job_continues: true,
            checkpoint_ms: 0,
            cpus: 2.0,
            gpus: 1.0,
            memory_gb: 8.0,
            hourly_price: 3.6,
            machine_share: 0.25,
        }
    }

    #[test]
    fn run_time_is_useful_repeated_or_lost() {
        let breakdown_of = |e: UsageEntry| {
            let breakdown = e.run_time_breakdown();
            assert_eq!(breakdown.useful_ms + breakdown.repeated_ms + breakdown.lost_ms, e.ran_ms);
            (breakdown.useful_ms, breakdown.repeated_ms, breakdown.lost_ms)
        };
        assert_eq!(breakdown_of(entry(AttemptEnd::Reported(ExitCause::Done), 900)), (900, 0, 0));
        assert_eq!(breakdown_of(entry(AttemptEnd::Reported(ExitCause::Error), 900)), (0, 900, 0));
        assert_eq!(breakdown_of(entry(AttemptEnd::Unreported, 900)), (0, 900, 0));
        let job_ended = UsageEntry {
            job_continues: false,
            ..entry(AttemptEnd::Reported(ExitCause::Stopped), 900)
        };
        assert_eq!(breakdown_of(job_ended), (0, 0, 900));
        let with_checkpoints =
            UsageEntry { checkpoint_ms: 400, ..entry(AttemptEnd::Unreported, 900) };
        assert_eq!(breakdown_of(with_checkpoints.clone()), (800, 100, 0));
        let saved = UsageEntry {
            progress_saved: true,
            end: AttemptEnd::Reported(ExitCause::Stopped),
            ..with_checkpoints
        };
        assert_eq!(breakdown_of(saved), (900, 0, 0));
        let replica = UsageEntry { shape: Shape::Service, ..entry(AttemptEnd::Unreported, 900) };
        assert_eq!(breakdown_of(replica), (900, 0, 0));
    }

    #[test]
    fn cost_is_the_share_of_the_machine_while_held() {
        // A quarter of a machine at 3.6 an hour, for an hour.
        let mut e = entry(AttemptEnd::Reported(ExitCause::Done), 0);
        e.held_ms = 3_600_000;
        assert_eq!(e.cost_micros(), 900_000);
        assert_eq!(UsageEntry { hourly_price: -1.0, ..e }.cost_micros(), 0);
    }
}

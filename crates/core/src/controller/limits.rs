//! The limits of the state service that the controller applies: the current ones, the announced
//! ones, and whether the announced ones are known to be in force.

use super::*;
use crate::jobs::{RecordForm, RecordLimits};
use oatloom_protocol::settings::StateFacts;

/// Which limits are in force, as far as the service's responses show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LimitsInForce {
    #[default]
    Current,
    /// The service has refused what the current limits allow. Limits do not rise again.
    Announced,
}

#[derive(Debug)]
pub(super) struct Limits {
    current: StateFacts,
    /// The smaller of the current and the announced value of each limit.
    strictest: StateFacts,
    in_force: LimitsInForce,
}

impl Limits {
    pub fn new(current: &StateFacts) -> Self {
        Self {
            current: current.clone(),
            strictest: current.strictest(),
            in_force: LimitsInForce::Current,
        }
    }

    /// Maximum number of changes in a transaction. It respects the announced limits from the start,
    /// since nothing depends on larger transactions.
    pub fn max_changes(&self) -> usize {
        self.strictest.txn_ops
    }

    /// Maximum length of the value that a submission may create, in bytes.
    pub fn max_submission_bytes(&self) -> usize {
        (self.strictest.value_kb * 1024.0) as usize
    }

    pub fn record_limits(&self, form: RecordForm) -> RecordLimits {
        let bytes = |facts: &StateFacts| (facts.value_kb * 1024.0 * RECORD_VALUE_SHARE) as usize;
        let facts_in_force = match self.in_force {
            LimitsInForce::Current => &self.current,
            LimitsInForce::Announced => &self.strictest,
        };
        RecordLimits {
            form,
            target_bytes: bytes(&self.strictest),
            max_bytes: bytes(facts_in_force),
        }
    }

    /// Sets which limits are in force; the only place that does. Returns whether this changes any
    /// limit.
    fn enter(&mut self, in_force: LimitsInForce, reason: &str) -> bool {
        let changed = self.in_force != in_force;
        if changed {
            log::info!("limits: {:?} -> {in_force:?} ({reason})", self.in_force);
            self.in_force = in_force;
        }
        changed && self.current != self.strictest
    }
}

impl Controller {
    /// Runs after every event: the leader writes only records that all controllers can read.
    pub(super) fn update_record_limits(&mut self) {
        let form = if self.all_upgraded() { RecordForm::Packed } else { RecordForm::Rows };
        let limits = self.limits.record_limits(form);
        if let Some(leader_term) = self.leader_term.as_mut() {
            leader_term.job_table.limits = limits;
        }
    }

    /// Handles a write that the service refused as invalid; returns whether writes are limited more
    /// strictly from now on.
    pub(super) fn on_write_refused(&mut self, text: &str) -> bool {
        log::warn!("state service: refused a write: {text}");
        let changed = self.limits.enter(LimitsInForce::Announced, "a write was refused");
        self.store.set_limits(&self.limits.strictest);
        self.update_record_limits();
        changed
    }

    /// Handles a request that the service refused because of its rate limit.
    pub(super) fn on_throttled(&mut self) {
        if self.all_upgraded() {
            self.store.set_limits(&self.limits.strictest);
        }
    }
}

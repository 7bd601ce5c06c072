//! The limits of the state service that the controller applies: the current ones, the announced
//! ones, and whether the announced ones are known to be in force.

use super::*;
use crate::jobs::{RecordForm, RecordLimits};
use oatloom_protocol::settings::StateFacts;

/// Which limits are in force, as far as the service's responses show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Seen {
    #[default]
    Present,
    /// The service has refused what the current limits allow. Limits do not rise again.
    Fallen,
}

#[derive(Debug)]
pub(super) struct Limits {
    present: StateFacts,
    /// The smaller of the current and the announced value of each limit.
    strictest: StateFacts,
    seen: Seen,
}

impl Limits {
    pub fn new(present: &StateFacts) -> Self {
        Self { present: present.clone(), strictest: present.strictest(), seen: Seen::Present }
    }

    /// Maximum number of changes in a transaction. It respects the announced limits from the start,
    /// since nothing depends on larger transactions.
    pub fn changes(&self) -> usize {
        self.strictest.txn_ops
    }

    /// Maximum length of the value that a submission may create, in bytes.
    pub fn submission(&self) -> usize {
        (self.strictest.value_kb * 1024.0) as usize
    }

    pub fn records(&self, form: RecordForm) -> RecordLimits {
        let bytes = |facts: &StateFacts| (facts.value_kb * 1024.0 * VALUE_SHARE) as usize;
        let most = match self.seen {
            Seen::Present => &self.present,
            Seen::Fallen => &self.strictest,
        };
        RecordLimits { form, value: bytes(&self.strictest), most: bytes(most) }
    }

    /// Sets which limits are in force; the only place that does. Returns whether this changes any
    /// limit.
    fn enter(&mut self, seen: Seen, why: &str) -> bool {
        let news = self.seen != seen;
        if news {
            log::info!("limits: {:?} -> {seen:?} ({why})", self.seen);
            self.seen = seen;
        }
        news && self.present != self.strictest
    }
}

impl Controller {
    /// Runs after every event: the leader writes only records that all controllers can read.
    pub(super) fn follow_limits(&mut self) {
        let form = if self.all_upgraded() { RecordForm::Packed } else { RecordForm::Rows };
        let limits = self.limits.records(form);
        if let Some(reign) = self.reign.as_mut() {
            reign.book.limits = limits;
        }
    }

    /// Handles a write that the service refused as invalid; returns whether writes are limited more
    /// strictly from now on.
    pub(super) fn write_refused(&mut self, text: &str) -> bool {
        log::warn!("store: a write was refused: {text}");
        let news = self.limits.enter(Seen::Fallen, "a write was refused");
        self.store.keep_to(&self.limits.strictest);
        self.follow_limits();
        news
    }

    /// Handles a request that the service refused because of its rate limit.
    pub(super) fn throttled(&mut self) {
        if self.all_upgraded() {
            self.store.keep_to(&self.limits.strictest);
        }
    }
}

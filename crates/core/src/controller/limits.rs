//! The limits of the state service as the controller acts by them: the present ones, those to come, and whether these
//! are known to hold already.

use super::*;
use crate::jobs::{RecordForm, RecordLimits};
use oatloom_protocol::settings::StateFacts;

/// Whether the limits to come hold already, as far as the service's answers show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Seen {
    #[default]
    Present,
    /// The service has refused what the present limits allow. Limits do not rise again.
    Fallen,
}

#[derive(Debug)]
pub(super) struct Limits {
    present: StateFacts,
    /// The smaller of each limit as it is and as it will be.
    strictest: StateFacts,
    seen: Seen,
}

impl Limits {
    pub fn new(present: &StateFacts) -> Self {
        Self { present: present.clone(), strictest: present.strictest(), seen: Seen::Present }
    }

    /// Changes of one transaction: from the start within the limits to come, since nothing depends on larger ones.
    pub fn changes(&self) -> usize {
        self.strictest.txn_ops
    }

    /// Longest value that a submission may make.
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

    /// The one place where it is taken to be known that the limits have fallen; whether that is news.
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
    /// Once a turn: the leader's book writes what all controllers read.
    pub(super) fn follow_limits(&mut self) {
        let form = if self.all_upgraded() { RecordForm::Packed } else { RecordForm::Rows };
        let limits = self.limits.records(form);
        if let Some(reign) = self.reign.as_mut() {
            reign.book.limits = limits;
        }
    }

    /// The service has refused a write for what it is; whether what is written is other than before from here on.
    pub(super) fn write_refused(&mut self, text: &str) -> bool {
        log::warn!("store: a write was refused: {text}");
        let news = self.limits.enter(Seen::Fallen, "a write was refused");
        self.store.keep_to(&self.limits.strictest);
        self.follow_limits();
        news
    }

    /// The service has refused something for being too much at once.
    pub(super) fn throttled(&mut self) {
        if self.all_upgraded() {
            self.store.keep_to(&self.limits.strictest);
        }
    }
}

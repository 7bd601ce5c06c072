//! Jobs that are known to be accepted, so that a submission which names them needs no read.

use oatloom_protocol::ids::JobId;
// Looked up and never walked through, so that its order does not matter.
#[allow(clippy::disallowed_types)]
use std::collections::HashMap;
use std::collections::VecDeque;

/// What is known of an accepted job for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptedKind {
    /// It ends by itself, so others may wait for it.
    Finite,
    /// It runs until it is cancelled.
    Service,
}

/// A bounded memory of jobs whose acceptance was seen to be durable. That a job is not in it proves nothing.
#[allow(clippy::disallowed_types)]
#[derive(Debug)]
pub struct AcceptedJobs {
    kinds: HashMap<JobId, AcceptedKind>,
    order: VecDeque<JobId>,
    capacity: usize,
}

impl AcceptedJobs {
    /// A memory of at most so many jobs.
    pub fn new(capacity: usize) -> Self {
        Self { kinds: Default::default(), order: VecDeque::new(), capacity }
    }

    /// Remembers a job; beyond the capacity the oldest one is forgotten.
    pub fn insert(&mut self, id: JobId, kind: AcceptedKind) {
        if self.kinds.insert(id.clone(), kind).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.kinds.remove(&oldest);
        }
    }

    /// What is known of a job, if its acceptance was seen.
    pub fn get(&self, id: &JobId) -> Option<AcceptedKind> {
        self.kinds.get(id).copied()
    }
}

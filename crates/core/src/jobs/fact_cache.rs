//! A bounded cache of facts about jobs that never change, so that answers need no read from the state service.

use oatloom_protocol::ids::JobId;
// Never iterated, so its order does not matter.
#[allow(clippy::disallowed_types)]
use std::collections::HashMap;
use std::collections::VecDeque;

/// How an accepted job ends, which never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobLifetime {
    /// It ends by itself, so others may wait for it.
    Finite,
    /// It runs until it is cancelled.
    Service,
}

/// Facts by job. The oldest are evicted beyond the capacity, so the absence of a job says nothing about it.
#[allow(clippy::disallowed_types)]
#[derive(Debug)]
pub struct JobFactCache<T> {
    facts: HashMap<JobId, T>,
    order: VecDeque<JobId>,
    capacity: usize,
}

impl<T> JobFactCache<T> {
    /// A cache of at most `capacity` jobs.
    pub fn new(capacity: usize) -> Self {
        Self { facts: Default::default(), order: VecDeque::new(), capacity }
    }

    /// Adds a fact; evicts the oldest one beyond the capacity.
    pub fn insert(&mut self, id: JobId, fact: T) {
        if self.facts.insert(id.clone(), fact).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.facts.remove(&oldest);
        }
    }

    /// The fact about a job, if it is cached.
    pub fn get(&self, id: &JobId) -> Option<&T> {
        self.facts.get(id)
    }
}

//! A bounded memory of facts about jobs that never change, so that answers need no read.

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

/// Facts by job, of which the oldest are forgotten beyond the capacity. That a job is not in it proves nothing.
#[allow(clippy::disallowed_types)]
#[derive(Debug)]
pub struct JobMemory<T> {
    facts: HashMap<JobId, T>,
    order: VecDeque<JobId>,
    capacity: usize,
}

impl<T> JobMemory<T> {
    /// A memory of at most so many jobs.
    pub fn new(capacity: usize) -> Self {
        Self { facts: Default::default(), order: VecDeque::new(), capacity }
    }

    /// Remembers a fact; beyond the capacity the oldest one is forgotten.
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

    /// What is known of a job, if it is remembered.
    pub fn get(&self, id: &JobId) -> Option<&T> {
        self.facts.get(id)
    }
}

//! Unanswered requests, indexed by the deadline at which they are answered in any case.

use crate::conn_id::ConnId;
use oatloom_protocol::ids::Mono;
use std::collections::{BTreeMap, BTreeSet};

/// Open requests, indexed by deadline. Expired ones are searched for before every event, which costs nothing while there
/// are none, however many requests are open.
#[derive(Debug, Default)]
pub struct OpenRequests {
    deadlines: BTreeMap<ConnId, Mono>,
    by_deadline: BTreeSet<(Mono, ConnId)>,
}

impl OpenRequests {
    /// Adds a request, or moves the deadline of one that is open.
    pub fn insert(&mut self, conn: ConnId, deadline: Mono) {
        if let Some(previous) = self.deadlines.insert(conn, deadline) {
            self.by_deadline.remove(&(previous, conn));
        }
        self.by_deadline.insert((deadline, conn));
    }

    /// Removes a request that is being answered; returns whether it was open.
    pub fn remove(&mut self, conn: ConnId) -> bool {
        let Some(deadline) = self.deadlines.remove(&conn) else { return false };
        self.by_deadline.remove(&(deadline, conn));
        true
    }

    /// Whether a request is still unanswered.
    pub fn contains(&self, conn: ConnId) -> bool {
        self.deadlines.contains_key(&conn)
    }

    /// The requests whose deadline has passed, earliest first; they stay open until they are removed.
    pub fn expired(&self, now: Mono) -> Vec<ConnId> {
        let passed = self.by_deadline.iter().take_while(|(deadline, _)| now >= *deadline);
        passed.map(|(_, conn)| *conn).collect()
    }

    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }
}

#[cfg(test)]
mod tests;

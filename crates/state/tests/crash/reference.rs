//! A reference model of the service, in memory only. It records every state that the service went through, so that a
//! test can find the recovered state among them after a crash.

use std::collections::BTreeMap;

/// A state of the service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Value, revision and lease of each key.
    pub keys: BTreeMap<String, (String, u64, u64)>,
    /// Time to live of each lease in milliseconds.
    pub leases: BTreeMap<u64, u64>,
    /// Revision of the latest change.
    pub revision: u64,
    /// Highest lease id granted so far.
    pub last_lease: u64,
}

/// Revision, key, and the value unless the key was deleted.
pub type Change = (u64, String, Option<String>);

/// The reference model.
#[derive(Clone, Default)]
pub struct Reference {
    /// All states, the initial one first.
    pub states: Vec<State>,
    /// All changes that a watch reports, oldest first.
    pub changes: Vec<Change>,
    /// When each lease expires.
    pub expirations: BTreeMap<u64, u64>,
}

impl Reference {
    /// Starts with an empty state.
    pub fn new() -> Self {
        Self { states: vec![State::default()], ..Self::default() }
    }

    /// The latest state.
    pub fn current(&self) -> &State {
        &self.states[self.states.len() - 1]
    }

    /// Index of the latest state in `states`.
    pub fn current_index(&self) -> usize {
        self.states.len() - 1
    }

    /// Adds a state that results from an action on the latest one.
    fn push_state(&mut self, action: impl FnOnce(&mut State)) {
        let mut state = self.current().clone();
        action(&mut state);
        self.states.push(state);
    }

    /// Applies puts and deletes under one revision.
    pub fn change(&mut self, writes: &[(String, Option<String>, u64)]) {
        let mut applied = Vec::new();
        self.push_state(|state| {
            state.revision += 1;
            for (key, value, lease) in writes {
                let replaced = match value {
                    Some(v) => state.keys.insert(key.clone(), (v.clone(), state.revision, *lease)),
                    None => state.keys.remove(key),
                };
                if value.is_some() || replaced.is_some() {
                    applied.push((state.revision, key.clone(), value.clone()));
                }
            }
        });
        self.changes.extend(applied);
    }

    /// Grants a lease and returns its id.
    pub fn grant_lease(&mut self, ttl_ms: u64, now: u64) -> u64 {
        self.push_state(|state| {
            state.last_lease += 1;
            state.leases.insert(state.last_lease, ttl_ms);
        });
        let lease = self.current().last_lease;
        self.expirations.insert(lease, now + ttl_ms);
        lease
    }

    /// Deletes the keys of a lease, then ends it.
    pub fn end_lease(&mut self, lease: u64) {
        let to_deletion = |(key, (_, _, l)): (&String, &(String, u64, u64))| {
            (*l == lease).then(|| (key.clone(), None, 0))
        };
        let writes: Vec<_> = self.current().keys.iter().filter_map(to_deletion).collect();
        if !writes.is_empty() {
            self.change(&writes);
        }
        self.push_state(|state| {
            state.leases.remove(&lease);
        });
        self.expirations.remove(&lease);
    }

    /// Ends the leases that have expired, soonest first.
    pub fn expire_leases(&mut self, now: u64) {
        while let Some(lease) = self
            .expirations
            .iter()
            .filter(|(_, e)| **e < now)
            .min_by_key(|(l, e)| (**e, **l))
            .map(|(l, _)| *l)
        {
            self.end_lease(lease);
        }
    }

    /// Gives all leases their full time to live again.
    pub fn renew_all_leases(&mut self, now: u64) {
        let leases = self.current().leases.clone();
        self.expirations =
            leases.into_iter().map(|(lease, ttl_ms)| (lease, now + ttl_ms)).collect();
    }

    /// Continues from the state that the service recovered, and removes all later ones.
    pub fn roll_back(&mut self, index: usize, now: u64) {
        self.states.truncate(index + 1);
        let revision = self.current().revision;
        self.changes.retain(|(r, _, _)| *r <= revision);
        self.renew_all_leases(now);
    }

    /// Returns the changes after revision `after` up to revision `to`.
    pub fn find_changes(&self, after: u64, to: u64) -> Vec<Change> {
        self.changes.iter().filter(|(r, _, _)| *r > after && *r <= to).cloned().collect()
    }
}

//! Stand-in for the state service: keys, leases, transactions, watches.

#[path = "state_limits.rs"]
pub mod limits;

use limits::{Refusals, StateLimits};
use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_protocol::ids::{LeaseId, Revision};
use oatloom_protocol::wire::{Change, Changes, LoggedChange, Page, Row, Txn};
use std::collections::BTreeMap;

/// The refusal of a put under an ended lease, which is unrelated to size limits.
pub const NO_SUCH_LEASE: &str = "no such lease";

struct Entry {
    value: serde_json::Value,
    version: u64,
    lease: Option<u64>,
}

#[derive(Default)]
pub struct State {
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (u64, u64)>,
    pub revision: u64,
    next_lease: u64,
    log: Vec<LoggedChange>,
    /// The limits enforced, if any.
    limits: Option<StateLimits>,
    /// Requests refused because of the limits.
    pub refusals: Refusals,
}

impl State {
    /// Enforces these limits from now on.
    pub fn set_limits(&mut self, limits: StateLimits) {
        self.limits = Some(limits);
    }

    /// The same as [`Self::execute`], within the limits.
    pub fn serve(&mut self, now: u64, op: &StoreOp) -> StoreReply {
        let refusal = self.limits.as_mut().and_then(|limits| limits.refuse(now, op));
        match refusal {
            None => self.execute(now, op),
            Some(reply) => {
                match &reply {
                    StoreReply::Malformed(reason) => {
                        self.refusals.too_large.push((now, reason.clone()));
                    }
                    _ => self.refusals.throttled += 1,
                }
                reply
            }
        }
    }

    /// The value stored under a key.
    pub fn value(&self, key: &str) -> Option<&serde_json::Value> {
        self.keys.get(key).map(|entry| &entry.value)
    }

    /// Ends leases that were not renewed.
    pub fn expire(&mut self, now: u64) {
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| now > *end).map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, e)| e.lease == Some(id)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.delete(&key);
        }
    }

    /// All leases regain their full time after an outage.
    pub fn restore_leases(&mut self, now: u64) {
        for (ttl, end) in self.leases.values_mut() {
            *end = now + *ttl;
        }
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.log.push(LoggedChange {
                put: None,
                delete: Some(key.into()),
                value: serde_json::Value::Null,
                version: Revision(self.revision),
            });
        }
    }

    pub fn changes(&self, prefix: &str, after: Revision) -> Vec<LoggedChange> {
        let from = self.log.partition_point(|change| change.version <= after);
        let key_of = |change: &LoggedChange| {
            change.put.clone().or(change.delete.clone()).unwrap_or_default()
        };
        self.log[from..]
            .iter()
            .filter(|change| key_of(change).starts_with(prefix))
            .cloned()
            .collect()
    }

    pub fn follow(&self, prefix: &str, after: Revision) -> StoreReply {
        StoreReply::Changes(Changes {
            revision: Revision(self.revision),
            log: self.changes(prefix, after),
        })
    }

    fn txn(&mut self, txn: &Txn) -> StoreReply {
        let leased = txn.changes.iter().filter_map(|c| match c {
            Change::Put { lease, .. } => *lease,
            Change::Delete { .. } => None,
        });
        if leased.into_iter().any(|l| !self.leases.contains_key(&l.0)) {
            return StoreReply::Malformed(NO_SUCH_LEASE.into());
        }
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |e| e.version) != c.version.0)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return StoreReply::Conflict(failed);
        }
        self.revision += 1;
        for change in &txn.changes {
            match change {
                Change::Put { key, value, lease } => {
                    let version = self.revision;
                    let entry = Entry { value: value.clone(), version, lease: lease.map(|l| l.0) };
                    self.keys.insert(key.clone(), entry);
                    self.log.push(LoggedChange {
                        put: Some(key.clone()),
                        delete: None,
                        value: value.clone(),
                        version: Revision(version),
                    });
                }
                Change::Delete { key } => self.delete(key),
            }
        }
        StoreReply::Committed(Revision(self.revision))
    }

    fn row(&self, key: &str) -> Option<Row> {
        let entry = self.keys.get(key)?;
        Some(Row {
            key: key.into(),
            value: entry.value.clone(),
            version: Revision(entry.version),
            lease: entry.lease.map(LeaseId),
        })
    }

    /// All changes ever made.
    pub fn history(&self) -> &[LoggedChange] {
        &self.log
    }

    /// All rows whose keys have a prefix.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let keys = self.keys.keys().filter(|key| key.starts_with(prefix));
        keys.filter_map(|key| self.row(key)).collect()
    }

    pub fn execute(&mut self, now: u64, op: &StoreOp) -> StoreReply {
        match op {
            StoreOp::Get { key } => self
                .row(key)
                .map_or(StoreReply::Missing(Revision(self.revision)), StoreReply::Found),
            StoreOp::List { prefix, after } => {
                // Small pages, so that a list needs many.
                let mut keys = self
                    .keys
                    .keys()
                    .filter(|k| k.starts_with(prefix.as_str()) && k.as_str() > after.as_str());
                let rows: Vec<Row> = keys.by_ref().take(7).filter_map(|k| self.row(k)).collect();
                let more = keys.next().is_some();
                StoreReply::Page(Page { rows, more, revision: Revision(self.revision) })
            }
            StoreOp::Txn(txn) => self.txn(txn),
            StoreOp::Grant { ttl_ms } => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (*ttl_ms, now + ttl_ms));
                StoreReply::Granted(LeaseId(self.next_lease))
            }
            StoreOp::Touch { lease } => match self.leases.get_mut(&lease.0) {
                Some((ttl, end)) => {
                    *end = now + *ttl;
                    StoreReply::Touched
                }
                None => StoreReply::NoSuchLease,
            },
            StoreOp::Revoke { lease } => {
                self.end_lease(lease.0);
                StoreReply::Touched
            }
            StoreOp::Follow { prefix, after } | StoreOp::Changes { prefix, after } => {
                self.follow(prefix, *after)
            }
        }
    }
}

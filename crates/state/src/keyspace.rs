//! Keys, leases and the latest changes, in memory. Changes are applied as [`Record`]s, both while serving and in
//! recovery, so that both give the same state.

use crate::constants::MAX_RECENT_CHANGE_COUNT;
use crate::records::{Record, SnapshotFooter, SnapshotRow, Write};
use oatloom_protocol::ids::{Millis, Mono};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value as JSON text.
    pub value: Arc<str>,
    /// Revision of the last change.
    pub revision: u64,
    /// The lease that the key is attached to; 0 if none.
    pub lease: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    /// Time to live, granted anew by each renewal.
    ttl_ms: u64,
    expires_at: Mono,
    keys: BTreeSet<Arc<str>>,
}

/// A change that is still available to watches; without a value, the key was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecentChange {
    pub key: Arc<str>,
    /// The new value as JSON text.
    pub value: Option<Arc<str>>,
    /// Revision of the change.
    pub revision: u64,
}

/// All keys and leases, at one revision.
#[derive(Debug, Default)]
pub struct Keyspace {
    keys: BTreeMap<Arc<str>, Entry>,
    leases: BTreeMap<u64, Lease>,
    /// When leases expire, soonest first.
    expirations: BTreeSet<(Mono, u64)>,
    revision: u64,
    last_lease: u64,
    recent_changes: VecDeque<RecentChange>,
    /// All changes after this revision are in `recent_changes`.
    compacted_revision: u64,
}

impl Keyspace {
    /// Loads a snapshot, with rows in key order. The log has to be applied afterwards.
    pub fn from_snapshot(rows: Vec<SnapshotRow>, footer: &SnapshotFooter, now: Mono) -> Self {
        let to_entry = |row: SnapshotRow| {
            (row.key, Entry { value: row.value, revision: row.revision, lease: row.lease })
        };
        let mut keyspace = Self {
            keys: rows.into_iter().map(to_entry).collect(),
            revision: footer.revision,
            last_lease: footer.last_lease,
            compacted_revision: footer.revision,
            ..Self::default()
        };
        for (lease, ttl_ms) in &footer.leases {
            keyspace.add_lease(*lease, *ttl_ms, now);
        }
        keyspace
    }

    /// Revision of the latest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Looks up a key.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.keys.get(key)
    }

    /// Iterates in key order over the keys with the prefix that follow `after`.
    pub fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a Entry)> {
        let start = match after.filter(|after| *after >= prefix) {
            Some(after) => Bound::Excluded(after),
            None => Bound::Included(prefix),
        };
        self.keys
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Whether the lease exists.
    pub fn has_lease(&self, lease: u64) -> bool {
        self.leases.contains_key(&lease)
    }

    /// Number of leases.
    pub fn lease_count(&self) -> usize {
        self.leases.len()
    }

    /// Id of the next lease. Ids are never reused.
    pub fn next_lease(&self) -> u64 {
        self.last_lease + 1
    }

    /// Gives the lease its full time to live again; returns false if there is no such lease.
    pub fn renew_lease(&mut self, lease: u64, now: Mono) -> bool {
        let Some(renewed) = self.leases.get_mut(&lease) else { return false };
        self.expirations.remove(&(renewed.expires_at, lease));
        renewed.expires_at = now.plus(Millis(renewed.ttl_ms));
        self.expirations.insert((renewed.expires_at, lease));
        true
    }

    /// Gives all leases their full time to live again, as after an outage.
    pub fn renew_all_leases(&mut self, now: Mono) {
        let leases: Vec<u64> = self.leases.keys().copied().collect();
        for lease in leases {
            self.renew_lease(lease, now);
        }
    }

    /// Returns the lease that expired first, if one has expired.
    pub fn find_expired_lease(&self, now: Mono) -> Option<u64> {
        self.expirations
            .first()
            .filter(|(expires_at, _)| *expires_at < now)
            .map(|(_, lease)| *lease)
    }

    /// Returns the records that end a lease: the deletion of its keys, and the end of the lease itself.
    pub fn build_lease_end_records(&self, lease: u64) -> Vec<Record> {
        let Some(ended) = self.leases.get(&lease) else { return Vec::new() };
        let delete = |key: &Arc<str>| Write { key: key.clone(), value: None, lease: 0 };
        let writes: Vec<Write> = ended.keys.iter().map(delete).collect();
        let deletion = Record::Changed { revision: self.revision + 1, writes };
        let deletion = (!ended.keys.is_empty()).then_some(deletion);
        deletion.into_iter().chain([Record::Ended { lease }]).collect()
    }

    /// Applies a record, new or read from the log.
    pub fn apply(&mut self, record: &Record, now: Mono) {
        match record {
            Record::Changed { revision, writes } => {
                for write in writes {
                    self.apply_write(write, *revision);
                }
                self.revision = self.revision.max(*revision);
            }
            Record::Granted { lease, ttl_ms } => self.add_lease(*lease, *ttl_ms, now),
            Record::Ended { lease } => {
                if let Some(ended) = self.leases.remove(lease) {
                    self.expirations.remove(&(ended.expires_at, *lease));
                }
            }
        }
    }

    fn add_lease(&mut self, lease: u64, ttl_ms: u64, now: Mono) {
        let expires_at = now.plus(Millis(ttl_ms));
        if let Some(old) =
            self.leases.insert(lease, Lease { ttl_ms, expires_at, keys: BTreeSet::new() })
        {
            self.expirations.remove(&(old.expires_at, lease));
        }
        self.expirations.insert((expires_at, lease));
        self.last_lease = self.last_lease.max(lease);
    }

    fn apply_write(&mut self, write: &Write, revision: u64) {
        let replaced = match &write.value {
            Some(value) => {
                let entry = Entry { value: value.clone(), revision, lease: write.lease };
                self.keys.insert(write.key.clone(), entry)
            }
            None => self.keys.remove(&write.key),
        };
        if let Some(old) = replaced.as_ref().and_then(|entry| self.leases.get_mut(&entry.lease)) {
            old.keys.remove(&write.key);
        }
        if let Some(new) = self.leases.get_mut(&write.lease).filter(|_| write.value.is_some()) {
            new.keys.insert(write.key.clone());
        }
        // Deleting a missing key is not a change that watches report.
        if write.value.is_some() || replaced.is_some() {
            let (key, value) = (write.key.clone(), write.value.clone());
            self.recent_changes.push_back(RecentChange { key, value, revision });
            if self.recent_changes.len() > MAX_RECENT_CHANGE_COUNT
                && let Some(old) = self.recent_changes.pop_front()
            {
                self.compacted_revision = self.compacted_revision.max(old.revision);
            }
        }
    }

    /// Finishes recovery after the log was applied: attaches keys to their leases, and renews all leases. Watches can
    /// only start after the revision of the snapshot (`compacted_revision`): its rows were copied while keys changed,
    /// so it may include a deletion that the log repeats, and deleting a missing key adds nothing to
    /// `recent_changes`.
    pub fn finish_recovery(&mut self, now: Mono) {
        for lease in self.leases.values_mut() {
            lease.keys.clear();
        }
        for (key, entry) in self.keys.iter().filter(|(_, entry)| entry.lease > 0) {
            if let Some(lease) = self.leases.get_mut(&entry.lease) {
                lease.keys.insert(key.clone());
            }
        }
        self.renew_all_leases(now);
    }

    /// Iterates over the changes of keys with the prefix after revision `after` up to revision `to`; `None` if some of
    /// them are no longer in memory.
    pub fn find_changes<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        to: u64,
    ) -> Option<impl Iterator<Item = &'a RecentChange>> {
        (after >= self.compacted_revision).then(|| {
            let start = self.recent_changes.partition_point(|change| change.revision <= after);
            self.recent_changes
                .range(start..)
                .take_while(move |change| change.revision <= to)
                .filter(move |change| change.key.starts_with(prefix))
        })
    }

    /// Copies up to `max_rows` rows after the key `after`, for a snapshot.
    pub fn copy_rows(&self, after: Option<&str>, max_rows: usize) -> Vec<SnapshotRow> {
        let to_row = |(key, entry): (&Arc<str>, &Entry)| SnapshotRow {
            key: key.clone(),
            value: entry.value.clone(),
            revision: entry.revision,
            lease: entry.lease,
        };
        self.range("", after).take(max_rows).map(to_row).collect()
    }

    /// Returns lease ids with their times to live in milliseconds, for a snapshot.
    pub fn list_lease_ttls(&self) -> Vec<(u64, u64)> {
        self.leases.iter().map(|(id, lease)| (*id, lease.ttl_ms)).collect()
    }

    /// Highest lease id granted so far; 0 if none.
    pub fn last_lease(&self) -> u64 {
        self.last_lease
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn put(keyspace: &mut Keyspace, key: &str, lease: u64) {
        let revision = keyspace.revision() + 1;
        let write = Write { key: key.into(), value: Some("1".into()), lease };
        keyspace.apply(&Record::Changed { revision, writes: vec![write] }, Mono(0));
    }

    /// The end of a lease deletes the keys that are attached to it now, not those that were before.
    #[test]
    fn the_end_of_a_lease_deletes_its_keys() {
        let mut keyspace = Keyspace::default();
        keyspace.apply(&Record::Granted { lease: 1, ttl_ms: 500 }, Mono(0));
        ["a", "b", "c"].iter().for_each(|key| put(&mut keyspace, key, 1));
        put(&mut keyspace, "b", 0);
        assert_eq!(keyspace.find_expired_lease(Mono(500)), None, "expired early");
        assert!(keyspace.renew_lease(1, Mono(400)));
        assert_eq!(
            (keyspace.find_expired_lease(Mono(900)), keyspace.find_expired_lease(Mono(901))),
            (None, Some(1))
        );
        for record in keyspace.build_lease_end_records(1) {
            keyspace.apply(&record, Mono(901));
        }
        assert_eq!(keyspace.copy_rows(None, 9).iter().map(|k| &*k.key).collect::<Vec<_>>(), ["b"]);
        assert!(
            !keyspace.renew_lease(1, Mono(902))
                && keyspace.find_expired_lease(Mono(99_999)).is_none()
        );
        assert_eq!((keyspace.next_lease(), keyspace.revision()), (2, 5));
    }

    /// A range begins after the key `after` and stays within its prefix.
    #[test]
    fn ranges_stay_within_their_prefix() {
        let mut keyspace = Keyspace::default();
        ["a", "live/1", "live/2", "live/3", "lizard"].iter().for_each(|k| put(&mut keyspace, k, 0));
        let list_keys = |prefix, after| -> Vec<String> {
            keyspace.range(prefix, after).map(|(key, _)| key.to_string()).collect()
        };
        assert_eq!(list_keys("live/", None), ["live/1", "live/2", "live/3"]);
        assert_eq!(list_keys("live/", Some("live/1")), ["live/2", "live/3"]);
        assert_eq!(list_keys("live/", Some("a")), ["live/1", "live/2", "live/3"]);
        assert_eq!(list_keys("", Some("live/3")), ["lizard"]);
        assert!(list_keys("live/", Some("m")).is_empty());
    }

    /// Changes that are no longer in memory are reported as missing: a watch that skipped them would never learn of
    /// them.
    #[test]
    fn missing_changes_are_reported() {
        let mut keyspace = Keyspace::default();
        (0..MAX_RECENT_CHANGE_COUNT + 5).for_each(|n| put(&mut keyspace, &format!("k/{n}"), 0));
        let to = keyspace.revision();
        assert!(keyspace.find_changes("k/", 4, to).is_none());
        assert_eq!(keyspace.find_changes("k/", 5, to).unwrap().count(), MAX_RECENT_CHANGE_COUNT);
        assert_eq!(keyspace.find_changes("k/", to - 2, to - 1).unwrap().count(), 1);
    }
}

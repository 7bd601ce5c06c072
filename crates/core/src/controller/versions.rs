//! The version of each controller, so that a new record form or message is used only once no
//! process exists that does not know it.
//!
//! Each controller of this version writes `version/{member}` durably once after its start. A member
//! that has run this version is not started with an earlier one again, and a member has one process
//! at a time. So once every member in the settings has such a key, no earlier process exists or
//! will exist. Keys are never removed, so the result holds permanently and for every later leader.
//! Earlier versions read no key under this prefix.

use super::*;
use serde::{Deserialize, Serialize};

/// Prefix of the keys that record which version a member runs.
pub const VERSION_PREFIX: &str = "version/";

/// Value of a version key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The newest version that the member has run.
    #[serde(rename = "v")]
    pub version: u32,
}

/// Which operation of the version check is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Operation {
    /// Reads the keys of all members.
    Read,
    /// Writes this controller's own key.
    Announce,
}

/// Whether all members are known to run this version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Progress {
    /// Some member may run an earlier version.
    #[default]
    Mixed,
    /// No member runs an earlier version, nor will again.
    Upgraded,
}

/// What this controller knows about the members' versions.
#[derive(Debug, Default)]
pub(super) struct Versions {
    progress: Progress,
    /// Whether this controller emulates the previous version, which writes no version key.
    emulates_previous: bool,
    /// Whether an operation is in flight.
    in_flight: bool,
    next_check: Mono,
}

impl Versions {
    /// Sets the progress; the only place that does. It never goes back.
    fn enter(&mut self, progress: Progress) {
        log::info!("versions: {:?} -> {progress:?}", self.progress);
        self.progress = progress;
    }
}

/// Returns the key that records which version a member runs.
pub fn version_key(member: &Member) -> String {
    format!("{VERSION_PREFIX}{member}")
}

/// The members whose key shows this version or a later one.
fn upgraded_members(rows: &[Row]) -> impl Iterator<Item = &str> {
    rows.iter().filter_map(|row| {
        let record = serde_json::from_value::<VersionRecord>(row.value.clone()).ok()?;
        (record.version >= ANNOUNCED_VERSION)
            .then(|| row.key.strip_prefix(VERSION_PREFIX))
            .flatten()
    })
}

impl Controller {
    /// Creates a controller that behaves as the previous version, for simulated upgrades: it
    /// ignores announced limits, writes no version key and never learns the members' versions, so
    /// it keeps the earlier record forms.
    #[doc(hidden)]
    pub fn new_previous_version(
        mut settings: Settings,
        operators: OperatorSettings,
        seed: u64,
    ) -> Self {
        settings.facts.state.next = None;
        let mut controller = Self::new(settings, operators, seed);
        controller.versions.emulates_previous = true;
        controller
    }

    /// Whether every controller is known to run this version: no process of an earlier one exists,
    /// nor will again.
    pub fn all_upgraded(&self) -> bool {
        self.versions.progress == Progress::Upgraded
    }

    /// Runs after every event: reads the members' versions until all are known to have this one.
    pub(super) fn check_versions(&mut self, now: Mono) {
        if self.versions.next_check == Mono(0) {
            // A starting process reads the leader key first.
            self.versions.next_check = now.plus(VERSION_READ_PERIOD_MS);
        }
        let versions = &self.versions;
        if versions.emulates_previous
            || self.all_upgraded()
            || versions.in_flight
            || now < versions.next_check
        {
            return;
        }
        let op = StoreOp::List { prefix: VERSION_PREFIX.to_owned(), after: String::new() };
        self.submit_version_operation(now, op, Operation::Read);
    }

    fn submit_version_operation(&mut self, now: Mono, op: StoreOp, operation: Operation) {
        self.versions.next_check = now.plus(VERSION_READ_PERIOD_MS);
        let submitted = self.submit(now, OpClass::General, op, Purpose::Versions { operation });
        self.versions.in_flight = submitted.is_ok();
    }

    /// Processes a response. An operation that was refused or got no response is retried after the
    /// pause.
    pub(super) fn on_versions(&mut self, now: Mono, operation: Operation, reply: StoreReply) {
        self.versions.in_flight = false;
        match (operation, reply) {
            (Operation::Read, StoreReply::Page(page)) => self.on_version_rows(now, &page.rows),
            (Operation::Announce, StoreReply::Committed(_)) => self.versions.next_check = now,
            (operation, StoreReply::Malformed(text)) => {
                log::error!("versions: {operation:?} was refused: {text}");
            }
            _ => {}
        }
    }

    fn on_version_rows(&mut self, now: Mono, rows: &[Row]) {
        let me = self.settings.member.clone();
        let has_key = |member: &Member| upgraded_members(rows).any(|name| name == member.as_str());
        if !has_key(&me) {
            return self.announce_version(now, rows);
        }
        if self.settings.peers.iter().all(|peer| has_key(&peer.member)) {
            self.versions.enter(Progress::Upgraded);
        }
    }

    /// Writes this controller's own key, provided that it is unchanged since it was read.
    fn announce_version(&mut self, now: Mono, rows: &[Row]) {
        let key = version_key(&self.settings.member);
        let found = rows.iter().find(|row| row.key == key);
        let version = found.map_or(Revision(0), |row| row.version);
        let value = serde_json::json!(VersionRecord { version: ANNOUNCED_VERSION });
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version }],
            changes: vec![Change::put(key, value)],
        };
        self.submit_version_operation(now, StoreOp::Txn(txn), Operation::Announce);
    }
}

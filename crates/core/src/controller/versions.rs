//! Which version each controller runs, so that a new form of a record, or a new message, is used only once no process
//! that does not know it can exist.
//!
//! Each controller of this version makes `version/{member}` durable once after its start. A member that has run this
//! version is not started with an earlier one again, and a member has one process at a time. So once every member of
//! the settings has such a key, no earlier process exists, nor will one. Keys are never removed: what they show holds for
//! good, and for every later leader. Earlier versions read no key under this prefix.

use super::*;
use serde::{Deserialize, Serialize};

/// Prefix of the keys that say which version a member runs.
pub const VERSIONS: &str = "version/";

/// Value of a version key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The newest version that the member has run.
    #[serde(rename = "v")]
    pub version: u32,
}

/// What was asked of the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// The keys of all members.
    Read,
    /// This controller's own key is written.
    Announce,
}

/// Whether all members are known to run this version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Progress {
    /// Some member may run an earlier version.
    #[default]
    Mixed,
    /// No member does, nor will again.
    Upgraded,
}

/// What this controller knows of the members' versions.
#[derive(Debug, Default)]
pub(super) struct Versions {
    progress: Progress,
    /// Whether this controller stands in for one of the previous version, which announces nothing.
    previous: bool,
    /// Whether an answer of the state service is awaited.
    awaited: bool,
    next: Mono,
}

impl Versions {
    /// The one place where the progress changes; it never goes back.
    fn enter(&mut self, progress: Progress) {
        log::info!("versions: {:?} -> {progress:?}", self.progress);
        self.progress = progress;
    }
}

/// The key that says which version a member runs.
pub fn version_key(member: &Member) -> String {
    format!("{VERSIONS}{member}")
}

/// The members whose key shows this version or a later one.
fn upgraded_members(rows: &[Row]) -> impl Iterator<Item = &str> {
    rows.iter().filter_map(|row| {
        let record = serde_json::from_value::<VersionRecord>(row.value.clone()).ok()?;
        (record.version >= VERSION_RECORD).then(|| row.key.strip_prefix(VERSIONS)).flatten()
    })
}

impl Controller {
    /// A stand-in for a controller of the previous version, for simulated upgrades: it knows no limits to come, announces
    /// no version and never learns of those of others, so it keeps to the earlier forms for good.
    #[doc(hidden)]
    pub fn new_previous_version(mut settings: Settings, operators: Operators, seed: u64) -> Self {
        settings.facts.state.next = None;
        let mut controller = Self::new(settings, operators, seed);
        controller.versions.previous = true;
        controller
    }

    /// Whether every controller is known to run this version, for good: no process of an earlier version exists.
    pub fn all_upgraded(&self) -> bool {
        self.versions.progress == Progress::Upgraded
    }

    /// Once a turn: asks for the members' versions until all are known to have this one.
    pub(super) fn learn_versions(&mut self, now: Mono) {
        if self.versions.next == Mono(0) {
            // A process that begins asks for the seat first.
            self.versions.next = now.plus(VERSIONS_EVERY_MS);
        }
        let versions = &self.versions;
        if versions.previous || self.all_upgraded() || versions.awaited || now < versions.next {
            return;
        }
        let op = StoreOp::List { prefix: VERSIONS.to_owned(), after: String::new() };
        self.ask_versions(now, op, Step::Read);
    }

    fn ask_versions(&mut self, now: Mono, op: StoreOp, step: Step) {
        self.versions.next = now.plus(VERSIONS_EVERY_MS);
        let asked = self.submit(now, Lane::Open, op, Purpose::Versions { step });
        self.versions.awaited = asked.is_ok();
    }

    /// Takes up an answer. What was refused, or has no answer, is asked for again after the pause.
    pub(super) fn on_versions(&mut self, now: Mono, step: Step, reply: StoreReply) {
        self.versions.awaited = false;
        match (step, reply) {
            (Step::Read, StoreReply::Page(page)) => self.on_version_rows(now, &page.rows),
            (Step::Announce, StoreReply::Committed(_)) => self.versions.next = now,
            (step, StoreReply::Malformed(text)) => {
                log::error!("versions: {step:?} was refused: {text}");
            }
            _ => {}
        }
    }

    fn on_version_rows(&mut self, now: Mono, rows: &[Row]) {
        let me = self.settings.member.clone();
        let has = |member: &Member| upgraded_members(rows).any(|name| name == member.as_str());
        if !has(&me) {
            return self.announce_version(now, rows);
        }
        if self.settings.peers.iter().all(|peer| has(&peer.member)) {
            self.versions.enter(Progress::Upgraded);
        }
    }

    /// Writes this controller's own key on condition that it is as it was read.
    fn announce_version(&mut self, now: Mono, rows: &[Row]) {
        let key = version_key(&self.settings.member);
        let found = rows.iter().find(|row| row.key == key);
        let version = found.map_or(Revision(0), |row| row.version);
        let value = serde_json::json!(VersionRecord { version: VERSION_RECORD });
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version }],
            changes: vec![Change::put(key, value)],
        };
        self.ask_versions(now, StoreOp::Txn(txn), Step::Announce);
    }
}

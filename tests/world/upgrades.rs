//! Upgrades, during which controllers of two versions run side by side, and lowered limits of the state service.

use super::state::State;
use super::state::limits::{Refusals, StateLimits, changes_digest};
use super::{SETTINGS, Site, World, settings};
use oatloom_core::controller::Controller;
use oatloom_core::jobs::{LiveRecord, live_key};
use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_protocol::wire::{Change, JobSpec, Txn};
use rand_chacha::ChaCha8Rng;

/// The last lines of the limits in the default settings, and the announced lower limits that are inserted after them.
const LIMITS_TEXT: &str = "txn_ops = 16\n";
const NEXT_LIMITS_TEXT: &str =
    "[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 18.0\n";

/// Record fields that the previous version knows, by key prefix.
const PREVIOUS_FIELDS: [(&str, &[&str]); 3] = [
    ("live/", &["s", "t", "g"]),
    ("over/", &["s", "n", "f", "u", "g"]),
    ("asg/", &["d", "a", "u", "e", "l"]),
];
/// The field of a job's description that the previous version does not know.
const DEPENDENCIES_FIELD: &str = "awaits";

/// Which version a controller runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// Supports neither jobs with dependencies nor announced limits, and announces no version.
    Previous,
    Current,
}

/// The default site, whose settings announce lower limits of the state service.
pub fn site_with_next_limits() -> Site {
    let text = SETTINGS.replace(LIMITS_TEXT, &format!("{LIMITS_TEXT}{NEXT_LIMITS_TEXT}"));
    assert_ne!(text, SETTINGS, "the default settings contain the limits");
    Site { settings: text, ..Site::default() }
}

/// A state service with the limits of a site's settings.
pub(super) fn limited_state(site: &Site) -> State {
    let mut state = State::default();
    state.set_limits(StateLimits::new(&settings(&site.settings, 0).facts.state, 0));
    state
}

impl World {
    /// Adds users with random jobs.
    pub fn add_users(&mut self, count: u64, rng: &mut ChaCha8Rng) {
        let faults_end_at = self.faults_end_at;
        (0..count).for_each(|n| self.add_user(n, rng, faults_end_at));
    }

    /// Writes the record of an accepted job, whatever it says, as if an earlier version had accepted it. Its user submits it
    /// again at the given time, before any machine is up: the checker sees no task of a job that nobody has submitted.
    pub fn add_stored_job(&mut self, spec: JobSpec, resubmitted_at: u64) {
        let record = LiveRecord { spec: spec.clone(), wall_ms: self.clock(0).wall_ms, part: None };
        let value = serde_json::to_value(record).expect("a record");
        let changes = vec![Change::put(live_key(&spec.id), value)];
        let write = StoreOp::Txn(Txn { conditions: Vec::new(), changes });
        let reply = self.state.execute(self.now, &write);
        assert!(matches!(reply, StoreReply::Committed(_)), "{reply:?}");
        self.add_job_at(spec, resubmitted_at);
    }

    /// All controllers that are started from now on run the previous version, until each is upgraded.
    pub fn begin_with_previous_version(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.version = Version::Previous);
    }

    /// Whether every controller that runs or will be started runs the current version.
    pub fn all_current(&self) -> bool {
        self.nodes.iter().all(|node| node.version == Version::Current)
    }

    /// Whether a node runs the current version.
    pub fn is_current(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.controller.is_some() && node.version == Version::Current
    }

    /// Whether every running controller knows that no other version is in use.
    pub fn all_detected_upgrade(&self) -> bool {
        self.nodes.iter().filter_map(|node| node.controller.as_ref()).all(Controller::all_upgraded)
    }

    /// A node is killed and restarts with the current version this much later.
    pub(super) fn upgrade(&mut self, node: usize, down_ms: u64) {
        self.crash(node);
        self.nodes[node].version = Version::Current;
        self.nodes[node].restart_at = self.now + down_ms;
    }

    /// Creates a controller of the version that its node is to run.
    pub(super) fn new_controller(&self, node: usize, seed: u64) -> Controller {
        let settings = settings(&self.site.settings, node);
        let operators = self.operators.clone();
        match self.nodes[node].version {
            Version::Current => Controller::new(settings, operators, seed),
            Version::Previous => Controller::new_previous_version(settings, operators, seed),
        }
    }

    /// The state service enforces the lower limits that the settings announce, from now on.
    pub(super) fn lower_limits(&mut self) {
        let facts = settings(&self.site.settings, 0).facts.state.strictest();
        self.state.set_limits(StateLimits::new(&facts, self.now));
        self.limits_lowered = true;
    }

    /// What the state service refused for its size or rate.
    pub fn refusals(&self) -> &Refusals {
        &self.state.refusals
    }

    /// Checks that a write has no field unknown to the previous version while such a controller runs or may be started.
    pub(super) fn check_previous_version_fields(
        &mut self,
        node: usize,
        op: &StoreOp,
        reply: &StoreReply,
    ) {
        let (StoreOp::Txn(txn), StoreReply::Committed(_)) = (op, reply) else { return };
        if self.all_current() {
            return;
        }
        for change in &txn.changes {
            if let Change::Put { key, value, .. } = change
                && let Some(field) = unknown_field(key, value)
            {
                let text = format!(
                    "n-{node} writes {key} with field {field:?}, unknown to the previous version: {value}"
                );
                self.region.checker.report_violation(self.now, "new_form", text);
            }
        }
    }

    /// After a refusal for size, the same incarnation of a controller must not send the same changes again.
    pub(super) fn check_repeated_refusal(&mut self, node: usize, op: &StoreOp, reply: &StoreReply) {
        let (StoreOp::Txn(txn), StoreReply::Malformed(reason)) = (op, reply) else { return };
        if reason == super::state::NO_SUCH_LEASE {
            return;
        }
        let write = (node, self.nodes[node].incarnation, changes_digest(txn));
        if !self.refused_writes.insert(write) {
            let keys: Vec<&str> = txn.changes.iter().map(key_of).collect();
            let text = format!("n-{node} repeats the refused write of {keys:?}: {reason}");
            self.region.checker.report_violation(self.now, "asked_again", text);
        }
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put { key, .. } | Change::Delete { key } => key,
    }
}

/// A field of a record that the previous version does not know.
fn unknown_field(key: &str, value: &serde_json::Value) -> Option<String> {
    let (_, known) = PREVIOUS_FIELDS.iter().find(|(prefix, _)| key.starts_with(prefix))?;
    let fields = value.as_object()?;
    let unknown = fields.keys().find(|field| !known.contains(&field.as_str())).cloned();
    let dependencies = fields.get("s").and_then(|spec| spec.get(DEPENDENCIES_FIELD));
    unknown.or(dependencies.map(|_| DEPENDENCIES_FIELD.to_owned()))
}

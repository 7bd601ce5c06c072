//! Upgrades, in which controllers of two versions serve side by side, and limits of the state service that fall.

use super::state::State;
use super::state::limits::{Refusals, StateLimits, digest};
use super::{SETTINGS, Site, World, settings};
use oatloom_core::controller::Controller;
use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_protocol::wire::Change;
use rand_chacha::ChaCha8Rng;

/// The limits of the usual settings that come last, and with them the limits to come.
const LIMITS_TEXT: &str = "txn_ops = 16\n";
const NEXT_LIMITS_TEXT: &str =
    "[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 18.0\n";

/// Which version a controller runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// Knows neither jobs that need others nor limits to come, and announces no version.
    Previous,
    Current,
}

/// The usual site, whose settings announce lower limits of the state service.
pub fn site_with_next_limits() -> Site {
    let text = SETTINGS.replace(LIMITS_TEXT, &format!("{LIMITS_TEXT}{NEXT_LIMITS_TEXT}"));
    assert_ne!(text, SETTINGS, "the usual settings have limits");
    Site { settings: text, ..Site::default() }
}

/// A state service with the limits of a site's settings.
pub(super) fn limited_state(site: &Site) -> State {
    let mut state = State::default();
    state.limit(StateLimits::new(&settings(&site.settings, 0).facts.state, 0));
    state
}

impl World {
    /// So many users of drawn jobs come.
    pub fn add_users(&mut self, count: u64, rng: &mut ChaCha8Rng) {
        let calm_from = self.calm_from;
        (0..count).for_each(|n| self.add_user(n, rng, calm_from));
    }

    /// All controllers that are started from now on run the previous version, until each has its turn.
    pub fn begin_with_previous_version(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.version = Version::Previous);
    }

    /// Whether every controller that runs or will be started runs the current version.
    pub fn all_current(&self) -> bool {
        self.nodes.iter().all(|node| node.version == Version::Current)
    }

    /// Whether every controller that runs knows that no other version exists.
    pub fn all_know_the_upgrade(&self) -> bool {
        self.nodes.iter().filter_map(|node| node.core.as_ref()).all(Controller::all_upgraded)
    }

    /// A node is killed, and comes back with the current version so much later.
    pub(super) fn upgrade(&mut self, node: usize, away: u64) {
        self.crash(node);
        self.nodes[node].version = Version::Current;
        self.nodes[node].restart_at = self.now + away;
    }

    /// A controller of the version that its node has at present.
    pub(super) fn controller(&self, node: usize, seed: u64) -> Controller {
        let settings = settings(&self.site.settings, node);
        let operators = self.operators.clone();
        match self.nodes[node].version {
            Version::Current => Controller::new(settings, operators, seed),
            Version::Previous => Controller::new_previous_version(settings, operators, seed),
        }
    }

    /// The state service has the limits that the settings announce, from now on.
    pub(super) fn lower_limits(&mut self) {
        let facts = settings(&self.site.settings, 0).facts.state.strictest();
        self.state.limit(StateLimits::new(&facts, self.now));
        self.limits_lowered = true;
    }

    /// What the state service refused for its size or for the rate.
    pub fn refusals(&self) -> &Refusals {
        &self.state.refusals
    }

    /// A transaction was refused for its size: the same controller does not ask for the same changes again.
    pub(super) fn look_at_refusal(&mut self, node: usize, op: &StoreOp, reply: &StoreReply) {
        let (StoreOp::Txn(txn), StoreReply::Malformed(why)) = (op, reply) else { return };
        if why == super::state::NO_SUCH_LEASE {
            return;
        }
        let asked = (node, self.nodes[node].life, digest(txn));
        if !self.refused_writes.insert(asked) {
            let keys: Vec<&str> = txn.changes.iter().map(key_of).collect();
            let text = format!("n-{node} asks again for {keys:?}: {why}");
            self.region.checker.fail(self.now, "asked_again", text);
        }
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put { key, .. } | Change::Delete { key } => key,
    }
}

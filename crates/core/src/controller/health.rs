//! Whether this controller can take requests, as it reports at `/up` and to its peers.

use super::Controller;
use crate::constants::{
    LEADER_LEASE_TTL_MS, LEADER_UNREACHABLE_MS, LEADER_UNREACHABLE_TTL_MS,
    MAX_LEADER_ANSWER_AGE_MS, UNHEALTHY_STORE_SILENCE_MS,
};
use oatloom_protocol::ids::{Millis, Mono};
use oatloom_protocol::reply::HttpReply;

/// Whether requests can be taken, and if not, why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Health {
    /// The machine types are not known, or the state service has not responded yet.
    #[default]
    Starting,
    Up,
    /// The state service serves other controllers, but has not served this one for a while.
    RefusedByStore,
    /// Neither the state service nor any other controller responds.
    Isolated,
    /// The state service responds, but the leader does not.
    LeaderUnreachable,
}

impl Health {
    fn description(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Starting => "starting",
            Self::RefusedByStore | Self::Isolated => "the state service refuses this node",
            Self::LeaderUnreachable => "the leader cannot be reached from here",
        }
    }
}

impl Controller {
    /// Replies to a health probe.
    pub(super) fn health_reply(&mut self, now: Mono) -> HttpReply {
        let health = self.health(now);
        self.log_health_change(health, now);
        match health {
            Health::Up => {
                let store_served = self.store_silence(now) <= UNHEALTHY_STORE_SILENCE_MS;
                HttpReply::json(200, &serde_json::json!({ "up": true, "store": store_served }))
            }
            other => HttpReply::unavailable(other.description()),
        }
    }

    /// Logs a change of the health with the evidence for it.
    fn log_health_change(&mut self, health: Health, now: Mono) {
        if health == self.logged_health {
            return;
        }
        log::info!(
            "health: {:?} -> {health:?} (served by the state service {} ms ago, a peer {:?} ms ago; leader replied {} ms ago, requests to it failing for {:?} ms)",
            self.logged_health,
            self.store_silence(now).0,
            self.peer_served_at(now).map(|at| now.since(at).0),
            now.since(self.last_leader_reply).0,
            self.leader_failures.map(|(since, _)| now.since(since).0),
        );
        self.logged_health = health;
    }

    /// Returns whether this controller can take requests.
    pub(super) fn health(&self, now: Mono) -> Health {
        if self.catalog().is_none() || self.store.last_success() == Mono(0) {
            return Health::Starting;
        }
        if self.store_silence(now) > UNHEALTHY_STORE_SILENCE_MS {
            if self.refused_by_store(now) {
                return Health::RefusedByStore;
            }
            // Users' open connections would otherwise stay with a controller that has lost the
            // state service and all peers, and get no answer about their jobs for the whole outage.
            if self.membership.as_ref().is_some_and(|members| members.all_silent()) {
                return Health::Isolated;
            }
        }
        if self.leader_unreachable(now) { Health::LeaderUnreachable } else { Health::Up }
    }

    /// Time since the state service last served a request of this controller.
    fn store_silence(&self, now: Mono) -> Millis {
        now.since(self.store.last_success())
    }

    /// When the state service last served another controller, as that one reported.
    fn peer_served_at(&self, now: Mono) -> Option<Mono> {
        self.membership.as_ref().and_then(|members| members.store_served_at(now))
    }

    /// Whether the state service recently served another controller while it has not served this
    /// one for a while. The evidence is the peer's own report, or a reply that it gave as leader,
    /// for which it must have renewed its lease. In an outage all controllers are refused, and no
    /// other controller serves better. The two times are compared: a controller whose last
    /// request was some seconds before the others' would otherwise take the beginning of an outage
    /// for a refusal of itself alone.
    fn refused_by_store(&self, now: Mono) -> bool {
        let reported =
            self.peer_served_at(now).filter(|at| now.since(*at) <= UNHEALTHY_STORE_SILENCE_MS);
        let leader_replied = now.since(self.last_leader_reply) < MAX_LEADER_ANSWER_AGE_MS;
        let renewed = leader_replied
            .then(|| Mono(self.last_leader_reply.0.saturating_sub(LEADER_LEASE_TTL_MS.0)));
        let last_good = self.store.last_success();
        reported
            .max(renewed)
            .is_some_and(|served| served.since(last_good) > UNHEALTHY_STORE_SILENCE_MS)
    }

    /// Whether the leader, which alone may report on open jobs, has not responded for long.
    /// Otherwise users would stay with a controller that the state service serves but that cannot
    /// reach the leader.
    fn leader_unreachable(&self, now: Mono) -> bool {
        let ongoing = |(since, last): (Mono, Mono)| {
            last.since(since) >= LEADER_UNREACHABLE_MS
                && now.since(last) < LEADER_UNREACHABLE_TTL_MS
        };
        self.leadership.other_leader().is_some() && self.leader_failures.is_some_and(ongoing)
    }
}

//! The platform's settings of a controller, as written in the settings file.

use crate::constants::*;
use crate::ids::{Member, Zone};
use serde::Deserialize;

/// An invalid settings field and the reason.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {text}")]
pub struct InvalidField {
    pub field: String,
    pub text: String,
}

impl InvalidField {
    pub fn new(field: &str, text: &str) -> Self {
        Self { field: field.into(), text: text.into() }
    }
}

fn invalid(field: &str, text: &str) -> InvalidField {
    InvalidField::new(field, text)
}

/// The settings file of a controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub member: Member,
    #[serde(rename = "location")]
    pub zone: Zone,
    #[serde(rename = "serve_on")]
    pub listen: String,
    #[serde(rename = "mesh_addr")]
    pub mesh_listen: String,
    #[serde(default)]
    pub peers: Vec<Peer>,
    pub endpoints: Endpoints,
    pub facts: Facts,
}

/// Another controller of the cluster.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    pub member: Member,
    #[serde(rename = "location")]
    pub zone: Zone,
    #[serde(rename = "peer_addr")]
    pub addr: String,
}

/// Addresses of the services that a controller calls.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    pub cloud: String,
    pub state: String,
}

/// What the platform states about the region, its services and its limits.
#[derive(Clone, Debug, Deserialize)]
pub struct Facts {
    pub zones: Vec<Zone>,
    pub clock_off_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerFacts,
    pub state: StateFacts,
    pub cloud: CloudFacts,
    pub limits: Limits,
}

/// A team with its guaranteed and maximum resources.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// A user-defined objective. Objectives of unknown kinds are kept and ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
    #[serde(default)]
    pub times: Option<f64>,
}

/// Time limits of the worker protocol.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerFacts {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct StateFacts {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that replace these at a later time, which is not announced.
    #[serde(default)]
    pub next: Option<NextStateFacts>,
}

/// Future limits of the state service; an absent one stays unchanged.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct NextStateFacts {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateFacts {
    /// The smaller of each present and future limit: a write within these is accepted before and after the change.
    pub fn strictest(&self) -> Self {
        let next = self.next.clone().unwrap_or_default();
        let smaller =
            |present: f64, future: Option<f64>| future.map_or(present, |f| f.min(present));
        Self {
            rps: smaller(self.rps, next.rps),
            write_rps: smaller(self.write_rps, next.write_rps),
            value_kb: smaller(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |ops| ops.min(self.txn_ops)),
            next: None,
        }
    }
}

impl StateFacts {
    fn check_next(&self) -> Result<(), InvalidField> {
        let Some(next) = &self.next else { return Ok(()) };
        let amounts = [
            ("facts.state.next.rps", next.rps),
            ("facts.state.next.write_rps", next.write_rps),
            ("facts.state.next.value_kb", next.value_kb),
        ];
        for (field, value) in amounts {
            if value.is_some_and(|value| !value.is_finite() || value <= 0.0) {
                return Err(invalid(field, "must be a finite number above 0"));
            }
        }
        if next.txn_ops.is_some_and(|ops| ops < 4) {
            return Err(invalid("facts.state.next.txn_ops", "must be at least 4"));
        }
        Ok(())
    }
}

/// Limits of the cloud's API.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudFacts {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// Resource limits of the controller's process.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    #[serde(default = "one")]
    pub cpu_share: f64,
    pub memory_mb: f64,
    pub sockets: usize,
}

impl Limits {
    /// Sockets reserved for this controller's own calls and its peers.
    pub fn own_sockets(&self) -> usize {
        (self.sockets / 3).clamp(MIN_OWN_SOCKETS, MAX_OWN_SOCKETS)
    }

    /// Maximum number of connections from workers and users together.
    pub fn max_connections(&self) -> usize {
        self.sockets.saturating_sub(self.own_sockets())
    }
}

fn one() -> f64 {
    1.0
}

impl Settings {
    /// The address for requests, if no other process of the cluster can have bound it at the same time: a specific IP
    /// address, or a loopback address if the state service is on a loopback address too.
    pub fn exclusive_listen_address(&self) -> Option<String> {
        let address = |text: &str| text.parse::<std::net::SocketAddr>().ok();
        let (own, state) = (address(&self.listen)?, address(&self.endpoints.state)?);
        let only_local = own.ip().is_loopback() && !state.ip().is_loopback();
        let exclusive = !own.ip().is_unspecified() && own.port() != 0 && !only_local;
        exclusive.then(|| self.listen.clone())
    }

    /// Checks what the types alone cannot express.
    ///
    /// # Errors
    /// The first invalid field and the reason.
    pub fn check(&self) -> Result<(), InvalidField> {
        let facts = &self.facts;
        if self.member.as_str().is_empty() {
            return Err(invalid("member", "must not be empty"));
        }
        let addresses = [
            ("serve_on", &self.listen),
            ("mesh_addr", &self.mesh_listen),
            ("endpoints.cloud", &self.endpoints.cloud),
            ("endpoints.state", &self.endpoints.state),
        ];
        for (field, address) in addresses {
            if address.parse::<std::net::SocketAddr>().is_err() {
                return Err(invalid(field, "must be an IP address and a port"));
            }
        }
        for peer in &self.peers {
            if peer.addr.parse::<std::net::SocketAddr>().is_err() {
                return Err(invalid("peers.peer_addr", "must be an IP address and a port"));
            }
            if peer.member == self.member {
                return Err(invalid("peers.member", "must not name this controller itself"));
            }
        }
        if facts.zones.is_empty() {
            return Err(invalid("facts.zones", "must name at least one zone"));
        }
        let positive = [
            ("facts.workers.report_s", facts.workers.report_s),
            ("facts.workers.lease_s", facts.workers.lease_s),
            ("facts.workers.gang_wait_s", facts.workers.gang_wait_s),
            ("facts.workers.gang_peer_s", facts.workers.gang_peer_s),
            ("facts.workers.cancel_s", facts.workers.cancel_s),
            ("facts.state.rps", facts.state.rps),
            ("facts.state.write_rps", facts.state.write_rps),
            ("facts.state.value_kb", facts.state.value_kb),
            ("facts.cloud.rps", facts.cloud.rps),
            ("facts.limits.cpu_share", facts.limits.cpu_share),
            ("facts.limits.memory_mb", facts.limits.memory_mb),
        ];
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err(invalid(field, "must be a finite number above 0"));
            }
        }
        let not_negative = [
            ("facts.clock_off_ms", facts.clock_off_ms),
            ("facts.cloud.list_lag_s", facts.cloud.list_lag_s),
        ];
        for (field, value) in not_negative {
            if !value.is_finite() || value < 0.0 {
                return Err(invalid(field, "must be a finite number, 0 or more"));
            }
        }
        if facts.state.txn_ops < 4 {
            return Err(invalid("facts.state.txn_ops", "must be at least 4"));
        }
        facts.state.check_next()?;
        let limits = &facts.limits;
        if limits.sockets < MIN_SOCKETS {
            let text = format!(
                "must be at least {}: this controller needs {} for its own calls",
                MIN_SOCKETS,
                limits.own_sockets()
            );
            return Err(invalid("facts.limits.sockets", &text));
        }
        if limits.memory_mb < MIN_MEMORY_MB {
            let text = format!("must be at least {}", MIN_MEMORY_MB);
            return Err(invalid("facts.limits.memory_mb", &text));
        }
        for team in &facts.teams {
            for value in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
                if !value.is_finite() || value < 0.0 {
                    return Err(invalid("facts.teams", "amounts must be finite, 0 or more"));
                }
            }
        }
        Ok(())
    }

    /// The team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.facts.teams.iter().find(|t| t.name == name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Small limits leave sockets for both the controller's own calls and the connections of users and workers.
    #[test]
    fn sockets_are_shared_within_their_limit() {
        for sockets in [MIN_SOCKETS, 60, 200, 600, 2_500] {
            let limits = Limits { cpu_share: 0.1, memory_mb: 40.0, sockets };
            assert!(limits.own_sockets() >= MIN_OWN_SOCKETS && limits.max_connections() > 0);
            assert_eq!(limits.own_sockets() + limits.max_connections(), sockets);
        }
    }
}

//! The settings that the platform hands to a controller, as they stand in its file.

use crate::constants::*;
use crate::ids::{Member, Zone};
use serde::Deserialize;

/// A field whose value makes no sense, and why.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {text}")]
pub struct BadField {
    pub field: String,
    pub text: String,
}

impl BadField {
    pub fn new(field: &str, text: &str) -> Self {
        Self { field: field.into(), text: text.into() }
    }
}

fn bad(field: &str, text: &str) -> BadField {
    BadField::new(field, text)
}

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

#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    pub member: Member,
    #[serde(rename = "location")]
    pub zone: Zone,
    #[serde(rename = "peer_addr")]
    pub addr: String,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    pub cloud: String,
    pub state: String,
}

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

/// An aim as the users state it. Kinds that are not known are kept and ignored.
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
    /// Limits that it will have from some moment on, which nobody announces.
    #[serde(default)]
    pub next: Option<NextStateFacts>,
}

/// Limits to come; one that is absent stays as it is.
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
    /// The smaller of each limit as it is and as it will be: what is written within these is taken before the change
    /// and after it.
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
    fn check_next(&self) -> Result<(), BadField> {
        let Some(next) = &self.next else { return Ok(()) };
        let amounts = [
            ("facts.state.next.rps", next.rps),
            ("facts.state.next.write_rps", next.write_rps),
            ("facts.state.next.value_kb", next.value_kb),
        ];
        for (field, value) in amounts {
            if value.is_some_and(|value| !value.is_finite() || value <= 0.0) {
                return Err(bad(field, "must be a finite number above 0"));
            }
        }
        if next.txn_ops.is_some_and(|ops| ops < 4) {
            return Err(bad("facts.state.next.txn_ops", "must be at least 4"));
        }
        Ok(())
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct CloudFacts {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    #[serde(default = "one")]
    pub cpu_share: f64,
    pub memory_mb: f64,
    pub sockets: usize,
}

impl Limits {
    /// Sockets kept for this controller's own calls and its peers.
    pub fn own_sockets(&self) -> usize {
        (self.sockets / 3).clamp(OWN_SOCKETS_LEAST, OWN_SOCKETS)
    }

    /// Connections that workers and users may have together.
    pub fn connections(&self) -> usize {
        self.sockets.saturating_sub(self.own_sockets())
    }
}

fn one() -> f64 {
    1.0
}

impl Settings {
    /// The address for requests, if no other process anywhere can have bound it at the same time as this one: a machine's
    /// own number, or a loopback one where the state service is on this machine too.
    pub fn bound_alone(&self) -> Option<String> {
        let address = |text: &str| text.parse::<std::net::SocketAddr>().ok();
        let (own, state) = (address(&self.listen)?, address(&self.endpoints.state)?);
        let here = own.ip().is_loopback() && !state.ip().is_loopback();
        let alone = !own.ip().is_unspecified() && own.port() != 0 && !here;
        alone.then(|| self.listen.clone())
    }

    /// Checks what the types alone do not say.
    ///
    /// # Errors
    /// The first field that makes no sense, and why.
    pub fn check(&self) -> Result<(), BadField> {
        let facts = &self.facts;
        if self.member.as_str().is_empty() {
            return Err(bad("member", "must not be empty"));
        }
        let addresses = [
            ("serve_on", &self.listen),
            ("mesh_addr", &self.mesh_listen),
            ("endpoints.cloud", &self.endpoints.cloud),
            ("endpoints.state", &self.endpoints.state),
        ];
        for (field, address) in addresses {
            if address.parse::<std::net::SocketAddr>().is_err() {
                return Err(bad(field, "must be an IP number and a port"));
            }
        }
        for peer in &self.peers {
            if peer.addr.parse::<std::net::SocketAddr>().is_err() {
                return Err(bad("peers.peer_addr", "must be an IP number and a port"));
            }
            if peer.member == self.member {
                return Err(bad("peers.member", "names this controller itself"));
            }
        }
        if facts.zones.is_empty() {
            return Err(bad("facts.zones", "must name at least one zone"));
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
                return Err(bad(field, "must be a finite number above 0"));
            }
        }
        let not_negative = [
            ("facts.clock_off_ms", facts.clock_off_ms),
            ("facts.cloud.list_lag_s", facts.cloud.list_lag_s),
        ];
        for (field, value) in not_negative {
            if !value.is_finite() || value < 0.0 {
                return Err(bad(field, "must be a finite number, 0 or more"));
            }
        }
        if facts.state.txn_ops < 4 {
            return Err(bad("facts.state.txn_ops", "must be at least 4"));
        }
        facts.state.check_next()?;
        let limits = &facts.limits;
        if limits.sockets < SOCKETS_LEAST {
            let text = format!(
                "must be at least {}: this controller needs {} for its own calls",
                SOCKETS_LEAST,
                limits.own_sockets()
            );
            return Err(bad("facts.limits.sockets", &text));
        }
        if limits.memory_mb < MEMORY_LEAST_MB {
            let text = format!("must be at least {}", MEMORY_LEAST_MB);
            return Err(bad("facts.limits.memory_mb", &text));
        }
        for team in &facts.teams {
            for value in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
                if !value.is_finite() || value < 0.0 {
                    return Err(bad("facts.teams", "amounts must be finite, 0 or more"));
                }
            }
        }
        Ok(())
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.facts.teams.iter().find(|t| t.name == name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Small limits leave room for both: with 600 sockets or 60, calls and visitors fit together.
    #[test]
    fn sockets_are_shared_within_their_limit() {
        for sockets in [SOCKETS_LEAST, 60, 200, 600, 2_500] {
            let limits = Limits { cpu_share: 0.1, memory_mb: 40.0, sockets };
            assert!(limits.own_sockets() >= OWN_SOCKETS_LEAST && limits.connections() > 0);
            assert_eq!(limits.own_sockets() + limits.connections(), sockets);
        }
    }
}

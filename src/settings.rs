//! The platform's settings file (TOML) and the operators' own file (S-expressions), both checked.

use crate::constants;
use crate::types::{Member, Millis, Zone};
use serde::Deserialize;
use std::path::{Path, PathBuf};

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{path}: cannot be read: {cause}")]
    Read { path: PathBuf, cause: std::io::Error },
    #[error("{path}: {text}")]
    Text { path: PathBuf, text: String },
    #[error("{field}: {text}")]
    Field { field: String, text: String },
}

fn bad(field: &str, text: &str) -> SettingsError {
    SettingsError::Field { field: field.into(), text: text.into() }
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

#[derive(Clone, Debug, Deserialize)]
pub struct StateFacts {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
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
        (self.sockets / 3).clamp(constants::OWN_SOCKETS_LEAST, constants::OWN_SOCKETS)
    }

    /// Connections that workers and users may have together.
    pub fn connections(&self) -> usize {
        self.sockets.saturating_sub(self.own_sockets())
    }
}

fn one() -> f64 {
    1.0
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|cause| SettingsError::Read { path: path.into(), cause })
}

impl Settings {
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read(path)?).map_err(|e| match e {
            SettingsError::Text { text, .. } => SettingsError::Text { path: path.into(), text },
            other => other,
        })
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|e| SettingsError::Text {
            path: PathBuf::new(),
            text: e.to_string().split_whitespace().collect::<Vec<_>>().join(" "),
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
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
        let limits = &facts.limits;
        if limits.sockets < constants::SOCKETS_LEAST {
            let text = format!(
                "must be at least {}: this controller needs {} for its own calls",
                constants::SOCKETS_LEAST,
                limits.own_sockets()
            );
            return Err(bad("facts.limits.sockets", &text));
        }
        if limits.memory_mb < constants::MEMORY_LEAST_MB {
            let text = format!("must be at least {}", constants::MEMORY_LEAST_MB);
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

/// What operators may set beyond the platform's file; every field has a default.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Operators {
    /// `error`, `warn`, `info`, `debug` or `trace`; the variable `LOG_LEVEL` goes before it.
    pub log_level: String,
    /// Period of the control loop, in milliseconds.
    pub tick_ms: u64,
    /// Factor of the multiplicative decrease.
    pub beta: f64,
    /// Upper bound of rented cores (Nmax); 0: none but what the cloud gives.
    pub max_cores: f64,
    /// Missed report periods after which a silent machine is returned.
    pub silent_reports: f64,
    /// How long an idle machine is kept, in milliseconds.
    pub idle_keep_ms: u64,
}

impl Default for Operators {
    fn default() -> Self {
        Self {
            log_level: "info".into(),
            tick_ms: constants::TICK_MS.0,
            beta: constants::BETA,
            max_cores: 0.0,
            silent_reports: constants::SILENT_REPORTS,
            idle_keep_ms: constants::IDLE_KEEP_MS.0,
        }
    }
}

impl Operators {
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read(path)?)
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let this: Self =
            serde_lexpr::from_str(text).map_err(|e| bad("operators' file", &e.to_string()))?;
        if this.log_level.parse::<log::LevelFilter>().is_err() {
            return Err(bad("log-level", "must be error, warn, info, debug or trace"));
        }
        if !(100..=60_000).contains(&this.tick_ms) {
            return Err(bad("tick-ms", "must be from 100 to 60000"));
        }
        if !(this.beta > 0.0 && this.beta < 1.0) {
            return Err(bad("beta", "must be above 0 and below 1"));
        }
        if !this.max_cores.is_finite() || this.max_cores < 0.0 {
            return Err(bad("max-cores", "must be a finite number, 0 or more"));
        }
        if !(2.0..=1000.0).contains(&this.silent_reports) {
            return Err(bad("silent-reports", "must be from 2 to 1000"));
        }
        Ok(this)
    }

    pub fn tick(&self) -> Millis {
        Millis(self.tick_ms)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A settings file as a platform writes it, with fields this program does not know.
    pub const SAMPLE: &str = include_str!("../tests/sample.toml");

    #[test]
    fn unknown_fields_are_ignored_and_senseless_values_named() {
        assert!(Settings::parse(SAMPLE).is_ok());
        let cases = [
            ("rps = 100.0", "rps = -1.0", "facts.state.rps"),
            ("lease_s = 30.0", "lease_s = nan", "facts.workers.lease_s"),
            ("127.0.0.1:8080", "localhost", "serve_on"),
            ("\"n-1\"", "\"n-0\"", "peers.member"),
            ("member = \"n-0\"\n", "", "member"),
            ("txn_ops = 16", "txn_ops = 1", "facts.state.txn_ops"),
            ("sockets = 1000", "sockets = 40", "facts.limits.sockets"),
            ("memory_mb = 100.0", "memory_mb = 4.0", "facts.limits.memory_mb"),
        ];
        for (good, bad, field) in cases {
            let text = Settings::parse(&SAMPLE.replacen(good, bad, 1)).unwrap_err().to_string();
            assert!(text.contains(field) && !text.contains('\n'), "{text}");
        }
    }

    /// Small limits leave room for both: with 600 sockets or 60, calls and visitors fit together.
    #[test]
    fn sockets_are_shared_within_their_limit() {
        for sockets in [constants::SOCKETS_LEAST, 60, 200, 600, 2_500] {
            let limits = Limits { cpu_share: 0.1, memory_mb: 40.0, sockets };
            assert!(
                limits.own_sockets() >= constants::OWN_SOCKETS_LEAST && limits.connections() > 0
            );
            assert_eq!(limits.own_sockets() + limits.connections(), sockets);
        }
    }

    /// The shipped sample says what the defaults are, and bad values are refused.
    #[test]
    fn operators_sample_is_the_default() {
        let sample = include_str!("../deploy/operators.sample.lisp");
        let parsed = Operators::parse(sample).unwrap();
        assert_eq!(format!("{parsed:?}"), format!("{:?}", Operators::default()));
        assert!(Operators::parse("((tick-ms . 5))").is_err());
        assert!(Operators::parse("((beta . 1.5))").is_err());
        assert!(Operators::parse("((novel . 1))").is_err());
        assert!(Operators::parse("((tick-ms . 500))").is_ok_and(|o| o.tick_ms == 500));
    }
}

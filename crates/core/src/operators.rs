//! Operators' settings, in addition to the platform's settings file.

use crate::constants;
use oatloom_graph::limits::Limits;
use oatloom_ledger::constants::USAGE_FLUSH_PERIOD_MS;
use oatloom_policy::classes::Classes;
use oatloom_protocol::ids::Millis;
use oatloom_protocol::settings::{InvalidField, Settings};
use serde::Deserialize;

/// The operators' own settings; every field has a default.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
#[cfg_attr(feature = "schema", schemars(rename = "Operators"))]
pub struct OperatorSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`; the environment variable `LOG_LEVEL` takes precedence.
    pub log_level: String,
    /// Period of the control loop, in milliseconds.
    #[cfg_attr(feature = "schema", schemars(range(min = 100, max = 60_000)))]
    pub tick_ms: u64,
    /// Factor of the multiplicative decrease.
    #[cfg_attr(feature = "schema", schemars(extend("exclusiveMinimum" = 0.0, "exclusiveMaximum" = 1.0)))]
    pub beta: f64,
    /// Maximum number of rented cores (Nmax); 0: limited only by what the cloud provides.
    #[cfg_attr(feature = "schema", schemars(range(min = 0.0)))]
    pub max_cores: f64,
    /// Number of missed report periods after which a silent machine is returned.
    #[cfg_attr(feature = "schema", schemars(range(min = 2.0, max = 1000.0)))]
    pub silent_reports: f64,
    /// How long an idle machine is kept, in milliseconds.
    pub idle_keep_ms: u64,
    /// How often tasks of each class may fail through their own fault; empty: unlimited.
    pub classes: Classes,
    /// Whether usage accounting is enabled.
    pub ledger: bool,
    /// Interval at which the usage of ended jobs is added to the roll-ups, in milliseconds.
    #[cfg_attr(feature = "schema", schemars(range(min = 500, max = 3_600_000)))]
    pub ledger_every_ms: u64,
    /// Whether task graphs are served.
    pub graphs: bool,
    /// Limits of task graphs.
    pub graph_limits: Limits,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            log_level: "info".into(),
            tick_ms: constants::TICK_PERIOD_MS.0,
            beta: constants::BETA,
            max_cores: 0.0,
            silent_reports: constants::SILENT_REPORT_PERIODS,
            idle_keep_ms: constants::MIN_IDLE_KEEP_MS.0,
            classes: Classes::default(),
            ledger: false,
            ledger_every_ms: USAGE_FLUSH_PERIOD_MS.0,
            graphs: false,
            graph_limits: Limits::default(),
        }
    }
}

impl OperatorSettings {
    /// Checks the ranges of the values.
    ///
    /// # Errors
    /// The first field that is out of range, with the allowed range.
    pub fn check(&self) -> Result<(), InvalidField> {
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            return Err(InvalidField::new(
                "log-level",
                "must be error, warn, info, debug or trace",
            ));
        }
        if !(100..=60_000).contains(&self.tick_ms) {
            return Err(InvalidField::new("tick-ms", "must be from 100 to 60000"));
        }
        if !(self.beta > 0.0 && self.beta < 1.0) {
            return Err(InvalidField::new("beta", "must be above 0 and below 1"));
        }
        if !self.max_cores.is_finite() || self.max_cores < 0.0 {
            return Err(InvalidField::new("max-cores", "must be a finite number, 0 or more"));
        }
        if !(2.0..=1000.0).contains(&self.silent_reports) {
            return Err(InvalidField::new("silent-reports", "must be from 2 to 1000"));
        }
        if !(500..=3_600_000).contains(&self.ledger_every_ms) {
            return Err(InvalidField::new("ledger-every-ms", "must be from 500 to 3600000"));
        }
        self.graph_limits.check()?;
        Ok(())
    }

    /// Checks the values against the platform's settings.
    ///
    /// # Errors
    /// A class without an objective in the platform's settings, whose name is most likely misspelt. The default
    /// entry applies to classes without objectives.
    pub fn check_with(&self, settings: &Settings) -> Result<(), InvalidField> {
        let known = |name: &&str| {
            settings.facts.objectives.iter().any(|o| o.class.as_deref() == Some(*name))
        };
        match self.classes.names().find(|name| !known(name)) {
            Some(name) => {
                Err(InvalidField::new("classes", &format!("the settings know no class {name}")))
            }
            None => Ok(()),
        }
    }

    /// Period of the control loop.
    pub fn tick(&self) -> Millis {
        Millis(self.tick_ms)
    }
}

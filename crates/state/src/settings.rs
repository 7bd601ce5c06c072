//! Settings of the service: limits, sizes, and whether writes are synced.

use crate::constants::*;
use oatloom_protocol::settings::InvalidField;
use serde::Deserialize;

/// Settings of the service. Every field has a default; unknown fields are rejected.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Requests per second; 0 for no limit.
    pub rps: f64,
    /// Puts and deletes per second; 0 for no limit.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Size of the log in MiB after which a snapshot is taken.
    pub snapshot_mb: f64,
    /// Rows copied for a snapshot at once: a smaller number blocks requests for a shorter time.
    pub slice_rows: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Whether a change is acknowledged only after it was synced to disk.
    pub sync: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rps: 0.0,
            write_rps: 0.0,
            value_kb: DEFAULT_MAX_VALUE_KIB,
            txn_ops: DEFAULT_MAX_TXN_CHANGE_COUNT,
            snapshot_mb: (DEFAULT_SNAPSHOT_LOG_BYTES / (1024 * 1024)) as f64,
            slice_rows: DEFAULT_SNAPSHOT_SLICE_ROWS,
            connections: DEFAULT_MAX_CONNECTION_COUNT,
            sync: true,
        }
    }
}

impl Settings {
    /// Parses and checks settings written as an S-expression.
    ///
    /// # Errors
    /// The text cannot be parsed, names an unknown field, or a value is out of range.
    pub fn parse(text: &str) -> Result<Self, InvalidField> {
        let settings: Self = serde_lexpr::from_str(text)
            .map_err(|e| InvalidField::new("the settings' file", &e.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), InvalidField> {
        for (name, rate) in [("rps", self.rps), ("write-rps", self.write_rps)] {
            if !rate.is_finite() || rate < 0.0 {
                return Err(InvalidField::new(name, "must be a finite number, 0 or more"));
            }
        }
        if !(self.value_kb > 0.0 && self.value_kb <= 60.0) {
            return Err(InvalidField::new("value-kb", "must be above 0 and at most 60"));
        }
        if !(1..=1_000).contains(&self.txn_ops) {
            return Err(InvalidField::new("txn-ops", "must be from 1 to 1000"));
        }
        if !(self.snapshot_mb >= 0.01 && self.snapshot_mb <= 100_000.0) {
            return Err(InvalidField::new("snapshot-mb", "must be from 0.01 to 100000"));
        }
        if !(1..=1_000_000).contains(&self.slice_rows) {
            return Err(InvalidField::new("slice-rows", "must be from 1 to 1000000"));
        }
        if !(1..=100_000).contains(&self.connections) {
            return Err(InvalidField::new("connections", "must be from 1 to 100000"));
        }
        if self.write_rps > 0.0 && (self.txn_ops as f64) > self.write_rps {
            return Err(InvalidField::new(
                "txn-ops",
                "must not be above write-rps, or a transaction of that size is never admitted",
            ));
        }
        Ok(())
    }

    /// Size of the log in bytes after which a snapshot is taken.
    pub fn snapshot_bytes(&self) -> u64 {
        (self.snapshot_mb * 1024.0 * 1024.0) as u64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The shipped sample lists the defaults, and errors name the invalid field in one line.
    #[test]
    fn the_sample_equals_the_defaults() {
        let sample = include_str!("../../../deploy/state.sample.lisp");
        assert_eq!(Settings::parse(sample).unwrap(), Settings::default());
        for (text, field) in [
            ("((rps . -1))", "rps"),
            ("((value-kb . 0))", "value-kb"),
            ("((txn-ops . 0))", "txn-ops"),
            ("((write-rps . 4) (txn-ops . 5))", "txn-ops"),
            ("((snapshot-mb . 0))", "snapshot-mb"),
            ("((slice-rows . 0))", "slice-rows"),
            ("((connections . 0))", "connections"),
            ("((novel . 1))", "novel"),
            ("((rps . 1)", "the settings' file"),
        ] {
            let text = Settings::parse(text).unwrap_err().to_string();
            assert!(text.contains(field) && !text.contains('\n'), "{text}");
        }
    }
}

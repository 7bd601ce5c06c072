//! What operators may set: limits, sizes, and whether the disk is waited for.

use crate::constants::*;
use oatloom_protocol::settings::InvalidField;
use serde::Deserialize;

/// Every field has a default; unknown ones are refused.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Requests a second; 0: no limit.
    pub rps: f64,
    /// Puts and deletes a second; 0: no limit.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Megabytes of log after which a snapshot is taken.
    pub snapshot_mb: f64,
    /// Rows handed to a snapshot at once: fewer hold the service up for a shorter time.
    pub slice_rows: usize,
    /// Connections served at once.
    pub connections: usize,
    /// Whether a change is answered only once it is on the disk.
    pub sync: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rps: 0.0,
            write_rps: 0.0,
            value_kb: VALUE_KB,
            txn_ops: TXN_CHANGES,
            snapshot_mb: (SNAPSHOT_LOG_BYTES / (1024 * 1024)) as f64,
            slice_rows: SLICE_ROWS,
            connections: CONNECTIONS,
            sync: true,
        }
    }
}

impl Settings {
    /// Reads and checks an S-expression.
    ///
    /// # Errors
    /// It cannot be read, names an unknown field, or a value is out of its range.
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
                "must not be above write-rps, or none that large is ever served",
            ));
        }
        Ok(())
    }

    /// Bytes of log after which a snapshot is taken.
    pub fn snapshot_bytes(&self) -> u64 {
        (self.snapshot_mb * 1024.0 * 1024.0) as u64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The shipped sample says what the defaults are, and bad values are named.
    #[test]
    fn the_sample_is_the_default() {
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

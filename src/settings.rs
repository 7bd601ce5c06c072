//! Reads and checks the platform's settings file (TOML) and the operators' settings file (an S-expression).

use oatloom_core::operators::OperatorSettings;
use oatloom_protocol::settings::{InvalidField, Settings};
use std::path::{Path, PathBuf};

/// Why settings were rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{path}: cannot be read: {cause}")]
    Read { path: PathBuf, cause: std::io::Error },
    #[error("{path}: {text}")]
    Text { path: PathBuf, text: String },
    #[error(transparent)]
    Field(#[from] InvalidField),
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|cause| SettingsError::Read { path: path.into(), cause })
}

/// Reads and checks the platform's settings file.
///
/// # Errors
/// The file cannot be read, is not TOML, or has an invalid field.
pub fn read_platform_settings(path: &Path) -> Result<Settings, SettingsError> {
    parse_platform_settings(&read(path)?).map_err(|e| match e {
        SettingsError::Text { text, .. } => SettingsError::Text { path: path.into(), text },
        other => other,
    })
}

/// Parses and checks the platform's settings.
///
/// # Errors
/// The text is not TOML or has an invalid field.
pub fn parse_platform_settings(text: &str) -> Result<Settings, SettingsError> {
    let settings: Settings = toml::from_str(text).map_err(|e| SettingsError::Text {
        path: PathBuf::new(),
        text: e.to_string().split_whitespace().collect::<Vec<_>>().join(" "),
    })?;
    settings.check()?;
    Ok(settings)
}

/// Reads and checks the operators' settings file.
///
/// # Errors
/// The file cannot be read, is not an S-expression, names an unknown field, or a value is out of range.
pub fn read_operator_settings(path: &Path) -> Result<OperatorSettings, SettingsError> {
    parse_operator_settings(&read(path)?)
}

/// Parses and checks the operators' settings.
///
/// # Errors
/// The text is not an S-expression, names an unknown field, or a value is out of range.
pub fn parse_operator_settings(text: &str) -> Result<OperatorSettings, SettingsError> {
    let parsed: OperatorSettings = serde_lexpr::from_str(text)
        .map_err(|e| InvalidField::new("operators' file", &e.to_string()))?;
    parsed.check()?;
    Ok(parsed)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A settings file as written by the platform, with fields unknown to this program.
    const SAMPLE: &str = include_str!("../tests/sample.toml");

    #[test]
    fn unknown_fields_are_ignored_and_invalid_fields_are_named() {
        assert!(parse_platform_settings(SAMPLE).is_ok());
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
        for (valid, invalid, field) in cases {
            let text = parse_platform_settings(&SAMPLE.replacen(valid, invalid, 1))
                .unwrap_err()
                .to_string();
            assert!(text.contains(field) && !text.contains('\n'), "{text}");
        }
    }

    /// The shipped sample states the defaults, and invalid values are rejected.
    #[test]
    fn operators_sample_equals_the_defaults() {
        let sample = include_str!("../deploy/operators.sample.lisp");
        let parsed = parse_operator_settings(sample).unwrap();
        assert_eq!(format!("{parsed:?}"), format!("{:?}", OperatorSettings::default()));
        assert!(parse_operator_settings("((tick-ms . 5))").is_err());
        assert!(parse_operator_settings("((beta . 1.5))").is_err());
        assert!(parse_operator_settings("((novel . 1))").is_err());
        assert!(parse_operator_settings("((tick-ms . 500))").is_ok_and(|o| o.tick_ms == 500));
    }

    /// Classes that no objective names and invalid entries are rejected with one line that names the field.
    #[test]
    fn classes_are_checked_against_the_platform() {
        let objective =
            "[[facts.objectives]]\nkind = \"wait\"\nclass = \"quick\"\nwithin_s = 5.0\n";
        let settings = parse_platform_settings(&format!("{SAMPLE}\n{objective}")).unwrap();
        let read = |text: &str| {
            let parsed = parse_operator_settings(text).map_err(|e| e.to_string())?;
            parsed.check_with(&settings).map_err(|e| e.to_string()).map(|()| parsed)
        };
        let known = "quick";
        let entry = |name: &str| format!("((classes (class (name \"{name}\") (repeats 1))))");
        assert!(read(&entry(known)).is_ok_and(|o| o.classes.policy_for(known).is_some()));
        assert!(read("((classes (default (repeats 3))))").is_ok());
        for (text, expected) in [
            (entry("misspelt"), "classes: the settings know no class misspelt"),
            (entry(known).replace(" 1)", " -1)"), "repeats must be from 0"),
            (entry(known).replace(" 1)", " 99999999)"), "repeats must be from 0"),
            (entry(known).replace("repeats", "repeals"), "repeals"),
        ] {
            let error = read(&text).unwrap_err();
            assert!(error.contains(expected) && !error.contains('\n'), "{error}");
        }
    }
}

//! Logging setup shared by oatloom's programs: to standard error, at the level set by `LOG_LEVEL`, as text or JSON.
//! Records that libraries write through `log` are included.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::LevelFilter;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    #[default]
    Text,
    Json,
}

/// Environment variable that sets the log level.
pub const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Errors while setting up logging.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The text names no log level.
    #[error("{0} is not a log level: error, warn, info, debug or trace")]
    InvalidLevel(String),
    /// The global logger is already set, or cannot be installed.
    #[error("logging cannot be set up: {0}")]
    Setup(String),
}

/// Builds the filter: oatloom's own crates log at `level`, all others at `warn`.
fn build_filter(level: &str) -> Result<EnvFilter, LoggingError> {
    let level_filter: LevelFilter =
        level.parse().map_err(|_| LoggingError::InvalidLevel(level.into()))?;
    Ok(EnvFilter::new(format!("warn,oatloom={level_filter}")))
}

/// Sets up logging for the whole process. `LOG_LEVEL` takes precedence over `level`. An invalid `LOG_LEVEL` is
/// ignored, because a scheduler must start nevertheless.
///
/// # Errors
/// `level` is invalid, or logging is set up already.
pub fn init(level: &str, format: Format) -> Result<(), LoggingError> {
    let requested_level = std::env::var(LEVEL_VARIABLE).ok();
    let filter = match requested_level.map(|requested_level| build_filter(&requested_level)) {
        Some(Ok(filter)) => filter,
        _ => build_filter(level)?,
    };
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    let setup_error =
        |e: Box<dyn std::error::Error + Send + Sync>| LoggingError::Setup(e.to_string());
    match format {
        Format::Text => subscriber.try_init().map_err(setup_error),
        Format::Json => subscriber.json().try_init().map_err(setup_error),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn levels_are_parsed_and_invalid_ones_reported() {
        for level in ["error", "warn", "info", "debug", "trace"] {
            assert!(build_filter(level).is_ok());
        }
        assert!(
            matches!(build_filter("loud"), Err(LoggingError::InvalidLevel(level)) if level == "loud")
        );
    }
}

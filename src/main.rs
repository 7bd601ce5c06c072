//! Command line of the controller: reads and checks the settings, sets up logging and runs the controller.

use clap::Parser;
use oatloom::settings::{SettingsError, read_operator_settings, read_platform_settings};
use oatloom_core::operators::OperatorSettings;
use oatloom_core::workers::cancellation_bound;
use oatloom_protocol::ids::Millis;
use oatloom_protocol::settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;

/// A controller of the oatloom cluster scheduler.
#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "The environment variable LOG_LEVEL sets the log level on standard \
error: error, warn, info, debug or trace."
)]
struct Arguments {
    /// The platform's settings file (TOML)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (an S-expression; see deploy/operators.sample.lisp)
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
    /// Format of the log
    #[arg(long, value_enum, default_value_t)]
    log_format: oatloom_logging::Format,
    /// Check the settings and exit without starting
    #[arg(long)]
    check: bool,
}

fn load(arguments: &Arguments) -> Result<(Settings, OperatorSettings), SettingsError> {
    let settings = read_platform_settings(&arguments.config)?;
    let operators = match &arguments.operators {
        Some(path) => read_operator_settings(path)?,
        None => OperatorSettings::default(),
    };
    operators.check_with(&settings)?;
    Ok((settings, operators))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let (settings, operators) = match load(&arguments) {
        Ok(loaded) => loaded,
        Err(e) => {
            eprintln!("oatloom: {e}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        println!("settings of {} are valid", settings.member);
        return ExitCode::SUCCESS;
    }
    if let Err(e) = oatloom_logging::init(&operators.log_level, arguments.log_format) {
        eprintln!("oatloom: {e}");
        return ExitCode::from(2);
    }
    let workers = &settings.facts.workers;
    let bound = cancellation_bound(workers);
    if bound >= Millis::from_secs(workers.cancel_s) {
        log::warn!(
            "settings: cancelled tasks may stay on silent machines for up to {:.1} s, which does not meet \
             facts.workers.cancel_s = {} with facts.workers.lease_s = {}",
            bound.as_secs(),
            workers.cancel_s,
            workers.lease_s
        );
    }
    match oatloom::runtime::run(settings, operators) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("oatloom: {e}");
            ExitCode::FAILURE
        }
    }
}

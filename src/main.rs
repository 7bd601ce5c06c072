//! The command line: reads and checks settings, sets up logging, runs a controller.

use clap::Parser;
use oatloom::settings::{SettingsError, operators_file, platform_file};
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
    after_help = "The variable LOG_LEVEL sets how much is logged to standard \
error: error, warn, info, debug or trace."
)]
struct Arguments {
    /// The platform's settings file (TOML)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (an S-expression; see deploy/operators.sample.lisp)
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
    /// How the log looks
    #[arg(long, value_enum, default_value_t)]
    log_format: oatloom_logging::Format,
    /// Check the settings and end without starting
    #[arg(long)]
    check: bool,
}

fn load(arguments: &Arguments) -> Result<(Settings, OperatorSettings), SettingsError> {
    let settings = platform_file(&arguments.config)?;
    let operators = match &arguments.operators {
        Some(path) => operators_file(path)?,
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
        println!("settings of {} are sound", settings.member);
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
            "settings: cancelled tasks may be on machines that fall silent for up to {:.1} s, which \
             facts.workers.cancel_s = {} does not allow with facts.workers.lease_s = {}",
            bound.secs(),
            workers.cancel_s,
            workers.lease_s
        );
    }
    match oatloom::edge::run(settings, operators) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("oatloom: {e}");
            ExitCode::FAILURE
        }
    }
}

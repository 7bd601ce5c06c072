//! The command line of the state service.

use clap::Parser;
use oatloom_logging::Format;
use oatloom_state::service;
use oatloom_state::settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;

/// A durable key-value state service for oatloom's controllers.
#[derive(Parser)]
#[command(
    name = "oatloom-state",
    version,
    about,
    after_help = "The variable LOG_LEVEL sets how much is logged to standard error: error, warn, info, \
debug or trace."
)]
struct Arguments {
    /// The address to serve, an IP number and a port
    #[arg(long, value_name = "ADDRESS")]
    listen: std::net::SocketAddr,
    /// The directory that holds the state; created if it does not exist
    #[arg(long, value_name = "DIR")]
    data: PathBuf,
    /// The settings file (an S-expression; see deploy/state.sample.lisp)
    #[arg(long, value_name = "FILE")]
    file: Option<PathBuf>,
    /// The format of the log
    #[arg(long, value_enum, default_value_t)]
    log_format: Format,
}

/// Reads the settings file; returns the defaults if no file is set. Errors begin with the file's name.
fn load_settings(file: &Option<PathBuf>) -> Result<Settings, String> {
    let Some(path) = file else { return Ok(Settings::default()) };
    let file_name = path.display();
    let text =
        std::fs::read_to_string(path).map_err(|e| format!("{file_name}: cannot be read: {e}"))?;
    Settings::parse(&text).map_err(|e| format!("{file_name}: {e}"))
}

/// Exits with status 2 if the service cannot start, and with status 1 if it fails while serving.
fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let fail = |message: String, status: u8| {
        eprintln!("oatloom-state: {message}");
        ExitCode::from(status)
    };
    let settings = match load_settings(&arguments.file) {
        Ok(settings) => settings,
        Err(message) => return fail(message, 2),
    };
    if let Err(e) = oatloom_logging::init("info", arguments.log_format) {
        return fail(e.to_string(), 2);
    }
    let address = arguments.listen.to_string();
    let on_ready = || tracing::info!("serving {} at {address}", arguments.data.display());
    match service::run(&address, &arguments.data, settings, on_ready) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(e.to_string(), if e.is_while_serving() { 1 } else { 2 }),
    }
}

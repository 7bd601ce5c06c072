//! The program.

use clap::Parser;
use oatloom_client::Controllers;
use oatloom_graphd::server::{ServeError, listen, serve};
use oatloom_graphd::tls::Files;
use oatloom_logging::Format;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::sync::watch;

/// Serves oatloom's task graphs over gRPC. It keeps nothing; any number of it may run.
#[derive(Parser)]
#[command(
    name = "oatloom-graphd",
    version,
    about,
    after_help = "LOG_LEVEL sets how much is logged to standard error."
)]
struct Arguments {
    /// Where to listen
    #[arg(long, default_value = "127.0.0.1:18095", value_name = "ADDRESS")]
    listen: SocketAddr,
    /// Addresses of the controllers, with commas between them
    #[arg(
        long,
        required = true,
        env = "OATLOOM_CONTROLLERS",
        value_delimiter = ',',
        value_name = "ADDRESSES"
    )]
    controllers: Vec<SocketAddr>,
    /// Serve over TLS with this certificate chain (PEM), read again when it changes
    #[arg(long, requires = "tls_key", value_name = "FILE")]
    tls_cert: Option<PathBuf>,
    /// The certificate's key (PEM)
    #[arg(long, requires = "tls_cert", value_name = "FILE")]
    tls_key: Option<PathBuf>,
    /// Serve only clients with a certificate of this authority (PEM)
    #[arg(long, requires = "tls_cert", value_name = "FILE")]
    client_ca: Option<PathBuf>,
    /// How the log looks
    #[arg(long, value_enum, default_value_t)]
    log_format: Format,
}

fn run(arguments: &Arguments) -> Result<(), ServeError> {
    let addresses: Vec<String> = arguments.controllers.iter().map(SocketAddr::to_string).collect();
    let listener = listen(arguments.listen)?;
    let (end, ended) = watch::channel(false);
    if let Err(e) = ctrlc::set_handler(move || _ = end.send(true)) {
        tracing::warn!("signals are not heeded: {e}");
    }
    let pair = arguments.tls_cert.clone().zip(arguments.tls_key.clone());
    let files = pair.map(|(cert, key)| Files { cert, key, client_ca: arguments.client_ca.clone() });
    let how = if files.is_some() { "TLS" } else { "no TLS" };
    tracing::info!("listening at {}, {how}", arguments.listen);
    serve(listener, &Controllers::new(&addresses), files, ended)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let logged = oatloom_logging::init("info", arguments.log_format).map_err(|e| e.to_string());
    match logged.and_then(|()| run(&arguments).map_err(|e| e.to_string())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("oatloom-graphd: {text}");
            ExitCode::from(2)
        }
    }
}

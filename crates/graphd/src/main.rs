//! Command line of the gRPC server for task graphs.

use clap::Parser;
use oatloom_client::Controllers;
use oatloom_graphd::server::{ServeError, listen, serve};
use oatloom_graphd::tls::TlsFiles;
use oatloom_logging::Format;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::sync::watch;

/// Serves oatloom's task graphs over gRPC. It is stateless; any number of instances may run.
#[derive(Parser)]
#[command(
    name = "oatloom-graphd",
    version,
    about,
    after_help = "LOG_LEVEL sets how much is logged to standard error."
)]
struct Arguments {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:18095", value_name = "ADDRESS")]
    listen: SocketAddr,
    /// Comma-separated addresses of the controllers
    #[arg(
        long,
        required = true,
        env = "OATLOOM_CONTROLLERS",
        value_delimiter = ',',
        value_name = "ADDRESSES"
    )]
    controllers: Vec<SocketAddr>,
    /// Serve over TLS with this certificate chain (PEM); reloaded when the file changes
    #[arg(long, requires = "tls_key", value_name = "FILE")]
    tls_cert: Option<PathBuf>,
    /// Private key of the certificate (PEM)
    #[arg(long, requires = "tls_cert", value_name = "FILE")]
    tls_key: Option<PathBuf>,
    /// Accept only clients with a certificate issued by this authority (PEM)
    #[arg(long, requires = "tls_cert", value_name = "FILE")]
    client_ca: Option<PathBuf>,
    /// Format of the log
    #[arg(long, value_enum, default_value_t)]
    log_format: Format,
}

fn run(arguments: &Arguments) -> Result<(), ServeError> {
    let addresses: Vec<String> = arguments.controllers.iter().map(SocketAddr::to_string).collect();
    let listener = listen(arguments.listen)?;
    let (shutdown, shutdown_receiver) = watch::channel(false);
    if let Err(e) = ctrlc::set_handler(move || _ = shutdown.send(true)) {
        tracing::warn!("cannot install the signal handler: {e}");
    }
    let cert_and_key = arguments.tls_cert.clone().zip(arguments.tls_key.clone());
    let tls_files = cert_and_key.map(|(cert, key)| TlsFiles {
        cert,
        key,
        client_ca: arguments.client_ca.clone(),
    });
    let tls_mode = if tls_files.is_some() { "TLS" } else { "no TLS" };
    tracing::info!("listening at {}, {tls_mode}", arguments.listen);
    serve(listener, &Controllers::new(&addresses), tls_files, shutdown_receiver)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let logging = oatloom_logging::init("info", arguments.log_format).map_err(|e| e.to_string());
    match logging.and_then(|()| run(&arguments).map_err(|e| e.to_string())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("oatloom-graphd: {text}");
            ExitCode::from(2)
        }
    }
}

//! Runs the gRPC server with health and reflection services until shutdown.

use crate::constants::*;
use crate::controller_pool::ControllerPool;
use crate::service::Service;
use crate::tls::{self, TlsFiles};
use crate::wire::DESCRIPTORS;
use crate::wire::graphs_server::GraphsServer;
use oatloom_client::Controllers;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::codec::CompressionEncoding;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

/// Errors that end the server.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("cannot start a thread or the async runtime: {0}")]
    Start(#[from] std::io::Error),
    #[error("reflection: {0}")]
    Reflection(#[from] tonic_reflection::server::Error),
    #[error(transparent)]
    Tls(#[from] tls::TlsError),
    #[error(transparent)]
    Transport(#[from] tonic::transport::Error),
}

/// Serves on this thread until `shutdown` becomes true. Calls in progress are completed, streams are closed. With
/// `tls_files`, serves over TLS only.
///
/// # Errors
/// The server cannot start, or the transport fails.
pub fn serve(
    listener: TcpListener,
    controllers: &Controllers,
    tls_files: Option<TlsFiles>,
    mut shutdown: watch::Receiver<bool>,
) -> Result<(), ServeError> {
    let controllers = ControllerPool::start(controllers)?;
    let tls_configs = tls_files.map(tls::watch_files).transpose()?;
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async move {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let (reporter, health) = tonic_health::server::health_reporter();
        let service = GraphsServer::new(Service::new(controllers.clone()))
            .max_decoding_message_size(MAX_REQUEST_BYTES)
            .accept_compressed(CompressionEncoding::Gzip)
            .send_compressed(CompressionEncoding::Gzip);
        let reflection = tonic_reflection::server::Builder::configure()
            .register_encoded_file_descriptor_set(DESCRIPTORS)
            .build_v1()?;
        tokio::spawn(async move {
            loop {
                // Only a controller that responds with 200 counts as serving.
                let response = controllers.send("GET", "/up".into(), Vec::new()).await;
                match response {
                    Ok(Some(response)) if response.status == 200 => {
                        reporter.set_serving::<GraphsServer<Service>>().await;
                    }
                    _ => reporter.set_not_serving::<GraphsServer<Service>>().await,
                }
                tokio::time::sleep(Duration::from_millis(HEALTH_CHECK_INTERVAL_MS.0)).await;
            }
        });
        let shutdown = async move {
            let _ = shutdown.wait_for(|is_requested| *is_requested).await;
        };
        let server = Server::builder()
            .timeout(Duration::from_millis(CALL_TIMEOUT_MS.0))
            .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION_COUNT as usize)
            .max_concurrent_streams(MAX_CALLS_PER_CONNECTION_COUNT)
            .add_service(health)
            .add_service(reflection)
            .add_service(service);
        match tls_configs {
            Some(tls_configs) => {
                let (sender, connections) = mpsc::channel(STREAM_BUFFER_COUNT);
                tokio::spawn(tls::accept(listener, tls_configs, sender));
                let connections = ReceiverStream::new(connections);
                server.serve_with_incoming_shutdown(connections, shutdown).await?;
            }
            None => {
                let connections = TcpIncoming::from(listener);
                server.serve_with_incoming_shutdown(connections, shutdown).await?;
            }
        }
        Ok(())
    })
}

/// Opens a listening socket.
///
/// # Errors
/// The address is in use, or does not belong to this machine.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).map_err(|e| ServeError::Listen(address, e))
}

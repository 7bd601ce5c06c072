//! Listening, with health and reflection, until it is told to end.

use crate::constants::*;
use crate::controller_pool::Asker;
use crate::service::Service;
use crate::tls::{self, Files};
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

/// Why the server ended.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    #[error("{0}: cannot be listened at: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("no thread or runtime could be had: {0}")]
    Start(#[from] std::io::Error),
    #[error("reflection: {0}")]
    Reflection(#[from] tonic_reflection::server::Error),
    #[error(transparent)]
    Tls(#[from] tls::TlsError),
    #[error(transparent)]
    Transport(#[from] tonic::transport::Error),
}

/// Serves on this thread until `end` says so: calls that are under way go on to their ends, streams are closed. With
/// `files`, over TLS only.
///
/// # Errors
/// It cannot begin, or the transport fails.
pub fn serve(
    listener: TcpListener,
    controllers: &Controllers,
    files: Option<Files>,
    mut end: watch::Receiver<bool>,
) -> Result<(), ServeError> {
    let asker = Asker::start(controllers)?;
    let configs = files.map(tls::keep).transpose()?;
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async move {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let (reporter, health) = tonic_health::server::health_reporter();
        let service = GraphsServer::new(Service::new(asker.clone()))
            .max_decoding_message_size(REQUEST_BYTES)
            .accept_compressed(CompressionEncoding::Gzip)
            .send_compressed(CompressionEncoding::Gzip);
        let reflection = tonic_reflection::server::Builder::configure()
            .register_encoded_file_descriptor_set(DESCRIPTORS)
            .build_v1()?;
        tokio::spawn(async move {
            loop {
                // Whoever answers, even that it cannot serve now, is there.
                let there = asker.ask("GET", "/up".into(), Vec::new()).await;
                match there {
                    Ok(Some(answer)) if answer.status == 200 => {
                        reporter.set_serving::<GraphsServer<Service>>().await;
                    }
                    _ => reporter.set_not_serving::<GraphsServer<Service>>().await,
                }
                tokio::time::sleep(Duration::from_millis(HEALTH_MS.0)).await;
            }
        });
        let end = async move {
            let _ = end.wait_for(|end| *end).await;
        };
        let server = Server::builder()
            .timeout(Duration::from_millis(CALL_MS.0))
            .concurrency_limit_per_connection(CALLS as usize)
            .max_concurrent_streams(CALLS)
            .add_service(health)
            .add_service(reflection)
            .add_service(service);
        match configs {
            Some(configs) => {
                let (out, streams) = mpsc::channel(BUFFER);
                tokio::spawn(tls::accept(listener, configs, out));
                let streams = ReceiverStream::new(streams);
                server.serve_with_incoming_shutdown(streams, end).await?;
            }
            None => {
                let streams = TcpIncoming::from(listener);
                server.serve_with_incoming_shutdown(streams, end).await?;
            }
        }
        Ok(())
    })
}

/// Listens at an address.
///
/// # Errors
/// It is taken, or not this machine's.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).map_err(|e| ServeError::Listen(address, e))
}

//! TLS with certificates that are reloaded when their files change. If a reload fails, a warning is logged and the
//! previous certificates stay in use.

use crate::constants::*;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::{RootCertStore, ServerConfig};
use tokio_rustls::server::TlsStream;

/// Paths of the PEM files for TLS.
#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// The certificate chain of the server.
    pub cert: PathBuf,
    /// The private key of the server certificate.
    pub key: PathBuf,
    /// The authority that must have issued client certificates; `None` if clients need no certificate.
    pub client_ca: Option<PathBuf>,
}

/// Errors while loading certificates.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    #[error("{0}: {1}")]
    Pem(PathBuf, tokio_rustls::rustls::pki_types::pem::Error),
    #[error("{0}: contains no certificate")]
    Empty(PathBuf),
    #[error("certificates: {0}")]
    Rustls(#[from] tokio_rustls::rustls::Error),
    #[error("client certificates: {0}")]
    Verifier(#[from] tokio_rustls::rustls::server::VerifierBuilderError),
}

fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let to_pem_error = |e| TlsError::Pem(path.to_owned(), e);
    let certificates = CertificateDer::pem_file_iter(path).map_err(to_pem_error)?;
    let certificates = certificates.collect::<Result<Vec<_>, _>>().map_err(to_pem_error)?;
    if certificates.is_empty() { Err(TlsError::Empty(path.to_owned())) } else { Ok(certificates) }
}

/// Loads the certificates into a configuration for the TLS server.
///
/// # Errors
/// A file cannot be read, or the key does not match the certificate.
pub fn load_config(files: &TlsFiles) -> Result<Arc<ServerConfig>, TlsError> {
    let chain = load_certificates(&files.cert)?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .map_err(|e| TlsError::Pem(files.key.clone(), e))?;
    let builder = ServerConfig::builder();
    let builder = match &files.client_ca {
        Some(path) => {
            let mut roots = RootCertStore::empty();
            for certificate in load_certificates(path)? {
                roots.add(certificate)?;
            }
            builder.with_client_cert_verifier(WebPkiClientVerifier::builder(roots.into()).build()?)
        }
        None => builder.with_no_client_auth(),
    };
    let mut config = builder.with_single_cert(chain, key)?;
    config.alpn_protocols = vec![b"h2".to_vec()];
    Ok(Arc::new(config))
}

/// Returns the modification time and size of each file, from which a change is detected; `None` where they are
/// unavailable.
fn read_file_versions(files: &TlsFiles) -> Vec<Option<(SystemTime, u64)>> {
    let paths = [Some(&files.cert), Some(&files.key), files.client_ca.as_ref()];
    let read_version = |path: &PathBuf| {
        let metadata = std::fs::metadata(path).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    };
    paths.into_iter().flatten().map(read_version).collect()
}

/// Loads the certificates, and starts a thread that reloads them whenever the files change.
///
/// # Errors
/// The certificates cannot be loaded at the start, or the thread cannot be started.
pub fn watch_files(
    files: TlsFiles,
) -> Result<watch::Receiver<Arc<ServerConfig>>, crate::server::ServeError> {
    let mut loaded_versions = read_file_versions(&files);
    let (sender, configs) = watch::channel(load_config(&files)?);
    std::thread::Builder::new().name("certificates".into()).spawn(move || {
        while !sender.is_closed() {
            std::thread::sleep(Duration::from_millis(CERTIFICATE_CHECK_INTERVAL_MS.0));
            let versions = read_file_versions(&files);
            if versions == loaded_versions {
                continue;
            }
            match load_config(&files) {
                Ok(config) => {
                    tracing::info!("reloaded the certificates");
                    sender.send_replace(config);
                    loaded_versions = versions;
                }
                // The files may be only partly written; retried at the next check.
                Err(e) => tracing::warn!("cannot reload the certificates: {e}"),
            }
        }
    })?;
    Ok(configs)
}

/// Accepts connections and performs TLS handshakes, several at a time, until the receiver of `sender` is dropped.
/// Connections whose handshake fails or times out are dropped.
pub async fn accept(
    listener: TcpListener,
    configs: watch::Receiver<Arc<ServerConfig>>,
    sender: mpsc::Sender<std::io::Result<TlsStream<TcpStream>>>,
) {
    let handshake_permits = Arc::new(Semaphore::new(MAX_HANDSHAKE_COUNT));
    while !sender.is_closed() {
        let Ok(permit) = handshake_permits.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = sender.closed() => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS.0)).await;
            continue;
        };
        let acceptor = TlsAcceptor::from(configs.borrow().clone());
        let sender = sender.clone();
        tokio::spawn(async move {
            let timeout = Duration::from_millis(HANDSHAKE_TIMEOUT_MS.0);
            match tokio::time::timeout(timeout, acceptor.accept(stream)).await {
                Ok(Ok(stream)) => _ = sender.send(Ok(stream)).await,
                Ok(Err(e)) => tracing::debug!("{peer}: TLS handshake failed: {e}"),
                Err(_) => tracing::debug!("{peer}: TLS handshake timed out"),
            }
            drop(permit);
        });
    }
}

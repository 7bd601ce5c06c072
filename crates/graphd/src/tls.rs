//! TLS with certificates that are read again when their files change. What cannot be read then is said, and the last good
//! ones stay.

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

/// Where certificates stand, as PEM.
#[derive(Clone, Debug)]
pub struct Files {
    /// The server's own chain, and its key.
    pub cert: PathBuf,
    pub key: PathBuf,
    /// Whose certificates clients must show, if they must.
    pub client_ca: Option<PathBuf>,
}

/// Why certificates cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    #[error("{0}: {1}")]
    Pem(PathBuf, tokio_rustls::rustls::pki_types::pem::Error),
    #[error("{0}: holds no certificate")]
    Empty(PathBuf),
    #[error("certificates: {0}")]
    Rustls(#[from] tokio_rustls::rustls::Error),
    #[error("client certificates: {0}")]
    Verifier(#[from] tokio_rustls::rustls::server::VerifierBuilderError),
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let pem = |e| TlsError::Pem(path.to_owned(), e);
    let read = CertificateDer::pem_file_iter(path).map_err(pem)?;
    let read = read.collect::<Result<Vec<_>, _>>().map_err(pem)?;
    if read.is_empty() { Err(TlsError::Empty(path.to_owned())) } else { Ok(read) }
}

/// Reads the files.
///
/// # Errors
/// One cannot be read, or they do not belong together.
pub fn load(files: &Files) -> Result<Arc<ServerConfig>, TlsError> {
    let chain = certificates(&files.cert)?;
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .map_err(|e| TlsError::Pem(files.key.clone(), e))?;
    let builder = ServerConfig::builder();
    let builder = match &files.client_ca {
        Some(path) => {
            let mut roots = RootCertStore::empty();
            for certificate in certificates(path)? {
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

/// When the files were last written, as far as that can be told.
fn stamps(files: &Files) -> Vec<Option<(SystemTime, u64)>> {
    let paths = [Some(&files.cert), Some(&files.key), files.client_ca.as_ref()];
    let stamp = |path: &PathBuf| {
        let data = std::fs::metadata(path).ok()?;
        Some((data.modified().ok()?, data.len()))
    };
    paths.into_iter().flatten().map(stamp).collect()
}

/// Reads the files now, and again whenever they have changed, on a thread of its own.
///
/// # Errors
/// They cannot be used at the start, or no thread can be had.
pub fn keep(files: Files) -> Result<watch::Receiver<Arc<ServerConfig>>, crate::server::ServeError> {
    let mut known = stamps(&files);
    let (sender, configs) = watch::channel(load(&files)?);
    std::thread::Builder::new().name("certificates".into()).spawn(move || {
        while !sender.is_closed() {
            std::thread::sleep(Duration::from_millis(RELOAD_MS.0));
            let now = stamps(&files);
            if now == known {
                continue;
            }
            match load(&files) {
                Ok(config) => {
                    tracing::info!("certificates were read again");
                    sender.send_replace(config);
                    known = now;
                }
                // Half written, perhaps: looked at again.
                Err(e) => tracing::warn!("certificates are not changed: {e}"),
            }
        }
    })?;
    Ok(configs)
}

/// Takes connections and shakes hands, several at a time; what takes too long or is refused is dropped.
pub async fn accept(
    listener: TcpListener,
    configs: watch::Receiver<Arc<ServerConfig>>,
    out: mpsc::Sender<std::io::Result<TlsStream<TcpStream>>>,
) {
    let hands = Arc::new(Semaphore::new(HANDSHAKES));
    while !out.is_closed() {
        let Ok(permit) = hands.clone().acquire_owned().await else { return };
        let taken = tokio::select! {
            taken = listener.accept() => taken,
            () = out.closed() => return,
        };
        let Ok((stream, peer)) = taken else {
            tokio::time::sleep(Duration::from_millis(LOOK_EVERY_MS.0)).await;
            continue;
        };
        let acceptor = TlsAcceptor::from(configs.borrow().clone());
        let out = out.clone();
        tokio::spawn(async move {
            let patience = Duration::from_millis(HANDSHAKE_MS.0);
            match tokio::time::timeout(patience, acceptor.accept(stream)).await {
                Ok(Ok(stream)) => _ = out.send(Ok(stream)).await,
                Ok(Err(e)) => tracing::debug!("{peer}: no TLS: {e}"),
                Err(_) => tracing::debug!("{peer}: the handshake took too long"),
            }
            drop(permit);
        });
    }
}

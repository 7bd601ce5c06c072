//! HTTP/1.1 server and client shared by oatloom's programs. The server handles all connections on one thread; client
//! calls end with a response or a timeout. The crate does not interpret the contents of requests.

pub mod client;
mod connection_limit;
pub mod constants;
mod http;
pub mod server;

use constants::*;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// Errors while starting a server.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("cannot listen on {address}: {cause}")]
    Listen { address: String, cause: String },
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Binds an address, retrying while it is in use: when a process is killed and restarted at once, the sockets of its
/// predecessor may still be open.
///
/// # Errors
/// The address cannot be bound, or is still in use after [`BIND_TIMEOUT_MS`].
pub fn bind_with_retry<L>(
    address: &str,
    mut bind: impl FnMut() -> std::io::Result<L>,
) -> Result<L, StartError> {
    let started = Instant::now();
    let timeout = Duration::from_millis(BIND_TIMEOUT_MS.0);
    let mut is_logged = false;
    loop {
        match bind() {
            Ok(listener) => return Ok(listener),
            Err(e) if e.kind() == ErrorKind::AddrInUse && started.elapsed() < timeout => {
                if !is_logged {
                    log::warn!("{address} is in use; retrying");
                    is_logged = true;
                }
                std::thread::sleep(Duration::from_millis(BIND_RETRY_INTERVAL_MS.0));
            }
            Err(e) => {
                return Err(StartError::Listen {
                    address: address.to_owned(),
                    cause: e.to_string(),
                });
            }
        }
    }
}

/// Starts a thread with a stack of [`THREAD_STACK_BYTES`], because controllers have little memory and many threads.
///
/// # Errors
/// The system cannot start another thread.
pub fn spawn(
    name: &str,
    body: impl FnOnce() + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).stack_size(THREAD_STACK_BYTES).spawn(body)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    /// A restarted controller must not exit because the sockets of its predecessor are still open.
    #[test]
    fn bind_retries_while_the_address_is_in_use_but_not_on_other_errors() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let release_thread = std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(300));
            drop(listener);
        });
        let started = Instant::now();
        let bound = bind_with_retry("test", || TcpListener::bind(address));
        assert!(bound.is_ok() && started.elapsed() >= Duration::from_millis(250));
        release_thread.join().unwrap();
        let started = Instant::now();
        assert!(bind_with_retry("test", || TcpListener::bind("192.0.2.1:80")).is_err());
        assert!(started.elapsed() < Duration::from_millis(BIND_TIMEOUT_MS.0));
    }
}

//! HTTP/1.1 over sockets, as every program of oatloom serves and calls it: one thread that waits for all
//! connections, and calls that always end. Knows nothing of what is said.

pub mod client;
mod connection_limit;
pub mod constants;
mod http;
pub mod server;

use constants::*;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// Why a server could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("cannot listen on {address}: {cause}")]
    Listen { address: String, cause: String },
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Binds an address, and waits for it for a while if somebody else still has it: a process that was killed and is started
/// again at once may come before the last one's sockets are gone.
///
/// # Errors
/// The address cannot be had, or is still in use after [`ADDRESS_PATIENCE_MS`].
pub fn bind_patiently<L>(
    address: &str,
    mut bind: impl FnMut() -> std::io::Result<L>,
) -> Result<L, StartError> {
    let begun = Instant::now();
    let patience = Duration::from_millis(ADDRESS_PATIENCE_MS.0);
    let mut said = false;
    loop {
        match bind() {
            Ok(listener) => return Ok(listener),
            Err(e) if e.kind() == ErrorKind::AddrInUse && begun.elapsed() < patience => {
                if !said {
                    log::warn!("{address} is in use; waiting for it");
                    said = true;
                }
                std::thread::sleep(Duration::from_millis(ADDRESS_RETRY_MS.0));
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

/// Starts a thread with a small stack: controllers have little memory and many threads.
///
/// # Errors
/// The system has no thread to give.
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

    /// Guards against a controller that ends by itself because its former life's sockets are not gone yet.
    #[test]
    fn an_address_in_use_is_waited_for_and_a_wrong_one_is_not() {
        let former = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = former.local_addr().unwrap();
        let ends = std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(300));
            drop(former);
        });
        let begun = Instant::now();
        let bound = bind_patiently("it", || TcpListener::bind(address));
        assert!(bound.is_ok() && begun.elapsed() >= Duration::from_millis(250));
        ends.join().unwrap();
        let begun = Instant::now();
        assert!(bind_patiently("it", || TcpListener::bind("192.0.2.1:80")).is_err());
        assert!(begun.elapsed() < Duration::from_millis(ADDRESS_PATIENCE_MS.0));
    }
}

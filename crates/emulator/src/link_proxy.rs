//! A TCP proxy between two controllers that stalls during a partition: bytes in transit are delivered in
//! order after it, unless the connection is closed meanwhile. Sockets and threads only.

use crate::constants::*;
use crate::serve::Node;
use crate::service_proxy::FaultContext;
use oatloom_web::{StartError, spawn};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// The two ends of a link, by the controllers' indexes.
#[derive(Clone)]
struct LinkEnds {
    nodes: Vec<Node>,
    from: usize,
    to: usize,
    shared: FaultContext,
}

impl LinkEnds {
    /// Whether the two controllers cannot reach each other now.
    fn is_partitioned(&self) -> bool {
        let faults = self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let get_zone = |controller: usize| self.nodes[controller].zone.as_str();
        let now = self.shared.now();
        faults.is_partitioned(get_zone(self.from), self.to, get_zone(self.to), now)
            || faults.is_partitioned(get_zone(self.to), self.from, get_zone(self.from), now)
    }

    /// Blocks until the partition ends.
    fn wait_until_connected(&self) {
        while self.is_partitioned() {
            std::thread::sleep(Duration::from_millis(STEP_INTERVAL_MS.0));
        }
    }
}

/// Starts a proxy from one controller to another's address and returns the address for the first one to
/// connect to. It runs until the process ends.
///
/// # Errors
/// If no socket can be bound or no thread can be started.
pub fn start(
    target: &str,
    (from, to): (usize, usize),
    nodes: &[Node],
    shared: &FaultContext,
) -> Result<SocketAddr, StartError> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (target, open_count) = (target.to_owned(), Arc::new(AtomicUsize::new(0)));
    let ends = LinkEnds { nodes: nodes.to_vec(), from, to, shared: shared.clone() };
    spawn("line", move || {
        for inbound in listener.incoming().flatten() {
            if open_count.load(Ordering::Relaxed) >= MAX_LINK_CONNECTIONS {
                continue;
            }
            let (ends, target, open_count) = (ends.clone(), target.clone(), open_count.clone());
            open_count.fetch_add(1, Ordering::Relaxed);
            let open_count_on_failure = open_count.clone();
            let started = spawn("line-pair", move || {
                ends.wait_until_connected();
                if let Ok(outbound) = TcpStream::connect(&target) {
                    forward(inbound, outbound, &ends);
                }
                open_count.fetch_sub(1, Ordering::Relaxed);
            });
            if started.is_err() {
                open_count_on_failure.fetch_sub(1, Ordering::Relaxed);
            }
        }
    })?;
    Ok(address)
}

/// Forwards both directions until either end closes.
fn forward(inbound: TcpStream, outbound: TcpStream, ends: &LinkEnds) {
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let (Ok(reverse_from), Ok(reverse_to)) = (outbound.try_clone(), inbound.try_clone()) else {
        return;
    };
    let reverse_ends = ends.clone();
    let reverse_thread =
        spawn("line-back", move || forward_one_way(reverse_from, reverse_to, &reverse_ends));
    forward_one_way(inbound, outbound, ends);
    if let Ok(reverse_thread) = reverse_thread {
        let _ = reverse_thread.join();
    }
}

/// Forwards one direction.
fn forward_one_way(mut from: TcpStream, mut to: TcpStream, ends: &LinkEnds) {
    let mut bytes = vec![0; LINK_BUFFER_BYTES];
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 {
            break;
        }
        ends.wait_until_connected();
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

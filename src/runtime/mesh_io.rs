//! Connections between controllers: a server for the requests of peers, and a client for each peer.

use super::frames::{read_frame, write_frame};
use super::{QueuedRequest, StartupError};
use crate::constants::*;
use crossbeam::channel::{Receiver, Sender, bounded};
use oatloom_core::api::Request;
use oatloom_core::controller::Event;
use oatloom_core::mesh::{PeerReplyFrame, PeerRequestFrame};
use oatloom_protocol::reply::HttpReply;
use oatloom_web::{bind_with_retry, spawn};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A peer's request, and where its reply goes.
pub(crate) struct IncomingPeerRequest {
    pub request: Request,
    pub responder: PeerResponder,
}

/// Sends the reply to a peer's request.
pub(crate) struct PeerResponder {
    id: u64,
    stream: Arc<Mutex<TcpStream>>,
}

impl PeerResponder {
    pub fn send(self, reply: HttpReply) {
        let frame = PeerReplyFrame { id: self.id, reply };
        if let Ok(mut stream) = self.stream.lock()
            && let Err(e) = write_frame(&mut *stream, &frame)
        {
            log::debug!("mesh: a reply could not be sent to a peer: {e}");
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Accepts connections from peers and queues their requests.
pub(crate) fn serve(address: &str, requests: Sender<QueuedRequest>) -> Result<(), StartupError> {
    let listener = bind_with_retry(address, || TcpListener::bind(address))?;
    let connection_count = Arc::new(AtomicUsize::new(0));
    spawn("mesh", move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                // Prevents a busy loop while no socket is left.
                std::thread::sleep(Duration::from_millis(MESH_ACCEPT_RETRY_PAUSE_MS.0));
                continue;
            };
            if connection_count.load(Ordering::Relaxed) >= MAX_MESH_CONNECTIONS {
                continue;
            }
            let (requests, shared_count) = (requests.clone(), connection_count.clone());
            shared_count.fetch_add(1, Ordering::Relaxed);
            let started = spawn("mesh-in", move || {
                if let Err(e) = serve_connection(stream, &requests) {
                    log::debug!("mesh: connection from a peer ended: {e}");
                }
                shared_count.fetch_sub(1, Ordering::Relaxed);
            });
            if started.is_err() {
                connection_count.fetch_sub(1, Ordering::Relaxed);
            }
        }
    })?;
    Ok(())
}

fn serve_connection(
    mut stream: TcpStream,
    requests: &Sender<QueuedRequest>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(MESH_IDLE_TIMEOUT_MS.0)))?;
    stream.set_write_timeout(Some(Duration::from_millis(MESH_WRITE_TIMEOUT_MS.0)))?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    loop {
        let PeerRequestFrame { id, request } = read_frame(&mut stream)?;
        let responder = PeerResponder { id, stream: writer.clone() };
        let queued =
            QueuedRequest::Mesh(IncomingPeerRequest { request: request.into(), responder });
        if let Err(rejected) = requests.try_send(queued)
            && let QueuedRequest::Mesh(incoming) = rejected.into_inner()
        {
            incoming.responder.send(HttpReply::unavailable("busy"));
        }
    }
}

/// An outgoing connection to a peer, opened on demand.
struct PeerConnection {
    stream: TcpStream,
    broken: Arc<AtomicBool>,
}

/// Starts a thread that sends requests to a peer; up to `max_queued` of them are queued, one for each connection.
pub(crate) fn spawn_peer_client(
    address: String,
    max_queued: usize,
    events: Sender<Event>,
) -> Result<Sender<PeerRequestFrame>, StartupError> {
    let (sender, queue) = bounded::<PeerRequestFrame>(max_queued.max(MAX_QUEUED_CALLS));
    spawn("mesh-out", move || send_requests(&address, &queue, &events))?;
    Ok(sender)
}

fn send_requests(address: &str, queue: &Receiver<PeerRequestFrame>, events: &Sender<Event>) {
    let mut connection: Option<PeerConnection> = None;
    let mut retry_at = Instant::now();
    while let Ok(request) = queue.recv() {
        if connection.as_ref().is_some_and(|c| c.broken.load(Ordering::Relaxed)) {
            connection = None;
        }
        if connection.is_none() && Instant::now() >= retry_at {
            connection =
                connect(address, events).inspect_err(|e| log::debug!("mesh: {address}: {e}")).ok();
            if connection.is_none() {
                retry_at = Instant::now() + Duration::from_millis(MESH_RECONNECT_PAUSE_MS.0);
            }
        }
        let sent =
            connection.as_mut().is_some_and(|c| write_frame(&mut c.stream, &request).is_ok());
        if !sent {
            if let Some(old) = connection.take() {
                let _ = old.stream.shutdown(std::net::Shutdown::Both);
            }
            let failed = Event::PeerReply { id: request.id, reply: None };
            if events.send(failed).is_err() {
                return;
            }
        }
    }
}

fn connect(address: &str, events: &Sender<Event>) -> std::io::Result<PeerConnection> {
    let target: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let stream =
        TcpStream::connect_timeout(&target, Duration::from_millis(MESH_CONNECT_TIMEOUT_MS.0))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(Duration::from_millis(MESH_WRITE_TIMEOUT_MS.0)))?;
    let mut reader = stream.try_clone()?;
    reader.set_read_timeout(Some(Duration::from_millis(MESH_IDLE_TIMEOUT_MS.0)))?;
    let broken = Arc::new(AtomicBool::new(false));
    let (reader_broken, events) = (broken.clone(), events.clone());
    spawn("mesh-told", move || {
        while let Ok(PeerReplyFrame { id, reply }) = read_frame(&mut reader) {
            let event = Event::PeerReply { id, reply: Some(reply) };
            if events.send(event).is_err() {
                break;
            }
        }
        reader_broken.store(true, Ordering::Relaxed);
        let _ = reader.shutdown(std::net::Shutdown::Both);
    })?;
    Ok(PeerConnection { stream, broken })
}

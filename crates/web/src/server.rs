//! HTTP server for users, workers and health checks. One thread polls all sockets.
//!
//! A server with one thread per connection does not suit a leader with thousands of workers: above
//! the system's limit of threads it stopped accepting connections permanently.

use crate::connection_limit::{ConnectionLimit, ConnectionUsage};
use crate::constants::*;
use crate::http::{HttpCodec, Parsed};
use crate::{StartError, bind_with_retry, spawn};
use crossbeam::channel::{Receiver, Sender, TryRecvError, bounded};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use oatloom_protocol::ids::Millis;
use oatloom_protocol::reply::HttpReply;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, ToSocketAddrs};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Identifies a connection, to which a reply can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(usize);

/// A request and the connection that waits for its reply.
#[derive(Debug)]
pub struct Incoming<R> {
    /// The connection that waits for the reply.
    pub caller: ConnectionId,
    /// The request as decoded by the application.
    pub request: R,
}

/// Outcome of a request, queued for the server thread.
#[derive(Debug)]
enum Outcome {
    Reply(HttpReply),
    /// The connection is closed without a reply.
    Close,
}

/// Sends replies to the server thread.
///
/// The server stops when this is dropped.
pub struct ReplySender {
    queue: Option<Sender<(ConnectionId, Outcome)>>,
    waker: Waker,
    address: SocketAddr,
    /// Whether the server thread has been woken and has not yet read the queue.
    is_wake_pending: Arc<AtomicBool>,
}

impl ReplySender {
    /// Queues a reply; it is dropped if the connection has closed in the meantime.
    pub fn send(&self, caller: ConnectionId, reply: HttpReply) {
        self.enqueue(caller, Outcome::Reply(reply));
    }

    /// Closes a connection without a reply.
    pub fn close(&self, caller: ConnectionId) {
        self.enqueue(caller, Outcome::Close);
    }

    /// Address the server listens on, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues an outcome for the server thread and wakes that thread, unless an earlier wake-up is still pending.
    fn enqueue(&self, caller: ConnectionId, outcome: Outcome) {
        let is_queued =
            self.queue.as_ref().is_some_and(|queue| queue.send((caller, outcome)).is_ok());
        if is_queued && !self.is_wake_pending.swap(true, Ordering::AcqRel) {
            self.wake();
        }
    }

    fn wake(&self) {
        if let Err(e) = self.waker.wake() {
            log::warn!("http: cannot wake the server thread: {e}");
        }
    }
}

impl Drop for ReplySender {
    fn drop(&mut self) {
        self.queue = None;
        self.wake();
    }
}

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
const FIRST_CONNECTION: usize = 2;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request, or only a part of one, has been received.
    Reading,
    /// The request has been delivered and its reply is pending.
    Waiting,
    /// The reply is being sent.
    Writing,
}

struct Connection {
    stream: TcpStream,
    phase: Phase,
    codec: HttpCodec,
    /// Time of the last phase change or of the last received bytes.
    last_activity: Instant,
    /// The peer has closed its sending side.
    is_peer_closed: bool,
}

/// Whether a connection stays open.
#[derive(PartialEq)]
enum NextAction {
    Keep,
    Close,
}

impl Connection {
    /// Changes the phase and records the time. The phase is changed only here.
    fn enter_phase(&mut self, phase: Phase) {
        self.phase = phase;
        self.last_activity = Instant::now();
    }

    /// Reads the available bytes, up to the size of the largest allowed request.
    fn read(&mut self, buffer: &mut [u8]) -> NextAction {
        while !self.codec.is_input_full() {
            match self.stream.read(buffer) {
                Ok(0) => {
                    self.is_peer_closed = true;
                    return NextAction::Keep;
                }
                Ok(count) => {
                    self.codec.push_input(&buffer[..count]);
                    self.last_activity = Instant::now();
                    if count < buffer.len() && self.codec.can_be_complete() {
                        // A short read drained the socket; further bytes raise a new event.
                        return NextAction::Keep;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return NextAction::Keep,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return NextAction::Close,
            }
        }
        NextAction::Keep
    }

    /// Starts sending a reply. With `close_after`, the connection closes after it.
    fn send_reply(&mut self, reply: &HttpReply, close_after: bool) -> NextAction {
        if close_after {
            self.codec.close_after_reply();
        }
        self.codec.push_reply(reply);
        self.enter_phase(Phase::Writing);
        self.write()
    }

    /// Sends pending output until all is sent or the socket accepts no more.
    fn write(&mut self) -> NextAction {
        while !self.codec.pending_output().is_empty() {
            match self.stream.write(self.codec.pending_output()) {
                Ok(0) => return NextAction::Close,
                Ok(count) => self.codec.mark_sent(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return NextAction::Keep,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return NextAction::Close,
            }
        }
        NextAction::Keep
    }
}

/// State of the server thread.
struct Server<Decode, Deliver> {
    poll: Poll,
    listener: TcpListener,
    connections: HashMap<usize, Connection>,
    next_key: usize,
    connection_limit: ConnectionLimit,
    /// Whether accepting is paused until a connection is free.
    is_accept_paused: bool,
    /// When the last search found no connection to evict.
    last_failed_eviction: Option<Instant>,
    decode: Decode,
    deliver: Deliver,
    read_buffer: Box<[u8]>,
}

/// Opens a listening socket with an accept backlog of `backlog` connections.
fn listen(address: SocketAddr, backlog: usize) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog as i32)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Starts the server on its own thread, with at most `max_connections` connections. `decode` turns method,
/// path and body into a request, or into the reply that rejects it. `deliver` passes the request on and
/// returns whether it was accepted; if not, the client gets a 503 reply with a retry delay at once.
///
/// # Errors
/// The address cannot be listened on, or a thread cannot be started.
pub fn start<R, Decode, Deliver>(
    address: &str,
    max_connections: usize,
    decode: Decode,
    deliver: Deliver,
) -> Result<ReplySender, StartError>
where
    R: 'static,
    Decode: Fn(&str, &str, &[u8]) -> Result<R, HttpReply> + Send + 'static,
    Deliver: Fn(Incoming<R>) -> bool + Send + 'static,
{
    let to_listen_error = |cause: String| StartError::Listen { address: address.to_owned(), cause };
    let socket = address
        .to_socket_addrs()
        .map_err(|e| to_listen_error(e.to_string()))?
        .next()
        .ok_or_else(|| to_listen_error("no address".into()))?;
    let poll = Poll::new()?;
    let backlog = (max_connections / BACKLOG_DIVISOR).clamp(MIN_BACKLOG_COUNT, MAX_BACKLOG_COUNT);
    let max_accepted = max_connections - backlog.min(max_connections / BACKLOG_DIVISOR);
    let mut listener = bind_with_retry(address, || listen(socket, backlog))?;
    let address = listener.local_addr()?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
    let waker = Waker::new(poll.registry(), WAKER)?;
    let (queue, outcomes) =
        bounded(max_connections.max(1) * MAX_QUEUED_REPLIES_PER_CONNECTION_COUNT);
    let is_wake_pending = Arc::new(AtomicBool::new(false));
    let mut server = Server {
        poll,
        listener,
        connections: HashMap::new(),
        next_key: FIRST_CONNECTION,
        connection_limit: ConnectionLimit::new(max_accepted),
        is_accept_paused: false,
        last_failed_eviction: None,
        decode,
        deliver,
        read_buffer: vec![0; READ_BUFFER_BYTES].into_boxed_slice(),
    };
    let server_wake_pending = is_wake_pending.clone();
    spawn("http", move || server.serve(&outcomes, &server_wake_pending))?;
    Ok(ReplySender { queue: Some(queue), waker, address, is_wake_pending })
}

impl<R, Decode, Deliver> Server<Decode, Deliver>
where
    Decode: Fn(&str, &str, &[u8]) -> Result<R, HttpReply>,
    Deliver: Fn(Incoming<R>) -> bool,
{
    /// Handles socket events and queued outcomes until the [`ReplySender`] is dropped.
    fn serve(
        &mut self,
        outcomes: &Receiver<(ConnectionId, Outcome)>,
        is_wake_pending: &AtomicBool,
    ) {
        let mut events = Events::with_capacity(256);
        let sweep_interval = Duration::from_millis(SOCKET_SWEEP_INTERVAL_MS.0);
        let mut last_sweep = Instant::now();
        loop {
            if let Err(e) = self.poll.poll(&mut events, Some(sweep_interval))
                && e.kind() != ErrorKind::Interrupted
            {
                log::warn!("http: polling the sockets failed: {e}");
                std::thread::sleep(Duration::from_millis(POLL_ERROR_DELAY_MS.0));
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    WAKER => {}
                    Token(key) => self.handle_ready(key),
                }
            }
            is_wake_pending.store(false, Ordering::Release);
            loop {
                match outcomes.try_recv() {
                    Ok((ConnectionId(key), Outcome::Reply(reply))) => {
                        self.handle_reply(key, &reply)
                    }
                    Ok((ConnectionId(key), Outcome::Close)) => drop(self.connections.remove(&key)),
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return,
                }
            }
            if last_sweep.elapsed() >= sweep_interval {
                last_sweep = Instant::now();
                self.close_stale_connections();
                // A failed accept raises no further event, so accepting is retried here.
                self.accept();
            }
            if self.is_accept_paused {
                self.accept();
            }
        }
    }

    /// Accepts connections up to the connection limit. Others wait in the bounded accept backlog.
    fn accept(&mut self) {
        loop {
            self.is_accept_paused = !self.ensure_capacity();
            if self.is_accept_paused {
                return;
            }
            match self.listener.accept() {
                Ok((stream, _)) => self.register(stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    log::debug!("http: cannot accept a connection: {e}");
                    return;
                }
            }
        }
    }

    /// Adds an accepted connection.
    fn register(&mut self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let key = self.next_key;
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(key), interest).is_err() {
            return;
        }
        self.next_key += 1;
        let (phase, last_activity) = (Phase::Reading, Instant::now());
        let codec = HttpCodec::default();
        let connection = Connection { stream, phase, codec, last_activity, is_peer_closed: false };
        self.connections.insert(key, connection);
    }

    /// Makes sure that a further connection can be accepted, evicting idle ones if needed; returns whether it can.
    /// After a search that found none, the next one is delayed by [`EVICTION_RETRY_INTERVAL_MS`]: searching all
    /// connections for each waiting one cost more than serving them.
    fn ensure_capacity(&mut self) -> bool {
        if self.connection_limit.usage(self.connections.len()) != ConnectionUsage::Full {
            return true;
        }
        let retry_interval = Duration::from_millis(EVICTION_RETRY_INTERVAL_MS.0);
        if self.last_failed_eviction.is_some_and(|failed_at| failed_at.elapsed() < retry_interval) {
            return false;
        }
        let has_evicted = self.evict_idle();
        self.last_failed_eviction = (!has_evicted).then(Instant::now);
        has_evicted
    }

    /// Closes idle connections, which have no request in progress, so that new ones can be accepted. Returns whether
    /// any was closed.
    fn evict_idle(&mut self) -> bool {
        let now = Instant::now();
        let is_idle = |c: &Connection| c.phase == Phase::Reading && !c.codec.has_input();
        let idle =
            self.connections.iter().filter(|(_, c)| is_idle(c)).map(|(key, c)| {
                (*key, Millis(now.duration_since(c.last_activity).as_millis() as u64))
            });
        let evicted = self.connection_limit.select_evictions(idle);
        for key in &evicted {
            self.connections.remove(key);
        }
        !evicted.is_empty()
    }

    /// Handles a socket that became readable or writable.
    fn handle_ready(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let mut next_action = connection.read(&mut self.read_buffer);
        if next_action == NextAction::Keep && connection.phase == Phase::Writing {
            next_action = connection.write();
        }
        if next_action == NextAction::Keep {
            next_action = self.advance(key);
        }
        if next_action == NextAction::Close {
            self.connections.remove(&key);
        }
    }

    /// Advances a connection as far as its phase and buffers allow.
    fn advance(&mut self, key: usize) -> NextAction {
        let close_after =
            self.connection_limit.usage(self.connections.len()) != ConnectionUsage::Normal;
        loop {
            let Some(connection) = self.connections.get_mut(&key) else { return NextAction::Keep };
            match connection.phase {
                Phase::Writing if !connection.codec.pending_output().is_empty() => {
                    return NextAction::Keep;
                }
                Phase::Writing if connection.codec.is_closing() => return NextAction::Close,
                Phase::Writing => {
                    connection.enter_phase(Phase::Reading);
                    // Bytes left in the socket raise no further event.
                    if connection.codec.has_input()
                        && connection.read(&mut self.read_buffer) == NextAction::Close
                    {
                        return NextAction::Close;
                    }
                }
                Phase::Waiting => return NextAction::Keep,
                Phase::Reading => {
                    let parsed = match connection.codec.parse(&self.decode) {
                        Parsed::Incomplete if connection.is_peer_closed => {
                            return NextAction::Close;
                        }
                        Parsed::Incomplete => return connection.write(),
                        Parsed::Malformed(reply) => Err(reply),
                        Parsed::Request(request) => *request,
                    };
                    // Near the connection limit, connections may have waited in the accept backlog until their clients
                    // gave up; a request whose client has closed its sending side is then dropped.
                    if connection.is_peer_closed && close_after {
                        return NextAction::Close;
                    }
                    connection.enter_phase(Phase::Waiting);
                    let rejection = match parsed {
                        Err(reply) => Some(reply),
                        Ok(request) => {
                            let incoming = Incoming { caller: ConnectionId(key), request };
                            let is_accepted = (self.deliver)(incoming);
                            (!is_accepted).then(|| HttpReply::unavailable("busy"))
                        }
                    };
                    let Some(reply) = rejection else { return NextAction::Keep };
                    if connection.send_reply(&reply, close_after) == NextAction::Close {
                        return NextAction::Close;
                    }
                }
            }
        }
    }

    /// Sends a reply on a connection that waits for one, then continues with its buffered input. Ignored if the
    /// connection has closed.
    fn handle_reply(&mut self, key: usize, reply: &HttpReply) {
        let close_after =
            self.connection_limit.usage(self.connections.len()) != ConnectionUsage::Normal;
        let Some(connection) = self.connections.get_mut(&key) else { return };
        if connection.phase != Phase::Waiting {
            return;
        }
        let next_action = match connection.send_reply(reply, close_after) {
            NextAction::Keep => self.advance(key),
            NextAction::Close => NextAction::Close,
        };
        if next_action == NextAction::Close {
            self.connections.remove(&key);
        }
    }

    /// Closes connections that have been idle or slow for too long.
    fn close_stale_connections(&mut self) {
        let is_expired = |last_activity: Instant, timeout: Millis| {
            last_activity.elapsed().as_millis() as u64 > timeout.0
        };
        self.connections.retain(|_, c| match c.phase {
            Phase::Reading if c.codec.has_input() => {
                !is_expired(c.last_activity, SLOW_REQUEST_TIMEOUT_MS)
            }
            Phase::Reading => !is_expired(c.last_activity, IDLE_CONNECTION_TIMEOUT_MS),
            Phase::Waiting => true,
            Phase::Writing => !is_expired(c.last_activity, SLOW_REQUEST_TIMEOUT_MS),
        });
    }
}

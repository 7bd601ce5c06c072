//! The HTTP server for users, workers and health checks: one thread that waits for all sockets.
//! A thread for each connection, as the house's usual library has it, does not fit a leader with
//! thousands of workers: past the system's limit of threads it stopped accepting for good.

use crate::connection_limit::{Crowd, Level};
use crate::constants::*;
use crate::http::{Parsed, Wire};
use crate::{StartError, bind_patiently, spawn};
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

/// A connection that waits for the core's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Caller(usize);

/// A request, and who waits for its answer.
#[derive(Debug)]
pub struct Incoming<R> {
    pub caller: Caller,
    pub request: R,
}

/// What becomes of a request.
#[derive(Debug)]
enum Answer {
    Reply(HttpReply),
    /// Its connection is closed.
    Close,
}

/// Takes the core's answers to the server's thread.
///
/// The server ends when this is dropped.
pub struct Answers {
    queue: Option<Sender<(Caller, Answer)>>,
    waker: Waker,
    address: SocketAddr,
    /// Whether the thread has been woken and has not looked yet.
    woken: Arc<AtomicBool>,
}

impl Answers {
    /// Hands over an answer; one to a connection that is gone meanwhile is dropped.
    pub fn send(&self, caller: Caller, reply: HttpReply) {
        self.hand(caller, Answer::Reply(reply));
    }

    /// Closes a connection without an answer.
    pub fn close(&self, caller: Caller) {
        self.hand(caller, Answer::Close);
    }

    /// Where the server listens: its port is known even if any was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn hand(&self, caller: Caller, answer: Answer) {
        let taken = self.queue.as_ref().is_some_and(|queue| queue.send((caller, answer)).is_ok());
        if taken && !self.woken.swap(true, Ordering::AcqRel) {
            self.wake();
        }
    }

    fn wake(&self) {
        if let Err(e) = self.waker.wake() {
            log::warn!("http: the server could not be woken: {e}");
        }
    }
}

impl Drop for Answers {
    fn drop(&mut self) {
        self.queue = None;
        self.wake();
    }
}

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
const FIRST_CONNECTION: usize = 2;

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A request is awaited or half here.
    Reading,
    /// The core has the request.
    Waiting,
    /// The answer is being written.
    Writing,
}

struct Connection {
    stream: TcpStream,
    phase: Phase,
    wire: Wire,
    /// Since when it has been in its phase, or, while reading, since the last byte.
    since: Instant,
    /// The other side has closed its half.
    ended: bool,
}

/// Whether a connection goes on.
#[derive(PartialEq)]
enum Next {
    Keep,
    Close,
}

impl Connection {
    /// The one place where the phase changes.
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.since = Instant::now();
    }

    /// Reads what is there, though no more than a request may have.
    fn read(&mut self, scratch: &mut [u8]) -> Next {
        while !self.wire.full() {
            match self.stream.read(scratch) {
                Ok(0) => {
                    self.ended = true;
                    return Next::Keep;
                }
                Ok(count) => {
                    self.wire.take_in(&scratch[..count]);
                    self.since = Instant::now();
                    if count < scratch.len() && self.wire.complete() {
                        // A short read took all there was; the next byte raises a new event.
                        return Next::Keep;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Next::Keep,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Next::Close,
            }
        }
        Next::Keep
    }

    /// Begins to send an answer, the last one on this connection if it `closes` then.
    fn answer(&mut self, reply: &HttpReply, closes: bool) -> Next {
        if closes {
            self.wire.close();
        }
        self.wire.answer(reply);
        self.enter(Phase::Writing);
        self.write()
    }

    fn write(&mut self) -> Next {
        while !self.wire.out().is_empty() {
            match self.stream.write(self.wire.out()) {
                Ok(0) => return Next::Close,
                Ok(count) => self.wire.written(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Next::Keep,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Next::Close,
            }
        }
        Next::Keep
    }
}

struct Server<Read, Deliver> {
    poll: Poll,
    listener: TcpListener,
    connections: HashMap<usize, Connection>,
    next: usize,
    crowd: Crowd,
    /// Whether connections wait to be accepted until there is room for them.
    held_back: bool,
    /// When it was last seen that no connection gives way.
    none_idle: Option<Instant>,
    read: Read,
    deliver: Deliver,
    scratch: Box<[u8]>,
}

/// Listens with a bound on the connections that wait to be accepted.
fn listen(address: SocketAddr, backlog: usize) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog as i32)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Starts serving on a thread of its own, with no more than `most` connections. `read` turns method, path
/// and body into a request, or into the answer to a malformed one; `deliver` takes it to whoever answers
/// it, and says whether there was room: if not, the caller is told at once to come back.
///
/// # Errors
/// The address cannot be listened on, or no thread can be had.
pub fn start<R, Read, Deliver>(
    address: &str,
    most: usize,
    read: Read,
    deliver: Deliver,
) -> Result<Answers, StartError>
where
    R: 'static,
    Read: Fn(&str, &str, &[u8]) -> Result<R, HttpReply> + Send + 'static,
    Deliver: Fn(Incoming<R>) -> bool + Send + 'static,
{
    let failed = |cause: String| StartError::Listen { address: address.to_owned(), cause };
    let socket = address
        .to_socket_addrs()
        .map_err(|e| failed(e.to_string()))?
        .next()
        .ok_or_else(|| failed("no address".into()))?;
    let poll = Poll::new()?;
    let backlog = (most / BACKLOG_PART).clamp(BACKLOG_LEAST, BACKLOG_MOST);
    let accepted = most - backlog.min(most / BACKLOG_PART);
    let mut listener = bind_patiently(address, || listen(socket, backlog))?;
    let address = listener.local_addr()?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
    let waker = Waker::new(poll.registry(), WAKER)?;
    let (queue, answers) = bounded(most.max(1) * ANSWERS_EACH);
    let woken = Arc::new(AtomicBool::new(false));
    let mut server = Server {
        poll,
        listener,
        connections: HashMap::new(),
        next: FIRST_CONNECTION,
        crowd: Crowd::new(accepted),
        held_back: false,
        none_idle: None,
        read,
        deliver,
        scratch: vec![0; READ_BYTES].into_boxed_slice(),
    };
    let seen = woken.clone();
    spawn("http", move || server.serve(&answers, &seen))?;
    Ok(Answers { queue: Some(queue), waker, address, woken })
}

impl<R, Read, Deliver> Server<Read, Deliver>
where
    Read: Fn(&str, &str, &[u8]) -> Result<R, HttpReply>,
    Deliver: Fn(Incoming<R>) -> bool,
{
    fn serve(&mut self, answers: &Receiver<(Caller, Answer)>, woken: &AtomicBool) {
        let mut events = Events::with_capacity(256);
        let sweep = Duration::from_millis(SOCKET_SWEEP_MS.0);
        let mut swept = Instant::now();
        loop {
            if let Err(e) = self.poll.poll(&mut events, Some(sweep))
                && e.kind() != ErrorKind::Interrupted
            {
                log::warn!("http: waiting for sockets failed: {e}");
                std::thread::sleep(Duration::from_millis(POLL_REST_MS.0));
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    WAKER => {}
                    Token(key) => self.ready(key),
                }
            }
            woken.store(false, Ordering::Release);
            loop {
                match answers.try_recv() {
                    Ok((Caller(key), Answer::Reply(reply))) => self.answer(key, &reply),
                    Ok((Caller(key), Answer::Close)) => drop(self.connections.remove(&key)),
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return,
                }
            }
            if swept.elapsed() >= sweep {
                swept = Instant::now();
                self.sweep();
                // A failed accept raises no further event: look again.
                self.accept();
            }
            if self.held_back {
                self.accept();
            }
        }
    }

    /// Accepts connections while there is room for them. The others wait in the listener's bounded queue.
    fn accept(&mut self) {
        loop {
            self.held_back = !self.has_room();
            if self.held_back {
                return;
            }
            match self.listener.accept() {
                Ok((stream, _)) => self.register(stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    log::debug!("http: a connection could not be accepted: {e}");
                    return;
                }
            }
        }
    }

    fn register(&mut self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let key = self.next;
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(key), interest).is_err() {
            return;
        }
        self.next += 1;
        let (phase, since) = (Phase::Reading, Instant::now());
        let wire = Wire::default();
        let connection = Connection { stream, phase, wire, since, ended: false };
        self.connections.insert(key, connection);
    }

    /// Whether a further connection may be taken. That none lies idle is remembered for a moment: looking through all of them
    /// for each that waits cost more than answering them.
    fn has_room(&mut self) -> bool {
        if self.crowd.count(self.connections.len()) != Level::Full {
            return true;
        }
        let rest = Duration::from_millis(NONE_IDLE_MS.0);
        if self.none_idle.is_some_and(|at| at.elapsed() < rest) {
            return false;
        }
        let room = self.make_room();
        self.none_idle = (!room).then(Instant::now);
        room
    }

    /// Closes connections that lie idle in favour of one that has come; none of them was being asked anything.
    fn make_room(&mut self) -> bool {
        let now = Instant::now();
        let unasked = |c: &Connection| c.phase == Phase::Reading && !c.wire.begun();
        let idle = self
            .connections
            .iter()
            .filter(|(_, c)| unasked(c))
            .map(|(key, c)| (*key, Millis(now.duration_since(c.since).as_millis() as u64)));
        let gone = self.crowd.gives_way(idle);
        for key in &gone {
            self.connections.remove(key);
        }
        !gone.is_empty()
    }

    /// A socket may be read or written again.
    fn ready(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let mut next = connection.read(&mut self.scratch);
        if next == Next::Keep && connection.phase == Phase::Writing {
            next = connection.write();
        }
        if next == Next::Keep {
            next = self.go_on(key);
        }
        if next == Next::Close {
            self.connections.remove(&key);
        }
    }

    /// Does what the connection's phase and bytes allow.
    fn go_on(&mut self, key: usize) -> Next {
        let closes = self.crowd.count(self.connections.len()) != Level::Open;
        loop {
            let Some(connection) = self.connections.get_mut(&key) else { return Next::Keep };
            match connection.phase {
                Phase::Writing if !connection.wire.out().is_empty() => return Next::Keep,
                Phase::Writing if connection.wire.closing() => return Next::Close,
                Phase::Writing => {
                    connection.enter(Phase::Reading);
                    // Bytes that were left in the socket raise no further event.
                    if connection.wire.begun() && connection.read(&mut self.scratch) == Next::Close
                    {
                        return Next::Close;
                    }
                }
                Phase::Waiting => return Next::Keep,
                Phase::Reading => {
                    let parsed = match connection.wire.parse(&self.read) {
                        Parsed::More if connection.ended => return Next::Close,
                        Parsed::More => return connection.write(),
                        Parsed::Bad(reply) => Err(reply),
                        Parsed::Request(parsed) => *parsed,
                    };
                    // Beyond the crowd's bound connections wait to be accepted, and their callers may have given up since.
                    if connection.ended && closes {
                        return Next::Close;
                    }
                    connection.enter(Phase::Waiting);
                    let refusal = match parsed {
                        Err(reply) => Some(reply),
                        Ok(request) => {
                            let incoming = Incoming { caller: Caller(key), request };
                            let taken = (self.deliver)(incoming);
                            (!taken).then(|| HttpReply::unavailable("busy"))
                        }
                    };
                    let Some(reply) = refusal else { return Next::Keep };
                    if connection.answer(&reply, closes) == Next::Close {
                        return Next::Close;
                    }
                }
            }
        }
    }

    fn answer(&mut self, key: usize, reply: &HttpReply) {
        let closes = self.crowd.count(self.connections.len()) != Level::Open;
        let Some(connection) = self.connections.get_mut(&key) else { return };
        if connection.phase != Phase::Waiting {
            return;
        }
        let next = match connection.answer(reply, closes) {
            Next::Keep => self.go_on(key),
            Next::Close => Next::Close,
        };
        if next == Next::Close {
            self.connections.remove(&key);
        }
    }

    /// Closes connections on which nothing has happened for long.
    fn sweep(&mut self) {
        let old = |since: Instant, most: Millis| since.elapsed().as_millis() as u64 > most.0;
        self.connections.retain(|_, c| match c.phase {
            Phase::Reading if c.wire.begun() => !old(c.since, SLOW_REQUEST_MS),
            Phase::Reading => !old(c.since, IDLE_CONNECTION_MS),
            Phase::Waiting => true,
            Phase::Writing => !old(c.since, SLOW_REQUEST_MS),
        });
    }
}

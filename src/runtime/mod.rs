//! The I/O layer around the deterministic core: threads, sockets and clocks.

mod clients;
mod frames;
mod mesh_io;

use crate::constants::*;
use crossbeam::channel::{Receiver, Select, Sender, bounded};
use oatloom_core::api::{self, Request};
use oatloom_core::conn_id::ConnId;
use oatloom_core::constants::*;
use oatloom_core::controller::{Action, Controller, Event};
use oatloom_core::inbox::{Admitted, DroppedReports, Inbox};
use oatloom_core::operators::OperatorSettings;
use oatloom_protocol::ids::{Member, Mono, Now};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::settings::Settings;
use oatloom_web::{StartError, server, spawn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Why the controller could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// A request queued for the core thread. Responses of services and peers have a queue of their own, so that lease renewals
/// are not delayed by waiting requests.
pub(crate) enum QueuedRequest {
    Http(server::Incoming<Request>),
    Mesh(mesh_io::IncomingPeerRequest),
}

impl QueuedRequest {
    fn request(&self) -> &Request {
        match self {
            Self::Http(incoming) => &incoming.request,
            Self::Mesh(incoming) => &incoming.request,
        }
    }
}

/// Where a reply goes.
enum Responder {
    Http(server::ConnectionId),
    Mesh(mesh_io::PeerResponder),
}

/// The monotonic and the wall clock.
struct Clock {
    start: Instant,
}

impl Clock {
    fn now(&self) -> Now {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now {
            mono: Mono(CLOCK_START_MS.0 + self.start.elapsed().as_millis() as u64),
            wall_ms: unix_time.as_millis() as u64,
        }
    }
}

/// Runs the core: feeds it events, performs its actions and keeps the callers that wait for replies.
struct Runtime {
    controller: Controller,
    inbox: Inbox<QueuedRequest>,
    dropped_reports: DroppedReports,
    clock: Clock,
    responders: HashMap<ConnId, Responder>,
    next_conn: u64,
    http_replies: server::ReplySender,
    clients: clients::Clients,
    peers: HashMap<Member, Sender<oatloom_core::mesh::PeerRequestFrame>>,
}

/// Runs a controller until the process is killed.
///
/// # Errors
/// An address cannot be bound, or a thread cannot be started.
pub fn run(settings: Settings, operators: OperatorSettings) -> Result<(), StartupError> {
    let max_connections = settings.facts.limits.max_connections();
    let (event_sender, events) = bounded(MAX_QUEUED_EVENTS);
    // Room for one request of each connection, and as many from each peer, which forwards the requests of its users. The core
    // thread moves them to its inbox in each pass.
    let (request_sender, requests) = bounded(max_connections * (settings.peers.len() + 1));
    let http_sender = request_sender.clone();
    let deliver = move |incoming| http_sender.try_send(QueuedRequest::Http(incoming)).is_ok();
    let http_replies = server::start(&settings.listen, max_connections, api::parse, deliver)?;
    mesh_io::serve(&settings.mesh_listen, request_sender)?;
    let mut peers = HashMap::new();
    for peer in &settings.peers {
        let sender =
            mesh_io::spawn_peer_client(peer.addr.clone(), max_connections, event_sender.clone())?;
        peers.insert(peer.member.clone(), sender);
    }
    let clients = clients::Clients::start(&settings.endpoints, &event_sender)?;
    log::info!("controller {} listening on {}", settings.member, settings.listen);
    let seed = ChaCha8Rng::from_os_rng().random::<u64>();
    let mut runtime = Runtime {
        controller: Controller::new(settings, operators, seed),
        inbox: Inbox::new(max_connections),
        dropped_reports: DroppedReports::default(),
        clock: Clock { start: Instant::now() },
        responders: HashMap::new(),
        next_conn: 0,
        http_replies,
        clients,
        peers,
    };
    runtime.run_loop(&events, &requests);
    Ok(())
}

impl Runtime {
    fn run_loop(&mut self, events: &Receiver<Event>, requests: &Receiver<QueuedRequest>) {
        let mut select = Select::new();
        select.recv(events);
        select.recv(requests);
        loop {
            if let Ok(event) = events.try_recv() {
                self.handle(event);
                continue;
            }
            self.enqueue_requests(requests);
            if let Some(event) = self.next_request() {
                self.handle(event);
            } else if select.ready_timeout(Duration::from_millis(MAX_CORE_SLEEP_MS.0)).is_err() {
                self.handle(Event::Tick);
            }
        }
    }

    /// Passes an event to the core and performs the resulting actions.
    fn handle(&mut self, event: Event) {
        let mut actions = self.controller.handle(self.clock.now(), event);
        while !actions.is_empty() {
            let failed: Vec<Event> =
                actions.drain(..).filter_map(|action| self.perform(action)).collect();
            for event in failed {
                actions.extend(self.controller.handle(self.clock.now(), event));
            }
        }
    }

    /// Moves received requests to the inbox, which queues them by kind.
    fn enqueue_requests(&mut self, requests: &Receiver<QueuedRequest>) {
        if requests.is_empty() {
            return;
        }
        let now = self.clock.now().mono;
        while let Ok(incoming) = requests.try_recv() {
            let leader = self.controller.leader_token();
            let kind = self.dropped_reports.classify(incoming.request(), leader);
            let forwarded = matches!(incoming, QueuedRequest::Mesh(_));
            if let Some(Admitted::Drop(oldest, retry_after_s)) =
                self.inbox.push(now, kind, forwarded, incoming)
            {
                self.reject(oldest, retry_after_s);
            }
        }
    }

    /// The next request that has not waited too long; expired ones before it are rejected.
    fn next_request(&mut self) -> Option<Event> {
        let now = self.clock.now().mono;
        for _ in 0..MAX_DROPS_PER_PASS {
            match self.inbox.pop(now)? {
                Admitted::Drop(incoming, retry_after_s) => self.reject(incoming, retry_after_s),
                Admitted::Take(incoming, age) => {
                    self.dropped_reports.record_handled(incoming.request());
                    self.controller.set_queue_delay(age);
                    return Some(self.request_event(incoming));
                }
            }
        }
        // Lets the core handle leases and other events before more requests are dropped.
        Some(Event::Tick)
    }

    fn request_event(&mut self, incoming: QueuedRequest) -> Event {
        let forwarded = matches!(incoming, QueuedRequest::Mesh(_));
        let (responder, request) = match incoming {
            QueuedRequest::Http(incoming) => (Responder::Http(incoming.caller), incoming.request),
            QueuedRequest::Mesh(peer) => (Responder::Mesh(peer.responder), peer.request),
        };
        Event::Request { conn: self.register(responder), request, forwarded }
    }

    /// Tells an HTTP caller to retry later; a peer gets no reply, its own time-out ends the request.
    fn reject(&mut self, incoming: QueuedRequest, retry_after_s: u32) {
        self.dropped_reports.record_dropped(incoming.request());
        let QueuedRequest::Http(server::Incoming { caller, .. }) = incoming else { return };
        let reply =
            HttpReply { retry_after_s: Some(retry_after_s), ..HttpReply::unavailable("busy") };
        self.http_replies.send(caller, reply);
    }

    fn register(&mut self, responder: Responder) -> ConnId {
        self.next_conn += 1;
        let conn = ConnId(self.next_conn);
        self.responders.insert(conn, responder);
        conn
    }

    /// Performs an action; returns a failure event if it cannot be started.
    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Reply { conn, reply } => self.send_reply(conn, reply),
            Action::Store { id, class, op } => return self.clients.store(id, class, op),
            Action::Cloud { id, op } => return self.clients.cloud(id, op),
            Action::Command { addr, command } => return self.clients.command(addr, command),
            Action::PeerRequest { to, id, request } => {
                let frame = oatloom_core::mesh::PeerRequestFrame { id, request };
                let sent = self.peers.get(&to).is_some_and(|peer| peer.try_send(frame).is_ok());
                if !sent {
                    return Some(Event::PeerReply { id, reply: None });
                }
            }
        }
        None
    }

    fn send_reply(&mut self, conn: ConnId, reply: HttpReply) {
        match self.responders.remove(&conn) {
            Some(Responder::Http(caller)) => self.http_replies.send(caller, reply),
            Some(Responder::Mesh(responder)) => responder.send(reply),
            None => {}
        }
    }
}

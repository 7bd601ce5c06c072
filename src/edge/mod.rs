//! Threads, sockets and clocks: everything that is not deterministic.

mod clients;
mod frames;
mod mesh_io;

use crate::constants::*;
use crossbeam::channel::{Receiver, Select, Sender, bounded};
use oatloom_core::api::{self, Request};
use oatloom_core::constants::*;
use oatloom_core::controller::{Action, Controller, Event};
use oatloom_core::inbox::{Admitted, DroppedReports, Inbox};
use oatloom_core::operators::OperatorSettings;
use oatloom_core::reply::ConnId;
use oatloom_protocol::ids::{Member, Mono, Now};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::settings::Settings;
use oatloom_web::{StartError, server, spawn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Debug, thiserror::Error)]
pub enum EdgeError {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// A request that reaches the core thread. Answers of services and peers have a way of their own: leases are renewed by them,
/// however many requests wait.
pub(crate) enum Incoming {
    Http(server::Incoming<Request>),
    Mesh(mesh_io::Question),
}

impl Incoming {
    fn request(&self) -> &Request {
        match self {
            Self::Http(incoming) => &incoming.request,
            Self::Mesh(question) => &question.request,
        }
    }
}

/// Whom an answer goes to.
enum Responder {
    Http(server::Caller),
    Mesh(mesh_io::Answerer),
}

struct Clock {
    start: Instant,
}

impl Clock {
    fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now {
            mono: Mono(CLOCK_START_MS.0 + self.start.elapsed().as_millis() as u64),
            wall_ms: wall.as_millis() as u64,
        }
    }
}

/// The outer half of a controller: performs actions, and holds those who wait for answers.
struct Runtime {
    controller: Controller,
    inbox: Inbox<Incoming>,
    dropped_reports: DroppedReports,
    clock: Clock,
    waiting: HashMap<ConnId, Responder>,
    next_conn: u64,
    answers: server::Answers,
    clients: clients::Clients,
    mesh: HashMap<Member, Sender<oatloom_core::mesh::PeerRequestFrame>>,
}

/// Runs a controller until the process is killed.
pub fn run(settings: Settings, ops: OperatorSettings) -> Result<(), EdgeError> {
    let most = settings.facts.limits.connections();
    let (event_sender, events) = bounded(EVENT_QUEUE);
    // What may wait between the threads that read requests and the core thread, which sorts them whenever it looks: one of each
    // connection, and as many of each peer, who asks for the users that visit it.
    let (request_sender, requests) = bounded(most * (settings.peers.len() + 1));
    let http = request_sender.clone();
    let deliver = move |incoming| http.try_send(Incoming::Http(incoming)).is_ok();
    let answers = server::start(&settings.listen, most, api::parse, deliver)?;
    mesh_io::serve(&settings.mesh_listen, request_sender)?;
    let mut mesh = HashMap::new();
    for peer in &settings.peers {
        let sender = mesh_io::dial(peer.addr.clone(), most, event_sender.clone())?;
        mesh.insert(peer.member.clone(), sender);
    }
    let clients = clients::Clients::start(&settings.endpoints, &event_sender)?;
    log::info!("{} serves on {}", settings.member, settings.listen);
    let seed = ChaCha8Rng::from_os_rng().random::<u64>();
    let mut runtime = Runtime {
        controller: Controller::new(settings, ops, seed),
        inbox: Inbox::new(most),
        dropped_reports: DroppedReports::default(),
        clock: Clock { start: Instant::now() },
        waiting: HashMap::new(),
        next_conn: 0,
        answers,
        clients,
        mesh,
    };
    runtime.serve(&events, &requests);
    Ok(())
}

impl Runtime {
    fn serve(&mut self, events: &Receiver<Event>, requests: &Receiver<Incoming>) {
        let mut select = Select::new();
        select.recv(events);
        select.recv(requests);
        loop {
            if let Ok(event) = events.try_recv() {
                self.handle(event);
                continue;
            }
            self.sort_in(requests);
            if let Some(event) = self.next_request() {
                self.handle(event);
            } else if select.ready_timeout(Duration::from_millis(CORE_WAKE_MS.0)).is_err() {
                self.handle(Event::Tick);
            }
        }
    }

    /// Has an event handled, and performs what follows from it.
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

    /// Sorts the requests that have come by kind.
    fn sort_in(&mut self, requests: &Receiver<Incoming>) {
        if requests.is_empty() {
            return;
        }
        let now = self.clock.now().mono;
        while let Ok(incoming) = requests.try_recv() {
            let leader = self.controller.leader_token();
            let kind = self.dropped_reports.classify(incoming.request(), leader);
            let forwarded = matches!(incoming, Incoming::Mesh(_));
            if let Some(Admitted::Drop(oldest, retry)) =
                self.inbox.push(now, kind, forwarded, incoming)
            {
                self.turn_away(oldest, retry);
            }
        }
    }

    /// The next request that is worth an answer; those before it that are not are turned away.
    fn next_request(&mut self) -> Option<Event> {
        let now = self.clock.now().mono;
        for _ in 0..DROPPED_AT_ONCE {
            match self.inbox.pop(now)? {
                Admitted::Drop(incoming, retry) => self.turn_away(incoming, retry),
                Admitted::Take(incoming, age) => {
                    self.dropped_reports.record_handled(incoming.request());
                    self.controller.set_queue_delay(age);
                    return Some(self.take_up(incoming));
                }
            }
        }
        // Leases and what else has come are looked at before more is dropped.
        Some(Event::Tick)
    }

    fn take_up(&mut self, incoming: Incoming) -> Event {
        let forwarded = matches!(incoming, Incoming::Mesh(_));
        let (responder, request) = match incoming {
            Incoming::Http(incoming) => (Responder::Http(incoming.caller), incoming.request),
            Incoming::Mesh(question) => (Responder::Mesh(question.answerer), question.request),
        };
        Event::Request { conn: self.register(responder), request, forwarded }
    }

    /// Tells a caller at once to come back; a peer has given up by itself.
    fn turn_away(&mut self, incoming: Incoming, retry_after_s: u32) {
        self.dropped_reports.record_dropped(incoming.request());
        let Incoming::Http(server::Incoming { caller, .. }) = incoming else { return };
        let reply = HttpReply { retry_after_s: Some(retry_after_s), ..HttpReply::later("busy") };
        self.answers.send(caller, reply);
    }

    fn register(&mut self, responder: Responder) -> ConnId {
        self.next_conn += 1;
        let conn = ConnId(self.next_conn);
        self.waiting.insert(conn, responder);
        conn
    }

    /// Performs an action; what cannot even be begun comes back as its failure.
    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Reply { conn, reply } => self.answer(conn, reply),
            Action::Store { id, lane, op } => return self.clients.store(id, lane, op),
            Action::Cloud { id, op } => return self.clients.cloud(id, op),
            Action::Command { addr, command } => return self.clients.command(addr, command),
            Action::PeerRequest { to, id, request } => {
                let asked = oatloom_core::mesh::PeerRequestFrame { id, request: request };
                let sent = self.mesh.get(&to).is_some_and(|peer| peer.try_send(asked).is_ok());
                if !sent {
                    return Some(Event::PeerReply { id, reply: None });
                }
            }
        }
        None
    }

    fn answer(&mut self, conn: ConnId, reply: HttpReply) {
        match self.waiting.remove(&conn) {
            Some(Responder::Http(caller)) => self.answers.send(caller, reply),
            Some(Responder::Mesh(answerer)) => answerer.answer(reply),
            None => {}
        }
    }
}

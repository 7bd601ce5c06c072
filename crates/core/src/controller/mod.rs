//! The controller state machine: a deterministic mapping from events to actions. Every reply that
//! only a leader may give is preceded by a check that its leadership is still valid.

mod dependencies;
mod graphs;
mod health;
mod leading;
mod limits;
mod members;
mod reports;
mod usage;
mod users;
pub mod versions;
mod writing;

use crate::api::{Request, Submission};
use crate::cloud::{CloudDesk, CloudOp, CloudReply, Kind, News};
use crate::constants::*;
use crate::jobs::{self, AcceptedKind, Item, JobMemory, JobState, LiveRecord, OverRecord, Written};
use crate::leadership::{Ask, LEAD_KEY, Leadership, Turn};
use crate::mesh::Question;
use crate::notes::Notes;
use crate::open::OpenRequests;
use crate::operators::Operators;
use crate::parked::ParkedReports;
use crate::placement;
use crate::refusals::{Refusal, Refusals};
use crate::reign::{Reign, Stage, Terms};
use crate::relay::{Relays, Way};
use crate::reply::ConnId;
use crate::store::{Lane, OpId, StoreClient, StoreOp, StoreReply};
use crate::workers::Fleet;
use oatloom_graph::desk::{Read, Wrote};
use oatloom_graph::requests::Ask as GraphAsk;
use oatloom_ledger::entry::Entry;
use oatloom_ledger::query::Query;
use oatloom_ledger::rollup::Cursor;
use oatloom_membership::Membership;
use oatloom_protocol::ids::*;
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::settings::Settings;
use oatloom_protocol::wire::{
    Change, Changes, Command, Condition, JobSpec, JobStatus, JobView, Page, Redirect, Report, Row,
    Txn,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

#[derive(Debug)]
pub enum Event {
    Tick,
    /// A request. `forwarded` is set if a peer relayed it; such a request is not relayed again.
    Request {
        conn: ConnId,
        request: Request,
        forwarded: bool,
    },
    Store {
        id: OpId,
        reply: StoreReply,
    },
    Cloud {
        id: u64,
        reply: CloudReply,
    },
    /// A worker's response to a direct command; `None` if the worker could not be reached.
    Obeyed {
        report: Option<Box<Report>>,
    },
    /// A peer's response to a request; `None` if the peer could not be reached.
    Told {
        id: u64,
        reply: Option<HttpReply>,
    },
}

#[derive(Debug, PartialEq)]
pub enum Action {
    Reply {
        conn: ConnId,
        reply: HttpReply,
    },
    Store {
        id: OpId,
        lane: Lane,
        op: StoreOp,
    },
    Cloud {
        id: u64,
        op: CloudOp,
    },
    Ask {
        to: Member,
        id: u64,
        question: Question,
    },
    /// Orders sent to a worker at once instead of with the reply to its next report.
    Command {
        addr: String,
        command: Command,
    },
}

/// Why the records of a job are read from the state service.
#[derive(Clone, Debug)]
enum Why {
    View,
    Abort,
    /// A submission that may be known already or may be invalid: if no record of the job exists, it
    /// gets this reply.
    Submit(HttpReply),
}

/// The operation that a response of the state service belongs to.
#[derive(Debug)]
enum Purpose {
    Lead {
        ask: Ask,
        sent: Mono,
    },
    Load {
        token: Token,
        /// Key after which the page starts, and the revision at which the first page was read.
        after: String,
        first: Option<Revision>,
    },
    Watch {
        token: Token,
        after: Revision,
    },
    Write {
        token: Token,
        written: Vec<Written>,
    },
    Resolve {
        token: Token,
        item: Item,
    },
    Accept {
        conn: ConnId,
        record: Box<LiveRecord>,
        forwarded: bool,
        /// Fencing token under which the request was sent, if this controller was the leader.
        term: Option<Token>,
    },
    Lookup {
        conn: ConnId,
        id: JobId,
        why: Why,
        over: bool,
        /// Fencing token under which the request was sent, if this controller was the leader.
        term: Option<Token>,
    },
    /// Checks whether a job that a submission depends on was accepted.
    NamedDependency {
        check: Box<dependencies::DependencyCheck>,
        record: dependencies::DependencyRecord,
    },
    /// Reads the final state of a job that other jobs depend on.
    Dependency {
        token: Token,
        id: JobId,
    },
    /// Reads what a new leader needs before it accounts usage.
    Account {
        token: Token,
        step: usage::Step,
    },
    /// Reads what a new leader needs of the graphs.
    Graphs {
        token: Token,
        read: Read,
    },
    WriteGraphs {
        token: Token,
        written: Vec<Wrote>,
    },
    ResolveGraphs {
        token: Token,
    },
    /// Reads the final answer of a graph that is not open on this controller.
    GraphOver {
        conn: ConnId,
        ask: Box<GraphAsk>,
        step: graphs::OverStep,
    },
    /// Reads or writes the members' version keys.
    Versions {
        step: versions::Step,
    },
    /// Reads a page of usage for an operator.
    Usage {
        conn: ConnId,
        query: Box<Query>,
        cursor: Option<Cursor>,
    },
}

/// State of the leader's single writer.
#[derive(Debug, PartialEq)]
enum Writer {
    Idle,
    Writing,
    /// The outcome of a transaction is unknown; its keys are being read back.
    Resolving(Vec<Item>),
    /// As `Resolving`, for a transaction of graphs.
    ResolvingGraphs(graphs::Unsure),
}

/// Counts since the last traffic log line.
#[derive(Debug, Default)]
struct Traffic {
    answered: u32,
    parked: u32,
    passed_on: u32,
    sent_on: u32,
    refused: u32,
    users: u32,
    probes: u32,
    /// Puts and deletes submitted by the leader's writer.
    changes: usize,
}

/// Sizes of a controller's queues, which must stay bounded during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests of users and workers without a reply.
    pub open: usize,
    /// Operations for the state service, queued or in flight.
    pub store: usize,
    /// Cloud calls in flight, and requested machines.
    pub cloud: usize,
    /// Requests to peers in flight.
    pub asks: usize,
    /// Parked reports, whose replies are held back.
    pub parked: usize,
    /// Changes of the job table that are not yet durable.
    pub unwritten: usize,
}

impl Load {
    /// Returns the maximum of each field.
    pub fn larger(self, other: Self) -> Self {
        Self {
            open: self.open.max(other.open),
            store: self.store.max(other.store),
            cloud: self.cloud.max(other.cloud),
            asks: self.asks.max(other.asks),
            parked: self.parked.max(other.parked),
            unwritten: self.unwritten.max(other.unwritten),
        }
    }
}

pub struct Controller {
    traffic: Traffic,
    next_line: Mono,
    settings: Settings,
    ops: Operators,
    terms: Terms,
    rng: ChaCha8Rng,
    leadership: Leadership,
    store: StoreClient<Purpose>,
    desk: CloudDesk,
    /// Machines and catalog while no leader term is active; followers use the catalog too.
    fleet: Fleet,
    reign: Option<Reign>,
    /// Final states, cached so that polling needs no read.
    over: JobMemory<OverRecord>,
    /// Jobs that are known to be accepted durably, so that submissions that depend on them need no
    /// read.
    accepted: JobMemory<AcceptedKind>,
    dependency_reads: dependencies::DependencyReads,
    open: OpenRequests,
    waiting_end: BTreeMap<JobId, Vec<ConnId>>,
    asks: BTreeMap<u64, (ConnId, Question, Mono)>,
    relays: Relays,
    parked: ParkedReports,
    /// Whether a parked report may have become due, and when the watched ones are checked next.
    parked_changed: bool,
    /// How long the request of the next event has waited in the queue.
    lag: Millis,
    next_parked_look: Mono,
    /// Direct commands in flight.
    commands: usize,
    cloud_ops: BTreeMap<u64, (CloudOp, Token)>,
    next_id: u64,
    writer: Writer,
    write_after: Mono,
    watch_live: Option<Revision>,
    /// Fencing token of the leader term whose watch of the live jobs is open.
    watch_out: Option<Token>,
    was_valid: bool,
    /// Whether a read for usage accounting is in flight, and when the next may be sent.
    account_out: bool,
    /// Where the scan of all final states continues: only those after the revision are counted.
    account_scan: Option<(Revision, String)>,
    account_after: Mono,
    /// Whether a read of graphs is in flight, and when the next may be sent.
    graphs_out: bool,
    graphs_after: Mono,
    /// Whether the writer serves graphs next.
    graphs_turn: bool,
    /// The latest hints from a leader, and when they arrived.
    notes: Option<(Mono, Notes)>,
    next_notes: Mono,
    /// When a leader last replied to a request of this controller.
    last_told: Mono,
    /// First and latest failure of the requests to the leader since its last reply.
    unanswered: Option<(Mono, Mono)>,
    /// The health that was logged last.
    health: health::Health,
    membership: Option<Membership>,
    /// One-way messages to peers: the recipient, and until when the response is awaited.
    said: BTreeMap<u64, (Member, Mono)>,
    next_greet: Mono,
    /// The versions that the members are known to run.
    versions: versions::Versions,
    limits: limits::Limits,
    /// Writes of graphs that the state service refused.
    graph_refusals: Refusals<oatloom_graph::desk::Item>,
    out: Vec<Action>,
}

impl Controller {
    pub fn new(settings: Settings, ops: Operators, seed: u64) -> Self {
        let limits = limits::Limits::new(&settings.facts.state);
        Self {
            leadership: Leadership::new(settings.member.clone(), settings.bound_alone()),
            store: StoreClient::new(&settings.facts.state, settings.peers.len() + 1),
            desk: CloudDesk::new(&settings.facts.cloud),
            rng: ChaCha8Rng::seed_from_u64(seed),
            terms: Terms::new(&settings, &ops),
            settings,
            ops,
            fleet: Fleet::default(),
            reign: None,
            over: JobMemory::new(OVER_CACHE),
            accepted: JobMemory::new(ACCEPTED_CACHE),
            dependency_reads: dependencies::DependencyReads::default(),
            open: OpenRequests::default(),
            waiting_end: BTreeMap::new(),
            asks: BTreeMap::new(),
            relays: Relays::default(),
            parked: ParkedReports::default(),
            parked_changed: false,
            lag: Millis(0),
            next_parked_look: Mono(0),
            commands: 0,
            traffic: Traffic::default(),
            next_line: Mono(0),
            cloud_ops: BTreeMap::new(),
            next_id: 0,
            writer: Writer::Idle,
            write_after: Mono(0),
            watch_live: None,
            watch_out: None,
            was_valid: false,
            account_out: false,
            account_scan: None,
            account_after: Mono(0),
            graphs_out: false,
            graphs_after: Mono(0),
            graphs_turn: false,
            notes: None,
            next_notes: Mono(0),
            last_told: Mono(0),
            unanswered: None,
            health: health::Health::default(),
            membership: None,
            said: BTreeMap::new(),
            next_greet: Mono(0),
            versions: versions::Versions::default(),
            limits,
            graph_refusals: Refusals::default(),
            out: Vec::new(),
        }
    }

    /// The current leader term, for tests and logs.
    pub fn reign(&self) -> Option<&Reign> {
        self.reign.as_ref()
    }

    /// Usage entries since the last call, as far as they are retained; for tests.
    pub fn take_entries(&mut self) -> Vec<Entry> {
        let account = self.reign.as_mut().and_then(|reign| reign.book.account.as_mut());
        account.map(|account| account.latest.drain(..).collect()).unwrap_or_default()
    }

    /// Returns the sizes of the queues.
    pub fn waiting(&self) -> Load {
        Load {
            open: self.open.len(),
            store: self.store.len(),
            cloud: self.cloud_ops.len() + self.desk.awaited().count(),
            asks: self.asks.len() + self.said.len(),
            parked: self.parked.len(),
            unwritten: self.reign.as_ref().map_or(0, |reign| {
                let graphs = reign.graphs.as_ref().map_or(0, |desk| desk.sizes().2);
                reign.book.unwritten() + graphs
            }),
        }
    }

    /// Number of checks of parked reports, for tests: it must not grow with events times reports.
    pub fn parked_looks(&self) -> u64 {
        self.parked.looks()
    }

    /// Fencing token of the current leader, as far as it is known.
    pub fn leader_token(&self) -> Option<Token> {
        self.leadership.leader_token()
    }

    pub fn valid(&self, now: Mono) -> Option<Token> {
        self.leadership.valid(now)
    }

    /// Whether this controller holds the leader key as far as it knows, with a valid lease or not.
    pub fn leads(&self) -> bool {
        self.leadership.token().is_some()
    }

    /// Sets how long the request of the next event has waited in the queue.
    pub fn lags(&mut self, lag: Millis) {
        self.lag = lag;
    }

    /// Processes one event and returns the resulting actions. This is the only entry point.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        if let Some(account) = self.reign.as_mut().and_then(|r| r.book.account.as_mut()) {
            account.wall_ms = now.wall_ms;
        }
        // Runs before the event is processed. Otherwise a process that was suspended would answer
        // with stale state to clients that have long retried elsewhere.
        self.expire(now);
        match event {
            Event::Tick => {}
            Event::Request { conn, request, forwarded } => {
                self.on_request(now, conn, request, forwarded)
            }
            Event::Store { id, reply } => self.on_store(now, id, reply),
            Event::Cloud { id, reply } => self.on_cloud(now.mono, id, reply),
            Event::Told { id, reply } => self.on_told(now, id, reply),
            Event::Obeyed { report } => self.on_obeyed(now.mono, report),
        }
        self.lag = Millis(0);
        self.turn(now);
        std::mem::take(&mut self.out)
    }

    /// Runs the work that is due after every event.
    fn turn(&mut self, now: Now) {
        let mono = now.mono;
        let asks = self.leadership.tick(mono);
        self.lead_asks(mono, asks);
        self.follow_turns(now);
        let valid = self.leadership.valid(mono).is_some();
        let led = self.leadership.other_leader().is_some_and(|leader| {
            let line = self.membership.as_ref().map(|members| members.line(leader));
            !matches!(line, Some(oatloom_membership::Line::Cut { .. }))
        });
        if !self.store.throttled_lately(mono) {
            self.store.leaderless(!led && self.leadership.token().is_none());
        }
        self.follow_limits();
        if let Some(reign) = self.reign.as_mut() {
            if valid && !self.was_valid {
                // Reports were rejected while the leadership was not valid; workers need time to
                // return.
                reign.heard_from = mono;
                if let Some(desk) = reign.graphs.as_mut() {
                    desk.deaf_until(mono);
                }
                reign.wake();
            }
            if valid {
                reign.tick(&self.settings, &self.ops, &mut self.desk, mono);
            }
        }
        self.was_valid = valid;
        if mono >= self.next_line {
            self.next_line = mono.plus(TRAFFIC_EVERY_MS);
            // The counters are reset whatever the log level, so that they do not grow without
            // bound.
            let traffic = std::mem::take(&mut self.traffic);
            log::debug!("traffic: {traffic:?}, {} waiting", self.open.len());
        }
        self.pass_notes(now);
        self.greet(now);
        self.learn_account(mono);
        self.learn_versions(mono);
        self.turn_graphs(now);
        self.resolve_dependencies(mono);
        self.write(now);
        self.answer_parked(mono);
        self.send_commands(mono);
        self.watch(mono);
        for op in self.desk.tick(mono, valid, self.catalog().is_some()) {
            self.next_id += 1;
            let token = self.leadership.token().unwrap_or_default();
            self.cloud_ops.insert(self.next_id, (op.clone(), token));
            self.out.push(Action::Cloud { id: self.next_id, op });
        }
        let mut sends = Vec::new();
        self.store.pump(mono, &mut sends);
        self.send(sends);
    }

    fn catalog(&self) -> Option<&oatloom_protocol::wire::Catalog> {
        match &self.reign {
            Some(reign) => reign.fleet.catalog.as_ref(),
            None => self.fleet.catalog.as_ref(),
        }
    }

    fn send(&mut self, sends: Vec<(OpId, Lane, StoreOp)>) {
        for (id, lane, op) in sends {
            self.out.push(Action::Store { id, lane, op });
        }
    }

    fn submit(
        &mut self,
        now: Mono,
        lane: Lane,
        op: StoreOp,
        purpose: Purpose,
    ) -> Result<(), Purpose> {
        let mut sends = Vec::new();
        let result = self.store.submit(now, lane, op, purpose, &mut sends);
        self.send(sends);
        result.map(|_| ()).map_err(|(_, purpose)| purpose)
    }

    fn reply(&mut self, conn: ConnId, reply: HttpReply) {
        if self.open.remove(conn) {
            self.out.push(Action::Reply { conn, reply });
        }
    }

    /// Replies to requests that have waited too long with a retryable error.
    fn expire(&mut self, now: Now) {
        for id in self.store.expired(now.mono) {
            self.on_store(now, id, StoreReply::Unsent);
        }
        // All requests to peers have the same timeout, so the oldest ones expire first.
        let late = self.asks.iter().take_while(|(_, (_, _, until))| now.mono >= *until);
        let late: Vec<u64> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.on_told(now, id, None);
        }
        for conn in self.open.expired(now.mono) {
            self.reply(conn, HttpReply::later("took too long"));
        }
    }

    fn on_store(&mut self, now: Now, id: OpId, reply: StoreReply) {
        let jitter = self.rng.random::<f64>();
        let Some(purpose) = self.store.answered(now.mono, id, &reply, jitter) else {
            return;
        };
        if reply == StoreReply::Throttled {
            self.throttled();
        }
        match purpose {
            Purpose::Lead { ask, sent } => {
                let random = self.rng.random::<u64>() >> 12;
                let asks = self.leadership.answered(now.mono, &ask, sent, &reply, random);
                if matches!((&ask, &reply), (Ask::Read, StoreReply::Found(_))) {
                    self.saw_seat(now);
                }
                self.follow_turns(now);
                self.lead_asks(now.mono, asks);
            }
            Purpose::Load { token, after, first } => self.on_load(now, token, after, first, reply),
            Purpose::Watch { token, after } => self.on_watch(now, token, after, reply),
            Purpose::Write { token, written } => {
                self.parked_changed = true;
                self.on_written(now.mono, token, written, reply);
            }
            Purpose::Resolve { token, item } => self.on_resolved(now.mono, token, item, reply),
            Purpose::Accept { conn, record, forwarded, term } => {
                self.on_accepted(now, conn, *record, (forwarded, term), reply);
            }
            Purpose::NamedDependency { check, record } => {
                self.on_named_dependency(now, *check, record, reply);
            }
            Purpose::Dependency { token, id } => self.on_dependency(now.mono, token, id, reply),
            Purpose::Graphs { token, read } => self.on_graphs(now, token, read, reply),
            Purpose::WriteGraphs { token, written } => {
                self.on_graphs_written(now, token, written, reply);
            }
            Purpose::ResolveGraphs { token } => self.on_graphs_resolved(now, token, reply),
            Purpose::GraphOver { conn, ask, step } => {
                self.on_graph_over(now.mono, conn, ask, step, reply);
            }
            Purpose::Versions { step } => self.on_versions(now.mono, step, reply),
            Purpose::Account { token, step } => self.on_account(token, step, reply),
            Purpose::Usage { conn, query, cursor } => {
                self.on_usage(now.mono, conn, query, cursor, reply);
            }
            Purpose::Lookup { conn, id, why, over, term } => {
                self.on_lookup(now, conn, id, why, (over, term), reply);
            }
        }
    }

    fn on_cloud(&mut self, now: Mono, id: u64, reply: CloudReply) {
        let Some((op, token)) = self.cloud_ops.remove(&id) else {
            return;
        };
        let mine = self.leadership.token() == Some(token);
        let news = if mine || matches!(op, CloudOp::Catalog) || self.leadership.token().is_none() {
            self.desk.answered(now, &op, reply)
        } else {
            News::Nothing
        };
        if let News::Catalog(catalog) = news {
            let fleet = match self.reign.as_mut() {
                Some(reign) => &mut reign.fleet,
                None => &mut self.fleet,
            };
            fleet.catalog = Some(catalog);
            return;
        }
        let Some(reign) = self.reign.as_mut().filter(|_| mine) else {
            return;
        };
        match news {
            News::Listing(rows, _) => {
                let lag = self.settings.facts.cloud.list_lag_s;
                reign.listing(&rows, lag, &mut self.desk, now);
            }
            News::Hired(hire, hosts) => reign.hired(&Kind::from(&hire), &hosts, now),
            News::Released(hosts) => reign.released(&hosts, now),
            News::Catalog(_) | News::Nothing => {}
        }
    }
}

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
use crate::cloud::{CloudClient, CloudEvent, CloudOp, CloudReply, MachineKind};
use crate::conn_id::ConnId;
use crate::constants::*;
use crate::jobs::{
    self, FinalRecord, JobFactCache, JobLifetime, JobState, LiveRecord, PendingWrite, WriteItem,
};
use crate::leader_hints::LeaderHints;
use crate::leader_term::{LeaderConfig, LeaderTerm, Stage};
use crate::leadership::{LEADER_KEY, Leadership, LeadershipChange, LeadershipRequest};
use crate::mesh::PeerRequest;
use crate::open_requests::OpenRequests;
use crate::operators::OperatorSettings;
use crate::parked_reports::ParkedReports;
use crate::placement;
use crate::relay::{ReportRoute, ReportRouter};
use crate::store::{OpClass, OpId, StoreClient, StoreOp, StoreReply};
use crate::workers::Fleet;
use crate::write_backoff::{RejectionResponse, WriteBackoff};
use oatloom_graph::graph_table::{InFlightWrite, LoadRead};
use oatloom_graph::requests::GraphRequest;
use oatloom_ledger::entry::UsageEntry;
use oatloom_ledger::query::UsageQuery;
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

/// An input of the controller.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A request. `forwarded` is set if a peer relayed it; such a request is not relayed again.
    Request { conn: ConnId, request: Request, forwarded: bool },
    /// A response of the state service.
    Store { id: OpId, reply: StoreReply },
    /// A response of the cloud API.
    Cloud { id: u64, reply: CloudReply },
    /// A worker's response to a direct command; `None` if the worker could not be reached.
    CommandReply { report: Option<Box<Report>> },
    /// A peer's response to a request; `None` if the peer could not be reached.
    PeerReply { id: u64, reply: Option<HttpReply> },
}

/// An output of the controller, to be carried out by its caller.
#[derive(Debug, PartialEq)]
pub enum Action {
    Reply {
        conn: ConnId,
        reply: HttpReply,
    },
    Store {
        id: OpId,
        class: OpClass,
        op: StoreOp,
    },
    Cloud {
        id: u64,
        op: CloudOp,
    },
    /// A message to a peer.
    PeerRequest {
        to: Member,
        id: u64,
        request: PeerRequest,
    },
    /// Orders sent to a worker at once instead of with the reply to its next report.
    Command {
        addr: String,
        command: Command,
    },
}

/// Why the records of a job are read from the state service.
#[derive(Clone, Debug)]
enum LookupReason {
    View,
    Abort,
    /// A submission that may be known already or may be invalid: if no record of the job exists, it
    /// gets this reply.
    Submit(HttpReply),
}

/// The operation that a response of the state service belongs to.
#[derive(Debug)]
enum Purpose {
    Leadership {
        request: LeadershipRequest,
        sent: Mono,
    },
    LoadPage {
        token: Token,
        /// Key after which the page starts, and the revision at which the first page was read.
        after: String,
        first_revision: Option<Revision>,
    },
    Watch {
        token: Token,
        after: Revision,
    },
    Write {
        token: Token,
        written: Vec<PendingWrite>,
    },
    Resolve {
        token: Token,
        item: WriteItem,
    },
    Accept {
        conn: ConnId,
        record: Box<LiveRecord>,
        forwarded: bool,
        /// Fencing token under which the request was sent, if this controller was the leader.
        sent_under: Option<Token>,
    },
    Lookup {
        conn: ConnId,
        id: JobId,
        reason: LookupReason,
        final_record: bool,
        /// Fencing token under which the request was sent, if this controller was the leader.
        sent_under: Option<Token>,
    },
    /// Checks whether a job that a submission depends on was accepted.
    CheckDependency {
        check: Box<dependencies::DependencyCheck>,
        record: dependencies::DependencyRecord,
    },
    /// Reads the final state of a job that other jobs depend on.
    ResolveDependency {
        token: Token,
        id: JobId,
    },
    /// Reads what a new leader needs before it accounts usage.
    UsageState {
        token: Token,
        step: usage::ReadStep,
    },
    /// Reads what a new leader needs of the graphs.
    Graphs {
        token: Token,
        read: LoadRead,
    },
    WriteGraphs {
        token: Token,
        written: Vec<InFlightWrite>,
    },
    ResolveGraphs {
        token: Token,
    },
    /// Reads the final record of a graph that is not open on this controller.
    FinishedGraph {
        conn: ConnId,
        request: Box<GraphRequest>,
        step: graphs::FinalReadStep,
    },
    /// Reads or writes the members' version keys.
    Versions {
        operation: versions::Operation,
    },
    /// Reads a page of usage for an operator.
    Usage {
        conn: ConnId,
        query: Box<UsageQuery>,
        cursor: Option<Cursor>,
    },
}

/// State of the leader's single writer.
#[derive(Debug, PartialEq)]
enum Writer {
    Idle,
    Writing,
    /// The outcome of a transaction is unknown; its keys are being read back.
    Resolving(Vec<WriteItem>),
    /// As `Resolving`, for a transaction of graphs.
    ResolvingGraphs(graphs::UnresolvedWrites),
}

/// Counts since the last traffic log line.
#[derive(Debug, Default)]
struct Traffic {
    answered: u32,
    parked: u32,
    relayed: u32,
    redirected: u32,
    rejected: u32,
    user_requests: u32,
    probes: u32,
    /// Puts and deletes submitted by the leader's writer.
    changes: usize,
}

/// Sizes of a controller's queues, which must stay bounded during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueSizes {
    /// Requests of users and workers without a reply.
    pub open_requests: usize,
    /// Operations for the state service, queued or in flight.
    pub store_operations: usize,
    /// Cloud calls in flight, and requested machines.
    pub cloud_calls: usize,
    /// Requests to peers in flight.
    pub peer_requests: usize,
    /// Parked reports, whose replies are held back.
    pub parked_reports: usize,
    /// Changes of the job table that are not yet durable.
    pub unwritten_changes: usize,
}

impl QueueSizes {
    /// Returns the maximum of each field.
    pub fn field_maximum(self, other: Self) -> Self {
        Self {
            open_requests: self.open_requests.max(other.open_requests),
            store_operations: self.store_operations.max(other.store_operations),
            cloud_calls: self.cloud_calls.max(other.cloud_calls),
            peer_requests: self.peer_requests.max(other.peer_requests),
            parked_reports: self.parked_reports.max(other.parked_reports),
            unwritten_changes: self.unwritten_changes.max(other.unwritten_changes),
        }
    }
}

/// State of one controller, leader or follower.
pub struct Controller {
    traffic: Traffic,
    next_traffic_log: Mono,
    settings: Settings,
    operators: OperatorSettings,
    leader_config: LeaderConfig,
    rng: ChaCha8Rng,
    leadership: Leadership,
    store: StoreClient<Purpose>,
    cloud_client: CloudClient,
    /// Machines and catalog while no leader term is active; followers use the catalog too.
    fleet: Fleet,
    leader_term: Option<LeaderTerm>,
    /// Final states, cached so that polling needs no read.
    finished_jobs: JobFactCache<FinalRecord>,
    /// Jobs that are known to be accepted durably, so that submissions that depend on them need no
    /// read.
    accepted_jobs: JobFactCache<JobLifetime>,
    dependency_reads: dependencies::DependencyReads,
    open_requests: OpenRequests,
    end_waiters: BTreeMap<JobId, Vec<ConnId>>,
    peer_requests: BTreeMap<u64, (ConnId, PeerRequest, Mono)>,
    report_router: ReportRouter,
    parked: ParkedReports,
    /// Whether a parked report may have become due, and when the watched ones are checked next.
    parked_may_be_due: bool,
    /// How long the request of the next event has waited in the queue.
    queue_delay: Millis,
    next_parked_check: Mono,
    /// Direct commands in flight.
    commands_in_flight: usize,
    cloud_ops: BTreeMap<u64, (CloudOp, Token)>,
    next_id: u64,
    writer: Writer,
    next_write: Mono,
    watch_revision: Option<Revision>,
    /// Fencing token of the leader term whose watch of the live jobs is open.
    watch_token: Option<Token>,
    was_valid: bool,
    /// Whether a read for usage accounting is in flight, and when the next may be sent.
    usage_read_in_flight: bool,
    /// Where the scan of all final states continues: only those after the revision are counted.
    final_state_scan: Option<(Revision, String)>,
    next_usage_read: Mono,
    /// Whether a read of graphs is in flight, and when the next may be sent.
    graph_read_in_flight: bool,
    next_graph_read: Mono,
    /// Whether the writer serves graphs next.
    graphs_write_next: bool,
    /// The latest hints from a leader, and when they arrived.
    leader_hints: Option<(Mono, LeaderHints)>,
    next_leader_hints: Mono,
    /// When a leader last replied to a request of this controller.
    last_leader_reply: Mono,
    /// First and latest failure in the current series of failed requests to the leader.
    leader_failures: Option<(Mono, Mono)>,
    /// The health that was logged last.
    logged_health: health::Health,
    membership: Option<Membership>,
    /// One-way messages to peers: the recipient, and until when the response is awaited.
    one_way_in_flight: BTreeMap<u64, (Member, Mono)>,
    next_gossip: Mono,
    /// The versions that the members are known to run.
    versions: versions::Versions,
    limits: limits::Limits,
    /// Retry state of graph writes that the state service rejected.
    graph_write_backoff: WriteBackoff<oatloom_graph::graph_table::GraphWrite>,
    actions: Vec<Action>,
}

impl Controller {
    /// Creates a controller; `seed` initializes its random numbers.
    pub fn new(settings: Settings, operators: OperatorSettings, seed: u64) -> Self {
        let limits = limits::Limits::new(&settings.facts.state);
        Self {
            leadership: Leadership::new(
                settings.member.clone(),
                settings.exclusive_listen_address(),
            ),
            store: StoreClient::new(&settings.facts.state, settings.peers.len() + 1),
            cloud_client: CloudClient::new(&settings.facts.cloud),
            rng: ChaCha8Rng::seed_from_u64(seed),
            leader_config: LeaderConfig::new(&settings, &operators),
            settings,
            operators,
            fleet: Fleet::default(),
            leader_term: None,
            finished_jobs: JobFactCache::new(MAX_CACHED_FINAL_STATES),
            accepted_jobs: JobFactCache::new(MAX_CACHED_ACCEPTED_JOBS),
            dependency_reads: dependencies::DependencyReads::default(),
            open_requests: OpenRequests::default(),
            end_waiters: BTreeMap::new(),
            peer_requests: BTreeMap::new(),
            report_router: ReportRouter::default(),
            parked: ParkedReports::default(),
            parked_may_be_due: false,
            queue_delay: Millis(0),
            next_parked_check: Mono(0),
            commands_in_flight: 0,
            traffic: Traffic::default(),
            next_traffic_log: Mono(0),
            cloud_ops: BTreeMap::new(),
            next_id: 0,
            writer: Writer::Idle,
            next_write: Mono(0),
            watch_revision: None,
            watch_token: None,
            was_valid: false,
            usage_read_in_flight: false,
            final_state_scan: None,
            next_usage_read: Mono(0),
            graph_read_in_flight: false,
            next_graph_read: Mono(0),
            graphs_write_next: false,
            leader_hints: None,
            next_leader_hints: Mono(0),
            last_leader_reply: Mono(0),
            leader_failures: None,
            logged_health: health::Health::default(),
            membership: None,
            one_way_in_flight: BTreeMap::new(),
            next_gossip: Mono(0),
            versions: versions::Versions::default(),
            limits,
            graph_write_backoff: WriteBackoff::default(),
            actions: Vec::new(),
        }
    }

    /// The current leader term, for tests and logs.
    pub fn leader_term(&self) -> Option<&LeaderTerm> {
        self.leader_term.as_ref()
    }

    /// Usage entries since the last call, as far as they are retained; for tests.
    pub fn take_usage_entries(&mut self) -> Vec<UsageEntry> {
        let usage = self
            .leader_term
            .as_mut()
            .and_then(|leader_term| leader_term.job_table.usage_accounting.as_mut());
        usage.map(|usage| usage.recent_entries.drain(..).collect()).unwrap_or_default()
    }

    /// Returns the sizes of the queues.
    pub fn queue_sizes(&self) -> QueueSizes {
        QueueSizes {
            open_requests: self.open_requests.len(),
            store_operations: self.store.len(),
            cloud_calls: self.cloud_ops.len() + self.cloud_client.pending_hires().count(),
            peer_requests: self.peer_requests.len() + self.one_way_in_flight.len(),
            parked_reports: self.parked.len(),
            unwritten_changes: self.leader_term.as_ref().map_or(0, |leader_term| {
                let graphs = leader_term.graphs.as_ref().map_or(0, |graphs| graphs.sizes().2);
                leader_term.job_table.unwritten_count() + graphs
            }),
        }
    }

    /// Number of checks of parked reports, for tests: it must not grow with events times reports.
    pub fn parked_checks(&self) -> u64 {
        self.parked.checked_reports()
    }

    /// Fencing token of the current leader, as far as it is known.
    pub fn leader_token(&self) -> Option<Token> {
        self.leadership.leader_token()
    }

    /// Fencing token of this controller, if it leads and its lease is valid.
    pub fn valid_token(&self, now: Mono) -> Option<Token> {
        self.leadership.valid(now)
    }

    /// Whether this controller holds the leader key as far as it knows, with a valid lease or not.
    pub fn holds_leader_key(&self) -> bool {
        self.leadership.token().is_some()
    }

    /// Sets how long the request of the next event has waited in the queue.
    pub fn set_queue_delay(&mut self, delay: Millis) {
        self.queue_delay = delay;
    }

    /// Processes one event and returns the resulting actions. This is the only entry point.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        if let Some(usage) =
            self.leader_term.as_mut().and_then(|term| term.job_table.usage_accounting.as_mut())
        {
            usage.wall_ms = now.wall_ms;
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
            Event::PeerReply { id, reply } => self.on_peer_reply(now, id, reply),
            Event::CommandReply { report } => self.on_command_reply(now.mono, report),
        }
        self.queue_delay = Millis(0);
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// Runs the work that is due after every event.
    fn advance(&mut self, now: Now) {
        let mono = now.mono;
        let requests = self.leadership.tick(mono);
        self.send_leadership_requests(mono, requests);
        self.follow_leadership(now);
        let valid = self.leadership.valid(mono).is_some();
        let leader_reachable = self.leadership.other_leader().is_some_and(|leader| {
            let link = self.membership.as_ref().map(|members| members.link(leader));
            !matches!(link, Some(oatloom_membership::LinkState::Down { .. }))
        });
        if !self.store.recently_throttled(mono) {
            self.store.set_leaderless(!leader_reachable && self.leadership.token().is_none());
        }
        self.update_record_limits();
        if let Some(leader_term) = self.leader_term.as_mut() {
            if valid && !self.was_valid {
                // Reports were rejected while the leadership was not valid; workers need time to
                // return.
                leader_term.silence_counted_from = mono;
                if let Some(graphs) = leader_term.graphs.as_mut() {
                    graphs.restart_session_ttls(mono);
                }
                leader_term.request_placement();
            }
            if valid {
                leader_term.tick(&self.settings, &self.operators, &mut self.cloud_client, mono);
            }
        }
        self.was_valid = valid;
        if mono >= self.next_traffic_log {
            self.next_traffic_log = mono.plus(TRAFFIC_LOG_PERIOD_MS);
            // The counters are reset whatever the log level, so that they do not grow without
            // bound.
            let traffic = std::mem::take(&mut self.traffic);
            log::debug!("traffic: {traffic:?}, {} requests open", self.open_requests.len());
        }
        self.send_leader_hints(now);
        self.send_gossip(now);
        self.read_usage_state(mono);
        self.check_versions(mono);
        self.advance_graphs(now);
        self.resolve_dependencies(mono);
        self.write(now);
        self.answer_parked(mono);
        self.send_commands(mono);
        self.watch(mono);
        for op in self.cloud_client.tick(mono, valid, self.catalog().is_some()) {
            self.next_id += 1;
            let token = self.leadership.token().unwrap_or_default();
            self.cloud_ops.insert(self.next_id, (op.clone(), token));
            self.actions.push(Action::Cloud { id: self.next_id, op });
        }
        let mut operations = Vec::new();
        self.store.pump(mono, &mut operations);
        self.send(operations);
    }

    fn catalog(&self) -> Option<&oatloom_protocol::wire::Catalog> {
        match &self.leader_term {
            Some(leader_term) => leader_term.fleet.catalog.as_ref(),
            None => self.fleet.catalog.as_ref(),
        }
    }

    fn send(&mut self, operations: Vec<(OpId, OpClass, StoreOp)>) {
        for (id, class, op) in operations {
            self.actions.push(Action::Store { id, class, op });
        }
    }

    fn submit(
        &mut self,
        now: Mono,
        class: OpClass,
        op: StoreOp,
        purpose: Purpose,
    ) -> Result<(), Purpose> {
        let mut operations = Vec::new();
        let result = self.store.submit(now, class, op, purpose, &mut operations);
        self.send(operations);
        result.map(|_| ()).map_err(|(_, purpose)| purpose)
    }

    fn reply(&mut self, conn: ConnId, reply: HttpReply) {
        if self.open_requests.remove(conn) {
            self.actions.push(Action::Reply { conn, reply });
        }
    }

    /// Replies to requests that have waited too long with a retryable error.
    fn expire(&mut self, now: Now) {
        for id in self.store.take_expired(now.mono) {
            self.on_store(now, id, StoreReply::Unsent);
        }
        // All requests to peers have the same timeout, so the oldest ones expire first.
        let expired = self.peer_requests.iter().take_while(|(_, (_, _, until))| now.mono >= *until);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.on_peer_reply(now, id, None);
        }
        for conn in self.open_requests.expired(now.mono) {
            self.reply(conn, HttpReply::unavailable("took too long"));
        }
    }

    fn on_store(&mut self, now: Now, id: OpId, reply: StoreReply) {
        let jitter = self.rng.random::<f64>();
        let Some(purpose) = self.store.complete(now.mono, id, &reply, jitter) else {
            return;
        };
        if reply == StoreReply::Throttled {
            self.on_throttled();
        }
        match purpose {
            Purpose::Leadership { request, sent } => {
                let random = self.rng.random::<u64>() >> 12;
                let requests = self.leadership.on_reply(now.mono, &request, sent, &reply, random);
                if matches!((&request, &reply), (LeadershipRequest::Read, StoreReply::Found(_))) {
                    self.saw_leader_key(now);
                }
                self.follow_leadership(now);
                self.send_leadership_requests(now.mono, requests);
            }
            Purpose::LoadPage { token, after, first_revision } => {
                self.on_load(now, token, after, first_revision, reply)
            }
            Purpose::Watch { token, after } => self.on_watch(now, token, after, reply),
            Purpose::Write { token, written } => {
                self.parked_may_be_due = true;
                self.on_written(now.mono, token, written, reply);
            }
            Purpose::Resolve { token, item } => self.on_resolved(now.mono, token, item, reply),
            Purpose::Accept { conn, record, forwarded, sent_under } => {
                self.on_accepted(now, conn, *record, (forwarded, sent_under), reply);
            }
            Purpose::CheckDependency { check, record } => {
                self.on_dependency_check(now, *check, record, reply);
            }
            Purpose::ResolveDependency { token, id } => {
                self.on_dependency(now.mono, token, id, reply)
            }
            Purpose::Graphs { token, read } => self.on_graph_rows(now, token, read, reply),
            Purpose::WriteGraphs { token, written } => {
                self.on_graphs_written(now, token, written, reply);
            }
            Purpose::ResolveGraphs { token } => self.on_graphs_resolved(now, token, reply),
            Purpose::FinishedGraph { conn, request, step } => {
                self.on_finished_graph(now.mono, conn, request, step, reply);
            }
            Purpose::Versions { operation } => self.on_versions(now.mono, operation, reply),
            Purpose::UsageState { token, step } => self.on_usage_state(token, step, reply),
            Purpose::Usage { conn, query, cursor } => {
                self.on_usage_page(now.mono, conn, query, cursor, reply);
            }
            Purpose::Lookup { conn, id, reason, final_record, sent_under } => {
                self.on_lookup(now, conn, id, reason, (final_record, sent_under), reply);
            }
        }
    }

    fn on_cloud(&mut self, now: Mono, id: u64, reply: CloudReply) {
        let Some((op, token)) = self.cloud_ops.remove(&id) else {
            return;
        };
        let current_term = self.leadership.token() == Some(token);
        let update = if current_term
            || matches!(op, CloudOp::Catalog)
            || self.leadership.token().is_none()
        {
            self.cloud_client.handle_reply(now, &op, reply)
        } else {
            CloudEvent::Nothing
        };
        if let CloudEvent::Catalog(catalog) = update {
            let fleet = match self.leader_term.as_mut() {
                Some(leader_term) => &mut leader_term.fleet,
                None => &mut self.fleet,
            };
            fleet.catalog = Some(catalog);
            return;
        }
        let Some(leader_term) = self.leader_term.as_mut().filter(|_| current_term) else {
            return;
        };
        match update {
            CloudEvent::Listing(rows, _) => {
                let list_lag = self.settings.facts.cloud.list_lag_s;
                leader_term.apply_machine_list(&rows, list_lag, &mut self.cloud_client, now);
            }
            CloudEvent::Hired(hire, hosts) => {
                leader_term.machines_hired(&MachineKind::from(&hire), &hosts, now)
            }
            CloudEvent::Released(hosts) => leader_term.machines_released(&hosts, now),
            CloudEvent::Catalog(_) | CloudEvent::Nothing => {}
        }
    }
}

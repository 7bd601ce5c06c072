//! The table of all open graphs and sessions of a leader, as a state machine:
//! `(request or event, now) -> replies, effects`.
//! It also queues the writes that [`crate::writing`] turns into transactions.

use crate::answers::{GraphView, JobNodes, SessionStatus, SessionView, too_many_requests};
use crate::constants::*;
use crate::ids::{GraphId, JobSeq};
use crate::launching::build_job_spec;
pub use crate::launching::{JobLaunch, LaunchOrder};
use crate::limits::{Limits, RateLimiter};
use crate::loading::{DamagedGraphs, LoadStage};
pub use crate::loading::{FinishedJob, GRAPH_JOBS_PREFIX, LoadRead, OpenJob};
use crate::model::{NodeKind, NodeState, RecordSpace, RejectedAddition};
use crate::open_graph::{EndReason, OpenGraph, PendingAddition, Phase};
use crate::paths::graph_due;
use crate::records::{FinalRecord, GraphHead, GraphPart, GraphPartEnd, Page, SessionRecord};
use crate::requests::{AddNodes, CreateGraph, GraphRequest, OpenSession, check};
use crate::sessions::{self, Session, compute_digest, hash_key};
use crate::writing::GraphWriteQueue;
pub use crate::writing::{GraphWrite, InFlightWrite};
use oatloom_protocol::ids::{JobId, Millis, Mono, Now, Revision, Token};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Failure, JobSpec, JobStatus};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// An action that the table requests from the rest of the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Admits a job whose record became durable at this revision.
    Admit(Box<JobLaunch>, Revision),
    Cancel(JobId),
    /// Answers a request whose reply was deferred.
    Reply {
        ticket: u64,
        reply: HttpReply,
    },
}

/// The immediate outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    Reply(HttpReply),
    /// The reply follows as [`Effect::Reply`] with the request's ticket once the change is durable.
    Deferred,
    /// The graph is not open; the state service knows whether it has finished.
    NotOpen,
    /// The nodes that a job runs; the caller adds the job's description.
    Job(JobId, Box<JobNodes>),
}

/// Queries to the rest of the leader that the handling of requests needs.
pub struct RequestContext<'a> {
    /// The error reply for a job that can never run.
    pub find_rejection: &'a dyn Fn(&JobSpec) -> Option<HttpReply>,
    /// Whether the team exists.
    pub team_exists: &'a dyn Fn(&str) -> bool,
}

/// All open graphs and sessions of one leader term.
#[derive(Debug)]
pub struct GraphTable {
    pub(crate) limits: Limits,
    pub(crate) token: Token,
    pub(crate) record_space: RecordSpace,
    pub(crate) stage: LoadStage,
    pub(crate) sessions: BTreeMap<String, Session>,
    pub(crate) count_version: Revision,
    pub(crate) graphs: BTreeMap<GraphId, OpenGraph>,
    /// Graphs with ready nodes.
    pub(crate) launchable: BTreeSet<GraphId>,
    pub(crate) queue: GraphWriteQueue,
    pub(crate) effects: Vec<Effect>,
    pub(crate) order: LaunchOrder,
    /// Maximum number of items in one transaction; lowered while the service refuses writes.
    pub max_items: usize,
    final_records: BTreeMap<GraphId, FinalRecord>,
    final_record_order: VecDeque<GraphId>,
    rate_limiter: RateLimiter,
    team_rate_limiters: BTreeMap<String, RateLimiter>,
    /// Maximum retries of each class.
    class_max_retries: BTreeMap<String, Option<u32>>,
    /// Ratio of measured to estimated run time of each class.
    run_time_biases: BTreeMap<String, f64>,
    /// Number of open jobs of all graphs.
    pub(crate) open_job_count: usize,
    /// Graphs whose records cannot be decoded, until they are stopped.
    pub(crate) damaged: DamagedGraphs,
    next_session_check: Mono,
}

impl GraphTable {
    /// The table of a new leader, which has not yet loaded anything.
    pub fn new(limits: Limits, token: Token, record_space: RecordSpace, now: Mono) -> Self {
        let rate_limiter = RateLimiter::full(limits.additions_per_s, now);
        Self {
            limits,
            token,
            record_space,
            stage: LoadStage::Count,
            sessions: BTreeMap::new(),
            count_version: Revision(0),
            graphs: BTreeMap::new(),
            launchable: BTreeSet::new(),
            queue: GraphWriteQueue::default(),
            effects: Vec::new(),
            order: LaunchOrder::default(),
            max_items: usize::MAX,
            final_records: BTreeMap::new(),
            final_record_order: VecDeque::new(),
            rate_limiter,
            team_rate_limiters: BTreeMap::new(),
            class_max_retries: BTreeMap::new(),
            run_time_biases: BTreeMap::new(),
            open_job_count: 0,
            damaged: DamagedGraphs::new(),
            next_session_check: now,
        }
    }

    /// Sets the launch order, which benchmarks compare with the default.
    pub fn with_order(self, order: LaunchOrder) -> Self {
        Self { order, ..self }
    }

    /// Whether loading is complete.
    pub fn is_ready(&self) -> bool {
        self.stage == LoadStage::Ready
    }

    /// Takes the effects that have accumulated since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// An open graph.
    pub fn graph(&self, id: GraphId) -> Option<&OpenGraph> {
        self.graphs.get(&id)
    }

    /// Numbers of open graphs, open sessions and queued writes.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.graphs.len(), self.sessions.len(), self.queue.len())
    }

    pub(crate) fn reply(&mut self, ticket: u64, reply: HttpReply) {
        self.effects.push(Effect::Reply { ticket, reply });
    }

    /// Sets the retry limit of a class and the ratio of its measured to its estimated run times. A small change of the
    /// ratio leaves the remaining paths as they are.
    pub fn set_class_parameters(&mut self, class: &str, class_max_retries: Option<u32>, bias: f64) {
        self.class_max_retries.insert(class.to_owned(), class_max_retries);
        let previous = self.run_time_biases.insert(class.to_owned(), bias).unwrap_or(1.0);
        if (bias / previous - 1.0).abs() > MIN_RUN_TIME_CHANGE_FRACTION {
            let has_class = |open_graph: &&mut OpenGraph| open_graph.head.class == class;
            self.graphs
                .values_mut()
                .filter(has_class)
                .for_each(|open_graph| open_graph.paths_stale = true);
        }
    }

    /// The job classes of the open graphs.
    pub fn classes(&self) -> BTreeSet<String> {
        let classes: BTreeSet<&str> =
            self.graphs.values().map(|open_graph| open_graph.head.class.as_str()).collect();
        classes.into_iter().map(str::to_owned).collect()
    }

    /// The graph of a job, and the kind number of its nodes.
    pub fn kind_of(&self, id: &JobId, part: &GraphPart) -> Option<(GraphId, u16)> {
        let (graph, _) = GraphId::from_job_id(id)?;
        let node = self.graphs.get(&graph)?.model.node(part.node(0)?)?;
        Some((graph, node.kind))
    }

    /// Sets the measured run time of a kind's tasks, in seconds.
    pub fn set_kind_run_time(&mut self, graph: GraphId, kind: u16, seconds: f64) {
        let Some(open_graph) = self.graphs.get_mut(&graph) else { return };
        let Some(kind) = open_graph.model.kinds.get_mut(usize::from(kind)) else { return };
        let previous = kind.measured_run_time_s.unwrap_or(kind.spec.expect_s);
        kind.measured_run_time_s = Some(seconds);
        open_graph.paths_stale |=
            (seconds - previous).abs() > MIN_RUN_TIME_CHANGE_FRACTION * previous;
    }

    fn run_time_bias(&self, class: &str) -> f64 {
        self.run_time_biases.get(class).copied().unwrap_or(1.0)
    }

    // --- Requests ------------------------------------------------------------------

    /// Handles a request. If the reply is deferred, it carries `ticket`.
    pub fn handle_request(
        &mut self,
        now: Now,
        ticket: u64,
        request: &GraphRequest,
        context: &RequestContext,
    ) -> RequestOutcome {
        if !self.is_ready() {
            return RequestOutcome::Reply(HttpReply::unavailable("graphs are being read"));
        }
        let validation = match request {
            GraphRequest::Open(open) => check(open),
            GraphRequest::Heartbeat(_, keyed)
            | GraphRequest::Close(_, keyed)
            | GraphRequest::Cancel(_, keyed) => check(keyed),
            GraphRequest::Create(create) => check(create),
            GraphRequest::Add(_, add) => check(add),
            GraphRequest::GetGraph(..) | GraphRequest::Job(..) => Ok(()),
        };
        if let Err(text) = validation {
            return RequestOutcome::Reply(HttpReply::error(400, &text));
        }
        match request {
            GraphRequest::Open(open) => self.open_session(now.mono, ticket, open, context),
            GraphRequest::Heartbeat(session, keyed) => {
                self.heartbeat(now.mono, session, &keyed.key)
            }
            GraphRequest::Close(session, keyed) => self.close_session(ticket, session, &keyed.key),
            GraphRequest::Create(create) => self.create_graph(now, ticket, create),
            GraphRequest::Add(graph, add) => self.add_nodes(now.mono, ticket, *graph, add, context),
            GraphRequest::Cancel(graph, keyed) => self.cancel_graph(ticket, *graph, &keyed.key),
            GraphRequest::Job(job, after) => {
                let nodes = GraphId::from_job_id(job)
                    .and_then(|(graph, seq)| self.graphs.get(&graph)?.job_nodes(seq, *after));
                match nodes {
                    Some(nodes) => RequestOutcome::Job(job.clone(), Box::new(nodes)),
                    None => RequestOutcome::Reply(HttpReply::error(
                        404,
                        "no such job of a graph is open",
                    )),
                }
            }
            GraphRequest::GetGraph(graph, range) => match self.graphs.get(graph) {
                Some(OpenGraph { phase: Phase::Creating, .. }) => {
                    RequestOutcome::Reply(HttpReply::unavailable("the graph is being written"))
                }
                Some(open_graph) => {
                    RequestOutcome::Reply(HttpReply::json(200, &open_graph.view(self.token, range)))
                }
                None => RequestOutcome::NotOpen,
            },
        }
    }

    /// Takes a write permit for a team if both the global and the team's rate limit allow it.
    fn try_take_write_permit(&mut self, team: &str, now: Mono) -> bool {
        let (total_rate, team_rate) =
            (self.limits.additions_per_s, self.limits.team_additions_per_s);
        if self.team_rate_limiters.len() > self.limits.sessions as usize {
            self.team_rate_limiters.retain(|_, rate_limiter| !rate_limiter.is_idle(team_rate, now));
        }
        let team_limiter = self.team_rate_limiters.entry(team.to_owned());
        let team_limiter = team_limiter.or_insert_with(|| RateLimiter::full(team_rate, now));
        let is_allowed =
            self.rate_limiter.has_token(total_rate, now) && team_limiter.has_token(team_rate, now);
        if is_allowed {
            self.rate_limiter.take_token();
            team_limiter.take_token();
        }
        is_allowed
    }

    /// The state of a session for its client; `None` if the table does not contain it.
    fn session_view(&self, name: &str) -> Option<SessionView> {
        let session = self.sessions.get(name)?;
        let status = match session.phase {
            sessions::Phase::Opening | sessions::Phase::Open => SessionStatus::Open,
            sessions::Phase::Closing | sessions::Phase::Ended => SessionStatus::Closing,
        };
        let ttl_s = session.record.ttl_ms as f64 / 1000.0;
        Some(SessionView { session: name.to_owned(), status, ttl_s })
    }

    /// The reply with the state of a session; one that does not exist is reported as closed.
    pub(crate) fn session_reply(&self, name: &str, status: u16) -> HttpReply {
        let closed =
            SessionView { session: name.into(), status: SessionStatus::Closed, ttl_s: 0.0 };
        HttpReply::json(status, &self.session_view(name).unwrap_or(closed))
    }

    fn open_session(
        &mut self,
        now: Mono,
        ticket: u64,
        open: &OpenSession,
        context: &RequestContext,
    ) -> RequestOutcome {
        let name = &open.session;
        if let Some(session) = self.sessions.get_mut(name) {
            if !session.has_key(&open.key) || session.record.owner != open.owner {
                return RequestOutcome::Reply(HttpReply::error(403, "the session is another's"));
            }
            return match session.phase {
                sessions::Phase::Opening if session.tickets.len() < MAX_TICKET_COUNT => {
                    session.tickets.push(ticket);
                    RequestOutcome::Deferred
                }
                sessions::Phase::Open => {
                    session.last_heartbeat = now;
                    RequestOutcome::Reply(self.session_reply(name, 200))
                }
                _ => RequestOutcome::Reply(too_many_requests("the session is closing")),
            };
        }
        if !(context.team_exists)(&open.owner) {
            return RequestOutcome::Reply(HttpReply::error(422, "unknown team"));
        }
        let team_count =
            self.sessions.values().filter(|session| session.record.owner == open.owner).count();
        if self.sessions.len() >= self.limits.sessions as usize
            || team_count >= self.limits.team_sessions as usize
        {
            return RequestOutcome::Reply(too_many_requests("too many sessions"));
        }
        if !self.try_take_write_permit(&open.owner, now) {
            return RequestOutcome::Reply(too_many_requests("too many additions per second"));
        }
        let ttl_ms = Millis::from_secs(open.ttl_s).0;
        let (key, owner) = (hash_key(&open.key), open.owner.clone());
        let record = SessionRecord { key, owner, ttl_ms, ended: false };
        let mut session = Session::new(record, Revision(0), now);
        session.tickets.push(ticket);
        self.sessions.insert(name.clone(), session);
        self.queue.push_session(name);
        RequestOutcome::Deferred
    }

    /// Finds an open session and checks its key.
    fn find_open_session(&mut self, name: &str, key: &str) -> Result<&mut Session, HttpReply> {
        let Some(session) = self.sessions.get_mut(name) else {
            return Err(HttpReply::error(404, "no such session"));
        };
        if !session.has_key(key) {
            return Err(HttpReply::error(403, "wrong key"));
        }
        match session.phase {
            sessions::Phase::Open => Ok(session),
            sessions::Phase::Opening => Err(HttpReply::unavailable("the session is being written")),
            sessions::Phase::Closing => Err(HttpReply::unavailable("the session is closing")),
            sessions::Phase::Ended => Err(HttpReply::error(404, "the session has ended")),
        }
    }

    fn heartbeat(&mut self, now: Mono, name: &str, key: &str) -> RequestOutcome {
        match self.find_open_session(name, key) {
            Ok(session) => {
                session.last_heartbeat = now;
                RequestOutcome::Reply(self.session_reply(name, 200))
            }
            Err(reply) => RequestOutcome::Reply(reply),
        }
    }

    fn close_session(&mut self, ticket: u64, name: &str, key: &str) -> RequestOutcome {
        match self.find_open_session(name, key) {
            Ok(session) => {
                session.tickets.push(ticket);
                self.end_session(name);
                RequestOutcome::Deferred
            }
            // Closing is idempotent: the reply to an earlier request may have been lost.
            Err(HttpReply { status: 404, .. }) => {
                RequestOutcome::Reply(self.session_reply(name, 200))
            }
            Err(reply) => RequestOutcome::Reply(reply),
        }
    }

    /// Starts to end a session: its end is written next.
    fn end_session(&mut self, name: &str) {
        if let Some(session) = self.sessions.get_mut(name) {
            session.enter(sessions::Phase::Closing);
            self.queue.push_session(name);
        }
    }

    fn create_graph(&mut self, now: Now, ticket: u64, create: &CreateGraph) -> RequestOutcome {
        let id = create.graph;
        if let Some(open_graph) = self.graphs.get_mut(&id) {
            let is_same = open_graph.head.key == hash_key(&create.key)
                && open_graph.head.session == create.session
                && open_graph.head.class == create.jobclass;
            return match &open_graph.phase {
                _ if !is_same => {
                    RequestOutcome::Reply(HttpReply::error(409, "the graph is another's"))
                }
                Phase::Creating if open_graph.tickets.len() < MAX_TICKET_COUNT => {
                    open_graph.tickets.push(ticket);
                    RequestOutcome::Deferred
                }
                Phase::Creating => {
                    RequestOutcome::Reply(HttpReply::unavailable("the graph is being written"))
                }
                _ => RequestOutcome::Reply(HttpReply::json(
                    200,
                    &open_graph.view(self.token, &Default::default()),
                )),
            };
        }
        let owner = match self.find_open_session(&create.session, &create.key) {
            Ok(session) => session.record.owner.clone(),
            // A repeated request may arrive after the graph and its session have ended.
            Err(HttpReply { status: 404, .. }) => return RequestOutcome::NotOpen,
            Err(reply) => return RequestOutcome::Reply(reply),
        };
        let team_count =
            self.graphs.values().filter(|open_graph| open_graph.head.owner == owner).count();
        if self.graphs.len() >= self.limits.graphs as usize
            || team_count >= self.limits.team_graphs as usize
        {
            return RequestOutcome::Reply(too_many_requests("too many graphs"));
        }
        if !self.try_take_write_permit(&owner, now.mono) {
            return RequestOutcome::Reply(too_many_requests("too many additions per second"));
        }
        let head = GraphHead {
            session: create.session.clone(),
            key: hash_key(&create.key),
            owner,
            class: create.jobclass.clone(),
            rank: create.rank,
            due_s: create.due_s,
            on_failure: create.on_failure,
            detached: create.detached,
            wall_ms: now.wall_ms,
            cancelled: false,
        };
        let mut open_graph = OpenGraph::new(id, head, Revision(0), Phase::Creating, now.mono);
        open_graph.tickets.push(ticket);
        self.insert_graph(open_graph);
        self.queue.push_head(id);
        RequestOutcome::Deferred
    }

    /// Inserts a graph, and counts it for its session unless it is detached.
    pub(crate) fn insert_graph(&mut self, open_graph: OpenGraph) {
        if !open_graph.head.detached
            && let Some(session) = self.sessions.get_mut(&open_graph.head.session)
        {
            session.open_graph_count += 1;
        }
        self.graphs.insert(open_graph.id, open_graph);
    }

    /// Removes a graph that has finished or was never created. If it was the last graph of an ended session, the
    /// deletion of the session's record is queued.
    pub(crate) fn remove_graph(&mut self, id: GraphId) -> Option<OpenGraph> {
        let open_graph = self.graphs.remove(&id)?;
        self.launchable.remove(&id);
        let name = &open_graph.head.session;
        if !open_graph.head.detached
            && let Some(session) = self.sessions.get_mut(name)
        {
            session.open_graph_count = session.open_graph_count.saturating_sub(1);
            if session.phase == sessions::Phase::Ended && session.open_graph_count == 0 {
                self.queue.push_session(name);
            }
        }
        Some(open_graph)
    }

    /// Validates an addition and queues its write.
    fn add_nodes(
        &mut self,
        now: Mono,
        ticket: u64,
        id: GraphId,
        add: &AddNodes,
        context: &RequestContext,
    ) -> RequestOutcome {
        let refuse = |status, text: &str| RequestOutcome::Reply(HttpReply::error(status, text));
        let Some(open_graph) = self.graphs.get(&id) else { return RequestOutcome::NotOpen };
        if open_graph.head.key != hash_key(&add.key) {
            return refuse(403, "wrong key");
        }
        // The digest covers the decoded request, so it does not depend on the JSON formatting.
        let digest = compute_digest(&(&add.kinds, &add.nodes, add.seal));
        match open_graph.model.addition_digest(&add.addition) {
            Some(known) if known == digest => {
                let view = open_graph.view(self.token, &Default::default());
                return RequestOutcome::Reply(HttpReply::json(200, &view));
            }
            Some(_) => {
                return refuse(409, "an addition with this name exists with different content");
            }
            None => {}
        }
        match open_graph.phase {
            Phase::Open if open_graph.model.sealed => return refuse(409, "the graph is sealed"),
            Phase::Open => {}
            Phase::Creating | Phase::Loading => {
                return RequestOutcome::Reply(HttpReply::unavailable("the graph is being written"));
            }
            _ => return refuse(409, "the graph is ending"),
        }
        if open_graph.pending_addition.is_some() {
            return RequestOutcome::Reply(too_many_requests("another addition is being written"));
        }
        let prepared = match open_graph.model.prepare(add, digest, self.record_space) {
            Ok(prepared) => prepared,
            Err(RejectedAddition(status, text)) => return refuse(status, &text),
        };
        if let Some(reply) = find_rejected_node(open_graph, &prepared.pages, context) {
            return RequestOutcome::Reply(reply);
        }
        let owner = open_graph.head.owner.clone();
        let graph_nodes = u64::from(open_graph.model.len());
        let (nodes, bytes) = (u64::from(prepared.nodes), prepared.bytes as u64);
        let exceeds = |used: u64, added: u64, max: u64| used.saturating_add(added) > max;
        let limits = &self.limits;
        if exceeds(graph_nodes, nodes, limits.graph_nodes.into()) {
            return refuse(422, "the graph would exceed its maximum number of nodes");
        }
        let (team_nodes, team_bytes) = self.sum_usage(|open_graph| open_graph.head.owner == owner);
        let (all_nodes, all_bytes) = self.sum_usage(|_| true);
        if exceeds(all_nodes, nodes, limits.nodes.into())
            || exceeds(team_nodes, nodes, limits.team_nodes.into())
            || exceeds(all_bytes, bytes, limits.bytes)
            || exceeds(team_bytes, bytes, limits.team_bytes)
        {
            return RequestOutcome::Reply(too_many_requests("too many nodes"));
        }
        if !self.try_take_write_permit(&owner, now) {
            return RequestOutcome::Reply(too_many_requests("too many additions per second"));
        }
        if let Some(open_graph) = self.graphs.get_mut(&id) {
            open_graph.pending_addition = Some(PendingAddition { prepared, ticket });
        }
        self.queue.push_addition(id);
        RequestOutcome::Deferred
    }

    /// Total nodes of the selected open graphs, and total bytes of their node pages.
    fn sum_usage(&self, is_counted: impl Fn(&OpenGraph) -> bool) -> (u64, u64) {
        let counted = self.graphs.values().filter(|open_graph| is_counted(open_graph));
        counted.fold((0, 0), |(nodes, bytes), open_graph| {
            (nodes + u64::from(open_graph.model.len()), bytes + open_graph.model.bytes)
        })
    }

    fn cancel_graph(&mut self, ticket: u64, id: GraphId, key: &str) -> RequestOutcome {
        let Some(open_graph) = self.graphs.get_mut(&id) else { return RequestOutcome::NotOpen };
        if open_graph.head.key != hash_key(key) {
            return RequestOutcome::Reply(HttpReply::error(403, "wrong key"));
        }
        match open_graph.phase {
            Phase::Creating | Phase::Loading => {
                RequestOutcome::Reply(HttpReply::unavailable("the graph is being written"))
            }
            Phase::Cancelling if open_graph.tickets.len() >= MAX_TICKET_COUNT => {
                RequestOutcome::Reply(HttpReply::unavailable("the graph is being cancelled"))
            }
            Phase::Open | Phase::Cancelling => {
                open_graph.tickets.push(ticket);
                open_graph.enter(Phase::Cancelling);
                self.launchable.remove(&id);
                self.queue.push_head(id);
                RequestOutcome::Deferred
            }
            Phase::Stopping(_) | Phase::Ending(_) => RequestOutcome::Reply(HttpReply::json(
                200,
                &open_graph.view(self.token, &Default::default()),
            )),
        }
    }

    /// The reply to a request for a finished graph.
    pub fn final_reply(id: GraphId, request: &GraphRequest, record: &FinalRecord) -> HttpReply {
        let key = match request {
            GraphRequest::Create(create) => Some(&create.key),
            GraphRequest::Add(_, add) => Some(&add.key),
            GraphRequest::Cancel(_, keyed) => Some(&keyed.key),
            _ => None,
        };
        let is_wrong_key = key.is_some_and(|key| hash_key(key) != record.key);
        match request {
            GraphRequest::Create(_) if is_wrong_key => {
                HttpReply::error(409, "the graph is another's")
            }
            _ if is_wrong_key => HttpReply::error(403, "wrong key"),
            GraphRequest::Add(..) => HttpReply::error(409, "the graph has finished"),
            _ => HttpReply::json(200, &GraphView::from_final_record(id, record)),
        }
    }

    /// The reply to a request for a graph that does not exist.
    pub fn missing_reply(request: &GraphRequest) -> HttpReply {
        match request {
            GraphRequest::Create(_) => HttpReply::error(404, "no such session"),
            _ => HttpReply::error(404, "no such graph"),
        }
    }

    // --- Events --------------------------------------------------------------------

    /// Processes tasks of an open job that are durably done.
    pub fn on_tasks_done(&mut self, id: &JobId, done: &[u32]) {
        let Some((graph, seq)) = GraphId::from_job_id(id) else { return };
        let Some(open_graph) = self.graphs.get_mut(&graph) else { return };
        open_graph.mark_tasks_done(seq, done);
        self.update_graph(graph);
    }

    /// Processes the durable end of a job.
    pub fn on_job_finished(
        &mut self,
        id: &JobId,
        end: &GraphPartEnd,
        status: JobStatus,
        failure: Option<&Arc<Failure>>,
    ) {
        let Some((graph, seq)) = GraphId::from_job_id(id) else { return };
        if !matches!(self.stage, LoadStage::Jobs { .. } | LoadStage::Ready) {
            // Ignored, since loading reads the final state later. An end that arrived after a graph's head but before
            // its pages was recorded as processed although its nodes were not loaded yet, so that they ran again.
            return;
        }
        let Some(open_graph) = self.graphs.get_mut(&graph) else { return };
        let open_before = open_graph.jobs.len();
        open_graph.finish_job(seq, end, status, failure);
        self.open_job_count =
            self.open_job_count.saturating_sub(open_before - open_graph.jobs.len());
        self.update_graph(graph);
    }

    /// Applies the consequences of a change of a graph: phase, launches and writes.
    pub(crate) fn update_graph(&mut self, id: GraphId) {
        let Some(open_graph) = self.graphs.get_mut(&id) else { return };
        let cancelled = open_graph.update_phase();
        self.cancel_jobs(id, cancelled);
        let Some(open_graph) = self.graphs.get_mut(&id) else { return };
        if open_graph.phase == Phase::Open && open_graph.model.has_ready_nodes() {
            self.launchable.insert(id);
        } else {
            self.launchable.remove(&id);
        }
        if matches!(open_graph.phase, Phase::Ending(_)) {
            self.queue.push_final(id);
        }
    }

    fn cancel_jobs(&mut self, id: GraphId, seqs: Vec<JobSeq>) {
        self.effects.extend(seqs.into_iter().map(|seq| Effect::Cancel(id.job(seq))));
    }

    /// Starts to end a graph: refuses its pending addition and cancels its jobs.
    pub(crate) fn stop(&mut self, id: GraphId, reason: EndReason) {
        let Some(open_graph) = self.graphs.get_mut(&id) else { return };
        if let Some(pending_addition) = open_graph.pending_addition.take() {
            self.reply(pending_addition.ticket, HttpReply::error(409, "the graph is ending"));
        }
        let Some(open_graph) = self.graphs.get_mut(&id) else { return };
        let cancelled = open_graph.stop(reason);
        self.cancel_jobs(id, cancelled);
        self.update_graph(id);
    }

    /// Processes the durable end of a session: stops all its graphs that are not detached. If there are none, the
    /// deletion of its record is queued.
    pub(crate) fn on_session_ended(&mut self, name: &str) {
        let is_owned =
            |open_graph: &&OpenGraph| !open_graph.head.detached && open_graph.head.session == name;
        let ids: Vec<GraphId> =
            self.graphs.values().filter(is_owned).map(|open_graph| open_graph.id).collect();
        for id in ids {
            self.stop(id, EndReason::SessionEnded);
        }
        if self.sessions.get(name).is_some_and(|session| session.open_graph_count == 0) {
            self.queue.push_session(name);
        }
    }

    /// Restarts the time to live of all sessions at `now`, because the leader refused heartbeats until then.
    pub fn restart_session_ttls(&mut self, now: Mono) {
        self.sessions
            .values_mut()
            .for_each(|session| session.last_heartbeat = session.last_heartbeat.max(now));
    }

    /// Closes expired sessions and updates outdated remaining paths, at a fixed interval.
    pub fn tick(&mut self, now: Mono) {
        if !self.is_ready() || now < self.next_session_check {
            return;
        }
        self.next_session_check = now.plus(SESSION_CHECK_INTERVAL_MS);
        let expired_name =
            |(name, session): (&String, &Session)| session.has_expired(now).then(|| name.clone());
        for name in self.sessions.iter().filter_map(expired_name).collect::<Vec<_>>() {
            self.end_session(&name);
        }
        let run_time_biases = &self.run_time_biases;
        for open_graph in self.graphs.values_mut().filter(|open_graph| open_graph.paths_stale) {
            let bias = run_time_biases.get(&open_graph.head.class).copied().unwrap_or(1.0);
            open_graph.update_paths(bias, now);
        }
    }

    /// The next job of all graphs: highest rank first, then least slack between due time and longest remaining path.
    pub(crate) fn next_launch(&mut self, now: Now) -> Option<JobLaunch> {
        if self.open_job_count >= MAX_OPEN_JOB_COUNT {
            return None;
        }
        loop {
            let urgency = |id: &GraphId| {
                let open_graph = self.graphs.get(id)?;
                let has_capacity = open_graph.jobs.len() < MAX_GRAPH_OPEN_JOB_COUNT;
                let due = graph_due(
                    open_graph.created,
                    open_graph.head.due_s,
                    open_graph.path_s,
                    now.mono,
                );
                let slack = due.0 as i64 - (open_graph.path_s * 1000.0) as i64;
                has_capacity.then_some((Reverse(open_graph.head.rank), slack, *id))
            };
            let (_, _, id) = self.launchable.iter().filter_map(urgency).min()?;
            let class = self.graphs.get(&id)?.head.class.clone();
            let (class_max_retries, bias) =
                (self.class_max_retries.get(&class).copied().flatten(), self.run_time_bias(&class));
            let order = self.order;
            let open_graph = self.graphs.get_mut(&id)?;
            open_graph.update_paths(bias, now.mono);
            let launch = open_graph.next_job(
                class_max_retries,
                bias,
                order,
                self.record_space,
                (now.mono, now.wall_ms),
            );
            if !open_graph.model.has_ready_nodes() || launch.is_none() {
                self.launchable.remove(&id);
            }
            if let Some(launch) = launch {
                self.open_job_count += 1;
                return Some(launch);
            }
        }
    }

    /// Caches a final record, and evicts the oldest one if there are too many.
    pub(crate) fn cache_final_record(&mut self, id: GraphId, record: FinalRecord) {
        if self.final_records.insert(id, record).is_none() {
            self.final_record_order.push_back(id);
        }
        if self.final_record_order.len() > MAX_CACHED_FINAL_RECORD_COUNT
            && let Some(old) = self.final_record_order.pop_front()
        {
            self.final_records.remove(&old);
        }
    }

    /// The cached final record of a graph that finished recently.
    pub fn final_record(&self, id: GraphId) -> Option<&FinalRecord> {
        self.final_records.get(&id)
    }

    /// Number of nodes of a graph in a state; used by benchmarks.
    pub fn count(&self, id: GraphId, state: NodeState) -> u32 {
        self.graphs.get(&id).map_or(0, |open_graph| open_graph.model.count(state))
    }
}

/// The error reply if a node of an addition can never run.
fn find_rejected_node(
    open_graph: &OpenGraph,
    pages: &[Page],
    context: &RequestContext,
) -> Option<HttpReply> {
    let mut node_shapes: BTreeMap<(u16, u32), String> = BTreeMap::new();
    for page in pages {
        for (name, kind, shards, _) in &page.nodes {
            node_shapes.entry((*kind, *shards)).or_insert_with(|| name.clone());
        }
    }
    let new_kinds: Vec<NodeKind> = pages
        .iter()
        .flat_map(|page| &page.kinds)
        .map(|(name, spec)| NodeKind {
            name: name.clone(),
            spec: spec.clone(),
            measured_run_time_s: None,
        })
        .collect();
    for ((kind, shards), name) in node_shapes {
        let known = open_graph.model.kinds.get(usize::from(kind));
        let kind = known.or_else(|| {
            new_kinds.get(usize::from(kind).checked_sub(open_graph.model.kinds.len())?)
        })?;
        let spec =
            build_job_spec(&open_graph.head, kind, open_graph.id.job(JobSeq(0)), shards, None);
        if let Some(mut reply) = (context.find_rejection)(&spec) {
            reply.body =
                reply.body.replacen("\"error\":\"", &format!("\"error\":\"node {name}: "), 1);
            return Some(reply);
        }
    }
    None
}

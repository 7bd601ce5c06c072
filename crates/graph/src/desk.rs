//! All graphs and sessions that a leader works on: `(request or event, now) -> answers, effects`, and what is to be
//! written, which [`crate::writing`] puts into transactions.

use crate::answers::{GraphView, JobNodes, SessionStatus, SessionView, busy};
use crate::constants::*;
use crate::ids::{GraphId, Seq};
use crate::launching::job_spec;
pub use crate::launching::{Launch, Order};
use crate::limits::{Bucket, Limits};
use crate::live::{Live, Pending, Phase, Why};
use crate::loading::{Damages, Stage};
pub use crate::loading::{Ended, JOBS_PREFIX, OpenJob, Read};
use crate::model::{Kind, NodeState, Refused, Room};
use crate::paths::graph_due;
use crate::records::{Head, OverRecord, Page, Part, PartEnd, SessionRecord};
use crate::requests::{AddNodes, Ask, CreateGraph, OpenSession, check};
use crate::sessions::{self, Session, digest, hash_key};
use crate::writing::Queue;
pub use crate::writing::{Item, Wrote};
use oatloom_protocol::ids::{JobId, Millis, Mono, Now, Revision, Token};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Failure, JobSpec, JobStatus};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// What the rest of the leader is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A job is accepted, at this revision.
    Admit(Box<Launch>, Revision),
    Cancel(JobId),
    /// Somebody who waited is told.
    Reply {
        ticket: u64,
        reply: HttpReply,
    },
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Reply(HttpReply),
    /// Once it is durable; the ticket is named then.
    Later,
    /// No such graph is open: whether it is over stands in the state service.
    NotOpen,
    /// What a job runs; its description is the rest of the leader's to add.
    Job(JobId, Box<JobNodes>),
}

/// What the rest of the leader knows that decisions here need.
pub struct Around<'a> {
    /// Why a job like this can never run.
    pub unfit: &'a dyn Fn(&JobSpec) -> Option<HttpReply>,
    /// Whether there is such a team.
    pub team: &'a dyn Fn(&str) -> bool,
}

#[derive(Debug)]
pub struct Desk {
    pub(crate) limits: Limits,
    pub(crate) token: Token,
    pub(crate) room: Room,
    pub(crate) stage: Stage,
    pub(crate) sessions: BTreeMap<String, Session>,
    pub(crate) count_stamp: Revision,
    pub(crate) graphs: BTreeMap<GraphId, Live>,
    /// Graphs with nodes that may start.
    pub(crate) wanting: BTreeSet<GraphId>,
    pub(crate) queue: Queue,
    pub(crate) effects: Vec<Effect>,
    pub(crate) order: Order,
    /// Items that one transaction may have at present.
    pub items_most: usize,
    over: BTreeMap<GraphId, OverRecord>,
    over_order: VecDeque<GraphId>,
    bucket: Bucket,
    team_buckets: BTreeMap<String, Bucket>,
    /// How often classes may be repeated.
    allowed: BTreeMap<String, Option<u32>>,
    /// By how much owners misjudge the run times of classes.
    biases: BTreeMap<String, f64>,
    pub(crate) open_jobs: usize,
    /// Graphs whose records cannot be read, until that has been acted on.
    pub(crate) damaged: Damages,
    next_look: Mono,
}

impl Desk {
    /// For a new leader, which has still to read what there is.
    pub fn new(limits: Limits, token: Token, room: Room, now: Mono) -> Self {
        let bucket = Bucket::full(limits.additions_per_s, now);
        Self {
            limits,
            token,
            room,
            stage: Stage::Count,
            sessions: BTreeMap::new(),
            count_stamp: Revision(0),
            graphs: BTreeMap::new(),
            wanting: BTreeSet::new(),
            queue: Queue::default(),
            effects: Vec::new(),
            order: Order::default(),
            items_most: usize::MAX,
            over: BTreeMap::new(),
            over_order: VecDeque::new(),
            bucket,
            team_buckets: BTreeMap::new(),
            allowed: BTreeMap::new(),
            biases: BTreeMap::new(),
            open_jobs: 0,
            damaged: Damages::new(),
            next_look: now,
        }
    }

    /// The same with the order of nodes that measurements hold the longest paths against.
    pub fn with_order(self, order: Order) -> Self {
        Self { order, ..self }
    }

    pub fn ready(&self) -> bool {
        self.stage == Stage::Ready
    }

    /// What is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn graph(&self, id: GraphId) -> Option<&Live> {
        self.graphs.get(&id)
    }

    /// Graphs and sessions that are open, and writes that wait.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.graphs.len(), self.sessions.len(), self.queue.len())
    }

    pub(crate) fn reply(&mut self, ticket: u64, reply: HttpReply) {
        self.effects.push(Effect::Reply { ticket, reply });
    }

    /// How often a class may be repeated, and by how much its run times are misjudged.
    pub fn learn_class(&mut self, class: &str, allowed: Option<u32>, bias: f64) {
        self.allowed.insert(class.to_owned(), allowed);
        let before = self.biases.insert(class.to_owned(), bias).unwrap_or(1.0);
        if (bias / before - 1.0).abs() > LEARNT_STEP {
            let of_class = |live: &&mut Live| live.head.class == class;
            self.graphs.values_mut().filter(of_class).for_each(|live| live.stale = true);
        }
    }

    /// The classes of open graphs.
    pub fn classes(&self) -> BTreeSet<String> {
        let classes: BTreeSet<&str> =
            self.graphs.values().map(|live| live.head.class.as_str()).collect();
        classes.into_iter().map(str::to_owned).collect()
    }

    /// The graph of a job, and the kind of its nodes.
    pub fn kind_of(&self, id: &JobId, part: &Part) -> Option<(GraphId, u16)> {
        let (graph, _) = GraphId::of_job(id)?;
        let node = self.graphs.get(&graph)?.model.node(part.node(0)?)?;
        Some((graph, node.kind))
    }

    /// What tasks of a kind were seen to take, in seconds.
    pub fn learn(&mut self, graph: GraphId, kind: u16, seconds: f64) {
        let Some(live) = self.graphs.get_mut(&graph) else { return };
        let Some(kind) = live.model.kinds.get_mut(usize::from(kind)) else { return };
        let before = kind.learnt_s.unwrap_or(kind.spec.expect_s);
        kind.learnt_s = Some(seconds);
        live.stale |= (seconds - before).abs() > LEARNT_STEP * before;
    }

    fn bias(&self, class: &str) -> f64 {
        self.biases.get(class).copied().unwrap_or(1.0)
    }

    // --- Requests ------------------------------------------------------------------

    /// Takes up a request; `ticket` is named again when its answer comes later.
    pub fn ask(&mut self, now: Now, ticket: u64, ask: &Ask, around: &Around) -> Verdict {
        if !self.ready() {
            return Verdict::Reply(HttpReply::unavailable("graphs are being read"));
        }
        let checked = match ask {
            Ask::Open(open) => check(open),
            Ask::Beat(_, keyed) | Ask::Close(_, keyed) | Ask::Cancel(_, keyed) => check(keyed),
            Ask::Create(create) => check(create),
            Ask::Add(_, add) => check(add),
            Ask::Look(..) | Ask::Job(..) => Ok(()),
        };
        if let Err(text) = checked {
            return Verdict::Reply(HttpReply::error(400, &text));
        }
        match ask {
            Ask::Open(open) => self.open_session(now.mono, ticket, open, around),
            Ask::Beat(session, keyed) => self.beat(now.mono, session, &keyed.key),
            Ask::Close(session, keyed) => self.close(ticket, session, &keyed.key),
            Ask::Create(create) => self.create(now, ticket, create),
            Ask::Add(graph, add) => self.add(now.mono, ticket, *graph, add, around),
            Ask::Cancel(graph, keyed) => self.cancel(ticket, *graph, &keyed.key),
            Ask::Job(job, after) => {
                let nodes = GraphId::of_job(job)
                    .and_then(|(graph, seq)| self.graphs.get(&graph)?.job_nodes(seq, *after));
                match nodes {
                    Some(nodes) => Verdict::Job(job.clone(), Box::new(nodes)),
                    None => Verdict::Reply(HttpReply::error(404, "no such job of a graph is open")),
                }
            }
            Ask::Look(graph, look) => match self.graphs.get(graph) {
                Some(Live { phase: Phase::Creating, .. }) => {
                    Verdict::Reply(HttpReply::unavailable("the graph is being written"))
                }
                Some(live) => Verdict::Reply(HttpReply::json(200, &live.view(self.token, look))),
                None => Verdict::NotOpen,
            },
        }
    }

    /// Whether the rates allow one more write of a team; takes it.
    fn may_write(&mut self, team: &str, now: Mono) -> bool {
        let (all, each) = (self.limits.additions_per_s, self.limits.team_additions_per_s);
        if self.team_buckets.len() > self.limits.sessions as usize {
            self.team_buckets.retain(|_, bucket| !bucket.idle(each, now));
        }
        let own = self.team_buckets.entry(team.to_owned());
        let own = own.or_insert_with(|| Bucket::full(each, now));
        let may = self.bucket.has(all, now) && own.has(each, now);
        if may {
            self.bucket.take();
            own.take();
        }
        may
    }

    fn session_view(&self, name: &str) -> Option<SessionView> {
        let session = self.sessions.get(name)?;
        let status = match session.phase {
            sessions::Phase::Opening | sessions::Phase::Open => SessionStatus::Open,
            sessions::Phase::Closing | sessions::Phase::Ended => SessionStatus::Closing,
        };
        let ttl_s = session.record.ttl_ms as f64 / 1000.0;
        Some(SessionView { session: name.to_owned(), status, ttl_s })
    }

    pub(crate) fn tell_session(&self, name: &str, status: u16) -> HttpReply {
        let closed =
            SessionView { session: name.into(), status: SessionStatus::Closed, ttl_s: 0.0 };
        HttpReply::json(status, &self.session_view(name).unwrap_or(closed))
    }

    fn open_session(
        &mut self,
        now: Mono,
        ticket: u64,
        open: &OpenSession,
        around: &Around,
    ) -> Verdict {
        let name = &open.session;
        if let Some(session) = self.sessions.get_mut(name) {
            if !session.holds(&open.key) || session.record.owner != open.owner {
                return Verdict::Reply(HttpReply::error(403, "the session is another's"));
            }
            return match session.phase {
                sessions::Phase::Opening if session.tickets.len() < TICKETS_MOST => {
                    session.tickets.push(ticket);
                    Verdict::Later
                }
                sessions::Phase::Open => {
                    session.heard = now;
                    Verdict::Reply(self.tell_session(name, 200))
                }
                _ => Verdict::Reply(busy("the session is closing")),
            };
        }
        if !(around.team)(&open.owner) {
            return Verdict::Reply(HttpReply::error(422, "unknown team"));
        }
        let of_team = self.sessions.values().filter(|s| s.record.owner == open.owner).count();
        if self.sessions.len() >= self.limits.sessions as usize
            || of_team >= self.limits.team_sessions as usize
        {
            return Verdict::Reply(busy("too many sessions"));
        }
        if !self.may_write(&open.owner, now) {
            return Verdict::Reply(busy("too many additions a second"));
        }
        let ttl_ms = Millis::from_secs(open.ttl_s).0;
        let (key, owner) = (hash_key(&open.key), open.owner.clone());
        let record = SessionRecord { key, owner, ttl_ms, ended: false };
        let mut session = Session::new(record, Revision(0), now);
        session.tickets.push(ticket);
        self.sessions.insert(name.clone(), session);
        self.queue.session(name);
        Verdict::Later
    }

    /// Finds a session that is open and whose key this is.
    fn session(&mut self, name: &str, key: &str) -> Result<&mut Session, HttpReply> {
        let Some(session) = self.sessions.get_mut(name) else {
            return Err(HttpReply::error(404, "no such session"));
        };
        if !session.holds(key) {
            return Err(HttpReply::error(403, "wrong key"));
        }
        match session.phase {
            sessions::Phase::Open => Ok(session),
            sessions::Phase::Opening => Err(HttpReply::unavailable("the session is being written")),
            sessions::Phase::Closing => Err(HttpReply::unavailable("the session is closing")),
            sessions::Phase::Ended => Err(HttpReply::error(404, "the session has ended")),
        }
    }

    fn beat(&mut self, now: Mono, name: &str, key: &str) -> Verdict {
        match self.session(name, key) {
            Ok(session) => {
                session.heard = now;
                Verdict::Reply(self.tell_session(name, 200))
            }
            Err(reply) => Verdict::Reply(reply),
        }
    }

    fn close(&mut self, ticket: u64, name: &str, key: &str) -> Verdict {
        match self.session(name, key) {
            Ok(session) => {
                session.tickets.push(ticket);
                self.end_session(name);
                Verdict::Later
            }
            // It is as its client wishes; the answer may have been lost.
            Err(HttpReply { status: 404, .. }) => Verdict::Reply(self.tell_session(name, 200)),
            Err(reply) => Verdict::Reply(reply),
        }
    }

    fn end_session(&mut self, name: &str) {
        if let Some(session) = self.sessions.get_mut(name) {
            session.enter(sessions::Phase::Closing);
            self.queue.session(name);
        }
    }

    fn create(&mut self, now: Now, ticket: u64, create: &CreateGraph) -> Verdict {
        let id = create.graph;
        if let Some(live) = self.graphs.get_mut(&id) {
            let same = live.head.key == hash_key(&create.key)
                && live.head.session == create.session
                && live.head.class == create.jobclass;
            return match &live.phase {
                _ if !same => Verdict::Reply(HttpReply::error(409, "the graph is another's")),
                Phase::Creating if live.tickets.len() < TICKETS_MOST => {
                    live.tickets.push(ticket);
                    Verdict::Later
                }
                Phase::Creating => {
                    Verdict::Reply(HttpReply::unavailable("the graph is being written"))
                }
                _ => Verdict::Reply(HttpReply::json(
                    200,
                    &live.view(self.token, &Default::default()),
                )),
            };
        }
        let owner = match self.session(&create.session, &create.key) {
            Ok(session) => session.record.owner.clone(),
            // A repeated request may come when the graph and its session are over.
            Err(HttpReply { status: 404, .. }) => return Verdict::NotOpen,
            Err(reply) => return Verdict::Reply(reply),
        };
        let of_team = self.graphs.values().filter(|live| live.head.owner == owner).count();
        if self.graphs.len() >= self.limits.graphs as usize
            || of_team >= self.limits.team_graphs as usize
        {
            return Verdict::Reply(busy("too many graphs"));
        }
        if !self.may_write(&owner, now.mono) {
            return Verdict::Reply(busy("too many additions a second"));
        }
        let head = Head {
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
        let mut live = Live::new(id, head, Revision(0), Phase::Creating, now.mono);
        live.tickets.push(ticket);
        self.insert(live);
        self.queue.head(id);
        Verdict::Later
    }

    /// Takes up a graph, and counts it for its session.
    pub(crate) fn insert(&mut self, live: Live) {
        if !live.head.detached
            && let Some(session) = self.sessions.get_mut(&live.head.session)
        {
            session.graphs += 1;
        }
        self.graphs.insert(live.id, live);
    }

    /// Lets a graph go that is over, or was never begun.
    pub(crate) fn remove(&mut self, id: GraphId) -> Option<Live> {
        let live = self.graphs.remove(&id)?;
        self.wanting.remove(&id);
        let name = &live.head.session;
        if !live.head.detached
            && let Some(session) = self.sessions.get_mut(name)
        {
            session.graphs = session.graphs.saturating_sub(1);
            if session.phase == sessions::Phase::Ended && session.graphs == 0 {
                self.queue.session(name);
            }
        }
        Some(live)
    }

    fn add(
        &mut self,
        now: Mono,
        ticket: u64,
        id: GraphId,
        add: &AddNodes,
        around: &Around,
    ) -> Verdict {
        let refuse = |status, text: &str| Verdict::Reply(HttpReply::error(status, text));
        let Some(live) = self.graphs.get(&id) else { return Verdict::NotOpen };
        if live.head.key != hash_key(&add.key) {
            return refuse(403, "wrong key");
        }
        // What is the same however it is written.
        let digest = digest(&(&add.kinds, &add.nodes, add.seal));
        match live.model.addition(&add.addition) {
            Some(known) if known == digest => {
                let view = live.view(self.token, &Default::default());
                return Verdict::Reply(HttpReply::json(200, &view));
            }
            Some(_) => return refuse(409, "an addition of this name added something else"),
            None => {}
        }
        match live.phase {
            Phase::Open if live.model.sealed => return refuse(409, "the graph is sealed"),
            Phase::Open => {}
            Phase::Creating | Phase::Loading => {
                return Verdict::Reply(HttpReply::unavailable("the graph is being written"));
            }
            _ => return refuse(409, "the graph is ending"),
        }
        if live.pending.is_some() {
            return Verdict::Reply(busy("another addition is being written"));
        }
        let prepared = match live.model.prepare(add, digest, self.room) {
            Ok(prepared) => prepared,
            Err(Refused(status, text)) => return refuse(status, &text),
        };
        if let Some(reply) = unfit(live, &prepared.pages, around) {
            return Verdict::Reply(reply);
        }
        let owner = live.head.owner.clone();
        let own = u64::from(live.model.len());
        let (nodes, bytes) = (u64::from(prepared.nodes), prepared.bytes as u64);
        let over = |used: u64, more: u64, most: u64| used.saturating_add(more) > most;
        let limits = &self.limits;
        if over(own, nodes, limits.graph_nodes.into()) {
            return refuse(422, "more nodes than a graph may have");
        }
        let (team_nodes, team_bytes) = self.used(|live| live.head.owner == owner);
        let (all_nodes, all_bytes) = self.used(|_| true);
        if over(all_nodes, nodes, limits.nodes.into())
            || over(team_nodes, nodes, limits.team_nodes.into())
            || over(all_bytes, bytes, limits.bytes)
            || over(team_bytes, bytes, limits.team_bytes)
        {
            return Verdict::Reply(busy("too many nodes"));
        }
        if !self.may_write(&owner, now) {
            return Verdict::Reply(busy("too many additions a second"));
        }
        if let Some(live) = self.graphs.get_mut(&id) {
            live.pending = Some(Pending { prepared, ticket });
        }
        self.queue.addition(id);
        Verdict::Later
    }

    /// Nodes of open graphs, and bytes of their descriptions.
    fn used(&self, counts: impl Fn(&Live) -> bool) -> (u64, u64) {
        let counted = self.graphs.values().filter(|live| counts(live));
        counted.fold((0, 0), |(nodes, bytes), live| {
            (nodes + u64::from(live.model.len()), bytes + live.model.bytes)
        })
    }

    fn cancel(&mut self, ticket: u64, id: GraphId, key: &str) -> Verdict {
        let Some(live) = self.graphs.get_mut(&id) else { return Verdict::NotOpen };
        if live.head.key != hash_key(key) {
            return Verdict::Reply(HttpReply::error(403, "wrong key"));
        }
        match live.phase {
            Phase::Creating | Phase::Loading => {
                Verdict::Reply(HttpReply::unavailable("the graph is being written"))
            }
            Phase::Marking if live.tickets.len() >= TICKETS_MOST => {
                Verdict::Reply(HttpReply::unavailable("the graph is being cancelled"))
            }
            Phase::Open | Phase::Marking => {
                live.tickets.push(ticket);
                live.enter(Phase::Marking);
                self.wanting.remove(&id);
                self.queue.head(id);
                Verdict::Later
            }
            Phase::Stopping(_) | Phase::Ending(_) => {
                Verdict::Reply(HttpReply::json(200, &live.view(self.token, &Default::default())))
            }
        }
    }

    /// What is told of a graph that is over, to a request that found it so.
    pub fn over_reply(id: GraphId, ask: &Ask, record: &OverRecord) -> HttpReply {
        let key = match ask {
            Ask::Create(create) => Some(&create.key),
            Ask::Add(_, add) => Some(&add.key),
            Ask::Cancel(_, keyed) => Some(&keyed.key),
            _ => None,
        };
        let wrong = key.is_some_and(|key| hash_key(key) != record.key);
        match ask {
            Ask::Create(_) if wrong => HttpReply::error(409, "the graph is another's"),
            _ if wrong => HttpReply::error(403, "wrong key"),
            Ask::Add(..) => HttpReply::error(409, "the graph is over"),
            _ => HttpReply::json(200, &GraphView::of_over(id, record)),
        }
    }

    /// What is told of a graph that nobody began.
    pub fn missing_reply(ask: &Ask) -> HttpReply {
        match ask {
            Ask::Create(_) => HttpReply::error(404, "no such session"),
            _ => HttpReply::error(404, "no such graph"),
        }
    }

    // --- Events --------------------------------------------------------------------

    /// Tasks of an open job are done for good.
    pub fn tasks_done(&mut self, id: &JobId, done: &[u32]) {
        let Some((graph, seq)) = GraphId::of_job(id) else { return };
        let Some(live) = self.graphs.get_mut(&graph) else { return };
        live.tasks_done(seq, done);
        self.review(graph);
    }

    /// A job is over for good.
    pub fn job_over(
        &mut self,
        id: &JobId,
        end: &PartEnd,
        status: JobStatus,
        failure: Option<&Arc<Failure>>,
    ) {
        let Some((graph, seq)) = GraphId::of_job(id) else { return };
        if !matches!(self.stage, Stage::Jobs { .. } | Stage::Ready) {
            // It will be read. Guards against an end that came between a graph's head and its pages: it counted as
            // taken up though its nodes were not there yet, and they ran again.
            return;
        }
        let Some(live) = self.graphs.get_mut(&graph) else { return };
        let before = live.jobs.len();
        live.job_over(seq, end, status, failure);
        self.open_jobs = self.open_jobs.saturating_sub(before - live.jobs.len());
        self.review(graph);
    }

    /// Takes up what follows from a change of a graph.
    pub(crate) fn review(&mut self, id: GraphId) {
        let Some(live) = self.graphs.get_mut(&id) else { return };
        let cancelled = live.review();
        self.cancel_jobs(id, cancelled);
        let Some(live) = self.graphs.get_mut(&id) else { return };
        if live.phase == Phase::Open && live.model.any_ready() {
            self.wanting.insert(id);
        } else {
            self.wanting.remove(&id);
        }
        if matches!(live.phase, Phase::Ending(_)) {
            self.queue.ending(id);
        }
    }

    fn cancel_jobs(&mut self, id: GraphId, seqs: Vec<Seq>) {
        self.effects.extend(seqs.into_iter().map(|seq| Effect::Cancel(id.job(seq))));
    }

    /// A graph's end is decided.
    pub(crate) fn stop(&mut self, id: GraphId, why: Why) {
        let Some(live) = self.graphs.get_mut(&id) else { return };
        if let Some(pending) = live.pending.take() {
            self.reply(pending.ticket, HttpReply::error(409, "the graph is ending"));
        }
        let Some(live) = self.graphs.get_mut(&id) else { return };
        let cancelled = live.stop(why);
        self.cancel_jobs(id, cancelled);
        self.review(id);
    }

    /// A session's end is durable: what is its own is stopped.
    pub(crate) fn session_ended(&mut self, name: &str) {
        let own = |live: &&Live| !live.head.detached && live.head.session == name;
        let ids: Vec<GraphId> = self.graphs.values().filter(own).map(|live| live.id).collect();
        for id in ids {
            self.stop(id, Why::SessionGone);
        }
        if self.sessions.get(name).is_some_and(|session| session.graphs == 0) {
            self.queue.session(name);
        }
    }

    /// A leader could not be reached for a while: nobody could be heard.
    pub fn deaf_until(&mut self, now: Mono) {
        self.sessions.values_mut().for_each(|session| session.heard = session.heard.max(now));
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Mono) {
        if !self.ready() || now < self.next_look {
            return;
        }
        self.next_look = now.plus(LOOK_EVERY_MS);
        let lapsed =
            |(name, session): (&String, &Session)| session.lapsed(now).then(|| name.clone());
        for name in self.sessions.iter().filter_map(lapsed).collect::<Vec<_>>() {
            self.end_session(&name);
        }
        let biases = &self.biases;
        for live in self.graphs.values_mut().filter(|live| live.stale) {
            let bias = biases.get(&live.head.class).copied().unwrap_or(1.0);
            live.weigh(bias, now);
        }
    }

    /// The next job of all graphs: of the highest rank, then of the graph with least time left beyond its longest path.
    pub(crate) fn launch(&mut self, now: Now) -> Option<Launch> {
        if self.open_jobs >= OPEN_JOBS_MOST {
            return None;
        }
        loop {
            let urgency = |id: &GraphId| {
                let live = self.graphs.get(id)?;
                let fits = live.jobs.len() < OPEN_JOBS_OF_ONE;
                let due = graph_due(live.created, live.head.due_s, live.path_s, now.mono);
                let slack = due.0 as i64 - (live.path_s * 1000.0) as i64;
                fits.then_some((Reverse(live.head.rank), slack, *id))
            };
            let (_, _, id) = self.wanting.iter().filter_map(urgency).min()?;
            let class = self.graphs.get(&id)?.head.class.clone();
            let (allowed, bias) = (self.allowed.get(&class).copied().flatten(), self.bias(&class));
            let order = self.order;
            let live = self.graphs.get_mut(&id)?;
            live.weigh(bias, now.mono);
            let launch = live.launch(allowed, bias, order, self.room, (now.mono, now.wall_ms));
            if !live.model.any_ready() || launch.is_none() {
                self.wanting.remove(&id);
            }
            if let Some(launch) = launch {
                self.open_jobs += 1;
                return Some(launch);
            }
        }
    }

    pub(crate) fn remember(&mut self, id: GraphId, record: OverRecord) {
        if self.over.insert(id, record).is_none() {
            self.over_order.push_back(id);
        }
        if self.over_order.len() > OVER_KEPT
            && let Some(old) = self.over_order.pop_front()
        {
            self.over.remove(&old);
        }
    }

    /// The final answer of a graph that ended lately.
    pub fn over(&self, id: GraphId) -> Option<&OverRecord> {
        self.over.get(&id)
    }

    /// Nodes of a graph in a state, for measurements.
    pub fn count(&self, id: GraphId, state: NodeState) -> u32 {
        self.graphs.get(&id).map_or(0, |live| live.model.count(state))
    }
}

/// Why nodes of an addition can never run.
fn unfit(live: &Live, pages: &[Page], around: &Around) -> Option<HttpReply> {
    let mut shapes: BTreeMap<(u16, u32), String> = BTreeMap::new();
    for page in pages {
        for (name, kind, shards, _) in &page.nodes {
            shapes.entry((*kind, *shards)).or_insert_with(|| name.clone());
        }
    }
    let new: Vec<Kind> = pages
        .iter()
        .flat_map(|page| &page.kinds)
        .map(|(name, spec)| Kind { name: name.clone(), spec: spec.clone(), learnt_s: None })
        .collect();
    for ((kind, shards), name) in shapes {
        let known = live.model.kinds.get(usize::from(kind));
        let kind =
            known.or_else(|| new.get(usize::from(kind).checked_sub(live.model.kinds.len())?))?;
        let spec = job_spec(&live.head, kind, live.id.job(Seq(0)), shards, None);
        if let Some(mut reply) = (around.unfit)(&spec) {
            reply.body =
                reply.body.replacen("\"error\":\"", &format!("\"error\":\"node {name}: "), 1);
            return Some(reply);
        }
    }
    None
}

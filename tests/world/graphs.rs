//! Task graph clients in the simulated world, and the invariants checked for them: no node starts before its inputs are
//! durably done, none runs twice, no final status changes, and nothing of an ended session remains.

use oatloom_core::jobs::{FinalRecord, LiveRecord};
use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_emulator::region::Region;
use oatloom_emulator::worker::JobFailures;
use oatloom_graph::answers::{GraphStatus, GraphView, NodeStatus};
use oatloom_graph::ids::{GraphId, NodeId};
use oatloom_graph::records::{
    GraphKey, GraphPart, Page, SESSIONS_PREFIX, SessionRecord, parse_key,
};
use oatloom_graph::requests::{
    AddNodes, CreateGraph, GetGraph, GraphRequest, KeyedRequest, OnFailure, OpenSession,
};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Change, JobStatus, Rank};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// How long a client waits for a response, and its interval between requests, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 2_000;
const REQUEST_INTERVAL_MS: u64 = 1_000;
/// How long nodes of an ended session may still run, in milliseconds: the platform's bound for cancellations.
const MAX_CANCEL_MS: u64 = 46_000;

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    /// Follows its graph to the end and closes its session.
    Completes,
    /// Cancels its graph at this time.
    Cancels(u64),
    /// Sends nothing from this time on.
    Disappears(u64),
}

struct Client {
    behavior: Behavior,
    starts_at: u64,
    session: String,
    key: String,
    graph: GraphId,
    detached: bool,
    /// Requests still to be sent, in order; the first is in progress.
    pending_requests: Vec<GraphRequest>,
    /// Requests in progress by number: when each was sent, and whether it is a heartbeat.
    in_flight: BTreeMap<u64, (u64, bool)>,
    next_request_at: u64,
    next_heartbeat_at: u64,
    /// The number of requests and of heartbeats sent.
    sent_counts: [usize; 2],
    cursor: String,
    open: bool,
    final_statuses: BTreeMap<String, NodeStatus>,
    final_status: Option<GraphStatus>,
}

/// All task graph clients of a simulation.
#[derive(Default)]
pub struct Clients {
    clients: Vec<Client>,
    last_request_id: u64,
    /// Nodes as stored in the state service, by graph.
    nodes: BTreeMap<GraphId, BTreeMap<NodeId, (String, Vec<NodeId>)>>,
    parts: BTreeMap<String, GraphPart>,
    /// Tasks that are durably done.
    durably_done: BTreeSet<(String, u32)>,
    /// Ended sessions, and when their end became durable.
    ended_sessions: BTreeMap<String, u64>,
    /// The session of each graph that ends with its session.
    owning_sessions: BTreeMap<GraphId, String>,
    pub violations: Vec<String>,
    pub done_graphs: usize,
    pub failed_graphs: usize,
    pub node_starts: usize,
}

fn kinds() -> serde_json::Value {
    json!({
        "map": {"num_cpus": 2.0, "num_gpus": 1.0, "memory": 8e9, "expectS": 3.0, "bundle": "img-1", "pullGb": 1.0,
                "loaners": true},
        "fold": {"num_cpus": 2.0, "num_gpus": 1.0, "expectS": 6.0, "max_retries": 1},
        "wide": {"num_cpus": 1.0, "num_gpus": 1.0, "expectS": 4.0, "strategy": "SPREAD"},
        "crew": {"shape": "gang", "num_cpus": 2.0, "num_gpus": 1.0, "expectS": 5.0},
        "near": {"num_cpus": 1.0, "num_gpus": 1.0, "expectS": 4.0, "strategy": "STRICT_PACK"},
        "apart": {"num_cpus": 1.0, "num_gpus": 1.0, "expectS": 4.0, "strategy": "STRICT_SPREAD"},
        "cache": {"shape": "actor", "num_cpus": 1.0, "num_gpus": 0.5}
    })
}

impl Clients {
    /// Adds clients, each with a graph of its own; with `failing`, some nodes always fail.
    pub fn add(&mut self, seed: u64, number: usize, faults_end_at: u64, failing: bool) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6772);
        for n in 0..number {
            let session = format!("s-{n}");
            let key = format!("secret-{n}");
            let graph = GraphId::parse(&format!("graph-{}", 100 + n)).expect("an id");
            let owner = if rng.random_bool(0.5) { "red" } else { "blue" };
            let from = rng.random_range(1_000..faults_end_at * 2 / 3);
            let behavior = match rng.random_range(0..6) {
                0 => Behavior::Cancels(from + rng.random_range(1_000..40_000)),
                1 => Behavior::Disappears(from + rng.random_range(500..40_000)),
                _ => Behavior::Completes,
            };
            let detached = rng.random_bool(0.15);
            let open = OpenSession {
                session: session.clone(),
                key: key.clone(),
                owner: owner.into(),
                ttl_s: 20.0,
            };
            let create = CreateGraph {
                graph,
                session: session.clone(),
                key: key.clone(),
                jobclass: if rng.random_bool(0.5) { "quick" } else { "slow" }.into(),
                rank: *[Rank::Standard, Rank::High].choose(&mut rng).unwrap_or(&Rank::High),
                due_s: rng.random_bool(0.5).then_some(90.0),
                on_failure: if rng.random_bool(0.5) {
                    OnFailure::CancelRest
                } else {
                    OnFailure::FinishIndependent
                },
                detached,
            };
            let mut pending_requests = vec![GraphRequest::Open(open), GraphRequest::Create(create)];
            pending_requests.extend(additions(graph, &key, failing, &mut rng));
            self.owning_sessions.extend((!detached).then(|| (graph, session.clone())));
            self.clients.push(Client {
                behavior,
                starts_at: from,
                session,
                key,
                graph,
                detached,
                pending_requests,
                in_flight: BTreeMap::new(),
                next_request_at: from,
                next_heartbeat_at: from,
                sent_counts: [0; 2],
                cursor: String::new(),
                open: false,
                final_statuses: BTreeMap::new(),
                final_status: None,
            });
        }
    }

    /// Adds one client with this graph, which follows it to its end.
    pub fn add_client(&mut self, class: &str, add: AddNodes) -> GraphId {
        let (session, key) = ("s-1".to_owned(), add.key.clone());
        let graph = GraphId::parse("graph-1").expect("an id");
        let open = OpenSession {
            session: session.clone(),
            key: key.clone(),
            owner: "red".into(),
            ttl_s: 20.0,
        };
        let create = CreateGraph {
            graph,
            session: session.clone(),
            key: key.clone(),
            jobclass: class.into(),
            rank: Rank::Standard,
            due_s: None,
            on_failure: OnFailure::CancelRest,
            detached: false,
        };
        self.clients.push(Client {
            behavior: Behavior::Completes,
            starts_at: 1_000,
            session,
            key,
            graph,
            detached: false,
            pending_requests: vec![
                GraphRequest::Open(open),
                GraphRequest::Create(create),
                GraphRequest::Add(graph, add),
            ],
            in_flight: BTreeMap::new(),
            next_request_at: 1_000,
            next_heartbeat_at: 1_000,
            sent_counts: [0; 2],
            cursor: String::new(),
            open: false,
            final_statuses: BTreeMap::new(),
            final_status: None,
        });
        graph
    }

    /// Each job of a graph with the jobs that produce its inputs.
    pub fn input_jobs(&self) -> BTreeMap<String, BTreeSet<String>> {
        let find_producer = |graph: GraphId, at: NodeId| {
            let mut jobs = self.parts.keys();
            jobs.find(|job| (0..400).any(|task| self.node_of(job, task) == Some((graph, at))))
                .cloned()
        };
        let find_inputs = |job: &String| {
            let graph = GraphId::from_job_id(&oatloom_protocol::ids::JobId::new(job))
                .map(|(graph, _)| graph);
            let nodes = self.parts[job].nodes.iter(400);
            let needs = nodes.filter_map(|at| Some(self.nodes.get(&graph?)?.get(&at)?.1.clone()));
            let needs: Vec<NodeId> = needs.flatten().collect();
            needs.into_iter().filter_map(|at| find_producer(graph?, at)).collect()
        };
        self.parts.keys().map(|job| (job.clone(), find_inputs(job))).collect()
    }

    /// All clients stop sending at this time.
    pub fn disappear_at(&mut self, at: u64) {
        self.clients.iter_mut().for_each(|client| client.behavior = Behavior::Disappears(at));
    }

    /// Requests to be sent now: client, number, node and content.
    pub fn step(&mut self, now: u64) -> Vec<(usize, u64, usize, GraphRequest)> {
        if self.clients.is_empty() {
            return Vec::new();
        }
        let mut requests = Vec::new();
        for (index, client) in self.clients.iter_mut().enumerate() {
            if now < client.starts_at
                || matches!(client.behavior, Behavior::Disappears(t) if now >= t)
            {
                continue;
            }
            client.in_flight.retain(|_, (sent, _)| now < *sent + RESPONSE_TIMEOUT_MS);
            let mut send_request = |client: &mut Client, heartbeat: bool, request: GraphRequest| {
                self.last_request_id += 1;
                client.in_flight.insert(self.last_request_id, (now, heartbeat));
                // Rotates over the controllers, since two of three may be frozen for longer than a session's lease.
                client.sent_counts[usize::from(heartbeat)] += 1;
                requests.push((
                    index,
                    self.last_request_id,
                    client.sent_counts[usize::from(heartbeat)] % 3,
                    request,
                ));
            };
            let keyed = KeyedRequest { key: client.key.clone() };
            let has_in_flight = |client: &Client, heartbeat: bool| {
                client.in_flight.values().any(|(_, is_heartbeat)| *is_heartbeat == heartbeat)
            };
            if client.open && now >= client.next_heartbeat_at && !has_in_flight(client, true) {
                client.next_heartbeat_at = now + REQUEST_INTERVAL_MS;
                let session = client.session.clone();
                send_request(client, true, GraphRequest::Heartbeat(session, keyed.clone()));
            }
            if now < client.next_request_at || has_in_flight(client, false) {
                continue;
            }
            if let Behavior::Cancels(t) = client.behavior
                && now >= t
                && client.final_status.is_none()
                && client.pending_requests.len() < 100
                && client.open
            {
                client.behavior = Behavior::Completes;
                client.pending_requests.retain(|ask| matches!(ask, GraphRequest::Create(_)));
                let graph = client.graph;
                client.pending_requests.push(GraphRequest::Cancel(graph, keyed.clone()));
            }
            client.next_request_at = now + REQUEST_INTERVAL_MS;
            let request = match client.pending_requests.first() {
                Some(request) => request.clone(),
                None if client.final_status.is_none() => {
                    let view = GetGraph { after: client.cursor.clone(), max_nodes: 5 };
                    GraphRequest::GetGraph(client.graph, view)
                }
                None if client.open => GraphRequest::Close(client.session.clone(), keyed),
                None => GraphRequest::GetGraph(client.graph, GetGraph::default()),
            };
            if matches!(request, GraphRequest::GetGraph(..)) && client.final_status.is_some() {
                client.next_request_at = now + 9 * REQUEST_INTERVAL_MS;
            }
            send_request(client, false, request);
        }
        requests
    }

    /// Handles the response to a request.
    pub fn receive_response(&mut self, now: u64, client: usize, number: u64, reply: &HttpReply) {
        let Some(client) = self.clients.get_mut(client) else { return };
        if matches!(client.behavior, Behavior::Disappears(t) if now >= t) {
            return;
        }
        let Some((_, heartbeat)) = client.in_flight.remove(&number) else { return };
        log::debug!(
            "client {now}: {} heartbeat {heartbeat}: {} {}",
            client.graph,
            reply.status,
            reply.body
        );
        let mut record_violation =
            |text: String| self.violations.push(format!("{} ms {text}", now));
        match reply.status {
            200 | 201 if heartbeat => client.next_heartbeat_at = now + 5_000,
            200 | 201 => {}
            429 | 503 | 599 => return,
            // The response to the close request may have been lost.
            404 if heartbeat && (!client.open || client.final_status.is_some()) => {
                client.open = false;
                return;
            }
            409 if client.final_status.is_some() => {}
            status => {
                // The graph may have ended, cancelled by the client or because of a failed node, before all nodes were added.
                let ending = reply.body.contains("ending") || reply.body.contains("over");
                if !ending {
                    record_violation(format!(
                        "{}: rejected with {status} {}",
                        client.graph, reply.body
                    ));
                }
                client.pending_requests.retain(|ask| !matches!(ask, GraphRequest::Add(..)));
                return;
            }
        }
        if heartbeat {
            return;
        }
        if let Ok(view) = serde_json::from_str::<GraphView>(&reply.body) {
            client.cursor = view.next.clone();
            for node in &view.changed {
                let before = client.final_statuses.get(&node.name).copied();
                if before.is_some_and(|before| before != node.status) {
                    let text = format!(
                        "{} {}: was {before:?}, is {:?}",
                        client.graph, node.name, node.status
                    );
                    record_violation(text);
                }
                if node.status.is_final() {
                    client.final_statuses.insert(node.name.clone(), node.status);
                }
            }
            if client.final_status.is_some_and(|status| status != view.status) {
                record_violation(format!(
                    "{}: was {:?}, is {:?}",
                    client.graph, client.final_status, view.status
                ));
            }
            if view.status.is_final() {
                // All pages of the final state are read before the graph counts as finished.
                if !view.more && client.final_status.is_none() && client.pending_requests.is_empty()
                {
                    client.final_status = Some(view.status);
                    self.done_graphs += usize::from(view.status == GraphStatus::Done);
                    self.failed_graphs += usize::from(view.status == GraphStatus::Failed);
                    let failed = view.failure.as_ref().and_then(|f| f.failure.as_ref());
                    if view.status == GraphStatus::Failed && failed.is_none() {
                        record_violation(format!(
                            "{}: failed without a reported cause",
                            client.graph
                        ));
                    }
                }
                client.pending_requests.clear();
            }
        }
        match client.pending_requests.first() {
            Some(GraphRequest::Open(_)) => client.open = true,
            None if client.final_status.is_some()
                && client.open
                && !reply.body.contains("\"graph\"") =>
            {
                client.open = false;
            }
            _ => {}
        }
        if !client.pending_requests.is_empty() {
            client.pending_requests.remove(0);
        }
    }

    /// Evaluates the graph records of a committed transaction. Workers ask controllers for the description of a graph's job;
    /// in the simulation they get it from its record.
    pub fn observe_write(
        &mut self,
        now: u64,
        op: &StoreOp,
        reply: &StoreReply,
        region: &mut Region,
    ) {
        let (StoreOp::Txn(txn), StoreReply::Committed(_)) = (op, reply) else { return };
        for change in &txn.changes {
            let (key, value) = match change {
                Change::Put { key, value, .. } => (key, Some(value)),
                Change::Delete { key } => (key, None),
            };
            if let (Some(name), Some(value)) = (key.strip_prefix(SESSIONS_PREFIX), value) {
                let record: SessionRecord =
                    serde_json::from_value(value.clone()).expect("a record");
                if record.ended {
                    self.ended_sessions.insert(name.to_owned(), now);
                }
            } else if let (Some(GraphKey::Page(graph, _)), Some(value)) = (parse_key(key), value) {
                let page: Page = serde_json::from_value(value.clone()).expect("a page");
                let nodes = self.nodes.entry(graph).or_default();
                for (at, (name, _, _, needs)) in (page.first.0..).zip(page.nodes) {
                    nodes.insert(NodeId(at), (name, needs));
                }
            } else if let (Some(job), Some(value)) = (key.strip_prefix("live/"), value) {
                let record: LiveRecord = serde_json::from_value(value.clone()).expect("a record");
                if let Some(part) = record.part {
                    region.upload_job(&record.spec);
                    self.record_part(job, (*part).clone(), region);
                }
            } else if let (Some(job), Some(value)) = (key.strip_prefix("over/"), value) {
                let record: FinalRecord = serde_json::from_value(value.clone()).expect("a record");
                if record.status == JobStatus::Done && self.parts.contains_key(job) {
                    self.durably_done.insert((job.to_owned(), u32::MAX));
                }
                let done = record.part.iter().flat_map(|part| &part.done);
                self.durably_done.extend(done.map(|task| (job.to_owned(), *task)));
            } else if let (Some(rest), Some(value)) = (key.strip_prefix("asg/"), value) {
                let (job, chunk) = rest.split_once('/').expect("a chunk");
                let base: u32 = chunk.parse::<u32>().expect("a number") * 96;
                let bits = value["d"].as_str().unwrap_or_default();
                for (at, digit) in bits.chars().enumerate() {
                    let digit = digit.to_digit(16).unwrap_or(0);
                    for bit in (0..4).filter(|bit| digit >> bit & 1 == 1) {
                        self.durably_done.insert((job.to_owned(), base + at as u32 * 4 + bit));
                    }
                }
            }
        }
    }

    fn record_part(&mut self, job: &str, part: GraphPart, region: &mut Region) {
        let Some((graph, _)) = GraphId::from_job_id(&oatloom_protocol::ids::JobId::new(job)) else {
            return;
        };
        let nodes = self.nodes.get(&graph);
        let always_fails =
            |at: NodeId| nodes.and_then(|n| n.get(&at)).is_some_and(|n| n.0.starts_with("bad"));
        let failing_node = (0u32..).zip(part.nodes.iter(10_000)).find(|(_, at)| always_fails(*at));
        if let Some((task, _)) = failing_node {
            let failures =
                if part.is_batch() { JobFailures::Task(task) } else { JobFailures::Always };
            region.external.failing_jobs.insert(job.to_owned(), failures);
        }
        self.parts.insert(job.to_owned(), part);
    }

    fn node_of(&self, job: &str, task: u32) -> Option<(GraphId, NodeId)> {
        let (graph, _) = GraphId::from_job_id(&oatloom_protocol::ids::JobId::new(job))?;
        Some((graph, self.parts.get(job)?.node(task)?))
    }

    /// Whether a node is durably done.
    fn is_done(&self, graph: GraphId, at: NodeId) -> bool {
        self.parts.iter().any(|(job, part)| {
            let (of, _) =
                GraphId::from_job_id(&oatloom_protocol::ids::JobId::new(job)).expect("a job");
            let task = (0u32..).zip(part.nodes.iter(10_000)).find(|(_, node)| *node == at);
            let Some((task, _)) = task.filter(|_| of == graph) else { return false };
            let whole = self.durably_done.contains(&(job.clone(), u32::MAX));
            whole || part.is_batch() && self.durably_done.contains(&(job.clone(), task))
        })
    }

    /// Checks what must hold at every step.
    pub fn check(&mut self, now: u64, region: &mut Region) {
        if self.clients.is_empty() {
            return;
        }
        let checker = &mut region.checker;
        for task in checker.started_tasks.as_mut().map(std::mem::take).unwrap_or_default() {
            let Some((graph, at)) = self.node_of(&task.job, task.index) else { continue };
            self.node_starts += 1;
            let (name, needs) = &self.nodes[&graph][&at];
            let unfinished_input = needs.iter().find(|input| !self.is_done(graph, **input));
            if let Some(input) = unfinished_input {
                let input = &self.nodes[&graph][input].0;
                self.violations
                    .push(format!("{now} ms {graph} {name} starts before {input} is done"));
            }
            let elsewhere = checker.on_machines().find(|on| {
                on.job != task.job && self.node_of(&on.job, on.index) == Some((graph, at))
            });
            if let Some(other) = elsewhere {
                self.violations
                    .push(format!("{now} ms {graph} {name} runs twice: {task:?}, {other:?}"));
            }
            if self.is_done(graph, at) && self.parts[&task.job].is_batch() {
                self.violations.push(format!(
                    "{now} ms {graph} {name} starts again though it is done: {task:?}"
                ));
            }
        }
        checker.started_tasks.get_or_insert_default();
        if now.is_multiple_of(1_000) {
            for on in region.checker.on_machines() {
                let Some((graph, _)) = self.node_of(&on.job, on.index) else { continue };
                let ended = self
                    .owning_sessions
                    .get(&graph)
                    .and_then(|session| self.ended_sessions.get(session));
                if ended.is_some_and(|at| now > at + MAX_CANCEL_MS) {
                    self.violations
                        .push(format!("{now} ms {on:?} still runs though its session has ended"));
                }
            }
        }
    }

    /// Checks what must hold after the recovery phase: every client that stayed knows the result, and nothing remains of those
    /// that left. `stored` lists the keys under a prefix in the state service.
    pub fn check_final_state(&mut self, stored: &dyn Fn(&str) -> Vec<String>) {
        let mut record_violation = |text: String| self.violations.push(text);
        for client in &self.clients {
            let disappeared = matches!(client.behavior, Behavior::Disappears(_));
            if !disappeared && client.final_status.is_none() {
                record_violation(format!(
                    "{}: client never received its final status, next request {:?}",
                    client.graph,
                    client.pending_requests.first()
                ));
            }
            if !disappeared && client.final_status == Some(GraphStatus::Done) {
                let nodes = self.nodes.get(&client.graph);
                for (name, _) in nodes.into_iter().flat_map(BTreeMap::values) {
                    if !client.final_statuses.contains_key(name) {
                        record_violation(format!("{} {name}: no final status", client.graph));
                    }
                }
            }
            let digits = client.graph.digits();
            let is_of_graph = |key: &String| key.contains(&digits);
            let must_be_deleted = !client.detached || !disappeared;
            for prefix in ["graph/", "live/req-9", "asg/req-9"] {
                for key in
                    stored(prefix).into_iter().filter(|key| must_be_deleted && is_of_graph(key))
                {
                    record_violation(format!("{key} is still stored"));
                }
            }
        }
        for key in stored(SESSIONS_PREFIX) {
            record_violation(format!("{key} is still stored"));
        }
    }
}

/// A graph in several additions: layers of nodes, each of which needs some of the earlier ones.
fn additions(graph: GraphId, key: &str, failing: bool, rng: &mut ChaCha8Rng) -> Vec<GraphRequest> {
    let mut names: Vec<String> = Vec::new();
    let count = rng.random_range(1..5);
    let mut requests = Vec::new();
    for n in 0..count {
        let mut nodes = Vec::new();
        let mut new_names: Vec<String> = Vec::new();
        for m in 0..rng.random_range(1..9) {
            let fails = failing && rng.random_bool(0.06);
            let name = format!("{}{n}-{m}", if fails { "bad" } else { "n" });
            let kind = match rng.random_range(0..14) {
                0..5 => "map",
                5..9 => "fold",
                9 => "wide",
                10 => "crew",
                11 => "near",
                12 => "apart",
                _ => "cache",
            };
            let wide = matches!(kind, "wide" | "crew" | "near" | "apart") && !fails;
            let shards = if wide { rng.random_range(1..4) } else { 1 };
            let earlier_names: Vec<&String> = names.iter().chain(&new_names).collect();
            let count = rng.random_range(0..earlier_names.len().min(3) + 1);
            let needs: BTreeSet<String> =
                earlier_names.choose_multiple(rng, count).map(|name| (*name).clone()).collect();
            nodes.push(json!({"name": name, "kind": kind, "needs": needs, "shards": shards}));
            // An actor has no result that others could need.
            new_names.extend((kind != "cache").then_some(name));
        }
        names.append(&mut new_names);
        let add: AddNodes =
            serde_json::from_value(json!({"key": key, "addition": format!("add-{n}"),
            "kinds": kinds(), "nodes": nodes, "seal": n + 1 == count}))
            .expect("an addition");
        requests.push(GraphRequest::Add(graph, add));
    }
    requests
}

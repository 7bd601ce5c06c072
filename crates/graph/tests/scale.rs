//! Large graphs in the graph crate alone. Measures decision time, memory and state service changes per node, and
//! compares launching by longest remaining path with launching in the order of addition. Small in CI; to measure, run
//! `OATLOOM_NODES=100000 cargo test --release -p oatloom-graph --test scale -- --nocapture --test-threads 1`.

use oatloom_graph::graph_table::{
    Effect, GraphTable, JobLaunch, LaunchOrder, RequestContext, RequestOutcome,
};
use oatloom_graph::ids::GraphId;
use oatloom_graph::limits::Limits;
use oatloom_graph::model::{NodeState, RecordSpace};
use oatloom_graph::records::{GraphPart, GraphPartEnd};
use oatloom_graph::requests::{AddNodes, CreateGraph, GraphRequest, OnFailure, OpenSession};
use oatloom_protocol::ids::{JobId, Mono, Now, Revision, Token};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Condition, JobSpec, JobStatus, Rank};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const KEY: &str = "secret-1";
/// Maximum changes in one transaction of a small state service.
const MAX_TXN_CHANGE_COUNT: usize = 16;
/// Maximum bytes of a value of a small state service.
const MAX_VALUE_BYTES: usize = 8_192;

fn configured_node_count(default: usize) -> usize {
    std::env::var("OATLOOM_NODES").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    line.split_whitespace().next().and_then(|kb| kb.parse::<usize>().ok()).unwrap_or(0) * 1024
}

/// A leader with its state service and a number of slots, each of which runs one task at a time.
struct Harness {
    table: GraphTable,
    now: u64,
    revision: u64,
    /// Jobs that wait for slots, by urgency and arrival, each with the next task to start.
    waiting: BTreeMap<(i64, u64), (Box<JobLaunch>, u32)>,
    /// Running tasks by their end time in milliseconds.
    running: BTreeSet<(u64, JobId, u32)>,
    /// Open jobs, each with the number of tasks that have not ended.
    open_jobs: BTreeMap<JobId, (GraphPart, u32)>,
    slots: u32,
    order: LaunchOrder,
    arrival_count: u64,
    /// Number of changes written, including one per launched job.
    change_count: usize,
    launch_count: usize,
    decision_time: Duration,
    run_s: fn(&JobSpec, u32) -> f64,
}

fn accept_all(_: &JobSpec) -> Option<HttpReply> {
    None
}

impl Harness {
    fn new(order: LaunchOrder, slots: u32) -> Self {
        let limits = Limits {
            nodes: 1_000_000,
            team_nodes: 1_000_000,
            graph_nodes: 1_000_000,
            bytes: 1 << 40,
            team_bytes: 1 << 40,
            additions_per_s: 10_000.0,
            team_additions_per_s: 10_000.0,
            ..Limits::default()
        };
        let record_space =
            RecordSpace { value_bytes: MAX_VALUE_BYTES, value_count: MAX_TXN_CHANGE_COUNT - 2 };
        let mut table = GraphTable::new(limits, Token(1), record_space, Mono(0)).with_order(order);
        let now = Now { mono: Mono(0), wall_ms: 0 };
        table.load_session_count(Revision(0));
        table.load_rows(Vec::new(), false, now);
        table.load_rows(Vec::new(), false, now);
        assert!(table.is_ready());
        let mut harness = Self {
            table,
            now: 0,
            revision: 1,
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
            open_jobs: BTreeMap::new(),
            slots,
            order,
            arrival_count: 0,
            change_count: 0,
            launch_count: 0,
            decision_time: Duration::ZERO,
            run_s: |spec, _| spec.estimate_s,
        };
        let open_session = OpenSession {
            session: "s".into(),
            key: KEY.into(),
            owner: "red".into(),
            ttl_s: 86_400.0,
        };
        assert_eq!(harness.send_request(GraphRequest::Open(open_session)), 201);
        harness
    }

    fn now(&self) -> Now {
        Now { mono: Mono(self.now), wall_ms: self.now }
    }

    /// Sends a request, and commits a transaction if the reply is deferred. Returns the HTTP status.
    fn send_request(&mut self, request: GraphRequest) -> u16 {
        let context = RequestContext { find_rejection: &accept_all, team_exists: &|_| true };
        match self.table.handle_request(self.now(), 7, &request, &context) {
            RequestOutcome::Reply(reply) => reply.status,
            RequestOutcome::Deferred => {
                self.write_one();
                let effects = self.table.take_effects();
                let status = effects.iter().find_map(|effect| match effect {
                    Effect::Reply { reply, .. } => Some(reply.status),
                    _ => None,
                });
                self.apply_effects(effects);
                status.expect("an answer")
            }
            other => panic!("{other:?}"),
        }
    }

    fn create_graph(&mut self, number: usize, due_s: Option<f64>) -> GraphId {
        let graph = GraphId::parse(&format!("graph-{number}")).expect("an id");
        let create = CreateGraph {
            graph,
            session: "s".into(),
            key: KEY.into(),
            jobclass: "c".into(),
            rank: Rank::Standard,
            due_s,
            on_failure: OnFailure::CancelRest,
            detached: false,
        };
        assert_eq!(self.send_request(GraphRequest::Create(create)), 201);
        graph
    }

    /// Adds nodes: name, kind, inputs, shards.
    fn add(&mut self, graph: GraphId, nodes: &[(String, &str, Vec<String>, u32)], seal: bool) {
        // An addition must fit into one transaction.
        let count = nodes.len().div_ceil(300).max(1);
        for (n, part) in nodes.chunks(300).enumerate() {
            let rows: Vec<Value> = part
                .iter()
                .map(|(name, kind, needs, shards)| {
                    json!({"name": name, "kind": kind, "needs": needs, "shards": shards})
                })
                .collect();
            let add: AddNodes =
                serde_json::from_value(json!({"key": KEY, "addition": format!("a-{n}"),
                "nodes": rows, "seal": seal && n + 1 == count, "kinds": {
                    "short": {"num_cpus": 1.0, "expectS": 2.0},
                    "mid": {"num_cpus": 1.0, "expectS": 7.0},
                    "long": {"num_cpus": 1.0, "expectS": 30.0}}}))
                .expect("an addition");
            assert_eq!(self.send_request(GraphRequest::Add(graph, add)), 200);
        }
    }

    /// Commits the next transaction. Returns false if there is none.
    fn write_one(&mut self) -> bool {
        let fence = Condition { key: "lead".into(), version: Revision(1) };
        let encode_job = |launch: &JobLaunch| {
            let id = launch.id();
            (
                format!("live/{id}"),
                format!("over/{id}"),
                json!({"s": launch.spec, "g": launch.part}),
            )
        };
        let started_at = Instant::now();
        let next = self.table.next_txn(fence, MAX_TXN_CHANGE_COUNT, self.now(), &encode_job);
        self.decision_time += started_at.elapsed();
        let Some((txn, written_items)) = next else { return false };
        assert!(
            txn.changes.len() <= MAX_TXN_CHANGE_COUNT
                && txn.conditions.len() <= MAX_TXN_CHANGE_COUNT * 4,
            "limits"
        );
        self.change_count += txn.changes.len();
        self.revision += 1;
        let started_at = Instant::now();
        self.table.committed(&written_items, Revision(self.revision));
        self.decision_time += started_at.elapsed();
        true
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::Admit(launch, _) = effect {
                self.launch_count += 1;
                self.arrival_count += 1;
                // Like placement, ranks jobs by their latest start time that meets the deadline.
                let left = launch.spec.deadline_s.unwrap_or(600.0) - launch.spec.estimate_s;
                let urgency = match self.order {
                    LaunchOrder::LongestPath => self.now as i64 + (left * 1000.0) as i64,
                    LaunchOrder::Added => 0,
                };
                let open_job = (launch.part.clone(), launch.spec.tasks);
                self.open_jobs.insert(launch.id().clone(), open_job);
                self.waiting.insert((urgency, self.arrival_count), (launch, 0));
            }
        }
    }

    /// Runs until nothing is left to do, and returns the simulated time in seconds.
    fn run(&mut self) -> f64 {
        loop {
            loop {
                let has_written = self.write_one();
                let effects = self.table.take_effects();
                self.apply_effects(effects);
                if !has_written {
                    break;
                }
            }
            while self.slots > 0
                && let Some(mut first) = self.waiting.first_entry()
            {
                let (launch, next) = first.get_mut();
                let run = ((self.run_s)(&launch.spec, *next) * 1000.0) as u64;
                self.running.insert((self.now + run, launch.id().clone(), *next));
                self.slots -= 1;
                *next += 1;
                if *next == launch.spec.tasks {
                    first.remove();
                }
            }
            let Some((until, id, task)) = self.running.pop_first() else { break };
            self.now = until;
            self.slots += 1;
            let Some((part, left)) = self.open_jobs.get_mut(&id) else { continue };
            *left -= 1;
            let (is_last, part) = (*left == 0, part.clone());
            let started_at = Instant::now();
            if is_last {
                self.open_jobs.remove(&id);
                let end = GraphPartEnd {
                    nodes: part.nodes,
                    done: Vec::new(),
                    failure_counts: Vec::new(),
                };
                self.table.on_job_finished(&id, &end, JobStatus::Done, None);
            } else {
                self.table.on_tasks_done(&id, &[task]);
            }
            self.table.tick(Mono(self.now));
            self.decision_time += started_at.elapsed();
        }
        self.now as f64 / 1000.0
    }
}

fn report(label: &str, nodes: usize, harness: &Harness, makespan: f64) {
    let extra_changes = (harness.change_count - harness.launch_count) as f64 / nodes as f64;
    println!(
        "{label}: {nodes} nodes, {} jobs, {:.2} us of decisions per node, {extra_changes:.4} changes per node in addition to jobs, {makespan:.0} s",
        harness.launch_count,
        harness.decision_time.as_secs_f64() * 1e6 / nodes as f64,
    );
    assert!(extra_changes <= 0.2, "{label}: {extra_changes}");
}

fn name(n: usize) -> String {
    format!("n{n:06}")
}

/// One graph of many nodes, each with up to three inputs among the 400 nodes before it.
#[test]
fn one_large_graph() {
    let count = configured_node_count(10_000);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let kinds = ["short", "mid", "long"];
    let nodes: Vec<_> = (0..count)
        .map(|n| {
            let from = n.saturating_sub(400);
            let inputs = if n < 50 { 0 } else { rng.random_range(0..4) };
            let needs: Vec<String> = (0..inputs).map(|_| name(rng.random_range(from..n))).collect();
            (name(n), *kinds.choose(&mut rng).unwrap_or(&"mid"), needs, 1)
        })
        .collect();
    let mut harness = Harness::new(LaunchOrder::LongestPath, 200);
    let graph = harness.create_graph(1, None);
    let before = resident_bytes();
    harness.add(graph, &nodes, true);
    let bytes = resident_bytes().saturating_sub(before) / count;
    println!(
        "a waiting node takes about {bytes} bytes, including the names and records that the test holds"
    );
    assert_eq!(harness.table.count(graph, NodeState::Done), 0);
    let makespan = harness.run();
    report("layers", count, &harness, makespan);
    assert_eq!(
        harness.table.final_record(graph).map(|final_record| final_record.counts[0] as usize),
        Some(count)
    );
}

#[test]
fn a_chain_and_a_fan_out() {
    let chain: Vec<_> = (0..1_000)
        .map(|n: usize| (name(n), "short", n.checked_sub(1).map(name).into_iter().collect(), 1))
        .collect();
    let mut harness = Harness::new(LaunchOrder::LongestPath, 10);
    let graph = harness.create_graph(1, None);
    harness.add(graph, &chain, true);
    let makespan = harness.run();
    report("chain", 1_000, &harness, makespan);
    assert_eq!(makespan, 2_000.0);
    let mut fan = vec![(name(0), "short", Vec::new(), 1)];
    fan.extend((1..10_001).map(|n| (name(n), "mid", vec![name(0)], 1)));
    // The number of inputs of a node is limited, so the fan-in takes two steps.
    let inputs_of = |n: usize| -> Vec<String> { (1 + n * 250..=(n + 1) * 250).map(name).collect() };
    fan.extend((0..40).map(|n| (name(20_000 + n), "short", inputs_of(n), 1)));
    fan.push((name(30_000), "short", (0..40).map(|n| name(20_000 + n)).collect(), 1));
    let mut harness = Harness::new(LaunchOrder::LongestPath, 1_000);
    let graph = harness.create_graph(1, None);
    for part in fan.chunks(10_001) {
        harness.table.tick(Mono(harness.now));
        let last = part.len() < 10_001;
        if last {
            // Nodes with many inputs are added in small additions.
            for (n, nodes) in part.chunks(4).enumerate() {
                let rows: Vec<Value> = nodes
                    .iter()
                    .map(|(name, kind, needs, _)| json!({"name": name, "kind": kind, "needs": needs}))
                    .collect();
                let seal = (n + 1) * 4 >= part.len();
                let add: AddNodes = serde_json::from_value(
                    json!({"key": KEY, "addition": format!("g-{n}"), "nodes": rows, "seal": seal}),
                )
                .expect("an addition");
                assert_eq!(harness.send_request(GraphRequest::Add(graph, add)), 200);
            }
        } else {
            harness.add(graph, part, false);
        }
    }
    let makespan = harness.run();
    report("fan-out and back in", 10_042, &harness, makespan);
    assert!(harness.launch_count < 100, "{}", harness.launch_count);
}

#[test]
fn many_small_graphs() {
    let graphs = configured_node_count(10_000) / 100;
    let mut harness = Harness::new(LaunchOrder::LongestPath, 500);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for n in 0..graphs {
        harness.now += 10;
        let graph = harness.create_graph(n, None);
        let nodes: Vec<_> = (0..100)
            .map(|n| {
                let inputs = if n < 5 { 0 } else { rng.random_range(0..3) };
                let needs: Vec<String> =
                    (0..inputs).map(|_| name(rng.random_range(0..n))).collect();
                (name(n), "mid", needs, 1)
            })
            .collect();
        harness.add(graph, &nodes, true);
    }
    let makespan = harness.run();
    report("small graphs", graphs * 100, &harness, makespan);
    assert_eq!(harness.table.sizes().0, 0);
}

/// Launching by longest remaining path must finish earlier than launching in the order of addition (first in, first
/// out), with estimates that are off by up to half. The longest path alone is printed as the lower bound.
#[test]
fn longest_path_first_beats_insertion_order() {
    let (mut sums, mut longest) = ([0.0; 2], 0.0);
    for seed in 0..10u64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Many single nodes are added before a few long chains, which determine when the graph ends.
        let mut nodes = Vec::new();
        for n in 0..400 {
            nodes.push((name(n), "mid", Vec::new(), 1));
        }
        for chain in 0..6 {
            for step in 0..12 {
                let index = 1_000 + chain * 100 + step;
                let needs = if step == 0 { Vec::new() } else { vec![name(index - 1)] };
                let kind = if rng.random_bool(0.5) { "long" } else { "mid" };
                nodes.push((name(index), kind, needs, 1));
            }
        }
        for (index, order) in [LaunchOrder::LongestPath, LaunchOrder::Added].into_iter().enumerate()
        {
            let mut harness = Harness::new(order, 16);
            harness.run_s = |spec, task| {
                let digits: u64 = spec.id.as_str()[4..].bytes().map(u64::from).sum();
                spec.estimate_s * (0.5 + ((digits + u64::from(task)) * 7_919 % 100) as f64 / 100.0)
            };
            let graph = harness.create_graph(1, None);
            harness.add(graph, &nodes, true);
            harness.now += 1_000;
            if index == 0 {
                harness.table.tick(Mono(1_000));
                longest += harness.table.graph(graph).map_or(0.0, |open_graph| open_graph.path_s);
            }
            sums[index] += harness.run();
        }
    }
    println!(
        "longest path {:.0} s; launched by longest path {:.0} s, first in, first out {:.0} s (means of 10 graphs)",
        longest / 10.0,
        sums[0] / 10.0,
        sums[1] / 10.0
    );
    assert!(sums[0] < sums[1], "{sums:?}");
}

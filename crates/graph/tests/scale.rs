//! Large graphs in the core alone: what a node costs in decisions, memory and changes of the state service, and what the
//! order by longest remaining paths is worth against the order in which nodes were added. Small in CI;
//! `OATLOOM_NODES=100000 cargo test --release -p oatloom-graph --test scale -- --nocapture --test-threads 1` measures.

use oatloom_graph::desk::{Around, Desk, Effect, Launch, LaunchOrder, Verdict};
use oatloom_graph::ids::GraphId;
use oatloom_graph::limits::Limits;
use oatloom_graph::model::{NodeState, Room};
use oatloom_graph::records::{Part, PartEnd};
use oatloom_graph::requests::{AddNodes, Ask, CreateGraph, OnFailure, OpenSession};
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
/// Changes in one transaction, and bytes of a value, of a small state service.
const OPS: usize = 16;
const VALUE: usize = 8_192;

fn size(default: usize) -> usize {
    std::env::var("OATLOOM_NODES").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Memory of this process, in bytes.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    line.split_whitespace().next().and_then(|kb| kb.parse::<usize>().ok()).unwrap_or(0) * 1024
}

/// A leader with its state service and so many slots, on each of which a task runs.
struct Harness {
    desk: Desk,
    now: u64,
    revision: u64,
    /// Jobs that wait for slots: by urgency, or as they came.
    waiting: BTreeMap<(i64, u64), (Box<Launch>, u32)>,
    /// When running tasks end.
    running: BTreeSet<(u64, JobId, u32)>,
    /// Jobs, and how many of their tasks have still to end.
    open: BTreeMap<JobId, (Part, u32)>,
    slots: u32,
    order: LaunchOrder,
    came: u64,
    /// Changes written, and jobs among them.
    changes: usize,
    launches: usize,
    decided: Duration,
    run_s: fn(&JobSpec, u32) -> f64,
}

fn fits(_: &JobSpec) -> Option<HttpReply> {
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
        let room = Room { value: VALUE, values: OPS - 2 };
        let mut desk = Desk::new(limits, Token(1), room, Mono(0)).with_order(order);
        let now = Now { mono: Mono(0), wall_ms: 0 };
        desk.read_count(Revision(0));
        desk.read_rows(Vec::new(), false, now);
        desk.read_rows(Vec::new(), false, now);
        assert!(desk.ready());
        let mut harness = Self {
            desk,
            now: 0,
            revision: 1,
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
            open: BTreeMap::new(),
            slots,
            order,
            came: 0,
            changes: 0,
            launches: 0,
            decided: Duration::ZERO,
            run_s: |spec, _| spec.estimate_s,
        };
        let open = OpenSession {
            session: "s".into(),
            key: KEY.into(),
            owner: "red".into(),
            ttl_s: 86_400.0,
        };
        assert_eq!(harness.ask(Ask::Open(open)), 201);
        harness
    }

    fn now(&self) -> Now {
        Now { mono: Mono(self.now), wall_ms: self.now }
    }

    /// Asks, and writes until there is an answer.
    fn ask(&mut self, ask: Ask) -> u16 {
        let context = Around { unfit: &fits, team: &|_| true };
        match self.desk.ask(self.now(), 7, &ask, &context) {
            Verdict::Reply(reply) => reply.status,
            Verdict::Later => {
                self.write_one();
                let effects = self.desk.take_effects();
                let status = effects.iter().find_map(|effect| match effect {
                    Effect::Reply { reply, .. } => Some(reply.status),
                    _ => None,
                });
                self.take(effects);
                status.expect("an answer")
            }
            other => panic!("{other:?}"),
        }
    }

    fn begin(&mut self, number: usize, due_s: Option<f64>) -> GraphId {
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
        assert_eq!(self.ask(Ask::Create(create)), 201);
        graph
    }

    /// Adds nodes: name, kind, inputs, shards.
    fn add(&mut self, graph: GraphId, nodes: &[(String, &str, Vec<String>, u32)], seal: bool) {
        // An addition has to fit into one transaction.
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
            assert_eq!(self.ask(Ask::Add(graph, add)), 200);
        }
    }

    /// Writes the next transaction, if there is one.
    fn write_one(&mut self) -> bool {
        let fence = Condition { key: "lead".into(), version: Revision(1) };
        let live = |launch: &Launch| {
            let id = launch.id();
            (
                format!("live/{id}"),
                format!("over/{id}"),
                json!({"s": launch.spec, "g": launch.part}),
            )
        };
        let began = Instant::now();
        let next = self.desk.next_txn(fence, OPS, self.now(), &live);
        self.decided += began.elapsed();
        let Some((txn, wrote)) = next else { return false };
        assert!(txn.changes.len() <= OPS && txn.conditions.len() <= OPS * 4, "limits");
        self.changes += txn.changes.len();
        self.revision += 1;
        let began = Instant::now();
        self.desk.committed(&wrote, Revision(self.revision));
        self.decided += began.elapsed();
        true
    }

    fn take(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::Admit(launch, _) = effect {
                self.launches += 1;
                self.came += 1;
                // As placement has it: by when a job must start to be in time.
                let left = launch.spec.deadline_s.unwrap_or(600.0) - launch.spec.estimate_s;
                let urgency = match self.order {
                    LaunchOrder::LongestPath => self.now as i64 + (left * 1000.0) as i64,
                    LaunchOrder::Added => 0,
                };
                let open = (launch.part.clone(), launch.spec.tasks);
                self.open.insert(launch.id().clone(), open);
                self.waiting.insert((urgency, self.came), (launch, 0));
            }
        }
    }

    /// Lets everything run to its end; how long that took.
    fn run(&mut self) -> f64 {
        loop {
            loop {
                let wrote = self.write_one();
                let effects = self.desk.take_effects();
                self.take(effects);
                if !wrote {
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
            let Some((part, left)) = self.open.get_mut(&id) else { continue };
            *left -= 1;
            let (over, part) = (*left == 0, part.clone());
            let began = Instant::now();
            if over {
                self.open.remove(&id);
                let end = PartEnd { nodes: part.nodes, done: Vec::new(), charged: Vec::new() };
                self.desk.job_over(&id, &end, JobStatus::Done, None);
            } else {
                self.desk.tasks_done(&id, &[task]);
            }
            self.desk.tick(Mono(self.now));
            self.decided += began.elapsed();
        }
        self.now as f64 / 1000.0
    }
}

fn report(what: &str, nodes: usize, harness: &Harness, makespan: f64) {
    let extra = (harness.changes - harness.launches) as f64 / nodes as f64;
    println!(
        "{what}: {nodes} nodes, {} jobs, {:.2} us a node to decide, {extra:.4} changes a node beyond its jobs, {makespan:.0} s",
        harness.launches,
        harness.decided.as_secs_f64() * 1e6 / nodes as f64,
    );
    assert!(extra <= 0.2, "{what}: {extra}");
}

fn name(n: usize) -> String {
    format!("n{n:06}")
}

/// One graph of many nodes in layers, a chain, and a fan-out and back in.
#[test]
fn one_large_graph() {
    let count = size(10_000);
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
    let graph = harness.begin(1, None);
    let before = resident();
    harness.add(graph, &nodes, true);
    let bytes = resident().saturating_sub(before) / count;
    println!(
        "a waiting node takes some {bytes} bytes, the names of the test and its records included"
    );
    assert_eq!(harness.desk.count(graph, NodeState::Done), 0);
    let makespan = harness.run();
    report("layers", count, &harness, makespan);
    assert_eq!(harness.desk.over(graph).map(|over| over.counts[0] as usize), Some(count));
}

#[test]
fn a_chain_and_a_fan_out() {
    let chain: Vec<_> = (0..1_000)
        .map(|n: usize| (name(n), "short", n.checked_sub(1).map(name).into_iter().collect(), 1))
        .collect();
    let mut harness = Harness::new(LaunchOrder::LongestPath, 10);
    let graph = harness.begin(1, None);
    harness.add(graph, &chain, true);
    let makespan = harness.run();
    report("chain", 1_000, &harness, makespan);
    assert_eq!(makespan, 2_000.0);
    let mut fan = vec![(name(0), "short", Vec::new(), 1)];
    fan.extend((1..10_001).map(|n| (name(n), "mid", vec![name(0)], 1)));
    // A node gathers a bounded number of others: in two steps.
    let gather = |n: usize| -> Vec<String> { (1 + n * 250..=(n + 1) * 250).map(name).collect() };
    fan.extend((0..40).map(|n| (name(20_000 + n), "short", gather(n), 1)));
    fan.push((name(30_000), "short", (0..40).map(|n| name(20_000 + n)).collect(), 1));
    let mut harness = Harness::new(LaunchOrder::LongestPath, 1_000);
    let graph = harness.begin(1, None);
    for part in fan.chunks(10_001) {
        harness.desk.tick(Mono(harness.now));
        let last = part.len() < 10_001;
        if last {
            // Nodes with many inputs go in small additions.
            for (n, few) in part.chunks(4).enumerate() {
                let rows: Vec<Value> = few
                    .iter()
                    .map(|(name, kind, needs, _)| json!({"name": name, "kind": kind, "needs": needs}))
                    .collect();
                let seal = (n + 1) * 4 >= part.len();
                let add: AddNodes = serde_json::from_value(
                    json!({"key": KEY, "addition": format!("g-{n}"), "nodes": rows, "seal": seal}),
                )
                .expect("an addition");
                assert_eq!(harness.ask(Ask::Add(graph, add)), 200);
            }
        } else {
            harness.add(graph, part, false);
        }
    }
    let makespan = harness.run();
    report("fan-out and back in", 10_042, &harness, makespan);
    assert!(harness.launches < 100, "{}", harness.launches);
}

#[test]
fn many_small_graphs() {
    let graphs = size(10_000) / 100;
    let mut harness = Harness::new(LaunchOrder::LongestPath, 500);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for n in 0..graphs {
        harness.now += 10;
        let graph = harness.begin(n, None);
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
    assert_eq!(harness.desk.sizes().0, 0);
}

/// What the order by longest remaining paths is worth, over the longest path alone, with estimates that are off by up to
/// half: against the order in which nodes were added, first in, first out.
#[test]
fn longest_paths_first_beats_first_in_first_out() {
    let (mut sums, mut longest) = ([0.0; 2], 0.0);
    for seed in 0..10u64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Many short chains are added before a few long ones that decide when the graph ends.
        let mut nodes = Vec::new();
        for n in 0..400 {
            nodes.push((name(n), "mid", Vec::new(), 1));
        }
        for chain in 0..6 {
            for step in 0..12 {
                let at = 1_000 + chain * 100 + step;
                let needs = if step == 0 { Vec::new() } else { vec![name(at - 1)] };
                let kind = if rng.random_bool(0.5) { "long" } else { "mid" };
                nodes.push((name(at), kind, needs, 1));
            }
        }
        for (at, order) in [LaunchOrder::LongestPath, LaunchOrder::Added].into_iter().enumerate() {
            let mut harness = Harness::new(order, 16);
            harness.run_s = |spec, task| {
                let digits: u64 = spec.id.as_str()[4..].bytes().map(u64::from).sum();
                spec.estimate_s * (0.5 + ((digits + u64::from(task)) * 7_919 % 100) as f64 / 100.0)
            };
            let graph = harness.begin(1, None);
            harness.add(graph, &nodes, true);
            harness.now += 1_000;
            if at == 0 {
                harness.desk.tick(Mono(1_000));
                longest += harness.desk.graph(graph).map_or(0.0, |live| live.path_s);
            }
            sums[at] += harness.run();
        }
    }
    println!(
        "longest path {:.0} s; longest paths first {:.0} s, first in first out {:.0} s (means of 10 graphs)",
        longest / 10.0,
        sums[0] / 10.0,
        sums[1] / 10.0
    );
    assert!(sums[0] < sums[1], "{sums:?}");
}

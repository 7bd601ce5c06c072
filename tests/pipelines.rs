//! Pipelines in seeded days: jobs of random shape that need each other, under every trouble, alone and together.
//! `OATLOOM_SEEDS=n` plays n seeds more of each.

#[allow(dead_code)]
mod world;

use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_emulator::checker::{Checker, Limit, OnMachine, Place};
use oatloom_protocol::ids::{JobId, LeaseId};
use oatloom_protocol::settings::StateFacts;
use oatloom_protocol::wire::{Change, JobSpec, JobStatus, Rank, Shape, Txn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use world::limits::{NEGLECTED_MS, Terms, site};
use world::pipelines::Draw;
use world::state::State;
use world::state::limits::StateLimits;
use world::troubles::trouble;
use world::{Fault, Upon, World, check, finished, more_days, show_log, small_array};

/// Troubles are over from then on, in milliseconds.
const CALM_MS: u64 = 180_000;
/// How long a cancellation may take in the usual settings, in milliseconds.
const CANCEL_MS: u64 = 46_000;

// --- The checks themselves ------------------------------------------------------------------------

/// A chain of three arrays of one task, `req-1` to `req-3`.
fn chain_of_three() -> Vec<JobSpec> {
    let job = |n: u32| JobSpec {
        tasks: 1,
        dependencies: (n > 1).then(|| JobId::new(&format!("req-{}", n - 1))).into_iter().collect(),
        ..small_array(&format!("req-{n}"), 2)
    };
    (1..4).map(job).collect()
}

/// The rules that are broken by what is done to a checker that knows the chain.
fn caught(act: impl Fn(&mut Checker)) -> Vec<String> {
    let mut checker = Checker::new([("blue".to_owned(), Limit::gpus(0.0))].into(), CANCEL_MS);
    chain_of_three().iter().for_each(|spec| checker.submitted(spec));
    act(&mut checker);
    let rule = |broken: &String| broken.split([' ', ':']).nth(2).unwrap_or_default().to_owned();
    checker.broken.iter().map(rule).collect()
}

fn start(checker: &mut Checker, now: u64, job: &str) {
    let on = OnMachine { job: job.into(), index: 0, host: "x".into() };
    let place = Place { flavor: "g4".into(), zone: "a".into(), spot: false };
    checker.started(now, on, place);
}

/// A question put and answered at the same moment.
fn told(checker: &mut Checker, now: u64, job: &str, said: &str) {
    checker.answered(now, now, job, 200, &format!(r#"{{"status":"{said}"}}"#), false);
}

#[test]
fn a_start_before_a_dependency_is_done_is_caught() {
    assert_eq!(caught(|c| start(c, 1, "req-2")), ["too_early"]);
    let in_order = caught(|c| {
        start(c, 1, "req-1");
        c.task_done("req-1", 0);
        start(c, 2, "req-2");
    });
    assert!(in_order.is_empty());
    assert_eq!(caught(|c| start(c, 1, "req-3")), ["too_early"], "its own dependency counts");
}

#[test]
fn a_job_that_stays_open_after_one_before_it_was_cancelled_is_caught() {
    let open_at = |job: &'static str, at: u64| {
        caught(move |c| {
            told(c, 1, "req-2", "queued");
            told(c, 1, "req-3", "queued");
            c.cancel_asked("req-1");
            told(c, 10, "req-1", "cancelled");
            told(c, at, job, "queued");
        })
    };
    for job in ["req-2", "req-3"] {
        assert!(open_at(job, 10 + CANCEL_MS).is_empty(), "{job}");
        assert_eq!(open_at(job, 11 + CANCEL_MS), ["orphaned"], "{job}");
    }
    let done = caught(|c| {
        c.cancel_asked("req-1");
        c.task_done("req-1", 0);
        told(c, 10, "req-1", "done");
        told(c, 20 + CANCEL_MS, "req-2", "queued");
    });
    assert!(done.is_empty(), "the cancellation was answered with done");
}

#[test]
fn ends_of_a_pipeline_that_do_not_agree_are_caught() {
    let unasked = caught(|c| told(c, 1, "req-2", "cancelled"));
    assert_eq!(unasked, ["went_back"], "nothing before it was cancelled");
    let cascade = caught(|c| {
        c.cancel_asked("req-1");
        told(c, 1, "req-1", "cancelled");
        told(c, 2, "req-3", "cancelled");
        told(c, 3, "req-2", "cancelled");
    });
    assert!(cascade.is_empty(), "{cascade:?}");
    let upwards = caught(|c| {
        c.cancel_asked("req-3");
        told(c, 1, "req-2", "cancelled");
    });
    assert_eq!(upwards, ["went_back"], "what others need is not cancelled with them");
    let done_after_all = caught(|c| {
        c.cancel_asked("req-1");
        told(c, 1, "req-2", "cancelled");
        c.task_done("req-1", 0);
        told(c, 2, "req-1", "done");
    });
    assert_eq!(
        done_after_all,
        ["crossed"],
        "its abort was answered with done, what follows goes on"
    );
    let after_done = caught(|c| {
        c.cancel_asked("req-1");
        c.task_done("req-1", 0);
        told(c, 1, "req-1", "done");
        told(c, 2, "req-2", "cancelled");
    });
    assert_eq!(after_done, ["went_back"]);
    for cancelled_first in [true, false] {
        let both = caught(move |c| {
            c.cancel_asked("req-1");
            c.task_done("req-2", 0);
            let ends = [("req-1", "cancelled"), ("req-2", "done")];
            let order = if cancelled_first { [0, 1] } else { [1, 0] };
            order.iter().for_each(|n| told(c, 1, ends[*n].0, ends[*n].1));
        });
        assert_eq!(both, ["crossed"], "one that needs a cancelled job is done");
    }
}

/// A world in which no controller runs, with the chain's users.
fn without_controllers() -> World {
    let teams = [Terms { name: "blue", ..Terms::default() }];
    let mut world = World::deployed(site(&teams), &mut ChaCha8Rng::seed_from_u64(1), 0);
    (0..3).for_each(|node| world.strike(Fault::NodeDown(node, 1_000_000)));
    chain_of_three().into_iter().for_each(|spec| world.add_job(spec));
    world.accept_all();
    world.quiet = true;
    world
}

fn put(key: &str, value: serde_json::Value) -> StoreOp {
    let changes = vec![Change::Put { key: key.into(), value, lease: None }];
    StoreOp::Txn(Txn { conditions: Vec::new(), changes })
}

fn assignment(job: &str, tasks: &[u32]) -> StoreOp {
    let held: Vec<_> = tasks.iter().map(|task| json!([task, 5, "i-1", 1, "a"])).collect();
    let value = json!({"d": "", "a": held, "u": ["blue", 1.0, 1.0, 1.0, 1]});
    put(&format!("asg/{job}/0000"), value)
}

/// The stricter check: an assignment or an order is too early until the ends are durable, whatever workers have done.
#[test]
fn an_assignment_before_the_ends_are_durable_is_caught() {
    let broken = |writes: &[StoreOp]| {
        let mut world = without_controllers();
        world.region.checker.task_done("req-1", 0);
        writes.iter().for_each(|op| world.write(op));
        let rules = world.region.checker.broken.clone();
        assert!(rules.iter().all(|text| text.contains(" too_early: ")), "{rules:?}");
        rules.len()
    };
    let end = |status: &str| put("over/req-1", json!({"s": status, "n": 1}));
    assert_eq!(broken(&[assignment("req-1", &[0])]), 0, "it needs nothing");
    assert_eq!(broken(&[assignment("req-2", &[0])]), 1);
    assert_eq!(broken(&[assignment("req-2", &[])]), 0, "nothing is given out");
    assert_eq!(broken(&[end("done"), assignment("req-2", &[0])]), 0);
    assert_eq!(broken(&[end("cancelled"), assignment("req-2", &[0])]), 1);
    assert_eq!(broken(&[end("done"), assignment("req-3", &[0])]), 1, "its own dependency counts");
}

/// A job that waits for others is not neglected, and one whose dependencies are durably done is.
#[test]
fn only_waiting_jobs_may_wait_beside_room() {
    let neglected = |ended: bool| {
        let mut world = without_controllers();
        world.add_machine("i-1", "a", false);
        world.region.checker.task_done("req-1", 0);
        if ended {
            world.write(&put("over/req-1", json!({"s": "done", "n": 1})));
        }
        world.play_to(2 * NEGLECTED_MS);
        let broken = &world.region.checker.broken;
        assert!(broken.iter().all(|text| text.contains(" neglected: ")), "{broken:?}");
        broken.iter().filter(|text| text.contains("req-2")).count()
    };
    assert_eq!(neglected(false), 0);
    assert_eq!(neglected(true), 1);
}

/// The stand-in for the state service keeps to its limits, and to lower ones from some moment on.
#[test]
fn the_state_service_refuses_what_is_beyond_its_limits() {
    let facts = |value_kb, txn_ops, write_rps| StateFacts {
        rps: 10.0,
        write_rps,
        value_kb,
        txn_ops,
        next: None,
    };
    let large = put("k", json!("x".repeat(3_000)));
    let wide = |n: usize| {
        let change = |n| Change::Put { key: format!("k/{n}"), value: json!(n), lease: None };
        StoreOp::Txn(Txn { conditions: Vec::new(), changes: (0..n).map(change).collect() })
    };
    let taken = |reply: &StoreReply| matches!(reply, StoreReply::Committed(_));
    let mut state = State::default();
    state.limit(StateLimits::new(&facts(8.0, 16, 25.0), 0));
    assert!(taken(&state.serve(0, &large)));
    assert!(taken(&state.serve(0, &wide(16))));
    assert!(matches!(state.serve(0, &wide(17)), StoreReply::Throttled), "the burst is used up");
    assert!(matches!(state.serve(2_000, &wide(17)), StoreReply::Malformed(_)));
    state.limit(StateLimits::new(&facts(2.0, 5, 18.0), 10_000));
    assert!(matches!(state.serve(10_000, &large), StoreReply::Malformed(_)));
    assert!(matches!(state.serve(10_000, &wide(6)), StoreReply::Malformed(_)));
    assert!(taken(&state.serve(11_000, &wide(5))));
    let StoreReply::Found(row) = state.serve(11_000, &StoreOp::Get { key: "k".into() }) else {
        panic!("what is stored stays readable");
    };
    assert_eq!(row.value, json!("x".repeat(3_000)));
    let touch = StoreOp::Touch { lease: LeaseId(9) };
    let served = (0..50).filter(|_| state.serve(20_000, &touch) != StoreReply::Throttled).count();
    assert_eq!(served, 10, "renewals count as requests");
    assert_eq!(state.refusals.too_large.len(), 3);
    assert!(state.refusals.throttled > 40);
}

/// Whoever asks again for what was refused for its size is caught.
#[test]
fn a_refused_transaction_that_is_asked_for_again_is_caught() {
    let large = put("k", json!("x".repeat(9_000)));
    let larger = put("k", json!("x".repeat(9_001)));
    let mut world = without_controllers();
    world.write(&large);
    world.write(&larger);
    assert!(world.region.checker.broken.is_empty());
    world.write(&large);
    let broken = &world.region.checker.broken;
    assert!(broken.len() == 1 && broken[0].contains(" asked_again: "), "{broken:?}");
}

// --- Drawn days -----------------------------------------------------------------------------------

/// What came about in days, so that a test can tell that it tried something.
#[derive(Debug, Default)]
struct Tried {
    accepted: usize,
    done: usize,
    cancelled: usize,
}

impl Tried {
    fn add(&mut self, world: &World) {
        self.accepted += world.accepted_dependents();
        self.done += world.told(JobStatus::Done);
        self.cancelled += world.told(JobStatus::Cancelled);
    }

    fn assert_some(&self, what: &str) {
        println!("{what}: {self:?}");
        assert!(self.accepted > 0 && self.done > 0 && self.cancelled > 0, "{what}: {self:?}");
    }
}

/// A day with pipelines and some other users' jobs, and these troubles.
fn day(seed: u64, faults: Vec<(u64, Fault)>, draw: Draw) -> World {
    show_log();
    let mut world = World::scripted(seed, faults, CALM_MS, None);
    world.restart_ms = [50, 300, 1_000, 5_000][(seed % 4) as usize];
    world.add_pipelines(seed, draw);
    world
}

/// So many troubles at overlapping times, twice a day.
fn drawn(seed: u64, troubles: u64) -> Vec<(u64, Fault)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for n in 0..2 {
        let at = 8_000 + n * 50_000 + rng.random_range(0..10_000);
        let longest = rng.random_range(1_000..45_000);
        faults.push((at, trouble(&mut rng, longest)));
        for k in 1..troubles {
            let span = rng.random_range(1_000..30_000);
            faults.push((at + rng.random_range(0..20_000) / k, trouble(&mut rng, span)));
        }
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

fn play_drawn(first: u64, count: u64, troubles: u64) {
    let mut tried = Tried::default();
    for seed in first..first + count + more_days() {
        let faults = drawn(seed, troubles);
        let mut world = day(seed, faults.clone(), Draw::default());
        world.play();
        finished(&world, &format!("seed {seed}, {faults:?}"));
        tried.add(&world);
    }
    tried.assert_some("drawn days");
}

/// Plays the one seed that `OATLOOM_SEED` names, if any, with as many troubles as `OATLOOM_TROUBLES` says.
#[test]
fn one_seed() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = number("OATLOOM_SEED") {
        play_drawn(seed, 1, number("OATLOOM_TROUBLES").unwrap_or(2));
    }
}

#[test]
fn calm_days_finish_every_pipeline() {
    let mut tried = Tried::default();
    for seed in 0..4 + more_days() {
        let mut world = day(seed, Vec::new(), Draw::default());
        world.play();
        finished(&world, &format!("seed {seed}"));
        tried.add(&world);
    }
    tried.assert_some("calm days");
}

#[test]
fn single_troubles_keep_the_rules_of_pipelines() {
    play_drawn(10_000, 6, 1);
}

#[test]
fn drawn_pairs_of_troubles_keep_the_rules_of_pipelines() {
    play_drawn(20_000, 8, 2);
}

#[test]
fn drawn_threes_of_troubles_keep_the_rules_of_pipelines() {
    play_drawn(30_000, 8, 3);
}

//! Pipelines in seeded days: jobs of random shape that need each other, under every trouble, alone and together.
//! `OATLOOM_SEEDS=n` plays n seeds more of each.

#[allow(dead_code)]
mod world;

use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_emulator::checker::{Checker, Limit, OnMachine, Place};
use oatloom_protocol::ids::{JobId, LeaseId};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::settings::StateFacts;
use oatloom_protocol::wire::{Change, JobSpec, JobStatus, Shape, Txn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use world::limits::{NEGLECTED_MS, Terms, site};
use world::looks::Look;
use world::pipelines::Draw;
use world::state::State;
use world::state::limits::StateLimits;
use world::troubles::trouble;
use world::upgrades::site_with_next_limits;
use world::{Fault, Site, Upon, World, finished, more_days, show_log, small_array};

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

/// Ends that are told before any record shows them, and refusals of what may be submitted.
#[test]
fn answers_that_no_record_bears_out_are_caught() {
    let rule = |records: &[(&str, &str)], job: &str, status: u16, said: &str| {
        let mut world = without_controllers();
        for (job, end) in records {
            world.write(&put(&format!("over/{job}"), json!({"s": end, "n": 1})));
        }
        let reply = HttpReply { status, ..HttpReply::json(200, &json!({"status": said})) };
        world.look_at_answer(job, &reply, status != 200);
        let broken = world.region.checker.broken.first().cloned().unwrap_or_default();
        broken.split([' ', ':']).nth(2).unwrap_or_default().to_owned()
    };
    assert_eq!(rule(&[], "req-3", 200, "queued"), "");
    assert_eq!(rule(&[], "req-3", 200, "cancelled"), "not_durable");
    assert_eq!(rule(&[("req-1", "cancelled")], "req-3", 200, "cancelled"), "");
    assert_eq!(rule(&[("req-1", "done")], "req-3", 200, "cancelled"), "not_durable");
    assert_eq!(rule(&[("req-1", "cancelled")], "req-3", 200, "done"), "not_durable");
    assert_eq!(rule(&[("req-3", "done")], "req-3", 200, "done"), "");
    assert_eq!(rule(&[("req-3", "cancelled")], "req-3", 200, "done"), "not_durable");
    assert_eq!(rule(&[], "req-3", 422, ""), "refused");
    assert_eq!(rule(&[], "req-1", 422, ""), "", "it names no others");
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

// --- Cascades of cancellations --------------------------------------------------------------------

/// When the job at the head of a pipeline is cancelled, in milliseconds.
const CANCELLED_AT_MS: u64 = 30_000;
/// Jobs behind the one that is cancelled, and of those, how many are a chain of their own.
const BEHIND: u32 = 40;
const CHAINED: u32 = 12;

fn job(n: u32) -> JobId {
    JobId::new(&format!("req-{:06}", 500_000 - n))
}

/// A long job, jobs that need it, and a chain behind the last of those, with nobody else about.
fn long_head(seed: u64, site: Site) -> World {
    show_log();
    let mut world = World::deployed(site, &mut ChaCha8Rng::seed_from_u64(seed), CALM_MS);
    world.add_job_at(small_array(job(0).as_str(), 300), 2_000);
    for n in 1..=BEHIND {
        let behind = if n + CHAINED > BEHIND { n - 1 } else { 0 };
        let spec = JobSpec { dependencies: vec![job(behind)], ..small_array(job(n).as_str(), 2) };
        world.add_job_at(spec, 3_000);
    }
    world
}

/// Lets time pass until the user of the first job hears that it is cancelled.
fn play_until_head_is_cancelled(world: &mut World, what: &str) {
    world.play_to(CANCELLED_AT_MS - 1_000);
    assert_eq!(world.accepted_dependents(), BEHIND as usize, "{what}: all wait by then");
    world.cancel(job(0).as_str(), CANCELLED_AT_MS);
    while !world.told_cancelled(job(0).as_str()) && world.before(CANCELLED_AT_MS + 20_000) {
        world.step();
    }
}

/// The leader that decided it ends while the jobs behind are being cancelled, at any phase of that; and once more.
#[test]
fn a_takeover_in_the_midst_of_a_cascade_orphans_nobody() {
    let mut longest = 0;
    let mut interrupted = 0;
    for seed in 0..24 + more_days() {
        let lowered = seed % 2 == 1;
        let site = if lowered { site_with_next_limits() } else { Site::default() };
        let mut world = long_head(seed, site);
        let what = format!("seed {seed}");
        if lowered {
            world.trouble([(20_000, Fault::LimitsFall)]);
        }
        play_until_head_is_cancelled(&mut world, &what);
        world.play_to(world.now + [0, 50, 150, 400, 1_000, 2_500][(seed % 6) as usize]);
        let before = world.stored("over/").len();
        interrupted += usize::from(before < 1 + BEHIND as usize);
        world.strike(Fault::Leader(match seed % 4 {
            0 => Upon::Crash,
            1 => Upon::Down(20_000),
            2 => Upon::Refused(8_000),
            _ => Upon::Parted(8_000),
        }));
        if seed % 3 == 0 {
            world.trouble([(world.now + 6_000, Fault::Leader(Upon::Crash))]);
        }
        world.play();
        finished(&world, &what);
        assert_eq!(world.told(JobStatus::Cancelled), 1 + BEHIND as usize, "{what}");
        longest = longest.max(world.region.checker.orphaned_ms);
    }
    println!(
        "{interrupted} interrupted; called open for at most {longest} ms after the cancellation"
    );
    assert!(interrupted > 4, "{interrupted}");
}

/// The state service goes away while the jobs behind are being cancelled, for longer than a cancellation may take.
#[test]
fn an_outage_in_the_midst_of_a_cascade_orphans_nobody() {
    for seed in 0..8 + more_days() {
        let mut world = long_head(seed, Site::default());
        let what = format!("seed {seed}");
        play_until_head_is_cancelled(&mut world, &what);
        world.play_to(world.now + [0, 50, 300, 900][(seed % 4) as usize]);
        world.strike(Fault::StoreOutage(60_000));
        if seed % 2 == 0 {
            world.strike(Fault::Leader(Upon::Crash));
        }
        world.play();
        finished(&world, &what);
        assert_eq!(world.told(JobStatus::Cancelled), 1 + BEHIND as usize, "{what}");
    }
}

/// Every node is asked for the jobs behind while the cancellation of their head is decided and written, slowly, and the
/// leader may end meanwhile. Guards against a cascade that is told before it follows from a record.
#[test]
fn nothing_is_told_of_a_cascade_before_its_head_is_durable() {
    let mut looks = 0;
    for seed in 0..8 + more_days() {
        let mut world = long_head(seed, Site::default());
        let head = job(0);
        world.play_to(CANCELLED_AT_MS);
        world.strike(Fault::StoreSlow(4_000, 4 + (seed % 4) as u32 * 4));
        world.look(head.as_str(), (seed % 3) as usize, Look::Abort, 0);
        for after in (20..1_500).step_by(40) {
            let behind = job(1 + after as u32 % BEHIND);
            (0..3).for_each(|node| world.look(behind.as_str(), node, Look::View, after));
        }
        if seed % 2 == 1 {
            let at = world.now + 50 + 60 * seed;
            world.trouble([(at, Fault::Leader(Upon::Crash))]);
        }
        world.play_finely_to(world.now + 3_000);
        world.play();
        finished(&world, &format!("seed {seed}"));
        looks += world.looks.sent;
    }
    assert!(looks > 500, "{looks}");
}

// --- Users who look closely -----------------------------------------------------------------------

/// What changes hands, or is lost, while users look.
fn disturbances(seed: u64) -> Vec<(u64, Fault)> {
    match seed % 6 {
        0 => vec![],
        1 => vec![(17_000, Fault::Leader(Upon::Crash)), (25_000, Fault::Leader(Upon::Crash))],
        2 => vec![(18_000, Fault::Leader(Upon::Refused(7_000)))],
        3 => vec![(6_000, Fault::AnswersLost(30_000, 400))],
        4 => vec![(16_000, Fault::Leader(Upon::Parted(9_000)))],
        _ => vec![(8_000, Fault::LateWrites(30_000, 300))],
    }
}

/// Pipelines alone, in fine steps, whose users ask every node at once whatever they hear.
fn close_day(seed: u64, draw: Draw, prepare: impl Fn(&mut World)) -> World {
    let mut world = World::scripted(seed, disturbances(seed), 70_000, None);
    world.alone();
    world.restart_ms = [50, 1_000][(seed % 2) as usize];
    world.looks.close = true;
    prepare(&mut world);
    world.add_pipelines(seed, draw);
    world.play_finely_to(50_000);
    world.play_to(190_000);
    finished(&world, &format!("seed {seed}, {:?}", disturbances(seed)));
    world
}

const CLOSE: Draw =
    Draw { count: 7, from: 2_000, to: 30_000, cancelled: 0.6, cancelled_within: 12_000, late: 0.3 };

/// Each job is submitted at any node within milliseconds of the acceptance of those that it needs at another, or of their
/// being called off. Guards against a need that is judged by one node's memory.
#[test]
fn jobs_named_within_milliseconds_of_their_acceptance_are_known() {
    let mut tried = Tried::default();
    for seed in 0..12 + more_days() {
        let world = close_day(seed, CLOSE, |_| {});
        tried.add(&world);
    }
    tried.assert_some("named at once");
}

/// Jobs are called off at the moment that they are accepted, while others that name them are being submitted.
#[test]
fn jobs_named_while_they_are_called_off_have_one_outcome() {
    let mut tried = Tried::default();
    for seed in 100..112 + more_days() {
        let world = close_day(seed, CLOSE, |world| world.looks.abort_at_once = 0.25);
        tried.add(&world);
    }
    tried.assert_some("called off at once");
}

/// Jobs of pipelines are called off when their last task ends. Either end may be told, and what follows agrees.
#[test]
fn calls_that_meet_the_end_of_the_last_task_of_a_stage_have_one_outcome() {
    let (mut tried, mut called_off) = (Tried::default(), 0);
    for seed in 200..216 + more_days() {
        let within = [60, 300, 900, 4_500][(seed % 4) as usize];
        let strike = [None, Some((4, Fault::Leader(Upon::Crash)))][(seed / 2 % 2) as usize];
        let draw = Draw { cancelled: 0.0, ..CLOSE };
        let world = close_day(seed, draw, |world| {
            world.looks.abort_at_end = (0.4, within);
            world.looks.strike_at_end = strike;
        });
        called_off += world.looks.called_off.len();
        tried.add(&world);
    }
    tried.assert_some("called off at the end");
    assert!(called_off > 40, "{called_off}");
}

/// Two jobs of one pipeline are called off at the same moment, at different nodes.
#[test]
fn two_calls_within_one_pipeline_have_one_outcome() {
    for seed in 300..312 + more_days() {
        let mut world = World::scripted(seed, disturbances(seed), 70_000, None);
        world.alone();
        world.looks.close = true;
        for n in 0..6 {
            let spec = JobSpec {
                dependencies: (n > 0).then(|| job(n - 1)).into_iter().collect(),
                ..small_array(job(n).as_str(), 4)
            };
            world.add_job_at(spec, 2_000);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        world.play_finely_to(rng.random_range(3_000..30_000));
        let first = rng.random_range(0..5);
        for (n, node) in [(first, 0), (rng.random_range(first + 1..6), 1)] {
            if world.is_accepted(job(n).as_str()) {
                let after = rng.random_range(0..40);
                world.look(job(n).as_str(), node, Look::Abort, after);
            }
        }
        world.play_finely_to(45_000);
        world.play_to(180_000);
        finished(&world, &format!("seed {seed}"));
    }
}

/// A job that was never accepted, or that never ends by itself, cannot be named.
#[test]
fn what_was_never_accepted_or_never_ends_is_refused() {
    let mut world = World::deployed(Site::default(), &mut ChaCha8Rng::seed_from_u64(5), CALM_MS);
    let service = JobSpec { shape: Shape::Service, ..small_array("req-000001", 0) };
    world.add_job_at(service, 1_000);
    world.play_to(20_000);
    assert!(world.is_accepted("req-000001"));
    for named in ["req-000009", "req-000001"] {
        let spec =
            JobSpec { dependencies: vec![JobId::new(named)], ..small_array("req-000002", 2) };
        let text = World::text_of(&spec).to_string();
        (0..3).for_each(|node| world.send_odd(node, "POST", "/v2/runs", &text));
    }
    world.play_to(40_000);
    assert_eq!(world.looks.odd.len(), 6);
    for odd in &world.looks.odd {
        let status = odd.answer.as_ref().map(|(_, reply)| reply.status);
        assert_eq!(status, Some(422), "{odd:?}");
    }
    assert!(!world.ever_written("req-000002"));
}

// --- While jobs wait ------------------------------------------------------------------------------

/// Many pipelines at nearly the same time.
const CROWD: Draw = Draw {
    count: 12,
    from: 2_000,
    to: 20_000,
    cancelled: 0.35,
    cancelled_within: 40_000,
    late: 0.1,
};

/// The state service is away while jobs wait for one whose tasks end meanwhile: nothing starts before its end is written.
#[test]
fn an_outage_while_jobs_wait_starts_nothing_early() {
    for seed in 0..10 + more_days() {
        let mut world = day(seed, Vec::new(), CROWD);
        let waiting = world.play_until_waiting(6, 100_000).expect("jobs wait");
        world.strike(Fault::StoreOutage(5_000 + (seed % 5) * 12_000));
        if seed % 3 == 0 {
            world.trouble([(waiting + 2_000, Fault::Leader(Upon::Crash))]);
        }
        world.play();
        finished(&world, &format!("seed {seed}"));
    }
}

/// A gang that needs the whole of its team's limit, and more than the cloud has machines for, waits for a long job.
#[test]
fn a_waiting_job_takes_nothing_of_its_teams_limit() {
    let teams = [
        Terms { name: "blue", ..Terms::default() },
        Terms { name: "narrow", gpus_max: 4.0, ..Terms::default() },
    ];
    for seed in 0..4 {
        let mut world =
            World::deployed(site(&teams), &mut ChaCha8Rng::seed_from_u64(seed), CALM_MS);
        world.add_job_at(small_array("req-000001", 70), 1_000);
        let wide = JobSpec {
            team: "narrow".into(),
            shape: Shape::Gang,
            tasks: 4,
            dependencies: vec![JobId::new("req-000001")],
            ..small_array("req-000002", 4)
        };
        world.add_job_at(wide, 1_000);
        for n in 3..7 {
            let id = format!("req-00000{n}");
            let spec = JobSpec { team: "narrow".into(), ..small_array(&id, 4) };
            world.add_job_at(spec, 8_000);
        }
        world.play_to(60_000);
        assert_eq!(world.told(JobStatus::Done), 4, "seed {seed}: the others are done by now");
        world.play();
        finished(&world, &format!("seed {seed}"));
    }
}

/// The last job of a pipeline, long waited for, and one that came later with as much time: one place for both.
#[test]
fn a_deadline_counts_from_the_submission() {
    let teams = [
        Terms { name: "blue", ..Terms::default() },
        Terms { name: "narrow", gpus_max: 2.0, ..Terms::default() },
    ];
    for seed in 0..6 {
        let mut world =
            World::deployed(site(&teams), &mut ChaCha8Rng::seed_from_u64(seed), CALM_MS);
        let narrow = |id: &str, seconds, deadline_s| JobSpec {
            team: "narrow".into(),
            deadline_s,
            ..small_array(id, seconds)
        };
        world.add_job_at(small_array("req-000001", 15), 1_000);
        let last = JobSpec {
            dependencies: vec![JobId::new("req-000001")],
            ..narrow("req-000002", 5, Some(110.0))
        };
        world.add_job_at(last, 2_000);
        // Takes the place until both wait for it.
        world.add_job_at(narrow("req-000003", 60, None), 2_000);
        world.add_job_at(narrow("req-000004", 5, Some(110.0)), 20_000);
        world.play();
        finished(&world, &format!("seed {seed}"));
        let ended = |id: &str| world.region.checker.over_at(id).expect("it is over");
        let (last, later) = (ended("req-000002"), ended("req-000004"));
        assert!(last < later, "seed {seed}: {last} ms and {later} ms");
    }
}

/// The limits of the state service fall while jobs wait, and while cancellations pass on.
#[test]
fn limits_that_fall_while_jobs_wait_keep_the_rules() {
    let mut tried = Tried::default();
    for seed in 0..10 + more_days() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::deployed(site_with_next_limits(), &mut rng, CALM_MS);
        world.add_users(8, &mut rng);
        world.add_pipelines(seed, CROWD);
        world.play_until_waiting(5, 100_000).expect("jobs wait");
        world.strike(Fault::LimitsFall);
        if seed % 2 == 0 {
            world.strike(Fault::Leader(Upon::Crash));
        }
        world.play();
        finished(&world, &format!("seed {seed}"));
        let refused = &world.refusals().too_large;
        assert!(refused.is_empty(), "seed {seed}: {refused:?}");
        tried.add(&world);
    }
    tried.assert_some("limits fall");
}

// --- Many jobs ------------------------------------------------------------------------------------

/// Short jobs of one task, which are accepted at up to 25 a second.
fn short(n: u32, dependencies: Vec<JobId>) -> JobSpec {
    JobSpec { tasks: 1, gpus: 0.0, cpus: 0.1, dependencies, ..small_array(job(n).as_str(), 1) }
}

/// A world of nobody but the users of these jobs, played to its end.
fn play_many(site: Site, jobs: Vec<JobSpec>) -> World {
    show_log();
    let mut world = World::deployed(site, &mut ChaCha8Rng::seed_from_u64(7), 240_000);
    world.quiet = true;
    jobs.into_iter().for_each(|spec| world.add_job_at(spec, 2_000));
    world.play();
    world
}

#[test]
fn a_job_behind_three_hundred_ends() {
    let mut jobs: Vec<JobSpec> = (1..=300).map(|n| short(n, Vec::new())).collect();
    jobs.push(short(0, (1..=300).map(job).collect()));
    let world = play_many(Site::default(), jobs);
    finished(&world, "one behind many");
    assert_eq!(world.told(JobStatus::Done), 301);
}

#[test]
fn three_hundred_jobs_behind_one_end() {
    let behind = (1..=300).map(|n| short(n, vec![job(0)]));
    let jobs = std::iter::once(short(0, Vec::new())).chain(behind).collect();
    let world = play_many(Site::default(), jobs);
    finished(&world, "many behind one");
    assert_eq!(world.told(JobStatus::Done), 301);
}

/// Cancelled at its head when all are accepted, a long chain ends in time, at five changes a transaction.
#[test]
fn a_cancelled_chain_of_a_hundred_and_fifty_ends_in_time() {
    show_log();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut world = World::deployed(site_with_next_limits(), &mut rng, 200_000);
    world.trouble([(10_000, Fault::LimitsFall)]);
    world.add_job_at(small_array(job(0).as_str(), 400), 2_000);
    for n in 1..150 {
        world.add_job_at(short(n, vec![job(n - 1)]), 2_000);
    }
    world.play_to(100_000);
    assert_eq!(world.accepted_dependents(), 149);
    world.cancel(job(0).as_str(), world.now);
    world.play();
    finished(&world, "a long chain");
    assert_eq!(world.told(JobStatus::Cancelled), 150);
}

/// Refusals for the rate that may come after the first seconds: three controllers share it without a word to each other.
const THROTTLED_MOST: u32 = 10;

/// Jobs that one names, so many that their ids are longer than a value may be from the fall of the limits on.
const NAMED: u32 = 250;

/// Guards against a submission that is refused because what it names does not fit one value.
#[test]
fn a_job_that_names_more_than_a_value_holds_ends() {
    let mut jobs: Vec<JobSpec> = (1..=NAMED).map(|n| short(n, Vec::new())).collect();
    jobs.push(short(0, (1..=NAMED).map(job).collect()));
    let world = play_many(site_with_next_limits(), jobs);
    finished(&world, "one behind many");
    assert_eq!(world.told(JobStatus::Done), NAMED as usize + 1);
}

/// More is to be written than the lowered rate allows: the pace is that rate's soon after the fall.
#[test]
fn a_rate_that_falls_is_kept_to_within_seconds() {
    for seed in 0..3 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::deployed(site_with_next_limits(), &mut rng, 240_000);
        world.quiet = true;
        (0..300).for_each(|n| world.add_job_at(short(n, Vec::new()), 2_000));
        world.play_to(10_000);
        world.strike(Fault::LimitsFall);
        world.play_to(13_000);
        let at_first = world.refusals().throttled;
        world.play();
        finished(&world, &format!("seed {seed}"));
        let later = world.refusals().throttled - at_first;
        println!("seed {seed}: {at_first} refused within 3 s of the fall, {later} later");
        assert!(later <= THROTTLED_MOST, "seed {seed}: {later}");
    }
}

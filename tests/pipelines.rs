//! Seeded days with pipelines: jobs of random shape that depend on each other, under each kind of fault, alone and combined.
//! `OATLOOM_SEEDS=n` runs n more seeds of each test.

#[allow(dead_code)]
mod world;

use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_emulator::checker::{Checker, Limit, Place, PlacedTask};
use oatloom_protocol::ids::{JobId, LeaseId};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::settings::StateFacts;
use oatloom_protocol::wire::{Change, JobSpec, JobStatus, Shape, Txn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use world::aggressive_users::UserRequest;
use world::limits::{NEGLECTED_MS, TeamLimits, site};
use world::pipelines::PipelineDistribution;
use world::random_faults::random_fault;
use world::state::State;
use world::state::limits::StateLimits;
use world::upgrades::site_with_next_limits;
use world::{Fault, LeaderFault, Site, World, assert_finished, extra_seeds, init_log, small_array};

/// All faults end by this time of the simulation.
const FAULTS_END_MS: u64 = 180_000;
/// How long a cancellation may take with the usual settings.
const MAX_CANCEL_MS: u64 = 46_000;

// --- Tests of the checker ------------------------------------------------------------------------

/// A chain of three arrays of one task, `req-1` to `req-3`.
fn chain_of_three() -> Vec<JobSpec> {
    let new_job = |n: u32| JobSpec {
        tasks: 1,
        dependencies: (n > 1).then(|| JobId::new(&format!("req-{}", n - 1))).into_iter().collect(),
        ..small_array(&format!("req-{n}"), 2)
    };
    (1..4).map(new_job).collect()
}

/// Names of the rules that `act` violates on a checker that knows the chain of jobs.
fn find_violated_rules(act: impl Fn(&mut Checker)) -> Vec<String> {
    let mut checker =
        Checker::new([("blue".to_owned(), Limit::gpus_only(0.0))].into(), MAX_CANCEL_MS);
    chain_of_three().iter().for_each(|spec| checker.record_submission(spec));
    act(&mut checker);
    let get_rule =
        |violation: &String| violation.split([' ', ':']).nth(2).unwrap_or_default().to_owned();
    checker.violations.iter().map(get_rule).collect()
}

fn start_task(checker: &mut Checker, now: u64, job: &str) {
    let task = PlacedTask { job: job.into(), index: 0, host: "x".into() };
    let place = Place { flavor: "g4".into(), zone: "a".into(), spot: false };
    checker.record_start(now, task, place);
}

/// Passes the checker the answer to a status request that was sent at the same moment.
fn answer_status(checker: &mut Checker, now: u64, job: &str, job_status: &str) {
    checker.handle_answer(now, now, job, 200, &format!(r#"{{"status":"{job_status}"}}"#), false);
}

#[test]
fn checker_reports_a_start_before_a_dependency_is_done() {
    assert_eq!(find_violated_rules(|c| start_task(c, 1, "req-2")), ["too_early"]);
    let in_order = find_violated_rules(|c| {
        start_task(c, 1, "req-1");
        c.record_task_done("req-1", 0);
        start_task(c, 2, "req-2");
    });
    assert!(in_order.is_empty());
    assert_eq!(
        find_violated_rules(|c| start_task(c, 1, "req-3")),
        ["too_early"],
        "its own dependency counts"
    );
}

#[test]
fn checker_reports_a_job_left_open_after_its_dependency_was_cancelled() {
    let violations_if_open_at = |job: &'static str, at: u64| {
        find_violated_rules(move |c| {
            answer_status(c, 1, "req-2", "queued");
            answer_status(c, 1, "req-3", "queued");
            c.record_cancel_request("req-1");
            answer_status(c, 10, "req-1", "cancelled");
            answer_status(c, at, job, "queued");
        })
    };
    for job in ["req-2", "req-3"] {
        assert!(violations_if_open_at(job, 10 + MAX_CANCEL_MS).is_empty(), "{job}");
        assert_eq!(violations_if_open_at(job, 11 + MAX_CANCEL_MS), ["orphaned"], "{job}");
    }
    let done = find_violated_rules(|c| {
        c.record_cancel_request("req-1");
        c.record_task_done("req-1", 0);
        answer_status(c, 10, "req-1", "done");
        answer_status(c, 20 + MAX_CANCEL_MS, "req-2", "queued");
    });
    assert!(done.is_empty(), "the cancellation was answered with the status done");
}

#[test]
fn checker_reports_contradictory_final_states_in_a_pipeline() {
    let not_requested = find_violated_rules(|c| answer_status(c, 1, "req-2", "cancelled"));
    assert_eq!(not_requested, ["went_back"], "none of its dependencies was cancelled");
    let cascade = find_violated_rules(|c| {
        c.record_cancel_request("req-1");
        answer_status(c, 1, "req-1", "cancelled");
        answer_status(c, 2, "req-3", "cancelled");
        answer_status(c, 3, "req-2", "cancelled");
    });
    assert!(cascade.is_empty(), "{cascade:?}");
    let dependency_cancelled = find_violated_rules(|c| {
        c.record_cancel_request("req-3");
        answer_status(c, 1, "req-2", "cancelled");
    });
    assert_eq!(
        dependency_cancelled,
        ["went_back"],
        "a dependency is not cancelled with its dependents"
    );
    let done_after_all = find_violated_rules(|c| {
        c.record_cancel_request("req-1");
        answer_status(c, 1, "req-2", "cancelled");
        c.record_task_done("req-1", 0);
        answer_status(c, 2, "req-1", "done");
    });
    assert_eq!(
        done_after_all,
        ["crossed"],
        "its cancellation was answered with the status done, so its dependents go on"
    );
    let after_done = find_violated_rules(|c| {
        c.record_cancel_request("req-1");
        c.record_task_done("req-1", 0);
        answer_status(c, 1, "req-1", "done");
        answer_status(c, 2, "req-2", "cancelled");
    });
    assert_eq!(after_done, ["went_back"]);
    for cancelled_first in [true, false] {
        let both = find_violated_rules(move |c| {
            c.record_cancel_request("req-1");
            c.record_task_done("req-2", 0);
            let ends = [("req-1", "cancelled"), ("req-2", "done")];
            let order = if cancelled_first { [0, 1] } else { [1, 0] };
            order.iter().for_each(|n| answer_status(c, 1, ends[*n].0, ends[*n].1));
        });
        assert_eq!(both, ["crossed"], "a dependent of a cancelled job is done");
    }
}

/// A world in which no controller runs, with the users of the chain's jobs.
fn world_without_controllers() -> World {
    let teams = [TeamLimits { name: "blue", ..TeamLimits::default() }];
    let mut world = World::without_users(site(&teams), &mut ChaCha8Rng::seed_from_u64(1), 0);
    (0..3).for_each(|node| world.inject_fault(Fault::NodeDown(node, 1_000_000)));
    chain_of_three().into_iter().for_each(|spec| world.add_job(spec));
    world.mark_all_accepted();
    world.stop_polling_when_final = true;
    world
}

fn put(key: &str, value: serde_json::Value) -> StoreOp {
    let changes = vec![Change::Put { key: key.into(), value, lease: None }];
    StoreOp::Txn(Txn { conditions: Vec::new(), changes })
}

fn assignment(job: &str, tasks: &[u32]) -> StoreOp {
    let assignments: Vec<_> = tasks.iter().map(|task| json!([task, 5, "i-1", 1, "a"])).collect();
    let value = json!({"d": "", "a": assignments, "u": ["blue", 1.0, 1.0, 1.0, 1]});
    put(&format!("asg/{job}/0000"), value)
}

/// An assignment or an order comes too early until the dependencies' final states are durable, even if workers have finished
/// their tasks.
#[test]
fn checker_reports_an_assignment_before_dependencies_are_durably_done() {
    let count_violations = |writes: &[StoreOp]| {
        let mut world = world_without_controllers();
        world.region.checker.record_task_done("req-1", 0);
        writes.iter().for_each(|op| world.write(op));
        let rules = world.region.checker.violations.clone();
        assert!(rules.iter().all(|text| text.contains(" too_early: ")), "{rules:?}");
        rules.len()
    };
    let put_final_record = |status: &str| put("over/req-1", json!({"s": status, "n": 1}));
    assert_eq!(count_violations(&[assignment("req-1", &[0])]), 0, "it has no dependencies");
    assert_eq!(count_violations(&[assignment("req-2", &[0])]), 1);
    assert_eq!(count_violations(&[assignment("req-2", &[])]), 0, "no task is assigned");
    assert_eq!(count_violations(&[put_final_record("done"), assignment("req-2", &[0])]), 0);
    assert_eq!(count_violations(&[put_final_record("cancelled"), assignment("req-2", &[0])]), 1);
    assert_eq!(
        count_violations(&[put_final_record("done"), assignment("req-3", &[0])]),
        1,
        "its own dependency counts"
    );
}

/// The checker detects final states that are reported before a record shows them, and refusals of jobs that may be submitted.
#[test]
fn checker_reports_answers_without_a_durable_record() {
    let find_first_violation =
        |records: &[(&str, &str)], job: &str, status: u16, job_status: &str| {
            let mut world = world_without_controllers();
            for (job, end) in records {
                world.write(&put(&format!("over/{job}"), json!({"s": end, "n": 1})));
            }
            let reply =
                HttpReply { status, ..HttpReply::json(200, &json!({"status": job_status})) };
            world.check_user_response(job, &reply, status != 200);
            let violation = world.region.checker.violations.first().cloned().unwrap_or_default();
            violation.split([' ', ':']).nth(2).unwrap_or_default().to_owned()
        };
    assert_eq!(find_first_violation(&[], "req-3", 200, "queued"), "");
    assert_eq!(find_first_violation(&[], "req-3", 200, "cancelled"), "not_durable");
    assert_eq!(find_first_violation(&[("req-1", "cancelled")], "req-3", 200, "cancelled"), "");
    assert_eq!(
        find_first_violation(&[("req-1", "done")], "req-3", 200, "cancelled"),
        "not_durable"
    );
    assert_eq!(
        find_first_violation(&[("req-1", "cancelled")], "req-3", 200, "done"),
        "not_durable"
    );
    assert_eq!(find_first_violation(&[("req-3", "done")], "req-3", 200, "done"), "");
    assert_eq!(
        find_first_violation(&[("req-3", "cancelled")], "req-3", 200, "done"),
        "not_durable"
    );
    assert_eq!(find_first_violation(&[], "req-3", 422, ""), "refused");
    assert_eq!(find_first_violation(&[], "req-1", 422, ""), "", "it has no dependencies");
}

/// A job that waits for its dependencies doesn't count as neglected; once they are durably done, it does.
#[test]
fn a_job_counts_as_neglected_only_after_its_dependencies_are_done() {
    let count_neglected = |ended: bool| {
        let mut world = world_without_controllers();
        world.add_machine("i-1", "a", false);
        world.region.checker.record_task_done("req-1", 0);
        if ended {
            world.write(&put("over/req-1", json!({"s": "done", "n": 1})));
        }
        world.run_until(2 * NEGLECTED_MS);
        let violations = &world.region.checker.violations;
        assert!(violations.iter().all(|text| text.contains(" neglected: ")), "{violations:?}");
        violations.iter().filter(|text| text.contains("req-2")).count()
    };
    assert_eq!(count_neglected(false), 0);
    assert_eq!(count_neglected(true), 1);
}

/// The simulated state service enforces its limits, also after they are lowered.
#[test]
fn simulated_state_service_enforces_its_limits() {
    let new_facts = |value_kb, txn_ops, write_rps| StateFacts {
        rps: 10.0,
        write_rps,
        value_kb,
        txn_ops,
        next: None,
    };
    let large = put("k", json!("x".repeat(3_000)));
    let txn_of = |n: usize| {
        let change = |n| Change::Put { key: format!("k/{n}"), value: json!(n), lease: None };
        StoreOp::Txn(Txn { conditions: Vec::new(), changes: (0..n).map(change).collect() })
    };
    let is_committed = |reply: &StoreReply| matches!(reply, StoreReply::Committed(_));
    let mut state = State::default();
    state.set_limits(StateLimits::new(&new_facts(8.0, 16, 25.0), 0));
    assert!(is_committed(&state.serve(0, &large)));
    assert!(is_committed(&state.serve(0, &txn_of(16))));
    assert!(matches!(state.serve(0, &txn_of(17)), StoreReply::Throttled), "the burst is used up");
    assert!(matches!(state.serve(2_000, &txn_of(17)), StoreReply::Malformed(_)));
    state.set_limits(StateLimits::new(&new_facts(2.0, 5, 18.0), 10_000));
    assert!(matches!(state.serve(10_000, &large), StoreReply::Malformed(_)));
    assert!(matches!(state.serve(10_000, &txn_of(6)), StoreReply::Malformed(_)));
    assert!(is_committed(&state.serve(11_000, &txn_of(5))));
    let StoreReply::Found(row) = state.serve(11_000, &StoreOp::Get { key: "k".into() }) else {
        panic!("stored values stay readable");
    };
    assert_eq!(row.value, json!("x".repeat(3_000)));
    let touch = StoreOp::Touch { lease: LeaseId(9) };
    let served = (0..50).filter(|_| state.serve(20_000, &touch) != StoreReply::Throttled).count();
    assert_eq!(served, 10, "renewals count as requests");
    assert_eq!(state.refusals.too_large.len(), 3);
    assert!(state.refusals.throttled > 40);
}

/// The checker detects a client that retries a transaction which was refused for its size.
#[test]
fn checker_reports_a_retry_of_a_transaction_refused_for_its_size() {
    let large = put("k", json!("x".repeat(9_000)));
    let larger = put("k", json!("x".repeat(9_001)));
    let mut world = world_without_controllers();
    world.write(&large);
    world.write(&larger);
    assert!(world.region.checker.violations.is_empty());
    world.write(&large);
    let violations = &world.region.checker.violations;
    assert!(violations.len() == 1 && violations[0].contains(" asked_again: "), "{violations:?}");
}

// --- Days with random faults ---------------------------------------------------------------------

/// How many jobs reached each state, so that a test can check that it exercised all of them.
#[derive(Debug, Default)]
struct Outcomes {
    accepted: usize,
    done: usize,
    cancelled: usize,
}

impl Outcomes {
    fn add(&mut self, world: &World) {
        self.accepted += world.accepted_dependents();
        self.done += world.count_with_known_status(JobStatus::Done);
        self.cancelled += world.count_with_known_status(JobStatus::Cancelled);
    }

    fn assert_all_occurred(&self, context: &str) {
        println!("{context}: {self:?}");
        assert!(self.accepted > 0 && self.done > 0 && self.cancelled > 0, "{context}: {self:?}");
    }
}

/// A day with pipelines and some other jobs, and these faults.
fn pipeline_day(seed: u64, faults: Vec<(u64, Fault)>, distribution: PipelineDistribution) -> World {
    init_log();
    let mut world = World::with_faults(seed, faults, FAULTS_END_MS, None);
    world.restart_ms = [50, 300, 1_000, 5_000][(seed % 4) as usize];
    world.add_pipelines(seed, distribution);
    world
}

/// Random faults at two times of the day, each time this many that overlap.
fn random_faults(seed: u64, overlapping: u64) -> Vec<(u64, Fault)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for n in 0..2 {
        let at = 8_000 + n * 50_000 + rng.random_range(0..10_000);
        let longest = rng.random_range(1_000..45_000);
        faults.push((at, random_fault(&mut rng, longest)));
        for k in 1..overlapping {
            let span = rng.random_range(1_000..30_000);
            faults.push((at + rng.random_range(0..20_000) / k, random_fault(&mut rng, span)));
        }
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

fn run_random_days(first_seed: u64, count: u64, overlapping: u64) {
    let mut outcomes = Outcomes::default();
    for seed in first_seed..first_seed + count + extra_seeds() {
        let faults = random_faults(seed, overlapping);
        let mut world = pipeline_day(seed, faults.clone(), PipelineDistribution::default());
        world.run();
        assert_finished(&world, &format!("seed {seed}, {faults:?}"));
        outcomes.add(&world);
    }
    outcomes.assert_all_occurred("days with random faults");
}

/// Runs the seed given in `OATLOOM_SEED`, if any, with `OATLOOM_TROUBLES` overlapping faults.
#[test]
fn one_seed() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = number("OATLOOM_SEED") {
        run_random_days(seed, 1, number("OATLOOM_TROUBLES").unwrap_or(2));
    }
}

#[test]
fn every_pipeline_finishes_on_days_without_faults() {
    let mut outcomes = Outcomes::default();
    for seed in 0..4 + extra_seeds() {
        let mut world = pipeline_day(seed, Vec::new(), PipelineDistribution::default());
        world.run();
        assert_finished(&world, &format!("seed {seed}"));
        outcomes.add(&world);
    }
    outcomes.assert_all_occurred("days without faults");
}

#[test]
fn pipelines_keep_their_rules_under_single_faults() {
    run_random_days(10_000, 6, 1);
}

#[test]
fn pipelines_keep_their_rules_under_random_pairs_of_faults() {
    run_random_days(20_000, 8, 2);
}

#[test]
fn pipelines_keep_their_rules_under_random_triples_of_faults() {
    run_random_days(30_000, 8, 3);
}

// --- Cascades of cancellations -------------------------------------------------------------------

/// When the first job of a pipeline is cancelled.
const CANCELLED_AT_MS: u64 = 30_000;
/// Jobs that depend on the cancelled one, and how many of them form a chain.
const DEPENDENTS: u32 = 40;
const CHAINED_DEPENDENTS: u32 = 12;

fn job_id(n: u32) -> JobId {
    JobId::new(&format!("req-{:06}", 500_000 - n))
}

/// A world with only a long job, jobs that depend on it, and a chain that depends on the last of those.
fn long_job_with_dependents(seed: u64, site: Site) -> World {
    init_log();
    let mut world = World::without_users(site, &mut ChaCha8Rng::seed_from_u64(seed), FAULTS_END_MS);
    world.add_job_at(small_array(job_id(0).as_str(), 300), 2_000);
    for n in 1..=DEPENDENTS {
        let dependency = if n + CHAINED_DEPENDENTS > DEPENDENTS { n - 1 } else { 0 };
        let spec = JobSpec {
            dependencies: vec![job_id(dependency)],
            ..small_array(job_id(n).as_str(), 2)
        };
        world.add_job_at(spec, 3_000);
    }
    world
}

/// Runs until the user of the first job is told that it is cancelled.
fn run_until_first_is_cancelled(world: &mut World, context: &str) {
    world.run_until(CANCELLED_AT_MS - 1_000);
    assert_eq!(
        world.accepted_dependents(),
        DEPENDENTS as usize,
        "{context}: all dependents wait by then"
    );
    world.cancel(job_id(0).as_str(), CANCELLED_AT_MS);
    while !world.is_known_cancelled(job_id(0).as_str())
        && world.continues_before(CANCELLED_AT_MS + 20_000)
    {
        world.step();
    }
}

/// The leader fails while the dependents are being cancelled, at various points of the cascade; in some days its successor
/// fails too. Guards against a dependent that stays open for ever.
#[test]
fn leader_failover_during_a_cascade_leaves_no_dependent_open() {
    let mut longest = 0;
    let mut interrupted = 0;
    for seed in 0..24 + extra_seeds() {
        let lowers_limits = seed % 2 == 1;
        let site = if lowers_limits { site_with_next_limits() } else { Site::default() };
        let mut world = long_job_with_dependents(seed, site);
        let context = format!("seed {seed}");
        if lowers_limits {
            world.add_faults([(20_000, Fault::LimitsLowered)]);
        }
        run_until_first_is_cancelled(&mut world, &context);
        world.run_until(world.now + [0, 50, 150, 400, 1_000, 2_500][(seed % 6) as usize]);
        let before = world.stored_rows("over/").len();
        interrupted += usize::from(before < 1 + DEPENDENTS as usize);
        world.inject_fault(Fault::Leader(match seed % 4 {
            0 => LeaderFault::Crash,
            1 => LeaderFault::Down(20_000),
            2 => LeaderFault::StoreRefuses(8_000),
            _ => LeaderFault::Isolated(8_000),
        }));
        if seed % 3 == 0 {
            world.add_faults([(world.now + 6_000, Fault::Leader(LeaderFault::Crash))]);
        }
        world.run();
        assert_finished(&world, &context);
        assert_eq!(
            world.count_with_known_status(JobStatus::Cancelled),
            1 + DEPENDENTS as usize,
            "{context}"
        );
        longest = longest.max(world.region.checker.max_orphaned_ms);
    }
    println!(
        "{interrupted} cascades interrupted; reported open for at most {longest} ms after the cancellation"
    );
    assert!(interrupted > 4, "{interrupted}");
}

/// The state service is out while the dependents are being cancelled, for longer than a cancellation may take. Guards against
/// a dependent that stays open for ever.
#[test]
fn state_service_outage_during_a_cascade_leaves_no_dependent_open() {
    for seed in 0..8 + extra_seeds() {
        let mut world = long_job_with_dependents(seed, Site::default());
        let context = format!("seed {seed}");
        run_until_first_is_cancelled(&mut world, &context);
        world.run_until(world.now + [0, 50, 300, 900][(seed % 4) as usize]);
        world.inject_fault(Fault::StoreOutage(60_000));
        if seed % 2 == 0 {
            world.inject_fault(Fault::Leader(LeaderFault::Crash));
        }
        world.run();
        assert_finished(&world, &context);
        assert_eq!(
            world.count_with_known_status(JobStatus::Cancelled),
            1 + DEPENDENTS as usize,
            "{context}"
        );
    }
}

/// Every node is asked for the dependents' states while the cancellation of the first job is decided and slowly written; the
/// leader may fail meanwhile. Guards against a cancellation that is reported before a record implies it.
#[test]
fn cascaded_cancellations_are_reported_only_after_the_first_is_durable() {
    let mut requests = 0;
    for seed in 0..8 + extra_seeds() {
        let mut world = long_job_with_dependents(seed, Site::default());
        let first = job_id(0);
        world.run_until(CANCELLED_AT_MS);
        world.inject_fault(Fault::SlowStore(4_000, 4 + (seed % 4) as u32 * 4));
        world.send_user_request(first.as_str(), (seed % 3) as usize, UserRequest::Abort, 0);
        for after in (20..1_500).step_by(40) {
            let dependent = job_id(1 + after as u32 % DEPENDENTS);
            (0..3).for_each(|node| {
                world.send_user_request(dependent.as_str(), node, UserRequest::View, after)
            });
        }
        if seed % 2 == 1 {
            let at = world.now + 50 + 60 * seed;
            world.add_faults([(at, Fault::Leader(LeaderFault::Crash))]);
        }
        world.run_finely_until(world.now + 3_000);
        world.run();
        assert_finished(&world, &format!("seed {seed}"));
        requests += world.aggressive_users.requests_sent;
    }
    assert!(requests > 500, "{requests}");
}

// --- Users who react within milliseconds ---------------------------------------------------------

/// Faults while users send requests: leaders that fail or are isolated, answers or writes that are lost or late.
fn leader_and_store_faults(seed: u64) -> Vec<(u64, Fault)> {
    match seed % 6 {
        0 => vec![],
        1 => vec![
            (17_000, Fault::Leader(LeaderFault::Crash)),
            (25_000, Fault::Leader(LeaderFault::Crash)),
        ],
        2 => vec![(18_000, Fault::Leader(LeaderFault::StoreRefuses(7_000)))],
        3 => vec![(6_000, Fault::WriteRepliesLost(30_000, 400))],
        4 => vec![(16_000, Fault::Leader(LeaderFault::Isolated(9_000)))],
        _ => vec![(8_000, Fault::DelayedWrites(30_000, 300))],
    }
}

/// A day of pipelines alone, in fine steps; users react to each answer by asking every node at once.
fn reactive_day(
    seed: u64,
    distribution: PipelineDistribution,
    prepare: impl Fn(&mut World),
) -> World {
    let mut world = World::with_faults(seed, leader_and_store_faults(seed), 70_000, None);
    world.remove_users();
    world.restart_ms = [50, 1_000][(seed % 2) as usize];
    world.aggressive_users.enabled = true;
    prepare(&mut world);
    world.add_pipelines(seed, distribution);
    world.run_finely_until(50_000);
    world.run_until(190_000);
    assert_finished(&world, &format!("seed {seed}, {:?}", leader_and_store_faults(seed)));
    world
}

const OFTEN_CANCELLED: PipelineDistribution = PipelineDistribution {
    count: 7,
    arrive_from_ms: 2_000,
    arrive_to_ms: 30_000,
    cancelled_share: 0.6,
    max_cancel_delay_ms: 12_000,
    late_share: 0.3,
};

/// Each job is submitted at any node within milliseconds of the acceptance or cancellation of its dependencies at another
/// node. Guards against dependencies that are checked against one node's memory.
#[test]
fn dependencies_accepted_milliseconds_ago_are_known_at_every_node() {
    let mut outcomes = Outcomes::default();
    for seed in 0..12 + extra_seeds() {
        let world = reactive_day(seed, OFTEN_CANCELLED, |_| {});
        outcomes.add(&world);
    }
    outcomes.assert_all_occurred("submitted with dependencies just accepted");
}

/// Jobs are cancelled as soon as they are accepted, while jobs that depend on them are being submitted.
#[test]
fn dependencies_cancelled_during_submission_have_one_outcome() {
    let mut outcomes = Outcomes::default();
    for seed in 100..112 + extra_seeds() {
        let world = reactive_day(seed, OFTEN_CANCELLED, |world| {
            world.aggressive_users.abort_on_accept_share = 0.25
        });
        outcomes.add(&world);
    }
    outcomes.assert_all_occurred("cancelled at acceptance");
}

/// Jobs of pipelines are cancelled as their last task ends. Either final state may be reported, and the dependents must agree
/// with it.
#[test]
fn cancellation_racing_with_the_last_task_of_a_stage_has_one_outcome() {
    let (mut outcomes, mut cancelled_at_end) = (Outcomes::default(), 0);
    for seed in 200..216 + extra_seeds() {
        let max_delay_ms = [60, 300, 900, 4_500][(seed % 4) as usize];
        let fault_at_end =
            [None, Some((4, Fault::Leader(LeaderFault::Crash)))][(seed / 2 % 2) as usize];
        let distribution = PipelineDistribution { cancelled_share: 0.0, ..OFTEN_CANCELLED };
        let world = reactive_day(seed, distribution, |world| {
            world.aggressive_users.abort_on_end = (0.4, max_delay_ms);
            world.aggressive_users.fault_at_end = fault_at_end;
        });
        cancelled_at_end += world.aggressive_users.cancelled_at_end.len();
        outcomes.add(&world);
    }
    outcomes.assert_all_occurred("cancelled at the end");
    assert!(cancelled_at_end > 40, "{cancelled_at_end}");
}

/// Two jobs of one pipeline are cancelled at the same moment, at different nodes.
#[test]
fn two_cancellations_in_one_pipeline_have_one_outcome() {
    for seed in 300..312 + extra_seeds() {
        let mut world = World::with_faults(seed, leader_and_store_faults(seed), 70_000, None);
        world.remove_users();
        world.aggressive_users.enabled = true;
        for n in 0..6 {
            let spec = JobSpec {
                dependencies: (n > 0).then(|| job_id(n - 1)).into_iter().collect(),
                ..small_array(job_id(n).as_str(), 4)
            };
            world.add_job_at(spec, 2_000);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        world.run_finely_until(rng.random_range(3_000..30_000));
        let first = rng.random_range(0..5);
        for (n, node) in [(first, 0), (rng.random_range(first + 1..6), 1)] {
            if world.is_accepted(job_id(n).as_str()) {
                let after = rng.random_range(0..40);
                world.send_user_request(job_id(n).as_str(), node, UserRequest::Abort, after);
            }
        }
        world.run_finely_until(45_000);
        world.run_until(180_000);
        assert_finished(&world, &format!("seed {seed}"));
    }
}

/// A job that was never accepted, or a service, which never ends by itself, is refused as a dependency.
#[test]
fn dependencies_on_unknown_jobs_and_services_are_refused() {
    let mut world =
        World::without_users(Site::default(), &mut ChaCha8Rng::seed_from_u64(5), FAULTS_END_MS);
    let service = JobSpec { shape: Shape::Service, ..small_array("req-000001", 0) };
    world.add_job_at(service, 1_000);
    world.run_until(20_000);
    assert!(world.is_accepted("req-000001"));
    for named in ["req-000009", "req-000001"] {
        let spec =
            JobSpec { dependencies: vec![JobId::new(named)], ..small_array("req-000002", 2) };
        let text = World::json_of(&spec).to_string();
        (0..3).for_each(|node| world.send_raw_request(node, "POST", "/v2/runs", &text));
    }
    world.run_until(40_000);
    assert_eq!(world.aggressive_users.raw_requests.len(), 6);
    for request in &world.aggressive_users.raw_requests {
        let status = request.reply.as_ref().map(|(_, reply)| reply.status);
        assert_eq!(status, Some(422), "{request:?}");
    }
    assert!(!world.was_ever_written("req-000002"));
}

// --- While jobs wait -----------------------------------------------------------------------------

/// Many pipelines at nearly the same time.
const SIMULTANEOUS_PIPELINES: PipelineDistribution = PipelineDistribution {
    count: 12,
    arrive_from_ms: 2_000,
    arrive_to_ms: 20_000,
    cancelled_share: 0.35,
    max_cancel_delay_ms: 40_000,
    late_share: 0.1,
};

/// The state service is out while jobs wait for one whose tasks end meanwhile. Guards against a job that starts before its
/// dependency's final state is written.
#[test]
fn an_outage_starts_no_waiting_job_early() {
    for seed in 0..10 + extra_seeds() {
        let mut world = pipeline_day(seed, Vec::new(), SIMULTANEOUS_PIPELINES);
        let waiting = world.run_until_waiting(6, 100_000).expect("jobs wait");
        world.inject_fault(Fault::StoreOutage(5_000 + (seed % 5) * 12_000));
        if seed % 3 == 0 {
            world.add_faults([(waiting + 2_000, Fault::Leader(LeaderFault::Crash))]);
        }
        world.run();
        assert_finished(&world, &format!("seed {seed}"));
    }
}

/// A gang that needs its team's whole limit, and more machines than the cloud has, waits for a long job. Guards against a
/// waiting job that blocks the team's others.
#[test]
fn a_waiting_job_uses_none_of_its_teams_limit() {
    let teams = [
        TeamLimits { name: "blue", ..TeamLimits::default() },
        TeamLimits { name: "narrow", gpus_max: 4.0, ..TeamLimits::default() },
    ];
    for seed in 0..4 {
        let mut world =
            World::without_users(site(&teams), &mut ChaCha8Rng::seed_from_u64(seed), FAULTS_END_MS);
        world.add_job_at(small_array("req-000001", 70), 1_000);
        let gang = JobSpec {
            team: "narrow".into(),
            shape: Shape::Gang,
            tasks: 4,
            dependencies: vec![JobId::new("req-000001")],
            ..small_array("req-000002", 4)
        };
        world.add_job_at(gang, 1_000);
        for n in 3..7 {
            let id = format!("req-00000{n}");
            let spec = JobSpec { team: "narrow".into(), ..small_array(&id, 4) };
            world.add_job_at(spec, 8_000);
        }
        world.run_until(60_000);
        assert_eq!(
            world.count_with_known_status(JobStatus::Done),
            4,
            "seed {seed}: the team's other jobs are done by now"
        );
        world.run();
        assert_finished(&world, &format!("seed {seed}"));
    }
}

/// The last job of a pipeline and a job submitted later with the same time to its deadline compete for one place. Guards
/// against a deadline that counts from the end of the dependencies.
#[test]
fn a_deadline_counts_from_the_submission() {
    let teams = [
        TeamLimits { name: "blue", ..TeamLimits::default() },
        TeamLimits { name: "narrow", gpus_max: 2.0, ..TeamLimits::default() },
    ];
    for seed in 0..6 {
        let mut world =
            World::without_users(site(&teams), &mut ChaCha8Rng::seed_from_u64(seed), FAULTS_END_MS);
        let narrow_job = |id: &str, seconds, deadline_s| JobSpec {
            team: "narrow".into(),
            deadline_s,
            ..small_array(id, seconds)
        };
        world.add_job_at(small_array("req-000001", 15), 1_000);
        let last = JobSpec {
            dependencies: vec![JobId::new("req-000001")],
            ..narrow_job("req-000002", 5, Some(110.0))
        };
        world.add_job_at(last, 2_000);
        // Occupies the place until both wait for it.
        world.add_job_at(narrow_job("req-000003", 60, None), 2_000);
        world.add_job_at(narrow_job("req-000004", 5, Some(110.0)), 20_000);
        world.run();
        assert_finished(&world, &format!("seed {seed}"));
        let finished_at =
            |id: &str| world.region.checker.final_status_at(id).expect("it has finished");
        let (last, later) = (finished_at("req-000002"), finished_at("req-000004"));
        assert!(last < later, "seed {seed}: {last} ms and {later} ms");
    }
}

/// The limits of the state service are lowered while jobs wait and cancellations cascade.
#[test]
fn lowered_state_service_limits_keep_the_rules_of_pipelines() {
    let mut outcomes = Outcomes::default();
    for seed in 0..10 + extra_seeds() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::without_users(site_with_next_limits(), &mut rng, FAULTS_END_MS);
        world.add_users(8, &mut rng);
        world.add_pipelines(seed, SIMULTANEOUS_PIPELINES);
        world.run_until_waiting(5, 100_000).expect("jobs wait");
        world.inject_fault(Fault::LimitsLowered);
        if seed % 2 == 0 {
            world.inject_fault(Fault::Leader(LeaderFault::Crash));
        }
        world.run();
        assert_finished(&world, &format!("seed {seed}"));
        let refused = &world.refusals().too_large;
        assert!(refused.is_empty(), "seed {seed}: {refused:?}");
        outcomes.add(&world);
    }
    outcomes.assert_all_occurred("limits are lowered");
}

// --- Many jobs -----------------------------------------------------------------------------------

/// A short job of one task; such jobs are accepted at up to 25 a second.
fn short_job(n: u32, dependencies: Vec<JobId>) -> JobSpec {
    JobSpec { tasks: 1, gpus: 0.0, cpus: 0.1, dependencies, ..small_array(job_id(n).as_str(), 1) }
}

/// Runs a world with only these jobs to its end.
fn run_jobs(site: Site, jobs: Vec<JobSpec>) -> World {
    init_log();
    let mut world = World::without_users(site, &mut ChaCha8Rng::seed_from_u64(7), 240_000);
    world.stop_polling_when_final = true;
    jobs.into_iter().for_each(|spec| world.add_job_at(spec, 2_000));
    world.run();
    world
}

#[test]
fn a_job_with_three_hundred_dependencies_finishes() {
    let mut jobs: Vec<JobSpec> = (1..=300).map(|n| short_job(n, Vec::new())).collect();
    jobs.push(short_job(0, (1..=300).map(job_id).collect()));
    let world = run_jobs(Site::default(), jobs);
    assert_finished(&world, "one job with many dependencies");
    assert_eq!(world.count_with_known_status(JobStatus::Done), 301);
}

#[test]
fn three_hundred_dependents_of_one_job_finish() {
    let dependents = (1..=300).map(|n| short_job(n, vec![job_id(0)]));
    let jobs = std::iter::once(short_job(0, Vec::new())).chain(dependents).collect();
    let world = run_jobs(Site::default(), jobs);
    assert_finished(&world, "many dependents of one job");
    assert_eq!(world.count_with_known_status(JobStatus::Done), 301);
}

/// The first job of a long chain is cancelled once all are accepted, with five changes allowed per transaction.
#[test]
fn a_cancelled_chain_of_150_jobs_ends_in_time() {
    init_log();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut world = World::without_users(site_with_next_limits(), &mut rng, 200_000);
    world.add_faults([(10_000, Fault::LimitsLowered)]);
    world.add_job_at(small_array(job_id(0).as_str(), 400), 2_000);
    for n in 1..150 {
        world.add_job_at(short_job(n, vec![job_id(n - 1)]), 2_000);
    }
    world.run_until(100_000);
    assert_eq!(world.accepted_dependents(), 149);
    world.cancel(job_id(0).as_str(), world.now);
    world.run();
    assert_finished(&world, "a long chain");
    assert_eq!(world.count_with_known_status(JobStatus::Cancelled), 150);
}

/// Requests that the state service may still throttle after the first seconds: three controllers share its rate without
/// coordination.
const MAX_LATER_THROTTLED: u32 = 10;

/// So many dependencies of one job that their ids don't fit a value under the lowered limits.
const DEPENDENCIES: u32 = 250;

/// Guards against a submission that is refused because its list of dependencies does not fit one value.
#[test]
fn a_job_with_more_dependencies_than_fit_one_value_finishes() {
    let mut jobs: Vec<JobSpec> = (1..=DEPENDENCIES).map(|n| short_job(n, Vec::new())).collect();
    jobs.push(short_job(0, (1..=DEPENDENCIES).map(job_id).collect()));
    let world = run_jobs(site_with_next_limits(), jobs);
    assert_finished(&world, "one job with many dependencies");
    assert_eq!(world.count_with_known_status(JobStatus::Done), DEPENDENCIES as usize + 1);
}

/// More is to be written than the lowered rate allows. Guards against controllers that keep exceeding it.
#[test]
fn a_lowered_rate_is_respected_within_seconds() {
    for seed in 0..3 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::without_users(site_with_next_limits(), &mut rng, 240_000);
        world.stop_polling_when_final = true;
        (0..300).for_each(|n| world.add_job_at(short_job(n, Vec::new()), 2_000));
        world.run_until(10_000);
        world.inject_fault(Fault::LimitsLowered);
        world.run_until(13_000);
        let throttled_early = world.refusals().throttled;
        world.run();
        assert_finished(&world, &format!("seed {seed}"));
        let later = world.refusals().throttled - throttled_early;
        println!(
            "seed {seed}: {throttled_early} throttled within 3 s of the lowering, {later} later"
        );
        assert!(later <= MAX_LATER_THROTTLED, "seed {seed}: {later}");
    }
}

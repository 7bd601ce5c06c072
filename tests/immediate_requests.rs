//! Status requests, repeated submissions and cancellations that users send to all nodes within milliseconds of an answer,
//! under various faults.

#[allow(dead_code)]
mod world;

use oatloom_core::api::{Request, Submission};
use oatloom_core::controller::Event;
use oatloom_core::jobs::{FinalRecord, LiveRecord};
use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_protocol::ids::JobId;
use oatloom_protocol::wire::{Change, JobSpec, JobStatus};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use world::aggressive_users::{FINE_STEP_MS, RawRequest, UserRequest};
use world::solo::Solo;
use world::{
    Fault, LeaderFault, STEP_MS, World, assert_finished, extra_seeds, init_log, small_array,
};

/// The fixed seeds and the additional ones of `OATLOOM_SEEDS`, or the one given in `OATLOOM_SEED`.
fn seeds(fixed: u64) -> Range<u64> {
    let requested = std::env::var("OATLOOM_SEED").ok().and_then(|s| s.parse().ok());
    requested.map_or(0..fixed + extra_seeds(), |seed: u64| seed..seed + 1)
}

fn job_id(n: u64) -> String {
    format!("req-{n}")
}

/// A job of one task.
fn one_task(id: &str, expect_s: u32) -> JobSpec {
    JobSpec { tasks: 1, ..small_array(id, expect_s) }
}

/// A day without jobs of other users, with faults at the given times.
fn day(seed: u64, faults: Vec<(u64, Fault)>, faults_end_ms: u64) -> World {
    init_log();
    let mut world = World::with_faults(seed, faults, faults_end_ms, None);
    world.remove_users();
    world
}

/// Adds jobs at regular intervals from two seconds on.
fn add_jobs(world: &mut World, count: u64, every_ms: u64, spec: impl Fn(u64) -> JobSpec) {
    for n in 0..count {
        world.add_job_at(spec(n), 2_000 + n * every_ms);
    }
}

/// Users of these jobs ask for their state, or submit them at other nodes too, while the first submission is still in
/// progress.
fn request_early(
    world: &mut World,
    seed: u64,
    count: u64,
    every_ms: u64,
    spec: impl Fn(u64) -> JobSpec,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for n in 0..count {
        world.run_finely_until(2_000 + n * every_ms);
        world.region.checker.record_submission(&spec(n));
        for node in 0..3 {
            let request =
                if rng.random_bool(0.5) { UserRequest::Submit } else { UserRequest::View };
            let after = rng.random_range(0..60);
            world.send_user_request(&job_id(n), node, request, after);
        }
    }
}

/// Faults while users send requests: changes of leadership, or a slow state service.
fn leader_faults(seed: u64) -> Vec<(u64, Fault)> {
    match seed % 6 {
        0 => vec![],
        1 => vec![
            (17_000, Fault::Leader(LeaderFault::Crash)),
            (25_000, Fault::Leader(LeaderFault::Crash)),
        ],
        2 => vec![(18_000, Fault::Leader(LeaderFault::StoreRefuses(7_000)))],
        3 => vec![(20_000, Fault::LeaderPaused(6_000))],
        4 => vec![(16_000, Fault::Leader(LeaderFault::Isolated(9_000)))],
        _ => vec![(16_000, Fault::SlowStore(15_000, 8))],
    }
}

/// Users ask all nodes and submit again within milliseconds of each acceptance, final state and confirmed cancellation; some
/// cancel a job as soon as it is accepted. Guards against a node that answers from its memory with an older state than another
/// node has reported.
#[test]
fn immediate_requests_get_no_older_state() {
    let (mut accepted, mut done, mut cancelled) = (0, 0, 0);
    for seed in seeds(12) {
        let mut world = day(seed, leader_faults(seed), 40_000);
        world.restart_ms = [50, 1_000][seed as usize % 2];
        (world.aggressive_users.enabled, world.aggressive_users.abort_on_accept_share) =
            (true, 0.3);
        add_jobs(&mut world, 16, 1_800, |n| one_task(&job_id(n), 1 + n as u32 % 4));
        world.cancel_share(0.25, 10_000, 38_000);
        request_early(&mut world, seed, 16, 1_800, |n| one_task(&job_id(n), 1 + n as u32 % 4));
        world.run_finely_until(45_000);
        world.run_until(150_000);
        assert_finished(&world, &format!("seed {seed}"));
        accepted += world.aggressive_users.accepted;
        done += world.aggressive_users.done;
        cancelled += world.aggressive_users.cancelled;
        assert!(
            world.aggressive_users.requests_sent > 600,
            "seed {seed}: {} requests",
            world.aggressive_users.requests_sent
        );
    }
    println!(
        "immediate requests for {accepted} accepted, {done} done and {cancelled} cancelled jobs"
    );
    assert!(accepted > 150 && done > 60 && cancelled > 40, "{accepted}, {done}, {cancelled}");
}

/// Transactions are committed at once but their answers are lost, while every node reads what they wrote. Guards against a
/// controller that takes a transaction without an answer for not committed.
#[test]
fn lost_answers_of_writes_that_others_read_keep_the_rules() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in seeds(10) {
        let share = [200, 500, 800][seed as usize % 3];
        let mut faults = vec![(6_000, Fault::WriteRepliesLost(30_000, share))];
        faults.extend(leader_faults(seed));
        let mut world = day(seed, faults, 50_000);
        (world.aggressive_users.enabled, world.aggressive_users.abort_on_accept_share) =
            (true, 0.2);
        add_jobs(&mut world, 14, 2_000, |n| one_task(&job_id(n), 1 + n as u32 % 4));
        world.cancel_share(0.25, 10_000, 38_000);
        request_early(&mut world, seed, 14, 2_000, |n| one_task(&job_id(n), 1 + n as u32 % 4));
        world.run_finely_until(50_000);
        world.run_until(160_000);
        assert_finished(&world, &format!("seed {seed}, {share} per mille of the answers lost"));
        done += world.count_with_known_status(JobStatus::Done);
        cancelled += world.count_with_known_status(JobStatus::Cancelled);
    }
    println!("{done} done, {cancelled} cancelled");
    assert!(done > 50 && cancelled > 30, "{done}, {cancelled}");
}

/// A job is cancelled, queried and submitted again at any node, the leader, a follower or the next leader, while the report of
/// its last task's end is in transit. Either final state may be reported, but it must not change afterwards.
#[test]
fn cancellation_racing_with_the_last_task_has_one_outcome() {
    let (mut raced, mut as_done, mut as_cancelled) = (0, 0, 0);
    for seed in seeds(12) {
        let fault_at_end = match seed % 4 {
            0 | 1 => None,
            2 => Some((4, Fault::Leader(LeaderFault::Crash))),
            _ => Some((4, Fault::Leader(LeaderFault::StoreRefuses(5_000)))),
        };
        let mut world = day(seed, Vec::new(), 60_000);
        world.restart_ms = [50, 300, 1_000, 5_000][seed as usize % 4];
        world.aggressive_users.enabled = seed % 2 == 0;
        world.aggressive_users.abort_on_end = (0.8, [60, 300, 900, 4_500][(seed / 4) as usize % 4]);
        world.aggressive_users.fault_at_end = fault_at_end;
        add_jobs(&mut world, 16, 1_500, |n| match n % 3 {
            0 => small_array(&job_id(n), 1 + n as u32 % 5),
            _ => one_task(&job_id(n), 1 + n as u32 % 5),
        });
        world.run_finely_until(50_000);
        world.run_until(130_000);
        assert_finished(&world, &format!("seed {seed}"));
        for id in world.aggressive_users.cancelled_at_end.clone() {
            raced += 1;
            match world.region.checker.final_status(&id) {
                Some(JobStatus::Done) => as_done += 1,
                Some(JobStatus::Cancelled) => as_cancelled += 1,
                other => panic!("seed {seed}: {id} ended as {other:?}"),
            }
        }
    }
    println!(
        "{raced} cancellations raced with the last task: {as_done} jobs were done, {as_cancelled} cancelled"
    );
    assert!(raced > 70 && as_done > 20 && as_cancelled > 5, "{raced}, {as_done}, {as_cancelled}");
}

/// A random fault of the controllers or the state service that lasts about `span` milliseconds.
fn random_fault(rng: &mut ChaCha8Rng, span: u64) -> Fault {
    let node = rng.random_range(0..3);
    match rng.random_range(0..14) {
        0 => Fault::WriteRepliesLost(span, rng.random_range(200..1_000)),
        1 => Fault::DelayedWrites(span, 300),
        2 => Fault::Leader(LeaderFault::Crash),
        3 => Fault::Leader(LeaderFault::StoreRefuses(span)),
        4 => Fault::Leader(LeaderFault::Isolated(span)),
        5 => Fault::Leader(LeaderFault::Partitioned(span)),
        6 => Fault::LeaderPaused(span / 2),
        7 => Fault::StoreOutage(span),
        8 => Fault::SlowStore(span, rng.random_range(3..25)),
        9 => Fault::StoreRestart,
        10 => Fault::PeersPartitioned(node, (node + 1) % 3, span),
        11 => Fault::NodeFrozen(node, span / 2),
        12 => Fault::CrashAll,
        _ => Fault::StoreRepliesLost(span / 2),
    }
}

/// Random pairs of faults while users send requests after each answer, and cancel jobs at their acceptance, at their end and in
/// between.
#[test]
fn immediate_requests_get_no_older_state_under_random_faults() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in seeds(8) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for n in 0..3 {
            let at = 10_000 + n * 18_000 + rng.random_range(0..5_000);
            for _ in 0..2 {
                let span = rng.random_range(500..14_000);
                faults.push((at + rng.random_range(0..6_000), random_fault(&mut rng, span)));
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        let context = format!("seed {seed}, {faults:?}");
        let mut world = day(seed, faults, 80_000);
        world.restart_ms = [50, 300, 1_000, 5_000][rng.random_range(0..4)];
        (world.aggressive_users.enabled, world.aggressive_users.abort_on_accept_share) =
            (true, 0.15);
        world.aggressive_users.abort_on_end = (0.4, rng.random_range(50..3_000));
        add_jobs(&mut world, 30, 1_700, |n| match n % 3 {
            0 => small_array(&job_id(n), 1 + n as u32 % 7),
            _ => one_task(&job_id(n), 1 + n as u32 % 7),
        });
        world.cancel_share(0.2, 10_000, 70_000);
        world.run_finely_until(75_000);
        world.run_until(190_000);
        assert_finished(&world, &context);
        done += world.count_with_known_status(JobStatus::Done);
        cancelled += world.count_with_known_status(JobStatus::Cancelled);
    }
    println!("{done} done, {cancelled} cancelled");
    assert!(done > 60 && cancelled > 40, "{done}, {cancelled}");
}

/// The last task of a job ends just as the leader is isolated from the state service and its peers: it decides that the job
/// is done but gets no answer to its write. The job is cancelled through the next leader, and the former one reconnects.
#[test]
fn cancellation_through_the_next_leader_as_the_former_finishes_the_job_has_one_outcome() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in seeds(24) {
        let mut world = day(seed, Vec::new(), 60_000);
        world.aggressive_users.enabled = true;
        add_jobs(&mut world, 8, 200, |n| one_task(&job_id(n), 20));
        world.step_ms = FINE_STEP_MS;
        while world.now < 50_000 && !(0..8).any(|n| world.region.checker.is_done(&job_id(n), 0)) {
            world.step();
        }
        let (isolated_at, former) = (world.now, world.leader().expect("a node leads"));
        world.inject_fault(Fault::Leader(LeaderFault::Isolated(9_000 + seed * 150)));
        for n in 0..8 {
            for after in (3_500..9_000).step_by(250) {
                world.send_user_request(
                    &job_id(n),
                    (former + 1 + n as usize % 2) % 3,
                    UserRequest::Abort,
                    after,
                );
            }
        }
        world.run_finely_until(isolated_at + 6_000);
        // The next leader cannot inform the former one either.
        let next = world.leader().filter(|next| *next != former).expect("another leads");
        world.inject_fault(Fault::PeersPartitioned(former, next, 14_000));
        world.run_finely_until(isolated_at + 18_000);
        world.run_until(130_000);
        assert_finished(&world, &format!("seed {seed}"));
        done += world.count_with_known_status(JobStatus::Done);
        cancelled += world.count_with_known_status(JobStatus::Cancelled);
    }
    println!("{done} done, {cancelled} cancelled through the next leader");
    assert!(cancelled > 20, "{done}, {cancelled}");
}

/// Running jobs are cancelled just as the state service begins to refuse the leader; a second later it is out for all nodes,
/// for longer than a cancellation may take.
#[test]
fn jobs_cancelled_as_the_leader_loses_the_state_service_end_cancelled() {
    let (mut ran, mut confirmed) = (0, 0);
    for seed in seeds(12) {
        let mut world = day(seed, Vec::new(), 115_000);
        world.aggressive_users.enabled = true;
        add_jobs(&mut world, 10, 300, |n| small_array(&job_id(n), 300));
        let at = 30_000;
        world.run_until(at - 500);
        world.run_finely_until(at);
        let on_machines = (0..10).filter(|n| world.runs_on_machine(&job_id(*n))).count();
        ran += on_machines;
        // From a little before the refusal to a little after it, and into the outage.
        let phase = seed * 130 % 1_600;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for n in 0..10 {
            for node in 0..3 {
                let after = rng.random_range(phase..phase + 60);
                world.send_user_request(&job_id(n), node, UserRequest::Abort, after);
            }
        }
        world.run_finely_until(at + 300);
        world.inject_fault(Fault::Leader(LeaderFault::StoreRefuses(14_000)));
        world.run_finely_until(at + 1_300);
        let confirmed_before = world.count_with_known_status(JobStatus::Cancelled);
        world.inject_fault(Fault::StoreOutage(71_000));
        world.run_finely_until(at + 3_000);
        world.run_until(at + 71_000);
        confirmed += confirmed_before;
        world.run_until(240_000);
        assert_finished(&world, &format!("seed {seed}, phase {phase} ms"));
        assert_eq!(
            world.count_with_known_status(JobStatus::Cancelled),
            10,
            "seed {seed}: all were cancelled"
        );
    }
    println!(
        "{ran} jobs were running when they were cancelled, {confirmed} cancellations were confirmed before the outage"
    );
    assert!(ran > 60 && confirmed > 5, "{ran}, {confirmed}");
}

/// Jobs are cancelled in the seconds in which leadership passes to another node, or returns to the same one.
#[test]
fn jobs_cancelled_while_leadership_changes_end_cancelled() {
    let (mut ran, mut changed) = (0, 0);
    for seed in seeds(16) {
        let mut world = day(seed, Vec::new(), 60_000);
        world.restart_ms = [50, 300, 1_000, 5_000][seed as usize / 4 % 4];
        world.aggressive_users.enabled = true;
        add_jobs(&mut world, 12, 300, |n| match n % 2 {
            0 => small_array(&job_id(n), 200),
            _ => one_task(&job_id(n), 200),
        });
        let at = 30_000;
        world.run_until(at - 2_000);
        ran += (0..12).filter(|n| world.runs_on_machine(&job_id(*n))).count();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for n in 0..12 {
            let first = rng.random_range(1_500..7_500);
            for again in 0..3 {
                let after = first + again * rng.random_range(1..400);
                let node = rng.random_range(0..3);
                world.send_user_request(&job_id(n), node, UserRequest::Abort, after);
            }
        }
        world.run_finely_until(at);
        let before = world.leader();
        world.inject_fault(match seed % 4 {
            0 => Fault::Leader(LeaderFault::Crash),
            1 => Fault::Leader(LeaderFault::StoreRefuses(6_000)),
            2 => Fault::LeaderPaused(6_500),
            _ => Fault::CrashAll,
        });
        let mut after = before;
        while world.continues_before(at + 9_000) {
            world.run_finely_until(world.now + 500);
            after = world.leader().filter(|_| after == before).or(after);
        }
        changed += usize::from(after != before);
        world.run_until(140_000);
        assert_finished(&world, &format!("seed {seed}"));
        assert_eq!(
            world.count_with_known_status(JobStatus::Cancelled),
            12,
            "seed {seed}: all were cancelled"
        );
    }
    println!(
        "{ran} jobs were running when they were cancelled; another node led afterwards on {changed} days"
    );
    assert!(ran > 120 && changed > 4, "{ran}, {changed}");
}

/// Jobs are cancelled within milliseconds of a task's assignment: before its start order is sent, at the same time or after it.
/// Guards against a start order that is sent after the user was told of the cancellation.
#[test]
fn jobs_cancelled_as_a_task_is_assigned_are_not_started_afterwards() {
    let (mut started_jobs, mut unstarted_jobs) = (0, 0);
    for seed in seeds(8) {
        let mut faults = leader_faults(seed);
        faults.retain(|_| seed % 2 == 1);
        let mut world = day(seed, faults, 45_000);
        world.aggressive_users.enabled = true;
        add_jobs(&mut world, 24, 1_000, |n| one_task(&job_id(n), 30));
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut placed = BTreeSet::new();
        world.step_ms = FINE_STEP_MS;
        while world.continues_before(45_000) {
            world.step();
            for row in world.stored_rows("asg/") {
                let id = row.key.split('/').nth(1).unwrap_or_default().to_owned();
                if !placed.insert(id.clone()) {
                    continue;
                }
                let max_delay_ms = [1, 20, 200, 1_500][rng.random_range(0..4)];
                for node in 0..3 {
                    let after = rng.random_range(0..max_delay_ms);
                    world.send_user_request(&id, node, UserRequest::Abort, after);
                }
            }
        }
        world.step_ms = STEP_MS;
        // Cancel the jobs that were never placed as well.
        world.cancel_share(1.0, 46_000, 50_000);
        world.run_until(130_000);
        assert_finished(&world, &format!("seed {seed}"));
        for id in placed {
            let started = world.aggressive_users.started.contains(&id);
            *(if started { &mut started_jobs } else { &mut unstarted_jobs }) += 1;
        }
    }
    println!(
        "{started_jobs} jobs were ordered to start and then cancelled, {unstarted_jobs} were not ordered to start"
    );
    assert!(started_jobs > 20 && unstarted_jobs > 20, "{started_jobs}, {unstarted_jobs}");
}

/// Four jobs of one task arrive per second, a quarter of them is cancelled, and the leader fails meanwhile.
#[test]
fn many_small_jobs_finish_across_a_leader_failover() {
    const JOBS: u64 = 480;
    for seed in seeds(1) {
        let mut world = day(seed, vec![(45_000, Fault::Leader(LeaderFault::Crash))], 100_000);
        world.stop_polling_when_final = true;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for n in 0..JOBS {
            let class = if n % 2 == 0 { "quick" } else { "slow" };
            let at = 2_000 + n * 250;
            world.add_job_at(JobSpec { class: class.into(), ..one_task(&job_id(n), 3) }, at);
            if rng.random_bool(0.25) {
                world.cancel_last(at + rng.random_range(50..8_000));
            }
        }
        world.run_until(200_000);
        assert_finished(&world, &format!("seed {seed}"));
        // Writes of the leader and the accepting nodes; graphs and usage accounting are off.
        let changes: u32 = world.store_traffic.values().map(|(_, changes)| changes).sum();
        let changes_per_job = f64::from(changes) / JOBS as f64;
        let mut classes: BTreeMap<bool, (u64, u64)> = BTreeMap::new();
        for n in 0..JOBS {
            let (_, duration_ms) =
                world.ended_after(&JobId::new(&job_id(n))).expect("every job ended");
            let (all, in_time) = classes.entry(n % 2 == 0).or_default();
            *all += 1;
            *in_time += u64::from(duration_ms < 40_000);
        }
        println!(
            "seed {seed}: {changes_per_job:.2} changes per job; ended within 40 s, by class: {classes:?}; {} cancelled",
            world.count_with_known_status(JobStatus::Cancelled)
        );
        assert!(changes_per_job < 5.5, "seed {seed}: {changes_per_job} changes per job");
        for (all, in_time) in classes.values() {
            assert!(in_time * 2 > *all, "seed {seed}: {in_time} of {all}");
        }
        assert!(world.count_with_known_status(JobStatus::Cancelled) > 40);
    }
}

/// Texts of jobs that must be refused, with the expected HTTP status.
fn invalid_jobs() -> Vec<(serde_json::Value, u16)> {
    let valid = World::json_of(&small_array("req-0", 5));
    let replace_field = |key: &str, value: serde_json::Value| {
        let mut job = valid.clone();
        job[key] = value;
        job
    };
    let mut invalid = vec![
        (replace_field("owner", json!("nobody")), 422),
        (replace_field("gpus", json!(64.0)), 422),
        (replace_field("cpus", json!(4_000.0)), 422),
        (replace_field("memoryGb", json!(1e6)), 422),
        (replace_field("flavors", json!(["no-such"])), 422),
        (replace_field("flavors", json!([])), 422),
        (replace_field("yard", json!("nowhere")), 422),
        (json!({ "owner": "red", "shape": "group", "shards": 15 }), 422),
        (replace_field("shards", json!(0)), 400),
        (replace_field("shards", json!(100_001)), 400),
        (replace_field("shards", json!(1.5)), 400),
        (replace_field("cpus", json!(-1)), 400),
        (replace_field("shape", json!("choir")), 400),
        (replace_field("rank", json!(null)), 400),
        (replace_field("gpus", json!("1")), 400),
        (replace_field("bundle", json!("i".repeat(9_000))), 400),
    ];
    // A gang that needs more than its team's limit.
    let mut gang = valid.clone();
    for (key, value) in invalid[7].0.as_object().cloned().unwrap_or_default() {
        gang[key] = value;
    }
    invalid[7].0 = gang;
    for key in ["jobclass", "owner", "shape", "rank", "shards", "cpus", "bundle", "loaners"] {
        let mut job = valid.clone();
        job.as_object_mut().expect("an object").remove(key);
        invalid.push((job, 400));
    }
    invalid
}

/// Users resubmit unfinished jobs, also with invalid texts, cancel jobs that are done, and send malformed requests and jobs that
/// can never run, to every node, while leadership changes. Guards against an invalid request that is accepted or leaves a
/// record, and against a known job that is refused when it is submitted again.
#[test]
fn invalid_requests_get_the_specified_status() {
    let mut counts: BTreeMap<u16, u32> = BTreeMap::new();
    let (mut done_aborted, mut repeated) = (0, 0);
    for seed in seeds(4) {
        let faults = match seed % 4 {
            0 => vec![],
            1 => vec![(24_000, Fault::Leader(LeaderFault::Crash))],
            2 => vec![(24_000, Fault::Leader(LeaderFault::StoreRefuses(9_000)))],
            _ => vec![(24_000, Fault::StoreOutage(6_000)), (33_000, Fault::CrashAll)],
        };
        let mut world = day(seed, faults, 50_000);
        world.restart_ms = 1_000;
        for n in 0..8 {
            // Four jobs that end soon, then four that run for long.
            let (expect_s, at) = if n < 4 { (1, 2_000) } else { (60, 16_000) };
            world.add_job_at(one_task(&job_id(n), expect_s), at + n * 200);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut sent = Vec::new();
        world.run_until(12_000);
        for round in 0..30 {
            world.run_until(12_000 + round * 1_000);
            let mut invalid: Vec<(usize, (serde_json::Value, u16))> =
                invalid_jobs().into_iter().enumerate().collect();
            invalid.shuffle(&mut rng);
            // No more lookups than followers may make in a second.
            for (n, (text, status)) in invalid.into_iter().take(8) {
                let (node, id) = (rng.random_range(0..3), format!("req-{}", 10_000 + n));
                let mut text = text;
                text["nameId"] = json!(id);
                world.send_raw_request(node, "POST", "/v2/runs", &text.to_string());
                sent.push((id, status));
            }
            for (body, status) in [("{", 400), ("[]", 400), ("{}", 400), ("", 400), ("null", 400)] {
                world.send_raw_request(rng.random_range(0..3), "POST", "/v2/runs", body);
                sent.push(("req-none".into(), status));
            }
            let node = rng.random_range(0..3);
            world.send_raw_request(node, "POST", "/v2/runs/req-10000/abort", "");
            sent.push(("req-10000".into(), 404));
            world.send_raw_request(node, "GET", "/v2/runs/req-10001", "");
            sent.push(("req-10001".into(), 404));
            for n in 0..8 {
                let node = rng.random_range(0..3);
                let known_status = world.region.checker.final_status(&job_id(n));
                let request = match (known_status, rng.random_bool(0.5)) {
                    (Some(JobStatus::Done), true) => {
                        done_aborted += 1;
                        UserRequest::Abort
                    }
                    (_, true) => UserRequest::SubmitIncomplete,
                    _ => UserRequest::Submit,
                };
                if world.is_accepted(&job_id(n)) {
                    world.send_user_request(&job_id(n), node, request, 0);
                    repeated += u32::from(known_status.is_none());
                }
            }
        }
        world.run_until(140_000);
        assert_finished(&world, &format!("seed {seed}"));
        let is_unavailable =
            |request: &&RawRequest| request.reply.as_ref().is_some_and(|(_, r)| r.status == 503);
        let unavailable = world.aggressive_users.raw_requests.iter().filter(is_unavailable).count();
        assert!(
            seed % 4 > 0 || unavailable * 20 < sent.len(),
            "seed {seed}: {unavailable} answered with 503"
        );
        for (request, (id, status)) in world.aggressive_users.raw_requests.iter().zip(&sent) {
            let (_, reply) =
                request.reply.as_ref().unwrap_or_else(|| panic!("no reply to {request:?}"));
            *counts.entry(reply.status).or_default() += 1;
            let is_expected = reply.status == *status || matches!(reply.status, 503 | 599);
            assert!(is_expected, "seed {seed}: {request:?} should get {status}");
            assert!(!world.was_ever_written(id), "seed {seed}: {id} left a record");
        }
    }
    println!(
        "{done_aborted} cancellations of done jobs, {repeated} repeated submissions, answers: {counts:?}"
    );
    assert!(done_aborted > 40 && repeated > 200, "{done_aborted}, {repeated}");
    assert!([400, 404, 422, 503].iter().all(|status| counts.contains_key(status)), "{counts:?}");
}

/// Two lookups of one job are in progress at a follower as the job ends; the one that began before the end returns last, when
/// the follower already knows the final state. Guards against a request that is never answered, or answered with the
/// older state.
#[test]
fn a_lookup_that_began_before_the_final_state_is_answered_with_it() {
    for abort in [false, true] {
        let mut solo = Solo::new();
        solo.set_other_leader();
        solo.advance(500);
        let spec = one_task("req-1", 9);
        let record = LiveRecord { spec: spec.clone(), wall_ms: 1, part: None };
        solo.write(vec![Change::put("live/req-1".into(), json!(record))]);
        // The leader does not answer, so the follower reads the job's records itself.
        let request_without_leader = |solo: &mut Solo, request| {
            let conn = solo.send_request(request);
            for (id, _) in std::mem::take(&mut solo.peer_requests) {
                solo.event(Event::PeerReply { id, reply: None });
            }
            conn
        };
        let id = JobId::new("req-1");
        solo.holds_reply = |op| matches!(op, StoreOp::Get { key } if key == "live/req-1");
        solo.execute_held = true;
        let request = if abort { Request::Abort(id.clone()) } else { Request::View(id.clone()) };
        let early_conn = request_without_leader(&mut solo, request);
        assert_eq!(solo.held.len(), 1, "the first lookup has read the job as open");
        let status = JobStatus::Cancelled;
        let end = FinalRecord { status, done: 0, failure: None, spent: None, part: None };
        let delete_live = Change::Delete { key: "live/req-1".into() };
        solo.write(vec![Change::put("over/req-1".into(), json!(end)), delete_live]);
        solo.holds_reply = |_| false;
        let late_conn = request_without_leader(&mut solo, Request::View(id));
        let reported = |solo: &Solo, conn| {
            solo.reply(conn).map(|reply| (reply.status, reply.body.contains("cancelled")))
        };
        assert_eq!(reported(&solo, late_conn), Some((200, true)));
        solo.release_held();
        assert_eq!(reported(&solo, early_conn), Some((200, true)), "abort: {abort}");
        let resubmission_conn =
            request_without_leader(&mut solo, Request::Submit(Submission::Spec(Box::new(spec))));
        assert_eq!(reported(&solo, resubmission_conn), Some((200, true)));
    }
}

/// A known job is submitted again with a text that is too long to be stored. Guards against checking the text before the id:
/// the user would take the accepted job for refused.
#[test]
fn resubmission_of_a_known_job_with_an_invalid_text_is_accepted() {
    for finished in [false, true] {
        let mut solo = Solo::new();
        solo.set_other_leader();
        solo.advance(500);
        let spec = one_task("req-1", 9);
        let status = JobStatus::Done;
        let end = FinalRecord { status, done: 1, failure: None, spent: None, part: None };
        let live = LiveRecord { spec: spec.clone(), wall_ms: 1, part: None };
        solo.write(vec![match finished {
            true => Change::put("over/req-1".into(), json!(end)),
            false => Change::put("live/req-1".into(), json!(live)),
        }]);
        let with_long_text =
            |id: &str| JobSpec { image: "i".repeat(9_000), id: JobId::new(id), ..spec.clone() };
        let mut submit = |spec: JobSpec| {
            let conn = solo.send_request(Request::Submit(Submission::Spec(Box::new(spec))));
            solo.advance(100);
            solo.reply(conn).map(|reply| reply.status)
        };
        assert_eq!(submit(with_long_text("req-1")), Some(200), "finished: {finished}");
        assert_eq!(submit(with_long_text("req-2")), Some(400));
        assert!(solo.state.rows("live/req-2").is_empty());
    }
}

/// A leader gets no answer to its write of a final state, and before it reads the record, another leader has written a
/// different one. Guards against reporting the leader's own decision, which would stay in its cache of final states and be
/// reported for ever.
#[test]
fn the_stored_final_state_is_reported() {
    let mut solo = Solo::new();
    let live = LiveRecord { spec: one_task("req-1", 9), wall_ms: 1, part: None };
    solo.write(vec![Change::put("live/req-1".into(), json!(live))]);
    solo.advance(500);
    assert!(solo.controller.valid_token(solo.clock().mono).is_some(), "it leads");
    let id = JobId::new("req-1");
    solo.holds_reply = |op| match op {
        StoreOp::Txn(txn) => txn
            .changes
            .iter()
            .any(|change| matches!(change, Change::Put { key, .. } if key == "over/req-1")),
        _ => false,
    };
    solo.send_request(Request::Abort(id.clone()));
    solo.advance(100);
    let (op, ..) = solo.held.pop().expect("its final state is being written");
    let status = JobStatus::Done;
    let end = FinalRecord { status, done: 1, failure: None, spent: None, part: None };
    let delete_live = Change::Delete { key: "live/req-1".into() };
    solo.write(vec![Change::put("over/req-1".into(), json!(end)), delete_live]);
    solo.event(Event::Store { id: op, reply: StoreReply::Lost });
    solo.advance(100);
    for request in [Request::View(id.clone()), Request::Abort(id.clone())] {
        let conn = solo.send_request(request);
        solo.advance(100);
        let reply = solo.reply(conn).expect("it is known");
        assert!(reply.status == 200 && reply.body.contains(r#""status":"done""#), "{reply:?}");
    }
}

/// A repeated submission of an accepted job is answered with 200 also while a new leader is still loading assignments: the job
/// was open when its key was read.
#[test]
fn a_repeated_submission_is_accepted_while_a_new_leader_loads() {
    let mut solo = Solo::new();
    let spec = one_task("req-1", 9);
    let live = LiveRecord { spec: spec.clone(), wall_ms: 1, part: None };
    solo.write(vec![Change::put("live/req-1".into(), json!(live))]);
    solo.holds_reply = |op| matches!(op, StoreOp::List { prefix, .. } if prefix == "asg/");
    solo.advance(3_000);
    assert!(solo.controller.holds_leader_key() && !solo.held.is_empty(), "it reads assignments");
    let conn = solo.send_request(Request::Submit(Submission::Spec(Box::new(spec))));
    solo.advance(100);
    assert_eq!(solo.reply(conn).map(|reply| reply.status), Some(200));
}

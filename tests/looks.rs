//! Users' questions, repeated submissions and cancellations, at all nodes within milliseconds of what they answer to, while
//! other troubles hold.

#[allow(dead_code)]
mod world;

use oatloom_core::api::{Request, Submission};
use oatloom_core::controller::Event;
use oatloom_core::jobs::{LiveRecord, OverRecord};
use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_protocol::ids::JobId;
use oatloom_protocol::wire::{Change, JobSpec, JobStatus};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use world::looks::{FINE_STEP_MS, Look, Odd};
use world::solo::Solo;
use world::{Fault, STEP_MS, Upon, World, finished, more_days, show_log, small_array};

/// So many fixed days and those that `OATLOOM_SEEDS` adds, or the one that `OATLOOM_SEED` names.
fn seeds(fixed: u64) -> Range<u64> {
    let named = std::env::var("OATLOOM_SEED").ok().and_then(|s| s.parse().ok());
    named.map_or(0..fixed + more_days(), |seed: u64| seed..seed + 1)
}

fn job(n: u64) -> String {
    format!("req-{n}")
}

/// A job of one task.
fn one_task(id: &str, expect_s: u32) -> JobSpec {
    JobSpec { tasks: 1, ..small_array(id, expect_s) }
}

/// A day of these jobs alone, with troubles at set times.
fn day(seed: u64, faults: Vec<(u64, Fault)>, calm_from: u64) -> World {
    show_log();
    let mut world = World::scripted(seed, faults, calm_from, None);
    world.alone();
    world
}

/// Jobs that come one after the other from two seconds on.
fn add_jobs(world: &mut World, count: u64, every_ms: u64, spec: impl Fn(u64) -> JobSpec) {
    for n in 0..count {
        world.add_job_at(spec(n), 2_000 + n * every_ms);
    }
}

/// Users of such jobs ask, or submit at other nodes too, before anything was accepted: while the first submission is under
/// way.
fn look_early(
    world: &mut World,
    seed: u64,
    count: u64,
    every_ms: u64,
    spec: impl Fn(u64) -> JobSpec,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for n in 0..count {
        world.play_finely_to(2_000 + n * every_ms);
        world.region.checker.submitted(&spec(n));
        for node in 0..3 {
            let what = if rng.random_bool(0.5) { Look::Submit } else { Look::View };
            let after = rng.random_range(0..60);
            world.look(&job(n), node, what, after);
        }
    }
}

/// What changes hands, or does not, while users look.
fn changes_of_hands(seed: u64) -> Vec<(u64, Fault)> {
    match seed % 6 {
        0 => vec![],
        1 => vec![(17_000, Fault::Leader(Upon::Crash)), (25_000, Fault::Leader(Upon::Crash))],
        2 => vec![(18_000, Fault::Leader(Upon::Refused(7_000)))],
        3 => vec![(20_000, Fault::LeaderAsleep(6_000))],
        4 => vec![(16_000, Fault::Leader(Upon::Parted(9_000)))],
        _ => vec![(16_000, Fault::StoreSlow(15_000, 8))],
    }
}

/// Users ask all nodes and submit again, within milliseconds of each acceptance, end and confirmed cancellation; some
/// cancel at the moment of the acceptance. Guards against any memory of a node's own that is older than what another has
/// said.
#[test]
fn close_looks_are_told_nothing_older() {
    let (mut accepted, mut done, mut cancelled) = (0, 0, 0);
    for seed in seeds(12) {
        let mut world = day(seed, changes_of_hands(seed), 40_000);
        world.restart_ms = [50, 1_000][seed as usize % 2];
        (world.looks.close, world.looks.abort_at_once) = (true, 0.3);
        add_jobs(&mut world, 16, 1_800, |n| one_task(&job(n), 1 + n as u32 % 4));
        world.cancel_some(0.25, 10_000, 38_000);
        look_early(&mut world, seed, 16, 1_800, |n| one_task(&job(n), 1 + n as u32 % 4));
        world.play_finely_to(45_000);
        world.play_to(150_000);
        finished(&world, &format!("seed {seed}"));
        accepted += world.looks.accepted;
        done += world.looks.done;
        cancelled += world.looks.cancelled;
        assert!(world.looks.sent > 600, "seed {seed}: {} looks", world.looks.sent);
    }
    println!("looked at once at {accepted} accepted, {done} done and {cancelled} cancelled jobs");
    assert!(accepted > 150 && done > 60 && cancelled > 40, "{accepted}, {done}, {cancelled}");
}

/// Transactions are carried out at once and their answers are lost, while every node reads what they wrote. Guards against a
/// controller that takes what it heard nothing of for not done.
#[test]
fn answers_of_writes_are_lost_while_others_read_them() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in seeds(10) {
        let share = [200, 500, 800][seed as usize % 3];
        let mut faults = vec![(6_000, Fault::AnswersLost(30_000, share))];
        faults.extend(changes_of_hands(seed));
        let mut world = day(seed, faults, 50_000);
        (world.looks.close, world.looks.abort_at_once) = (true, 0.2);
        add_jobs(&mut world, 14, 2_000, |n| one_task(&job(n), 1 + n as u32 % 4));
        world.cancel_some(0.25, 10_000, 38_000);
        look_early(&mut world, seed, 14, 2_000, |n| one_task(&job(n), 1 + n as u32 % 4));
        world.play_finely_to(50_000);
        world.play_to(160_000);
        finished(&world, &format!("seed {seed}, {share} of a thousand"));
        done += world.told(JobStatus::Done);
        cancelled += world.told(JobStatus::Cancelled);
    }
    println!("{done} done, {cancelled} cancelled");
    assert!(done > 50 && cancelled > 30, "{done}, {cancelled}");
}

/// A job is called off, asked for and submitted again at any node while its last task's end is on its way; by this leader,
/// by followers, or by the next leader. Either end may be told, and none but that one ever after.
#[test]
fn calls_that_meet_the_end_of_the_last_task_get_one_answer() {
    let (mut met, mut as_done, mut as_cancelled) = (0, 0, 0);
    for seed in seeds(12) {
        let strike = match seed % 4 {
            0 | 1 => None,
            2 => Some((4, Fault::Leader(Upon::Crash))),
            _ => Some((4, Fault::Leader(Upon::Refused(5_000)))),
        };
        let mut world = day(seed, Vec::new(), 60_000);
        world.restart_ms = [50, 300, 1_000, 5_000][seed as usize % 4];
        world.looks.close = seed % 2 == 0;
        world.looks.abort_at_end = (0.8, [60, 300, 900, 4_500][(seed / 4) as usize % 4]);
        world.looks.strike_at_end = strike;
        add_jobs(&mut world, 16, 1_500, |n| match n % 3 {
            0 => small_array(&job(n), 1 + n as u32 % 5),
            _ => one_task(&job(n), 1 + n as u32 % 5),
        });
        world.play_finely_to(50_000);
        world.play_to(130_000);
        finished(&world, &format!("seed {seed}"));
        for id in world.looks.called_off.clone() {
            met += 1;
            match world.region.checker.over(&id) {
                Some(JobStatus::Done) => as_done += 1,
                Some(JobStatus::Cancelled) => as_cancelled += 1,
                other => panic!("seed {seed}: {id} ended as {other:?}"),
            }
        }
    }
    println!("{met} met their last task's end: {as_done} were done, {as_cancelled} cancelled");
    assert!(met > 70 && as_done > 20 && as_cancelled > 5, "{met}, {as_done}, {as_cancelled}");
}

/// One trouble of the controllers or the state service, drawn, that lasts about `span`.
fn trouble(rng: &mut ChaCha8Rng, span: u64) -> Fault {
    let node = rng.random_range(0..3);
    match rng.random_range(0..14) {
        0 => Fault::AnswersLost(span, rng.random_range(200..1_000)),
        1 => Fault::LateWrites(span, 300),
        2 => Fault::Leader(Upon::Crash),
        3 => Fault::Leader(Upon::Refused(span)),
        4 => Fault::Leader(Upon::Parted(span)),
        5 => Fault::Leader(Upon::Cut(span)),
        6 => Fault::LeaderAsleep(span / 2),
        7 => Fault::StoreOutage(span),
        8 => Fault::StoreSlow(span, rng.random_range(3..25)),
        9 => Fault::StoreRestart,
        10 => Fault::PeersApart(node, (node + 1) % 3, span),
        11 => Fault::NodeFrozen(node, span / 2),
        12 => Fault::CrashAll,
        _ => Fault::StoreLoses(span / 2),
    }
}

/// Drawn pairs of troubles while users look closely and call jobs off at once, at their end, and in between.
#[test]
fn close_looks_in_drawn_troubles() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in seeds(8) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for n in 0..3 {
            let at = 10_000 + n * 18_000 + rng.random_range(0..5_000);
            for _ in 0..2 {
                let span = rng.random_range(500..14_000);
                faults.push((at + rng.random_range(0..6_000), trouble(&mut rng, span)));
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        let what = format!("seed {seed}, {faults:?}");
        let mut world = day(seed, faults, 80_000);
        world.restart_ms = [50, 300, 1_000, 5_000][rng.random_range(0..4)];
        (world.looks.close, world.looks.abort_at_once) = (true, 0.15);
        world.looks.abort_at_end = (0.4, rng.random_range(50..3_000));
        add_jobs(&mut world, 30, 1_700, |n| match n % 3 {
            0 => small_array(&job(n), 1 + n as u32 % 7),
            _ => one_task(&job(n), 1 + n as u32 % 7),
        });
        world.cancel_some(0.2, 10_000, 70_000);
        world.play_finely_to(75_000);
        world.play_to(190_000);
        finished(&world, &what);
        done += world.told(JobStatus::Done);
        cancelled += world.told(JobStatus::Cancelled);
    }
    println!("{done} done, {cancelled} cancelled");
    assert!(done > 60 && cancelled > 40, "{done}, {cancelled}");
}

/// The last task of a job ends just as its leader loses the state service and its peers: it decides the end and hears
/// nothing of its write. The job is called off through the next leader, and the former one comes back.
#[test]
fn called_off_through_the_next_leader_as_the_former_one_ends_it() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in seeds(24) {
        let mut world = day(seed, Vec::new(), 60_000);
        world.looks.close = true;
        add_jobs(&mut world, 8, 200, |n| one_task(&job(n), 20));
        world.step_ms = FINE_STEP_MS;
        while world.now < 50_000 && !(0..8).any(|n| world.region.checker.is_done(&job(n), 0)) {
            world.step();
        }
        let (at, former) = (world.now, world.leads().expect("somebody leads"));
        world.strike(Fault::Leader(Upon::Parted(9_000 + seed * 150)));
        for n in 0..8 {
            for after in (3_500..9_000).step_by(250) {
                world.look(&job(n), (former + 1 + n as usize % 2) % 3, Look::Abort, after);
            }
        }
        world.play_finely_to(at + 6_000);
        // It does not hear from the next one either that it leads.
        let next = world.leads().filter(|next| *next != former).expect("another leads");
        world.strike(Fault::PeersApart(former, next, 14_000));
        world.play_finely_to(at + 18_000);
        world.play_to(130_000);
        finished(&world, &format!("seed {seed}"));
        done += world.told(JobStatus::Done);
        cancelled += world.told(JobStatus::Cancelled);
    }
    println!("{done} done, {cancelled} cancelled through the next leader");
    assert!(cancelled > 20, "{done}, {cancelled}");
}

/// Jobs that run are called off at the very moment at which the state service refuses the leader alone; a second later it
/// is out for everybody, for longer than a cancellation may take.
#[test]
fn called_off_as_the_leader_is_refused_and_the_store_goes() {
    let (mut ran, mut told) = (0, 0);
    for seed in seeds(12) {
        let mut world = day(seed, Vec::new(), 115_000);
        world.looks.close = true;
        add_jobs(&mut world, 10, 300, |n| small_array(&job(n), 300));
        let at = 30_000;
        world.play_to(at - 500);
        world.play_finely_to(at);
        let on = (0..10).filter(|n| world.on_machine(&job(*n))).count();
        ran += on;
        // From a little before the refusal to a little after it, and into the outage.
        let phase = seed * 130 % 1_600;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for n in 0..10 {
            for node in 0..3 {
                let after = rng.random_range(phase..phase + 60);
                world.look(&job(n), node, Look::Abort, after);
            }
        }
        world.play_finely_to(at + 300);
        world.strike(Fault::Leader(Upon::Refused(14_000)));
        world.play_finely_to(at + 1_300);
        let told_before = world.told(JobStatus::Cancelled);
        world.strike(Fault::StoreOutage(71_000));
        world.play_finely_to(at + 3_000);
        world.play_to(at + 71_000);
        told += told_before;
        world.play_to(240_000);
        finished(&world, &format!("seed {seed}, phase {phase} ms"));
        assert_eq!(world.told(JobStatus::Cancelled), 10, "seed {seed}: all were called off");
    }
    println!("{ran} jobs ran as they were called off, {told} were told so before the outage");
    assert!(ran > 60 && told > 5, "{ran}, {told}");
}

/// Jobs are called off in the seconds in which the leader's work goes to another node, or back to it.
#[test]
fn called_off_while_the_lead_changes_hands() {
    let (mut ran, mut changed) = (0, 0);
    for seed in seeds(16) {
        let mut world = day(seed, Vec::new(), 60_000);
        world.restart_ms = [50, 300, 1_000, 5_000][seed as usize / 4 % 4];
        world.looks.close = true;
        add_jobs(&mut world, 12, 300, |n| match n % 2 {
            0 => small_array(&job(n), 200),
            _ => one_task(&job(n), 200),
        });
        let at = 30_000;
        world.play_to(at - 2_000);
        ran += (0..12).filter(|n| world.on_machine(&job(*n))).count();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for n in 0..12 {
            let first = rng.random_range(1_500..7_500);
            for again in 0..3 {
                let after = first + again * rng.random_range(1..400);
                let node = rng.random_range(0..3);
                world.look(&job(n), node, Look::Abort, after);
            }
        }
        world.play_finely_to(at);
        let before = world.leads();
        world.strike(match seed % 4 {
            0 => Fault::Leader(Upon::Crash),
            1 => Fault::Leader(Upon::Refused(6_000)),
            2 => Fault::LeaderAsleep(6_500),
            _ => Fault::CrashAll,
        });
        let mut after = before;
        while world.before(at + 9_000) {
            world.play_finely_to(world.now + 500);
            after = world.leads().filter(|_| after == before).or(after);
        }
        changed += usize::from(after != before);
        world.play_to(140_000);
        finished(&world, &format!("seed {seed}"));
        assert_eq!(world.told(JobStatus::Cancelled), 12, "seed {seed}: all were called off");
    }
    println!(
        "{ran} jobs ran as they were called off; another node led after {changed} of the days"
    );
    assert!(ran > 120 && changed > 4, "{ran}, {changed}");
}

/// Jobs are called off within milliseconds of the moment at which a task of theirs has its machine: before its start command
/// leaves, with it, or after it. Guards against a start that leaves once the user was told.
#[test]
fn called_off_as_a_task_gets_its_machine() {
    let (mut with, mut without) = (0, 0);
    for seed in seeds(8) {
        let mut faults = changes_of_hands(seed);
        faults.retain(|_| seed % 2 == 1);
        let mut world = day(seed, faults, 45_000);
        world.looks.close = true;
        add_jobs(&mut world, 24, 1_000, |n| one_task(&job(n), 30));
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut placed = BTreeSet::new();
        world.step_ms = FINE_STEP_MS;
        while world.before(45_000) {
            world.step();
            for row in world.stored("asg/") {
                let id = row.key.split('/').nth(1).unwrap_or_default().to_owned();
                if !placed.insert(id.clone()) {
                    continue;
                }
                let within = [1, 20, 200, 1_500][rng.random_range(0..4)];
                for node in 0..3 {
                    let after = rng.random_range(0..within);
                    world.look(&id, node, Look::Abort, after);
                }
            }
        }
        world.step_ms = STEP_MS;
        // Those that were never placed end too.
        world.cancel_some(1.0, 46_000, 50_000);
        world.play_to(130_000);
        finished(&world, &format!("seed {seed}"));
        for id in placed {
            let started = world.looks.started.contains(&id);
            *(if started { &mut with } else { &mut without }) += 1;
        }
    }
    println!("{with} were told to start and then called off, {without} were not told");
    assert!(with > 20 && without > 20, "{with}, {without}");
}

/// Jobs of one task come four a second, a quarter is called off, and the leader ends in the midst of it.
#[test]
fn many_small_jobs_across_a_takeover() {
    const JOBS: u64 = 480;
    for seed in seeds(1) {
        let mut world = day(seed, vec![(45_000, Fault::Leader(Upon::Crash))], 100_000);
        world.quiet = true;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for n in 0..JOBS {
            let class = if n % 2 == 0 { "quick" } else { "slow" };
            let at = 2_000 + n * 250;
            world.add_job_at(JobSpec { class: class.into(), ..one_task(&job(n), 3) }, at);
            if rng.random_bool(0.25) {
                world.cancel_last(at + rng.random_range(50..8_000));
            }
        }
        world.play_to(200_000);
        finished(&world, &format!("seed {seed}"));
        // What the leader and the accepting nodes wrote, graphs and the account being off.
        let changes: u32 = world.spent.values().map(|(_, changes)| changes).sum();
        let each = f64::from(changes) / JOBS as f64;
        let mut classes: BTreeMap<bool, (u64, u64)> = BTreeMap::new();
        for n in 0..JOBS {
            let (_, after) = world.ended_after(&JobId::new(&job(n))).expect("every job ended");
            let (all, soon) = classes.entry(n % 2 == 0).or_default();
            *all += 1;
            *soon += u64::from(after < 40_000);
        }
        println!(
            "seed {seed}: {each:.2} changes a job; ended within 40 s, by class: {classes:?}; {} cancelled",
            world.told(JobStatus::Cancelled)
        );
        assert!(each < 5.5, "seed {seed}: {each} changes a job");
        for (all, soon) in classes.values() {
            assert!(soon * 2 > *all, "seed {seed}: {soon} of {all}");
        }
        assert!(world.told(JobStatus::Cancelled) > 40);
    }
}

/// A job nobody may get: the fields that make it so, and the status it is to be answered with.
fn odd_jobs() -> Vec<(serde_json::Value, u16)> {
    let good = World::text_of(&small_array("req-0", 5));
    let with = |key: &str, value: serde_json::Value| {
        let mut job = good.clone();
        job[key] = value;
        job
    };
    let mut odd = vec![
        (with("owner", json!("nobody")), 422),
        (with("gpus", json!(64.0)), 422),
        (with("cpus", json!(4_000.0)), 422),
        (with("memoryGb", json!(1e6)), 422),
        (with("flavors", json!(["no-such"])), 422),
        (with("flavors", json!([])), 422),
        (with("yard", json!("nowhere")), 422),
        (json!({ "owner": "red", "shape": "group", "shards": 15 }), 422),
        (with("shards", json!(0)), 400),
        (with("shards", json!(100_001)), 400),
        (with("shards", json!(1.5)), 400),
        (with("cpus", json!(-1)), 400),
        (with("shape", json!("choir")), 400),
        (with("rank", json!(null)), 400),
        (with("gpus", json!("1")), 400),
        (with("bundle", json!("i".repeat(9_000))), 400),
    ];
    // One that needs more than its team's limit.
    let mut gang = good.clone();
    for (key, value) in odd[7].0.as_object().cloned().unwrap_or_default() {
        gang[key] = value;
    }
    odd[7].0 = gang;
    for key in ["jobclass", "owner", "shape", "rank", "shards", "cpus", "bundle", "loaners"] {
        let mut job = good.clone();
        job.as_object_mut().expect("an object").remove(key);
        odd.push((job, 400));
    }
    odd
}

/// Users repeat submissions of unfinished jobs, also spoilt ones, cancel jobs that are done, and send what is malformed or
/// can never run, to every node, while the lead changes hands. Guards against an odd request that is accepted or leaves a
/// record, and against a known job that its repeated submission makes unknown.
#[test]
fn odd_requests_get_the_protocols_answer() {
    let mut counts: BTreeMap<u16, u32> = BTreeMap::new();
    let (mut done_aborted, mut repeated) = (0, 0);
    for seed in seeds(4) {
        let faults = match seed % 4 {
            0 => vec![],
            1 => vec![(24_000, Fault::Leader(Upon::Crash))],
            2 => vec![(24_000, Fault::Leader(Upon::Refused(9_000)))],
            _ => vec![(24_000, Fault::StoreOutage(6_000)), (33_000, Fault::CrashAll)],
        };
        let mut world = day(seed, faults, 50_000);
        world.restart_ms = 1_000;
        for n in 0..8 {
            // Four that end soon, and then four that go on.
            let (expect_s, at) = if n < 4 { (1, 2_000) } else { (60, 16_000) };
            world.add_job_at(one_task(&job(n), expect_s), at + n * 200);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut sent = Vec::new();
        world.play_to(12_000);
        for round in 0..30 {
            world.play_to(12_000 + round * 1_000);
            let mut odd: Vec<(usize, (serde_json::Value, u16))> =
                odd_jobs().into_iter().enumerate().collect();
            odd.shuffle(&mut rng);
            // No more than followers may look up in a second.
            for (n, (text, status)) in odd.into_iter().take(8) {
                let (node, id) = (rng.random_range(0..3), format!("req-{}", 10_000 + n));
                let mut text = text;
                text["nameId"] = json!(id);
                world.send_odd(node, "POST", "/v2/runs", &text.to_string());
                sent.push((id, status));
            }
            for (body, status) in [("{", 400), ("[]", 400), ("{}", 400), ("", 400), ("null", 400)] {
                world.send_odd(rng.random_range(0..3), "POST", "/v2/runs", body);
                sent.push(("req-none".into(), status));
            }
            let node = rng.random_range(0..3);
            world.send_odd(node, "POST", "/v2/runs/req-10000/abort", "");
            sent.push(("req-10000".into(), 404));
            world.send_odd(node, "GET", "/v2/runs/req-10001", "");
            sent.push(("req-10001".into(), 404));
            for n in 0..8 {
                let node = rng.random_range(0..3);
                let known = world.region.checker.over(&job(n));
                let look = match (known, rng.random_bool(0.5)) {
                    (Some(JobStatus::Done), true) => {
                        done_aborted += 1;
                        Look::Abort
                    }
                    (_, true) => Look::SubmitBroken,
                    _ => Look::Submit,
                };
                if world.is_accepted(&job(n)) {
                    world.look(&job(n), node, look, 0);
                    repeated += u32::from(known.is_none());
                }
            }
        }
        world.play_to(140_000);
        finished(&world, &format!("seed {seed}"));
        let undecided = |odd: &&Odd| odd.answer.as_ref().is_some_and(|(_, r)| r.status == 503);
        let undecided = world.looks.odd.iter().filter(undecided).count();
        assert!(seed % 4 > 0 || undecided * 20 < sent.len(), "seed {seed}: {undecided} undecided");
        for (odd, (id, status)) in world.looks.odd.iter().zip(&sent) {
            let (_, reply) = odd.answer.as_ref().unwrap_or_else(|| panic!("no answer to {odd:?}"));
            *counts.entry(reply.status).or_default() += 1;
            let fits = reply.status == *status || matches!(reply.status, 503 | 599);
            assert!(fits, "seed {seed}: {odd:?} is to get {status}");
            assert!(!world.ever_written(id), "seed {seed}: {id} left a record");
        }
    }
    println!(
        "{done_aborted} calls for done jobs, {repeated} submissions repeated, answers: {counts:?}"
    );
    assert!(done_aborted > 40 && repeated > 200, "{done_aborted}, {repeated}");
    assert!([400, 404, 422, 503].iter().all(|status| counts.contains_key(status)), "{counts:?}");
}

/// Two look-ups for one job are under way at a follower as the job ends: the one that began before the end comes back last,
/// when the follower knows the end already. Guards against a call that nobody answers, and against the older state.
#[test]
fn a_lookup_that_began_before_the_end_is_answered_with_the_end() {
    for abort in [false, true] {
        let mut solo = Solo::new();
        solo.led_by_another();
        solo.pass(500);
        let spec = one_task("req-1", 9);
        let record = LiveRecord { spec: spec.clone(), wall_ms: 1, part: None };
        solo.write(vec![Change::put("live/req-1".into(), json!(record))]);
        // The leader does not answer, and what is asked is looked up here.
        let ask = |solo: &mut Solo, request| {
            let conn = solo.ask(request);
            for (id, _) in std::mem::take(&mut solo.asked) {
                solo.event(Event::Told { id, reply: None });
            }
            conn
        };
        let id = JobId::new("req-1");
        solo.hold = |op| matches!(op, StoreOp::Get { key } if key == "live/req-1");
        solo.execute_held = true;
        let early = if abort { Request::Abort(id.clone()) } else { Request::View(id.clone()) };
        let early = ask(&mut solo, early);
        assert_eq!(solo.held.len(), 1, "the first look-up has read the job as open");
        let status = JobStatus::Cancelled;
        let over = OverRecord { status, done: 0, failure: None, spent: None, part: None };
        let live = Change::Delete { key: "live/req-1".into() };
        solo.write(vec![Change::put("over/req-1".into(), json!(over)), live]);
        solo.hold = |_| false;
        let late = ask(&mut solo, Request::View(id));
        let said = |solo: &Solo, conn| {
            solo.reply(conn).map(|reply| (reply.status, reply.body.contains("cancelled")))
        };
        assert_eq!(said(&solo, late), Some((200, true)));
        solo.release();
        assert_eq!(said(&solo, early), Some((200, true)), "abort: {abort}");
        let again = ask(&mut solo, Request::Submit(Submission::Spec(Box::new(spec))));
        assert_eq!(said(&solo, again), Some((200, true)));
    }
}

/// A known job is submitted again with a text that nobody could keep. Guards against judging the text first: its user would
/// take the job for refused.
#[test]
fn a_known_job_is_known_whatever_its_text_is_worth_now() {
    for over in [false, true] {
        let mut solo = Solo::new();
        solo.led_by_another();
        solo.pass(500);
        let spec = one_task("req-1", 9);
        let status = JobStatus::Done;
        let end = OverRecord { status, done: 1, failure: None, spent: None, part: None };
        let live = LiveRecord { spec: spec.clone(), wall_ms: 1, part: None };
        solo.write(vec![match over {
            true => Change::put("over/req-1".into(), json!(end)),
            false => Change::put("live/req-1".into(), json!(live)),
        }]);
        let long =
            |id: &str| JobSpec { image: "i".repeat(9_000), id: JobId::new(id), ..spec.clone() };
        let mut submit = |spec: JobSpec| {
            let conn = solo.ask(Request::Submit(Submission::Spec(Box::new(spec))));
            solo.pass(100);
            solo.reply(conn).map(|reply| reply.status)
        };
        assert_eq!(submit(long("req-1")), Some(200), "over: {over}");
        assert_eq!(submit(long("req-2")), Some(400));
        assert!(solo.state.rows("live/req-2").is_empty());
    }
}

/// A leader hears nothing of the end that it wrote, and before it reads what stands there another leader has written
/// another end. Guards against telling what was decided here: it went into the memory of final states and was told for ever.
#[test]
fn the_end_that_stands_in_the_store_is_told() {
    let mut solo = Solo::new();
    let live = LiveRecord { spec: one_task("req-1", 9), wall_ms: 1, part: None };
    solo.write(vec![Change::put("live/req-1".into(), json!(live))]);
    solo.pass(500);
    assert!(solo.core.valid(solo.clock().mono).is_some(), "it leads");
    let id = JobId::new("req-1");
    solo.hold = |op| match op {
        StoreOp::Txn(txn) => txn
            .changes
            .iter()
            .any(|change| matches!(change, Change::Put { key, .. } if key == "over/req-1")),
        _ => false,
    };
    solo.ask(Request::Abort(id.clone()));
    solo.pass(100);
    let (op, ..) = solo.held.pop().expect("its end is being written");
    let status = JobStatus::Done;
    let end = OverRecord { status, done: 1, failure: None, spent: None, part: None };
    let gone = Change::Delete { key: "live/req-1".into() };
    solo.write(vec![Change::put("over/req-1".into(), json!(end)), gone]);
    solo.event(Event::Store { id: op, reply: StoreReply::Lost });
    solo.pass(100);
    for request in [Request::View(id.clone()), Request::Abort(id.clone())] {
        let conn = solo.ask(request);
        solo.pass(100);
        let reply = solo.reply(conn).expect("it is known");
        assert!(reply.status == 200 && reply.body.contains(r#""status":"done""#), "{reply:?}");
    }
}

/// A repeated submission of an accepted job is answered 200 also while a new leader reads its assignments: that the job is
/// open was true when its key was read.
#[test]
fn a_repeated_submission_is_known_while_a_new_leader_reads() {
    let mut solo = Solo::new();
    let spec = one_task("req-1", 9);
    let live = LiveRecord { spec: spec.clone(), wall_ms: 1, part: None };
    solo.write(vec![Change::put("live/req-1".into(), json!(live))]);
    solo.hold = |op| matches!(op, StoreOp::List { prefix, .. } if prefix == "asg/");
    solo.pass(3_000);
    assert!(solo.core.leads() && !solo.held.is_empty(), "it reads assignments");
    let conn = solo.ask(Request::Submit(Submission::Spec(Box::new(spec))));
    solo.pass(100);
    assert_eq!(solo.reply(conn).map(|reply| reply.status), Some(200));
}

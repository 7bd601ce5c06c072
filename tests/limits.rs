//! Teams at their limits, and jobs that finish or are cancelled, while machines and leaders fail in many orders and at many
//! times. `OATLOOM_SEEDS=n` runs n more seeds of each test.

#[allow(dead_code)]
mod world;

use oatloom_core::api::Request;
use oatloom_core::jobs::{ChunkRecord, LiveRecord};
use oatloom_emulator::worker::{JobFailures, TaskAttempt, Worker};
use oatloom_protocol::ids::{Attempt, HostId, JobId, ReportSeq, WorkerSession, Zone};
use oatloom_protocol::wire::{
    Change, ExitCause, JobSpec, JobStatus, Order, Rank, Report, ReportAnswer, Shape, TaskPhase,
    TaskReport,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::BTreeSet;
use world::limits::{
    MachineRoom, NEGLECTED_MS, NeglectTracker, TeamLimits, count_placeable_tasks, site,
};
use world::solo::Solo;
use world::{Fault, LeaderFault, Site, World, assert_rules, extra_seeds, init_log, small_array};

/// All faults end by this time of the simulation.
const FAULTS_END_MS: u64 = 180_000;
/// Work that each team submits, in seconds at its limit: with reports, fetches and final steps more than can be done before
/// the faults end.
const TEAM_WORK_S: f64 = 150.0;
/// Approximate time of a task beside its run: a fetch, and the reports before and after it.
const TASK_OVERHEAD_S: f64 = 8.0;

// --- Tests of the check `neglected` --------------------------------------------------------------

/// A world whose controllers are down from the beginning, with a machine of four GPUs in zone a and an accepted job of two
/// tasks of one GPU each.
fn world_with_waiting_job(limit: f64, change: impl Fn(&mut JobSpec)) -> World {
    let teams = [TeamLimits { name: "blue", gpus_max: limit, ..TeamLimits::default() }];
    let mut world = World::without_users(site(&teams), &mut ChaCha8Rng::seed_from_u64(1), 0);
    (0..3).for_each(|node| world.inject_fault(Fault::NodeDown(node, 1_000_000)));
    world.add_machine("i-1", "a", false);
    let mut spec = small_array("req-1", 5);
    change(&mut spec);
    world.add_job(spec);
    world.mark_all_accepted();
    world.stop_polling_when_final = true;
    world
}

/// Whether a job counts as neglected by `until`; no other rule may be violated.
fn is_neglected(world: &mut World, until: u64) -> bool {
    world.run_until(until);
    let violations = &world.region.checker.violations;
    assert!(violations.iter().all(|text| text.contains(" neglected: ")), "{violations:?}");
    !violations.is_empty()
}

/// Lets a task of another job hold this many of the machine's GPUs for ever.
fn occupy(world: &mut World, gpus: f64) {
    let spec = JobSpec { gpus, ..small_array("req-2", 5) };
    world.region.external.specs.insert("req-2".into(), spec);
    let worker = world.region.get_worker_mut("i-1").expect("the machine");
    worker.lease_from = u64::MAX / 2;
    let task = TaskAttempt {
        phase: TaskPhase::Running,
        cause: None,
        until: u64::MAX,
        waiting_since: 0,
        running_since: 1,
        base_progress_ms: 0,
        stored: false,
        stopped_at: None,
    };
    worker.tasks.insert(("req-2".into(), 0, 1), task);
}

#[test]
fn a_job_that_waits_although_it_fits_counts_as_neglected() {
    let past_limit = NEGLECTED_MS + 3_000;
    assert!(!is_neglected(&mut world_with_waiting_job(0.0, |_| {}), NEGLECTED_MS));
    assert!(is_neglected(&mut world_with_waiting_job(0.0, |_| {}), past_limit));
    assert!(is_neglected(
        &mut world_with_waiting_job(0.0, |spec| spec.shape = Shape::Gang),
        past_limit
    ));
    assert!(is_neglected(
        &mut world_with_waiting_job(2.0, |spec| spec.shape = Shape::Gang),
        past_limit
    ));
    assert!(
        is_neglected(&mut world_with_waiting_job(1.0, |_| {}), past_limit),
        "room for one task of an array suffices"
    );
    assert!(
        !is_neglected(
            &mut world_with_waiting_job(1.0, |spec| spec.shape = Shape::Gang),
            past_limit
        ),
        "a gang needs room for all tasks"
    );
    for change in [
        |spec: &mut JobSpec| spec.gpus = 5.0,
        |spec: &mut JobSpec| spec.cpus = 33.0,
        |spec: &mut JobSpec| spec.flavors = Some(vec!["g2".into()]),
        |spec: &mut JobSpec| spec.zone = Some(Zone::new("b")),
        |spec: &mut JobSpec| (spec.shape, spec.spread) = (Shape::Gang, true),
        |spec: &mut JobSpec| (spec.shape, spec.tasks) = (Shape::Gang, 5),
    ] {
        assert!(
            !is_neglected(&mut world_with_waiting_job(0.0, change), past_limit),
            "no machine fits"
        );
    }
    let mut cancelled = world_with_waiting_job(0.0, |_| {});
    cancelled.cancel("req-1", 10_000);
    assert!(!is_neglected(&mut cancelled, past_limit));
    let mut unaccepted = world_with_waiting_job(0.0, |_| {});
    unaccepted.add_job(small_array("req-3", 5));
    assert!(is_neglected(&mut unaccepted, past_limit));
    let violations = &unaccepted.region.checker.violations;
    assert!(violations.iter().all(|text| text.contains("req-1")), "{violations:?}");
    let mut failing = world_with_waiting_job(0.0, |_| {});
    failing.region.external.failing_jobs.insert("req-1".into(), JobFailures::Always);
    assert!(!is_neglected(&mut failing, past_limit), "it waits because it fails");
    // Free room and limits are judged by what the workers actually run.
    let mut full = world_with_waiting_job(0.0, |_| {});
    occupy(&mut full, 3.5);
    assert!(!is_neglected(&mut full, past_limit));
    let mut with_room = world_with_waiting_job(0.0, |_| {});
    occupy(&mut with_room, 3.0);
    assert!(is_neglected(&mut with_room, past_limit));
    let mut at_limit = world_with_waiting_job(3.0, |_| {});
    occupy(&mut at_limit, 2.5);
    assert!(!is_neglected(&mut at_limit, past_limit));
}

/// Only an uninterrupted wait counts: it starts anew after the machine hung, was cut off or was a spot machine.
#[test]
fn an_interruption_restarts_the_neglect_period() {
    for interrupt in [
        |worker: &mut Worker| worker.hung_until = 62_000,
        |worker: &mut Worker| worker.partitioned_until = 62_000,
        |worker: &mut Worker| worker.place.spot = true,
    ] {
        let mut world = world_with_waiting_job(0.0, |_| {});
        assert!(!is_neglected(&mut world, 60_000));
        interrupt(world.region.get_worker_mut("i-1").expect("the machine"));
        assert!(!is_neglected(&mut world, 62_500));
        world.region.get_worker_mut("i-1").expect("the machine").place.spot = false;
        assert!(!is_neglected(&mut world, 62_000 + NEGLECTED_MS));
        assert!(is_neglected(&mut world, 66_000 + NEGLECTED_MS));
    }
    let mut tracker = NeglectTracker::default();
    let job = || BTreeSet::from(["req-1".to_owned()]);
    assert!(tracker.update(0, job()).is_empty());
    assert_eq!(tracker.update(NEGLECTED_MS + 1, job()), ["req-1"]);
    assert_eq!(tracker.longest_wait_ms, NEGLECTED_MS + 1);
}

/// The number of further tasks of a job that could be placed, given where its others are.
#[test]
fn placeable_tasks_are_counted_with_zones() {
    let room = |gpus: f64| oatloom_core::workers::Resources {
        cpus: 64.0,
        gpus,
        memory_gb: 64.0,
        tasks: 64,
    };
    let free = |zone: &str, spot, gpus| MachineRoom {
        flavor: "g4".into(),
        zone: zone.into(),
        spot,
        room: room(gpus),
    };
    let machines = [free("a", false, 2.5), free("a", true, 4.0), free("b", false, 1.0)];
    let count = |tasks, others: &[(&str, u32)], change: &dyn Fn(&mut JobSpec)| {
        let mut spec = JobSpec { tasks, ..small_array("req-1", 5) };
        change(&mut spec);
        let others = others.iter().map(|(zone, n)| ((*zone).to_owned(), *n)).collect();
        count_placeable_tasks(&spec, &others, &machines)
    };
    assert_eq!(count(9, &[], &|_| {}), 3);
    assert_eq!(count(9, &[], &|spec| spec.spot = true), 7);
    assert_eq!(count(9, &[], &|spec| spec.one_zone = true), 2);
    assert_eq!(count(9, &[("b", 1)], &|spec| spec.one_zone = true), 1);
    assert_eq!(count(9, &[("c", 1)], &|spec| spec.one_zone = true), 0);
    assert_eq!(count(4, &[], &|spec| spec.spread = true), 3);
    assert_eq!(count(3, &[("a", 2)], &|spec| spec.spread = true), 1);
    assert_eq!(count(9, &[], &|spec| spec.zone = Some(Zone::new("b"))), 1);
    assert_eq!(count(9, &[], &|spec| spec.gpus = 2.0), 1);
}

// --- Days with teams at their limits -------------------------------------------------------------

/// The kind of limits that the teams have.
#[derive(Clone, Copy, Debug)]
enum LimitKind {
    /// Room for two tasks at once.
    Tiny,
    OneTask,
    /// A gang of three uses the whole limit.
    GangAlone,
    /// Cores and GPUs limit in turn.
    Turns,
    /// No limits: one team borrows what the other has not requested yet, and has to give it back.
    Borrowed,
}

const LIMIT_KINDS: [LimitKind; 5] = [
    LimitKind::Tiny,
    LimitKind::OneTask,
    LimitKind::GangAlone,
    LimitKind::Turns,
    LimitKind::Borrowed,
];

impl LimitKind {
    fn teams(self) -> [TeamLimits; 2] {
        let (red, blue) = match self {
            Self::Tiny => ((0.0, 0.0, 1.0, 2.0), (0.0, 0.0, 0.0, 2.0)),
            Self::OneTask => ((0.0, 0.0, 1.0, 1.0), (0.0, 2.0, 0.0, 0.0)),
            Self::GangAlone => ((0.0, 0.0, 3.0, 3.0), (0.0, 0.0, 0.0, 3.5)),
            Self::Turns => ((0.0, 7.0, 2.0, 4.0), (0.0, 7.0, 0.0, 4.0)),
            Self::Borrowed => ((0.0, 0.0, 8.0, 0.0), (0.0, 0.0, 2.0, 12.0)),
        };
        [("red", red), ("blue", blue)].map(|(name, (cpus, cpus_max, gpus, gpus_max))| TeamLimits {
            name,
            cpus,
            cpus_max,
            gpus,
            gpus_max,
        })
    }

    fn site(self) -> Site {
        let scarce = matches!(self, Self::Borrowed);
        Site { capacity: if scarce { 1 } else { 5 }, ..site(&self.teams()) }
    }

    /// Random cores and GPUs of a task.
    fn size(self, rng: &mut ChaCha8Rng) -> (f64, f64) {
        match self {
            Self::Turns if rng.random_bool(0.5) => (3.0, 0.5),
            Self::Turns => (0.5, 2.0),
            _ => (2.0, 1.0),
        }
    }
}

/// How many tasks of this size a team may run at once: without limits, as many as these sites have room for.
fn max_concurrent_tasks(team: &TeamLimits, cpus: f64, gpus: f64) -> u32 {
    let max_fitting =
        |limit: f64, each: f64| if limit > 0.0 { (limit / each + 1e-6) as u32 } else { 8 };
    max_fitting(team.cpus_max, cpus).min(max_fitting(team.gpus_max, gpus))
}

/// A random job that its team's limit allows.
fn random_job(
    number: u32,
    limit_kind: LimitKind,
    team: &TeamLimits,
    rng: &mut ChaCha8Rng,
) -> JobSpec {
    let (cpus, gpus) = limit_kind.size(rng);
    let max_tasks = max_concurrent_tasks(team, cpus, gpus);
    let shape = match rng.random_range(0..10) {
        0..6 => Shape::Array,
        6..9 => Shape::Gang,
        _ => Shape::Service,
    };
    let tasks = match shape {
        Shape::Array => rng.random_range(1..6),
        Shape::Gang => rng.random_range(1..=max_tasks.min(3)),
        Shape::Service => 1,
    };
    let saves = rng.random_bool(0.4);
    let ranks = [Rank::Low, Rank::Standard, Rank::High, Rank::Critical];
    JobSpec {
        id: JobId::new(&format!("req-{:03}{number:03}", rng.random_range(0..900))),
        class: if rng.random_bool(0.5) { "quick" } else { "slow" }.into(),
        team: team.name.into(),
        shape,
        rank: *ranks.choose(rng).unwrap_or(&Rank::Low),
        tasks,
        cpus,
        gpus,
        image: format!("img-{}", rng.random_range(0..3)),
        flavors: None,
        one_zone: rng.random_bool(0.2),
        spot: shape != Shape::Service && rng.random_bool(0.6),
        estimate_s: if shape == Shape::Service { 0.0 } else { rng.random_range(3.0..20.0) },
        checkpoint_s: if saves { 5.0 } else { 0.0 },
        save_s: if saves { 1.0 } else { 0.0 },
        ..small_array("req-1", 1)
    }
}

/// A day on which two teams have more work than their limits let them do before the faults end, from the first seconds on.
fn day_at_limits(limit_kind: LimitKind, rng: &mut ChaCha8Rng) -> World {
    let mut world = World::without_users(limit_kind.site(), rng, FAULTS_END_MS);
    world.region.external.has_stored_results = true;
    let mut number = 0;
    for team in &limit_kind.teams() {
        let mut work_s = 0.0;
        while work_s < TEAM_WORK_S {
            number += 1;
            let spec = random_job(number, limit_kind, team, rng);
            let duration_s = if spec.shape == Shape::Service { 30.0 } else { spec.estimate_s };
            let max_tasks = f64::from(max_concurrent_tasks(team, spec.cpus, spec.gpus));
            work_s += f64::from(spec.tasks) * (duration_s + TASK_OVERHEAD_S) / max_tasks;
            // Half of the work comes at once, so that the team is at its limit from the beginning.
            let at =
                if work_s < TEAM_WORK_S / 2.0 { 1_000 } else { rng.random_range(1_000..110_000) };
            let service = spec.shape == Shape::Service;
            world.add_job_at(spec, at);
            if service {
                world.cancel_last(at + 30_000);
            }
        }
    }
    world
}

/// A random failure of the leader.
fn leader_failure(rng: &mut ChaCha8Rng) -> Fault {
    let span = rng.random_range(5_000..40_000);
    Fault::Leader(match rng.random_range(0..6) {
        0 | 1 => LeaderFault::Crash,
        2 => LeaderFault::StoreRefuses(span),
        3 => LeaderFault::Partitioned(span),
        4 => LeaderFault::Isolated(span),
        _ => LeaderFault::Down(span),
    })
}

/// An event of a fault scenario.
enum Step {
    /// The machines are cut off, or hang, for this many milliseconds.
    Cut(u64),
    Hang(u64),
    /// The jobs' users cancel the jobs.
    Cancel,
    Inject(Fault),
}

/// Applies the steps, at their times after now, on some jobs of each team that have tasks on machines and on the machines of
/// these tasks. Returns the jobs that had a task on a machine when they were cancelled.
fn apply_steps(
    world: &mut World,
    rng: &mut ChaCha8Rng,
    mut steps: Vec<(u64, Step)>,
) -> Vec<String> {
    let from = world.now;
    let mut jobs: Vec<JobSpec> = world.on_machines();
    // Long jobs first, so that they still run when they are cancelled.
    jobs.sort_by(|a, b| b.estimate_s.total_cmp(&a.estimate_s));
    let mut chosen: Vec<String> = Vec::new();
    for team in ["red", "blue"] {
        let jobs_of_team = jobs.iter().filter(|spec| spec.team == team);
        chosen.extend(jobs_of_team.take(rng.random_range(1..4)).map(|spec| spec.id.to_string()));
    }
    let hosts: BTreeSet<String> = chosen.iter().flat_map(|job| world.machines_of(job)).collect();
    steps.sort_by_key(|(after, _)| *after);
    let mut ran = Vec::new();
    for (after, step) in steps {
        world.run_until(from + after);
        let now = world.now;
        match step {
            Step::Cut(span) | Step::Hang(span) => {
                for host in &hosts {
                    let Some(worker) = world.region.get_worker_mut(host) else { continue };
                    match step {
                        Step::Hang(_) => worker.hung_until = now + span,
                        _ => worker.partitioned_until = now + span,
                    }
                }
            }
            Step::Cancel => {
                for job in &chosen {
                    if world.region.checker.on_machines().any(|task| task.job == *job) {
                        ran.push(job.clone());
                    }
                    world.cancel(job, now);
                }
            }
            Step::Inject(fault) => world.inject_fault(fault),
        }
    }
    ran
}

/// Plays a day to its end: the rules hold, no job is neglected and none is left unfinished. Returns how many of these jobs
/// were reported as cancelled to their users.
fn assert_finishes(mut world: World, context: &str, cancelled: &[String]) -> usize {
    world.run();
    assert_rules(&world, context);
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "{context} leaves jobs unfinished: {unfinished:#?}");
    cancelled.iter().filter(|job| world.is_known_cancelled(job)).count()
}

/// The seed given in `OATLOOM_SEED`, if any.
fn requested_seed() -> Option<u64> {
    std::env::var("OATLOOM_SEED").ok().and_then(|seed| seed.parse().ok())
}

/// The fixed seeds and the additional ones of `OATLOOM_SEEDS`, or the one given in `OATLOOM_SEED`.
fn seeds(fixed: u64) -> std::ops::Range<u64> {
    requested_seed().map_or(0..fixed + extra_seeds(), |seed| seed..seed + 1)
}

/// Plays days of each kind of limits, with the steps of one scenario about every 40 s.
fn play_days(name: &str, fixed: u64, scenario: impl Fn(&mut ChaCha8Rng) -> Vec<(u64, Step)>) {
    init_log();
    let (mut ran, mut confirmed) = (0, 0);
    for seed in seeds(fixed) {
        let limit_kind = LIMIT_KINDS[seed as usize % LIMIT_KINDS.len()];
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = day_at_limits(limit_kind, &mut rng);
        world.restart_ms = [50, 300, 1_000, 5_000][rng.random_range(0..4)];
        let mut cancelled = Vec::new();
        for n in 0..3 {
            world.run_until(20_000 + n * 40_000 + rng.random_range(0..6_000));
            let steps = scenario(&mut rng);
            cancelled.extend(apply_steps(&mut world, &mut rng, steps));
        }
        ran += cancelled.len();
        confirmed +=
            assert_finishes(world, &format!("{name}, seed {seed}, {limit_kind:?}"), &cancelled);
    }
    println!(
        "{name}: {ran} jobs were running when they were cancelled, {confirmed} were reported as cancelled"
    );
    assert!(
        requested_seed().is_some() || ran as u64 >= fixed * 2 && confirmed * 2 >= ran,
        "{confirmed} of {ran}"
    );
}

fn cut_or_hang(rng: &mut ChaCha8Rng, min_ms: u64, max_ms: u64) -> Step {
    let span = rng.random_range(min_ms..max_ms);
    if rng.random_bool(0.5) { Step::Cut(span) } else { Step::Hang(span) }
}

/// Within seconds and in any order, teams are at their limits, jobs are cancelled whose machines are cut off or hang, and the
/// leader fails. Guards against a limit that is exceeded because tasks on unreachable machines no longer count.
#[test]
fn limits_hold_while_cancelled_jobs_are_unreachable_and_leaders_change() {
    play_days("any order", 15, |rng| {
        vec![
            (rng.random_range(0..5_000), cut_or_hang(rng, 2_000, 60_000)),
            (rng.random_range(0..8_000), Step::Cancel),
            (rng.random_range(0..8_000), Step::Inject(leader_failure(rng))),
        ]
    });
}

/// Jobs are cancelled when a new leader cannot reach their machines. Guards against a new leader that no longer counts the
/// tasks on them.
#[test]
fn a_new_leader_counts_tasks_on_unreachable_machines() {
    play_days("new leader, unreachable machines", 15, |rng| {
        let failure_after = rng.random_range(500..3_000);
        vec![
            (0, cut_or_hang(rng, 25_000, 60_000)),
            (failure_after, Step::Inject(leader_failure(rng))),
            (failure_after + rng.random_range(0..26_000), Step::Cancel),
        ]
    });
}

/// The leader fails when cancelled jobs are in their final state while their tasks are still on unreachable machines, and its
/// successor fails before the machines' leases expire. Guards against a new leader that no longer counts these tasks.
#[test]
fn a_new_leader_counts_tasks_of_cancelled_jobs_still_on_machines() {
    play_days("final but still on machines", 15, |rng| {
        let failure_after = rng.random_range(1_500..9_000);
        vec![
            (0, cut_or_hang(rng, 25_000, 60_000)),
            (200, Step::Cancel),
            (failure_after, Step::Inject(leader_failure(rng))),
            (
                failure_after + rng.random_range(5_000..14_000),
                Step::Inject(Fault::Leader(LeaderFault::Crash)),
            ),
        ]
    });
}

/// All controllers are down for longer than a lease and come back at different times, while machines are cut off. Jobs are
/// cancelled before and after, and no controller knows which tasks ended meanwhile.
#[test]
fn limits_hold_after_all_controllers_are_down_for_longer_than_a_lease() {
    init_log();
    let (mut ran, mut confirmed, mut tasks_left) = (0, 0, 0);
    for seed in seeds(10) {
        let limit_kind = LIMIT_KINDS[seed as usize % LIMIT_KINDS.len()];
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xa3a1);
        let mut world = day_at_limits(limit_kind, &mut rng);
        let mut cancelled = Vec::new();
        for n in 0..2 {
            world.run_until(18_000 + n * 70_000 + rng.random_range(0..8_000));
            let down_after = rng.random_range(200..3_000);
            let mut steps = vec![
                (rng.random_range(0..2_500), Step::Cancel),
                (rng.random_range(0..20_000), cut_or_hang(&mut rng, 5_000, 50_000)),
            ];
            let mut first_restart_at = u64::MAX;
            for node in 0..3 {
                let (at, down_ms) =
                    (down_after + rng.random_range(0..300), rng.random_range(27_000..50_000));
                first_restart_at = first_restart_at.min(world.now + at + down_ms);
                steps.push((at, Step::Inject(Fault::NodeDown(node, down_ms))));
            }
            cancelled.extend(apply_steps(&mut world, &mut rng, steps));
            world.run_until(first_restart_at);
            tasks_left += world.region.checker.on_machines().count();
            // Some are cancelled while all controllers are down or just after, at whichever is back first.
            for job in world.open_jobs().choose_multiple(&mut rng, 3) {
                let at = world.now + rng.random_range(0..15_000);
                world.cancel(job.id.as_str(), at);
            }
        }
        ran += cancelled.len();
        confirmed += assert_finishes(
            world,
            &format!("all controllers down, seed {seed}, {limit_kind:?}"),
            &cancelled,
        );
    }
    println!("all controllers down: {confirmed} of {ran} reported as cancelled");
    assert!(
        requested_seed().is_some() || ran >= 20 && confirmed * 2 >= ran,
        "{confirmed} of {ran}"
    );
    assert_eq!(tasks_left, 0, "all leases have expired");
}

/// The leader fails ten times in two minutes and restarts after 50 ms to 5 s each time; in every second day the state service
/// is out for a while in between. Jobs are cancelled throughout.
#[test]
fn limits_hold_through_ten_leader_changes_in_two_minutes() {
    init_log();
    for seed in seeds(10) {
        let limit_kind = LIMIT_KINDS[seed as usize % LIMIT_KINDS.len()];
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x10);
        let mut world = day_at_limits(limit_kind, &mut rng);
        let mut cancelled = Vec::new();
        world.run_until(15_000);
        let outage = (seed % 2 == 1).then(|| rng.random_range(2..8));
        for n in 0..10 {
            let at = world.now;
            world.restart_ms = rng.random_range(50..5_000);
            if outage == Some(n) {
                world.inject_fault(Fault::StoreOutage(rng.random_range(5_000..30_000)));
            }
            let all = rng.random_bool(0.2);
            let failure = if all { Fault::CrashAll } else { Fault::Leader(LeaderFault::Crash) };
            let mut steps = vec![(rng.random_range(0..2_000), Step::Inject(failure))];
            if n % 3 == 0 {
                steps.push((rng.random_range(0..3_000), Step::Cancel));
                steps.push((rng.random_range(0..3_000), cut_or_hang(&mut rng, 2_000, 40_000)));
            }
            cancelled.extend(apply_steps(&mut world, &mut rng, steps));
            world.run_until(at + 12_000);
        }
        let terms = world.leader_term_count();
        assert!(terms >= if outage.is_some() { 6 } else { 10 }, "seed {seed}: {terms} terms");
        assert!(!cancelled.is_empty());
        assert_finishes(
            world,
            &format!("ten leader changes, seed {seed}, {limit_kind:?}, {terms} terms"),
            &cancelled,
        );
    }
}

/// Jobs that are bound to one zone, arrays too, lose machines of that zone, also when it is full. Guards against a lost task
/// that keeps its job's other tasks from being placed.
#[test]
fn jobs_of_one_zone_finish_after_losing_their_machines() {
    init_log();
    let (mut lost, mut full) = (0, 0);
    for seed in seeds(16) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x2015);
        let team = TeamLimits { name: "blue", ..TeamLimits::default() };
        let capacity = if seed % 2 == 0 { 2 } else { 4 };
        let mut world =
            World::without_users(Site { capacity, ..site(&[team]) }, &mut rng, FAULTS_END_MS);
        world.region.external.has_stored_results = true;
        let mut work_s = 0.0;
        for number in 0.. {
            let mut spec = random_job(number, LimitKind::Tiny, &team, &mut rng);
            spec.zone = rng.random_bool(0.7).then(|| Zone::new("a"));
            spec.tasks =
                if spec.shape == Shape::Array { rng.random_range(1..9) } else { spec.tasks };
            // The others may run in any zone, but together or spread: lost tasks must not restrict their placement for ever.
            spec.one_zone = spec.zone.is_none() && rng.random_bool(0.5);
            spec.spread = spec.zone.is_none() && !spec.one_zone;
            work_s += f64::from(spec.tasks) * (spec.estimate_s + TASK_OVERHEAD_S);
            if work_s > 500.0 * f64::from(capacity) {
                break;
            }
            let service = spec.shape == Shape::Service;
            world.add_job_at(spec, rng.random_range(1_000..120_000));
            if service {
                world.cancel_last(FAULTS_END_MS - 10_000);
            }
        }
        for n in 0..3 {
            world.run_until(25_000 + n * 40_000 + rng.random_range(0..6_000));
            let now = world.now;
            let is_bound_to_zone = |spec: &JobSpec| spec.zone.is_some();
            let jobs: Vec<JobSpec> =
                world.on_machines().into_iter().filter(is_bound_to_zone).collect();
            lost += jobs.len();
            let hosts: BTreeSet<String> =
                jobs.iter().flat_map(|spec| world.machines_of(spec.id.as_str())).collect();
            let span = rng.random_range(5_000..60_000);
            for host in &hosts {
                match rng.random_range(0..5) {
                    0 | 1 => world.region.remove_machine(host),
                    2 => {
                        world
                            .region
                            .get_worker_mut(host)
                            .expect("the machine exists")
                            .partitioned_until = now + span
                    }
                    3 => {
                        world.region.get_worker_mut(host).expect("the machine exists").hung_until =
                            now + span
                    }
                    _ => {
                        world
                            .region
                            .get_worker_mut(host)
                            .expect("the machine exists")
                            .notice_until = Some(now + 6_000)
                    }
                }
            }
            if rng.random_bool(0.4) {
                let zone_cut = (0..3).map(|node| Fault::NodeZonePartition(node, 0, span));
                zone_cut.for_each(|fault| world.inject_fault(fault));
            }
            if rng.random_bool(0.5) {
                world.inject_fault(Fault::CapacityHalved(span));
                full += 1;
            }
            if rng.random_bool(0.5) {
                world.inject_fault(leader_failure(&mut rng));
            }
        }
        assert_finishes(world, &format!("one zone, seed {seed}, capacity {capacity}"), &[]);
    }
    println!(
        "one zone: {lost} jobs lost machines of their zone; the zone had half its capacity {full} times"
    );
    assert!(requested_seed().is_some() || lost > 50 && full > 10, "{lost}, {full}");
}

/// Jobs of two or three tasks whose tasks finish at very different times, some before and some after the leader fails. All
/// must finish without a task started again, as no machine is lost. Guards against a new leader that forgets finished tasks.
#[test]
fn tasks_that_finish_across_a_leader_change_are_not_started_again() {
    init_log();
    let mut partly_done_jobs = 0;
    for seed in seeds(12) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7);
        let team = TeamLimits { name: "blue", ..TeamLimits::default() };
        let mut world = World::without_users(site(&[team]), &mut rng, 110_000);
        world.region.external.has_stored_results = true;
        let mut tasks = 0;
        for n in 0..24 {
            let mut spec = small_array(&format!("req-{n}"), rng.random_range(2..5));
            spec.tasks = rng.random_range(2..4);
            // One task per machine, so that a job's tasks run at different speeds.
            spec.gpus = 2.0;
            tasks += spec.tasks as usize;
            world.add_job_at(spec, rng.random_range(1_000..60_000));
        }
        world.restart_ms = [50, 300, 1_000, 5_000][rng.random_range(0..4)];
        let mut failure_times = BTreeSet::new();
        for n in 0..4 {
            failure_times.insert(15_000 + n * 20_000 + rng.random_range(0..10_000));
        }
        let mut failures = failure_times.into_iter().peekable();
        while world.continues_before(100_000) {
            world.run_until(world.now + 500);
            for (n, worker) in world.region.workers.values_mut().enumerate() {
                worker.run_time_factor = if n % 2 == 0 { 1.0 } else { 5.0 };
            }
            if failures.peek().is_some_and(|at| world.now >= *at) {
                failures.next();
                let is_partly_done = |spec: &JobSpec| {
                    let done = world.region.checker.count_done_tasks(spec.id.as_str());
                    done > 0 && done < spec.tasks
                };
                partly_done_jobs +=
                    world.open_jobs().iter().filter(|spec| is_partly_done(spec)).count();
                world.inject_fault(Fault::Leader(LeaderFault::Crash));
            }
        }
        let context = format!("tasks finish far apart, seed {seed}");
        world.run();
        assert_rules(&world, &context);
        let unfinished = world.unfinished();
        assert!(unfinished.is_empty(), "{context} leaves jobs unfinished: {unfinished:#?}");
        assert_eq!(world.count_with_known_status(JobStatus::Done), 24, "{context}");
        assert_eq!(world.region.checker.start_count, tasks, "{context}: a task was started again");
    }
    println!(
        "tasks finish far apart: {partly_done_jobs} jobs were partly done when a leader failed"
    );
    assert!(requested_seed().is_some() || partly_done_jobs > 30, "{partly_done_jobs}");
}

/// A zone is cut off three times, and delayed reports arrive during the cuts as if it were back. Once it is back for good,
/// work that may run nowhere else begins soon: every 75 s a machine is hired there as a probe, it boots, and hires wait for
/// 24 s while the zone recovers. Guards against a zone that is not probed for minutes, because the leader waited for a machine
/// known from records only, or because everything that had reported from the recovering zone was gone.
#[test]
fn work_of_one_zone_begins_soon_after_the_zone_is_back() {
    init_log();
    const ZONE_BACK_AT_MS: u64 = 165_000;
    const MAX_WAIT_S: u64 = 110;
    let mut waits = Vec::new();
    for seed in seeds(10) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x20e);
        let team = TeamLimits { name: "blue", ..TeamLimits::default() };
        let mut world = World::without_users(site(&[team]), &mut rng, ZONE_BACK_AT_MS);
        for number in 0..16 {
            let mut spec = small_array(&format!("req-{number}"), 10);
            spec.tasks = 4;
            spec.spot = rng.random_bool(0.5);
            spec.zone = (number % 4 != 0).then(|| Zone::new("a"));
            world.add_job_at(spec, 1_000 + number * 8_000);
        }
        for (from, span) in [(26_000, 32_000), (65_000, 46_000), (106_000, 59_000)] {
            world.run_until(from);
            (0..3).for_each(|node| world.inject_fault(Fault::NodeZonePartition(node, 0, span)));
            if rng.random_bool(0.5) {
                world.inject_fault(leader_failure(&mut rng));
            }
        }
        world.run_until(ZONE_BACK_AT_MS);
        let open_count = world.open_jobs().len();
        while !world.open_jobs().is_empty() && world.now < ZONE_BACK_AT_MS + 190_000 {
            world.run_until(world.now + 1_000);
            let running = world.region.checker.on_machines().count();
            let all_begun = running > 0
                && world.open_jobs().iter().all(|spec| {
                    let id = spec.id.as_str();
                    !world.machines_of(id).is_empty()
                        || world.region.checker.count_done_tasks(id) > 0
                });
            if all_begun {
                break;
            }
        }
        assert_rules(&world, &format!("zone reconnected, seed {seed}"));
        waits.push((world.now - ZONE_BACK_AT_MS) / 1_000);
        assert!(
            requested_seed().is_some() || open_count > 0,
            "seed {seed}: work of the zone waits for it"
        );
    }
    println!("seconds until all work of a reconnected zone has begun: {waits:?}");
    assert!(waits.iter().all(|wait| *wait <= MAX_WAIT_S), "{waits:?}");
}

// --- A result that was stored --------------------------------------------------------------------

/// Sends a machine's report to the only controller and returns the orders of the answer.
fn report_from(
    solo: &mut Solo,
    host: &str,
    report_seq: u64,
    tasks: &[(&str, TaskPhase)],
) -> Vec<Order> {
    let token = solo.controller.valid_token(solo.clock().mono).expect("it leads");
    let report_task = |(task, status): &(&str, TaskPhase)| TaskReport {
        task: (*task).into(),
        attempt: Attempt(5),
        status: *status,
        cause: (*status == TaskPhase::Exited).then_some(ExitCause::Done),
        stored: false,
        ran_ms: None,
    };
    let report = Report {
        host: HostId::new(host),
        addr: format!("10.0.0.9:{}", &host[2..]),
        flavor: "g4".into(),
        zone: Zone::new("a"),
        spot: false,
        session: WorkerSession(1),
        report_seq: ReportSeq(report_seq),
        token,
        notice_s: None,
        tasks: tasks.iter().map(report_task).collect(),
    };
    let conn = solo.send_request(Request::Report(Box::new(report)));
    solo.advance(3_500);
    let reply = solo.reply(conn).expect("answered");
    let answer: ReportAnswer = serde_json::from_str(&reply.body).expect("an answer");
    answer.orders
}

/// A gang whose completion no controller knows of is started again; the first task to have its image exits at once with the
/// stored result while the others are still fetching. These count in their team's limit, and the job is not done, until their
/// own machines report that they have exited.
#[test]
fn a_gangs_stored_result_frees_only_tasks_that_have_exited() {
    init_log();
    for exited in [false, true] {
        let mut solo = Solo::new();
        let four_gpu_job = |id: &str, tasks| JobSpec {
            team: "red".into(),
            tasks,
            gpus: 4.0,
            ..small_array(id, 9)
        };
        let put_live_record = |spec: JobSpec| {
            let key = format!("live/{}", spec.id);
            Change::put(key, json!(LiveRecord { spec, wall_ms: 1_000_000, part: None }))
        };
        // It uses twelve of the team's fourteen GPUs.
        let gang = JobSpec { shape: Shape::Gang, ..four_gpu_job("req-1", 3) };
        let assignment_of = |index: u32| {
            let host = HostId::new(&format!("i-{}", index + 1));
            (index, Attempt(5), host, WorkerSession(1), Zone::new("a"))
        };
        let record = ChunkRecord {
            done: String::new(),
            assignments: (0..3).map(assignment_of).collect(),
            size: ("red".into(), 1.0, 4.0, 1.0, 3),
            charges: Default::default(),
            usage: Default::default(),
        };
        solo.write(vec![
            put_live_record(gang),
            // It does not fit what the first task frees of the limit.
            put_live_record(JobSpec { shape: Shape::Gang, ..four_gpu_job("req-2", 2) }),
            Change::put("asg/req-1/0000".into(), json!(record)),
        ]);
        solo.advance(500);
        let fetching_task = |task| [(task, TaskPhase::Fetching)];
        report_from(&mut solo, "i-1", 1, &fetching_task("req-1/0"));
        report_from(&mut solo, "i-2", 1, &fetching_task("req-1/1"));
        report_from(&mut solo, "i-3", 1, &fetching_task("req-1/2"));
        report_from(&mut solo, "i-4", 1, &[]);
        report_from(&mut solo, "i-1", 2, &[("req-1/0", TaskPhase::Exited)]);
        let last_report =
            |task| [(task, if exited { TaskPhase::Exited } else { TaskPhase::Fetching })];
        let stops = [("i-2", "req-1/1"), ("i-3", "req-1/2")].map(|(host, task)| {
            let orders = report_from(&mut solo, host, 2, &last_report(task));
            orders.iter().any(|order| matches!(order, Order::Stop { task: t, .. } if t == task))
        });
        assert_eq!(stops, [!exited; 2], "tasks still on machines are ordered to stop");
        let mut orders = report_from(&mut solo, "i-1", 3, &[]);
        orders.extend(report_from(&mut solo, "i-4", 2, &[]));
        let runs = orders.iter().any(|order| matches!(order, Order::Run { .. }));
        assert_eq!(runs, exited, "the limit counts tasks still on machines: {orders:?}");
        assert_eq!(!solo.state.rows("over/req-1").is_empty(), exited);
    }
}

//! Teams at their limits, and jobs of many ends, while machines and leaders come and go: each meeting at many phases.
//! `OATLOOM_SEEDS=n` plays n seeds more of each.

#[allow(dead_code)]
mod world;

use oatloom_core::api::Request;
use oatloom_core::jobs::{ChunkRecord, LiveRecord};
use oatloom_emulator::worker::{Broken, Instance, Worker};
use oatloom_protocol::ids::{Attempt, HostId, JobId, Shift, Tally, Zone};
use oatloom_protocol::wire::{
    Cause, Change, JobSpec, JobStatus, Order, Rank, Report, ReportAnswer, Shape, TaskPhase,
    TaskReport,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::BTreeSet;
use world::limits::{Free, NEGLECTED_MS, Neglect, Terms, placeable, site};
use world::solo::Solo;
use world::{Fault, Site, Upon, World, check, more_days, show_log, small_array};

/// Troubles are over from then on, in milliseconds.
const CALM_MS: u64 = 180_000;
/// Seconds of work that each team brings, over its limit: with a report, a fetch and the ends, more than the troubles leave
/// time for.
const WORK_S: f64 = 150.0;
/// What a task takes beside its run, about: a fetch, and the reports before and after it.
const AROUND_S: f64 = 8.0;

// --- The check `neglected` itself -----------------------------------------------------------------

/// A world without controllers from the beginning, a machine of four GPUs in zone a, and a job of two tasks of one GPU that
/// was accepted.
fn planted(limit: f64, change: impl Fn(&mut JobSpec)) -> World {
    let teams = [Terms { name: "blue", gpus_max: limit, ..Terms::default() }];
    let mut world = World::deployed(site(&teams), &mut ChaCha8Rng::seed_from_u64(1), 0);
    (0..3).for_each(|node| world.strike(Fault::NodeDown(node, 1_000_000)));
    world.add_machine("i-1", "a", false);
    let mut spec = small_array("req-1", 5);
    change(&mut spec);
    world.add_job(spec);
    world.accept_all();
    world.quiet = true;
    world
}

/// Whether a job counts as neglected by then, and no other rule is broken.
fn neglected(world: &mut World, until: u64) -> bool {
    world.play_to(until);
    let broken = &world.region.checker.broken;
    assert!(broken.iter().all(|text| text.contains(" neglected: ")), "{broken:?}");
    !broken.is_empty()
}

/// Another job's task has so many GPUs of the machine, for good.
fn occupy(world: &mut World, gpus: f64) {
    let spec = JobSpec { gpus, ..small_array("req-2", 5) };
    world.region.outside.specs.insert("req-2".into(), spec);
    let worker = world.region.machine("i-1").expect("the machine");
    worker.lease_from = u64::MAX / 2;
    let task = Instance {
        phase: TaskPhase::Running,
        cause: None,
        until: u64::MAX,
        waiting_since: 0,
        running_since: 1,
        base: 0,
        stored: false,
        ended: None,
    };
    worker.tasks.insert(("req-2".into(), 0, 1), task);
}

#[test]
fn a_job_that_could_run_and_waits_is_neglected() {
    let late = NEGLECTED_MS + 3_000;
    assert!(!neglected(&mut planted(0.0, |_| {}), NEGLECTED_MS));
    assert!(neglected(&mut planted(0.0, |_| {}), late));
    assert!(neglected(&mut planted(0.0, |spec| spec.shape = Shape::Gang), late));
    assert!(neglected(&mut planted(2.0, |spec| spec.shape = Shape::Gang), late));
    assert!(neglected(&mut planted(1.0, |_| {}), late), "one task of an array suffices");
    assert!(
        !neglected(&mut planted(1.0, |spec| spec.shape = Shape::Gang), late),
        "a gang needs all"
    );
    for change in [
        |spec: &mut JobSpec| spec.gpus = 5.0,
        |spec: &mut JobSpec| spec.cpus = 33.0,
        |spec: &mut JobSpec| spec.flavors = Some(vec!["g2".into()]),
        |spec: &mut JobSpec| spec.zone = Some(Zone::new("b")),
        |spec: &mut JobSpec| (spec.shape, spec.spread) = (Shape::Gang, true),
        |spec: &mut JobSpec| (spec.shape, spec.tasks) = (Shape::Gang, 5),
    ] {
        assert!(!neglected(&mut planted(0.0, change), late), "no machine fits");
    }
    let mut cancelled = planted(0.0, |_| {});
    cancelled.cancel("req-1", 10_000);
    assert!(!neglected(&mut cancelled, late));
    let mut unaccepted = planted(0.0, |_| {});
    unaccepted.add_job(small_array("req-3", 5));
    assert!(neglected(&mut unaccepted, late));
    let broken = &unaccepted.region.checker.broken;
    assert!(broken.iter().all(|text| text.contains("req-1")), "{broken:?}");
    let mut broken = planted(0.0, |_| {});
    broken.region.outside.broken.insert("req-1".into(), Broken::Always);
    assert!(!neglected(&mut broken, late), "it waits since it fails");
    // Room, and limits, by the truth of the workers.
    let mut full = planted(0.0, |_| {});
    occupy(&mut full, 3.5);
    assert!(!neglected(&mut full, late));
    let mut roomy = planted(0.0, |_| {});
    occupy(&mut roomy, 3.0);
    assert!(neglected(&mut roomy, late));
    let mut at_limit = planted(3.0, |_| {});
    occupy(&mut at_limit, 2.5);
    assert!(!neglected(&mut at_limit, late));
}

/// The time counts only without a break.
#[test]
fn a_break_begins_the_count_anew() {
    for trouble in [
        |worker: &mut Worker| worker.hung_until = 62_000,
        |worker: &mut Worker| worker.cut_until = 62_000,
        |worker: &mut Worker| worker.place.spot = true,
    ] {
        let mut world = planted(0.0, |_| {});
        assert!(!neglected(&mut world, 60_000));
        trouble(world.region.machine("i-1").expect("the machine"));
        assert!(!neglected(&mut world, 62_500));
        world.region.machine("i-1").expect("the machine").place.spot = false;
        assert!(!neglected(&mut world, 62_000 + NEGLECTED_MS));
        assert!(neglected(&mut world, 66_000 + NEGLECTED_MS));
    }
    let mut neglect = Neglect::default();
    let job = || BTreeSet::from(["req-1".to_owned()]);
    assert!(neglect.look(0, job()).is_empty());
    assert_eq!(neglect.look(NEGLECTED_MS + 1, job()), ["req-1"]);
    assert_eq!(neglect.longest, NEGLECTED_MS + 1);
}

/// Where further tasks of a job could be placed, beside its others.
#[test]
fn placeable_tasks_are_counted_with_zones() {
    let room = |gpus: f64| oatloom_core::workers::Room { cpus: 64.0, gpus, memory_gb: 64.0 };
    let free = |zone: &str, spot, gpus| Free {
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
        placeable(&spec, &others, &machines)
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

// --- Days on which limits bind ---------------------------------------------------------------------

/// How limits bind.
#[derive(Clone, Copy, Debug)]
enum Binding {
    /// Two tasks at once.
    Tiny,
    OneTask,
    /// A gang of three has it alone.
    GangAlone,
    /// By cores and by GPUs in turn.
    Turns,
    /// No limits: one team uses what the other has not asked for yet, and has to give it back.
    Borrowed,
}

const BINDINGS: [Binding; 5] =
    [Binding::Tiny, Binding::OneTask, Binding::GangAlone, Binding::Turns, Binding::Borrowed];

impl Binding {
    fn teams(self) -> [Terms; 2] {
        let (red, blue) = match self {
            Self::Tiny => ((0.0, 0.0, 1.0, 2.0), (0.0, 0.0, 0.0, 2.0)),
            Self::OneTask => ((0.0, 0.0, 1.0, 1.0), (0.0, 2.0, 0.0, 0.0)),
            Self::GangAlone => ((0.0, 0.0, 3.0, 3.0), (0.0, 0.0, 0.0, 3.5)),
            Self::Turns => ((0.0, 7.0, 2.0, 4.0), (0.0, 7.0, 0.0, 4.0)),
            Self::Borrowed => ((0.0, 0.0, 8.0, 0.0), (0.0, 0.0, 2.0, 12.0)),
        };
        [("red", red), ("blue", blue)].map(|(name, (cpus, cpus_max, gpus, gpus_max))| Terms {
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

    /// Cores and GPUs of a task, drawn.
    fn size(self, rng: &mut ChaCha8Rng) -> (f64, f64) {
        match self {
            Self::Turns if rng.random_bool(0.5) => (3.0, 0.5),
            Self::Turns => (0.5, 2.0),
            _ => (2.0, 1.0),
        }
    }
}

/// How many tasks of this size a team may have at once; a team without limits as many as these sites have room for.
fn at_once(team: &Terms, cpus: f64, gpus: f64) -> u32 {
    let most = |most: f64, each: f64| if most > 0.0 { (most / each + 1e-6) as u32 } else { 8 };
    most(team.cpus_max, cpus).min(most(team.gpus_max, gpus))
}

/// One job of a team that its limit allows, drawn.
fn job(number: u32, binding: Binding, team: &Terms, rng: &mut ChaCha8Rng) -> JobSpec {
    let (cpus, gpus) = binding.size(rng);
    let most = at_once(team, cpus, gpus);
    let shape = match rng.random_range(0..10) {
        0..6 => Shape::Array,
        6..9 => Shape::Gang,
        _ => Shape::Service,
    };
    let tasks = match shape {
        Shape::Array => rng.random_range(1..6),
        Shape::Gang => rng.random_range(1..=most.min(3)),
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

/// Two teams with more work than their limits let them do before the calm, from the first seconds on.
fn bound_day(binding: Binding, rng: &mut ChaCha8Rng) -> World {
    let mut world = World::deployed(binding.site(), rng, CALM_MS);
    world.region.outside.keeps_results = true;
    let mut number = 0;
    for team in &binding.teams() {
        let mut work_s = 0.0;
        while work_s < WORK_S {
            number += 1;
            let spec = job(number, binding, team, rng);
            let takes_s = if spec.shape == Shape::Service { 30.0 } else { spec.estimate_s };
            let most = f64::from(at_once(team, spec.cpus, spec.gpus));
            work_s += f64::from(spec.tasks) * (takes_s + AROUND_S) / most;
            // Half of it at once, so that the limit binds from the beginning.
            let at = if work_s < WORK_S / 2.0 { 1_000 } else { rng.random_range(1_000..110_000) };
            let service = spec.shape == Shape::Service;
            world.add_job_at(spec, at);
            if service {
                world.cancel_last(at + 30_000);
            }
        }
    }
    world
}

/// How a leader comes to its end, drawn.
fn leader_ends(rng: &mut ChaCha8Rng) -> Fault {
    let span = rng.random_range(5_000..40_000);
    Fault::Leader(match rng.random_range(0..6) {
        0 | 1 => Upon::Crash,
        2 => Upon::Refused(span),
        3 => Upon::Cut(span),
        4 => Upon::Parted(span),
        _ => Upon::Down(span),
    })
}

/// What happens, in order of time, from one moment on.
enum Step {
    /// The machines are cut off, or hang, for so long.
    Cut(u64),
    Hang(u64),
    /// The jobs' users cancel them.
    Cancel,
    Strike(Fault),
}

/// Some jobs that have tasks on machines now, of each team, and what befalls them: machines that have their tasks are the
/// ones to be cut off. Returns those that had a task on a machine when they were cancelled.
fn befall(world: &mut World, rng: &mut ChaCha8Rng, mut steps: Vec<(u64, Step)>) -> Vec<String> {
    let from = world.now;
    let mut jobs: Vec<JobSpec> = world.on_machines();
    // Those that have long to go, so that a cancellation finds them running.
    jobs.sort_by(|a, b| b.estimate_s.total_cmp(&a.estimate_s));
    let mut chosen: Vec<String> = Vec::new();
    for team in ["red", "blue"] {
        let of = jobs.iter().filter(|spec| spec.team == team);
        chosen.extend(of.take(rng.random_range(1..4)).map(|spec| spec.id.to_string()));
    }
    let hosts: BTreeSet<String> = chosen.iter().flat_map(|job| world.machines_of(job)).collect();
    steps.sort_by_key(|(after, _)| *after);
    let mut had = Vec::new();
    for (after, step) in steps {
        world.play_to(from + after);
        let now = world.now;
        match step {
            Step::Cut(span) | Step::Hang(span) => {
                for host in &hosts {
                    let Some(worker) = world.region.machine(host) else { continue };
                    match step {
                        Step::Hang(_) => worker.hung_until = now + span,
                        _ => worker.cut_until = now + span,
                    }
                }
            }
            Step::Cancel => {
                for job in &chosen {
                    if world.region.checker.on_machines().any(|task| task.job == *job) {
                        had.push(job.clone());
                    }
                    world.cancel(job, now);
                }
            }
            Step::Strike(fault) => world.strike(fault),
        }
    }
    had
}

/// Plays a day to its end: rules, nothing neglected, nothing left undone. Returns how many of these jobs their users were
/// told are cancelled.
fn finish(mut world: World, what: &str, cancelled: &[String]) -> usize {
    world.play();
    check(&world, what);
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "{what} leaves undone: {unfinished:#?}");
    cancelled.iter().filter(|job| world.told_cancelled(job)).count()
}

/// The one seed that `OATLOOM_SEED` names, if any.
fn one_day() -> Option<u64> {
    std::env::var("OATLOOM_SEED").ok().and_then(|seed| seed.parse().ok())
}

/// Seeds of the fixed days and of those that are asked for beyond, or of the one that is.
fn days_of(fixed: u64) -> std::ops::Range<u64> {
    one_day().map_or(0..fixed + more_days(), |seed| seed..seed + 1)
}

/// Days of each binding, with a meeting every 40 s.
fn days(name: &str, seeds: u64, meet: impl Fn(&mut ChaCha8Rng) -> Vec<(u64, Step)>) {
    show_log();
    let (mut had, mut told) = (0, 0);
    for seed in days_of(seeds) {
        let binding = BINDINGS[seed as usize % BINDINGS.len()];
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = bound_day(binding, &mut rng);
        world.restart_ms = [50, 300, 1_000, 5_000][rng.random_range(0..4)];
        let mut cancelled = Vec::new();
        for n in 0..3 {
            world.play_to(20_000 + n * 40_000 + rng.random_range(0..6_000));
            let steps = meet(&mut rng);
            cancelled.extend(befall(&mut world, &mut rng, steps));
        }
        had += cancelled.len();
        told += finish(world, &format!("{name}, seed {seed}, {binding:?}"), &cancelled);
    }
    println!("{name}: {had} jobs had run when they were cancelled, {told} were told cancelled");
    assert!(one_day().is_some() || had as u64 >= seeds * 2 && told * 2 >= had, "{told} of {had}");
}

fn cut_or_hang(rng: &mut ChaCha8Rng, least: u64, most: u64) -> Step {
    let span = rng.random_range(least..most);
    if rng.random_bool(0.5) { Step::Cut(span) } else { Step::Hang(span) }
}

/// Every team is at its limit, jobs are cancelled whose machines are cut off or hang, and the leader changes, in any order
/// within seconds.
#[test]
fn limits_hold_while_cancelled_jobs_cannot_be_reached_and_leaders_change() {
    days("any order", 15, |rng| {
        vec![
            (rng.random_range(0..5_000), cut_or_hang(rng, 2_000, 60_000)),
            (rng.random_range(0..8_000), Step::Cancel),
            (rng.random_range(0..8_000), Step::Strike(leader_ends(rng))),
        ]
    });
}

/// A new leader has just begun and cannot ask some machines, whose jobs are cancelled while their tasks still count.
#[test]
fn a_new_leader_counts_what_it_cannot_ask() {
    days("a spell", 15, |rng| {
        let lead = rng.random_range(500..3_000);
        vec![
            (0, cut_or_hang(rng, 25_000, 60_000)),
            (lead, Step::Strike(leader_ends(rng))),
            (lead + rng.random_range(0..26_000), Step::Cancel),
        ]
    });
}

/// Jobs are cancelled and over, their tasks still on machines that cannot be asked, when the leader changes, and changes
/// again before their leases are over.
#[test]
fn a_new_leader_counts_what_is_over_and_still_there() {
    days("over and there", 15, |rng| {
        let lead = rng.random_range(1_500..9_000);
        vec![
            (0, cut_or_hang(rng, 25_000, 60_000)),
            (200, Step::Cancel),
            (lead, Step::Strike(leader_ends(rng))),
            (lead + rng.random_range(5_000..14_000), Step::Strike(Fault::Leader(Upon::Crash))),
        ]
    });
}

/// All controllers are away for longer than a lease and come back at different moments, while machines are cut off; jobs are
/// cancelled before and after, and what ended meanwhile is known to nobody.
#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    show_log();
    let (mut had, mut told, mut left) = (0, 0, 0);
    for seed in days_of(10) {
        let binding = BINDINGS[seed as usize % BINDINGS.len()];
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xa3a1);
        let mut world = bound_day(binding, &mut rng);
        let mut cancelled = Vec::new();
        for n in 0..2 {
            world.play_to(18_000 + n * 70_000 + rng.random_range(0..8_000));
            let gone = rng.random_range(200..3_000);
            let mut steps = vec![
                (rng.random_range(0..2_500), Step::Cancel),
                (rng.random_range(0..20_000), cut_or_hang(&mut rng, 5_000, 50_000)),
            ];
            let mut back = u64::MAX;
            for node in 0..3 {
                let (at, away) =
                    (gone + rng.random_range(0..300), rng.random_range(27_000..50_000));
                back = back.min(world.now + at + away);
                steps.push((at, Step::Strike(Fault::NodeDown(node, away))));
            }
            cancelled.extend(befall(&mut world, &mut rng, steps));
            world.play_to(back);
            left += world.region.checker.on_machines().count();
            // Some while nobody is there or just after, to whoever is back first.
            for job in world.open_jobs().choose_multiple(&mut rng, 3) {
                let at = world.now + rng.random_range(0..15_000);
                world.cancel(job.id.as_str(), at);
            }
        }
        had += cancelled.len();
        told += finish(world, &format!("away, seed {seed}, {binding:?}"), &cancelled);
    }
    println!("away: {told} of {had} told cancelled");
    assert!(one_day().is_some() || had >= 20 && told * 2 >= had, "{told} of {had}");
    assert_eq!(left, 0, "leases ran out");
}

/// Leaders change ten times in two minutes, back after 50 ms to 5 s; in every second day the state service is out for a while
/// in their midst. Jobs are cancelled all the while.
#[test]
fn leaders_change_ten_times_in_two_minutes() {
    show_log();
    for seed in days_of(10) {
        let binding = BINDINGS[seed as usize % BINDINGS.len()];
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x10);
        let mut world = bound_day(binding, &mut rng);
        let mut cancelled = Vec::new();
        world.play_to(15_000);
        let outage = (seed % 2 == 1).then(|| rng.random_range(2..8));
        for n in 0..10 {
            let at = world.now;
            world.restart_ms = rng.random_range(50..5_000);
            if outage == Some(n) {
                world.strike(Fault::StoreOutage(rng.random_range(5_000..30_000)));
            }
            let all = rng.random_bool(0.2);
            let end = if all { Fault::CrashAll } else { Fault::Leader(Upon::Crash) };
            let mut steps = vec![(rng.random_range(0..2_000), Step::Strike(end))];
            if n % 3 == 0 {
                steps.push((rng.random_range(0..3_000), Step::Cancel));
                steps.push((rng.random_range(0..3_000), cut_or_hang(&mut rng, 2_000, 40_000)));
            }
            cancelled.extend(befall(&mut world, &mut rng, steps));
            world.play_to(at + 12_000);
        }
        let terms = world.terms();
        assert!(terms >= if outage.is_some() { 6 } else { 10 }, "seed {seed}: {terms} terms");
        assert!(!cancelled.is_empty());
        finish(world, &format!("ten leaders, seed {seed}, {binding:?}, {terms} terms"), &cancelled);
    }
}

/// Jobs of one zone, arrays too, lose machines of that zone, also when it is full.
#[test]
fn jobs_of_one_zone_lose_their_machines() {
    show_log();
    let (mut lost, mut full) = (0, 0);
    for seed in days_of(16) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x2015);
        let team = Terms { name: "blue", ..Terms::default() };
        let capacity = if seed % 2 == 0 { 2 } else { 4 };
        let mut world = World::deployed(Site { capacity, ..site(&[team]) }, &mut rng, CALM_MS);
        world.region.outside.keeps_results = true;
        let mut work_s = 0.0;
        for number in 0.. {
            let mut spec = job(number, Binding::Tiny, &team, &mut rng);
            spec.zone = rng.random_bool(0.7).then(|| Zone::new("a"));
            spec.tasks =
                if spec.shape == Shape::Array { rng.random_range(1..9) } else { spec.tasks };
            // Others may go anywhere, but together, or apart: what was lost must not count for good.
            spec.one_zone = spec.zone.is_none() && rng.random_bool(0.5);
            spec.spread = spec.zone.is_none() && !spec.one_zone;
            work_s += f64::from(spec.tasks) * (spec.estimate_s + AROUND_S);
            if work_s > 500.0 * f64::from(capacity) {
                break;
            }
            let service = spec.shape == Shape::Service;
            world.add_job_at(spec, rng.random_range(1_000..120_000));
            if service {
                world.cancel_last(CALM_MS - 10_000);
            }
        }
        for n in 0..3 {
            world.play_to(25_000 + n * 40_000 + rng.random_range(0..6_000));
            let now = world.now;
            let bound = |spec: &JobSpec| spec.zone.is_some();
            let jobs: Vec<JobSpec> = world.on_machines().into_iter().filter(bound).collect();
            lost += jobs.len();
            let there: BTreeSet<String> =
                jobs.iter().flat_map(|spec| world.machines_of(spec.id.as_str())).collect();
            let span = rng.random_range(5_000..60_000);
            for host in &there {
                match rng.random_range(0..5) {
                    0 | 1 => world.region.take(host),
                    2 => world.region.machine(host).expect("there").cut_until = now + span,
                    3 => world.region.machine(host).expect("there").hung_until = now + span,
                    _ => {
                        world.region.machine(host).expect("there").notice_until = Some(now + 6_000)
                    }
                }
            }
            if rng.random_bool(0.4) {
                let zone_cut = (0..3).map(|node| Fault::Apart(node, 0, span));
                zone_cut.for_each(|fault| world.strike(fault));
            }
            if rng.random_bool(0.5) {
                world.strike(Fault::Scarce(span));
                full += 1;
            }
            if rng.random_bool(0.5) {
                world.strike(leader_ends(&mut rng));
            }
        }
        finish(world, &format!("one zone, seed {seed}, capacity {capacity}"), &[]);
    }
    println!("one zone: {lost} jobs lost machines there, {full} times while the zone had half");
    assert!(one_day().is_some() || lost > 50 && full > 10, "{lost}, {full}");
}

/// Jobs of two or three tasks that end far apart, some before and some after a change of leader: all are told done, and
/// no task was started again, since no machine was lost.
#[test]
fn small_jobs_end_far_apart_across_a_change_of_leader() {
    show_log();
    let mut across = 0;
    for seed in days_of(12) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7);
        let team = Terms { name: "blue", ..Terms::default() };
        let mut world = World::deployed(site(&[team]), &mut rng, 110_000);
        world.region.outside.keeps_results = true;
        let mut tasks = 0;
        for n in 0..24 {
            let mut spec = small_array(&format!("req-{n}"), rng.random_range(2..5));
            spec.tasks = rng.random_range(2..4);
            // One to a machine, so that machines' paces differ within a job.
            spec.gpus = 2.0;
            tasks += spec.tasks as usize;
            world.add_job_at(spec, rng.random_range(1_000..60_000));
        }
        world.restart_ms = [50, 300, 1_000, 5_000][rng.random_range(0..4)];
        let mut ends = BTreeSet::new();
        for n in 0..4 {
            ends.insert(15_000 + n * 20_000 + rng.random_range(0..10_000));
        }
        let mut strikes = ends.into_iter().peekable();
        while world.before(100_000) {
            world.play_to(world.now + 500);
            for (n, worker) in world.region.workers.values_mut().enumerate() {
                worker.slowness = if n % 2 == 0 { 1.0 } else { 5.0 };
            }
            if strikes.peek().is_some_and(|at| world.now >= *at) {
                strikes.next();
                let part = |spec: &JobSpec| {
                    let done = world.region.checker.done_count(spec.id.as_str());
                    done > 0 && done < spec.tasks
                };
                across += world.open_jobs().iter().filter(|spec| part(spec)).count();
                world.strike(Fault::Leader(Upon::Crash));
            }
        }
        let what = format!("far apart, seed {seed}");
        world.play();
        check(&world, &what);
        let unfinished = world.unfinished();
        assert!(unfinished.is_empty(), "{what} leaves undone: {unfinished:#?}");
        assert_eq!(world.told(JobStatus::Done), 24, "{what}");
        assert_eq!(world.region.checker.starts, tasks, "{what}: a task was started again");
    }
    println!("far apart: {across} jobs were done in part when a leader ended");
    assert!(one_day().is_some() || across > 30, "{across}");
}

/// A zone is cut off again and again, and what the cuts hold back comes while they last: reports that look like its return.
/// Once it is back for good, work that may run nowhere else begins soon: a machine is hired there once in 75 s to ask, boots,
/// and hires wait for 24 s on the way back. Guards against a zone that nobody asks, for minutes: since a machine which was
/// known by records alone was waited for, or since all that was heard on the zone's way back was gone.
#[test]
fn work_of_one_zone_begins_soon_after_the_zone_is_back() {
    show_log();
    const BACK_MS: u64 = 165_000;
    const SOON_S: u64 = 110;
    let mut waits = Vec::new();
    for seed in days_of(10) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x20e);
        let team = Terms { name: "blue", ..Terms::default() };
        let mut world = World::deployed(site(&[team]), &mut rng, BACK_MS);
        for number in 0..16 {
            let mut spec = small_array(&format!("req-{number}"), 10);
            spec.tasks = 4;
            spec.spot = rng.random_bool(0.5);
            spec.zone = (number % 4 != 0).then(|| Zone::new("a"));
            world.add_job_at(spec, 1_000 + number * 8_000);
        }
        for (from, span) in [(26_000, 32_000), (65_000, 46_000), (106_000, 59_000)] {
            world.play_to(from);
            (0..3).for_each(|node| world.strike(Fault::Apart(node, 0, span)));
            if rng.random_bool(0.5) {
                world.strike(leader_ends(&mut rng));
            }
        }
        world.play_to(BACK_MS);
        let open = world.open_jobs().len();
        while !world.open_jobs().is_empty() && world.now < BACK_MS + 190_000 {
            world.play_to(world.now + 1_000);
            let there = world.region.checker.on_machines().count();
            let begun = there > 0
                && world.open_jobs().iter().all(|spec| {
                    let id = spec.id.as_str();
                    !world.machines_of(id).is_empty() || world.region.checker.done_count(id) > 0
                });
            if begun {
                break;
            }
        }
        check(&world, &format!("one zone is back, seed {seed}"));
        waits.push((world.now - BACK_MS) / 1_000);
        assert!(one_day().is_some() || open > 0, "seed {seed}: work of the zone waits for it");
    }
    println!("seconds until all work of a zone that is back has begun: {waits:?}");
    assert!(waits.iter().all(|wait| *wait <= SOON_S), "{waits:?}");
}

// --- A result that was kept ------------------------------------------------------------------------

/// What a machine reports to the only controller, and what it is told.
fn told(solo: &mut Solo, host: &str, tally: u64, tasks: &[(&str, TaskPhase)]) -> Vec<Order> {
    let token = solo.core.valid(solo.clock().mono).expect("it leads");
    let row = |(task, status): &(&str, TaskPhase)| TaskReport {
        task: (*task).into(),
        attempt: Attempt(5),
        status: *status,
        cause: (*status == TaskPhase::Exited).then_some(Cause::Done),
        stored: false,
        ran_ms: None,
    };
    let report = Report {
        host: HostId::new(host),
        addr: format!("10.0.0.9:{}", &host[2..]),
        flavor: "g4".into(),
        zone: Zone::new("a"),
        spot: false,
        shift: Shift(1),
        tally: Tally(tally),
        token,
        notice_s: None,
        tasks: tasks.iter().map(row).collect(),
    };
    let conn = solo.ask(Request::Report(Box::new(report)));
    solo.pass(3_500);
    let reply = solo.reply(conn).expect("answered");
    let answer: ReportAnswer = serde_json::from_str(&reply.body).expect("an answer");
    answer.orders
}

/// A gang of which nobody knows that it has completed is started again, and the task that has its image first ends at once
/// with the result that was kept, while the others are still fetching. They count in their team's limit, and the job is not
/// done, until their own machines say that they are gone.
#[test]
fn a_gangs_kept_result_frees_only_what_has_ended() {
    show_log();
    for gone in [false, true] {
        let mut solo = Solo::new();
        let big = |id: &str, tasks| JobSpec {
            team: "red".into(),
            tasks,
            gpus: 4.0,
            ..small_array(id, 9)
        };
        let live = |spec: JobSpec| {
            let key = format!("live/{}", spec.id);
            Change::put(key, json!(LiveRecord { spec, wall_ms: 1_000_000, part: None }))
        };
        // Twelve of the team's fourteen GPUs.
        let gang = JobSpec { shape: Shape::Gang, ..big("req-1", 3) };
        let held = |index: u32| {
            let host = HostId::new(&format!("i-{}", index + 1));
            (index, Attempt(5), host, Shift(1), Zone::new("a"))
        };
        let record = ChunkRecord {
            done: String::new(),
            held: (0..3).map(held).collect(),
            size: ("red".into(), 1.0, 4.0, 1.0, 3),
            charges: Default::default(),
            usage: Default::default(),
        };
        solo.write(vec![
            live(gang),
            // What the first task's end leaves of the limit does not suffice for it.
            live(JobSpec { shape: Shape::Gang, ..big("req-2", 2) }),
            Change::put("asg/req-1/0000".into(), json!(record)),
        ]);
        solo.pass(500);
        let fetches = |task| [(task, TaskPhase::Fetching)];
        told(&mut solo, "i-1", 1, &fetches("req-1/0"));
        told(&mut solo, "i-2", 1, &fetches("req-1/1"));
        told(&mut solo, "i-3", 1, &fetches("req-1/2"));
        told(&mut solo, "i-4", 1, &[]);
        told(&mut solo, "i-1", 2, &[("req-1/0", TaskPhase::Exited)]);
        let ended = |task| [(task, if gone { TaskPhase::Exited } else { TaskPhase::Fetching })];
        let stops = [("i-2", "req-1/1"), ("i-3", "req-1/2")].map(|(host, task)| {
            let orders = told(&mut solo, host, 2, &ended(task));
            orders.iter().any(|order| matches!(order, Order::Stop { task: t, .. } if t == task))
        });
        assert_eq!(stops, [!gone; 2], "what is still there is told to stop");
        let mut orders = told(&mut solo, "i-1", 3, &[]);
        orders.extend(told(&mut solo, "i-4", 2, &[]));
        let runs = orders.iter().any(|order| matches!(order, Order::Run { .. }));
        assert_eq!(runs, gone, "the limit counts what is still there: {orders:?}");
        assert_eq!(!solo.state.rows("over/req-1").is_empty(), gone);
    }
}

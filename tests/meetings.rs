//! Two troubles that meet: each meeting is brought about at many phases, and pairs of troubles are drawn.

#[allow(dead_code)]
mod world;

use oatloom_protocol::wire::{JobStatus, Shape};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::troubles::trouble;
use world::{Fault, Upon, World, check, more_days, show_log, small_array};

const CALM_MS: u64 = 150_000;

/// So many troubles at overlapping times, three times a day.
fn meetings(seed: u64, troubles: u64) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for n in 0..3 {
        let at = 8_000 + n * 40_000 + rng.random_range(0..8_000);
        let (span, gap) = (rng.random_range(1_000..60_000), rng.random_range(0..20_000));
        faults.push((at, trouble(&mut rng, span)));
        for k in 1..troubles {
            let further = rng.random_range(1_000..30_000);
            faults.push((at + gap / k, trouble(&mut rng, further)));
        }
    }
    faults.sort_by_key(|(at, _)| *at);
    // The longest reaches 60 s beyond its beginning, hanging machines and copies of reports twice that.
    let mut world = World::scripted(seed, faults.clone(), 260_000, Some(Shape::Array));
    world.restart_ms = [50, 300, 1_000, 5_000][rng.random_range(0..4)];
    world.cancel_some(0.4, 15_000, 140_000);
    world.play();
    let what = format!("seed {seed}, {faults:?}");
    check(&world, &what);
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "{what} leaves undone: {unfinished:#?}");
    world
}

#[test]
fn drawn_pairs_of_troubles_keep_the_rules() {
    for seed in 0..12 + more_days() {
        meetings(seed, 2);
    }
}

#[test]
fn drawn_threes_of_troubles_keep_the_rules() {
    for seed in 2_000_000..2_000_008 + more_days() {
        meetings(seed, 3);
    }
}

/// The state service refuses the leader alone, jobs are cancelled, then it is down for all for longer than a
/// cancellation may take: over the phase between the refusal and the outage, with one to three controllers.
#[test]
fn refused_alone_then_down_for_all_leaves_no_cancelled_task() {
    show_log();
    for (n, phase) in (0..=12_000).step_by(1_500).enumerate() {
        let controllers = 1 + n % 3;
        let mut faults = vec![
            (60_000, Fault::Leader(Upon::Refused(14_000))),
            (60_000 + phase, Fault::StoreOutage(if n % 4 == 3 { 600_000 } else { 71_000 })),
        ];
        for node in controllers..3 {
            faults.push((2_000, Fault::NodeDown(node, 10_000_000)));
        }
        faults.sort_by_key(|(at, _)| *at);
        let calm = if n % 4 == 3 { 680_000 } else { 150_000 };
        let mut world = World::scripted(n as u64, faults, calm, Some(Shape::Array));
        world.cancel_some(0.8, 55_000, 80_000);
        world.play();
        check(&world, &format!("{controllers} controllers, phase {phase} ms"));
    }
}

/// Machines hear nothing while jobs of theirs are cancelled, and hear again when a new leader has its key and loses the
/// state service before it has read its book. Guards against a leader that keeps alive what it does not know to be
/// wanted: two leases are longer than a cancellation may take.
#[test]
fn a_new_leader_keeps_nothing_alive_that_it_does_not_know_to_be_wanted() {
    show_log();
    for seed in 0..8 {
        let faults = vec![(30_000, Fault::MachinesDeaf(100_000, 1))];
        let mut world = World::scripted(seed, faults, CALM_MS, None);
        world.alone();
        for n in 0..8 {
            world.add_job_at(small_array(&format!("req-{n}"), 300), 2_000);
            world.cancel_last(30_300);
        }
        world.play_to(48_300);
        world.strike(Fault::Leader(Upon::Down(100_000)));
        while world.leads().is_none() && world.now < 56_000 {
            world.step();
        }
        world.strike(Fault::StoreOutage(71_000));
        world.strike(Fault::MachinesDeaf(0, 1));
        world.play_to(CALM_MS);
        assert!(world.region.checker.starts > 8, "seed {seed}: its tasks ran");
        check(&world, &format!("seed {seed}"));
    }
}

/// Half of the machines hear nothing for two minutes, while jobs come. Guards against tasks that wait for as long on a
/// machine whose reports arrive.
#[test]
fn work_does_not_wait_for_machines_that_hear_nothing() {
    show_log();
    let (mut told, mut all) = (0, 0);
    for seed in 0..6 {
        let faults = vec![(30_000, Fault::MachinesDeaf(150_000, 2))];
        let mut world = World::scripted(seed, faults, 180_000, None);
        world.alone();
        for n in 0..12 {
            let spec = small_array(&format!("req-{n}"), 8);
            world.add_job_at(spec, 5_000 + n * 6_000);
        }
        world.play_to(140_000);
        check(&world, &format!("seed {seed}"));
        told += world.told(JobStatus::Done);
        all += 12;
    }
    println!("{told} of {all} jobs were done while half of the machines were deaf");
    assert!(told * 10 >= all * 9, "{told} of {all}");
}

/// A controller is served by the state service and cannot reach the leader, who alone may speak of open jobs: it says so
/// well before the users who stay with it have gone without an answer for 75 s, and again that it is up once it can.
#[test]
fn one_that_cannot_reach_the_leader_for_long_says_so() {
    for seed in 0..4 {
        let mut world = World::scripted(seed, Vec::new(), 200_000, None);
        world.probing = true;
        world.play_to(40_000);
        let leader = world.leads().expect("somebody leads");
        let node = (leader + 1) % 3;
        world.strike(Fault::PeersApart(node, leader, 100_000));
        world.play_to(160_000);
        let share = |from, to| world.healthy(from, to)[node];
        assert!(share(10_000, 60_000) > 0.95, "a short cut is borne");
        assert!(share(84_000, 139_000) < 0.3, "seed {seed}: {}", share(84_000, 139_000));
        assert!(share(150_000, 160_000) > 0.8, "seed {seed}: {}", share(150_000, 160_000));
        assert!(world.healthy(10_000, 160_000)[leader] > 0.95);
        check(&world, &format!("seed {seed}"));
    }
}

/// A controller loses the state service and the other controllers: it says soon that it cannot take requests, and again
/// that it can once it is back.
#[test]
fn one_that_is_cut_from_state_and_peers_says_so() {
    for (seed, node) in (0..4).flat_map(|seed| (0..3).map(move |node| (seed, node))) {
        let mut world =
            World::scripted(seed, vec![(40_000, Fault::NodeParted(node, 60_000))], 100_000, None);
        world.alone();
        world.probing = true;
        world.play_to(115_000);
        let told = |from, to, node| world.healthy(from, to)[node];
        assert!(told(10_000, 40_000, node) > 0.95);
        assert!(
            told(50_000, 99_000, node) < 0.05,
            "seed {seed}, {node}: {}",
            told(50_000, 99_000, node)
        );
        assert!(told(108_000, 115_000, node) > 0.9);
        assert!((0..3).filter(|n| *n != node).all(|n| told(10_000, 115_000, n) > 0.95));
    }
}

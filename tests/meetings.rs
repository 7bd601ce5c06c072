//! Two troubles that meet: each meeting is brought about at many phases, and pairs of troubles are drawn.

#[allow(dead_code)]
mod world;

use oatloom_protocol::wire::{JobStatus, Shape};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::troubles::random_fault;
use world::{Fault, LeaderFault, World, assert_rules, extra_seeds, init_log, small_array};

const CALM_MS: u64 = 150_000;

/// So many troubles at overlapping times, three times a day.
fn meetings(seed: u64, troubles: u64) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for n in 0..3 {
        let at = 8_000 + n * 40_000 + rng.random_range(0..8_000);
        let (span, gap) = (rng.random_range(1_000..60_000), rng.random_range(0..20_000));
        faults.push((at, random_fault(&mut rng, span)));
        for k in 1..troubles {
            let further = rng.random_range(1_000..30_000);
            faults.push((at + gap / k, random_fault(&mut rng, further)));
        }
    }
    faults.sort_by_key(|(at, _)| *at);
    // The longest reaches 60 s beyond its beginning, hanging machines and copies of reports twice that.
    let mut world = World::with_faults(seed, faults.clone(), 260_000, Some(Shape::Array));
    world.restart_ms = [50, 300, 1_000, 5_000][rng.random_range(0..4)];
    world.cancel_share(0.4, 15_000, 140_000);
    world.run();
    let what = format!("seed {seed}, {faults:?}");
    assert_rules(&world, &what);
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "{what} leaves undone: {unfinished:#?}");
    world
}

#[test]
fn drawn_pairs_of_troubles_keep_the_rules() {
    for seed in 0..12 + extra_seeds() {
        meetings(seed, 2);
    }
}

#[test]
fn drawn_threes_of_troubles_keep_the_rules() {
    for seed in 2_000_000..2_000_008 + extra_seeds() {
        meetings(seed, 3);
    }
}

/// The state service refuses the leader alone, jobs are cancelled, then it is down for all for longer than a
/// cancellation may take: over the phase between the refusal and the outage, with one to three controllers.
#[test]
fn refused_alone_then_down_for_all_leaves_no_cancelled_task() {
    init_log();
    for (n, phase) in (0..=12_000).step_by(1_500).enumerate() {
        let controllers = 1 + n % 3;
        let mut faults = vec![
            (60_000, Fault::Leader(LeaderFault::StoreRefuses(14_000))),
            (60_000 + phase, Fault::StoreOutage(if n % 4 == 3 { 600_000 } else { 71_000 })),
        ];
        for node in controllers..3 {
            faults.push((2_000, Fault::NodeDown(node, 10_000_000)));
        }
        faults.sort_by_key(|(at, _)| *at);
        let calm = if n % 4 == 3 { 680_000 } else { 150_000 };
        let mut world = World::with_faults(n as u64, faults, calm, Some(Shape::Array));
        world.cancel_share(0.8, 55_000, 80_000);
        world.run();
        assert_rules(&world, &format!("{controllers} controllers, phase {phase} ms"));
    }
}

/// Machines hear nothing while jobs of theirs are cancelled, and hear again when a new leader has its key and loses the
/// state service before it has read its book. Guards against a leader that keeps alive what it does not know to be
/// wanted: two leases are longer than a cancellation may take.
#[test]
fn a_new_leader_keeps_nothing_alive_that_it_does_not_know_to_be_wanted() {
    init_log();
    for seed in 0..8 {
        let faults = vec![(30_000, Fault::MachinesInboundLost(100_000, 1))];
        let mut world = World::with_faults(seed, faults, CALM_MS, None);
        world.remove_users();
        for n in 0..8 {
            world.add_job_at(small_array(&format!("req-{n}"), 300), 2_000);
            world.cancel_last(30_300);
        }
        world.run_until(48_300);
        world.inject_fault(Fault::Leader(LeaderFault::Down(100_000)));
        while world.leader().is_none() && world.now < 56_000 {
            world.step();
        }
        world.inject_fault(Fault::StoreOutage(71_000));
        world.inject_fault(Fault::MachinesInboundLost(0, 1));
        world.run_until(CALM_MS);
        assert!(world.region.checker.starts > 8, "seed {seed}: its tasks ran");
        assert_rules(&world, &format!("seed {seed}"));
    }
}

/// Half of the machines hear nothing for two minutes, while jobs come. Guards against tasks that wait for as long on a
/// machine whose reports arrive.
#[test]
fn work_does_not_wait_for_machines_that_hear_nothing() {
    init_log();
    let (mut told, mut all) = (0, 0);
    for seed in 0..6 {
        let faults = vec![(30_000, Fault::MachinesInboundLost(150_000, 2))];
        let mut world = World::with_faults(seed, faults, 180_000, None);
        world.remove_users();
        for n in 0..12 {
            let spec = small_array(&format!("req-{n}"), 8);
            world.add_job_at(spec, 5_000 + n * 6_000);
        }
        world.run_until(140_000);
        assert_rules(&world, &format!("seed {seed}"));
        told += world.count_with_known_status(JobStatus::Done);
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
        let mut world = World::with_faults(seed, Vec::new(), 200_000, None);
        world.probing = true;
        world.run_until(40_000);
        let leader = world.leader().expect("somebody leads");
        let node = (leader + 1) % 3;
        world.inject_fault(Fault::PeersPartitioned(node, leader, 100_000));
        world.run_until(160_000);
        let share = |from, to| world.healthy_probe_share(from, to)[node];
        assert!(share(10_000, 60_000) > 0.95, "a short cut is borne");
        assert!(share(84_000, 139_000) < 0.3, "seed {seed}: {}", share(84_000, 139_000));
        assert!(share(150_000, 160_000) > 0.8, "seed {seed}: {}", share(150_000, 160_000));
        assert!(world.healthy_probe_share(10_000, 160_000)[leader] > 0.95);
        assert_rules(&world, &format!("seed {seed}"));
    }
}

/// A controller loses the state service and the other controllers: it says soon that it cannot take requests, and again
/// that it can once it is back.
#[test]
fn one_that_is_cut_from_state_and_peers_says_so() {
    for (seed, node) in (0..4).flat_map(|seed| (0..3).map(move |node| (seed, node))) {
        let mut world = World::with_faults(
            seed,
            vec![(40_000, Fault::NodeIsolated(node, 60_000))],
            100_000,
            None,
        );
        world.remove_users();
        world.probing = true;
        world.run_until(115_000);
        let told = |from, to, node| world.healthy_probe_share(from, to)[node];
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

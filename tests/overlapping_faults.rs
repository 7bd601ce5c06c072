//! Overlapping faults: specific pairs at many relative times, and random combinations.

#[allow(dead_code)]
mod world;

use oatloom_protocol::wire::{JobStatus, Shape};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::random_faults::random_fault;
use world::{Fault, LeaderFault, World, assert_rules, extra_seeds, init_log, small_array};

const FAULTS_END_MS: u64 = 150_000;

/// Runs a day with three groups of this many overlapping random faults.
fn overlapping_faults(seed: u64, faults_per_group: u64) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for n in 0..3 {
        let at = 8_000 + n * 40_000 + rng.random_range(0..8_000);
        let (span, gap) = (rng.random_range(1_000..60_000), rng.random_range(0..20_000));
        faults.push((at, random_fault(&mut rng, span)));
        for k in 1..faults_per_group {
            let further_span = rng.random_range(1_000..30_000);
            faults.push((at + gap / k, random_fault(&mut rng, further_span)));
        }
    }
    faults.sort_by_key(|(at, _)| *at);
    // The longest fault lasts 60 s, hanging machines and duplicated reports twice as long.
    let mut world = World::with_faults(seed, faults.clone(), 260_000, Some(Shape::Array));
    world.restart_ms = [50, 300, 1_000, 5_000][rng.random_range(0..4)];
    world.cancel_share(0.4, 15_000, 140_000);
    world.run();
    let context = format!("seed {seed}, {faults:?}");
    assert_rules(&world, &context);
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "{context} has unfinished jobs: {unfinished:#?}");
    world
}

#[test]
fn random_pairs_of_faults_keep_the_rules() {
    for seed in 0..12 + extra_seeds() {
        overlapping_faults(seed, 2);
    }
}

#[test]
fn random_triples_of_faults_keep_the_rules() {
    for seed in 2_000_000..2_000_008 + extra_seeds() {
        overlapping_faults(seed, 3);
    }
}

/// The state service refuses only the leader, jobs are cancelled, then it is down for all for longer than a cancellation may
/// take. Varies the time between the refusal and the outage, and the number of controllers from one to three.
#[test]
fn a_refused_leader_then_an_outage_leaves_no_cancelled_task() {
    init_log();
    for (n, delay_ms) in (0..=12_000).step_by(1_500).enumerate() {
        let controllers = 1 + n % 3;
        let mut faults = vec![
            (60_000, Fault::Leader(LeaderFault::StoreRefuses(14_000))),
            (60_000 + delay_ms, Fault::StoreOutage(if n % 4 == 3 { 600_000 } else { 71_000 })),
        ];
        for node in controllers..3 {
            faults.push((2_000, Fault::NodeDown(node, 10_000_000)));
        }
        faults.sort_by_key(|(at, _)| *at);
        let faults_end_ms = if n % 4 == 3 { 680_000 } else { 150_000 };
        let mut world = World::with_faults(n as u64, faults, faults_end_ms, Some(Shape::Array));
        world.cancel_share(0.8, 55_000, 80_000);
        world.run();
        assert_rules(&world, &format!("{controllers} controllers, delay {delay_ms} ms"));
    }
}

/// Machines receive nothing while their jobs are cancelled, and can receive again when a new leader has the leader key but loses
/// the state service before it has loaded its job table. Guards against a leader that renews the leases of tasks that may have
/// been cancelled: two leases are longer than a cancellation may take.
#[test]
fn a_new_leader_renews_no_lease_before_its_job_table_is_loaded() {
    init_log();
    for seed in 0..8 {
        let faults = vec![(30_000, Fault::MachinesInboundLost(100_000, 1))];
        let mut world = World::with_faults(seed, faults, FAULTS_END_MS, None);
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
        world.run_until(FAULTS_END_MS);
        assert!(world.region.checker.start_count > 8, "seed {seed}: its tasks ran");
        assert_rules(&world, &format!("seed {seed}"));
    }
}

/// Half of the machines receive no messages for two minutes, while jobs are submitted. Guards against tasks that wait on such a
/// machine all that time because its reports still arrive.
#[test]
fn jobs_do_not_wait_for_machines_that_receive_nothing() {
    init_log();
    let (mut done, mut all) = (0, 0);
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
        done += world.count_with_known_status(JobStatus::Done);
        all += 12;
    }
    println!("{done} of {all} jobs were done while half of the machines received nothing");
    assert!(done * 10 >= all * 9, "{done} of {all}");
}

/// A controller is served by the state service but cannot reach the leader, the only one that may report on open jobs: it
/// reports unhealthy well before its users have gone without an answer for 75 s, and healthy again once it reaches the leader.
#[test]
fn a_controller_that_cannot_reach_the_leader_reports_unhealthy() {
    for seed in 0..4 {
        let mut world = World::with_faults(seed, Vec::new(), 200_000, None);
        world.probing = true;
        world.run_until(40_000);
        let leader = world.leader().expect("there is a leader");
        let node = (leader + 1) % 3;
        world.inject_fault(Fault::PeersPartitioned(node, leader, 100_000));
        world.run_until(160_000);
        let healthy_share = |from, to| world.healthy_probe_share(from, to)[node];
        assert!(healthy_share(10_000, 60_000) > 0.95, "a short partition is tolerated");
        assert!(
            healthy_share(84_000, 139_000) < 0.3,
            "seed {seed}: {}",
            healthy_share(84_000, 139_000)
        );
        assert!(
            healthy_share(150_000, 160_000) > 0.8,
            "seed {seed}: {}",
            healthy_share(150_000, 160_000)
        );
        assert!(world.healthy_probe_share(10_000, 160_000)[leader] > 0.95);
        assert_rules(&world, &format!("seed {seed}"));
    }
}

/// A controller loses the state service and the other controllers: it soon reports unhealthy, and healthy again once it is
/// reconnected.
#[test]
fn a_controller_without_state_service_and_peers_reports_unhealthy() {
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
        let healthy_share = |from, to, node| world.healthy_probe_share(from, to)[node];
        assert!(healthy_share(10_000, 40_000, node) > 0.95);
        assert!(
            healthy_share(50_000, 99_000, node) < 0.05,
            "seed {seed}, {node}: {}",
            healthy_share(50_000, 99_000, node)
        );
        assert!(healthy_share(108_000, 115_000, node) > 0.9);
        assert!((0..3).filter(|n| *n != node).all(|n| healthy_share(10_000, 115_000, n) > 0.95));
    }
}

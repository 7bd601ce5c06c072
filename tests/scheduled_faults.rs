//! Days with one kind of fault each at fixed times, over several seeds: the rules hold, and the controllers recover within
//! their time limits.

#[allow(dead_code)]
mod world;

use oatloom_protocol::wire::{JobStatus, Shape};
use world::{Fault, World};

fn assert_no_broken_rule(world: &World, seed: u64) {
    let violations = &world.region.checker.violations;
    assert!(violations.is_empty(), "seed {seed} breaks rules: {violations:#?}");
}

fn assert_finished(world: &World, seed: u64) {
    assert_no_broken_rule(world, seed);
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "seed {seed} has unfinished jobs: {unfinished:#?}");
}

/// The state service restarts while gangs are partly placed: some assignments are durable, some in flight, and some start
/// commands were answered.
#[test]
fn state_service_restarts_during_gang_placement_keep_the_rules() {
    for seed in 0..8 {
        let faults = (0..60).map(|n| (3_000 + n * 2_000, Fault::StoreRestart)).collect();
        let mut world = World::with_faults(seed, faults, 130_000, Some(Shape::Gang));
        world.run();
        assert_finished(&world, seed);
    }
}

/// Hires are executed late and their replies lost, and the leader changes in between: every machine is used or released, and no
/// request name is used twice (the simulated cloud checks).
#[test]
fn machines_that_arrive_late_are_used_or_released() {
    for seed in 0..8 {
        let mut faults = vec![(1_000, Fault::CloudDelayed(100_000, 9_000))];
        faults.extend((0..9).map(|n| (6_000 + n * 11_000, Fault::Crash(n as usize % 3))));
        let mut world = World::with_faults(seed, faults, 120_000, None);
        world.run();
        assert_finished(&world, seed);
        // The boot timeout, the lag of the cloud's list and a release have passed by then.
        let unknown: Vec<_> = world
            .region
            .unreported_machines
            .iter()
            .filter(|(_, at)| world.now > **at + 60_000)
            .collect();
        assert!(unknown.is_empty(), "seed {seed}: unknown machines still rented: {unknown:?}");
    }
}

/// A transaction is executed and its reply lost, then the state service restarts, then the leader or all controllers are killed.
#[test]
fn a_lost_reply_a_state_service_restart_and_a_killed_leader_keep_the_rules() {
    for seed in 0..8 {
        let mut faults = Vec::new();
        for n in 0..8 {
            let at = 5_000 + n * 14_000;
            faults.push((at, Fault::StoreRepliesLost(1_500)));
            faults.push((at + 1_400, Fault::StoreRestart));
            faults.push((
                at + 1_500,
                if n % 2 == 0 { Fault::CrashAll } else { Fault::Crash(n as usize % 3) },
            ));
        }
        let mut world = World::with_faults(seed, faults, 125_000, None);
        world.run();
        assert_finished(&world, seed);
    }
}

/// All controllers are killed at once, twenty times within two minutes.
#[test]
fn twenty_crashes_of_all_controllers_keep_the_rules() {
    for seed in 0..6 {
        let faults = (0..20).map(|n| (4_000 + n * 6_000, Fault::CrashAll)).collect();
        let mut world = World::with_faults(seed, faults, 130_000, None);
        world.restart_ms = 1_000;
        world.run();
        assert_finished(&world, seed);
    }
}

/// The cloud refuses hires for eight hours: no queue grows without bound, and its machines are in full use within a minute of
/// its return.
#[test]
fn an_eight_hour_cloud_outage_is_survived() {
    const OUTAGE_MS: u64 = 8 * 3_600_000;
    for seed in 0..3 {
        let outage = vec![(800, Fault::CloudOutage(OUTAGE_MS))];
        let mut world = World::with_faults(seed, outage, 900, Some(Shape::Array));
        world.run_until(300_000);
        let load_at_start = world.max_queue_load();
        world.run_until(OUTAGE_MS);
        assert_no_broken_rule(&world, seed);
        let (waiting, up) = world.pending_tasks_and_machines_up();
        assert!(waiting > 20 && up == 0, "seed {seed}: {waiting} tasks wait for {up} machines");
        let load_at_end = world.max_queue_load();
        let total = load_at_end.open_requests
            + load_at_end.store_operations
            + load_at_end.cloud_calls
            + load_at_end.peer_requests
            + load_at_end.parked_reports
            + load_at_end.unwritten_changes;
        assert!(
            total < 40,
            "seed {seed}: {load_at_start:?} at the start, {load_at_end:?} at the end"
        );
        // Until every job that may run is running or finished.
        let outage_end = 800 + OUTAGE_MS;
        while world.pending_tasks_and_machines_up().0 > 0 && world.now < outage_end + 120_000 {
            world.step();
        }
        println!("seed {seed}: full use {} ms after the cloud's return", world.now - outage_end);
        assert!(
            world.now <= outage_end + 60_000,
            "seed {seed}: {:?}",
            world.pending_tasks_and_machines_up()
        );
        world.run_until(outage_end + 300_000);
        assert_finished(&world, seed);
    }
}

/// The state service is down for a minute. Workers keep their tasks as long as their leases allow, and the first jobs reach a
/// final state soon after its return.
#[test]
fn a_one_minute_state_service_outage_is_survived() {
    let (mut max_delay_ms, mut days_without) = (0, 0);
    for seed in 0..10 {
        let (from, span) = (60_000, 60_000);
        let mut world = World::with_faults(
            seed,
            vec![(from, Fault::StoreOutage(span))],
            from + span,
            Some(Shape::Array),
        );
        world.run_until(from + span);
        assert_no_broken_rule(&world, seed);
        let count_finished_jobs = |w: &World| {
            w.count_with_known_status(JobStatus::Done)
                + w.count_with_known_status(JobStatus::Cancelled)
        };
        let before = count_finished_jobs(&world);
        while count_finished_jobs(&world) == before && world.now < from + span + 60_000 {
            world.step();
        }
        let delay_ms = world.now - from - span;
        max_delay_ms = max_delay_ms.max(delay_ms);
        days_without += u32::from(count_finished_jobs(&world) == before);
        world.run();
        assert_finished(&world, seed);
    }
    println!("the first final state came within {max_delay_ms} ms; {days_without} days had none");
    assert!(max_delay_ms <= 5_000, "{max_delay_ms} ms");
}

/// Spot machines are reclaimed all day, most with notice. Guards against tasks that are told to save and then, while saving, to
/// stop at once: on enough days some have the time to save.
#[test]
fn tasks_on_reclaimed_machines_have_time_to_save() {
    let (mut saved, mut days) = (0, 0);
    for seed in 0..16 {
        let faults = (0..40).map(|n| (6_000 + n * 3_000, Fault::SpotReclaimed)).collect();
        let mut world = World::with_faults(seed, faults, 130_000, Some(Shape::Array));
        world.run();
        assert_finished(&world, seed);
        saved += world.region.checker.saved_count;
        days += u32::from(world.region.checker.saved_count > 0);
    }
    println!("{saved} tasks saved, on {days} days of 16");
    assert!(days >= 5, "{saved} tasks that were stopped had the time to save, on {days} days");
}

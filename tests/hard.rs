//! Hard days, each of one kind of trouble at set times, over several seeds: the rules hold, and the controllers
//! come back as fast as they can.

#[allow(dead_code)]
mod world;

use oatloom_protocol::wire::{JobStatus, Shape};
use world::{Fault, World};

fn check(world: &World, seed: u64) {
    let broken = &world.region.checker.broken;
    assert!(broken.is_empty(), "seed {seed} breaks rules: {broken:#?}");
}

fn finished(world: &World, seed: u64) {
    check(world, seed);
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "seed {seed} leaves undone: {unfinished:#?}");
}

/// The state service restarts while gangs are half placed: some assignments are durable, some in flight, some
/// start commands were answered.
#[test]
fn the_state_service_restarts_while_gangs_are_placed() {
    for seed in 0..8 {
        let faults = (0..60).map(|n| (3_000 + n * 2_000, Fault::StoreRestart)).collect();
        let mut world = World::with_faults(seed, faults, 130_000, Some(Shape::Gang));
        world.run();
        finished(&world, seed);
    }
}

/// Hires are carried out late and their answers lost, and the leader changes in between: every machine is used or
/// returned, and no request name comes twice (the cloud looks).
#[test]
fn machines_that_arrive_after_their_request_was_abandoned() {
    for seed in 0..8 {
        let mut faults = vec![(1_000, Fault::CloudDelayed(100_000, 9_000))];
        faults.extend((0..9).map(|n| (6_000 + n * 11_000, Fault::Crash(n as usize % 3))));
        let mut world = World::with_faults(seed, faults, 120_000, None);
        world.run();
        finished(&world, seed);
        // Boot patience, the list's lag and a release are over long ago.
        let old: Vec<_> =
            world.region.unseen.iter().filter(|(_, at)| world.now > **at + 60_000).collect();
        assert!(old.is_empty(), "seed {seed}: paid for unseen: {old:?}");
    }
}

/// A transaction is executed and its reply lost, then the state service restarts, then the leader is killed.
#[test]
fn a_lost_reply_then_a_restart_then_a_killed_leader() {
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
        finished(&world, seed);
    }
}

/// All controllers are killed at once, twenty times in two minutes.
#[test]
fn all_controllers_are_killed_twenty_times() {
    for seed in 0..6 {
        let faults = (0..20).map(|n| (4_000 + n * 6_000, Fault::CrashAll)).collect();
        let mut world = World::with_faults(seed, faults, 130_000, None);
        world.restart_ms = 1_000;
        world.run();
        finished(&world, seed);
    }
}

/// The cloud refuses for eight hours: nothing grows, and its machines are in full use within a minute of its
/// return.
#[test]
fn the_cloud_refuses_all_night() {
    const NIGHT_MS: u64 = 8 * 3_600_000;
    for seed in 0..3 {
        let outage = vec![(800, Fault::CloudOutage(NIGHT_MS))];
        let mut world = World::with_faults(seed, outage, 900, Some(Shape::Array));
        world.run_until(300_000);
        let early = world.max_queue_load();
        world.run_until(NIGHT_MS);
        check(&world, seed);
        let (waiting, up) = world.pending_tasks_and_machines_up();
        assert!(waiting > 20 && up == 0, "seed {seed}: {waiting} tasks wait for {up} machines");
        let late = world.max_queue_load();
        let all = late.open_requests
            + late.store_operations
            + late.cloud_calls
            + late.peer_requests
            + late.parked_reports
            + late.unwritten_changes;
        assert!(all < 40, "seed {seed}: {early:?} early, {late:?} late");
        // All that may run does, or has.
        let back = 800 + NIGHT_MS;
        while world.pending_tasks_and_machines_up().0 > 0 && world.now < back + 120_000 {
            world.step();
        }
        println!("seed {seed}: full use {} ms after the cloud's return", world.now - back);
        assert!(
            world.now <= back + 60_000,
            "seed {seed}: {:?}",
            world.pending_tasks_and_machines_up()
        );
        world.run_until(back + 300_000);
        finished(&world, seed);
    }
}

/// The state service pauses for a minute. Workers keep their tasks as long as the rules allow (their leases), and
/// the first final answers come soon after its return.
#[test]
fn the_state_service_pauses_for_a_minute() {
    let (mut slowest, mut none) = (0, 0);
    for seed in 0..10 {
        let (from, span) = (60_000, 60_000);
        let mut world = World::with_faults(
            seed,
            vec![(from, Fault::StoreOutage(span))],
            from + span,
            Some(Shape::Array),
        );
        world.run_until(from + span);
        check(&world, seed);
        let over = |w: &World| {
            w.count_with_known_status(JobStatus::Done)
                + w.count_with_known_status(JobStatus::Cancelled)
        };
        let before = over(&world);
        while over(&world) == before && world.now < from + span + 60_000 {
            world.step();
        }
        let took = world.now - from - span;
        slowest = slowest.max(took);
        none += u32::from(over(&world) == before);
        world.run();
        finished(&world, seed);
    }
    println!("the first final answer came within {slowest} ms; {none} days had none to give");
    assert!(slowest <= 5_000, "{slowest} ms");
}

/// Spot machines are taken back all day, most with notice. Guards against tasks that are told to save and then,
/// while they do, to end at once: some have the time, on most days.
#[test]
fn tasks_on_machines_that_are_taken_have_the_time_to_save() {
    let (mut saved, mut days) = (0, 0);
    for seed in 0..16 {
        let faults = (0..40).map(|n| (6_000 + n * 3_000, Fault::SpotReclaimed)).collect();
        let mut world = World::with_faults(seed, faults, 130_000, Some(Shape::Array));
        world.run();
        finished(&world, seed);
        saved += world.region.checker.saved;
        days += u32::from(world.region.checker.saved > 0);
    }
    println!("{saved} tasks saved, on {days} days of 16");
    assert!(days >= 5, "{saved} tasks that were stopped had the time to save, on {days} days");
}

//! A leader after a crash of all controllers during a zone partition: how it treats machines of the former leader that have not
//! reported yet, and where it hires.
//!
//! Guards against hiring in the partitioned zone (`tests/zones.rs`, seeds 200 to 205: 4 machines, all with seed 203; with 30
//! more seeds 28 machines on 7 of 36 days). It came about in three ways:
//! - If the cloud's list of machines, with their ages, was read before the records, machines that were up under the former leader
//!   were released as never reported, 10.5 s into the term and long before their leases ended. This also killed their tasks and
//!   removed the evidence that the zone was silent, so that it counted as healthy (seeds 203, 225).
//! - Hires were requested before the list of machines had been read once (seeds 209, 217, 219, 234).
//! - With fewer than three machines left in the zone, no report was expected, and the zone counted as healthy until they were
//!   overdue: up to six machines were hired in that time (seeds 210, 217, 234).

#[allow(dead_code)]
mod world;

use oatloom_core::api::{Request, Submission};
use oatloom_protocol::ids::JobId;
use oatloom_protocol::wire::{JobSpec, MachineList, Rank, Shape};
use std::collections::BTreeSet;
use world::solo::Solo;
use world::{Fault, World, extra_seeds, init_log};

const LOST_AT_MS: u64 = 60_000;
const CRASHED_AT_MS: u64 = 62_000;
/// Shorter than a lease, which is 26 s.
const LOST_FOR_MS: u64 = 24_000;

fn array(number: u64, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId::new(&format!("req-7{number:05}")),
        class: "slow".into(),
        team: "blue".into(),
        shape: Shape::Array,
        rank: Rank::Standard,
        tasks,
        cpus: 2.0,
        gpus: 1.0,
        memory_gb: 8.0,
        image: "img-1".into(),
        image_gb: 2.0,
        flavors: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: Some(90.0),
        dependencies: Vec::new(),
    }
}

/// A zone is partitioned for less than a lease, and all controllers crash meanwhile: no machine there is released while its
/// tasks are running, so that they are still there when the zone is back.
#[test]
fn machines_that_may_run_tasks_are_not_released_before_their_lease_ends() {
    init_log();
    let mut running = 0;
    for seed in 300..306 + extra_seeds() {
        let mut faults: Vec<(u64, Fault)> = (0..3)
            .map(|node| (LOST_AT_MS, Fault::NodeZonePartition(node, 0, LOST_FOR_MS)))
            .collect();
        faults.push((CRASHED_AT_MS, Fault::CrashAll));
        // The list of machines, with their ages, is read before the records.
        faults.push((CRASHED_AT_MS, Fault::SlowStore(8_000, 8)));
        let mut world = World::with_faults(seed, faults, 120_000, None);
        world.delivers_after_partition = false;
        for number in 0..8 {
            world.add_job_at(array(number, 8), 2_000 + number * 7_000);
        }
        // The last reports were answered before the partition, so the leases end after 82 s.
        world.run_until(77_000);
        let busy: BTreeSet<String> = {
            let region = &world.region;
            let is_in_lost_zone =
                |host: &String| region.workers.get(host).is_some_and(|w| w.place.zone == "a");
            region
                .checker
                .on_machines()
                .map(|task| task.host.clone())
                .filter(is_in_lost_zone)
                .collect()
        };
        running += busy.len();
        world.run_until(82_000);
        let released: Vec<&String> =
            busy.iter().filter(|host| !world.region.workers.contains_key(*host)).collect();
        assert!(released.is_empty(), "seed {seed}: {released:?} of {busy:?} were released");
        world.run();
        world::assert_finished(&world, &format!("seed {seed}"));
    }
    assert!(running > 6, "some machines run tasks: {running}");
}

/// A leader hires only after it has read the cloud's list of existing machines.
#[test]
fn no_machine_is_hired_before_the_machines_were_listed() {
    let mut solo = Solo::new();
    solo.advance(1_000);
    let job = Submission::Spec(Box::new(array(1, 8)));
    solo.send_request(Request::Submit(job));
    solo.advance(5_000);
    assert!(solo.controller.valid_token(solo.clock().mono).is_some(), "it leads");
    assert!(solo.hire_requests.is_empty(), "before the list: {:?}", solo.hire_requests);
    solo.machine_list = Some(MachineList { hosts: Vec::new(), more: false });
    solo.advance(10_000);
    assert!(!solo.hire_requests.is_empty(), "nothing is hired after the list");
}

/// If the list stays unavailable, hires do not wait for it forever.
#[test]
fn hires_do_not_wait_forever_for_the_machine_list() {
    let mut solo = Solo::new();
    solo.advance(1_000);
    solo.send_request(Request::Submit(Submission::Spec(Box::new(array(1, 8)))));
    solo.advance(60_000);
    assert!(!solo.hire_requests.is_empty(), "nothing is hired for a minute");
}

/// All machines of a zone were released while it was partitioned, then all controllers crash: in a zone without any reports the
/// next leader hires one machine at a time until one reports. A machine counts as booting for 1.5 usual boot times (5 s) and a
/// lease (26 s).
#[test]
fn a_silent_zone_gets_one_machine_at_a_time() {
    init_log();
    const ALL_CRASH_AT_MS: u64 = 110_000;
    const COUNT_UNTIL_MS: u64 = 160_000;
    const BOOTING_MS: u64 = 33_000;
    let (mut max_booting, mut elsewhere) = (0, 0);
    for seed in 400..406 + extra_seeds() {
        let mut faults: Vec<(u64, Fault)> =
            (0..3).map(|node| (LOST_AT_MS, Fault::NodeZonePartition(node, 0, 110_000))).collect();
        faults.push((ALL_CRASH_AT_MS, Fault::CrashAll));
        let mut world = World::with_faults(seed, faults, 190_000, None);
        world.delivers_after_partition = false;
        for number in 0..18 {
            world.add_job_at(array(number, 8), 20_000 + number * 8_000);
        }
        world.run_until(ALL_CRASH_AT_MS);
        let mut known_machines: BTreeSet<String> = world.region.workers.keys().cloned().collect();
        let mut hired_at: Vec<u64> = Vec::new();
        while world.continues_before(COUNT_UNTIL_MS) {
            world.run_until(world.now + 500);
            for (host, worker) in &world.region.workers {
                if !known_machines.insert(host.clone()) {
                    continue;
                }
                match worker.place.zone == "a" {
                    true => hired_at.push(world.now),
                    false => elsewhere += 1,
                }
            }
            let booting = hired_at.iter().filter(|at| world.now < **at + BOOTING_MS);
            max_booting = max_booting.max(booting.count());
        }
        world.run();
        world::assert_finished(&world, &format!("seed {seed}"));
    }
    assert!(elsewhere > 1, "some machines are hired elsewhere");
    assert!(max_booting <= 1, "{max_booting} machines booting at once in a zone without reports");
}

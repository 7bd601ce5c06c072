//! What a leader that begins from nothing does with machines of an earlier one, and where it hires, before it has heard of
//! them: all controllers ended at once while a zone was cut off.
//!
//! What happened: machines were hired in the zone that was cut off (`tests/zones.rs`, seeds 200 to 205: 4, all by seed 203;
//! with 30 seeds more 28 by 7 of 36 days).
//!
//! Why, by the log of each of these days:
//! - `machine i-000004: Booting -> Releasing (never reported)`, then `zone a: Awaited -> Whole (nothing more is waited for)`
//!   and `cloud: hiring ... zone: a` (seeds 203, 225). Machines that were up under the earlier leader were returned as if they
//!   had never come up, 10.5 s after the new one had begun and long before their leases ended. With them went what showed
//!   that the zone was silent, and the work on them. It was so where the list of machines was answered before the records were
//!   read, so that their ages were known.
//! - `cloud: hiring ... zone: a` before the first `machine ...: known, g4 in a` (209, 217, 219, 234): hires were asked for
//!   before the list of machines had been answered once.
//! - Fewer than three machines were left there (210, 217, 234), so that nothing was awaited, and the zone passed for whole
//!   until they were overdue: up to six were hired in that time.

#[allow(dead_code)]
mod world;

use oatloom_core::api::{Request, Submission};
use oatloom_protocol::ids::JobId;
use oatloom_protocol::wire::{JobSpec, MachineList, Rank, Shape};
use std::collections::BTreeSet;
use world::solo::Solo;
use world::{Fault, World, extra_seeds, init_log};

const LOST_AT: u64 = 60_000;
const ENDED_AT: u64 = 62_000;
/// Shorter than a lease, which is 26 s.
const LOST_FOR: u64 = 24_000;

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

/// A zone is cut off for less than a lease, and all controllers end meanwhile: no machine there is returned while its tasks
/// run on, so that they are still there when the zone is back.
#[test]
fn machines_that_may_be_running_tasks_are_not_returned_unheard() {
    init_log();
    let mut running = 0;
    for seed in 300..306 + extra_seeds() {
        let mut faults: Vec<(u64, Fault)> =
            (0..3).map(|node| (LOST_AT, Fault::NodeZonePartition(node, 0, LOST_FOR))).collect();
        faults.push((ENDED_AT, Fault::CrashAll));
        // The list of machines, with their ages, is answered before the records are read.
        faults.push((ENDED_AT, Fault::SlowStore(8_000, 8)));
        let mut world = World::with_faults(seed, faults, 120_000, None);
        world.delivers_after_partition = false;
        for number in 0..8 {
            world.add_job_at(array(number, 8), 2_000 + number * 7_000);
        }
        // Their last reports were answered before the cut, so that their leases end after 82 s.
        world.run_until(77_000);
        let busy: BTreeSet<String> = {
            let region = &world.region;
            let there =
                |host: &String| region.workers.get(host).is_some_and(|w| w.place.zone == "a");
            region.checker.on_machines().map(|task| task.host.clone()).filter(there).collect()
        };
        running += busy.len();
        world.run_until(82_000);
        let returned: Vec<&String> =
            busy.iter().filter(|host| !world.region.workers.contains_key(*host)).collect();
        assert!(returned.is_empty(), "seed {seed}: {returned:?} of {busy:?} were returned");
        world.run();
        world::assert_finished(&world, &format!("seed {seed}"));
    }
    assert!(running > 6, "the scene has machines with tasks: {running}");
}

/// A leader asks for no machine before the cloud's list of those that are there has been read, and does so then.
#[test]
fn nothing_is_hired_before_the_machines_were_listed() {
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

/// Where the list cannot be had for long, hires do not wait for it for ever.
#[test]
fn hires_do_not_wait_for_a_list_that_never_comes() {
    let mut solo = Solo::new();
    solo.advance(1_000);
    solo.send_request(Request::Submit(Submission::Spec(Box::new(array(1, 8)))));
    solo.advance(60_000);
    assert!(!solo.hire_requests.is_empty(), "nothing is hired for a minute");
}

/// All machines of a zone were returned while it was cut off, then all controllers end: in a zone of which the next leader
/// hears nobody it has one new machine on its way at a time until one reports. A machine counts as on its way for 1.5 usual
/// boots (5 s) and a lease (26 s).
#[test]
fn a_zone_of_which_nothing_is_heard_gets_one_machine_at_a_time() {
    init_log();
    const ALL_END_AT: u64 = 110_000;
    const FOUND_AT: u64 = 160_000;
    const ON_ITS_WAY_MS: u64 = 33_000;
    let (mut most, mut elsewhere) = (0, 0);
    for seed in 400..406 + extra_seeds() {
        let mut faults: Vec<(u64, Fault)> =
            (0..3).map(|node| (LOST_AT, Fault::NodeZonePartition(node, 0, 110_000))).collect();
        faults.push((ALL_END_AT, Fault::CrashAll));
        let mut world = World::with_faults(seed, faults, 190_000, None);
        world.delivers_after_partition = false;
        for number in 0..18 {
            world.add_job_at(array(number, 8), 20_000 + number * 8_000);
        }
        world.run_until(ALL_END_AT);
        let mut known: BTreeSet<String> = world.region.workers.keys().cloned().collect();
        let mut hired_at: Vec<u64> = Vec::new();
        while world.continues_before(FOUND_AT) {
            world.run_until(world.now + 500);
            for (host, worker) in &world.region.workers {
                if !known.insert(host.clone()) {
                    continue;
                }
                match worker.place.zone == "a" {
                    true => hired_at.push(world.now),
                    false => elsewhere += 1,
                }
            }
            let on_their_way = hired_at.iter().filter(|at| world.now < **at + ON_ITS_WAY_MS);
            most = most.max(on_their_way.count());
        }
        world.run();
        world::assert_finished(&world, &format!("seed {seed}"));
    }
    assert!(elsewhere > 1, "the scene needs machines");
    assert!(most <= 1, "{most} machines on their way at once to a zone of which nothing was heard");
}

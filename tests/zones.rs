//! A zone is partitioned from all controllers and comes back: checks where machines are hired meanwhile, and the rules after
//! every step. `OATLOOM_SEEDS=n` runs n more seeds.

#[allow(dead_code)]
mod world;

use oatloom_core::placement::needs_zone;
use oatloom_protocol::ids::{JobId, Zone};
use oatloom_protocol::wire::{Flavor, JobSpec, Rank, Shape};
use std::collections::BTreeSet;
use world::{Fault, STEP_MS, World, extra_seeds, init_log};

const LOST_AT_MS: u64 = 60_000;
const LOST_FOR_MS: u64 = 100_000;
/// Time to detect the loss: several reports have to be missing, and hires requested before that are still completed.
const DETECTION_MS: u64 = 20_000;

/// An array that needs more than one machine.
fn array(n: u64) -> JobSpec {
    JobSpec {
        id: JobId::new(&format!("req-7{n:05}")),
        class: "slow".into(),
        team: "blue".into(),
        shape: Shape::Array,
        rank: Rank::Standard,
        tasks: 6,
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
        estimate_s: 25.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: Some(60.0),
        dependencies: Vec::new(),
    }
}

/// A job needs a zone if it can run nowhere else, because of its own zone setting or its machine types. Guards against hires in
/// a lost zone for jobs that can also run elsewhere or fit no machine type.
#[test]
fn a_job_needs_a_zone_if_it_can_run_nowhere_else() {
    let new_flavor = |label: &str, gpus: f64, zones: &[&str]| Flavor {
        label: label.into(),
        cpus: 8.0 * gpus,
        gpus,
        memory_gb: 64.0 * gpus,
        cache_gb: 40.0,
        fetch_gb_per_s: 1.0,
        price: gpus,
        spot_price: gpus / 2.0,
        boot_s: 5.0,
        zones: zones.iter().map(|zone| Zone::new(zone)).collect(),
    };
    let flavors = [new_flavor("g1", 1.0, &["a", "b"]), new_flavor("g4", 4.0, &["a"])];
    let zones_needed = |change: &dyn Fn(&mut JobSpec)| {
        let mut spec = array(1);
        change(&mut spec);
        ["a", "b"].map(|zone| needs_zone(&spec, &flavors, &Zone::new(zone)))
    };
    assert_eq!(zones_needed(&|_| {}), [false, false], "both zones have a machine type that fits");
    assert_eq!(zones_needed(&|spec| spec.zone = Some(Zone::new("b"))), [false, true]);
    assert_eq!(
        zones_needed(&|spec| spec.gpus = 4.0),
        [true, false],
        "it fits a single machine type"
    );
    assert_eq!(zones_needed(&|spec| spec.flavors = Some(vec!["g4".into()])), [true, false]);
    assert_eq!(zones_needed(&|spec| spec.gpus = 5.0), [false, false], "it fits no machine type");
}

/// Numbers of machines hired in zone `a` while it was known to be lost, and in the other zones during that time.
fn hired_while_lost(
    seed: u64,
    further_faults: impl IntoIterator<Item = (u64, Fault)>,
) -> (usize, usize) {
    init_log();
    let mut faults: Vec<(u64, Fault)> =
        (0..3).map(|node| (LOST_AT_MS, Fault::NodeZonePartition(node, 0, LOST_FOR_MS))).collect();
    faults.extend(further_faults);
    faults.sort_by_key(|(at, _)| *at);
    let mut world = World::with_faults(seed, faults, 190_000, None);
    world.delivers_after_partition = false;
    let mut known_machines: BTreeSet<String> = BTreeSet::new();
    let (mut in_lost_zone, mut elsewhere) = (0, 0);
    while world.continues_before(LOST_AT_MS + LOST_FOR_MS) {
        if world.now > LOST_AT_MS - 30_000 && world.now.is_multiple_of(8_000) {
            world.add_job(array(world.now / 1_000));
        }
        world.run_until(world.now + STEP_MS);
        let is_counted = world.now > LOST_AT_MS + DETECTION_MS;
        for (name, worker) in &world.region.workers {
            if known_machines.insert(name.clone()) && is_counted {
                *(if worker.place.zone == "a" { &mut in_lost_zone } else { &mut elsewhere }) += 1;
            }
        }
    }
    world.run();
    let violations = &world.region.checker.violations;
    assert!(violations.is_empty(), "seed {seed} breaks rules: {violations:#?}");
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "seed {seed} has unfinished jobs: {unfinished:#?}");
    eprintln!("seed {seed}: {in_lost_zone} in the lost zone, {elsewhere} elsewhere");
    (in_lost_zone, elsewhere)
}

/// Guards against hiring in a partitioned zone: a fleet hired 472 machines there, which cost money and ran nothing until the
/// zone came back.
#[test]
fn no_machine_is_hired_in_a_zone_without_reports() {
    let (mut in_lost_zone, mut elsewhere) = (0, 0);
    for seed in 0..6 + extra_seeds() {
        let (a, b) = hired_while_lost(seed, []);
        in_lost_zone += a;
        elsewhere += b;
    }
    let max_in_lost_zone = 4 + 2 * extra_seeds() as usize;
    assert!(
        in_lost_zone <= max_in_lost_zone && elsewhere > 6,
        "{in_lost_zone} hired in the lost zone, {elsewhere} elsewhere"
    );
}

/// A new leader knows of the lost zone even if all machines there were released before its term.
#[test]
fn a_new_leader_does_not_hire_in_a_lost_zone() {
    let (mut in_lost_zone, mut elsewhere) = (0, 0);
    for seed in 100..106 + extra_seeds() {
        let crash_of =
            |node: usize| (LOST_AT_MS + 45_000 + 15_000 * node as u64, Fault::Crash(node));
        let (a, b) = hired_while_lost(seed, (0..3).map(crash_of));
        in_lost_zone += a;
        elsewhere += b;
    }
    // One machine per day is hired on purpose to probe the zone.
    let max_in_lost_zone = 12 + 6 + 2 * extra_seeds() as usize;
    assert!(
        in_lost_zone <= max_in_lost_zone,
        "{in_lost_zone} hired in the lost zone, {elsewhere} elsewhere"
    );
}

/// After a crash of all controllers, a leader without former knowledge waits for a first report from each zone in which its
/// records have tasks or the cloud lists machines.
#[test]
fn a_leader_after_a_full_restart_does_not_hire_in_a_lost_zone() {
    let (mut in_lost_zone, mut elsewhere) = (0, 0);
    for seed in 200..206 + extra_seeds() {
        let (a, b) = hired_while_lost(seed, [(LOST_AT_MS + 12_000, Fault::CrashAll)]);
        in_lost_zone += a;
        elsewhere += b;
    }
    let max_in_lost_zone = 2 + extra_seeds() as usize;
    assert!(
        in_lost_zone <= max_in_lost_zone,
        "{in_lost_zone} hired in the lost zone, {elsewhere} elsewhere"
    );
}

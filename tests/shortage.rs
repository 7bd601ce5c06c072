//! Services with several replicas each, while no further machine can be hired.
//!
//! Guards against capacity that is held by partly placed services which are never up. With half of the capacity lost for good
//! (`tests/served.rs`), 16 of 33 services (seed 1001) and 17 of 39 (seed 1144) were ever up, while 11 (20) of the 144 GPUs for
//! services were held by parts of four (six) others, one with 8 of its 9 replicas. All 144 GPUs were
//! in use; from 262 s to the end of the day of seed 1001 the partly placed services had 2 of 6, 4 of 12, 2 of 9 and 3 of 5
//! replicas. There are two causes:
//! - Capacity becomes free in small pieces. Each piece went to the newest service, the only one that could still meet the
//!   objective, although the piece was too small for it; the next piece went to a newer one.
//! - A spread service may have at most half of its replicas in one zone, and the last free capacity was in a single zone: 8 GPUs
//!   in `a` until 260 s (seed 1001), all 48 of `c`, back after a partition at 250 s with `a` and `b` full (seed 1144). Each
//!   further service got half of its replicas there and no others. Fixing the first cause alone changed little (16 and 14
//!   services up).

#[allow(dead_code)]
mod world;

use oatloom_protocol::ids::JobId;
use oatloom_protocol::wire::{JobSpec, Rank, Shape};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use world::{Fault, Site, World, assert_rules, extra_seeds, init_log};

/// Times at which the first and the second piece of capacity become free.
const FREED_MS: [u64; 2] = [200_000, 230_000];
/// Time by which a service has to be complete: one or two reports, a start and an image fetch later.
const COMPLETE_BY_MS: u64 = 270_000;

/// Two on-demand machines with four GPUs in each of three zones.
fn site() -> Site {
    let settings = r#"
member = "n-0"
location = "a"
serve_on = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
endpoints = { cloud = "127.0.0.1:1", state = "127.0.0.1:2" }
[facts]
zones = ["a", "b", "c"]
clock_off_ms = 100.0
teams = [{ name = "desk" }]
objectives = [{ kind = "wait", class = "forecast", within_s = 12.0 }]
workers = { report_s = 8.0, lease_s = 34.0, gang_wait_s = 40.0, gang_peer_s = 4.0, cancel_s = 59.0 }
state = { rps = 180.0, write_rps = 50.0, value_kb = 16.0, txn_ops = 20 }
cloud = { rps = 6.0, list_lag_s = 4.0 }
limits = { cpu_share = 0.264, memory_mb = 188.0, sockets = 2500 }
"#;
    Site { settings: settings.into(), capacity: 2, sizes: vec![4], machines_step_ms: 250 }
}

fn service(number: usize, replicas: u32, spread: bool) -> JobSpec {
    JobSpec {
        id: JobId::new(&format!("req-{number:06}")),
        class: "forecast".into(),
        team: "desk".into(),
        shape: Shape::Service,
        rank: Rank::Critical,
        tasks: replicas,
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 8.0,
        image: "img-forecast".into(),
        image_gb: 3.0,
        flavors: None,
        zone: None,
        one_zone: false,
        spread,
        spot: false,
        estimate_s: 0.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Maximum number of concurrent replicas of each service until a point in time.
fn max_replicas(world: &mut World, until: u64) -> BTreeMap<String, u32> {
    let mut max_counts: BTreeMap<String, u32> = BTreeMap::new();
    while world.continues_before(until) {
        world.run_until(world.now + 1_000);
        let mut replicas: BTreeMap<&str, u32> = BTreeMap::new();
        for task in world.region.checker.on_machines() {
            *replicas.entry(&task.job).or_default() += 1;
        }
        for (job, count) in replicas {
            let max_count = max_counts.entry(job.to_owned()).or_default();
            *max_count = count.max(*max_count);
        }
    }
    max_counts
}

/// A service has two of its six replicas when all capacity is in use. Capacity for two replicas becomes free, and later for two
/// more, while services of four are submitted every three seconds: the partly placed service is completed.
#[test]
fn a_partly_placed_service_is_completed_before_others_start() {
    init_log();
    for seed in 0..4 + extra_seeds() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::without_users(site(), &mut rng, 300_000);
        world.stop_polling_when_final = true;
        world.add_job_at(service(1, 12, false), 5_000);
        world.add_job_at(service(2, 6, false), 10_000);
        for (number, freed) in [3, 4].into_iter().zip(FREED_MS) {
            world.add_job_at(service(number, 2, false), 15_000);
            world.cancel_last(freed);
        }
        world.add_job_at(service(5, 6, false), 130_000);
        for number in 0..22 {
            world.add_job_at(service(10 + number, 4, false), 190_000 + 3_000 * number as u64);
        }
        let replicas = max_replicas(&mut world, COMPLETE_BY_MS);
        assert_rules(&world, &format!("seed {seed}"));
        assert_eq!(
            replicas.get("req-000005"),
            Some(&6),
            "seed {seed}: replicas at once: {replicas:?}"
        );
    }
}

/// A zone comes back when the others are full of services that are up, and a spread service is waiting: it gets half of its
/// replicas there and the rest in the other zones, from which replicas of running services move to the returned zone.
#[test]
fn a_spread_service_is_completed_when_only_one_zone_has_capacity() {
    init_log();
    const ZONE_BACK_AT_MS: u64 = 150_000;
    const ALL_UP_BY_MS: u64 = 360_000;
    for seed in 0..4 + extra_seeds() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::without_users(site(), &mut rng, 390_000);
        world.stop_polling_when_final = true;
        world.delivers_after_partition = false;
        world.add_faults(
            (0..3).map(|node| (1_000, Fault::NodeZonePartition(node, 2, ZONE_BACK_AT_MS))),
        );
        for (number, at) in [(1, 5_000), (2, 10_000), (3, 100_000)] {
            world.add_job_at(service(number, 8, true), at);
        }
        max_replicas(&mut world, ALL_UP_BY_MS);
        assert_rules(&world, &format!("seed {seed}"));
        let mut replicas: BTreeMap<&str, u32> = BTreeMap::new();
        for task in world.region.checker.on_machines() {
            *replicas.entry(&task.job).or_default() += 1;
        }
        assert!(
            replicas.len() == 3 && replicas.values().all(|n| *n == 8),
            "seed {seed}: replicas: {replicas:?}"
        );
    }
}

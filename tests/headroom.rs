//! Teams at their limits: no machines are rented for work that the limits do not allow to run.

#[allow(dead_code)]
mod world;

use oatloom_protocol::ids::JobId;
use oatloom_protocol::wire::{JobSpec, Shape};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use world::{SETTINGS, Site, World, assert_rules, extra_seeds, init_log, small_array};

/// Teams with these GPU limits, on machines with four GPUs.
fn site(red: f64, blue: f64) -> Site {
    let settings = SETTINGS
        .replace("gpus_max = 14.0", &format!("gpus_max = {red:?}"))
        .replace("name = \"blue\"", &format!("name = \"blue\"\ngpus = 2.0\ngpus_max = {blue:?}"));
    Site { settings, capacity: 12, sizes: vec![4], ..Site::default() }
}

fn new_job(id: &str, team: &str, shape: Shape, tasks: u32, seconds: u32) -> JobSpec {
    let mut spec = small_array(id, seconds);
    (spec.id, spec.team, spec.shape, spec.tasks) = (JobId::new(id), team.into(), shape, tasks);
    spec
}

fn new_world(seed: u64, site: Site, faults_end_at: u64) -> World {
    World::without_users(site, &mut ChaCha8Rng::seed_from_u64(seed), faults_end_at)
}

/// One team has far more gangs, services and arrays than its limit allows to run; the other team's work ends after a while.
/// Guards against a capacity target that includes work over the limit: it is never reached, and the machines stay rented.
#[test]
fn no_machine_is_rented_for_work_over_the_team_limit() {
    init_log();
    for seed in 0..3 + extra_seeds() {
        let mut world = new_world(seed, site(16.0, 24.0), 400_000);
        for n in 0..30 {
            let shape = [Shape::Array, Shape::Gang, Shape::Service][n % 3];
            let spec = new_job(&format!("req-{n:06}"), "red", shape, 2 + (n % 3) as u32, 40);
            world.add_job_at(spec, 1_000 + n as u64 * 500);
        }
        for n in 30..36 {
            let spec = new_job(&format!("req-{n:06}"), "blue", Shape::Gang, 4, 40);
            world.add_job_at(spec, 1_000);
        }
        let (mut max_machines, mut rented, mut used, mut samples) = (0, 0.0, 0.0, 0.0);
        while world.continues_before(300_000) {
            let next_sample_at = world.now + 5_000;
            world.run_until(next_sample_at);
            max_machines = max_machines.max(world.region.workers.len());
            if world.now > 180_000 {
                rented += 4.0 * world.region.workers.len() as f64;
                used += world.region.checker.on_machines().count() as f64;
                samples += 1.0;
            }
        }
        assert_rules(&world, &format!("seed {seed}"));
        let (rented, used) = (rented / samples, used / samples);
        println!(
            "seed {seed}: at most {max_machines} machines, then {rented:.1} GPUs rented, {used:.1} used"
        );
        assert!(max_machines >= 9, "seed {seed}: both teams had machines, {max_machines}");
        assert!(rented <= 1.5 * 16.0, "seed {seed}: {rented} GPUs rented, 16 may be used");
        assert!(used >= 0.85 * 16.0, "seed {seed}: {used} of 16 GPUs in use");
    }
}

//! Rolling upgrades in seeded days: controllers of two versions run together and are killed and replaced one by one while
//! other faults occur; afterwards the limits of the state service are lowered. `OATLOOM_SEEDS=n` runs n more seeds of each.

#[allow(dead_code)]
mod world;

use oatloom_core::store::StoreOp;
use oatloom_emulator::worker::JobFailures;
use oatloom_protocol::ids::JobId;
use oatloom_protocol::wire::{Change, JobSpec, JobStatus, Shape, Txn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use world::pipelines::PipelineDistribution;
use world::random_faults::random_fault;
use world::upgrades::site_with_next_limits;
use world::{Fault, LeaderFault, World, assert_finished, extra_seeds, init_log, small_array};

/// All faults end by this time of the simulation.
const FAULTS_END_MS: u64 = 200_000;
/// Time at which the first node is upgraded.
const FIRST_UPGRADE_MS: u64 = 20_000;
/// Downtime of a node during its upgrade, as in production.
const DOWNTIME_MS: u64 = 6_000;
/// Users of pipelines arrive from the first upgrade on; jobs with dependencies are submitted once all nodes are upgraded.
const PIPELINES: PipelineDistribution = PipelineDistribution {
    count: 6,
    arrive_from_ms: FIRST_UPGRADE_MS,
    arrive_to_ms: 150_000,
    cancelled_share: 0.35,
    max_cancel_delay_ms: 40_000,
    late_share: 0.3,
};
/// A day that begins with the previous version on all nodes.
fn day(seed: u64, faults: Vec<(u64, Fault)>) -> World {
    init_log();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::without_users(site_with_next_limits(), &mut rng, FAULTS_END_MS);
    world.begin_with_previous_version();
    world.restart_ms = [300, 2_000, 6_000][(seed % 3) as usize];
    world.add_users(16, &mut rng);
    world.add_pipelines(seed, PIPELINES);
    world.add_faults(faults);
    world
}

/// Upgrades of all nodes one after another, in an order given by the seed.
fn rolling_upgrade(seed: u64, first: u64, every: u64, downtime_ms: u64) -> Vec<(u64, Fault)> {
    let from = seed as usize % 3;
    let node_at = |position: usize| (from + position) % 3;
    (0..3)
        .map(|position| {
            (first + position as u64 * every, Fault::Upgrade(node_at(position), downtime_ms))
        })
        .collect()
}

/// Runs a day to its end; all nodes are upgraded, and no write was over the size limits of the state service.
fn run_to_end(world: &mut World, context: &str) {
    world.run();
    assert_finished(world, context);
    assert!(world.all_current(), "{context}: some node was not upgraded");
    assert!(
        world.all_detected_upgrade(),
        "{context}: some node does not know that all were upgraded"
    );
    let refused = &world.refusals().too_large;
    assert!(refused.is_empty(), "{context}: refused as too large: {refused:?}");
}

/// Totals over several days, to show that the test exercised something.
#[derive(Debug, Default)]
struct Totals {
    dependents: usize,
    done: usize,
    cancelled: usize,
}

impl Totals {
    fn add(&mut self, world: &World) {
        self.dependents += world.accepted_dependents();
        self.done += world.count_with_known_status(JobStatus::Done);
        self.cancelled += world.count_with_known_status(JobStatus::Cancelled);
    }

    fn assert_some(&self, context: &str) {
        println!("{context}: {self:?}");
        assert!(self.dependents > 0 && self.done > 0 && self.cancelled > 0, "{context}: {self:?}");
    }
}

/// Runs one day per seed with the faults that `faults` returns for it.
fn run_days(context: &str, first: u64, count: u64, faults: impl Fn(u64) -> Vec<(u64, Fault)>) {
    let mut totals = Totals::default();
    for seed in first..first + count + extra_seeds() {
        let faults = faults(seed);
        let mut world = day(seed, faults.clone());
        run_to_end(&mut world, &format!("{context}, seed {seed}, {faults:?}"));
        totals.add(&world);
    }
    totals.assert_some(context);
}

fn new_rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// The checker reports a record that the previous version cannot read while that version may still run.
#[test]
fn the_checker_detects_new_records_beside_the_previous_version() {
    let breaks_rule = |key: &str, value: serde_json::Value, upgraded: bool| {
        let mut rng = new_rng(1);
        let mut world = World::without_users(site_with_next_limits(), &mut rng, FAULTS_END_MS);
        if !upgraded {
            world.begin_with_previous_version();
        }
        let changes = vec![Change::Put { key: key.into(), value, lease: None }];
        world.write(&StoreOp::Txn(Txn { conditions: Vec::new(), changes }));
        let rules = &world.region.checker.violations;
        assert!(rules.iter().all(|text| text.contains(" new_form: ")), "{rules:?}");
        !rules.is_empty()
    };
    let size = json!(["blue", 1.0, 1.0, 1.0, 2]);
    let packed = json!({"d": "", "u": size, "p": "AAAA"});
    assert!(breaks_rule("asg/req-1/0000", packed.clone(), false));
    assert!(!breaks_rule("asg/req-1/0000", packed, true));
    assert!(!breaks_rule("asg/req-1/0000", json!({"d": "", "a": [], "u": size}), false));
    assert!(!breaks_rule("live/req-1", json!({"s": small_array("req-1", 2), "t": 1}), false));
    let dependent = JobSpec { dependencies: vec![JobId::new("req-2")], ..small_array("req-1", 2) };
    assert!(breaks_rule("live/req-1", json!({"s": dependent, "t": 1}), false));
}

/// No node accepts a job with dependencies while any controller may run the previous version.
#[test]
fn jobs_with_dependencies_are_rejected_until_all_are_upgraded() {
    for seed in 0..6 + extra_seeds() {
        let mut world = day(seed, rolling_upgrade(seed, FIRST_UPGRADE_MS, 10_000, DOWNTIME_MS));
        world.add_job_at(small_array("req-000001", 5), 1_000);
        world.run_until(12_000);
        assert!(world.is_accepted("req-000001"), "seed {seed}");
        let dependencies = vec![JobId::new("req-000001")];
        let dependent = JobSpec { dependencies, ..small_array("req-000002", 5) };
        let text = World::json_of(&dependent).to_string();
        // The last node is upgraded at 40 s; the first is back at 26 s.
        while world.continues_before(40_000) {
            let upgraded: Vec<usize> = (0..3).filter(|node| world.is_current(*node)).collect();
            for node in upgraded {
                world.send_raw_request(node, "POST", "/v2/runs", &text);
            }
            world.run_until(world.now + 700);
        }
        let answers: Vec<u16> = world
            .aggressive_users
            .raw_requests
            .iter()
            .filter_map(|request| request.reply.as_ref().map(|(_, reply)| reply.status))
            .collect();
        assert!(answers.len() > 10, "seed {seed}: {answers:?}");
        assert!(answers.iter().all(|status| matches!(status, 503 | 599)), "{answers:?}");
        assert!(!world.was_ever_written("req-000002"), "seed {seed}");
    }
}

#[test]
fn upgrades_without_faults_keep_the_rules() {
    run_days("no faults", 0, 6, |seed| {
        rolling_upgrade(seed, FIRST_UPGRADE_MS, 15_000, DOWNTIME_MS)
    });
}

#[test]
fn upgrades_every_two_seconds_keep_the_rules() {
    run_days("every 2 s", 1_000, 6, |seed| {
        rolling_upgrade(seed, FIRST_UPGRADE_MS, 2_000, DOWNTIME_MS)
    });
}

/// Transactions sent by the previous version are executed after the upgrade.
#[test]
fn upgrades_during_late_writes_keep_the_rules() {
    run_days("late writes", 2_000, 6, |seed| {
        let every = [2_000, 5_000, 9_000][(seed % 3) as usize];
        let mut faults = rolling_upgrade(seed, FIRST_UPGRADE_MS, every, DOWNTIME_MS);
        faults.push((FIRST_UPGRADE_MS - 5_000, Fault::DelayedWrites(40_000, 300)));
        faults
    });
}

#[test]
fn an_upgrade_during_an_outage_keeps_the_rules() {
    run_days("outage", 3_000, 6, |seed| {
        let mut faults = rolling_upgrade(seed, FIRST_UPGRADE_MS, 6_000, DOWNTIME_MS);
        let from = FIRST_UPGRADE_MS + (seed % 6) * 2_500;
        faults.push((from, Fault::StoreOutage(4_000 + (seed % 4) * 4_000)));
        faults
    });
}

/// A node that crashes before its upgrade restarts with the previous version.
#[test]
fn crashes_before_upgrades_keep_the_rules() {
    run_days("crashes before upgrades", 4_000, 6, |seed| {
        let mut rng = new_rng(seed);
        let mut faults = rolling_upgrade(seed, 40_000, 8_000, DOWNTIME_MS);
        for _ in 0..3 {
            let at = rng.random_range(10_000..56_000);
            let random_crash = Fault::Crash(rng.random_range(0..3));
            faults.push((
                at,
                if rng.random_bool(0.5) { Fault::Leader(LeaderFault::Crash) } else { random_crash },
            ));
        }
        faults
    });
}

/// A process of the previous version is paused in the middle of its work while the others are upgraded.
#[test]
fn a_paused_process_of_the_previous_version_keeps_the_rules() {
    run_days("paused", 5_000, 6, |seed| {
        let mut faults = rolling_upgrade(seed, FIRST_UPGRADE_MS, 5_000, DOWNTIME_MS);
        let paused = Fault::LeaderPaused(3_000 + (seed % 5) * 3_000);
        faults.push((FIRST_UPGRADE_MS - 1_000 + (seed % 3) * 5_000, paused));
        faults
    });
}

#[test]
fn upgrades_under_random_faults_keep_the_rules() {
    run_days("random faults", 6_000, 10, |seed| {
        let mut rng = new_rng(seed);
        let every = rng.random_range(2_000..15_000);
        let mut faults = rolling_upgrade(seed, 30_000, every, rng.random_range(500..9_000));
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(10_000..90_000);
            let span = rng.random_range(1_000..40_000);
            faults.push((at, random_fault(&mut rng, span)));
        }
        faults
    });
}

// --- Lowered limits of the state service ----------------------------------------------------------

/// Longest value that the state service accepts after its limits were lowered.
const MAX_LOWERED_VALUE_BYTES: usize = 2 * 1024;
/// Earliest time at which the limits are lowered, after the upgrade.
const LIMITS_LOWERED_MS: u64 = 75_000;

/// A normal upgrade, lowered limits at `LIMITS_LOWERED_MS`, and the given additional faults.
fn lowered_limits(
    seed: u64,
    additional: impl IntoIterator<Item = (u64, Fault)>,
) -> Vec<(u64, Fault)> {
    let mut faults = rolling_upgrade(seed, FIRST_UPGRADE_MS, 8_000, DOWNTIME_MS);
    faults.push((LIMITS_LOWERED_MS, Fault::LimitsLowered));
    faults.extend(additional);
    faults
}

#[test]
fn lowered_limits_keep_the_rules() {
    run_days("limits lowered", 10_000, 8, |seed| lowered_limits(seed, []));
}

#[test]
fn limits_lowered_during_an_outage_keep_the_rules() {
    run_days("limits lowered in an outage", 11_000, 8, |seed| {
        let before = 500 + (seed % 5) * 2_000;
        lowered_limits(seed, [(LIMITS_LOWERED_MS - before, Fault::StoreOutage(before + 3_000))])
    });
}

/// The leader fails shortly before or after the limits are lowered.
#[test]
fn limits_lowered_at_a_takeover_keep_the_rules() {
    run_days("limits lowered at a takeover", 12_000, 9, |seed| {
        let at = LIMITS_LOWERED_MS - 5_000 + (seed % 9) * 1_000;
        let leader_fault = match seed % 3 {
            0 => LeaderFault::Crash,
            1 => LeaderFault::StoreRefuses(9_000),
            _ => LeaderFault::Isolated(9_000),
        };
        lowered_limits(seed, [(at, Fault::Leader(leader_fault))])
    });
}

#[test]
fn limits_lowered_under_random_faults_keep_the_rules() {
    run_days("limits lowered, random faults", 13_000, 10, |seed| {
        let mut rng = new_rng(seed);
        let mut additional = Vec::new();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(60_000..110_000);
            let span = rng.random_range(1_000..40_000);
            additional.push((at, random_fault(&mut rng, span)));
        }
        lowered_limits(seed, additional)
    });
}

/// A gang and arrays whose records exceed the lowered limits run while the limits change and are cancelled or finish afterwards.
#[test]
fn wide_jobs_reach_a_final_state_after_limits_are_lowered() {
    for seed in 14_000..14_006 + extra_seeds() {
        let mut world = day(seed, lowered_limits(seed, []));
        for (n, shape) in [Shape::Array, Shape::Gang, Shape::Array].into_iter().enumerate() {
            let wide = JobSpec {
                shape,
                tasks: if shape == Shape::Gang { 24 } else { 90 },
                gpus: 0.5,
                cpus: 0.5,
                ..small_array(&format!("req-00000{n}"), 40)
            };
            world.add_job_at(wide, 5_000 + n as u64 * 2_000);
        }
        world.cancel_last(LIMITS_LOWERED_MS + 4_000);
        run_to_end(&mut world, &format!("wide jobs, seed {seed}"));
    }
}

/// Arrays with as many tasks as one record holds fail repeatedly on many machines, with usage accounting on: their full records
/// would exceed the lowered limit. They still reach a final state when cancelled.
#[test]
fn detailed_records_fit_lowered_limits() {
    let mut largest = 0;
    for seed in 15_000..15_004 + extra_seeds() {
        let mut world = day(seed, lowered_limits(seed, []));
        world.set_operator_settings("((ledger . #t) (classes (default (repeats 1000))))");
        for n in 0..3 {
            let id = format!("req-00000{n}");
            let wide = JobSpec { tasks: 96, gpus: 0.1, cpus: 0.1, ..small_array(&id, 2) };
            world.add_job_at(wide, 5_000 + n * 2_000);
            world.schedule_cancel(&id, 150_000 + n * 3_000);
            world.region.external.failing_jobs.insert(id, JobFailures::Share(0.8));
        }
        run_to_end(&mut world, &format!("full records, seed {seed}"));
        largest = largest.max(world.largest_value());
    }
    assert!(
        largest > MAX_LOWERED_VALUE_BYTES,
        "{largest} bytes at most, before the limits were lowered"
    );
}

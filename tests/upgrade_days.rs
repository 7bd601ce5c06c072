//! Upgrades in seeded days: controllers of two versions side by side, killed and replaced in turn, under troubles; and
//! limits of the state service that fall afterwards. `OATLOOM_SEEDS=n` plays n seeds more of each.

#[allow(dead_code)]
mod world;

use oatloom_core::store::StoreOp;
use oatloom_emulator::worker::Broken;
use oatloom_protocol::ids::JobId;
use oatloom_protocol::wire::{Change, JobSpec, JobStatus, Shape, Txn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use world::pipelines::PipelineDistribution;
use world::troubles::random_fault;
use world::upgrades::site_with_next_limits;
use world::{Fault, LeaderFault, World, assert_finished, extra_seeds, init_log, small_array};

/// Troubles are over from then on, in milliseconds.
const CALM_MS: u64 = 200_000;
/// The first turn of an upgrade, in milliseconds.
const FIRST_TURN_MS: u64 = 20_000;
/// How long after its turn a node comes back, as on the sites.
const AWAY_MS: u64 = 6_000;
/// Pipelines' users come once the upgrade is over.
const PIPELINES: PipelineDistribution = PipelineDistribution {
    count: 6,
    arrive_from_ms: FIRST_TURN_MS,
    arrive_to_ms: 150_000,
    cancelled_share: 0.35,
    max_cancel_delay_ms: 40_000,
    late_share: 0.3,
};
/// A day that begins with the previous version everywhere. Pipelines come once all nodes have had their turn.
fn day(seed: u64, faults: Vec<(u64, Fault)>) -> World {
    init_log();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::without_users(site_with_next_limits(), &mut rng, CALM_MS);
    world.begin_with_previous_version();
    world.restart_ms = [300, 2_000, 6_000][(seed % 3) as usize];
    world.add_users(16, &mut rng);
    world.add_pipelines(seed, PIPELINES);
    world.add_faults(faults);
    world
}

/// Turns of all nodes, one after the other, in an order of the seed's own.
fn turns(seed: u64, first: u64, every: u64, away: u64) -> Vec<(u64, Fault)> {
    let from = seed as usize % 3;
    let node = |turn: usize| (from + turn) % 3;
    (0..3).map(|turn| (first + turn as u64 * every, Fault::Upgrade(node(turn), away))).collect()
}

/// Plays a day to its end: all was upgraded, and nothing was ever larger than the state service takes.
fn play(world: &mut World, what: &str) {
    world.run();
    assert_finished(world, what);
    assert!(world.all_current(), "{what}: some node had no turn");
    assert!(world.all_detected_upgrade(), "{what}: somebody does not know that all were upgraded");
    let refused = &world.refusals().too_large;
    assert!(refused.is_empty(), "{what}: refused for their size: {refused:?}");
}

/// What came about over several days, so that a test can tell that it tried something.
#[derive(Debug, Default)]
struct Tried {
    dependents: usize,
    done: usize,
    cancelled: usize,
}

impl Tried {
    fn add(&mut self, world: &World) {
        self.dependents += world.accepted_dependents();
        self.done += world.count_with_known_status(JobStatus::Done);
        self.cancelled += world.count_with_known_status(JobStatus::Cancelled);
    }

    fn assert_some(&self, what: &str) {
        println!("{what}: {self:?}");
        assert!(self.dependents > 0 && self.done > 0 && self.cancelled > 0, "{what}: {self:?}");
    }
}

/// Plays days of some seeds with the troubles that `faults` gives each.
fn play_days(what: &str, first: u64, count: u64, faults: impl Fn(u64) -> Vec<(u64, Fault)>) {
    let mut tried = Tried::default();
    for seed in first..first + count + extra_seeds() {
        let faults = faults(seed);
        let mut world = day(seed, faults.clone());
        play(&mut world, &format!("{what}, seed {seed}, {faults:?}"));
        tried.add(&world);
    }
    tried.assert_some(what);
}

fn rng_of(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// Whoever writes what the previous version cannot read, while it may still run, is caught.
#[test]
fn a_new_form_beside_the_previous_version_is_caught() {
    let broken = |key: &str, value: serde_json::Value, upgraded: bool| {
        let mut rng = rng_of(1);
        let mut world = World::without_users(site_with_next_limits(), &mut rng, CALM_MS);
        if !upgraded {
            world.begin_with_previous_version();
        }
        let changes = vec![Change::Put { key: key.into(), value, lease: None }];
        world.write(&StoreOp::Txn(Txn { conditions: Vec::new(), changes }));
        let rules = &world.region.checker.broken;
        assert!(rules.iter().all(|text| text.contains(" new_form: ")), "{rules:?}");
        !rules.is_empty()
    };
    let size = json!(["blue", 1.0, 1.0, 1.0, 2]);
    let packed = json!({"d": "", "u": size, "p": "AAAA"});
    assert!(broken("asg/req-1/0000", packed.clone(), false));
    assert!(!broken("asg/req-1/0000", packed, true));
    assert!(!broken("asg/req-1/0000", json!({"d": "", "a": [], "u": size}), false));
    assert!(!broken("live/req-1", json!({"s": small_array("req-1", 2), "t": 1}), false));
    let dependent = JobSpec { dependencies: vec![JobId::new("req-2")], ..small_array("req-1", 2) };
    assert!(broken("live/req-1", json!({"s": dependent, "t": 1}), false));
}

/// A job that names others is not taken while any controller may run the previous version, at whichever node.
#[test]
fn nothing_new_is_accepted_before_all_are_upgraded() {
    for seed in 0..6 + extra_seeds() {
        let mut world = day(seed, turns(seed, FIRST_TURN_MS, 10_000, AWAY_MS));
        world.add_job_at(small_array("req-000001", 5), 1_000);
        world.run_until(12_000);
        assert!(world.is_accepted("req-000001"), "seed {seed}");
        let dependencies = vec![JobId::new("req-000001")];
        let dependent = JobSpec { dependencies, ..small_array("req-000002", 5) };
        let text = World::json_of(&dependent).to_string();
        // The last turn is at 40 s; the first to come back is there from 26 s on.
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
            .filter_map(|odd| odd.answer.as_ref().map(|(_, reply)| reply.status))
            .collect();
        assert!(answers.len() > 10, "seed {seed}: {answers:?}");
        assert!(answers.iter().all(|status| matches!(status, 503 | 599)), "{answers:?}");
        assert!(!world.was_ever_written("req-000002"), "seed {seed}");
    }
}

#[test]
fn calm_upgrades_keep_the_rules() {
    play_days("calm", 0, 6, |seed| turns(seed, FIRST_TURN_MS, 15_000, AWAY_MS));
}

#[test]
fn turns_every_two_seconds_keep_the_rules() {
    play_days("every 2 s", 1_000, 6, |seed| turns(seed, FIRST_TURN_MS, 2_000, AWAY_MS));
}

/// Transactions of the previous version are carried out after the upgrade.
#[test]
fn turns_during_late_writes_keep_the_rules() {
    play_days("late writes", 2_000, 6, |seed| {
        let every = [2_000, 5_000, 9_000][(seed % 3) as usize];
        let mut faults = turns(seed, FIRST_TURN_MS, every, AWAY_MS);
        faults.push((FIRST_TURN_MS - 5_000, Fault::DelayedWrites(40_000, 300)));
        faults
    });
}

#[test]
fn a_turn_inside_an_outage_keeps_the_rules() {
    play_days("outage", 3_000, 6, |seed| {
        let mut faults = turns(seed, FIRST_TURN_MS, 6_000, AWAY_MS);
        let from = FIRST_TURN_MS + (seed % 6) * 2_500;
        faults.push((from, Fault::StoreOutage(4_000 + (seed % 4) * 4_000)));
        faults
    });
}

/// A node that crashes before its turn comes back with the previous version.
#[test]
fn nodes_that_die_before_their_turns_keep_the_rules() {
    play_days("deaths before turns", 4_000, 6, |seed| {
        let mut rng = rng_of(seed);
        let mut faults = turns(seed, 40_000, 8_000, AWAY_MS);
        for _ in 0..3 {
            let at = rng.random_range(10_000..56_000);
            let any = Fault::Crash(rng.random_range(0..3));
            faults.push((
                at,
                if rng.random_bool(0.5) { Fault::Leader(LeaderFault::Crash) } else { any },
            ));
        }
        faults
    });
}

/// A process of the previous version stands still in the midst of what it does while the others have their turns.
#[test]
fn an_earlier_process_that_wakes_up_late_keeps_the_rules() {
    play_days("asleep", 5_000, 6, |seed| {
        let mut faults = turns(seed, FIRST_TURN_MS, 5_000, AWAY_MS);
        let asleep = Fault::LeaderPaused(3_000 + (seed % 5) * 3_000);
        faults.push((FIRST_TURN_MS - 1_000 + (seed % 3) * 5_000, asleep));
        faults
    });
}

#[test]
fn turns_under_drawn_troubles_keep_the_rules() {
    play_days("drawn troubles", 6_000, 10, |seed| {
        let mut rng = rng_of(seed);
        let every = rng.random_range(2_000..15_000);
        let mut faults = turns(seed, 30_000, every, rng.random_range(500..9_000));
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(10_000..90_000);
            let span = rng.random_range(1_000..40_000);
            faults.push((at, random_fault(&mut rng, span)));
        }
        faults
    });
}

// --- Limits of the state service that fall ----------------------------------------------------------

/// Longest value that the state service takes from then on, in bytes.
const LOWERED_VALUE_BYTES: usize = 2 * 1024;
/// When the limits fall at the earliest, after the upgrade.
const FALL_MS: u64 = 75_000;

/// After a usual upgrade, the limits fall at `FALL_MS`, with these troubles beside it.
fn fall(seed: u64, beside: impl IntoIterator<Item = (u64, Fault)>) -> Vec<(u64, Fault)> {
    let mut faults = turns(seed, FIRST_TURN_MS, 8_000, AWAY_MS);
    faults.push((FALL_MS, Fault::LimitsLowered));
    faults.extend(beside);
    faults
}

#[test]
fn limits_that_fall_keep_the_rules() {
    play_days("limits fall", 10_000, 8, |seed| fall(seed, []));
}

#[test]
fn limits_that_fall_within_an_outage_keep_the_rules() {
    play_days("limits fall in an outage", 11_000, 8, |seed| {
        let before = 500 + (seed % 5) * 2_000;
        fall(seed, [(FALL_MS - before, Fault::StoreOutage(before + 3_000))])
    });
}

/// At a takeover: the leader ends a little before or after the limits fall.
#[test]
fn limits_that_fall_at_a_takeover_keep_the_rules() {
    play_days("limits fall at a takeover", 12_000, 9, |seed| {
        let at = FALL_MS - 5_000 + (seed % 9) * 1_000;
        let what = match seed % 3 {
            0 => LeaderFault::Crash,
            1 => LeaderFault::StoreRefuses(9_000),
            _ => LeaderFault::Isolated(9_000),
        };
        fall(seed, [(at, Fault::Leader(what))])
    });
}

#[test]
fn limits_that_fall_under_drawn_troubles_keep_the_rules() {
    play_days("limits fall, drawn troubles", 13_000, 10, |seed| {
        let mut rng = rng_of(seed);
        let mut beside = Vec::new();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(60_000..110_000);
            let span = rng.random_range(1_000..40_000);
            beside.push((at, random_fault(&mut rng, span)));
        }
        fall(seed, beside)
    });
}

/// A gang and an array so wide that their records had the former size, held across the fall, cancelled or ended after it.
#[test]
fn wide_jobs_across_a_fall_end_well() {
    for seed in 14_000..14_006 + extra_seeds() {
        let mut world = day(seed, fall(seed, []));
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
        world.cancel_last(FALL_MS + 4_000);
        play(&mut world, &format!("wide jobs, seed {seed}"));
    }
}

/// Arrays of as many tasks as a record holds, which fail again and again on many machines, with an account of usage: what
/// their records would hold in full is more than the lower limit. Cancelled, they end as well.
#[test]
fn records_full_of_detail_fit_lowered_limits() {
    let mut largest = 0;
    for seed in 15_000..15_004 + extra_seeds() {
        let mut world = day(seed, fall(seed, []));
        world.set_operator_settings("((ledger . #t) (classes (default (repeats 1000))))");
        for n in 0..3 {
            let id = format!("req-00000{n}");
            let wide = JobSpec { tasks: 96, gpus: 0.1, cpus: 0.1, ..small_array(&id, 2) };
            world.add_job_at(wide, 5_000 + n * 2_000);
            world.schedule_cancel(&id, 150_000 + n * 3_000);
            world.region.outside.broken.insert(id, Broken::Often(0.8));
        }
        play(&mut world, &format!("full records, seed {seed}"));
        largest = largest.max(world.largest_value());
    }
    assert!(largest > LOWERED_VALUE_BYTES, "{largest} bytes at most, before the fall");
}

//! Seeded days of the simulated world: every rule of the protocol holds after every step, and every
//! accepted job finishes once the faults are over. `OATLOOM_SEEDS=n` runs n more seeds.

#[allow(dead_code)]
mod world;

use oatloom_emulator::checker::{Checker, Limit, Place, PlacedTask};
use oatloom_protocol::ids::Attempt;
use oatloom_protocol::wire::{JobStatus, Order};
use world::{World, extra_seeds, init_log};

fn run_seed(seed: u64, faults: bool) -> World {
    // `LOG_LEVEL=debug` shows the controllers' log for a failing seed.
    init_log();
    let mut world = World::new(seed, faults);
    world.run();
    let violations = &world.region.checker.violations;
    assert!(violations.is_empty(), "seed {seed} breaks rules: {violations:#?}");
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "seed {seed} has unfinished jobs: {unfinished:#?}");
    assert!(world.region.checker.start_count > 0, "seed {seed} started no task");
    world
}

fn run_seeds(first: u64, count: u64) {
    let more = extra_seeds();
    let (mut done, mut cancelled) = (0, 0);
    for seed in first..first + count + more {
        let world = run_seed(seed, true);
        done += world.count_with_known_status(JobStatus::Done);
        cancelled += world.count_with_known_status(JobStatus::Cancelled);
    }
    assert!(done > 0 && cancelled > 0, "{done} done, {cancelled} cancelled");
}

/// Runs the seed given in `OATLOOM_SEED`, if any.
#[test]
fn one_seed() {
    if let Some(seed) = std::env::var("OATLOOM_SEED").ok().and_then(|s| s.parse().ok()) {
        run_seed(seed, true);
    }
}

#[test]
fn a_day_without_faults_finishes_every_job() {
    let world = run_seed(1, false);
    assert!(world.count_with_known_status(JobStatus::Done) > 5);
}

#[test]
fn days_with_faults_keep_the_rules_1() {
    run_seeds(1_000, 8);
}

#[test]
fn days_with_faults_keep_the_rules_2() {
    run_seeds(2_000, 8);
}

#[test]
fn days_with_faults_keep_the_rules_3() {
    run_seeds(3_000, 8);
}

#[test]
fn days_with_faults_keep_the_rules_4() {
    run_seeds(4_000, 8);
}

/// Two runs of a seed produce the same actions in the same order. Guards against iteration over a
/// hash map, whose random order reached the actions and the number of starts.
#[test]
fn a_seed_reproduces_the_same_actions() {
    for seed in [1_001, 4_001] {
        let (a, b) = (run_seed(seed, true), run_seed(seed, true));
        assert_eq!((a.digest, a.now), (b.digest, b.now), "seed {seed}");
    }
}

/// The checker reports each violation of a rule.
#[test]
fn the_checker_detects_each_violation() {
    let build_spec = |spread, one_zone| {
        let text = r#"{"nameId":"req-1","jobclass":"c","owner":"red","shape":"sweep","rank":"low",
            "shards":2,"cpus":1,"gpus":2,"memoryGb":1,"bundle":"i","pullGb":1,"flavors":["g4"],
            "samePlace":false,"spread":false,"loaners":false,"expectS":1,"snapshotS":0,"flushS":0}"#;
        let mut spec: oatloom_protocol::wire::JobSpec = serde_json::from_str(text).unwrap();
        (spec.spread, spec.one_zone) = (spread, one_zone);
        spec
    };
    let build_task =
        |index, host: &str| PlacedTask { job: "req-1".into(), index, host: host.into() };
    let build_place =
        |flavor: &str, zone: &str, spot| Place { flavor: flavor.into(), zone: zone.into(), spot };
    let build_valid_place = || build_place("g4", "a", false);
    let find_violated_rules = |spread, one_zone, act: &dyn Fn(&mut Checker)| -> Vec<String> {
        let limits = [("red".to_owned(), Limit { cpus: 1.5, gpus: 3.0 })].into();
        let mut checker = Checker::new(limits, 1_000);
        checker.record_submission(&build_spec(spread, one_zone));
        act(&mut checker);
        let get_rule =
            |violation: &String| violation.split([' ', ':']).nth(2).unwrap_or_default().to_owned();
        checker.violations.iter().map(get_rule).collect()
    };
    let format_status = |status: &str| format!(r#"{{"status":"{status}"}}"#);
    assert!(
        find_violated_rules(false, false, &|c| c.record_start(
            1,
            build_task(0, "x"),
            build_valid_place()
        ))
        .is_empty()
    );
    let on_two_machines = find_violated_rules(false, false, &|c| {
        c.record_start(1, build_task(0, "x"), build_valid_place());
        c.record_start(2, build_task(0, "y"), build_valid_place());
    });
    assert!(
        on_two_machines.contains(&"ran_twice".to_owned())
            && on_two_machines.contains(&"quota".to_owned())
    );
    let check_quota = |gpus: f64, cpus: f64| {
        find_violated_rules(false, false, &move |c| {
            let mut spec = build_spec(false, false);
            (spec.gpus, spec.cpus) = (gpus, cpus);
            c.record_submission(&spec);
            (0..2).for_each(|i| c.record_start(1, build_task(i, "x"), build_valid_place()));
        })
    };
    assert!(check_quota(1.5, 0.75).is_empty());
    assert_eq!(check_quota(1.6, 0.75), ["quota"]);
    assert_eq!(check_quota(1.5, 0.76), ["quota"], "cores count too");
    for invalid_place in [build_place("g2", "a", false), build_place("g4", "a", true)] {
        let rules = find_violated_rules(false, false, &|c| {
            c.record_start(1, build_task(0, "x"), invalid_place.clone())
        });
        assert_eq!(rules, ["wrong_place"]);
    }
    let same_zone = find_violated_rules(true, false, &|c| {
        c.record_start(1, build_task(0, "x"), build_valid_place());
        c.record_start(2, build_task(1, "y"), build_valid_place());
    });
    assert!(same_zone.contains(&"wrong_place".to_owned()));
    let different_zones = find_violated_rules(false, true, &|c| {
        c.record_start(1, build_task(0, "x"), build_valid_place());
        c.record_start(2, build_task(1, "y"), build_place("g4", "b", false));
    });
    assert!(different_zones.contains(&"wrong_place".to_owned()));
    let cancel = |c: &mut Checker| {
        c.record_cancel_request("req-1");
        c.handle_answer(10, 9, "req-1", 200, &format_status("cancelled"), false);
    };
    let outlives_cancel = find_violated_rules(false, false, &|c| {
        c.record_start(1, build_task(0, "x"), build_valid_place());
        cancel(c);
        c.check_cancelled_jobs(2_000);
    });
    assert_eq!(outlives_cancel, ["ran_cancelled"]);
    let starts_after_cancel = find_violated_rules(false, false, &|c| {
        cancel(c);
        c.record_start(2_000, build_task(0, "x"), build_valid_place());
    });
    assert_eq!(starts_after_cancel, ["ran_cancelled"]);
    let handle_answers = |list: &'static [(u16, &'static str, bool)]| {
        find_violated_rules(false, false, &move |c| {
            for (status, state, submission) in list {
                c.handle_answer(1, 1, "req-1", *status, &format_status(state), *submission);
            }
        })
    };
    assert!(handle_answers(&[(201, "queued", true), (200, "running", false)]).is_empty());
    assert_eq!(handle_answers(&[(201, "queued", true), (404, "", false)]), ["forgotten"]);
    assert_eq!(handle_answers(&[(201, "queued", true), (422, "", true)]), ["forgotten"]);
    assert_eq!(handle_answers(&[(201, "queued", true), (200, "done", false)]), ["not_done"]);
    assert_eq!(handle_answers(&[(200, "cancelled", false)]), ["went_back"]);
    let reopened = find_violated_rules(false, false, &|c| {
        (0..2).for_each(|i| c.record_task_done("req-1", i));
        c.handle_answer(1, 1, "req-1", 200, &format_status("done"), false);
        c.handle_answer(2, 2, "req-1", 200, &format_status("running"), false);
    });
    assert_eq!(reopened, ["went_back"]);
    // On any node, a request sent before a change was announced may return the older state, but two different final
    // states are a violation.
    let answer_after_cancel = |sent_at: u64, status: u16, state: &'static str| {
        find_violated_rules(false, false, &move |c| {
            (0..2).for_each(|i| c.record_task_done("req-1", i));
            c.record_cancel_request("req-1");
            c.handle_answer(10, 5, "req-1", 201, &format_status("queued"), true);
            c.handle_answer(20, 15, "req-1", 200, &format_status("cancelled"), false);
            c.handle_answer(30, sent_at, "req-1", status, &format_status(state), false);
        })
    };
    assert!(answer_after_cancel(8, 404, "").is_empty(), "sent before the acceptance was announced");
    assert_eq!(answer_after_cancel(10, 404, ""), ["forgotten"]);
    assert!(
        answer_after_cancel(19, 200, "running").is_empty(),
        "sent before the end was announced"
    );
    assert_eq!(answer_after_cancel(20, 200, "running"), ["went_back"]);
    assert_eq!(answer_after_cancel(20, 200, "queued"), ["went_back"]);
    assert_eq!(
        answer_after_cancel(3, 200, "done"),
        ["went_back"],
        "a different end was never true"
    );
    let build_order = |task: &str| Order::Run { task: task.into(), attempt: Attempt(7) };
    let ordered = find_violated_rules(false, false, &|c| {
        c.check_orders(5, &[build_order("req-1/0")]);
        cancel(c);
        c.check_orders(10, &[build_order("req-2/0")]);
        c.check_orders(10, &[build_order("req-1/1")]);
    });
    assert_eq!(ordered, ["ordered"]);
    let invented = find_violated_rules(false, false, &|c| {
        c.handle_answer(1, 1, "req-2", 200, &format_status("queued"), false)
    });
    assert_eq!(invented, ["invented"]);
}

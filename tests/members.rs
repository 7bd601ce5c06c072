//! Controllers' knowledge of each other: restarts of several controllers, refusal of one of them by the state service, and
//! simultaneous crashes.

#[allow(dead_code)]
mod world;

use world::{Fault, World};

/// Guards against a controller that is the only one refused by the state service and still reports healthy: without user
/// requests to relay, it did not learn that the others were served, and users were routed to it.
#[test]
fn an_idle_controller_refused_alone_reports_unhealthy() {
    for (seed, node) in (0..6).flat_map(|seed| (0..3).map(move |node| (seed, node))) {
        let faults = vec![(40_000, Fault::StoreRefuses(node, 40_000))];
        let mut world = World::with_faults(seed, faults, 90_000, None);
        world.remove_users();
        world.probing = true;
        world.run_until(90_000);
        let before = world.healthy_probe_share(10_000, 40_000);
        assert!(before.iter().all(|share| *share > 0.95), "seed {seed}: {before:?}");
        let during = world.healthy_probe_share(54_000, 78_000);
        for (other, share) in during.iter().enumerate() {
            let is_expected = if other == node { *share < 0.05 } else { *share > 0.95 };
            assert!(is_expected, "seed {seed}, {node} refused: {during:?}");
        }
        let after = world.healthy_probe_share(86_000, 90_000);
        assert!(after[node] > 0.7, "seed {seed}: {after:?}");
    }
}

/// In an outage of the state service no controller is better off than another, so none reports unhealthy.
#[test]
fn all_controllers_stay_up_in_an_outage() {
    for seed in 0..4 {
        let faults = vec![(40_000, Fault::StoreOutage(30_000))];
        let mut world = World::with_faults(seed, faults, 90_000, None);
        world.remove_users();
        world.probing = true;
        world.run_until(90_000);
        let during = world.healthy_probe_share(42_000, 70_000);
        assert!(during.iter().all(|share| *share > 0.95), "seed {seed}: {during:?}");
    }
}

/// Controllers restart repeatedly, one at a time and two at once: the rules hold, and all jobs finish.
#[test]
fn restarts_in_turn_and_two_at_once_keep_the_rules() {
    for seed in 0..6 {
        let mut faults = Vec::new();
        for n in 0..10_u64 {
            let at = 6_000 + n * 9_000;
            faults.push((at, Fault::Crash(n as usize % 3)));
            if n % 3 == 2 {
                faults.push((at + 50, Fault::Crash((n as usize + 1) % 3)));
            }
        }
        let mut world = World::with_faults(seed, faults, 120_000, None);
        world.run();
        let violations = &world.region.checker.violations;
        assert!(violations.is_empty(), "seed {seed} breaks rules: {violations:#?}");
        let unfinished = world.unfinished();
        assert!(unfinished.is_empty(), "seed {seed} has unfinished jobs: {unfinished:#?}");
    }
}

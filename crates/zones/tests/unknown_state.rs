//! Zones from which a controller that started without state has received no report, while machines
//! of an earlier controller run.

use oatloom_protocol::ids::{Mono, Zone};
use oatloom_zones::{HirePolicy, ZoneObservation, ZoneState, ZoneStates};
use std::collections::BTreeMap;

fn zone(name: &str) -> Zone {
    Zone::new(name)
}

fn observations(a: ZoneObservation, b: ZoneObservation) -> BTreeMap<Zone, ZoneObservation> {
    [(zone("a"), a), (zone("b"), b)].into()
}

fn reporting(machines: u32, at: u64) -> ZoneObservation {
    ZoneObservation {
        machines_known: machines,
        machines_reporting: machines,
        latest: Some(Mono(at)),
        ..ZoneObservation::default()
    }
}

fn started_without_state() -> ZoneStates {
    let mut zones = ZoneStates::default();
    zones.mark_unknown(&[zone("a"), zone("b")]);
    zones
}

/// No machine is left in the zone, or too few for their silence to be evidence: one hire at a time
/// until the first report.
#[test]
fn one_hire_at_a_time_until_first_report() {
    for left in [0, 1, 2] {
        let mut zones = started_without_state();
        let few = ZoneObservation { expected: left, ..ZoneObservation::default() };
        zones.observe(&observations(few, reporting(9, 2_000)), Mono(2_000));
        assert_eq!(zones.hire_policy(&zone("b")), HirePolicy::AsNeeded, "zone b reports");
        assert_eq!(
            zones.hire_policy(&zone("a")),
            HirePolicy::OneAtATime,
            "{left} machines are left"
        );
        zones.observe(&observations(reporting(1, 9_000), reporting(9, 9_000)), Mono(9_000));
        assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::AsNeeded);
    }
}

/// The silence of several machines while others report counts as in any other state.
#[test]
fn silence_of_several_machines_is_a_loss() {
    let mut zones = started_without_state();
    let three = ZoneObservation { expected: 3, ..ZoneObservation::default() };
    zones.observe(&observations(three, reporting(9, 2_000)), Mono(2_000));
    assert_eq!(zones.state(&zone("a")), ZoneState::AwaitingReports);
    let overdue = ZoneObservation { overdue: 3, ..three };
    zones.observe(&observations(overdue, reporting(9, 19_000)), Mono(20_000));
    assert!(zones.is_lost(&zone("a")));
}

/// The report of an earlier leader takes precedence, and a zone that is already known keeps its
/// state.
#[test]
fn known_state_is_kept() {
    let mut zones = ZoneStates::default();
    let silent = ZoneObservation { silent: 9, machines_known: 9, ..ZoneObservation::default() };
    zones.observe(&observations(silent, reporting(9, 900)), Mono(1_000));
    assert!(zones.is_lost(&zone("a")));
    zones.mark_unknown(&[zone("a"), zone("c")]);
    assert!(zones.is_lost(&zone("a")));
    assert_eq!(zones.hire_policy(&zone("c")), HirePolicy::OneAtATime);
}

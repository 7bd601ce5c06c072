use super::*;
use oatloom_protocol::constants::MAX_BODY_BYTES;
use oatloom_protocol::wire::{ExitCause, TaskPhase, TaskReport};

fn report(session: u64, report_seq: u64, token: u64) -> Report {
    Report {
        host: HostId::new("i-1"),
        addr: "10.0.0.9:1".into(),
        flavor: "f".into(),
        zone: Zone::new("a"),
        spot: false,
        session: WorkerSession(session),
        report_seq: ReportSeq(report_seq),
        token: Token(token),
        notice_s: None,
        tasks: Vec::new(),
    }
}

fn resources(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
    Resources { cpus, gpus, memory_gb, tasks: 0 }
}

/// For ordinary amounts the number is the one that is found by taking away one task after another.
#[test]
fn fitting_tasks_are_those_that_can_be_taken_away() {
    let room = resources(48.0, 4.0, 192.0);
    let sizes = [0.1, 0.25, 0.3, 0.7, 1.0, 1.5, 2.6, 4.0, 5.3, 48.0, 49.0, 193.0];
    for cpus in sizes {
        for gpus in [0.0, 0.1, 0.5, 1.0, 3.0, 4.0, 5.0] {
            for memory_gb in sizes {
                let need = resources(cpus, gpus, memory_gb);
                let (mut left, mut counted) = (room, 0);
                while left.fits(&need) {
                    left.subtract(&need);
                    counted += 1;
                }
                assert_eq!(room.count_fitting(&need, 1_000), counted, "{need:?}");
                assert_eq!(room.count_fitting(&need, 3), counted.min(3), "{need:?}");
            }
        }
    }
}

/// Guards against counting without an end, which no amount may cause.
#[test]
fn any_number_of_tasks_that_take_nothing_fits() {
    let room = resources(48.0, 4.0, 192.0);
    for tiny in [0.0, f64::MIN_POSITIVE, 1e-300, 1e-17, 1e-12, -1.0, f64::NEG_INFINITY] {
        for need in [resources(tiny, tiny, tiny), resources(tiny, 0.0, 0.0)] {
            assert_eq!(room.count_fitting(&need, 100_000), 100_000, "{need:?}");
            assert_eq!(Resources::default().count_fitting(&need, 7), 7, "{need:?}");
        }
        assert_eq!(room.count_fitting(&resources(tiny, 1.0, tiny), 100_000), 4, "{tiny}");
        assert_eq!(room.count_fitting(&resources(tiny, 5.0, tiny), 100_000), 0, "{tiny}");
    }
    for excessive in [1e300, f64::MAX, f64::INFINITY, f64::NAN] {
        assert_eq!(room.count_fitting(&resources(0.0, 0.0, excessive), 100_000), 0, "{excessive}");
    }
}

/// Guards against a machine whose report is too long to be accepted: one full of tasks, of which as many have just ended, can
/// still report.
#[test]
fn the_longest_report_of_a_full_machine_is_accepted() {
    let row = TaskReport {
        task: "req-999999/99999".into(),
        attempt: Attempt(u64::from(u32::MAX) << 20),
        status: TaskPhase::Exited,
        cause: Some(ExitCause::Incomplete),
        stored: false,
        ran_ms: Some(999_999_999),
    };
    let bytes = serde_json::to_string(&row).unwrap().len() + ",".len();
    assert!(bytes <= MAX_TASK_REPORT_BYTES, "{bytes} bytes");
    let tasks = vec![row; 2 * MAX_MACHINE_TASKS as usize - 8];
    let text = serde_json::to_string(&Report { tasks, ..report(1, 1, 1) }).unwrap();
    assert!(text.len() <= MAX_BODY_BYTES, "{} bytes", text.len());
}

#[test]
fn a_machine_takes_a_number_of_tasks_only() {
    let room = Resources { tasks: 3, ..resources(48.0, 4.0, 192.0) };
    let need = Resources { tasks: 1, ..Resources::default() };
    assert_eq!(room.count_fitting(&need, 10), 3);
    assert_eq!(room.count_fitting(&need, 2), 2);
    let mut full = room;
    (0..3).for_each(|_| full.subtract(&need));
    assert!(!full.fits(&need));
    full.subtract(&need);
    assert_eq!(full.count_fitting(&need, 10), 0, "more tasks than fit were taken over");
}

#[test]
fn reports_are_ordered_by_session_and_sequence_number() {
    let mut fleet = Fleet::default();
    let mut record = |session, report_seq, token| {
        fleet.record_report(&report(session, report_seq, token), Token(4), Mono(1))
    };
    assert_eq!(record(1, 5, 3), Freshness::Unconfirmed);
    assert_eq!(record(1, 6, 4), Freshness::Confirmed);
    assert_eq!(record(1, 6, 4), Freshness::Stale);
    assert_eq!(record(1, 2, 4), Freshness::Stale);
    assert_eq!(record(2, 1, 4), Freshness::Confirmed);
    assert_eq!(record(1, 900, 4), Freshness::Stale);
}

/// The time allows for clock drift and for the last answers of an earlier leader.
#[test]
fn tasks_gone_by_lies_beyond_any_lease() {
    let mut fleet = Fleet::default();
    fleet.record_report(&report(1, 1, 1), Token(1), Mono(5_000));
    let m = fleet.machines.get_mut(&HostId::new("i-1")).unwrap();
    assert!(Fleet::tasks_gone_by(m, Mono(9_000), 26.0) >= Mono(35_013));
    m.last_answer = Some(Mono(20_000));
    assert!(Fleet::tasks_gone_by(m, Mono(9_000), 26.0) >= Mono(46_013));
}

#[test]
fn image_cache_keeps_most_recently_used() {
    let mut fleet = Fleet::default();
    fleet.record_report(&report(1, 1, 1), Token(1), Mono(0));
    let m = fleet.machines.get_mut(&HostId::new("i-1")).unwrap();
    let task = |i| TaskId::new(&JobId::new("req-1"), i);
    m.assign(task(0), Resources::default(), "x", 30.0, 60.0);
    assert!(!m.has_image("x") && m.fetching().len() == 1);
    m.mark_fetched("x");
    m.assign(task(1), Resources::default(), "y", 20.0, 60.0);
    m.mark_fetched("y");
    m.assign(task(2), Resources::default(), "x", 30.0, 60.0);
    m.assign(task(3), Resources::default(), "z", 25.0, 60.0);
    m.mark_fetched("z");
    assert!(m.has_image("x") && m.has_image("z") && !m.has_image("y"));
}

/// The bound depends on the settings alone: one lease plus drift; settings that exceed the promised
/// bound are detected.
#[test]
fn cancellation_bound_is_one_lease() {
    let facts = |lease_s, cancel_s| WorkerFacts {
        report_s: 3.0,
        lease_s,
        gang_wait_s: 40.0,
        gang_peer_s: 4.0,
        cancel_s,
    };
    for (lease_s, cancel_s, holds) in [(26.0, 46.0, true), (45.0, 45.2, false), (60.0, 46.0, false)]
    {
        let facts = facts(lease_s, cancel_s);
        assert!(cancellation_bound(&facts) >= Millis::from_secs(lease_s * 1.0005));
        assert_eq!(cancellation_bound(&facts) < Millis::from_secs(cancel_s), holds);
    }
}

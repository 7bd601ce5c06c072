use super::*;

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

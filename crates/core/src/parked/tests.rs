use super::*;
use crate::constants::{PARK_MS, REPORT_DROP_MS};
use oatloom_protocol::ids::Millis;

#[test]
fn an_answer_waits_no_longer_than_its_worker() {
    let mut parked = ParkedReports::default();
    let host = HostId::new("i-1");
    parked.park(host.clone(), ConnId(1), Shift(1), Tally(4), Mono(1_000).plus(PARK_MS), None);
    assert!(parked.due(Mono(1_001), Look::Watched, |_, _| false).is_empty());
    assert_eq!(parked.due(Mono(1_001), Look::Watched, |h, _| *h == host).len(), 1);
    let late = Mono(1_000).plus(Millis(REPORT_DROP_MS.0 * 4 / 5));
    assert_eq!(parked.due(late, Look::Deadlines, |_, _| false).len(), 1);
    // A newer report replaces it: an order must not go with the answer to an older one.
    parked.park(host.clone(), ConnId(2), Shift(1), Tally(5), Mono(2_000).plus(PARK_MS), None);
    assert_eq!(parked.take(&host).map(|p| (p.conn, p.tally)), Some((ConnId(2), Tally(5))));
    assert!(parked.take(&host).is_none());
}

/// Only what may have changed is looked at, and all of it now and then.
#[test]
fn looks_follow_what_changes() {
    let mut parked = ParkedReports::default();
    let host = |n: usize| HostId::new(&format!("i-{n:06}"));
    for n in 0..4_000 {
        parked.park(host(n), ConnId(n as u64), Shift(1), Tally(1), Mono(1_000).plus(PARK_MS), None);
    }
    assert!(parked.due(Mono(1_001), Look::Deadlines, |_, _| false).is_empty());
    let swept = parked.looks();
    assert_eq!(swept, 4_000);
    for ms in 1_002..1_400 {
        assert!(parked.due(Mono(ms), Look::Watched, |_, _| true).is_empty());
    }
    parked.watch(&host(7));
    assert_eq!(parked.due(Mono(1_401), Look::Watched, |_, _| true), [host(7)]);
    assert_eq!(parked.looks(), swept + 1);
    // What nobody has said to have changed shows with the next sweep, a bounded part of it at a time.
    let found = parked.due(Mono(1_002 + PARKED_SWEEP_MS.0), Look::Deadlines, |_, _| true);
    assert_eq!(found.len(), PARKED_AT_ONCE);
    found.iter().for_each(|host| drop(parked.take(host)));
    assert_eq!(parked.len(), 4_000 - PARKED_AT_ONCE);
}

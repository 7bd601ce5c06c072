use super::*;
use crate::constants::{MAX_PARK_MS, WORKER_ANSWER_TIMEOUT_MS};
use oatloom_protocol::ids::Millis;

#[test]
fn an_answer_is_sent_before_its_worker_times_out() {
    let mut parked = ParkedReports::default();
    let host = HostId::new("i-1");
    parked.park(
        host.clone(),
        ConnId(1),
        WorkerSession(1),
        ReportSeq(4),
        Mono(1_000).plus(MAX_PARK_MS),
        None,
    );
    assert!(parked.due(Mono(1_001), ParkedScan::Watched, |_, _| false).is_empty());
    assert_eq!(parked.due(Mono(1_001), ParkedScan::Watched, |h, _| *h == host).len(), 1);
    let late = Mono(1_000).plus(Millis(WORKER_ANSWER_TIMEOUT_MS.0 * 4 / 5));
    assert_eq!(parked.due(late, ParkedScan::Expired, |_, _| false).len(), 1);
    // A newer report replaces it: orders must not be sent with the answer to an older one.
    parked.park(
        host.clone(),
        ConnId(2),
        WorkerSession(1),
        ReportSeq(5),
        Mono(2_000).plus(MAX_PARK_MS),
        None,
    );
    assert_eq!(parked.take(&host).map(|p| (p.conn, p.report_seq)), Some((ConnId(2), ReportSeq(5))));
    assert!(parked.take(&host).is_none());
}

/// Only reports that may have changed are checked, and all of them periodically.
#[test]
fn only_changed_reports_are_checked_between_sweeps() {
    let mut parked = ParkedReports::default();
    let host = |n: usize| HostId::new(&format!("i-{n:06}"));
    for n in 0..4_000 {
        parked.park(
            host(n),
            ConnId(n as u64),
            WorkerSession(1),
            ReportSeq(1),
            Mono(1_000).plus(MAX_PARK_MS),
            None,
        );
    }
    assert!(parked.due(Mono(1_001), ParkedScan::Expired, |_, _| false).is_empty());
    let swept = parked.checked_reports();
    assert_eq!(swept, 4_000);
    for ms in 1_002..1_400 {
        assert!(parked.due(Mono(ms), ParkedScan::Watched, |_, _| true).is_empty());
    }
    parked.watch(&host(7));
    assert_eq!(parked.due(Mono(1_401), ParkedScan::Watched, |_, _| true), [host(7)]);
    assert_eq!(parked.checked_reports(), swept + 1);
    // Changes that were not announced are found by the next sweep, a bounded number at a time.
    let found =
        parked.due(Mono(1_002 + PARKED_SWEEP_PERIOD_MS.0), ParkedScan::Expired, |_, _| true);
    assert_eq!(found.len(), MAX_PARKED_ANSWERS_PER_EVENT);
    found.iter().for_each(|host| drop(parked.take(host)));
    assert_eq!(parked.len(), 4_000 - MAX_PARKED_ANSWERS_PER_EVENT);
}

use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Maximum number of callers in these tests.
const CALLERS: usize = 2_400;

/// Result of a simulated load.
#[derive(Debug, Default)]
struct Outcome {
    /// Inputs answered in time, by kind.
    answered: BTreeMap<InputKind, u32>,
    dropped: u32,
    /// Longest wait of an input that was taken, in milliseconds.
    longest_wait_ms: u64,
    longest_queue: usize,
}

/// Simulates inputs of each kind at the given rates per second, handled by a thread that needs `cost_us` for each input that
/// it takes and a tenth of that for each that it drops.
fn simulate(seed: u64, rates: &[(InputKind, f64)], cost_us: u64, span_ms: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut inbox = Inbox::new(CALLERS);
    let mut outcome = Outcome::default();
    let mut budget_us: i64 = 0;
    for now in 0..span_ms {
        for (kind, rate) in rates {
            let count =
                (rate / 1e3).floor() as u32 + u32::from(rng.random_bool((rate / 1e3).fract()));
            for _ in 0..count {
                let evicted = inbox.push(Mono(now), *kind, false, (*kind, now));
                outcome.dropped += u32::from(evicted.is_some());
            }
        }
        budget_us = (budget_us + 1_000).min(1_000);
        while budget_us > 0
            && let Some(next) = inbox.pop(Mono(now))
        {
            match next {
                Admitted::Take((kind, at), age) => {
                    assert_eq!(age, Millis(now - at));
                    budget_us -= cost_us as i64;
                    outcome.longest_wait_ms = outcome.longest_wait_ms.max(now - at);
                    *outcome.answered.entry(kind).or_default() += 1;
                }
                Admitted::Drop(..) => {
                    budget_us -= cost_us as i64 / 10;
                    outcome.dropped += 1;
                }
            }
        }
        outcome.longest_queue = outcome.longest_queue.max(inbox.len());
    }
    outcome
}

/// Under overload by any kind, the other kinds keep their share, no expired input is taken, and the queue is bounded.
#[test]
fn each_kind_keeps_its_share_under_overload() {
    use InputKind::*;
    for (seed, overloaded) in InputKind::ALL.into_iter().enumerate() {
        // The thread can answer 1,000 inputs a second; one kind sends twenty times that.
        let rates =
            InputKind::ALL.map(|kind| (kind, if kind == overloaded { 20_000.0 } else { 30.0 }));
        let outcome = simulate(seed as u64, &rates, 1_000, 20_000);
        for kind in InputKind::ALL.into_iter().filter(|kind| *kind != overloaded) {
            let answered = outcome.answered[&kind];
            assert!(answered > 450, "{overloaded:?} starves {kind:?}: {answered} of some 600");
        }
        assert!(outcome.longest_wait_ms < MAX_REPORT_AGE_MS.0, "{}", outcome.longest_wait_ms);
        assert!(outcome.longest_queue <= CALLERS + 600, "{}", outcome.longest_queue);
        assert!(outcome.dropped > 0 && outcome.answered[&overloaded] > 5_000, "{outcome:?}");
    }
    // Reports and queries both exceed the capacity: each keeps its share.
    let outcome = simulate(9, &[(Report, 5_000.0), (Query, 5_000.0)], 1_000, 20_000);
    assert!(outcome.answered[&Query] > 7_000 && outcome.answered[&Report] > 7_000);
}

/// After an overload its inputs are dropped as soon as they expire, and new ones are answered again.
#[test]
fn an_overloaded_inbox_recovers() {
    let mut inbox = Inbox::new(CALLERS);
    for n in 0..10_000 {
        inbox.push(Mono(0), InputKind::Query, false, n);
    }
    assert_eq!(inbox.len(), CALLERS);
    let later = Mono(MAX_QUERY_AGE_MS.0);
    inbox.push(later, InputKind::Query, false, 77);
    let mut retries_by_second: BTreeMap<u32, u32> = BTreeMap::new();
    loop {
        match inbox.pop(later) {
            Some(Admitted::Drop(_, retry_after_s)) => {
                *retries_by_second.entry(retry_after_s).or_default() += 1
            }
            Some(Admitted::Take(item, _)) => break assert_eq!(item, 77),
            None => panic!("the new input is answered"),
        }
    }
    // The retries are spread evenly over several seconds.
    assert_eq!(retries_by_second.len(), RETRY_SPREAD_S as usize);
    assert!(retries_by_second.values().all(|count| *count < 2 * CALLERS as u32 / RETRY_SPREAD_S));
    assert!(inbox.is_empty() && inbox.take_dropped() == 10_000);
}

/// An expired report is answered with a retry time at once, like any other request, and never left open; a query forwarded
/// by a peer is dropped once the peer has timed out.
#[test]
fn expired_reports_and_forwarded_queries_are_dropped_with_a_retry_time() {
    let mut inbox = Inbox::new(CALLERS);
    inbox.push(Mono(0), InputKind::Report, false, 1);
    inbox.push(Mono(0), InputKind::Query, true, 2);
    let now = Mono(MAX_FORWARDED_AGE_MS.0);
    assert_eq!(inbox.pop(now), Some(Admitted::Take(1, MAX_FORWARDED_AGE_MS)));
    assert!(matches!(inbox.pop(now), Some(Admitted::Drop(2, _))));
    inbox.push(now, InputKind::IdleReport, false, 3);
    let expired = now.plus(MAX_REPORT_AGE_MS);
    assert!(matches!(inbox.pop(expired), Some(Admitted::Drop(3, 1..=RETRY_SPREAD_S))));
    assert!(
        MAX_FORWARDED_AGE_MS < LEADER_QUERY_TIMEOUT_MS
            && MAX_REPORT_AGE_MS < WORKER_ANSWER_TIMEOUT_MS
    );
}

/// A machine whose last report was dropped has priority over machines that were answered, until its report is taken.
#[test]
fn a_machine_with_a_dropped_report_has_priority() {
    let report = |host: &str| {
        let text = format!(
            r#"{{"host":"{host}","addr":"a","flavor":"f","yard":"z","loaners":false,"shift":1,"tally":1,"baton":7,
                "shards":[{{"shard":"req-1/0","try":1,"status":"running"}}]}}"#
        );
        Request::Report(Box::new(serde_json::from_str(&text).unwrap()))
    };
    let leader = Some(Token(7));
    let mut dropped = DroppedReports::default();
    assert_eq!(dropped.classify(&report("i-1"), leader), InputKind::AcknowledgedReport);
    dropped.record_dropped(&report("i-1"));
    assert_eq!(dropped.classify(&report("i-1"), leader), InputKind::Report);
    assert_eq!(dropped.classify(&report("i-2"), leader), InputKind::AcknowledgedReport);
    dropped.record_handled(&report("i-1"));
    assert_eq!(dropped.classify(&report("i-1"), leader), InputKind::AcknowledgedReport);
}

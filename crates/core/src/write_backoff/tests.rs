//! Rejected transactions are split, and items rejected on their own are retried after a growing delay.

use super::*;

#[test]
fn rejected_transactions_are_split_down_to_one_item() {
    let mut backoff = WriteBackoff::default();
    let items: Vec<u32> = (0..16).collect();
    let mut limits = Vec::new();
    while backoff.rejected(&items[..backoff.max_items().min(16)], Mono(0))
        == Some(RejectionResponse::Split)
    {
        limits.push(backoff.max_items());
    }
    assert_eq!(limits, [8, 4, 2, 1]);
    assert!(backoff.is_deferred(&0) && !backoff.is_deferred(&1));
    for _ in 0..BATCH_GROWTH_SUCCESSES {
        assert_eq!(backoff.max_items(), 1);
        backoff.accepted([1].iter());
    }
    assert_eq!(backoff.max_items(), 2, "the limit grows again");
}

#[test]
fn an_item_rejected_on_its_own_is_retried_with_a_growing_delay() {
    let mut backoff = WriteBackoff::default();
    let (mut now, mut pauses) = (Mono(0), Vec::new());
    for _ in 0..9 {
        let Some(RejectionResponse::Deferred(7, pause)) = backoff.rejected(&[7], now) else {
            panic!("a single item must be deferred");
        };
        pauses.push(pause);
        assert!(backoff.is_deferred(&7) && backoff.deferred_count() == 1);
        assert_eq!(backoff.take_due(Mono(now.plus(pause).0 - 1)), None);
        now = now.plus(pause);
        assert_eq!(backoff.take_due(now), Some(7));
        assert!(!backoff.is_deferred(&7) && backoff.take_due(now).is_none());
    }
    assert!(
        pauses.windows(2).all(|two| two[1].0 == (two[0].0 * 2).min(MAX_REJECTED_RETRY_PAUSE_MS.0))
    );
    assert_eq!(pauses.last(), Some(&MAX_REJECTED_RETRY_PAUSE_MS));
    backoff.accepted([7].iter());
    assert_eq!(
        backoff.rejected(&[7], now),
        Some(RejectionResponse::Deferred(7, REJECTED_RETRY_PAUSE_MS))
    );
    assert_eq!(backoff.rejected(&[], now), None);
}

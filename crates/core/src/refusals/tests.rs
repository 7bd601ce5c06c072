//! Rejected transactions are split, and items rejected on their own are retried after a growing delay.

use super::*;

#[test]
fn rejected_transactions_are_split_down_to_one_item() {
    let mut refusals = Refusals::default();
    let items: Vec<u32> = (0..16).collect();
    let mut limits = Vec::new();
    while refusals.refused(&items[..refusals.most().min(16)], Mono(0)) == Some(Refusal::Smaller) {
        limits.push(refusals.most());
    }
    assert_eq!(limits, [8, 4, 2, 1]);
    assert!(refusals.holds(&0) && !refusals.holds(&1));
    for _ in 0..GROW_AFTER {
        assert_eq!(refusals.most(), 1);
        refusals.taken([1].iter());
    }
    assert_eq!(refusals.most(), 2, "the limit grows again");
}

#[test]
fn an_item_rejected_on_its_own_is_retried_with_a_growing_delay() {
    let mut refusals = Refusals::default();
    let (mut now, mut pauses) = (Mono(0), Vec::new());
    for _ in 0..9 {
        let Some(Refusal::SetAside(7, pause)) = refusals.refused(&[7], now) else {
            panic!("a single item must be deferred");
        };
        pauses.push(pause);
        assert!(refusals.holds(&7) && refusals.waiting() == 1);
        assert_eq!(refusals.take_due(Mono(now.plus(pause).0 - 1)), None);
        now = now.plus(pause);
        assert_eq!(refusals.take_due(now), Some(7));
        assert!(!refusals.holds(&7) && refusals.take_due(now).is_none());
    }
    assert!(pauses.windows(2).all(|two| two[1].0 == (two[0].0 * 2).min(REFUSED_PAUSE_MAX_MS.0)));
    assert_eq!(pauses.last(), Some(&REFUSED_PAUSE_MAX_MS));
    refusals.taken([7].iter());
    assert_eq!(refusals.refused(&[7], now), Some(Refusal::SetAside(7, REFUSED_PAUSE_MS)));
    assert_eq!(refusals.refused(&[], now), None);
}

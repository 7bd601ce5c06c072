//! Handling of transactions that the state service rejects because of their content rather than the rate of requests.
//! They are split into smaller ones, down to one item; an item that is rejected on its own is retried after an
//! exponential delay, so that all others continue. No item is dropped, and no transaction is repeated unchanged at
//! once.

use crate::constants::*;
use oatloom_protocol::ids::{Millis, Mono};
use std::collections::BTreeMap;

/// Retry state of an item that was rejected on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Backoff {
    until: Mono,
    pause: Millis,
    /// Whether the item still waits. Afterwards it is retried, and the entry stays until that succeeds.
    waiting: bool,
}

/// How a rejected transaction is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectionResponse<I> {
    /// Its items are written again in smaller transactions.
    Split,
    /// The item is retried after this pause; the other items of the transaction are written again.
    Deferred(I, Millis),
}

/// The maximum number of items per transaction, and the items that wait for a retry.
#[derive(Clone, Debug)]
pub struct WriteBackoff<I> {
    max_items: usize,
    /// Transactions accepted since the last rejected one, or since the maximum last grew.
    accepted: u32,
    backoffs: BTreeMap<I, Backoff>,
}

impl<I> Default for WriteBackoff<I> {
    fn default() -> Self {
        Self { max_items: MAX_TXN_ITEMS, accepted: 0, backoffs: BTreeMap::new() }
    }
}

impl<I: Ord + Clone> WriteBackoff<I> {
    /// Current maximum number of items per transaction.
    pub fn max_items(&self) -> usize {
        self.max_items
    }

    /// Whether the item waits for a retry.
    pub fn is_deferred(&self, item: &I) -> bool {
        self.backoffs.get(item).is_some_and(|backoff| backoff.waiting)
    }

    /// Number of items that wait for a retry.
    pub fn deferred_count(&self) -> usize {
        self.backoffs.values().filter(|backoff| backoff.waiting).count()
    }

    /// Handles the rejection of a transaction of these items; the first one is the item that it was made for.
    pub fn rejected(&mut self, items: &[I], now: Mono) -> Option<RejectionResponse<I>> {
        self.accepted = 0;
        let first = items.first()?.clone();
        if self.max_items > 1 && items.len() > 1 {
            self.max_items = (self.max_items.min(items.len()) / 2).max(1);
            return Some(RejectionResponse::Split);
        }
        let pause = self.defer(first.clone(), now);
        Some(RejectionResponse::Deferred(first, pause))
    }

    /// Defers writing the item; returns the pause.
    pub fn defer(&mut self, item: I, now: Mono) -> Millis {
        let last = self.backoffs.get(&item).map(|backoff| backoff.pause);
        let doubled = |pause: Millis| Millis((pause.0 * 2).min(MAX_REJECTED_RETRY_PAUSE_MS.0));
        let pause = last.map_or(REJECTED_RETRY_PAUSE_MS, doubled);
        self.backoffs.insert(item, Backoff { until: now.plus(pause), pause, waiting: true });
        pause
    }

    /// An item whose pause has ended; it is to be retried on its own.
    pub fn take_due(&mut self, now: Mono) -> Option<I> {
        let due =
            self.backoffs.iter_mut().find(|(_, backoff)| backoff.waiting && backoff.until <= now);
        let (item, backoff) = due?;
        backoff.waiting = false;
        Some(item.clone())
    }

    /// Records that a transaction of these items was accepted.
    pub fn accepted<'a>(&mut self, items: impl Iterator<Item = &'a I>)
    where
        I: 'a,
    {
        items.for_each(|item| _ = self.backoffs.remove(item));
        self.accepted += 1;
        if self.accepted >= BATCH_GROWTH_SUCCESSES && self.max_items < MAX_TXN_ITEMS {
            self.accepted = 0;
            self.max_items *= 2;
        }
    }
}

#[cfg(test)]
mod tests;

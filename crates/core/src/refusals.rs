//! What to do with writes that the state service refuses for what they are, rather than for when they come: smaller
//! transactions, down to one item; and an item that is refused alone waits for a while that grows, so that all others
//! go on. Nothing is dropped, and nothing is repeated as it was.

use crate::constants::*;
use oatloom_protocol::ids::{Millis, Mono};
use std::collections::BTreeMap;

/// An item that was refused alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Aside {
    until: Mono,
    pause: Millis,
    /// Whether its pause is still on; past it the item is tried again, and the entry stays until that succeeds.
    waits: bool,
}

/// What was decided on a refused transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal<I> {
    /// Its items are written again in smaller transactions.
    Smaller,
    /// The item waits this long; what else was in the transaction is written again.
    SetAside(I, Millis),
}

/// How much goes into a transaction, and which items wait.
#[derive(Clone, Debug)]
pub struct Refusals<I> {
    most: usize,
    /// Transactions that were taken since the last one that was refused.
    taken: u32,
    aside: BTreeMap<I, Aside>,
}

impl<I> Default for Refusals<I> {
    fn default() -> Self {
        Self { most: ITEMS_MOST, taken: 0, aside: BTreeMap::new() }
    }
}

impl<I: Ord + Clone> Refusals<I> {
    /// Items that a transaction may have at present.
    pub fn most(&self) -> usize {
        self.most
    }

    /// Whether the item waits for its pause to end.
    pub fn holds(&self, item: &I) -> bool {
        self.aside.get(item).is_some_and(|aside| aside.waits)
    }

    /// Items that wait.
    pub fn waiting(&self) -> usize {
        self.aside.values().filter(|aside| aside.waits).count()
    }

    /// A transaction of these items was refused; the first one is what it was made for.
    pub fn refused(&mut self, items: &[I], now: Mono) -> Option<Refusal<I>> {
        self.taken = 0;
        let first = items.first()?.clone();
        if self.most > 1 && items.len() > 1 {
            self.most = (self.most.min(items.len()) / 2).max(1);
            return Some(Refusal::Smaller);
        }
        let pause = self.set_aside(first.clone(), now);
        Some(Refusal::SetAside(first, pause))
    }

    /// The item is not to be written for a while; for how long.
    pub fn set_aside(&mut self, item: I, now: Mono) -> Millis {
        let last = self.aside.get(&item).map(|aside| aside.pause);
        let doubled = |pause: Millis| Millis((pause.0 * 2).min(REFUSED_PAUSE_MAX_MS.0));
        let pause = last.map_or(REFUSED_PAUSE_MS, doubled);
        self.aside.insert(item, Aside { until: now.plus(pause), pause, waits: true });
        pause
    }

    /// An item whose pause has ended, which is to be tried alone.
    pub fn take_due(&mut self, now: Mono) -> Option<I> {
        let due = self.aside.iter_mut().find(|(_, aside)| aside.waits && aside.until <= now);
        let (item, aside) = due?;
        aside.waits = false;
        Some(item.clone())
    }

    /// A transaction of these items was taken.
    pub fn taken<'a>(&mut self, items: impl Iterator<Item = &'a I>)
    where
        I: 'a,
    {
        items.for_each(|item| _ = self.aside.remove(item));
        self.taken += 1;
        if self.taken >= GROW_AFTER && self.most < ITEMS_MOST {
            self.taken = 0;
            self.most *= 2;
        }
    }
}

#[cfg(test)]
mod tests;

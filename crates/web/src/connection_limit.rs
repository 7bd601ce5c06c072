//! How many connections may stay open between requests.
//!
//! A controller that alone is left is visited by more workers and users than it may have connections. Each kind of
//! visitor needs one only while it is asked something: so connections stay open while there is room for all, and beyond
//! [`CROWDED`] they are closed with their answers, as the protocol allows at any time. What remains free is for those who
//! come next, health probes among them.

use crate::constants::*;
use oatloom_protocol::ids::Millis;
use std::cmp::Reverse;

/// How full the server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Level {
    /// Connections stay open after their answers.
    Open,
    /// Each is closed after its answer.
    Crowded,
    /// No further one has a place but that of one that lies idle.
    Full,
}

#[derive(Debug)]
pub(crate) struct Crowd {
    most: usize,
    /// Whether it was said that all are in use, since there last was room for everybody.
    said: bool,
}

impl Crowd {
    pub fn new(most: usize) -> Self {
        Self { most, said: false }
    }

    /// Connections beyond which each is closed after its answer.
    fn crowded_at(&self) -> usize {
        (self.most as f64 * CROWDED) as usize
    }

    /// How full it is with so many connections.
    pub fn count(&mut self, open: usize) -> Level {
        let level = match open {
            n if n >= self.most => Level::Full,
            n if n >= self.crowded_at().max(1) => Level::Crowded,
            _ => Level::Open,
        };
        // Guards against a line each time one of the last is taken and given back.
        if level == Level::Full && !self.said {
            log::info!("http: all {} connections are in use", self.most);
        }
        self.said = level != Level::Open && (self.said || level == Level::Full);
        level
    }

    /// Which of the idle connections give their places to others, of `(key, idle for)`: those that lay idle longest, some
    /// at once, so that not every newcomer looks through all. One that had its answer just now is left alone: whoever has
    /// it may be asking again, and one that is new has not had the time to ask.
    pub fn gives_way(&self, idle: impl Iterator<Item = (usize, Millis)>) -> Vec<usize> {
        let mut idle: Vec<(usize, Millis)> =
            idle.filter(|(_, idle)| *idle >= GIVES_WAY_MS).collect();
        idle.sort_unstable_by_key(|(key, idle)| (Reverse(*idle), *key));
        idle.into_iter().take(GIVE_WAY_AT_ONCE).map(|(key, _)| key).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn levels_follow_the_count() {
        for most in [1, 2, 5, 16, 400, 2_400] {
            let mut crowd = Crowd::new(most);
            assert_eq!([crowd.count(0), crowd.count(most)], [Level::Open, Level::Full]);
            if most >= 5 {
                let levels = [crowd.count(most - 1), crowd.count(most / 2)];
                assert_eq!(levels, [Level::Crowded, Level::Open]);
            }
        }
    }

    /// The longest idle go first, and none that was just served.
    #[test]
    fn the_longest_idle_give_way() {
        let crowd = Crowd::new(1_000);
        let gone = crowd.gives_way((0..1_000).map(|n| (n, Millis(n as u64 * 10))));
        assert_eq!(gone, (1_000 - GIVE_WAY_AT_ONCE..1_000).rev().collect::<Vec<_>>());
        assert!(crowd.gives_way((0..1_000).map(|n| (n, Millis(GIVES_WAY_MS.0 - 1)))).is_empty());
    }
}

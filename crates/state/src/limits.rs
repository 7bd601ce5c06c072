//! What the service takes a second: requests and changes, each with bursts of one second's worth.

use oatloom_protocol::ids::Mono;

/// A budget that refills steadily and holds one second's worth.
#[derive(Clone, Debug)]
struct Bucket {
    /// Units a second; 0: no limit.
    rate: f64,
    level: f64,
    at: Mono,
}

impl Bucket {
    fn new(rate: f64, now: Mono) -> Self {
        Self { rate, level: rate, at: now }
    }

    fn refill(&mut self, now: Mono) {
        self.level = (self.level + now.since(self.at).as_secs() * self.rate).min(self.rate);
        self.at = now;
    }

    fn holds(&self, units: f64) -> bool {
        self.rate <= 0.0 || self.level + 1e-9 >= units
    }

    fn take(&mut self, units: f64) {
        if self.rate > 0.0 {
            self.level -= units;
        }
    }
}

#[derive(Clone, Debug)]
pub struct Limits {
    requests: Bucket,
    changes: Bucket,
}

impl Limits {
    /// Requests and changes a second; 0 sets no limit.
    pub fn new(rps: f64, write_rps: f64, now: Mono) -> Self {
        Self { requests: Bucket::new(rps, now), changes: Bucket::new(write_rps, now) }
    }

    /// Whether a request with so many changes may be served now; if so, it is counted.
    pub fn take(&mut self, changes: usize, now: Mono) -> bool {
        self.requests.refill(now);
        self.changes.refill(now);
        let changes = changes as f64;
        let may = self.requests.holds(1.0) && self.changes.holds(changes);
        if may {
            self.requests.take(1.0);
            self.changes.take(changes);
        }
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A burst of one second's worth, then the rate, and no more however long it was quiet.
    #[test]
    fn bursts_hold_one_seconds_worth() {
        let mut limits = Limits::new(100.0, 25.0, Mono(0));
        let taken = |limits: &mut Limits, changes, now| {
            (0..1_000).filter(|_| limits.take(changes, Mono(now))).count()
        };
        assert_eq!(taken(&mut limits, 1, 0), 25);
        assert_eq!(taken(&mut limits, 0, 0), 75);
        assert_eq!(taken(&mut limits, 1, 200), 5);
        assert_eq!(taken(&mut limits, 5, 60_000), 5);
        assert_eq!(taken(&mut Limits::new(0.0, 0.0, Mono(0)), 20, 0), 1_000);
    }
}

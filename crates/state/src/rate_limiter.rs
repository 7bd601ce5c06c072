//! Rate limits of the service: requests and changes per second, each with bursts of one second's budget.

use oatloom_protocol::ids::Mono;

/// A token bucket that holds at most the tokens of one second.
#[derive(Clone, Debug)]
struct TokenBucket {
    /// Tokens per second; 0 for no limit.
    rate: f64,
    tokens: f64,
    refilled_at: Mono,
}

impl TokenBucket {
    fn new(rate: f64, now: Mono) -> Self {
        Self { rate, tokens: rate, refilled_at: now }
    }

    fn refill(&mut self, now: Mono) {
        self.tokens =
            (self.tokens + now.since(self.refilled_at).as_secs() * self.rate).min(self.rate);
        self.refilled_at = now;
    }

    /// Whether this many tokens are available; tolerates rounding errors.
    fn has_tokens(&self, count: f64) -> bool {
        self.rate <= 0.0 || self.tokens + 1e-9 >= count
    }

    fn remove(&mut self, count: f64) {
        if self.rate > 0.0 {
            self.tokens -= count;
        }
    }
}

/// Limits the rate of requests and of changes.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    requests: TokenBucket,
    changes: TokenBucket,
}

impl RateLimiter {
    /// Limits requests and changes per second; 0 sets no limit.
    pub fn new(rps: f64, write_rps: f64, now: Mono) -> Self {
        Self { requests: TokenBucket::new(rps, now), changes: TokenBucket::new(write_rps, now) }
    }

    /// Admits a request with this many changes, or returns false if a limit is exceeded. Rejected
    /// requests consume no tokens.
    pub fn try_acquire(&mut self, change_count: usize, now: Mono) -> bool {
        self.requests.refill(now);
        self.changes.refill(now);
        let change_count = change_count as f64;
        let is_admitted = self.requests.has_tokens(1.0) && self.changes.has_tokens(change_count);
        if is_admitted {
            self.requests.remove(1.0);
            self.changes.remove(change_count);
        }
        is_admitted
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Admits a burst of one second's budget, then the rate; idle time beyond a second adds nothing.
    #[test]
    fn bursts_are_limited_to_one_second() {
        let mut limiter = RateLimiter::new(100.0, 25.0, Mono(0));
        let count_admitted = |limiter: &mut RateLimiter, change_count, now| {
            (0..1_000).filter(|_| limiter.try_acquire(change_count, Mono(now))).count()
        };
        assert_eq!(count_admitted(&mut limiter, 1, 0), 25);
        assert_eq!(count_admitted(&mut limiter, 0, 0), 75);
        assert_eq!(count_admitted(&mut limiter, 1, 200), 5);
        assert_eq!(count_admitted(&mut limiter, 5, 60_000), 5);
        assert_eq!(count_admitted(&mut RateLimiter::new(0.0, 0.0, Mono(0)), 20, 0), 1_000);
    }
}

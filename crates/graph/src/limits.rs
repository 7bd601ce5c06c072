//! Limits on the number, size and rate of graphs and sessions.

use oatloom_protocol::ids::{Millis, Mono};
use oatloom_protocol::settings::InvalidField;
use serde::Deserialize;

/// The operators' limits; every field has a default. A request beyond them is rejected immediately with a retry time.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Limits {
    /// Maximum open sessions, in total and per team.
    pub sessions: u32,
    pub team_sessions: u32,
    /// Maximum open graphs, in total and per team.
    pub graphs: u32,
    pub team_graphs: u32,
    /// Maximum nodes of open graphs, in total, per team and per graph.
    pub nodes: u32,
    pub team_nodes: u32,
    pub graph_nodes: u32,
    /// Maximum bytes of their node pages in the state service, in total and per team.
    pub bytes: u64,
    pub team_bytes: u64,
    /// Maximum additions, new graphs and new sessions per second, in total and per team, with bursts of two seconds' worth.
    pub additions_per_s: f64,
    pub team_additions_per_s: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            sessions: 200,
            team_sessions: 100,
            graphs: 1_000,
            team_graphs: 1_000,
            // About 200 bytes each, which fits into a controller with 40 MB of memory.
            nodes: 50_000,
            team_nodes: 50_000,
            graph_nodes: 50_000,
            bytes: 20_000_000,
            team_bytes: 20_000_000,
            // Each takes at least one of the 25 changes per second that a small state service accepts.
            additions_per_s: 10.0,
            team_additions_per_s: 10.0,
        }
    }
}

impl Limits {
    /// Checks the ranges of the fields.
    ///
    /// # Errors
    /// The first field out of range, with the range.
    pub fn check(&self) -> Result<(), InvalidField> {
        let reject = |field: &str, text: &str| {
            Err(InvalidField::new(&format!("graph-limits: {field}"), text))
        };
        for (field, rate) in [
            ("additions-per-s", self.additions_per_s),
            ("team-additions-per-s", self.team_additions_per_s),
        ] {
            if !(0.1..=10_000.0).contains(&rate) {
                return reject(field, "must be from 0.1 to 10000");
            }
        }
        for (field, number) in [
            ("sessions", self.sessions),
            ("team-sessions", self.team_sessions),
            ("graphs", self.graphs),
            ("team-graphs", self.team_graphs),
            ("nodes", self.nodes),
            ("team-nodes", self.team_nodes),
            ("graph-nodes", self.graph_nodes),
        ] {
            if !(1..=10_000_000).contains(&number) {
                return reject(field, "must be from 1 to 10000000");
            }
        }
        if self.bytes == 0 || self.team_bytes == 0 {
            return reject("bytes", "must be above 0");
        }
        Ok(())
    }
}

/// A token bucket with bursts of two seconds' worth.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    tokens: f64,
    refilled_at: Mono,
}

impl RateLimiter {
    /// A full bucket.
    pub fn full(rate: f64, now: Mono) -> Self {
        Self { tokens: Self::capacity(rate), refilled_at: now }
    }

    fn capacity(rate: f64) -> f64 {
        (rate * 2.0).max(1.0)
    }

    fn refill(&mut self, rate: f64, now: Mono) {
        self.tokens =
            (self.tokens + now.since(self.refilled_at).as_secs() * rate).min(Self::capacity(rate));
        self.refilled_at = now;
    }

    /// Refills the bucket, and returns whether a token is available.
    pub fn has_token(&mut self, rate: f64, now: Mono) -> bool {
        self.refill(rate, now);
        self.tokens >= 1.0
    }

    /// Takes a token.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Whether the bucket has been unused long enough to be full again, so that it can be dropped.
    pub fn is_idle(&self, rate: f64, now: Mono) -> bool {
        now.since(self.refilled_at) > Millis::from_secs(Self::capacity(rate) / rate)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_rate_limiter_allows_bursts() {
        let mut limiter = RateLimiter::full(10.0, Mono(0));
        let mut take = |now| {
            let is_allowed = limiter.has_token(10.0, Mono(now));
            if is_allowed {
                limiter.take_token();
            }
            is_allowed
        };
        assert_eq!((0..100).filter(|_| take(0)).count(), 20);
        assert!(!take(50) && take(101));
        assert_eq!((0..10_000).filter(|n| take(101 + n)).count(), 100);
    }

    #[test]
    fn limits_out_of_range_are_rejected_by_name() {
        assert_eq!(Limits::default().check(), Ok(()));
        let invalid = Limits { nodes: 0, ..Limits::default() };
        assert!(invalid.check().unwrap_err().to_string().contains("graph-limits: nodes"));
        let invalid = Limits { additions_per_s: f64::NAN, ..Limits::default() };
        assert!(invalid.check().unwrap_err().to_string().contains("additions-per-s"));
    }
}

//! Limits how many connections stay open between requests.
//!
//! When only one controller is left, more workers and users contact it than it may have connections. A client needs its
//! connection only during a request. Connections are therefore kept alive while few are open; above
//! [`MAX_KEEP_ALIVE_FRACTION`] of the limit each is closed after its response, as HTTP allows at any time. The
//! connections that stay free serve new clients, health probes included.

use crate::constants::*;
use oatloom_protocol::ids::Millis;
use std::cmp::Reverse;

/// How much of the connection limit is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionUsage {
    /// Connections are kept alive after a response.
    Normal,
    /// Each connection is closed after its response.
    NearLimit,
    /// A new connection is accepted only after an idle one has been evicted.
    Full,
}

/// The connection limit of a server.
#[derive(Debug)]
pub(crate) struct ConnectionLimit {
    max_connections: usize,
    /// Whether reaching the limit has been logged since usage was last normal.
    is_full_logged: bool,
}

impl ConnectionLimit {
    /// Creates the limit for a server with at most `max_connections` connections.
    pub fn new(max_connections: usize) -> Self {
        Self { max_connections, is_full_logged: false }
    }

    /// Number of open connections at which each is closed after its response.
    fn near_limit_count(&self) -> usize {
        (self.max_connections as f64 * MAX_KEEP_ALIVE_FRACTION) as usize
    }

    /// Returns the usage with `open` connections, and logs once when the limit is reached.
    pub fn usage(&mut self, open: usize) -> ConnectionUsage {
        let usage = match open {
            n if n >= self.max_connections => ConnectionUsage::Full,
            n if n >= self.near_limit_count().max(1) => ConnectionUsage::NearLimit,
            _ => ConnectionUsage::Normal,
        };
        // Avoids a log line each time the last free connection is taken and released.
        if usage == ConnectionUsage::Full && !self.is_full_logged {
            log::info!("http: all {} connections are in use", self.max_connections);
        }
        self.is_full_logged = usage != ConnectionUsage::Normal
            && (self.is_full_logged || usage == ConnectionUsage::Full);
        usage
    }

    /// Selects the connections to evict from `(key, idle time)` pairs: the longest idle ones, several at once so that
    /// not every new connection has to search all of them. Recently active connections are not evicted, because their
    /// clients may be sending another request, and neither are new ones, whose clients have not had time to send their
    /// first.
    pub fn select_evictions(&self, idle: impl Iterator<Item = (usize, Millis)>) -> Vec<usize> {
        let mut idle: Vec<(usize, Millis)> =
            idle.filter(|(_, idle_time)| *idle_time >= MIN_EVICTION_IDLE_MS).collect();
        idle.sort_unstable_by_key(|(key, idle_time)| (Reverse(*idle_time), *key));
        idle.into_iter().take(MAX_EVICTION_COUNT).map(|(key, _)| key).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn usage_depends_on_the_number_of_connections() {
        for max_connections in [1, 2, 5, 16, 400, 2_400] {
            let mut limit = ConnectionLimit::new(max_connections);
            assert_eq!(
                [limit.usage(0), limit.usage(max_connections)],
                [ConnectionUsage::Normal, ConnectionUsage::Full]
            );
            if max_connections >= 5 {
                let usages = [limit.usage(max_connections - 1), limit.usage(max_connections / 2)];
                assert_eq!(usages, [ConnectionUsage::NearLimit, ConnectionUsage::Normal]);
            }
        }
    }

    /// The longest idle connections are evicted first, and recently active ones never.
    #[test]
    fn the_longest_idle_connections_are_evicted() {
        let limit = ConnectionLimit::new(1_000);
        let evicted = limit.select_evictions((0..1_000).map(|n| (n, Millis(n as u64 * 10))));
        assert_eq!(evicted, (1_000 - MAX_EVICTION_COUNT..1_000).rev().collect::<Vec<_>>());
        assert!(
            limit
                .select_evictions((0..1_000).map(|n| (n, Millis(MIN_EVICTION_IDLE_MS.0 - 1))))
                .is_empty()
        );
    }
}

//! Timeouts, retry delays and size limits of clients.

use oatloom_protocol::ids::Millis;

/// Timeout of one submission or cancellation, and of one poll (protocol).
pub const SUBMIT_TIMEOUT_MS: Millis = Millis(5_000);
pub const POLL_TIMEOUT_MS: Millis = Millis(2_000);
/// Minimum delay before a request is retried, and the longest `Retry-After` delay that is honoured (protocol).
pub const MIN_RETRY_DELAY_MS: Millis = Millis(1_000);
pub const MAX_RETRY_AFTER_S: u32 = 30;
/// How long a request is retried before it fails (protocol).
pub const REQUEST_RETRY_TIMEOUT_MS: Millis = Millis(60_000);
/// How long a request is retried if no controller has been reached at all: a killed controller restarts within this time.
pub const UNREACHABLE_TIMEOUT_MS: Millis = Millis(5_000);
/// Maximum size of a response.
pub const MAX_RESPONSE_BYTES: u64 = 1024 * 1024;
/// Interval between polls of a graph.
pub const WATCH_POLL_INTERVAL_MS: Millis = Millis(500);
/// Heartbeats within the time to live of a session, so that several may be lost.
pub const HEARTBEATS_PER_TTL_COUNT: u64 = 5;
/// How often the heartbeat thread of a session checks whether it must stop.
pub const HEARTBEAT_STOP_CHECK_INTERVAL_MS: Millis = Millis(50);
/// Maximum nodes and bytes of one addition: a request holds 64 KiB, and what it adds has to fit into one transaction of the
/// state service.
pub const MAX_ADDITION_NODE_COUNT: usize = 200;
pub const MAX_ADDITION_BYTES: usize = 20 * 1024;

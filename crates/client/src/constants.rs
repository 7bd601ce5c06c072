//! Timeouts, retry delays and size limits of clients.

use oatloom_protocol::ids::Millis;

/// Timeout of one submission or cancellation; set by the protocol.
pub const SUBMIT_TIMEOUT_MS: Millis = Millis(5_000);
/// Timeout of one `GET` request; set by the protocol.
pub const POLL_TIMEOUT_MS: Millis = Millis(2_000);
/// Minimum delay before a request is retried; set by the protocol.
pub const MIN_RETRY_DELAY_MS: Millis = Millis(1_000);
/// Longest `Retry-After` delay that is honoured; set by the protocol.
pub const MAX_RETRY_AFTER_S: u32 = 30;
/// How long a request is retried before it fails; set by the protocol.
pub const REQUEST_RETRY_TIMEOUT_MS: Millis = Millis(60_000);
/// How long a job or usage request is retried if no controller has been reached at all: a killed controller restarts
/// within this time.
pub const UNREACHABLE_TIMEOUT_MS: Millis = Millis(5_000);
/// Maximum size of a response.
pub const MAX_RESPONSE_BYTES: u64 = 1024 * 1024;
/// Interval between polls of a graph.
pub const WATCH_POLL_INTERVAL_MS: Millis = Millis(500);
/// Number of heartbeats sent within the time to live of a session, so that several may be lost.
pub const HEARTBEATS_PER_TTL_COUNT: u64 = 5;
/// How often the heartbeat thread of a session checks whether it must stop.
pub const HEARTBEAT_STOP_CHECK_INTERVAL_MS: Millis = Millis(50);
/// Maximum number of nodes in one addition, which has to fit into one transaction of the state service.
pub const MAX_ADDITION_NODE_COUNT: usize = 200;
/// Maximum estimated size of the nodes in one addition. A request is limited to 64 KiB, and the nodes it adds have to
/// fit into one transaction of the state service.
pub const MAX_ADDITION_BYTES: usize = 20 * 1024;

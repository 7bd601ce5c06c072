//! Limits and timeouts of connections and threads.

use oatloom_protocol::ids::Millis;

/// Maximum number of headers in one request.
pub const MAX_HEADER_COUNT: usize = 64;
/// Maximum size of a request head (request line and headers).
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Size of the read buffer; most requests are shorter.
pub const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Interval between checks for idle and slow connections.
pub const SOCKET_SWEEP_INTERVAL_MS: Millis = Millis(1_000);
/// An idle connection, on which no part of a request has arrived, is closed after this time.
pub const IDLE_CONNECTION_TIMEOUT_MS: Millis = Millis(120_000);
/// A connection that is slow to send a request or to read its response is closed after this time.
pub const SLOW_REQUEST_TIMEOUT_MS: Millis = Millis(15_000);
/// Stack size of the threads that [`crate::spawn`] starts. None of them recurses, and a controller may have only 100 MB
/// of memory.
pub const THREAD_STACK_BYTES: usize = 256 * 1024;
/// Maximum number of replies per connection that may be queued for the server thread: one for the connection itself,
/// and one for a connection that has closed in the meantime. A sender blocks while the queue is full, so that the queue
/// stays bounded regardless of the number of machines.
pub const MAX_QUEUED_REPLIES_PER_CONNECTION_COUNT: usize = 2;
/// Delay after a failed poll, so that repeated failures do not flood the log.
pub const POLL_ERROR_DELAY_MS: Millis = Millis(50);
/// How long binding is retried while the address is in use: a killed process releases its sockets within this time, and
/// an operator who configured a wrong port sees the error soon enough.
pub const BIND_TIMEOUT_MS: Millis = Millis(10_000);
/// Delay between attempts to bind an address.
pub const BIND_RETRY_INTERVAL_MS: Millis = Millis(50);
/// Fraction of the connection limit above which each connection is closed after its response. The other connections
/// serve clients that connect while responses are pending. For a limit of 2,400, 2,300 workers that report every 8 s,
/// and responses delayed by at most 2.8 s, the remaining fifth is about half of the connections needed at once if every
/// response took the full 2.8 s, which never happens.
pub const MAX_KEEP_ALIVE_FRACTION: f64 = 0.8;
/// At the connection limit, a connection that has been idle for this long may be evicted for a new one. A client that
/// connects in order to send a request sends it within this time.
pub const MIN_EVICTION_IDLE_MS: Millis = Millis(2_000);
/// The accept backlog is the connection limit divided by this, between [`MIN_BACKLOG_COUNT`] and [`MAX_BACKLOG_COUNT`].
/// Connections in the backlog count as sockets of the process, which needs the remaining sockets for its own outgoing
/// requests.
pub const BACKLOG_DIVISOR: usize = 16;
/// Minimum accept backlog: a burst of clients can connect even if the connection limit is small.
pub const MIN_BACKLOG_COUNT: usize = 32;
/// Maximum accept backlog.
pub const MAX_BACKLOG_COUNT: usize = 128;
/// How long the server waits before it searches again for idle connections to evict: a tenth of the idle time that
/// makes a connection evictable.
pub const EVICTION_RETRY_INTERVAL_MS: Millis = Millis(200);
/// Maximum number of connections evicted at once: searching all connections costs more than closing several.
pub const MAX_EVICTION_COUNT: usize = 32;

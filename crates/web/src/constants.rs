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
/// A connection without a request is closed after this time.
pub const IDLE_CONNECTION_TIMEOUT_MS: Millis = Millis(120_000);
/// A connection that is slow to send a request or to read its response is closed after this time.
pub const SLOW_REQUEST_TIMEOUT_MS: Millis = Millis(15_000);
/// Stack size of threads started by this program. None of them recurses, and a controller may have only 100 MB of memory.
pub const THREAD_STACK_BYTES: usize = 256 * 1024;
/// Replies per connection that may be queued for the server thread: one for the connection itself, and one for a connection
/// that has closed in the meantime. A sender blocks while the queue is full, so that the queue stays bounded whatever the
/// number of machines.
pub const MAX_QUEUED_REPLIES_PER_CONNECTION_COUNT: usize = 2;
/// Delay after a failed poll, so that repeated failures do not flood the log.
pub const POLL_ERROR_DELAY_MS: Millis = Millis(50);
/// How long binding is retried while the address is in use: a killed process releases its sockets within this time, and an
/// operator who configured a wrong port sees the error soon enough.
pub const BIND_TIMEOUT_MS: Millis = Millis(10_000);
/// Delay between attempts to bind an address.
pub const BIND_RETRY_INTERVAL_MS: Millis = Millis(50);
/// Fraction of the connection limit above which each connection is closed after its response. The rest serves clients that
/// arrive while a response is pending: with 2,300 workers that report every 8 s and responses that wait at most 2.8 s, a
/// fifth of 2,400 is half of the connections they could need at once if every response waited that long, and they never all do.
pub const MAX_KEEP_ALIVE_FRACTION: f64 = 0.8;
/// When no connection is free, one that has been idle for this long may be closed for a new one. A client that connects in
/// order to send a request sends it within this time.
pub const MIN_EVICTION_IDLE_MS: Millis = Millis(2_000);
/// The accept backlog is the connection limit divided by this, within a minimum and a maximum. Connections in the backlog
/// count as sockets of the process, which needs the remaining sockets for its own calls. The minimum lets a burst of clients
/// connect even where the connection limit is small.
pub const BACKLOG_DIVISOR: usize = 16;
pub const MIN_BACKLOG_COUNT: usize = 32;
pub const MAX_BACKLOG_COUNT: usize = 128;
/// How long the server waits before it searches again for idle connections to evict: a tenth of the idle time that makes a
/// connection evictable.
pub const EVICTION_RETRY_INTERVAL_MS: Millis = Millis(200);
/// Connections evicted at once: searching all connections costs more than closing several.
pub const MAX_EVICTION_COUNT: usize = 32;

//! Limits, intervals and timeouts of the gRPC server.

use oatloom_protocol::ids::Millis;

/// Threads that send requests to controllers. Each has one request in flight, which takes at most 2 to 5 s.
pub const CONTROLLER_THREAD_COUNT: usize = 16;
/// Maximum number of requests that wait for one of these threads; further calls are rejected and may be retried.
pub const MAX_QUEUED_REQUEST_COUNT: usize = 256;
/// Maximum number of concurrent watch streams; each polls a controller twice a second.
pub const MAX_WATCH_COUNT: usize = 200;
/// Messages buffered for a client that reads slowly; while the buffer is full, the controllers are not polled for its
/// stream. Also the number of accepted TLS connections buffered for the gRPC server.
pub const STREAM_BUFFER_COUNT: usize = 4;
/// Interval between polls of a watch stream, and the delay after a failed accept.
pub const POLL_INTERVAL_MS: Millis = Millis(500);
/// How long a watch stream stays open while no controller responds: long enough for a change of leader and for a
/// restart of all controllers.
pub const WATCH_RETRY_TIMEOUT_MS: Millis = Millis(60_000);
/// Maximum duration of a call whose client sets no deadline.
pub const CALL_TIMEOUT_MS: Millis = Millis(20_000);
/// Maximum size of a request: what a controller accepts as JSON, in its Protobuf form.
pub const MAX_REQUEST_BYTES: usize = 128 * 1024;
/// Interval between checks for changed certificate files.
pub const CERTIFICATE_CHECK_INTERVAL_MS: Millis = Millis(1_000);
/// Maximum number of concurrent TLS handshakes.
pub const MAX_HANDSHAKE_COUNT: usize = 64;
/// Timeout of a TLS handshake: a client that sends nothing must not block others.
pub const HANDSHAKE_TIMEOUT_MS: Millis = Millis(5_000);
/// Maximum number of concurrent calls on one connection.
pub const MAX_CALLS_PER_CONNECTION_COUNT: u32 = 64;
/// Interval between checks whether a controller responds, for the health service.
pub const HEALTH_CHECK_INTERVAL_MS: Millis = Millis(1_000);

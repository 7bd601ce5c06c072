//! Queue lengths, time-outs and sizes of the I/O layer.

use oatloom_protocol::ids::Millis;

/// Responses of services and peers queued for the core thread, which handles them before requests; senders block when the
/// queue is full.
pub const MAX_QUEUED_EVENTS: usize = 256;
/// Requests dropped in a row before the core thread checks for events again.
pub const MAX_DROPS_PER_PASS: usize = 64;
/// Maximum sleep of the core thread, and so the resolution of its timers.
pub const MAX_CORE_SLEEP_MS: Millis = Millis(50);
/// Largest response read from a service: a page is 512 KiB, a watch response has no limit of its own.
pub const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;
/// Calls queued for client threads. The number does not grow with the machines, since the core limits the calls in flight.
pub const MAX_QUEUED_CALLS: usize = 256;
/// Maximum number of simultaneous connections from peers.
pub const MAX_MESH_CONNECTIONS: usize = 64;
/// Pause after a failed accept, which most likely means that no socket is left.
pub const MESH_ACCEPT_RETRY_PAUSE_MS: Millis = Millis(50);
/// Time-out for connecting to a peer.
pub const MESH_CONNECT_TIMEOUT_MS: Millis = Millis(500);
/// Pause after a failed connection to a peer.
pub const MESH_RECONNECT_PAUSE_MS: Millis = Millis(500);
/// Time-out for writing to a peer.
pub const MESH_WRITE_TIMEOUT_MS: Millis = Millis(500);
/// An idle connection between controllers is closed after this time.
pub const MESH_IDLE_TIMEOUT_MS: Millis = Millis(60_000);
/// Maximum size of a message between controllers; requests and leader hints are far smaller.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

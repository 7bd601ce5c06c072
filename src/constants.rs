//! Constants of the edge, with unit and reason: threads, sockets and sizes.

use oatloom_protocol::ids::Millis;

/// Answers of services and peers that wait for the core thread, which takes them before all else; whoever brings one waits.
pub const EVENT_QUEUE: usize = 256;
/// Dropped inputs that are answered before the core thread looks at what else has come.
pub const DROPPED_AT_ONCE: usize = 64;
/// Longest sleep of the core thread; the grain of its timers.
pub const CORE_WAKE_MS: Millis = Millis(50);
/// Largest answer read from a service: a page is 512 KiB, a watch has no limit of its own.
pub const ANSWER_BYTES: u64 = 16 * 1024 * 1024;
/// Calls that may wait for a client thread. They do not grow with machines: what may be under way at once is bounded by the core.
pub const CALL_QUEUE: usize = 256;
/// Connections from peers at once.
pub const MESH_CONNECTIONS: usize = 64;
/// Rest after a connection could not be accepted, since no socket is left most likely.
pub const MESH_ACCEPT_REST_MS: Millis = Millis(50);
/// Time-out of connecting to a peer.
pub const MESH_CONNECT_MS: Millis = Millis(500);
/// Pause after a peer could not be reached.
pub const MESH_RETRY_MS: Millis = Millis(500);
/// Time-out of writing to a peer.
pub const MESH_WRITE_MS: Millis = Millis(500);
/// A silent connection between controllers is closed after this long.
pub const MESH_IDLE_MS: Millis = Millis(60_000);
/// Longest message between controllers; questions and notes are far smaller.
pub const FRAME_BYTES: usize = 256 * 1024;

//! Constants of clients, with unit and reason.

use oatloom_protocol::ids::Millis;

/// How long a user waits for the answer to a submission or a cancellation, and to a poll (protocol).
pub const SUBMIT_TIMEOUT_MS: Millis = Millis(5_000);
pub const POLL_TIMEOUT_MS: Millis = Millis(2_000);
/// Least time before a request is sent again, and longest that `Retry-After` is heeded (protocol).
pub const RETRY_LEAST_MS: Millis = Millis(1_000);
pub const RETRY_MOST_S: u32 = 30;
/// How long a request is sent again before it is given up (protocol).
pub const GIVE_UP_MS: Millis = Millis(60_000);
/// How long controllers of which none was ever reached are tried: one that was killed is back by then.
pub const UNREACHABLE_MS: Millis = Millis(5_000);
/// Largest answer read.
pub const ANSWER_BYTES: u64 = 1024 * 1024;
/// Period of looks at a graph, and heartbeats within a session's time to live: several may be lost.
pub const LOOK_EVERY_MS: Millis = Millis(500);
pub const BEATS: u64 = 5;
/// How often a thread that keeps a session alive looks whether it is to end.
pub const BEAT_STEP_MS: Millis = Millis(50);
/// Nodes and bytes of one addition: a request holds 64 KiB, and what it adds has to fit into one transaction of the
/// state service.
pub const ADDITION_NODES: usize = 200;
pub const ADDITION_BYTES: usize = 20 * 1024;

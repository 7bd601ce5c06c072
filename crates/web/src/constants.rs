//! Bounds of connections and threads, with unit and reason.

use oatloom_protocol::ids::Millis;

/// Headers in one request, at most.
pub const MOST_HEADERS: usize = 64;
/// Longest head of a request.
pub const HEAD_BYTES: usize = 8 * 1024;
/// Bytes read from a socket at once; most requests are shorter.
pub const READ_BYTES: usize = 16 * 1024;
/// Period of looking for idle connections.
pub const SOCKET_SWEEP_MS: Millis = Millis(1_000);
/// A connection without a request is closed after this long.
pub const IDLE_CONNECTION_MS: Millis = Millis(120_000);
/// A connection that is slow to send a request or to take its answer is closed after this long.
pub const SLOW_REQUEST_MS: Millis = Millis(15_000);
/// Stack of this program's own threads: none recurses, and a controller may have 100 MB.
pub const THREAD_STACK_BYTES: usize = 256 * 1024;
/// Answers that may wait for the server's thread for each connection: its own, and one to a caller that is gone meanwhile. Who
/// answers waits while there are more, so that no number of machines outgrows it.
pub const ANSWERS_EACH: usize = 2;
/// Rest after the system failed to wait for sockets, so that the log does not fill.
pub const POLL_REST_MS: Millis = Millis(50);
/// How long an address that is in use is waited for: a process that is killed lets go of its sockets within this, and an
/// operator who took a wrong port is told soon enough.
pub const ADDRESS_PATIENCE_MS: Millis = Millis(10_000);
/// Pause before it is tried again.
pub const ADDRESS_RETRY_MS: Millis = Millis(50);
/// Share of the connections beyond which each is closed after its answer. What is left takes those who come within the
/// time that an answer takes: with 2,300 workers that report every 8 s, and answers that wait 2.8 s at most, a fifth
/// of 2,400 is half of what they can need at once if all waited, and these never do.
pub const CROWDED: f64 = 0.8;
/// A connection that has lain idle for this long gives its place to a newcomer when there is none left: longer than
/// anybody takes who opens one in order to ask.
pub const GIVES_WAY_MS: Millis = Millis(2_000);
/// Share of the connections that may wait with the system to be accepted, and how many at least and at most: they count as
/// sockets of the process, and what is left of those is needed for its own calls. Where few are allowed in all, a burst of
/// callers still finds the least.
pub const BACKLOG_PART: usize = 16;
pub const BACKLOG_LEAST: usize = 32;
pub const BACKLOG_MOST: usize = 128;
/// How long it is remembered that none gives way: a tenth of the time in which one could come to lie idle for long enough.
pub const NONE_IDLE_MS: Millis = Millis(200);
/// How many give way at once: looking through all of them costs more than closing some.
pub const GIVE_WAY_AT_ONCE: usize = 32;

//! Every constant of the gRPC server, with its unit and the reason for its value.

use oatloom_protocol::ids::Millis;

/// Threads that ask controllers: each has one question under way, of 2 to 5 s at the most.
pub const ASKERS: usize = 16;
/// Questions that wait for one of them; beyond it callers are told to come back.
pub const QUEUE: usize = 256;
/// Streams at the same time; each asks twice a second.
pub const WATCHES: usize = 200;
/// Answers that wait for a client that reads slowly: then it is not asked further.
pub const BUFFER: usize = 4;
/// Period of a stream's questions.
pub const LOOK_EVERY_MS: Millis = Millis(500);
/// For how long a stream goes on while no controller answers: over a takeover and a restart of all controllers.
pub const PATIENCE_MS: Millis = Millis(60_000);
/// Longest a call may take where its caller sets no deadline.
pub const CALL_MS: Millis = Millis(20_000);
/// Largest request in bytes: what a controller takes, in another form.
pub const REQUEST_BYTES: usize = 128 * 1024;
/// How often it is looked whether certificates have changed.
pub const RELOAD_MS: Millis = Millis(1_000);
/// Handshakes at the same time, and how long one may take: a client that says nothing must not keep others out.
pub const HANDSHAKES: usize = 64;
pub const HANDSHAKE_MS: Millis = Millis(5_000);
/// Calls at the same time on one connection.
pub const CALLS: u32 = 64;
/// How often it is asked whether controllers answer, for the health service.
pub const HEALTH_MS: Millis = Millis(1_000);

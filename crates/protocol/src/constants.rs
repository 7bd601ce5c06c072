//! Limits set by the protocol, and the minimum resources of a controller.

/// Maximum number of tasks in a job, set by the protocol.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum size of a request body, set by the protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Upper bound on the sockets reserved for this controller's own calls and its peers, which get a third of all.
pub const MAX_OWN_SOCKETS: usize = 100;
/// Lower bound on the reserved sockets: one for each thread that calls a service or a worker, and those of two peers in
/// both directions.
pub const MIN_OWN_SOCKETS: usize = 32;
/// Minimum socket limit; below it too few sockets are left to serve users and workers.
pub const MIN_SOCKETS: usize = 48;
/// Minimum memory limit: an idle controller uses 5 to 6 MB.
pub const MIN_MEMORY_MB: f64 = 10.0;
/// Value of `Retry-After` when no better estimate is known.
pub const DEFAULT_RETRY_AFTER_S: u32 = 1;

//! Constants of the explorer.

/// Threads that compute successors. The result does not depend on it, since successors are processed in the
/// order of the level, except for how far the exploration goes beyond `Bounds::states`.
pub const THREAD_COUNT: usize = 8;
/// A slice of a level with fewer states is expanded on one thread; a full slice has four times as many for
/// each thread. Large enough to be worth starting threads, small enough to spread the work evenly.
pub const CHUNK_STATE_COUNT: usize = 2_048;

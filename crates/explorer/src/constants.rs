//! Every constant of the explorer, with its unit and the reason for its value.

/// Threads that find successors. The result is the same with any number: states are taken up in the order of the level.
pub const THREADS: usize = 8;
/// States of a level that a thread takes at a time: enough to be worth a hand-over, few enough to spread evenly.
pub const CHUNK: usize = 2_048;

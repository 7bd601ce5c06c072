//! Every constant of membership, with its unit and the reason for its value.

use oatloom_protocol::ids::Millis;

/// Version of what controllers say of each other; others are not taken up.
pub const VERSION: u32 = 1;
/// A peer to which nothing was said for so long is greeted: twice within the time below, so that one lost word does no
/// harm. A leader's notes come less often and count as well.
pub const GREET_MS: Millis = Millis(2_000);
/// The same for a peer that is taken to be gone: it says by itself when it is back.
pub const GREET_GONE_MS: Millis = Millis(10_000);
/// Silence on all paths after which a peer is suspected: above the period of a leader's notes and their way.
pub const SUSPECT_MS: Millis = Millis(4_500);
/// Silence on all paths after which it is taken to be gone: above the restart of a process, so that one that restarts is
/// mostly not, and below a worker's lease.
pub const GONE_MS: Millis = Millis(20_000);
/// A controller whose own turns are so far apart did not hear what was said meanwhile, and suspects nobody for it.
pub const FROZEN_MS: Millis = Millis(1_500);
/// Words older than this when they arrive were held back on the way. Above twice the bound on the time of day.
pub const LATE_MS: Millis = Millis(6_000);
/// How far ahead of this controller's time of day another one's may be before its words are void.
pub const FUTURE_MS: Millis = Millis(6_000);
/// Members of whom one controller's words tell, at most: some 60 bytes each.
pub const WORDS_MOST: usize = 16;

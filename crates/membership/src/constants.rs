//! Constants of the membership protocol.

use oatloom_protocol::ids::Millis;

/// Version of the gossip messages; messages of other versions are rejected.
pub const GOSSIP_VERSION: u32 = 1;
/// Idle time after which a peer is sent a greeting. Two greetings fit into [`SUSPECT_AFTER_MS`], so
/// that one lost message does no harm. The leader's periodic messages to its peers are less
/// frequent and count as well.
pub const GREETING_INTERVAL_MS: Millis = Millis(2_000);
/// Greeting interval for a peer that is considered gone: once it is back, it announces itself.
pub const GREETING_INTERVAL_GONE_MS: Millis = Millis(10_000);
/// Silence on all routes after which a peer is suspected: longer than the interval between the
/// leader's messages plus their delivery time.
pub const SUSPECT_AFTER_MS: Millis = Millis(4_500);
/// Silence on all routes after which a peer is considered gone: longer than most process restarts
/// and shorter than a worker's lease.
pub const GONE_AFTER_MS: Millis = Millis(20_000);
/// A controller whose own ticks are this far apart may have missed messages, and doesn't suspect
/// its peers for that silence.
pub const FREEZE_THRESHOLD_MS: Millis = Millis(1_500);
/// Maximum age of a gossip message on arrival; older ones were delayed in the network. More than
/// twice the bound on the error of the wall clock.
pub const MAX_MESSAGE_AGE_MS: Millis = Millis(6_000);
/// How far a sender's wall clock may be ahead of this controller's; messages from further ahead are
/// rejected.
pub const MAX_CLOCK_AHEAD_MS: Millis = Millis(6_000);
/// Maximum number of peer reports in one gossip message, about 60 bytes each.
pub const MAX_REPORTED_PEERS: usize = 16;

//! Constants of the ownership of shares.

/// Number of shares into which the machines are divided. It is not a setting, since all controllers
/// of a region must use the same number. 24 divides evenly among 1, 2, 3, 4 and 6 owners and nearly
/// so among 5 and 7; with 1,500 machines a share has about 62, few enough to move at once.
pub const SHARE_COUNT: u16 = 24;
/// Prefix of the state-service keys that hold the owner of a share; the share's number follows.
pub const OWNER_KEY_PREFIX: &str = "own/";
/// Maximum number of shares that move at the same time: a moving share gets no new orders while its
/// open writes are settled.
pub const MAX_CONCURRENT_MOVES: usize = 2;
/// Imbalance, in shares of mean load, that is tolerated between the most and the least loaded owner
/// in addition to the share that moves. A move for less would be undone by the next change of load.
pub const REBALANCE_SLACK_SHARES: f64 = 1.0;
/// Fraction by which a share's load is discounted for an owner in the zone of most of its machines.
/// It breaks ties and outweighs small differences of load, since a partition between zones doesn't
/// affect such a share.
pub const HOME_ZONE_LOAD_DISCOUNT: f64 = 0.1;
/// Plans for which a returning controller has to be present before it is fully used: until then it
/// gets one share at a time, and unowned shares only if no other candidate exists, since it is
/// still reading its copies of the records.
pub const WARM_UP_PLANS: u32 = 4;

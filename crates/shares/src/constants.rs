//! Every constant of shares, with its unit and the reason for its value.

/// Shares of the machines. Every controller of a region has to have the same number, so it is no setting: it divides
/// evenly among 1, 2, 3, 4 and 6 owners and nearly so among 5 and 7, and a share of 1,500 machines is 62 of them, few
/// enough to move at once.
pub const SHARES: u16 = 24;
/// What stands before a share's number in the key that says who owns it.
pub const OWNER_PREFIX: &str = "own/";
/// Shares that are on their way at once, at most: each is without orders while its open writes are settled.
pub const MOVES_MOST: usize = 2;
/// By how many shares an owner's surplus may differ from another's lack before one is moved, beside the one that moves:
/// what moves for less would move back with the next change of load.
pub const SLACK_SHARES: f64 = 1.0;
/// How much less a share weighs on an owner in the zone of most of its machines, as a part of its weight: it breaks ties
/// and outweighs a small difference of load, since a cut between zones leaves such a share alone.
pub const HOME_ZONE: f64 = 0.1;
/// A controller that came back gets one share at a time until it has been there for so many plans, and none of those that
/// nobody answers if another one can take them: its copies of the records are being read meanwhile.
pub const WARMING_PLANS: u32 = 4;

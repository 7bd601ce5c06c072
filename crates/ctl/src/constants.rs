//! Constants of the command line and of rehearsals, with unit and reason.

use oatloom_protocol::ids::Millis;

// --- Users' requests -----------------------------------------------------------

pub use oatloom_client::constants::{
    MAX_RESPONSE_BYTES, MIN_RETRY_DELAY_MS, POLL_TIMEOUT_MS, REQUEST_RETRY_TIMEOUT_MS,
    SUBMIT_TIMEOUT_MS, UNREACHABLE_TIMEOUT_MS,
};
/// Period of polls of one who waits at a terminal.
pub const WATCH_EVERY_MS: Millis = Millis(500);

// --- Task graphs ----------------------------------------------------------------

/// How long a session of the command line lives without a heartbeat, in seconds: over a takeover, and not much more.
pub const SESSION_TTL_S: f64 = 30.0;
/// Rows of a plan that are printed unless all are wanted.
pub const PLAN_ROWS: usize = 40;

// --- A region on one machine -------------------------------------------------

/// Controllers of a region.
pub const CONTROLLERS: usize = 3;
/// Where the first controller listens; the others and the region's own address follow.
pub const PORT: u16 = 18_080;
/// How long a program may take until it answers.
pub const START_MS: Millis = Millis(10_000);
/// How often a region on any free ports is started anew because a program found its port taken.
pub const START_TRIES: u32 = 4;
/// Pause before a controller that ended is started again, and the longest such pause: it doubles while it
/// ends at once.
pub const RESTART_MS: Millis = Millis(500);
pub const RESTART_MOST_MS: Millis = Millis(10_000);
/// A controller that has lived this long has started well.
pub const SETTLED_MS: Millis = Millis(5_000);
/// Kills of the scenario `restless` for each of another one: 200 in two minutes.
pub const RESTLESS_KILLS: u64 = 10;
/// Period of looking after processes.
pub const TEND_MS: Millis = Millis(50);

// --- Suite --------------------------------------------------------------------

/// Jobs of a suite, and of a quick one.
pub const JOBS: u64 = 60;
pub const QUICK_JOBS: u64 = 24;
/// How long troubles last, in milliseconds.
pub const TROUBLED_MS: u64 = 120_000;
pub const QUICK_TROUBLED_MS: u64 = 16_000;
/// How long everything may take to end once all is well again, in milliseconds: a machine that is silent has
/// to be proven gone, and what was lost runs again.
pub const CALM_MS: u64 = 60_000;
pub const QUICK_CALM_MS: u64 = 26_000;
/// Troubles drawn, and of a quick one.
pub const TROUBLES: u64 = 24;
pub const QUICK_TROUBLES: u64 = 8;
/// What the suite's controllers allow, and the same for its judge: class, repeats.
pub const CLASSES: &str = "((classes (class (name \"quick\") (repeats 2))\n (class (name \"slow\") (repeats 1) (on-exhausted finish-rest)))\n (ledger . #t) (ledger-every-ms . 1000))\n";
pub const REPEATS: [(&str, u32); 2] = [("quick", 2), ("slow", 1)];
/// How long the account may take until it no longer changes once all is over, in milliseconds, how often it is looked
/// at, and for how many looks it has to stay the same: longer than the suite's controllers take to add what ended.
pub const SETTLE_MS: u64 = 6_000;
pub const SETTLE_EVERY_MS: u64 = 250;
pub const SETTLE_LOOKS: u32 = 6;
/// One job in so many fails by its own doing.
pub const BROKEN_EVERY: u64 = 8;
/// How many times as often users ask in the scenario `asked`, as operators have seen.
pub const STORM_TIMES: u64 = 8;
/// Shortest and longest period of a user's polls in a suite, in milliseconds.
pub const POLL_MS: (u64, u64) = (400, 1_200);
/// A machine that is not up after so many of its usual boot times and a lease is to be returned
/// (docs/operations.md).
pub const UNSEEN_BOOTS: f64 = 4.0;
/// What passes until that is done, in seconds: a leader that was chosen at the last moment waits some reports
/// before it judges a machine, and a refused call is made again after a pause.
pub const UNSEEN_SLACK_S: f64 = 5.0;

// --- The region's own address ---------------------------------------------------

/// How far the port of the region's own address is from the first controller's.
pub const OWN_PORT_BEYOND: u16 = 10;
/// Connections to it.
pub const OWN_CONNECTIONS: usize = 64;

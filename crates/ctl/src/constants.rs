//! Constants of the command line tool and of its failure rehearsals.

use oatloom_protocol::ids::Millis;

// --- Users' requests -----------------------------------------------------------

pub use oatloom_client::constants::{
    MAX_RESPONSE_BYTES, MIN_RETRY_DELAY_MS, POLL_TIMEOUT_MS, REQUEST_RETRY_TIMEOUT_MS,
    SUBMIT_TIMEOUT_MS, UNREACHABLE_TIMEOUT_MS,
};
/// Interval between status polls while a user waits for a job.
pub const WATCH_INTERVAL_MS: Millis = Millis(500);

// --- Task graphs ----------------------------------------------------------------

/// Lifetime of a command line session without a heartbeat: long enough for a change of the leader, and little more.
pub const SESSION_TTL_S: f64 = 30.0;
/// Maximum number of rows of a graph plan that are printed without `--all`.
pub const MAX_PLAN_ROWS: usize = 40;

// --- A region on one machine -------------------------------------------------

/// Number of controllers of a region.
pub const CONTROLLER_COUNT: usize = 3;
/// Port of the first controller; the ports of the others and of the region itself follow.
pub const FIRST_CONTROLLER_PORT: u16 = 18_080;
/// How long a started program may take until it answers.
pub const START_TIMEOUT_MS: Millis = Millis(10_000);
/// Attempts to start a region on free ports: another program may take a port before it is bound.
pub const MAX_START_ATTEMPTS: u32 = 4;
/// Delay before a program that ended is restarted, and its maximum: the delay doubles while the program ends
/// soon after its start.
pub const MIN_RESTART_DELAY_MS: Millis = Millis(500);
pub const MAX_RESTART_DELAY_MS: Millis = Millis(10_000);
/// A program that ran this long is stable: its restart delay is reset.
pub const MIN_STABLE_UPTIME_MS: Millis = Millis(5_000);
/// Kills in the scenario `restless` per kill in another scenario: 200 in two minutes.
pub const RESTLESS_KILL_FACTOR: u64 = 10;
/// Interval at which processes are supervised.
pub const SUPERVISION_INTERVAL_MS: Millis = Millis(50);

// --- Suite --------------------------------------------------------------------

/// Number of jobs of a full and of a quick run.
pub const JOB_COUNT: u64 = 60;
pub const QUICK_JOB_COUNT: u64 = 24;
/// How long faults are injected.
pub const FAULT_PHASE_MS: u64 = 120_000;
pub const QUICK_FAULT_PHASE_MS: u64 = 16_000;
/// How long all jobs may take to finish after the last fault: a silent machine has to be proven gone, and lost
/// tasks run again.
pub const RECOVERY_PHASE_MS: u64 = 60_000;
pub const QUICK_RECOVERY_PHASE_MS: u64 = 26_000;
/// Number of faults of a full and of a quick run in the scenario `mixed`.
pub const FAULT_COUNT: u64 = 24;
pub const QUICK_FAULT_COUNT: u64 = 8;
/// Operator settings of the controllers, and the same retry limits for the checker: class, retries.
pub const OPERATOR_SETTINGS: &str = "((classes (class (name \"quick\") (repeats 2))\n (class (name \"slow\") (repeats 1) (on-exhausted finish-rest)))\n (ledger . #t) (ledger-every-ms . 1000))\n";
pub const MAX_RETRIES_BY_CLASS: [(&str, u32); 2] = [("quick", 2), ("slow", 1)];
/// How long the recorded usage may take to settle after all jobs finished, how often it is polled, and for how many
/// polls it must stay the same: longer than the interval at which the controllers record finished attempts.
pub const USAGE_SETTLE_TIMEOUT_MS: u64 = 6_000;
pub const USAGE_POLL_INTERVAL_MS: u64 = 250;
pub const USAGE_STABLE_POLL_COUNT: u32 = 6;
/// One job in this many fails by itself, without an injected fault.
pub const FAILING_JOB_INTERVAL: u64 = 8;
/// How many times as often users poll in the scenario `asked`; operators have observed such a load.
pub const REQUEST_STORM_FACTOR: u64 = 8;
/// Shortest and longest interval between the polls of a user.
pub const USER_POLL_INTERVAL_RANGE_MS: (u64, u64) = (400, 1_200);
/// A machine that is not up after this many usual boot times plus a lease must be returned
/// (docs/operations.md).
pub const UNSEEN_MACHINE_BOOT_FACTOR: f64 = 4.0;
/// Time allowed for that return: a leader elected just before waits for some reports before it judges a machine,
/// and a refused call is retried after a delay.
pub const UNSEEN_MACHINE_SLACK_S: f64 = 5.0;

// --- The address of the region itself -------------------------------------------

/// Offset of the port of the region itself from the port of the first controller.
pub const REGION_PORT_OFFSET: u16 = 10;
/// Maximum number of connections to that address.
pub const MAX_REGION_CONNECTIONS: usize = 64;

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

/// Time without a heartbeat after which a command line session expires: slightly longer than a change of the leader
/// takes.
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
/// Delay before a program that ended is restarted. It doubles each time the program ends soon after its start.
pub const MIN_RESTART_DELAY_MS: Millis = Millis(500);
/// Maximum of that delay.
pub const MAX_RESTART_DELAY_MS: Millis = Millis(10_000);
/// A program that ran this long is stable: its restart delay is reset.
pub const MIN_STABLE_UPTIME_MS: Millis = Millis(5_000);
/// Kills in the scenario `restless` per kill in another scenario: 200 in two minutes.
pub const RESTLESS_KILL_FACTOR: u64 = 10;
/// Interval at which processes are supervised.
pub const SUPERVISION_INTERVAL_MS: Millis = Millis(50);

// --- Suite --------------------------------------------------------------------

/// Number of jobs of a full run.
pub const JOB_COUNT: u64 = 60;
/// Number of jobs of a quick run.
pub const QUICK_JOB_COUNT: u64 = 24;
/// How long faults are injected in a full run.
pub const FAULT_PHASE_MS: u64 = 120_000;
/// How long faults are injected in a quick run.
pub const QUICK_FAULT_PHASE_MS: u64 = 16_000;
/// How long all jobs may take to finish after the last fault of a full run: a machine that stopped reporting has to
/// be proven gone, and lost tasks run again.
pub const RECOVERY_PHASE_MS: u64 = 60_000;
/// The same for a quick run.
pub const QUICK_RECOVERY_PHASE_MS: u64 = 26_000;
/// Number of faults of a full run in the scenario `mixed`.
pub const FAULT_COUNT: u64 = 24;
/// Number of faults of a quick run in the scenario `mixed`.
pub const QUICK_FAULT_COUNT: u64 = 8;
/// Operator settings of the controllers.
pub const OPERATOR_SETTINGS: &str = "((classes (class (name \"quick\") (repeats 2))\n \
    (class (name \"slow\") (repeats 1) (on-exhausted finish-rest)))\n \
    (ledger . #t) (ledger-every-ms . 1000))\n";
/// The retry limits in [`OPERATOR_SETTINGS`], for the checker: class, retries.
pub const MAX_RETRIES_BY_CLASS: [(&str, u32); 2] = [("quick", 2), ("slow", 1)];
/// How long the recorded usage may take to stop changing after all jobs finished.
pub const USAGE_SETTLE_TIMEOUT_MS: u64 = 6_000;
/// Interval at which the recorded usage is polled meanwhile.
pub const USAGE_POLL_INTERVAL_MS: u64 = 250;
/// For how many polls the recorded usage must stay the same: together longer than the interval at which the
/// controllers record finished attempts.
pub const USAGE_STABLE_POLL_COUNT: u32 = 6;
/// One job in this many fails by itself, without an injected fault.
pub const FAILING_JOB_INTERVAL: u64 = 8;
/// How many times as often users poll in the scenario `asked`; operators have observed such a load.
pub const REQUEST_STORM_FACTOR: u64 = 8;
/// Shortest and longest interval between the polls of a user.
pub const USER_POLL_INTERVAL_RANGE_MS: (u64, u64) = (400, 1_200);
/// A machine that is not up after this many usual boot times plus a lease must be returned (docs/operations.md).
pub const UNSEEN_MACHINE_BOOT_FACTOR: f64 = 4.0;
/// Time allowed for that return: a leader elected just before waits for some reports before it judges a machine,
/// and a refused call is retried after a delay.
pub const UNSEEN_MACHINE_SLACK_S: f64 = 5.0;

// --- The address of the region itself -------------------------------------------

/// Offset of the port of the region itself from the port of the first controller.
pub const REGION_PORT_OFFSET: u16 = 10;
/// Maximum number of connections to that address.
pub const MAX_REGION_CONNECTIONS: usize = 64;

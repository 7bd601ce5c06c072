//! Constants of the retry policy.

use oatloom_protocol::ids::Millis;

// --- Classes -------------------------------------------------------------------

/// Upper bound of a class's retry limit: a higher one has no practical effect, and counts would outgrow their records.
pub const MAX_RETRIES: i64 = 1_000;
/// Maximum number of classes in the operators' file.
pub const MAX_CLASSES: usize = 500;

// --- Fault attribution (docs/design-repeats.md, "The model") ---------------------

/// Prior probability that a machine is faulty: few are, though by the protocol failures are "mostly the machine".
pub const PRIOR_MACHINE_FAULT: f64 = 0.01;
/// The same for a machine on which a task succeeded after a failure: it would have to break anew.
pub const PRIOR_CLEARED_MACHINE_FAULT: f64 = 0.003;
/// Prior probability that a job was submitted with a mistake and fails on every machine.
pub const PRIOR_JOB_FAULT: f64 = 0.02;
/// Prior probability that a task fails on every machine though other tasks of its job succeed.
pub const PRIOR_TASK_FAULT: f64 = 0.05;
/// Probability that a healthy task fails on a healthy machine by chance.
pub const RANDOM_FAILURE_RATE: f64 = 0.02;
/// Rounds of belief propagation: the probabilities converge within three.
pub const PROPAGATION_ROUNDS: usize = 4;
/// Fault probability at which a machine is found faulty and quarantined: failures of two different jobs that have
/// succeeded nowhere yet give 0.865, less if one of these jobs also failed elsewhere.
pub const MACHINE_FAULTY_PROBABILITY: f64 = 0.9;
/// Fault probability of a machine below which a failure on it counts against the task, by how long a task over
/// its retry limit has waited for evidence: other tasks on a faulty machine fail within seconds, and some tasks
/// end within twenty.
pub const MACHINE_FAULT_THRESHOLDS: [(Millis, f64); 3] =
    [(Millis(0), 0.01), (Millis(5_000), 0.1), (Millis(20_000), 0.5)];
/// Evidence older than this is dropped: a faulty machine that was in use since then would have been found.
pub const EVIDENCE_TTL_MS: Millis = Millis(900_000);
/// Maximum number of pairs of machine and job kept as evidence, of some 200 bytes each; the oldest are dropped.
pub const MAX_EVIDENCE_PAIRS: usize = 512;
/// Failed tasks of one job recorded per machine; more of them add no evidence.
pub const MAX_TASKS_PER_PAIR: usize = 8;
/// Machines on which a job that has never succeeded may fail; after that it is confined to these machines.
pub const MAX_FAILED_HOSTS: usize = 3;
/// How long after its last failure a confined job that finds no room on its machines may use others: long enough
/// for several reports, so that room that is or becomes free there is noticed.
pub const CONFINEMENT_TIMEOUT_MS: Millis = Millis(10_000);

// --- Charges -----------------------------------------------------------------------

/// Rows of charges in one record of 96 tasks: at 9 bytes each they and 96 assignments stay under 8 KiB. Beyond
/// that, the rows of a task are merged: the machines are lost, the counts are kept.
pub const MAX_CHARGE_ROWS: usize = 200;
/// Maximum number of machines named in one record, of some 12 bytes each.
pub const MAX_CHARGE_HOSTS: usize = 24;
/// Run time after which earlier failures of a replica are cleared, so that failures months apart do not add up.
pub const CHARGE_RESET_RUN_MS: Millis = Millis(600_000);

// --- Backoff -------------------------------------------------------------------------

/// Delay before the first retry of a task; doubles with each further one.
pub const INITIAL_BACKOFF_MS: Millis = Millis(1_000);
/// Upper bound of the delay, before jitter.
pub const MAX_BACKOFF_MS: Millis = Millis(60_000);
/// Maximum share by which a delay is lengthened or shortened at random, so that the tasks of an array do not
/// retry all at once.
pub const BACKOFF_JITTER: f64 = 0.3;

//! Constants of graphs and sessions, with their units and reasons.

use oatloom_protocol::ids::Millis;

/// Exclusive upper bound of graph numbers: ten digits, so that a job's id stays within the 20 digits allowed for ids.
pub const GRAPH_NUMBER_END: u64 = 10_000_000_000;
/// Exclusive upper bound of the job sequence numbers of a graph: nine digits of a job's id.
pub const JOB_SEQ_END: u64 = 1_000_000_000;
/// Maximum length of the name of a node, kind, addition or session, in bytes: names are stored in records of 8 KiB.
pub const MAX_NAME_BYTES: usize = 80;
/// Maximum length of a session's key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Minimum length of a session's key, in bytes, so that keys cannot be guessed.
pub const MIN_KEY_BYTES: usize = 8;
/// Maximum inputs of a node. To gather more results, use intermediate nodes, or one input node of many shards.
pub const MAX_INPUT_COUNT: usize = 400;
/// Maximum kinds of nodes in one graph: far more than a client needs to distinguish; kind numbers have two bytes.
pub const MAX_KIND_COUNT: usize = 1_000;
/// Maximum retries that a node may request; its class limits them further.
pub const MAX_RETRY_COUNT: u32 = 1_000;
/// Value size to which [`MAX_BATCH_NODE_COUNT`] and [`MAX_BATCH_RANGE_COUNT`] apply; they are scaled down for smaller
/// values.
pub const REFERENCE_VALUE_BYTES: usize = 8 * 1024;
/// Size of a node's row in a final page without its name, in bytes: the sequence number of its job has at most nine
/// digits.
pub const FINAL_ROW_BYTES: usize = 18;
/// Size of a final page without its rows, in bytes.
pub const FINAL_PAGE_OVERHEAD_BYTES: usize = 20;
/// Maximum nodes in one array: what its job's final record keeps of each of them (nodes, done tasks, failure counts)
/// fits into 8 KiB.
pub const MAX_BATCH_NODE_COUNT: usize = 400;
/// Maximum ranges of consecutive nodes in one array, so that they fit into the same record.
pub const MAX_BATCH_RANGE_COUNT: usize = 200;
/// Maximum shards of a node; the protocol's limit on the tasks of a job.
pub const MAX_SHARD_COUNT: u32 = oatloom_protocol::constants::MAX_TASKS;
/// Fraction of a value that the rows of a page may fill; the rest is for the surrounding JSON.
pub const PAGE_FILL_FRACTION: f64 = 0.8;
/// Maximum bytes of values in one transaction; the state service allows 64 KiB in total.
pub const MAX_TXN_BYTES: usize = 40 * 1024;
/// Maximum open jobs of all graphs, since a placement pass considers each of them.
pub const MAX_OPEN_JOB_COUNT: usize = 1_000;
/// Maximum open jobs of one graph.
pub const MAX_GRAPH_OPEN_JOB_COUNT: usize = 250;
/// Minimum interval between two updates of a graph's remaining paths, in milliseconds per node. An update takes about
/// 0.1 us per node, so that updates use less than a hundredth of a core.
pub const PATH_UPDATE_INTERVAL_PER_NODE_MS: f64 = 0.02;
/// Smallest relative change of a learned run time that makes the remaining paths outdated.
pub const MIN_RUN_TIME_CHANGE_FRACTION: f64 = 0.2;
/// Ratio between steps of the remaining path: similar nodes whose paths differ by less than about a quarter share an
/// array.
pub const PATH_STEP_RATIO: f64 = 1.25;
/// Assumed time until a graph without a due time is due, in seconds; the design specification's value for jobs without
/// one.
pub const DEFAULT_DUE_S: f64 = 600.0;
/// Assumed run time of a node whose kind states none, in seconds; about that of a task in the first measurement in
/// the paper.
pub const DEFAULT_RUN_TIME_S: f64 = 10.0;
/// Minimum time until a node is due, in seconds: one tick of the control loop.
pub const MIN_NODE_DUE_S: f64 = 1.0;
/// Maximum and default number of changed nodes in one answer; about 60 KiB.
pub const MAX_ANSWER_NODE_COUNT: usize = 400;
/// Approximate maximum bytes of nodes in an answer about a job; a message line holds at most 64 KiB.
pub const MAX_JOB_NODES_BYTES: usize = 24 * 1024;
/// Minimum time to live of a session, in seconds: a shorter one would expire during a change of leader.
pub const MIN_TTL_S: f64 = 10.0;
/// Maximum time to live of a session, in seconds: a longer one would keep abandoned sessions open.
pub const MAX_TTL_S: f64 = 86_400.0;
/// Delay after which a client is told to retry a rejected request, in seconds.
pub const RETRY_AFTER_S: u32 = 1;
/// Maximum requests that wait for the same write; most of them are repeated requests of one client.
pub const MAX_TICKET_COUNT: usize = 8;
/// Interval between checks for expired sessions: far below [`MIN_TTL_S`].
pub const SESSION_CHECK_INTERVAL_MS: Millis = Millis(500);
/// Maximum final records of graphs that are kept in memory; the state service has all of them.
pub const MAX_CACHED_FINAL_RECORD_COUNT: usize = 1_000;

//! Every constant of graphs and sessions, with its unit and the reason for its value.

use oatloom_protocol::ids::Millis;

/// Graph numbers lie below this: with it a node's job id keeps the 20 digits that ids may have.
pub const GRAPH_NUMBER_END: u64 = 10_000_000_000;
/// Jobs of one graph: nine digits of a job's id.
pub const JOB_SEQ_END: u64 = 1_000_000_000;
/// Longest name of a node, a kind, an addition or a session, in bytes: they stand in records of 8 KiB.
pub const MAX_NAME_BYTES: usize = 80;
/// Longest key of a session, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Shortest key of a session, in bytes: what can be guessed is no key.
pub const MIN_KEY_BYTES: usize = 8;
/// Inputs that one node may name: a node that gathers more takes them through nodes between, or as one node of
/// many shards.
pub const MAX_INPUT_COUNT: usize = 400;
/// Kinds of node in one graph: a number of two bytes, and far more than anyone tells apart.
pub const MAX_KIND_COUNT: usize = 1_000;
/// Retries that a node may ask for; its class bounds it further.
pub const MAX_RETRY_COUNT: u32 = 1_000;
/// The value limit that the two bounds below are for; with less they are lowered in proportion.
pub const REFERENCE_VALUE_BYTES: usize = 8 * 1024;
/// How a node ended, as it stands in a page, in bytes beside its name: the number of its job has nine digits at most.
pub const FINAL_ROW_BYTES: usize = 18;
/// What such a page takes beside its rows, in bytes.
pub const FINAL_PAGE_OVERHEAD_BYTES: usize = 20;
/// Nodes that go as one array: what is to be kept of each when the array ends fits into a record of 8 KiB.
pub const MAX_BATCH_NODE_COUNT: usize = 400;
/// Runs of consecutive nodes in one array, for the same reason.
pub const MAX_BATCH_RANGE_COUNT: usize = 200;
/// Tasks of one gang or array that a node may be; the protocol's bound for a job.
pub const MAX_SHARD_COUNT: u32 = oatloom_protocol::constants::MAX_TASKS;
/// Share of a value that a page of nodes takes: the rest is for its JSON around them.
pub const PAGE_FILL_FRACTION: f64 = 0.8;
/// Bytes of values in one transaction; the state service allows 64 KiB in total.
pub const MAX_TXN_BYTES: usize = 40 * 1024;
/// Jobs of graphs that are open at once, in all and of one graph: a placement pass looks at each.
pub const MAX_OPEN_JOB_COUNT: usize = 1_000;
pub const MAX_GRAPH_OPEN_JOB_COUNT: usize = 250;
/// Pause between two weighings of a graph's longest remaining paths, in milliseconds a node: a weighing takes some 0.1 us
/// a node, so that it stays below a hundredth of a core.
pub const PATH_UPDATE_INTERVAL_PER_NODE_MS: f64 = 0.02;
/// Learned run times that moved by less than this share leave the paths as they are.
pub const MIN_RUN_TIME_CHANGE_FRACTION: f64 = 0.2;
/// Base of the steps by which remaining paths are told apart: nodes of one shape whose paths are alike within a
/// quarter go as one array.
pub const PATH_STEP_RATIO: f64 = 1.25;
/// Time that a graph without a due time is taken to have, in seconds: what DESIGN gives jobs without one.
pub const DEFAULT_DUE_S: f64 = 600.0;
/// Run time of a node whose kind tells none, in seconds: one task of the paper's first measurement, about.
pub const DEFAULT_RUN_TIME_S: f64 = 10.0;
/// Shortest time that a node is given until it is due, in seconds: one tick of the loop.
pub const MIN_NODE_DUE_S: f64 = 1.0;
/// Changed nodes in one answer, at most and unless asked otherwise: some 60 KiB.
pub const ANSWER_NODES: usize = 400;
/// Bytes of nodes in an answer about a job, about: a line holds 64 KiB at most.
pub const MAX_JOB_NODES_BYTES: usize = 24 * 1024;
/// Shortest and longest time to live of a session: below, a takeover would end it; above, nobody would miss it.
pub const MIN_TTL_S: f64 = 10.0;
pub const MAX_TTL_S: f64 = 86_400.0;
/// When a client is told to come back with what cannot be taken now, in seconds.
pub const RETRY_AFTER_S: u32 = 1;
/// Requests that wait for the same write: repeated ones of one client, mostly.
pub const MAX_TICKET_COUNT: usize = 8;
/// How often it is looked for sessions that have lapsed: far below the shortest time to live.
pub const SESSION_CHECK_INTERVAL_MS: Millis = Millis(500);
/// Final answers of graphs that are kept in memory; the state service has them all.
pub const MAX_CACHED_FINAL_RECORD_COUNT: usize = 1_000;

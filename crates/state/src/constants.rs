//! Constants of the state service.

use oatloom_protocol::ids::Millis;

// --- Protocol ----------------------------------------------------------------

/// Maximum size of a key (fixed by the protocol).
pub const MAX_KEY_BYTES: usize = 200;
/// Maximum number of rows in a page of a listing (fixed by the protocol).
pub const MAX_PAGE_ROWS: usize = 1_000;
/// Maximum size of a page of a listing (512 KiB in the protocol), including `ROW_OVERHEAD_BYTES` for each row.
pub const MAX_PAGE_BYTES: usize = 512 * 1024;
/// Bytes of an encoded row besides its key and value: field names, revision and punctuation.
pub const ROW_OVERHEAD_BYTES: usize = 64;
/// Changes kept in memory for watches that start at an earlier revision (fixed by the protocol).
pub const MAX_RECENT_CHANGE_COUNT: usize = 10_000;
/// A transaction may have this many conditions for each change that it may have (fixed by the protocol).
pub const MAX_CONDITIONS_PER_CHANGE: usize = 4;
/// Shortest time to live of a lease (fixed by the protocol).
pub const MIN_LEASE_TTL_MS: u64 = 100;
/// Longest time to live of a lease (fixed by the protocol).
pub const MAX_LEASE_TTL_MS: u64 = 600_000;
/// Longest time that a watch may wait for a change (fixed by the protocol).
pub const MAX_WATCH_WAIT_MS: u64 = 60_000;

// --- Disk ----------------------------------------------------------------------

/// Format version of log and snapshot files. Files of a later version are refused.
pub const FORMAT_VERSION: u16 = 1;
/// Unit that a disk writes atomically, in bytes. A torn write leaves whole sectors unwritten, which distinguishes
/// it from corruption.
pub const SECTOR_BYTES: usize = 512;
/// Size that a group of records written at once is to stay below: about 25 of the largest transactions under the
/// default limits. Further changes are refused once half of it waits to be written.
pub const MAX_GROUP_BYTES: usize = 8 * 1024 * 1024;
/// Default size of the log after which a snapshot is taken: recovery reads this much in two seconds.
pub const DEFAULT_SNAPSHOT_LOG_BYTES: u64 = 64 * 1024 * 1024;
/// Default number of rows copied for the snapshot thread at once: copying them takes the engine a tenth of a
/// millisecond.
pub const DEFAULT_SNAPSHOT_SLICE_ROWS: usize = 1_024;
/// zstd level of snapshots: the library's default, which balances size and time.
pub const SNAPSHOT_COMPRESSION_LEVEL: i32 = 3;
/// Snapshots retained: the newest, and one to fall back on if that is damaged.
pub const MAX_SNAPSHOT_COUNT: usize = 2;
/// Delay before a group that a full disk rejected is written again.
pub const DISK_FULL_RETRY_INTERVAL_MS: Millis = Millis(500);
/// Delay before a failed snapshot is tried again.
pub const SNAPSHOT_RETRY_INTERVAL_MS: Millis = Millis(30_000);

// --- Time ------------------------------------------------------------------------

/// Longest time that the engine thread waits for an event: the protocol allows a lease to expire up to 100 ms
/// late.
pub const TICK_INTERVAL_MS: Millis = Millis(20);
/// A gap between two events longer than this counts as an outage of the process. All leases are renewed then,
/// since renewals may have arrived without being read.
pub const STALL_TIMEOUT_MS: Millis = Millis(1_000);

// --- Sizes -----------------------------------------------------------------------

/// Events that may wait for the engine thread before requests are answered with 503 and a retry time: four for each
/// connection.
pub const MAX_QUEUED_EVENT_COUNT: usize = 4_096;
/// Default limit of open connections. Their number does not grow with the number of machines: a controller sends
/// requests over 14 of them and keeps as many open for a while; the rest is for operators' tools.
pub const DEFAULT_MAX_CONNECTION_COUNT: usize = 1_000;
/// Default size limit of a value: the larger of the limits in the controllers' settings.
pub const DEFAULT_MAX_VALUE_KIB: f64 = 16.0;
/// Default limit of puts and deletes in a transaction: the larger of the limits in the controllers' settings.
pub const DEFAULT_MAX_TXN_CHANGE_COUNT: usize = 20;
/// Open descriptors besides connections: log, snapshot, directory, lock, poll, waker, listener and standard
/// streams.
pub const RESERVED_DESCRIPTOR_COUNT: usize = 16;

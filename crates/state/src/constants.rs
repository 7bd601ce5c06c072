//! Every constant of the state service, with its unit and the reason for its value.

use oatloom_protocol::ids::Millis;

// --- Protocol ----------------------------------------------------------------

/// Bytes that a key may have (protocol).
pub const KEY_BYTES: usize = 200;
/// Items that a page may hold (protocol).
pub const PAGE_ROWS: usize = 1_000;
/// Bytes of values and keys that a page may hold (protocol: 512 KiB), less what the rest of the rows takes.
pub const PAGE_BYTES: usize = 512 * 1024;
/// Bytes of a row beside its key and value: names, stamp and punctuation.
pub const ROW_BYTES: usize = 64;
/// Changes that watches can ask for again (protocol).
pub const RECENT_CHANGES: usize = 10_000;
/// Conditions for each change that a transaction may have (protocol: four times as many).
pub const CONDITIONS_PER_CHANGE: usize = 4;
/// Shortest and longest time to live of a lease, in milliseconds (protocol).
pub const TTL_LEAST_MS: u64 = 100;
pub const TTL_MOST_MS: u64 = 600_000;
/// Longest wait of a watch (protocol).
pub const HOLD_MOST_MS: u64 = 60_000;

// --- Disk ----------------------------------------------------------------------

/// Format of log and snapshots. A file of a later one is refused.
pub const FORMAT: u16 = 1;
/// Smallest piece that a disk writes whole or not at all, in bytes: a torn write is told from a damaged
/// one by pieces that were never written.
pub const SECTOR_BYTES: usize = 512;
/// Largest group of records written at once, in bytes; a longer length in a frame is no length. Some
/// hundred of the largest transactions.
pub const GROUP_BYTES: usize = 8 * 1024 * 1024;
/// Bytes of log after which a snapshot is taken, by default: two seconds' reading at a start.
pub const SNAPSHOT_LOG_BYTES: u64 = 64 * 1024 * 1024;
/// Rows handed to the snapshot's thread at once: a tenth of a millisecond's work for the service.
pub const SLICE_ROWS: usize = 1_024;
/// Level of compression of snapshots: the library's default weighs size and time evenly.
pub const SNAPSHOT_LEVEL: i32 = 3;
/// Snapshots kept: the newest, and one to fall back on should that be damaged.
pub const SNAPSHOTS_KEPT: usize = 2;
/// Pause before a full disk is tried again.
pub const FULL_RETRY_MS: Millis = Millis(500);
/// Pause before a snapshot that failed is tried again.
pub const SNAPSHOT_RETRY_MS: Millis = Millis(30_000);

// --- Time ------------------------------------------------------------------------

/// Longest sleep of the service's thread: a lease may end as much as 100 ms late (protocol).
pub const WAKE_MS: Millis = Millis(20);
/// A pause of the whole process longer than this counts as an outage: leases regain their full time,
/// since renewals may wait unread.
pub const STALL_MS: Millis = Millis(1_000);

// --- Sizes -----------------------------------------------------------------------

/// Requests that may wait for the service's thread before callers are told to come back: four for each connection.
pub const EVENT_QUEUE: usize = 4_096;
/// Connections served at once, by default. They do not grow with machines: a controller calls over 14, and keeps as many open
/// for a while; what is left serves operators' tools.
pub const CONNECTIONS: usize = 1_000;
/// Size of a value, in KiB, and changes of a transaction, by default: the larger of the limits that the
/// controllers' settings name.
pub const VALUE_KB: f64 = 16.0;
pub const TXN_CHANGES: usize = 20;
/// Open descriptors beside connections: log, snapshot, directory, lock, poll, waker, listener and standard
/// streams.
pub const OWN_DESCRIPTORS: usize = 16;

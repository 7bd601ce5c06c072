//! Constants of the ledger, with unit and reason.

use oatloom_protocol::ids::Millis;

/// A day, in milliseconds.
pub const DAY_MS: u64 = 86_400_000;
/// Parts of a unit of money that costs are counted in: sums stay exact.
pub const MICROS: f64 = 1e6;
/// Rows of one day of a job; more of them are joined, whatever the machine.
pub const JOB_ROWS_MOST: usize = 8;
/// Rows of one day in a record that has little room.
pub const TIGHT_ROWS: usize = 1;
/// A row as it is written, in bytes, with long names and large sums.
pub const ROW_BYTES: usize = 190;
/// Days of one such record. What a job that lasts longer used before counts for the second day before its end.
pub const JOB_DAYS_MOST: usize = 2;
/// How long after midnight a day may still get what its ends were: clocks of controllers differ, and a leader may
/// have to be found first.
pub const CLOSE_AFTER_MS: u64 = 3_600_000;
/// Rows of a roll-up, in a value of 8 KiB, and its largest size in bytes.
pub const ROLLUP_ROWS_MOST: usize = 40;
pub const ROLLUP_BYTES: usize = 8 * 1024;
/// What a roll-up takes beside its rows, in bytes.
pub const ROLLUP_HEAD_BYTES: usize = 60;
/// Period in which what ended is added to the roll-ups. Each costs a change for every team and class that had an
/// end, and what is not added yet has to be read again by the next leader.
pub const FLUSH_MS: Millis = Millis(30_000);
/// Ends that may wait for that, in memory; beyond it they are added at once. Some 200 bytes each.
pub const PENDING_MOST: usize = 2_000;
/// Longest part of a key that names a team or a class, in bytes; keys have at most 200.
pub const NAME_BYTES: usize = 80;
/// Rows of an answer to a query, at most and if not asked for.
pub const PAGE_ROWS_MOST: usize = 200;
/// Longest span of a query, in days.
pub const QUERY_DAYS_MOST: u64 = 3_700;

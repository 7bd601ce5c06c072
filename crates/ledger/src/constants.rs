//! Constants of usage accounting.

use oatloom_protocol::ids::Millis;

/// Milliseconds per day.
pub const DAY_MS: u64 = 86_400_000;
/// Costs are integers in millionths of a unit of money, so that sums are exact.
pub const MICROS_PER_UNIT: f64 = 1e6;
/// Maximum number of usage rows per job and day; more are merged, first over flavors and zones, then into one.
pub const MAX_JOB_DAY_ROWS: usize = 8;
/// Maximum number of usage rows per day in a record that is short of space.
pub const REDUCED_DAY_ROWS: usize = 1;
/// Size of a stored row with long names and large sums, in bytes.
pub const MAX_ROW_BYTES: usize = 190;
/// Maximum number of days in one record; earlier usage of a longer job is merged into the first of them.
pub const MAX_JOB_DAYS: usize = 2;
/// How long after midnight usage may still be added to the previous day: clocks of controllers differ, and a leader
/// may have to be elected first.
pub const DAY_CLOSE_DELAY_MS: u64 = 3_600_000;
/// Maximum number of rows of a roll-up, in a value of [`MAX_ROLLUP_BYTES`].
pub const MAX_ROLLUP_ROWS: usize = 40;
/// Maximum size of a stored roll-up.
pub const MAX_ROLLUP_BYTES: usize = 8 * 1024;
/// Size of a stored roll-up without its rows.
pub const ROLLUP_HEADER_BYTES: usize = 60;
/// Period at which final states are added to the roll-ups. Each flush costs one write per team and class with
/// finished jobs; final states not yet added have to be read again by the next leader.
pub const USAGE_FLUSH_PERIOD_MS: Millis = Millis(30_000);
/// Final states that may wait for a flush, of some 200 bytes each in memory; more are added at once. Also limits the
/// cached roll-ups.
pub const MAX_PENDING: usize = 2_000;
/// Maximum length of a team or class name in a key; keys have at most 200 bytes.
pub const MAX_KEY_NAME_BYTES: usize = 80;
/// Maximum and default number of rows per page of a query.
pub const MAX_PAGE_ROWS: usize = 200;
/// Longest time span of a query.
pub const MAX_QUERY_DAYS: u64 = 3_700;

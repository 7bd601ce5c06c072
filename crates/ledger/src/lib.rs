//! Usage accounting: one entry per attempt, aggregated by job and then by team, class and day. Each entry counts
//! exactly once, also across leader changes and lost replies. Deterministic; the design is described in
//! `docs/design-ledger.md`.
//!
//! - [`entry`]: usage of one attempt, and how much of its run time was useful
//! - [`sums`]: sums of entries, as stored in records
//! - [`rollup`]: stored totals by team, class and day, and usage not yet added to them
//! - [`query`]: usage queries of operators and their results

pub mod constants;
pub mod entry;
pub mod query;
pub mod rollup;
pub mod sums;

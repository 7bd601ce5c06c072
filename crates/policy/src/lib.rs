//! Retry policy: how often a task of a class may fail through its own fault before its job fails, and whether
//! the task or the machine caused a failure. Deterministic: the caller passes in all events and the time. The
//! design is described in `docs/design-repeats.md`.
//!
//! - [`classes`]: the operators' retry settings per job class
//! - [`fault_attribution`]: fault probabilities of machines and jobs, inferred from failures and successes
//! - [`charges`]: failures charged to the tasks of one job, as stored in the state service
//! - [`backoff`]: delay before a task is retried

pub mod backoff;
pub mod charges;
pub mod classes;
pub mod constants;
pub mod fault_attribution;

//! Sharing the machines among the controllers: who owns which share, how a share moves without a task noticing, and the
//! plan that says where each should be. Deterministic: `(event) -> actions`, and a plan from what is known.
//!
//! A share's owner holds its key in the state service under its own lease. The key's revision is the token of the
//! share's workers, and the condition of every write of its records.

pub mod constants;
mod desk;
mod holding;
mod plan;
mod record;

pub use desk::{Action, Desk, Event, Flaw};
pub use holding::{Holder, Holding, Key, Seat};
pub use plan::{Candidate, Map, Stamp, Weight, fallback, plan};
pub use record::{OwnerRecord, Read, ShareId};

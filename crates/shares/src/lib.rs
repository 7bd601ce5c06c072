//! Ownership of the machines by the controllers: which controller owns which share of the machines,
//! how a share moves without interrupting its tasks, and the plan for the owner of each share.
//! Deterministic: events in, actions out, without I/O or clocks.
//!
//! The owner of a share holds the share's key in the state service under its own lease. The
//! revision of the key is the fencing token towards the share's workers, and a condition of every
//! write of the share's records.

pub mod constants;
mod phase;
mod plan;
mod protocol;
mod record;

pub use phase::{KeyHolder, KeyState, MemberIndex, SharePhase};
pub use plan::{Candidate, MapVersion, ShareLoad, ShareMap, fallback_owner, plan_owners};
pub use protocol::{Action, Event, InjectedFault, OwnershipProtocol};
pub use record::{OwnerRecord, ParsedRecord, ShareId};

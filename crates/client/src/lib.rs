//! Blocking client library for oatloom: jobs, and task graphs with their sessions. Requests are retried as the protocol
//! allows; a retry after a lost response creates nothing twice. The library keeps no state that must survive a restart.

pub mod constants;
pub mod graphs;
pub mod users;

pub use graphs::{Graph, GraphError, Session, Watch};
pub use users::{Controllers, Told, Wish};

//! Blocking client library for oatloom: jobs, and task graphs with their sessions. Requests are retried as the protocol
//! allows; a retry after a lost response creates nothing twice. The library keeps no state that must survive a restart.

pub mod constants;
pub mod controllers;
pub mod graphs;

pub use controllers::{Controllers, JobRequest, JobResponse};
pub use graphs::{Graph, GraphError, Session, Watch};

//! A blocking client of oatloom for programs: jobs, and task graphs with their sessions. Requests are sent again as the
//! protocol allows, so that a lost answer makes nothing twice; nothing here keeps state that a restart would need.

pub mod constants;
pub mod graphs;
pub mod users;

pub use graphs::{Graph, GraphError, Session, Watch};
pub use users::{Controllers, Told, Wish};

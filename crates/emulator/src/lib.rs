//! An emulated cloud with its machines and workers, and fault injection for the requests to the cloud and the
//! state service, to run a region on one machine; and a checker of the protocol's rules, which relies on what
//! happened on the machines, not on what controllers say.
//!
//! [`region`], [`worker`], [`checker`], [`faults`] and [`timetable`] are deterministic; sockets and threads
//! are in [`serve`], [`service_proxy`] and [`link_proxy`].

pub mod checker;
pub mod constants;
pub mod faults;
pub mod link_proxy;
pub mod region;
pub mod serve;
pub mod service_proxy;
pub mod timetable;
pub mod worker;

//! oatloom: a cluster scheduler. A leading controller learns each job's cost per task with a Kalman
//! filter, sums remaining work over deadlines to a target core count, and moves rented cores to it
//! by additive increase and multiplicative decrease.
//!
//! Decisions are deterministic: [`controller::Controller`] turns `(event, now)` into actions.
//! Threads, sockets and clocks stay in [`edge`].

pub mod api;
pub mod cloud;
pub mod constants;
pub mod controller;
pub mod edge;
pub mod estimate;
pub mod jobs;
pub mod leadership;
pub mod mesh;
pub mod parked;
pub mod placement;
pub mod reign;
pub mod relay;
pub mod scaling;
pub mod settings;
pub mod store;
pub mod types;
pub mod wire;
pub mod workers;

//! The deterministic core of oatloom: [`controller::Controller`] turns `(event, now)` into actions.
//! This package depends on no library with sockets, threads or clocks, and its `clippy.toml` denies
//! those of the standard library.

pub mod api;
pub mod cloud;
pub mod conn_id;
pub mod constants;
pub mod controller;
pub mod estimate;
pub mod inbox;
pub mod jobs;
pub mod leader_hints;
pub mod leader_term;
pub mod leadership;
pub mod mesh;
pub mod open_requests;
pub mod operators;
pub mod owners;
pub mod parked_reports;
pub mod placement;
pub mod relay;
pub mod scaling;
pub mod store;
pub mod workers;
pub mod write_backoff;

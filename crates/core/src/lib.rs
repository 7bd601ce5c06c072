//! The deterministic core of oatloom: [`controller::Controller`] turns `(event, now)` into actions.
//! This package depends on no library with sockets, threads or clocks, and its `clippy.toml` denies
//! those of the standard library.

pub mod api;
pub mod cloud;
pub mod constants;
pub mod controller;
pub mod estimate;
pub mod inbox;
pub mod jobs;
pub mod leadership;
pub mod mesh;
pub mod notes;
pub mod open;
pub mod operators;
pub mod owners;
pub mod parked;
pub mod placement;
pub mod refusals;
pub mod reign;
pub mod relay;
pub mod reply;
pub mod scaling;
pub mod store;
pub mod workers;

//! Implementation of `oatloomctl`: a region on one machine, requests for jobs, task graphs and usage, and failure
//! rehearsals.

pub mod constants;
pub mod graphs;
pub mod jobs;
pub mod launch;
pub mod schemas;
pub mod settings;
pub mod suite;
pub mod up;
pub mod usage;

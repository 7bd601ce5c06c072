//! What `oatloomctl` does: a region on one machine, jobs from the command line, and rehearsals.

pub mod constants;
pub mod graphs;
pub mod jobs;
pub mod launch;
pub mod schemas;
pub mod settings;
pub mod suite;
pub mod up;
pub mod usage;

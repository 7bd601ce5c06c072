//! The oatloom controller process: its settings files, and the threads, sockets and clocks around
//! [`oatloom_core::controller::Controller`].

pub mod constants;
pub mod runtime;
pub mod settings;

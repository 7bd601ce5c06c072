//! Task graphs over gRPC. It keeps nothing: every call is a question to the controllers, and any number of these programs
//! may stand beside each other. The async runtime that the library needs stays on the one thread that serves.

pub mod constants;
pub mod controller_pool;
mod convert;
pub mod server;
pub mod service;
pub mod tls;

/// What the `.proto` makes.
pub mod wire {
    tonic::include_proto!("oatloom.graphs.v1");

    /// The `.proto` as clients may read it from the server.
    pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/graphs.bin"));
}

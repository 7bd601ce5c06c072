//! gRPC server for task graphs. It is stateless: every call is converted to a request to the controllers, and any
//! number of instances may run side by side. The async runtime that the gRPC library needs runs on the serving thread
//! only.

pub mod constants;
pub mod controller_pool;
mod convert;
pub mod server;
pub mod service;
pub mod tls;

/// Code generated from the `.proto` file.
pub mod wire {
    tonic::include_proto!("oatloom.graphs.v1");

    /// Encoded file descriptor set of the `.proto` file, served by the reflection service.
    pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/graphs.bin"));
}

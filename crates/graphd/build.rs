//! Generates Rust code from the `.proto` file. The Protobuf compiler is a library, so that `protoc` need not be
//! installed.

use prost::Message;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = PathBuf::from("../../proto");
    let file = root.join("oatloom/graphs/v1/graphs.proto");
    println!("cargo:rerun-if-changed={}", file.display());
    let descriptors = protox::compile([&file], [&root])?;
    let out_dir = PathBuf::from(std::env::var_os("OUT_DIR").ok_or("no OUT_DIR")?);
    std::fs::write(out_dir.join("graphs.bin"), descriptors.encode_to_vec())?;
    tonic_prost_build::configure().build_client(true).compile_fds(descriptors)?;
    Ok(())
}

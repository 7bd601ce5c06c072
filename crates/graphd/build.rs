//! Makes Rust of the `.proto`, with a compiler that is itself a library: nothing has to be installed.

use prost::Message;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = PathBuf::from("../../proto");
    let file = root.join("oatloom/graphs/v1/graphs.proto");
    println!("cargo:rerun-if-changed={}", file.display());
    let set = protox::compile([&file], [&root])?;
    let out = PathBuf::from(std::env::var_os("OUT_DIR").ok_or("no OUT_DIR")?);
    std::fs::write(out.join("graphs.bin"), set.encode_to_vec())?;
    tonic_prost_build::configure().build_client(true).compile_fds(set)?;
    Ok(())
}

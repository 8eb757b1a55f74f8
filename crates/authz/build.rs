//! Generates the messages of the protocols, and their descriptors for server reflection, without `protoc`.

use protox::prost::Message;
use std::error::Error;
use std::path::PathBuf;

const FILES: [&str; 3] = [
    "envoy/service/auth/v3/external_auth.proto",
    "grpc/health/v1/health.proto",
    "grpc/reflection/v1/reflection.proto",
];

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=proto");
    let descriptors = protox::compile(FILES, ["proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("descriptors.bin"), descriptors.encode_to_vec())?;
    prost_build::Config::new().include_file("messages.rs").compile_fds(descriptors)?;
    Ok(())
}

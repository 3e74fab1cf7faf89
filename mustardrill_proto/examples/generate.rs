//! Writes `src/generated.rs` anew from the `.proto` file: `cargo run -p mustardrill_proto --example generate [FOLDER]`.

use std::path::{Path, PathBuf};

use protox::prost::Message;

fn main() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let target = std::env::args().nth(1).map_or_else(|| package.join("src"), PathBuf::from);
    let files = protox::compile(["mustardrill.proto"], [package.join("proto")])
        .expect("the .proto file compiles");
    let descriptors = prost_types(&files.encode_to_vec());
    let scratch = std::env::temp_dir().join(format!("mustardrill-proto-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("the scratch folder can be made");
    tonic_prost_build::configure()
        .out_dir(&scratch)
        .bytes(".")
        .compile_fds(descriptors)
        .expect("the code is generated");
    let code = std::fs::read_to_string(scratch.join("mustardrill.rs")).expect("the code is read");
    std::fs::write(target.join("generated.rs"), code).expect("the code is written");
    std::fs::remove_dir_all(&scratch).expect("the scratch folder is removed");
}

fn prost_types(bytes: &[u8]) -> protox::prost_reflect::prost_types::FileDescriptorSet {
    Message::decode(bytes).expect("a descriptor set")
}

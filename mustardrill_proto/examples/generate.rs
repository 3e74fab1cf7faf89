//! Regenerates `src/generated.rs` from the `.proto` file:
//! `cargo run -p mustardrill_proto --example generate [FOLDER]`. Writes to `FOLDER` instead of `src`
//! if one is given.

use std::path::{Path, PathBuf};

use protox::prost::Message;

fn main() {
    let package_folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    let output_folder =
        std::env::args().nth(1).map_or_else(|| package_folder.join("src"), PathBuf::from);
    let descriptor_set = protox::compile(["mustardrill.proto"], [package_folder.join("proto")])
        .expect("the .proto file compiles");
    let descriptors = decode_descriptors(&descriptor_set.encode_to_vec());
    let scratch = std::env::temp_dir().join(format!("mustardrill-proto-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("the scratch folder can be created");
    tonic_prost_build::configure()
        .out_dir(&scratch)
        .bytes(".")
        .compile_fds(descriptors)
        .expect("code generation succeeds");
    let code = std::fs::read_to_string(scratch.join("mustardrill.rs"))
        .expect("the generated code can be read");
    std::fs::write(output_folder.join("generated.rs"), code).expect("generated.rs can be written");
    std::fs::remove_dir_all(&scratch).expect("the scratch folder can be removed");
}

fn decode_descriptors(bytes: &[u8]) -> protox::prost_reflect::prost_types::FileDescriptorSet {
    Message::decode(bytes).expect("protox emits a valid descriptor set")
}

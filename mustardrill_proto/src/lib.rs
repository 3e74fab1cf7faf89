//! Protobuf messages and the gRPC service between mustardrill's own processes, generated from
//! `proto/mustardrill.proto`.

#[allow(missing_docs, clippy::all, reason = "generated code")]
#[rustfmt::skip]
mod generated;

pub use generated::*;

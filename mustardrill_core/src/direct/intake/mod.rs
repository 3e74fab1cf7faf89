//! Limits on the request rate that upstreams in need accept from all entries together.

pub(in crate::direct) mod limit;
pub(in crate::direct) mod statements;

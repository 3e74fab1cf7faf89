//! Upstreams and other entries as one entry believes them to be.

pub(in crate::direct) mod census;
pub(in crate::direct) mod heard;
pub(in crate::direct) mod page;
pub(in crate::direct) mod telling;
pub(in crate::direct) mod upstream;
pub(in crate::direct) mod upstream_table;

//! The state of upstreams and peer entries as seen by one entry.

pub(in crate::direct) mod census;
pub(in crate::direct) mod heard;
pub(in crate::direct) mod page;
pub(in crate::direct) mod telling;
pub(in crate::direct) mod upstream;
pub(in crate::direct) mod upstream_table;

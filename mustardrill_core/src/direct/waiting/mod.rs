//! Where requests wait: for an upstream with room, or for a configuration that may be used.

pub(in crate::direct) mod holding;
pub(in crate::direct) mod line;
pub(in crate::direct) mod queue;

//! Upstreams that are cold: those that have just started, or say so, and take a limited request
//! rate from all entries together until they are warm.
//!
//! The rate is shared among the entries like the limits that upstreams state (`intake`).

pub(in crate::direct) mod limit;
pub(in crate::direct) mod period;
mod record;

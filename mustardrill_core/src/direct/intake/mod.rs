//! Limits on the request rate that upstreams in need accept from all entries together.
//!
//! Entries learn a limit from the upstream's answers and from each other. The promise is about the
//! sum over all entries, so a few of them send to a limited upstream, each at its part of the rate,
//! and the others send elsewhere. Who sends follows from the list of entries alone, so that no
//! message per request is needed and lost messages do not raise the sum.

pub(in crate::direct) mod limit;
pub(in crate::direct) mod report;
pub(in crate::direct) mod schedule;
pub(in crate::direct) mod share;
pub(in crate::direct) mod statements;

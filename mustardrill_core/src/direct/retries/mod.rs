//! Retries, and the quarantine of requests that crash upstreams.

pub(in crate::direct) mod crash_broadcast;
pub(in crate::direct) mod membership;
pub(crate) mod part_objections;
mod part_suspicion;
pub(in crate::direct) mod retry;
pub(in crate::direct) mod retry_budget;
pub(in crate::direct) mod suspicion;
pub(crate) mod unattributed_runs;

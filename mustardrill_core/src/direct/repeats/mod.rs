//! Retries, and the quarantine of requests that crash upstreams.

pub(in crate::direct) mod again;
pub(in crate::direct) mod crash_words;
pub(in crate::direct) mod spending;
pub(in crate::direct) mod suspicion;

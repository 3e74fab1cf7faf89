//! Requests that wait: for an upstream with capacity, or for a configuration that is confirmed as
//! current.

pub(in crate::direct) mod held_requests;
pub(in crate::direct) mod queue;
pub(in crate::direct) mod wait_policy;

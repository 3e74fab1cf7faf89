//! What upstreams state of themselves in their answers.
//!
//! Each answer is read once for all statements. They hold for the incarnation that made them, and
//! reach an entry at first hand: neither the store nor its outage can delay or revoke them.

pub(in crate::direct) mod conditions;
mod record;
pub(in crate::direct) mod rest;
pub(in crate::direct) mod statement;

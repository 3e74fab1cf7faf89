//! The logic of mustardrill as reducers and policies, without I/O and without a clock.
//!
//! A reducer takes the current time and an event, changes its state and returns effects as data.
//! The process that embeds it turns I/O into events and performs the effects.
#![deny(missing_docs, unsafe_code, clippy::unwrap_used)]

pub mod admission;
pub mod agent;
pub mod budget;
pub mod catalogue;
mod check;
pub mod chunk_assignment;
pub mod claim;
pub mod connections;
pub mod coordinator;
pub mod crash_report_relay;
pub mod demand;
pub mod direct;
pub mod document;
pub mod edit;
pub mod entry;
pub mod ini_file;
pub mod limit;
pub mod list_confirmation;
pub mod manifest;
pub mod membership;
pub mod ownership;
pub mod partner;
pub mod placement;
pub mod planned_stop;
pub mod provisioning;
pub mod quarantine;
pub mod refusal;
pub mod relays;
pub mod rendezvous;
pub mod roster;
pub mod routing;
pub mod rule;
pub mod session;
pub mod transfer;
pub mod transfer_rate;
pub mod wave;

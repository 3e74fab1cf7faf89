//! The decisions of mustardrill as reducers and policies, without network or clock.
//!
//! A reducer takes the present time and an event, changes its state and returns effects as
//! data. Whoever embeds it turns I/O into events and carries the effects out.
#![deny(missing_docs, unsafe_code, clippy::unwrap_used)]

pub mod admission;
pub mod agent;
pub mod budget;
pub mod catalogue;
mod check;
pub mod claim;
pub mod crash_report_relay;
pub mod demand;
pub mod direct;
pub mod document;
pub mod edit;
pub mod entry;
pub mod homes;
pub mod ini_file;
pub mod keeper;
pub mod limit;
pub mod manifest;
pub mod membership;
pub mod ownership;
pub mod pace;
pub mod partner;
pub mod placement;
pub mod quarantine;
pub mod refusal;
pub mod relays;
pub mod rendezvous;
pub mod routing;
pub mod rule;
pub mod session;
pub mod stock;
pub mod transfer;
pub mod wave;

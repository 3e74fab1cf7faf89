//! The entry's reducer: admission, routing, claims, retries and heartbeats of the process that
//! accepts callers' connections.

mod dispatch;
mod event;
mod reducer;
mod request;
mod suspicion;

pub use event::{
    AgentSync, AttemptEnd, ClaimOrder, EntryEffect, EntryEvent, EntrySettings, IncomingRequest,
    RequestId, SendOrder,
};
pub use reducer::EntryReducer;

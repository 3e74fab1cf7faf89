//! The entry's reducer: everything that the process before the callers decides.

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

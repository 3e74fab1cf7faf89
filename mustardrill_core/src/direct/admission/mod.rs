//! Admission where kinds of requests of one service differ in urgency: what waits, what is refused
//! on arrival, and how much room each kind may take while there is too little.
//!
//! In effect for a service to which the configuration routes requests of unlike priorities.

pub(in crate::direct) mod counts;
pub(in crate::direct) mod demand;
pub(in crate::direct) mod policy;
pub(in crate::direct) mod rate_window;
pub(in crate::direct) mod room_rule;
pub(in crate::direct) mod start_forecast;
pub(in crate::direct) mod urgency;

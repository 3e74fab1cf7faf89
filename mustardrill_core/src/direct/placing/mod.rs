//! Which upstream a request is sent to, by what is known of its load and of the request's size.

pub(in crate::direct) mod choice;
pub(in crate::direct) mod closing;
pub(in crate::direct) mod forecast;
pub(in crate::direct) mod pressure;

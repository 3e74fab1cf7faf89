//! Chooses an upstream by its load, as far as that is known, and by the request's size.

pub(in crate::direct) mod capacity;
pub(in crate::direct) mod choice;
pub(in crate::direct) mod forecast;
pub(in crate::direct) mod load_slot;
pub(in crate::direct) mod pace;

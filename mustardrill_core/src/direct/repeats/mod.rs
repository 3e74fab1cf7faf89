//! What may be sent once more, and what is not as upstreams end under it.

pub(in crate::direct) mod again;
pub(in crate::direct) mod crash_words;
pub(in crate::direct) mod spending;
pub(in crate::direct) mod suspicion;

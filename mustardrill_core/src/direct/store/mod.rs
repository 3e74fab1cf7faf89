//! What an entry reads of the store, when, and what it makes of the answers and of silence.

pub(in crate::direct) mod contact;
pub(in crate::direct) mod cursor;
pub(in crate::direct) mod freshness;
pub(in crate::direct) mod gathering;
pub(in crate::direct) mod generation_word;
pub(in crate::direct) mod reader;
pub(in crate::direct) mod view;
pub(in crate::direct) mod watch_pace;

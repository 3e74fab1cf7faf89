//! How an entry reads the store, and what it concludes from answers and from missing answers.

pub(in crate::direct) mod contact;
pub(in crate::direct) mod cursor;
pub(in crate::direct) mod freshness;
pub(in crate::direct) mod gathering;
pub(in crate::direct) mod generation_word;
pub(in crate::direct) mod reader;
pub(in crate::direct) mod view;
pub(in crate::direct) mod watch_pace;

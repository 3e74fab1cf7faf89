//! How an entry reads the store, and what it concludes from answers and from missing answers.

pub(in crate::direct) mod availability;
pub(in crate::direct) mod coalescing;
pub(in crate::direct) mod cursor;
pub(in crate::direct) mod fleet_updates;
pub(in crate::direct) mod freshness;
pub(in crate::direct) mod generation_report;
pub(in crate::direct) mod read_pacing;
pub(in crate::direct) mod reader;
pub(in crate::direct) mod registration;
pub(in crate::direct) mod watch_timing;

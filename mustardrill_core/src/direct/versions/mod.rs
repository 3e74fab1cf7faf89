//! Tracks which weight versions were announced for each model, and how long requests may still
//! start on superseded ones.

pub(in crate::direct) mod announcements;
pub(in crate::direct) mod demand;
pub(in crate::direct) mod load_record;
pub(in crate::direct) mod superseded;
pub(in crate::direct) mod table;

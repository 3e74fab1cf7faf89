//! The state of upstreams and peer entries as seen by one entry.

pub(in crate::direct) mod entry_counter;
pub(in crate::direct) mod incarnation_order;
pub(in crate::direct) mod load_broadcast;
pub(in crate::direct) mod own_listing;
pub(in crate::direct) mod peer_loads;
pub(in crate::direct) mod update;
pub(in crate::direct) mod upstream;
pub(in crate::direct) mod upstream_table;
pub(in crate::direct) mod version_belief;

//! Shard coordinators: for each shard of claims one agent writes on behalf of all entries, so that
//! writes rarely conflict.
//!
//! Safety rests on the compare-and-swap alone. Asking the same agent only reduces conflicts, so a
//! stale member list or a dead agent costs a conflict and never a second run of a request.

use mustardrill_types::{InstanceId, Moment, RequestKey};

use crate::claim::ShardIndex;
use crate::membership::{InstanceRecord, MemberTable};
use crate::rendezvous;

/// Number of agents that an entry tries for a claim, one after the other.
const COORDINATORS_PER_SHARD: usize = 3;

/// Computes the shard of a request key; `shards` must be the same in all processes.
pub fn shard_of(key: RequestKey, shards: u32) -> ShardIndex {
    ShardIndex((key.0 % u128::from(shards.max(1))) as u32)
}

/// Returns the agents that coordinate a shard, first choice first, by rendezvous hashing among all
/// live agents that are not draining.
pub fn coordinators_of(
    now: Moment,
    members: &MemberTable,
    shard: ShardIndex,
) -> Vec<&InstanceRecord> {
    let is_eligible =
        |record: &&InstanceRecord| !record.leaving && members.is_live(now, &record.id);
    let eligible: Vec<_> = members.records().filter(is_eligible).collect();
    let ranked = rendezvous::ranked(&shard.0.to_le_bytes(), &eligible, |record| record.id.as_str());
    ranked.into_iter().copied().take(COORDINATORS_PER_SHARD).collect()
}

/// The agent that an entry asks for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimCoordinator {
    /// Name of the agent's instance.
    pub id: InstanceId,
    /// Where the agent listens, as `ip:port`.
    pub address: Box<str>,
}

//! Who keeps the claims of a shard: one agent writes for all entries, so that writes don't conflict.
//!
//! The compare-and-swap alone makes a claim safe. That everybody asks the same agent only makes it
//! cheap, so a list that lags, or an agent that died, costs a conflict and never a second run.

use mustardrill_types::{InstanceId, Moment, RequestKey};

use crate::claim::ShardIndex;
use crate::membership::{InstanceRecord, MemberTable};
use crate::rendezvous;

/// How many agents are asked in turn.
const KEEPERS: usize = 3;

/// The shard of a key.
pub fn shard_of(key: RequestKey, shards: u32) -> ShardIndex {
    ShardIndex((key.0 % u128::from(shards.max(1))) as u32)
}

/// The agents that keep a shard, first choice first: by rendezvous hashing among all live ones.
pub fn keepers(now: Moment, members: &MemberTable, shard: ShardIndex) -> Vec<&InstanceRecord> {
    let is_able = |record: &&InstanceRecord| !record.leaving && members.is_live(now, &record.id);
    let able: Vec<_> = members.records().filter(is_able).collect();
    let ranked = rendezvous::ranked(&shard.0.to_le_bytes(), &able, |record| record.id.as_str());
    ranked.into_iter().copied().take(KEEPERS).collect()
}

/// An agent to be asked about a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimKeeper {
    /// Its instance.
    pub id: InstanceId,
    /// Where it listens.
    pub address: Box<str>,
}

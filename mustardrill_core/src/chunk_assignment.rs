//! Assignment of chunks to instances: the primary holder of each chunk in a data centre, and the
//! seeders that fetch it from the origin, computed alike by all instances without coordination.
//!
//! A new version is sent to every instance at once, over links that can carry little more than one
//! copy up and one down in the time available. In each data centre the primary holder of a chunk
//! fetches it from outside and serves it to the other instances there. Every instance is primary
//! holder of the same number of chunks, so that uplinks are loaded evenly: with plain rendezvous
//! hashing the busiest uplink carried 1.3 times the mean, and the last instance finished that much
//! later. Holders are still chosen by hashing and not round robin, so that two instances with
//! different member lists agree on most of them.
//!
//! The origin accepts few connections, which share its bandwidth. In a fleet larger than a limit
//! only some instances, the same number in each data centre, fetch from the origin (seeders), and
//! the primary holders fetch from these. If all instances fetched from the origin, each chunk would
//! be so slow that it times out and is fetched again, and the origin would send several copies.

use std::collections::BTreeMap;

use mustardrill_types::{ChunkIndex, DataCentre, InstanceId, ManifestDigest};

use crate::rendezvous;
use crate::transfer::TransferPeer;

/// The primary holders and seeders of all chunks of one version, seen from one instance.
#[derive(Debug, Default)]
pub struct ChunkAssignment {
    /// The instances of the own data centre.
    local_ids: Vec<InstanceId>,
    /// Index of the own instance in `local_ids`.
    own_index: Option<usize>,
    /// For each chunk, indexes into `local_ids`, the primary holder first.
    local_orders: Vec<Vec<u16>>,
    /// For each chunk, how many data centres come before the own one in fetching it from the
    /// origin.
    centres_before: Vec<u16>,
    centre_count: usize,
    /// The instances that fetch from the origin; empty where every primary holder does.
    seeders: Vec<InstanceId>,
    /// Index of the own instance in `seeders`.
    own_seeder_index: Option<usize>,
    /// For each chunk, indexes into `seeders`, the first to fetch it first.
    seeder_orders: Vec<Vec<u16>>,
}

impl ChunkAssignment {
    /// Assigns `total` chunks to `peers`, which should include `own`.
    ///
    /// Where there are more peers than `max_seeders`, about that many are seeders: the number is
    /// rounded up to the same one in each data centre.
    pub fn new(
        digest: ManifestDigest,
        total: u32,
        peers: &[TransferPeer],
        own: &TransferPeer,
        max_seeders: usize,
    ) -> Self {
        let mut groups: BTreeMap<&DataCentre, Vec<&InstanceId>> = BTreeMap::new();
        for peer in peers {
            groups.entry(&peer.data_centre).or_default().push(&peer.id);
        }
        let seeders = if peers.len() > max_seeders {
            choose_seeders(&digest, &groups, max_seeders)
        } else {
            Vec::new()
        };
        let seeder_names: Vec<&str> = seeders.iter().map(InstanceId::as_str).collect();
        let seeder_orders = balanced_orders(&digest, total, &seeder_names);
        let centre_names: Vec<&str> = groups.keys().map(|name| name.as_str()).collect();
        let own_centre = centre_names.iter().position(|name| *name == own.data_centre.as_str());
        let group = groups.get(&own.data_centre).cloned().unwrap_or_default();
        let local_ids: Vec<InstanceId> = group.into_iter().cloned().collect();
        let local_names: Vec<&str> = local_ids.iter().map(InstanceId::as_str).collect();
        let position_in = |order: &Vec<u16>, index: usize| {
            order.iter().position(|other| usize::from(*other) == index).unwrap_or(0) as u16
        };
        let centre_orders = balanced_orders(&digest, total, &centre_names);
        let centres_before = centre_orders
            .iter()
            .map(|order| own_centre.map_or(0, |centre| position_in(order, centre)))
            .collect();
        Self {
            own_index: local_ids.iter().position(|id| *id == own.id),
            local_orders: balanced_orders(&digest, total, &local_names),
            centres_before,
            centre_count: centre_names.len(),
            own_seeder_index: seeders.iter().position(|id| *id == own.id),
            seeder_orders,
            seeders,
            local_ids,
        }
    }

    /// Returns the primary holder of a chunk in the own data centre.
    pub fn primary_holder(&self, index: ChunkIndex) -> Option<&InstanceId> {
        let order = self.local_orders.get(index.0 as usize)?;
        self.local_ids.get(usize::from(*order.first()?))
    }

    /// Returns the rank of the own instance among the holders of a chunk in its data centre; the
    /// primary holder has rank 0, and `usize::MAX` means that the instance is not among the peers.
    pub fn holder_rank(&self, index: ChunkIndex) -> usize {
        rank_in(&self.local_orders, index, self.own_index)
    }

    /// Returns the rank of the own instance in fetching a chunk from the origin; rank 0 fetches it
    /// first. Instances that are not seeders rank after all seeders.
    pub fn origin_rank(&self, index: ChunkIndex) -> usize {
        if self.own_seeder_index.is_some() {
            return rank_in(&self.seeder_orders, index, self.own_seeder_index);
        }
        let Some(before) = self.centres_before.get(index.0 as usize) else { return usize::MAX };
        let local_rank = self.holder_rank(index);
        let rank = local_rank.saturating_mul(self.centre_count.max(1));
        rank.saturating_add(usize::from(*before)).saturating_add(self.seeders.len())
    }
}

/// The position of `own` in a chunk's order, from zero; `usize::MAX` where it is not in it.
fn rank_in(orders: &[Vec<u16>], index: ChunkIndex, own: Option<usize>) -> usize {
    let (Some(own), Some(order)) = (own, orders.get(index.0 as usize)) else { return usize::MAX };
    order.iter().position(|other| usize::from(*other) == own).unwrap_or(usize::MAX)
}

/// Chooses about `count` instances, the same number in each data centre, rounded up.
fn choose_seeders(
    digest: &ManifestDigest,
    groups: &BTreeMap<&DataCentre, Vec<&InstanceId>>,
    count: usize,
) -> Vec<InstanceId> {
    let share = count.div_ceil(groups.len().max(1));
    let mut seeders = Vec::new();
    for group in groups.values() {
        let ranked = rendezvous::ranked(&digest.0, group, |id| id.as_str());
        seeders.extend(ranked.into_iter().take(share).map(|id| (*id).clone()));
    }
    seeders
}

/// For each chunk, orders the indexes of `names` by their rendezvous weight. The first place goes
/// to the heaviest name that does not yet have first place for its equal share of chunks.
fn balanced_orders(digest: &ManifestDigest, total: u32, names: &[&str]) -> Vec<Vec<u16>> {
    let share = (total as usize).div_ceil(names.len().max(1));
    let mut first_counts = vec![0; names.len()];
    let mut orders = Vec::with_capacity(total as usize);
    for index in 0..total {
        let mut subject = digest.0[..8].to_vec();
        subject.extend_from_slice(&index.to_le_bytes());
        let weights: Vec<u64> =
            names.iter().map(|name| rendezvous::weight(&subject, name)).collect();
        let mut order: Vec<u16> = (0..names.len() as u16).collect();
        order.sort_by_key(|name| std::cmp::Reverse(weights[usize::from(*name)]));
        let first = order.iter().position(|name| first_counts[usize::from(*name)] < share);
        if let Some(first) = first {
            first_counts[usize::from(order[first])] += 1;
            order[..=first].rotate_right(1);
        }
        orders.push(order);
    }
    orders
}

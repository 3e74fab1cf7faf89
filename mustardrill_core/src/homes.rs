//! Which instance of each data centre is the home of a chunk, on which all agree without talking.
//!
//! Load pattern: a new version goes to every instance at once, over links that carry little more
//! than one copy up and one down in the time that there is. Each data centre's home of a chunk
//! draws it from outside and hands it to the others there. Every home has the same number of
//! chunks, so that every uplink has the same to carry: by plain rendezvous hashing the busiest had
//! 1.3 times the mean, and the last instance was done that much later. Who is chosen by hashing,
//! not by counting through, keeps most homes where two instances see different members.
//!
//! The origin takes few connections, and what it sends is shared among those that ask. In a fleet
//! that is larger than a limit only some instances, as many of each data centre, draw from it, and
//! the homes draw from these: where all draw, each chunk is so slow that it is given up and drawn
//! anew, and the origin sends several copies.

use std::collections::BTreeMap;

use mustardrill_types::{ChunkIndex, DataCentre, InstanceId, ManifestDigest};

use crate::rendezvous;
use crate::transfer::TransferPeer;

/// The homes of all chunks of one version.
#[derive(Debug, Default)]
pub struct HomeTable {
    /// The instances of the own data centre.
    near: Vec<InstanceId>,
    /// The place of the own instance among them.
    own: Option<usize>,
    /// For each chunk, the places of the own data centre's instances, its home first.
    orders: Vec<Vec<u16>>,
    /// For each chunk, how many data centres come before the own one in drawing it.
    centres_before: Vec<u16>,
    centre_count: usize,
    /// The instances that draw from the origin; empty where each home does.
    drawers: Vec<InstanceId>,
    /// The place of the own instance among them.
    own_drawer: Option<usize>,
    /// For each chunk, the places of the drawers, the first to draw it first.
    drawer_orders: Vec<Vec<u16>>,
}

impl HomeTable {
    /// The homes of `total` chunks among `peers`, of which `own` should be one and at most about
    /// `drawers` draw from the origin.
    pub fn new(
        digest: ManifestDigest,
        total: u32,
        peers: &[TransferPeer],
        own: &TransferPeer,
        drawers: usize,
    ) -> Self {
        let mut groups: BTreeMap<&DataCentre, Vec<&InstanceId>> = BTreeMap::new();
        for peer in peers {
            groups.entry(&peer.data_centre).or_default().push(&peer.id);
        }
        let drawers = if peers.len() > drawers {
            choose_drawers(&digest, &groups, drawers)
        } else {
            Vec::new()
        };
        let drawer_names: Vec<&str> = drawers.iter().map(InstanceId::as_str).collect();
        let drawer_orders = balanced_orders(&digest, total, &drawer_names);
        let names: Vec<&str> = groups.keys().map(|name| name.as_str()).collect();
        let centre = names.iter().position(|name| *name == own.data_centre.as_str());
        let group = groups.get(&own.data_centre).cloned().unwrap_or_default();
        let near: Vec<InstanceId> = group.into_iter().cloned().collect();
        let ids: Vec<&str> = near.iter().map(InstanceId::as_str).collect();
        let place_in = |order: &Vec<u16>, place: usize| {
            order.iter().position(|other| usize::from(*other) == place).unwrap_or(0) as u16
        };
        let centre_orders = balanced_orders(&digest, total, &names);
        let centres_before = centre_orders
            .iter()
            .map(|order| centre.map_or(0, |centre| place_in(order, centre)))
            .collect();
        Self {
            own: near.iter().position(|id| *id == own.id),
            orders: balanced_orders(&digest, total, &ids),
            centres_before,
            centre_count: names.len(),
            own_drawer: drawers.iter().position(|id| *id == own.id),
            drawer_orders,
            drawers,
            near,
        }
    }

    /// The home of a chunk in the own data centre.
    pub fn near_home(&self, index: ChunkIndex) -> Option<&InstanceId> {
        let order = self.orders.get(index.0 as usize)?;
        self.near.get(usize::from(*order.first()?))
    }

    /// How many of the own data centre come before the own instance as home of a chunk.
    pub fn near_rank(&self, index: ChunkIndex) -> usize {
        rank_in(&self.orders, index, self.own)
    }

    /// How many instances come before the own one in drawing a chunk from the origin.
    pub fn origin_rank(&self, index: ChunkIndex) -> usize {
        if self.own_drawer.is_some() {
            return rank_in(&self.drawer_orders, index, self.own_drawer);
        }
        let Some(before) = self.centres_before.get(index.0 as usize) else { return usize::MAX };
        let near = self.near_rank(index);
        let place = near.saturating_mul(self.centre_count.max(1));
        place.saturating_add(usize::from(*before)).saturating_add(self.drawers.len())
    }
}

/// The place of `own` in a chunk's order, from zero; past all where it is not in it.
fn rank_in(orders: &[Vec<u16>], index: ChunkIndex, own: Option<usize>) -> usize {
    let (Some(own), Some(order)) = (own, orders.get(index.0 as usize)) else { return usize::MAX };
    order.iter().position(|place| usize::from(*place) == own).unwrap_or(usize::MAX)
}

/// About `count` instances, as many of each data centre.
fn choose_drawers(
    digest: &ManifestDigest,
    groups: &BTreeMap<&DataCentre, Vec<&InstanceId>>,
    count: usize,
) -> Vec<InstanceId> {
    let share = count.div_ceil(groups.len().max(1));
    let mut drawers = Vec::new();
    for group in groups.values() {
        let ranked = rendezvous::ranked(&digest.0, group, |id| id.as_str());
        drawers.extend(ranked.into_iter().take(share).map(|id| (*id).clone()));
    }
    drawers
}

/// For each chunk the places of `names`, in the order of their weight; first goes the heaviest
/// that is not yet the first of its full share of chunks.
fn balanced_orders(digest: &ManifestDigest, total: u32, names: &[&str]) -> Vec<Vec<u16>> {
    let share = (total as usize).div_ceil(names.len().max(1));
    let mut taken = vec![0; names.len()];
    let mut orders = Vec::with_capacity(total as usize);
    for index in 0..total {
        let mut subject = digest.0[..8].to_vec();
        subject.extend_from_slice(&index.to_le_bytes());
        let weights: Vec<u64> =
            names.iter().map(|name| rendezvous::weight(&subject, name)).collect();
        let mut order: Vec<u16> = (0..names.len() as u16).collect();
        order.sort_by_key(|place| std::cmp::Reverse(weights[usize::from(*place)]));
        let open = order.iter().position(|place| taken[usize::from(*place)] < share);
        if let Some(open) = open {
            taken[usize::from(order[open])] += 1;
            order[..=open].rotate_right(1);
        }
        orders.push(order);
    }
    orders
}

//! Which instance of each data centre is the home of a chunk, on which all agree without talking.
//!
//! Load pattern: a new version goes to every instance at once, over links that carry little more
//! than one copy up and one down in the time that there is. Each data centre's home of a chunk
//! draws it from outside and hands it to the others there. The homes go round, so that every
//! uplink has the same to carry: with homes by hash the busiest had 1.3 times the mean, and the
//! last instance was done that much later.

use std::collections::BTreeMap;

use mustardrill_types::{ChunkIndex, DataCentre, InstanceId, ManifestDigest};

use crate::rendezvous;
use crate::transfer::TransferPeer;

/// This many chunks in a row are drawn from the origin by the same data centre. It has no common
/// divisor with most sizes of data centres, so that all homes of one get their turn.
const CHUNKS_IN_A_ROW: usize = 4;

/// The homes of all chunks of one version.
#[derive(Debug, Default)]
pub struct HomeTable {
    /// The instances of each data centre, in an order that is the version's own.
    centres: Vec<Vec<InstanceId>>,
    /// The place of the own data centre and of the own instance in it.
    own: Option<(usize, usize)>,
}

impl HomeTable {
    /// The homes among `peers`, of which `own` should be one.
    pub fn new(digest: ManifestDigest, peers: &[TransferPeer], own: &InstanceId) -> Self {
        let mut groups: BTreeMap<&DataCentre, Vec<&TransferPeer>> = BTreeMap::new();
        for peer in peers {
            groups.entry(&peer.data_centre).or_default().push(peer);
        }
        let ranked = groups.into_values().map(|group| {
            let ranked = rendezvous::ranked(&digest.0, &group, |peer| peer.id.as_str());
            ranked.into_iter().map(|peer| peer.id.clone()).collect::<Vec<_>>()
        });
        let centres: Vec<_> = ranked.collect();
        let place = |ids: &Vec<InstanceId>| ids.iter().position(|id| id == own);
        let own = centres.iter().enumerate().find_map(|(at, ids)| Some((at, place(ids)?)));
        Self { centres, own }
    }

    /// The home of a chunk in the own data centre.
    pub fn near_home(&self, index: ChunkIndex) -> Option<&InstanceId> {
        let ids = &self.centres[self.own?.0];
        ids.get(index.0 as usize % ids.len())
    }

    /// How many of the own data centre come before the own instance as home of a chunk.
    pub fn near_rank(&self, index: ChunkIndex) -> usize {
        let Some((centre, place)) = self.own else { return usize::MAX };
        let count = self.centres[centre].len();
        (place + count - index.0 as usize % count) % count
    }

    /// How many instances come before the own one in drawing a chunk from the origin.
    pub fn origin_rank(&self, index: ChunkIndex) -> usize {
        let Some((centre, _)) = self.own else { return usize::MAX };
        let count = self.centres.len();
        let turn = index.0 as usize / CHUNKS_IN_A_ROW % count;
        let centres_before = (centre + count - turn) % count;
        self.near_rank(index) * count + centres_before
    }
}

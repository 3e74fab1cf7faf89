//! The partners of a transfer, the peers that an instance exchanges chunks with: which chunks each
//! holds, its load, and backoff after failures or corrupt chunks.

use mustardrill_types::{ChunkIndex, FastMap, InstanceId, Millis, Moment};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::manifest::ChunkBitmap;

/// Backoff for a partner that sent too many corrupt chunks.
const CORRUPT_BACKOFF: Millis = Millis(60_000);

/// Backoff for a partner that failed or stalled.
const FAILURE_BACKOFF: Millis = Millis(1_000);

/// Concurrent fetches from one partner.
const MAX_FETCHES_PER_PARTNER: u32 = 2;

/// The partners of one transfer, and the number of partners that hold each chunk.
#[derive(Debug)]
pub struct PartnerTable {
    partners: FastMap<InstanceId, PartnerState>,
    copies: Vec<u16>,
}

#[derive(Debug)]
struct PartnerState {
    bitmap: ChunkBitmap,
    /// Whether it is in the own data centre.
    is_local: bool,
    /// Queue length that the partner reported.
    queue: u32,
    /// Fetches by this instance in progress.
    fetches: u32,
    corrupt_chunks: u32,
    backoff_until: Moment,
    reported_at: Option<Moment>,
}

impl PartnerTable {
    /// Creates a table without partners for a version of `total` chunks.
    pub fn new(total: u32) -> Self {
        Self { partners: FastMap::default(), copies: vec![0; total as usize] }
    }

    /// Replaces the partners by `chosen`, each with whether it is in the own data centre. Partners
    /// that stay keep their state; returns the ids of those that were removed.
    pub fn set_partners(&mut self, chosen: FastMap<InstanceId, bool>) -> Vec<InstanceId> {
        let removed: Vec<_> =
            self.partners.keys().filter(|id| !chosen.contains_key(*id)).cloned().collect();
        removed.iter().for_each(|id| self.remove_partner(id));
        let total = self.copies.len() as u32;
        for (id, is_local) in chosen {
            self.partners.entry(id).or_insert_with(|| PartnerState::new(is_local, total));
        }
        removed
    }

    fn remove_partner(&mut self, id: &InstanceId) {
        let Some(partner) = self.partners.remove(id) else { return };
        for index in partner.bitmap.held() {
            self.copies[index.0 as usize] -= 1;
        }
    }

    /// Stores a partner's report of the chunks that it holds and the length of its queue; returns
    /// the chunks that it newly holds.
    ///
    /// Reports of a partner in backoff that has sent corrupt chunks are ignored.
    pub fn record_holdings(
        &mut self,
        now: Moment,
        id: &InstanceId,
        bitmap: ChunkBitmap,
        queue: u32,
    ) -> Vec<ChunkIndex> {
        let Some(partner) = self.partners.get_mut(id) else { return Vec::new() };
        if partner.corrupt_chunks > 0 && partner.backoff_until > now {
            return Vec::new();
        }
        let added = partner.bitmap.added_in(&bitmap);
        added.iter().for_each(|index| self.copies[index.0 as usize] += 1);
        for index in bitmap.added_in(&partner.bitmap) {
            self.copies[index.0 as usize] -= 1;
        }
        partner.bitmap = bitmap;
        partner.queue = queue;
        partner.reported_at = Some(now);
        added
    }

    /// Records that a partner holds a chunk, as another partner reported.
    pub fn record_hint(&mut self, id: &InstanceId, index: ChunkIndex) {
        let Some(partner) = self.partners.get_mut(id) else { return };
        if partner.bitmap.insert(index) {
            self.copies[index.0 as usize] += 1;
        }
    }

    /// Records that a partner does not hold a chunk, contrary to what was known.
    pub fn retract(&mut self, id: &InstanceId, index: ChunkIndex) {
        let Some(partner) = self.partners.get_mut(id) else { return };
        if partner.bitmap.remove(index) {
            self.copies[index.0 as usize] -= 1;
        }
    }

    /// Number of partners that hold the chunk.
    pub fn copies(&self, index: ChunkIndex) -> u16 {
        self.copies[index.0 as usize]
    }

    /// Counts a fetch from the partner as in progress.
    pub fn record_fetch_start(&mut self, id: &InstanceId) {
        if let Some(partner) = self.partners.get_mut(id) {
            partner.fetches += 1;
        }
    }

    /// Counts a fetch from the partner as ended.
    pub fn record_fetch_end(&mut self, id: &InstanceId) {
        if let Some(partner) = self.partners.get_mut(id) {
            partner.fetches = partner.fetches.saturating_sub(1);
        }
    }

    /// Counts a corrupt chunk that the partner sent; from `limit` of them on each starts a backoff
    /// of 60 s.
    pub fn record_corrupt_chunk(&mut self, now: Moment, id: &InstanceId, limit: u32) {
        let Some(partner) = self.partners.get_mut(id) else { return };
        partner.corrupt_chunks += 1;
        if partner.corrupt_chunks >= limit {
            self.back_off(now, id, CORRUPT_BACKOFF);
            self.clear_holdings(id);
        }
    }

    /// Records a failure of a partner, which starts a backoff of 1 s.
    pub fn record_failure(&mut self, now: Moment, id: &InstanceId) {
        self.back_off(now, id, FAILURE_BACKOFF);
        self.clear_holdings(id);
    }

    /// Treats a partner as holding no chunks, so that chunks which only it holds are fetched
    /// elsewhere. When the partner responds again, it reports anew what it holds.
    fn clear_holdings(&mut self, id: &InstanceId) {
        let Some(partner) = self.partners.get_mut(id) else { return };
        let empty = ChunkBitmap::empty(self.copies.len() as u32);
        let cleared = std::mem::replace(&mut partner.bitmap, empty);
        for index in cleared.held() {
            self.copies[index.0 as usize] -= 1;
        }
    }

    /// Starts or extends the backoff of a partner; a backoff is never shortened.
    pub fn back_off(&mut self, now: Moment, id: &InstanceId, span: Millis) {
        if let Some(partner) = self.partners.get_mut(id) {
            partner.backoff_until = partner.backoff_until.max(now + span);
        }
    }

    /// Whether a partner holds the chunk and a fetch from it may start now.
    pub fn is_usable(&self, now: Moment, id: &InstanceId, index: ChunkIndex) -> bool {
        self.partners.get(id).is_some_and(|partner| partner.is_usable(now, index))
    }

    /// Returns the least loaded usable partner that holds the chunk. Between equally loaded ones,
    /// those in the own data centre are preferred; where `may_be_remote` is false, only
    /// these are considered.
    pub fn best_holder(
        &self,
        now: Moment,
        index: ChunkIndex,
        may_be_remote: bool,
        random: &mut SmallRng,
    ) -> Option<InstanceId> {
        let mut best: Option<(u64, u32, &InstanceId)> = None;
        let usable = |partner: &PartnerState| {
            partner.is_usable(now, index) && (may_be_remote || partner.is_local)
        };
        for (id, partner) in self.partners.iter().filter(|(_, it)| usable(it)) {
            let load = u64::from(partner.queue) + u64::from(partner.fetches);
            let load = load * 2 + u64::from(!partner.is_local);
            let tie = random.random::<u32>();
            if best.is_none_or(|(least, other, _)| (load, tie) < (least, other)) {
                best = Some((load, tie, id));
            }
        }
        best.map(|(_, _, id)| id.clone())
    }

    /// Returns up to `limit` partners that hold the chunk, in arbitrary order.
    pub fn holders(&self, index: ChunkIndex, limit: usize) -> Vec<InstanceId> {
        let holding = self.partners.iter().filter(|(_, partner)| partner.bitmap.contains(index));
        holding.map(|(id, _)| id.clone()).take(limit).collect()
    }

    /// Returns the partners without a report for `age` that are not in backoff.
    pub fn stale_partners(&self, now: Moment, age: Millis) -> Vec<InstanceId> {
        let is_stale = |partner: &PartnerState| {
            partner.reported_at.is_none_or(|at| now.since(at) >= age)
                && partner.backoff_until <= now
        };
        let stale = self.partners.iter().filter(|(_, partner)| is_stale(partner));
        stale.map(|(id, _)| id.clone()).collect()
    }

    /// Iterates over the partners' ids in arbitrary order.
    pub fn ids(&self) -> impl Iterator<Item = &InstanceId> {
        self.partners.keys()
    }
}

impl PartnerState {
    fn new(is_local: bool, total: u32) -> Self {
        Self {
            bitmap: ChunkBitmap::empty(total),
            is_local,
            queue: 0,
            fetches: 0,
            corrupt_chunks: 0,
            backoff_until: Moment(0),
            reported_at: None,
        }
    }

    fn is_usable(&self, now: Moment, index: ChunkIndex) -> bool {
        self.bitmap.contains(index)
            && self.backoff_until <= now
            && self.fetches < MAX_FETCHES_PER_PARTNER
    }
}

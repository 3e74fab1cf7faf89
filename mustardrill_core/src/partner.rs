//! The partners of a transfer: what each holds, how busy it is, and how far it is trusted.

use mustardrill_types::{ChunkIndex, FastMap, InstanceId, Millis, Moment};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::manifest::ChunkBitmap;

/// How long a peer that sent too many corrupt chunks is avoided.
const AVOID_CORRUPT: Millis = Millis(60_000);

/// How long a peer that failed or stalled is avoided.
const AVOID_FAILED: Millis = Millis(1_000);

/// How many draws one partner gets from this instance at once.
const FLIGHTS_PER_PARTNER: u32 = 2;

/// The partners of one transfer, and how many of them hold each chunk.
#[derive(Debug)]
pub struct PartnerTable {
    partners: FastMap<InstanceId, PartnerState>,
    copies: Vec<u16>,
}

#[derive(Debug)]
struct PartnerState {
    bitmap: ChunkBitmap,
    near: bool,
    queue: u32,
    flights: u32,
    corrupt: u32,
    avoid_until: Moment,
    heard: Option<Moment>,
}

impl PartnerTable {
    /// A table without partners for a version of `total` chunks.
    pub fn new(total: u32) -> Self {
        Self { partners: FastMap::default(), copies: vec![0; total as usize] }
    }

    /// Takes the chosen partners, each with whether it is near; forgets all others.
    pub fn choose(&mut self, chosen: FastMap<InstanceId, bool>) -> Vec<InstanceId> {
        let gone: Vec<_> =
            self.partners.keys().filter(|id| !chosen.contains_key(*id)).cloned().collect();
        gone.iter().for_each(|id| self.forget(id));
        let total = self.copies.len() as u32;
        for (id, near) in chosen {
            self.partners.entry(id).or_insert_with(|| PartnerState::new(near, total));
        }
        gone
    }

    /// Forgets one partner and what it held.
    fn forget(&mut self, id: &InstanceId) {
        let Some(partner) = self.partners.remove(id) else { return };
        for index in partner.bitmap.held() {
            self.copies[index.0 as usize] -= 1;
        }
    }

    /// Takes a partner's word on what it holds; says which chunks it newly holds.
    pub fn heard(
        &mut self,
        now: Moment,
        id: &InstanceId,
        bitmap: ChunkBitmap,
        queue: u32,
    ) -> Vec<ChunkIndex> {
        let Some(partner) = self.partners.get_mut(id) else { return Vec::new() };
        if partner.corrupt > 0 && partner.avoid_until > now {
            return Vec::new();
        }
        let added = partner.bitmap.added_in(&bitmap);
        added.iter().for_each(|index| self.copies[index.0 as usize] += 1);
        for index in bitmap.added_in(&partner.bitmap) {
            self.copies[index.0 as usize] -= 1;
        }
        partner.bitmap = bitmap;
        partner.queue = queue;
        partner.heard = Some(now);
        added
    }

    /// Notes that a partner holds a chunk, on another's word.
    pub fn hint(&mut self, id: &InstanceId, index: ChunkIndex) {
        let Some(partner) = self.partners.get_mut(id) else { return };
        if partner.bitmap.insert(index) {
            self.copies[index.0 as usize] += 1;
        }
    }

    /// Notes that a partner lacks a chunk that it was believed to hold.
    pub fn retract(&mut self, id: &InstanceId, index: ChunkIndex) {
        let Some(partner) = self.partners.get_mut(id) else { return };
        if partner.bitmap.remove(index) {
            self.copies[index.0 as usize] -= 1;
        }
    }

    /// How many partners hold the chunk.
    pub fn copies(&self, index: ChunkIndex) -> u16 {
        self.copies[index.0 as usize]
    }

    /// Notes that a draw from the partner began.
    pub fn began(&mut self, id: &InstanceId) {
        if let Some(partner) = self.partners.get_mut(id) {
            partner.flights += 1;
        }
    }

    /// Notes that a draw from the partner ended.
    pub fn ended(&mut self, id: &InstanceId) {
        if let Some(partner) = self.partners.get_mut(id) {
            partner.flights = partner.flights.saturating_sub(1);
        }
    }

    /// Counts a corrupt chunk against the partner and avoids it from the limit on.
    pub fn blame(&mut self, now: Moment, id: &InstanceId, limit: u32) {
        let Some(partner) = self.partners.get_mut(id) else { return };
        partner.corrupt += 1;
        if partner.corrupt >= limit {
            self.rest(now, id, AVOID_CORRUPT);
            self.disbelieve(id);
        }
    }

    /// Avoids a partner that failed for a while.
    pub fn shun(&mut self, now: Moment, id: &InstanceId) {
        self.rest(now, id, AVOID_FAILED);
        self.disbelieve(id);
    }

    /// Counts a partner as holding nothing, so that what only it holds is drawn elsewhere. A
    /// partner that answers again says anew what it holds.
    fn disbelieve(&mut self, id: &InstanceId) {
        let Some(partner) = self.partners.get_mut(id) else { return };
        let empty = ChunkBitmap::empty(self.copies.len() as u32);
        let believed = std::mem::replace(&mut partner.bitmap, empty);
        for index in believed.held() {
            self.copies[index.0 as usize] -= 1;
        }
    }

    /// Leaves a partner alone for `span`.
    pub fn rest(&mut self, now: Moment, id: &InstanceId, span: Millis) {
        if let Some(partner) = self.partners.get_mut(id) {
            partner.avoid_until = partner.avoid_until.max(now + span);
        }
    }

    /// Whether a partner holds the chunk and may be asked for it now.
    pub fn is_usable(&self, now: Moment, id: &InstanceId, index: ChunkIndex) -> bool {
        self.partners.get(id).is_some_and(|partner| partner.is_usable(now, index))
    }

    /// The least loaded usable partner that holds the chunk; near ones go first between equals,
    /// and only they are asked where `far` is false.
    pub fn best_holder(
        &self,
        now: Moment,
        index: ChunkIndex,
        far: bool,
        random: &mut SmallRng,
    ) -> Option<InstanceId> {
        let mut best: Option<(u32, u32, &InstanceId)> = None;
        let usable =
            |partner: &PartnerState| partner.is_usable(now, index) && (far || partner.near);
        for (id, partner) in self.partners.iter().filter(|(_, it)| usable(it)) {
            let load = (partner.queue + partner.flights) * 2 + u32::from(!partner.near);
            let tie = random.random::<u32>();
            if best.is_none_or(|(least, other, _)| (load, tie) < (least, other)) {
                best = Some((load, tie, id));
            }
        }
        best.map(|(_, _, id)| id.clone())
    }

    /// Up to `limit` partners that hold the chunk.
    pub fn holders(&self, index: ChunkIndex, limit: usize) -> Vec<InstanceId> {
        let holding = self.partners.iter().filter(|(_, partner)| partner.bitmap.contains(index));
        holding.map(|(id, _)| id.clone()).take(limit).collect()
    }

    /// The partners not heard of for `age`.
    pub fn stale(&self, now: Moment, age: Millis) -> Vec<InstanceId> {
        let is_stale = |partner: &PartnerState| {
            partner.heard.is_none_or(|heard| now.since(heard) >= age) && partner.avoid_until <= now
        };
        let stale = self.partners.iter().filter(|(_, partner)| is_stale(partner));
        stale.map(|(id, _)| id.clone()).collect()
    }

    /// The partners' names, in no order.
    pub fn ids(&self) -> impl Iterator<Item = &InstanceId> {
        self.partners.keys()
    }
}

impl PartnerState {
    fn new(near: bool, total: u32) -> Self {
        Self {
            bitmap: ChunkBitmap::empty(total),
            near,
            queue: 0,
            flights: 0,
            corrupt: 0,
            avoid_until: Moment(0),
            heard: None,
        }
    }

    fn is_usable(&self, now: Moment, index: ChunkIndex) -> bool {
        self.bitmap.contains(index) && self.avoid_until <= now && self.flights < FLIGHTS_PER_PARTNER
    }
}

//! The plan by which one instance draws a version's chunks: which, from whom, and when.
//!
//! A few drawers, agreed by rendezvous hashing, draw each chunk from the origin; everybody else
//! draws from peers, rarest first (the idea is `BitTorrent`'s). Nothing here does I/O.

mod chunk_selection;
mod data;
mod missing;
mod relay_fetch;

use std::sync::Arc;

use mustardrill_types::{ChunkIndex, FastMap, InstanceId, ManifestDigest, Millis, Moment};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::chunk_assignment::ChunkAssignment;
use crate::manifest::{ChunkBitmap, Manifest};
use crate::partner::PartnerTable;
use crate::relays::RelayTable;
use crate::rendezvous;
pub use crate::transfer::data::{
    ChunkDraw, ChunkSource, DrawOutcome, TransferCounts, TransferPeer, TransferSettings,
};
use crate::transfer::missing::MissingSet;
use crate::transfer::relay_fetch::RelayDuty;

/// The state of one version's transfer at one instance.
#[derive(Debug)]
pub struct TransferPlan {
    own: TransferPeer,
    digest: ManifestDigest,
    manifest: Arc<Manifest>,
    settings: TransferSettings,
    held: ChunkBitmap,
    missing: MissingSet,
    seen: ChunkBitmap,
    /// When each chunk was first seen at anybody's.
    seen_at: Vec<Moment>,
    partners: PartnerTable,
    drawers: Vec<InstanceId>,
    successors: Vec<InstanceId>,
    homes: ChunkAssignment,
    relays: RelayTable,
    own_draws: Vec<ChunkIndex>,
    flights: FastMap<ChunkIndex, Flight>,
    pace: Millis,
    novelty: Moment,
    origin_rest: Moment,
    /// Entries are asked for nothing until then.
    relay_rest: Moment,
    started: Moment,
    random: SmallRng,
    counts: TransferCounts,
}

#[derive(Debug)]
struct Flight {
    source: ChunkSource,
    started: Moment,
}

impl TransferPlan {
    /// A plan to draw `manifest`, of which nothing is held yet. `seed` decides between equals.
    pub fn new(
        now: Moment,
        own: TransferPeer,
        manifest: Arc<Manifest>,
        settings: TransferSettings,
        seed: u64,
    ) -> Self {
        let total = manifest.chunk_count();
        Self {
            own,
            digest: manifest.digest(),
            held: ChunkBitmap::empty(total),
            missing: MissingSet::full(total),
            seen: ChunkBitmap::empty(total),
            seen_at: vec![Moment(0); total as usize],
            partners: PartnerTable::new(total),
            drawers: Vec::new(),
            successors: Vec::new(),
            homes: ChunkAssignment::default(),
            relays: RelayTable::default(),
            own_draws: Vec::new(),
            flights: FastMap::default(),
            pace: Millis(settings.chunk_patience.0 / PATIENCE_PACES),
            novelty: now,
            origin_rest: now,
            relay_rest: now,
            started: now,
            random: SmallRng::seed_from_u64(seed),
            counts: TransferCounts::default(),
            manifest,
            settings,
        }
    }

    /// The manifest that is drawn.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// What is held and verified.
    pub fn held(&self) -> &ChunkBitmap {
        &self.held
    }

    /// What the transfer has cost so far.
    pub fn counts(&self) -> TransferCounts {
        self.counts
    }

    /// The partners whose holdings are followed.
    pub fn partners(&self) -> &PartnerTable {
        &self.partners
    }

    /// Whether every chunk is held and verified.
    pub fn is_complete(&self) -> bool {
        self.missing.chunks.is_empty()
    }

    /// Takes the live instances that want the version, this one included, and chooses partners
    /// and drawers among them.
    pub fn set_peers(&mut self, peers: &[TransferPeer]) {
        let (total, drawers) = (self.manifest.chunk_count(), self.settings.drawers);
        self.homes = ChunkAssignment::new(self.digest, total, peers, &self.own, drawers);
        self.choose_drawers(peers);
        let chosen = self.choose_partners(peers);
        for id in self.partners.set_partners(chosen) {
            self.drop_flights(&id);
        }
    }

    /// Notes that a chunk was found whole beside the upstream, from an earlier transfer.
    pub fn found(&mut self, now: Moment, index: ChunkIndex) {
        if self.held.insert(index) {
            self.missing.remove(index);
        }
        self.note_seen(now, index);
    }

    /// Notes that a held chunk has turned bad, so that it is drawn anew.
    pub fn lost(&mut self, index: ChunkIndex) {
        if self.held.remove(index) {
            self.missing.add(index);
        }
    }

    /// Takes a partner's word on what it holds and how many uploads it has queued.
    pub fn heard(&mut self, now: Moment, id: &InstanceId, bitmap: ChunkBitmap, queue: u32) {
        for index in self.partners.record_holding(now, id, bitmap, queue) {
            self.note_seen(now, index);
        }
    }

    /// Takes what came of a draw; says whether the draw was still awaited.
    pub fn finished(
        &mut self,
        now: Moment,
        index: ChunkIndex,
        source: &ChunkSource,
        outcome: &DrawOutcome,
    ) -> bool {
        let awaited = self.flights.get(&index).is_some_and(|flight| flight.source == *source);
        let flight = if awaited { self.flights.remove(&index) } else { None };
        if let (ChunkSource::Peer(id), true) = (source, awaited) {
            self.partners.record_fetch_end(id);
        }
        match source {
            _ if *outcome == DrawOutcome::Verified => self.keep(now, index, source, flight),
            ChunkSource::Origin => self.origin_failed(now, outcome),
            ChunkSource::Relay(id) => self.relay_failed(now, id, outcome),
            ChunkSource::Peer(id) => self.peer_failed(now, index, id, outcome),
        }
        awaited
    }

    /// Gives up overdue draws and returns them, so that their I/O can be cancelled.
    pub fn overdue(&mut self, now: Moment) -> Vec<(ChunkIndex, ChunkSource)> {
        let late: Vec<_> = self
            .flights
            .iter()
            .filter(|(_, flight)| now.since(flight.started) > self.patience(&flight.source))
            .map(|(index, flight)| (*index, flight.source.clone()))
            .collect();
        for (index, source) in &late {
            self.finished(now, *index, source, &DrawOutcome::Failed);
        }
        late
    }

    /// The draws to start now.
    pub fn next_draws(&mut self, now: Moment) -> Vec<ChunkDraw> {
        let mut draws = Vec::new();
        let duty = self.relay_duty(now);
        if duty == RelayDuty::None {
            while self.origin_flights() < self.settings.origin_window {
                let Some(index) = self.next_origin_chunk(now) else { break };
                draws.push(self.start(now, index, ChunkSource::Origin));
            }
        }
        while duty != RelayDuty::All && self.peer_flights() < self.settings.window {
            let Some((index, id)) = self.next_peer_chunk(now) else { break };
            draws.push(self.start(now, index, ChunkSource::Peer(id)));
        }
        while self.relay_flights() < self.relay_window() {
            let Some((index, id)) = self.next_relay_chunk(now, duty) else { break };
            draws.push(self.start(now, index, ChunkSource::Relay(id)));
        }
        draws
    }

    /// Leaves a partner that did not answer alone for a while.
    pub fn shun(&mut self, now: Moment, id: &InstanceId) {
        self.partners.record_failure(now, id);
    }

    fn choose_drawers(&mut self, peers: &[TransferPeer]) {
        let ranked = rendezvous::ranked(&self.digest.0, peers, |peer| peer.id.as_str());
        let ids: Vec<InstanceId> = ranked.into_iter().map(|peer| peer.id.clone()).collect();
        if ids == self.successors {
            return;
        }
        let count = self.settings.drawers.max(self.settings.origin_copies).min(ids.len());
        self.drawers = ids[..count].to_vec();
        self.successors = ids;
        let copies = self.settings.origin_copies;
        let is_own = |index: &ChunkIndex| {
            if self.settings.homes {
                return self.homes.origin_rank(*index) < copies;
            }
            rank_of(&self.drawers, &self.own.id, *index) < copies
        };
        self.own_draws = (0..self.manifest.chunk_count()).map(ChunkIndex).filter(is_own).collect();
    }

    fn choose_partners(&self, peers: &[TransferPeer]) -> FastMap<InstanceId, bool> {
        let own = self.own.id.as_str().as_bytes();
        let others: Vec<_> = peers.iter().filter(|peer| peer.id != self.own.id).cloned().collect();
        let ranked = rendezvous::ranked(own, &others, |peer| peer.id.as_str());
        let limit = self.settings.partners;
        let is_near = |peer: &TransferPeer| peer.data_centre == self.own.data_centre;
        let near = ranked.iter().filter(|peer| is_near(peer)).take(limit.div_ceil(2));
        let mut chosen: FastMap<_, _> = near.map(|peer| (peer.id.clone(), true)).collect();
        for peer in ranked {
            if chosen.len() >= limit {
                break;
            }
            chosen.entry(peer.id.clone()).or_insert_with(|| is_near(peer));
        }
        chosen
    }

    fn note_seen(&mut self, now: Moment, index: ChunkIndex) {
        if self.seen.insert(index) {
            self.novelty = now;
            self.seen_at[index.0 as usize] = now;
        }
    }

    fn keep(
        &mut self,
        now: Moment,
        index: ChunkIndex,
        source: &ChunkSource,
        flight: Option<Flight>,
    ) {
        let (start, end) = self.manifest.range(index);
        match source {
            ChunkSource::Origin => self.counts.origin_bytes += end - start,
            ChunkSource::Relay(_) => self.counts.relay_bytes += end - start,
            ChunkSource::Peer(_) => self.counts.peer_bytes += end - start,
        }
        if let Some(flight) = flight {
            let took = now.since(flight.started).0;
            self.pace = Millis((self.pace.0 * 7 + took) / 8);
        }
        if self.held.insert(index) {
            self.missing.remove(index);
        }
        self.note_seen(now, index);
    }

    fn origin_failed(&mut self, now: Moment, outcome: &DrawOutcome) {
        const ORIGIN_REST: Millis = Millis(500);
        if *outcome == DrawOutcome::Corrupt {
            self.counts.corrupt_chunks += 1;
            self.counts.corrupt_from_origin += 1;
        }
        self.origin_rest = now + ORIGIN_REST;
    }

    fn peer_failed(
        &mut self,
        now: Moment,
        index: ChunkIndex,
        id: &InstanceId,
        outcome: &DrawOutcome,
    ) {
        match outcome {
            DrawOutcome::Corrupt => {
                self.counts.corrupt_chunks += 1;
                self.partners.record_corrupt_chunk(now, id, self.settings.corrupt_limit);
                self.partners.retract(id, index);
            }
            DrawOutcome::Busy(others) => {
                self.partners.back_off(now, id, self.busy_rest());
                for other in others {
                    self.partners.record_hint(other, index);
                    self.note_seen(now, index);
                }
            }
            DrawOutcome::Missing => self.partners.retract(id, index),
            DrawOutcome::Failed | DrawOutcome::Verified => self.partners.record_failure(now, id),
        }
    }

    /// How long a busy partner is left alone: about until a chunk has left its link.
    fn busy_rest(&self) -> Millis {
        let pace = self.settings.origin_pace;
        if self.settings.homes && pace > 0.0 {
            return Millis((pace * BUSY_PACES) as u64 + 1);
        }
        Millis(self.pace.0 / 2 + 1)
    }

    fn start(&mut self, now: Moment, index: ChunkIndex, source: ChunkSource) -> ChunkDraw {
        if let ChunkSource::Peer(id) = &source {
            self.partners.record_fetch_start(id);
        }
        self.flights.insert(index, Flight { source: source.clone(), started: now });
        let patience = self.patience(&source);
        ChunkDraw { index, source, patience }
    }

    fn drop_flights(&mut self, id: &InstanceId) {
        let gone = ChunkSource::Peer(id.clone());
        self.flights.retain(|_, flight| flight.source != gone);
    }

    /// How long a draw may take. The origin shares its link among all that draw: a chunk that is
    /// given up there was sent in vain, which makes all others slower still.
    fn patience(&self, source: &ChunkSource) -> Millis {
        let usual = self.settings.chunk_patience.0.max(self.pace.0 * PATIENCE_PACES);
        if *source == ChunkSource::Origin {
            let shared = self.settings.origin_pace * self.settings.drawers as f64;
            return Millis(usual.max((shared * ORIGIN_PACES) as u64).min(LONGEST_PATIENCE.0));
        }
        Millis(usual)
    }

    /// How many chunks are held that others draw from here first: those that this instance is the
    /// home of, or draws from the origin.
    pub fn awaited_here(&self) -> usize {
        let is_awaited = |index: &ChunkIndex| {
            self.homes.holder_rank(*index) == 0 || self.homes.origin_rank(*index) == 0
        };
        self.held.held().into_iter().filter(is_awaited).count()
    }

    /// The draws under way, so that their I/O can be cancelled when the plan is given up.
    pub fn flights(&self) -> Vec<(ChunkIndex, ChunkSource)> {
        let flights = self.flights.iter();
        flights.map(|(index, flight)| (*index, flight.source.clone())).collect()
    }
}

/// A busy partner is left alone for this many times that a link takes for a chunk; longer leaves links
/// idle between two chunks.
const BUSY_PACES: f64 = 0.6;

/// A chunk of the origin is given this many times what it takes while all drawers draw at once.
const ORIGIN_PACES: f64 = 2.0;

/// The longest that a chunk of the origin is waited for: what is silent for so long is lost.
const LONGEST_PATIENCE: Millis = Millis(4_000);

/// A chunk is given this many times the usual time of a chunk.
const PATIENCE_PACES: u64 = 8;

/// The place of `own` among `names` for a chunk, from zero; past the end where it is not there.
fn rank_of(names: &[InstanceId], own: &InstanceId, index: ChunkIndex) -> usize {
    if !names.contains(own) {
        return usize::MAX;
    }
    let subject = index.0.to_le_bytes();
    let mine = rendezvous::weight(&subject, own.as_str());
    names.iter().filter(|id| rendezvous::weight(&subject, id.as_str()) > mine).count()
}

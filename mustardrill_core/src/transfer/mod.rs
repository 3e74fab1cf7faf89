//! Plans how one instance fetches the chunks of a version: which ones, from where, and when.
//!
//! A few seeders, agreed on by rendezvous hashing, fetch each chunk from the origin; all other
//! instances fetch from peers, rarest chunk first, as in `BitTorrent`. Nothing here does I/O.

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
    ChunkFetch, ChunkSource, FetchOutcome, TransferCounts, TransferPeer, TransferSettings,
};
use crate::transfer::missing::MissingSet;
use crate::transfer::relay_fetch::RelayUse;

/// Transfer of one version to one instance.
#[derive(Debug)]
pub struct TransferPlan {
    own: TransferPeer,
    digest: ManifestDigest,
    manifest: Arc<Manifest>,
    settings: TransferSettings,
    held: ChunkBitmap,
    missing: MissingSet,
    observed: ChunkBitmap,
    /// When each chunk was first known to be held by any instance.
    first_observed_at: Vec<Moment>,
    partners: PartnerTable,
    seeders: Vec<InstanceId>,
    successors: Vec<InstanceId>,
    assignment: ChunkAssignment,
    relays: RelayTable,
    own_seed_chunks: Vec<ChunkIndex>,
    pending: FastMap<ChunkIndex, PendingFetch>,
    mean_fetch_time: Millis,
    last_observed_at: Moment,
    /// The chunks fetched from the origin that no peer is known to have got yet.
    unshared: Vec<ChunkIndex>,
    /// When a peer was last found to have got a chunk.
    last_passed_on_at: Moment,
    origin_retry_at: Moment,
    /// No entry is asked before this time.
    relay_retry_at: Moment,
    started_at: Moment,
    random: SmallRng,
    counts: TransferCounts,
}

#[derive(Debug)]
struct PendingFetch {
    source: ChunkSource,
    started_at: Moment,
    /// When the chunk was received; it is being staged since.
    received_at: Option<Moment>,
}

impl TransferPlan {
    /// Creates a plan to fetch `manifest`, of which nothing is held yet. `seed` drives the random
    /// choices between equal candidates.
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
            observed: ChunkBitmap::empty(total),
            first_observed_at: vec![Moment(0); total as usize],
            partners: PartnerTable::new(total),
            seeders: Vec::new(),
            successors: Vec::new(),
            assignment: ChunkAssignment::default(),
            relays: RelayTable::default(),
            own_seed_chunks: Vec::new(),
            pending: FastMap::default(),
            mean_fetch_time: Millis(settings.chunk_timeout.0 / TIMEOUT_FACTOR),
            last_observed_at: now,
            unshared: Vec::new(),
            last_passed_on_at: now,
            origin_retry_at: now,
            relay_retry_at: now,
            started_at: now,
            random: SmallRng::seed_from_u64(seed),
            counts: TransferCounts::default(),
            manifest,
            settings,
        }
    }

    /// The manifest of the version being fetched.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// The chunks that are held and verified.
    pub fn held(&self) -> &ChunkBitmap {
        &self.held
    }

    /// Bytes and corrupt chunks received so far.
    pub fn counts(&self) -> TransferCounts {
        self.counts
    }

    /// The partners with which holdings are exchanged.
    pub fn partners(&self) -> &PartnerTable {
        &self.partners
    }

    /// Whether every chunk is held and verified.
    pub fn is_complete(&self) -> bool {
        self.missing.chunks.is_empty()
    }

    /// Sets the live instances that want the version, including this one, and chooses partners and
    /// seeders among them.
    pub fn set_peers(&mut self, peers: &[TransferPeer]) {
        let (total, max_seeders) = (self.manifest.chunk_count(), self.settings.max_seeders);
        self.assignment = ChunkAssignment::new(self.digest, total, peers, &self.own, max_seeders);
        self.choose_seeders(peers);
        let chosen = self.choose_partners(peers);
        for id in self.partners.set_partners(chosen) {
            self.drop_fetches_from(&id);
        }
    }

    /// Records that a chunk of an earlier transfer was found intact beside the upstream.
    pub fn record_intact(&mut self, now: Moment, index: ChunkIndex) {
        if self.held.insert(index) {
            self.missing.remove(index);
        }
        self.record_observed(now, index);
    }

    /// Records that a held chunk turned out damaged, so that it is fetched again.
    pub fn record_damaged(&mut self, index: ChunkIndex) {
        if self.held.remove(index) {
            self.missing.add(index);
        }
    }

    /// Records a peer's holdings and, where it is a partner, the number of uploads that it has queued.
    pub fn record_holdings(
        &mut self,
        now: Moment,
        id: &InstanceId,
        bitmap: ChunkBitmap,
        queue: u32,
    ) {
        let unshared = self.unshared.len();
        // In a large fleet most of those that fetch from here are no partners of this instance.
        self.unshared.retain(|index| !bitmap.contains(*index));
        let added = self.partners.record_holdings(now, id, bitmap, queue);
        if !added.is_empty() || self.unshared.len() < unshared {
            self.last_passed_on_at = now;
        }
        added.into_iter().for_each(|index| self.record_observed(now, index));
    }

    /// Records the outcome of a fetch; returns whether that fetch was still pending.
    pub fn record_outcome(
        &mut self,
        now: Moment,
        index: ChunkIndex,
        source: &ChunkSource,
        outcome: &FetchOutcome,
    ) -> bool {
        let is_current = self.pending.get(&index).is_some_and(|fetch| fetch.source == *source);
        let fetch = if is_current { self.pending.remove(&index) } else { None };
        if let (ChunkSource::Peer(id), true) = (source, is_current) {
            self.partners.record_fetch_end(id);
        }
        match source {
            _ if *outcome == FetchOutcome::Verified => {
                self.record_verified(now, index, source, fetch)
            }
            ChunkSource::Origin => self.origin_failed(now, outcome),
            ChunkSource::Relay(id) => self.relay_failed(now, id, outcome),
            ChunkSource::Peer(id) => self.peer_failed(now, index, id, outcome),
        }
        is_current
    }

    /// Records that a chunk was received and is being staged. The time that this takes is not the
    /// source's, and the fetch no longer times out.
    pub fn record_received(&mut self, now: Moment, index: ChunkIndex, source: &ChunkSource) {
        if let Some(fetch) = self.pending.get_mut(&index)
            && fetch.source == *source
        {
            fetch.received_at = Some(now);
        }
    }

    /// Fails the fetches that have timed out and returns them, so that their I/O can be cancelled.
    pub fn expire_fetches(&mut self, now: Moment) -> Vec<(ChunkIndex, ChunkSource)> {
        let overdue: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, fetch)| fetch.received_at.is_none())
            .filter(|(_, fetch)| now.since(fetch.started_at) > self.fetch_timeout(&fetch.source))
            .map(|(index, fetch)| (*index, fetch.source.clone()))
            .collect();
        for (index, source) in &overdue {
            self.record_outcome(now, *index, source, &FetchOutcome::Failed);
        }
        overdue
    }

    /// The fetches to start now.
    pub fn next_fetches(&mut self, now: Moment) -> Vec<ChunkFetch> {
        let mut fetches = Vec::new();
        let relay_use = self.relay_use(now);
        if relay_use == RelayUse::None {
            while self.origin_fetches() < self.settings.origin_window {
                let Some(index) = self.next_origin_chunk(now) else { break };
                fetches.push(self.start_fetch(now, index, ChunkSource::Origin));
            }
        }
        while relay_use != RelayUse::All && self.peer_fetches() < self.settings.window {
            let Some((index, id)) = self.next_peer_chunk(now) else { break };
            fetches.push(self.start_fetch(now, index, ChunkSource::Peer(id)));
        }
        while self.relay_fetches() < self.relay_window() {
            let Some((index, id)) = self.next_relay_chunk(now, relay_use) else { break };
            fetches.push(self.start_fetch(now, index, ChunkSource::Relay(id)));
        }
        fetches
    }

    /// Backs off from a partner that did not respond.
    pub fn record_peer_failure(&mut self, now: Moment, id: &InstanceId) {
        self.partners.record_failure(now, id);
    }

    fn choose_seeders(&mut self, peers: &[TransferPeer]) {
        let ranked = rendezvous::ranked(&self.digest.0, peers, |peer| peer.id.as_str());
        let ids: Vec<InstanceId> = ranked.into_iter().map(|peer| peer.id.clone()).collect();
        if ids == self.successors {
            return;
        }
        let count = self.settings.max_seeders.max(self.settings.origin_copies).min(ids.len());
        self.seeders = ids[..count].to_vec();
        self.successors = ids;
        let copies = self.settings.origin_copies;
        let is_own = |index: &ChunkIndex| {
            if self.settings.uses_primary_holders {
                return self.assignment.origin_rank(*index) < copies;
            }
            rank_of(&self.seeders, &self.own.id, *index) < copies
        };
        self.own_seed_chunks =
            (0..self.manifest.chunk_count()).map(ChunkIndex).filter(is_own).collect();
    }

    fn choose_partners(&self, peers: &[TransferPeer]) -> FastMap<InstanceId, bool> {
        let own = self.own.id.as_str().as_bytes();
        let other_peers: Vec<_> =
            peers.iter().filter(|peer| peer.id != self.own.id).cloned().collect();
        let ranked = rendezvous::ranked(own, &other_peers, |peer| peer.id.as_str());
        let limit = self.settings.partners;
        let is_local = |peer: &TransferPeer| peer.data_centre == self.own.data_centre;
        let local = ranked.iter().filter(|peer| is_local(peer)).take(limit.div_ceil(2));
        let mut chosen: FastMap<_, _> = local.map(|peer| (peer.id.clone(), true)).collect();
        for peer in ranked {
            if chosen.len() >= limit {
                break;
            }
            chosen.entry(peer.id.clone()).or_insert_with(|| is_local(peer));
        }
        chosen
    }

    fn record_observed(&mut self, now: Moment, index: ChunkIndex) {
        if self.observed.insert(index) {
            self.last_observed_at = now;
            self.first_observed_at[index.0 as usize] = now;
        }
    }

    fn record_verified(
        &mut self,
        now: Moment,
        index: ChunkIndex,
        source: &ChunkSource,
        fetch: Option<PendingFetch>,
    ) {
        let (start, end) = self.manifest.range(index);
        match source {
            ChunkSource::Origin => self.counts.origin_bytes += end - start,
            ChunkSource::Relay(_) => self.counts.relay_bytes += end - start,
            ChunkSource::Peer(_) => self.counts.peer_bytes += end - start,
        }
        if let Some(fetch) = fetch {
            let took = fetch.received_at.unwrap_or(now).since(fetch.started_at).0;
            self.mean_fetch_time = Millis((self.mean_fetch_time.0 * 7 + took) / 8);
        }
        if self.held.insert(index) {
            self.missing.remove(index);
            if *source == ChunkSource::Origin && self.partners.copies(index) == 0 {
                self.unshared.push(index);
            }
        }
        self.record_observed(now, index);
    }

    fn origin_failed(&mut self, now: Moment, outcome: &FetchOutcome) {
        const ORIGIN_RETRY_DELAY: Millis = Millis(500);
        if *outcome == FetchOutcome::Corrupt {
            self.counts.corrupt_chunks += 1;
            self.counts.corrupt_from_origin += 1;
        }
        self.origin_retry_at = now + ORIGIN_RETRY_DELAY;
    }

    fn peer_failed(
        &mut self,
        now: Moment,
        index: ChunkIndex,
        id: &InstanceId,
        outcome: &FetchOutcome,
    ) {
        match outcome {
            FetchOutcome::Corrupt => {
                self.counts.corrupt_chunks += 1;
                self.partners.record_corrupt_chunk(now, id, self.settings.corrupt_limit);
                self.partners.retract(id, index);
            }
            FetchOutcome::Busy(holders) => {
                self.partners.back_off(now, id, self.busy_backoff());
                for holder in holders {
                    self.partners.record_hint(holder, index);
                    self.record_observed(now, index);
                }
            }
            FetchOutcome::Missing => self.partners.retract(id, index),
            FetchOutcome::Failed | FetchOutcome::Verified => self.partners.record_failure(now, id),
        }
    }

    /// Backoff for a busy partner: about until its link has sent a chunk.
    fn busy_backoff(&self) -> Millis {
        let chunk_ms = self.settings.origin_chunk_ms;
        if self.settings.uses_primary_holders && chunk_ms > 0.0 {
            return Millis((chunk_ms * BUSY_BACKOFF_CHUNKS) as u64 + 1);
        }
        Millis(self.mean_fetch_time.0 / 2 + 1)
    }

    fn start_fetch(&mut self, now: Moment, index: ChunkIndex, source: ChunkSource) -> ChunkFetch {
        if let ChunkSource::Peer(id) = &source {
            self.partners.record_fetch_start(id);
        }
        let fetch = PendingFetch { source: source.clone(), started_at: now, received_at: None };
        self.pending.insert(index, fetch);
        let timeout = self.fetch_timeout(&source);
        ChunkFetch { index, source, timeout }
    }

    fn drop_fetches_from(&mut self, id: &InstanceId) {
        let source = ChunkSource::Peer(id.clone());
        self.pending.retain(|_, fetch| fetch.source != source);
    }

    /// Timeout of a fetch. The origin's link is shared by all instances that fetch from it: a chunk
    /// given up there was sent in vain, which slows all others down.
    fn fetch_timeout(&self, source: &ChunkSource) -> Millis {
        let usual_ms = self.settings.chunk_timeout.0.max(self.mean_fetch_time.0 * TIMEOUT_FACTOR);
        if *source == ChunkSource::Origin {
            let shared_ms = self.settings.origin_chunk_ms * self.settings.max_seeders as f64;
            return Millis(
                usual_ms.max((shared_ms * ORIGIN_TIMEOUT_FACTOR) as u64).min(MAX_ORIGIN_TIMEOUT.0),
            );
        }
        Millis(usual_ms)
    }

    /// Number of held chunks that other instances fetch from here first: those of which this
    /// instance is primary holder or first seeder.
    pub fn awaited_chunk_count(&self) -> usize {
        let is_awaited = |index: &ChunkIndex| {
            self.assignment.holder_rank(*index) == 0 || self.assignment.origin_rank(*index) == 0
        };
        self.held.held().into_iter().filter(is_awaited).count()
    }

    /// The pending fetches, so that their I/O can be cancelled when the plan is dropped.
    pub fn pending_fetches(&self) -> Vec<(ChunkIndex, ChunkSource)> {
        let pending = self.pending.iter();
        pending.map(|(index, fetch)| (*index, fetch.source.clone())).collect()
    }
}

/// Backoff for a busy partner, in multiples of the link time of a chunk; a longer one leaves links
/// idle between two chunks.
const BUSY_BACKOFF_CHUNKS: f64 = 0.6;

/// Timeout of a fetch from the origin, in multiples of the time that it takes while all seeders
/// fetch at once.
const ORIGIN_TIMEOUT_FACTOR: f64 = 2.0;

/// Maximum timeout of a fetch from the origin: one without data for this long is lost.
const MAX_ORIGIN_TIMEOUT: Millis = Millis(4_000);

/// Timeout of a fetch, in multiples of the mean fetch time.
const TIMEOUT_FACTOR: u64 = 8;

/// The rank of `own` among `names` for a chunk, from zero; `usize::MAX` if it is not among them.
fn rank_of(names: &[InstanceId], own: &InstanceId, index: ChunkIndex) -> usize {
    if !names.contains(own) {
        return usize::MAX;
    }
    let subject = index.0.to_le_bytes();
    let mine = rendezvous::weight(&subject, own.as_str());
    names.iter().filter(|id| rendezvous::weight(&subject, id.as_str()) > mine).count()
}

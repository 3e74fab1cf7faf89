//! Selects the next chunk to fetch and its source.

use mustardrill_types::{ChunkIndex, InstanceId, Millis, Moment};
use rand::Rng;

use crate::transfer::{ChunkSource, PendingFetch, TransferPlan, rank_of};

/// Number of instances, by rank, that may fetch one overdue chunk from the origin while other
/// chunks still arrive: each fetches another copy.
const MAX_REDUNDANT_SEEDERS: u64 = 2;

/// The seeders together hold about the number of chunks divided by this that nobody else holds: if
/// all of them die, the origin sends no more than these again.
const UNSHARED_DIVISOR: usize = 4;

/// How long before its due time a chunk is requested from the origin, so that the origin's link
/// never idles until the next request: a few round trips.
const ORIGIN_REQUEST_LEAD: Millis = Millis(200);

/// Factor by which an origin may be slower than configured before its seeders count as overdue. A
/// higher one would hide a dead seeder for longer, as its missing chunks make the origin look
/// slower.
const MAX_ORIGIN_SLOWDOWN: f64 = 2.0;

impl TransferPlan {
    pub(super) fn origin_fetches(&self) -> usize {
        self.pending.values().filter(|fetch| fetch.source == ChunkSource::Origin).count()
    }

    pub(super) fn peer_fetches(&self) -> usize {
        let is_peer = |fetch: &&PendingFetch| matches!(fetch.source, ChunkSource::Peer(_));
        self.pending.values().filter(is_peer).count()
    }

    pub(super) fn next_origin_chunk(&mut self, now: Moment) -> Option<ChunkIndex> {
        if now < self.origin_retry_at || self.is_ahead(now) {
            return None;
        }
        self.next_seed_chunk(now).or_else(|| self.next_unheld_chunk(now))
    }

    /// Whether this instance has its share of the chunks that may be lost with the seeders: those
    /// fetched from the origin, or being fetched, that no peer is known to have got.
    ///
    /// Where the peers take none for a stall interval, waiting for them would only idle the
    /// origin's link.
    fn is_ahead(&self, now: Moment) -> bool {
        let has_partners = self.partners.ids().next().is_some();
        if !has_partners || now.since(self.last_passed_on_at) >= self.settings.stall_after {
            return false;
        }
        let share = self.manifest.chunk_count() as usize / UNSHARED_DIVISOR;
        let limit = share.div_ceil(self.settings.max_seeders.max(1));
        self.unshared.len() + self.origin_fetches() >= limit.max(self.settings.origin_window)
    }

    /// The next chunk that this instance fetches as one of the seeders.
    pub(super) fn next_seed_chunk(&mut self, now: Moment) -> Option<ChunkIndex> {
        let copies = self.settings.origin_copies as u16;
        let (held, partners) = (&self.held, &self.partners);
        // A chunk that a peer holds already needs no further copy, unless the setting asks for
        // more.
        self.own_seed_chunks
            .retain(|index| !held.contains(*index) && partners.copies(*index) < copies);
        let free: Vec<_> = self
            .own_seed_chunks
            .iter()
            .filter(|it| !self.pending.contains_key(it))
            .take(64)
            .collect();
        if free.is_empty() {
            return None;
        }
        let chunk_ms = self.settings.origin_chunk_ms;
        if chunk_ms > 0.0 {
            let due_chunks =
                (now.since(self.started_at).0 + ORIGIN_REQUEST_LEAD.0) as f64 / chunk_ms;
            return free.into_iter().copied().find(|index| f64::from(index.0) <= due_chunks);
        }
        Some(*free[self.random.random_range(0..free.len())])
    }

    /// A chunk that no partner holds and whose seeder is overdue.
    ///
    /// After each further stall interval one more successor may fetch the chunk, so that a dead or
    /// stalled seeder costs little more than its own fetches.
    pub(super) fn next_unheld_chunk(&self, now: Moment) -> Option<ChunkIndex> {
        let is_unheld = |index: &ChunkIndex| {
            self.partners.copies(*index) == 0 && !self.pending.contains_key(index)
        };
        let rank = |index: &ChunkIndex| {
            if self.settings.uses_primary_holders {
                return self.assignment.origin_rank(*index);
            }
            rank_of(&self.successors, &self.own.id, *index)
        };
        let is_next = |index: &ChunkIndex| (rank(index) as u64) < self.overdue_seeders(now, *index);
        self.missing.chunks.iter().copied().find(|index| is_unheld(index) && is_next(index))
    }

    /// Number of a chunk's seeders that should have delivered it by now.
    ///
    /// Where the origin's rate is known, each chunk has its own due time, so that all chunks of a
    /// dead seeder are fetched by their next seeders at once. Without it, each such chunk waits
    /// until no new chunk was observed for a while, which cost half a second per chunk, one after
    /// the other. If the origin delivers nothing to anybody, the number of instances that ask it is
    /// limited.
    pub(super) fn overdue_seeders(&self, now: Moment, index: ChunkIndex) -> u64 {
        let stall = self.settings.stall_after.0.max(1);
        let stalls = now.since(self.last_observed_at).0 / stall;
        let chunk_ms = self.settings.origin_chunk_ms;
        if chunk_ms <= 0.0 {
            return stalls;
        }
        // An origin that is slower than configured, or that still sends an earlier version, is
        // behind with all chunks: fetching each again would make it slower still.
        let observed_count = f64::from(self.observed.count().max(1));
        let actual_chunk_ms = (now.since(self.started_at).0 as f64 / observed_count)
            .clamp(chunk_ms, chunk_ms * MAX_ORIGIN_SLOWDOWN);
        let due = self.started_at + Millis((f64::from(index.0) * actual_chunk_ms) as u64);
        // Two intervals, as a seeder may be late because of the chunks before this one.
        let late = now.since(due).0 / (stall * 2);
        if late == 0 { 0 } else { (late + 1).min(stalls + MAX_REDUNDANT_SEEDERS) }
    }

    /// Whether this instance is among those of its data centre that fetch a chunk from another one;
    /// for each interval without the chunk, one more instance is.
    pub(super) fn may_fetch_remotely(&self, now: Moment, index: ChunkIndex) -> bool {
        let limit = self.settings.remote_fetchers;
        if limit == 0 {
            return true;
        }
        // The primary holder may serve others first, so it has twice the time of a seeder.
        let timeout = self.settings.stall_after.0.max(1) * 2;
        let expired_timeouts = now.since(self.first_observed_at[index.0 as usize]).0 / timeout;
        (self.assignment.holder_rank(index) as u64) < limit as u64 + expired_timeouts
    }

    /// The instance of this data centre that the other instances here ask first for a chunk.
    pub(super) fn primary_holder(&self, index: ChunkIndex) -> Option<&InstanceId> {
        if !self.settings.uses_primary_holders {
            return None;
        }
        self.assignment.primary_holder(index)
    }

    pub(super) fn next_peer_chunk(&mut self, now: Moment) -> Option<(ChunkIndex, InstanceId)> {
        let count = self.missing.chunks.len();
        let mut best: Option<(u16, ChunkIndex, InstanceId)> = None;
        // A short list is read completely; a long one is sampled, so that the cost is bounded.
        let sampled = count > self.settings.sample;
        for sample_index in 0..self.settings.sample.min(count) {
            let position = if sampled { self.random.random_range(0..count) } else { sample_index };
            let index = self.missing.chunks[position];
            let mut copies = self.partners.copies(index);
            // The other instances here wait for the chunks of which this one is primary holder, so
            // these count as rare.
            if copies > 0
                && self.settings.uses_primary_holders
                && self.assignment.holder_rank(index) == 0
            {
                copies = 1;
            }
            let is_rarer = best.as_ref().is_none_or(|(least, _, _)| copies < *least);
            if copies == 0 || !is_rarer || self.pending.contains_key(&index) {
                continue;
            }
            let may_be_remote = self.may_fetch_remotely(now, index);
            let primary =
                self.primary_holder(index).filter(|id| self.partners.is_usable(now, id, index));
            let holder = primary
                .cloned()
                .or_else(|| self.partners.best_holder(now, index, may_be_remote, &mut self.random));
            if let Some(id) = holder {
                best = Some((copies, index, id));
            }
        }
        best.map(|(_, index, id)| (index, id))
    }
}

//! Which chunk is drawn next, and from whom.

use mustardrill_types::{ChunkIndex, InstanceId, Millis, Moment};
use rand::Rng;

use crate::transfer::{ChunkSource, Flight, TransferPlan, rank_of};

/// The first in rank that may draw one late chunk while others still come: each draws it anew.
const MOST_LATE_DRAWERS: u64 = 2;

/// How long before its turn a chunk is asked of the origin, so that its link never waits for the
/// next question: some calls' way there and back.
const ORIGIN_LEAD: Millis = Millis(200);

/// An origin may be this many times slower than told before its drawers count as late. More would
/// hide a dead drawer, whose chunks make all look slower, for longer.
const SLOWEST_PACE: f64 = 2.0;

impl TransferPlan {
    pub(super) fn origin_flights(&self) -> usize {
        self.flights.values().filter(|flight| flight.source == ChunkSource::Origin).count()
    }

    pub(super) fn peer_flights(&self) -> usize {
        let is_peer = |flight: &&Flight| matches!(flight.source, ChunkSource::Peer(_));
        self.flights.values().filter(is_peer).count()
    }

    pub(super) fn next_origin_chunk(&mut self, now: Moment) -> Option<ChunkIndex> {
        if now < self.origin_rest {
            return None;
        }
        self.next_own_chunk(now).or_else(|| self.next_orphan(now))
    }

    /// The next chunk that this instance draws as one of the drawers.
    pub(super) fn next_own_chunk(&mut self, now: Moment) -> Option<ChunkIndex> {
        let copies = self.settings.origin_copies as u16;
        let (held, partners) = (&self.held, &self.partners);
        // What a peer shows already needs no further copy, unless the setting wants more.
        self.own_draws.retain(|index| !held.contains(*index) && partners.copies(*index) < copies);
        let free: Vec<_> =
            self.own_draws.iter().filter(|it| !self.flights.contains_key(it)).take(64).collect();
        if free.is_empty() {
            return None;
        }
        let pace = self.settings.origin_pace;
        if pace > 0.0 {
            let open = (now.since(self.started).0 + ORIGIN_LEAD.0) as f64 / pace;
            return free.into_iter().copied().find(|index| f64::from(index.0) <= open);
        }
        Some(*free[self.random.random_range(0..free.len())])
    }

    /// A chunk that nobody seen holds, once its drawer is too late with it.
    ///
    /// For each such time that passes, one more successor draws a chunk, so that a dead or
    /// stalled drawer costs little more than its own draws.
    pub(super) fn next_orphan(&self, now: Moment) -> Option<ChunkIndex> {
        let is_orphan = |index: &ChunkIndex| {
            self.partners.copies(*index) == 0 && !self.flights.contains_key(index)
        };
        let rank = |index: &ChunkIndex| {
            if self.settings.homes {
                return self.homes.origin_rank(*index);
            }
            rank_of(&self.successors, &self.own.id, *index)
        };
        let is_next = |index: &ChunkIndex| (rank(index) as u64) < self.drawers_late(now, *index);
        self.missing.chunks.iter().copied().find(|index| is_orphan(index) && is_next(index))
    }

    /// How many of a chunk's drawers had their time and did not show it.
    ///
    /// Where the origin's pace is known, each chunk has a time of its own, so that a dead drawer's
    /// chunks are all drawn at once by their next ones. Waiting for a pause in all that is seen,
    /// as without it, cost half a second for each such chunk, one after the other. An origin that
    /// shows nothing to anybody is not asked by more and more.
    pub(super) fn drawers_late(&self, now: Moment, index: ChunkIndex) -> u64 {
        let stall = self.settings.stall_after.0.max(1);
        let paused = now.since(self.novelty).0 / stall;
        let pace = self.settings.origin_pace;
        if pace <= 0.0 {
            return paused;
        }
        // An origin that is slower than told, or still sends an earlier version, is behind with
        // all chunks: drawing each anew makes it slower still.
        let seen = f64::from(self.seen.count().max(1));
        let true_pace = (now.since(self.started).0 as f64 / seen).clamp(pace, pace * SLOWEST_PACE);
        let due = self.started + Millis((f64::from(index.0) * true_pace) as u64);
        // Twice the time, as a drawer's turn may come late behind the turns before it.
        let late = now.since(due).0 / (stall * 2);
        if late == 0 { 0 } else { (late + 1).min(paused + MOST_LATE_DRAWERS) }
    }

    /// Whether this instance is among those of its data centre that draw a chunk from afar; with
    /// each time that passes without anything new, one more is.
    pub(super) fn may_draw_far(&self, now: Moment, index: ChunkIndex) -> bool {
        let drawers = self.settings.far_drawers;
        if drawers == 0 {
            return true;
        }
        // The home may have others to serve first, so it has twice the time of a drawer.
        let patience = self.settings.stall_after.0.max(1) * 2;
        let waited = now.since(self.seen_at[index.0 as usize]).0 / patience;
        (self.homes.holder_rank(index) as u64) < drawers as u64 + waited
    }

    /// The instance of this data centre that the others here ask first for a chunk.
    pub(super) fn home(&self, index: ChunkIndex) -> Option<&InstanceId> {
        if !self.settings.homes {
            return None;
        }
        self.homes.primary_holder(index)
    }

    pub(super) fn next_peer_chunk(&mut self, now: Moment) -> Option<(ChunkIndex, InstanceId)> {
        let count = self.missing.chunks.len();
        let mut best: Option<(u16, ChunkIndex, InstanceId)> = None;
        // A short list is read whole; a long one is sampled, so that the cost stays flat.
        let sampled = count > self.settings.sample;
        for turn in 0..self.settings.sample.min(count) {
            let place = if sampled { self.random.random_range(0..count) } else { turn };
            let index = self.missing.chunks[place];
            let mut copies = self.partners.copies(index);
            // The others here wait for what this instance is the home of.
            if copies > 0 && self.settings.homes && self.homes.holder_rank(index) == 0 {
                copies = 1;
            }
            let is_rarer = best.as_ref().is_none_or(|(least, _, _)| copies < *least);
            if copies == 0 || !is_rarer || self.flights.contains_key(&index) {
                continue;
            }
            let far = self.may_draw_far(now, index);
            let home = self.home(index).filter(|id| self.partners.is_usable(now, id, index));
            let holder = home
                .cloned()
                .or_else(|| self.partners.best_holder(now, index, far, &mut self.random));
            if let Some(id) = holder {
                best = Some((copies, index, id));
            }
        }
        best.map(|(_, index, id)| (index, id))
    }
}

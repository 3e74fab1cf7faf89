//! Which entry relays each chunk of a version to the agents, chosen alike by all processes without
//! coordination.
//!
//! A new version is sent to every engine at once. The links of the engines' machines can carry
//! little more than one copy in the time available, and the engines' responses use the same links.
//! Entries have links many times as wide. So the entries of a data centre relay a version to its
//! agents, each chunk through one entry, and each chunk is fetched from the origin by a single
//! entry near it. The origin then sends one copy, one copy crosses into each data centre, and an
//! engine's link carries one copy down and none up. Distribution among the agents themselves would
//! use their links in both directions.

use mustardrill_types::{ChunkIndex, DataCentre, FastMap, InstanceId, Millis, Moment};

use crate::direct::PeerRecord;
use crate::rendezvous;

/// Backoff after a failure of an entry: about the time in which a stalled link is detected.
const FAILURE_BACKOFF: Millis = Millis(1_500);

/// An entry is asked last in its data centre if its link is narrower than the widest there divided
/// by this: sending a chunk to all agents of the data centre fills a narrow link, and responses
/// wait.
const NARROW_LINK_DIVISOR: u32 = 2;

/// The entries that may relay chunks, as known to one process, with backoff after failures.
#[derive(Debug, Default)]
pub struct RelayTable {
    relays: Vec<PeerRecord>,
    backoff_until: FastMap<InstanceId, Moment>,
}

/// What is relayed: the chunk list of a version, or one of its chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RelayItem {
    /// The version's chunk list.
    List,
    /// The chunk with this index.
    Chunk(ChunkIndex),
}

/// Circuit breaker of one entry for calls to the origin.
///
/// If the origin is unreachable for some seconds while a version is fetched, each chunk that an
/// agent waits for fails within a millisecond and would be requested again. That makes hundreds of
/// calls per second, whose logs and connections take processor time from serving requests. While
/// the breaker is open, a single probe per backoff finds out for all chunks whether the origin is
/// back.
#[derive(Debug, Default)]
pub struct OriginBreaker {
    /// When the next probe may go out; nothing while calls are unrestricted.
    probe_at: Option<Moment>,
}

/// Time between probes of an unreachable origin. Its return is noticed within this time, which is a
/// tenth of what sending a copy over its link takes.
const ORIGIN_BACKOFF: Millis = Millis(200);

impl OriginBreaker {
    /// Returns whether a call may go out now. After a failure one call per backoff of 200 ms is
    /// allowed as a probe, and no others until the origin has responded.
    pub fn allow_call(&mut self, now: Moment) -> bool {
        match self.probe_at {
            None => true,
            Some(at) if now < at => false,
            Some(_) => {
                self.probe_at = Some(now + ORIGIN_BACKOFF);
                true
            }
        }
    }

    /// Records that the origin could not be reached, which opens the breaker.
    pub fn record_failure(&mut self, now: Moment) {
        self.probe_at = Some(now + ORIGIN_BACKOFF);
    }

    /// Records that the origin responded, which lifts the restriction.
    pub fn record_response(&mut self) {
        self.probe_at = None;
    }
}

impl RelayTable {
    /// Replaces the list of entries; the backoff of those that remain is kept.
    pub fn set_relays(&mut self, relays: Vec<PeerRecord>) {
        self.relays = relays;
        let Self { relays, backoff_until } = self;
        backoff_until.retain(|id, _| relays.iter().any(|relay| relay.id == *id));
    }

    /// Adds an entry, or replaces the record of one with the same id.
    pub fn add(&mut self, relay: PeerRecord) {
        self.remove(&relay.id);
        self.relays.push(relay);
    }

    /// Removes an entry; its backoff is kept until the next call of `set_relays`.
    pub fn remove(&mut self, id: &InstanceId) {
        self.relays.retain(|relay| relay.id != *id);
    }

    /// Returns all entries, those in backoff included.
    pub fn all(&self) -> &[PeerRecord] {
        &self.relays
    }

    /// Returns the record of an entry.
    pub fn get(&self, id: &InstanceId) -> Option<&PeerRecord> {
        self.relays.iter().find(|relay| relay.id == *id)
    }

    /// Records a failure of an entry, which is not asked during the backoff of 1.5 s.
    pub fn record_failure(&mut self, now: Moment, id: &InstanceId) {
        self.backoff_until.insert(id.clone(), now + FAILURE_BACKOFF);
    }

    /// Whether any entry is not in backoff.
    pub fn has_available(&self, now: Moment) -> bool {
        self.relays.iter().any(|relay| self.is_available(now, relay))
    }

    /// Returns the entry that relays an item to the agents of a data centre: one of the entries
    /// there, or a remote one where all of these are in backoff.
    pub fn nearest(
        &self,
        now: Moment,
        version: &str,
        item: RelayItem,
        centre: &DataCentre,
    ) -> Option<&PeerRecord> {
        self.ranked_for(now, version, item, centre).into_iter().next()
    }

    /// Returns the entries that fetch an item from the origin, first choice first. Entries in the
    /// origin's data centre come first, as copies for the other data centres have to leave it
    /// anyway.
    pub fn seeders(
        &self,
        now: Moment,
        version: &str,
        item: RelayItem,
        origin: &DataCentre,
    ) -> Vec<&PeerRecord> {
        self.ranked_for(now, version, item, origin)
    }

    fn ranked_for(
        &self,
        now: Moment,
        version: &str,
        item: RelayItem,
        centre: &DataCentre,
    ) -> Vec<&PeerRecord> {
        let subject = match item {
            RelayItem::List => version.to_owned(),
            RelayItem::Chunk(index) => format!("{version}/{index}"),
        };
        let mut ranked = rendezvous::ranked(subject.as_bytes(), &self.relays, |it| it.id.as_str());
        ranked.retain(|relay| self.is_available(now, relay));
        let is_local = |relay: &&PeerRecord| relay.data_centre == *centre;
        let local = ranked.iter().copied().filter(is_local);
        let widest = local.map(|relay| relay.link_mbps).max().unwrap_or(0);
        // Entries in the data centre with wide links, then those with narrow links, then remote
        // ones.
        ranked.sort_by_key(|relay| {
            (!is_local(relay), relay.link_mbps < widest / NARROW_LINK_DIVISOR)
        });
        ranked
    }

    fn is_available(&self, now: Moment, relay: &PeerRecord) -> bool {
        self.backoff_until.get(&relay.id).is_none_or(|until| *until <= now)
    }
}

//! Which entries hand on the chunks of a version, on which all agree without talking.
//!
//! Load pattern: a new version goes to every engine at once, over links of engines' machines that
//! carry little more than one copy each in the time that there is, while answers of the engines
//! go over the same links. Entries have links many times as wide. Each data centre's entries hand
//! a version on to its agents, each chunk by one of them; one entry in all, near the origin, draws
//! a chunk. So the origin sends one copy, each border carries one, and an engine's link carries
//! one copy down and none up. Homes among the agents instead would use their links in both directions.

use mustardrill_types::{ChunkIndex, DataCentre, FastMap, InstanceId, Millis, Moment};

use crate::direct::PeerRecord;
use crate::rendezvous;

/// How long an entry that failed is left alone: about what a stalled link takes to be noticed.
const AVOID_FAILED: Millis = Millis(1_500);

/// An entry whose link carries less than this part of its data centre's widest is asked last: a
/// chunk for all agents near it fills a narrow link while answers wait.
const NARROW_PART: u32 = 2;

/// The entries that may hand chunks on, as one process sees them.
#[derive(Debug, Default)]
pub struct RelayTable {
    relays: Vec<PeerRecord>,
    avoid_until: FastMap<InstanceId, Moment>,
}

/// What is handed on: the list of a version, or one of its chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RelayItem {
    /// The list of chunks.
    List,
    /// A chunk.
    Chunk(ChunkIndex),
}

/// Whether the origin may be asked by one entry, after it could not be reached.
///
/// Load pattern: the origin is away for some seconds while a version is drawn. Each chunk that
/// anybody waits for fails within a millisecond and would be asked for anew, in hundreds of calls a
/// second whose logs and connections take processor time from callers. One call in each rest finds
/// out for all.
#[derive(Debug, Default)]
pub struct OriginGate {
    closed_until: Option<Moment>,
}

/// How long an origin that can't be reached is left alone: it is found again within this after
/// its return, which is a tenth of what a copy takes over its link.
const ORIGIN_REST: Millis = Millis(200);

impl OriginGate {
    /// Whether a call may go out now. After a failure one may in each rest, the others not until
    /// it has come back with an answer.
    pub fn pass(&mut self, now: Moment) -> bool {
        match self.closed_until {
            None => true,
            Some(until) if now < until => false,
            Some(_) => {
                self.closed_until = Some(now + ORIGIN_REST);
                true
            }
        }
    }

    /// Notes that the origin could not be reached.
    pub fn failed(&mut self, now: Moment) {
        self.closed_until = Some(now + ORIGIN_REST);
    }

    /// Notes that it answered.
    pub fn answered(&mut self) {
        self.closed_until = None;
    }
}

impl RelayTable {
    /// Takes the entries that there are; what is known of failures stays.
    pub fn set(&mut self, relays: Vec<PeerRecord>) {
        self.relays = relays;
        let Self { relays, avoid_until } = self;
        avoid_until.retain(|id, _| relays.iter().any(|relay| relay.id == *id));
    }

    /// Adds an entry, or takes its new address.
    pub fn add(&mut self, relay: PeerRecord) {
        self.remove(&relay.id);
        self.relays.push(relay);
    }

    /// Forgets an entry.
    pub fn remove(&mut self, id: &InstanceId) {
        self.relays.retain(|relay| relay.id != *id);
    }

    /// The entries.
    pub fn all(&self) -> &[PeerRecord] {
        &self.relays
    }

    /// What is known of an entry.
    pub fn get(&self, id: &InstanceId) -> Option<&PeerRecord> {
        self.relays.iter().find(|relay| relay.id == *id)
    }

    /// Leaves an entry that failed alone for a while.
    pub fn failed(&mut self, now: Moment, id: &InstanceId) {
        self.avoid_until.insert(id.clone(), now + AVOID_FAILED);
    }

    /// Whether any entry may be asked now.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.relays.iter().any(|relay| self.is_open(now, relay))
    }

    /// The entry that hands an item on in a data centre: one of its own entries, another one where
    /// none of these may be asked.
    pub fn nearest(
        &self,
        now: Moment,
        version: &str,
        item: RelayItem,
        centre: &DataCentre,
    ) -> Option<&PeerRecord> {
        self.preferring(now, version, item, centre).into_iter().next()
    }

    /// The entries that draw an item from the origin, the first in rank first: those of the
    /// origin's data centre, as the others' copies cross its border anyway.
    pub fn drawers(
        &self,
        now: Moment,
        version: &str,
        item: RelayItem,
        origin: &DataCentre,
    ) -> Vec<&PeerRecord> {
        self.preferring(now, version, item, origin)
    }

    fn preferring(
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
        ranked.retain(|relay| self.is_open(now, relay));
        let is_near = |relay: &&PeerRecord| relay.data_centre == *centre;
        let near = ranked.iter().copied().filter(is_near);
        let widest = near.map(|relay| relay.link_mbps).max().unwrap_or(0);
        // Near ones with wide links, then the other near ones, then those far away.
        ranked.sort_by_key(|relay| (!is_near(relay), relay.link_mbps < widest / NARROW_PART));
        ranked
    }

    fn is_open(&self, now: Moment, relay: &PeerRecord) -> bool {
        self.avoid_until.get(&relay.id).is_none_or(|until| *until <= now)
    }
}

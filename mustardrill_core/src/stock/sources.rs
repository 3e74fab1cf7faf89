//! Where an agent asks for lists of chunks and for chunks.

use std::net::SocketAddr;

use mustardrill_types::{InstanceId, Millis, Moment};
use rand::Rng;

use crate::direct::OriginProfile;
use crate::relays::RelayItem;
use crate::rendezvous;
use crate::stock::event::{StockEffect, VersionId, WeightSource};
use crate::stock::reducer::{StockReducer, version_of};

/// How many agents ask the origin for a list first; the others ask them.
const LIST_DRAWERS: usize = 2;

/// How long until a list is asked for again: about what the first in rank take to fetch it.
const LIST_RETRY: Millis = Millis(150);

/// How often the list is asked of entries before agents and the origin are; after that each second
/// time. Entries try an origin that is away all the while and have its list first.
const RELAY_TRIES: u32 = 2;

/// How long until a list is fetched for others again, should the first try have failed: an origin
/// that is busy or cut off is not asked by each of their questions.
const LEND_PAUSE: Millis = Millis(500);

/// The connections of the origin for each agent that draws: one that it uses, one that an earlier
/// transfer or a machine that was cut off left behind, and as many for lists and successors.
const CONNECTIONS_PER_DRAWER: usize = 2;

/// The pause between two tries is doubled this often at most: the last agents are to begin within a
/// small part of a copy's time after the origin's return.
const LONGEST_LIST_BACKOFF: u32 = 1;

impl StockReducer {
    /// How long until a list is asked for again: longer each time, and not by all at once.
    pub(super) fn list_pause(&mut self, tries: u32) -> Millis {
        let pause = LIST_RETRY.0 << tries.min(LONGEST_LIST_BACKOFF);
        Millis(pause + self.random.random_range(0..=pause / 2))
    }

    /// Whom to ask for a list: the first in rank ask the origin, the others ask them first.
    pub(super) fn list_sources(
        &mut self,
        now: Moment,
        wanted: &VersionId,
        tries: u32,
    ) -> Vec<WeightSource> {
        let centre = &self.settings.data_centre;
        let relay = self.relays.nearest(now, &wanted.to_string(), RelayItem::List, centre);
        let asks_entry = tries < RELAY_TRIES || tries.is_multiple_of(2);
        if let (Some(relay), true) = (relay, asks_entry) {
            return vec![WeightSource::Relay(relay.address)];
        }
        let tries = tries.saturating_sub(RELAY_TRIES);
        let origin = self.origin().map(WeightSource::Origin);
        let ids: Vec<_> = self.transfer_peers().into_iter().map(|peer| peer.id).collect();
        let subject = wanted.to_string();
        let ranked = rendezvous::ranked(subject.as_bytes(), &ids, |id| id.as_str());
        let place = ranked.iter().position(|id| **id == self.settings.own).unwrap_or(0);
        let others = ranked.iter().filter(|id| ***id != self.settings.own);
        let mut peers: Vec<_> =
            others.take(LIST_DRAWERS).map(|id| WeightSource::Peer((*id).clone())).collect();
        if !ids.is_empty() && tries > 0 {
            let any = &ids[self.random.random_range(0..ids.len())];
            peers.push(WeightSource::Peer(any.clone()));
        }
        // Each try lets a few more ask the origin. All at once, a fleet that lost power takes all of
        // its connections again and again, and nobody gets an answer.
        if place < LIST_DRAWERS * (tries as usize + 1) {
            return origin.into_iter().chain(peers).collect();
        }
        peers
    }

    /// Fetches the list of what the engine serves for agents that ask here for it.
    ///
    /// Load pattern: engines are added long after a version was named. Whoever is asked first has
    /// loaded it without a list, and the newcomers are far down in rank, so that their own turn to ask
    /// the origin comes late.
    pub(super) fn list_wanted(&mut self, now: Moment, version: &VersionId) -> Vec<StockEffect> {
        let mut serving = self.engine.iter().flat_map(|engine| &engine.serving);
        let serves = serving.any(|served| version_of(served) == *version);
        let lent_lately = self.list_lent.0 > 0 && now.since(self.list_lent) < LEND_PAUSE;
        if !serves || lent_lately {
            return Vec::new();
        }
        let Some(origin) = self.origin() else { return Vec::new() };
        self.list_lent = now;
        vec![StockEffect::FetchList(version.clone(), vec![WeightSource::Origin(origin)])]
    }

    pub(super) fn origin(&self) -> Option<SocketAddr> {
        Some(self.origin_profile()?.address)
    }

    pub(super) fn origin_profile(&self) -> Option<&OriginProfile> {
        self.document.as_ref()?.origin()
    }

    /// How many agents draw from the origin at most, by the connections that it takes.
    pub(super) fn origin_drawers(&self) -> usize {
        let most = self.settings.transfer.drawers;
        let connections =
            self.origin_profile().map_or(0, |origin| origin.connection_limit) as usize;
        if connections == 0 { most } else { most.min(connections / CONNECTIONS_PER_DRAWER).max(1) }
    }

    /// How long the origin's link takes for a chunk, in milliseconds; zero where not told.
    pub(super) fn origin_pace(&self) -> f64 {
        const BITS_PER_MS: f64 = 1_000.0;
        let Some(mbps) = self.origin_profile().map(|origin| origin.link_mbps) else { return 0.0 };
        let document = self.document.as_ref();
        let service = document.and_then(|document| document.service(&self.settings.service));
        let bytes = service.and_then(|service| Some(service.engine.as_ref()?.chunk_size.0));
        if mbps > 0.0 { bytes.unwrap_or(0) as f64 * 8.0 / (mbps * BITS_PER_MS) } else { 0.0 }
    }

    pub(super) fn address(&self, id: &InstanceId) -> Option<SocketAddr> {
        Some(SocketAddr::new(id.as_str().parse().ok()?, self.settings.port))
    }
}

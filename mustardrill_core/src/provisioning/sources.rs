//! Selects the sources of manifests and chunks.

use std::net::SocketAddr;

use mustardrill_types::{InstanceId, Millis, Moment};
use rand::Rng;

use crate::direct::OriginProfile;
use crate::provisioning::event::{ManifestSource, ProvisioningEffect, VersionId};
use crate::provisioning::reducer::{ProvisioningReducer, version_id_of};
use crate::relays::RelayItem;
use crate::rendezvous;

/// Number of agents that ask the origin for a manifest first; the other agents ask these.
const MANIFEST_SEEDERS: usize = 2;

/// Delay before a manifest is requested again: about the time in which the first agents in rank
/// fetch it.
const MANIFEST_RETRY_DELAY: Millis = Millis(150);

/// Number of first tries that only ask entries for the manifest; after these, every second try
/// does. Entries keep trying an unavailable origin and are the first to have its manifest.
const ENTRY_ONLY_TRIES: u32 = 2;

/// Minimum interval between fetches of a manifest for other agents, in case a fetch failed: an
/// origin that is busy or unreachable is not called for each of their requests.
const PEER_MANIFEST_INTERVAL: Millis = Millis(500);

/// Connections of the origin per seeder: one in use, and one more left over from an earlier
/// transfer or an unreachable machine, or used for manifests and successors.
const CONNECTIONS_PER_SEEDER: usize = 2;

/// The delay between two tries is doubled at most this often: once the origin is available again,
/// the last agents are to start within a small part of the time that a copy takes.
const MAX_BACKOFF_DOUBLINGS: u32 = 1;

impl ProvisioningReducer {
    /// Delay until a manifest is requested again: doubled for later tries up to the limit, with
    /// random jitter.
    pub(super) fn manifest_retry_delay(&mut self, tries: u32) -> Millis {
        let pause = MANIFEST_RETRY_DELAY.0 << tries.min(MAX_BACKOFF_DOUBLINGS);
        Millis(pause + self.random.random_range(0..=pause / 2))
    }

    /// The sources to ask for a manifest: an entry where one is usable; otherwise the origin for
    /// the first in rank, which the other agents ask in turn.
    pub(super) fn manifest_sources(
        &mut self,
        now: Moment,
        wanted: &VersionId,
        tries: u32,
    ) -> Vec<ManifestSource> {
        let data_centre = &self.settings.data_centre;
        let relay = self.relays.nearest(now, &wanted.to_string(), RelayItem::List, data_centre);
        let asks_entry = tries < ENTRY_ONLY_TRIES || tries.is_multiple_of(2);
        if let (Some(relay), true) = (relay, asks_entry) {
            return vec![ManifestSource::Relay(relay.address)];
        }
        let tries = tries.saturating_sub(ENTRY_ONLY_TRIES);
        let origin = self.origin().map(ManifestSource::Origin);
        let ids: Vec<_> = self.transfer_peers().into_iter().map(|peer| peer.id).collect();
        let subject = wanted.to_string();
        let ranked = rendezvous::ranked(subject.as_bytes(), &ids, |id| id.as_str());
        let own_rank = ranked.iter().position(|id| **id == self.settings.own_id).unwrap_or(0);
        let other_ids = ranked.iter().filter(|id| ***id != self.settings.own_id);
        let mut peers: Vec<_> = other_ids
            .take(MANIFEST_SEEDERS)
            .map(|id| ManifestSource::Peer((*id).clone()))
            .collect();
        if !ids.is_empty() && tries > 0 {
            let any = &ids[self.random.random_range(0..ids.len())];
            peers.push(ManifestSource::Peer(any.clone()));
        }
        // Each try allows a few more agents to ask the origin. If a whole fleet asked at once after
        // a power failure, it would take all of the origin's connections again and again, and no
        // agent would get a response.
        if own_rank < MANIFEST_SEEDERS * (tries as usize + 1) {
            return origin.into_iter().chain(peers).collect();
        }
        peers
    }

    /// Fetches the manifest of the version that the engine serves, for agents that request it here.
    ///
    /// Engines may be added long after a version was announced. The agents that they ask first have
    /// loaded it without a manifest, and the newcomers rank low, so that they would ask the origin
    /// themselves only late.
    pub(super) fn manifest_requested(
        &mut self,
        now: Moment,
        version: &VersionId,
    ) -> Vec<ProvisioningEffect> {
        let mut serving = self.engine.iter().flat_map(|engine| &engine.serving);
        let serves = serving.any(|served| version_id_of(served) == *version);
        let is_recent = self.peer_manifest_fetched_at.0 > 0
            && now.since(self.peer_manifest_fetched_at) < PEER_MANIFEST_INTERVAL;
        if !serves || is_recent {
            return Vec::new();
        }
        let Some(origin) = self.origin() else { return Vec::new() };
        self.peer_manifest_fetched_at = now;
        vec![ProvisioningEffect::FetchManifest(
            version.clone(),
            vec![ManifestSource::Origin(origin)],
        )]
    }

    pub(super) fn origin(&self) -> Option<SocketAddr> {
        Some(self.origin_profile()?.address)
    }

    pub(super) fn origin_profile(&self) -> Option<&OriginProfile> {
        self.document.as_ref()?.origin()
    }

    /// Maximum number of agents that fetch from the origin, limited by the connections that it
    /// accepts.
    pub(super) fn origin_seeders(&self) -> usize {
        let limit = self.settings.transfer.max_seeders;
        let connections =
            self.origin_profile().map_or(0, |origin| origin.connection_limit) as usize;
        if connections == 0 {
            limit
        } else {
            limit.min(connections / CONNECTIONS_PER_SEEDER).max(1)
        }
    }

    /// Time that the origin's link takes per chunk, in milliseconds; zero if its rate is not
    /// configured.
    pub(super) fn origin_chunk_ms(&self) -> f64 {
        const BITS_PER_MS: f64 = 1_000.0;
        let Some(link_mbps) = self.origin_profile().map(|origin| origin.link_mbps) else {
            return 0.0;
        };
        let document = self.document.as_ref();
        let service = document.and_then(|document| document.service(&self.settings.service));
        let bytes = service.and_then(|service| Some(service.engine.as_ref()?.chunk_size.0));
        if link_mbps > 0.0 {
            bytes.unwrap_or(0) as f64 * 8.0 / (link_mbps * BITS_PER_MS)
        } else {
            0.0
        }
    }

    pub(super) fn address(&self, id: &InstanceId) -> Option<SocketAddr> {
        Some(SocketAddr::new(id.as_str().parse().ok()?, self.settings.port))
    }
}

//! The weights at one agent: which versions it should serve, their progress, and when the upstream
//! may load them.

use std::sync::Arc;

use log::{info, warn};
use mustardrill_types::{
    ByteSize, ChunkIndex, FastMap, FastSet, FencingNumber, InstanceId, ManifestDigest, Millis,
    Moment,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::agent::event::{AgentEffect, AgentSettings, EngineReport, WeightsProgress};
use crate::agent::version_state::{VersionStage, VersionState};
use crate::document::CatalogueDocument;
use crate::manifest::{ChunkBitmap, Manifest};
use crate::membership::MemberTable;
use crate::placement::assign_instances;
use crate::rendezvous;
use crate::transfer::{ChunkSource, FetchOutcome, TransferPeer, TransferPlan};

/// All versions of weights that one agent should serve.
#[derive(Debug)]
pub(crate) struct WeightsTable {
    pub(super) settings: AgentSettings,
    pub(super) versions: FastMap<ManifestDigest, VersionState>,
    /// The live instances of the service from which `versions` was computed.
    live_at_refresh: Vec<InstanceId>,
    pub(super) serving: Vec<ManifestDigest>,
    pub(super) served_by: FastMap<ManifestDigest, FastSet<InstanceId>>,
    pub(super) loading: Option<ManifestDigest>,
    next_engine_read: Moment,
    random: SmallRng,
}

/// Number of tries after which a manifest is requested from the origin regardless of rank.
const MAX_PEER_TRIES: u32 = 10;

impl WeightsTable {
    pub(crate) fn new(settings: AgentSettings, seed: u64) -> Self {
        Self {
            settings,
            versions: FastMap::default(),
            live_at_refresh: Vec::new(),
            serving: Vec::new(),
            served_by: FastMap::default(),
            loading: None,
            next_engine_read: Moment(0),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn serving(&self) -> &[ManifestDigest] {
        &self.serving
    }

    /// Recomputes which versions this instance should serve, if the set of live instances has
    /// changed.
    pub(crate) fn refresh_if_changed(
        &mut self,
        now: Moment,
        document: &CatalogueDocument,
        members: &MemberTable,
    ) -> Vec<AgentEffect> {
        if self.live_instances(now, members) == self.live_at_refresh {
            return Vec::new();
        }
        self.refresh(now, document, members)
    }

    /// Recomputes which versions this instance should serve, after a change of the catalogue or the
    /// instance list.
    pub(crate) fn refresh(
        &mut self,
        now: Moment,
        document: &CatalogueDocument,
        members: &MemberTable,
    ) -> Vec<AgentEffect> {
        let service = self.settings.service.clone();
        let own = self.settings.own.id.clone();
        let live = self.live_instances(now, members);
        let mut wanted = FastMap::default();
        for (model, instances) in assign_instances(document, &service, &live) {
            let weights = document.entries.get(&model).and_then(|entry| entry.weights.as_ref());
            if let Some(weights) = weights.filter(|_| instances.contains(&own)) {
                wanted.insert(weights.manifest, (model, weights.version.clone(), instances));
            }
        }
        let mut effects = self.drop_unwanted(&wanted);
        for (digest, (model, version, instances)) in wanted {
            let peers = self.peers_of(&instances, members);
            let state = self.versions.entry(digest).or_insert_with(|| {
                info!("placement model={model} version={version} manifest={} instances={} decision=fetch", digest.short(), instances.len());
                VersionState::new(now, model, version)
            });
            state.assigned = instances;
            if let VersionStage::FetchingChunks(plan) | VersionStage::Staged(plan) =
                &mut state.stage
            {
                plan.set_peers(&peers);
            }
        }
        self.live_at_refresh = live;
        effects.extend(self.advance(now, members, None));
        effects
    }

    pub(crate) fn manifest_loaded(
        &mut self,
        now: Moment,
        manifest: Arc<Manifest>,
        digest: ManifestDigest,
        members: &MemberTable,
    ) -> Vec<AgentEffect> {
        let staged = self.staged_bytes();
        let Some(state) = self.versions.get(&digest) else { return Vec::new() };
        if !matches!(state.stage, VersionStage::FetchingManifest) {
            return Vec::new();
        }
        let peers = self.peers_of(&state.assigned, members);
        let limit = self.settings.staging_limit;
        let retry = now + self.settings.retry_every;
        let state = self.versions.get_mut(&digest).expect("the version was looked up");
        if staged.0 + manifest.size.0 > limit.0 {
            state.trouble =
                format!("needs {}, {staged} of {limit} are staged", manifest.size).into();
            state.next_try = retry;
            warn!(
                "placement manifest={} decision=refuse reason=\"{}\"",
                digest.short(),
                state.trouble
            );
            return Vec::new();
        }
        let seed = self.random.random();
        let own = self.settings.own.clone();
        let transfer = self.settings.transfer.clone();
        let mut plan = TransferPlan::new(now, own, manifest, transfer, seed);
        plan.set_peers(&peers);
        state.transfer_rate.add_sample(now, 0);
        state.trouble = "".into();
        state.stage = VersionStage::FetchingChunks(Box::new(plan));
        self.start_fetches(now, digest)
    }

    pub(crate) fn manifest_failed(&mut self, now: Moment, digest: ManifestDigest, reason: &str) {
        let retry = now + self.settings.retry_every;
        if let Some(state) = self.versions.get_mut(&digest) {
            warn!("placement manifest={} decision=retry reason=\"{reason}\"", digest.short());
            // Peers that do not have it yet are no fault to report; the next try follows soon.
            if state.tries > MAX_PEER_TRIES {
                state.trouble = reason.into();
                state.next_try = retry;
            }
        }
    }

    pub(crate) fn holdings_received(
        &mut self,
        now: Moment,
        digest: ManifestDigest,
        id: &InstanceId,
        bitmap: ChunkBitmap,
        queue: u32,
        serving: Option<bool>,
    ) -> Vec<AgentEffect> {
        match serving {
            Some(true) => {
                self.served_by.entry(digest).or_default().insert(id.clone());
            }
            Some(false) => {
                self.served_by.entry(digest).or_default().remove(id);
            }
            None => {}
        }
        if let Some(plan) = self.plan(digest) {
            plan.record_holdings(now, id, bitmap, queue);
        }
        self.start_fetches(now, digest)
    }

    pub(crate) fn peer_failed(&mut self, now: Moment, id: &InstanceId) {
        for state in self.versions.values_mut() {
            if let VersionStage::FetchingChunks(plan) | VersionStage::Staged(plan) =
                &mut state.stage
            {
                plan.record_peer_failure(now, id);
            }
        }
    }

    pub(crate) fn chunk_fetch_ended(
        &mut self,
        now: Moment,
        digest: ManifestDigest,
        index: ChunkIndex,
        source: &ChunkSource,
        outcome: &FetchOutcome,
    ) -> Vec<AgentEffect> {
        let Some(state) = self.versions.get_mut(&digest) else { return Vec::new() };
        let VersionStage::FetchingChunks(plan) = &mut state.stage else { return Vec::new() };
        plan.record_outcome(now, index, source, outcome);
        state.transfer_rate.add_sample(now, plan.held().count());
        if *outcome == FetchOutcome::Corrupt {
            warn!(
                "chunk manifest={} index={index} source={source} decision=drop reason=corrupt",
                digest.short()
            );
            if *source == ChunkSource::Origin {
                state.trouble = format!("the origin sent chunk {index} with another digest").into();
            }
        }
        if *outcome == FetchOutcome::Verified && *source == ChunkSource::Origin {
            state.trouble = "".into();
        }
        self.start_fetches(now, digest)
    }

    pub(crate) fn engine_observed(
        &mut self,
        now: Moment,
        report: Option<EngineReport>,
        members: &MemberTable,
    ) -> Vec<AgentEffect> {
        self.next_engine_read = now + self.settings.retry_every;
        let Some(report) = report else { return Vec::new() };
        if report.serving == self.serving {
            return Vec::new();
        }
        let digests: Vec<_> = report.serving.iter().map(ManifestDigest::short).collect();
        info!("serving manifests={}", digests.join(","));
        let before = std::mem::replace(&mut self.serving, report.serving);
        let added: Vec<_> =
            self.serving.iter().filter(|digest| !before.contains(digest)).copied().collect();
        added
            .into_iter()
            .filter_map(|digest| self.notify_wave_successor(now, digest, members))
            .collect()
    }

    pub(crate) fn load_answered(
        &mut self,
        now: Moment,
        digest: ManifestDigest,
        result: Result<(), Box<str>>,
    ) -> Vec<AgentEffect> {
        if self.loading == Some(digest) {
            self.loading = None;
        }
        if let Some(state) = self.versions.get_mut(&digest) {
            // Until the upstream's state has been read, a second order would only repeat the first.
            state.next_try = now + self.settings.retry_every;
            if let Err(reason) = result {
                warn!("load manifest={} decision=retry reason=\"{reason}\"", digest.short());
                state.trouble = reason;
            }
        }
        // Regardless of the response, only the weights that the upstream reports as served count.
        vec![AgentEffect::ReadEngine]
    }

    /// Advances every version: manifests, overdue fetches, exchanges of holdings, and loads.
    pub(crate) fn advance(
        &mut self,
        now: Moment,
        members: &MemberTable,
        fence: Option<FencingNumber>,
    ) -> Vec<AgentEffect> {
        let mut effects = Vec::new();
        if self.settings.is_engine && now >= self.next_engine_read {
            self.next_engine_read = now + self.settings.retry_every;
            effects.push(AgentEffect::ReadEngine);
        }
        let mut digests: Vec<_> = self.versions.keys().copied().collect();
        digests.sort_unstable();
        for digest in digests {
            match self.versions[&digest].stage {
                VersionStage::FetchingManifest => {
                    effects.extend(self.request_manifest(now, digest))
                }
                VersionStage::FetchingChunks(_) => {
                    effects.extend(self.continue_fetching(now, digest))
                }
                VersionStage::Staged(_) => {
                    effects.extend(self.order_load_if_due(now, digest, members, fence));
                }
            }
        }
        effects
    }

    pub(crate) fn progress(&self, now: Moment) -> Vec<WeightsProgress> {
        let mut rows: Vec<_> = self
            .versions
            .iter()
            .map(|(digest, state)| {
                let plan = state.plan();
                let counts = plan.map(TransferPlan::counts).unwrap_or_default();
                WeightsProgress {
                    model: state.model.clone(),
                    digest: *digest,
                    held: plan.map_or(0, |plan| plan.held().count()),
                    total: plan.map_or(0, |plan| plan.manifest().chunk_count()),
                    origin_bytes: counts.origin_bytes,
                    peer_bytes: counts.peer_bytes,
                    remaining: state.remaining(now),
                    state: self.state_name(*digest, state),
                    trouble: state.trouble.clone(),
                }
            })
            .collect();
        rows.sort_by(|left, right| left.model.cmp(&right.model));
        rows
    }

    pub(crate) fn held(&self, digest: ManifestDigest) -> Option<&ChunkBitmap> {
        self.versions.get(&digest).and_then(VersionState::plan).map(TransferPlan::held)
    }

    pub(crate) fn holders(&self, digest: ManifestDigest, index: ChunkIndex) -> Vec<InstanceId> {
        const MAX_HOLDERS: usize = 4;
        let plan = self.versions.get(&digest).and_then(VersionState::plan);
        plan.map_or_else(Vec::new, |plan| plan.partners().holders(index, MAX_HOLDERS))
    }

    fn live_instances(&self, now: Moment, members: &MemberTable) -> Vec<InstanceId> {
        let live = members.live_instances(now, &self.settings.service);
        let staying = live.into_iter().filter(|record| !record.leaving);
        staying.map(|record| record.id.clone()).collect()
    }

    fn plan(&mut self, digest: ManifestDigest) -> Option<&mut TransferPlan> {
        match &mut self.versions.get_mut(&digest)?.stage {
            VersionStage::FetchingChunks(plan) | VersionStage::Staged(plan) => Some(plan),
            VersionStage::FetchingManifest => None,
        }
    }

    fn peers_of(&self, instances: &[InstanceId], members: &MemberTable) -> Vec<TransferPeer> {
        let per_region = self.settings.copy_per_region;
        instances
            .iter()
            .filter_map(|id| members.get(id))
            .filter(|record| !per_region || record.region == self.settings.region)
            .map(|record| TransferPeer {
                id: record.id.clone(),
                data_centre: record.data_centre.clone(),
            })
            .collect()
    }

    fn staged_bytes(&self) -> ByteSize {
        let plans = self.versions.values().filter_map(VersionState::plan);
        ByteSize(plans.map(|plan| plan.manifest().size.0).sum())
    }

    fn drop_unwanted<T>(&mut self, wanted: &FastMap<ManifestDigest, T>) -> Vec<AgentEffect> {
        let is_unwanted = |digest: &&ManifestDigest| !wanted.contains_key(*digest);
        let mut unwanted: Vec<_> = self.versions.keys().filter(is_unwanted).copied().collect();
        unwanted.sort_unstable();
        for digest in &unwanted {
            info!("placement manifest={} decision=drop reason=not-wanted", digest.short());
            self.versions.remove(digest);
            self.served_by.remove(digest);
        }
        unwanted.into_iter().map(AgentEffect::DropWeights).collect()
    }

    /// Requests a manifest: a few instances ask the origin, the other instances ask peers first, so
    /// that not all ask the origin at once.
    fn request_manifest(&mut self, now: Moment, digest: ManifestDigest) -> Option<AgentEffect> {
        const ORIGIN_FETCHERS: usize = 2;
        const PEERS_PER_TRY: usize = 3;
        const PEER_RETRY_DELAY: Millis = Millis(50);
        let own = &self.settings.own.id;
        let state = self.versions.get_mut(&digest)?;
        if now < state.next_try {
            return None;
        }
        let ranked = rendezvous::ranked(&digest.0, &state.assigned, |id| id.as_str());
        let asks_origin = ranked.iter().take(ORIGIN_FETCHERS).any(|id| *id == own);
        let other_ids: Vec<_> = state.assigned.iter().filter(|id| *id != own).collect();
        let mut sources = Vec::new();
        if !asks_origin && !other_ids.is_empty() {
            let mut random_peer =
                || other_ids[self.random.random_range(0..other_ids.len())].clone();
            sources.extend((0..PEERS_PER_TRY).map(|_| ChunkSource::Peer(random_peer())));
        }
        state.tries += 1;
        if asks_origin || state.tries > MAX_PEER_TRIES {
            sources.push(ChunkSource::Origin);
            state.next_try = now + self.settings.retry_every;
        } else {
            state.next_try = now + PEER_RETRY_DELAY;
        }
        let (model, version) = (state.model.clone(), state.version.clone());
        Some(AgentEffect::FetchManifest { model, version, digest, sources })
    }

    fn continue_fetching(&mut self, now: Moment, digest: ManifestDigest) -> Vec<AgentEffect> {
        let interval = self.settings.exchange_every;
        let Some(plan) = self.plan(digest) else { return Vec::new() };
        let overdue = plan.expire_fetches(now);
        let stale = plan.partners().stale_partners(now, interval);
        let mut effects: Vec<_> = overdue
            .into_iter()
            .map(|(index, source)| AgentEffect::CancelFetch(digest, index, source))
            .collect();
        effects.extend(stale.into_iter().map(|id| AgentEffect::Exchange(digest, id)));
        effects.extend(self.start_fetches(now, digest));
        effects
    }

    /// Starts fetches, or records that the copy is complete.
    fn start_fetches(&mut self, now: Moment, digest: ManifestDigest) -> Vec<AgentEffect> {
        let Some(state) = self.versions.get_mut(&digest) else { return Vec::new() };
        let VersionStage::FetchingChunks(plan) = &mut state.stage else { return Vec::new() };
        if plan.is_complete() {
            let counts = plan.counts();
            info!(
                "staged manifest={} origin_bytes={} peer_bytes={}",
                digest.short(),
                counts.origin_bytes,
                counts.peer_bytes
            );
            let stage = std::mem::replace(&mut state.stage, VersionStage::FetchingManifest);
            if let VersionStage::FetchingChunks(plan) = stage {
                state.stage = VersionStage::Staged(plan);
            }
            state.trouble = "".into();
            return Vec::new();
        }
        let fetches = plan.next_fetches(now);
        fetches
            .into_iter()
            .map(|fetch| {
                log::debug!(
                    "chunk manifest={} index={} source={} decision=draw",
                    digest.short(),
                    fetch.index,
                    fetch.source
                );
                AgentEffect::FetchChunk(digest, fetch)
            })
            .collect()
    }

    fn state_name(&self, digest: ManifestDigest, state: &VersionState) -> &'static str {
        match &state.stage {
            _ if self.serving.contains(&digest) => "serving",
            _ if self.loading == Some(digest) => "loading",
            _ if !state.trouble.is_empty() => "stuck",
            VersionStage::FetchingManifest => "manifest",
            VersionStage::FetchingChunks(_) => "fetching",
            VersionStage::Staged(_) => "staged",
        }
    }
}

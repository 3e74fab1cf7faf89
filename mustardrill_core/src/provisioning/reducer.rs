//! The reducer of an agent that provisions its engine: handles all events.

use std::net::IpAddr;
use std::sync::Arc;

use log::info;
use mustardrill_types::{
    ChunkIndex, FastMap, InstanceId, Millis, ModelName, Moment, WeightVersion,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::direct::{
    AnnouncementTime, FleetChange, FleetUpdate, RouteDocument, UpstreamRecord, VersionTable,
};
use crate::manifest::Manifest;
use crate::provisioning::event::{
    EngineView, ProvisioningEffect, ProvisioningEvent, ProvisioningSettings, ProvisioningStatus,
    VersionId,
};
use crate::provisioning::load_ledger::LoadLedger;
use crate::provisioning::load_order::LoadOrder;
use crate::provisioning::pending_manifest::PendingManifest;
use crate::relays::RelayTable;
use crate::transfer::{TransferPeer, TransferPlan};

/// The version that engines hold before any is announced.
const INITIAL_VERSION: WeightVersion = WeightVersion(1);

/// How long a load order may remain without effect at an idle engine before the staged copy is
/// verified and the order given again.
pub(super) const LOAD_ORDER_TIMEOUT: Millis = Millis(4_000);

/// Provisioning stage of the wanted version.
#[derive(Debug)]
pub(super) enum ProvisioningStage {
    /// Its manifest is being fetched.
    FetchingManifest { next_try: Moment, tries: u32 },
    /// A copy staged by an earlier run is being read to find the chunks that can be kept.
    InspectingStaged(Box<TransferPlan>),
    /// Its chunks are being fetched.
    FetchingChunks(Box<TransferPlan>),
    /// All chunks are staged, since the given time; waits for the load slot.
    AwaitingSlot(Box<TransferPlan>, Moment),
    /// The staged chunks are being verified before the load order.
    VerifyingStaged(Box<TransferPlan>),
    /// The engine was ordered to load them; ends once it serves them and the load is proven.
    Loading(Box<TransferPlan>, LoadOrder),
}

/// The provisioning state of one agent.
#[derive(Debug)]
pub struct ProvisioningReducer {
    pub(super) settings: ProvisioningSettings,
    pub(super) document: Option<Arc<RouteDocument>>,
    /// The agents of this service by id, which is the IP address of their machine.
    pub(super) peers: FastMap<InstanceId, TransferPeer>,
    /// The entries, which relay chunks.
    pub(super) relays: RelayTable,
    /// The agent of each registration, to find it when that registration ends.
    agents_by_registration: FastMap<InstanceId, InstanceId>,
    pub(super) versions: VersionTable,
    pub(super) engine: Option<EngineView>,
    /// Whether the engine's state has been polled at least once.
    pub(super) is_engine_polled: bool,
    /// The last state that the engine reported; kept while it does not respond, to detect a
    /// restart.
    pub(super) last_engine_view: Option<EngineView>,
    pub(super) wanted: Option<VersionId>,
    pub(super) stage: Option<ProvisioningStage>,
    /// What is known of the engine's loads.
    pub(super) ledger: LoadLedger,
    /// The version of which all chunks are staged, and their number.
    pub(super) staged: Option<(VersionId, u32)>,
    pub(super) holdings_sent_at: Moment,
    /// Number of held chunks that other agents fetch from here first, at the last report of
    /// holdings.
    pub(super) awaited_when_sent: usize,
    /// Manifest of a newer version that was announced while the current one is provisioned.
    pub(super) newer_manifest: Option<PendingManifest>,
    /// When a manifest was last fetched for other agents.
    pub(super) peer_manifest_fetched_at: Moment,
    /// The version that the entries were notified of as pending.
    pub(super) update_pending_reported: Option<VersionId>,
    /// The load slot that the entries were notified of.
    pub(super) load_slot_reported: Option<Moment>,
    /// Whether the staged copy may hold chunks of the wanted version, as after a restart.
    pub(super) inspects_staged: bool,
    pub(super) random: SmallRng,
}

impl ProvisioningReducer {
    /// Creates a reducer without any state. `seed` drives the random choices between equal
    /// candidates.
    pub fn new(settings: ProvisioningSettings, seed: u64) -> Self {
        Self {
            settings,
            document: None,
            peers: FastMap::default(),
            relays: RelayTable::default(),
            agents_by_registration: FastMap::default(),
            versions: VersionTable::default(),
            engine: None,
            is_engine_polled: false,
            last_engine_view: None,
            wanted: None,
            stage: None,
            ledger: LoadLedger::default(),
            staged: None,
            holdings_sent_at: Moment(0),
            awaited_when_sent: 0,
            newer_manifest: None,
            peer_manifest_fetched_at: Moment(0),
            update_pending_reported: None,
            load_slot_reported: None,
            inspects_staged: true,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Handles an event at `now` and returns the effects to carry out.
    pub fn reduce(&mut self, now: Moment, event: ProvisioningEvent) -> Vec<ProvisioningEffect> {
        let mut effects = match event {
            ProvisioningEvent::FleetUpdated(update) => self.apply_fleet_update(now, update),
            ProvisioningEvent::VersionReported(model, version) => {
                self.record_announcement(now, &model, version)
            }
            ProvisioningEvent::EntriesRead(relays) => {
                self.relays.set_relays(relays);
                self.update_plan_members();
                Vec::new()
            }
            ProvisioningEvent::EnginePolled(view) => self.engine_observed(now, view),
            ProvisioningEvent::ManifestFetched(version, manifest) => {
                self.manifest_received(now, version, manifest)
            }
            ProvisioningEvent::ManifestRequested(version) => self.manifest_requested(now, &version),
            ProvisioningEvent::HoldingsReceived(report) => self.holdings_received(now, &report),
            ProvisioningEvent::ChunkReceived(version, index, source) => {
                self.chunk_received(now, &version, index, &source);
                Vec::new()
            }
            ProvisioningEvent::FetchEnded(version, index, source, outcome) => {
                self.chunk_fetch_ended(now, &version, index, &source, &outcome);
                Vec::new()
            }
            ProvisioningEvent::StagedVerified(version, intact) => {
                self.staged_verified(now, &version, &intact)
            }
            ProvisioningEvent::LoadRecordRead(record) => {
                self.ledger.apply_read(record, self.engine.as_ref());
                self.reaffirm_proof()
            }
            ProvisioningEvent::LoadRecordStored(record) => {
                self.ledger.record_stored(&record);
                Vec::new()
            }
            ProvisioningEvent::LoadOrderEnded(version, outcome) => {
                self.load_answered(now, &version, outcome)
            }
            ProvisioningEvent::Tick => Vec::new(),
        };
        effects.extend(self.advance(now));
        effects
    }

    /// Whether provisioning is in progress, so that the agent needs frequent ticks.
    pub fn is_busy(&self) -> bool {
        self.stage.is_some()
    }

    /// Whether a chunk of a version is staged here.
    pub fn holds(&self, version: &VersionId, index: ChunkIndex) -> bool {
        if self.staged.as_ref().is_some_and(|(staged, _)| staged == version) {
            return true;
        }
        self.wanted.as_ref() == Some(version)
            && self.plan().is_some_and(|plan| plan.held().contains(index))
    }

    /// The progress of provisioning, for operators.
    pub fn status(&self) -> ProvisioningStatus {
        ProvisioningStatus {
            wanted: self.wanted.clone(),
            held: self.plan().map_or(0, |plan| plan.held().count()),
            total: self.plan().map_or(0, |plan| plan.manifest().chunk_count()),
            serving: self.wanted.is_some() && self.stage.is_none(),
        }
    }

    fn plan(&self) -> Option<&TransferPlan> {
        match self.stage.as_ref()? {
            ProvisioningStage::FetchingManifest { .. } => None,
            ProvisioningStage::InspectingStaged(plan)
            | ProvisioningStage::FetchingChunks(plan)
            | ProvisioningStage::AwaitingSlot(plan, _)
            | ProvisioningStage::VerifyingStaged(plan)
            | ProvisioningStage::Loading(plan, _) => Some(plan),
        }
    }

    pub(super) fn plan_mut(&mut self) -> Option<&mut TransferPlan> {
        match self.stage.as_mut()? {
            ProvisioningStage::FetchingManifest { .. } => None,
            ProvisioningStage::InspectingStaged(plan)
            | ProvisioningStage::FetchingChunks(plan)
            | ProvisioningStage::AwaitingSlot(plan, _)
            | ProvisioningStage::VerifyingStaged(plan)
            | ProvisioningStage::Loading(plan, _) => Some(plan),
        }
    }

    fn apply_fleet_update(&mut self, now: Moment, update: FleetUpdate) -> Vec<ProvisioningEffect> {
        let mut effects = Vec::new();
        // The announcement time of a version found at the agent's start is unknown.
        let is_first_snapshot = update.is_snapshot && self.document.is_none();
        let announced_at = if is_first_snapshot { Moment(0) } else { now };
        if update.is_snapshot {
            self.peers.clear();
            self.agents_by_registration.clear();
            self.relays.set_relays(Vec::new());
        }
        for change in update.changes {
            match change {
                FleetChange::Configured(document) => self.apply_configuration(document),
                FleetChange::Upstream(record) => self.record_registration(&record),
                FleetChange::UpstreamGone(id) | FleetChange::UpstreamInvalid(id) => {
                    self.remove_registration(&id)
                }
                FleetChange::VersionAnnounced(model, version) => {
                    let read_peers = self.record_announcement(announced_at, &model, version);
                    if !update.is_snapshot {
                        effects.extend(read_peers);
                    }
                }
                FleetChange::Peer(relay) => self.relays.add(relay),
                FleetChange::PeerGone(id) => self.relays.remove(&id),
                // A new configuration rarely concerns the loading of weights, so the one before
                // stays in use. The record of the agent's own engine is read when it is needed.
                // Quarantines and evacuations concern requests, which this reducer does not handle.
                // Engines of an evacuated data centre go on loading weights, so that they hold the
                // current ones when it is taken back.
                FleetChange::ConfigurationUnreadable(_)
                | FleetChange::LoadRecorded(_)
                | FleetChange::Quarantined(..)
                | FleetChange::EvacuationRequested(_)
                | FleetChange::EvacuationEnded(_) => {}
            }
        }
        self.update_plan_members();
        effects
    }

    /// Applies a configuration unless it is older than the current one: an entry that is cut off
    /// from the store sends old ones.
    fn apply_configuration(&mut self, document: Arc<RouteDocument>) {
        let known = self.document.as_ref().map(|known| known.generation);
        if known.is_none_or(|known| known <= document.generation) {
            self.document = Some(document);
        }
    }

    /// Records an announced version. The known peers may be outdated by then, so they are read
    /// again to find the other agents that need it.
    fn record_announcement(
        &mut self,
        since: Moment,
        model: &ModelName,
        version: WeightVersion,
    ) -> Vec<ProvisioningEffect> {
        if !self.versions.announce(model, version, AnnouncementTime::bounded(since, since)) {
            return Vec::new();
        }
        info!("weights model={model} version={version} outcome=named");
        vec![ProvisioningEffect::ReadPeers]
    }

    /// Passes the current peers and entries to the transfer in progress.
    fn update_plan_members(&mut self) {
        let (peers, relays) = (self.transfer_peers(), self.relays.all().to_vec());
        if let Some(plan) = self.plan_mut() {
            plan.set_peers(&peers);
            plan.set_relays(relays);
        }
    }

    fn record_registration(&mut self, record: &UpstreamRecord) {
        let Some(id) = agent_id_of(record.address.ip()) else { return };
        if record.service != self.settings.service {
            return;
        }
        // An agent that shuts down may be gone before it has passed on the chunks that it is to
        // fetch.
        if record.leaving {
            self.peers.remove(&id);
            return;
        }
        self.agents_by_registration.insert(record.id.clone(), id.clone());
        let data_centre = record.data_centre.clone();
        self.peers.insert(id.clone(), TransferPeer { id, data_centre });
    }

    /// Removes the peer whose registration ended, unless its machine has a newer registration:
    /// after a restart the new one appears at once, while the old one ends some seconds later.
    fn remove_registration(&mut self, id: &InstanceId) {
        let Some(peer) = self.agents_by_registration.remove(id) else { return };
        if !self.agents_by_registration.values().any(|other| *other == peer) {
            self.peers.remove(&peer);
        }
    }

    /// All agents of the service, this one included.
    pub(super) fn transfer_peers(&self) -> Vec<TransferPeer> {
        let mut peers: Vec<_> = self.peers.values().cloned().collect();
        if !self.peers.contains_key(&self.settings.own_id) {
            let id = self.settings.own_id.clone();
            peers.push(TransferPeer { id, data_centre: self.settings.data_centre.clone() });
        }
        peers.sort_by(|left, right| left.id.cmp(&right.id));
        peers
    }

    pub(super) fn expected_chunk_count(&self) -> Option<u32> {
        let document = self.document.as_ref()?;
        let engine = document.service(&self.settings.service)?.engine.as_ref()?;
        Some(engine.chunks)
    }

    /// The version that the engine should serve.
    fn target_version(&self) -> Option<VersionId> {
        let document = self.document.as_ref()?;
        let engine = document.service(&self.settings.service)?.engine.as_ref()?;
        let model = engine.models.first()?.name.clone();
        let version = self.versions.newest(&model).unwrap_or(INITIAL_VERSION);
        Some(VersionId { model, version })
    }

    /// Advances the current stage and collects the effects.
    fn advance(&mut self, now: Moment) -> Vec<ProvisioningEffect> {
        let mut effects = self.select_version(now);
        self.assume_staged();
        let Some(stage) = self.stage.take() else { return effects };
        let Some(wanted) = self.wanted.clone() else { return effects };
        let (next_stage, effects_of_stage) = self.advance_stage(now, &wanted, stage);
        self.stage = next_stage;
        effects.extend(effects_of_stage);
        effects.extend(self.record_order(&wanted));
        effects.extend(self.send_holdings(now, &wanted));
        effects
    }

    /// Starts provisioning a newly wanted version, or finishes where the engine serves it.
    fn select_version(&mut self, now: Moment) -> Vec<ProvisioningEffect> {
        let Some(target) = self.target_version() else { return Vec::new() };
        // An engine that has never responded is still starting; its weights are fetched meanwhile.
        let engine_is_starting = self.is_engine_polled && self.last_engine_view.is_none();
        if self.engine.is_none() && !engine_is_starting {
            return Vec::new();
        }
        let serves = self.serves(&target);
        let serving = self.engine.as_ref().and_then(|engine| engine.serving.first());
        let served = serving.map_or("none".into(), |served| version_id_of(served).to_string());
        let is_proven = serves && self.ledger.is_proven(&target);
        if serves && !is_proven && !self.ledger.is_read() {
            // The record of an earlier process tells whether the load that it ordered is proven.
            return self.read_load_record();
        }
        if self.wanted.as_ref() == Some(&target) && self.stage.is_some() {
            if !is_proven || self.is_reloading() {
                return Vec::new();
            }
            self.stage = None;
            self.inspects_staged = false;
            info!("weights version={target} outcome=served");
            return vec![self.notify_serving(&target)];
        }
        if is_proven {
            self.wanted = Some(target);
            return Vec::new();
        }
        if self.keeps_older_version(&target) {
            return self.request_newer_manifest(now, target);
        }
        let cancelled =
            self.plan().map(TransferPlan::pending_fetches).unwrap_or_default().into_iter();
        let cancel = |(index, source)| ProvisioningEffect::CancelFetch(index, source);
        let mut effects: Vec<_> = cancelled.map(cancel).collect();
        if self.wanted.as_ref() != Some(&target) {
            // All layers of another version are taken anew.
            self.ledger.cancel_reload();
        }
        if let Some(previous) =
            self.wanted.replace(target.clone()).filter(|previous| *previous != target)
        {
            effects.push(ProvisioningEffect::DropManifest(previous));
        }
        info!(
            "weights version={target} decision=stock serving={served} inspect={}",
            self.inspects_staged
        );
        self.stage = Some(ProvisioningStage::FetchingManifest { next_try: now, tries: 0 });
        let newer = self.newer_manifest.take().filter(|newer| newer.version == target);
        if let Some((manifest, _)) = newer.and_then(|newer| newer.manifest) {
            effects.extend(self.start_transfer(now, target, manifest));
        }
        effects
    }

    /// Advances a stage; returns the next stage and the effects.
    fn advance_stage(
        &mut self,
        now: Moment,
        wanted: &VersionId,
        stage: ProvisioningStage,
    ) -> (Option<ProvisioningStage>, Vec<ProvisioningEffect>) {
        match stage {
            ProvisioningStage::FetchingManifest { next_try, tries } if next_try <= now => {
                let sources = self.manifest_sources(now, wanted, tries);
                let next_try = now + self.manifest_retry_delay(tries);
                let stage = ProvisioningStage::FetchingManifest { next_try, tries: tries + 1 };
                (Some(stage), vec![ProvisioningEffect::FetchManifest(wanted.clone(), sources)])
            }
            ProvisioningStage::FetchingChunks(plan) => self.fetch_chunks(now, wanted, plan),
            ProvisioningStage::AwaitingSlot(plan, staged) => {
                self.await_load_slot(now, wanted, plan, staged)
            }
            ProvisioningStage::Loading(plan, order) => self.advance_load(now, wanted, plan, order),
            stage => (Some(stage), Vec::new()),
        }
    }

    /// Whether the engine answers and carries out no order. It may be silent for seconds, and takes
    /// as long for an order as its running requests take.
    pub(super) fn is_engine_idle(&self) -> bool {
        self.engine.as_ref().is_some_and(|engine| !engine.busy)
    }

    fn manifest_received(
        &mut self,
        now: Moment,
        version: VersionId,
        manifest: Option<Arc<Manifest>>,
    ) -> Vec<ProvisioningEffect> {
        let Some(manifest) = manifest else { return Vec::new() };
        if let Some(newer) = &mut self.newer_manifest
            && newer.version == version
        {
            newer.manifest.get_or_insert((manifest, now));
            return Vec::new();
        }
        let Some(ProvisioningStage::FetchingManifest { .. }) = &self.stage else {
            return Vec::new();
        };
        if self.wanted.as_ref() != Some(&version) {
            return Vec::new();
        }
        self.start_transfer(now, version, manifest)
    }

    /// Starts the transfer of the chunks of a manifest.
    fn start_transfer(
        &mut self,
        now: Moment,
        version: VersionId,
        manifest: Arc<Manifest>,
    ) -> Vec<ProvisioningEffect> {
        let peers = self.transfer_peers();
        let own = TransferPeer {
            id: self.settings.own_id.clone(),
            data_centre: self.settings.data_centre.clone(),
        };
        let mut transfer = self.settings.transfer.clone();
        transfer.origin_chunk_ms = self.origin_chunk_ms();
        transfer.max_seeders = self.origin_seeders();
        let announced = self.versions.announced_at(&version.model, version.version);
        transfer.prefers_relays = announced.is_some_and(|announced_at| announced_at > Moment(0));
        let mut plan = TransferPlan::new(now, own, manifest, transfer, self.random.random());
        plan.set_peers(&peers);
        plan.set_relays(self.relays.all().to_vec());
        self.holdings_sent_at = Moment(0);
        if self.engine.is_some() && std::mem::take(&mut self.inspects_staged) {
            self.stage = Some(ProvisioningStage::InspectingStaged(Box::new(plan)));
            return vec![ProvisioningEffect::VerifyStaged(version)];
        }
        // From the first chunk on, the staged copy no longer is the earlier version.
        self.staged = None;
        self.ledger.record_staging();
        self.stage = Some(ProvisioningStage::FetchingChunks(Box::new(plan)));
        Vec::new()
    }
}

/// The weights that an engine serves, as a version.
pub(super) fn version_id_of(served: &crate::direct::ServedWeights) -> VersionId {
    VersionId { model: served.model.clone(), version: served.version }
}

/// The id of the agent on a machine, the same for all agents.
fn agent_id_of(address: IpAddr) -> Option<InstanceId> {
    address.to_string().parse().ok()
}

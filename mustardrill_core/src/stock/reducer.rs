//! One reducer over all events of an agent that stocks its engine.

use std::net::IpAddr;
use std::sync::Arc;

use log::{info, warn};
use mustardrill_types::{
    ChunkIndex, FastMap, InstanceId, Millis, ModelName, Moment, WeightVersion,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::direct::{
    AnnouncementTime, EngineWord, FleetChange, FleetUpdate, RouteDocument, UpstreamRecord,
    VersionTable,
};
use crate::manifest::Manifest;
use crate::relays::RelayTable;
use crate::stock::event::{
    EngineView, StockEffect, StockEvent, StockSettings, StockStatus, VersionId,
};
use crate::stock::pending_manifest::FollowingList;
use crate::transfer::{TransferPeer, TransferPlan};

/// The version that engines hold before any is named.
const FIRST_VERSION: WeightVersion = WeightVersion(1);

/// How long an order may take before it is looked at again.
pub(super) const ORDER_PATIENCE: Millis = Millis(4_000);

/// Where the wanted version stands.
#[derive(Debug)]
pub(super) enum StockStage {
    /// Its list of chunks is awaited.
    Listing { next_try: Moment, tries: u32 },
    /// An earlier staged copy is looked at.
    Inspecting(Box<TransferPlan>),
    /// Its chunks are drawn.
    Drawing(Box<TransferPlan>),
    /// All chunks are staged; its turn is awaited.
    Staged(Box<TransferPlan>, Moment),
    /// The staged chunks are read back before the order.
    Checking(Box<TransferPlan>),
    /// The engine was ordered to load them.
    Ordered(Box<TransferPlan>, OrderState),
}

/// An order that was given.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrderState {
    pub(super) since: Moment,
    /// How many the engine had taken before.
    pub(super) sequence: u64,
    /// Whether the engine has taken it; what is staged may be replaced from then on.
    pub(super) taken: bool,
}

/// The state of one agent.
#[derive(Debug)]
pub struct StockReducer {
    pub(super) settings: StockSettings,
    pub(super) document: Option<Arc<RouteDocument>>,
    /// The upstreams of this service by the address of their machine.
    pub(super) peers: FastMap<InstanceId, TransferPeer>,
    /// The entries, which hand chunks on.
    pub(super) relays: RelayTable,
    /// Registrations, to find the peer that one ends.
    registered: FastMap<InstanceId, InstanceId>,
    pub(super) versions: VersionTable,
    pub(super) engine: Option<EngineView>,
    /// Whether the engine was asked for its state at all.
    pub(super) looked: bool,
    /// What the engine told last; kept while it does not answer, to tell a restart by.
    pub(super) last_view: Option<EngineView>,
    pub(super) wanted: Option<VersionId>,
    pub(super) stage: Option<StockStage>,
    /// The version whose chunks are staged whole.
    pub(super) staged: Option<(VersionId, u32)>,
    pub(super) told: Moment,
    /// The chunks that others awaited from here when they were told last.
    pub(super) told_awaited: usize,
    /// The list of a version that is to follow the one under way.
    pub(super) following: Option<FollowingList>,
    /// When a list was last fetched for others.
    pub(super) list_lent: Moment,
    /// The version of which the entries were told that it is coming.
    pub(super) announced: Option<VersionId>,
    /// The turn of which the entries were told.
    pub(super) closing_told: Option<Moment>,
    /// Whether the staged copy may be of the version wanted, after a restart.
    pub(super) inspect: bool,
    pub(super) random: SmallRng,
}

impl StockReducer {
    /// A reducer that knows nothing yet. `seed` decides between equals.
    pub fn new(settings: StockSettings, seed: u64) -> Self {
        Self {
            settings,
            document: None,
            peers: FastMap::default(),
            relays: RelayTable::default(),
            registered: FastMap::default(),
            versions: VersionTable::default(),
            engine: None,
            looked: false,
            last_view: None,
            wanted: None,
            stage: None,
            staged: None,
            told: Moment(0),
            told_awaited: 0,
            following: None,
            list_lent: Moment(0),
            announced: None,
            closing_told: None,
            inspect: true,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes an event at `now` and returns what is to be done.
    pub fn reduce(&mut self, now: Moment, event: StockEvent) -> Vec<StockEffect> {
        let mut effects = match event {
            StockEvent::Fleet(page) => self.fleet_seen(now, page),
            StockEvent::VersionHeard(model, version) => self.named(now, &model, version),
            StockEvent::RelaysSeen(relays) => {
                self.relays.set_relays(relays);
                self.tell_plan();
                Vec::new()
            }
            StockEvent::EngineSeen(view) => self.engine_seen(now, view),
            StockEvent::ListSeen(version, list) => self.list_seen(now, version, list),
            StockEvent::ListWanted(version) => self.list_wanted(now, &version),
            StockEvent::HoldingSeen(news) => self.holding_seen(now, &news),
            StockEvent::DrawEnded(version, index, source, outcome) => {
                self.draw_ended(now, &version, index, &source, &outcome);
                Vec::new()
            }
            StockEvent::ReadBack(version, whole) => self.read_back(now, &version, &whole),
            StockEvent::Ordered(version, fate) => self.ordered(now, &version, fate),
            StockEvent::Woke => Vec::new(),
        };
        effects.extend(self.advance(now));
        effects
    }

    /// Whether there is anything to be done soon, so that the agent looks at the time often.
    pub fn is_busy(&self) -> bool {
        self.stage.is_some()
    }

    /// Whether a version's chunk is staged here.
    pub fn holds(&self, version: &VersionId, index: ChunkIndex) -> bool {
        if self.staged.as_ref().is_some_and(|(staged, _)| staged == version) {
            return true;
        }
        self.wanted.as_ref() == Some(version)
            && self.plan().is_some_and(|plan| plan.held().contains(index))
    }

    /// Where the stocking stands.
    pub fn status(&self) -> StockStatus {
        StockStatus {
            wanted: self.wanted.clone(),
            held: self.plan().map_or(0, |plan| plan.held().count()),
            total: self.plan().map_or(0, |plan| plan.manifest().chunk_count()),
            serving: self.wanted.is_some() && self.stage.is_none(),
        }
    }

    fn plan(&self) -> Option<&TransferPlan> {
        match self.stage.as_ref()? {
            StockStage::Listing { .. } => None,
            StockStage::Inspecting(plan)
            | StockStage::Drawing(plan)
            | StockStage::Staged(plan, _)
            | StockStage::Checking(plan)
            | StockStage::Ordered(plan, _) => Some(plan),
        }
    }

    pub(super) fn plan_mut(&mut self) -> Option<&mut TransferPlan> {
        match self.stage.as_mut()? {
            StockStage::Listing { .. } => None,
            StockStage::Inspecting(plan)
            | StockStage::Drawing(plan)
            | StockStage::Staged(plan, _)
            | StockStage::Checking(plan)
            | StockStage::Ordered(plan, _) => Some(plan),
        }
    }

    fn fleet_seen(&mut self, now: Moment, page: FleetUpdate) -> Vec<StockEffect> {
        let mut effects = Vec::new();
        // What an agent finds at its start was named nobody knows when.
        let is_start = page.is_snapshot && self.document.is_none();
        let named_since = if is_start { Moment(0) } else { now };
        if page.is_snapshot {
            self.peers.clear();
            self.registered.clear();
            self.relays.set_relays(Vec::new());
        }
        for change in page.changes {
            match change {
                FleetChange::Configured(document) => self.configured(document),
                FleetChange::Upstream(record) => self.register(&record),
                FleetChange::UpstreamGone(id) | FleetChange::UpstreamInvalid(id) => {
                    self.forget(&id)
                }
                FleetChange::VersionAnnounced(model, version) => {
                    let read_peers = self.named(named_since, &model, version);
                    if !page.is_snapshot {
                        effects.extend(read_peers);
                    }
                }
                FleetChange::Peer(relay) => self.relays.add(relay),
                FleetChange::PeerGone(id) => self.relays.remove(&id),
                // Agents run no requests.
                FleetChange::Quarantined(_) => {}
            }
        }
        self.tell_plan();
        effects
    }

    /// Takes a configuration over; an entry that is cut off from the store tells of an older one.
    fn configured(&mut self, document: Arc<RouteDocument>) {
        let known = self.document.as_ref().map(|known| known.generation);
        if known.is_none_or(|known| known <= document.generation) {
            self.document = Some(document);
        }
    }

    /// Notes a version; who else needs it was read long ago, so that is read anew.
    fn named(
        &mut self,
        since: Moment,
        model: &ModelName,
        version: WeightVersion,
    ) -> Vec<StockEffect> {
        if !self.versions.announce(model, version, AnnouncementTime::observed(since, since)) {
            return Vec::new();
        }
        info!("weights model={model} version={version} outcome=named");
        vec![StockEffect::ReadPeers]
    }

    /// Tells a transfer under way who there is.
    fn tell_plan(&mut self) {
        let (peers, relays) = (self.transfer_peers(), self.relays.all().to_vec());
        if let Some(plan) = self.plan_mut() {
            plan.set_peers(&peers);
            plan.set_relays(relays);
        }
    }

    fn register(&mut self, record: &UpstreamRecord) {
        let Some(id) = machine(record.address.ip()) else { return };
        if record.service != self.settings.service {
            return;
        }
        // One that leaves may be gone before it has handed on what it is to draw.
        if record.leaving {
            self.peers.remove(&id);
            return;
        }
        self.registered.insert(record.id.clone(), id.clone());
        let data_centre = record.data_centre.clone();
        self.peers.insert(id.clone(), TransferPeer { id, data_centre });
    }

    /// Forgets the peer whose registration ended, unless its machine has a newer one: a restart
    /// registers at once, and the registration of before ends some seconds later.
    fn forget(&mut self, id: &InstanceId) {
        let Some(peer) = self.registered.remove(id) else { return };
        if !self.registered.values().any(|other| *other == peer) {
            self.peers.remove(&peer);
        }
    }

    /// All agents of the service, this one included.
    pub(super) fn transfer_peers(&self) -> Vec<TransferPeer> {
        let mut peers: Vec<_> = self.peers.values().cloned().collect();
        if !self.peers.contains_key(&self.settings.own) {
            let id = self.settings.own.clone();
            peers.push(TransferPeer { id, data_centre: self.settings.data_centre.clone() });
        }
        peers.sort_by(|left, right| left.id.cmp(&right.id));
        peers
    }

    pub(super) fn total_chunks(&self) -> Option<u32> {
        let document = self.document.as_ref()?;
        let engine = document.service(&self.settings.service)?.engine.as_ref()?;
        Some(engine.chunks)
    }

    /// The version that the engine should serve.
    fn target(&self) -> Option<VersionId> {
        let document = self.document.as_ref()?;
        let engine = document.service(&self.settings.service)?.engine.as_ref()?;
        let model = engine.models.first()?.name.clone();
        let version = self.versions.newest(&model).unwrap_or(FIRST_VERSION);
        Some(VersionId { model, version })
    }

    /// Does what the present state asks for.
    fn advance(&mut self, now: Moment) -> Vec<StockEffect> {
        let mut effects = self.retarget(now);
        self.assume_staged();
        let Some(stage) = self.stage.take() else { return effects };
        let Some(wanted) = self.wanted.clone() else { return effects };
        let (next, more) = self.step(now, &wanted, stage);
        self.stage = next;
        effects.extend(more);
        effects.extend(self.tell(now, &wanted));
        effects
    }

    /// Begins with a version that is wanted newly, or ends where the engine serves it.
    fn retarget(&mut self, now: Moment) -> Vec<StockEffect> {
        let Some(target) = self.target() else { return Vec::new() };
        // An engine that has never answered is starting: its weights are drawn meanwhile.
        let is_starting = self.looked && self.last_view.is_none();
        if self.engine.is_none() && !is_starting {
            return Vec::new();
        }
        let serving = self.engine.as_ref().map_or(&[][..], |engine| &engine.serving);
        let serves = serving.iter().any(|served| version_of(served) == target);
        let served = serving.first().map_or("none".into(), |served| version_of(served).to_string());
        if self.wanted.as_ref() == Some(&target) && self.stage.is_some() {
            if !serves {
                return Vec::new();
            }
            self.stage = None;
            self.inspect = false;
            info!("weights version={target} outcome=served");
            let word = EngineWord::Serving(target.version);
            return vec![StockEffect::TellEntries(target.model, word)];
        }
        if serves {
            self.wanted = Some(target);
            return Vec::new();
        }
        if self.keeps_older(&target) {
            return self.ask_following(now, target);
        }
        let flights = self.plan().map(TransferPlan::flights).unwrap_or_default().into_iter();
        let cancel = |(index, source)| StockEffect::CancelDraw(index, source);
        let mut effects: Vec<_> = flights.map(cancel).collect();
        if let Some(old) = self.wanted.replace(target.clone()).filter(|old| *old != target) {
            effects.push(StockEffect::DropList(old));
        }
        info!("weights version={target} decision=stock serving={served} inspect={}", self.inspect);
        self.stage = Some(StockStage::Listing { next_try: now, tries: 0 });
        let following = self.following.take().filter(|following| following.version == target);
        if let Some((list, _)) = following.and_then(|following| following.list) {
            effects.extend(self.begin(now, target, list));
        }
        effects
    }

    /// One step of a stage; the stage that follows, and what is to be done.
    fn step(
        &mut self,
        now: Moment,
        wanted: &VersionId,
        stage: StockStage,
    ) -> (Option<StockStage>, Vec<StockEffect>) {
        match stage {
            StockStage::Listing { next_try, tries } if next_try <= now => {
                let sources = self.list_sources(now, wanted, tries);
                let next_try = now + self.list_pause(tries);
                let stage = StockStage::Listing { next_try, tries: tries + 1 };
                (Some(stage), vec![StockEffect::FetchList(wanted.clone(), sources)])
            }
            StockStage::Drawing(plan) => self.draw(now, wanted, plan),
            StockStage::Staged(plan, staged) => self.await_turn(now, wanted, plan, staged),
            StockStage::Ordered(plan, order) if now.since(order.since) > ORDER_PATIENCE => {
                warn!("order version={wanted} outcome=overdue");
                (Some(StockStage::Staged(plan, now)), Vec::new())
            }
            stage => (Some(stage), Vec::new()),
        }
    }

    fn list_seen(
        &mut self,
        now: Moment,
        version: VersionId,
        list: Option<Arc<Manifest>>,
    ) -> Vec<StockEffect> {
        let Some(list) = list else { return Vec::new() };
        if let Some(following) = &mut self.following
            && following.version == version
        {
            following.list.get_or_insert((list, now));
            return Vec::new();
        }
        let Some(StockStage::Listing { .. }) = &self.stage else { return Vec::new() };
        if self.wanted.as_ref() != Some(&version) {
            return Vec::new();
        }
        self.begin(now, version, list)
    }

    /// Begins to draw the chunks of a list.
    fn begin(&mut self, now: Moment, version: VersionId, list: Arc<Manifest>) -> Vec<StockEffect> {
        let peers = self.transfer_peers();
        let own = TransferPeer {
            id: self.settings.own.clone(),
            data_centre: self.settings.data_centre.clone(),
        };
        let mut transfer = self.settings.transfer.clone();
        transfer.origin_pace = self.origin_pace();
        transfer.drawers = self.origin_drawers();
        let named = self.versions.announced_at(&version.model, version.version);
        transfer.relays_first = named.is_some_and(|named| named > Moment(0));
        let mut plan = TransferPlan::new(now, own, list, transfer, self.random.random());
        plan.set_peers(&peers);
        plan.set_relays(self.relays.all().to_vec());
        self.told = Moment(0);
        if self.engine.is_some() && std::mem::take(&mut self.inspect) {
            self.stage = Some(StockStage::Inspecting(Box::new(plan)));
            return vec![StockEffect::ReadBack(version)];
        }
        // From the first chunk on, the staged copy is no longer the earlier version.
        self.staged = None;
        self.stage = Some(StockStage::Drawing(Box::new(plan)));
        Vec::new()
    }
}

pub(super) fn version_of(served: &crate::direct::ServedWeights) -> VersionId {
    VersionId { model: served.model.clone(), version: served.version }
}

/// The name of the agent on a machine, the same at all agents.
fn machine(address: IpAddr) -> Option<InstanceId> {
    address.to_string().parse().ok()
}

//! The actor that owns the reducer of an agent that stocks its engine.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use cadence::{Gauged, StatsdClient};
use kameo::prelude::*;
use mustardrill_core::manifest::Manifest;
use mustardrill_core::provisioning::{
    EntryDirectory, ProvisioningEffect, ProvisioningEvent, ProvisioningReducer, ProvisioningStatus,
    VersionId,
};
use mustardrill_core::transfer::ChunkSource;
use mustardrill_runtime::adapters::{ChunkList, ChunkOrigin, EngineControl, FleetSource};
use mustardrill_runtime::clock::ProcessClock;
use mustardrill_runtime::exposition::{MetricHandler, MetricRegistry};
use mustardrill_runtime::http::{HttpClient, HttpServer};
use mustardrill_runtime::upload::UploadQueue;
use mustardrill_types::{ChunkIndex, FastMap};
use tokio::net::UdpSocket;
use tokio::sync::Mutex;
use tokio_util::sync::CancellationToken;

use crate::stock::config::StockConfig;
use crate::stock::metrics::METRICS;
use crate::stock::peers::PeerHandler;
use crate::stock::shelf::ChunkShelf;
use crate::stock::{effects, peers, watch};

/// The platform, as the agent sees it.
pub struct StockBorders {
    /// The store.
    pub source: Box<dyn FleetSource>,
    /// The engine beside the agent.
    pub engine: Box<dyn EngineControl>,
    /// Where weights come from.
    pub origin: Box<dyn ChunkOrigin>,
}

/// A running agent.
#[derive(Debug)]
pub struct StockHandle {
    halt: CancellationToken,
}

/// What the tasks of the agent share.
pub(crate) struct StockContext {
    pub(crate) clock: ProcessClock,
    pub(crate) config: StockConfig,
    pub(crate) borders: StockBorders,
    /// Calls to other agents.
    pub(crate) client: HttpClient,
    pub(crate) socket: UdpSocket,
    /// The uploads to other agents.
    pub(crate) uploads: UploadQueue,
    pub(crate) metrics: StatsdClient,
    pub(crate) shelf: ChunkShelf,
    /// Where the entries listen.
    pub(crate) entries: Mutex<EntryDirectory>,
    /// How many words the entries were told of the engine.
    pub(crate) words: AtomicU64,
    pub(crate) halt: CancellationToken,
}

/// Owns the reducer; all decisions are made here, one after the other.
#[derive(Actor)]
pub(crate) struct StockActor {
    reducer: ProvisioningReducer,
    context: Arc<StockContext>,
    lists: FastMap<VersionId, Arc<ChunkList>>,
    draws: FastMap<(ChunkIndex, Box<str>), CancellationToken>,
}

/// An event for the reducer.
pub(crate) struct Event(pub(crate) ProvisioningEvent);

/// A list of chunks that was fetched; nothing where it could not be had.
pub(crate) struct ListFetched(pub(crate) VersionId, pub(crate) Option<ChunkList>);

/// Asks for a list of chunks.
pub(crate) struct ListQuery(pub(crate) VersionId);

/// The answer to `ListQuery`.
#[derive(Debug, Reply)]
pub(crate) struct ListReply(pub(crate) Option<Arc<ChunkList>>);

/// Asks whether a chunk is staged here.
pub(crate) struct HoldsQuery(pub(crate) VersionId, pub(crate) ChunkIndex);

/// Asks whether there is anything to be done soon.
pub(crate) struct BusyQuery;

/// Asks where the stocking stands.
pub(crate) struct StatusQuery;

/// The answer to `StatusQuery`.
#[derive(Debug, Reply)]
pub(crate) struct StatusReply(pub(crate) ProvisioningStatus);

impl StockActor {
    fn reduce(&mut self, event: ProvisioningEvent, actor: &ActorRef<Self>) {
        if let ProvisioningEvent::FetchEnded(_, index, source, _) = &event {
            self.draws.remove(&draw_key(*index, source));
        }
        let now = self.context.clock.now();
        for effect in self.reducer.reduce(now, event) {
            self.carry_out(effect, actor);
        }
    }

    fn carry_out(&mut self, effect: ProvisioningEffect, actor: &ActorRef<Self>) {
        let (context, actor) = (self.context.clone(), actor.clone());
        match effect {
            ProvisioningEffect::ReadPeers => effects::read_peers(context, actor),
            ProvisioningEffect::FetchManifest(version, sources) => {
                effects::fetch_list(context, actor, version, sources);
            }
            ProvisioningEffect::FetchChunk(version, draw, address) => {
                let Some(list) = self.lists.get(&version).cloned() else { return };
                let token = self.context.halt.child_token();
                self.draws.insert(draw_key(draw.index, &draw.source), token.clone());
                effects::draw(
                    context,
                    actor,
                    list,
                    effects::ChunkOrder { version, draw, address },
                    token,
                );
            }
            ProvisioningEffect::CancelFetch(index, source) => {
                if let Some(token) = self.draws.remove(&draw_key(index, &source)) {
                    token.cancel();
                }
            }
            ProvisioningEffect::SendHoldings { version, to, bitmap, wants_reply } => {
                peers::tell_holding(context, &version, to, &bitmap, wants_reply);
            }
            ProvisioningEffect::VerifyStaged(version) => {
                let Some(list) = self.lists.get(&version).cloned() else { return };
                effects::read_back(context, actor, version, list);
            }
            ProvisioningEffect::OrderLoad(version, sequence) => {
                effects::order(context, actor, version, sequence);
            }
            ProvisioningEffect::NotifyEntries(model, word) => {
                effects::tell_entries(context, model, word)
            }
            ProvisioningEffect::DropManifest(version) => {
                self.lists.remove(&version);
            }
        }
    }
}

fn draw_key(index: ChunkIndex, source: &ChunkSource) -> (ChunkIndex, Box<str>) {
    (index, source.to_string().into())
}

impl Message<Event> for StockActor {
    type Reply = ();

    async fn handle(&mut self, Event(event): Event, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        self.reduce(event, &actor);
    }
}

impl Message<ListFetched> for StockActor {
    type Reply = ();

    async fn handle(
        &mut self,
        ListFetched(version, list): ListFetched,
        context: &mut Context<Self, ()>,
    ) {
        let actor = context.actor_ref().clone();
        let manifest = list.map(|list| {
            let manifest = Arc::new(manifest_of(&list));
            self.lists.insert(version.clone(), Arc::new(list));
            manifest
        });
        self.reduce(ProvisioningEvent::ManifestFetched(version, manifest), &actor);
    }
}

/// The list as the transfer knows it. Only the number of chunks and their digests matter there;
/// verifying is the origin's own matter, as it chose the digest.
fn manifest_of(list: &ChunkList) -> Manifest {
    let version = list.version.to_string().parse().expect("a number is a valid name");
    let chunks: Vec<_> =
        list.digests.iter().map(|digest| mustardrill_types::ManifestDigest(*digest)).collect();
    let size = mustardrill_types::ByteSize(chunks.len() as u64);
    let chunk_size = mustardrill_types::ByteSize(1);
    Manifest { model: list.model.clone(), version, size, chunk_size, chunks }
}

impl Message<ListQuery> for StockActor {
    type Reply = ListReply;

    async fn handle(
        &mut self,
        ListQuery(version): ListQuery,
        _: &mut Context<Self, ListReply>,
    ) -> ListReply {
        ListReply(self.lists.get(&version).cloned())
    }
}

impl Message<HoldsQuery> for StockActor {
    type Reply = bool;

    async fn handle(
        &mut self,
        HoldsQuery(version, index): HoldsQuery,
        _: &mut Context<Self, bool>,
    ) -> bool {
        self.reducer.holds(&version, index)
    }
}

impl Message<BusyQuery> for StockActor {
    type Reply = bool;

    async fn handle(&mut self, _: BusyQuery, _: &mut Context<Self, bool>) -> bool {
        self.reducer.is_busy()
    }
}

impl Message<StatusQuery> for StockActor {
    type Reply = StatusReply;

    async fn handle(&mut self, _: StatusQuery, _: &mut Context<Self, StatusReply>) -> StatusReply {
        StatusReply(self.reducer.status())
    }
}

/// The share of the machine's link that chunks for other agents may take; the rest is for answers.
/// Load pattern: engines are added while the others are overloaded. First events that wait behind
/// chunks on the whole link come too late.
const UPLOAD_SHARE: f64 = 0.5;

/// How often the gauges are set: as often as they are usually read.
const SAMPLE_EVERY: std::time::Duration = std::time::Duration::from_secs(5);

/// Sets the gauges from the reducer's state.
async fn sample(actor: ActorRef<StockActor>, context: Arc<StockContext>) {
    loop {
        tokio::time::sleep(SAMPLE_EVERY).await;
        let Ok(StatusReply(status)) = actor.ask(StatusQuery).await else { return };
        let wanted = status.wanted.map_or(0, |wanted| wanted.version.0);
        let gauges = [
            ("weights_wanted", wanted),
            ("weights_served", u64::from(status.serving)),
            ("chunks_held", u64::from(status.held)),
            ("chunks_total", u64::from(status.total)),
        ];
        for (name, value) in gauges {
            let _ = context.metrics.gauge(name, value);
        }
    }
}

/// Starts an agent and returns its handle once it listens.
pub async fn spawn(config: StockConfig, borders: StockBorders) -> std::io::Result<StockHandle> {
    let halt = CancellationToken::new();
    let socket = UdpSocket::bind(config.listen).await?;
    let reducer = ProvisioningReducer::new(config.stock.clone(), rand::random());
    let page = Arc::new(MetricRegistry::new(&METRICS));
    let (listen, link_mbps) = (config.listen, config.link_mbps);
    log::info!(
        "start instance={} address={listen} engine={} store={}",
        config.instance,
        config.stock.engine,
        config.store
    );
    let context = Arc::new(StockContext {
        clock: ProcessClock::start(),
        config,
        borders,
        client: HttpClient::open(effects::CONNECT_TIMEOUT),
        socket,
        uploads: UploadQueue::new(link_mbps * UPLOAD_SHARE),
        metrics: page.client(),
        shelf: ChunkShelf::new(),
        entries: Mutex::default(),
        words: AtomicU64::default(),
        halt: halt.clone(),
    });
    let (lists, draws) = (FastMap::default(), FastMap::default());
    let state = StockActor { reducer, context: context.clone(), lists, draws };
    let actor = StockActor::spawn_with_mailbox(state, mailbox::unbounded());
    if let Some(address) = context.config.metrics {
        HttpServer::bind(address, Box::new(MetricHandler(page)), halt.clone()).await?;
        let sampling = sample(actor.clone(), context.clone());
        tokio::spawn(halt.clone().run_until_cancelled_owned(sampling));
    }
    let handler = Box::new(PeerHandler::new(actor.clone(), context.clone()));
    HttpServer::bind(listen, handler, halt.clone()).await?;
    peers::spawn_hearing(actor.clone(), context.clone());
    watch::spawn(actor, context);
    Ok(StockHandle { halt })
}

impl StockHandle {
    /// Ends. Nothing is in progress that another start would not go on with: what is staged stays
    /// beside the engine.
    pub fn halt(&self) {
        log::info!("stop");
        self.halt.cancel();
    }
}

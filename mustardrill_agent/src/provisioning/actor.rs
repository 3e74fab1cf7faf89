//! The actor that owns the reducer of an agent that provisions its engine with weights.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use cadence::{Gauged, StatsdClient};
use kameo::prelude::*;
use mustardrill_core::manifest::{ChunkBitmap, Manifest};
use mustardrill_core::provisioning::{
    EntryDirectory, ProvisioningEffect, ProvisioningEvent, ProvisioningReducer, ProvisioningStatus,
    VersionId,
};
use mustardrill_core::transfer::ChunkSource;
use mustardrill_runtime::adapters::{
    ChunkList, ChunkOrigin, EngineControl, FleetSource, LoadRegister,
};
use mustardrill_runtime::client_connections::ClientConnections;
use mustardrill_runtime::clock::ProcessClock;
use mustardrill_runtime::exposition::{MetricHandler, MetricRegistry};
use mustardrill_runtime::http::HttpClient;
use mustardrill_runtime::http_server::HttpServer;
use mustardrill_runtime::supervision::{self, ProcessFailure};
use mustardrill_runtime::upload::UploadQueue;
use mustardrill_types::{ChunkIndex, FastMap};
use tokio::net::UdpSocket;
use tokio::sync::Mutex;
use tokio_util::sync::CancellationToken;

use crate::provisioning::config::ProvisioningConfig;
use crate::provisioning::early_chunks::EarlyChunkBuffer;
use crate::provisioning::load_records::{self, LoadRecorder};
use crate::provisioning::metrics::METRICS;
use crate::provisioning::peers::PeerHandler;
use crate::provisioning::staging::{self, ReadPurpose, ReadTask, StagingGate};
use crate::provisioning::{effects, peers, watch};

/// The adapters through which the agent reaches the platform.
pub struct PlatformAdapters {
    /// Reads the fleet from the store.
    pub fleet_source: Box<dyn FleetSource>,
    /// Records the loads of the engine in the store.
    pub load_register: Box<dyn LoadRegister>,
    /// Controls the engine on the same machine.
    pub engine: Box<dyn EngineControl>,
    /// Fetches chunk lists and chunks from the origin.
    pub origin: Box<dyn ChunkOrigin>,
}

/// A running agent; it goes on running when the handle is dropped.
#[derive(Debug)]
pub struct ProvisioningHandle {
    halt: CancellationToken,
    failure: ProcessFailure,
}

/// State shared by the tasks of the agent.
pub(crate) struct ProvisioningContext {
    pub(crate) clock: ProcessClock,
    pub(crate) config: ProvisioningConfig,
    pub(crate) adapters: PlatformAdapters,
    /// For calls to other agents and to entries.
    pub(crate) peer_client: HttpClient,
    pub(crate) socket: UdpSocket,
    /// Limits the uploads to other agents.
    pub(crate) uploads: UploadQueue,
    pub(crate) metrics: StatsdClient,
    /// Verified chunks that wait for the engine to answer for the first time.
    pub(crate) early_chunks: EarlyChunkBuffer,
    /// Closed while staged chunks are read back and loaded.
    pub(crate) staging_gate: StagingGate,
    /// The entries read last, with their addresses.
    pub(crate) entries: Mutex<EntryDirectory>,
    /// How many engine notices have been sent to the entries.
    pub(crate) engine_notices: AtomicU64,
    pub(crate) halt: CancellationToken,
}

/// Owns the reducer and serializes its events.
#[derive(Actor)]
pub(crate) struct ProvisioningActor {
    reducer: ProvisioningReducer,
    context: Arc<ProvisioningContext>,
    chunk_lists: FastMap<VersionId, Arc<ChunkList>>,
    /// Cancels the fetches in progress, by chunk and source.
    fetches: FastMap<(ChunkIndex, Box<str>), CancellationToken>,
    load_recorder: LoadRecorder,
    /// How many times staged chunks were to be read back.
    read_rounds: u64,
}

/// Passes an event to the reducer.
pub(crate) struct Event(pub(crate) ProvisioningEvent);

/// The staged chunks were read back; these are intact.
pub(crate) struct StagedRead {
    /// The round that it is the result of.
    pub(crate) round: u64,
    pub(crate) version: VersionId,
    pub(crate) intact: ChunkBitmap,
}

/// A chunk list that was fetched; `None` where no source had it.
pub(crate) struct ChunkListFetched(pub(crate) VersionId, pub(crate) Option<ChunkList>);

/// Asks for the chunk list of a version.
pub(crate) struct ChunkListQuery(pub(crate) VersionId);

/// The answer to `ChunkListQuery`; `None` where the agent does not have the list.
#[derive(Debug, Reply)]
pub(crate) struct ChunkListReply(pub(crate) Option<Arc<ChunkList>>);

/// Asks whether a chunk is staged here.
pub(crate) struct HoldsChunkQuery(pub(crate) VersionId, pub(crate) ChunkIndex);

/// Asks whether the reducer has work that needs short poll intervals.
pub(crate) struct BusyQuery;

/// Asks for the state of provisioning.
pub(crate) struct StatusQuery;

#[derive(Debug, Reply)]
pub(crate) struct StatusReply(pub(crate) ProvisioningStatus);

impl ProvisioningActor {
    fn reduce(&mut self, event: ProvisioningEvent, actor: &ActorRef<Self>) {
        if let ProvisioningEvent::FetchEnded(_, index, source, _) = &event {
            self.fetches.remove(&fetch_key(*index, source));
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
                effects::fetch_chunk_list(context, actor, version, sources);
            }
            ProvisioningEffect::FetchChunk(version, fetch, address) => {
                let Some(list) = self.chunk_lists.get(&version).cloned() else { return };
                let token = self.context.halt.child_token();
                self.fetches.insert(fetch_key(fetch.index, &fetch.source), token.clone());
                effects::fetch_chunk(
                    context,
                    actor,
                    list,
                    effects::ChunkFetchTask { version, fetch, address },
                    token,
                );
            }
            ProvisioningEffect::CancelFetch(index, source) => {
                if let Some(token) = self.fetches.remove(&fetch_key(index, &source)) {
                    token.cancel();
                }
            }
            ProvisioningEffect::SendHoldings { version, to, bitmap, wants_reply } => {
                peers::send_holdings(context, &version, to, &bitmap, wants_reply);
            }
            ProvisioningEffect::VerifyStaged(version) => {
                self.read_back(version, ReadPurpose::Order, actor);
            }
            ProvisioningEffect::VerifyLoaded(version) => {
                self.read_back(version, ReadPurpose::Proof, actor);
            }
            ProvisioningEffect::OrderLoad(version, layers, sequence) => {
                effects::order_load(context, actor, version, layers, sequence);
            }
            ProvisioningEffect::ReadLoadRecord => self.load_recorder.read(),
            ProvisioningEffect::WriteLoadRecord(record) => self.load_recorder.write(record),
            ProvisioningEffect::NotifyEntries(model, start, notice) => {
                effects::notify_entries(context, model, start, notice);
            }
            ProvisioningEffect::DropManifest(version) => {
                self.chunk_lists.remove(&version);
            }
        }
    }

    fn read_back(&mut self, version: VersionId, purpose: ReadPurpose, actor: ActorRef<Self>) {
        let Some(list) = self.chunk_lists.get(&version).cloned() else { return };
        self.read_rounds += 1;
        let task = ReadTask { version, list, purpose, round: self.read_rounds };
        staging::verify_staged(self.context.clone(), actor, task);
    }
}

fn fetch_key(index: ChunkIndex, source: &ChunkSource) -> (ChunkIndex, Box<str>) {
    (index, source.to_string().into())
}

impl Message<Event> for ProvisioningActor {
    type Reply = ();

    async fn handle(&mut self, Event(event): Event, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        self.reduce(event, &actor);
    }
}

impl Message<StagedRead> for ProvisioningActor {
    type Reply = ();

    async fn handle(&mut self, read: StagedRead, context: &mut Context<Self, ()>) {
        // The result of an earlier round may be from before a load.
        if read.round == self.read_rounds {
            let actor = context.actor_ref().clone();
            self.reduce(ProvisioningEvent::StagedVerified(read.version, read.intact), &actor);
        }
    }
}

impl Message<ChunkListFetched> for ProvisioningActor {
    type Reply = ();

    async fn handle(
        &mut self,
        ChunkListFetched(version, list): ChunkListFetched,
        context: &mut Context<Self, ()>,
    ) {
        let actor = context.actor_ref().clone();
        let manifest = list.map(|list| {
            let manifest = Arc::new(manifest_of(&list));
            self.chunk_lists.insert(version.clone(), Arc::new(list));
            manifest
        });
        self.reduce(ProvisioningEvent::ManifestFetched(version, manifest), &actor);
    }
}

/// The chunk list as a manifest for the transfer, which uses only the number of chunks and their
/// digests. Chunks are verified by the client of the origin, as the origin chose the digest.
fn manifest_of(list: &ChunkList) -> Manifest {
    let version = list.version.to_string().parse().expect("a number is a valid name");
    let chunks: Vec<_> =
        list.digests.iter().map(|digest| mustardrill_types::ManifestDigest(*digest)).collect();
    let size = mustardrill_types::ByteSize(chunks.len() as u64);
    let chunk_size = mustardrill_types::ByteSize(1);
    Manifest { model: list.model.clone(), version, size, chunk_size, chunks }
}

impl Message<ChunkListQuery> for ProvisioningActor {
    type Reply = ChunkListReply;

    async fn handle(
        &mut self,
        ChunkListQuery(version): ChunkListQuery,
        _: &mut Context<Self, ChunkListReply>,
    ) -> ChunkListReply {
        ChunkListReply(self.chunk_lists.get(&version).cloned())
    }
}

impl Message<HoldsChunkQuery> for ProvisioningActor {
    type Reply = bool;

    async fn handle(
        &mut self,
        HoldsChunkQuery(version, index): HoldsChunkQuery,
        _: &mut Context<Self, bool>,
    ) -> bool {
        self.reducer.holds(&version, index)
    }
}

impl Message<BusyQuery> for ProvisioningActor {
    type Reply = bool;

    async fn handle(&mut self, _: BusyQuery, _: &mut Context<Self, bool>) -> bool {
        self.reducer.is_busy()
    }
}

impl Message<StatusQuery> for ProvisioningActor {
    type Reply = StatusReply;

    async fn handle(&mut self, _: StatusQuery, _: &mut Context<Self, StatusReply>) -> StatusReply {
        StatusReply(self.reducer.status())
    }
}

/// The share of the machine's link that uploads to other agents may take; the rest is for answers.
/// When engines are added while the others are overloaded, uploads over the whole link would delay
/// the first events of answers too much.
const UPLOAD_SHARE: f64 = 0.5;

/// Interval at which the gauges are set, matching the usual interval at which they are read.
const GAUGE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

async fn update_gauges(actor: ActorRef<ProvisioningActor>, context: Arc<ProvisioningContext>) {
    loop {
        tokio::time::sleep(GAUGE_INTERVAL).await;
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

/// Starts an agent and returns its handle once its listeners are bound; fails where an address
/// cannot be bound.
pub async fn spawn(
    config: ProvisioningConfig,
    adapters: PlatformAdapters,
) -> std::io::Result<ProvisioningHandle> {
    let halt = CancellationToken::new();
    let socket = UdpSocket::bind(config.listen).await?;
    let reducer = ProvisioningReducer::new(config.settings.clone(), rand::random());
    let metric_registry = Arc::new(MetricRegistry::new(&METRICS));
    let (listen, link_mbps) = (config.listen, config.link_mbps);
    log::info!(
        "start instance={} address={listen} engine={} store={}",
        config.instance,
        config.settings.engine,
        config.store
    );
    let clock = ProcessClock::start();
    let limits = config.process.connections();
    let clients = ClientConnections::open(Box::new(clock), limits, halt.clone());
    let context = Arc::new(ProvisioningContext {
        clock,
        config,
        adapters,
        peer_client: HttpClient::open(effects::CONNECT_TIMEOUT),
        socket,
        uploads: UploadQueue::new(link_mbps * UPLOAD_SHARE),
        metrics: metric_registry.client(),
        early_chunks: EarlyChunkBuffer::new(),
        staging_gate: StagingGate::default(),
        entries: Mutex::default(),
        engine_notices: AtomicU64::default(),
        halt: halt.clone(),
    });
    let (chunk_lists, fetches) = (FastMap::default(), FastMap::default());
    let (load_recorder, recorder_inputs) = LoadRecorder::new();
    let state = ProvisioningActor {
        reducer,
        context: context.clone(),
        chunk_lists,
        fetches,
        load_recorder,
        read_rounds: 0,
    };
    let actor = ProvisioningActor::spawn_with_mailbox(state, mailbox::unbounded());
    let failure = ProcessFailure::default();
    failure.watch_actor(halt.clone(), actor.clone());
    if let Some(address) = context.config.metrics {
        let handler = Box::new(MetricHandler(metric_registry));
        HttpServer::bind(address, handler, &clients, halt.clone()).await?;
        let (measured, agent) = (actor.clone(), context.clone());
        supervision::spawn("gauges", halt.clone(), move || {
            update_gauges(measured.clone(), agent.clone())
        });
    }
    let handler = Box::new(PeerHandler::new(actor.clone(), context.clone()));
    HttpServer::bind(listen, handler, &clients, halt.clone()).await?;
    peers::spawn_receiver(actor.clone(), context.clone());
    load_records::spawn(recorder_inputs, actor.clone(), context.clone(), &failure);
    watch::spawn(actor, context);
    Ok(ProvisioningHandle { halt, failure })
}

impl ProvisioningHandle {
    /// Waits until the agent can decide nothing any more; only a new start of the process helps.
    pub async fn failed(&self) {
        self.failure.occurred().await;
    }

    /// Stops the agent at once. Staged chunks stay with the engine, so that the next agent process
    /// continues from them.
    pub fn halt(&self) {
        log::info!("stop");
        self.halt.cancel();
    }
}

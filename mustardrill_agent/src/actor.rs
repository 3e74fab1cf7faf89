//! The actor that owns the agent's reducer, passes events to it and carries out its effects.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::{Counted, Gauged};
use kameo::prelude::*;
use mustardrill_core::agent::{AgentEffect, AgentEvent, AgentReducer, WeightsProgress};
use mustardrill_core::claim::{ClaimEffect, ClaimOutcome};
use mustardrill_core::demand::DemandRow;
use mustardrill_core::direct::BodyBudget;
use mustardrill_core::document::{CatalogueDocument, RequestClass};
use mustardrill_core::manifest::ChunkBitmap;
use mustardrill_core::ownership::LeaseId;
use mustardrill_core::quarantine::CrashReport;
use mustardrill_core::refusal::AttemptRefusal;
use mustardrill_runtime::agents::AgentPool;
use mustardrill_runtime::client_connections::ClientConnections;
use mustardrill_runtime::clock::{ProcessClock, spawn_ticks};
use mustardrill_runtime::http::HttpClient;
use mustardrill_runtime::http_server::HttpServer;
use mustardrill_runtime::metrics;
use mustardrill_runtime::origin::HttpOrigin;
use mustardrill_runtime::platform::{HttpInstanceList, HttpKeyValue};
use mustardrill_runtime::supervision::{self, ProcessFailure};
use mustardrill_types::{
    AttemptId, ChunkIndex, FastMap, Generation, InstanceId, ManifestDigest, Millis, Moment,
    RequestKey, ResultCode,
};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::config::AgentConfig;
use crate::context::AgentContext;
use crate::effects;
use crate::incarnation::IncarnationCounter;
use crate::link::{RateLimiter, UploadLimiter};
use crate::server;
use crate::status::StatusHandler;
use crate::store::ChunkStore;
use crate::upstream::HttpUpstream;
use crate::weights_http::WeightsHandler;

/// Whether a request may go to the upstream.
#[derive(Debug)]
pub(crate) enum AdmissionVerdict {
    /// Send it to the upstream now.
    Run,
    /// Refuse it; the upstream has not seen it.
    Refuse(AttemptRefusal),
}

/// A running agent; it goes on running when the handle is dropped.
#[derive(Debug)]
pub struct AgentHandle {
    /// Address on which entries and other agents reach the agent.
    pub address: SocketAddr,
    /// Address on which the engine fetches weights and operators read the status.
    pub local_address: SocketAddr,
    actor: ActorRef<AgentActor>,
    context: Arc<AgentContext>,
    failure: ProcessFailure,
    halt: CancellationToken,
}

/// Owns the reducer and serializes its events.
#[derive(Actor)]
pub(crate) struct AgentActor {
    reducer: AgentReducer,
    context: Arc<AgentContext>,
    /// Requests that wait for a verdict.
    pending_verdicts: FastMap<AttemptId, oneshot::Sender<AdmissionVerdict>>,
    /// Calls of entries that wait for the outcome of a claim.
    pending_claims: FastMap<AttemptId, oneshot::Sender<ClaimOutcome>>,
}

/// Passes an event to the reducer.
pub(crate) struct Event(pub(crate) AgentEvent);

/// Asks for the verdict on a request.
pub(crate) struct Admit {
    pub(crate) attempt: AttemptId,
    pub(crate) class: RequestClass,
    pub(crate) pinned: Option<ManifestDigest>,
    pub(crate) deadline: Moment,
    pub(crate) verdict_sender: oneshot::Sender<AdmissionVerdict>,
}

/// Acquires a claim for an attempt; the outcome is sent once it is known.
pub(crate) struct AcquireClaim {
    pub(crate) key: RequestKey,
    pub(crate) attempt: AttemptId,
    pub(crate) outcome_sender: oneshot::Sender<ClaimOutcome>,
}

/// Asks which chunks of a version are held, and for a chunk, which peers hold it.
pub(crate) struct HoldingQuery(pub(crate) ManifestDigest, pub(crate) Option<ChunkIndex>);

/// The answer to `HoldingQuery`.
#[derive(Debug, Reply)]
pub(crate) struct HoldingReply {
    pub(crate) bitmap: ChunkBitmap,
    pub(crate) serving: bool,
    /// The peers that hold the chunk; empty where the query names no chunk.
    pub(crate) holders: Vec<InstanceId>,
}

/// Asks for the status of the agent.
pub(crate) struct StatusQuery;

/// The answer to `StatusQuery`.
#[derive(Debug, Reply)]
pub(crate) struct StatusReply {
    pub(crate) generation: Generation,
    pub(crate) leaving: bool,
    pub(crate) drained: bool,
    pub(crate) outstanding: u32,
    pub(crate) capacity: u32,
    pub(crate) serving: Vec<ManifestDigest>,
    pub(crate) progress: Vec<WeightsProgress>,
    /// Recent reports of entries on requests during which an upstream crashed.
    pub(crate) crashes: Vec<CrashReport>,
    pub(crate) document: Arc<CatalogueDocument>,
    pub(crate) sent_bytes: u64,
}

/// Asks for the total demand, and the number of entries that reported it.
pub(crate) struct DemandQuery;

/// Asks for the lease in order to revoke it.
pub(crate) struct LeaseQuery;

/// Asks for the address of an instance's agent.
pub(crate) struct AddressQuery(pub(crate) InstanceId);

impl AgentActor {
    fn reduce(&mut self, event: AgentEvent, actor: &ActorRef<Self>) {
        let now = self.context.clock.now();
        let before = self.reducer.generation();
        let effects = self.reducer.reduce(now, event);
        if self.reducer.generation() != before {
            let _ = self.context.metrics.gauge("generation", self.reducer.generation().0);
        }
        for effect in effects {
            match effect {
                AgentEffect::Dispatch(attempt) => self.send_verdict(attempt, AdmissionVerdict::Run),
                AgentEffect::Claim(ClaimEffect::Settle(attempt, outcome)) => {
                    if let Some(sender) = self.pending_claims.remove(&attempt) {
                        let _ = sender.send(outcome);
                    }
                }
                AgentEffect::Refuse(attempt, refusal) => {
                    self.send_verdict(attempt, AdmissionVerdict::Refuse(refusal));
                }
                other => effects::carry_out(&self.context, &self.reducer, actor, other),
            }
        }
    }

    fn send_verdict(&mut self, attempt: AttemptId, verdict: AdmissionVerdict) {
        if let Some(sender) = self.pending_verdicts.remove(&attempt) {
            // The receiver is gone where the entry has cancelled the request; the request's task
            // withdraws it then.
            let _ = sender.send(verdict);
        }
    }
}

impl Message<Event> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, message: Event, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        self.reduce(message.0, &actor);
    }
}

impl Message<Admit> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, message: Admit, context: &mut Context<Self, ()>) {
        let Admit { attempt, class, pinned, deadline, verdict_sender } = message;
        let actor = context.actor_ref().clone();
        if self.pending_verdicts.contains_key(&attempt) {
            let refusal = AttemptRefusal::new(ResultCode::AlreadyClaimed, Millis(0));
            let _ = verdict_sender.send(AdmissionVerdict::Refuse(refusal));
            return;
        }
        self.pending_verdicts.insert(attempt, verdict_sender);
        self.reduce(AgentEvent::RequestArrived { attempt, class, pinned, deadline }, &actor);
    }
}

impl Message<AcquireClaim> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, message: AcquireClaim, context: &mut Context<Self, ()>) {
        let AcquireClaim { key, attempt, outcome_sender } = message;
        let actor = context.actor_ref().clone();
        // This drops the sender of an earlier call for the attempt, which the entry has given up.
        self.pending_claims.insert(attempt, outcome_sender);
        let wall_s = self.context.clock.wall_s();
        self.reduce(AgentEvent::ClaimRequested(key, attempt, wall_s), &actor);
    }
}

impl Message<HoldingQuery> for AgentActor {
    type Reply = HoldingReply;

    async fn handle(
        &mut self,
        HoldingQuery(digest, index): HoldingQuery,
        _: &mut Context<Self, HoldingReply>,
    ) -> HoldingReply {
        HoldingReply {
            bitmap: self.reducer.held(digest).cloned().unwrap_or_default(),
            serving: self.reducer.serving().contains(&digest),
            holders: index.map_or_else(Vec::new, |index| self.reducer.holders(digest, index)),
        }
    }
}

impl Message<StatusQuery> for AgentActor {
    type Reply = StatusReply;

    async fn handle(&mut self, _: StatusQuery, _: &mut Context<Self, StatusReply>) -> StatusReply {
        let now = self.context.clock.now();
        StatusReply {
            generation: self.reducer.generation(),
            leaving: self.reducer.is_draining(),
            drained: self.reducer.is_drained(),
            outstanding: self.reducer.outstanding(),
            capacity: self.reducer.capacity(),
            serving: self.reducer.serving().to_vec(),
            progress: self.reducer.progress(now),
            crashes: self.reducer.crashes(now),
            document: self.reducer.document().clone(),
            sent_bytes: self.context.sent_bytes.load(Ordering::Relaxed),
        }
    }
}

impl Message<DemandQuery> for AgentActor {
    type Reply = (Vec<DemandRow>, u32);

    async fn handle(
        &mut self,
        _: DemandQuery,
        _: &mut Context<Self, (Vec<DemandRow>, u32)>,
    ) -> (Vec<DemandRow>, u32) {
        let board = self.reducer.demand();
        (board.totals(), board.reporting_entries())
    }
}

impl Message<LeaseQuery> for AgentActor {
    type Reply = Option<u64>;

    async fn handle(&mut self, _: LeaseQuery, _: &mut Context<Self, Option<u64>>) -> Option<u64> {
        self.reducer.owner().lease().map(|lease| lease.0)
    }
}

impl Message<AddressQuery> for AgentActor {
    type Reply = Option<Box<str>>;

    async fn handle(
        &mut self,
        AddressQuery(id): AddressQuery,
        _: &mut Context<Self, Option<Box<str>>>,
    ) -> Option<Box<str>> {
        self.reducer.members().get(&id).map(|record| record.agent.clone())
    }
}

/// Starts an agent and returns its handle once its listeners are bound; fails where an address
/// cannot be bound.
pub async fn spawn(config: AgentConfig) -> std::io::Result<AgentHandle> {
    let halt = CancellationToken::new();
    let clock = ProcessClock::start();
    let limits = config.process.connections();
    let clients = ClientConnections::open(Box::new(clock), limits, halt.clone());
    let store = Arc::<ChunkStore>::default();
    let weights = Box::new(WeightsHandler { store: store.clone() });
    let actor_cell = Arc::new(std::sync::OnceLock::new());
    let handler = Box::new(StatusHandler { weights, actor: actor_cell.clone() });
    let local = HttpServer::bind(config.local_listen, handler, &clients, halt.clone()).await?;
    let listener = tokio::net::TcpListener::bind(config.listen).await?;
    let address = listener.local_addr()?;

    let context = Arc::new(open_context(&config, clock, store, &local, halt.clone())?);
    let seed = rand::random();
    let reducer = AgentReducer::new(context.clock.now(), config.agent.clone(), seed);
    let (pending_verdicts, pending_claims) = (FastMap::default(), FastMap::default());
    let state = AgentActor { reducer, context: context.clone(), pending_verdicts, pending_claims };
    let actor = AgentActor::spawn_with_mailbox(state, mailbox::unbounded());
    let failure = ProcessFailure::default();
    failure.watch_actor(halt.clone(), actor.clone());
    let _ = actor_cell.set(actor.clone());
    let budget = BodyBudget::of_memory(config.process.memory);
    server::spawn(listener, clients, budget, actor.clone(), context.clone(), &failure);
    let ticked_actor = actor.clone();
    spawn_ticks(config.tick_interval, halt.clone(), move || {
        let actor = ticked_actor.clone();
        async move {
            let _ = actor.tell(Event(AgentEvent::Tick)).await;
        }
    });
    spawn_instance_reader(actor.clone(), context.clone(), config.platform.list_every);
    log::info!("start instance={} address={address} local={}", config.agent.own.id, local.address);
    Ok(AgentHandle { address, local_address: local.address, actor, context, failure, halt })
}

impl AgentHandle {
    /// Stops accepting requests, waits up to `drain_timeout` for those in progress, revokes the
    /// lease and halts. Even where nothing is in progress it waits until entries have been notified
    /// by heartbeat.
    pub async fn stop(&self, drain_timeout: Duration) {
        const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
        const ENTRY_NOTICE_TIME: Duration = Duration::from_millis(1_500);
        let _ = self.actor.tell(Event(AgentEvent::Stop)).await;
        let started = tokio::time::Instant::now();
        while started.elapsed() < drain_timeout {
            let drained = self.actor.ask(StatusQuery).await.is_ok_and(|status| status.drained);
            // Entries see it in the next heartbeat; until then they are refused and try elsewhere.
            if drained && started.elapsed() >= ENTRY_NOTICE_TIME.min(drain_timeout) {
                break;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // With the lease revoked, a successor need not wait for it to expire.
        if let Ok(Some(lease)) = self.actor.ask(LeaseQuery).await {
            let _ = self.context.key_value.revoke(LeaseId(lease)).await;
        }
        self.halt();
    }

    /// Stops at once and breaks off requests in progress.
    pub fn halt(&self) {
        self.halt.cancel();
    }

    /// Waits until the agent can decide or serve nothing any more; only a new start of the process
    /// helps.
    pub async fn failed(&self) {
        self.failure.occurred().await;
    }

    /// Waits until the agent has halted.
    pub async fn finished(&self) {
        self.halt.cancelled().await;
    }
}

fn open_context(
    config: &AgentConfig,
    clock: ProcessClock,
    store: Arc<ChunkStore>,
    local: &HttpServer,
    halt: CancellationToken,
) -> std::io::Result<AgentContext> {
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
    let client = HttpClient::open(CONNECT_TIMEOUT);
    let owner = &config.agent.owner;
    let (platform, timeout) = (&config.platform, config.platform.timeout);
    let incarnations = IncarnationCounter::new(clock.wall_s() * 1_000);
    Ok(AgentContext {
        own: config.agent.own.id.clone(),
        clock,
        incarnations: Mutex::new(incarnations),
        store,
        origin: Box::new(HttpOrigin::open(client.clone(), &platform.origins)),
        key_value: Box::new(HttpKeyValue::open(client.clone(), &platform.key_value, timeout)),
        instances: Box::new(HttpInstanceList::open(client.clone(), &platform.instances, timeout)),
        upstream: Box::new(HttpUpstream::open(client, &config.upstream, owner)),
        peers: AgentPool::default(),
        uploads: UploadLimiter::new(config.upload_rate, config.upload_limit),
        downloads: RateLimiter::new(config.download_rate),
        sent_bytes: AtomicU64::new(0),
        metrics: metrics::open("mustardrill.agent", config.metrics)?,
        owner_key: format!("mustardrill/owner/{}", config.agent.own.id).into(),
        owner_lease_ttl: owner.lease,
        weights_base_url: format!("http://{}/weights/", local.address).into(),
        halt,
    })
}

fn spawn_instance_reader(
    actor: ActorRef<AgentActor>,
    context: Arc<AgentContext>,
    interval: Millis,
) {
    let halt = context.halt.clone();
    supervision::spawn("instances", halt, move || {
        follow_instances(actor.clone(), context.clone(), interval)
    });
}

async fn follow_instances(
    actor: ActorRef<AgentActor>,
    context: Arc<AgentContext>,
    interval: Millis,
) {
    loop {
        if let Ok(listing) = context.instances.read().await {
            let addresses: Vec<_> =
                listing.instances.iter().map(|record| record.agent.clone()).collect();
            context.peers.retain(&addresses);
            let _ = actor.tell(Event(AgentEvent::InstancesRead(listing.instances))).await;
        }
        tokio::time::sleep(interval.to_std()).await;
    }
}

/// Counts bytes of chunks sent to peers, for the status and for metrics.
pub(crate) fn count_sent(context: &AgentContext, bytes: usize) {
    context.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    let _ = context.metrics.count("chunk_bytes_sent", bytes as i64);
}

//! The actor that owns the agent's reducer: events come in, effects go out.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::{Counted, Gauged};
use kameo::prelude::*;
use mustardrill_core::agent::{AgentEffect, AgentEvent, AgentReducer, WeightsProgress};
use mustardrill_core::claim::{ClaimEffect, ClaimOutcome};
use mustardrill_core::demand::DemandRow;
use mustardrill_core::document::{CatalogueDocument, RequestClass};
use mustardrill_core::manifest::ChunkBitmap;
use mustardrill_core::ownership::LeaseId;
use mustardrill_core::quarantine::CrashReport;
use mustardrill_core::refusal::AttemptRefusal;
use mustardrill_runtime::agents::AgentPool;
use mustardrill_runtime::clock::{ProcessClock, spawn_ticks};
use mustardrill_runtime::http::{HttpClient, HttpServer};
use mustardrill_runtime::metrics;
use mustardrill_runtime::origin::HttpOrigin;
use mustardrill_runtime::platform::{HttpInstanceList, HttpKeyValue};
use mustardrill_types::{
    AttemptId, ChunkIndex, FastMap, Generation, InstanceId, ManifestDigest, Millis, Moment,
    RequestKey, ResultCode,
};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::config::AgentConfig;
use crate::context::AgentContext;
use crate::effects;
use crate::ends::StartCounter;
use crate::link::{LinkPace, UploadGate};
use crate::server;
use crate::status::StatusHandler;
use crate::store::ChunkStore;
use crate::upstream::HttpUpstream;
use crate::weights_http::WeightsHandler;

/// What becomes of a request before it reaches the upstream.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// Give it to the upstream now.
    Run,
    /// It was not run.
    Refuse(AttemptRefusal),
}

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    /// Where entries and other agents reach it.
    pub address: SocketAddr,
    /// Where the engine fetches weights and operators ask for the status.
    pub local_address: SocketAddr,
    actor: ActorRef<AgentActor>,
    context: Arc<AgentContext>,
    halt: CancellationToken,
}

/// Owns the reducer; all of an agent's decisions are made here, one after the other.
#[derive(Actor)]
pub(crate) struct AgentActor {
    reducer: AgentReducer,
    context: Arc<AgentContext>,
    waiting: FastMap<AttemptId, oneshot::Sender<Verdict>>,
    claims: FastMap<AttemptId, oneshot::Sender<ClaimOutcome>>,
}

/// An event for the reducer.
pub(crate) struct Event(pub(crate) AgentEvent);

/// A request that asks for its verdict.
pub(crate) struct Admit {
    pub(crate) attempt: AttemptId,
    pub(crate) class: RequestClass,
    pub(crate) pinned: Option<ManifestDigest>,
    pub(crate) deadline: Moment,
    pub(crate) verdict: oneshot::Sender<Verdict>,
}

/// A claim that asks what comes of it.
pub(crate) struct AskClaim {
    pub(crate) key: RequestKey,
    pub(crate) attempt: AttemptId,
    pub(crate) settled: oneshot::Sender<ClaimOutcome>,
}

/// Asks what is held of a version, and who else holds a chunk.
pub(crate) struct HoldingQuery(pub(crate) ManifestDigest, pub(crate) Option<ChunkIndex>);

/// What is held of a version.
#[derive(Debug, Reply)]
pub(crate) struct HoldingAnswer {
    pub(crate) bitmap: ChunkBitmap,
    pub(crate) serving: bool,
    pub(crate) others: Vec<InstanceId>,
}

/// Asks how the agent is.
pub(crate) struct StatusQuery;

/// How the agent is.
#[derive(Debug, Reply)]
pub(crate) struct StatusAnswer {
    pub(crate) generation: Generation,
    pub(crate) leaving: bool,
    pub(crate) drained: bool,
    pub(crate) outstanding: u32,
    pub(crate) capacity: u32,
    pub(crate) serving: Vec<ManifestDigest>,
    pub(crate) progress: Vec<WeightsProgress>,
    /// What entries told lately of requests under which upstreams ended.
    pub(crate) crashes: Vec<CrashReport>,
    pub(crate) document: Arc<CatalogueDocument>,
    pub(crate) sent_bytes: u64,
}

/// Asks for the sum of demand, and over how many entries it is.
pub(crate) struct DemandQuery;

/// Asks for the lease, to give it back.
pub(crate) struct LeaseQuery;

/// Asks where an instance listens.
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
                AgentEffect::Dispatch(attempt) => self.decide(attempt, Verdict::Run),
                AgentEffect::Claim(ClaimEffect::Settle(attempt, outcome)) => {
                    if let Some(waiting) = self.claims.remove(&attempt) {
                        let _ = waiting.send(outcome);
                    }
                }
                AgentEffect::Refuse(attempt, refusal) => {
                    self.decide(attempt, Verdict::Refuse(refusal));
                }
                other => effects::carry_out(&self.context, &self.reducer, actor, other),
            }
        }
    }

    fn decide(&mut self, attempt: AttemptId, verdict: Verdict) {
        if let Some(waiting) = self.waiting.remove(&attempt) {
            // The request's task may be gone; its guard has withdrawn it then.
            let _ = waiting.send(verdict);
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
        let Admit { attempt, class, pinned, deadline, verdict } = message;
        let actor = context.actor_ref().clone();
        if self.waiting.contains_key(&attempt) {
            let refusal = AttemptRefusal::new(ResultCode::AlreadyClaimed, Millis(0));
            let _ = verdict.send(Verdict::Refuse(refusal));
            return;
        }
        self.waiting.insert(attempt, verdict);
        self.reduce(AgentEvent::RequestArrived { attempt, class, pinned, deadline }, &actor);
    }
}

impl Message<AskClaim> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, message: AskClaim, context: &mut Context<Self, ()>) {
        let AskClaim { key, attempt, settled } = message;
        let actor = context.actor_ref().clone();
        // An entry that asks again has given up the call before.
        self.claims.insert(attempt, settled);
        let wall_s = self.context.clock.wall_s();
        self.reduce(AgentEvent::ClaimRequested(key, attempt, wall_s), &actor);
    }
}

impl Message<HoldingQuery> for AgentActor {
    type Reply = HoldingAnswer;

    async fn handle(
        &mut self,
        HoldingQuery(digest, index): HoldingQuery,
        _: &mut Context<Self, HoldingAnswer>,
    ) -> HoldingAnswer {
        HoldingAnswer {
            bitmap: self.reducer.held(digest).cloned().unwrap_or_default(),
            serving: self.reducer.serving().contains(&digest),
            others: index.map_or_else(Vec::new, |index| self.reducer.holders(digest, index)),
        }
    }
}

impl Message<StatusQuery> for AgentActor {
    type Reply = StatusAnswer;

    async fn handle(
        &mut self,
        _: StatusQuery,
        _: &mut Context<Self, StatusAnswer>,
    ) -> StatusAnswer {
        let now = self.context.clock.now();
        StatusAnswer {
            generation: self.reducer.generation(),
            leaving: self.reducer.is_leaving(),
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

/// Starts an agent and returns its handle once it listens.
pub async fn spawn(config: AgentConfig) -> std::io::Result<AgentHandle> {
    let halt = CancellationToken::new();
    let store = Arc::<ChunkStore>::default();
    let weights = Box::new(WeightsHandler { store: store.clone() });
    let status = Arc::new(std::sync::OnceLock::new());
    let handler = Box::new(StatusHandler { weights, actor: status.clone() });
    let local = HttpServer::bind(config.local_listen, handler, halt.clone()).await?;
    let listener = tokio::net::TcpListener::bind(config.listen).await?;
    let address = listener.local_addr()?;

    let context = Arc::new(open_context(&config, store, &local, halt.clone())?);
    let seed = rand::random();
    let reducer = AgentReducer::new(context.clock.now(), config.agent.clone(), seed);
    let (waiting, claims) = (FastMap::default(), FastMap::default());
    let state = AgentActor { reducer, context: context.clone(), waiting, claims };
    let actor = AgentActor::spawn_with_mailbox(state, mailbox::unbounded());
    let _ = status.set(actor.clone());
    server::spawn(listener, actor.clone(), context.clone());
    let ticked = actor.clone();
    spawn_ticks(config.tick, halt.clone(), move || {
        let actor = ticked.clone();
        async move {
            let _ = actor.tell(Event(AgentEvent::Tick)).await;
        }
    });
    spawn_list_reader(actor.clone(), context.clone(), config.platform.list_every);
    log::info!("start instance={} address={address} local={}", config.agent.own.id, local.address);
    Ok(AgentHandle { address, local_address: local.address, actor, context, halt })
}

impl AgentHandle {
    /// Takes no new work, finishes what runs within `patience`, gives the lease back and ends.
    pub async fn stop(&self, patience: Duration) {
        const LOOK_EVERY: Duration = Duration::from_millis(20);
        const TELL_ENTRIES: Duration = Duration::from_millis(1_500);
        let _ = self.actor.tell(Event(AgentEvent::Stop)).await;
        let started = tokio::time::Instant::now();
        while started.elapsed() < patience {
            let drained = self.actor.ask(StatusQuery).await.is_ok_and(|status| status.drained);
            // Entries learn from the next heartbeat; until then refusals send them elsewhere.
            if drained && started.elapsed() >= TELL_ENTRIES.min(patience) {
                break;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        // A successor need not wait for the lease to lapse.
        if let Ok(Some(lease)) = self.actor.ask(LeaseQuery).await {
            let _ = self.context.key_value.revoke(LeaseId(lease)).await;
        }
        self.halt();
    }

    /// Ends at once.
    pub fn halt(&self) {
        self.halt.cancel();
    }

    /// Waits until the agent has ended.
    pub async fn finished(&self) {
        self.halt.cancelled().await;
    }
}

fn open_context(
    config: &AgentConfig,
    store: Arc<ChunkStore>,
    local: &HttpServer,
    halt: CancellationToken,
) -> std::io::Result<AgentContext> {
    const CONNECT: Duration = Duration::from_secs(1);
    let client = HttpClient::open(CONNECT);
    let owner = &config.agent.owner;
    let (platform, timeout) = (&config.platform, config.platform.timeout);
    let clock = ProcessClock::start();
    let starts = StartCounter::new(clock.wall_s() * 1_000);
    Ok(AgentContext {
        own: config.agent.own.id.clone(),
        clock,
        starts: Mutex::new(starts),
        store,
        origin: Box::new(HttpOrigin::open(client.clone(), &platform.origins)),
        key_value: Box::new(HttpKeyValue::open(client.clone(), &platform.key_value, timeout)),
        instances: Box::new(HttpInstanceList::open(client.clone(), &platform.instances, timeout)),
        upstream: Box::new(HttpUpstream::open(client, &config.upstream, owner)),
        peers: AgentPool::default(),
        uploads: UploadGate::new(config.upload_rate, config.uploads),
        downloads: LinkPace::new(config.download_rate),
        sent_bytes: AtomicU64::new(0),
        metrics: metrics::open("mustardrill.agent", config.metrics)?,
        owner_key: format!("mustardrill/owner/{}", config.agent.own.id).into(),
        owner_span: owner.lease,
        weights_base: format!("http://{}/weights/", local.address).into(),
        halt,
    })
}

fn spawn_list_reader(actor: ActorRef<AgentActor>, context: Arc<AgentContext>, every: Millis) {
    tokio::spawn(async move {
        loop {
            if let Ok(listing) = context.instances.read().await {
                let addresses: Vec<_> =
                    listing.instances.iter().map(|record| record.agent.clone()).collect();
                context.peers.retain(&addresses);
                let _ = actor.tell(Event(AgentEvent::InstancesRead(listing.instances))).await;
            }
            tokio::select! {
                () = tokio::time::sleep(every.to_std()) => {}
                () = context.halt.cancelled() => return,
            }
        }
    });
}

/// Counts bytes sent to peers.
pub(crate) fn count_sent(context: &AgentContext, bytes: usize) {
    context.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    let _ = context.metrics.count("chunk_bytes_sent", bytes as i64);
}

//! The actor that owns the reducer of an entry that sends to upstreams itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cadence::{Gauged, StatsdClient};
use kameo::prelude::*;
use mustardrill_core::direct::{
    AnnouncementReport, AvailabilitySpan, CallerLimits, DirectEffect, DirectEvent, DirectReducer,
    DirectRequest, FleetChange, FleetUpdate, LoadRows, OriginProfile, PeerRecord, RefusalPlan,
    RequestNumber, SendPlan, StatusRow, WaitRows,
};
use mustardrill_core::quarantine::CrashReport;
use mustardrill_runtime::border::{CallDialect, ChunkOrigin, FleetSource};
use mustardrill_runtime::clock::ProcessClock;
use mustardrill_runtime::exposition::{MetricHandler, MetricPage};
use mustardrill_runtime::http::HttpServer;
use mustardrill_types::{FastMap, Generation, Millis, Moment};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::direct::callers::DirectHandler;
use crate::direct::config::DirectConfig;
use crate::direct::connections::ConnectionPool;
use crate::direct::metrics::METRICS;
use crate::direct::records::RecordChange;
use crate::direct::relay::ChunkRelay;
use crate::direct::watch::own_record;
use crate::direct::{gossip, records, watch};

/// The platform, as the entry sees it.
pub struct DirectBorders {
    /// The store.
    pub source: Box<dyn FleetSource>,
    /// How callers and upstreams write.
    pub dialect: Box<dyn CallDialect>,
    /// Where weights come from.
    pub origin: Box<dyn ChunkOrigin>,
}

/// A running entry.
#[derive(Debug)]
pub struct DirectHandle {
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready_address: SocketAddr,
    context: Arc<DirectContext>,
    callers: HttpServer,
    stop_callers: CancellationToken,
}

/// What the tasks of the entry share.
pub(crate) struct DirectContext {
    pub(crate) clock: ProcessClock,
    pub(crate) config: DirectConfig,
    pub(crate) borders: DirectBorders,
    pub(crate) pool: ConnectionPool,
    pub(crate) metrics: StatsdClient,
    /// For datagrams to and from other entries and agents.
    pub(crate) socket: UdpSocket,
    /// Whether a planned stop has begun.
    pub(crate) leaving: AtomicBool,
    pub(crate) halt: CancellationToken,
}

impl DirectContext {
    /// Sends a datagram. One that can't be sent is as one that got lost.
    pub(crate) async fn send_datagram(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.socket.send_to(bytes, to).await {
            log::debug!("datagram to={to} outcome=unsent reason=\"{error}\"");
        }
    }
}

/// What a request's own task is told.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// Send it to an upstream.
    Send(SendPlan),
    /// Close the attempt under way unless its answer has begun.
    Withdraw,
    /// Give the caller the failure that is at hand.
    PassOn,
    /// There is no answer.
    Refuse(RefusalPlan),
}

/// Owns the reducer; all decisions are made here, one after the other.
#[derive(Actor)]
pub(crate) struct DirectActor {
    reducer: DirectReducer,
    context: Arc<DirectContext>,
    verdicts: FastMap<RequestNumber, mpsc::UnboundedSender<Verdict>>,
}

/// An event for the reducer.
pub(crate) struct Event(pub(crate) DirectEvent);

/// A request with the way back to its task.
pub(crate) struct Begin(pub(crate) DirectRequest, pub(crate) mpsc::UnboundedSender<Verdict>);

/// Asks for what the other entries are told, and who they are.
pub(crate) struct GossipQuery;

/// The answer to `GossipQuery`.
#[derive(Debug, Reply)]
pub(crate) struct GossipReply {
    pub(crate) peers: Vec<PeerRecord>,
    pub(crate) outstanding: LoadRows,
    pub(crate) waiting: WaitRows,
    pub(crate) crash_words: Vec<CrashReport>,
    pub(crate) doubts: Option<Millis>,
}

/// Asks since when the store has answered, which configuration is in force and when versions were named.
pub(crate) struct ContactQuery;

/// The answer to `ContactQuery`.
#[derive(Debug, Reply)]
pub(crate) struct ContactReply {
    pub(crate) answer_span: Option<AvailabilitySpan>,
    pub(crate) generation: Generation,
    pub(crate) namings: Vec<AnnouncementReport>,
}

/// Asks for what is needed to hand weights on.
pub(crate) struct RelayQuery;

/// The answer to `RelayQuery`.
#[derive(Debug, Reply)]
pub(crate) struct RelayReply {
    pub(crate) peers: Vec<PeerRecord>,
    pub(crate) origin: Option<OriginProfile>,
}

/// Asks for what agents that start need of the fleet.
pub(crate) struct FleetQuery;

/// The answer to `FleetQuery`.
#[derive(Debug, Reply)]
pub(crate) struct FleetReply(pub(crate) FleetUpdate);

/// Asks whether callers should be sent here.
pub(crate) struct ReadyQuery;

/// Asks what callers may send.
pub(crate) struct LimitsQuery;

/// The answer to `LimitsQuery`.
#[derive(Debug, Reply)]
pub(crate) struct LimitsReply(pub(crate) CallerLimits);

/// Asks where the entry stands.
pub(crate) struct StatusQuery;

/// The answer to `StatusQuery`.
#[derive(Debug, Reply)]
pub(crate) struct StatusReply(pub(crate) StatusRow);

impl DirectActor {
    fn reduce(&mut self, event: DirectEvent, actor: &ActorRef<Self>) {
        let now = self.context.clock.now();
        for effect in self.reducer.reduce(now, event) {
            match effect {
                DirectEffect::Send(number, plan) => self.tell(number, Verdict::Send(plan)),
                DirectEffect::Withdraw(number) => self.tell(number, Verdict::Withdraw),
                DirectEffect::ForwardFailure(number) => self.tell(number, Verdict::PassOn),
                DirectEffect::Refuse(number, plan) => self.tell(number, Verdict::Refuse(plan)),
                DirectEffect::NotifyAgents(model, version, machines) => {
                    gossip::tell_agents(self.context.clone(), &model, version, machines);
                }
                DirectEffect::StoreQuarantine(digest, span) => {
                    records::spawn(self.context.clone(), digest, RecordChange::Keep(span));
                }
                DirectEffect::RemoveQuarantine(digest) => {
                    records::spawn(self.context.clone(), digest, RecordChange::End);
                }
                DirectEffect::SetTimer(at) => wake(now, at, actor.clone()),
            }
        }
    }

    fn tell(&self, number: RequestNumber, verdict: Verdict) {
        if let Some(task) = self.verdicts.get(&number) {
            // A task that is gone has told so, or is about to.
            let _ = task.send(verdict);
        }
    }
}

fn wake(now: Moment, at: Moment, actor: ActorRef<DirectActor>) {
    tokio::spawn(async move {
        tokio::time::sleep(at.since(now).to_std()).await;
        let _ = actor.tell(Event(DirectEvent::TimerFired)).await;
    });
}

impl Message<Event> for DirectActor {
    type Reply = ();

    async fn handle(&mut self, Event(event): Event, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        let ended = match &event {
            DirectEvent::CallerGone(number) => Some(*number),
            _ => None,
        };
        self.reduce(event, &actor);
        if let Some(number) = ended {
            self.verdicts.remove(&number);
        }
    }
}

impl Message<Begin> for DirectActor {
    type Reply = ();

    async fn handle(&mut self, Begin(request, task): Begin, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        self.verdicts.insert(request.number, task);
        self.reduce(DirectEvent::RequestArrived(request), &actor);
    }
}

impl Message<GossipQuery> for DirectActor {
    type Reply = GossipReply;

    async fn handle(&mut self, _: GossipQuery, _: &mut Context<Self, GossipReply>) -> GossipReply {
        GossipReply {
            peers: self.reducer.peers().to_vec(),
            outstanding: self.reducer.outstanding_load(),
            waiting: self.reducer.waiting_counts(),
            crash_words: self.reducer.due_crash_reports(self.context.clock.now()),
            doubts: self.reducer.peer_query_interval(self.context.clock.now()),
        }
    }
}

impl Message<ContactQuery> for DirectActor {
    type Reply = ContactReply;

    async fn handle(
        &mut self,
        _: ContactQuery,
        _: &mut Context<Self, ContactReply>,
    ) -> ContactReply {
        let document = self.reducer.document();
        ContactReply {
            answer_span: self.reducer.store_availability_span(),
            generation: document.map_or(Generation::default(), |document| document.generation),
            namings: self.reducer.announcements(self.context.clock.now()),
        }
    }
}

impl Message<RelayQuery> for DirectActor {
    type Reply = RelayReply;

    async fn handle(&mut self, _: RelayQuery, _: &mut Context<Self, RelayReply>) -> RelayReply {
        let document = self.reducer.document();
        RelayReply {
            peers: self.reducer.peers().to_vec(),
            origin: document.and_then(|document| document.origin().cloned()),
        }
    }
}

impl Message<FleetQuery> for DirectActor {
    type Reply = FleetReply;

    async fn handle(&mut self, _: FleetQuery, _: &mut Context<Self, FleetReply>) -> FleetReply {
        let mut page = self.reducer.fleet_snapshot();
        page.changes.push(FleetChange::Peer(own_record(&self.context.config)));
        FleetReply(page)
    }
}

impl Message<ReadyQuery> for DirectActor {
    type Reply = bool;

    async fn handle(&mut self, _: ReadyQuery, _: &mut Context<Self, bool>) -> bool {
        let leaving = self.context.leaving.load(Ordering::Relaxed);
        !leaving && self.reducer.is_ready(self.context.clock.now())
    }
}

impl Message<LimitsQuery> for DirectActor {
    type Reply = LimitsReply;

    async fn handle(&mut self, _: LimitsQuery, _: &mut Context<Self, LimitsReply>) -> LimitsReply {
        let document = self.reducer.document();
        LimitsReply(document.map(|document| document.limits.clone()).unwrap_or_default())
    }
}

impl Message<StatusQuery> for DirectActor {
    type Reply = StatusReply;

    async fn handle(&mut self, _: StatusQuery, _: &mut Context<Self, StatusReply>) -> StatusReply {
        StatusReply(self.reducer.status(self.context.clock.now()))
    }
}

/// How often the gauges are set: as often as they are usually read.
const SAMPLE_EVERY: std::time::Duration = std::time::Duration::from_secs(5);

/// Sets the gauges from the reducer's state.
async fn sample(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) {
    loop {
        tokio::time::sleep(SAMPLE_EVERY).await;
        let Ok(StatusReply(status)) = actor.ask(StatusQuery).await else { return };
        let gauges = [
            ("generation", status.generation.map_or(0, |generation| generation.0)),
            ("proof_age_ms", status.confirmed_ago.map_or(0, |age| age.0)),
            ("store_era", status.era.0),
            ("upstreams", status.upstreams as u64),
            ("upstreams_lapsed", status.expired as u64),
            ("requests_open", status.requests as u64),
            ("requests_waiting", status.waiting as u64),
            ("requests_quarantined", status.quarantined as u64),
            ("requests_begun_late", status.started_late),
        ];
        for (name, value) in gauges {
            let _ = context.metrics.gauge(name, value);
        }
    }
}

/// Starts an entry and returns its handle once it listens.
pub async fn spawn(config: DirectConfig, borders: DirectBorders) -> std::io::Result<DirectHandle> {
    let halt = CancellationToken::new();
    let stop_callers = halt.child_token();
    let page = Arc::new(MetricPage::new(&METRICS));
    let clock = ProcessClock::start();
    let context = Arc::new(DirectContext {
        clock,
        config: config.clone(),
        borders,
        pool: ConnectionPool::new(clock),
        metrics: page.client(),
        socket: UdpSocket::bind(config.peer_listen).await?,
        leaving: AtomicBool::new(false),
        halt: halt.clone(),
    });
    let reducer = DirectReducer::new(config.direct.clone(), rand::random());
    let state = DirectActor { reducer, context: context.clone(), verdicts: FastMap::default() };
    let actor = DirectActor::spawn_with_mailbox(state, mailbox::unbounded());
    let handler = DirectHandler::new(actor.clone(), context.clone());
    let ready =
        HttpServer::bind(config.ready_listen, Box::new(handler.clone()), halt.clone()).await?;
    let callers = HttpServer::bind(config.listen, Box::new(handler), stop_callers.clone()).await?;
    if let Some(address) = config.metrics {
        HttpServer::bind(address, Box::new(MetricHandler(page)), halt.clone()).await?;
        let sampling = sample(actor.clone(), context.clone());
        tokio::spawn(halt.clone().run_until_cancelled_owned(sampling));
    }
    gossip::spawn(actor.clone(), context.clone());
    let relay = ChunkRelay::new(actor.clone(), context.clone());
    HttpServer::bind(config.peer_listen, Box::new(relay), halt.clone()).await?;
    watch::spawn(actor.clone(), context.clone());
    let (address, ready_address) = (callers.address, ready.address);
    log::info!("start instance={} address={address} store={}", config.direct.own_id, config.store);
    Ok(DirectHandle { address, ready_address, context, callers, stop_callers })
}

impl DirectHandle {
    /// Tells the balancer to send nobody, serves until it does, finishes what is in progress and
    /// ends. Requests that come late are answered like all others as long as the time allows.
    pub async fn stop(&self) {
        let config = &self.context.config;
        self.context.leaving.store(true, Ordering::Relaxed);
        log::info!(
            "stop instance={} linger={} grace={}",
            config.direct.own_id,
            config.linger,
            config.grace
        );
        tokio::time::sleep(config.linger.to_std()).await;
        self.stop_callers.cancel();
        // A margin for the process's own end, so that the platform needs not kill it.
        const END_MARGIN: mustardrill_types::Millis = mustardrill_types::Millis(300);
        let left = mustardrill_types::Millis(
            config.grace.0.saturating_sub(config.linger.0 + END_MARGIN.0),
        );
        let drained = tokio::time::timeout(left.to_std(), self.callers.drained()).await;
        log::info!("end instance={} drained={}", config.direct.own_id, drained.is_ok());
        self.halt();
    }

    /// Ends at once.
    pub fn halt(&self) {
        self.context.halt.cancel();
    }
}

impl std::fmt::Debug for DirectContext {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "DirectContext {{ config: {:?} }}", self.config)
    }
}

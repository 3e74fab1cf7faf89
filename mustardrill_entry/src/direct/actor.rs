//! The actor that owns the reducer of an entry that sends requests directly to upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

use cadence::{Counted, Gauged, StatsdClient};
use kameo::prelude::*;
use mustardrill_core::direct::{
    AnnouncementReport, AvailabilitySpan, BodyBudget, CallerLimits, DirectEffect, DirectEvent,
    DirectReducer, DirectRequest, FleetChange, FleetUpdate, IntakeReport, LoadRows, OriginProfile,
    PaceReport, PeerRecord, RefusalPlan, RequestNumber, SendPlan, StatusRow, WaitRows,
};
use mustardrill_core::planned_stop::StopSchedule;
use mustardrill_core::quarantine::CrashReport;
use mustardrill_runtime::adapters::{CallDialect, ChunkOrigin, FleetSource};
use mustardrill_runtime::body_memory::BodyMemory;
use mustardrill_runtime::client_connections::ClientConnections;
use mustardrill_runtime::clock::ProcessClock;
use mustardrill_runtime::exposition::{MetricHandler, MetricRegistry};
use mustardrill_runtime::http_server::HttpServer;
use mustardrill_runtime::supervision::{self, ProcessFailure};
use mustardrill_types::{FastMap, Generation, Millis, Moment};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::direct::activity::ActivityTable;
use crate::direct::caller_policy::CallerPolicy;
use crate::direct::callers::CallerHandler;
use crate::direct::config::DirectConfig;
use crate::direct::connections::ConnectionPool;
use crate::direct::metrics::{METRICS, UpstreamLabels};
use crate::direct::planned_stop::PlannedStop;
use crate::direct::quarantine_records::{RecordChange, RecordWrites};
use crate::direct::reachability::ReachabilityProbes;
use crate::direct::relay::ChunkRelay;
use crate::direct::watch::own_record;
use crate::direct::{gossip, watch};

/// The adapters through which the entry uses its platform.
pub struct PlatformAdapters {
    /// The platform's store: configuration, registrations and announced versions.
    pub fleet_source: Box<dyn FleetSource>,
    /// Reads and writes the HTTP heads of callers' requests and upstreams' answers.
    pub dialect: Box<dyn CallDialect>,
    /// Fetches and verifies weights from their origin.
    pub origin: Box<dyn ChunkOrigin>,
}

/// Handle of a running entry: its bound addresses, and the means to stop it.
#[derive(Debug)]
pub struct DirectHandle {
    /// Address at which callers are served, with the port that was bound.
    pub address: SocketAddr,
    /// Address at which the load balancer probes readiness.
    pub ready_address: SocketAddr,
    context: Arc<DirectContext>,
    caller_server: HttpServer,
    stop_callers: CancellationToken,
    failure: ProcessFailure,
}

/// State shared by the tasks of the entry.
pub(crate) struct DirectContext {
    pub(crate) clock: ProcessClock,
    pub(crate) config: DirectConfig,
    pub(crate) adapters: PlatformAdapters,
    pub(crate) pool: ConnectionPool,
    pub(crate) probes: ReachabilityProbes,
    pub(crate) activity: ActivityTable,
    pub(crate) body_memory: BodyMemory,
    pub(crate) metrics: StatsdClient,
    /// Datagrams to and from peer entries and agents.
    pub(crate) socket: UdpSocket,
    pub(crate) stop: PlannedStop,
    pub(crate) halt: CancellationToken,
}

impl DirectContext {
    /// Sends a datagram. A send error is only logged: datagrams may be lost at any time anyway.
    pub(crate) async fn send_datagram(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.socket.send_to(bytes, to).await {
            log::debug!("datagram to={to} outcome=unsent reason=\"{error}\"");
        }
    }
}

/// What the reducer orders the task of one request to do.
#[derive(Debug)]
pub(crate) enum RequestCommand {
    /// Send the request to an upstream.
    Send(SendPlan),
    /// Send the request to another upstream beside the attempt of the number's sibling, if that is
    /// silent still and the caller has received no more; else report the new attempt as withdrawn.
    SendBackup(SendPlan),
    /// Close the attempt unless its answer has started.
    Withdraw,
    /// Close the attempt unless a part of it has been written.
    WithdrawUnsent,
    /// Forward the failure that an upstream answered to the caller.
    ForwardFailure,
    /// Answer the caller with a refusal.
    Refuse(RefusalPlan),
}

/// Sends commands to the task of a request, each with the number of the attempt that it is for.
pub(crate) type CommandSender = mpsc::UnboundedSender<(RequestNumber, RequestCommand)>;

/// Owns the reducer, which makes all decisions one after the other.
#[derive(Actor)]
pub(crate) struct DirectActor {
    reducer: DirectReducer,
    context: Arc<DirectContext>,
    command_senders: FastMap<RequestNumber, CommandSender>,
    upstream_labels: UpstreamLabels,
    record_writes: RecordWrites,
}

/// An event for the reducer.
pub(crate) struct Event(pub(crate) DirectEvent);

/// A new request, with the channel for commands to its task.
pub(crate) struct StartRequest(pub(crate) DirectRequest, pub(crate) CommandSender);

/// Asks for the peer entries and what is to be broadcast to them.
pub(crate) struct GossipQuery;

#[derive(Debug, Reply)]
pub(crate) struct GossipReply {
    pub(crate) peers: Vec<PeerRecord>,
    pub(crate) outstanding: LoadRows,
    pub(crate) waiting: WaitRows,
    pub(crate) paces: Vec<PaceReport>,
    pub(crate) crash_reports: Vec<CrashReport>,
    pub(crate) intake_reports: Vec<IntakeReport>,
    /// How often to ask peers for their availability; `None` while there is no need.
    pub(crate) query_interval: Option<Millis>,
}

/// Asks since when the store has answered, which configuration is in force and when versions were
/// announced.
pub(crate) struct AvailabilityQuery;

#[derive(Debug, Reply)]
pub(crate) struct AvailabilityReply {
    pub(crate) availability_span: Option<AvailabilitySpan>,
    pub(crate) generation: Generation,
    pub(crate) announcements: Vec<AnnouncementReport>,
}

/// Asks for what the relay of weights needs.
pub(crate) struct RelayQuery;

#[derive(Debug, Reply)]
pub(crate) struct RelayReply {
    pub(crate) peers: Vec<PeerRecord>,
    pub(crate) origin: Option<OriginProfile>,
}

/// Asks for the state of the fleet, for agents that are starting.
pub(crate) struct FleetQuery;

#[derive(Debug, Reply)]
pub(crate) struct FleetReply(pub(crate) FleetUpdate);

/// Asks whether the load balancer should send callers to this entry.
pub(crate) struct ReadyQuery;

/// Asks for the limits on callers' requests.
pub(crate) struct LimitsQuery;

#[derive(Debug, Reply)]
pub(crate) struct LimitsReply(pub(crate) CallerLimits);

/// Asks for the figures that the gauges show.
pub(crate) struct StatusQuery;

#[derive(Debug, Reply)]
pub(crate) struct StatusReply(pub(crate) StatusRow);

impl DirectActor {
    fn reduce(&mut self, event: DirectEvent, actor: &ActorRef<Self>) {
        let now = self.context.clock.now();
        for effect in self.reducer.reduce(now, event) {
            match effect {
                DirectEffect::Send(number, plan) => {
                    self.count_limited_send(&plan);
                    self.send_command(number, RequestCommand::Send(plan))
                }
                DirectEffect::SendBackup(number, plan) => {
                    self.count_limited_send(&plan);
                    let task = self.command_senders.get(&number.sibling()).cloned();
                    self.command_senders.extend(task.map(|task| (number, task)));
                    self.send_command(number, RequestCommand::SendBackup(plan))
                }
                DirectEffect::Withdraw(number) => {
                    self.send_command(number, RequestCommand::Withdraw)
                }
                DirectEffect::WithdrawUnsent(number) => {
                    self.send_command(number, RequestCommand::WithdrawUnsent)
                }
                DirectEffect::ForwardFailure(number) => {
                    self.send_command(number, RequestCommand::ForwardFailure)
                }
                DirectEffect::Refuse(number, plan) => {
                    self.send_command(number, RequestCommand::Refuse(plan))
                }
                DirectEffect::NotifyAgents(model, version, machines) => {
                    gossip::notify_agents(self.context.clone(), &model, version, machines);
                }
                DirectEffect::StoreQuarantine(subject, span) => {
                    let change = RecordChange::Keep(span);
                    self.record_writes.spawn(self.context.clone(), subject, change);
                }
                DirectEffect::RemoveQuarantine(subject) => {
                    self.record_writes.spawn(self.context.clone(), subject, RecordChange::End);
                }
                DirectEffect::SetTimer(at) => schedule_wake(now, at, actor.clone()),
            }
        }
    }

    fn count_limited_send(&mut self, plan: &SendPlan) {
        if plan.is_limited {
            let label = self.upstream_labels.label(&plan.upstream);
            let _ = self.context.metrics.count(&format!("limited_sends.{label}"), 1);
        }
    }

    fn send_command(&self, number: RequestNumber, command: RequestCommand) {
        if let Some(task) = self.command_senders.get(&number) {
            // A task that has ended has reported so, or is about to: `DirectEvent::CallerGone`.
            let _ = task.send((number, command));
        }
    }
}

fn schedule_wake(now: Moment, at: Moment, actor: ActorRef<DirectActor>) {
    tokio::spawn(async move {
        tokio::time::sleep(at.since(now).to_std()).await;
        let _ = actor.tell(Event(DirectEvent::TimerFired)).await;
    });
}

impl Message<Event> for DirectActor {
    type Reply = ();

    async fn handle(&mut self, Event(event): Event, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        let ended_request = match &event {
            DirectEvent::CallerGone(number) => Some(*number),
            _ => None,
        };
        self.reduce(event, &actor);
        if let Some(number) = ended_request {
            self.command_senders.remove(&number);
            self.command_senders.remove(&number.sibling());
        }
    }
}

impl Message<StartRequest> for DirectActor {
    type Reply = ();

    async fn handle(
        &mut self,
        StartRequest(request, task): StartRequest,
        context: &mut Context<Self, ()>,
    ) {
        let actor = context.actor_ref().clone();
        self.command_senders.insert(request.number, task);
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
            paces: self.reducer.pace_reports(self.context.clock.now()),
            intake_reports: self.reducer.due_intake_reports(self.context.clock.now()),
            crash_reports: self.reducer.due_crash_reports(self.context.clock.now()),
            query_interval: self.reducer.peer_query_interval(self.context.clock.now()),
        }
    }
}

impl Message<AvailabilityQuery> for DirectActor {
    type Reply = AvailabilityReply;

    async fn handle(
        &mut self,
        _: AvailabilityQuery,
        _: &mut Context<Self, AvailabilityReply>,
    ) -> AvailabilityReply {
        let document = self.reducer.document();
        AvailabilityReply {
            availability_span: self.reducer.store_availability_span(),
            generation: document.map_or(Generation::default(), |document| document.generation),
            announcements: self.reducer.announcements(self.context.clock.now()),
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
        let mut update = self.reducer.fleet_snapshot();
        update.changes.push(FleetChange::Peer(own_record(&self.context.config)));
        FleetReply(update)
    }
}

impl Message<ReadyQuery> for DirectActor {
    type Reply = bool;

    async fn handle(&mut self, _: ReadyQuery, _: &mut Context<Self, bool>) -> bool {
        !self.context.stop.has_begun() && self.reducer.is_ready(self.context.clock.now())
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

/// How often the gauges are set: the usual scrape interval.
const GAUGE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

async fn update_gauges(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) {
    loop {
        tokio::time::sleep(GAUGE_INTERVAL).await;
        let Ok(StatusReply(status)) = actor.ask(StatusQuery).await else { return };
        let gauges = [
            ("generation", status.generation.map_or(0, |generation| generation.0)),
            ("proof_age_ms", status.confirmed_ago.map_or(0, |age| age.0)),
            ("config_unreadable", u64::from(status.is_config_unreadable)),
            ("store_era", status.era.0),
            ("upstreams", status.upstreams as u64),
            ("upstreams_lapsed", status.expired as u64),
            ("upstreams_leaving", status.leaving as u64),
            ("data_centres_evacuated", status.evacuations as u64),
            ("upstreams_evacuated", status.evacuated as u64),
            ("loads_unproven", status.unproven_loads as u64),
            ("upstreams_resting", status.resting as u64),
            ("upstreams_cold", status.cold as u64),
            ("upstreams_limited", status.limited as u64),
            ("requests_open", status.requests as u64),
            ("requests_waiting", status.waiting as u64),
            ("requests_quarantined", status.quarantined as u64),
            ("parts_quarantined", status.quarantined_parts as u64),
            ("parts_suspected", status.suspected_parts as u64),
            ("requests_begun_late", status.started_late),
            ("beliefs_contradicted", status.contradicted_beliefs),
            ("arrivals_refused", status.admission.refused),
            ("requests_displaced", status.admission.displaced),
            ("requests_sent_late", status.admission.sent_late),
        ];
        for (name, value) in gauges {
            let _ = context.metrics.gauge(name, value);
        }
    }
}

/// Starts an entry and returns its handle once it listens. Fails if one of its addresses can't be
/// bound.
pub async fn spawn(
    config: DirectConfig,
    adapters: PlatformAdapters,
) -> std::io::Result<DirectHandle> {
    let halt = CancellationToken::new();
    let stop_callers = halt.child_token();
    let metric_registry = Arc::new(MetricRegistry::new(&METRICS));
    let clock = ProcessClock::start();
    let context = Arc::new(DirectContext {
        clock,
        config: config.clone(),
        adapters,
        pool: ConnectionPool::new(clock),
        probes: ReachabilityProbes::default(),
        activity: ActivityTable::default(),
        body_memory: BodyMemory::open(BodyBudget::of_memory(config.process.memory)),
        metrics: metric_registry.client(),
        socket: UdpSocket::bind(config.peer_listen).await?,
        stop: PlannedStop::default(),
        halt: halt.clone(),
    });
    let reducer = DirectReducer::new(config.direct.clone(), rand::random());
    let state = DirectActor {
        reducer,
        context: context.clone(),
        command_senders: FastMap::default(),
        upstream_labels: UpstreamLabels::default(),
        record_writes: RecordWrites::default(),
    };
    let actor = DirectActor::spawn_with_mailbox(state, mailbox::unbounded());
    let failure = ProcessFailure::default();
    failure.watch_actor(halt.clone(), actor.clone());
    let limits = config.process.connections();
    let clients = ClientConnections::open(Box::new(clock), limits, halt.clone());
    let handler = CallerHandler::new(actor.clone(), context.clone());
    let ready_handler = Box::new(handler.clone());
    let ready =
        HttpServer::bind(config.ready_listen, ready_handler, &clients, halt.clone()).await?;
    let policy = Box::new(CallerPolicy::new(actor.clone()));
    let (handler, stop) = (Box::new(handler), stop_callers.clone());
    let caller_server =
        HttpServer::bind_with_policy(config.listen, handler, policy, &clients, stop).await?;
    if let Some(address) = config.metrics {
        let handler = Box::new(MetricHandler(metric_registry));
        HttpServer::bind(address, handler, &clients, halt.clone()).await?;
        let (measured, entry) = (actor.clone(), context.clone());
        supervision::spawn("gauges", halt.clone(), move || {
            update_gauges(measured.clone(), entry.clone())
        });
    }
    gossip::spawn(actor.clone(), context.clone());
    let relay = ChunkRelay::new(actor.clone(), context.clone());
    HttpServer::bind(config.peer_listen, Box::new(relay), &clients, halt.clone()).await?;
    watch::spawn(actor.clone(), context.clone());
    let (address, ready_address) = (caller_server.address, ready.address);
    log::info!("start instance={} address={address} store={}", config.direct.own_id, config.store);
    Ok(DirectHandle { address, ready_address, context, caller_server, stop_callers, failure })
}

impl DirectHandle {
    /// Fails the readiness probe, serves until the load balancer sends no more callers, finishes the
    /// requests in progress and ends. [`StopSchedule`] tells what is taken and refused meanwhile.
    pub async fn stop(&self) {
        let DirectContext { config, clock, stop, .. } = &*self.context;
        let schedule = StopSchedule::begin(clock.now(), config.linger, config.grace);
        stop.begin(schedule);
        log::info!(
            "stop instance={} linger={} grace={}",
            config.direct.own_id,
            config.linger,
            config.grace
        );
        tokio::time::sleep(schedule.intake_end.since(clock.now()).to_std()).await;
        self.stop_callers.cancel();
        let is_drained = self.wait_until_drained(&schedule).await;
        log::info!("end instance={} drained={is_drained}", config.direct.own_id);
        self.halt();
    }

    /// Waits for the end of the requests in progress, and refuses those that have not been sent or
    /// answered when it is time. Returns whether all have ended.
    async fn wait_until_drained(&self, schedule: &StopSchedule) -> bool {
        let DirectContext { clock, stop, .. } = &*self.context;
        let refusals = [
            (schedule.last_start, &stop.refuse_unsent),
            (schedule.answer_by, &stop.refuse_unanswered),
        ];
        for (at, refusal) in refusals {
            if self.is_drained_within(at.since(clock.now())).await {
                return true;
            }
            refusal.cancel();
        }
        self.is_drained_within(schedule.exit_at.since(clock.now())).await
    }

    async fn is_drained_within(&self, limit: Millis) -> bool {
        tokio::time::timeout(limit.to_std(), self.caller_server.drained()).await.is_ok()
    }

    /// Waits until the entry can decide nothing any more; only a new start of the process helps.
    pub async fn failed(&self) {
        self.failure.occurred().await;
    }

    /// Ends at once, aborting requests in progress.
    pub fn halt(&self) {
        self.context.halt.cancel();
    }
}

impl std::fmt::Debug for DirectContext {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "DirectContext {{ config: {:?} }}", self.config)
    }
}

//! The actor that owns the entry's reducer: it feeds events to the reducer and executes the
//! effects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cadence::Gauged;
use kameo::prelude::*;
use mustardrill_core::direct::BodyBudget;
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::edit::FleetFacts;
use mustardrill_core::entry::{EntryEffect, EntryEvent, EntryReducer, IncomingRequest, RequestId};
use mustardrill_core::planned_stop::StopSchedule;
use mustardrill_runtime::agents::AgentPool;
use mustardrill_runtime::body_memory::BodyMemory;
use mustardrill_runtime::client_connections::ClientConnections;
use mustardrill_runtime::clock::{ProcessClock, spawn_ticks};
use mustardrill_runtime::http::HttpClient;
use mustardrill_runtime::http_server::HttpServer;
use mustardrill_runtime::metrics;
use mustardrill_runtime::origin::HttpOrigin;
use mustardrill_runtime::platform::{HttpInstanceList, HttpKeyValue};
use mustardrill_runtime::supervision::ProcessFailure;
use mustardrill_types::{AttemptId, FastMap, Millis, Moment};
use tokio_util::sync::CancellationToken;

use crate::agent_clocks::AgentClocks;
use crate::attempt::RequestIo;
use crate::callers::CallerHandler;
use crate::config::EntryConfig;
use crate::context::EntryContext;
use crate::effects;
use crate::operators::OperatorHandler;
use crate::status::FleetStatus;
use crate::watch;

/// Handle of a running entry: its bound addresses, and the means to stop it.
#[derive(Debug)]
pub struct EntryHandle {
    /// Address at which callers are served, with the port that was bound.
    pub address: SocketAddr,
    /// Address at which operators are served, with the port that was bound.
    pub operator_address: SocketAddr,
    actor: ActorRef<EntryActor>,
    caller_server: HttpServer,
    stop_callers: CancellationToken,
    clock: ProcessClock,
    failure: ProcessFailure,
    halt: CancellationToken,
}

/// Owns the reducer, which makes all decisions of the entry one after the other.
#[derive(Actor)]
pub(crate) struct EntryActor {
    pub(crate) reducer: EntryReducer,
    pub(crate) context: Arc<EntryContext>,
    pub(crate) requests: FastMap<RequestId, Arc<RequestIo>>,
    pub(crate) attempts: FastMap<AttemptId, AttemptTokens>,
}

/// An event for the reducer.
pub(crate) struct Event(pub(crate) EntryEvent);

/// A new request, with its content and the channel to its caller.
pub(crate) struct StartRequest(pub(crate) IncomingRequest, pub(crate) Arc<RequestIo>);

/// Asks for the catalogue in force.
pub(crate) struct DocumentQuery;

/// Asks for the state of the fleet against which an edit is checked.
pub(crate) struct FactsQuery;

/// Asks for each agent's generation and progress with weights.
pub(crate) struct StatusQuery;

/// Asks whether no request is in progress any more.
pub(crate) struct DrainedQuery;

/// Tokens that end an attempt early.
#[derive(Debug, Default, Clone)]
pub(crate) struct AttemptTokens {
    /// The answer is no longer needed.
    pub(crate) cancel: CancellationToken,
    /// Its agent no longer responds, so the attempt counts as lost.
    pub(crate) abandon: CancellationToken,
}

impl EntryActor {
    fn reduce(&mut self, event: EntryEvent, actor: &ActorRef<Self>) {
        if let EntryEvent::AttemptEnded(attempt, ..) = &event {
            self.attempts.remove(attempt);
        }
        let gone_request = match &event {
            EntryEvent::CallerDisconnected(id) => Some(*id),
            _ => None,
        };
        let now = self.context.clock.now();
        let previous_generation = self.reducer.document().generation;
        if let EntryEvent::SyncFailed(_) | EntryEvent::StopEnding = &event {
            self.report_delivered(now);
        }
        let effects = self.reducer.reduce(now, event);
        let generation = self.reducer.document().generation;
        if generation != previous_generation {
            let _ = self.context.metrics.gauge("generation", generation.0);
        }
        for effect in effects {
            self.execute(effect, actor);
        }
        if let Some(id) = gone_request {
            self.requests.remove(&id);
        }
    }

    /// Passes the progress of all answers to the reducer, which decides by it where each request
    /// can go on.
    fn report_delivered(&mut self, now: Moment) {
        for (id, io) in &self.requests {
            self.reducer.reduce(now, EntryEvent::Delivered(*id, io.delivered()));
        }
    }

    fn execute(&mut self, effect: EntryEffect, actor: &ActorRef<Self>) {
        match effect {
            EntryEffect::Send(order) => {
                let Some(io) = self.requests.get(&order.id).cloned() else { return };
                let tokens = AttemptTokens::default();
                self.attempts.insert(order.attempt, tokens.clone());
                effects::send_attempt(self.context.clone(), actor.clone(), io, order, tokens);
            }
            EntryEffect::Cancel(attempt) => {
                if let Some(tokens) = self.attempts.remove(&attempt) {
                    tokens.cancel.cancel();
                }
            }
            EntryEffect::Abandon(attempt) => {
                if let Some(tokens) = self.attempts.get(&attempt) {
                    tokens.abandon.cancel();
                }
            }
            EntryEffect::Reject { id, code, retry_after } => {
                if let Some(io) = self.requests.remove(&id) {
                    io.reject(code, retry_after);
                }
            }
            EntryEffect::AcquireClaim(order) => {
                effects::request_claim(self.context.clone(), actor.clone(), order);
            }
            EntryEffect::ReleaseClaim(order) => {
                effects::release_claim(self.context.clone(), order);
            }
            EntryEffect::Sync { id, address, with_catalogue, with_demand, crashes } => {
                let heartbeat = effects::Heartbeat {
                    id,
                    address,
                    document: self.reducer.document().clone(),
                    with_catalogue,
                    demand: with_demand.then(|| self.reducer.demand().to_vec()),
                    crashes,
                };
                effects::send_heartbeat(self.context.clone(), actor.clone(), heartbeat);
            }
        }
    }
}

impl Message<Event> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, message: Event, context: &mut Context<Self, ()>) {
        let actor = context.actor_ref().clone();
        self.reduce(message.0, &actor);
    }
}

impl Message<StartRequest> for EntryActor {
    type Reply = ();

    async fn handle(
        &mut self,
        StartRequest(incoming, io): StartRequest,
        context: &mut Context<Self, ()>,
    ) {
        let actor = context.actor_ref().clone();
        self.requests.insert(incoming.id, io);
        self.reduce(EntryEvent::RequestArrived(incoming), &actor);
    }
}

impl Message<DocumentQuery> for EntryActor {
    type Reply = Arc<CatalogueDocument>;

    async fn handle(
        &mut self,
        _: DocumentQuery,
        _: &mut Context<Self, Arc<CatalogueDocument>>,
    ) -> Arc<CatalogueDocument> {
        self.reducer.document().clone()
    }
}

impl Message<FactsQuery> for EntryActor {
    type Reply = Box<FleetFacts>;

    async fn handle(
        &mut self,
        _: FactsQuery,
        _: &mut Context<Self, Box<FleetFacts>>,
    ) -> Box<FleetFacts> {
        let mut facts = FleetFacts {
            customers: self.context.access.customers().cloned().collect(),
            operators: self.context.access.operators().map(Into::into).collect(),
            staging_limit: self.context.edits.staging_limit,
            in_use: self.reducer.limits().peak_in_flight(),
            ..FleetFacts::default()
        };
        for record in self.reducer.members().records().filter(|record| !record.leaving) {
            *facts.instances.entry(record.service.clone()).or_default() += 1;
        }
        Box::new(facts)
    }
}

impl Message<StatusQuery> for EntryActor {
    type Reply = FleetStatus;

    async fn handle(&mut self, _: StatusQuery, _: &mut Context<Self, FleetStatus>) -> FleetStatus {
        FleetStatus::of(self.context.clock.now(), &self.context.own, &self.reducer)
    }
}

impl Message<DrainedQuery> for EntryActor {
    type Reply = bool;

    async fn handle(&mut self, _: DrainedQuery, _: &mut Context<Self, bool>) -> bool {
        self.reducer.is_drained()
    }
}

/// Starts an entry and returns its handle once it listens. Fails if one of its addresses can't be
/// bound.
pub async fn spawn(config: EntryConfig) -> std::io::Result<EntryHandle> {
    let halt = CancellationToken::new();
    let stop_callers = halt.child_token();
    let context = Arc::new(open_context(&config, halt.clone())?);
    let reducer = EntryReducer::new(config.entry.clone(), rand::random());
    let (requests, attempts) = (FastMap::default(), FastMap::default());
    let state = EntryActor { reducer, context: context.clone(), requests, attempts };
    let actor = EntryActor::spawn_with_mailbox(state, mailbox::unbounded());
    let failure = ProcessFailure::default();
    failure.watch_actor(halt.clone(), actor.clone());

    let limits = config.process.connections();
    let clients = ClientConnections::open(Box::new(context.clock), limits, halt.clone());
    let handler = Box::new(CallerHandler::new(actor.clone(), context.clone()));
    let caller_server =
        HttpServer::bind(config.listen, handler, &clients, stop_callers.clone()).await?;
    let handler = Box::new(OperatorHandler::new(actor.clone(), context.clone()));
    let operator_server =
        HttpServer::bind(config.operator_listen, handler, &clients, halt.clone()).await?;
    let tick_actor = actor.clone();
    spawn_ticks(config.tick, halt.clone(), move || {
        let actor = tick_actor.clone();
        async move {
            let _ = actor.tell(Event(EntryEvent::Tick)).await;
        }
    });
    watch::spawn_catalogue(actor.clone(), context.clone());
    let clock = context.clock;
    watch::spawn_instances(actor.clone(), context, config.platform.list_every);
    let (address, operator_address) = (caller_server.address, operator_server.address);
    log::info!(
        "start instance={} address={address} operators={operator_address}",
        config.entry.own_id
    );
    Ok(EntryHandle {
        address,
        operator_address,
        actor,
        caller_server,
        stop_callers,
        clock,
        failure,
        halt,
    })
}

impl EntryHandle {
    /// Refuses new requests and ends once those in progress are finished, within `timeout`. Those
    /// that have no answer shortly before are told so.
    pub async fn stop(&self, timeout: Millis) {
        let schedule = StopSchedule::begin(self.clock.now(), Millis(0), timeout);
        let _ = self.actor.tell(Event(EntryEvent::Stop)).await;
        if !self.is_drained_by(schedule.answer_by).await {
            let _ = self.actor.tell(Event(EntryEvent::StopEnding)).await;
            let is_drained = self.is_drained_by(schedule.exit_at).await;
            log::info!("end drained={is_drained}");
        }
        self.halt();
    }

    /// Waits until no request is in progress; returns whether that is so by `until`.
    async fn is_drained_by(&self, until: Moment) -> bool {
        const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
        let drained = async {
            while !self.actor.ask(DrainedQuery).await.unwrap_or(true) {
                tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            }
            // The last bytes may still be on their way to the callers.
            self.stop_callers.cancel();
            self.caller_server.drained().await;
        };
        let limit = until.since(self.clock.now());
        tokio::time::timeout(limit.to_std(), drained).await.is_ok()
    }

    /// Waits until the entry can decide nothing any more; only a new start of the process helps.
    pub async fn failed(&self) {
        self.failure.occurred().await;
    }

    /// Ends at once, cutting requests in progress.
    pub fn halt(&self) {
        self.halt.cancel();
    }
}

fn open_context(config: &EntryConfig, halt: CancellationToken) -> std::io::Result<EntryContext> {
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
    let client = HttpClient::open(CONNECT_TIMEOUT);
    let (platform, timeout) = (&config.platform, config.platform.timeout);
    Ok(EntryContext {
        own: config.entry.own_id.clone(),
        clock: ProcessClock::start(),
        key_value: Box::new(HttpKeyValue::open(client.clone(), &platform.key_value, timeout)),
        instances: Box::new(HttpInstanceList::open(client.clone(), &platform.instances, timeout)),
        origin: Box::new(HttpOrigin::open(client, &platform.origins)),
        agents: AgentPool::default(),
        agent_clocks: AgentClocks::default(),
        access: config.access.clone(),
        callers: config.callers.clone(),
        body_memory: BodyMemory::open(BodyBudget::of_memory(config.process.memory)),
        edits: config.edits.clone(),
        metrics: metrics::open("mustardrill.entry", config.metrics)?,
        halt,
    })
}

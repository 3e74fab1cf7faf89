//! Executes the reducer's effects, each in a task of its own that reports its result as an event.

use std::sync::Arc;

use bytes::Bytes;
use kameo::prelude::*;
use mustardrill_core::agent::WeightsProgress;
use mustardrill_core::claim::ClaimOutcome;
use mustardrill_core::coordinator::ClaimCoordinator;
use mustardrill_core::demand::DemandRow;
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::entry::{AgentSync, AttemptEnd, ClaimOrder, EntryEvent, SendOrder};
use mustardrill_core::quarantine::CrashReport;
use mustardrill_core::routing::UpstreamReport;
use mustardrill_proto as proto;
use mustardrill_runtime::wire::{
    attempt_bytes, catalogue_of, claim_of, crash_message, crash_report, demand_message, demand_row,
    digest_of, key_bytes,
};
use mustardrill_types::{Generation, InstanceId, Millis, Moment};

use crate::actor::{AttemptTokens, EntryActor, Event};
use crate::attempt::{self, RequestIo};
use crate::context::EntryContext;

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Millis = Millis(1_500);

/// Timeout of a call to a shard coordinator. It is longer than a coordinator needs to find out that
/// it can't decide a claim.
const CLAIM_TIMEOUT: Millis = Millis(1_300);

/// Sends an attempt, which ends at once when one of `tokens` is cancelled.
pub(crate) fn send_attempt(
    context: Arc<EntryContext>,
    actor: ActorRef<EntryActor>,
    io: Arc<RequestIo>,
    order: SendOrder,
    tokens: AttemptTokens,
) {
    tokio::spawn(async move {
        let (end, delivered) = tokio::select! {
            ended = attempt::run(&context, &io, &order) => ended,
            () = tokens.abandon.cancelled() => (AttemptEnd::Lost, io.delivered()),
            // Dropping the stream resets it; the agent then closes the upstream's connection.
            () = tokens.cancel.cancelled() => return,
        };
        let event = EntryEvent::AttemptEnded(order.attempt, end, delivered);
        let _ = actor.tell(Event(event)).await;
    });
}

/// Requests a claim from the shard's coordinators in order until one answers.
pub(crate) fn request_claim(
    context: Arc<EntryContext>,
    actor: ActorRef<EntryActor>,
    order: ClaimOrder,
) {
    tokio::spawn(async move {
        let mut outcome = ClaimOutcome::Unavailable;
        for coordinator in &order.coordinators {
            if let Some(answer) = call_coordinator(&context, &order, coordinator, false).await {
                outcome = answer;
                break;
            }
        }
        let _ = actor.tell(Event(EntryEvent::ClaimSettled(order.attempt, outcome))).await;
    });
}

/// Releases a claim. Up to 10 calls are made, to the shard's coordinators in turn, as coordinators
/// come and go.
pub(crate) fn release_claim(context: Arc<EntryContext>, order: ClaimOrder) {
    const ATTEMPTS: usize = 10;
    const RETRY_PAUSE: Millis = Millis(500);
    tokio::spawn(async move {
        for coordinator in order.coordinators.iter().cycle().take(ATTEMPTS) {
            if call_coordinator(&context, &order, coordinator, true).await.is_some() {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE.to_std()).await;
        }
        log::warn!(
            "claim attempt={} decision=leave reason=\"no shard coordinator confirmed the release\"",
            order.attempt
        );
    });
}

async fn call_coordinator(
    context: &EntryContext,
    order: &ClaimOrder,
    coordinator: &ClaimCoordinator,
    release: bool,
) -> Option<ClaimOutcome> {
    let mut client = context.agents.client(&coordinator.address)?;
    // A call that waited in a suspended coordinator is no longer valid: by then another one was
    // called, or the caller was answered. The deadline on the coordinator's own clock prevents it.
    let agent_now = context.agent_clocks.agent_ms_at(context.clock.now(), &coordinator.id);
    let agent_deadline_ms = if agent_now == 0 { 0 } else { agent_now + CLAIM_TIMEOUT.0 };
    let request = proto::ClaimRequest {
        key: key_bytes(order.key),
        attempt: attempt_bytes(order.attempt),
        release,
        agent_deadline_ms,
    };
    let call = tokio::time::timeout(CLAIM_TIMEOUT.to_std(), client.claim(request));
    let reply = call.await.ok()?.ok()?.into_inner();
    Some(claim_of(reply.outcome()))
}

/// A heartbeat to an agent.
pub(crate) struct Heartbeat {
    pub(crate) id: InstanceId,
    pub(crate) address: Box<str>,
    /// The catalogue in force at this entry.
    pub(crate) document: Arc<CatalogueDocument>,
    /// Whether to send the catalogue, as the agent has an older generation.
    pub(crate) with_catalogue: bool,
    /// Demand of the customers; `None` if this heartbeat does not report it.
    pub(crate) demand: Option<Vec<DemandRow>>,
    /// Reports of requests during which upstreams crashed.
    pub(crate) crashes: Vec<CrashReport>,
}

/// Sends a heartbeat and passes the agent's reply to the reducer.
pub(crate) fn send_heartbeat(
    context: Arc<EntryContext>,
    actor: ActorRef<EntryActor>,
    heartbeat: Heartbeat,
) {
    tokio::spawn(async move {
        let Some(reply) = exchange_heartbeat(&context, &heartbeat).await else {
            let _ = actor.tell(Event(EntryEvent::SyncFailed(heartbeat.id))).await;
            return;
        };
        if let Some(document) = catalogue_of(&reply.catalogue, heartbeat.id.as_str()) {
            let _ = actor.tell(Event(EntryEvent::CatalogueReceived(Arc::new(document)))).await;
        }
        let synced = agent_sync_of(context.clock.now(), heartbeat.id, &reply);
        let _ = actor.tell(Event(EntryEvent::Synced(synced))).await;
    });
}

async fn exchange_heartbeat(
    context: &EntryContext,
    heartbeat: &Heartbeat,
) -> Option<proto::SyncReply> {
    let mut client = context.agents.client(&heartbeat.address)?;
    let catalogue =
        if heartbeat.with_catalogue { heartbeat.document.encode().into() } else { Bytes::new() };
    let sent_at = context.clock.now();
    let request = proto::SyncRequest {
        entry: context.own.to_string(),
        generation: heartbeat.document.generation.0,
        catalogue,
        demand: heartbeat.demand.iter().flatten().map(demand_message).collect(),
        with_demand: heartbeat.demand.is_some(),
        crashes: heartbeat.crashes.iter().map(|report| crash_message(sent_at, report)).collect(),
    };
    let sent = tokio::time::timeout(HEARTBEAT_TIMEOUT.to_std(), client.sync(request));
    let reply = sent.await.ok()?.ok()?.into_inner();
    // Another instance may have started at the address of one that is gone.
    if reply.instance != heartbeat.id.as_str() {
        return None;
    }
    context.agent_clocks.record(context.clock.now(), &heartbeat.id, reply.clock_ms);
    Some(reply)
}

fn agent_sync_of(now: Moment, id: InstanceId, reply: &proto::SyncReply) -> AgentSync {
    AgentSync {
        id,
        generation: Generation(reply.generation),
        report: UpstreamReport {
            outstanding: reply.outstanding,
            capacity: reply.capacity,
            serving: reply.serving.iter().filter_map(|bytes| digest_of(bytes)).collect(),
            leaving: reply.leaving,
        },
        progress: reply.progress.iter().filter_map(progress_of).collect(),
        demand: reply.demand.iter().filter_map(demand_row).collect(),
        reporting_entries: reply.entries,
        crashes: reply.crashes.iter().filter_map(|row| crash_report(now, row)).collect(),
    }
}

fn progress_of(row: &proto::Progress) -> Option<WeightsProgress> {
    const STATES: [&str; 6] = ["manifest", "fetching", "staged", "loading", "serving", "stuck"];
    Some(WeightsProgress {
        model: row.model.parse().ok()?,
        digest: digest_of(&row.manifest)?,
        held: row.held,
        total: row.total,
        origin_bytes: row.origin_bytes,
        peer_bytes: row.peer_bytes,
        remaining: row.remaining_ms.map(Millis),
        state: STATES.into_iter().find(|state| *state == row.state)?,
        trouble: row.trouble.as_str().into(),
    })
}

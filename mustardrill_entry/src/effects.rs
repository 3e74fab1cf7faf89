//! Carries the reducer's effects out, each in a task of its own that reports back as an event.

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
    attempt_bytes, catalogue_of, claim_of, crash_message, crash_word, demand_message, demand_row,
    digest_of, key_bytes,
};
use mustardrill_types::{Generation, InstanceId, Millis, Moment};

use crate::actor::{AttemptTokens, EntryActor, Event};
use crate::attempt::{self, RequestIo};
use crate::context::EntryContext;

/// How long a heartbeat may take.
const SYNC_TIMEOUT: Millis = Millis(1_500);

/// How long a keeper may take; longer than it takes itself to find that it can't agree a claim.
const CLAIM_TIMEOUT: Millis = Millis(1_300);

/// Sends an attempt; it ends at once when one of `tokens` is cancelled.
pub(crate) fn send(
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
            // Dropping the stream tells the agent, which closes the upstream's connection.
            () = tokens.cancel.cancelled() => return,
        };
        let event = EntryEvent::AttemptEnded(order.attempt, end, delivered);
        let _ = actor.tell(Event(event)).await;
    });
}

/// Asks for a claim, one keeper after the other until one answers.
pub(crate) fn ask_claim(
    context: Arc<EntryContext>,
    actor: ActorRef<EntryActor>,
    order: ClaimOrder,
) {
    tokio::spawn(async move {
        let mut outcome = ClaimOutcome::Unavailable;
        for keeper in &order.coordinators {
            if let Some(answer) = call_claim(&context, &order, keeper, false).await {
                outcome = answer;
                break;
            }
        }
        let _ = actor.tell(Event(EntryEvent::ClaimSettled(order.attempt, outcome))).await;
    });
}

/// Takes a claim back; tried for a while, as keepers come and go.
pub(crate) fn release_claim(context: Arc<EntryContext>, order: ClaimOrder) {
    const TRIES: usize = 10;
    const TRY_EVERY: Millis = Millis(500);
    tokio::spawn(async move {
        for keeper in order.coordinators.iter().cycle().take(TRIES) {
            if call_claim(&context, &order, keeper, true).await.is_some() {
                return;
            }
            tokio::time::sleep(TRY_EVERY.to_std()).await;
        }
        log::warn!(
            "claim attempt={} decision=leave reason=\"no keeper took it back\"",
            order.attempt
        );
    });
}

async fn call_claim(
    context: &EntryContext,
    order: &ClaimOrder,
    keeper: &ClaimCoordinator,
    release: bool,
) -> Option<ClaimOutcome> {
    let mut client = context.agents.client(&keeper.address)?;
    // An ask that lay in a frozen keeper is void: by then another was asked, or the caller told.
    let agent_now = context.clocks.agent_ms_at(context.clock.now(), &keeper.id);
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

/// One heartbeat to an agent.
pub(crate) struct SyncCall {
    pub(crate) id: InstanceId,
    pub(crate) address: Box<str>,
    /// The catalogue in force here.
    pub(crate) document: Arc<CatalogueDocument>,
    /// Whether the agent is behind and is sent the catalogue.
    pub(crate) with_catalogue: bool,
    /// What customers asked for, where it is to be told.
    pub(crate) demand: Option<Vec<DemandRow>>,
    /// What to tell of requests under which upstreams ended.
    pub(crate) crashes: Vec<CrashReport>,
}

/// Sends a heartbeat.
pub(crate) fn sync(context: Arc<EntryContext>, actor: ActorRef<EntryActor>, call: SyncCall) {
    tokio::spawn(async move {
        let Some(reply) = call_sync(&context, &call).await else {
            let _ = actor.tell(Event(EntryEvent::SyncFailed(call.id))).await;
            return;
        };
        if let Some(document) = catalogue_of(&reply.catalogue, call.id.as_str()) {
            let _ = actor.tell(Event(EntryEvent::CatalogueReceived(Arc::new(document)))).await;
        }
        let synced = sync_of(context.clock.now(), call.id, &reply);
        let _ = actor.tell(Event(EntryEvent::Synced(synced))).await;
    });
}

async fn call_sync(context: &EntryContext, call: &SyncCall) -> Option<proto::SyncReply> {
    let mut client = context.agents.client(&call.address)?;
    let catalogue = if call.with_catalogue { call.document.encode().into() } else { Bytes::new() };
    let sent_at = context.clock.now();
    let request = proto::SyncRequest {
        entry: context.own.to_string(),
        generation: call.document.generation.0,
        catalogue,
        demand: call.demand.iter().flatten().map(demand_message).collect(),
        with_demand: call.demand.is_some(),
        crashes: call.crashes.iter().map(|word| crash_message(sent_at, word)).collect(),
    };
    let sent = tokio::time::timeout(SYNC_TIMEOUT.to_std(), client.sync(request));
    let reply = sent.await.ok()?.ok()?.into_inner();
    // Another instance may have come up under the address of one that is gone.
    if reply.instance != call.id.as_str() {
        return None;
    }
    context.clocks.note(context.clock.now(), &call.id, reply.clock_ms);
    Some(reply)
}

fn sync_of(now: Moment, id: InstanceId, reply: &proto::SyncReply) -> AgentSync {
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
        crashes: reply.crashes.iter().filter_map(|row| crash_word(now, row)).collect(),
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

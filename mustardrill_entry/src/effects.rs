//! Carries the reducer's effects out, each in a task of its own that reports back as an event.

use std::sync::Arc;

use bytes::Bytes;
use kameo::prelude::*;
use mustardrill_core::agent::WeightsProgress;
use mustardrill_core::claim::{ClaimAnswer, ClaimDocument, ClaimEffect, ShardIndex};
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::entry::{AgentSync, EntryEvent, SendOrder};
use mustardrill_core::routing::UpstreamReport;
use mustardrill_proto as proto;
use mustardrill_runtime::platform::KeyValueError;
use mustardrill_types::{Generation, InstanceId, ManifestDigest, Millis};
use tokio_util::sync::CancellationToken;

use crate::actor::{EntryActor, Event};
use crate::attempt::{self, RequestIo};
use crate::context::EntryContext;

/// How long a heartbeat may take.
const SYNC_TIMEOUT: Millis = Millis(1_500);

/// Sends an attempt; it ends at once when `cancel` is cancelled.
pub(crate) fn send(
    context: Arc<EntryContext>,
    actor: ActorRef<EntryActor>,
    io: Arc<RequestIo>,
    order: SendOrder,
    cancel: CancellationToken,
) {
    tokio::spawn(async move {
        let (end, delivered) = tokio::select! {
            ended = attempt::run(&context, &io, &order) => ended,
            // Dropping the stream tells the agent, which closes the upstream's connection.
            () = cancel.cancelled() => return,
        };
        let event = EntryEvent::AttemptEnded(order.attempt, end, delivered);
        let _ = actor.tell(Event(event)).await;
    });
}

/// Reads or writes claims.
pub(crate) fn claim(context: Arc<EntryContext>, actor: ActorRef<EntryActor>, effect: ClaimEffect) {
    tokio::spawn(async move {
        let (shard, answer) = match effect {
            ClaimEffect::Read(shard) => (shard, read_claims(&context, shard).await),
            ClaimEffect::Write { shard, expect, document } => {
                (shard, write_claims(&context, shard, expect, &document).await)
            }
            ClaimEffect::Settle(..) => return,
        };
        let _ = actor.tell(Event(EntryEvent::ClaimAnswered(shard, answer))).await;
    });
}

/// Sends a heartbeat, with the catalogue where one is given.
pub(crate) fn sync(
    context: Arc<EntryContext>,
    actor: ActorRef<EntryActor>,
    id: InstanceId,
    address: Box<str>,
    document: Option<Arc<CatalogueDocument>>,
) {
    tokio::spawn(async move {
        let event = match call_sync(&context, &id, &address, document).await {
            Some(sync) => EntryEvent::Synced(sync),
            None => EntryEvent::SyncFailed(id),
        };
        let _ = actor.tell(Event(event)).await;
    });
}

async fn call_sync(
    context: &EntryContext,
    id: &InstanceId,
    address: &str,
    document: Option<Arc<CatalogueDocument>>,
) -> Option<AgentSync> {
    let mut client = context.agents.client(address)?;
    let request = proto::SyncRequest {
        entry: context.own.to_string(),
        generation: document.as_ref().map_or(0, |document| document.generation.0),
        catalogue: document.map_or_else(Bytes::new, |document| document.encode().into()),
    };
    let call = tokio::time::timeout(SYNC_TIMEOUT.to_std(), client.sync(request));
    let reply = call.await.ok()?.ok()?.into_inner();
    // Another instance may have come up under the address of one that is gone.
    if reply.instance != id.as_str() {
        return None;
    }
    context.agents.note_clock(context.clock.now(), id, reply.clock_ms);
    let serving = reply.serving.iter().filter_map(|bytes| digest_of(bytes)).collect();
    Some(AgentSync {
        id: id.clone(),
        generation: Generation(reply.generation),
        report: UpstreamReport {
            outstanding: reply.outstanding,
            capacity: reply.capacity,
            serving,
            leaving: reply.leaving,
        },
        progress: reply.progress.iter().filter_map(progress_of).collect(),
    })
}

async fn read_claims(context: &EntryContext, shard: ShardIndex) -> ClaimAnswer {
    let Ok(value) = context.key_value.read(&claim_key(shard)).await else {
        return ClaimAnswer::Unknown;
    };
    if value.bytes.is_empty() {
        return ClaimAnswer::Read(ClaimDocument::default(), value.revision);
    }
    match ClaimDocument::decode(&value.bytes) {
        Ok(document) => ClaimAnswer::Read(document, value.revision),
        Err(error) => {
            log::warn!("claims shard={shard} decision=refuse reason=\"{error}\"");
            ClaimAnswer::Unknown
        }
    }
}

async fn write_claims(
    context: &EntryContext,
    shard: ShardIndex,
    expect: u64,
    document: &ClaimDocument,
) -> ClaimAnswer {
    let bytes = Bytes::from(document.encode());
    match context.key_value.write(&claim_key(shard), bytes, expect, None).await {
        Ok(revision) => ClaimAnswer::Written(revision),
        Err(KeyValueError::Conflict) => ClaimAnswer::Conflict,
        Err(_) => ClaimAnswer::Unknown,
    }
}

fn claim_key(shard: ShardIndex) -> String {
    format!("mustardrill/claims/{shard}")
}

fn digest_of(bytes: &[u8]) -> Option<ManifestDigest> {
    Some(ManifestDigest(bytes.try_into().ok()?))
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
        state: STATES.into_iter().find(|state| *state == row.state)?,
        trouble: row.trouble.as_str().into(),
    })
}

//! Carries out the effects of the reducer that provisions an engine, each in a task of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cadence::Counted;
use hyper::StatusCode;
use kameo::prelude::*;
use mustardrill_core::direct::{EngineNotice, PeerRecord, ServedWeights};
use mustardrill_core::provisioning::{
    LayerRange, LoadOrderOutcome, ManifestSource, ProvisioningEvent, VersionId,
};
use mustardrill_core::transfer::{ChunkFetch, ChunkSource, FetchOutcome};
use mustardrill_runtime::adapters::{ChunkList, FleetPart, OrderAnswer};
use mustardrill_runtime::datagram::{Datagram, EngineRow};
use mustardrill_runtime::http::request;
use mustardrill_runtime::peer_call::PeerCall;
use mustardrill_types::{ModelName, StartStamp};
use tokio_util::sync::CancellationToken;

use crate::provisioning::actor::{ChunkListFetched, Event, ProvisioningActor, ProvisioningContext};
use crate::provisioning::staging::stage_chunk;
use crate::provisioning::{fleet, peers};

pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The largest chunk or chunk list accepted from another agent or an entry.
const PEER_BODY_LIMIT_BYTES: usize = 4 << 20;

/// How often a chunk is requested that an entry is still fetching; the entry holds each request for
/// about 300 ms. More requests would exceed the shortest timeout of a fetch, and a fetch that times
/// out counts as a failure of the entry.
const PENDING_CHUNK_REQUESTS: usize = 3;

/// How long another agent or an entry may take to return a chunk list.
const CHUNK_LIST_TIMEOUT: Duration = Duration::from_millis(400);

/// A chunk to fetch, and the address of its source.
pub(crate) struct ChunkFetchTask {
    pub(crate) version: VersionId,
    pub(crate) fetch: ChunkFetch,
    pub(crate) address: SocketAddr,
}

/// Reads the peer agents and the entries, from a known entry or else from the store.
pub(crate) fn read_peers(context: Arc<ProvisioningContext>, actor: ActorRef<ProvisioningActor>) {
    tokio::spawn(async move {
        if let Some(update) = fleet::ask_known_entry(&context).await {
            let _ = actor.tell(Event(ProvisioningEvent::FleetUpdated(update))).await;
            return;
        }
        match fleet::entries_from_store(&context).await {
            Ok(entries) => {
                let _ = actor.tell(Event(ProvisioningEvent::EntriesRead(entries))).await;
            }
            Err(error) => log::warn!("entries outcome=kept reason=\"{error}\""),
        }
        match context.adapters.fleet_source.read_part(FleetPart::Upstreams).await {
            Ok(update) => {
                let _ = actor.tell(Event(ProvisioningEvent::FleetUpdated(update))).await;
            }
            // A transfer can go on with the peers that are known already.
            Err(error) => log::warn!("peers outcome=kept reason=\"{error}\""),
        }
    });
}

/// Fetches a chunk list from the first of `sources` that has it.
pub(crate) fn fetch_chunk_list(
    context: Arc<ProvisioningContext>,
    actor: ActorRef<ProvisioningActor>,
    version: VersionId,
    sources: Vec<ManifestSource>,
) {
    tokio::spawn(async move {
        let mut found_list = None;
        for source in &sources {
            match chunk_list_from(&context, &version, source).await {
                Ok(list) => {
                    log::info!("list version={version} source={source} outcome=fetched");
                    found_list = Some(list);
                    break;
                }
                Err(reason) => {
                    log::info!(
                        "list version={version} source={source} outcome=failed reason=\"{reason}\""
                    );
                }
            }
        }
        let _ = actor.tell(ChunkListFetched(version, found_list)).await;
    });
}

async fn chunk_list_from(
    context: &ProvisioningContext,
    version: &VersionId,
    source: &ManifestSource,
) -> Result<ChunkList, Box<str>> {
    let origin = &context.adapters.origin;
    let list = match source {
        ManifestSource::Origin(address) => {
            origin.list(*address, &version.model, version.version).await?
        }
        ManifestSource::Peer(peer) => {
            let address = format!("{peer}:{}", context.config.settings.port);
            chunk_list_over_http(context, version, &address).await?
        }
        ManifestSource::Relay(address) => {
            chunk_list_over_http(context, version, &address.to_string()).await?
        }
    };
    if list.model != version.model || list.version != version.version {
        return Err(format!("the chunk list is for {}:{}", list.model, list.version).into());
    }
    Ok(list)
}

/// Fetches a chunk list from another agent or an entry.
async fn chunk_list_over_http(
    context: &ProvisioningContext,
    version: &VersionId,
    address: &str,
) -> Result<ChunkList, Box<str>> {
    let uri = format!("http://{address}{}", PeerCall::List(version.clone()));
    let call = context.peer_client.call(
        request("GET", &uri, Bytes::new()),
        CHUNK_LIST_TIMEOUT,
        PEER_BODY_LIMIT_BYTES,
    );
    let answer = call.await.map_err(|error| error.to_string())?;
    if answer.status != StatusCode::OK {
        return Err(format!("status {}", answer.status).into());
    }
    context.adapters.origin.read_list(answer.body)
}

/// Fetches a chunk, verifies it and stages it; reports the outcome unless `token` cancels the
/// fetch.
pub(crate) fn fetch_chunk(
    context: Arc<ProvisioningContext>,
    actor: ActorRef<ProvisioningActor>,
    list: Arc<ChunkList>,
    task: ChunkFetchTask,
    token: CancellationToken,
) {
    tokio::spawn(token.run_until_cancelled_owned(async move {
        let outcome = fetch_and_stage(&context, &actor, &list, &task).await;
        let label = metric_label(&outcome);
        let _ = context.metrics.count(&format!("chunk_draws.{label}"), 1);
        let ChunkFetch { index, source, .. } = task.fetch;
        let event = ProvisioningEvent::FetchEnded(task.version, index, source, outcome);
        let _ = actor.tell(Event(event)).await;
    }));
}

async fn fetch_and_stage(
    context: &Arc<ProvisioningContext>,
    actor: &ActorRef<ProvisioningActor>,
    list: &ChunkList,
    task: &ChunkFetchTask,
) -> FetchOutcome {
    let ChunkFetchTask { version, fetch, .. } = task;
    context.staging_gate.open(version).await;
    let fetched = tokio::time::timeout(fetch.timeout.to_std(), fetch_bytes(context, task)).await;
    let bytes = match fetched.unwrap_or(Err(FetchOutcome::Failed)) {
        Ok(bytes) => bytes,
        Err(outcome) => return outcome,
    };
    if !context.adapters.origin.verifies(list, fetch.index, &bytes) {
        return FetchOutcome::Corrupt;
    }
    let received =
        ProvisioningEvent::ChunkReceived(version.clone(), fetch.index, fetch.source.clone());
    let _ = actor.tell(Event(received)).await;
    let length = bytes.len() as i64;
    let is_buffered = context.early_chunks.push(version, fetch.index, &bytes);
    if !is_buffered && !stage_chunk(context, version, fetch.index, &bytes).await {
        // The engine failed to stage it; the source must not be blamed.
        return FetchOutcome::Busy(Vec::new());
    }
    let source = match &fetch.source {
        ChunkSource::Origin => "origin",
        ChunkSource::Relay(_) => "entry",
        ChunkSource::Peer(_) => "peer",
    };
    let _ = context.metrics.count(&format!("chunk_bytes.{source}"), length);
    FetchOutcome::Verified
}

async fn fetch_bytes(
    context: &ProvisioningContext,
    task: &ChunkFetchTask,
) -> Result<Bytes, FetchOutcome> {
    let ChunkFetchTask { version, fetch, address } = task;
    match &fetch.source {
        ChunkSource::Origin => {
            let origin = &context.adapters.origin;
            let chunk = origin.chunk(*address, &version.model, version.version, fetch.index);
            chunk.await.map_err(|reason| {
                log::info!("chunk version={version} index={} source=origin outcome=failed reason=\"{reason}\"", fetch.index);
                FetchOutcome::Failed
            })
        }
        ChunkSource::Peer(_) | ChunkSource::Relay(_) => chunk_from_peer(context, task).await,
    }
}

/// The label of the outcome in the metric `chunk_draws`.
fn metric_label(outcome: &FetchOutcome) -> &'static str {
    match outcome {
        FetchOutcome::Verified => "whole",
        FetchOutcome::Corrupt => "corrupt",
        FetchOutcome::Busy(_) => "busy",
        FetchOutcome::Missing => "missing",
        FetchOutcome::Failed => "failed",
    }
}

async fn chunk_from_peer(
    context: &ProvisioningContext,
    task: &ChunkFetchTask,
) -> Result<Bytes, FetchOutcome> {
    let uri = format!(
        "http://{}{}",
        task.address,
        PeerCall::Chunk(task.version.clone(), task.fetch.index)
    );
    for _ in 0..PENDING_CHUNK_REQUESTS {
        let call = request("GET", &uri, Bytes::new());
        let answer = context
            .peer_client
            .call(call, task.fetch.timeout.to_std(), PEER_BODY_LIMIT_BYTES)
            .await;
        let answer = answer.map_err(|error| {
            log::debug!("chunk call={uri} outcome=failed reason=\"{error}\"");
            FetchOutcome::Failed
        })?;
        match answer.status {
            StatusCode::OK => return Ok(answer.body),
            // The entry is still fetching the chunk: ask again.
            StatusCode::ACCEPTED => {}
            StatusCode::SERVICE_UNAVAILABLE => return Err(FetchOutcome::Busy(Vec::new())),
            _ => return Err(FetchOutcome::Missing),
        }
    }
    Err(FetchOutcome::Busy(Vec::new()))
}

/// Orders the engine to hold these layers of the staged version, or all.
pub(crate) fn order_load(
    context: Arc<ProvisioningContext>,
    actor: ActorRef<ProvisioningActor>,
    version: VersionId,
    layers: Option<LayerRange>,
    sequence: u64,
) {
    tokio::spawn(async move {
        let sent_at = context.clock.now();
        let weights = ServedWeights { model: version.model.clone(), version: version.version };
        let answer = context.adapters.engine.load(&weights, layers, sequence).await;
        let took = context.clock.now().since(sent_at);
        if answer == OrderAnswer::Taken {
            log::info!("order version={version} sequence={sequence} outcome=answered took={took}");
        } else {
            log::warn!(
                "order version={version} sequence={sequence} outcome=\"{answer}\" took={took}"
            );
        }
        let outcome = match answer {
            OrderAnswer::Taken => LoadOrderOutcome::Accepted,
            OrderAnswer::InEffect => LoadOrderOutcome::InEffect,
            OrderAnswer::Conflict => LoadOrderOutcome::Rejected,
            OrderAnswer::Unknown(_) => LoadOrderOutcome::Unknown,
        };
        let _ = actor.tell(Event(ProvisioningEvent::LoadOrderEnded(version, outcome))).await;
    });
}

/// Sends an engine notice to all entries, and repeats it once because datagrams get lost.
///
/// The repetition waits until the entries have been read anew. While the store is slow, that may be
/// after the engine's next notices, and entries would take an outdated state for the newest; so
/// the repetition is dropped once a newer notice has been sent.
pub(crate) fn notify_entries(
    context: Arc<ProvisioningContext>,
    model: ModelName,
    start: Option<StartStamp>,
    notice: EngineNotice,
) {
    const REPEAT_DELAY: Duration = Duration::from_millis(60);
    let notice_number = context.engine_notices.fetch_add(1, Ordering::Relaxed) + 1;
    tokio::spawn(async move {
        let mut datagram = Datagram::new(&context.config.settings.own_id);
        let address = context.config.settings.engine;
        datagram.engine = Some(EngineRow::new(address, &model, start, notice));
        let addresses =
            |entries: &[PeerRecord]| entries.iter().map(|entry| entry.address).collect::<Vec<_>>();
        // Known entries are notified at once: reading the entries anew may take as long as the
        // store is unavailable.
        let known_addresses = addresses(context.entries.lock().await.entries());
        peers::send(context.clone(), datagram.clone(), known_addresses.clone());
        let fresh_addresses = fleet::entries(&context).await.map(|entries| addresses(&entries));
        let fresh_addresses = fresh_addresses.unwrap_or_else(|error| {
            log::warn!(
                "entries outcome=known-ones-told count={} reason=\"{error}\"",
                known_addresses.len()
            );
            known_addresses
        });
        tokio::time::sleep(REPEAT_DELAY).await;
        if context.engine_notices.load(Ordering::Relaxed) == notice_number {
            peers::send(context, datagram, fresh_addresses);
        }
    });
}

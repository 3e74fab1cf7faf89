//! Carries out what the reducer of an agent that stocks its engine decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cadence::Counted;
use hyper::StatusCode;
use kameo::prelude::*;
use mustardrill_core::direct::{EngineNotice, PeerRecord};
use mustardrill_core::manifest::ChunkBitmap;
use mustardrill_core::provisioning::{
    LoadOrderOutcome, ManifestSource, ProvisioningEvent, VersionId,
};
use mustardrill_core::transfer::{ChunkFetch, ChunkSource, FetchOutcome};
use mustardrill_runtime::adapters::{ChunkList, FleetPart, OrderAnswer};
use mustardrill_runtime::datagram::{Datagram, EngineRow};
use mustardrill_runtime::http::request;
use mustardrill_runtime::peer_call::PeerCall;
use mustardrill_types::{ChunkIndex, ModelName};
use tokio_util::sync::CancellationToken;

use crate::stock::actor::{Event, ListFetched, StockActor, StockContext};
use crate::stock::{fleet, peers};

/// How long a connection to another agent may take to be made.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The largest chunk or list taken from another agent.
const PEER_LIMIT: usize = 4 << 20;

/// How often a chunk is asked for that an entry says to be drawing, each time for some 300 ms. More
/// would outlast the least patience of a draw, whose end speaks ill of the entry.
const PENDING_ASKS: usize = 3;

/// How long another agent may take for a list.
const LIST_TIMEOUT: Duration = Duration::from_millis(400);

/// A chunk to be drawn.
pub(crate) struct ChunkOrder {
    pub(crate) version: VersionId,
    pub(crate) draw: ChunkFetch,
    pub(crate) address: SocketAddr,
}

/// Reads who else serves the same models, and which entries there are.
pub(crate) fn read_peers(context: Arc<StockContext>, actor: ActorRef<StockActor>) {
    tokio::spawn(async move {
        if let Some(page) = fleet::ask_known(&context).await {
            let _ = actor.tell(Event(ProvisioningEvent::FleetUpdated(page))).await;
            return;
        }
        match fleet::stored_entries(&context).await {
            Ok(entries) => {
                let _ = actor.tell(Event(ProvisioningEvent::EntriesRead(entries))).await;
            }
            Err(error) => log::warn!("entries outcome=kept reason=\"{error}\""),
        }
        match context.borders.source.read_part(FleetPart::Upstreams).await {
            Ok(page) => {
                let _ = actor.tell(Event(ProvisioningEvent::FleetUpdated(page))).await;
            }
            // The peers known from before do for a transfer.
            Err(error) => log::warn!("peers outcome=kept reason=\"{error}\""),
        }
    });
}

/// Fetches a list of chunks from the first source that has it.
pub(crate) fn fetch_list(
    context: Arc<StockContext>,
    actor: ActorRef<StockActor>,
    version: VersionId,
    sources: Vec<ManifestSource>,
) {
    tokio::spawn(async move {
        let mut found = None;
        for source in &sources {
            match list_from(&context, &version, source).await {
                Ok(list) => {
                    log::info!("list version={version} source={source} outcome=fetched");
                    found = Some(list);
                    break;
                }
                Err(reason) => {
                    log::info!(
                        "list version={version} source={source} outcome=failed reason=\"{reason}\""
                    );
                }
            }
        }
        let _ = actor.tell(ListFetched(version, found)).await;
    });
}

async fn list_from(
    context: &StockContext,
    version: &VersionId,
    source: &ManifestSource,
) -> Result<ChunkList, Box<str>> {
    let origin = &context.borders.origin;
    let list = match source {
        ManifestSource::Origin(address) => {
            origin.list(*address, &version.model, version.version).await?
        }
        ManifestSource::Peer(peer) => {
            let address = format!("{peer}:{}", context.config.stock.port);
            list_at(context, version, &address).await?
        }
        ManifestSource::Relay(address) => list_at(context, version, &address.to_string()).await?,
    };
    if list.model != version.model || list.version != version.version {
        return Err(format!("the list is of {}:{}", list.model, list.version).into());
    }
    Ok(list)
}

/// A list from another agent or an entry.
async fn list_at(
    context: &StockContext,
    version: &VersionId,
    address: &str,
) -> Result<ChunkList, Box<str>> {
    let uri = format!("http://{address}{}", PeerCall::List(version.clone()));
    let call = context.client.call(request("GET", &uri, Bytes::new()), LIST_TIMEOUT, PEER_LIMIT);
    let answer = call.await.map_err(|error| error.to_string())?;
    if answer.status != StatusCode::OK {
        return Err(format!("status {}", answer.status).into());
    }
    context.borders.origin.read_list(answer.body)
}

/// Draws a chunk, verifies it and stages it.
pub(crate) fn draw(
    context: Arc<StockContext>,
    actor: ActorRef<StockActor>,
    list: Arc<ChunkList>,
    order: ChunkOrder,
    token: CancellationToken,
) {
    tokio::spawn(async move {
        let drawing = draw_and_stage(&context, &list, &order);
        let patience = order.draw.timeout.to_std();
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(patience, drawing) => outcome.unwrap_or(FetchOutcome::Failed),
            () = token.cancelled() => return,
        };
        let name = outcome_name(&outcome);
        let _ = context.metrics.count(&format!("chunk_draws.{name}"), 1);
        let ChunkFetch { index, source, .. } = order.draw;
        let event = ProvisioningEvent::FetchEnded(order.version, index, source, outcome);
        let _ = actor.tell(Event(event)).await;
    });
}

async fn draw_and_stage(
    context: &StockContext,
    list: &ChunkList,
    order: &ChunkOrder,
) -> FetchOutcome {
    let ChunkOrder { version, draw, address } = order;
    let bytes = match &draw.source {
        ChunkSource::Origin => {
            let origin = &context.borders.origin;
            let chunk = origin.chunk(*address, &version.model, version.version, draw.index);
            chunk.await.map_err(|reason| {
                log::info!("chunk version={version} index={} source=origin outcome=failed reason=\"{reason}\"", draw.index);
                FetchOutcome::Failed
            })
        }
        ChunkSource::Peer(_) | ChunkSource::Relay(_) => chunk_from_peer(context, order).await,
    };
    let bytes = match bytes {
        Ok(bytes) => bytes,
        Err(outcome) => return outcome,
    };
    if !context.borders.origin.verifies(list, draw.index, &bytes) {
        return FetchOutcome::Corrupt;
    }
    let length = bytes.len() as i64;
    let is_kept = context.shelf.keep(version, draw.index, &bytes);
    if !is_kept && !context.borders.engine.stage(&version.model, draw.index, bytes).await {
        log::warn!("chunk version={version} index={} outcome=not-staged", draw.index);
        // No fault of whoever gave it.
        return FetchOutcome::Busy(Vec::new());
    }
    let source = match &draw.source {
        ChunkSource::Origin => "origin",
        ChunkSource::Relay(_) => "entry",
        ChunkSource::Peer(_) => "peer",
    };
    let _ = context.metrics.count(&format!("chunk_bytes.{source}"), length);
    FetchOutcome::Verified
}

/// The outcome as a label of a metric.
fn outcome_name(outcome: &FetchOutcome) -> &'static str {
    match outcome {
        FetchOutcome::Verified => "whole",
        FetchOutcome::Corrupt => "corrupt",
        FetchOutcome::Busy(_) => "busy",
        FetchOutcome::Missing => "missing",
        FetchOutcome::Failed => "failed",
    }
}

async fn chunk_from_peer(
    context: &StockContext,
    order: &ChunkOrder,
) -> Result<Bytes, FetchOutcome> {
    let uri = format!(
        "http://{}{}",
        order.address,
        PeerCall::Chunk(order.version.clone(), order.draw.index)
    );
    for _ in 0..PENDING_ASKS {
        let call = request("GET", &uri, Bytes::new());
        let answer = context.client.call(call, order.draw.timeout.to_std(), PEER_LIMIT).await;
        let answer = answer.map_err(|error| {
            log::debug!("chunk call={uri} outcome=failed reason=\"{error}\"");
            FetchOutcome::Failed
        })?;
        match answer.status {
            StatusCode::OK => return Ok(answer.body),
            // It is being drawn.
            StatusCode::ACCEPTED => {}
            StatusCode::SERVICE_UNAVAILABLE => return Err(FetchOutcome::Busy(Vec::new())),
            _ => return Err(FetchOutcome::Missing),
        }
    }
    Err(FetchOutcome::Busy(Vec::new()))
}

/// Reads all staged chunks back and says which are whole.
pub(crate) fn read_back(
    context: Arc<StockContext>,
    actor: ActorRef<StockActor>,
    version: VersionId,
    list: Arc<ChunkList>,
) {
    tokio::spawn(async move {
        let total = list.digests.len() as u32;
        let mut whole = ChunkBitmap::empty(total);
        for index in (0..total).map(ChunkIndex) {
            let bytes = context.borders.engine.staged(&version.model, index).await;
            let Some(bytes) = bytes else { continue };
            if context.borders.origin.verifies(&list, index, &bytes) {
                whole.insert(index);
            }
        }
        let _ = actor.tell(Event(ProvisioningEvent::StagedVerified(version, whole))).await;
    });
}

/// Orders the engine to load what is staged.
pub(crate) fn order(
    context: Arc<StockContext>,
    actor: ActorRef<StockActor>,
    version: VersionId,
    sequence: u64,
) {
    tokio::spawn(async move {
        let answer = context.borders.engine.load(&version.model, version.version, sequence).await;
        if answer != OrderAnswer::Taken {
            log::warn!("order version={version} sequence={sequence} outcome=\"{answer}\"");
        }
        let fate = match answer {
            OrderAnswer::Taken => LoadOrderOutcome::Accepted,
            OrderAnswer::Conflict => LoadOrderOutcome::Rejected,
            OrderAnswer::Unknown(_) => LoadOrderOutcome::Unknown,
        };
        let _ = actor.tell(Event(ProvisioningEvent::LoadOrderEnded(version, fate))).await;
    });
}

/// Tells all entries a word of the engine; twice, as datagrams get lost, unless a newer word follows.
///
/// Load pattern: engines load while the store is slow. The second telling waits for a reading of the
/// entries, and would come after what the engine did meanwhile.
pub(crate) fn tell_entries(context: Arc<StockContext>, model: ModelName, word: EngineNotice) {
    const TELL_AGAIN: Duration = Duration::from_millis(60);
    let number = context.words.fetch_add(1, Ordering::Relaxed) + 1;
    tokio::spawn(async move {
        let mut datagram = Datagram::new(&context.config.stock.own);
        let address = context.config.stock.engine;
        datagram.engine = Some(EngineRow::new(address, &model, word));
        let addresses =
            |entries: &[PeerRecord]| entries.iter().map(|entry| entry.address).collect::<Vec<_>>();
        // Who is known is told at once: reading them anew may take as long as the store is away.
        let known = addresses(context.entries.lock().await.entries());
        peers::send(context.clone(), datagram.clone(), known.clone());
        let fresh = fleet::entries(&context).await.map(|entries| addresses(&entries));
        let fresh = fresh.unwrap_or_else(|error| {
            log::warn!("entries outcome=known-ones-told count={} reason=\"{error}\"", known.len());
            known
        });
        tokio::time::sleep(TELL_AGAIN).await;
        if context.words.load(Ordering::Relaxed) == number {
            peers::send(context, datagram, fresh);
        }
    });
}

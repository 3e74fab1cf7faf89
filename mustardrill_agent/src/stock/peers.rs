//! What agents tell and give each other: holdings by datagram, lists and chunks over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use kameo::prelude::*;
use mustardrill_core::manifest::ChunkBitmap;
use mustardrill_core::provisioning::{HoldingsReport, ProvisioningEvent, VersionId};
use mustardrill_runtime::datagram::{DATAGRAM_LIMIT, Datagram, HoldingRow};
use mustardrill_runtime::http::{AnyResponse, HttpHandler, buffered_body, text_response};
use mustardrill_runtime::peer_call::PeerCall;
use mustardrill_types::{ChunkIndex, Millis, WeightVersion};

use crate::stock::actor::{Event, HoldsQuery, ListQuery, StockActor, StockContext};

/// The time of uploads that may wait for the link. One chunk more is then accepted: enough to keep
/// the link busy, and little enough that an event of an answer, which goes over the same link, is
/// not held up behind them.
const LONGEST_QUEUE: Millis = Millis(45);

/// The size by which uploads are counted before they are read, in bytes.
const USUAL_CHUNK: usize = 24_576;

/// Answers other agents.
pub(crate) struct PeerHandler {
    actor: ActorRef<StockActor>,
    context: Arc<StockContext>,
}

impl PeerHandler {
    pub(crate) fn new(actor: ActorRef<StockActor>, context: Arc<StockContext>) -> Self {
        Self { actor, context }
    }
}

impl HttpHandler for PeerHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let (actor, context) = (self.actor.clone(), self.context.clone());
        Box::pin(async move {
            match PeerCall::read(request.uri()) {
                Some(PeerCall::List(version)) => give_list(&actor, version).await,
                Some(PeerCall::Chunk(version, index)) => {
                    give_chunk(&actor, &context, version, index).await
                }
                // Agents draw nothing for others.
                _ => text_response(StatusCode::NOT_FOUND, "unknown path\n"),
            }
        })
    }
}

async fn give_list(actor: &ActorRef<StockActor>, version: VersionId) -> AnyResponse {
    let list = actor.ask(ListQuery(version.clone())).await.ok().and_then(|reply| reply.0);
    if let Some(list) = list {
        return Response::new(buffered_body(list.published.clone()));
    }
    // Whoever asks does so again in a moment, when the list may be here.
    let _ = actor.tell(Event(ProvisioningEvent::ManifestRequested(version))).await;
    text_response(StatusCode::NOT_FOUND, "not here\n")
}

async fn give_chunk(
    actor: &ActorRef<StockActor>,
    context: &StockContext,
    version: VersionId,
    index: ChunkIndex,
) -> AnyResponse {
    let model = version.model.clone();
    if !actor.ask(HoldsQuery(version, index)).await.unwrap_or(false) {
        return text_response(StatusCode::NOT_FOUND, "not here\n");
    }
    if context.uploads.accept(context.clock.now(), USUAL_CHUNK, LONGEST_QUEUE).is_none() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
    }
    let bytes = context.borders.engine.staged(&model, index).await;
    match bytes {
        Some(bytes) => Response::new(buffered_body(bytes)),
        None => text_response(StatusCode::NOT_FOUND, "not staged\n"),
    }
}

/// Tells other agents what is held of a version.
pub(crate) fn tell_holding(
    context: Arc<StockContext>,
    version: &VersionId,
    to: Vec<SocketAddr>,
    bitmap: &ChunkBitmap,
    wants_reply: bool,
) {
    let mut datagram = Datagram::new(&context.config.stock.own);
    datagram.holding = Some(HoldingRow {
        model: version.model.to_string(),
        version: version.version.0,
        bitmap: bitmap.to_bytes(),
        queue: context.uploads.waiting(context.clock.now(), USUAL_CHUNK),
        wants_reply,
    });
    send(context, datagram, to);
}

/// Sends a datagram to each address.
pub(crate) fn send(context: Arc<StockContext>, datagram: Datagram, to: Vec<SocketAddr>) {
    let bytes = datagram.to_bytes();
    tokio::spawn(async move {
        for address in to {
            if let Err(error) = context.socket.send_to(&bytes, address).await {
                log::debug!("datagram to={address} outcome=unsent reason=\"{error}\"");
            }
        }
    });
}

/// Starts to hear other agents.
pub(crate) fn spawn_hearing(actor: ActorRef<StockActor>, context: Arc<StockContext>) {
    let halt = context.halt.clone();
    tokio::spawn(halt.run_until_cancelled_owned(hear(actor, context)));
}

async fn hear(actor: ActorRef<StockActor>, context: Arc<StockContext>) {
    const ERROR_PAUSE: Duration = Duration::from_millis(50);
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        match context.socket.recv_from(&mut buffer).await {
            Ok((length, _)) => {
                if let Some(event) = Datagram::read(&buffer[..length]).and_then(event_of) {
                    let _ = actor.tell(Event(event)).await;
                }
            }
            Err(error) => {
                // An earlier datagram met a closed port: its receiver is gone.
                log::debug!("datagram outcome=unheard reason=\"{error}\"");
                tokio::time::sleep(ERROR_PAUSE).await;
            }
        }
    }
}

fn event_of(datagram: Datagram) -> Option<ProvisioningEvent> {
    if let Some(named) = datagram.announced_version {
        let version = WeightVersion(named.version);
        return Some(ProvisioningEvent::VersionReported(named.model.parse().ok()?, version));
    }
    news_of(datagram).map(ProvisioningEvent::HoldingsReceived)
}

fn news_of(datagram: Datagram) -> Option<HoldingsReport> {
    let row = datagram.holding?;
    let version = VersionId { model: row.model.parse().ok()?, version: WeightVersion(row.version) };
    Some(HoldingsReport {
        from: datagram.from.parse().ok()?,
        version,
        bitmap: row.bitmap.into(),
        queue: row.queue,
        wants_reply: row.wants_reply,
    })
}

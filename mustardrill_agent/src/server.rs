//! The gRPC service of the agent for entries and other agents.

use std::sync::Arc;

use futures_util::stream::{self, Stream};
use kameo::prelude::*;
use mustardrill_core::agent::AgentEvent;
use mustardrill_core::claim::ClaimOutcome;
use mustardrill_core::demand::DemandRow;
use mustardrill_core::direct::BodyBudget;
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::manifest::ChunkBitmap;
use mustardrill_proto as proto;
use mustardrill_proto::agent_server::{Agent, AgentServer};
use mustardrill_runtime::agents::{MESSAGE_LIMIT, STREAM_WINDOW};
use mustardrill_runtime::body_memory::BodyMemory;
use mustardrill_runtime::client_connections::ClientConnections;
use mustardrill_runtime::client_stream::ClientStream;
use mustardrill_runtime::http_server::accept_client;
use mustardrill_runtime::supervision::ProcessFailure;
use mustardrill_runtime::wire::{
    attempt_of, catalogue_of, claim_message, crash_message, crash_report, demand_message,
    demand_row, digest_bytes, digest_of, key_of,
};
use mustardrill_types::{ByteSize, ChunkIndex, ManifestDigest};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::actor::{
    AcquireClaim, AgentActor, DemandQuery, Event, HoldingQuery, HoldingReply, StatusQuery,
    count_sent,
};
use crate::context::AgentContext;
use crate::execute;
use crate::message_memory::{BudgetedService, MessageReservation};

/// The number of calls that a client may give up before the agent has accepted them.
///
/// Beyond it the server closes the connection as under attack, and with it the attempts that go on.
/// Clients give up claims and heartbeats while the agent is suspended, as many as they have made.
const RESET_LIMIT: usize = 100_000;

/// Serves calls on `listener` until the agent halts.
pub(crate) fn spawn(
    listener: TcpListener,
    clients: ClientConnections,
    budget: BodyBudget,
    actor: ActorRef<AgentActor>,
    context: Arc<AgentContext>,
    failure: &ProcessFailure,
) {
    let halt = context.halt.clone();
    let memory = BodyMemory::open(budget);
    let service = AgentServer::new(AgentService { actor, context })
        .max_decoding_message_size(MESSAGE_LIMIT)
        .max_encoding_message_size(MESSAGE_LIMIT);
    let service = BudgetedService::new(service, memory);
    let server = tonic::transport::Server::builder()
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(STREAM_WINDOW * 2)
        .http2_max_pending_accept_reset_streams(Some(RESET_LIMIT))
        .add_service(service);
    failure.spawn_essential("server", halt, async move {
        let served = server.serve_with_incoming(admitted_streams(listener, clients)).await;
        served.map_or_else(|error| error.to_string(), |()| "no more connections come".into())
    });
}

/// The connections of entries and agents that are admitted.
fn admitted_streams(
    listener: TcpListener,
    clients: ClientConnections,
) -> impl Stream<Item = std::io::Result<ClientStream>> {
    let number = clients.add_listener();
    stream::unfold((listener, clients), move |(listener, clients)| async move {
        loop {
            if let Some((stream, _, admitted)) = accept_client(&listener, &clients, number).await {
                return Some((
                    Ok(ClientStream::multiplexed(stream, admitted)),
                    (listener, clients),
                ));
            }
        }
    })
}

struct AgentService {
    actor: ActorRef<AgentActor>,
    context: Arc<AgentContext>,
}

impl AgentService {
    async fn holding(
        &self,
        digest: ManifestDigest,
        index: Option<ChunkIndex>,
    ) -> Result<HoldingReply, Status> {
        let reply = self.actor.ask(HoldingQuery(digest, index)).await;
        reply.map_err(|_| Status::unavailable("the agent is ending"))
    }

    fn holding_message(&self, digest: ManifestDigest, answer: &HoldingReply) -> proto::Holding {
        proto::Holding {
            manifest: digest_bytes(digest),
            instance: self.context.own.to_string(),
            bitmap: answer.bitmap.to_bytes().into(),
            queue: self.context.uploads.queued(),
            serving: answer.serving,
        }
    }

    /// Passes the crash reports of an entry to the reducer.
    async fn record_crashes(&self, rows: &[proto::CrashRow]) {
        let now = self.context.clock.now();
        let reports: Vec<_> = rows.iter().filter_map(|row| crash_report(now, row)).collect();
        if !reports.is_empty() {
            let _ = self.actor.tell(Event(AgentEvent::CrashesReported(reports))).await;
        }
    }

    /// Records the demand of customers at an entry; returns the total over all entries that
    /// reported theirs, and the number of these entries.
    async fn exchange_demand(&self, request: &proto::SyncRequest) -> (Vec<DemandRow>, u32) {
        if let Ok(entry) = request.entry.parse() {
            let rows = request.demand.iter().filter_map(demand_row).collect();
            let _ = self.actor.tell(Event(AgentEvent::DemandReported(entry, rows))).await;
        }
        self.actor.ask(DemandQuery).await.unwrap_or_default()
    }

    /// Records which chunks the caller holds. It sends them along with a call that it makes anyway,
    /// so they cost no call of their own.
    async fn record_holding(
        &self,
        digest: ManifestDigest,
        instance: &str,
        bitmap: &[u8],
        serving: Option<bool>,
    ) {
        let Ok(id) = instance.parse() else { return };
        let Some(manifest) = self.context.store.manifest(digest) else { return };
        let bitmap = ChunkBitmap::from_bytes(bitmap, manifest.chunk_count());
        let event = AgentEvent::HoldingsReceived { digest, id, bitmap, queue: 0, serving };
        let _ = self.actor.tell(Event(event)).await;
    }
}

#[tonic::async_trait]
impl Agent for AgentService {
    type ExecuteStream = ReceiverStream<Result<proto::ExecuteFrame, Status>>;

    async fn execute(
        &self,
        request: Request<proto::ExecuteRequest>,
    ) -> Result<Response<Self::ExecuteStream>, Status> {
        let reservation = request.extensions().get::<Arc<MessageReservation>>().cloned();
        let (actor, context) = (self.actor.clone(), self.context.clone());
        let frames = execute::spawn(actor, context, request.into_inner(), reservation);
        Ok(Response::new(ReceiverStream::new(frames)))
    }

    async fn sync(
        &self,
        request: Request<proto::SyncRequest>,
    ) -> Result<Response<proto::SyncReply>, Status> {
        let message = request.into_inner();
        if let Some(document) = catalogue_of(&message.catalogue, &message.entry) {
            let _ = self.actor.tell(Event(AgentEvent::CatalogueReceived(Arc::new(document)))).await;
        }
        self.record_crashes(&message.crashes).await;
        let (demand, entries) = if message.with_demand {
            self.exchange_demand(&message).await
        } else {
            Default::default()
        };
        let reply = self.actor.ask(StatusQuery).await;
        let status = reply.map_err(|_| Status::unavailable("the agent is ending"))?;
        let now = self.context.clock.now();
        let progress = status.progress.iter().map(|row| proto::Progress {
            model: row.model.to_string(),
            manifest: digest_bytes(row.digest),
            held: row.held,
            total: row.total,
            origin_bytes: row.origin_bytes,
            peer_bytes: row.peer_bytes,
            sent_bytes: status.sent_bytes,
            remaining_ms: row.remaining.map(|left| left.0),
            state: row.state.to_owned(),
            trouble: row.trouble.to_string(),
        });
        Ok(Response::new(proto::SyncReply {
            instance: self.context.own.to_string(),
            generation: status.generation.0,
            leaving: status.leaving,
            outstanding: status.outstanding,
            capacity: status.capacity,
            serving: status.serving.iter().map(|digest| digest_bytes(*digest)).collect(),
            progress: progress.collect(),
            clock_ms: now.0,
            catalogue: newer_catalogue(&status.document, message.generation),
            demand: demand.iter().map(demand_message).collect(),
            entries,
            crashes: status.crashes.iter().map(|report| crash_message(now, report)).collect(),
        }))
    }

    async fn exchange(
        &self,
        request: Request<proto::ExchangeRequest>,
    ) -> Result<Response<proto::Holding>, Status> {
        let message = request.into_inner();
        let digest = digest_of(&message.manifest).ok_or(Status::invalid_argument("manifest"))?;
        let serving = Some(message.serving);
        self.record_holding(digest, &message.instance, &message.bitmap, serving).await;
        let answer = self.holding(digest, None).await?;
        Ok(Response::new(self.holding_message(digest, &answer)))
    }

    async fn claim(
        &self,
        request: Request<proto::ClaimRequest>,
    ) -> Result<Response<proto::ClaimReply>, Status> {
        let message = request.into_inner();
        let key = key_of(&message.key).ok_or(Status::invalid_argument("key"))?;
        let attempt = attempt_of(&message.attempt).ok_or(Status::invalid_argument("attempt"))?;
        let is_late = message.agent_deadline_ms > 0
            && self.context.clock.now().0 >= message.agent_deadline_ms;
        if is_late && !message.release {
            return Err(Status::deadline_exceeded("the claim was given up before it came"));
        }
        let outcome = if message.release {
            let wall_s = self.context.clock.wall_s();
            let event = AgentEvent::ClaimReleased(key, attempt, wall_s);
            let _ = self.actor.tell(Event(event)).await;
            ClaimOutcome::Unavailable
        } else {
            let (outcome_sender, receiver) = oneshot::channel();
            let _ = self.actor.tell(AcquireClaim { key, attempt, outcome_sender }).await;
            receiver.await.map_err(|_| Status::unavailable("the agent is ending"))?
        };
        let outcome = claim_message(outcome) as i32;
        Ok(Response::new(proto::ClaimReply { outcome }))
    }

    async fn fetch_manifest(
        &self,
        request: Request<proto::FetchManifestRequest>,
    ) -> Result<Response<proto::FetchManifestReply>, Status> {
        let digest = digest_of(&request.into_inner().manifest);
        let data = digest.and_then(|digest| self.context.store.published(digest));
        Ok(Response::new(proto::FetchManifestReply { data: data.unwrap_or_default() }))
    }

    async fn fetch_chunk(
        &self,
        request: Request<proto::FetchChunkRequest>,
    ) -> Result<Response<proto::FetchChunkReply>, Status> {
        let message = request.into_inner();
        let digest = digest_of(&message.manifest).ok_or(Status::invalid_argument("manifest"))?;
        let index = ChunkIndex(message.index);
        self.record_holding(digest, &message.instance, &message.bitmap, None).await;
        use proto::fetch_chunk_reply::Result as Reply;
        let chunk = self.context.store.chunk(digest, index);
        let slot = self.context.uploads.try_acquire();
        let (result, queried_index) = match (chunk, slot) {
            (Some(bytes), Some(slot)) => {
                slot.send(ByteSize(bytes.len() as u64)).await;
                count_sent(&self.context, bytes.len());
                (Reply::Data(bytes), None)
            }
            (found, _) => {
                let busy = found.is_some();
                (Reply::Refusal(proto::FetchRefusal { busy, others: Vec::new() }), Some(index))
            }
        };
        // The holding is read last, so that the answer has the newest.
        let answer = self.holding(digest, queried_index).await?;
        let result = match result {
            Reply::Refusal(mut refusal) => {
                refusal.others = answer.holders.iter().map(ToString::to_string).collect();
                Reply::Refusal(refusal)
            }
            data => data,
        };
        let holding = Some(self.holding_message(digest, &answer));
        Ok(Response::new(proto::FetchChunkReply { holding, result: Some(result) }))
    }
}

/// The catalogue for an entry with an older one, such as one that starts during an outage; empty
/// for others.
fn newer_catalogue(document: &CatalogueDocument, generation: u64) -> bytes::Bytes {
    if document.generation.0 > generation {
        return document.encode().into();
    }
    bytes::Bytes::new()
}

//! What the agent offers to entries and other agents, over tonic.

use std::sync::Arc;

use kameo::prelude::*;
use log::warn;
use mustardrill_core::agent::AgentEvent;
use mustardrill_core::claim::ClaimOutcome;
use mustardrill_core::demand::DemandRow;
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::manifest::ChunkBitmap;
use mustardrill_proto as proto;
use mustardrill_proto::agent_server::{Agent, AgentServer};
use mustardrill_runtime::agents::{MESSAGE_LIMIT, STREAM_WINDOW};
use mustardrill_runtime::wire::{
    attempt_of, catalogue_of, claim_message, crash_message, crash_report, demand_message,
    demand_row, digest_bytes, digest_of, key_of,
};
use mustardrill_types::{ByteSize, ChunkIndex, ManifestDigest};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use crate::actor::{
    AgentActor, AskClaim, DemandQuery, Event, HoldingAnswer, HoldingQuery, StatusQuery, count_sent,
};
use crate::context::AgentContext;
use crate::execute;

/// Starts answering on `listener` until the agent halts.
pub(crate) fn spawn(
    listener: TcpListener,
    actor: ActorRef<AgentActor>,
    context: Arc<AgentContext>,
) {
    let halt = context.halt.clone();
    let service = AgentServer::new(AgentService { actor, context })
        .max_decoding_message_size(MESSAGE_LIMIT)
        .max_encoding_message_size(MESSAGE_LIMIT);
    let server = tonic::transport::Server::builder()
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(STREAM_WINDOW * 2)
        .add_service(service);
    tokio::spawn(async move {
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        tokio::select! {
            ended = server.serve_with_incoming(incoming) => {
                if let Err(error) = ended {
                    warn!("server decision=end reason=\"{error}\"");
                }
            }
            () = halt.cancelled() => {}
        }
    });
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
    ) -> Result<HoldingAnswer, Status> {
        let asked = self.actor.ask(HoldingQuery(digest, index)).await;
        asked.map_err(|_| Status::unavailable("the agent is ending"))
    }

    fn holding_message(&self, digest: ManifestDigest, answer: &HoldingAnswer) -> proto::Holding {
        proto::Holding {
            manifest: digest_bytes(digest),
            instance: self.context.own.to_string(),
            bitmap: answer.bitmap.to_bytes().into(),
            queue: self.context.uploads.queued(),
            serving: answer.serving,
        }
    }

    /// Notes what an entry tells of crashes.
    async fn note_crashes(&self, sent: &[proto::CrashRow]) {
        let now = self.context.clock.now();
        let words: Vec<_> = sent.iter().filter_map(|row| crash_report(now, row)).collect();
        if !words.is_empty() {
            let _ = self.actor.tell(Event(AgentEvent::CrashesReported(words))).await;
        }
    }

    /// Notes what customers asked of an entry; returns the sum over all entries heard of.
    async fn trade_demand(&self, sent: &proto::SyncRequest) -> (Vec<DemandRow>, u32) {
        if let Ok(entry) = sent.entry.parse() {
            let rows = sent.demand.iter().filter_map(demand_row).collect();
            let _ = self.actor.tell(Event(AgentEvent::DemandReported(entry, rows))).await;
        }
        self.actor.ask(DemandQuery).await.unwrap_or_default()
    }

    /// Takes what a caller says it holds; it costs nothing, as the caller asked anyway.
    async fn note_holding(
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
        let frames = execute::spawn(self.actor.clone(), self.context.clone(), request.into_inner());
        Ok(Response::new(ReceiverStream::new(frames)))
    }

    async fn sync(
        &self,
        request: Request<proto::SyncRequest>,
    ) -> Result<Response<proto::SyncReply>, Status> {
        let sent = request.into_inner();
        if let Some(document) = catalogue_of(&sent.catalogue, &sent.entry) {
            let _ = self.actor.tell(Event(AgentEvent::CatalogueReceived(Arc::new(document)))).await;
        }
        self.note_crashes(&sent.crashes).await;
        let (demand, entries) =
            if sent.with_demand { self.trade_demand(&sent).await } else { Default::default() };
        let asked = self.actor.ask(StatusQuery).await;
        let status = asked.map_err(|_| Status::unavailable("the agent is ending"))?;
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
            catalogue: newer_catalogue(&status.document, sent.generation),
            demand: demand.iter().map(demand_message).collect(),
            entries,
            crashes: status.crashes.iter().map(|word| crash_message(now, word)).collect(),
        }))
    }

    async fn exchange(
        &self,
        request: Request<proto::ExchangeRequest>,
    ) -> Result<Response<proto::Holding>, Status> {
        let sent = request.into_inner();
        let digest = digest_of(&sent.manifest).ok_or(Status::invalid_argument("manifest"))?;
        let serving = Some(sent.serving);
        self.note_holding(digest, &sent.instance, &sent.bitmap, serving).await;
        let answer = self.holding(digest, None).await?;
        Ok(Response::new(self.holding_message(digest, &answer)))
    }

    async fn claim(
        &self,
        request: Request<proto::ClaimRequest>,
    ) -> Result<Response<proto::ClaimReply>, Status> {
        let sent = request.into_inner();
        let key = key_of(&sent.key).ok_or(Status::invalid_argument("key"))?;
        let attempt = attempt_of(&sent.attempt).ok_or(Status::invalid_argument("attempt"))?;
        let is_late =
            sent.agent_deadline_ms > 0 && self.context.clock.now().0 >= sent.agent_deadline_ms;
        if is_late && !sent.release {
            return Err(Status::deadline_exceeded("the claim was given up before it came"));
        }
        let outcome = if sent.release {
            let wall_s = self.context.clock.wall_s();
            let event = AgentEvent::ClaimReleased(key, attempt, wall_s);
            let _ = self.actor.tell(Event(event)).await;
            ClaimOutcome::Unavailable
        } else {
            let (settled, receiver) = oneshot::channel();
            let _ = self.actor.tell(AskClaim { key, attempt, settled }).await;
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
        let sent = request.into_inner();
        let digest = digest_of(&sent.manifest).ok_or(Status::invalid_argument("manifest"))?;
        let index = ChunkIndex(sent.index);
        self.note_holding(digest, &sent.instance, &sent.bitmap, None).await;
        use proto::fetch_chunk_reply::Result as Reply;
        let chunk = self.context.store.chunk(digest, index);
        let ticket = self.context.uploads.enter();
        let (result, asked) = match (chunk, ticket) {
            (Some(bytes), Some(ticket)) => {
                ticket.send(ByteSize(bytes.len() as u64)).await;
                count_sent(&self.context, bytes.len());
                (Reply::Data(bytes), None)
            }
            (found, _) => {
                let busy = found.is_some();
                (Reply::Refusal(proto::FetchRefusal { busy, others: Vec::new() }), Some(index))
            }
        };
        // What is held is read last, so that the answer tells the newest.
        let answer = self.holding(digest, asked).await?;
        let result = match result {
            Reply::Refusal(mut refusal) => {
                refusal.others = answer.others.iter().map(ToString::to_string).collect();
                Reply::Refusal(refusal)
            }
            data => data,
        };
        let holding = Some(self.holding_message(digest, &answer));
        Ok(Response::new(proto::FetchChunkReply { holding, result: Some(result) }))
    }
}

/// The catalogue for an entry that is behind, as one is that starts during an outage.
fn newer_catalogue(document: &CatalogueDocument, generation: u64) -> bytes::Bytes {
    if document.generation.0 > generation {
        return document.encode().into();
    }
    bytes::Bytes::new()
}

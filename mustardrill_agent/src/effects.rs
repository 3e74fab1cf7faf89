//! Carries out the reducer's effects, each in a task of its own that reports the result as an
//! event.

use std::sync::Arc;

use bytes::Bytes;
use cadence::Counted;
use kameo::prelude::*;
use mustardrill_core::agent::{AgentEffect, AgentEvent, AgentReducer, LoadOrder};
use mustardrill_core::claim::{ClaimDocument, ClaimEffect, ShardIndex, ShardResponse};
use mustardrill_core::manifest::{ChunkBitmap, Manifest};
use mustardrill_core::ownership::{OwnerAnswer, OwnerCall};
use mustardrill_core::transfer::{ChunkFetch, ChunkSource, FetchOutcome};
use mustardrill_proto as proto;
use mustardrill_runtime::platform::KeyValueError;
use mustardrill_runtime::wire::digest_bytes;
use mustardrill_types::{
    ByteSize, FencingNumber, InstanceId, ManifestDigest, Millis, ModelName, VersionName,
};

use crate::actor::{AddressQuery, AgentActor, Event};
use crate::context::AgentContext;

/// How long one source of a manifest may take.
const MANIFEST_TIMEOUT: Millis = Millis(5_000);

const EXCHANGE_TIMEOUT: Millis = Millis(1_000);

/// Spawns the task of an effect. Verdicts and the outcomes of claims are sent by the actor itself.
pub(crate) fn carry_out(
    context: &Arc<AgentContext>,
    reducer: &AgentReducer,
    actor: &ActorRef<AgentActor>,
    effect: AgentEffect,
) {
    let task = EffectTask { context: context.clone(), actor: actor.clone() };
    match effect {
        AgentEffect::FetchManifest { model, version, digest, sources } => {
            tokio::spawn(task.fetch_manifest(model, version, digest, sources));
        }
        AgentEffect::FetchChunk(digest, fetch) => {
            let held = reducer.held(digest).cloned().unwrap_or_default();
            tokio::spawn(task.fetch_chunk(digest, fetch, held));
        }
        AgentEffect::Exchange(digest, id) => {
            let held = reducer.held(digest).cloned().unwrap_or_default();
            let serving = reducer.serving().contains(&digest);
            tokio::spawn(task.exchange(digest, id, held, serving));
        }
        AgentEffect::OrderLoad(order) => {
            tokio::spawn(task.order_load(order));
        }
        AgentEffect::ReadEngine => {
            tokio::spawn(async move {
                let report = task.context.upstream.report().await;
                task.send_event(AgentEvent::EnginePolled(report)).await;
            });
        }
        AgentEffect::DropWeights(digest) => context.store.remove(digest),
        AgentEffect::CallOwner(call) => {
            tokio::spawn(task.call_owner(call));
        }
        AgentEffect::Claim(effect) => {
            tokio::spawn(task.claim(effect));
        }
        // An overdue fetch ends at its own timeout; a chunk that arrives late is still verified and
        // kept.
        AgentEffect::CancelFetch(..) => {}
        AgentEffect::Wake(at) => {
            let wait = at.since(task.context.clock.now());
            tokio::spawn(async move {
                tokio::time::sleep(wait.to_std()).await;
                task.send_event(AgentEvent::Woke).await;
            });
        }
        AgentEffect::Dispatch(_) | AgentEffect::Refuse(..) => {
            unreachable!("verdicts are sent by the actor itself")
        }
    }
}

struct EffectTask {
    context: Arc<AgentContext>,
    actor: ActorRef<AgentActor>,
}

impl EffectTask {
    async fn send_event(&self, event: AgentEvent) {
        let _ = self.actor.tell(Event(event)).await;
    }

    async fn address(&self, id: &InstanceId) -> Option<Box<str>> {
        self.actor.ask(AddressQuery(id.clone())).await.ok().flatten()
    }

    async fn client(
        &self,
        id: &InstanceId,
    ) -> Option<proto::agent_client::AgentClient<tonic::transport::Channel>> {
        let address = self.address(id).await?;
        self.context.peers.client(&address)
    }

    async fn fetch_manifest(
        self,
        model: ModelName,
        version: VersionName,
        digest: ManifestDigest,
        sources: Vec<ChunkSource>,
    ) {
        let mut reason: Box<str> = "no peer has the manifest yet".into();
        for source in sources {
            let fetched = match &source {
                ChunkSource::Origin => self.manifest_from_origin(&model, &version).await,
                ChunkSource::Peer(id) | ChunkSource::Relay(id) => {
                    self.manifest_from_peer(id, digest).await
                }
            };
            let verified = fetched.and_then(|bytes| {
                let manifest =
                    Manifest::decode_verified(&bytes, digest).map_err(|error| error.to_string())?;
                Ok((Arc::new(manifest), bytes))
            });
            match verified {
                Ok((manifest, bytes)) => {
                    self.context.store.open(digest, manifest.clone(), bytes);
                    return self.send_event(AgentEvent::ManifestLoaded(manifest, digest)).await;
                }
                Err(error) => reason = format!("{source}: {error}").into(),
            }
        }
        self.send_event(AgentEvent::ManifestFailed(digest, reason)).await;
    }

    async fn manifest_from_origin(
        &self,
        model: &ModelName,
        version: &VersionName,
    ) -> Result<Bytes, String> {
        let answer = self.context.origin.manifest(model, version, MANIFEST_TIMEOUT).await;
        let found = answer.map_err(|error| error.to_string())?;
        found.ok_or_else(|| format!("no version {version} of {model}"))
    }

    async fn manifest_from_peer(
        &self,
        id: &InstanceId,
        digest: ManifestDigest,
    ) -> Result<Bytes, String> {
        let mut client = self.client(id).await.ok_or("not listed")?;
        let message = proto::FetchManifestRequest { manifest: digest_bytes(digest) };
        let call = client.fetch_manifest(message);
        let answer = tokio::time::timeout(MANIFEST_TIMEOUT.to_std(), call).await;
        let answer = answer.map_err(|_| "no answer in time")?;
        let data = answer.map_err(|status| status.to_string())?.into_inner().data;
        if data.is_empty() { Err("lacks the manifest".into()) } else { Ok(data) }
    }

    async fn fetch_chunk(self, digest: ManifestDigest, fetch: ChunkFetch, held: ChunkBitmap) {
        let outcome = match &fetch.source {
            ChunkSource::Origin => self.chunk_from_origin(digest, &fetch).await,
            ChunkSource::Peer(id) | ChunkSource::Relay(id) => {
                self.chunk_from_peer(digest, &fetch, id, held).await
            }
        };
        if outcome == FetchOutcome::Corrupt {
            let _ = self.context.metrics.count("chunks_corrupt", 1);
        }
        let ChunkFetch { index, source, .. } = fetch;
        self.send_event(AgentEvent::FetchEnded { digest, index, source, outcome }).await;
    }

    async fn chunk_from_origin(&self, digest: ManifestDigest, fetch: &ChunkFetch) -> FetchOutcome {
        let Some(manifest) = self.context.store.manifest(digest) else {
            return FetchOutcome::Failed;
        };
        match self.context.origin.chunk(&manifest, fetch.index, fetch.timeout).await {
            Ok(bytes) => self.verify_and_store(digest, fetch, bytes, "chunk_bytes_origin").await,
            Err(error) => {
                log::warn!(
                    "chunk manifest={} index={} source=origin decision=later reason=\"{error}\"",
                    digest.short(),
                    fetch.index
                );
                FetchOutcome::Failed
            }
        }
    }

    async fn chunk_from_peer(
        &self,
        digest: ManifestDigest,
        fetch: &ChunkFetch,
        id: &InstanceId,
        held: ChunkBitmap,
    ) -> FetchOutcome {
        let Some(mut client) = self.client(id).await else { return FetchOutcome::Failed };
        let message = proto::FetchChunkRequest {
            manifest: digest_bytes(digest),
            index: fetch.index.0,
            instance: self.context.own.to_string(),
            bitmap: held.to_bytes().into(),
        };
        let call = self.call_peer(id, fetch.timeout, client.fetch_chunk(message));
        let Some(answer) = call.await else { return FetchOutcome::Failed };
        let answer = answer.into_inner();
        if let Some(holding) = answer.holding {
            self.report_holding(digest, id, &holding).await;
        }
        use proto::fetch_chunk_reply::Result as Reply;
        match answer.result {
            Some(Reply::Data(bytes)) => {
                self.verify_and_store(digest, fetch, bytes, "chunk_bytes_peer").await
            }
            Some(Reply::Refusal(refusal)) if refusal.busy => {
                let holders = refusal.others.iter().filter_map(|name| name.parse().ok());
                FetchOutcome::Busy(holders.collect())
            }
            _ => FetchOutcome::Missing,
        }
    }

    /// Accounts for a chunk in the download rate, and stores it where its digest is right.
    async fn verify_and_store(
        &self,
        digest: ManifestDigest,
        fetch: &ChunkFetch,
        bytes: Bytes,
        metric: &str,
    ) -> FetchOutcome {
        let size = bytes.len();
        self.context.downloads.receive(ByteSize(size as u64)).await;
        if !self.context.store.verify_and_insert(digest, fetch.index, bytes) {
            return FetchOutcome::Corrupt;
        }
        let _ = self.context.metrics.count(metric, size as i64);
        FetchOutcome::Verified
    }

    async fn exchange(
        self,
        digest: ManifestDigest,
        id: InstanceId,
        held: ChunkBitmap,
        serving: bool,
    ) {
        let Some(mut client) = self.client(&id).await else { return };
        let message = proto::ExchangeRequest {
            manifest: digest_bytes(digest),
            instance: self.context.own.to_string(),
            bitmap: held.to_bytes().into(),
            serving,
        };
        let call = self.call_peer(&id, EXCHANGE_TIMEOUT, client.exchange(message));
        if let Some(answer) = call.await {
            self.report_holding(digest, &id, &answer.into_inner()).await;
        }
    }

    /// Awaits a call to a peer; reports that it failed, or that the peer was silent.
    async fn call_peer<T>(
        &self,
        id: &InstanceId,
        timeout: Millis,
        call: impl Future<Output = Result<T, tonic::Status>>,
    ) -> Option<T> {
        let event = match tokio::time::timeout(timeout.to_std(), call).await {
            Ok(Ok(answer)) => return Some(answer),
            Ok(Err(status)) => {
                log::debug!("peer instance={id} outcome=failed reason=\"{status}\"");
                AgentEvent::PeerFailed(id.clone())
            }
            Err(_) => AgentEvent::PeerSilent(id.clone(), timeout),
        };
        self.send_event(event).await;
        None
    }

    async fn report_holding(
        &self,
        digest: ManifestDigest,
        id: &InstanceId,
        holding: &proto::Holding,
    ) {
        let total = self.context.store.manifest(digest).map_or(0, |it| it.chunk_count());
        let bitmap = ChunkBitmap::from_bytes(&holding.bitmap, total);
        let (id, queue, serving) = (id.clone(), holding.queue, Some(holding.serving));
        self.send_event(AgentEvent::HoldingsReceived { digest, id, bitmap, queue, serving }).await;
    }

    async fn order_load(self, order: LoadOrder) {
        let result = match self.context.store.manifest(order.digest) {
            Some(manifest) => {
                let source = format!("{}{}", self.context.weights_base_url, order.digest);
                self.context.upstream.load(&order, &manifest, &source).await
            }
            None => Err("the weights are not staged any more".into()),
        };
        self.send_event(AgentEvent::LoadAnswered(order.digest, result)).await;
    }

    async fn claim(self, effect: ClaimEffect) {
        let (shard, answer) = match effect {
            ClaimEffect::Read(shard) => (shard, read_claims(&self.context, shard).await),
            ClaimEffect::Write { shard, expect, document } => {
                (shard, write_claims(&self.context, shard, expect, &document).await)
            }
            ClaimEffect::Settle(..) => {
                unreachable!("outcomes of claims are sent by the actor itself")
            }
        };
        self.send_event(AgentEvent::ClaimAnswered(shard, answer)).await;
    }

    async fn call_owner(self, call: OwnerCall) {
        let answer = match call {
            OwnerCall::Acquire => self.acquire().await,
            OwnerCall::Renew(lease) => match self.context.key_value.renew(lease).await {
                Ok(()) => OwnerAnswer::Renewed,
                Err(KeyValueError::LeaseGone) => OwnerAnswer::Lapsed,
                Err(_) => OwnerAnswer::Unavailable,
            },
        };
        self.send_event(AgentEvent::OwnerAnswered(answer)).await;
    }

    /// Grants a lease and writes the owner's key under it; the revision of the key is the fencing
    /// number.
    async fn acquire(&self) -> OwnerAnswer {
        let key_value = &self.context.key_value;
        let Ok(lease) = key_value.grant(self.context.owner_lease_ttl).await else {
            return OwnerAnswer::Unavailable;
        };
        let name = Bytes::from(self.context.own.to_string());
        match key_value.write(&self.context.owner_key, name, 0, Some(lease)).await {
            Ok(revision) => OwnerAnswer::Acquired { lease, fence: FencingNumber(revision) },
            Err(error) => {
                // A write whose answer was lost may have taken effect; its key is deleted with the
                // lease.
                let _ = key_value.revoke(lease).await;
                match error {
                    KeyValueError::Conflict => OwnerAnswer::HeldByOther,
                    _ => OwnerAnswer::Unavailable,
                }
            }
        }
    }
}

async fn read_claims(context: &AgentContext, shard: ShardIndex) -> ShardResponse {
    let Ok(value) = context.key_value.read(&claim_key(shard)).await else {
        return ShardResponse::Unknown;
    };
    if value.bytes.is_empty() {
        return ShardResponse::Read(ClaimDocument::default(), value.revision);
    }
    match ClaimDocument::decode(&value.bytes) {
        Ok(document) => ShardResponse::Read(document, value.revision),
        Err(error) => {
            log::warn!("claims shard={shard} decision=refuse reason=\"{error}\"");
            ShardResponse::Unknown
        }
    }
}

async fn write_claims(
    context: &AgentContext,
    shard: ShardIndex,
    expect: u64,
    document: &ClaimDocument,
) -> ShardResponse {
    let bytes = Bytes::from(document.encode());
    match context.key_value.write(&claim_key(shard), bytes, expect, None).await {
        Ok(revision) => ShardResponse::Written(revision),
        Err(KeyValueError::Conflict) => ShardResponse::Conflict,
        Err(_) => ShardResponse::Unknown,
    }
}

fn claim_key(shard: ShardIndex) -> String {
    format!("mustardrill/claims/{shard}")
}

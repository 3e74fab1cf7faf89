//! Relays chunk lists and chunks of weights to agents and peer entries. Each item is fetched from
//! the origin once, by the entry that is its seeder, and cached.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cadence::Counted;
use futures_util::FutureExt;
use futures_util::future::{BoxFuture, Shared};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use kameo::prelude::*;
use log::{info, warn};
use mustardrill_core::direct::{OriginProfile, PeerRecord};
use mustardrill_core::provisioning::VersionId;
use mustardrill_core::relays::{OriginBreaker, RelayItem, RelayTable};
use mustardrill_runtime::adapters::ChunkList;
use mustardrill_runtime::fleet_digest::FleetDigest;
use mustardrill_runtime::http::{AnyResponse, HttpClient, HttpHandler, request};
use mustardrill_runtime::http::{buffered_body, text_response};
use mustardrill_runtime::peer_call::PeerCall;
use mustardrill_runtime::upload::UploadQueue;
use mustardrill_types::{ByteSize, FastMap, Millis, ServiceName};
use tokio::sync::Semaphore;

use crate::direct::actor::{DirectActor, DirectContext, FleetQuery, RelayQuery};
use crate::direct::watch::own_record;

/// Timeout for connecting to a peer entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a call waits for an item that is being fetched before it is answered "not yet". The
/// caller can thus tell an entry that is fetching from one that is gone within a fraction of a
/// second.
const HOLD_TIME: Duration = Duration::from_millis(300);

/// Timeout of one call to a peer entry: `HOLD_TIME` and the transfer of a chunk over a shared link.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How long to keep asking a peer that is fetching an item. Fetching it a second time instead would
/// slow the first fetch, and several copies would go over the origin's link.
const PEER_FETCH_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Seeders tried for an item, as some may have no route to the origin.
const SEEDERS_TRIED: usize = 3;

/// Chunks that one entry fetches from the origin at a time: enough to keep its link busy, and few
/// enough that the chunk list of the next version does not wait long behind them.
const MAX_ORIGIN_FETCHES: usize = 3;

/// The share of an entry's link for uploads of chunks, in percent. The rest is for callers'
/// answers.
const UPLOAD_PERCENT: u32 = 50;

/// The longest wait for the link before the upload is refused, as another entry is then the better
/// choice.
const MAX_UPLOAD_WAIT: Millis = Millis(500);

/// The largest chunk list or chunk accepted from a peer, in bytes.
const MAX_ITEM_BYTES: usize = 4 << 20;

/// An item and the version that it belongs to.
type ItemKey = (VersionId, RelayItem);

/// A fetch of an item in progress, or its cached result.
type ItemFetch = Shared<BoxFuture<'static, Result<Bytes, ItemUnavailable>>>;

/// Why an item can't be relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ItemUnavailable {
    /// This entry does not know the origin yet; a peer may.
    Unconfigured,
    /// Its seeder can't get it now, so that asking other entries is no use.
    NotNow,
}

/// Why a peer entry did not relay an item.
#[derive(Debug)]
enum PeerFetchError {
    /// The peer can't get it now.
    NotNow,
    /// The peer did not answer, or its answer is invalid.
    Failed(Box<str>),
}

/// Answers calls for chunk lists, chunks and the state of the fleet.
#[derive(Clone)]
pub(crate) struct ChunkRelay {
    actor: ActorRef<DirectActor>,
    context: Arc<DirectContext>,
    client: HttpClient,
    state: Arc<Mutex<RelayState>>,
    origin_permits: Arc<Semaphore>,
    uploads: Arc<UploadQueue>,
}

/// Fetches and cached items of the versions that this entry relays.
#[derive(Debug, Default)]
struct RelayState {
    table: RelayTable,
    origin_breaker: OriginBreaker,
    fetches: FastMap<ItemKey, ItemFetch>,
    /// Items fetched completely with their length in bytes, the oldest first.
    completed: VecDeque<(ItemKey, usize)>,
    chunk_lists: FastMap<VersionId, Arc<ChunkList>>,
    /// Total length of `completed`.
    cached_bytes: usize,
}

impl ChunkRelay {
    pub(crate) fn new(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) -> Self {
        let share = context.config.link_mbps * f64::from(UPLOAD_PERCENT) / 100.0;
        Self {
            actor,
            uploads: Arc::new(UploadQueue::new(share)),
            context,
            client: HttpClient::open(CONNECT_TIMEOUT),
            state: Arc::default(),
            origin_permits: Arc::new(Semaphore::new(MAX_ORIGIN_FETCHES)),
        }
    }

    async fn answer(&self, call: PeerCall) -> AnyResponse {
        let (key, from_origin) = match call {
            PeerCall::Fleet(service) => return self.fleet_response(&service).await,
            PeerCall::List(version) => ((version, RelayItem::List), false),
            PeerCall::Chunk(version, index) => ((version, RelayItem::Chunk(index)), false),
            PeerCall::OriginList(version) => ((version, RelayItem::List), true),
            PeerCall::OriginChunk(version, index) => ((version, RelayItem::Chunk(index)), true),
        };
        match tokio::time::timeout(HOLD_TIME, self.shared_fetch(key, from_origin)).await {
            Ok(Ok(bytes)) => self.send_bytes(bytes).await,
            Ok(Err(ItemUnavailable::Unconfigured)) => {
                text_response(StatusCode::NOT_FOUND, "no configuration yet\n")
            }
            Ok(Err(ItemUnavailable::NotNow)) => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "not to be had now\n")
            }
            Err(_) => text_response(StatusCode::ACCEPTED, "being drawn\n"),
        }
    }

    /// Sends the bytes once the share of the link for uploads has room for them.
    async fn send_bytes(&self, bytes: Bytes) -> AnyResponse {
        let now = self.context.clock.now();
        let Some(wait) = self.uploads.accept(now, bytes.len(), MAX_UPLOAD_WAIT) else {
            tokio::time::sleep(HOLD_TIME).await;
            return text_response(StatusCode::ACCEPTED, "others go first\n");
        };
        tokio::time::sleep(wait.to_std()).await;
        let _ = self.context.metrics.count("relay_bytes.given", bytes.len() as i64);
        Response::new(buffered_body(bytes))
    }

    /// Answers with the part of the fleet's state that the agents of a service need.
    async fn fleet_response(&self, service: &ServiceName) -> AnyResponse {
        let reply = self.actor.ask(FleetQuery).await.ok();
        match reply.and_then(|reply| FleetDigest::of(&reply.0, service)) {
            Some(digest) => Response::new(buffered_body(digest.to_bytes())),
            None => text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n"),
        }
    }

    /// Returns the cached item or its fetch in progress; starts a fetch if there is neither. With
    /// `from_origin`, that fetch goes to the origin and asks no peer.
    fn shared_fetch(&self, key: ItemKey, from_origin: bool) -> ItemFetch {
        let mut state = self.state.lock().expect("no lock holder panics");
        if let Some(fetch) = state.fetches.get(&key) {
            return fetch.clone();
        }
        let relay = self.clone();
        let wanted = key.clone();
        // In a task of its own, so that the fetch goes on for other callers when the first
        // disconnects.
        let task = tokio::spawn(async move {
            let bytes = relay.fetch(&wanted, from_origin).await;
            relay.state.lock().expect("no lock holder panics").record_end(
                wanted,
                bytes.as_ref().ok().map(Bytes::len),
                relay.context.config.relay_memory,
            );
            bytes
        });
        let fetch =
            task.map(|joined| joined.unwrap_or(Err(ItemUnavailable::NotNow))).boxed().shared();
        state.fetches.insert(key, fetch.clone());
        fetch
    }

    async fn fetch(&self, key: &ItemKey, from_origin: bool) -> Result<Bytes, ItemUnavailable> {
        let reply = self.actor.ask(RelayQuery).await.map_err(|_| ItemUnavailable::Unconfigured)?;
        let origin = reply.origin.ok_or(ItemUnavailable::Unconfigured)?;
        let chunk_list = match key.1 {
            RelayItem::List => None,
            RelayItem::Chunk(_) => Some(self.chunk_list(&key.0).await?),
        };
        let mut is_seeder = true;
        let seeders =
            if from_origin { Vec::new() } else { self.seeders(key, &origin, reply.peers) };
        for relay in seeders {
            is_seeder = relay.id == self.context.config.direct.own_id;
            if is_seeder {
                break;
            }
            match self.fetch_from_peer(key, chunk_list.as_deref(), &relay).await {
                Ok(bytes) => return Ok(bytes),
                Err(PeerFetchError::NotNow) => {}
                Err(PeerFetchError::Failed(reason)) => {
                    self.record_peer_failure(key, &relay, &reason);
                    is_seeder = true;
                }
            }
        }
        if !is_seeder {
            return Err(ItemUnavailable::NotNow);
        }
        self.fetch_from_origin(key, chunk_list.as_deref(), &origin).await
    }

    /// Returns the version's chunk list, by which chunks are verified.
    async fn chunk_list(&self, version: &VersionId) -> Result<Arc<ChunkList>, ItemUnavailable> {
        if let Some(list) =
            self.state.lock().expect("no lock holder panics").chunk_lists.get(version)
        {
            return Ok(list.clone());
        }
        let published = self.shared_fetch((version.clone(), RelayItem::List), false).await?;
        let list = self.context.adapters.origin.read_list(published).map_err(|reason| {
            warn!("list version={version} outcome=unreadable reason=\"{reason}\"");
            ItemUnavailable::NotNow
        })?;
        let list = Arc::new(list);
        let mut state = self.state.lock().expect("no lock holder panics");
        state.chunk_lists.insert(version.clone(), list.clone());
        Ok(list)
    }

    /// Returns the first seeders of an item in order of rank; this entry may be one of them.
    fn seeders(
        &self,
        key: &ItemKey,
        origin: &OriginProfile,
        peers: Vec<PeerRecord>,
    ) -> Vec<PeerRecord> {
        let now = self.context.clock.now();
        let mut state = self.state.lock().expect("no lock holder panics");
        state.table.set_relays(peers);
        state.table.add(own_record(&self.context.config));
        let version = key.0.to_string();
        let seeders = state.table.seeders(now, &version, key.1, &origin.data_centre);
        seeders.into_iter().take(SEEDERS_TRIED).cloned().collect()
    }

    fn record_peer_failure(&self, key: &ItemKey, relay: &PeerRecord, reason: &str) {
        info!(
            "relay version={} item={:?} source={} outcome=failed reason=\"{reason}\"",
            key.0, key.1, relay.id
        );
        let now = self.context.clock.now();
        self.state.lock().expect("no lock holder panics").table.record_failure(now, &relay.id);
    }

    /// Fetches an item from a peer, asking again while the peer answers that it is fetching it.
    async fn fetch_from_peer(
        &self,
        (version, item): &ItemKey,
        chunk_list: Option<&ChunkList>,
        relay: &PeerRecord,
    ) -> Result<Bytes, PeerFetchError> {
        let call = match item {
            RelayItem::List => PeerCall::OriginList(version.clone()),
            RelayItem::Chunk(index) => PeerCall::OriginChunk(version.clone(), *index),
        };
        let uri = format!("http://{}{call}", relay.address);
        let peer_failure = |reason: String| PeerFetchError::Failed(reason.into());
        let give_up_at = tokio::time::Instant::now() + PEER_FETCH_TIMEOUT;
        while tokio::time::Instant::now() < give_up_at {
            let call = request("GET", &uri, Bytes::new());
            let answer = self.client.call(call, PEER_CALL_TIMEOUT, MAX_ITEM_BYTES).await;
            let answer = answer.map_err(|error| peer_failure(error.to_string()))?;
            match answer.status {
                StatusCode::OK => {
                    return self
                        .verify(*item, chunk_list, answer.body)
                        .map_err(PeerFetchError::Failed);
                }
                StatusCode::ACCEPTED => {}
                StatusCode::SERVICE_UNAVAILABLE => return Err(PeerFetchError::NotNow),
                status => return Err(peer_failure(format!("status {status}"))),
            }
        }
        Err(PeerFetchError::NotNow)
    }

    async fn fetch_from_origin(
        &self,
        key: &ItemKey,
        chunk_list: Option<&ChunkList>,
        origin: &OriginProfile,
    ) -> Result<Bytes, ItemUnavailable> {
        let now = self.context.clock.now();
        if !self.state.lock().expect("no lock holder panics").origin_breaker.allow_call(now) {
            return Err(ItemUnavailable::NotNow);
        }
        let fetched = self.request_from_origin(key, origin).await;
        let now = self.context.clock.now();
        let origin_breaker = &mut self.state.lock().expect("no lock holder panics").origin_breaker;
        match &fetched {
            Ok(_) => origin_breaker.record_response(),
            Err(_) => origin_breaker.record_failure(now),
        }
        // Verified after that: an origin that sends corrupt bytes is reachable.
        fetched.and_then(|bytes| self.verify(key.1, chunk_list, bytes)).map_err(|reason| {
            info!(
                "relay version={} item={:?} source=origin outcome=failed reason=\"{reason}\"",
                key.0, key.1
            );
            ItemUnavailable::NotNow
        })
    }

    /// Requests an item from the origin; its bytes are not verified yet.
    async fn request_from_origin(
        &self,
        (version, item): &ItemKey,
        origin: &OriginProfile,
    ) -> Result<Bytes, Box<str>> {
        let source = &self.context.adapters.origin;
        let VersionId { model, version } = version;
        let bytes = match item {
            RelayItem::List => source.list(origin.address, model, *version).await?.published,
            RelayItem::Chunk(index) => {
                let _permit = self.origin_permits.acquire().await.map_err(|it| it.to_string())?;
                source.chunk(origin.address, model, *version, *index).await?
            }
        };
        let _ = self.context.metrics.count("relay_bytes.drawn", bytes.len() as i64);
        Ok(bytes)
    }

    /// Returns the bytes if they are what the origin published: a chunk must match the chunk list.
    fn verify(
        &self,
        item: RelayItem,
        chunk_list: Option<&ChunkList>,
        bytes: Bytes,
    ) -> Result<Bytes, Box<str>> {
        let origin = &self.context.adapters.origin;
        match (item, chunk_list) {
            (RelayItem::Chunk(index), Some(list)) if !origin.verifies(list, index, &bytes) => {
                Err("chunk digest does not match the chunk list".into())
            }
            _ => Ok(bytes),
        }
    }
}

impl RelayState {
    /// Evicts the versions older than the one before `version`, which some engines still load.
    fn evict_before(&mut self, version: &VersionId) {
        let older = self.fetches.keys().map(|(other, _)| other);
        let older = older.filter(|it| it.model == version.model && it.version < version.version);
        let Some(before) = older.map(|it| it.version).max() else { return };
        let is_older = |other: &VersionId| other.model == version.model && other.version < before;
        self.fetches.retain(|(other, _), _| !is_older(other));
        self.chunk_lists.retain(|other, _| !is_older(other));
        self.completed.retain(|((other, _), _)| !is_older(other));
        self.cached_bytes = self.completed.iter().map(|(_, length)| length).sum();
    }

    /// Caches an item that was fetched, evicting the oldest ones above `limit`. A failed fetch is
    /// forgotten, so that the next call starts a new one.
    fn record_end(&mut self, key: ItemKey, length: Option<usize>, limit: ByteSize) {
        let Some(length) = length else {
            self.fetches.remove(&key);
            return;
        };
        if !self.fetches.contains_key(&key) {
            return;
        }
        // Until the chunk list of the newer version is available, its chunks can't be fetched, and
        // the older version is still needed.
        if key.1 == RelayItem::List {
            self.evict_before(&key.0);
        }
        self.completed.push_back((key, length));
        self.cached_bytes += length;
        while self.cached_bytes as u64 > limit.0 {
            let Some((oldest, length)) = self.completed.pop_front() else { break };
            self.fetches.remove(&oldest);
            self.cached_bytes -= length;
        }
    }
}

impl HttpHandler for ChunkRelay {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let relay = self.clone();
        Box::pin(async move {
            match PeerCall::read(request.uri()) {
                Some(call) => relay.answer(call).await,
                None => text_response(StatusCode::NOT_FOUND, "unknown path\n"),
            }
        })
    }
}

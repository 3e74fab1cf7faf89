//! Hands lists and chunks of weights on to agents and other entries, each drawn once.

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
use log::info;
use mustardrill_core::direct::{OriginProfile, PeerRecord};
use mustardrill_core::relays::{RelayItem, RelayTable};
use mustardrill_core::stock::VersionId;
use mustardrill_runtime::border::ChunkList;
use mustardrill_runtime::fleet_digest::FleetDigest;
use mustardrill_runtime::http::{AnyResponse, HttpClient, HttpHandler, request};
use mustardrill_runtime::http::{text_response, whole_body};
use mustardrill_runtime::peer_call::PeerCall;
use mustardrill_runtime::upload::UploadQueue;
use mustardrill_types::{ByteSize, FastMap, Millis, ServiceName};
use tokio::sync::Semaphore;

use crate::direct::actor::{DirectActor, DirectContext, FleetQuery, RelayQuery};
use crate::direct::watch::own_record;

/// How long a connection to another entry may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long another entry may take to hand an item on, which it may have to draw first: some
/// chunks' time on the origin's link. Agents wait longer, so that this entry tries others.
const HAND_TIMEOUT: Duration = Duration::from_millis(700);

/// The entries that are asked to draw an item before this one does so itself.
const DRAWERS_ASKED: usize = 2;

/// Chunks drawn from the origin at once by one entry: enough to keep its link busy, and few enough
/// that the list of the next version doesn't wait long behind them. With 12 chunks in flight over
/// all agents a list took 0.5 s.
const ORIGIN_DRAWS: usize = 3;

/// The share of an entry's link that chunks may take, in percent; the rest is for answers.
const UPLOAD_PERCENT: u32 = 50;

/// How long a chunk may wait for the link before another entry is the better choice.
const LONGEST_QUEUE: Millis = Millis(500);

/// The largest list or chunk taken.
const ITEM_LIMIT: usize = 4 << 20;

/// What is handed on, of which version.
type ItemKey = (VersionId, RelayItem);

/// The bytes of an item that is drawn or kept; nothing where it could not be had.
type ItemFetch = Shared<BoxFuture<'static, Option<Bytes>>>;

/// Answers calls for lists and chunks.
#[derive(Clone)]
pub(crate) struct ChunkRelay {
    actor: ActorRef<DirectActor>,
    context: Arc<DirectContext>,
    client: HttpClient,
    state: Arc<Mutex<RelayState>>,
    origin_draws: Arc<Semaphore>,
    uploads: Arc<UploadQueue>,
}

/// What an entry keeps of the versions that it hands on.
#[derive(Debug, Default)]
struct RelayState {
    table: RelayTable,
    fetches: FastMap<ItemKey, ItemFetch>,
    /// The items that are whole, the oldest first.
    whole: VecDeque<(ItemKey, usize)>,
    lists: FastMap<VersionId, Arc<ChunkList>>,
    bytes: usize,
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
            origin_draws: Arc::new(Semaphore::new(ORIGIN_DRAWS)),
        }
    }

    async fn answer(&self, call: PeerCall) -> AnyResponse {
        let (key, drawn) = match call {
            PeerCall::Fleet(service) => return self.tell_fleet(&service).await,
            PeerCall::List(version) => ((version, RelayItem::List), false),
            PeerCall::Chunk(version, index) => ((version, RelayItem::Chunk(index)), false),
            PeerCall::DrawnList(version) => ((version, RelayItem::List), true),
            PeerCall::DrawnChunk(version, index) => ((version, RelayItem::Chunk(index)), true),
        };
        match self.item(key, drawn).await {
            Some(bytes) => {
                let now = self.context.clock.now();
                let Some(wait) = self.uploads.accept(now, bytes.len(), LONGEST_QUEUE) else {
                    return text_response(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
                };
                tokio::time::sleep(wait.to_std()).await;
                let _ = self.context.metrics.count("relay_bytes.given", bytes.len() as i64);
                Response::new(whole_body(bytes))
            }
            None => text_response(StatusCode::SERVICE_UNAVAILABLE, "not to be had now\n"),
        }
    }

    /// What agents of a service need of the fleet.
    async fn tell_fleet(&self, service: &ServiceName) -> AnyResponse {
        let page = self.actor.ask(FleetQuery).await.ok();
        match page.and_then(|reply| FleetDigest::of(&reply.0, service)) {
            Some(digest) => Response::new(whole_body(digest.to_bytes())),
            None => text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n"),
        }
    }

    /// An item that is kept, is being fetched, or is fetched now.
    fn item(&self, key: ItemKey, drawn: bool) -> ItemFetch {
        let mut state = self.state.lock().expect("no holder panics");
        if let Some(fetch) = state.fetches.get(&key) {
            return fetch.clone();
        }
        state.forget_before(&key.0);
        let relay = self.clone();
        let wanted = key.clone();
        // A task of its own: whoever asked first may be gone before the others have it.
        let task = tokio::spawn(async move {
            let bytes = relay.fetch(&wanted, drawn).await;
            relay.state.lock().expect("no holder panics").ended(
                wanted,
                bytes.as_ref().map(Bytes::len),
                relay.context.config.relay_memory,
            );
            bytes
        });
        let fetch = task.map(|ended| ended.ok().flatten()).boxed().shared();
        state.fetches.insert(key, fetch.clone());
        fetch
    }

    async fn fetch(&self, key: &ItemKey, drawn: bool) -> Option<Bytes> {
        let reply = self.actor.ask(RelayQuery).await.ok()?;
        let origin = reply.origin?;
        let list = match key.1 {
            RelayItem::List => None,
            RelayItem::Chunk(_) => Some(self.list(&key.0).await?),
        };
        if !drawn {
            for relay in self.drawers(key, &origin, reply.peers) {
                if relay.id == self.context.config.direct.own {
                    break;
                }
                match self.ask_relay(key, list.as_deref(), &relay).await {
                    Ok(bytes) => return Some(bytes),
                    Err(reason) => self.note_failure(key, &relay, &reason),
                }
            }
        }
        match self.ask_origin(key, list.as_deref(), &origin).await {
            Ok(bytes) => Some(bytes),
            Err(reason) => {
                info!(
                    "relay version={} item={:?} source=origin outcome=failed reason=\"{reason}\"",
                    key.0, key.1
                );
                None
            }
        }
    }

    /// The list by which chunks are verified.
    async fn list(&self, version: &VersionId) -> Option<Arc<ChunkList>> {
        if let Some(list) = self.state.lock().expect("no holder panics").lists.get(version) {
            return Some(list.clone());
        }
        let published = self.item((version.clone(), RelayItem::List), false).await?;
        let list = self.context.borders.origin.read_list(published).ok()?;
        let list = Arc::new(list);
        let mut state = self.state.lock().expect("no holder panics");
        state.lists.insert(version.clone(), list.clone());
        Some(list)
    }

    /// Who draws an item, the first in rank first, this entry among them.
    fn drawers(
        &self,
        key: &ItemKey,
        origin: &OriginProfile,
        peers: Vec<PeerRecord>,
    ) -> Vec<PeerRecord> {
        let now = self.context.clock.now();
        let mut state = self.state.lock().expect("no holder panics");
        state.table.set(peers);
        state.table.add(own_record(&self.context.config));
        let version = key.0.to_string();
        let drawers = state.table.drawers(now, &version, key.1, &origin.data_centre);
        drawers.into_iter().take(DRAWERS_ASKED).cloned().collect()
    }

    fn note_failure(&self, key: &ItemKey, relay: &PeerRecord, reason: &str) {
        info!(
            "relay version={} item={:?} source={} outcome=failed reason=\"{reason}\"",
            key.0, key.1, relay.id
        );
        let now = self.context.clock.now();
        self.state.lock().expect("no holder panics").table.failed(now, &relay.id);
    }

    async fn ask_relay(
        &self,
        (version, item): &ItemKey,
        list: Option<&ChunkList>,
        relay: &PeerRecord,
    ) -> Result<Bytes, Box<str>> {
        let call = match item {
            RelayItem::List => PeerCall::DrawnList(version.clone()),
            RelayItem::Chunk(index) => PeerCall::DrawnChunk(version.clone(), *index),
        };
        let uri = format!("http://{}{call}", relay.address);
        let call = self.client.call(request("GET", &uri, Bytes::new()), HAND_TIMEOUT, ITEM_LIMIT);
        let answer = call.await.map_err(|error| error.to_string())?;
        if answer.status != StatusCode::OK {
            return Err(format!("status {}", answer.status).into());
        }
        self.verified(*item, list, answer.body)
    }

    async fn ask_origin(
        &self,
        (version, item): &ItemKey,
        list: Option<&ChunkList>,
        origin: &OriginProfile,
    ) -> Result<Bytes, Box<str>> {
        let source = &self.context.borders.origin;
        let VersionId { model, version } = version;
        let bytes = match item {
            RelayItem::List => source.list(origin.address, model, *version).await?.published,
            RelayItem::Chunk(index) => {
                let _permit = self.origin_draws.acquire().await.map_err(|it| it.to_string())?;
                source.chunk(origin.address, model, *version, *index).await?
            }
        };
        let _ = self.context.metrics.count("relay_bytes.drawn", bytes.len() as i64);
        self.verified(*item, list, bytes)
    }

    /// Hands nothing on that is not what the origin published.
    fn verified(
        &self,
        item: RelayItem,
        list: Option<&ChunkList>,
        bytes: Bytes,
    ) -> Result<Bytes, Box<str>> {
        let origin = &self.context.borders.origin;
        match (item, list) {
            (RelayItem::Chunk(index), Some(list)) if !origin.verifies(list, index, &bytes) => {
                Err("the chunk's digest differs".into())
            }
            _ => Ok(bytes),
        }
    }
}

impl RelayState {
    /// Lets go of older versions of a model: whoever asks for a newer one has given them up.
    fn forget_before(&mut self, version: &VersionId) {
        let is_older =
            |other: &VersionId| other.model == version.model && other.version < version.version;
        self.fetches.retain(|(other, _), _| !is_older(other));
        self.lists.retain(|other, _| !is_older(other));
        self.whole.retain(|((other, _), _)| !is_older(other));
        self.bytes = self.whole.iter().map(|(_, length)| length).sum();
    }

    /// Keeps an item that came; one that did not is fetched anew by whoever asks next.
    fn ended(&mut self, key: ItemKey, length: Option<usize>, limit: ByteSize) {
        let Some(length) = length else {
            self.fetches.remove(&key);
            return;
        };
        if !self.fetches.contains_key(&key) {
            return;
        }
        self.whole.push_back((key, length));
        self.bytes += length;
        while self.bytes as u64 > limit.0 {
            let Some((oldest, length)) = self.whole.pop_front() else { break };
            self.fetches.remove(&oldest);
            self.bytes -= length;
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

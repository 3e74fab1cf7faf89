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
use log::{info, warn};
use mustardrill_core::direct::{OriginProfile, PeerRecord};
use mustardrill_core::provisioning::VersionId;
use mustardrill_core::relays::{OriginBreaker, RelayItem, RelayTable};
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

/// How long a call waits for an item that is being drawn before it is told so: whoever asks can
/// tell an entry that draws from one that is gone within a fraction of a second.
const HOLD_TIME: Duration = Duration::from_millis(300);

/// How long another entry may take for an answer of any kind: `HOLD_TIME` and a chunk's time on a
/// link that is shared.
const HAND_TIMEOUT: Duration = Duration::from_millis(700);

/// How long an entry that draws an item is waited for. Drawing it a second time instead slows the
/// first, and several copies go over the origin's link.
const LONGEST_HAND: Duration = Duration::from_millis(4_000);

/// The entries that are asked to draw an item: some may have lost their way to the origin.
const DRAWERS_ASKED: usize = 3;

/// Chunks drawn from the origin at once by one entry: enough to keep its link busy, and few enough
/// that the list of the next version doesn't wait long behind them.
const ORIGIN_DRAWS: usize = 3;

/// The share of an entry's link that chunks may take, in percent; the rest is for answers.
const UPLOAD_PERCENT: u32 = 50;

/// How long a chunk may wait for the link before another entry is the better choice.
const LONGEST_QUEUE: Millis = Millis(500);

/// The largest list or chunk taken.
const ITEM_LIMIT: usize = 4 << 20;

/// What is handed on, of which version.
type ItemKey = (VersionId, RelayItem);

/// The bytes of an item that is drawn or kept.
type ItemFetch = Shared<BoxFuture<'static, Result<Bytes, ItemMiss>>>;

/// Why an item can't be handed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ItemMiss {
    /// This entry does not know the origin yet; another one may.
    Unconfigured,
    /// Whoever draws it can't have it now; asking others would be in vain.
    NotNow,
}

/// Why another entry did not hand an item on.
#[derive(Debug)]
enum HandError {
    /// It can't have it now.
    NotNow,
    /// It does not answer, or not as it should.
    Failed(Box<str>),
}

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
    gate: OriginBreaker,
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
        match tokio::time::timeout(HOLD_TIME, self.item(key, drawn)).await {
            Ok(Ok(bytes)) => self.hand(bytes).await,
            Ok(Err(ItemMiss::Unconfigured)) => {
                text_response(StatusCode::NOT_FOUND, "no configuration yet\n")
            }
            Ok(Err(ItemMiss::NotNow)) => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "not to be had now\n")
            }
            Err(_) => text_response(StatusCode::ACCEPTED, "being drawn\n"),
        }
    }

    /// Gives the bytes once the link has room for them.
    async fn hand(&self, bytes: Bytes) -> AnyResponse {
        let now = self.context.clock.now();
        let Some(wait) = self.uploads.accept(now, bytes.len(), LONGEST_QUEUE) else {
            tokio::time::sleep(HOLD_TIME).await;
            return text_response(StatusCode::ACCEPTED, "others go first\n");
        };
        tokio::time::sleep(wait.to_std()).await;
        let _ = self.context.metrics.count("relay_bytes.given", bytes.len() as i64);
        Response::new(whole_body(bytes))
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
        let relay = self.clone();
        let wanted = key.clone();
        // A task of its own: whoever asked first may be gone before the others have it.
        let task = tokio::spawn(async move {
            let bytes = relay.fetch(&wanted, drawn).await;
            relay.state.lock().expect("no holder panics").ended(
                wanted,
                bytes.as_ref().ok().map(Bytes::len),
                relay.context.config.relay_memory,
            );
            bytes
        });
        let fetch = task.map(|ended| ended.unwrap_or(Err(ItemMiss::NotNow))).boxed().shared();
        state.fetches.insert(key, fetch.clone());
        fetch
    }

    async fn fetch(&self, key: &ItemKey, drawn: bool) -> Result<Bytes, ItemMiss> {
        let reply = self.actor.ask(RelayQuery).await.map_err(|_| ItemMiss::Unconfigured)?;
        let origin = reply.origin.ok_or(ItemMiss::Unconfigured)?;
        let list = match key.1 {
            RelayItem::List => None,
            RelayItem::Chunk(_) => Some(self.list(&key.0).await?),
        };
        let mut is_mine = true;
        let drawers = if drawn { Vec::new() } else { self.drawers(key, &origin, reply.peers) };
        for relay in drawers {
            is_mine = relay.id == self.context.config.direct.own;
            if is_mine {
                break;
            }
            match self.ask_relay(key, list.as_deref(), &relay).await {
                Ok(bytes) => return Ok(bytes),
                Err(HandError::NotNow) => {}
                Err(HandError::Failed(reason)) => {
                    self.note_failure(key, &relay, &reason);
                    is_mine = true;
                }
            }
        }
        if !is_mine {
            return Err(ItemMiss::NotNow);
        }
        self.ask_origin(key, list.as_deref(), &origin).await
    }

    /// The list by which chunks are verified.
    async fn list(&self, version: &VersionId) -> Result<Arc<ChunkList>, ItemMiss> {
        if let Some(list) = self.state.lock().expect("no holder panics").lists.get(version) {
            return Ok(list.clone());
        }
        let published = self.item((version.clone(), RelayItem::List), false).await?;
        let list = self.context.borders.origin.read_list(published).map_err(|reason| {
            warn!("list version={version} outcome=unreadable reason=\"{reason}\"");
            ItemMiss::NotNow
        })?;
        let list = Arc::new(list);
        let mut state = self.state.lock().expect("no holder panics");
        state.lists.insert(version.clone(), list.clone());
        Ok(list)
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
        state.table.set_relays(peers);
        state.table.add(own_record(&self.context.config));
        let version = key.0.to_string();
        let drawers = state.table.seeders(now, &version, key.1, &origin.data_centre);
        drawers.into_iter().take(DRAWERS_ASKED).cloned().collect()
    }

    fn note_failure(&self, key: &ItemKey, relay: &PeerRecord, reason: &str) {
        info!(
            "relay version={} item={:?} source={} outcome=failed reason=\"{reason}\"",
            key.0, key.1, relay.id
        );
        let now = self.context.clock.now();
        self.state.lock().expect("no holder panics").table.record_failure(now, &relay.id);
    }

    /// Asks another entry for an item, for as long as that entry says that it draws it.
    async fn ask_relay(
        &self,
        (version, item): &ItemKey,
        list: Option<&ChunkList>,
        relay: &PeerRecord,
    ) -> Result<Bytes, HandError> {
        let call = match item {
            RelayItem::List => PeerCall::DrawnList(version.clone()),
            RelayItem::Chunk(index) => PeerCall::DrawnChunk(version.clone(), *index),
        };
        let uri = format!("http://{}{call}", relay.address);
        let failed = |reason: String| HandError::Failed(reason.into());
        let until = tokio::time::Instant::now() + LONGEST_HAND;
        while tokio::time::Instant::now() < until {
            let call = request("GET", &uri, Bytes::new());
            let answer = self.client.call(call, HAND_TIMEOUT, ITEM_LIMIT).await;
            let answer = answer.map_err(|error| failed(error.to_string()))?;
            match answer.status {
                StatusCode::OK => {
                    return self.verified(*item, list, answer.body).map_err(HandError::Failed);
                }
                StatusCode::ACCEPTED => {}
                StatusCode::SERVICE_UNAVAILABLE => return Err(HandError::NotNow),
                status => return Err(failed(format!("status {status}"))),
            }
        }
        Err(HandError::NotNow)
    }

    async fn ask_origin(
        &self,
        key: &ItemKey,
        list: Option<&ChunkList>,
        origin: &OriginProfile,
    ) -> Result<Bytes, ItemMiss> {
        let now = self.context.clock.now();
        if !self.state.lock().expect("no holder panics").gate.allow_call(now) {
            return Err(ItemMiss::NotNow);
        }
        let drawn = self.draw(key, origin).await;
        let now = self.context.clock.now();
        let gate = &mut self.state.lock().expect("no holder panics").gate;
        match &drawn {
            Ok(_) => gate.record_response(),
            Err(_) => gate.record_failure(now),
        }
        // What comes spoilt was sent by an origin that is there.
        drawn.and_then(|bytes| self.verified(key.1, list, bytes)).map_err(|reason| {
            info!(
                "relay version={} item={:?} source=origin outcome=failed reason=\"{reason}\"",
                key.0, key.1
            );
            ItemMiss::NotNow
        })
    }

    /// Draws an item from the origin.
    async fn draw(
        &self,
        (version, item): &ItemKey,
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
        Ok(bytes)
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
    /// Lets go of what is older than the version before `version`, which some engines still load.
    fn forget_before(&mut self, version: &VersionId) {
        let older = self.fetches.keys().map(|(other, _)| other);
        let older = older.filter(|it| it.model == version.model && it.version < version.version);
        let Some(before) = older.map(|it| it.version).max() else { return };
        let is_older = |other: &VersionId| other.model == version.model && other.version < before;
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
        // Until the newer version's list can be had, its drawing can't begin, and the older one
        // is still wanted.
        if key.1 == RelayItem::List {
            self.forget_before(&key.0);
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

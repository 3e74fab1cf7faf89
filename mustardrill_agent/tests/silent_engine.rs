//! An engine that is silent for a while and goes on, while its agent provisions it.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use mustardrill_agent::provisioning::{self, PlatformAdapters};
use mustardrill_core::direct::{
    CallerLimits, EngineProfile, FleetChange, FleetUpdate, ModelProfile, OriginProfile, PeerRecord,
    RegistrationWrite, RouteDocument, ServiceProfile, WatchTiming,
};
use mustardrill_core::quarantine::QuarantineSubject;
use mustardrill_platform::PlatformEngine;
use mustardrill_runtime::adapters::{
    ChunkList, ChunkOrigin, FleetPart, FleetScope, FleetSource, LeaseGrant, StoreError,
};
use mustardrill_runtime::client_connections::ClientConnections;
use mustardrill_runtime::http::{
    AnyResponse, HttpClient, HttpHandler, query_parameter, text_response,
};
use mustardrill_runtime::http_server::HttpServer;
use mustardrill_types::{
    ByteSize, ChunkIndex, FastMap, Generation, Millis, ModelName, StoreRevision, WeightVersion,
};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use common::{config, free_port, unavailable};

const CHUNKS: u32 = 4;
const SILENCE: Duration = Duration::from_secs(3);

/// A store with one configuration.
struct FixedStore(SocketAddr);

/// An origin that counts the chunks that it sends.
struct CountingOrigin(Arc<AtomicUsize>);

/// An engine without weights that is silent once, from the first call to `silent_at` after
/// `puts_before` chunks were staged.
#[derive(Debug)]
struct SilentEngine {
    silent_at: &'static str,
    puts_before: usize,
    staged: Mutex<FastMap<String, Bytes>>,
    puts: AtomicUsize,
    has_been_silent: AtomicUsize,
    is_silent: watch::Sender<bool>,
    ordered: Notify,
}

struct EngineHandler(Arc<SilentEngine>);

fn document(origin: SocketAddr) -> Arc<RouteDocument> {
    let models = vec![ModelProfile { name: "m".parse().unwrap(), load_time: Millis(300) }];
    let chunk_size = ByteSize(1_000);
    let engine = EngineProfile { models, chunks: CHUNKS, chunk_size, ..EngineProfile::default() };
    let pool = ServiceProfile { engine: Some(engine), ..ServiceProfile::default() };
    let origin = OriginProfile {
        address: origin,
        data_centre: "hall-a".parse().unwrap(),
        link_mbps: 0.0,
        connection_limit: 0,
    };
    let records = ServiceProfile { origin: Some(origin), ..ServiceProfile::default() };
    let services =
        [("pool".parse().unwrap(), pool), ("records".parse().unwrap(), records)].into_iter();
    let limits = CallerLimits::default();
    Arc::new(RouteDocument::new(Generation(1), Vec::new(), services.collect(), Vec::new(), limits))
}

impl FleetSource for FixedStore {
    fn read_all(&self) -> BoxFuture<'_, Result<FleetUpdate, StoreError>> {
        let changes = vec![FleetChange::Configured(document(self.0))];
        let revision = StoreRevision(1);
        Box::pin(async move {
            Ok(FleetUpdate { changes, revision, is_snapshot: true, ..FleetUpdate::default() })
        })
    }

    fn read_part(&self, _: FleetPart) -> BoxFuture<'_, Result<FleetUpdate, StoreError>> {
        Box::pin(async { Ok(FleetUpdate { revision: StoreRevision(1), ..FleetUpdate::default() }) })
    }

    unwritable_store_methods!();
}

fn chunk(index: ChunkIndex) -> Bytes {
    vec![index.0 as u8 + 1; 1_000].into()
}

impl ChunkOrigin for CountingOrigin {
    fn list<'a>(
        &'a self,
        _: SocketAddr,
        model: &'a ModelName,
        version: WeightVersion,
    ) -> BoxFuture<'a, Result<ChunkList, Box<str>>> {
        Box::pin(async move {
            let digests = (0..CHUNKS).map(|index| *blake3_of(&chunk(ChunkIndex(index)))).collect();
            Ok(ChunkList { model: model.clone(), version, digests, published: Bytes::new() })
        })
    }

    fn read_list(&self, _: Bytes) -> Result<ChunkList, Box<str>> {
        Err("no list".into())
    }

    fn chunk<'a>(
        &'a self,
        _: SocketAddr,
        _: &'a ModelName,
        _: WeightVersion,
        index: ChunkIndex,
    ) -> BoxFuture<'a, Result<Bytes, Box<str>>> {
        Box::pin(async move {
            self.0.fetch_add(1, Ordering::SeqCst);
            Ok(chunk(index))
        })
    }

    fn verifies(&self, list: &ChunkList, index: ChunkIndex, bytes: &[u8]) -> bool {
        list.digests[index.0 as usize] == *blake3_of(bytes)
    }
}

fn blake3_of(bytes: &[u8]) -> Box<[u8; 32]> {
    Box::new(*blake3::hash(bytes).as_bytes())
}

impl SilentEngine {
    /// Waits while the engine is silent, which begins with the call that matches.
    async fn wait_while_silent(self: &Arc<Self>, path: &str) {
        let is_due = path.starts_with(self.silent_at)
            && self.puts.load(Ordering::SeqCst) >= self.puts_before
            && self.has_been_silent.swap(1, Ordering::SeqCst) == 0;
        if is_due {
            self.is_silent.send_replace(true);
            let engine = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(SILENCE).await;
                engine.is_silent.send_replace(false);
            });
        }
        let _ = self.is_silent.subscribe().wait_for(|is_silent| !is_silent).await;
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> AnyResponse {
        let path = request.uri().path().to_owned();
        self.wait_while_silent(&path).await;
        let index = query_parameter(request.uri(), "sample_count").unwrap_or_default().to_owned();
        match path.as_str() {
            "/v1/report" => text_response(
                StatusCode::OK,
                r#"{"born":1,"busy":false,"sequence":0,"active":0,"models":[]}"#,
            ),
            "/v1/order" => {
                self.ordered.notify_one();
                text_response(StatusCode::OK, "")
            }
            _ if path.starts_with("/v1/stage-put") => {
                let body = request.into_body().collect().await.unwrap().to_bytes();
                self.staged.lock().unwrap().insert(index, body);
                self.puts.fetch_add(1, Ordering::SeqCst);
                text_response(StatusCode::OK, "")
            }
            _ => match self.staged.lock().unwrap().get(&index) {
                Some(bytes) => {
                    AnyResponse::new(mustardrill_runtime::http::buffered_body(bytes.clone()))
                }
                None => text_response(StatusCode::NOT_FOUND, ""),
            },
        }
    }
}

impl HttpHandler for EngineHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        Box::pin(self.0.clone().answer(request))
    }
}

/// Provisions an engine until the load order; returns the chunks that the origin has sent.
async fn chunks_sent(silent_at: &'static str, puts_before: usize) -> usize {
    let engine = Arc::new(SilentEngine {
        silent_at,
        puts_before,
        staged: Mutex::default(),
        puts: AtomicUsize::new(0),
        has_been_silent: AtomicUsize::new(0),
        is_silent: watch::Sender::new(false),
        ordered: Notify::new(),
    });
    let stop = CancellationToken::new();
    let handler = Box::new(EngineHandler(engine.clone()));
    let (listen, clients) = ("127.0.0.1:0".parse().unwrap(), ClientConnections::unlimited());
    let server = HttpServer::bind(listen, handler, &clients, stop).await.unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let client = HttpClient::open(Duration::from_millis(300));
    let listen = free_port();
    let adapters = PlatformAdapters {
        fleet_source: Box::new(FixedStore(listen)),
        load_register: Box::new(common::EmptyRegister),
        engine: Box::new(PlatformEngine::open(client, server.address)),
        origin: Box::new(CountingOrigin(sent.clone())),
    };
    let agent = provisioning::spawn(config(listen, server.address), adapters).await.unwrap();
    let ordered = tokio::time::timeout(Duration::from_secs(20), engine.ordered.notified()).await;
    ordered.expect("the engine is ordered to load");
    agent.halt();
    assert_eq!(engine.has_been_silent.load(Ordering::SeqCst), 1, "the engine was never silent");
    sent.load(Ordering::SeqCst)
}

/// Guards against staged chunks that were fetched again, and a load slot that was missed, because
/// the engine did not answer at once when they were read back.
#[tokio::test]
async fn chunks_were_taken_for_lost_while_the_engine_was_silent() {
    assert_eq!(chunks_sent("/v1/stage-get", CHUNKS as usize).await, CHUNKS as usize);
}

#[tokio::test]
async fn chunks_were_fetched_again_while_the_engine_was_silent() {
    assert_eq!(chunks_sent("/v1/stage-put", 0).await, CHUNKS as usize);
}

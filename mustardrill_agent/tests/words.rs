//! What an agent tells entries of its engine, in which order it reaches them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use log::LevelFilter;
use mustardrill_agent::stock::{self, StockBorders, StockConfig};
use mustardrill_core::direct::{
    CallerLimits, EngineNotice, EngineProfile, FleetChange, FleetUpdate, ModelProfile, PeerRecord,
    RouteDocument, ServedWeights, ServiceProfile, WatchTiming,
};
use mustardrill_core::provisioning::{ProvisioningSettings, RolloutSettings};
use mustardrill_core::transfer::TransferSettings;
use mustardrill_runtime::adapters::{
    ChunkList, ChunkOrigin, EngineControl, EngineState, FleetPart, FleetScope, FleetSource,
    LeaseGrant, OrderAnswer, StoreError,
};
use mustardrill_runtime::datagram::Datagram;
use mustardrill_types::{
    ChunkIndex, Generation, Millis, ModelName, RequestDigest, StoreRevision, WeightVersion,
};
use tokio::net::UdpSocket;

/// A store with one configuration and one entry, that is slow to tell of entries the first time.
struct SlowStore {
    entry: SocketAddr,
    read: Arc<AtomicBool>,
    asked: AtomicUsize,
}

/// An engine that serves the version after the first one as soon as it was looked at often enough.
struct LoadingEngine {
    read: Arc<AtomicBool>,
    looks: AtomicUsize,
}

struct NoOrigin;

const FIRST_ANSWER: Duration = Duration::from_millis(900);
const LOOKS_BEFORE: usize = 5;

impl SlowStore {
    fn peer(&self) -> FleetChange {
        FleetChange::Peer(PeerRecord {
            id: "entry-1".parse().unwrap(),
            address: self.entry,
            data_centre: "hall-a".parse().unwrap(),
            link_mbps: 1_000,
        })
    }
}

fn document() -> Arc<RouteDocument> {
    let models = vec![ModelProfile { name: "m".parse().unwrap(), load_time: Millis(300) }];
    let engine = EngineProfile { models, chunks: 1, ..EngineProfile::default() };
    let profile = ServiceProfile { engine: Some(engine), ..ServiceProfile::default() };
    let services = [("pool".parse().unwrap(), profile)].into_iter().collect();
    let limits = CallerLimits::default();
    Arc::new(RouteDocument::new(Generation(1), Vec::new(), services, Vec::new(), limits))
}

fn page(changes: Vec<FleetChange>, is_snapshot: bool) -> FleetUpdate {
    FleetUpdate { changes, revision: StoreRevision(1), is_snapshot, ..FleetUpdate::default() }
}

fn away<T>() -> Result<T, StoreError> {
    Err(StoreError::Unavailable { reason: "away".into() })
}

impl FleetSource for SlowStore {
    fn read_all(&self) -> BoxFuture<'_, Result<FleetUpdate, StoreError>> {
        Box::pin(async move {
            self.read.store(true, Ordering::SeqCst);
            Ok(page(vec![FleetChange::Configured(document()), self.peer()], true))
        })
    }

    fn read_part(&self, _: FleetPart) -> BoxFuture<'_, Result<FleetUpdate, StoreError>> {
        Box::pin(async move {
            if !self.read.load(Ordering::SeqCst) {
                return away();
            }
            if self.asked.fetch_add(1, Ordering::SeqCst) == 0 {
                tokio::time::sleep(FIRST_ANSWER).await;
            }
            Ok(page(vec![self.peer()], false))
        })
    }

    fn read_changes(
        &self,
        _: FleetScope,
        _: StoreRevision,
        _: WatchTiming,
    ) -> BoxFuture<'_, Result<FleetUpdate, StoreError>> {
        Box::pin(std::future::pending())
    }

    fn register<'a>(
        &'a self,
        _: &'a PeerRecord,
        _: Millis,
    ) -> BoxFuture<'a, Result<LeaseGrant, StoreError>> {
        Box::pin(async { away() })
    }

    fn renew(&self, _: LeaseGrant) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { away() })
    }

    fn deregister(&self, _: LeaseGrant) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { away() })
    }

    fn keep_quarantine(
        &self,
        _: RequestDigest,
        _: Millis,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { away() })
    }

    fn end_quarantine(&self, _: RequestDigest) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { away() })
    }
}

impl EngineControl for LoadingEngine {
    fn state(&self) -> BoxFuture<'_, Option<EngineState>> {
        Box::pin(async move {
            if !self.read.load(Ordering::SeqCst) {
                return None;
            }
            let looks = self.looks.fetch_add(1, Ordering::SeqCst);
            let version = WeightVersion(if looks < LOOKS_BEFORE { 1 } else { 2 });
            let serving = vec![ServedWeights { model: "m".parse().unwrap(), version }];
            Some(EngineState { serving, ..EngineState::default() })
        })
    }

    fn load<'a>(
        &'a self,
        _: &'a ModelName,
        _: WeightVersion,
        _: u64,
    ) -> BoxFuture<'a, OrderAnswer> {
        Box::pin(async { OrderAnswer::Conflict })
    }

    fn stage<'a>(&'a self, _: &'a ModelName, _: ChunkIndex, _: Bytes) -> BoxFuture<'a, bool> {
        Box::pin(async { false })
    }

    fn staged<'a>(&'a self, _: &'a ModelName, _: ChunkIndex) -> BoxFuture<'a, Option<Bytes>> {
        Box::pin(async { None })
    }
}

impl ChunkOrigin for NoOrigin {
    fn list<'a>(
        &'a self,
        _: SocketAddr,
        _: &'a ModelName,
        _: WeightVersion,
    ) -> BoxFuture<'a, Result<ChunkList, Box<str>>> {
        Box::pin(async { Err("away".into()) })
    }

    fn read_list(&self, _: Bytes) -> Result<ChunkList, Box<str>> {
        Err("no list".into())
    }

    fn chunk<'a>(
        &'a self,
        _: SocketAddr,
        _: &'a ModelName,
        _: WeightVersion,
        _: ChunkIndex,
    ) -> BoxFuture<'a, Result<Bytes, Box<str>>> {
        Box::pin(async { Err("away".into()) })
    }

    fn verifies(&self, _: &ChunkList, _: ChunkIndex, _: &[u8]) -> bool {
        false
    }
}

fn config(listen: SocketAddr) -> StockConfig {
    let rollout =
        RolloutSettings { first: Millis(2_400), last: Millis(7_100), load_duration: Millis(2_000) };
    StockConfig {
        instance: "agent-1".into(),
        listen,
        store: listen,
        metrics: None,
        log: LevelFilter::Off,
        watch: Millis(4_000),
        look_every: Millis(25),
        link_mbps: 1_000.0,
        stock: ProvisioningSettings {
            own: listen.ip().to_string().parse().unwrap(),
            data_centre: "hall-a".parse().unwrap(),
            service: "pool".parse().unwrap(),
            engine: SocketAddr::from(([127, 0, 0, 1], 1)),
            port: listen.port(),
            transfer: TransferSettings::default(),
            rollout,
            holdings_interval: Millis(35),
        },
    }
}

/// A port of this machine that is free for both protocols.
fn free_port() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn a_word_on_an_engine_comes_again_after_a_newer_one() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let read = Arc::new(AtomicBool::new(false));
    let entry = socket.local_addr().unwrap();
    let borders = StockBorders {
        source: Box::new(SlowStore { entry, read: read.clone(), asked: AtomicUsize::new(0) }),
        engine: Box::new(LoadingEngine { read, looks: AtomicUsize::new(0) }),
        origin: Box::new(NoOrigin),
    };
    let agent = stock::spawn(config(free_port()), borders).await.unwrap();
    let mut versions = Vec::new();
    let mut buffer = vec![0; 2_048];
    // Ends once nothing came for longer than the store's slow answer.
    let patience = Duration::from_secs(4);
    while let Ok(received) = tokio::time::timeout(patience, socket.recv_from(&mut buffer)).await {
        let datagram = Datagram::read(&buffer[..received.unwrap().0]).unwrap();
        if let Some(EngineNotice::Serving(version)) = datagram.engine.map(|row| row.notice()) {
            versions.push(version.0);
        }
    }
    agent.halt();
    assert!(versions.contains(&2), "{versions:?}");
    assert!(versions.is_sorted(), "what was told before comes again later: {versions:?}");
}

//! The engine notices of an agent reach the entries in the order in which the engine changed.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use mustardrill_agent::provisioning::{self, PlatformAdapters};
use mustardrill_core::direct::{
    CallerLimits, EngineNotice, EngineProfile, FleetChange, FleetUpdate, ModelProfile, PeerRecord,
    RegistrationWrite, RouteDocument, ServedWeights, ServiceProfile, WatchTiming,
};
use mustardrill_core::provisioning::LayerRange;
use mustardrill_core::quarantine::QuarantineSubject;
use mustardrill_runtime::adapters::{
    ChunkList, ChunkOrigin, EngineControl, EngineState, FleetPart, FleetScope, FleetSource,
    LeaseGrant, OrderAnswer, StagedChunk, StagingOutcome, StoreError,
};
use mustardrill_runtime::datagram::Datagram;
use mustardrill_types::{ChunkIndex, Generation, Millis, ModelName, StoreRevision, WeightVersion};
use tokio::net::UdpSocket;

use common::{config, free_port, unavailable};

/// A store with one configuration and one entry, whose first answer on entries is slow. Until the
/// configuration has been read it is unavailable.
struct SlowStore {
    entry: SocketAddr,
    is_configuration_read: Arc<AtomicBool>,
    entry_reads: AtomicUsize,
}

/// An engine that serves version 1 for the first polls and version 2 after them. It answers once
/// the configuration has been read from the store.
struct LoadingEngine {
    is_configuration_read: Arc<AtomicBool>,
    polls: AtomicUsize,
}

struct UnavailableOrigin;

const FIRST_ENTRY_READ_TIME: Duration = Duration::from_millis(900);
const POLLS_BEFORE_LOAD: usize = 5;

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

fn fleet_update(changes: Vec<FleetChange>, is_snapshot: bool) -> FleetUpdate {
    FleetUpdate { changes, revision: StoreRevision(1), is_snapshot, ..FleetUpdate::default() }
}

impl FleetSource for SlowStore {
    fn read_all(&self) -> BoxFuture<'_, Result<FleetUpdate, StoreError>> {
        Box::pin(async move {
            self.is_configuration_read.store(true, Ordering::SeqCst);
            Ok(fleet_update(vec![FleetChange::Configured(document()), self.peer()], true))
        })
    }

    fn read_part(&self, _: FleetPart) -> BoxFuture<'_, Result<FleetUpdate, StoreError>> {
        Box::pin(async move {
            if !self.is_configuration_read.load(Ordering::SeqCst) {
                return unavailable();
            }
            if self.entry_reads.fetch_add(1, Ordering::SeqCst) == 0 {
                tokio::time::sleep(FIRST_ENTRY_READ_TIME).await;
            }
            Ok(fleet_update(vec![self.peer()], false))
        })
    }

    unwritable_store_methods!();
}

impl EngineControl for LoadingEngine {
    fn state(&self) -> BoxFuture<'_, Option<EngineState>> {
        Box::pin(async move {
            if !self.is_configuration_read.load(Ordering::SeqCst) {
                return None;
            }
            let polls = self.polls.fetch_add(1, Ordering::SeqCst);
            let version = WeightVersion(if polls < POLLS_BEFORE_LOAD { 1 } else { 2 });
            let serving = vec![ServedWeights { model: "m".parse().unwrap(), version }];
            Some(EngineState { serving, ..EngineState::default() })
        })
    }

    fn load<'a>(
        &'a self,
        _: &'a ServedWeights,
        _: Option<LayerRange>,
        _: u64,
    ) -> BoxFuture<'a, OrderAnswer> {
        Box::pin(async { OrderAnswer::Conflict })
    }

    fn stage<'a>(
        &'a self,
        _: &'a ModelName,
        _: ChunkIndex,
        _: Bytes,
    ) -> BoxFuture<'a, StagingOutcome> {
        Box::pin(async { StagingOutcome::Failed })
    }

    fn staged<'a>(&'a self, _: &'a ModelName, _: ChunkIndex) -> BoxFuture<'a, StagedChunk> {
        Box::pin(async { StagedChunk::Missing })
    }
}

impl ChunkOrigin for UnavailableOrigin {
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

/// Notices are sent twice, as datagrams get lost. The repetition waits for a read of the entries;
/// while the store is slow, it must be dropped once the engine has loaded a newer version.
#[tokio::test]
async fn an_outdated_engine_notice_is_repeated_after_a_newer_one() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let is_configuration_read = Arc::new(AtomicBool::new(false));
    let entry = socket.local_addr().unwrap();
    let adapters = PlatformAdapters {
        fleet_source: Box::new(SlowStore {
            entry,
            is_configuration_read: is_configuration_read.clone(),
            entry_reads: AtomicUsize::new(0),
        }),
        load_register: Box::new(common::EmptyRegister),
        engine: Box::new(LoadingEngine { is_configuration_read, polls: AtomicUsize::new(0) }),
        origin: Box::new(UnavailableOrigin),
    };
    let engine = SocketAddr::from(([127, 0, 0, 1], 1));
    let agent = provisioning::spawn(config(free_port(), engine), adapters).await.unwrap();
    let mut versions = Vec::new();
    let mut buffer = vec![0; 2_048];
    // Stops once nothing was received for longer than the store's slow answer takes.
    let silence_timeout = Duration::from_secs(4);
    while let Ok(received) =
        tokio::time::timeout(silence_timeout, socket.recv_from(&mut buffer)).await
    {
        let datagram = Datagram::read(&buffer[..received.unwrap().0]).unwrap();
        if let Some(EngineNotice::Serving(version)) = datagram.engine.map(|row| row.notice()) {
            versions.push(version.0);
        }
    }
    agent.halt();
    assert!(versions.contains(&2), "{versions:?}");
    assert!(
        versions.is_sorted(),
        "a notice of an older version was repeated after a newer one: {versions:?}"
    );
}

//! Fixtures that several tests of the agent share.

use std::net::SocketAddr;

use futures_util::future::BoxFuture;
use log::LevelFilter;
use mustardrill_agent::provisioning::ProvisioningConfig;
use mustardrill_core::direct::LoadRecord;
use mustardrill_core::provisioning::{ProvisioningSettings, RolloutSettings};
use mustardrill_core::transfer::TransferSettings;
use mustardrill_runtime::adapters::{LoadRegister, StoreError, StoredLoad};
use mustardrill_runtime::config::ProcessLimits;
use mustardrill_types::{ByteSize, Millis, StoreRevision};

/// The result of a call to a store that is unavailable.
pub fn unavailable<T>() -> Result<T, StoreError> {
    Err(StoreError::Unavailable { reason: "away".into() })
}

/// The configuration of an agent of the engine at `engine`, whose store needs no address.
pub fn config(listen: SocketAddr, engine: SocketAddr) -> ProvisioningConfig {
    let rollout =
        RolloutSettings { first: Millis(2_400), last: Millis(7_100), load_duration: Millis(2_000) };
    ProvisioningConfig {
        instance: "agent-1".into(),
        listen,
        store: listen,
        metrics: None,
        log: LevelFilter::Off,
        watch_time: Millis(4_000),
        engine_poll_interval: Millis(25),
        link_mbps: 1_000.0,
        process: ProcessLimits {
            memory: ByteSize(128_000_000),
            descriptors: 1_024,
            unread_timeout: Millis(30_000),
        },
        settings: ProvisioningSettings {
            own_id: listen.ip().to_string().parse().unwrap(),
            data_centre: "hall-a".parse().unwrap(),
            service: "pool".parse().unwrap(),
            engine,
            port: listen.port(),
            transfer: TransferSettings::default(),
            rollout,
            holdings_interval: Millis(35),
        },
    }
}

/// A register without records that takes each write.
pub struct EmptyRegister;

impl LoadRegister for EmptyRegister {
    fn read(&self, _: SocketAddr) -> BoxFuture<'_, Result<StoredLoad, StoreError>> {
        Box::pin(async { Ok(StoredLoad { record: None, revision: StoreRevision(0) }) })
    }

    fn write<'a>(
        &'a self,
        _: &'a LoadRecord,
        known: StoreRevision,
    ) -> BoxFuture<'a, Result<Option<StoreRevision>, StoreError>> {
        Box::pin(async move { Ok(Some(StoreRevision(known.0 + 1))) })
    }
}

/// An address with a free port; it is tried with TCP and taken to be free for UDP as well.
pub fn free_port() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// The methods of a `FleetSource` without changes that takes no writes.
#[macro_export]
macro_rules! unwritable_store_methods {
    () => {
        fn read_changes(
            &self,
            _: FleetScope,
            _: StoreRevision,
            _: WatchTiming,
        ) -> BoxFuture<'_, Result<FleetUpdate, StoreError>> {
            Box::pin(std::future::pending())
        }

        fn read_revision(
            &self,
        ) -> BoxFuture<'_, Result<(StoreRevision, mustardrill_types::StoreEra), StoreError>> {
            Box::pin(async { unavailable() })
        }

        fn grant_lease(&self, _: Millis) -> BoxFuture<'_, Result<LeaseGrant, StoreError>> {
            Box::pin(async { unavailable() })
        }

        fn register<'a>(
            &'a self,
            _: &'a PeerRecord,
            _: LeaseGrant,
            _: StoreRevision,
        ) -> BoxFuture<'a, Result<RegistrationWrite, StoreError>> {
            Box::pin(async { unavailable() })
        }

        fn renew(&self, _: LeaseGrant) -> BoxFuture<'_, Result<(), StoreError>> {
            Box::pin(async { unavailable() })
        }

        fn end_lease(&self, _: LeaseGrant) -> BoxFuture<'_, Result<(), StoreError>> {
            Box::pin(async { unavailable() })
        }

        fn keep_quarantine<'a>(
            &'a self,
            _: &'a QuarantineSubject,
            _: Millis,
            _: LeaseGrant,
        ) -> BoxFuture<'a, Result<(), StoreError>> {
            Box::pin(async { unavailable() })
        }

        fn end_quarantine<'a>(
            &'a self,
            _: &'a QuarantineSubject,
        ) -> BoxFuture<'a, Result<(), StoreError>> {
            Box::pin(async { unavailable() })
        }
    };
}

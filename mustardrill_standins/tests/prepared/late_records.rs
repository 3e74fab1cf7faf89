//! Records of quarantines whose writes the store carries out late.

use std::time::Duration;

use assert_matches::assert_matches;
use mustardrill_core::quarantine::QuarantineSubject;
use mustardrill_platform::PlatformStore;
use mustardrill_runtime::adapters::{FleetSource, StoreError};
use mustardrill_runtime::http::HttpClient;
use mustardrill_standins::StandIn;
use mustardrill_types::{Millis, RequestDigest};

use crate::fleet::listen;
use crate::network::TestNetwork;
use crate::store::Store;

const SPAN: Millis = Millis(60_000);
const DELAY: Duration = Duration::from_millis(1_500);

/// A store whose client has a record to write.
struct RecordStore {
    store: Store,
    client: PlatformStore,
    subject: QuarantineSubject,
    key: String,
    _server: StandIn,
    _network: TestNetwork,
}

impl RecordStore {
    async fn start() -> Self {
        let (network, store) = (TestNetwork::open(), Store::new());
        let server = listen(network.machine_ip(1), Box::new(store.clone())).await;
        let client = PlatformStore::open(HttpClient::open(Duration::from_secs(1)), server.address);
        let digest = RequestDigest::of(&[b"draft"]);
        let key = format!("mustardrill/quarantine/{digest}");
        let subject = digest.into();
        Self { store, client, subject, key, _server: server, _network: network }
    }

    fn has_record(&self) -> bool {
        self.store.value(&self.key).is_some()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_record_that_is_written_late_comes_back() {
    let records = RecordStore::start().await;
    let lease = records.client.grant_lease(SPAN).await.unwrap();
    records.store.delay_next_write(&records.key, DELAY);
    let written = records.client.keep_quarantine(&records.subject, SPAN, lease).await;
    assert_matches!(written, Err(StoreError::Unavailable { .. }));
    records.client.end_lease(lease).await.unwrap();
    records.client.end_quarantine(&records.subject).await.unwrap();
    tokio::time::sleep(DELAY).await;
    assert!(!records.has_record());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_removal_that_is_made_late_removes_a_later_record() {
    let records = RecordStore::start().await;
    let lease = records.client.grant_lease(SPAN).await.unwrap();
    records.client.keep_quarantine(&records.subject, SPAN, lease).await.unwrap();
    records.store.delay_next_write(&records.key, DELAY);
    let removed = records.client.end_quarantine(&records.subject).await;
    assert_matches!(removed, Err(StoreError::Unavailable { .. }));
    records.client.keep_quarantine(&records.subject, SPAN, lease).await.unwrap();
    tokio::time::sleep(DELAY).await;
    assert!(records.has_record());
    records.client.end_quarantine(&records.subject).await.unwrap();
    assert!(!records.has_record());
}

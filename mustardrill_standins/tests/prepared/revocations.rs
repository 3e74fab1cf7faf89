//! Configurations that take keys away, read late, in part, or not at all.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use serde_json::{Value, json};

use crate::fleet::{Fleet, configuration};
use crate::store::StoreMode;
use crate::worker::Worker;

/// Longer than the entry accepts a key without a confirmation.
const OUTAGE: Duration = Duration::from_secs(5);

/// Calls with a key for a while and returns the statuses of the answers.
async fn statuses(fleet: &Fleet, id: &str, key: &str, span: Duration) -> Vec<StatusCode> {
    let (mut answers, started_at) = (Vec::new(), Instant::now());
    while started_at.elapsed() < span {
        let id = format!("{id}-{}", answers.len());
        answers.push(fleet.call(&id, "/notices/x", key).await.status);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    answers
}

/// The first part of the changes was taken for a proof that no newer configuration exists.
#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_served_after_an_answer_with_part_of_the_changes() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    fleet.store.set_watch_limit(1);
    fleet.store.set_mode(StoreMode::Silent);
    for version in [4, 7, 10] {
        let keys = ["key-1", "key-2"];
        fleet.store.write("op/config", &configuration(version, fleet.origin_address, &keys));
    }
    fleet.store.write("op/config", &configuration(13, fleet.origin_address, &["key-1"]));
    tokio::time::sleep(OUTAGE).await;
    fleet.store.set_mode(StoreMode::Available);
    let revoked = statuses(&fleet, "p", "key-2", Duration::from_secs(4)).await;
    assert!(!revoked.contains(&StatusCode::OK), "{revoked:?}");
    assert_eq!(revoked.last(), Some(&StatusCode::UNAUTHORIZED));
    assert_eq!(fleet.call("q", "/notices/x", "key-1").await.status, StatusCode::OK);
}

/// While changes follow each other, no answer of the store is without one.
#[tokio::test(flavor = "multi_thread")]
async fn a_listed_key_is_refused_while_the_store_changes_all_the_time() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    let changes = async {
        for number in 0..700 {
            fleet.store.write("op/other", &json!(number));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let calls = statuses(&fleet, "c", "key-1", Duration::from_secs(7));
    let (answers, ()) = tokio::join!(calls, changes);
    assert!(answers.iter().all(|status| *status == StatusCode::OK), "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_list_of_customers_ends_the_check_of_keys() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    let mut newer = configuration(4, fleet.origin_address, &[]);
    newer["tenants"] = json!([]);
    fleet.store.write("op/config", &newer);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for key in ["key-1", "key-2", "never-a-key"] {
        let status = fleet.call(key, "/notices/x", key).await.status;
        assert_eq!(status, StatusCode::UNAUTHORIZED, "{key}");
    }
}

async fn revoke_by(fleet: &Fleet, edit: impl Fn(&mut Value)) -> Vec<StatusCode> {
    let mut newer = configuration(4, fleet.origin_address, &["key-1"]);
    edit(&mut newer);
    fleet.store.write("op/config", &newer);
    tokio::time::sleep(Duration::from_millis(500)).await;
    statuses(fleet, "r", "key-2", Duration::from_secs(1)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_served_since_a_timeout_has_a_decimal_point() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    let revoked = revoke_by(&fleet, |it| it["routes"][0]["timeout_ms"] = json!(1200.0)).await;
    assert!(revoked.iter().all(|status| *status == StatusCode::UNAUTHORIZED), "{revoked:?}");
}

/// The older configuration counted as the newest for as long as the newer one could not be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_served_since_its_configuration_is_undecodable() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    let revoked = revoke_by(&fleet, |it| it["routes"][0]["timeout_ms"] = json!("soon")).await;
    assert!(revoked.iter().all(|status| *status == StatusCode::SERVICE_UNAVAILABLE), "{revoked:?}");
    // Nothing confirms the older configuration, so that its other keys are refused in the end.
    tokio::time::sleep(OUTAGE).await;
    let listed = fleet.call("s", "/notices/x", "key-1").await.status;
    assert_eq!(listed, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!fleet.is_ready().await);
    fleet.store.write("op/config", &configuration(7, fleet.origin_address, &["key-1"]));
    fleet
        .wait_until("key-1 is accepted again", async || {
            fleet.call("t", "/notices/x", "key-1").await.status == StatusCode::OK
        })
        .await;
    assert_eq!(fleet.call("u", "/notices/x", "key-2").await.status, StatusCode::UNAUTHORIZED);
}

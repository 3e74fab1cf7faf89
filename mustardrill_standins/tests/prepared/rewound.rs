//! A store that comes back from a copy some seconds old.

use std::time::Duration;

use hyper::StatusCode;
use mustardrill_standins::process::daemon;
use serde_json::json;

use crate::fleet::{Fleet, caller_request, configuration, entry_settings, machine};
use crate::store::Store;
use crate::worker::Worker;

/// Writes until the store is in a state that it was in before its return, and further.
fn write_beyond(store: &Store, revision: u64) {
    while store.revision() <= revision {
        store.write("op/other", &json!({}));
    }
}

/// The watch went on in another history, and what had changed before its revision was never heard of.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_taken_away_while_the_store_returned_older_goes_on_being_served() {
    let fleet = Fleet::start(17, vec![Worker::new("i-1", 1)]).await;
    let copy = fleet.store.copy();
    for _ in 0..40 {
        fleet.store.write("op/other", &json!({}));
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    let before = fleet.store.revision();
    fleet.entry.suspend();
    fleet.store.return_to(&copy);
    fleet.store.write("op/config", &configuration(4, fleet.origin_address, &["key-1"]));
    write_beyond(&fleet.store, before);
    fleet.entry.resume();
    let took = fleet
        .until("key-2 is refused", async || {
            fleet.call("h1", "/notices/x", "key-2").await.status == StatusCode::UNAUTHORIZED
        })
        .await;
    assert!(took < Duration::from_secs(2), "{took:?}");
}

/// Its lease's number was given to somebody else, and it went on renewing that.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_stays_unregistered_after_the_store_returned_older() {
    let fleet = Fleet::start(18, vec![Worker::new("i-1", 1)]).await;
    let key = "mustardrill/entry/entry-1";
    fleet.until("it is registered", async || fleet.store.value(key).is_some()).await;
    let mut copy = fleet.store.copy();
    copy.forget(key);
    fleet.store.return_to(&copy);
    let took = fleet.until("it registers again", async || fleet.store.value(key).is_some()).await;
    assert!(took < Duration::from_millis(2_500), "{took:?}");
}

/// It read the older configuration, with the key in it, as the newest that there was.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_after_the_store_returned_older_serves_a_key_taken_away() {
    let fleet = Fleet::start(20, vec![Worker::new("i-1", 1)]).await;
    let key = "mustardrill/entry/entry-1";
    fleet.until("it is registered", async || fleet.store.value(key).is_some()).await;
    let copy = fleet.store.copy();
    let newer = configuration(4, fleet.origin_address, &["key-1"]);
    fleet.store.write("op/config", &newer);
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet.store.return_to(&copy);
    let store = fleet.listening[0].address;
    let settings = entry_settings("entry-2", machine(20, 4), store);
    let started = daemon(&fleet.folder, "mustardrill-entry", "entry-2", &settings);
    let call = async |number: usize, key: &str| {
        let call = caller_request(started.address, &format!("j{number}"), "/notices/x", key);
        fleet.client.call(call, Duration::from_secs(7), 1_000_000).await.unwrap().status
    };
    for number in 0..5 {
        assert_ne!(call(number, "key-2").await, StatusCode::OK, "call {number}");
    }
    fleet.store.write("op/config", &newer);
    fleet.until("key-1 is served", async || call(9, "key-1").await == StatusCode::OK).await;
    assert_eq!(call(10, "key-2").await, StatusCode::UNAUTHORIZED);
}

//! A store that is restored from a copy some seconds old.

use std::time::Duration;

use hyper::StatusCode;
use mustardrill_standins::process::daemon;
use serde_json::json;

use crate::fleet::{Fleet, caller_request, configuration, entry_settings, register};
use crate::store::Store;
use crate::worker::Worker;

/// Writes until the store's revision exceeds the one it had before it was restored.
fn write_past_revision(store: &Store, revision: u64) {
    while store.revision() <= revision {
        store.write("op/other", &json!({}));
    }
}

/// The watch continued by revision number in another history, so changes written before that
/// revision were missed.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_revoked_while_the_store_was_restored_is_refused() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    let snapshot = fleet.store.snapshot();
    for _ in 0..40 {
        fleet.store.write("op/other", &json!({}));
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    let before = fleet.store.revision();
    fleet.entry.suspend();
    fleet.store.restore_from(&snapshot);
    fleet.store.write("op/config", &configuration(4, fleet.origin_address, &["key-1"]));
    write_past_revision(&fleet.store, before);
    fleet.entry.resume();
    let took = fleet
        .wait_until("key-2 is refused", async || {
            fleet.call("h1", "/notices/x", "key-2").await.status == StatusCode::UNAUTHORIZED
        })
        .await;
    assert!(took < Duration::from_secs(2), "{took:?}");
}

/// The restored store had given the number of the entry's lease to another process, and the entry
/// kept renewing that lease.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_registers_again_after_the_store_was_restored() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    let key = "mustardrill/entry/entry-1";
    fleet.wait_until("the entry is registered", async || fleet.store.value(key).is_some()).await;
    let mut snapshot = fleet.store.snapshot();
    snapshot.remove(key);
    fleet.store.restore_from(&snapshot);
    let took = fleet
        .wait_until("the entry registers again", async || fleet.store.value(key).is_some())
        .await;
    assert!(took < Duration::from_millis(2_500), "{took:?}");
}

/// The entry read the older configuration, which still has the key, and took it for the newest one.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_after_the_store_was_restored_refuses_a_revoked_key() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    let key = "mustardrill/entry/entry-1";
    fleet.wait_until("the entry is registered", async || fleet.store.value(key).is_some()).await;
    let snapshot = fleet.store.snapshot();
    let newer = configuration(4, fleet.origin_address, &["key-1"]);
    fleet.store.write("op/config", &newer);
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet.store.restore_from(&snapshot);
    let store = fleet.stand_ins[0].address;
    let settings = entry_settings("entry-2", fleet.network.machine_ip(4), store);
    let new_entry = daemon(&fleet.folder, "mustardrill-entry", "entry-2", &settings);
    let call = async |number: usize, key: &str| {
        let call = caller_request(new_entry.address, &format!("j{number}"), "/notices/x", key);
        fleet.client.call(call, Duration::from_secs(7), 1_000_000).await.unwrap().status
    };
    for number in 0..5 {
        assert_ne!(call(number, "key-2").await, StatusCode::OK, "call {number}");
    }
    fleet.store.write("op/config", &newer);
    fleet.wait_until("key-1 is served", async || call(9, "key-1").await == StatusCode::OK).await;
    assert_eq!(call(10, "key-2").await, StatusCode::UNAUTHORIZED);
}

/// Both plain workers were missing in the copy, and an engine that told what it serves delayed the
/// next read by half a second: requests were refused although a worker had registered again.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_delays_the_return_of_a_service_that_the_copy_lacks() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    let desks = ["servers/i-desk-1", "servers/i-desk-2"];
    let mut copy = fleet.store.snapshot();
    for desk in desks {
        copy.remove(desk);
        fleet.store.remove(desk);
    }
    let is_served = async || fleet.call("q", "/status/x", "key-1").await.status == StatusCode::OK;
    fleet.wait_until("the service has no worker", async || !is_served().await).await;
    fleet.store.restore_from(&copy);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let engine_address = fleet.stand_ins[2].address;
    for round in 0..5 {
        register(&fleet.store, &fleet.engines[0], engine_address, "pool");
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.renew_desk(0);
        let took = fleet.wait_until("the worker is known", is_served).await;
        assert!(took < Duration::from_millis(300), "{round}: {took:?}\n{}", fleet.logs());
        fleet.store.remove(desks[0]);
        fleet.wait_until("the worker is gone", async || !is_served().await).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

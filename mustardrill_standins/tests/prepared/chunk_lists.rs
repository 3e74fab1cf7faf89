//! An origin whose chunk lists are not always right.

use std::time::Duration;

use serde_json::json;

use crate::fleet::Fleet;
use crate::worker::Worker;

/// How long engines may take to load announced weights, with chunks that are fetched again.
const LOAD_LIMIT: Duration = Duration::from_secs(10);

/// Announces version 2 while the next `count` chunk lists have a wrong digit each.
async fn load_by_spoilt_lists(count: u32) {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    fleet.origin.spoil_lists(count);
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    let is_loaded = async || fleet.engines.iter().all(|engine| engine.version() == 2);
    let took = fleet.wait_until("all engines hold version 2", is_loaded).await;
    assert!(took < LOAD_LIMIT, "{took:?}\n{}", fleet.logs());
}

/// The first list was kept for good, and its chunk never passed the check.
#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_digest_keeps_the_weights_from_all_engines() {
    load_by_spoilt_lists(1).await;
}

/// No list agreed with the one before it.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_digests_in_several_lists_keep_the_weights_from_all_engines() {
    load_by_spoilt_lists(4).await;
}

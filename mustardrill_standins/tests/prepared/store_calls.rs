//! Calls to a store whose answers bring nothing.

use std::time::Duration;

use serde_json::json;

use crate::fleet::Fleet;
use crate::store::WatchMode;
use crate::worker::Worker;

const SPAN: Duration = Duration::from_secs(4);

/// How often a process may call the store each second: so often it reads while a service has lost
/// its upstreams. A hundred processes do not exceed the 2,000 reads that the store allows.
const CALLS_PER_SECOND: u32 = 20;

/// Counts the calls of an entry and three agents, for [`SPAN`], to a store that answers watches in
/// this manner.
async fn assert_calls_are_spaced(mode: WatchMode, is_rewritten: bool) {
    let engines: Vec<_> = ["i-1", "i-2", "i-3"].map(|id| Worker::new(id, 1)).into();
    let fleet = Fleet::start(engines).await;
    let processes = 1 + fleet.agents.len() as u32;
    // The agents know the configuration by then.
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.store.set_watch_mode(mode);
    let before = fleet.store.calls();
    let foreign_writes = async {
        loop {
            if is_rewritten {
                fleet.store.write("servers/a note", &json!({}));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let _ = tokio::time::timeout(SPAN, foreign_writes).await;
    let calls = fleet.store.calls() - before;
    println!("{mode:?}: {calls} calls of {processes} processes in {SPAN:?}");
    assert!(
        calls <= processes * CALLS_PER_SECOND * SPAN.as_secs() as u32,
        "{mode:?}: {calls} calls"
    );
    fleet.store.set_watch_mode(WatchMode::Waiting);
    let answer = fleet.call("calm", "/notices/x", "key-1").await;
    assert!(answer.status.is_success(), "{}", answer.status);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_answers_watches_at_once_is_called_without_pause() {
    assert_calls_are_spaced(WatchMode::Hasty, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_keeps_no_history_is_called_without_pause() {
    assert_calls_are_spaced(WatchMode::Forgetful, false).await;
}

/// Each change of any item answers the watch of an entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_whose_foreign_items_change_is_called_without_pause() {
    assert_calls_are_spaced(WatchMode::Waiting, true).await;
}

//! Checks the engine stand-in: it answers requests in order of priority.

use std::sync::Arc;
use std::time::Duration;

use mustardrill_runtime::http::{HttpClient, request};
use mustardrill_standins::StandIn;
use mustardrill_standins::engine::{EngineHandler, EngineOptions, EngineState};
use mustardrill_standins::origin::{OriginHandler, OriginStore};

const LONG: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_higher_priority_is_answered_first() {
    let local = ([127, 0, 0, 1], 0).into();
    let store = Arc::new(OriginStore::new(0));
    let manifest = store.publish("drafts", "v1", 4_096, 1_024, 1);
    let origin = StandIn::spawn(local, Box::new(OriginHandler { store })).await.unwrap();
    // Each answer takes twenty pieces of 20 ms, one request at a time: on any machine the first
    // ones are far from complete when the last one arrives.
    let piece_time = Duration::from_millis(20);
    let options = EngineOptions { capacity: 1, pieces: 20, piece_time, ..EngineOptions::default() };
    let state = Arc::new(EngineState::new(options));
    let engine = StandIn::spawn(local, Box::new(EngineHandler { state })).await.unwrap();
    let client = HttpClient::open(LONG);
    let source = format!("http://{}/v1/weights/drafts/v1/bytes", origin.address);
    let order = serde_json::json!({
        "model": "drafts", "version": "v1", "digest": manifest.digest().to_string(),
        "fence": 1, "size": 4_096, "chunk_size": 1_024, "source": source,
    });
    let path = format!("http://{}/v1/load", engine.address);
    let loaded = client.call(request("POST", &path, order.to_string()), LONG, 1_000).await;
    assert!(loaded.as_ref().is_ok_and(|it| it.status.is_success()), "{loaded:?}");

    let (sender, mut finished) = tokio::sync::mpsc::unbounded_channel();
    for priority in [2, 2, 2, 0] {
        let (client, sender) = (client.clone(), sender.clone());
        let mut sent = request("POST", &format!("http://{}/x", engine.address), "a prompt");
        sent.headers_mut().insert("x-priority", priority.into());
        tokio::spawn(async move {
            client.call(sent, LONG, 1_000_000).await.unwrap();
            sender.send(priority).unwrap();
        });
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    assert_eq!(finished.recv().await, Some(0), "the request of priority 0 must be answered first");
}

//! Answers that come with neither a length nor chunks and end with their connection, from upstreams
//! that live on and from upstreams that crash.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::fleet::{Fleet, complete_stream};

/// What a raw upstream answers, and whether it crashes at the end of its answer.
#[derive(Debug, Clone)]
pub struct RawAnswer {
    content_type: &'static str,
    body: String,
    crashes: bool,
}

/// An upstream that writes its answers byte by byte, without a length.
pub struct RawUpstream {
    calls: Arc<AtomicUsize>,
    /// Whether it still listens.
    is_up: watch::Receiver<bool>,
}

impl RawUpstream {
    /// Starts it and registers it at the fleet's store under `id` for `service`.
    pub async fn start(fleet: &Fleet, id: &'static str, answer: RawAnswer) -> Self {
        let service = if answer.content_type == "text/event-stream" { "pool" } else { "desk" };
        let listener = TcpListener::bind((fleet.network.machine_ip(90), 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        register_raw(fleet, id, service, address);
        let calls = Arc::new(AtomicUsize::new(0));
        let (up_sender, is_up) = watch::channel(true);
        let counter = calls.clone();
        tokio::spawn(async move {
            let mut listener = Some(listener);
            while let Some(open) = &listener {
                let Ok((mut stream, _)) = open.accept().await else { return };
                let Some(head) = read_head(&mut stream).await else { continue };
                counter.fetch_add(1, Ordering::SeqCst);
                let attempt = head.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
                let text = format!(
                    "HTTP/1.1 200 OK\r\nx-attempt-id: {}\r\nx-server-signature: s-{id}\r\n\
                     x-weight-versions: 1\r\ncontent-type: {}\r\n\r\n{}",
                    attempt.unwrap_or_default(),
                    answer.content_type,
                    answer.body
                );
                let _ = stream.write_all(text.as_bytes()).await;
                tokio::time::sleep(Duration::from_millis(30)).await;
                if answer.crashes {
                    listener = None;
                    let _ = up_sender.send(false);
                }
                let _ = stream.shutdown().await;
            }
        });
        Self { calls, is_up }
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

/// Registers an upstream without a [`Worker`](crate::worker::Worker) behind it; an engine serves
/// version 1.
pub fn register_raw(fleet: &Fleet, id: &str, service: &str, address: SocketAddr) {
    let models = json!([{"name": "m0", "version": 1, "adapters": []}]);
    let entry = json!({"service": service, "address": address, "zone": "hall-a",
        "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0,
        "models": if service == "pool" { models } else { json!([]) }, "sequence": 1,
        "born": 1_700_000_000_000_u64});
    fleet.store.write(&format!("servers/{id}"), &entry);
}

pub async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// A fleet whose plain workers have left.
pub async fn fleet_without_desks() -> Fleet {
    let fleet = Fleet::start(Vec::new()).await;
    for desk in &fleet.desks {
        fleet.store.remove(&format!("servers/{}", desk.id));
    }
    // The entry reads the removals and the new registration.
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet
}

fn plain(body: &str, crashes: bool) -> RawAnswer {
    RawAnswer { content_type: "text/plain", body: body.into(), crashes }
}

pub fn events(body: &str, crashes: bool) -> RawAnswer {
    RawAnswer { content_type: "text/event-stream", body: body.into(), crashes }
}

pub async fn wait_for_registration() {
    tokio::time::sleep(Duration::from_millis(300)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_its_connection_is_delivered() {
    let fleet = fleet_without_desks().await;
    let upstream = RawUpstream::start(&fleet, "i-raw", plain("all of it", false)).await;
    wait_for_registration().await;
    let answer = fleet.call("whole", "/status/x", "key-1").await;
    assert_eq!((answer.status, &*answer.body), (StatusCode::OK, b"all of it" as &[u8]));
    assert_eq!(upstream.calls(), 1);
    assert!(*upstream.is_up.borrow());
}

/// The upstream crashed in the middle of an answer without a length. Its end was taken for the end
/// of the answer, and the caller got the first half as a success.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_cut_by_a_crash_is_delivered_as_complete() {
    let fleet = fleet_without_desks().await;
    let upstream = RawUpstream::start(&fleet, "i-raw", plain("half of", true)).await;
    wait_for_registration().await;
    let answer = fleet.call("cut", "/status/x", "key-1").await;
    assert_ne!(answer.status, StatusCode::OK, "{:?}\n{}", answer.body, fleet.logs());
    assert!(!*upstream.is_up.borrow());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_with_its_connection_is_delivered() {
    let fleet = fleet_without_desks().await;
    RawUpstream::start(&fleet, "i-raw", events(&complete_stream(), false)).await;
    wait_for_registration().await;
    let answer = fleet.call("whole", "/drafts/x", "key-1").await;
    assert_eq!(answer.body, complete_stream(), "{}", fleet.logs());
}

/// The engine crashed after a complete event of a stream without a length. The stream looked
/// complete and was not resumed.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_by_a_crash_after_an_event_is_delivered_as_complete() {
    let fleet = fleet_without_desks().await;
    RawUpstream::start(&fleet, "i-raw", events("id: 1\ndata: piece 1\n\n", true)).await;
    wait_for_registration().await;
    let call = crate::fleet::caller_request(fleet.entry.address, "cut", "/drafts/x", "key-1");
    let answer = fleet.client.call(call, Duration::from_secs(10), 1_000_000).await;
    assert!(answer.is_err(), "the stream ended as complete: {answer:?}\n{}", fleet.logs());
}

/// An event whose lines end with CR LF was never recognised as complete, so that nothing of its
/// stream was delivered.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_cr_lf_line_ends_is_not_delivered() {
    let fleet = fleet_without_desks().await;
    let stream = complete_stream().replace('\n', "\r\n");
    RawUpstream::start(&fleet, "i-raw", events(&stream, false)).await;
    wait_for_registration().await;
    let call = crate::fleet::caller_request(fleet.entry.address, "crlf", "/drafts/x", "key-1");
    let answer = fleet.client.call(call, Duration::from_secs(10), 1_000_000).await;
    let body = answer.map(|answer| answer.body);
    assert_eq!(body.unwrap_or_default(), stream, "{}", fleet.logs());
}

/// Neither framing passes a part of an event on: the rest of the stream may follow from another
/// engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_of_an_event_is_never_delivered() {
    let fleet = fleet_without_desks().await;
    let cut = "id: 1\ndata: piece 1\n\nid: 2\ndata: pie";
    RawUpstream::start(&fleet, "i-raw", events(cut, false)).await;
    wait_for_registration().await;
    let mut stream = TcpStream::connect(fleet.entry.address).await.unwrap();
    let request = "POST /drafts/x HTTP/1.1\r\nhost: drafts.example\r\nx-attempt-id: part\r\n\
                   x-deadline-ms: 6000\r\nx-model: m0\r\nauthorization: Token key-1\r\n\
                   content-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let _ = tokio::time::timeout(Duration::from_secs(10), reading).await.unwrap();
    let text = String::from_utf8_lossy(&received);
    assert!(text.contains("piece 1") && !text.contains("pie\r\n"), "{text}");
    assert!(!text.contains("id: 2") && !text.ends_with("0\r\n\r\n"), "{text}");
}

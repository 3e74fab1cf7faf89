//! Callers that shut down their sending side, or read slowly.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use mustardrill_standins::process::daemon;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::fleet::{Fleet, caller_request, entry_settings};
use crate::framing::{RawUpstream, events, fleet_without_desks, wait_for_registration};
use crate::worker::SilencePlace::BeforeHead;
use crate::worker::{AnswerSilence, Worker};

/// Bytes that a slow caller reads at once, its pause after each, and the pause before the first:
/// longer than any silence that entries count with upstreams.
const SLOW_BLOCK: usize = 256 << 10;
const SLOW_PAUSE: Duration = Duration::from_millis(20);
const FIRST_PAUSE: Duration = Duration::from_millis(1_800);

/// More than the buffers of all sockets on the way hold.
const LARGE_STREAM_BYTES: usize = 24 << 20;

/// Sends a request to a fleet's entry and returns its connection.
async fn send(fleet: &Fleet, attempt: &str, path: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SLOW_BLOCK as u32).unwrap();
    let mut stream = socket.connect(fleet.entry.address).await.unwrap();
    let model = if path.starts_with("/drafts/") { "x-model: m0\r\n" } else { "" };
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: drafts.example\r\nx-attempt-id: {attempt}\r\n{model}\
         x-deadline-ms: 6000\r\nauthorization: Token key-1\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Reads the rest of a connection; empty where it is reset.
async fn read_rest(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let _ = tokio::time::timeout(Duration::from_secs(8), reading).await.expect("an end");
    String::from_utf8_lossy(&received).into_owned()
}

/// A caller that shuts down its sending side counts as gone, as one that closes its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_caller_has_shut_down_its_sending_side_starts_later() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    let arrivals = || fleet.engines.iter().map(|engine| engine.arrivals().len()).sum::<usize>();
    fleet.engines.iter().for_each(|engine| engine.set_start_delay(Duration::from_millis(800)));
    let mut stream = send(&fleet, "gone", "/drafts/x").await;
    fleet.wait_until("the request waits at an engine", async || arrivals() == 1).await;
    stream.shutdown().await.unwrap();
    let received = read_rest(&mut stream).await;
    assert!(!received.contains("200 OK"), "{received}");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!((fleet.runs("gone"), arrivals()), (0, 1), "{}", fleet.logs());
}

/// Nothing is sent to another upstream for a caller that is gone, however long the first is silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_caller_left_in_a_silence_runs_again() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    let silence = AnswerSilence { place: BeforeHead, length: Duration::from_secs(5) };
    for worker in fleet.engines.iter().chain(&fleet.desks) {
        worker.set_silences(&[silence], 2);
    }
    for (attempt, path) in [("left-1", "/drafts/x"), ("left-2", "/notices/x")] {
        let mut stream = send(&fleet, attempt, path).await;
        fleet.wait_until("the request runs", async || fleet.runs(attempt) == 1).await;
        stream.shutdown().await.unwrap();
        let received = read_rest(&mut stream).await;
        assert!(!received.contains("200 OK"), "{received}");
    }
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    assert_eq!((fleet.runs("left-1"), fleet.runs("left-2")), (1, 1), "{}", fleet.logs());
}

/// The entry waits for the caller then, not for the upstream.
#[tokio::test(flavor = "multi_thread")]
async fn the_stream_of_a_caller_that_reads_slowly_is_cut() {
    let fleet = fleet_without_desks().await;
    let event = |id: usize| format!("id: {id}\ndata: {}\n\n", "x".repeat(1_000));
    let sent: String = (1..=LARGE_STREAM_BYTES / 1_000).map(event).collect();
    RawUpstream::start(&fleet, "i-raw", events(&sent, false)).await;
    wait_for_registration().await;
    let mut stream = send(&fleet, "slow", "/drafts/x").await;
    tokio::time::sleep(FIRST_PAUSE).await;
    let (mut received, mut block) = (Vec::new(), vec![0; SLOW_BLOCK]);
    while !received.ends_with(b"\r\n0\r\n\r\n") {
        match stream.read(&mut block).await {
            Ok(count) if count > 0 => received.extend_from_slice(&block[..count]),
            end => panic!("{end:?} after {} bytes\n{}", received.len(), fleet.logs()),
        }
        tokio::time::sleep(SLOW_PAUSE).await;
    }
    let text = String::from_utf8_lossy(&received);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse::<usize>().ok());
    assert!(ids.eq(1..=LARGE_STREAM_BYTES / 1_000), "{} bytes received", received.len());
}

/// An entry kept as many of the largest bodies as callers sent, and was killed for its memory.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_take_more_than_the_memory_of_an_entry() {
    const BODY: Bytes = Bytes::from_static(&[b'x'; 4_194_304]);
    let fleet = Fleet::start(Vec::new()).await;
    let settings =
        entry_settings("entry-2", fleet.network.machine_ip(4), fleet.stand_ins[0].address);
    // Room for one of the bodies.
    let settings = settings.replace("linger", "memory_mb = 32\nlinger");
    let entry = daemon(&fleet.folder, "mustardrill-entry", "entry-2", &settings);
    let call = async |attempt: String, body: Bytes| {
        let mut call = caller_request(entry.address, &attempt, "/notices/x", "key-1");
        *call.body_mut() = Full::new(body);
        let answer = fleet.client.call(call, Duration::from_secs(10), 1_000_000).await;
        answer.unwrap_or_else(|error| panic!("{attempt}: {error}\n{}", fleet.logs())).status
    };
    let is_served = async || call("w".into(), Bytes::new()).await == StatusCode::OK;
    fleet.wait_until("the entry serves", is_served).await;
    let large = (0..8).map(|number| call(format!("large-{number}"), BODY));
    let statuses = futures_util::future::join_all(large).await;
    for (number, status) in statuses.iter().enumerate() {
        let runs = usize::from(*status == StatusCode::OK);
        assert!(runs == 1 || *status == StatusCode::SERVICE_UNAVAILABLE, "{status}");
        assert_eq!(fleet.runs(&format!("large-{number}")), runs, "{status}\n{}", fleet.logs());
    }
    assert!(statuses.contains(&StatusCode::OK), "{statuses:?}\n{}", fleet.logs());
    assert!(statuses.contains(&StatusCode::SERVICE_UNAVAILABLE), "{statuses:?}");
    assert_eq!(call("small".into(), Bytes::from_static(b"x")).await, StatusCode::OK);
    // A request whose body has no stated length waits at its upstream without the room of a large one.
    fleet.desks.iter().for_each(|desk| desk.set_answer_delay(Duration::from_millis(500)));
    let mut unstated = Vec::new();
    for number in 0..4 {
        let mut stream = TcpStream::connect(entry.address).await.unwrap();
        let request = format!(
            "POST /notices/x HTTP/1.1\r\nhost: drafts.example\r\nx-attempt-id: unstated-{number}\r\n\
             x-deadline-ms: 6000\r\nauthorization: Token key-1\r\nconnection: close\r\n\
             transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        unstated.push(stream);
    }
    for stream in &mut unstated {
        let received = read_rest(stream).await;
        assert!(received.contains("200 OK"), "{received}");
    }
    assert_eq!(call("large-again".into(), BODY).await, StatusCode::OK, "{}", fleet.logs());
}

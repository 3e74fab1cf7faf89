//! Upstreams that send bytes without end instead of an answer, beside sound ones and alone.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fleet::{Fleet, caller_request, complete_stream};
use crate::framing::{
    RawUpstream, events, fleet_without_desks, read_head, register_raw, wait_for_registration,
};
use crate::worker::Worker;

/// The deadline that callers state.
const DEADLINE: Duration = Duration::from_secs(6);

/// Most bytes that may be taken of one answer: the longest that is buffered, and what kernels hold.
const MAX_TAKEN: usize = 16 << 20;

const SLOW: Duration = Duration::from_millis(50);
const FAST: Duration = Duration::ZERO;

/// What an upstream sends instead of an answer: an opening, then the same piece without end.
struct EndlessShape {
    name: &'static str,
    /// `NAMED` stands for the head's beginning, which marks it as the request's answer.
    opening: &'static str,
    piece: &'static str,
    pause: Duration,
}

const fn shape(
    name: &'static str,
    opening: &'static str,
    piece: &'static str,
    pause: Duration,
) -> EndlessShape {
    EndlessShape { name, opening, piece, pause }
}

const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";
const CHUNKED: &str = "NAMEDtransfer-encoding: chunked\r\n\r\n";
const TRAILERS: &str = "NAMEDtransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n";
const ZEROS: &str = "00000000000000000000000000000000";
const EVENT: &str = "NAMEDcontent-type: text/event-stream\r\n\r\nid: 1\ndata: ";
const EVENTS: &str = "NAMEDcontent-type: text/event-stream\r\n\r\n";

const HEADS: [EndlessShape; 4] = [
    shape("head-fast", "NAMED", "x-more: and more\r\n", FAST),
    shape("head-slow", "NAMED", "x-more: and more\r\n", SLOW),
    shape("interim-fast", "", INTERIM, FAST),
    shape("interim-slow", "", INTERIM, SLOW),
];
const BODIES: [EndlessShape; 5] = [
    shape("chunk-size-fast", CHUNKED, ZEROS, FAST),
    shape("chunk-size-slow", CHUNKED, "0", SLOW),
    shape("chunk-extension-fast", CHUNKED, "1;more", FAST),
    shape("trailers-fast", TRAILERS, "x-more: and more\r\n", FAST),
    shape("body-fast", "NAMED\r\n", "and more", FAST),
];
const STREAMS: [EndlessShape; 4] = [
    shape("event-fast", EVENT, "and more", FAST),
    shape("event-slow", EVENT, "a", SLOW),
    shape("comments-fast", EVENTS, ": more\n\n", FAST),
    shape("comment-fast", EVENTS, ": and more", FAST),
];

/// An upstream that answers in one shape, and counts its requests and the bytes taken of each.
struct EndlessUpstream {
    calls: Arc<AtomicUsize>,
    most_taken: Arc<AtomicUsize>,
}

impl EndlessUpstream {
    async fn start(fleet: &Fleet, shape: &'static EndlessShape, service: &str) -> Self {
        let listener = TcpListener::bind((fleet.network.machine_ip(91), 0)).await.unwrap();
        register_raw(fleet, "i-endless", service, listener.local_addr().unwrap());
        let (calls, most_taken) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let (call_counter, taken_counter) = (calls.clone(), most_taken.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (calls, most_taken) = (call_counter.clone(), taken_counter.clone());
                tokio::spawn(async move {
                    let taken = answer_without_end(stream, shape, &calls).await;
                    most_taken.fetch_max(taken, Ordering::SeqCst);
                });
            }
        });
        wait_for_registration().await;
        Self { calls, most_taken }
    }
}

/// Answers a request until its connection is closed; returns the bytes sent.
async fn answer_without_end(
    mut stream: TcpStream,
    shape: &EndlessShape,
    calls: &AtomicUsize,
) -> usize {
    let Some(head) = read_head(&mut stream).await else { return 0 };
    calls.fetch_add(1, Ordering::SeqCst);
    let attempt = head.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
    let named = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {}\r\nx-server-signature: s-i-endless\r\n\
         x-weight-versions: 1\r\n",
        attempt.unwrap_or_default(),
    );
    let opening = shape.opening.replace("NAMED", &named);
    let mut taken = 0;
    if stream.write_all(opening.as_bytes()).await.is_err() {
        return taken;
    }
    let is_fast = shape.pause.is_zero();
    let piece = shape.piece.repeat(if is_fast { 100 } else { 1 });
    while stream.write_all(piece.as_bytes()).await.is_ok() {
        taken += piece.len();
        if !is_fast {
            tokio::time::sleep(shape.pause).await;
        }
    }
    taken
}

/// What a caller received, and after which time.
async fn timed_call(fleet: &Fleet, attempt: String, path: &str) -> (String, Duration) {
    let call = caller_request(fleet.entry.address, &attempt, path, "key-1");
    let started_at = Instant::now();
    let received = match fleet.client.call(call, 2 * DEADLINE, 1_000_000).await {
        Ok(answer) => {
            format!("{} {}", answer.status.as_u16(), String::from_utf8_lossy(&answer.body))
        }
        Err(error) => format!("cut: {error}"),
    };
    (received, started_at.elapsed())
}

/// Callers whose requests may run again are served whole by the sound upstream; returns what was
/// otherwise.
async fn faults_beside(shape: &'static EndlessShape, path: &'static str) -> Vec<String> {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    let service = if path == "/drafts/x" { "pool" } else { "desk" };
    let upstream = EndlessUpstream::start(&fleet, shape, service).await;
    let name = shape.name;
    let calls = (0..6).map(|number| timed_call(&fleet, format!("{name}-{number}"), path));
    let (mut faults, mut slowest) = (Vec::new(), Duration::ZERO);
    for (number, (received, after)) in join_all(calls).await.into_iter().enumerate() {
        slowest = slowest.max(after);
        let whole = match service {
            "pool" => complete_stream(),
            _ => format!("done {name}-{number}"),
        };
        if received != format!("200 {whole}") || after >= DEADLINE / 2 {
            faults.push(format!("{name} beside a sound one: {received:?} after {after:?}"));
        }
    }
    let calls = upstream.calls.load(Ordering::SeqCst);
    println!("{name} beside a sound one: slowest of 6 after {slowest:?}, {calls} sent there");
    assert!(calls > 0, "{name}: nobody was sent there");
    faults.extend(taking_fault(&fleet, shape, &upstream).await);
    faults
}

/// A caller whose request must not run again learns by its deadline that it may have run; returns
/// what was otherwise.
async fn faults_alone(shape: &'static EndlessShape) -> Vec<String> {
    let fleet = fleet_without_desks().await;
    let upstream = EndlessUpstream::start(&fleet, shape, "desk").await;
    let (received, after) = timed_call(&fleet, shape.name.to_string(), "/notices/x").await;
    println!("{} alone: {received} after {after:?}", shape.name);
    let mut faults = Vec::new();
    if !received.starts_with("502 {\"code\":3001") || after >= DEADLINE {
        faults.push(format!("{} alone: {received:?} after {after:?}", shape.name));
    }
    assert_eq!(upstream.calls.load(Ordering::SeqCst), 1, "{}", shape.name);
    faults.extend(taking_fault(&fleet, shape, &upstream).await);
    faults
}

/// What was wrong with shapes of plain answers, beside a sound upstream and alone.
async fn faults_of_plain(shapes: &'static [EndlessShape]) -> Vec<String> {
    let mut faults = Vec::new();
    for shape in shapes {
        faults.extend(faults_beside(shape, "/status/x").await);
        faults.extend(faults_alone(shape).await);
    }
    faults
}

/// What was wrong with the bytes taken, if anything.
async fn taking_fault(
    fleet: &Fleet,
    shape: &EndlessShape,
    upstream: &EndlessUpstream,
) -> Option<String> {
    let is_closed = async || upstream.most_taken.load(Ordering::SeqCst) > 0;
    fleet.wait_until("the connection is closed", is_closed).await;
    let taken = upstream.most_taken.load(Ordering::SeqCst);
    println!("{}: {taken} bytes taken", shape.name);
    (taken >= MAX_TAKEN).then(|| format!("{}: {taken} bytes taken", shape.name))
}

/// Of six callers, one got nothing until its deadline where the head grew slowly or interim answers
/// came in series.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_end_holds_a_caller_until_its_deadline() {
    let faults = faults_of_plain(&HEADS).await;
    assert!(faults.is_empty(), "{faults:#?}");
}

/// The zeros of a chunk size held a caller past its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_holds_a_caller_until_its_deadline() {
    let faults = faults_of_plain(&BODIES).await;
    assert!(faults.is_empty(), "{faults:#?}");
}

/// An event that never ends held a caller past its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_end_holds_a_caller_until_its_deadline() {
    let mut faults = Vec::new();
    for shape in &STREAMS {
        faults.extend(faults_beside(shape, "/drafts/x").await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// What seeded mixes are made of. They never name the request, so that none is its answer.
const TOKENS: [&str; 14] = [
    STATUS_LINE,
    INTERIM,
    "HTTP/1.1 100",
    "x-more: and more\r\n",
    "transfer-encoding: chunked\r\n\r\n",
    "content-type: text/event-stream\r\n\r\n",
    "content-length: 7\r\n",
    "\r\n",
    "\n",
    "0",
    "1;",
    ": more",
    "data: more",
    "\0\u{1}\u{7f}",
];

const STATUS_LINE: &str = "HTTP/1.1 200 OK\r\n";

/// Number of seeds, unless `FRAMING_SEEDS` says otherwise.
const SEEDS: u64 = 6;

/// Any other bytes do no more harm.
#[tokio::test(flavor = "multi_thread")]
async fn a_mix_of_bytes_without_end_holds_a_caller_until_its_deadline() {
    let seeds = std::env::var("FRAMING_SEEDS").ok().and_then(|text| text.parse().ok());
    let mut faults = Vec::new();
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut mix = || -> String {
            let tokens =
                (0..random.random_range(1..8)).map(|_| *TOKENS.choose(&mut random).unwrap());
            tokens.collect()
        };
        let (opening, piece) = (STATUS_LINE.to_string() + &mix(), mix());
        let pause = if random.random_bool(0.5) { FAST } else { SLOW };
        let name = format!("mix-{seed}-{}", pause.as_millis());
        // Leaked, as upstreams serve until the test ends.
        let mixed = shape(name.leak(), opening.leak(), piece.leak(), pause);
        faults.extend(faults_beside(Box::leak(Box::new(mixed)), "/status/x").await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Sound answers have long events, and pauses within them.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_long_events_is_cut() {
    let fleet = fleet_without_desks().await;
    let stream: String =
        (1..=3).map(|id| format!("id: {id}\ndata: {}\n\n", "long ".repeat(40_000))).collect();
    RawUpstream::start(&fleet, "i-raw", events(&stream, false)).await;
    wait_for_registration().await;
    let (received, after) = timed_call(&fleet, "long".into(), "/drafts/x").await;
    assert!(received == format!("200 {stream}"), "{} {after:?}\n{}", received.len(), fleet.logs());
}

/// A caller whose request body had no end held its connection and what it had sent for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_whose_body_has_no_end_is_held_past_its_deadline() {
    let fleet = Fleet::start(Vec::new()).await;
    let bodies = [("content-length: 1000", "a", SLOW), ("transfer-encoding: chunked", "0", SLOW)];
    for (framing, piece, pause) in bodies {
        let mut stream = TcpStream::connect(fleet.entry.address).await.unwrap();
        let head = format!(
            "POST /notices/x HTTP/1.1\r\nhost: drafts.example\r\nx-attempt-id: endless\r\n\
             x-deadline-ms: 1000\r\nauthorization: Token key-1\r\n{framing}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        let (mut reader, mut writer) = stream.split();
        let sending = async {
            while writer.write_all(piece.as_bytes()).await.is_ok() {
                tokio::time::sleep(pause).await;
            }
        };
        let mut status = [0; 12];
        let receiving = tokio::time::timeout(DEADLINE / 2, reader.read_exact(&mut status));
        tokio::select! {
            received = receiving => assert!(received.is_ok(), "{framing}: held\n{}", fleet.logs()),
            () = sending => panic!("{framing}: closed without an answer"),
        }
        assert_eq!(String::from_utf8_lossy(&status), "HTTP/1.1 504", "{framing}");
    }
    assert_eq!(fleet.runs("endless"), 0);
}

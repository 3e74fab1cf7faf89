//! Upstreams whose answers go on almost to every limit and do not end, for many requests at once.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::crowd::{connect, request_slowly};
use crate::exclusive_run;
use crate::prepared::{BOUNDS, CROWDED_BOUNDS, SmallMachines, register_upstream, request};
use crate::process_meter::{ProcessBounds, ProcessMeter};

/// Requests at once, one on each connection.
const REQUESTS: usize = 100;

/// As many as an entry of 64 MB admits connections.
const MANY_REQUESTS: usize = 600;

/// Upstreams with the same answer.
const UPSTREAMS: usize = 4;

/// What an upstream sends instead of an answer: an opening, then `bytes` of the same piece; then
/// nothing, and the connection stays open.
struct UnendedAnswer {
    name: &'static str,
    /// `NAMED` stands for the head's beginning, which marks it as the request's answer.
    opening: &'static str,
    piece: &'static str,
    bytes: usize,
}

const EVENTS: &str = "NAMEDcontent-type: text/event-stream\r\n\r\n";
const CHUNKED: &str = "NAMEDtransfer-encoding: chunked\r\n\r\n";
const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: ATTEMPT\r\n\
                    x-server-signature: s-INSTANCE\r\ntransfer-encoding: chunked\r\n\r\n";

/// Answers to requests for a stream.
const STREAMS: [UnendedAnswer; 3] = [
    UnendedAnswer {
        name: "an event",
        opening: "NAMEDcontent-type: text/event-stream\r\n\r\nid: 1\ndata: ",
        piece: "and more",
        bytes: 500_000,
    },
    UnendedAnswer {
        name: "the id of an event",
        opening: "NAMEDcontent-type: text/event-stream\r\n\r\ndata: 1\nid: ",
        piece: "and more",
        bytes: 500_000,
    },
    UnendedAnswer { name: "a comment", opening: EVENTS, piece: ": and more", bytes: 500_000 },
];

/// Answers to plain requests.
const PLAIN: [UnendedAnswer; 5] = [
    UnendedAnswer { name: "a head", opening: "NAMED", piece: HEADER_LINE, bytes: 60_000 },
    UnendedAnswer {
        name: "a body without a length",
        opening: "NAMED\r\n",
        piece: "and more",
        bytes: 8_000_000,
    },
    UnendedAnswer {
        name: "a body in chunks of one byte",
        opening: CHUNKED,
        piece: "1\r\nx\r\n",
        bytes: 3_000_000,
    },
    UnendedAnswer {
        name: "a refusal in chunks of one byte",
        opening: FULL,
        piece: "1\r\nx\r\n",
        bytes: 500_000,
    },
    UnendedAnswer {
        name: "trailers",
        opening: "NAMEDtransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
        piece: HEADER_LINE,
        bytes: 500_000,
    },
];

/// A long one, as a head has a number of lines at most.
const HEADER_LINE: &str = concat!(
    "x-more: ",
    "and more and more and more and more and more and more and more and more and more and more ",
    "and more and more and more and more and more and more and more and more and more and more ",
    "and more and more and more and more and more and more and more and more and more and more ",
    "and more and more and more and more and more and more and more and more and more and more ",
    "and more and more and more and more and more and more and more and more and more and more ",
    "and more and more and more and more and more and more and more and more and more and more ",
    "and more and more and more and more and more and more and more and more and more and more",
    "\r\n"
);

/// Serves any number of requests at once, with one answer to all.
async fn spawn_upstream(
    machines: &SmallMachines,
    service: &str,
    number: usize,
    answer: &'static UnendedAnswer,
) {
    let listener = TcpListener::bind((machines.fleet.network.machine_ip(91), 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let id = format!("i-unended-{number}");
    let upstream = id.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_unended(stream, upstream.clone(), answer));
        }
    });
    register_upstream(&machines.fleet, &id, service, address).await;
}

/// Answers the first request of a connection, until the connection is closed.
async fn answer_unended(mut stream: TcpStream, id: String, answer: &UnendedAnswer) {
    let mut received = Vec::new();
    while !received.windows(4).any(|end| end == b"\r\n\r\n") {
        if !matches!(stream.read_buf(&mut received).await, Ok(count) if count > 0) {
            return;
        }
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    let attempt = text.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
    let named = "HTTP/1.1 200 OK\r\nx-attempt-id: ATTEMPT\r\nx-server-signature: s-INSTANCE\r\n\
                 x-weight-versions: 1\r\n";
    let opening = answer.opening.replace("NAMED", named);
    let opening = opening.replace("ATTEMPT", attempt.unwrap_or_default()).replace("INSTANCE", &id);
    let body = opening + &answer.piece.repeat(answer.bytes / answer.piece.len());
    if stream.write_all(body.as_bytes()).await.is_ok() {
        let _ = stream.read(&mut [0; 1]).await;
    }
}

/// Sends a crowd of requests to an upstream of each answer, and an ordinary one to a sound one.
async fn press_entry(
    service: &str,
    path: &str,
    ordinary: &str,
    answers: &'static [UnendedAnswer],
    (bounds, requests): (ProcessBounds, usize),
) {
    let _run = exclusive_run().await;
    for answer in answers {
        let mut machines = SmallMachines::start(bounds).await;
        let sound = if service == "pool" { &machines.fleet.engines } else { &machines.fleet.desks };
        for upstream in sound {
            machines.fleet.store.remove(&format!("servers/{}", upstream.id));
        }
        for number in 0..UPSTREAMS {
            spawn_upstream(&machines, service, number, answer).await;
        }
        let meter = ProcessMeter::open(&machines.entry);
        let mut clients = connect(machines.entry.address, requests).await;
        let send = |number: usize| request(path, &format!("unended-{number}")).into_bytes();
        let crowd = request_slowly(&mut clients, send);
        tokio::join!(crowd, machines.wait_until_served(ordinary));
        machines.wait_until_served(ordinary).await;
        machines.check(answer.name, &meter);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_without_end_take_more_than_the_memory_of_an_entry() {
    press_entry("pool", "/drafts/x", "/notices/x", &STREAMS, (BOUNDS, REQUESTS)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_answers_without_end_take_more_than_the_memory_of_an_entry() {
    press_entry("desk", "/status/x", "/drafts/x", &PLAIN, (BOUNDS, REQUESTS)).await;
}

/// What is received of a head is bounded for each answer only.
#[tokio::test(flavor = "multi_thread")]
async fn many_long_heads_take_more_than_the_memory_of_an_entry() {
    press_entry("desk", "/status/x", "/drafts/x", &PLAIN[..1], (CROWDED_BOUNDS, MANY_REQUESTS))
        .await;
}

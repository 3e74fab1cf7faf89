//! Upstreams that close their connection in the middle of an answer: at every byte of its head, and
//! shortly before its end.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use mustardrill_types::FastSet;
use rustix::net::sockopt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fleet::{Fleet, caller_request, complete_stream};
use crate::framing::{fleet_without_desks, read_head, register_raw, wait_for_registration};

/// How an answer marks its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyFraming {
    Length,
    Chunks,
    /// The body ends with the connection.
    Close,
}

/// How an upstream closes the connection of an answer that it cuts.
#[derive(Debug, Clone, Copy)]
enum CloseKind {
    Finish,
    Reset,
}

/// An upstream that writes its answers byte by byte, and only the first part of some.
struct CuttingUpstream {
    /// The attempts whose answer was cut.
    cut: Arc<Mutex<FastSet<String>>>,
}

/// The lengths at which an answer is not complete: all within its head, and the last ones of its
/// body unless the close of the connection is its end.
fn incomplete_lengths(service: &str, framing: BodyFraming, close: CloseKind) -> Vec<usize> {
    const LAST_BYTES: usize = 12;
    let (answer, head_length) = answer(service, "cut-100", framing);
    let mut lengths: Vec<_> = (0..head_length).collect();
    match (framing, close) {
        (BodyFraming::Close, CloseKind::Finish) => {}
        (BodyFraming::Close, CloseKind::Reset) => lengths.push(answer.len()),
        _ => lengths.extend(answer.len() - LAST_BYTES..answer.len()),
    }
    lengths
}

/// The whole answer to an attempt, and the length of its head.
fn answer(service: &str, attempt: &str, framing: BodyFraming) -> (Vec<u8>, usize) {
    let body = if service == "pool" { complete_stream() } else { "the whole answer".into() };
    let kind = if service == "pool" { "text/event-stream" } else { "text/plain" };
    let (end, body) = match framing {
        BodyFraming::Length => (format!("content-length: {}\r\n", body.len()), body),
        BodyFraming::Chunks => (
            "transfer-encoding: chunked\r\n".into(),
            format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        ),
        BodyFraming::Close => (String::new(), body),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-server-signature: s-i-cut\r\nx-attempt-id: {attempt}\r\n\
         x-weight-versions: 1\r\ncontent-type: {kind}\r\n{end}\r\n"
    );
    let head_length = head.len();
    ((head + &body).into_bytes(), head_length)
}

impl CuttingUpstream {
    /// Starts it and registers it at the fleet's store for `service`. It cuts the answer to an
    /// attempt `cut-N` after N bytes, and writes all others whole.
    async fn start(
        fleet: &Fleet,
        service: &'static str,
        framing: BodyFraming,
        close: CloseKind,
    ) -> Self {
        let listener = TcpListener::bind((fleet.network.machine_ip(93), 0)).await.unwrap();
        register_raw(fleet, "i-cut", service, listener.local_addr().unwrap());
        let cut = Arc::<Mutex<FastSet<String>>>::default();
        let all_cut = cut.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_all(stream, service, framing, close, all_cut.clone()));
            }
        });
        Self { cut }
    }

    fn has_cut(&self, attempt: &str) -> bool {
        self.cut.lock().unwrap().contains(attempt)
    }
}

/// Answers the requests of one connection until it cuts an answer.
async fn answer_all(
    mut stream: TcpStream,
    service: &'static str,
    framing: BodyFraming,
    close: CloseKind,
    cut: Arc<Mutex<FastSet<String>>>,
) {
    while let Some(head) = read_head(&mut stream).await {
        let attempt = head.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
        let attempt = attempt.unwrap_or_default();
        let (bytes, _) = answer(service, attempt, framing);
        let cut_at = attempt.strip_prefix("cut-").map(|number| number.parse::<usize>().unwrap());
        let _ = stream.write_all(&bytes[..cut_at.unwrap_or(bytes.len())]).await;
        if cut_at.is_some() {
            cut.lock().unwrap().insert(attempt.to_owned());
            // What was written arrives before the connection ends.
            tokio::time::sleep(Duration::from_millis(5)).await;
            match close {
                CloseKind::Finish => finish(&mut stream).await,
                CloseKind::Reset => {
                    sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap()
                }
            }
            return;
        }
        if framing == BodyFraming::Close {
            return finish(&mut stream).await;
        }
    }
}

/// Ends the sending side and waits for the peer to end its own.
async fn finish(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let mut rest = Vec::new();
    let reading = stream.read_to_end(&mut rest);
    let _ = tokio::time::timeout(Duration::from_secs(1), reading).await;
}

/// Calls once for each incomplete length; the caller must never get a success. Between the cuts the
/// upstream answers whole, so that it counts as sound.
async fn cut_at_each_length(
    service: &'static str,
    path: &str,
    framing: BodyFraming,
    close: CloseKind,
) {
    let fleet = fleet_without_desks().await;
    let upstream = CuttingUpstream::start(&fleet, service, framing, close).await;
    wait_for_registration().await;
    let lengths = incomplete_lengths(service, framing, close);
    for length in &lengths {
        fleet.call(&format!("whole-{length}"), path, "key-1").await;
        let attempt = format!("cut-{length}");
        let call = caller_request(fleet.entry.address, &attempt, path, "key-1");
        let answer = fleet.client.call(call, Duration::from_secs(10), 1_000_000).await;
        let is_success = answer.as_ref().is_ok_and(|answer| answer.status.is_success());
        assert!(!is_success, "{framing:?} {close:?} {length}: {answer:?}\n{}", fleet.logs());
    }
    // A refusal that was not sent on to the upstream shows nothing.
    let cut = lengths.iter().filter(|length| upstream.has_cut(&format!("cut-{length}"))).count();
    assert!(cut * 10 >= lengths.len() * 9, "{cut} of {}\n{}", lengths.len(), fleet.logs());
}

const FRAMINGS: [BodyFraming; 3] = [BodyFraming::Length, BodyFraming::Chunks, BodyFraming::Close];

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_early_is_delivered_as_a_success() {
    for framing in FRAMINGS {
        cut_at_each_length("desk", "/status/x", framing, CloseKind::Finish).await;
        cut_at_each_length("desk", "/notices/x", framing, CloseKind::Reset).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_early_is_delivered_as_a_success() {
    for framing in FRAMINGS {
        cut_at_each_length("pool", "/drafts/x", framing, CloseKind::Finish).await;
    }
}

//! Answers whose status is not that of a final answer (RFC 9110: 200 to 599), beside sound upstreams
//! and alone, and what stands beside final ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fleet::{Fleet, complete_stream};
use crate::framing::{fleet_without_desks, read_head, register_raw, wait_for_registration};
use crate::worker::Worker;

/// The deadline that callers state.
const DEADLINE: Duration = Duration::from_secs(6);

/// What only the upstream under test sends.
const RAW_BODY: &str = "raw bytes";

/// The statuses of no final answer.
const ODD_STATUSES: [&str; 15] = [
    "000", "001", "099", "100", "101", "102", "199", "600", "700", "999", "20", "2000", "-20",
    "OK", "2x0",
];

const PATHS: [&str; 3] = ["/status/x", "/notices/x", "/drafts/x"];

/// An upstream that writes the same bytes for each request, and keeps its connections.
struct ScriptedUpstream {
    calls: Arc<AtomicUsize>,
}

impl ScriptedUpstream {
    /// Starts it for the service of `path`. `HEADERS` in the script stands for those that mark an
    /// answer as the request's.
    async fn start(fleet: &Fleet, path: &str, script: impl Into<Box<str>>) -> Self {
        let listener = TcpListener::bind((fleet.network.machine_ip(92), 0)).await.unwrap();
        let service = if path == "/drafts/x" { "pool" } else { "desk" };
        register_raw(fleet, "i-odd", service, listener.local_addr().unwrap());
        let (calls, script) = (Arc::<AtomicUsize>::default(), Arc::<str>::from(script.into()));
        let counter = calls.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (calls, script) = (counter.clone(), script.clone());
                tokio::spawn(async move {
                    while let Some(head) = read_head(&mut stream).await {
                        calls.fetch_add(1, Ordering::SeqCst);
                        let attempt =
                            head.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
                        let headers = format!(
                            "x-attempt-id: {}\r\nx-server-signature: s-i-odd\r\n\
                             x-weight-versions: 1\r\n",
                            attempt.unwrap_or_default()
                        );
                        let text = script.replace("HEADERS", &headers);
                        if stream.write_all(text.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        wait_for_registration().await;
        Self { calls }
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

/// An answer with `status`, complete in every other respect.
fn odd_answer(status: &str, path: &str) -> String {
    let content_type = if path == "/drafts/x" { "text/event-stream" } else { "text/plain" };
    let body = if path == "/drafts/x" {
        format!("id: 1\ndata: {RAW_BODY}\n\n")
    } else {
        RAW_BODY.to_string()
    };
    format!(
        "HTTP/1.1 {status} Odd\r\nHEADERScontent-type: {content_type}\r\ncontent-length: {}\r\n\r\n\
         {body}",
        body.len()
    )
}

fn caller_text(attempt: &str, path: &str, connection: &str) -> String {
    let method = if path == "/status/x" { "GET" } else { "POST" };
    let model = if path == "/drafts/x" { "x-model: m0\r\nx-token-usage: 300,36\r\n" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: drafts.example\r\nx-attempt-id: {attempt}\r\n\
         x-deadline-ms: {}\r\n{model}authorization: Token key-1\r\nconnection: {connection}\r\ncontent-length: 0\r\n\r\n",
        DEADLINE.as_millis()
    )
}

/// All bytes that a caller receives for one request on a connection of its own.
async fn received(fleet: &Fleet, attempt: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(fleet.entry.address).await.unwrap();
    stream.write_all(caller_text(attempt, path, "close").as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let reading = tokio::time::timeout(2 * DEADLINE, stream.read_to_end(&mut bytes)).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if reading.is_ok() { text } else { format!("still open after {:?}: {text}", 2 * DEADLINE) }
}

/// Whether a caller was told that its request may have run, and nothing of the upstream's answer.
fn is_unknown_outcome(received: &str) -> bool {
    received.starts_with("HTTP/1.1 502 ")
        && received.contains("{\"code\":3001,")
        && !received.contains(RAW_BODY)
        && !received.contains("s-i-odd")
}

/// What callers of an upstream that stands alone got instead of 502.
async fn faults_alone(script: impl Fn(&str) -> String, name: &str) -> Vec<String> {
    let mut faults = Vec::new();
    for path in PATHS {
        let fleet = fleet_without_desks().await;
        let upstream = ScriptedUpstream::start(&fleet, path, script(path)).await;
        let received = received(&fleet, "alone", path).await;
        if !is_unknown_outcome(&received) {
            faults.push(format!("{name} alone on {path}: {received:?}"));
        }
        assert!(upstream.calls() > 0, "{name} {path}: nobody was sent there\n{}", fleet.logs());
        if path == "/notices/x" {
            assert_eq!(upstream.calls(), 1, "{name}: sent twice");
        }
    }
    faults
}

/// What callers got instead of the sound upstream's answer, where their requests may run again, or
/// instead of 502, where they may not.
async fn faults_beside(script: impl Fn(&str) -> String, name: &str) -> Vec<String> {
    let mut faults = Vec::new();
    for path in PATHS {
        let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
        let upstream = ScriptedUpstream::start(&fleet, path, script(path)).await;
        for number in 0..6 {
            let (attempt, before) = (format!("beside-{number}"), upstream.calls());
            let received = received(&fleet, &attempt, path).await;
            let is_sound = match path {
                "/drafts/x" => {
                    let events = complete_stream();
                    received.starts_with("HTTP/1.1 200 ")
                        && !received.contains(RAW_BODY)
                        && events.lines().all(|line| received.contains(line))
                }
                _ => {
                    received.starts_with("HTTP/1.1 200 ")
                        && received.ends_with(&format!("done {attempt}"))
                }
            };
            let may_be_lost = path == "/notices/x" && upstream.calls() > before;
            if !(is_sound || may_be_lost && is_unknown_outcome(&received)) {
                faults.push(format!("{name} beside sound ones on {path}: {received:?}"));
            }
            assert!(fleet.runs(&attempt) <= 1, "{name} {path}: ran twice");
        }
        assert!(upstream.calls() > 0, "{name} {path}: nobody was sent there");
    }
    faults
}

/// A status that no final answer has was passed on as an answer; 101 changed the caller's connection
/// to no protocol.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_of_no_final_answer_is_passed_on() {
    let mut faults = Vec::new();
    for status in ODD_STATUSES {
        faults.extend(faults_alone(|path| odd_answer(status, path), status).await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// The caller got the odd answer although another upstream would have served it.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_of_no_final_answer_is_passed_on_beside_sound_upstreams() {
    let mut faults = Vec::new();
    for status in ["000", "101", "199", "600", "999"] {
        faults.extend(faults_beside(|path| odd_answer(status, path), status).await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Reads one answer from a connection that stays open, by its own framing.
async fn read_answer(stream: &mut TcpStream) -> Option<String> {
    let head = read_head(stream).await?;
    let status = head.split(' ').nth(1)?.to_owned();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut text = head.clone();
    if status.starts_with('1') || ["204", "304"].contains(&&*status) {
        return Some(text);
    }
    let mut byte = [0; 1];
    if let Some(length) = length {
        for _ in 0..length.parse::<usize>().ok()? {
            stream.read_exact(&mut byte).await.ok()?;
            text.push(char::from(byte[0]));
        }
        return Some(text);
    }
    while !text.ends_with("\r\n0\r\n\r\n") {
        stream.read_exact(&mut byte).await.ok()?;
        text.push(char::from(byte[0]));
    }
    Some(text)
}

/// The answers to two requests on one connection of a caller.
async fn two_answers(fleet: &Fleet, path: &str) -> [Option<String>; 2] {
    let mut stream = TcpStream::connect(fleet.entry.address).await.unwrap();
    let mut answers = [None, None];
    for (number, answer) in answers.iter_mut().enumerate() {
        let call = caller_text(&format!("kept-{number}"), path, "keep-alive");
        if stream.write_all(call.as_bytes()).await.is_err() {
            break;
        }
        let reading = tokio::time::timeout(2 * DEADLINE, read_answer(&mut stream)).await;
        *answer = reading.ok().flatten();
    }
    answers
}

/// The connection of a caller became a tunnel to nowhere once its upstream had answered with 101.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_protocol_takes_the_callers_connection_with_it() {
    for path in PATHS {
        let fleet = fleet_without_desks().await;
        let script = format!(
            "HTTP/1.1 101 Switching Protocols\r\nHEADERSconnection: upgrade\r\nupgrade: odd\r\n\r\n\
             {}{RAW_BODY}",
            odd_answer("200", path)
        );
        let upstream = ScriptedUpstream::start(&fleet, path, script).await;
        for answer in two_answers(&fleet, path).await {
            let text = answer.unwrap_or_default();
            assert!(is_unknown_outcome(&text), "{path}: {text:?}\n{}", fleet.logs());
        }
        assert!(upstream.calls() > 0, "{path}");
    }
}

/// Interim answers end before the callers of an upstream see them.
#[tokio::test(flavor = "multi_thread")]
async fn an_interim_answer_is_passed_on() {
    for path in PATHS {
        let fleet = fleet_without_desks().await;
        let script = format!(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nx-hint: 1\r\n\r\n{}",
            odd_answer("200", path)
        );
        ScriptedUpstream::start(&fleet, path, script).await;
        for answer in two_answers(&fleet, path).await {
            let text = answer.unwrap_or_default();
            assert!(text.starts_with("HTTP/1.1 200 "), "{path}: {text:?}\n{}", fleet.logs());
            assert!(text.contains(RAW_BODY) && text.contains("s-i-odd"), "{path}: {text:?}");
            assert!(!text.contains("x-hint"), "{path}: {text:?}");
        }
    }
}

/// What follows the head of an answer that has no body belongs to no request.
#[tokio::test(flavor = "multi_thread")]
async fn the_body_of_an_answer_without_one_is_passed_on() {
    for status in ["204", "304"] {
        for path in PATHS {
            let fleet = fleet_without_desks().await;
            let upstream = ScriptedUpstream::start(&fleet, path, odd_answer(status, path)).await;
            for answer in two_answers(&fleet, path).await {
                let text = answer.unwrap_or_default();
                let is_own = text.starts_with(&format!("HTTP/1.1 {status} "))
                    && text.contains("s-i-odd")
                    && !text.contains(RAW_BODY);
                // The rest may be read in place of the second request's answer.
                assert!(is_own || is_unknown_outcome(&text), "{status} {path}: {text:?}");
            }
            assert!(upstream.calls() > 0, "{status} {path}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_another_protocol_is_passed_on() {
    for line in ["HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "ICY 200 OK", "200 OK"] {
        let script = |path: &str| odd_answer("200", path).replace("HTTP/1.1 200 Odd", line);
        let faults = faults_alone(script, line).await;
        assert!(faults.is_empty(), "{faults:#?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_success_without_its_upstreams_signature_is_passed_on() {
    for status in ["200", "201", "206", "299"] {
        let script =
            |path: &str| odd_answer(status, path).replace("HEADERS", "x-attempt-id: alone\r\n");
        let faults = faults_alone(script, status).await;
        assert!(faults.is_empty(), "{faults:#?}");
    }
}

/// A signature stands beside the status with which its upstream sent it, and no other.
#[tokio::test(flavor = "multi_thread")]
async fn a_signed_failure_is_passed_on_with_another_status() {
    for status in ["205", "299", "300", "400", "404", "409", "499", "500", "502", "504", "599"] {
        for path in PATHS {
            let fleet = fleet_without_desks().await;
            ScriptedUpstream::start(&fleet, path, odd_answer(status, path)).await;
            let text = received(&fleet, "alone", path).await;
            let is_own = text.starts_with(&format!("HTTP/1.1 {status} "))
                && text.contains("s-i-odd")
                && text.contains(RAW_BODY);
            assert!(is_own || !text.contains("s-i-odd"), "{status} {path}: {text:?}");
            let fails = status.starts_with('5');
            assert!(is_own || fails && is_unknown_outcome(&text), "{status} {path}: {text:?}");
        }
    }
}

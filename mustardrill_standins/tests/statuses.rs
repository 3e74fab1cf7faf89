//! Upstreams of the own interface whose answers have the status of no final answer.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{LONG, plain_file};
use mustardrill_standins::lab::{Lab, LabOptions, caller_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What only the upstream under test sends.
const RAW_BODY: &str = "raw bytes";

const ODD_STATUSES: [&str; 10] =
    ["000", "099", "100", "101", "199", "600", "700", "999", "20", "2000"];

/// A lab that serves the plain service only.
async fn plain_lab(plain: usize) -> Lab {
    // Each request earns a retry: an entry that has just started has no part of the reserve.
    let entry_lines = vec![("retries", "percent = 100".to_string())];
    let options = LabOptions { agents: 0, entries: 1, plain, entry_lines, ..LabOptions::default() };
    let lab = Lab::spawn(options).await;
    assert!(lab.wait_for_agents(0, plain, LONG).await, "the entry did not receive all agents");
    let (status, body) = lab.apply_catalogue(0, &plain_file()).await;
    assert_eq!(status, 200, "{body}");
    assert!(lab.wait_until_ready("/v1/services/desk/x", LONG).await, "{}", lab.logs());
    lab
}

/// Puts an upstream in the place of the first plain service, which gives one answer to all requests;
/// returns the count of its requests.
async fn replace_plain(lab: &mut Lab, status: &str) -> Arc<AtomicUsize> {
    lab.plain[0].upstream.kill();
    let listener = TcpListener::bind(lab.plain[0].upstream.address).await.unwrap();
    let text =
        format!("HTTP/1.1 {status} Odd\r\ncontent-length: {}\r\n\r\n{RAW_BODY}", RAW_BODY.len());
    let calls = Arc::<AtomicUsize>::default();
    let counter = calls.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_all(stream, text.clone(), counter.clone()));
        }
    });
    calls
}

/// Answers each request whose body came with its head.
async fn answer_all(mut stream: TcpStream, text: String, calls: Arc<AtomicUsize>) {
    let mut bytes = [0; 16_384];
    while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
        calls.fetch_add(1, Ordering::SeqCst);
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// All bytes that a caller receives for one call.
async fn received(lab: &Lab, body: &str, key: Option<&str>) -> String {
    let call = caller_request(lab.entries[0].address, "/v1/services/desk/file", "");
    let key = key.map(|key| format!("idempotency-key: {key}\r\n")).unwrap_or_default();
    let text = format!(
        "POST /v1/services/desk/file HTTP/1.1\r\nhost: desk\r\nauthorization: {}\r\n\
         mustardrill-timeout-ms: 5000\r\n{key}connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        call.headers()["authorization"].to_str().unwrap(),
        body.len(),
    );
    let mut stream = TcpStream::connect(lab.entries[0].address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    tokio::time::timeout(LONG, stream.read_to_end(&mut bytes)).await.unwrap().unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn is_unknown_outcome(received: &str) -> bool {
    received.starts_with("HTTP/1.1 502 ")
        && received.contains("\"code\":3001")
        && !received.contains(RAW_BODY)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_status_of_no_final_answer_is_passed_on() {
    let mut faults = Vec::new();
    for status in ODD_STATUSES {
        let mut lab = plain_lab(1).await;
        let calls = replace_plain(&mut lab, status).await;
        let received = received(&lab, "a hull", Some("key-1")).await;
        if !is_unknown_outcome(&received) {
            faults.push(format!("{status}: {received:?}"));
        }
        assert_eq!(calls.load(Ordering::SeqCst), 1, "{status}: {received}\n{}", lab.logs());
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// The caller got the odd answer although another upstream would have served it.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_of_no_final_answer_is_passed_on_beside_a_sound_upstream() {
    let mut faults = Vec::new();
    for status in ["000", "101", "199", "600", "999"] {
        let mut lab = plain_lab(2).await;
        let calls = replace_plain(&mut lab, status).await;
        for number in 0..12 {
            let body = format!("hull {number}");
            let received = received(&lab, &body, None).await;
            let is_sound = received.starts_with("HTTP/1.1 200 ")
                && received.contains(&format!("done: {body}\n"));
            if !is_sound {
                faults.push(format!("{status} {number}: {received:?}"));
            }
        }
        assert!(calls.load(Ordering::SeqCst) > 0, "{status}: nobody was sent there");
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

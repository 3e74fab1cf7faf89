//! Answers whose status is none of a final answer.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use mustardrill_runtime::final_status::FinalStatus;
use mustardrill_runtime::http::{CallError, HttpClient, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: usize = 10_000;
const TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn a_status_of_no_final_answer_is_taken_for_one() {
    for number in 0..70_000_u32 {
        let status = FinalStatus::try_from(number);
        assert_eq!(status.is_ok(), (200..=599).contains(&number), "{number}");
        assert!(status.is_err() || status.is_ok_and(|it| u32::from(it.code().as_u16()) == number));
    }
    assert!(FinalStatus::try_from(u32::MAX).is_err());
}

/// Starts a server that answers each request with `text`.
async fn serve(text: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1_024];
            while stream.read(&mut request).await.is_ok_and(|count| count > 0) {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    break;
                }
            }
        }
    });
    address
}

/// The store, origins, engines, peers and agents are all called by these three.
#[tokio::test]
async fn a_call_takes_an_answer_without_a_final_status_for_one() {
    for status in ["000", "099", "100", "101", "199", "600", "700", "999"] {
        let text = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 4\r\n\r\nbody");
        let uri = format!("http://{}/", serve(text).await);
        let client = HttpClient::open(TIMEOUT);
        let call = || request("GET", &uri, Bytes::new());
        assert_matches!(client.stream(call()).await, Err(CallError::NoAnswer { .. }), "{status}");
        let buffered = client.call(call(), TIMEOUT, LIMIT).await;
        assert_matches!(buffered, Err(CallError::NoAnswer { .. }), "{status}");
        let paced = client.call_with_read_timeout(call(), TIMEOUT, LIMIT).await;
        assert_matches!(paced, Err(CallError::NoAnswer { .. }), "{status}");
    }
}

#[tokio::test]
async fn the_final_answer_after_interim_ones_is_taken_for_none() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n";
    for status in [200, 299, 304, 404, 599] {
        let body = if status == 304 { "" } else { "body" };
        let length = body.len();
        let text =
            format!("{interim}HTTP/1.1 {status} Odd\r\ncontent-length: {length}\r\n\r\n{body}");
        let uri = format!("http://{}/", serve(text).await);
        let call = request("GET", &uri, Bytes::new());
        let answer = HttpClient::open(TIMEOUT).call(call, TIMEOUT, LIMIT).await.unwrap();
        assert_eq!((answer.status.as_u16(), &*answer.body), (status, body.as_bytes()));
    }
}

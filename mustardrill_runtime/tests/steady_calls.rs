//! A call with a timeout between reads: a slow answer is read to its end, a stalled one times out.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use mustardrill_runtime::http::{CallError, HttpClient, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Starts a server that answers in ten parts, one per `interval`. With `stalls`, it never sends the last
/// part.
async fn serve(interval: Duration, stalls: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1_000]).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n").await.unwrap();
        for part in 0..10 {
            tokio::time::sleep(interval).await;
            if stalls && part == 9 {
                std::future::pending::<()>().await;
            }
            stream.write_all(&[b'x'; 10]).await.unwrap();
        }
    });
    address
}

#[tokio::test]
async fn a_slow_but_steady_answer_is_read_to_its_end() {
    let address = serve(Duration::from_millis(60), false).await;
    let call = request("GET", &format!("http://{address}/"), Bytes::new());
    let answer = HttpClient::open(READ_TIMEOUT)
        .call_with_read_timeout(call, READ_TIMEOUT, 1_000)
        .await
        .unwrap();
    assert_eq!(answer.body.len(), 100);
}

#[tokio::test]
async fn a_stalled_answer_times_out() {
    let address = serve(Duration::from_millis(10), true).await;
    let call = request("GET", &format!("http://{address}/"), Bytes::new());
    let answer =
        HttpClient::open(READ_TIMEOUT).call_with_read_timeout(call, READ_TIMEOUT, 1_000).await;
    assert_matches!(answer, Err(CallError::Timeout));
}

#[tokio::test]
async fn an_answer_above_the_limit_is_rejected() {
    let address = serve(Duration::from_millis(10), false).await;
    let call = request("GET", &format!("http://{address}/"), Bytes::new());
    let answer =
        HttpClient::open(READ_TIMEOUT).call_with_read_timeout(call, READ_TIMEOUT, 50).await;
    assert_matches!(answer, Err(CallError::BadBody));
}

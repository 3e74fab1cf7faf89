//! A large answer over a slow link is read to its end; one that stands still is given up.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use mustardrill_runtime::http::{CallError, HttpClient, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const PATIENCE: Duration = Duration::from_millis(400);

/// A server that sends ten parts of an answer, one each `pause`, and then falls silent before the
/// last part where it is told to.
async fn serve(pause: Duration, silent: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1_000]).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n").await.unwrap();
        for part in 0..10 {
            tokio::time::sleep(pause).await;
            if silent && part == 9 {
                std::future::pending::<()>().await;
            }
            stream.write_all(&[b'x'; 10]).await.unwrap();
        }
    });
    address
}

#[tokio::test]
async fn what_comes_steadily_is_read_however_long_it_takes() {
    let address = serve(Duration::from_millis(60), false).await;
    let call = request("GET", &format!("http://{address}/"), Bytes::new());
    let answer = HttpClient::open(PATIENCE).call_steadily(call, PATIENCE, 1_000).await.unwrap();
    assert_eq!(answer.body.len(), 100);
}

#[tokio::test]
async fn what_stands_still_is_given_up() {
    let address = serve(Duration::from_millis(10), true).await;
    let call = request("GET", &format!("http://{address}/"), Bytes::new());
    let answer = HttpClient::open(PATIENCE).call_steadily(call, PATIENCE, 1_000).await;
    assert_matches!(answer, Err(CallError::Timeout));
}

#[tokio::test]
async fn what_is_too_large_is_given_up() {
    let address = serve(Duration::from_millis(10), false).await;
    let call = request("GET", &format!("http://{address}/"), Bytes::new());
    let answer = HttpClient::open(PATIENCE).call_steadily(call, PATIENCE, 50).await;
    assert_matches!(answer, Err(CallError::BadBody));
}

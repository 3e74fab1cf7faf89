//! Answers whose connection is closed before they are complete.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use mustardrill_runtime::http::{HttpClient, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: usize = 10_000;
const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that answers each request with `bytes` and closes the connection.
async fn serve(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1_024];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            stream.write_all(&bytes).await.unwrap();
            stream.shutdown().await.unwrap();
            let _ = stream.read(&mut request).await;
        }
    });
    address
}

/// Whether each way of calling takes `bytes` for a complete answer.
async fn taken_as_complete(bytes: &[u8]) -> [bool; 3] {
    let uri = format!("http://{}/", serve(bytes.to_vec()).await);
    let client = HttpClient::open(TIMEOUT);
    let call = || request("GET", &uri, Bytes::new());
    let streamed = match client.stream(call()).await {
        Ok(answer) => answer.into_body().collect().await.is_ok(),
        Err(_) => false,
    };
    let buffered = client.call(call(), TIMEOUT, LIMIT).await.is_ok();
    let paced = client.call_with_read_timeout(call(), TIMEOUT, LIMIT).await.is_ok();
    [streamed, buffered, paced]
}

/// A server that stopped within the head of its answer, or within a body whose end is marked, was
/// taken to have answered.
#[tokio::test]
async fn an_answer_that_ends_early_is_taken_as_complete() {
    let heads = [
        "content-length: 5\r\n\r\nwhole",
        "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    ];
    for head in heads {
        for interim in ["", "HTTP/1.1 103 Early Hints\r\n\r\n"] {
            let answer = format!("{interim}HTTP/1.1 200 OK\r\nx-id: 1\r\n{head}");
            assert_eq!(taken_as_complete(answer.as_bytes()).await, [true; 3], "{answer}");
            for length in 0..answer.len() {
                let cut = &answer.as_bytes()[..length];
                assert_eq!(taken_as_complete(cut).await, [false; 3], "{length} of {answer}");
            }
        }
    }
}

//! The memory that a call takes, measured as that of this whole process.

use std::time::Duration;

use bytes::Bytes;
use mustardrill_runtime::http::{CallError, HttpClient, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The limit of an answer.
const LIMIT: usize = 512 << 10;

/// Most megabytes of one call: its body, as much again while a buffer grows, and the connection.
const CALL_MEMORY_MB: usize = 8;

const TIMEOUT: Duration = Duration::from_secs(120);

fn peak_memory_mb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a live process");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|peak| peak.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.expect("a peak in kB") * 1_024 / 1_000_000
}

/// Each chunk was kept by itself, with the buffer that it was read into.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_chunks_of_one_byte_takes_many_times_its_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                assert!(stream.read(&mut [0; 1_024]).await.unwrap() > 0);
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                stream.write_all(head.as_bytes()).await.unwrap();
                let chunks = "1\r\nx\r\n".repeat(1_000);
                while stream.write_all(chunks.as_bytes()).await.is_ok() {}
            });
        }
    });
    let (client, uri) = (HttpClient::open(TIMEOUT), format!("http://{address}/"));
    let call = || request("GET", &uri, Bytes::new());
    let before_mb = peak_memory_mb();
    let answers = [
        client.call_with_read_timeout(call(), TIMEOUT, LIMIT).await,
        client.call(call(), TIMEOUT, LIMIT).await,
    ];
    let taken_mb = peak_memory_mb() - before_mb;
    println!("{taken_mb} MB taken");
    for answer in answers {
        assert!(matches!(answer, Err(CallError::BadBody)), "{answer:?}");
    }
    assert!(taken_mb <= CALL_MEMORY_MB, "{taken_mb} MB, not within {CALL_MEMORY_MB} MB");
}

//! A crowd of clients on one listener.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// The receive buffer of a client, in bytes: what it does not read stays with the process.
const RECEIVE_BUFFER: u32 = 4_096;

/// How long a client goes on where the process takes no more of what it sends.
const BLOCKED_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause of a client that reads slowly, between two reads.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// What a client sends: an opening, then the same piece until it has sent `bytes` of it.
#[derive(Debug, Clone, Copy)]
pub struct EndlessInput {
    pub name: &'static str,
    pub opening: &'static str,
    pub piece: &'static str,
    pub bytes: usize,
}

/// Heads that are over every limit, and empty lines where a request is due.
pub const ENDLESS_HEADS: [EndlessInput; 4] = [
    EndlessInput {
        name: "header lines",
        opening: "GET /x HTTP/1.1\r\nhost: drafts.example\r\n",
        piece: "x-more: and more\r\n",
        bytes: 400_000,
    },
    EndlessInput {
        name: "one header line",
        opening: "GET /x HTTP/1.1\r\nhost: drafts.example\r\nx-more: ",
        piece: "and more",
        bytes: 400_000,
    },
    EndlessInput { name: "request line", opening: "GET /", piece: "more", bytes: 400_000 },
    EndlessInput { name: "empty lines", opening: "", piece: "\r\n", bytes: 400_000 },
];

/// Opens connections, as many as the process accepts.
pub async fn connect(address: SocketAddr, clients: usize) -> Vec<TcpStream> {
    let connecting = (0..clients).map(|_| async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
        tokio::time::timeout(Duration::from_secs(5), socket.connect(address)).await.ok()?.ok()
    });
    join_all(connecting).await.into_iter().flatten().collect()
}

/// Sends the same endless input on each connection; the connections stay open.
pub async fn send_endless(clients: &mut [TcpStream], input: &EndlessInput) {
    let piece = input.piece.repeat(1 + 4_000 / input.piece.len());
    let sending = clients.iter_mut().map(async |stream| {
        if stream.write_all(input.opening.as_bytes()).await.is_err() {
            return;
        }
        let mut sent = 0;
        while sent < input.bytes {
            let writing = tokio::time::timeout(BLOCKED_TIMEOUT, stream.write_all(piece.as_bytes()));
            if !matches!(writing.await, Ok(Ok(()))) {
                return;
            }
            sent += piece.len();
        }
    });
    join_all(sending).await;
}

/// Leaves the process the time to read what a crowd has sent, which the kernel holds until then.
pub async fn wait_for_reading() {
    tokio::time::sleep(Duration::from_secs(5)).await;
}

/// Sends a request on each connection and reads a little of each answer.
pub async fn request_slowly(clients: &mut [TcpStream], request: impl Fn(usize) -> Vec<u8>) {
    let sending = clients.iter_mut().enumerate().map(async |(number, stream)| {
        let _ =
            tokio::time::timeout(10 * BLOCKED_TIMEOUT, stream.write_all(&request(number))).await;
    });
    join_all(sending).await;
    for _ in 0..4 {
        let reading = clients.iter_mut().map(async |stream| {
            let mut block = [0; 1_000];
            let _ = tokio::time::timeout(READ_PAUSE, stream.read(&mut block)).await;
        });
        join_all(reading).await;
        tokio::time::sleep(READ_PAUSE).await;
    }
}

/// The status with which a request of a client that behaves is answered; `None` where the
/// connection ends without an answer.
pub async fn ordinary_status(address: SocketAddr, request: &str) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        while !answer.contains(&b'\n') {
            if stream.read_buf(&mut answer).await.ok()? == 0 {
                return None;
            }
        }
        String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok()
    };
    tokio::time::timeout(Duration::from_secs(10), exchange).await.ok()?
}

//! Whether the process behind an address has ended, where packets to it get lost.

use std::time::Duration;

use mustardrill_runtime::http::refuses_connections;
use tokio::net::{TcpSocket, TcpStream};

/// The first packet to a machine whose process had ended was lost, and the process was taken to live
/// on.
#[tokio::test]
async fn a_lost_packet_hides_the_end_of_a_process() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let listener = socket.listen(1).unwrap();
    // The kernel drops the packets of further connections while the queue is full.
    let mut queued = Vec::new();
    while let Ok(connected) =
        tokio::time::timeout(Duration::from_millis(50), TcpStream::connect(address)).await
    {
        queued.push(connected.unwrap());
    }
    assert!(!refuses_connections(address, 3).await, "no process has ended yet");
    let ending = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        drop(listener);
    };
    let (is_refused, ()) = tokio::join!(refuses_connections(address, 3), ending);
    assert!(is_refused);
}

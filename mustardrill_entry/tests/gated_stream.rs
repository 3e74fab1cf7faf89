//! Requests with a write deadline while the process is suspended between two steps of their writing.

use std::io::{ErrorKind, Read};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use mustardrill_entry::direct::{GatedStream, SendGate};
use mustardrill_runtime::clock::MonotonicClock;
use mustardrill_types::Moment;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const REQUEST: &[u8] = b"POST /drafts/x HTTP/1.1\r\ncontent-length: 0\r\n\r\n";

/// The write deadline of the request.
const WRITE_BY: Moment = Moment(1_000);

/// How long a test waits for what should come within a second.
const PATIENCE: Duration = Duration::from_secs(10);

/// A clock that jumps past the write deadline after a number of readings, as if the process had been
/// suspended then.
#[derive(Debug)]
struct JumpingClock {
    readings_in_time: usize,
    readings: AtomicUsize,
}

impl MonotonicClock for JumpingClock {
    fn now(&self) -> Moment {
        let reading = self.readings.fetch_add(1, Ordering::SeqCst);
        Moment(if reading < self.readings_in_time { WRITE_BY.0 - 1 } else { WRITE_BY.0 })
    }
}

/// A clock that shows a time before the write deadline, and at its second reading suspends the
/// process until the upstream has received something.
#[derive(Debug)]
struct SuspendingClock {
    readings: AtomicUsize,
    received: Mutex<Receiver<Vec<u8>>>,
    received_while_suspended: Arc<Mutex<Option<Vec<u8>>>>,
}

impl MonotonicClock for SuspendingClock {
    fn now(&self) -> Moment {
        if self.readings.fetch_add(1, Ordering::SeqCst) == 1 {
            let bytes = self.received.lock().unwrap().recv_timeout(PATIENCE);
            *self.received_while_suspended.lock().unwrap() = bytes.ok();
        }
        Moment(WRITE_BY.0 - 1)
    }
}

/// Connects to an upstream, which `receive` stands for.
async fn connect<T: Send + 'static>(
    clock: Box<dyn MonotonicClock>,
    receive: impl FnOnce(std::net::TcpStream) -> T + Send + 'static,
) -> (GatedStream, Arc<SendGate>, JoinHandle<T>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = std::thread::spawn(move || receive(listener.accept().unwrap().0));
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (stream, gate) = GatedStream::new(stream, clock);
    (stream, gate, upstream)
}

/// Everything that arrives until the connection ends.
fn receive_all(mut stream: std::net::TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut bytes = Vec::new();
    if let Err(error) = stream.read_to_end(&mut bytes) {
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
    bytes
}

/// A request left 3.10 s after an announcement, with a bound of 3 s: its entry had been suspended
/// between the reading of the clock and the write.
#[tokio::test]
async fn a_request_whose_entry_was_suspended_between_the_clock_and_the_write_does_not_leave() {
    let clock = JumpingClock { readings_in_time: 1, readings: AtomicUsize::new(0) };
    let (mut stream, gate, upstream) = connect(Box::new(clock), receive_all).await;
    gate.start_request(Some(WRITE_BY));
    let written = stream.write(REQUEST).await;
    drop(stream);
    assert_eq!(String::from_utf8(upstream.join().unwrap()).unwrap(), "");
    assert_eq!(written.unwrap_err().kind(), ErrorKind::TimedOut);
}

/// The last reading of the clock can't be outdated by a suspension either: the request leaves
/// without its entry.
#[tokio::test]
async fn a_request_whose_entry_is_suspended_after_the_write_leaves_meanwhile() {
    let (sender, received) = channel();
    let received_while_suspended = Arc::default();
    let clock = SuspendingClock {
        readings: AtomicUsize::new(0),
        received: Mutex::new(received),
        received_while_suspended: Arc::clone(&received_while_suspended),
    };
    let receive = move |mut stream: std::net::TcpStream| {
        let mut bytes = vec![0; REQUEST.len()];
        stream.read_exact(&mut bytes).unwrap();
        sender.send(bytes).unwrap();
        receive_all(stream)
    };
    let (mut stream, gate, upstream) = connect(Box::new(clock), receive).await;
    gate.start_request(Some(WRITE_BY));
    assert_eq!(stream.write(REQUEST).await.unwrap(), REQUEST.len());
    assert_eq!(received_while_suspended.lock().unwrap().as_deref(), Some(REQUEST));
    drop(stream);
    assert_eq!(upstream.join().unwrap(), b"", "nothing is sent twice");
}

/// Requests without a deadline are not held, and no later write is.
#[tokio::test]
async fn a_request_in_time_leaves_whole_and_so_does_the_next_one() {
    let clock = JumpingClock { readings_in_time: 2, readings: AtomicUsize::new(0) };
    let (mut stream, gate, upstream) = connect(Box::new(clock), receive_all).await;
    gate.start_request(Some(WRITE_BY));
    stream.write_all(REQUEST).await.unwrap();
    gate.start_request(None);
    stream.write_all(REQUEST).await.unwrap();
    drop(stream);
    assert_eq!(upstream.join().unwrap(), REQUEST.repeat(2));
}

/// The kernel may send what it holds before it is discarded. The request was taken for one that can't
/// have run, and its caller was told so.
#[tokio::test]
async fn a_request_that_the_kernel_was_given_counts_as_not_sent() {
    let clock = JumpingClock { readings_in_time: 1, readings: AtomicUsize::new(0) };
    let (mut stream, gate, upstream) = connect(Box::new(clock), receive_all).await;
    gate.start_request(Some(WRITE_BY));
    assert_eq!(stream.write(REQUEST).await.unwrap_err().kind(), ErrorKind::TimedOut);
    assert!(!gate.withdraw_unwritten(), "the kernel was given the request");
    drop(stream);
    upstream.join().unwrap();
}

/// Its clock was read too late before the first write.
#[tokio::test]
async fn a_request_that_the_kernel_was_not_given_is_withdrawn_and_stays_so() {
    let clock = JumpingClock { readings_in_time: 0, readings: AtomicUsize::new(0) };
    let (mut stream, gate, upstream) = connect(Box::new(clock), receive_all).await;
    gate.start_request(Some(WRITE_BY));
    assert_eq!(stream.write(REQUEST).await.unwrap_err().kind(), ErrorKind::TimedOut);
    assert!(gate.withdraw_unwritten());
    gate.start_request(None);
    assert_eq!(stream.write(REQUEST).await.unwrap_err().kind(), ErrorKind::ConnectionAborted);
    drop(stream);
    assert_eq!(upstream.join().unwrap(), b"");
}

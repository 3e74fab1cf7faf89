//! Upstreams that send more answers on a connection than they got requests.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::StatusCode;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::fleet::Fleet;
use crate::framing::{fleet_without_desks, read_head, register_raw, wait_for_registration};

/// Where an upstream sends an answer that belongs to no request.
#[derive(Debug, Clone, Copy)]
enum StrayAnswer {
    /// A refusal without an id, before the answer to the second request of a connection.
    Unnamed { status: &'static str },
    /// The first request of the first connection is refused; a copy of that refusal is sent before
    /// the answer to the next request there.
    Late,
}

/// A plain upstream that runs every request which it does not truthfully refuse.
struct StrayUpstream {
    runs: Arc<Mutex<Vec<String>>>,
}

impl StrayUpstream {
    /// Starts it and registers it at the fleet's store.
    async fn start(fleet: &Fleet, stray: StrayAnswer) -> Self {
        let listener = TcpListener::bind((fleet.network.machine_ip(92), 0)).await.unwrap();
        register_raw(fleet, "i-stray", "desk", listener.local_addr().unwrap());
        let runs = Arc::<Mutex<Vec<String>>>::default();
        let all_runs = runs.clone();
        tokio::spawn(async move {
            for connection in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                tokio::spawn(answer_all(stream, stray, connection, all_runs.clone()));
            }
        });
        Self { runs }
    }

    fn runs(&self, attempt: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|run| *run == attempt).count()
    }
}

/// Answers the requests of one connection.
async fn answer_all(
    mut stream: TcpStream,
    stray: StrayAnswer,
    connection: usize,
    runs: Arc<Mutex<Vec<String>>>,
) {
    let mut refused = None;
    for request in 0.. {
        let Some(head) = read_head(&mut stream).await else { return };
        let attempt = head.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
        let attempt = attempt.unwrap_or_default();
        let refusal = |status: &str, name: &str| {
            format!("HTTP/1.1 {status}\r\n{name}x-not-executed: 1\r\ncontent-length: 0\r\n\r\n")
        };
        let before = match stray {
            StrayAnswer::Unnamed { status } if request == 1 => Some(refusal(status, "")),
            StrayAnswer::Unnamed { .. } => None,
            StrayAnswer::Late if connection == 0 && request == 0 => {
                let name = format!("x-attempt-id: {attempt}\r\n");
                let answer = refusal("503 Service Unavailable", &name);
                let _ = stream.write_all(answer.as_bytes()).await;
                refused = Some(answer);
                continue;
            }
            StrayAnswer::Late => refused.take(),
        };
        if let Some(before) = before {
            let _ = stream.write_all(before.as_bytes()).await;
        }
        runs.lock().unwrap().push(attempt.to_owned());
        tokio::time::sleep(Duration::from_millis(20)).await;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-signature: s-i-stray\r\n\
             content-length: 4\r\n\r\ndone"
        );
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

/// A refusal without an id was believed on a connection that had carried another request.
#[tokio::test(flavor = "multi_thread")]
async fn a_stray_refusal_without_an_id_is_taken_for_the_answer() {
    for status in ["503 Service Unavailable", "421 Misdirected Request"] {
        let fleet = fleet_without_desks().await;
        let upstream = StrayUpstream::start(&fleet, StrayAnswer::Unnamed { status }).await;
        wait_for_registration().await;
        assert_eq!(fleet.call("first", "/notices/x", "key-1").await.status, StatusCode::OK);
        let answer = fleet.call("second", "/notices/x", "key-1").await;
        assert_eq!(upstream.runs("second"), 1, "{status}\n{}", fleet.logs());
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{status}\n{}", fleet.logs());
    }
}

/// The late copy bears the id of the request, which had been sent again on the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_of_a_refusal_is_taken_for_the_answer_to_the_repetition() {
    let fleet = fleet_without_desks().await;
    let upstream = StrayUpstream::start(&fleet, StrayAnswer::Late).await;
    wait_for_registration().await;
    let answer = fleet.call("repeated", "/notices/x", "key-1").await;
    assert_eq!(upstream.runs("repeated"), 1, "{}", fleet.logs());
    assert_eq!(answer.status, StatusCode::OK, "{}", fleet.logs());
}

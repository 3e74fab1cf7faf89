//! A pool of HTTP/1 connections to upstreams, each used for one request at a time.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use mustardrill_runtime::adapters::ConnectionHistory;
use mustardrill_runtime::clock::ProcessClock;
use mustardrill_runtime::final_status::require_final;
use mustardrill_runtime::http::{KEEPALIVE_INTERVAL, KEEPALIVE_PROBES};
use mustardrill_types::{FastMap, InstanceId, Millis, Moment};
use rustix::net::sockopt;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::direct::gated_stream::{GatedStream, SendGate};

/// Timeout for connecting. A round trip takes a few milliseconds; what takes longer is a lost
/// packet, which the kernel retransmits only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Attempts to connect before the upstream counts as unreachable.
const CONNECT_ATTEMPTS: u32 = 2;

/// How long sent bytes and probes may stay unacknowledged before the connection is closed. The
/// kernel of an upstream that is only silent acknowledges them, unless its machine is suspended for
/// some seconds.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 5_000;

/// The longest idle time after which a connection is reused. A shorter `keep-alive` timeout of the
/// upstream takes precedence.
const MAX_IDLE_TIME: Millis = Millis(3_000);

/// How long before the upstream's `keep-alive` timeout a connection is no longer reused.
const KEEP_ALIVE_MARGIN: Millis = Millis(700);

/// How long an idle connection may be reused for a request that may run at most once: if the
/// upstream closes the connection while such a request is under way, its outcome is unknown.
const MAX_IDLE_TIME_RUNS_ONCE: Millis = Millis(500);

/// Identifies a connection of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ConnectionNumber(u64);

/// The connections on which a request has been sent. It is not sent again on any of them: its id
/// would not tell a late copy of the first answer from the second one.
#[derive(Debug, Default)]
pub(crate) struct UsedConnections(Mutex<Vec<ConnectionNumber>>);

impl UsedConnections {
    fn record(&self, number: ConnectionNumber) {
        self.0.lock().expect("no lock holder panics").push(number);
    }

    fn contains(&self, number: ConnectionNumber) -> bool {
        self.0.lock().expect("no lock holder panics").contains(&number)
    }
}

/// An open connection to an upstream, with the gate that bounds its writes in time.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    number: ConnectionNumber,
    sender: http1::SendRequest<Full<Bytes>>,
    gate: Arc<SendGate>,
    /// Drives the connection; dropping it closes the connection.
    _driver: AbortOnDropHandle<()>,
    reused: bool,
}

/// Idle connections by upstream.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    clock: ProcessClock,
    /// The number of the next connection.
    next_number: AtomicU64,
    idle: Mutex<FastMap<InstanceId, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    idle_since: Moment,
    reusable_until: Moment,
}

/// Why no head of an answer was received.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// Nothing of the request was sent.
    NotSent,
    /// Its write deadline passed before it was sent completely.
    TooLate {
        /// Whether the kernel was given a part of the request.
        sent: bool,
    },
    /// The connection broke after the request, or a part of it, was sent, or brought no final answer.
    Broken(Box<dyn Error + Send + Sync>),
}

impl ConnectionPool {
    pub(crate) fn new(clock: ProcessClock) -> Self {
        Self { clock, next_number: AtomicU64::new(0), idle: Mutex::default() }
    }

    /// Returns an idle connection to the upstream that is not in `used`, to which it is added, or a
    /// new one; `None` if connecting fails. Set `runs_once` for a request that may run at most once.
    pub(crate) async fn take(
        &self,
        now: Moment,
        upstream: &InstanceId,
        address: SocketAddr,
        runs_once: bool,
        used: &UsedConnections,
    ) -> Option<UpstreamConnection> {
        let connection = match self.take_idle(now, upstream, runs_once, used) {
            Some(connection) => connection,
            None => {
                let number = ConnectionNumber(self.next_number.fetch_add(1, Ordering::Relaxed));
                let connected = connect(number, address, self.clock).await;
                let connected = connected.inspect_err(|error| {
                    log::debug!("connection instance={upstream} outcome=failed reason=\"{error}\"");
                });
                connected.ok()?
            }
        };
        used.record(connection.number);
        Some(connection)
    }

    fn take_idle(
        &self,
        now: Moment,
        upstream: &InstanceId,
        runs_once: bool,
        used: &UsedConnections,
    ) -> Option<UpstreamConnection> {
        let mut idle = self.idle.lock().expect("no lock holder panics");
        let connections = idle.get_mut(upstream)?;
        connections.retain(|it| it.reusable_until > now && !it.connection.sender.is_closed());
        let index = connections.iter().rposition(|it| {
            let is_fresh = !runs_once || now.since(it.idle_since) < MAX_IDLE_TIME_RUNS_ONCE;
            is_fresh && !used.contains(it.connection.number)
        })?;
        Some(connections.swap_remove(index).connection)
    }

    /// Returns a connection whose last answer has ended to the pool, which holds at most `limit`
    /// idle connections per upstream.
    pub(crate) fn put_back(
        &self,
        now: Moment,
        upstream: &InstanceId,
        mut connection: UpstreamConnection,
        headers: &HeaderMap,
        limit: u32,
    ) {
        let Some(idle_time) = max_idle_time(headers) else { return };
        if connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        connection.gate.reset();
        let mut idle = self.idle.lock().expect("no lock holder panics");
        let connections = idle.entry(upstream.clone()).or_default();
        connections.retain(|it| it.reusable_until > now && !it.connection.sender.is_closed());
        if connections.len() < limit.max(1) as usize {
            connections.push(IdleConnection {
                connection,
                idle_since: now,
                reusable_until: now + idle_time,
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

impl UpstreamConnection {
    /// Sends a request and waits for the head of its answer. Nothing is written after `write_by`,
    /// unless the answer was recorded as started at the gate.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        write_by: Option<Moment>,
    ) -> Result<Response<Incoming>, SendFailure> {
        if self.sender.ready().await.is_err() {
            return Err(SendFailure::NotSent);
        }
        self.gate.start_request(write_by);
        let sent = self.sender.try_send_request(request).await;
        let answer = sent.map_err(|mut failure| {
            // The gate lets nothing pass any more where nothing has passed it.
            let is_unsent = failure.take_message().is_some() || self.gate.withdraw_unwritten();
            if self.gate.has_refused() {
                return SendFailure::TooLate { sent: !is_unsent };
            }
            if is_unsent {
                SendFailure::NotSent
            } else {
                SendFailure::Broken(failure.into_error().into())
            }
        })?;
        require_final(answer).map_err(|error| SendFailure::Broken(error.into()))
    }

    /// The gate that controls the writing of its current request.
    pub(crate) fn gate(&self) -> Arc<SendGate> {
        self.gate.clone()
    }

    /// What it carried before its current request.
    pub(crate) fn history(&self) -> ConnectionHistory {
        if self.reused { ConnectionHistory::Reused } else { ConnectionHistory::Unused }
    }

    /// Waits up to 20 ms for the end of the last answer; returns whether the connection can be
    /// reused.
    pub(crate) async fn wait_for_answer_end(&mut self) -> bool {
        const ANSWER_END_TIMEOUT: Duration = Duration::from_millis(20);
        matches!(tokio::time::timeout(ANSWER_END_TIMEOUT, self.sender.ready()).await, Ok(Ok(())))
    }
}

async fn connect(
    number: ConnectionNumber,
    address: SocketAddr,
    clock: ProcessClock,
) -> std::io::Result<UpstreamConnection> {
    let stream = open_stream(address).await?;
    stream.set_nodelay(true)?;
    detect_dead_peer(&stream)?;
    let (stream, gate) = GatedStream::new(stream, Box::new(clock));
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(64 * 1024)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = driver.await {
            log::debug!("connection address={address} outcome=broken reason=\"{error}\"");
        }
    });
    let driver = AbortOnDropHandle::new(driver);
    Ok(UpstreamConnection { number, sender, gate, _driver: driver, reused: false })
}

/// Whether an upstream accepts a new connection, which is closed at once.
pub(crate) async fn accepts_connection(address: SocketAddr) -> bool {
    open_stream(address).await.is_ok()
}

/// Connects to an upstream; fails with `TimedOut` if no attempt is answered in time.
async fn open_stream(address: SocketAddr) -> std::io::Result<TcpStream> {
    for _ in 0..CONNECT_ATTEMPTS {
        let attempt = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(connected) = attempt {
            return connected;
        }
    }
    Err(std::io::ErrorKind::TimedOut.into())
}

/// Makes the kernel close a connection whose peer has vanished without closing it.
fn detect_dead_peer(stream: &TcpStream) -> std::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT_MS)?;
    Ok(())
}

/// How long a connection may stay idle for reuse after an answer with these headers; `None` if it
/// can't be reused.
fn max_idle_time(headers: &HeaderMap) -> Option<Millis> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let timeout = text("keep-alive").and_then(|value| value.split("timeout=").nth(1));
    let seconds = timeout.and_then(|timeout| timeout.split(',').next()?.trim().parse::<u64>().ok());
    let idle_time = seconds.map_or(MAX_IDLE_TIME, |seconds| {
        Millis(seconds.saturating_mul(1_000).saturating_sub(KEEP_ALIVE_MARGIN.0)).min(MAX_IDLE_TIME)
    });
    (idle_time.0 > 0).then_some(idle_time)
}

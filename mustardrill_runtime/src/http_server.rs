//! HTTP/1 server on top of hyper, for callers, operators, peers, metrics and readiness probes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use mustardrill_core::connections::ListenerNumber;
use mustardrill_types::{ByteSize, Millis};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::client_connections::{AdmittedConnection, ClientConnection, ClientConnections};
use crate::client_stream::ClientStream;
use crate::http::{AnyBody, HttpHandler, TruncatedBodyError};
use crate::supervision;

/// The smallest buffer that hyper accepts.
const SMALLEST_BUFFER: ByteSize = ByteSize(8 << 10);

/// What one client of a listener may send.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// The longest head of a request; empty lines ahead of it count.
    pub head: ByteSize,
    /// The longest time from the end of one answer to the end of the next head.
    pub head_timeout: Millis,
}

/// Tells the limits of a listener, which may change.
pub trait ListenerPolicy: Send + Sync + 'static {
    /// The limits for a connection that is opened now.
    fn limits(&self) -> BoxFuture<'_, ListenerLimits>;
}

/// HTTP server on one listening socket.
#[derive(Debug)]
pub struct HttpServer {
    /// Address at which it listens, with the port that was assigned if the requested one was zero.
    pub address: SocketAddr,
    tracker: TaskTracker,
    stop: CancellationToken,
}

/// What the connections of one server share.
struct ServerContext {
    handler: Box<dyn HttpHandler>,
    policy: Box<dyn ListenerPolicy>,
    connections: ClientConnections,
    listener: ListenerNumber,
    stop: CancellationToken,
}

/// The body of an answer, which reports when the whole answer was passed on.
struct ServedBody {
    body: AnyBody,
    _service: RequestService,
}

/// Marks a connection as serving a request until it is dropped.
struct RequestService {
    client: ClientConnection,
    is_serving: Arc<AtomicBool>,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self { head: ByteSize(32 << 10), head_timeout: Millis(30_000) }
    }
}

impl ListenerPolicy for ListenerLimits {
    fn limits(&self) -> BoxFuture<'_, ListenerLimits> {
        Box::pin(std::future::ready(*self))
    }
}

impl HttpServer {
    /// Listens at `address` and serves requests with `handler` until `stop` is cancelled. Clients
    /// are held to the default limits of a listener.
    ///
    /// After that it accepts no connections, and open ones are closed once their current request
    /// is answered.
    pub async fn bind(
        address: SocketAddr,
        handler: Box<dyn HttpHandler>,
        connections: &ClientConnections,
        stop: CancellationToken,
    ) -> std::io::Result<Self> {
        let policy = Box::new(ListenerLimits::default());
        Self::bind_with_policy(address, handler, policy, connections, stop).await
    }

    /// Like [`Self::bind`], with the limits that `policy` tells.
    pub async fn bind_with_policy(
        address: SocketAddr,
        handler: Box<dyn HttpHandler>,
        policy: Box<dyn ListenerPolicy>,
        connections: &ClientConnections,
        stop: CancellationToken,
    ) -> std::io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let tracker = TaskTracker::new();
        let context = ServerContext {
            handler,
            policy,
            connections: connections.clone(),
            listener: connections.add_listener(),
            stop: stop.clone(),
        };
        let (socket, context, connections) = (Arc::new(socket), Arc::new(context), tracker.clone());
        supervision::spawn("accept", stop.clone(), move || {
            accept_connections(socket.clone(), context.clone(), connections.clone())
        });
        Ok(Self { address, tracker, stop })
    }

    /// Waits until the server was stopped and its last connection is closed.
    pub async fn drained(&self) {
        self.stop.cancelled().await;
        self.tracker.close();
        self.tracker.wait().await;
    }
}

/// Accepts the next connection, once there is room for it; `None` where the client is refused or
/// the process is out of descriptors.
pub async fn accept_client(
    socket: &TcpListener,
    connections: &ClientConnections,
    listener: ListenerNumber,
) -> Option<(TcpStream, SocketAddr, AdmittedConnection)> {
    // The limit leaves descriptors for the process's own calls, which may use them up all the same;
    // some are closed meanwhile.
    const RETRY_PAUSE: Duration = Duration::from_millis(20);
    match socket.accept().await {
        Ok((stream, peer)) => {
            let admitted = connections.admit(listener).await;
            if admitted.is_none() {
                log::debug!("connection peer={peer} decision=refuse reason=no-room");
            }
            let _ = stream.set_nodelay(true);
            admitted.map(|admitted| (stream, peer, admitted))
        }
        Err(error) => {
            log::warn!("connection outcome=not-accepted reason=\"{error}\"");
            tokio::time::sleep(RETRY_PAUSE).await;
            None
        }
    }
}

async fn accept_connections(
    socket: Arc<TcpListener>,
    context: Arc<ServerContext>,
    tracker: TaskTracker,
) {
    loop {
        let accepted = accept_client(&socket, &context.connections, context.listener).await;
        if let Some((stream, peer, admitted)) = accepted {
            tracker.spawn(serve_connection(context.clone(), stream, peer, admitted));
        }
    }
}

/// Serves the requests of a connection until it ends or has to be closed.
async fn serve_connection(
    context: Arc<ServerContext>,
    stream: TcpStream,
    peer: SocketAddr,
    admitted: AdmittedConnection,
) {
    let limits = context.policy.limits().await;
    let is_serving = Arc::new(AtomicBool::new(false));
    let client = admitted.client().clone();
    let stream = ClientStream::serial(stream, client.clone(), limits.head, is_serving.clone());
    let is_answering = Arc::new(AtomicBool::new(false));
    let answering = is_answering.clone();
    let server = context.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let service = RequestService::begin(&client, &is_serving);
        request.extensions_mut().insert(client.clone());
        let answer = server.handler.handle(request, peer);
        let answering = answering.clone();
        async move {
            answering.store(true, Ordering::Relaxed);
            let answer = answer.await;
            answering.store(false, Ordering::Relaxed);
            let answer = answer.map(|body| ServedBody { body, _service: service });
            Ok::<Response<ServedBody>, Infallible>(answer)
        }
    });
    let buffer = limits.head.max(SMALLEST_BUFFER).0 as usize;
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(buffer)
        .max_header_size(limits.head.0 as usize)
        .header_read_timeout(limits.head_timeout.to_std())
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closer = admitted.closer();
    let end = tokio::select! {
        end = &mut connection => end,
        () = closer.cancelled() => return,
        () = context.stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                end = connection => end,
                () = closer.cancelled() => return,
            }
        }
    };
    log_end(peer, end, is_answering.load(Ordering::Relaxed));
}

fn log_end(peer: SocketAddr, end: hyper::Result<()>, is_answering: bool) {
    let reason = end.err().map_or("end of stream".into(), |error| error.to_string());
    if is_answering {
        log::info!("connection peer={peer} outcome=closed-before-answer reason=\"{reason}\"");
    } else {
        log::debug!("connection peer={peer} outcome=closed reason=\"{reason}\"");
    }
}

impl RequestService {
    fn begin(client: &ClientConnection, is_serving: &Arc<AtomicBool>) -> Self {
        is_serving.store(true, Ordering::Relaxed);
        client.begin_request();
        Self { client: client.clone(), is_serving: is_serving.clone() }
    }
}

impl Drop for RequestService {
    fn drop(&mut self) {
        self.is_serving.store(false, Ordering::Relaxed);
        self.client.end_request();
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = TruncatedBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

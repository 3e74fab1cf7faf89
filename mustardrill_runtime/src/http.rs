//! HTTP client on top of hyper, used towards the platform, the origin and upstreams, and the answers
//! of servers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::BoxFuture;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::final_status::require_final;

/// A streamed body ended early; the connection is closed.
#[derive(Debug, Display, Error)]
#[display("the answer was truncated")]
pub struct TruncatedBodyError;

/// A response body, either fully buffered or streamed.
pub type AnyBody = UnsyncBoxBody<Bytes, TruncatedBodyError>;

/// Response with a body of either kind.
pub type AnyResponse = Response<AnyBody>;

/// Error of a call; tells whether the request may have taken effect.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection could be established, so nothing was sent.
    #[display("could not connect: {reason}")]
    NotSent {
        /// Message of the underlying error.
        reason: Box<str>,
    },
    /// The request was sent and may have taken effect, but there is no usable answer.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// Message of the underlying error.
        reason: Box<str>,
    },
    /// The answer did not arrive in time; the request may have taken effect.
    #[display("no answer in time")]
    Timeout,
    /// The body exceeds the caller's limit, was truncated, or can't be parsed.
    #[display("the answer is too large, truncated or malformed")]
    BadBody,
}

/// Response whose body has been read completely.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status code, which may be an error.
    pub status: StatusCode,
    /// Response headers.
    pub headers: hyper::HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// HTTP client with a connection pool and a timeout for every call.
#[derive(Debug, Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

/// TCP keep-alive: time without traffic before the first probe, and between two probes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// TCP keep-alive: number of unanswered probes after which a connection counts as lost.
pub const KEEPALIVE_PROBES: u32 = 2;

/// Handles the requests of one listener.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request; `peer` is the remote address.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, AnyResponse>;
}

impl HttpClient {
    /// Creates a client that gives up connecting after `connect_timeout`, and closes connections
    /// that are idle for 20 s.
    pub fn open(connect_timeout: Duration) -> Self {
        Self::open_with_idle_timeout(connect_timeout, Duration::from_secs(20))
    }

    /// Creates a client that closes connections after `idle_timeout` without use, for servers that
    /// limit the number of connections of all their clients together.
    pub fn open_with_idle_timeout(connect_timeout: Duration, idle_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        // A machine that is cut off or has lost power closes no connections. Without keep-alive
        // probes, a pending watch would keep waiting even after the machine is back.
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            // The library must not retry requests: only the reducers decide on retries.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner, connect_timeout, idle_timeout }
    }

    /// Creates a client with the same settings and no connections. Used when a server does not
    /// answer on one connection, since the other pooled connections to it may be dead as well.
    pub fn reopen(&self) -> Self {
        Self::open_with_idle_timeout(self.connect_timeout, self.idle_timeout)
    }

    /// Sends a request and returns the response with a streamed body. Sets no timeout besides that
    /// for connecting.
    pub async fn stream(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        let answer = self.inner.request(request).await.map_err(|error| {
            let reason = error.to_string().into();
            if error.is_connect() {
                CallError::NotSent { reason }
            } else {
                CallError::NoAnswer { reason }
            }
        })?;
        require_final(answer)
            .map_err(|error| CallError::NoAnswer { reason: error.to_string().into() })
    }

    /// Sends a request and reads an answer of at most `limit` bytes. The call times out only if
    /// nothing arrives for `read_timeout`, however long the whole answer takes.
    ///
    /// Meant for large answers that a whole fleet requests at once. With a timeout for the whole
    /// call, partial answers would be discarded and requested again, and the link would stay
    /// saturated.
    pub async fn call_with_read_timeout(
        &self,
        request: Request<Full<Bytes>>,
        read_timeout: Duration,
        limit: usize,
    ) -> Result<BufferedResponse, CallError> {
        let head = tokio::time::timeout(read_timeout, self.stream(request)).await;
        let (head, body) = head.unwrap_or(Err(CallError::Timeout))?.into_parts();
        let body = read_body(body, read_timeout, limit).await?;
        Ok(BufferedResponse { status: head.status, headers: head.headers, body })
    }

    /// Sends a request and reads an answer of at most `limit` bytes; `timeout` is for the whole
    /// call.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        limit: usize,
    ) -> Result<BufferedResponse, CallError> {
        let exchange = async {
            let (head, body) = self.stream(request).await?.into_parts();
            let body = read_body(body, timeout, limit).await?;
            Ok(BufferedResponse { status: head.status, headers: head.headers, body })
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(CallError::Timeout))
    }
}

/// Reads a body of at most `limit` bytes, in which nothing takes longer than `read_timeout` to arrive,
/// into one buffer: its parts may be far smaller than the memory that each of them holds.
async fn read_body(
    mut body: Incoming,
    read_timeout: Duration,
    limit: usize,
) -> Result<Bytes, CallError> {
    let mut bytes = Vec::new();
    loop {
        let frame = tokio::time::timeout(read_timeout, body.frame()).await;
        let Some(frame) = frame.map_err(|_| CallError::Timeout)? else { break };
        let frame = frame.map_err(|_| CallError::BadBody)?;
        let part = frame.data_ref().map_or(&[][..], |data| data);
        if bytes.len() + part.len() > limit {
            return Err(CallError::BadBody);
        }
        bytes.extend_from_slice(part);
    }
    bytes.shrink_to_fit();
    Ok(bytes.into())
}

/// Whether the machine refuses connections to `address`, so that the process that listened there
/// has ended. Asks again, up to `attempts` times in all, while the machine does not answer.
///
/// Returns `false` if the connection is accepted, and also if the machine does not answer.
pub async fn refuses_connections(address: SocketAddr, attempts: u32) -> bool {
    // A caller who lost an answer waits for this check. A refusal takes one round trip.
    const TIMEOUT: Duration = Duration::from_millis(50);
    for _ in 0..attempts {
        let connecting = tokio::net::TcpStream::connect(address);
        if let Ok(connected) = tokio::time::timeout(TIMEOUT, connecting).await {
            let refused = std::io::ErrorKind::ConnectionRefused;
            return connected.is_err_and(|error| error.kind() == refused);
        }
    }
    false
}

/// Whether the end of an answer is marked by its length or its last chunk, and not only by the end
/// of its connection, which a crash of the sender looks like as well.
pub fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Wraps bytes in a buffered body.
pub fn buffered_body(bytes: impl Into<Bytes>) -> AnyBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Builds a response with `value` as JSON.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> AnyResponse {
    let bytes = serde_json::to_vec(value).expect("answers serialize to JSON");
    let mut response = Response::new(buffered_body(bytes));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// Builds a response with a text body and no content type.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> AnyResponse {
    let mut response = Response::new(buffered_body(text.into()));
    *response.status_mut() = status;
    response
}

/// Builds a request. Panics if `method` or `uri` is malformed.
pub fn request(method: &str, uri: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(uri)
        .body(Full::new(body.into()))
        .expect("method and URI are well-formed")
}

/// Like [`request`], with the content type of JSON if the method is POST.
pub fn json_request(method: &str, uri: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    let mut request = request(method, uri, body);
    if method == "POST" {
        let json = hyper::header::HeaderValue::from_static("application/json");
        request.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    }
    request
}

/// Returns the value of the first query parameter called `name`, without percent-decoding.
pub fn query_parameter<'a>(uri: &'a hyper::Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

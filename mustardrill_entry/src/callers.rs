//! Serves callers over HTTP: checks a request, passes it to the reducer and returns the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::request_body::{BodyError, read_body};
use bytes::Bytes;
use cadence::{Counted, Timed};
use futures_util::future::BoxFuture;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{AUTHORIZATION, HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use kameo::prelude::*;
use mustardrill_core::direct::RefusalPlan;
use mustardrill_core::entry::{EntryEvent, IncomingRequest, RequestId};
use mustardrill_proto as proto;
use mustardrill_runtime::client_connections::ClientConnection;
use mustardrill_runtime::headers;
use mustardrill_runtime::http::{
    AnyBody, AnyResponse, HttpHandler, TruncatedBodyError, json_response, text_response,
};
use mustardrill_types::{
    CustomerName, Millis, ModelName, Moment, RequestDigest, RequestKey, ResultCode,
};
use tokio::sync::mpsc;

use crate::actor::{EntryActor, Event, StartRequest};
use crate::attempt::{CallerPart, RequestIo};
use crate::context::EntryContext;

/// Response header with the result code of every answer.
const CODE_HEADER: &str = "mustardrill-code";

/// Request header with the caller's time limit in milliseconds.
const TIMEOUT_HEADER: &str = "mustardrill-timeout-ms";

/// Request header for a request that must run at most once, with the key that the caller chose for
/// it.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Request header with a name that requests with a common prefix share; it is their affinity key.
const PREFIX_HEADER: &str = "mustardrill-prefix";

/// Response header with the time after which to retry in milliseconds, finer than `Retry-After`.
const RETRY_AFTER_MS_HEADER: &str = "mustardrill-retry-after-ms";

/// Answers callers' requests and health checks.
pub(crate) struct CallerHandler {
    service: Arc<CallerService>,
}

struct CallerService {
    actor: ActorRef<EntryActor>,
    context: Arc<EntryContext>,
    next_id: AtomicU64,
}

/// Why a request is refused before the reducer sees it.
struct Refusal {
    code: ResultCode,
    message: Box<str>,
    retry_after: Millis,
}

/// The parameters of a request, read from its head.
struct CallHead {
    customer: CustomerName,
    target: ModelName,
    is_model: bool,
    path: Box<str>,
    key: Option<RequestKey>,
    deadline: Moment,
}

/// Reports the end of a request when it is dropped: with the answer's end, or before it if the
/// caller disconnects.
struct CallerGuard {
    actor: ActorRef<EntryActor>,
    context: Arc<EntryContext>,
    id: RequestId,
    arrived: Moment,
    code: Option<ResultCode>,
}

impl CallerHandler {
    pub(crate) fn new(actor: ActorRef<EntryActor>, context: Arc<EntryContext>) -> Self {
        Self { service: Arc::new(CallerService { actor, context, next_id: AtomicU64::new(1) }) }
    }
}

impl HttpHandler for CallerHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let service = self.service.clone();
        Box::pin(async move {
            if request.uri().path() == "/health" {
                return text_response(StatusCode::OK, "ready\n");
            }
            match service.answer(request).await {
                Ok(response) => response,
                Err(refusal) => {
                    let _ = service.context.metrics.count("requests", 1);
                    rejection_response(refusal.code, &refusal.message, refusal.retry_after)
                }
            }
        })
    }
}

impl CallerService {
    async fn answer(&self, request: Request<Incoming>) -> Result<AnyResponse, Refusal> {
        let arrived = self.context.clock.now();
        let client = ClientConnection::of(&request);
        let (head, body) = request.into_parts();
        let call = self.read_call(arrived, &head.uri, &head.headers)?;
        let remaining = call.deadline.since(arrived);
        let limit = self.context.callers.body_limit;
        let read = read_body(&self.context.body_memory, body, limit, remaining).await;
        let (body, reservation) = read.map_err(|error| body_refusal(&error))?;
        let affinity = self.affinity(&call, &head.headers, &body);
        let digest = RequestDigest::of(&[
            call.customer.as_str().as_bytes(),
            head.method.as_str().as_bytes(),
            head.uri.path_and_query().map_or("", |path| path.as_str()).as_bytes(),
            &body,
        ]);
        let (sender, parts) = mpsc::unbounded_channel();
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let io = RequestIo {
            model: if call.is_model { call.target.as_str().into() } else { "".into() },
            method: head.method.as_str().into(),
            path: call.path,
            headers: forwarded_headers(&head.headers),
            body,
            _body_reservation: reservation,
            client,
            is_idempotent: call.key.is_none(),
            deadline: call.deadline,
            parts: sender,
            delivered: AtomicU64::new(0),
        };
        let incoming = IncomingRequest {
            id,
            customer: call.customer,
            target: call.target,
            is_model: call.is_model,
            key: call.key,
            deadline: call.deadline,
            affinity,
            digest,
        };
        let (actor, context) = (self.actor.clone(), self.context.clone());
        let guard = CallerGuard { actor, context, id, arrived, code: None };
        let _ = self.actor.tell(StartRequest(incoming, Arc::new(io))).await;
        Ok(respond(parts, guard).await)
    }

    fn read_call(
        &self,
        arrived: Moment,
        uri: &hyper::Uri,
        headers: &HeaderMap,
    ) -> Result<CallHead, Refusal> {
        let customer = self.customer(headers)?;
        let (is_model, target, path) = parse_target(uri)?;
        let key = match header_text(headers, IDEMPOTENCY_KEY_HEADER) {
            Some("") => {
                let message = format!(
                    "{IDEMPOTENCY_KEY_HEADER} is empty; send a key of your own for each request"
                );
                return Err(refusal(ResultCode::BadRequest, message));
            }
            Some(key) => Some(RequestKey::of(&customer, key)),
            None => None,
        };
        let timeout = self.timeout(headers)?;
        let deadline = arrived + timeout;
        Ok(CallHead { customer, target, is_model, path, key, deadline })
    }

    fn customer(&self, headers: &HeaderMap) -> Result<CustomerName, Refusal> {
        let token = bearer(headers);
        let customer = token.and_then(|token| self.context.access.customer(token));
        let message = "send authorization: Bearer TOKEN with your customer's token";
        customer.cloned().ok_or(refusal(ResultCode::UnknownCustomer, message))
    }

    fn timeout(&self, headers: &HeaderMap) -> Result<Millis, Refusal> {
        let config = &self.context.callers;
        let Some(value) = header_text(headers, TIMEOUT_HEADER) else { return Ok(config.timeout) };
        let longest = config.longest_timeout.0;
        let parsed = value.parse().ok().filter(|value| (1..=longest).contains(value));
        let message = format!("{TIMEOUT_HEADER}: {value}: write 1 to {longest}");
        parsed.map(Millis).ok_or(refusal(ResultCode::BadRequest, message))
    }

    fn affinity(&self, call: &CallHead, headers: &HeaderMap, body: &Bytes) -> Option<Box<str>> {
        if let Some(value) = header_text(headers, PREFIX_HEADER) {
            return Some(value.into());
        }
        let prefix = self.context.callers.prefix.0 as usize;
        // A shorter body has no prefix for which using the same upstream is worth it.
        let is_long = call.is_model && prefix > 0 && body.len() >= prefix;
        is_long.then(|| blake3::hash(&body[..prefix]).to_hex().as_str().into())
    }
}

/// The token of an `authorization: Bearer TOKEN` header.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

async fn respond(
    mut parts: mpsc::UnboundedReceiver<CallerPart>,
    mut guard: CallerGuard,
) -> AnyResponse {
    match parts.recv().await {
        Some(CallerPart::Head(head)) => {
            let mut response = Response::new(streamed_body(parts, guard));
            *response.status_mut() = head.status.code();
            for header in head.headers.iter().filter(|header| is_forwarded(&header.name)) {
                let name = hyper::header::HeaderName::try_from(header.name.as_str());
                let value = HeaderValue::from_str(&header.value);
                if let (Ok(name), Ok(value)) = (name, value) {
                    response.headers_mut().append(name, value);
                }
            }
            let code = HeaderValue::from(ResultCode::Answered.number());
            response.headers_mut().insert(CODE_HEADER, code);
            response
        }
        Some(CallerPart::Reject(code, retry_after)) => {
            guard.code = Some(code);
            rejection_response(code, "", retry_after)
        }
        _ => {
            guard.code = Some(ResultCode::Unknown);
            rejection_response(ResultCode::Unknown, "the entry is ending", Millis(0))
        }
    }
}

/// Streams the answer as it arrives. An answer that is cut ends with an error, which the caller's
/// HTTP library reports.
fn streamed_body(parts: mpsc::UnboundedReceiver<CallerPart>, guard: CallerGuard) -> AnyBody {
    let frames = stream::unfold(Some((parts, guard)), |state| async move {
        let (mut parts, mut guard) = state?;
        match parts.recv().await {
            Some(CallerPart::Data(data)) => Some((Ok(Frame::data(data)), Some((parts, guard)))),
            Some(CallerPart::End) => {
                guard.code = Some(ResultCode::Answered);
                None
            }
            _ => {
                guard.code = Some(ResultCode::AnswerCut);
                Some((Err(TruncatedBodyError), None))
            }
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let code = self.code.map_or(0, ResultCode::number);
        let took = self.context.clock.now().since(self.arrived).0;
        let _ = self.context.metrics.count(&format!("requests.{code}"), 1);
        let _ = self.context.metrics.time("request_ms", took);
        // Sent for completed requests too: the actor then drops its state of the request.
        let (actor, id) = (self.actor.clone(), self.id);
        tokio::spawn(async move {
            let _ = actor.tell(Event(EntryEvent::CallerDisconnected(id))).await;
        });
    }
}

/// Builds the answer of a rejected request: its code, whether it ran, and when to retry.
fn rejection_response(code: ResultCode, message: &str, retry_after: Millis) -> AnyResponse {
    let body = serde_json::json!({
        "code": code.number(),
        "name": format!("{code:?}"),
        "run": code.run_label(),
        "message": message,
        "retry_after_ms": retry_after.0,
    });
    let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = json_response(status, &body);
    let headers = response.headers_mut();
    headers.insert(CODE_HEADER, HeaderValue::from(code.number()));
    if retry_after.0 > 0 {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after.0.div_ceil(1_000)));
        headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(retry_after.0));
    }
    response
}

/// Splits `/v1/models/NAME/PATH` or `/v1/services/NAME/PATH` into whether it is a model, the name
/// and the path with its query.
fn parse_target(uri: &hyper::Uri) -> Result<(bool, ModelName, Box<str>), Refusal> {
    let message = "call /v1/models/NAME/PATH or /v1/services/NAME/PATH";
    let unknown = || refusal(ResultCode::BadRequest, message);
    let rest = uri.path().strip_prefix("/v1/").ok_or_else(unknown)?;
    let (kind, rest) = rest.split_once('/').ok_or_else(unknown)?;
    let is_model = match kind {
        "models" => true,
        "services" => false,
        _ => return Err(unknown()),
    };
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let name = name.parse().map_err(|error| {
        let error: mustardrill_types::id::ParseIdError = error;
        refusal(ResultCode::BadRequest, error.to_string())
    })?;
    let query = uri.query().map_or(String::new(), |query| format!("?{query}"));
    Ok((is_model, name, format!("/{path}{query}").into()))
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<proto::Header> {
    let kept = headers.iter().filter(|(name, _)| {
        // The token is not passed on, and the HTTP library sets the length of the body.
        is_forwarded(name.as_str()) && *name != AUTHORIZATION && name.as_str() != "content-length"
    });
    kept.filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(proto::Header { name: name.to_string(), value })
    })
    .collect()
}

fn is_forwarded(name: &str) -> bool {
    !headers::is_hop_by_hop(name) && name != HOST.as_str()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn refusal(code: ResultCode, message: impl Into<Box<str>>) -> Refusal {
    Refusal { code, message: message.into(), retry_after: Millis(0) }
}

fn body_refusal(error: &BodyError) -> Refusal {
    let RefusalPlan { code, retry_after } = error.refusal();
    Refusal { code, message: error.to_string().into(), retry_after }
}

//! Serves callers: reads a request, starts its task and returns the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::request_body::read_body;
use bytes::Bytes;
use cadence::{Counted, Timed};
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, StatusCode, http};
use kameo::prelude::*;
use mustardrill_core::direct::{DirectRequest, RefusalPlan, RequestNumber};
use mustardrill_runtime::body_memory::BodyReservation;
use mustardrill_runtime::client_connections::ClientConnection;
use mustardrill_runtime::http::{AnyResponse, HttpHandler, text_response};
use mustardrill_types::{Millis, PartSet, RequestDigest, ResultCode};
use tokio::sync::mpsc;

use crate::direct::actor::{DirectActor, DirectContext, LimitsQuery, ReadyQuery};
use crate::direct::answer::{LEAVING_REFUSAL, PART_BUFFER, refusal_response, respond};
use crate::direct::answer_sink::AnswerSink;
use crate::direct::connections::UsedConnections;
use crate::direct::request_task::RequestTask;

/// Answers callers' requests and the load balancer's readiness probes.
#[derive(Clone)]
pub(crate) struct CallerHandler {
    actor: ActorRef<DirectActor>,
    context: Arc<DirectContext>,
    next_number: Arc<AtomicU64>,
}

impl CallerHandler {
    pub(crate) fn new(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) -> Self {
        Self { actor, context, next_number: Arc::new(AtomicU64::new(1)) }
    }

    async fn answer(&self, request: Request<Incoming>) -> AnyResponse {
        let dialect = &*self.context.adapters.dialect;
        if dialect.is_readiness(request.uri()) {
            let ready = self.actor.ask(ReadyQuery).await.unwrap_or(false);
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return text_response(status, "");
        }
        let response = self.answer_call(request).await;
        self.close_if_draining(response)
    }

    async fn answer_call(&self, request: Request<Incoming>) -> AnyResponse {
        let dialect = &*self.context.adapters.dialect;
        let client = ClientConnection::of(&request);
        let arrived = self.context.clock.now();
        let number = RequestNumber(self.next_number.fetch_add(1, Ordering::Relaxed));
        let (head, body) = request.into_parts();
        let mut call = match dialect.read_request(number, arrived, &head) {
            Ok(call) => call,
            Err(reason) => {
                log::info!("request={number} decision=refuse reason=\"{reason}\"");
                return bad_request_response(dialect);
            }
        };
        self.check_parts(&call);
        let (body, reservation) = match self.read_body(&call, body).await {
            Ok(read) => read,
            Err(plan) => return refusal_response(&plan, dialect),
        };
        if !self.admits_late(&call) {
            return refusal_response(&LEAVING_REFUSAL, dialect);
        }
        call.content_digest = content_digest(&head, &body);
        let (sender, parts) = mpsc::channel(PART_BUFFER);
        let task = RequestTask {
            context: self.context.clone(),
            actor: self.actor.clone(),
            number,
            caller_request_id: call.attempt_id.clone(),
            head,
            body,
            _body_reservation: reservation,
            sink: AnswerSink::new(sender),
            client,
            used_connections: UsedConnections::default(),
        };
        tokio::spawn(task.run(call));
        let (code, response) = respond(parts, dialect).await;
        let took = self.context.clock.now().since(arrived).0;
        let _ = self.context.metrics.count(&format!("requests.{code}"), 1);
        let _ = self.context.metrics.time("request_ms", took);
        response
    }

    /// Whether a planned stop leaves time for a request that was read.
    fn admits_late(&self, call: &DirectRequest) -> bool {
        let deadline = call.timeout.map(|timeout| call.arrived_at + timeout);
        let is_admitted = self.context.stop.admits(self.context.clock.now(), deadline);
        if !is_admitted {
            let code = LEAVING_REFUSAL.code;
            log::info!("request={} decision=refuse code={code} cause=stop", call.attempt_id);
            let _ = self.context.metrics.count(&format!("requests.{code}"), 1);
        }
        is_admitted
    }

    /// Reads the body of a request into memory that is reserved for it; the error is the refusal.
    async fn read_body(
        &self,
        call: &DirectRequest,
        body: Incoming,
    ) -> Result<(Bytes, BodyReservation), RefusalPlan> {
        let limits = self.actor.ask(LimitsQuery).await.map(|reply| reply.0).unwrap_or_default();
        let time_limit = call.timeout.unwrap_or(limits.idle_timeout);
        let read = read_body(&self.context.body_memory, body, limits.max_body, time_limit).await;
        read.map_err(|error| {
            log::info!("request={} decision=refuse reason=\"{error}\"", call.attempt_id);
            error.refusal()
        })
    }

    /// Counts a request that lists the parts of its prompt, and logs a malformed list.
    fn check_parts(&self, call: &DirectRequest) {
        let stated = &call.shared_parts;
        if stated.is_absent() {
            return;
        }
        if let Some(text) = &stated.malformed {
            log::warn!(
                "request={} parts=malformed value={text:?} used={} expected=\"a few ID:TOKENS, such \
                 as 5c1e07a2:800, with ids of 1 to 32 hexadecimal digits\"",
                call.attempt_id,
                stated.value.as_ref().map_or(0, PartSet::len)
            );
        }
        let form = if stated.malformed.is_some() { "malformed" } else { "valid" };
        let _ = self.context.metrics.count(&format!("part_lists.{form}"), 1);
    }

    /// Asks the caller to close its connection if this entry is draining, so that its next request
    /// goes to another entry.
    fn close_if_draining(&self, mut response: AnyResponse) -> AnyResponse {
        if self.context.stop.has_begun() {
            let close = hyper::header::HeaderValue::from_static("close");
            response.headers_mut().insert(hyper::header::CONNECTION, close);
        }
        response
    }
}

impl HttpHandler for CallerHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let handler = self.clone();
        Box::pin(async move { handler.answer(request).await })
    }
}

fn content_digest(head: &http::request::Parts, body: &[u8]) -> RequestDigest {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    RequestDigest::of(&[head.method.as_str().as_bytes(), path.as_bytes(), body])
}

fn bad_request_response(dialect: &dyn mustardrill_runtime::adapters::CallDialect) -> AnyResponse {
    refusal_response(&RefusalPlan { code: ResultCode::BadRequest, retry_after: Millis(0) }, dialect)
}

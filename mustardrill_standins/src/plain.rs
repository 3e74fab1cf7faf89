//! Stand-in for a plain service: runs each call as often as it is received, and records every run.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use mustardrill_runtime::http::{AnyResponse, HttpHandler, json_response, text_response};

/// Work time and recorded runs of one plain service.
#[derive(Debug, Default)]
pub struct PlainState {
    work_time: Duration,
    runs: Mutex<Vec<String>>,
}

/// Serves a plain service over HTTP.
#[derive(Debug, Clone)]
pub struct PlainHandler {
    /// The state, shared with tests that inspect it.
    pub state: Arc<PlainState>,
}

impl PlainState {
    /// Creates a service that takes `work_time` for each call, any number of calls at once.
    pub fn new(work_time: Duration) -> Self {
        Self { work_time, runs: Mutex::default() }
    }

    /// Bodies of the calls that were run, in order; a call that was run twice is listed twice.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("nobody panics under this lock").clone()
    }
}

impl HttpHandler for PlainHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let state = self.state.clone();
        Box::pin(async move {
            if request.uri().path() == "/admin/runs" {
                return json_response(StatusCode::OK, &state.runs());
            }
            let body = request.into_body().collect().await;
            let Ok(body) = body.map(http_body_util::Collected::to_bytes) else {
                return text_response(StatusCode::BAD_REQUEST, "the call was cut\n");
            };
            let call = String::from_utf8_lossy(&body).into_owned();
            state.runs.lock().expect("nobody panics under this lock").push(call.clone());
            tokio::time::sleep(state.work_time).await;
            text_response(StatusCode::OK, format!("done: {call}\n"))
        })
    }
}

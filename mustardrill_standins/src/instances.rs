//! The platform's list of live and leaving instances, which lags behind what it was told.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use mustardrill_runtime::http::{AnyResponse, HttpHandler, json_response, text_response};
use mustardrill_runtime::platform::InstanceListing;

/// The list with its lag.
#[derive(Debug)]
pub struct LaggingList {
    lag: Duration,
    states: Mutex<Vec<(Instant, InstanceListing)>>,
}

/// Answers `GET /v1/instances`, and `PUT` from whoever plays the platform.
#[derive(Debug, Clone)]
pub struct InstancesHandler {
    /// The list, shared with whoever changes it from a test.
    pub list: Arc<LaggingList>,
}

impl LaggingList {
    /// An empty list that shows each change after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self { lag, states: Mutex::default() }
    }

    /// Changes the list.
    pub fn set(&self, listing: InstanceListing) {
        let mut states = self.states.lock().expect("nobody panics under this lock");
        states.push((Instant::now(), listing));
    }

    /// The list as it is shown now.
    pub fn shown(&self) -> InstanceListing {
        let mut states = self.states.lock().expect("nobody panics under this lock");
        let is_old = |(since, _): &(Instant, InstanceListing)| since.elapsed() >= self.lag;
        let Some(newest) = states.iter().rposition(is_old) else {
            return InstanceListing::default();
        };
        states.drain(..newest);
        states[0].1.clone()
    }
}

impl HttpHandler for InstancesHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let list = self.list.clone();
        Box::pin(async move {
            if request.method() == Method::GET {
                return json_response(StatusCode::OK, &list.shown());
            }
            let body = request.into_body().collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            match serde_json::from_slice(&body) {
                Ok(listing) => {
                    list.set(listing);
                    text_response(StatusCode::OK, "")
                }
                Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
            }
        })
    }
}

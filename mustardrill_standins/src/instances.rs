//! Stand-in for the platform's list of live and leaving instances, which lags behind changes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use mustardrill_runtime::http::{AnyResponse, HttpHandler, json_response, text_response};
use mustardrill_runtime::platform::InstanceListing;

/// An instance list that shows each change after a fixed lag.
#[derive(Debug)]
pub struct LaggingList {
    lag: Duration,
    listings: Mutex<Vec<(Instant, InstanceListing)>>,
}

/// Serves the list over HTTP: `GET /v1/instances` reads it, a `PUT` replaces it.
#[derive(Debug, Clone)]
pub struct InstancesHandler {
    /// The list, shared with tests that change it.
    pub list: Arc<LaggingList>,
}

impl LaggingList {
    /// Creates an empty list that shows each change after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self { lag, listings: Mutex::default() }
    }

    /// Replaces the list; readers see it after the lag.
    pub fn set(&self, listing: InstanceListing) {
        let mut listings = self.listings.lock().expect("nobody panics under this lock");
        listings.push((Instant::now(), listing));
    }

    /// The list that readers see now: the latest that is at least as old as the lag.
    pub fn visible(&self) -> InstanceListing {
        let mut listings = self.listings.lock().expect("nobody panics under this lock");
        let is_visible = |(set_at, _): &(Instant, InstanceListing)| set_at.elapsed() >= self.lag;
        let Some(newest) = listings.iter().rposition(is_visible) else {
            return InstanceListing::default();
        };
        listings.drain(..newest);
        listings[0].1.clone()
    }
}

impl HttpHandler for InstancesHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let list = self.list.clone();
        Box::pin(async move {
            if request.method() == Method::GET {
                return json_response(StatusCode::OK, &list.visible());
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

//! The client of the local upstream, which is a model engine or a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use mustardrill_core::agent::{EngineReport, LoadOrder};
use mustardrill_core::manifest::Manifest;
use mustardrill_core::ownership::OwnerSettings;
use mustardrill_runtime::http::{CallError, HttpClient, refuses_connections, request};
use mustardrill_types::ManifestDigest;
use serde::{Deserialize, Serialize};

/// The header of an answer in which an engine names the weights it was made from.
pub(crate) const WEIGHTS_HEADER: &str = "x-weights";

/// The header of a request that names the weights from which the answer must be made.
pub(crate) const EXPECTED_WEIGHTS_HEADER: &str = "x-expected-weights";

/// The header of a request with its priority; 0 is the highest.
pub(crate) const PRIORITY_HEADER: &str = "x-priority";

/// The header of a request with the byte of the answer at which to start.
pub(crate) const RESUME_HEADER: &str = "x-resume-from";

/// The calls of the agent to its upstream.
pub(crate) trait Upstream: Send + Sync {
    /// Orders the engine to load staged weights from the URL `source`; returns when the engine has
    /// loaded or refused them.
    fn load<'a>(
        &'a self,
        order: &'a LoadOrder,
        manifest: &'a Manifest,
        source: &'a str,
    ) -> BoxFuture<'a, Result<(), Box<str>>>;

    /// Asks which weights the engine serves; `None` where it gives no valid answer.
    fn report(&self) -> BoxFuture<'_, Option<EngineReport>>;

    /// Whether the upstream itself is down, rather than just a connection to it.
    fn has_ended(&self) -> BoxFuture<'_, bool>;

    /// Sends a request and returns the answer once its headers have arrived.
    fn run(
        &self,
        request: Request<Full<Bytes>>,
    ) -> BoxFuture<'_, Result<Response<Incoming>, CallError>>;
}

/// An upstream that is called over HTTP.
#[derive(Debug)]
pub(crate) struct HttpUpstream {
    client: HttpClient,
    base_url: Box<str>,
    /// `None` where the settings give a host name in place of an IP address.
    address: Option<SocketAddr>,
    load_timeout: Duration,
}

#[derive(Serialize)]
struct LoadBody<'a> {
    model: &'a str,
    version: &'a str,
    digest: Box<str>,
    fence: u64,
    size: u64,
    chunk_size: u64,
    source: &'a str,
}

#[derive(Deserialize)]
struct StateBody {
    serving: Vec<Box<str>>,
}

impl HttpUpstream {
    /// Takes the upstream's address as `host:port`.
    pub(crate) fn open(client: HttpClient, address: &str, owner: &OwnerSettings) -> Self {
        // An order times out before the next holder of the lease may give one.
        let load_timeout = owner.longest_order.to_std();
        let base_url = format!("http://{address}").into();
        Self { client, base_url, address: address.parse().ok(), load_timeout }
    }
}

impl Upstream for HttpUpstream {
    fn load<'a>(
        &'a self,
        order: &'a LoadOrder,
        manifest: &'a Manifest,
        source: &'a str,
    ) -> BoxFuture<'a, Result<(), Box<str>>> {
        const ANSWER_LIMIT: usize = 65_536;
        Box::pin(async move {
            let body = LoadBody {
                model: order.model.as_str(),
                version: order.version.as_str(),
                digest: order.digest.to_string().into(),
                fence: order.fence.0,
                size: manifest.size.0,
                chunk_size: manifest.chunk_size.0,
                source,
            };
            let body = serde_json::to_vec(&body).expect("an order is plain data");
            let call = request("POST", &format!("{}/v1/load", self.base_url), body);
            let answer = self.client.call(call, self.load_timeout, ANSWER_LIMIT).await;
            let answer = answer.map_err(|error| Box::<str>::from(error.to_string()))?;
            if answer.status != StatusCode::OK {
                let text = String::from_utf8_lossy(&answer.body);
                return Err(format!("the engine answered {}: {text}", answer.status).into());
            }
            Ok(())
        })
    }

    fn report(&self) -> BoxFuture<'_, Option<EngineReport>> {
        const TIMEOUT: Duration = Duration::from_secs(1);
        const ANSWER_LIMIT: usize = 1_000_000;
        Box::pin(async move {
            let call = request("GET", &format!("{}/v1/state", self.base_url), Bytes::new());
            let answer = self.client.call(call, TIMEOUT, ANSWER_LIMIT).await.ok()?;
            let state: StateBody = serde_json::from_slice(&answer.body).ok()?;
            let serving = state.serving.iter().map(|text| text.parse::<ManifestDigest>());
            Some(EngineReport { serving: serving.collect::<Result<_, _>>().ok()? })
        })
    }

    fn has_ended(&self) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            match self.address {
                // No packet is lost on the way to the own machine.
                Some(address) => refuses_connections(address, 1).await,
                None => false,
            }
        })
    }

    fn run(
        &self,
        request: Request<Full<Bytes>>,
    ) -> BoxFuture<'_, Result<Response<Incoming>, CallError>> {
        let (mut head, body) = request.into_parts();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = format!("{}{path}", self.base_url).parse();
        Box::pin(async move {
            head.uri = uri.map_err(|_| CallError::NotSent { reason: "malformed path".into() })?;
            self.client.stream(Request::from_parts(head, body)).await
        })
    }
}

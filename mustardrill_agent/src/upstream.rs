//! The upstream beside the agent: a model engine or a plain service, behind a trait.

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

/// The header in which an engine names the weights of its answer.
pub(crate) const WEIGHTS_HEADER: &str = "x-weights";

/// The header that tells an engine which weights the answer must be made from.
pub(crate) const EXPECT_HEADER: &str = "x-expected-weights";

/// The header that tells an engine the priority, 0 first.
pub(crate) const PRIORITY_HEADER: &str = "x-priority";

/// The header that tells an engine at which byte of the answer to begin.
pub(crate) const RESUME_HEADER: &str = "x-resume-from";

/// What the agent asks of its upstream.
pub(crate) trait Upstream: Send + Sync {
    /// Orders staged weights to be loaded; ends when the engine has loaded or refused them.
    fn load<'a>(
        &'a self,
        order: &'a LoadOrder,
        manifest: &'a Manifest,
        source: &'a str,
    ) -> BoxFuture<'a, Result<(), Box<str>>>;

    /// Asks what the engine serves.
    fn report(&self) -> BoxFuture<'_, Option<EngineReport>>;

    /// Whether it has ended, and not only a connection to it.
    fn has_ended(&self) -> BoxFuture<'_, bool>;

    /// Runs a request.
    fn run(
        &self,
        request: Request<Full<Bytes>>,
    ) -> BoxFuture<'_, Result<Response<Incoming>, CallError>>;
}

/// An upstream over HTTP.
#[derive(Debug)]
pub(crate) struct HttpUpstream {
    client: HttpClient,
    base: Box<str>,
    /// Nothing where the upstream is named otherwise than by its address.
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
    /// A client of the upstream at `address`.
    pub(crate) fn open(client: HttpClient, address: &str, owner: &OwnerSettings) -> Self {
        // An order is given up before the next holder of the lease may give one.
        let load_timeout = owner.longest_order.to_std();
        let base = format!("http://{address}").into();
        Self { client, base, address: address.parse().ok(), load_timeout }
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
            let sent = request("POST", &format!("{}/v1/load", self.base), body);
            let answer = self.client.call(sent, self.load_timeout, ANSWER_LIMIT).await;
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
            let sent = request("GET", &format!("{}/v1/state", self.base), Bytes::new());
            let answer = self.client.call(sent, TIMEOUT, ANSWER_LIMIT).await.ok()?;
            let state: StateBody = serde_json::from_slice(&answer.body).ok()?;
            let serving = state.serving.iter().map(|text| text.parse::<ManifestDigest>());
            Some(EngineReport { serving: serving.collect::<Result<_, _>>().ok()? })
        })
    }

    fn has_ended(&self) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            match self.address {
                Some(address) => refuses_connections(address).await,
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
        let uri = format!("{}{path}", self.base).parse();
        Box::pin(async move {
            head.uri = uri.map_err(|_| CallError::NotSent { reason: "malformed path".into() })?;
            self.client.stream(Request::from_parts(head, body)).await
        })
    }
}

//! Stand-in for the origin of weights and the weight store: byte ranges, `ETag`s, a rate-limited link.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use mustardrill_core::manifest::Manifest;
use mustardrill_runtime::http::{
    AnyResponse, HttpHandler, TruncatedBodyError, buffered_body, query_parameter, text_response,
};
use mustardrill_types::ByteSize;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

use crate::fault::FaultPanel;
use crate::pace::PacedLink;

/// Bytes sent at once; small, so that concurrent readers share the link evenly.
const PIECE_BYTES: usize = 16_384;

/// The published versions of an origin, kept in memory, and the link over which it sends them.
#[derive(Debug)]
pub struct OriginStore {
    versions: Mutex<BTreeMap<String, PublishedWeights>>,
    link: PacedLink,
    sent: AtomicU64,
    /// Fault switches, also set over HTTP.
    pub faults: FaultPanel,
}

/// Serves an origin's versions over HTTP.
#[derive(Debug, Clone)]
pub struct OriginHandler {
    /// The versions, shared with tests that publish more.
    pub store: Arc<OriginStore>,
}

#[derive(Debug, Clone)]
struct PublishedWeights {
    manifest: Bytes,
    bytes: Bytes,
}

impl OriginStore {
    /// Creates an origin without versions; `rate` is its link's in bytes per second, zero is unlimited.
    pub fn new(rate: u64) -> Self {
        Self {
            versions: Mutex::default(),
            link: PacedLink::new(rate),
            sent: AtomicU64::new(0),
            faults: FaultPanel::default(),
        }
    }

    /// Publishes a version of `size` random bytes drawn from `seed`, and returns its manifest.
    pub fn publish(
        &self,
        model: &str,
        version: &str,
        size: usize,
        chunk: u64,
        seed: u64,
    ) -> Manifest {
        let mut bytes = vec![0; size];
        StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let model_name = model.parse().expect("a valid model name");
        let version_name = version.parse().expect("a valid version name");
        let manifest = Manifest::describe(model_name, version_name, ByteSize(chunk), &bytes);
        let published =
            PublishedWeights { manifest: manifest.encode().into(), bytes: bytes.into() };
        self.versions().insert(format!("{model}/{version}"), published);
        manifest
    }

    /// Bytes of weights sent so far; manifests are not counted.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    fn versions(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, PublishedWeights>> {
        self.versions.lock().expect("nobody panics under this lock")
    }
}

impl HttpHandler for OriginHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let store = self.store.clone();
        Box::pin(async move { handle_request(store, &request).await })
    }
}

async fn handle_request(store: Arc<OriginStore>, request: &Request<Incoming>) -> AnyResponse {
    if let Some(answer) = store.faults.admin(request) {
        return answer;
    }
    let path = request.uri().path();
    if path == "/admin/sent" {
        return text_response(StatusCode::OK, store.sent().to_string());
    }
    if path == "/admin/publish" {
        return handle_publish(&store, request);
    }
    let faults = store.faults.get();
    if faults.down {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n");
    }
    tokio::time::sleep(faults.delay).await;
    let Some((name, part)) = path.strip_prefix("/v1/weights/").and_then(|it| it.rsplit_once('/'))
    else {
        return text_response(StatusCode::NOT_FOUND, "no such call\n");
    };
    let Some(published) = store.versions().get(name).cloned() else {
        return text_response(StatusCode::NOT_FOUND, "no such version\n");
    };
    match part {
        "manifest" => Response::new(buffered_body(published.manifest)),
        "bytes" => send_range(store, &published, request),
        _ => text_response(StatusCode::NOT_FOUND, "no such part\n"),
    }
}

fn handle_publish(store: &OriginStore, request: &Request<Incoming>) -> AnyResponse {
    let text = |name| query_parameter(request.uri(), name);
    let number = |name| text(name).and_then(|text| text.parse::<u64>().ok());
    let (Some(model), Some(version)) = (text("model"), text("version")) else {
        return text_response(StatusCode::BAD_REQUEST, "model and version are missing\n");
    };
    let size = number("size").unwrap_or(1 << 20) as usize;
    let chunk = number("chunk").unwrap_or(1 << 16);
    let manifest = store.publish(model, version, size, chunk, number("seed").unwrap_or(1));
    text_response(StatusCode::OK, manifest.digest().to_string())
}

fn send_range(
    store: Arc<OriginStore>,
    published: &PublishedWeights,
    request: &Request<Incoming>,
) -> AnyResponse {
    let range = request.headers().get(hyper::header::RANGE).and_then(|value| value.to_str().ok());
    let range = range.and_then(|text| text.strip_prefix("bytes=")?.split_once('-'));
    let total = published.bytes.len();
    let start = range.and_then(|(start, _)| start.parse().ok()).unwrap_or(0).min(total);
    let end = range.and_then(|(_, end)| end.parse::<usize>().ok()).map_or(total, |end| end + 1);
    let end = end.clamp(start, total);
    let mut bytes = published.bytes.slice(start..end);
    if store.faults.get().corrupt && !bytes.is_empty() {
        let mut changed = bytes.to_vec();
        changed[0] ^= 1;
        bytes = changed.into();
    }
    let length = bytes.len() as u64;
    let pieces = stream::unfold((store, bytes), |(store, mut rest)| async move {
        if rest.is_empty() {
            return None;
        }
        if store.faults.get().stall {
            std::future::pending::<()>().await;
        }
        let piece = rest.split_to(rest.len().min(PIECE_BYTES));
        store.link.transmit(piece.len()).await;
        store.sent.fetch_add(piece.len() as u64, Ordering::Relaxed);
        Some((Ok::<_, TruncatedBodyError>(Frame::data(piece)), (store, rest)))
    });
    let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
    let status = if range.is_some() { StatusCode::PARTIAL_CONTENT } else { StatusCode::OK };
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(hyper::header::CONTENT_LENGTH, length.into());
    let etag = blake3::hash(&published.manifest).to_hex();
    let etag = format!("\"{etag}\"").parse().expect("digits make a header");
    headers.insert(hyper::header::ETAG, etag);
    response
}

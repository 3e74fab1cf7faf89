//! Serves staged weights to the local engine over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use mustardrill_core::manifest::Manifest;
use mustardrill_runtime::http::{AnyResponse, HttpHandler, TruncatedBodyError, text_response};
use mustardrill_types::{ChunkIndex, ManifestDigest};

use crate::store::ChunkStore;

/// Serves `GET /weights/DIGEST`: all bytes of a version, from verified chunks.
#[derive(Debug)]
pub(crate) struct WeightsHandler {
    pub(crate) store: Arc<ChunkStore>,
}

impl HttpHandler for WeightsHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let digest = request.uri().path().strip_prefix("/weights/");
        let digest = digest.and_then(|text| text.parse::<ManifestDigest>().ok());
        let store = self.store.clone();
        Box::pin(async move {
            let found = digest.and_then(|digest| Some((digest, store.manifest(digest)?)));
            match found {
                Some((digest, manifest)) => answer(store, digest, manifest),
                None => text_response(StatusCode::NOT_FOUND, "no such weights are staged\n"),
            }
        })
    }
}

fn answer(store: Arc<ChunkStore>, digest: ManifestDigest, manifest: Arc<Manifest>) -> AnyResponse {
    let length = manifest.size.0;
    let chunks = (0..manifest.chunk_count()).map(move |index| chunk(&store, digest, index));
    let body = StreamBody::new(stream::iter(chunks));
    let mut response = Response::new(body.boxed_unsync());
    response.headers_mut().insert(hyper::header::CONTENT_LENGTH, length.into());
    response
}

/// One chunk as a frame. A missing chunk breaks the answer off with an error, so that the engine
/// does not take a shortened answer for complete weights.
fn chunk(
    store: &ChunkStore,
    digest: ManifestDigest,
    index: u32,
) -> Result<Frame<Bytes>, TruncatedBodyError> {
    store.chunk(digest, ChunkIndex(index)).map(Frame::data).ok_or(TruncatedBodyError)
}

//! HTTP client of the origin of weights and of the weight store, using range requests.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use mustardrill_core::manifest::Manifest;
use mustardrill_types::{ChunkIndex, Millis, ModelName, VersionName};

use crate::http::{BufferedResponse, CallError, HttpClient, request};

/// Largest manifest accepted, in bytes.
const MANIFEST_LIMIT: usize = 8_000_000;

/// Source of published weights.
pub trait WeightOrigin: Send + Sync {
    /// Fetches a version's manifest as published; `None` if the origin has no such version.
    fn manifest<'a>(
        &'a self,
        model: &'a ModelName,
        version: &'a VersionName,
        timeout: Millis,
    ) -> BoxFuture<'a, Result<Option<Bytes>, CallError>>;

    /// Fetches the bytes of one chunk; their digest is not verified yet.
    fn chunk<'a>(
        &'a self,
        manifest: &'a Manifest,
        index: ChunkIndex,
        timeout: Millis,
    ) -> BoxFuture<'a, Result<Bytes, CallError>>;
}

/// Origin over HTTP, with the weight store as a fallback if the origin does not answer or answers
/// with a server error.
#[derive(Debug)]
pub struct HttpOrigin {
    client: HttpClient,
    base_urls: Vec<Box<str>>,
}

impl HttpOrigin {
    /// Creates a client of the origin at the first of `addresses`; the others are tried in turn if
    /// it fails.
    pub fn open(client: HttpClient, addresses: &[Box<str>]) -> Self {
        let base_urls =
            addresses.iter().map(|address| format!("http://{address}").into()).collect();
        Self { client, base_urls }
    }

    async fn get(
        &self,
        path: &str,
        range: Option<(u64, u64)>,
        timeout: Millis,
        limit: usize,
    ) -> Result<BufferedResponse, CallError> {
        let mut result = Err(CallError::NotSent { reason: "no origin in the settings".into() });
        for base_url in &self.base_urls {
            let mut sent = request("GET", &format!("{base_url}{path}"), Bytes::new());
            if let Some((start, end)) = range {
                let value = format!("bytes={start}-{}", end - 1);
                let value = value.parse().expect("a byte range is a valid header value");
                sent.headers_mut().insert(hyper::header::RANGE, value);
            }
            result = self.client.call(sent, timeout.to_std(), limit).await;
            if result.as_ref().is_ok_and(|answer| !answer.status.is_server_error()) {
                break;
            }
        }
        result
    }
}

impl WeightOrigin for HttpOrigin {
    fn manifest<'a>(
        &'a self,
        model: &'a ModelName,
        version: &'a VersionName,
        timeout: Millis,
    ) -> BoxFuture<'a, Result<Option<Bytes>, CallError>> {
        Box::pin(async move {
            let path = format!("/v1/weights/{model}/{version}/manifest");
            let answer = self.get(&path, None, timeout, MANIFEST_LIMIT).await?;
            match answer.status.as_u16() {
                200 => Ok(Some(answer.body)),
                404 => Ok(None),
                status => Err(CallError::NoAnswer { reason: format!("status {status}").into() }),
            }
        })
    }

    fn chunk<'a>(
        &'a self,
        manifest: &'a Manifest,
        index: ChunkIndex,
        timeout: Millis,
    ) -> BoxFuture<'a, Result<Bytes, CallError>> {
        Box::pin(async move {
            let (start, end) = manifest.range(index);
            let path = format!("/v1/weights/{}/{}/bytes", manifest.model, manifest.version);
            let limit = (end - start) as usize;
            let answer = self.get(&path, Some((start, end)), timeout, limit).await?;
            if !answer.status.is_success() {
                let reason = format!("status {}", answer.status).into();
                return Err(CallError::NoAnswer { reason });
            }
            Ok(answer.body)
        })
    }
}

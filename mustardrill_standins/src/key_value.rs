//! Stand-in for the platform's key-value service: compare-and-swap, leases and long-poll watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode, Uri};
use mustardrill_runtime::http::{
    AnyResponse, HttpHandler, json_response, query_parameter, text_response,
};
use mustardrill_runtime::platform::{REVISION_HEADER, VALUE_LIMIT};
use tokio::sync::Notify;

use crate::fault::FaultPanel;

/// Contents, leases and counters of the service; kept in memory only.
#[derive(Debug, Default)]
pub struct KeyValueStore {
    table: Mutex<StoreTable>,
    changed: Notify,
    /// Fault switches, also set over HTTP.
    pub faults: FaultPanel,
}

/// Serves a store over HTTP.
#[derive(Debug, Default, Clone)]
pub struct KeyValueHandler {
    /// The store, shared with tests that inspect it.
    pub store: Arc<KeyValueStore>,
}

#[derive(Debug, Default)]
struct StoreTable {
    values: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, LeaseTerm>,
    revision: u64,
    reads: u64,
    writes: u64,
    /// Calls rejected while the fault switch `down` was set.
    refused: u64,
}

#[derive(Debug, Clone)]
struct StoredValue {
    bytes: Bytes,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct LeaseTerm {
    span: Duration,
    expires_at: Instant,
}

impl StoreTable {
    fn remove_expired(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.expires_at > now);
        let leases = &self.leases;
        self.values.retain(|_, value| value.lease.is_none_or(|id| leases.contains_key(&id)));
    }

    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }
}

impl KeyValueStore {
    fn table(&self) -> std::sync::MutexGuard<'_, StoreTable> {
        let mut table = self.table.lock().expect("nobody panics under this lock");
        table.remove_expired();
        table
    }

    /// Numbers of reads and writes handled; calls on leases count as writes.
    pub fn counts(&self) -> (u64, u64) {
        let table = self.table();
        (table.reads, table.writes)
    }

    /// Number of calls rejected while the service was down.
    pub fn refused(&self) -> u64 {
        self.table().refused
    }

    /// Number of keys with this prefix, without those of expired leases.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.table().values.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// The value of a key, not counted as a read.
    pub fn peek(&self, key: &str) -> Option<Bytes> {
        self.table().values.get(key).map(|value| value.bytes.clone())
    }

    async fn get(&self, key: &str, uri: &Uri) -> AnyResponse {
        let parameter = |name| query_parameter(uri, name).and_then(|text| text.parse::<u64>().ok());
        let after = parameter("after");
        let deadline = Instant::now() + Duration::from_millis(parameter("wait_ms").unwrap_or(0));
        self.table().reads += 1;
        loop {
            let notified = self.changed.notified();
            let found = self.table().values.get(key).cloned();
            let revision = found.as_ref().map_or(0, |value| value.revision);
            let has_changed = after.is_none_or(|after| revision > after);
            if has_changed || Instant::now() >= deadline || self.faults.get().down {
                let bytes = found.map(|value| value.bytes).unwrap_or_default();
                let mut response =
                    AnyResponse::new(mustardrill_runtime::http::buffered_body(bytes));
                response.headers_mut().insert(REVISION_HEADER, revision.into());
                return response;
            }
            let _ = tokio::time::timeout_at(deadline.into(), notified).await;
        }
    }

    fn put(&self, key: &str, uri: &Uri, bytes: Bytes) -> AnyResponse {
        let parameter = |name| query_parameter(uri, name).and_then(|text| text.parse::<u64>().ok());
        let mut table = self.table();
        table.writes += 1;
        let current = table.values.get(key).map_or(0, |value| value.revision);
        if parameter("expect").is_some_and(|expect| expect != current) {
            return with_revision(text_response(StatusCode::CONFLICT, "conflict\n"), current);
        }
        let lease = parameter("lease");
        if lease.is_some_and(|id| !table.leases.contains_key(&id)) {
            return text_response(StatusCode::GONE, "the lease is over\n");
        }
        let revision = table.next_revision();
        table.values.insert(key.to_owned(), StoredValue { bytes, revision, lease });
        drop(table);
        self.changed.notify_waiters();
        with_revision(text_response(StatusCode::OK, ""), revision)
    }

    fn handle_lease(&self, method: &Method, path: &str, uri: &Uri) -> AnyResponse {
        let mut table = self.table();
        table.writes += 1;
        let rest = path.trim_start_matches("/v1/leases").trim_matches('/');
        let (id, action) = rest.split_once('/').unwrap_or((rest, ""));
        let id: u64 = id.parse().unwrap_or(0);
        if method == Method::POST && rest.is_empty() {
            let span =
                query_parameter(uri, "ttl_ms").and_then(|text| text.parse().ok()).unwrap_or(10_000);
            let span = Duration::from_millis(span);
            let id = table.next_revision();
            table.leases.insert(id, LeaseTerm { span, expires_at: Instant::now() + span });
            return json_response(StatusCode::OK, &serde_json::json!({ "lease": id }));
        }
        if method == Method::DELETE {
            table.leases.remove(&id);
            table.remove_expired();
            drop(table);
            self.changed.notify_waiters();
            return text_response(StatusCode::OK, "");
        }
        match table.leases.get_mut(&id) {
            Some(lease) if action == "renew" => {
                lease.expires_at = Instant::now() + lease.span;
                text_response(StatusCode::OK, "")
            }
            _ => text_response(StatusCode::GONE, "the lease is over\n"),
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> AnyResponse {
        if let Some(answer) = self.faults.admin(&request) {
            self.changed.notify_waiters();
            return answer;
        }
        let faults = self.faults.get();
        if faults.down {
            self.table().refused += 1;
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n");
        }
        tokio::time::sleep(faults.delay).await;
        let (head, body) = request.into_parts();
        let body = Limited::new(body, VALUE_LIMIT).collect().await;
        let Ok(body) = body.map(http_body_util::Collected::to_bytes) else {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "a value holds a megabyte\n");
        };
        let path = head.uri.path().to_owned();
        let answer = match (path.strip_prefix("/v1/kv/"), &head.method) {
            (Some(key), &Method::GET) => self.get(key, &head.uri).await,
            (Some(key), &Method::PUT) => self.put(key, &head.uri, body),
            (None, method) if path.starts_with("/v1/leases") => {
                self.handle_lease(method, &path, &head.uri)
            }
            (None, &Method::GET) if path == "/admin/counts" => {
                let (reads, writes) = self.counts();
                json_response(
                    StatusCode::OK,
                    &serde_json::json!({ "reads": reads, "writes": writes }),
                )
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such call\n"),
        };
        let is_answer_lost =
            faults.lose_answers || (faults.lose_writes && head.method != Method::GET);
        if is_answer_lost && path.starts_with("/v1/") {
            std::future::pending::<()>().await;
        }
        answer
    }
}

impl HttpHandler for KeyValueHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let store = self.store.clone();
        Box::pin(async move { store.handle(request).await })
    }
}

fn with_revision(mut response: AnyResponse, revision: u64) -> AnyResponse {
    response.headers_mut().insert(REVISION_HEADER, revision.into());
    response
}

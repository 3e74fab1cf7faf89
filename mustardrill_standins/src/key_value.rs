//! The platform's key-value service: compare-and-swap, leases, long-poll watches.

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

/// The service's state.
#[derive(Debug, Default)]
pub struct KeyValueStore {
    table: Mutex<Table>,
    changed: Notify,
    /// The switches.
    pub faults: FaultPanel,
}

/// Answers calls on a store.
#[derive(Debug, Default, Clone)]
pub struct KeyValueHandler {
    /// The store, shared with whoever looks in from a test.
    pub store: Arc<KeyValueStore>,
}

#[derive(Debug, Default)]
struct Table {
    values: BTreeMap<String, Value>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    reads: u64,
    writes: u64,
    /// Calls that came while the service was down.
    refused: u64,
}

#[derive(Debug, Clone)]
struct Value {
    bytes: Bytes,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    span: Duration,
    until: Instant,
}

impl Table {
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.until > now);
        let leases = &self.leases;
        self.values.retain(|_, value| value.lease.is_none_or(|id| leases.contains_key(&id)));
    }

    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }
}

impl KeyValueStore {
    fn table(&self) -> std::sync::MutexGuard<'_, Table> {
        let mut table = self.table.lock().expect("nobody panics under this lock");
        table.expire();
        table
    }

    /// How many reads and writes were answered.
    pub fn counts(&self) -> (u64, u64) {
        let table = self.table();
        (table.reads, table.writes)
    }

    /// How many calls came while the service was down.
    pub fn refused(&self) -> u64 {
        self.table().refused
    }

    /// How many keys begin with this text.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.table().values.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// The bytes of a key.
    pub fn peek(&self, key: &str) -> Option<Bytes> {
        self.table().values.get(key).map(|value| value.bytes.clone())
    }

    async fn get(&self, key: &str, uri: &Uri) -> AnyResponse {
        let number = |name| query_parameter(uri, name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        self.table().reads += 1;
        loop {
            let notified = self.changed.notified();
            let found = self.table().values.get(key).cloned();
            let revision = found.as_ref().map_or(0, |value| value.revision);
            let is_news = after.is_none_or(|after| revision > after);
            if is_news || Instant::now() >= until || self.faults.get().down {
                let bytes = found.map(|value| value.bytes).unwrap_or_default();
                let mut response =
                    AnyResponse::new(mustardrill_runtime::http::buffered_body(bytes));
                response.headers_mut().insert(REVISION_HEADER, revision.into());
                return response;
            }
            let _ = tokio::time::timeout_at(until.into(), notified).await;
        }
    }

    fn put(&self, key: &str, uri: &Uri, bytes: Bytes) -> AnyResponse {
        let number = |name| query_parameter(uri, name).and_then(|text| text.parse::<u64>().ok());
        let mut table = self.table();
        table.writes += 1;
        let current = table.values.get(key).map_or(0, |value| value.revision);
        if number("expect").is_some_and(|expect| expect != current) {
            return with_revision(text_response(StatusCode::CONFLICT, "conflict\n"), current);
        }
        let lease = number("lease");
        if lease.is_some_and(|id| !table.leases.contains_key(&id)) {
            return text_response(StatusCode::GONE, "the lease is over\n");
        }
        let revision = table.next_revision();
        table.values.insert(key.to_owned(), Value { bytes, revision, lease });
        drop(table);
        self.changed.notify_waiters();
        with_revision(text_response(StatusCode::OK, ""), revision)
    }

    fn lease(&self, method: &Method, path: &str, uri: &Uri) -> AnyResponse {
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
            table.leases.insert(id, Lease { span, until: Instant::now() + span });
            return json_response(StatusCode::OK, &serde_json::json!({ "lease": id }));
        }
        if method == Method::DELETE {
            table.leases.remove(&id);
            table.expire();
            drop(table);
            self.changed.notify_waiters();
            return text_response(StatusCode::OK, "");
        }
        match table.leases.get_mut(&id) {
            Some(lease) if action == "renew" => {
                lease.until = Instant::now() + lease.span;
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
                self.lease(method, &path, &head.uri)
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
        let is_lost = faults.lose_answers || (faults.lose_writes && head.method != Method::GET);
        if is_lost && path.starts_with("/v1/") {
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

//! The prepared platform's store, as its pages tell it: items, watches, leases, and its failures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use mustardrill_runtime::http::{
    AnyResponse, HttpHandler, json_response, query_parameter, text_response,
};
use serde_json::{Value, json};
use tokio::sync::Notify;

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers.
    Sound,
    /// It answers 503.
    Busy,
    /// It answers nothing.
    Silent,
}

/// What the store held at a moment.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    leases: u64,
}

impl StoreCopy {
    /// Leaves a key out of the copy.
    pub fn forget(&mut self, key: &str) {
        self.items.remove(key);
    }
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

struct StoreState {
    mode: StoreMode,
    /// How often it has come back from a copy.
    era: u64,
    /// The number of the lease that was given last.
    leases: u64,
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Every change: its revision, key, and value; nothing for a removal.
    history: Vec<(u64, String, Option<String>)>,
    /// Changes up to this one are forgotten.
    compacted: u64,
    /// How often items were read, by the beginning of their keys.
    reads: BTreeMap<String, u32>,
    /// How often leases were renewed.
    renewals: u32,
}

impl Store {
    pub fn new() -> Self {
        let state = StoreState {
            mode: StoreMode::Sound,
            era: 0,
            leases: 0,
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            compacted: 0,
            reads: BTreeMap::new(),
            renewals: 0,
        };
        Self { state: Arc::new(Mutex::new(state)), changed: Arc::new(Notify::new()) }
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.state.lock().unwrap().mode = mode;
        self.changed.notify_waiters();
    }

    pub fn write(&self, key: &str, value: &Value) {
        self.put(key, STANDARD.encode(value.to_string()));
    }

    /// What is kept under a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        let bytes = STANDARD.decode(&state.items.get(key)?.0).unwrap();
        Some(serde_json::from_slice(&bytes).unwrap())
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.items.remove(key);
        let revision = state.revision;
        state.history.push((revision, key.into(), None));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Forgets the history so far.
    pub fn compact(&self) {
        let mut state = self.state.lock().unwrap();
        state.history.clear();
        state.compacted = state.revision;
    }

    /// What it holds now.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock().unwrap();
        StoreCopy { revision: state.revision, items: state.items.clone(), leases: state.leases }
    }

    /// Comes back from a copy: what was written since is gone, and revisions and numbers of leases
    /// are given out again.
    pub fn return_to(&self, copy: &StoreCopy) {
        let mut state = self.state.lock().unwrap();
        state.era += 1;
        state.revision = copy.revision;
        state.items = copy.items.clone();
        state.leases = copy.leases;
        state.history.clear();
        state.compacted = copy.revision;
        drop(state);
        self.changed.notify_waiters();
    }

    /// The state that it is in.
    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().revision
    }

    fn put(&self, key: &str, value: String) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.into(), (value.clone(), revision));
        state.history.push((revision, key.into(), Some(value)));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Whether it takes writes.
    pub fn is_sound(&self) -> bool {
        self.mode() == StoreMode::Sound
    }

    fn mode(&self) -> StoreMode {
        self.state.lock().unwrap().mode
    }

    /// How often the items whose keys begin so were read.
    pub fn reads(&self, prefix: &str) -> u32 {
        self.state.lock().unwrap().reads.get(prefix).copied().unwrap_or(0)
    }

    /// How often leases were renewed.
    pub fn renewals(&self) -> u32 {
        self.state.lock().unwrap().renewals
    }

    fn range(&self, prefix: &str) -> Value {
        let mut state = self.state.lock().unwrap();
        *state.reads.entry(prefix.into()).or_default() += 1;
        let found = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let entries: Vec<_> = found
            .map(|(key, (value, revision))| json!({"key": key, "value": value, "revision": revision}))
            .collect();
        json!({"entries": entries, "has_more": false, "at": state.revision})
    }

    /// The changes after a state; nothing where they are forgotten.
    fn events(&self, prefix: &str, after: u64) -> Option<(Vec<Value>, u64)> {
        let state = self.state.lock().unwrap();
        if after < state.compacted || after > state.revision {
            return None;
        }
        let found =
            state.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        let events = found.map(|(at, key, value)| match value {
            Some(value) => json!({"key": key, "value": value, "revision": at}),
            None => json!({"key": key, "revision": at, "deleted": true}),
        });
        Some((events.collect(), state.revision))
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> AnyResponse {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            match self.events(prefix, after) {
                None => return text_response(StatusCode::GONE, ""),
                Some((events, at)) if !events.is_empty() => {
                    return json_response(StatusCode::OK, &json!({"events": events, "at": at}));
                }
                Some((_, at)) if tokio::time::Instant::now() >= until => {
                    return json_response(StatusCode::OK, &json!({"events": [], "at": at}));
                }
                Some(_) => {}
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> AnyResponse {
        match self.mode() {
            StoreMode::Sound => {}
            StoreMode::Busy => return text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
            StoreMode::Silent => std::future::pending().await,
        }
        let uri = request.uri().clone();
        let prefix = query_parameter(&uri, "prefix").unwrap_or_default();
        let number =
            |name| query_parameter(&uri, name).and_then(|text| text.parse().ok()).unwrap_or(0u64);
        match uri.path() {
            "/v1/kv-range" => json_response(StatusCode::OK, &self.range(prefix)),
            "/v1/kv-watch" => {
                let wait = Duration::from_millis(number("wait_ms"));
                let answer = self.watch(prefix, number("after"), wait).await;
                // A store that has become busy or silent meanwhile gives no proof of anything.
                match self.mode() {
                    StoreMode::Sound => answer,
                    StoreMode::Busy => text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
                    StoreMode::Silent => std::future::pending().await,
                }
            }
            "/v1/kv-lease" => {
                let mut state = self.state.lock().unwrap();
                state.leases += 1;
                let lease = state.leases;
                json_response(StatusCode::OK, &json!({"lease_id": lease, "ttl_ms": 10_000}))
            }
            "/v1/kv-txn" => {
                let body = request.into_body().collect().await.unwrap().to_bytes();
                let change: Value = serde_json::from_slice(&body).unwrap();
                for row in change["write"].as_array().unwrap() {
                    let value = row["value"].as_str().unwrap().to_owned();
                    self.put(row["key"].as_str().unwrap(), value);
                }
                json_response(StatusCode::OK, &json!({"revision": 1}))
            }
            path if path.starts_with("/v1/kv-keep/") => {
                let mut state = self.state.lock().unwrap();
                state.renewals += 1;
                let lease: u64 = path.rsplit('/').next().unwrap().parse().unwrap();
                if lease > state.leases {
                    return text_response(StatusCode::NOT_FOUND, "");
                }
                drop(state);
                json_response(StatusCode::OK, &json!({"ttl_ms": 10_000}))
            }
            _ => text_response(StatusCode::NOT_FOUND, ""),
        }
    }
}

impl HttpHandler for Store {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let store = self.clone();
        Box::pin(async move {
            let era = store.state.lock().unwrap().era;
            let mut response = store.answer(request).await;
            // A watch that the return cut short is answered by the store that is back.
            let era = era.max(store.state.lock().unwrap().era);
            response.headers_mut().insert("store-era", era.into());
            response
        })
    }
}

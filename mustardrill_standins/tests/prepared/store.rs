//! Stand-in of the prepared platform's store after its published interface: items, watches, leases
//! and failures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use mustardrill_runtime::http::{AnyResponse, HttpHandler, json_response, text_response};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::sync::Notify;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers calls.
    Available,
    /// Answers every call with status 503.
    Unavailable,
    /// Accepts calls and never answers.
    Silent,
}

/// How the store answers watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchMode {
    /// As its interface says.
    Waiting,
    /// At once, whether there is a change or not.
    Hasty,
    /// That the changes asked for are no longer available.
    Forgetful,
}

/// An item of the store.
#[derive(Debug, Clone)]
struct StoredItem {
    /// The bytes in Base64.
    value: String,
    revision: u64,
    /// The lease that it hangs on; 0 for none.
    lease: u64,
}

/// A lease that was granted.
#[derive(Debug, Clone, Copy)]
struct StoreLease {
    span: Duration,
    ends_at: Instant,
}

/// A copy of the store's contents at one revision.
#[derive(Debug, Clone)]
pub struct StoreSnapshot {
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    leases: BTreeMap<u64, StoreLease>,
    last_lease: u64,
}

impl StoreSnapshot {
    /// Removes a key from the copy.
    pub fn remove(&mut self, key: &str) {
        self.items.remove(key);
    }
}

/// Handle of the store; clones share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

struct StoreState {
    mode: StoreMode,
    watch_mode: WatchMode,
    /// Delays each answer by a random time within the range, in milliseconds.
    delays: Option<(StdRng, std::ops::Range<u64>)>,
    /// Number of restores from a copy; sent in the header `store-era`.
    era: u64,
    /// The most changes in one answer to a watch; the reader continues from its `at`.
    watch_limit: usize,
    /// The most items in one page of a range.
    page_limit: usize,
    /// Whether queries with encoded bytes are refused.
    refuses_encoded: bool,
    /// Number of the latest lease granted.
    last_lease: u64,
    /// Leases that have not ended, by number.
    leases: BTreeMap<u64, StoreLease>,
    /// For how long the next change of a key is held before it is made; it is not answered.
    late_writes: BTreeMap<String, Duration>,
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    /// Every change as revision, key and value; the value is `None` for a removal.
    history: Vec<(u64, String, Option<String>)>,
    /// Changes up to this revision are no longer available.
    compacted_revision: u64,
    /// Number of reads by key prefix.
    reads: BTreeMap<String, u32>,
    renewals: u32,
    /// Number of calls of any kind.
    calls: u32,
}

impl Store {
    pub fn new() -> Self {
        let state = StoreState {
            mode: StoreMode::Available,
            watch_mode: WatchMode::Waiting,
            delays: None,
            era: 0,
            watch_limit: usize::MAX,
            page_limit: usize::MAX,
            refuses_encoded: false,
            last_lease: 0,
            leases: BTreeMap::new(),
            late_writes: BTreeMap::new(),
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            compacted_revision: 0,
            reads: BTreeMap::new(),
            renewals: 0,
            calls: 0,
        };
        Self { state: Arc::new(Mutex::new(state)), changed: Arc::new(Notify::new()) }
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.state.lock().unwrap().mode = mode;
        self.changed.notify_waiters();
    }

    pub fn set_watch_mode(&self, mode: WatchMode) {
        self.state.lock().unwrap().watch_mode = mode;
        self.changed.notify_waiters();
    }

    /// Makes the store answer each call later by a random time within the range, or no longer.
    pub fn set_delays(&self, seed: u64, delays_ms: Option<std::ops::Range<u64>>) {
        let delays = delays_ms.map(|delays_ms| (StdRng::seed_from_u64(seed), delays_ms));
        self.state.lock().unwrap().delays = delays;
    }

    /// Limits the changes in one answer to a watch.
    pub fn set_watch_limit(&self, limit: usize) {
        self.state.lock().unwrap().watch_limit = limit;
    }

    /// Limits the items in one page of a range.
    pub fn set_page_limit(&self, limit: usize) {
        self.state.lock().unwrap().page_limit = limit;
    }

    /// Makes the store refuse queries with encoded bytes.
    pub fn refuse_encoded(&self) {
        self.state.lock().unwrap().refuses_encoded = true;
    }

    fn next_delay(&self) -> Duration {
        let mut state = self.state.lock().unwrap();
        let delays = state.delays.as_mut();
        let delay_ms = delays.map(|(random, delays_ms)| random.random_range(delays_ms.clone()));
        Duration::from_millis(delay_ms.unwrap_or(0))
    }

    pub fn write(&self, key: &str, value: &Value) {
        self.write_bytes(key, value.to_string().as_bytes());
    }

    pub fn write_bytes(&self, key: &str, value: &[u8]) {
        self.state.lock().unwrap().put(key, STANDARD.encode(value), 0);
        self.changed.notify_waiters();
    }

    /// Makes the store carry out the next change of a key only after `delay`, without an answer.
    pub fn delay_next_write(&self, key: &str, delay: Duration) {
        self.state.lock().unwrap().late_writes.insert(key.into(), delay);
    }

    /// Whether a change of the key is still to be delayed.
    pub fn awaits_write(&self, key: &str) -> bool {
        self.state.lock().unwrap().late_writes.contains_key(key)
    }

    /// Returns the decoded JSON value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        let bytes = STANDARD.decode(&state.items.get(key)?.value).unwrap();
        Some(serde_json::from_slice(&bytes).unwrap())
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_waiters();
    }

    /// Discards the history so far; watches from an older revision get status 410.
    pub fn compact(&self) {
        let mut state = self.state.lock().unwrap();
        state.history.clear();
        state.compacted_revision = state.revision;
    }

    pub fn snapshot(&self) -> StoreSnapshot {
        let state = self.state.lock().unwrap();
        StoreSnapshot {
            revision: state.revision,
            items: state.items.clone(),
            leases: state.leases.clone(),
            last_lease: state.last_lease,
        }
    }

    /// Restores a copy: later writes are lost, and their revisions and lease numbers are assigned
    /// again.
    pub fn restore_from(&self, snapshot: &StoreSnapshot) {
        let mut state = self.state.lock().unwrap();
        state.era += 1;
        state.revision = snapshot.revision;
        state.items = snapshot.items.clone();
        state.leases = snapshot.leases.clone();
        state.last_lease = snapshot.last_lease;
        state.history.clear();
        state.compacted_revision = snapshot.revision;
        drop(state);
        self.changed.notify_waiters();
    }

    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().revision
    }

    pub fn is_available(&self) -> bool {
        self.mode() == StoreMode::Available
    }

    fn mode(&self) -> StoreMode {
        self.state.lock().unwrap().mode
    }

    /// Counts the reads with exactly this key prefix.
    pub fn reads(&self, prefix: &str) -> u32 {
        self.state.lock().unwrap().reads.get(prefix).copied().unwrap_or(0)
    }

    pub fn calls(&self) -> u32 {
        self.state.lock().unwrap().calls
    }

    pub fn renewals(&self) -> u32 {
        self.state.lock().unwrap().renewals
    }

    /// Returns the page of the items whose keys come after the key `after`.
    fn range(&self, prefix: &str, after: &str) -> Value {
        let mut state = self.state.lock().unwrap();
        *state.reads.entry(prefix.into()).or_default() += 1;
        let mut found = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let page = found.by_ref().take(state.page_limit);
        let entries: Vec<_> = page.map(|(key, item)| item_json(key, Some(item))).collect();
        let has_more = found.next().is_some();
        json!({"entries": entries, "has_more": has_more, "at": state.revision})
    }

    /// Returns the changes after a revision and the current one, or `None` if these changes are no
    /// longer available.
    fn changes_after(&self, prefix: &str, after: u64) -> Option<(Vec<Value>, u64)> {
        let state = self.state.lock().unwrap();
        if after < state.compacted_revision || after > state.revision {
            return None;
        }
        let found =
            state.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        let mut found: Vec<_> = found.collect();
        let is_cut = found.len() > state.watch_limit;
        found.truncate(state.watch_limit);
        let end = found.last().filter(|_| is_cut).map_or(state.revision, |(at, ..)| *at);
        let events = found.into_iter().map(|(at, key, value)| match value {
            Some(value) => json!({"key": key, "value": value, "revision": at}),
            None => json!({"key": key, "revision": at, "deleted": true}),
        });
        Some((events.collect(), end))
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> AnyResponse {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let watch_mode = self.state.lock().unwrap().watch_mode;
            let until =
                if watch_mode == WatchMode::Hasty { tokio::time::Instant::now() } else { until };
            if watch_mode == WatchMode::Forgetful {
                return text_response(StatusCode::GONE, "");
            }
            let changed = self.changed.notified();
            match self.changes_after(prefix, after) {
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

    /// Grants a lease, which ends once its span has passed without a renewal while the store was
    /// available.
    fn grant_lease(&self, span: Duration) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.last_lease += 1;
        let number = state.last_lease;
        state.leases.insert(number, StoreLease { span, ends_at: Instant::now() + span });
        drop(state);
        let store = self.clone();
        tokio::spawn(async move {
            while let Some(pause) = store.lease_rest(number) {
                tokio::time::sleep(pause).await;
            }
        });
        number
    }

    /// Ends a lease if it is due; otherwise returns when to look again.
    fn lease_rest(&self, number: u64) -> Option<Duration> {
        const PAUSED: Duration = Duration::from_millis(100);
        let mut state = self.state.lock().unwrap();
        let lease = *state.leases.get(&number)?;
        let rest = lease.ends_at.saturating_duration_since(Instant::now());
        if !rest.is_zero() {
            return Some(rest);
        }
        if state.mode != StoreMode::Available {
            return Some(PAUSED);
        }
        state.end_lease(number);
        drop(state);
        self.changed.notify_waiters();
        None
    }

    fn take_delay(&self, change: &Value) -> Option<Duration> {
        let mut state = self.state.lock().unwrap();
        let written = change["write"].as_array().unwrap().iter().map(|row| &row["key"]);
        let removed = change["remove"].as_array().unwrap().iter();
        let mut keys = written.chain(removed).map(|key| key.as_str().unwrap());
        keys.find_map(|key| state.late_writes.remove(key))
    }

    fn transact(&self, change: &Value) -> AnyResponse {
        let mut state = self.state.lock().unwrap();
        let conditions = change["precondition"].as_array().unwrap();
        let key_of = |row: &Value| row["key"].as_str().unwrap().to_owned();
        let holds = |row: &Value| {
            let revision = state.items.get(&key_of(row)).map_or(0, |item| item.revision);
            row["revision"].as_u64().unwrap() == revision
        };
        if !conditions.iter().all(holds) {
            let entries: Vec<_> = conditions
                .iter()
                .map(|row| item_json(&key_of(row), state.items.get(&key_of(row))))
                .collect();
            return json_response(StatusCode::PRECONDITION_FAILED, &json!({"entries": entries}));
        }
        let writes = change["write"].as_array().unwrap();
        let lease_of = |row: &Value| row["lease_id"].as_u64().unwrap();
        let has_lease = |row| lease_of(row) == 0 || state.leases.contains_key(&lease_of(row));
        if !writes.iter().all(has_lease) {
            return text_response(StatusCode::NOT_FOUND, "");
        }
        for row in writes {
            let value = row["value"].as_str().unwrap().to_owned();
            state.put(&key_of(row), value, lease_of(row));
        }
        for key in change["remove"].as_array().unwrap() {
            state.remove(key.as_str().unwrap());
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_waiters();
        json_response(StatusCode::OK, &json!({"revision": revision}))
    }

    async fn answer(&self, request: Request<Incoming>) -> AnyResponse {
        self.state.lock().unwrap().calls += 1;
        match self.mode() {
            StoreMode::Available => {}
            StoreMode::Unavailable => return text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
            StoreMode::Silent => std::future::pending().await,
        }
        let uri = request.uri().clone();
        let refuses_encoded = self.state.lock().unwrap().refuses_encoded;
        let query = Some(uri.query().unwrap_or_default());
        let query = query.filter(|query| !refuses_encoded || !query.contains('%'));
        let Some(query) = query.and_then(decode_query) else {
            return text_response(StatusCode::BAD_REQUEST, "");
        };
        let text = |name| query.get(name).map(String::as_str).unwrap_or_default();
        let number = |name| text(name).parse().unwrap_or(0u64);
        let prefix = text("prefix");
        match uri.path() {
            "/v1/kv-range" => json_response(StatusCode::OK, &self.range(prefix, text("after"))),
            "/v1/kv-watch" => {
                let wait = Duration::from_millis(number("wait_ms"));
                let answer = self.watch(prefix, number("after"), wait).await;
                // A store that has failed meanwhile must not confirm any state.
                match self.mode() {
                    StoreMode::Available => answer,
                    StoreMode::Unavailable => text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
                    StoreMode::Silent => std::future::pending().await,
                }
            }
            "/v1/kv-key" => {
                let key = text("key");
                match self.state.lock().unwrap().items.get(key) {
                    Some(item) => json_response(StatusCode::OK, &item_json(key, Some(item))),
                    None => text_response(StatusCode::NOT_FOUND, ""),
                }
            }
            "/v1/kv-lease" => {
                let body = request.into_body().collect().await.unwrap().to_bytes();
                let call: Value = serde_json::from_slice(&body).unwrap();
                let span = Duration::from_millis(call["ttl_ms"].as_u64().unwrap());
                let lease = self.grant_lease(span);
                let ttl_ms = span.as_millis() as u64;
                json_response(StatusCode::OK, &json!({"lease_id": lease, "ttl_ms": ttl_ms}))
            }
            "/v1/kv-txn" => {
                let body = request.into_body().collect().await.unwrap().to_bytes();
                let change: Value = serde_json::from_slice(&body).unwrap();
                let Some(delay) = self.take_delay(&change) else { return self.transact(&change) };
                let store = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    store.transact(&change);
                });
                std::future::pending().await
            }
            path if path.starts_with("/v1/kv-keep/") => {
                let mut state = self.state.lock().unwrap();
                state.renewals += 1;
                let Some(lease) = state.leases.get_mut(&path_number(path)) else {
                    return text_response(StatusCode::NOT_FOUND, "");
                };
                lease.ends_at = Instant::now() + lease.span;
                let ttl_ms = lease.span.as_millis() as u64;
                json_response(StatusCode::OK, &json!({"ttl_ms": ttl_ms}))
            }
            path if path.starts_with("/v1/kv-lease-end/") => {
                self.state.lock().unwrap().end_lease(path_number(path));
                self.changed.notify_waiters();
                json_response(StatusCode::OK, &json!({}))
            }
            _ => text_response(StatusCode::NOT_FOUND, ""),
        }
    }
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        self.items.insert(key.into(), StoredItem { value: value.clone(), revision, lease });
        self.history.push((revision, key.into(), Some(value)));
    }

    fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.items.remove(key);
        self.history.push((self.revision, key.into(), None));
    }

    /// Ends a lease and removes the items that hang on it.
    fn end_lease(&mut self, number: u64) {
        self.leases.remove(&number);
        let held = self.items.iter().filter(|(_, item)| item.lease == number);
        let keys: Vec<_> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

/// The JSON form of an item, or of the absence of one.
fn item_json(key: &str, item: Option<&StoredItem>) -> Value {
    match item {
        Some(item) => json!({"key": key, "value": item.value, "revision": item.revision,
            "lease_id": item.lease}),
        None => json!({"key": key, "revision": 0}),
    }
}

/// The parameters of a query, decoded as those of a form; `None` for a query that is malformed.
fn decode_query(query: &str) -> Option<BTreeMap<String, String>> {
    let pairs = query.split('&').filter(|pair| !pair.is_empty());
    pairs
        .map(|pair| pair.split_once('='))
        .map(|pair| {
            let (name, value) = pair?;
            Some((name.to_owned(), decode_form_text(value)?))
        })
        .collect()
}

/// Decodes `+` as a blank, and `%` with two hexadecimal digits as a byte.
fn decode_form_text(text: &str) -> Option<String> {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digits = [char::from(rest.next()?), char::from(rest.next()?)];
                u8::try_from(digits[0].to_digit(16)? * 16 + digits[1].to_digit(16)?).ok()?
            }
            other => other,
        });
    }
    String::from_utf8(bytes).ok()
}

/// The number at the end of a path.
fn path_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl HttpHandler for Store {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let store = self.clone();
        Box::pin(async move {
            let era = store.state.lock().unwrap().era;
            let mut response = store.answer(request).await;
            tokio::time::sleep(store.next_delay()).await;
            // A watch that a restore interrupts is answered by the restored store, in its era.
            let era = era.max(store.state.lock().unwrap().era);
            response.headers_mut().insert("store-era", era.into());
            response
        })
    }
}

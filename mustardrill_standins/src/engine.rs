//! A model engine: load orders with fencing, priorities, streamed answers that name their weights.
//!
//! An answer is made from the digest of the loaded weights and the prompt alone, so whoever has
//! both can tell whether it is whole and from which weights it came.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use mustardrill_core::manifest::Manifest;
use mustardrill_runtime::http::{
    AnyResponse, HttpClient, HttpHandler, TruncatedBodyError, json_response, request, text_response,
};
use mustardrill_types::ByteSize;
use serde::Deserialize;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::fault::FaultPanel;

/// A prompt under which an engine ends, as there may be one that its software can't bear.
pub const CRASH_PROMPT: &str = "end this engine";

/// The classes of priority that an engine tells apart.
const PRIORITIES: usize = 3;

/// What a process that crashes exits with.
const CRASH_STATUS: i32 = 70;

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Requests run at once.
    pub capacity: usize,
    /// The pieces of an answer.
    pub pieces: u64,
    /// The time between pieces.
    pub piece_time: Duration,
    /// The time a load takes after the bytes are there.
    pub load_time: Duration,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
}

/// The state of one engine.
#[derive(Debug)]
pub struct EngineState {
    options: EngineOptions,
    loaded: Mutex<Loaded>,
    slots: SlotQueue,
    loads: Mutex<Vec<(Instant, usize)>>,
    runs: Mutex<Vec<String>>,
    finished: AtomicU64,
    client: HttpClient,
    /// The switches.
    pub faults: FaultPanel,
}

/// Answers calls to an engine.
#[derive(Debug, Clone)]
pub struct EngineHandler {
    /// The state, shared with whoever looks in from a test.
    pub state: Arc<EngineState>,
}

#[derive(Debug, Default)]
struct Loaded {
    serving: Option<String>,
    fence: u64,
    /// Every accepted order: fencing number and digest.
    orders: Vec<(u64, String)>,
    refused_orders: u64,
    /// Orders that came in whole, whatever became of them.
    received_orders: u64,
}

#[derive(Deserialize)]
struct LoadBody {
    model: Box<str>,
    version: Box<str>,
    digest: Box<str>,
    fence: u64,
    size: u64,
    chunk_size: u64,
    source: Box<str>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            capacity: 8,
            pieces: 8,
            piece_time: Duration::from_millis(5),
            load_time: Duration::from_millis(200),
            checks_fencing: true,
        }
    }
}

impl EngineState {
    /// An engine without weights.
    pub fn new(options: EngineOptions) -> Self {
        Self {
            slots: SlotQueue::new(options.capacity),
            loads: Mutex::default(),
            options,
            loaded: Mutex::default(),
            runs: Mutex::default(),
            finished: AtomicU64::new(0),
            client: HttpClient::open(Duration::from_secs(1)),
            faults: FaultPanel::default(),
        }
    }

    /// The prompts that were run, in order; a prompt that was run twice stands twice.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("nobody panics under this lock").clone()
    }

    /// The accepted load orders and how many were refused.
    pub fn orders(&self) -> (Vec<(u64, String)>, u64) {
        let loaded = self.loaded();
        (loaded.orders.clone(), loaded.refused_orders)
    }

    fn loaded(&self) -> std::sync::MutexGuard<'_, Loaded> {
        self.loaded.lock().expect("nobody panics under this lock")
    }

    async fn load(&self, body: &[u8]) -> AnyResponse {
        let Ok(order) = serde_json::from_slice::<LoadBody>(body) else {
            return text_response(StatusCode::BAD_REQUEST, "not a load order\n");
        };
        self.loaded().received_orders += 1;
        if !self.admits_fence(order.fence) {
            return text_response(StatusCode::CONFLICT, "an old fencing number\n");
        }
        let limit = order.size as usize + 1;
        let sent = request("GET", &order.source, Bytes::new());
        let fetched = self.client.call(sent, Duration::from_secs(60), limit).await;
        let Ok(fetched) = fetched else {
            return text_response(StatusCode::BAD_GATEWAY, "the weights could not be fetched\n");
        };
        // Whoever looks in from a test finds a wrong byte here, whatever the agent believed.
        let digest = digest_of_bytes(&order, &fetched.body);
        tokio::time::sleep(self.options.load_time).await;
        if !self.admits_fence(order.fence) {
            return text_response(StatusCode::CONFLICT, "an old fencing number\n");
        }
        let mut loaded = self.loaded();
        loaded.orders.push((order.fence, digest.clone()));
        loaded.serving = Some(digest);
        text_response(StatusCode::OK, "")
    }

    /// Refuses an old fencing number, also one that became old while the weights were loaded.
    fn admits_fence(&self, fence: u64) -> bool {
        let mut loaded = self.loaded();
        if self.options.checks_fencing && fence < loaded.fence {
            loaded.refused_orders += 1;
            return false;
        }
        loaded.fence = loaded.fence.max(fence);
        true
    }

    async fn run(self: Arc<Self>, request: Request<Incoming>) -> AnyResponse {
        let (head, body) = request.into_parts();
        let Ok(prompt) = body.collect().await.map(http_body_util::Collected::to_bytes) else {
            return text_response(StatusCode::BAD_REQUEST, "the request was cut\n");
        };
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let Some(mut serving) = self.loaded().serving.clone() else {
            return text_response(StatusCode::PRECONDITION_FAILED, "no weights are loaded\n");
        };
        if text("x-expected-weights").is_some_and(|expected| expected != serving) {
            let mut refusal =
                text_response(StatusCode::PRECONDITION_FAILED, "other weights are loaded\n");
            name_weights(&mut refusal, &serving);
            return refusal;
        }
        if self.faults.get().wrong_weights {
            serving = "f".repeat(serving.len());
        }
        let resume = text("x-resume-from").and_then(|text| text.parse().ok()).unwrap_or(0);
        let prompt = String::from_utf8_lossy(&prompt).into_owned();
        self.runs.lock().expect("nobody panics under this lock").push(prompt.clone());
        if prompt == CRASH_PROMPT {
            tokio::time::sleep(self.options.piece_time).await;
            std::process::exit(CRASH_STATUS);
        }
        let answer = answer_text(&serving, &prompt, self.options.pieces);
        let priority = text("x-priority").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut response = Response::new(self.stream(answer, resume, priority));
        name_weights(&mut response, &serving);
        response.headers_mut().insert("content-type", "text/plain".parse().expect("a header"));
        response
    }

    /// How many pieces waited or ran a while ago, as engines report their load with a lag.
    fn lagging_load(&self) -> usize {
        const LAG: Duration = Duration::from_millis(500);
        let running = self.options.capacity - self.slots.slots.available_permits();
        let mut loads = self.loads.lock().expect("nobody panics under this lock");
        loads.push((Instant::now(), self.slots.queued() + running));
        let newest = loads.iter().rposition(|(since, _)| since.elapsed() >= LAG);
        loads.drain(..newest.unwrap_or(0));
        loads[0].1
    }

    fn stream(
        self: Arc<Self>,
        answer: Bytes,
        resume: usize,
        priority: usize,
    ) -> mustardrill_runtime::http::AnyBody {
        let piece = answer.len().div_ceil(self.options.pieces.max(1) as usize).max(1);
        let rest = answer.slice(resume.min(answer.len())..);
        let pieces =
            stream::unfold((self, rest, false), move |(state, mut rest, begun)| async move {
                if rest.is_empty() {
                    state.finished.fetch_add(1, Ordering::Relaxed);
                    return None;
                }
                if state.faults.get().stall && begun {
                    std::future::pending::<()>().await;
                }
                if state.faults.get().corrupt && begun {
                    return Some((Err(TruncatedBodyError), (state, Bytes::new(), true)));
                }
                {
                    // Continuous batching: a slot is taken for a piece, not for a whole answer.
                    let _slot = state.slots.take(priority).await;
                    tokio::time::sleep(state.options.piece_time).await;
                }
                let next = rest.split_to(rest.len().min(piece));
                Some((Ok(Frame::data(next)), (state, rest, true)))
            });
        StreamBody::new(pieces).boxed_unsync()
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> AnyResponse {
        if let Some(answer) = self.faults.admin(&request) {
            return answer;
        }
        if self.faults.get().down {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n");
        }
        match request.uri().path() {
            "/v1/load" => {
                let body = request.into_body().collect().await;
                let body = body.map(http_body_util::Collected::to_bytes).unwrap_or_default();
                // An accepted order goes on when whoever gave it is gone.
                let loading = tokio::spawn(async move { self.load(&body).await });
                loading
                    .await
                    .unwrap_or_else(|_| text_response(StatusCode::INTERNAL_SERVER_ERROR, ""))
            }
            "/v1/state" => {
                let loaded = self.loaded();
                let serving: Vec<_> = loaded.serving.iter().collect();
                let (fence, refused) = (loaded.fence, loaded.refused_orders);
                let load = self.lagging_load();
                let state = serde_json::json!({ "serving": serving, "fence": fence, "refused_orders": refused, "load": load, "orders": loaded.orders, "received_orders": loaded.received_orders });
                json_response(StatusCode::OK, &state)
            }
            "/admin/runs" => json_response(StatusCode::OK, &self.runs()),
            _ => self.run(request).await,
        }
    }
}

impl HttpHandler for EngineHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let state = self.state.clone();
        Box::pin(state.handle(request))
    }
}

/// The engine's slots: whoever waits with the highest priority gets the next one.
#[derive(Debug)]
struct SlotQueue {
    slots: Semaphore,
    waiting: Mutex<[usize; PRIORITIES]>,
}

/// Notes that somebody waits, until it is dropped.
struct WaitingMark<'a>(&'a SlotQueue, usize);

impl SlotQueue {
    fn new(capacity: usize) -> Self {
        Self { slots: Semaphore::new(capacity), waiting: Mutex::default() }
    }

    /// Takes a slot once nobody of a higher priority (a lower number) waits for one.
    async fn take(&self, priority: usize) -> SemaphorePermit<'_> {
        const LOOK_EVERY: Duration = Duration::from_millis(1);
        let priority = priority.min(PRIORITIES - 1);
        self.waiting.lock().expect("nobody panics under this lock")[priority] += 1;
        let _mark = WaitingMark(self, priority);
        loop {
            let is_first = {
                let waiting = self.waiting.lock().expect("nobody panics under this lock");
                waiting[..priority].iter().all(|count| *count == 0)
            };
            if is_first && let Ok(slot) = self.slots.try_acquire() {
                return slot;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// How many pieces wait for a slot.
    fn queued(&self) -> usize {
        self.waiting.lock().expect("nobody panics under this lock").iter().sum()
    }
}

impl Drop for WaitingMark<'_> {
    fn drop(&mut self) {
        self.0.waiting.lock().expect("nobody panics under this lock")[self.1] -= 1;
    }
}

/// The answer that weights of this digest give to a prompt.
pub fn answer_text(digest: &str, prompt: &str, pieces: u64) -> Bytes {
    let mut text = String::new();
    for piece in 0..pieces {
        let hash = blake3::hash(format!("{digest}\n{prompt}\n{piece}").as_bytes());
        text.push_str(&hash.to_hex());
        text.push('\n');
    }
    text.into()
}

/// The digest of the manifest that the fetched bytes make.
fn digest_of_bytes(order: &LoadBody, bytes: &[u8]) -> String {
    let (Ok(model), Ok(version)) = (order.model.parse(), order.version.parse()) else {
        return "malformed".into();
    };
    let made = Manifest::describe(model, version, ByteSize(order.chunk_size), bytes);
    let digest = made.digest().to_string();
    if *digest == *order.digest { digest } else { "wrong-bytes".into() }
}

fn name_weights(response: &mut AnyResponse, digest: &str) {
    response.headers_mut().insert("x-weights", digest.parse().expect("digits make a header"));
}

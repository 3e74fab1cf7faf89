//! Stand-in for a model engine: load orders with fencing, priorities, streamed answers.
//!
//! An answer is a function of the prompt and the digest of the loaded weights, which its head names. A
//! caller that knows both can verify that the answer is complete and which weights produced it.

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

/// A prompt that crashes the engine's process, as a request may that triggers a fault of its software.
pub const CRASH_PROMPT: &str = "end this engine";

/// Number of priority classes; larger values of `x-priority` count as the lowest class.
const PRIORITY_COUNT: usize = 3;

/// Exit status of an engine that ran [`CRASH_PROMPT`].
const CRASH_EXIT_STATUS: i32 = 70;

/// Size and speed of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Number of slots: pieces generated at the same time.
    pub capacity: usize,
    /// Number of pieces in an answer.
    pub pieces: u64,
    /// Time that a slot takes for a piece.
    pub piece_time: Duration,
    /// Time that a load takes after the weights were fetched.
    pub load_time: Duration,
    /// Whether load orders with a fencing number below the highest seen are rejected.
    pub checks_fencing: bool,
}

/// Loaded weights, slots and history of one engine.
#[derive(Debug)]
pub struct EngineState {
    options: EngineOptions,
    loaded: Mutex<LoadState>,
    slots: SlotQueue,
    queue_history: Mutex<Vec<(Instant, usize)>>,
    runs: Mutex<Vec<String>>,
    finished: AtomicU64,
    client: HttpClient,
    /// Fault switches, also set over HTTP.
    pub faults: FaultPanel,
}

/// Serves an engine over HTTP.
#[derive(Debug, Clone)]
pub struct EngineHandler {
    /// The state, shared with tests that inspect it.
    pub state: Arc<EngineState>,
}

#[derive(Debug, Default)]
struct LoadState {
    serving: Option<String>,
    fence: u64,
    /// Accepted load orders: fencing number and digest.
    orders: Vec<(u64, String)>,
    refused_orders: u64,
    /// Load orders received completely, accepted or not.
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
    /// Creates an engine without weights, which refuses requests until a load order was executed.
    pub fn new(options: EngineOptions) -> Self {
        Self {
            slots: SlotQueue::new(options.capacity),
            queue_history: Mutex::default(),
            options,
            loaded: Mutex::default(),
            runs: Mutex::default(),
            finished: AtomicU64::new(0),
            client: HttpClient::open(Duration::from_secs(1)),
            faults: FaultPanel::default(),
        }
    }

    /// The prompts that were run, in order; a prompt that was run twice is listed twice.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("nobody panics under this lock").clone()
    }

    /// The accepted load orders (fencing number and digest), and the number of rejected ones.
    pub fn orders(&self) -> (Vec<(u64, String)>, u64) {
        let loaded = self.loaded();
        (loaded.orders.clone(), loaded.refused_orders)
    }

    fn loaded(&self) -> std::sync::MutexGuard<'_, LoadState> {
        self.loaded.lock().expect("nobody panics under this lock")
    }

    async fn load_weights(&self, body: &[u8]) -> AnyResponse {
        let Ok(order) = serde_json::from_slice::<LoadBody>(body) else {
            return text_response(StatusCode::BAD_REQUEST, "not a load order\n");
        };
        self.loaded().received_orders += 1;
        if !self.accept_fence(order.fence) {
            return text_response(StatusCode::CONFLICT, "an old fencing number\n");
        }
        let limit = order.size as usize + 1;
        let sent = request("GET", &order.source, Bytes::new());
        let fetched = self.client.call(sent, Duration::from_secs(60), limit).await;
        let Ok(fetched) = fetched else {
            return text_response(StatusCode::BAD_GATEWAY, "the weights could not be fetched\n");
        };
        // The digest is computed from the bytes received, so that a test finds a wrong byte even where
        // the agent took the weights for verified.
        let digest = computed_digest(&order, &fetched.body);
        tokio::time::sleep(self.options.load_time).await;
        if !self.accept_fence(order.fence) {
            return text_response(StatusCode::CONFLICT, "an old fencing number\n");
        }
        let mut loaded = self.loaded();
        loaded.orders.push((order.fence, digest.clone()));
        loaded.serving = Some(digest);
        text_response(StatusCode::OK, "")
    }

    /// Records a fencing number; returns false, and counts the order as refused, where it is below the
    /// highest seen.
    ///
    /// Called before and after a load, as a number can become outdated meanwhile.
    fn accept_fence(&self, fence: u64) -> bool {
        let mut loaded = self.loaded();
        if self.options.checks_fencing && fence < loaded.fence {
            loaded.refused_orders += 1;
            return false;
        }
        loaded.fence = loaded.fence.max(fence);
        true
    }

    async fn run_request(self: Arc<Self>, request: Request<Incoming>) -> AnyResponse {
        let (head, body) = request.into_parts();
        let Ok(prompt) = body.collect().await.map(http_body_util::Collected::to_bytes) else {
            return text_response(StatusCode::BAD_REQUEST, "the request was cut\n");
        };
        let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let Some(mut serving) = self.loaded().serving.clone() else {
            return text_response(StatusCode::PRECONDITION_FAILED, "no weights are loaded\n");
        };
        if header("x-expected-weights").is_some_and(|expected| expected != serving) {
            let mut refusal =
                text_response(StatusCode::PRECONDITION_FAILED, "other weights are loaded\n");
            set_weights_header(&mut refusal, &serving);
            return refusal;
        }
        if self.faults.get().wrong_weights {
            serving = "f".repeat(serving.len());
        }
        let resume = header("x-resume-from").and_then(|text| text.parse().ok()).unwrap_or(0);
        let prompt = String::from_utf8_lossy(&prompt).into_owned();
        self.runs.lock().expect("nobody panics under this lock").push(prompt.clone());
        if prompt == CRASH_PROMPT {
            tokio::time::sleep(self.options.piece_time).await;
            std::process::exit(CRASH_EXIT_STATUS);
        }
        let answer = answer_text(&serving, &prompt, self.options.pieces);
        let priority = header("x-priority").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut response = Response::new(self.stream_answer(answer, resume, priority));
        set_weights_header(&mut response, &serving);
        response.headers_mut().insert("content-type", "text/plain".parse().expect("a header"));
        response
    }

    /// Number of pieces that waited or ran half a second ago, as engines report their load with a lag.
    fn lagging_load(&self) -> usize {
        const LAG: Duration = Duration::from_millis(500);
        let running = self.options.capacity - self.slots.slots.available_permits();
        let mut queue_history = self.queue_history.lock().expect("nobody panics under this lock");
        queue_history.push((Instant::now(), self.slots.queued() + running));
        let latest = queue_history.iter().rposition(|(since, _)| since.elapsed() >= LAG);
        queue_history.drain(..latest.unwrap_or(0));
        queue_history[0].1
    }

    fn stream_answer(
        self: Arc<Self>,
        answer: Bytes,
        resume: usize,
        priority: usize,
    ) -> mustardrill_runtime::http::AnyBody {
        let piece = answer.len().div_ceil(self.options.pieces.max(1) as usize).max(1);
        let rest = answer.slice(resume.min(answer.len())..);
        let pieces =
            stream::unfold((self, rest, false), move |(state, mut rest, has_started)| async move {
                if rest.is_empty() {
                    state.finished.fetch_add(1, Ordering::Relaxed);
                    return None;
                }
                if state.faults.get().stall && has_started {
                    std::future::pending::<()>().await;
                }
                if state.faults.get().corrupt && has_started {
                    return Some((Err(TruncatedBodyError), (state, Bytes::new(), true)));
                }
                {
                    // Continuous batching: a slot is taken for one piece, not for the complete answer.
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
                // A load continues after the agent that ordered it has disconnected.
                let loading = tokio::spawn(async move { self.load_weights(&body).await });
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
            _ => self.run_request(request).await,
        }
    }
}

impl HttpHandler for EngineHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let state = self.state.clone();
        Box::pin(state.handle(request))
    }
}

/// The engine's slots; the next free one goes to a request of the highest waiting priority.
#[derive(Debug)]
struct SlotQueue {
    slots: Semaphore,
    waiting: Mutex<[usize; PRIORITY_COUNT]>,
}

/// Counts a waiting request of a priority until it is dropped.
struct WaitingGuard<'a>(&'a SlotQueue, usize);

impl SlotQueue {
    fn new(capacity: usize) -> Self {
        Self { slots: Semaphore::new(capacity), waiting: Mutex::default() }
    }

    /// Takes a slot once no request of a higher priority (a lower number) waits for one.
    async fn take(&self, priority: usize) -> SemaphorePermit<'_> {
        const POLL_INTERVAL: Duration = Duration::from_millis(1);
        let priority = priority.min(PRIORITY_COUNT - 1);
        self.waiting.lock().expect("nobody panics under this lock")[priority] += 1;
        let _guard = WaitingGuard(self, priority);
        loop {
            let is_first = {
                let waiting = self.waiting.lock().expect("nobody panics under this lock");
                waiting[..priority].iter().all(|count| *count == 0)
            };
            if is_first && let Ok(slot) = self.slots.try_acquire() {
                return slot;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Number of pieces that wait for a slot.
    fn queued(&self) -> usize {
        self.waiting.lock().expect("nobody panics under this lock").iter().sum()
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.lock().expect("nobody panics under this lock")[self.1] -= 1;
    }
}

/// The complete answer that weights with this digest give to a prompt.
pub fn answer_text(digest: &str, prompt: &str, pieces: u64) -> Bytes {
    let mut text = String::new();
    for piece in 0..pieces {
        let hash = blake3::hash(format!("{digest}\n{prompt}\n{piece}").as_bytes());
        text.push_str(&hash.to_hex());
        text.push('\n');
    }
    text.into()
}

/// The digest of the manifest computed from the fetched bytes; a fixed text where it is not the ordered
/// one or a name is malformed.
fn computed_digest(order: &LoadBody, bytes: &[u8]) -> String {
    let (Ok(model), Ok(version)) = (order.model.parse(), order.version.parse()) else {
        return "malformed".into();
    };
    let manifest = Manifest::describe(model, version, ByteSize(order.chunk_size), bytes);
    let digest = manifest.digest().to_string();
    if *digest == *order.digest { digest } else { "wrong-bytes".into() }
}

fn set_weights_header(response: &mut AnyResponse, digest: &str) {
    response.headers_mut().insert("x-weights", digest.parse().expect("digits make a header"));
}

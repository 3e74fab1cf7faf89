//! Workers and the origin of the prepared platform, as its pages tell them.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use mustardrill_runtime::http::{
    AnyResponse, HttpHandler, TruncatedBodyError, buffered_body, json_response, query_parameter,
    text_response,
};
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;

/// The chunks of a version.
pub const CHUNKS: u32 = 12;

/// Events of an answer.
pub const EVENTS: u64 = 6;

/// A chunk that turned bad less than this ago is nobody's fault, by the platform's rules: no agent
/// can look at a chunk at the very moment at which it is loaded.
const SPOILT_LATE: Duration = Duration::from_secs(3);

/// When workers start first, in Unix milliseconds.
const FIRST_START: u64 = 1_700_000_000_000;

/// The bytes of a chunk.
pub fn chunk(version: u64, index: u32) -> Bytes {
    Bytes::from(format!("chunk {index} of version {version} ").repeat(64))
}

/// What a worker does with the next requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerFault {
    /// It answers them.
    None,
    /// It breaks off after so many events, in the middle of one.
    BreakAfter(u64),
    /// It says that it did not run them.
    Full,
    /// It runs them and closes the connection.
    LoseAnswer,
    /// It answers with another request's id.
    Foreign,
}

/// A request that an engine began to work on.
#[derive(Debug, Clone)]
pub struct Beginning {
    pub attempt: String,
    /// The weights that the engine held at that moment.
    pub version: u64,
    pub at: Instant,
}

/// A worker: a model engine, or a plain service where `model` is empty.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    state: Arc<Mutex<WorkerState>>,
}

struct WorkerState {
    version: u64,
    sequence: u64,
    staged: BTreeMap<u32, Bytes>,
    /// When a staged chunk was spoilt last.
    spoilt: Option<Instant>,
    /// Whether each load took only whole chunks of its version.
    loads: Vec<bool>,
    /// Loads that were not whole although nothing had turned bad lately.
    bad_loads: u32,
    runs: Vec<(String, Instant)>,
    /// Requests of callers that came, whether or not they began.
    arrivals: Vec<(String, Instant)>,
    beginnings: Vec<Beginning>,
    /// How long an engine's requests wait in it before they begin.
    begin_delay: Duration,
    fault: WorkerFault,
    /// Faults that are still to come.
    faults: u32,
    pause: Duration,
    crash: Option<CrashTrigger>,
    crash_runs: Vec<(String, Instant)>,
    born: u64,
}

/// Requests under which a worker crashes, and whom it tells.
#[derive(Debug, Clone)]
pub struct CrashTrigger {
    /// The path of those requests.
    pub path: &'static str,
    /// How long a run of one lasts.
    pub after: Duration,
    /// Whether nothing of an answer comes before.
    pub silent: bool,
    /// Gets the crashed worker's id.
    pub crashed: mpsc::UnboundedSender<String>,
}

impl Worker {
    pub fn new(id: &str, version: u64) -> Self {
        let staged = (0..CHUNKS).map(|index| (index, chunk(version, index))).collect();
        let state = WorkerState {
            version,
            sequence: 0,
            staged,
            spoilt: None,
            loads: Vec::new(),
            bad_loads: 0,
            runs: Vec::new(),
            arrivals: Vec::new(),
            beginnings: Vec::new(),
            begin_delay: Duration::ZERO,
            fault: WorkerFault::None,
            faults: 0,
            pause: Duration::from_millis(5),
            crash: None,
            crash_runs: Vec::new(),
            born: FIRST_START,
        };
        Self { id: id.into(), state: Arc::new(Mutex::new(state)) }
    }

    /// A worker that holds nothing and has nothing staged.
    pub fn empty(id: &str) -> Self {
        let worker = Self::new(id, 0);
        worker.state.lock().unwrap().staged.clear();
        worker
    }

    pub fn set_fault(&self, fault: WorkerFault, count: u32) {
        let mut state = self.state.lock().unwrap();
        state.fault = fault;
        state.faults = count;
    }

    pub fn set_pause(&self, pause: Duration) {
        self.state.lock().unwrap().pause = pause;
    }

    /// Requests that come from now on wait so long before they begin; who closes the connection
    /// meanwhile takes its request back.
    pub fn set_begin_delay(&self, delay: Duration) {
        self.state.lock().unwrap().begin_delay = delay;
    }

    pub fn set_crash(&self, crash: CrashTrigger) {
        self.state.lock().unwrap().crash = Some(crash);
    }

    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    pub fn loads(&self) -> Vec<bool> {
        self.state.lock().unwrap().loads.clone()
    }

    /// Loads that the platform would blame on their agent.
    pub fn bad_loads(&self) -> u32 {
        self.state.lock().unwrap().bad_loads
    }

    pub fn runs(&self) -> Vec<String> {
        self.timed_runs().into_iter().map(|(run, _)| run).collect()
    }

    /// The runs, each with the moment at which it began.
    pub fn timed_runs(&self) -> Vec<(String, Instant)> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Requests that came, each with the moment; those that were taken back never began.
    pub fn arrivals(&self) -> Vec<(String, Instant)> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// What an engine began, in order.
    pub fn beginnings(&self) -> Vec<Beginning> {
        self.state.lock().unwrap().beginnings.clone()
    }

    /// A staged chunk turns bad.
    pub fn spoil(&self, index: u32) {
        let mut state = self.state.lock().unwrap();
        state.staged.insert(index, Bytes::from_static(b"bad"));
        state.spoilt = Some(Instant::now());
    }

    fn report(&self) -> AnyResponse {
        let state = self.state.lock().unwrap();
        let (models, layers) = if state.version > 0 {
            (
                json!([{"name": "m0", "version": state.version, "adapters": []}]),
                json!([{"from": 0, "target": 16, "version": state.version}]),
            )
        } else {
            (json!([]), json!([]))
        };
        let body = json!({"phase": "prefill_decode", "models": models, "layers": layers,
            "born": state.born, "busy": false, "sequence": state.sequence, "queued": 0, "active": 0});
        json_response(StatusCode::OK, &body)
    }

    fn order(&self, body: &[u8]) -> AnyResponse {
        let order: serde_json::Value = serde_json::from_slice(body).unwrap();
        let mut state = self.state.lock().unwrap();
        if order["precondition"] != state.sequence {
            return text_response(StatusCode::CONFLICT, "");
        }
        let version = order["version"].as_u64().unwrap();
        let whole = (0..CHUNKS).all(|it| state.staged.get(&it) == Some(&chunk(version, it)));
        let late = state.spoilt.is_some_and(|at| at.elapsed() < SPOILT_LATE);
        state.loads.push(whole);
        state.bad_loads += u32::from(!whole && !late);
        state.sequence += 1;
        state.version = version;
        text_response(StatusCode::ACCEPTED, "")
    }

    async fn answer(&self, request: Request<Incoming>) -> AnyResponse {
        let uri = request.uri().clone();
        let index = query_parameter(&uri, "sample_count").and_then(|text| text.parse().ok());
        let path = uri.path().to_owned();
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else { return text_response(StatusCode::OK, "") };
        let body = body.to_bytes();
        if path == "/v1/report" {
            return self.report();
        }
        if path == "/v1/order" {
            return self.order(&body);
        }
        if path.starts_with("/v1/stage-put/") {
            self.state.lock().unwrap().staged.insert(index.unwrap(), body);
            return text_response(StatusCode::OK, "");
        }
        if path.starts_with("/v1/stage-get/") {
            let staged = self.state.lock().unwrap().staged.get(&index.unwrap()).cloned();
            return match staged {
                Some(bytes) => Response::new(buffered_body(bytes)),
                None => text_response(StatusCode::NOT_FOUND, ""),
            };
        }
        self.run(&head).await
    }

    async fn run(&self, head: &hyper::http::request::Parts) -> AnyResponse {
        let text = |name: &str| head.headers.get(name).map(|it| it.to_str().unwrap().to_owned());
        if text("x-expected-instance").is_some_and(|expected| expected != self.id) {
            return text_response(StatusCode::MISDIRECTED_REQUEST, "");
        }
        assert_eq!(text("authorization"), None, "the key is not shown");
        let attempt = text("x-attempt-id").unwrap();
        let model = text("x-model").is_some();
        let (fault, delay) = {
            let mut state = self.state.lock().unwrap();
            let fault = if state.faults > 0 { state.fault } else { WorkerFault::None };
            state.faults = state.faults.saturating_sub(1);
            state.arrivals.push((attempt.clone(), Instant::now()));
            (fault, state.begin_delay)
        };
        if model && fault != WorkerFault::Full && delay > Duration::ZERO {
            // The server drops this future where the connection closes.
            tokio::time::sleep(delay).await;
        }
        let (version, pause, crash) = {
            let mut state = self.state.lock().unwrap();
            let (now, version) = (Instant::now(), state.version);
            if fault != WorkerFault::Full {
                let run = format!("{attempt} {}", text("x-tenant").unwrap_or_default());
                state.runs.push((run, now));
                if model {
                    state.beginnings.push(Beginning { attempt: attempt.clone(), version, at: now });
                }
            }
            let crash = state.crash.clone().filter(|it| it.path == head.uri.path());
            if crash.is_some() {
                state.crash_runs.push((attempt.clone(), now));
            }
            (version, state.pause, crash)
        };
        if let Some(crash) = crash {
            let silent = crash.silent;
            tokio::spawn(self.clone().end_after(crash));
            if silent {
                std::future::pending::<()>().await;
            }
        }
        if fault == WorkerFault::Full {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "");
            response.headers_mut().insert("x-not-executed", "1".parse().unwrap());
            return response;
        }
        if !model {
            tokio::time::sleep(pause).await;
        }
        let first = text("last-event-id").map_or(1, |last| last.parse::<u64>().unwrap() + 1);
        let mut response = match (fault, model) {
            (WorkerFault::LoseAnswer, _) => Response::new(broken()),
            (WorkerFault::Foreign, false) => Response::new(buffered_body("done another")),
            (_, false) => Response::new(buffered_body(format!("done {attempt}"))),
            (fault, true) => Response::new(events(first, fault, pause)),
        };
        let headers = response.headers_mut();
        let told = if fault == WorkerFault::Foreign { "another" } else { &*attempt };
        headers.insert("x-attempt-id", told.parse().unwrap());
        headers.insert("x-server-signature", format!("s-{}", self.id).parse().unwrap());
        headers.insert("x-instance-load", "1,0,16".parse().unwrap());
        headers.insert("x-weight-versions", version.into());
        response
    }
}

impl Worker {
    /// Tells after a while that the worker has crashed.
    async fn end_after(self, crash: CrashTrigger) {
        tokio::time::sleep(crash.after).await;
        // A fleet that is gone needs no word.
        let _ = crash.crashed.send(self.id);
    }

    /// The runs under which it crashed, each with the moment at which it began.
    pub fn crash_runs(&self) -> Vec<(String, Instant)> {
        self.state.lock().unwrap().crash_runs.clone()
    }

    /// It starts again, with the weights that it had.
    pub fn start_again(&self) {
        let mut state = self.state.lock().unwrap();
        state.born += 1;
        state.sequence = 0;
    }

    /// Which start of it this is.
    pub fn born(&self) -> u64 {
        self.state.lock().unwrap().born
    }
}

fn broken() -> mustardrill_runtime::http::AnyBody {
    let frames = stream::once(async { Err::<Frame<Bytes>, _>(TruncatedBodyError) });
    StreamBody::new(frames).boxed_unsync()
}

fn events(first: u64, fault: WorkerFault, pause: Duration) -> mustardrill_runtime::http::AnyBody {
    let frames = stream::unfold(first, move |id| async move {
        if id > EVENTS {
            return None;
        }
        tokio::time::sleep(pause).await;
        if fault == WorkerFault::BreakAfter(id - 1) {
            let half = Frame::data(Bytes::from(format!("id: {id}\ndata: ha")));
            return Some((Ok(half), u64::MAX - 1));
        }
        if id == u64::MAX - 1 {
            return Some((Err(TruncatedBodyError), EVENTS + 1));
        }
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        Some((Ok(Frame::data(Bytes::from(event))), id + 1))
    });
    StreamBody::new(frames).boxed_unsync()
}

impl HttpHandler for Worker {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let worker = self.clone();
        Box::pin(async move { worker.answer(request).await })
    }
}

/// The origin of weights; it spoils every seventh chunk that it sends.
#[derive(Clone, Default)]
pub struct Origin {
    sent: Arc<AtomicU32>,
}

impl Origin {
    /// Chunks sent so far.
    pub fn sent(&self) -> u32 {
        self.sent.load(Ordering::SeqCst)
    }

    fn answer(&self, request: &Request<Incoming>) -> Result<AnyResponse, Infallible> {
        let uri = request.uri();
        let version: u64 = query_parameter(uri, "version").unwrap().parse().unwrap();
        let model = uri.path().rsplit('/').next().unwrap();
        if uri.path().starts_with("/v1/manifest/") {
            let digest = |index| {
                let bytes = Sha256::digest(chunk(version, index));
                bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>()
            };
            let digests: Vec<_> = (0..CHUNKS).map(digest).collect();
            let body = json!({"model": model, "version": version, "chunk_bytes": 1_600,
                "layers": 16, "digests": digests});
            return Ok(json_response(StatusCode::OK, &body));
        }
        let index = query_parameter(uri, "sample_count").unwrap().parse().unwrap();
        let number = self.sent.fetch_add(1, Ordering::SeqCst) + 1;
        let bytes = if number.is_multiple_of(7) {
            Bytes::from_static(b"bad")
        } else {
            chunk(version, index)
        };
        Ok(Response::new(buffered_body(bytes)))
    }
}

impl HttpHandler for Origin {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let origin = self.clone();
        Box::pin(async move {
            match origin.answer(&request) {
                Ok(response) => response,
                Err(never) => match never {},
            }
        })
    }
}

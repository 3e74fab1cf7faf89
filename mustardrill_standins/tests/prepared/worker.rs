//! Stand-ins of the prepared platform's workers and origin after its published interface.

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
    AnyBody, AnyResponse, HttpHandler, TruncatedBodyError, buffered_body, json_response,
    query_parameter, text_response,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;

use crate::staged_weights::{LAYERS, LayerOrder, OrderEffect, StagedWeights};

/// Number of chunks of each version.
pub const CHUNKS: u32 = 12;

/// Number of events in a complete answer.
pub const EVENTS: u64 = 6;

/// Start time of a worker's first incarnation, in Unix milliseconds.
const FIRST_BORN_MS: u64 = 1_700_000_000_000;

/// Returns the content of a chunk, which depends on its version and index.
pub fn chunk(version: u64, index: u32) -> Bytes {
    Bytes::from(format!("chunk {index} of version {version} ").repeat(64))
}

/// Fault that a worker applies to its next requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerFault {
    /// Answers normally.
    None,
    /// Cuts the stream in the middle of the event that follows this many complete ones.
    CutAfter(u64),
    /// Answers that the request was not executed.
    NotExecuted,
    /// Runs the request and closes the connection without an answer.
    LoseAnswer,
    /// Answers with the attempt id of another request.
    WrongRequestId,
    /// Runs the request and answers that it failed.
    Fail,
}

/// A call of an agent to its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StagingCall {
    /// A staged chunk is read back.
    ReadBack(u32),
    /// A load is ordered.
    Order,
}

/// Chunks that turn bad as an agent makes a call, and a silence of the engine that begins with it. The
/// engine carries the call out when the silence ends, even if the connection has closed.
#[derive(Debug, Clone)]
pub struct StagingFault {
    pub call: StagingCall,
    /// The fault strikes once all chunks of this version are staged.
    pub version: u64,
    pub damaged: Vec<u32>,
    pub silence: Duration,
}

/// Where in an answer a worker falls silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilencePlace {
    /// After the request has started and before the head.
    BeforeHead,
    /// After everything before the event with this id, or before the first byte of a plain answer.
    BeforeEvent(u64),
    /// In the middle of the event with this id, or of a plain answer.
    InEvent(u64),
    /// After the last byte and before the end of the answer.
    BeforeEnd,
}

/// A silence after which the answer goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSilence {
    pub place: SilencePlace,
    pub length: Duration,
}

/// Falls silent in a random share of the answers.
#[derive(Debug, Clone)]
struct RandomSilences {
    random: StdRng,
    share: f64,
    lengths_ms: std::ops::Range<u64>,
}

/// A step in the sending of a body.
#[derive(Debug, Clone)]
enum BodyStep {
    Wait(Duration),
    /// The request of this tenant starts.
    Start(String),
    Send(Bytes),
    Cut,
}

/// What a worker stated of itself in an answer.
#[derive(Debug, Clone)]
pub struct WorkerStatement {
    /// The request that was answered.
    pub attempt: String,
    pub at: Instant,
    pub is_leaving: bool,
    /// For how long it asked the sender for no requests.
    pub rest: Option<Duration>,
}

/// A request that an engine started to execute.
#[derive(Debug, Clone)]
pub struct RequestStart {
    pub attempt: String,
    /// The engine's weights at `at`.
    pub version: u64,
    pub at: Instant,
}

/// A model engine, or a plain service where requests name no model; clones share their state.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    state: Arc<Mutex<WorkerState>>,
}

struct WorkerState {
    sequence: u64,
    weights: StagedWeights,
    /// For each load, whether all chunks were those of its version.
    loads: Vec<bool>,
    /// Loads after which a layer was unsound.
    bad_loads: u32,
    /// Requests that were answered with an unsound layer.
    damaged_runs: Vec<String>,
    staging_fault: Option<StagingFault>,
    /// How long the engine takes to return a staged chunk.
    read_back_time: Duration,
    /// How long a load takes after the order; the engine accepts no requests meanwhile.
    load_time: Duration,
    busy_until: Option<Instant>,
    runs: Vec<(String, Instant)>,
    /// Callers' requests that were received, started or not.
    arrivals: Vec<(String, Instant)>,
    request_starts: Vec<RequestStart>,
    /// Time that a request waits in an engine before it starts.
    start_delay: Duration,
    /// A newer version that the engine reports before it holds it.
    reported_version: u64,
    /// Whether the head of an answer is sent before that time instead of after it.
    sends_head_first: bool,
    /// A comment that follows a head sent first, in the parts in which it is written.
    comment_parts: &'static [&'static str],
    fault: WorkerFault,
    /// Number of requests that still get the fault.
    faults_left: u32,
    answer_delay: Duration,
    /// The silences of each of the next answers, and the number of these answers.
    silences: (Vec<AnswerSilence>, u32),
    /// Silences of answers beyond them.
    random_silences: Option<RandomSilences>,
    /// The worker sends nothing until then.
    silent_until: Option<Instant>,
    /// Attempts whose answers were cut by a fault.
    cut_attempts: Vec<String>,
    /// When the events of streams were sent.
    event_times: Vec<(String, Instant)>,
    /// Attempts whose connections closed before the end of their answers.
    dropped_attempts: Vec<(String, Instant)>,
    /// The value of `server-limit` in answers.
    intake_limit: Option<String>,
    /// Whether answers say that the worker is leaving.
    is_leaving: bool,
    /// The time for which requests are turned away with the answer that asks for it.
    rest: Option<Duration>,
    statements: Vec<WorkerStatement>,
    crash: Option<CrashTrigger>,
    crash_runs: Vec<(String, Instant)>,
    born: u64,
    /// The data centre that registrations name.
    data_centre: &'static str,
}

/// What the requests that crash a worker have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashCause {
    /// The path.
    Path(&'static str),
    /// The id of a part of the prompt, as the caller writes it; never that of the last part.
    Part(&'static str),
}

/// Requests that crash a worker, and the channel that reports the crash.
#[derive(Debug, Clone)]
pub struct CrashTrigger {
    pub cause: CrashCause,
    /// Time between the start of the request and the crash.
    pub after: Duration,
    /// Whether the worker sends nothing of an answer before the crash.
    pub silent: bool,
    /// Receives the id of the crashed worker.
    pub crash_sender: mpsc::UnboundedSender<String>,
}

impl CrashCause {
    fn is_in(self, head: &hyper::http::request::Parts) -> bool {
        match self {
            Self::Path(path) => path == head.uri.path(),
            Self::Part(id) => {
                let list = head.headers.get("x-prompt-prefix").map(|it| it.to_str().unwrap());
                let mut rows: Vec<_> = list.unwrap_or_default().split(',').collect();
                rows.pop();
                rows.iter().any(|row| row.split(':').next() == Some(id))
            }
        }
    }
}

impl Worker {
    pub fn new(id: &str, version: u64) -> Self {
        let state = WorkerState {
            sequence: 0,
            weights: StagedWeights::new(version),
            loads: Vec::new(),
            bad_loads: 0,
            damaged_runs: Vec::new(),
            staging_fault: None,
            read_back_time: Duration::ZERO,
            load_time: Duration::ZERO,
            busy_until: None,
            runs: Vec::new(),
            arrivals: Vec::new(),
            request_starts: Vec::new(),
            start_delay: Duration::ZERO,
            reported_version: 0,
            sends_head_first: false,
            comment_parts: &[],
            fault: WorkerFault::None,
            faults_left: 0,
            answer_delay: Duration::from_millis(5),
            silences: (Vec::new(), 0),
            random_silences: None,
            silent_until: None,
            cut_attempts: Vec::new(),
            event_times: Vec::new(),
            dropped_attempts: Vec::new(),
            intake_limit: None,
            is_leaving: false,
            rest: None,
            statements: Vec::new(),
            crash: None,
            crash_runs: Vec::new(),
            born: FIRST_BORN_MS,
            data_centre: "hall-a",
        };
        Self { id: id.into(), state: Arc::new(Mutex::new(state)) }
    }

    /// Creates a worker without weights and without staged chunks.
    pub fn empty(id: &str) -> Self {
        Self::new(id, 0)
    }

    /// Makes later registrations name another data centre than `hall-a`.
    pub fn set_data_centre(&self, data_centre: &'static str) {
        self.state.lock().unwrap().data_centre = data_centre;
    }

    pub fn data_centre(&self) -> &'static str {
        self.state.lock().unwrap().data_centre
    }

    pub fn set_fault(&self, fault: WorkerFault, count: u32) {
        let mut state = self.state.lock().unwrap();
        state.fault = fault;
        state.faults_left = count;
    }

    pub fn set_answer_delay(&self, answer_delay: Duration) {
        self.state.lock().unwrap().answer_delay = answer_delay;
    }

    /// Makes the worker fall silent in the next `count` answers to callers.
    pub fn set_silences(&self, silences: &[AnswerSilence], count: u32) {
        self.state.lock().unwrap().silences = (silences.to_vec(), count);
    }

    /// Makes the worker fall silent, at random places, in a share of the answers to callers.
    pub fn set_random_silences(&self, seed: u64, share: f64, lengths_ms: std::ops::Range<u64>) {
        let random = StdRng::seed_from_u64(seed);
        let silences = RandomSilences { random, share, lengths_ms };
        self.state.lock().unwrap().random_silences = Some(silences);
    }

    /// Makes the worker send nothing for `length`, in answers that have begun either; it accepts
    /// connections and runs requests all the while.
    pub fn fall_silent(&self, length: Duration) {
        self.state.lock().unwrap().silent_until = Some(Instant::now() + length);
    }

    /// Ends the silences in later answers and that of the whole worker.
    pub fn end_silences(&self) {
        let mut state = self.state.lock().unwrap();
        state.silences = (Vec::new(), 0);
        state.random_silences = None;
        state.silent_until = None;
    }

    /// Attempts whose answers were cut by a fault.
    pub fn cut_attempts(&self) -> Vec<String> {
        self.state.lock().unwrap().cut_attempts.clone()
    }

    /// When the first event of this attempt's stream was sent.
    pub fn first_event(&self, attempt: &str) -> Option<Instant> {
        first_time(&self.state.lock().unwrap().event_times, attempt)
    }

    /// When the connection of this attempt closed, if before the end of its answer.
    pub fn dropped(&self, attempt: &str) -> Option<Instant> {
        first_time(&self.state.lock().unwrap().dropped_attempts, attempt)
    }

    /// Waits until the worker as a whole may send.
    async fn wait_out_silence(&self) {
        loop {
            let until = self.state.lock().unwrap().silent_until;
            match until.filter(|until| *until > Instant::now()) {
                Some(until) => tokio::time::sleep_until(until.into()).await,
                None => return,
            }
        }
    }

    /// Makes later answers state how many requests a second the worker accepts, or no longer.
    pub fn set_intake_limit(&self, text: Option<&str>) {
        self.state.lock().unwrap().intake_limit = text.map(str::to_owned);
    }

    /// Makes later answers say that the worker is leaving, or no longer.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.state.lock().unwrap().is_leaving = is_leaving;
    }

    pub fn is_leaving(&self) -> bool {
        self.state.lock().unwrap().is_leaving
    }

    /// Makes the worker turn later requests away and ask for a rest of this length, or no longer.
    pub fn set_rest(&self, rest: Option<Duration>) {
        self.state.lock().unwrap().rest = rest;
    }

    /// The answers in which the worker stated that it is leaving or wants a rest.
    pub fn statements(&self) -> Vec<WorkerStatement> {
        self.state.lock().unwrap().statements.clone()
    }

    /// Makes later requests wait before they start; a request whose connection closes meanwhile
    /// never starts.
    pub fn set_start_delay(&self, delay: Duration) {
        self.state.lock().unwrap().start_delay = delay;
    }

    /// Makes the engine send the heads of later answers when it receives their requests, and start
    /// these after the start delay.
    pub fn send_head_first(&self) {
        self.state.lock().unwrap().sends_head_first = true;
    }

    /// Makes the engine write a comment in these parts behind heads that it sends first.
    pub fn send_comment_first(&self, parts: &'static [&'static str]) {
        self.state.lock().unwrap().comment_parts = parts;
    }

    pub fn set_crash(&self, crash: CrashTrigger) {
        self.state.lock().unwrap().crash = Some(crash);
    }

    /// The version of the weights that the engine holds, or of a part of them; zero without any.
    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().weights.held().0
    }

    /// Whether the engine accepts requests for its model: it is not loading, and holds all layers.
    fn accepts_requests(&self) -> bool {
        let state = self.state.lock().unwrap();
        !state.is_loading() && state.weights.is_whole()
    }

    /// Makes the engine report at least this version, whatever it holds.
    pub fn set_reported_version(&self, version: u64) {
        self.state.lock().unwrap().reported_version = version;
    }

    /// The version that reports and registrations state.
    pub fn reported_version(&self) -> u64 {
        let state = self.state.lock().unwrap();
        state.weights.held().0.max(state.reported_version)
    }

    pub fn loads(&self) -> Vec<bool> {
        self.state.lock().unwrap().loads.clone()
    }

    /// Number of loads that the platform would count as the agent's failures.
    pub fn bad_loads(&self) -> u32 {
        self.state.lock().unwrap().bad_loads
    }

    /// Requests that were answered with a layer that had been taken with a damaged chunk, for however
    /// short a time it had been damaged.
    pub fn damaged_runs(&self) -> Vec<String> {
        self.state.lock().unwrap().damaged_runs.clone()
    }

    /// Lets a fault strike at the next call of its kind.
    pub fn set_staging_fault(&self, fault: StagingFault) {
        self.state.lock().unwrap().staging_fault = Some(fault);
    }

    /// Whether the fault that was set last has not struck yet.
    pub fn has_staging_fault(&self) -> bool {
        self.state.lock().unwrap().staging_fault.is_some()
    }

    pub fn set_read_back_time(&self, time: Duration) {
        self.state.lock().unwrap().read_back_time = time;
    }

    pub fn set_load_time(&self, time: Duration) {
        self.state.lock().unwrap().load_time = time;
    }

    pub fn runs(&self) -> Vec<String> {
        self.timed_runs().into_iter().map(|(run, _)| run).collect()
    }

    pub fn timed_runs(&self) -> Vec<(String, Instant)> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Received requests with their times; withdrawn ones are included though they never start.
    pub fn arrivals(&self) -> Vec<(String, Instant)> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// Requests that the engine started, in order.
    pub fn request_starts(&self) -> Vec<RequestStart> {
        self.state.lock().unwrap().request_starts.clone()
    }

    /// Replaces a staged chunk by invalid bytes.
    pub fn corrupt_chunk(&self, index: u32) {
        self.state.lock().unwrap().weights.damage(index);
    }

    /// Lets the staging fault strike if it is one of this call, and waits out its silence.
    async fn suffer_staging_fault(&self, call: StagingCall) {
        let silence = {
            let mut state = self.state.lock().unwrap();
            let fault = state.staging_fault.clone().filter(|fault| fault.call == call);
            let Some(fault) = fault.filter(|fault| state.weights.is_staged(fault.version)) else {
                return;
            };
            state.staging_fault = None;
            fault.damaged.iter().for_each(|index| state.weights.damage(*index));
            state.silent_until = Some(Instant::now() + fault.silence);
            fault.silence
        };
        tokio::time::sleep(silence).await;
    }

    fn report(&self) -> AnyResponse {
        let state = self.state.lock().unwrap();
        let (held, from, target) = state.weights.held();
        let version = held.max(state.reported_version);
        let (models, layers) = if version > 0 {
            (
                json!([{"name": "m0", "version": version, "adapters": []}]),
                json!([{"from": from, "target": target, "version": version}]),
            )
        } else {
            (json!([]), json!([]))
        };
        let body = json!({"phase": "prefill_decode", "models": models, "layers": layers,
            "born": state.born, "busy": state.is_loading(), "sequence": state.sequence, "queued": 0,
            "active": 0});
        json_response(StatusCode::OK, &body)
    }

    fn order(&self, body: &[u8]) -> AnyResponse {
        let order: serde_json::Value = serde_json::from_slice(body).unwrap();
        let mut state = self.state.lock().unwrap();
        if order["precondition"] != state.sequence || state.is_loading() {
            return text_response(StatusCode::CONFLICT, "");
        }
        let layer = |name: &str| order[name].as_u64().map(|layer| layer as u32);
        let layer_order = LayerOrder {
            version: order["version"].as_u64().unwrap(),
            from: layer("from").unwrap_or(0),
            target: layer("target").unwrap_or(LAYERS),
        };
        let OrderEffect::Taken { is_complete } = state.weights.load(layer_order) else {
            return text_response(StatusCode::OK, "");
        };
        state.loads.push(is_complete);
        state.bad_loads += u32::from(!state.weights.is_sound_throughout());
        state.sequence += 1;
        state.busy_until = Some(Instant::now() + state.load_time);
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
            let (worker, born) = (self.clone(), self.born());
            let accepting = tokio::spawn(async move {
                worker.suffer_staging_fault(StagingCall::Order).await;
                (worker.born() == born).then(|| worker.order(&body))
            });
            // The incarnation that received the order may be gone, and with it the order.
            return match accepting.await.unwrap() {
                Some(answer) => answer,
                None => std::future::pending().await,
            };
        }
        if path.starts_with("/v1/stage-put/") {
            self.state.lock().unwrap().weights.put(index.unwrap(), body);
            return text_response(StatusCode::OK, "");
        }
        if path.starts_with("/v1/stage-get/") {
            self.suffer_staging_fault(StagingCall::ReadBack(index.unwrap())).await;
            let read_back_time = self.state.lock().unwrap().read_back_time;
            pause(read_back_time).await;
            let staged = self.state.lock().unwrap().weights.get(index.unwrap());
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
        let expected = text("x-expected-version").map(|expected| expected.parse::<u64>().unwrap());
        let version = self.version();
        let model = text("x-model").is_some();
        let is_other = expected.is_some_and(|expected| expected != version);
        let is_misdirected = is_other || model && version == 0;
        if is_misdirected || model && !self.accepts_requests() {
            let status = if is_misdirected {
                StatusCode::MISDIRECTED_REQUEST
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            let mut response = text_response(status, "");
            response.headers_mut().insert("x-not-executed", "1".parse().unwrap());
            response.headers_mut().insert("x-attempt-id", head.headers["x-attempt-id"].clone());
            return response;
        }
        assert_eq!(text("authorization"), None, "a worker must not receive the caller's key");
        let attempt = text("x-attempt-id").unwrap();
        let (fault, delay, sends_head_first) = {
            let mut state = self.state.lock().unwrap();
            let fault = if state.rest.is_some() {
                WorkerFault::NotExecuted
            } else if state.faults_left > 0 {
                state.fault
            } else {
                WorkerFault::None
            };
            state.faults_left = state.faults_left.saturating_sub(1);
            state.arrivals.push((attempt.clone(), Instant::now()));
            let sends_head_first = state.sends_head_first && model;
            (fault, state.start_delay, sends_head_first)
        };
        let tenant = text("x-tenant").unwrap_or_default();
        if model && !sends_head_first && fault != WorkerFault::NotExecuted && !delay.is_zero() {
            // The server drops this future when the connection closes.
            tokio::time::sleep(delay).await;
        }
        let (version, answer_delay, intake_limit, crash, silences) = {
            let mut state = self.state.lock().unwrap();
            let (now, version) = (Instant::now(), state.weights.held().0);
            if fault != WorkerFault::NotExecuted && !sends_head_first {
                state.record_start(&attempt, &tenant, model);
            }
            let crash = state.crash.clone().filter(|it| it.cause.is_in(head));
            if crash.is_some() {
                state.crash_runs.push((attempt.clone(), now));
            }
            (version, state.answer_delay, state.intake_limit.clone(), crash, state.next_silences())
        };
        if let Some(crash) = crash {
            let silent = crash.silent;
            tokio::spawn(self.clone().report_crash(crash));
            if silent {
                std::future::pending::<()>().await;
            }
        }
        if fault == WorkerFault::NotExecuted {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "");
            response.headers_mut().insert("x-not-executed", "1".parse().unwrap());
            response.headers_mut().insert("x-attempt-id", attempt.parse().unwrap());
            state_intake_limit(&mut response, intake_limit.as_deref());
            self.state_departure_and_rest(&mut response, &attempt);
            return response;
        }
        let guard =
            AnswerGuard { worker: self.clone(), attempt: attempt.clone(), has_ended: false };
        if !model {
            tokio::time::sleep(answer_delay).await;
        }
        pause(silence_at(&silences, SilencePlace::BeforeHead)).await;
        let first = text("last-event-id").map_or(1, |last| last.parse::<u64>().unwrap() + 1);
        let mut response = match (fault, model) {
            (WorkerFault::LoseAnswer, _) => {
                Response::new(self.stepped_body(guard, vec![BodyStep::Cut]))
            }
            (WorkerFault::WrongRequestId, false) => Response::new(buffered_body("done another")),
            (_, false) => Response::new(self.plain_body(guard, &silences)),
            (fault, true) => {
                let mut steps = event_steps(first, fault, answer_delay, &silences);
                if sends_head_first {
                    let parts = self.state.lock().unwrap().comment_parts;
                    let comment = parts.iter().flat_map(|part| {
                        let part = Bytes::from_static(part.as_bytes());
                        [BodyStep::Send(part), BodyStep::Wait(Duration::from_millis(20))]
                    });
                    let start = [BodyStep::Wait(delay), BodyStep::Start(tenant)];
                    steps.splice(0..0, comment.chain(start));
                }
                Response::new(self.stepped_body(guard, steps))
            }
        };
        if fault == WorkerFault::Fail {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        let headers = response.headers_mut();
        let answered_id = if fault == WorkerFault::WrongRequestId { "another" } else { &*attempt };
        headers.insert("x-attempt-id", answered_id.parse().unwrap());
        headers.insert("x-server-signature", format!("s-{}", self.id).parse().unwrap());
        headers.insert("x-instance-load", "1,0,16".parse().unwrap());
        headers.insert("x-weight-versions", version.into());
        state_intake_limit(&mut response, intake_limit.as_deref());
        self.state_departure_and_rest(&mut response, &attempt);
        response
    }

    /// Adds to an answer, and records, that the worker is leaving or wants a rest.
    fn state_departure_and_rest(&self, response: &mut AnyResponse, attempt: &str) {
        let mut state = self.state.lock().unwrap();
        let is_turned_away = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        let rest = state.rest.filter(|_| is_turned_away);
        let is_leaving = state.is_leaving;
        if is_leaving {
            response.headers_mut().insert("server-leaving", "1".parse().unwrap());
        }
        if let Some(rest) = rest {
            let seconds = rest.as_secs_f64().to_string();
            response.headers_mut().insert("retry-after", seconds.parse().unwrap());
        }
        if is_leaving || rest.is_some() {
            let (attempt, at) = (attempt.to_owned(), Instant::now());
            state.statements.push(WorkerStatement { attempt, at, is_leaving, rest });
        }
    }
}

fn state_intake_limit(response: &mut AnyResponse, limit: Option<&str>) {
    if let Some(limit) = limit {
        response.headers_mut().insert("server-limit", limit.parse().unwrap());
    }
}

impl Worker {
    /// Reports the crash after the trigger's delay.
    async fn report_crash(self, crash: CrashTrigger) {
        tokio::time::sleep(crash.after).await;
        // Sending fails only when the test has already dropped the receiver.
        let _ = crash.crash_sender.send(self.id);
    }

    /// Runs that crashed the worker, with their start times.
    pub fn crash_runs(&self) -> Vec<(String, Instant)> {
        self.state.lock().unwrap().crash_runs.clone()
    }

    /// Starts the next incarnation, which holds no layers. What is staged stays.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        state.born += 1;
        state.sequence = 0;
        state.busy_until = None;
        state.weights.give_up_layers();
    }

    /// Start time of the current incarnation, in Unix milliseconds.
    pub fn born(&self) -> u64 {
        self.state.lock().unwrap().born
    }
}

impl Worker {
    /// An answer with a length, unless the worker falls silent within it.
    fn plain_body(&self, mut guard: AnswerGuard, silences: &[AnswerSilence]) -> AnyBody {
        let text = format!("done {}", guard.attempt);
        if silences.iter().all(|silence| silence.place == SilencePlace::BeforeHead) {
            guard.has_ended = true;
            return buffered_body(text);
        }
        // A plain answer has the places of a single event.
        let places = silences.iter().map(|silence| match silence.place {
            SilencePlace::BeforeEvent(_) => (SilencePlace::BeforeEvent(1), silence.length),
            SilencePlace::InEvent(_) => (SilencePlace::InEvent(1), silence.length),
            place => (place, silence.length),
        });
        let silences: Vec<_> =
            places.map(|(place, length)| AnswerSilence { place, length }).collect();
        let mut steps = text_steps(1, &text, &silences);
        steps.push(BodyStep::Wait(silence_at(&silences, SilencePlace::BeforeEnd)));
        self.stepped_body(guard, steps)
    }

    fn stepped_body(&self, guard: AnswerGuard, steps: Vec<BodyStep>) -> AnyBody {
        let frames = stream::unfold((guard, steps.into_iter()), async |(mut guard, mut steps)| {
            loop {
                let step = match steps.next() {
                    Some(BodyStep::Wait(length)) => {
                        pause(length).await;
                        continue;
                    }
                    Some(BodyStep::Start(tenant)) => {
                        let mut state = guard.worker.state.lock().unwrap();
                        state.record_start(&guard.attempt, &tenant, true);
                        continue;
                    }
                    step => step,
                };
                guard.worker.wait_out_silence().await;
                let Some(step) = step else {
                    guard.has_ended = true;
                    return None;
                };
                let frame = guard.perform(step);
                return Some((frame, (guard, steps)));
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }
}

/// Notes what becomes of an answer.
struct AnswerGuard {
    worker: Worker,
    attempt: String,
    has_ended: bool,
}

impl AnswerGuard {
    /// Notes a step that ends a frame and returns that frame.
    fn perform(&mut self, step: BodyStep) -> Result<Frame<Bytes>, TruncatedBodyError> {
        let mut state = self.worker.state.lock().unwrap();
        match step {
            BodyStep::Send(bytes) => {
                // Nothing is passed on of an event before its end.
                if bytes.ends_with(b"\n\n") {
                    state.event_times.push((self.attempt.clone(), Instant::now()));
                }
                Ok(Frame::data(bytes))
            }
            BodyStep::Cut | BodyStep::Wait(_) | BodyStep::Start(_) => {
                state.cut_attempts.push(self.attempt.clone());
                self.has_ended = true;
                Err(TruncatedBodyError)
            }
        }
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            let drop = (std::mem::take(&mut self.attempt), Instant::now());
            self.worker.state.lock().unwrap().dropped_attempts.push(drop);
        }
    }
}

/// The earliest of the times noted for an attempt.
fn first_time(times: &[(String, Instant)], attempt: &str) -> Option<Instant> {
    times.iter().find(|(noted, _)| noted == attempt).map(|(_, at)| *at)
}

impl WorkerState {
    /// Records that a request starts now.
    fn record_start(&mut self, attempt: &str, tenant: &str, model: bool) {
        let (at, version) = (Instant::now(), self.weights.held().0);
        self.runs.push((format!("{attempt} {tenant}"), at));
        if model {
            self.request_starts.push(RequestStart { attempt: attempt.to_owned(), version, at });
            if !self.weights.is_intact_throughout() {
                self.damaged_runs.push(attempt.to_owned());
            }
        }
    }

    fn is_loading(&self) -> bool {
        self.busy_until.is_some_and(|until| until > Instant::now())
    }

    /// The silences of the answer that starts.
    fn next_silences(&mut self) -> Vec<AnswerSilence> {
        let (silences, left) = &mut self.silences;
        if *left > 0 {
            *left -= 1;
            return silences.clone();
        }
        self.random_silences.as_mut().map(RandomSilences::next).unwrap_or_default()
    }
}

impl RandomSilences {
    /// None, or one or two silences at random places that have a random length together.
    fn next(&mut self) -> Vec<AnswerSilence> {
        if !self.random.random_bool(self.share) {
            return Vec::new();
        }
        let length = Duration::from_millis(self.random.random_range(self.lengths_ms.clone()));
        let count = if self.random.random_range(0..4) == 0 { 2 } else { 1 };
        (0..count)
            .map(|_| AnswerSilence { place: self.next_place(), length: length / count })
            .collect()
    }

    fn next_place(&mut self) -> SilencePlace {
        let event = self.random.random_range(1..=EVENTS);
        match self.random.random_range(0..5) {
            0 => SilencePlace::BeforeHead,
            1 => SilencePlace::BeforeEvent(1),
            2 => SilencePlace::BeforeEvent(event),
            3 => SilencePlace::InEvent(event),
            _ => SilencePlace::BeforeEnd,
        }
    }
}

/// Sleeps, but never for the resolution of a timer where there is nothing to wait for.
async fn pause(length: Duration) {
    if !length.is_zero() {
        tokio::time::sleep(length).await;
    }
}

/// The length of all silences at a place.
fn silence_at(silences: &[AnswerSilence], place: SilencePlace) -> Duration {
    silences.iter().filter(|silence| silence.place == place).map(|silence| silence.length).sum()
}

/// Steps that send the text of the event with this id, with the silences before and within it.
fn text_steps(id: u64, text: &str, silences: &[AnswerSilence]) -> Vec<BodyStep> {
    let send = |text: &str| BodyStep::Send(Bytes::copy_from_slice(text.as_bytes()));
    let mut steps = vec![BodyStep::Wait(silence_at(silences, SilencePlace::BeforeEvent(id)))];
    let within = silence_at(silences, SilencePlace::InEvent(id));
    if within.is_zero() {
        steps.push(send(text));
    } else {
        let (first, second) = text.split_at(text.len() / 2);
        steps.extend([send(first), BodyStep::Wait(within), send(second)]);
    }
    steps
}

/// Steps that send the events from `first` on.
fn event_steps(
    first: u64,
    fault: WorkerFault,
    answer_delay: Duration,
    silences: &[AnswerSilence],
) -> Vec<BodyStep> {
    let mut steps = Vec::new();
    for id in first..=EVENTS {
        steps.push(BodyStep::Wait(answer_delay));
        if fault == WorkerFault::CutAfter(id - 1) {
            let half = BodyStep::Send(Bytes::from(format!("id: {id}\ndata: ha")));
            steps.extend([half, BodyStep::Wait(answer_delay), BodyStep::Cut]);
            return steps;
        }
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        steps.extend(text_steps(id, &event, silences));
    }
    steps.push(BodyStep::Wait(silence_at(silences, SilencePlace::BeforeEnd)));
    steps
}

impl HttpHandler for Worker {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let worker = self.clone();
        Box::pin(async move {
            let answer = worker.answer(request).await;
            worker.wait_out_silence().await;
            answer
        })
    }
}

/// Origin of weights that corrupts every seventh chunk it sends.
#[derive(Clone, Default)]
pub struct Origin {
    sent: Arc<AtomicU32>,
    /// How many of the next chunk lists have a wrong digit.
    spoilt_lists: Arc<AtomicU32>,
}

impl Origin {
    pub fn sent(&self) -> u32 {
        self.sent.load(Ordering::SeqCst)
    }

    /// Lets the next `count` chunk lists have a wrong digit, a different one in each.
    pub fn spoil_lists(&self, count: u32) {
        self.spoilt_lists.store(count, Ordering::SeqCst);
    }

    /// The place of the digit to spoil, if the next list is to be spoilt.
    fn take_spoilt_list(&self) -> Option<usize> {
        let order = Ordering::SeqCst;
        let taken = self.spoilt_lists.fetch_update(order, order, |count| count.checked_sub(1));
        taken.ok().map(|count| count as usize)
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
            let mut digests: Vec<_> = (0..CHUNKS).map(digest).collect();
            if let Some(place) = self.take_spoilt_list() {
                let digit = if digests[3].as_bytes()[place] == b'0' { "1" } else { "0" };
                digests[3].replace_range(place..=place, digit);
            }
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

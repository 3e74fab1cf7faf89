//! Load driver: callers that check that each answer is complete, from one version's weights, and theirs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use mustardrill_runtime::http::HttpClient;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::engine::answer_text;
use crate::lab::caller_request;

/// What the callers of a [`LoadDriver`] send.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Addresses of the entries, called round robin.
    pub entries: Vec<SocketAddr>,
    /// Path of each request.
    pub path: String,
    /// Requests per second.
    pub rate: f64,
    /// Number of pieces in an engine's answer; `None` expects the answer of a plain service.
    pub pieces: Option<u64>,
    /// Whether each request has an idempotency key of its own.
    pub has_idempotency_key: bool,
    /// Time limit sent with each request; a caller gives up two seconds after it.
    pub timeout: Duration,
}

/// Outcomes of the requests sent since the start or the latest reset.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Complete and correct answers.
    pub complete: u64,
    /// Refusals that say that the request was not run.
    pub not_run: u64,
    /// Refusals that do not say so: the request may have run, or has failed.
    pub unknown: u64,
    /// Broken off or without any answer, so that the HTTP client reported an error or timed out.
    pub lost: u64,
    /// Answers that are incomplete or wrong but look successful. There must never be any.
    pub wrong: u64,
    /// Number of refusals by result code; 1000, a successful answer, is none of them.
    pub codes: std::collections::BTreeMap<String, u64>,
    /// Number of complete answers by the digest of the weights that made them.
    pub weights: std::collections::BTreeMap<String, u64>,
    /// Times from request to the end of a complete answer, in microseconds.
    pub times: Histogram<u64>,
    /// Times from request to refusal, in microseconds.
    pub refusal_times: Histogram<u64>,
}

/// Sends requests at a steady rate until it is finished.
#[derive(Debug)]
pub struct LoadDriver {
    counter: Arc<Mutex<RoundCounter>>,
    stop: CancellationToken,
    tracker: TaskTracker,
}

/// The report of the current round; requests sent in earlier rounds are not counted in it.
#[derive(Debug, Default)]
struct RoundCounter {
    report: LoadReport,
    round: u64,
}

enum RequestOutcome {
    Complete(String),
    Refused(String, bool),
    Lost,
    Wrong,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self {
            sent: 0,
            complete: 0,
            not_run: 0,
            unknown: 0,
            lost: 0,
            wrong: 0,
            codes: Default::default(),
            weights: Default::default(),
            times: Histogram::new(3).expect("three digits are allowed"),
            refusal_times: Histogram::new(3).expect("three digits are allowed"),
        }
    }
}

impl LoadReport {
    /// Quantile of the times of complete answers, in milliseconds; `share` is from 0 to 1.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.times.value_at_quantile(share) as f64 / 1_000.0
    }

    fn record(&mut self, outcome: RequestOutcome, took: Duration) {
        match outcome {
            RequestOutcome::Complete(weights) => {
                self.complete += 1;
                *self.weights.entry(weights).or_default() += 1;
                let _ = self.times.record(took.as_micros() as u64);
            }
            RequestOutcome::Refused(code, is_not_run) => {
                *self.codes.entry(code).or_default() += 1;
                let _ = self.refusal_times.record(took.as_micros() as u64);
                if is_not_run {
                    self.not_run += 1;
                } else {
                    self.unknown += 1;
                }
            }
            RequestOutcome::Lost => self.lost += 1,
            RequestOutcome::Wrong => self.wrong += 1,
        }
    }
}

impl RoundCounter {
    fn count_sent(&mut self) -> u64 {
        self.report.sent += 1;
        self.round
    }

    fn record_outcome(&mut self, round: u64, outcome: RequestOutcome, took: Duration) {
        if round == self.round {
            self.report.record(outcome, took);
        }
    }
}

impl LoadDriver {
    /// Starts sending, open loop: the rate does not depend on the answers.
    pub fn spawn(client: HttpClient, options: LoadOptions) -> Self {
        let counter = Arc::new(Mutex::new(RoundCounter::default()));
        let (stop, tracker) = (CancellationToken::new(), TaskTracker::new());
        let driver =
            Self { counter: counter.clone(), stop: stop.clone(), tracker: tracker.clone() };
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / options.rate));
            let options = Arc::new(options);
            for number in 0_u64.. {
                tokio::select! {
                    _ = ticks.tick() => {}
                    () = stop.cancelled() => return,
                }
                let (client, options) = (client.clone(), options.clone());
                let counter = counter.clone();
                tracker.spawn(async move {
                    let round = counter.lock().expect("no panic under this lock").count_sent();
                    let started = Instant::now();
                    let outcome = send_request(&client, &options, number).await;
                    let took = started.elapsed();
                    counter
                        .lock()
                        .expect("no panic under this lock")
                        .record_outcome(round, outcome, took);
                });
            }
        });
        driver
    }

    /// A copy of the report so far.
    pub fn report(&self) -> LoadReport {
        self.counter.lock().expect("no panic under this lock").report.clone()
    }

    /// Starts an empty report; requests that are under way are left out of it.
    pub fn reset(&self) {
        let mut counter = self.counter.lock().expect("no panic under this lock");
        counter.round += 1;
        counter.report = LoadReport::default();
    }

    /// Stops sending, waits up to 30 seconds for outstanding answers and returns the report.
    pub async fn finish(self) -> LoadReport {
        self.stop.cancel();
        self.tracker.close();
        let _ = tokio::time::timeout(Duration::from_secs(30), self.tracker.wait()).await;
        self.report()
    }
}

async fn send_request(client: &HttpClient, options: &LoadOptions, number: u64) -> RequestOutcome {
    let entry = options.entries[number as usize % options.entries.len()];
    let prompt = format!("request {number} of {:08x}", rand::random::<u32>());
    let mut sent = caller_request(entry, &options.path, &prompt);
    let timeout = options.timeout.as_millis() as u64;
    sent.headers_mut().insert("mustardrill-timeout-ms", timeout.into());
    if options.has_idempotency_key {
        let key = prompt.replace(' ', "-").parse().expect("a key makes a header");
        sent.headers_mut().insert("idempotency-key", key);
    }
    let limit = options.timeout + Duration::from_secs(2);
    let exchange = tokio::time::timeout(limit, async {
        let (head, body) = client.stream(sent).await.map_err(drop)?.into_parts();
        let body = body.collect().await.map_err(drop)?.to_bytes();
        Ok::<_, ()>((head, body))
    });
    let Ok(Ok((head, body))) = exchange.await else { return RequestOutcome::Lost };
    let header = |name: &str| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    if !head.status.is_success() {
        let refusal: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        return RequestOutcome::Refused(header("mustardrill-code"), refusal["run"] == "not-run");
    }
    let weights = header("x-weights");
    match options.pieces {
        Some(pieces) if body != answer_text(&weights, &prompt, pieces) => RequestOutcome::Wrong,
        None if body != format!("done: {prompt}\n") => RequestOutcome::Wrong,
        _ => RequestOutcome::Complete(weights),
    }
}

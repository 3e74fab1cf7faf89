//! Callers that check every answer: whole, from one version's weights, and their own.

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

/// How callers call.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// The entries, called in turn.
    pub entries: Vec<SocketAddr>,
    /// The path.
    pub path: String,
    /// Requests a second.
    pub rate: f64,
    /// The pieces of an engine's answer; the answer is not checked where there are none.
    pub pieces: Option<u64>,
    /// Whether each request is sent with an idempotency key.
    pub keyed: bool,
    /// The time limit that each request names.
    pub timeout: Duration,
}

/// What became of all requests so far.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Answered whole and right.
    pub whole: u64,
    /// Told "not run".
    pub not_run: u64,
    /// Told "unknown" or failed truthfully.
    pub unknown: u64,
    /// Ended as a cut or without any answer; the caller's library saw an error.
    pub lost: u64,
    /// Answered short or wrong without an error. There must be none, ever.
    pub wrong: u64,
    /// The result codes that were not 1000, with their counts.
    pub codes: std::collections::BTreeMap<String, u64>,
    /// The weights that answers were made from, with their counts.
    pub weights: std::collections::BTreeMap<String, u64>,
    /// The time to whole answers, in microseconds.
    pub times: Histogram<u64>,
    /// The time to refusals, in microseconds.
    pub refusal_times: Histogram<u64>,
}

/// Callers that run until they are stopped.
#[derive(Debug)]
pub struct LoadDriver {
    counting: Arc<Mutex<Counting>>,
    stop: CancellationToken,
    tracker: TaskTracker,
}

/// The report, and which requests it counts: those sent since it began.
#[derive(Debug, Default)]
struct Counting {
    report: LoadReport,
    round: u64,
}

enum Fate {
    Whole(String),
    Refused(String, bool),
    Lost,
    Wrong,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self {
            sent: 0,
            whole: 0,
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
    /// The time within which this share of whole answers came, in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.times.value_at_quantile(share) as f64 / 1_000.0
    }

    fn note(&mut self, fate: Fate, took: Duration) {
        match fate {
            Fate::Whole(weights) => {
                self.whole += 1;
                *self.weights.entry(weights).or_default() += 1;
                let _ = self.times.record(took.as_micros() as u64);
            }
            Fate::Refused(code, is_not_run) => {
                *self.codes.entry(code).or_default() += 1;
                let _ = self.refusal_times.record(took.as_micros() as u64);
                if is_not_run {
                    self.not_run += 1;
                } else {
                    self.unknown += 1;
                }
            }
            Fate::Lost => self.lost += 1,
            Fate::Wrong => self.wrong += 1,
        }
    }
}

impl Counting {
    fn begin(&mut self) -> u64 {
        self.report.sent += 1;
        self.round
    }

    fn end(&mut self, round: u64, fate: Fate, took: Duration) {
        if round == self.round {
            self.report.note(fate, took);
        }
    }
}

impl LoadDriver {
    /// Starts callers that send at a steady rate, whether or not answers come.
    pub fn spawn(client: HttpClient, options: LoadOptions) -> Self {
        let counting = Arc::new(Mutex::new(Counting::default()));
        let (stop, tracker) = (CancellationToken::new(), TaskTracker::new());
        let driver =
            Self { counting: counting.clone(), stop: stop.clone(), tracker: tracker.clone() };
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / options.rate));
            let options = Arc::new(options);
            for number in 0_u64.. {
                tokio::select! {
                    _ = ticks.tick() => {}
                    () = stop.cancelled() => return,
                }
                let (client, options) = (client.clone(), options.clone());
                let counting = counting.clone();
                tracker.spawn(async move {
                    let round = counting.lock().expect("no panic under this lock").begin();
                    let started = Instant::now();
                    let fate = call(&client, &options, number).await;
                    let took = started.elapsed();
                    counting.lock().expect("no panic under this lock").end(round, fate, took);
                });
            }
        });
        driver
    }

    /// What became of the requests so far.
    pub fn report(&self) -> LoadReport {
        self.counting.lock().expect("no panic under this lock").report.clone()
    }

    /// Starts counting anew; requests that are under way are not counted any more.
    pub fn reset(&self) {
        let mut counting = self.counting.lock().expect("no panic under this lock");
        counting.round += 1;
        counting.report = LoadReport::default();
    }

    /// Sends nothing more, waits for the answers and returns the report.
    pub async fn finish(self) -> LoadReport {
        self.stop.cancel();
        self.tracker.close();
        let _ = tokio::time::timeout(Duration::from_secs(30), self.tracker.wait()).await;
        self.report()
    }
}

async fn call(client: &HttpClient, options: &LoadOptions, number: u64) -> Fate {
    let entry = options.entries[number as usize % options.entries.len()];
    let prompt = format!("request {number} of {:08x}", rand::random::<u32>());
    let mut sent = caller_request(entry, &options.path, &prompt);
    let timeout = options.timeout.as_millis() as u64;
    sent.headers_mut().insert("mustardrill-timeout-ms", timeout.into());
    if options.keyed {
        let key = prompt.replace(' ', "-").parse().expect("a key makes a header");
        sent.headers_mut().insert("idempotency-key", key);
    }
    let limit = options.timeout + Duration::from_secs(2);
    let answered = tokio::time::timeout(limit, async {
        let (head, body) = client.stream(sent).await.map_err(drop)?.into_parts();
        let body = body.collect().await.map_err(drop)?.to_bytes();
        Ok::<_, ()>((head, body))
    });
    let Ok(Ok((head, body))) = answered.await else { return Fate::Lost };
    let text = |name: &str| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    if !head.status.is_success() {
        let said: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        return Fate::Refused(text("mustardrill-code"), said["run"] == "not-run");
    }
    let weights = text("x-weights");
    match options.pieces {
        Some(pieces) if body != answer_text(&weights, &prompt, pieces) => Fate::Wrong,
        None if body != format!("done: {prompt}\n") => Fate::Wrong,
        _ => Fate::Whole(weights),
    }
}

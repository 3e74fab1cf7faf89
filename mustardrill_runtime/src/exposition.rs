//! Metrics that are kept in the process and served as text on its metrics address.
//!
//! The daemons count through cadence, as for a StatsD sink; here the sink is a registry in the
//! usual exposition format. Nobody asks for most of the time, so counting is all it costs.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use cadence::{MetricSink, StatsdClient};
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use mustardrill_types::FastMap;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

use crate::http::{AnyResponse, HttpHandler, text_response};

/// What every name begins with.
const NAMESPACE: &str = "mustardrill";

/// The bounds of the histograms' buckets, in milliseconds: around the objectives of 100 to 400 ms
/// finely, up to the longest deadlines coarsely.
const BUCKETS_MS: [f64; 14] = [
    2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 150.0, 200.0, 300.0, 400.0, 700.0, 1_000.0, 2_000.0, 6_000.0,
];

/// A kind of metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// A count that only grows, by the value of one label.
    Counter(&'static str),
    /// Times in milliseconds.
    Histogram,
    /// A value that goes up and down.
    Gauge,
}

/// A metric that a process serves.
#[derive(Debug, Clone, Copy)]
pub struct MetricRow {
    /// Its name, without the namespace.
    pub name: &'static str,
    /// Its kind.
    pub kind: MetricKind,
    /// What it counts, and in which unit.
    pub help: &'static str,
}

/// The metrics of one process.
#[derive(Debug, Clone)]
pub struct MetricPage {
    registry: Registry,
    counters: FastMap<&'static str, IntCounterVec>,
    histograms: FastMap<&'static str, Histogram>,
    gauges: FastMap<&'static str, IntGauge>,
}

/// Takes what cadence sends. A count that a panic interrupts is whole or missing, never torn.
struct PageSink(AssertUnwindSafe<Arc<MetricPage>>);

/// Answers with the metrics as text.
pub struct MetricHandler(pub Arc<MetricPage>);

impl MetricRow {
    /// A metric.
    pub const fn new(name: &'static str, kind: MetricKind, help: &'static str) -> Self {
        Self { name, kind, help }
    }
}

impl MetricPage {
    /// A page with these metrics, all at zero.
    pub fn new(rows: &[MetricRow]) -> Self {
        let registry = Registry::new();
        let mut page = Self {
            registry,
            counters: FastMap::default(),
            histograms: FastMap::default(),
            gauges: FastMap::default(),
        };
        rows.iter().for_each(|row| page.add(row));
        page
    }

    fn add(&mut self, row: &MetricRow) {
        let valid = "names and labels are constants that are valid and differ";
        match row.kind {
            MetricKind::Counter(label) => {
                let opts = Opts::new(row.name, row.help).namespace(NAMESPACE);
                let counter = IntCounterVec::new(opts, &[label]).expect(valid);
                self.registry.register(Box::new(counter.clone())).expect(valid);
                self.counters.insert(row.name, counter);
            }
            MetricKind::Histogram => {
                let opts = HistogramOpts::new(row.name, row.help).namespace(NAMESPACE);
                let histogram = Histogram::with_opts(opts.buckets(BUCKETS_MS.to_vec()));
                let histogram = histogram.expect(valid);
                self.registry.register(Box::new(histogram.clone())).expect(valid);
                self.histograms.insert(row.name, histogram);
            }
            MetricKind::Gauge => {
                let opts = Opts::new(row.name, row.help).namespace(NAMESPACE);
                let gauge = IntGauge::with_opts(opts).expect(valid);
                self.registry.register(Box::new(gauge.clone())).expect(valid);
                self.gauges.insert(row.name, gauge);
            }
        }
    }

    /// A client that counts on this page.
    pub fn client(self: &Arc<Self>) -> StatsdClient {
        StatsdClient::from_sink("", PageSink(AssertUnwindSafe(self.clone())))
    }

    /// The page as text.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            log::warn!("metrics outcome=unwritten reason=\"{error}\"");
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Takes one line of the StatsD format, such as `requests.1000:1|c`.
    fn take(&self, line: &str) -> Option<()> {
        let (name, rest) = line.split_once(':')?;
        let (value, _) = rest.split_once('|')?;
        let (name, label) = name.split_once('.').unwrap_or((name, ""));
        if let Some(counter) = self.counters.get(name) {
            counter.with_label_values(&[label]).inc_by(value.parse().ok()?);
        } else if let Some(histogram) = self.histograms.get(name) {
            histogram.observe(value.parse().ok()?);
        } else {
            self.gauges.get(name)?.set(value.parse().ok()?);
        }
        Some(())
    }
}

impl MetricSink for PageSink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        for line in metric.lines() {
            if self.0.take(line).is_none() {
                log::warn!("metric line=\"{line}\" outcome=dropped reason=unknown");
            }
        }
        Ok(metric.len())
    }
}

impl HttpHandler for MetricHandler {
    fn handle(&self, _: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let text = self.0.text();
        Box::pin(async move { text_response(StatusCode::OK, text) })
    }
}

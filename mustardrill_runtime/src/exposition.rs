//! Metrics kept in a registry of the process and served as text on its metrics address.
//!
//! The daemons emit metrics through cadence, as they do for a StatsD sink. Here the sink is a
//! Prometheus registry, which is formatted only when it is scraped.

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

/// Prefix of every metric's name.
const NAMESPACE: &str = "mustardrill";

/// Upper bounds of the histograms' buckets, in milliseconds: fine-grained around the objectives of
/// 100 to 400 ms, coarse up to the longest deadlines.
const BUCKETS_MS: [f64; 14] = [
    2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 150.0, 200.0, 300.0, 400.0, 700.0, 1_000.0, 2_000.0, 6_000.0,
];

/// Type of a metric, which decides how emitted values are recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Counter with one label, whose name is given.
    Counter(&'static str),
    /// Histogram of durations in milliseconds.
    Histogram,
    /// Value that can go up and down.
    Gauge,
}

/// Definition of a metric that a process serves.
#[derive(Debug, Clone, Copy)]
pub struct MetricRow {
    /// Name without the prefix.
    pub name: &'static str,
    /// Type of the metric.
    pub kind: MetricKind,
    /// Help text shown with the metric; names what it counts and the unit.
    pub help: &'static str,
}

/// Registry of the metrics of one process.
#[derive(Debug, Clone)]
pub struct MetricRegistry {
    registry: Registry,
    counters: FastMap<&'static str, IntCounterVec>,
    histograms: FastMap<&'static str, Histogram>,
    gauges: FastMap<&'static str, IntGauge>,
}

/// Records what cadence emits. Unwind safety is asserted because each update is atomic: after a
/// panic it is either complete or missing.
struct RegistrySink(AssertUnwindSafe<Arc<MetricRegistry>>);

/// HTTP handler that answers every request with all metrics as text.
pub struct MetricHandler(pub Arc<MetricRegistry>);

impl MetricRow {
    /// Defines a metric; names must be unique within a process.
    pub const fn new(name: &'static str, kind: MetricKind, help: &'static str) -> Self {
        Self { name, kind, help }
    }
}

impl MetricRegistry {
    /// Registers the metrics in `rows`, all at zero. Panics if a name or label is invalid or a name
    /// occurs twice.
    pub fn new(rows: &[MetricRow]) -> Self {
        let registry = Registry::new();
        let mut metrics = Self {
            registry,
            counters: FastMap::default(),
            histograms: FastMap::default(),
            gauges: FastMap::default(),
        };
        rows.iter().for_each(|row| metrics.register(row));
        metrics
    }

    fn register(&mut self, row: &MetricRow) {
        let valid = "names and labels are valid and unique constants";
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

    /// Returns a cadence client that records into this registry.
    pub fn client(self: &Arc<Self>) -> StatsdClient {
        StatsdClient::from_sink("", RegistrySink(AssertUnwindSafe(self.clone())))
    }

    /// Returns all metrics in the text exposition format.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            log::warn!("metrics outcome=unwritten reason=\"{error}\"");
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Records one line of the StatsD format, such as `requests.1000:1|c`. Returns `None` if the
    /// metric is unknown or the line malformed.
    fn record(&self, line: &str) -> Option<()> {
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

impl MetricSink for RegistrySink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        for line in metric.lines() {
            if self.0.record(line).is_none() {
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

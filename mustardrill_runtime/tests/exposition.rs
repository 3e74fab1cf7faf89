//! Metrics emitted through cadence are served in the text exposition format.

use std::sync::Arc;

use cadence::{Counted, Gauged, Timed};
use mustardrill_runtime::exposition::{MetricKind, MetricRegistry, MetricRow};

const ROWS: [MetricRow; 3] = [
    MetricRow { name: "requests", kind: MetricKind::Counter("code"), help: "Requests, by code." },
    MetricRow { name: "request_ms", kind: MetricKind::Histogram, help: "Times, in milliseconds." },
    MetricRow { name: "generation", kind: MetricKind::Gauge, help: "The generation in force." },
];

#[test]
fn counters_histograms_and_gauges_are_served_with_help_and_labels() {
    let metrics = Arc::new(MetricRegistry::new(&ROWS));
    let client = metrics.client();
    client.count("requests.1000", 2).unwrap();
    client.count("requests.2011", 1).unwrap();
    client.time("request_ms", 120u64).unwrap();
    client.gauge("generation", 7u64).unwrap();
    let text = metrics.text();
    for line in [
        "# HELP mustardrill_requests Requests, by code.",
        "# TYPE mustardrill_requests counter",
        "mustardrill_requests{code=\"1000\"} 2",
        "mustardrill_requests{code=\"2011\"} 1",
        "mustardrill_request_ms_bucket{le=\"100\"} 0",
        "mustardrill_request_ms_bucket{le=\"150\"} 1",
        "mustardrill_request_ms_count 1",
        "mustardrill_generation 7",
    ] {
        assert!(text.lines().any(|found| found == line), "no {line} in\n{text}");
    }
}

#[test]
fn an_unknown_metric_changes_nothing() {
    let metrics = Arc::new(MetricRegistry::new(&ROWS));
    let before = metrics.text();
    let _ = metrics.client().count("no_such_metric", 1);
    assert_eq!(metrics.text(), before);
}

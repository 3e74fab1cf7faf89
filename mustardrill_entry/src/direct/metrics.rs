//! The metrics of an entry that sends to upstreams itself; `docs/OPERATIONS.md` lists the same.

use mustardrill_runtime::exposition::{MetricKind, MetricRow};

/// Every metric and what it counts.
pub const METRICS: [MetricRow; 9] = [
    row("requests", MetricKind::Counter("code"), "Requests answered, by result code."),
    row("request_ms", MetricKind::Histogram, "Milliseconds from a request's head to its answer's."),
    row("attempts", MetricKind::Counter("outcome"), "Attempts at upstreams, by how they ended."),
    row("first_ms", MetricKind::Histogram, "Milliseconds from sending to an answer's first part."),
    row("generation", MetricKind::Gauge, "The configuration in force; zero for none."),
    row("proof_age_ms", MetricKind::Gauge, "Milliseconds since it was proved to be the newest."),
    row("upstreams", MetricKind::Gauge, "Upstreams listed."),
    row("requests_open", MetricKind::Gauge, "Requests in progress."),
    row("requests_waiting", MetricKind::Gauge, "Requests that wait for an upstream."),
];

const fn row(name: &'static str, kind: MetricKind, help: &'static str) -> MetricRow {
    MetricRow { name, kind, help }
}

//! The metrics of an agent that stocks its engine; `docs/OPERATIONS.md` lists the same.

use mustardrill_runtime::exposition::{MetricKind, MetricRow};

/// Every metric and what it counts.
pub const METRICS: [MetricRow; 6] = [
    row("chunk_draws", MetricKind::Counter("outcome"), "Chunks drawn, by how that ended."),
    row("chunk_bytes", MetricKind::Counter("source"), "Bytes of whole chunks, by their source."),
    row("weights_wanted", MetricKind::Gauge, "The version that the engine should serve."),
    row("weights_served", MetricKind::Gauge, "1 where the engine serves it."),
    row("chunks_held", MetricKind::Gauge, "Chunks held of it while it is drawn."),
    row("chunks_total", MetricKind::Gauge, "Chunks in all of it while it is drawn."),
];

const fn row(name: &'static str, kind: MetricKind, help: &'static str) -> MetricRow {
    MetricRow { name, kind, help }
}

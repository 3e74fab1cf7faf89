//! Metrics of an agent that provisions its engine; `docs/OPERATIONS.md` lists the same.

use mustardrill_runtime::exposition::{MetricKind, MetricRow};

/// Every metric with its kind, the name of its label and its help text.
pub const METRICS: [MetricRow; 6] = [
    MetricRow::new(
        "chunk_draws",
        MetricKind::Counter("outcome"),
        "Chunks drawn, by how that ended.",
    ),
    MetricRow::new(
        "chunk_bytes",
        MetricKind::Counter("source"),
        "Bytes of whole chunks, by their source.",
    ),
    MetricRow::new(
        "weights_wanted",
        MetricKind::Gauge,
        "The version that the engine should serve.",
    ),
    MetricRow::new("weights_served", MetricKind::Gauge, "1 where the engine serves it."),
    MetricRow::new("chunks_held", MetricKind::Gauge, "Chunks held of it while it is drawn."),
    MetricRow::new("chunks_total", MetricKind::Gauge, "Chunks in all of it while it is drawn."),
];

//! The metrics of an agent that stocks its engine; `docs/OPERATIONS.md` lists the same.

use mustardrill_runtime::exposition::{MetricKind, MetricRow};

/// Every metric and what it counts.
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

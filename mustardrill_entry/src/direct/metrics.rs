//! The metrics of an entry that sends requests directly to upstreams; `docs/OPERATIONS.md` lists
//! them.

use mustardrill_runtime::exposition::{MetricKind, MetricRow};
use mustardrill_types::{FastSet, InstanceId};

/// Upstreams with a label of their own; each costs memory until the process ends.
const MAX_UPSTREAM_LABELS: usize = 32;

/// The label of the upstreams beyond `MAX_UPSTREAM_LABELS`.
const OTHER_UPSTREAMS: &str = "other";

/// Assigns the values of the label `upstream`, of which there are few.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLabels {
    labelled: FastSet<InstanceId>,
}

impl UpstreamLabels {
    /// Returns the label of an upstream.
    pub(crate) fn label<'a>(&mut self, id: &'a InstanceId) -> &'a str {
        if self.labelled.len() < MAX_UPSTREAM_LABELS && !self.labelled.contains(id) {
            self.labelled.insert(id.clone());
        }
        if self.labelled.contains(id) { id.as_str() } else { OTHER_UPSTREAMS }
    }
}

/// Every metric with its kind and the help text that is exported with it.
pub const METRICS: [MetricRow; 39] = [
    MetricRow::new("requests", MetricKind::Counter("code"), "Requests answered, by result code."),
    MetricRow::new(
        "request_ms",
        MetricKind::Histogram,
        "Milliseconds from a request's head to its answer's.",
    ),
    MetricRow::new(
        "attempts",
        MetricKind::Counter("outcome"),
        "Attempts at upstreams, by how they ended.",
    ),
    MetricRow::new(
        "ends",
        MetricKind::Counter("end"),
        "Requests by how they ended for their callers.",
    ),
    MetricRow::new(
        "silences",
        MetricKind::Counter("change"),
        "Attempts whose upstream sent nothing for a while, by whether that began or ended.",
    ),
    MetricRow::new(
        "backups",
        MetricKind::Counter("outcome"),
        "Second attempts beside silent ones, by whether they won.",
    ),
    MetricRow::new(
        "first_ms",
        MetricKind::Histogram,
        "Milliseconds from sending to an answer's head.",
    ),
    MetricRow::new(
        "start_ms",
        MetricKind::Histogram,
        "Milliseconds from an answer's head to its first part.",
    ),
    MetricRow::new(
        "paced_starts",
        MetricKind::Counter("start"),
        "Starts at upstreams that state their pace, by whether they came by half earlier than forecast, or later than twice that.",
    ),
    MetricRow::new(
        "relay_bytes",
        MetricKind::Counter("kind"),
        "Bytes of weights drawn from the origin and given to others.",
    ),
    MetricRow::new(
        "limit_statements",
        MetricKind::Counter("form"),
        "Answers that state which request rate their upstream accepts, by whether it is valid.",
    ),
    MetricRow::new(
        "leaving_statements",
        MetricKind::Counter("form"),
        "Answers whose upstream states that it leaves, by whether the statement is valid.",
    ),
    MetricRow::new(
        "rest_statements",
        MetricKind::Counter("form"),
        "Answers that ask for a time without requests, by whether the statement is valid.",
    ),
    MetricRow::new(
        "cold_statements",
        MetricKind::Counter("form"),
        "Answers that state for how long their upstream is cold, by whether it is valid.",
    ),
    MetricRow::new(
        "part_lists",
        MetricKind::Counter("form"),
        "Requests that list the parts of their prompt, by whether the list is valid.",
    ),
    MetricRow::new(
        "limited_sends",
        MetricKind::Counter("upstream"),
        "Attempts at upstreams that limit the request rate that they accept.",
    ),
    MetricRow::new(
        "upstreams_leaving",
        MetricKind::Gauge,
        "Upstreams listed that have stated in their answers that they leave.",
    ),
    MetricRow::new(
        "upstreams_resting",
        MetricKind::Gauge,
        "Upstreams listed that want no requests from this entry for a while.",
    ),
    MetricRow::new(
        "upstreams_cold",
        MetricKind::Gauge,
        "Upstreams listed that are cold and get a limited request rate.",
    ),
    MetricRow::new(
        "upstreams_limited",
        MetricKind::Gauge,
        "Upstreams that limit the request rate that they accept.",
    ),
    MetricRow::new(
        "data_centres_evacuated",
        MetricKind::Gauge,
        "Data centres to whose upstreams nothing is sent, by the operator's request.",
    ),
    MetricRow::new(
        "upstreams_evacuated",
        MetricKind::Gauge,
        "Upstreams listed in evacuated data centres.",
    ),
    MetricRow::new(
        "loads_unproven",
        MetricKind::Gauge,
        "Engines whose latest load is not proven to have taken intact chunks.",
    ),
    MetricRow::new("generation", MetricKind::Gauge, "The configuration in force; zero for none."),
    MetricRow::new(
        "proof_age_ms",
        MetricKind::Gauge,
        "Milliseconds since it was proved to be the newest.",
    ),
    MetricRow::new(
        "config_unreadable",
        MetricKind::Gauge,
        "Whether the store holds a newer configuration that cannot be decoded.",
    ),
    MetricRow::new(
        "store_era",
        MetricKind::Gauge,
        "How often the store has come back from an older copy.",
    ),
    MetricRow::new("upstreams", MetricKind::Gauge, "Upstreams listed."),
    MetricRow::new(
        "upstreams_lapsed",
        MetricKind::Gauge,
        "Upstreams listed though their registration ended, as the store may have forgotten it.",
    ),
    MetricRow::new("requests_open", MetricKind::Gauge, "Requests in progress."),
    MetricRow::new("requests_waiting", MetricKind::Gauge, "Requests that wait for an upstream."),
    MetricRow::new(
        "requests_quarantined",
        MetricKind::Gauge,
        "Requests that are run no more for a while, as upstreams ended under them.",
    ),
    MetricRow::new(
        "parts_quarantined",
        MetricKind::Gauge,
        "Groups of prompt parts whose requests are not run for a while, as upstreams crashed under them.",
    ),
    MetricRow::new(
        "parts_suspected",
        MetricKind::Gauge,
        "Prompt parts that crashes of upstreams count against.",
    ),
    MetricRow::new(
        "requests_begun_late",
        MetricKind::Gauge,
        "Answers that began on replaced weights after their time, as far as this entry knows it.",
    ),
    MetricRow::new(
        "beliefs_contradicted",
        MetricKind::Gauge,
        "Beliefs in the weights of upstreams that an answer contradicted.",
    ),
    MetricRow::new(
        "arrivals_refused",
        MetricKind::Gauge,
        "Requests of services with unlike priorities refused on arrival by the forecast.",
    ),
    MetricRow::new(
        "requests_displaced",
        MetricKind::Gauge,
        "Waiting requests refused since more urgent ones arrived.",
    ),
    MetricRow::new(
        "requests_sent_late",
        MetricKind::Gauge,
        "Requests of services with unlike priorities first sent past the time to be in time.",
    ),
];

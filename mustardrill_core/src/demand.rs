//! Recent demand of customers, aggregated over the entries by each agent.
//!
//! Entries send the number of requests of each customer with their heartbeats. An agent replies
//! with the sum over all entries that reported to it lately, so limits follow demand without a
//! write to the store.

use mustardrill_types::{FastMap, InstanceId, Millis, Moment};

use crate::limit::LimitKey;

/// How long an entry's report is counted.
const REPORT_TTL: Millis = Millis(3_000);

/// Requests of one customer to one entry of the catalogue during the last round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandRow {
    /// The customer and the entry of the catalogue.
    pub key: LimitKey,
    /// Number of requests, rejected ones included.
    pub requests: u32,
}

/// The last report of each entry, as one agent received them.
#[derive(Debug, Default)]
pub struct DemandAggregator {
    reports: FastMap<InstanceId, (Moment, Vec<DemandRow>)>,
}

impl DemandAggregator {
    /// Stores an entry's report of its last round, and drops reports that are 3 s old.
    pub fn record_report(&mut self, now: Moment, entry: InstanceId, rows: Vec<DemandRow>) {
        self.reports.insert(entry, (now, rows));
        self.reports.retain(|_, (received_at, _)| now.since(*received_at) < REPORT_TTL);
    }

    /// Number of entries whose reports are counted in the totals.
    pub fn reporting_entries(&self) -> u32 {
        self.reports.len() as u32
    }

    /// Sums the requests over the reports of all entries.
    pub fn totals(&self) -> Vec<DemandRow> {
        let mut sums: FastMap<&LimitKey, u32> = FastMap::default();
        for row in self.reports.values().flat_map(|(_, rows)| rows) {
            *sums.entry(&row.key).or_default() += row.requests;
        }
        let rows = sums.into_iter();
        rows.map(|(key, requests)| DemandRow { key: key.clone(), requests }).collect()
    }
}

//! What customers ask for lately, summed over the entries by the agents that they all talk to.
//!
//! Entries send what each customer asked of them along with their heartbeats, and get back the
//! sum over all entries that the agent heard. So limits are shared by demand without a write.

use mustardrill_types::{FastMap, InstanceId, Millis, Moment};

use crate::limit::LimitKey;

/// How long an entry's word counts.
const FRESH: Millis = Millis(3_000);

/// How much one customer asked of one entry of the catalogue during the last round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandRow {
    /// The customer and the entry of the catalogue.
    pub key: LimitKey,
    /// Requests.
    pub asked: u32,
}

/// What entries said lately, at one agent.
#[derive(Debug, Default)]
pub struct DemandBoard {
    rows: FastMap<InstanceId, (Moment, Vec<DemandRow>)>,
}

impl DemandBoard {
    /// Takes what an entry says of its last round.
    pub fn note(&mut self, now: Moment, entry: InstanceId, rows: Vec<DemandRow>) {
        self.rows.insert(entry, (now, rows));
        self.rows.retain(|_, (heard, _)| now.since(*heard) < FRESH);
    }

    /// How many entries were heard of lately.
    pub fn entries(&self) -> u32 {
        self.rows.len() as u32
    }

    /// The sum over all of them.
    pub fn totals(&self) -> Vec<DemandRow> {
        let mut sums: FastMap<&LimitKey, u32> = FastMap::default();
        for row in self.rows.values().flat_map(|(_, rows)| rows) {
            *sums.entry(&row.key).or_default() += row.asked;
        }
        let rows = sums.into_iter();
        rows.map(|(key, asked)| DemandRow { key: key.clone(), asked }).collect()
    }
}

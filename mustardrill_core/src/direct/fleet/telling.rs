//! What an entry tells the others of its requests at upstreams, and when.
//!
//! Load pattern: several entries have requests waiting, and an engine has room. Each of them sends
//! until it hears of the others' requests; what is told late is sent twice and more, and the first
//! events of all wait for each other's prompts. Rises are therefore told at once, and only what
//! changed, as the bytes cross borders that are billed.

use mustardrill_types::{FastMap, InstanceId, Millis, Moment, ServiceName};

use crate::direct::event::UpstreamLoad;

/// Falls are told after this, sooner than a full engine ends its next request: one that is believed to
/// be a little fuller than it is loses less than one that is overrun.
const TELL_FALLS: Millis = Millis(50);

/// Everything is told anew after this, so that a lost datagram is mended and silence means absence.
const TELL_WHOLE: Millis = Millis(500);

/// What one entry has at each upstream.
pub type LoadRows = Vec<(InstanceId, UpstreamLoad)>;

/// How many requests wait in one entry for each service.
pub type WaitRows = Vec<(ServiceName, u32)>;

/// What is told now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadNews {
    /// What the entry has.
    pub rows: LoadRows,
    /// Whether upstreams that are not named have nothing; otherwise they are as told before.
    pub whole: bool,
    /// What waits, of all services.
    pub waiting: WaitRows,
}

impl LoadNews {
    /// The same in parts of `limit` rows at most, to be told in this order.
    pub fn parts(self, limit: usize) -> Vec<Self> {
        let Self { rows, whole, waiting } = self;
        let rest = rows.get(limit..).unwrap_or_default().chunks(limit.max(1));
        let part =
            |rows: &[_], whole| Self { rows: rows.to_vec(), whole, waiting: waiting.clone() };
        let rest = rest.map(|rows| part(rows, false));
        let first = part(&rows[..limit.min(rows.len())], whole);
        std::iter::once(first).chain(rest).collect()
    }
}

/// Remembers what the others were told.
#[derive(Debug, Default)]
pub struct LoadTeller {
    told: FastMap<InstanceId, UpstreamLoad>,
    told_waiting: WaitRows,
    told_at: Moment,
    whole_at: Moment,
}

impl LoadTeller {
    /// What is to be told at `now`, where anything is.
    pub fn next(&mut self, now: Moment, rows: LoadRows, waiting: WaitRows) -> Option<LoadNews> {
        let current: FastMap<_, _> = rows.iter().cloned().collect();
        let news = if now.since(self.whole_at) >= TELL_WHOLE {
            self.whole_at = now;
            LoadNews { rows, whole: true, waiting: waiting.clone() }
        } else {
            let changed = self.changes(&current);
            let has_risen = changed.iter().any(|(id, load)| self.is_rise(id, *load));
            let is_due =
                has_risen || self.begins_to_wait(&waiting) || now.since(self.told_at) >= TELL_FALLS;
            let is_new = !changed.is_empty() || waiting != self.told_waiting;
            if !is_new || !is_due {
                return None;
            }
            LoadNews { rows: changed, whole: false, waiting: waiting.clone() }
        };
        self.told = current;
        self.told_waiting = waiting;
        self.told_at = now;
        Some(news)
    }

    /// The upstreams at which something changed since it was told.
    fn changes(&self, current: &FastMap<InstanceId, UpstreamLoad>) -> LoadRows {
        let load_of = |loads: &FastMap<InstanceId, UpstreamLoad>, id| {
            loads.get(id).copied().unwrap_or_default()
        };
        let gone = self.told.keys().filter(|id| !current.contains_key(*id));
        let ids = current.keys().chain(gone);
        let changed = ids.filter(|id| load_of(current, id) != load_of(&self.told, id));
        changed.map(|id| (id.clone(), load_of(current, id))).collect()
    }

    /// Whether requests wait for a service for which none did when it was told.
    fn begins_to_wait(&self, waiting: &WaitRows) -> bool {
        waiting.iter().any(|(service, _)| !self.told_waiting.iter().any(|(it, _)| it == service))
    }

    fn is_rise(&self, id: &InstanceId, load: UpstreamLoad) -> bool {
        let told = self.told.get(id).copied().unwrap_or_default();
        load.requests > told.requests || load.pending_prefill > told.pending_prefill
    }
}

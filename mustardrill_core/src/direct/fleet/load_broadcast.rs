//! Decides when an entry broadcasts its load at the upstreams to its peers, and which part of it.
//!
//! When several entries have queued requests and one engine gets capacity, each of them sends to it
//! until it learns of the others' requests. With late updates the same capacity is used twice or
//! more, and the first events of all these requests wait for each other's prefill. Increases are
//! therefore sent at once. Only changed rows are sent, because traffic across region borders is
//! billed.

use mustardrill_types::{FastMap, InstanceId, Millis, Moment, ServiceName};

use crate::direct::event::UpstreamLoad;
use crate::direct::placement::pace::PaceReport;

/// Delay before decreases are sent. It is shorter than the time in which a full engine completes
/// its next request; overestimating a load for that long costs less than overloading the engine.
const DECREASE_DELAY: Millis = Millis(50);

/// Interval of snapshots, which make up for lost datagrams and let peers take silence for absence.
const SNAPSHOT_INTERVAL: Millis = Millis(500);

/// The load of one entry at each upstream.
pub type LoadRows = Vec<(InstanceId, UpstreamLoad)>;

/// The number of requests queued in one entry for each service.
pub type WaitRows = Vec<(ServiceName, u32)>;

/// A load update for the peer entries.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct LoadUpdate {
    /// The load at each upstream that is listed.
    pub rows: LoadRows,
    /// Whether upstreams that are not listed have no load; otherwise theirs is unchanged.
    pub is_snapshot: bool,
    /// The queued requests of every service; always complete.
    pub waiting: WaitRows,
    /// What some of the listed upstreams have just stated of their pace.
    pub paces: Vec<PaceReport>,
}

impl LoadUpdate {
    /// Adds the paces that are known of the listed upstreams. They cause no update of their own: an
    /// answer that states a pace changes the load as well.
    pub fn with_paces(self, known: &[PaceReport]) -> Self {
        Self { paces: paces_of(&self.rows, known), ..self }
    }

    /// Splits the update into parts of at most `limit` rows, which must be applied in this order:
    /// only the first one may be a snapshot.
    pub fn split(self, limit: usize) -> Vec<Self> {
        let Self { rows, is_snapshot, waiting, paces } = self;
        let rest = rows.get(limit..).unwrap_or_default().chunks(limit.max(1));
        let part = |rows: &[_], is_snapshot| Self {
            rows: rows.to_vec(),
            is_snapshot,
            waiting: waiting.clone(),
            paces: paces_of(rows, &paces),
        };
        let rest = rest.map(|rows| part(rows, false));
        let first = part(&rows[..limit.min(rows.len())], is_snapshot);
        std::iter::once(first).chain(rest).collect()
    }
}

/// The paces of the upstreams in `rows`.
fn paces_of(rows: &[(InstanceId, UpstreamLoad)], known: &[PaceReport]) -> Vec<PaceReport> {
    let listed = known.iter().filter(|report| rows.iter().any(|(id, _)| *id == report.upstream));
    listed.cloned().collect()
}

/// Tracks the load that was last sent to the peers and produces the next update.
#[derive(Debug, Default)]
pub struct LoadBroadcaster {
    sent_loads: FastMap<InstanceId, UpstreamLoad>,
    sent_waiting: WaitRows,
    sent_at: Moment,
    snapshot_at: Moment,
}

impl LoadBroadcaster {
    /// Returns the update to send at `now`, or `None` if nothing changed or the change can wait.
    /// The caller must send what is returned, as it counts as sent.
    pub fn next_update(
        &mut self,
        now: Moment,
        rows: LoadRows,
        waiting: WaitRows,
    ) -> Option<LoadUpdate> {
        let current: FastMap<_, _> = rows.iter().cloned().collect();
        let update = if now.since(self.snapshot_at) >= SNAPSHOT_INTERVAL {
            self.snapshot_at = now;
            LoadUpdate { rows, is_snapshot: true, waiting: waiting.clone(), paces: Vec::new() }
        } else {
            let changed = self.changed_rows(&current);
            let has_increased = changed.iter().any(|(id, load)| self.is_increase(id, *load));
            let is_due = has_increased
                || self.starts_waiting(&waiting)
                || now.since(self.sent_at) >= DECREASE_DELAY;
            let is_new = !changed.is_empty() || waiting != self.sent_waiting;
            if !is_new || !is_due {
                return None;
            }
            LoadUpdate {
                rows: changed,
                is_snapshot: false,
                waiting: waiting.clone(),
                paces: Vec::new(),
            }
        };
        self.sent_loads = current;
        self.sent_waiting = waiting;
        self.sent_at = now;
        Some(update)
    }

    /// Returns the upstreams whose load differs from the one that was last sent.
    fn changed_rows(&self, current: &FastMap<InstanceId, UpstreamLoad>) -> LoadRows {
        let load_of = |loads: &FastMap<InstanceId, UpstreamLoad>, id| {
            loads.get(id).copied().unwrap_or_default()
        };
        let gone = self.sent_loads.keys().filter(|id| !current.contains_key(*id));
        let ids = current.keys().chain(gone);
        let changed = ids.filter(|id| load_of(current, id) != load_of(&self.sent_loads, id));
        changed.map(|id| (id.clone(), load_of(current, id))).collect()
    }

    /// Whether requests are queued for a service that had none in the last update.
    fn starts_waiting(&self, waiting: &WaitRows) -> bool {
        waiting.iter().any(|(service, _)| !self.sent_waiting.iter().any(|(it, _)| it == service))
    }

    fn is_increase(&self, id: &InstanceId, load: UpstreamLoad) -> bool {
        let sent = self.sent_loads.get(id).copied().unwrap_or_default();
        load.requests > sent.requests || load.pending_prefill > sent.pending_prefill
    }
}

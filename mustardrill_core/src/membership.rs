//! Fleet membership: the platform's list of instances, which lags, corrected by failed calls.

use mustardrill_types::{DataCentre, FastMap, InstanceId, Millis, Moment, RegionName, ServiceName};
use serde::{Deserialize, Serialize};

/// One upstream instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub id: InstanceId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: RegionName,
    /// Where its agent listens, as `ip:port`.
    pub agent: Box<str>,
    /// Whether the instance is draining for a planned stop.
    #[serde(default)]
    pub leaving: bool,
}

/// The longest silence of a process that works.
const MAX_SILENCE: Millis = Millis(3_000);

/// The members of the fleet from the point of view of one process.
#[derive(Debug)]
pub struct MemberTable {
    records: FastMap<InstanceId, InstanceRecord>,
    failures: FastMap<InstanceId, FailureRecord>,
    settings: MemberSettings,
}

/// Settings of failure detection.
#[derive(Debug, Clone)]
pub struct MemberSettings {
    /// Consecutive failed calls after which an instance counts as dead.
    pub failures: u32,
    /// How long it counts as dead after the last failure, before it is tried again.
    pub dead_for: Millis,
}

#[derive(Debug, Clone, Copy, Default)]
struct FailureRecord {
    count: u32,
    last_failure: Moment,
    silence: Option<SilenceSpan>,
}

/// The time in which calls to an instance were not answered.
#[derive(Debug, Clone, Copy)]
struct SilenceSpan {
    since: Moment,
    last_timeout: Moment,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self { failures: 2, dead_for: Millis(3_000) }
    }
}

impl MemberTable {
    /// Creates a table without members.
    pub fn new(settings: MemberSettings) -> Self {
        Self { records: FastMap::default(), failures: FastMap::default(), settings }
    }

    /// Replaces all records by the platform's list; returns whether anything changed.
    pub fn replace(&mut self, list: Vec<InstanceRecord>) -> bool {
        let new: FastMap<_, _> =
            list.into_iter().map(|record| (record.id.clone(), record)).collect();
        if new == self.records {
            return false;
        }
        // A replaced instance comes back under a new address; failures of the old one don't count.
        let old = std::mem::replace(&mut self.records, new);
        let records = &self.records;
        self.failures.retain(|id, _| {
            records.get(id).map(|record| &record.agent) == old.get(id).map(|record| &record.agent)
        });
        true
    }

    /// Counts a failed call to the instance.
    pub fn record_failure(&mut self, now: Moment, id: &InstanceId) {
        if !self.records.contains_key(id) {
            return;
        }
        let record = self.failures.entry(id.clone()).or_default();
        record.count += 1;
        record.last_failure = now;
    }

    /// Records that a call to the instance since `called_at` was not answered in time. The instance
    /// counts as dead once it has been silent for longer than a process that works is.
    pub fn record_silence(&mut self, now: Moment, called_at: Moment, id: &InstanceId) {
        if !self.records.contains_key(id) {
            return;
        }
        let record = self.failures.entry(id.clone()).or_default();
        let span = record.silence.filter(|it| now.since(it.last_timeout) < self.settings.dead_for);
        let since = span.map_or(called_at, |span| span.since.min(called_at));
        record.silence = Some(SilenceSpan { since, last_timeout: now });
        if now.since(since) > MAX_SILENCE {
            record.count = record.count.max(self.settings.failures);
            record.last_failure = now;
        }
    }

    /// Resets the failure count of an instance that answered.
    pub fn record_success(&mut self, id: &InstanceId) {
        self.failures.remove(id);
    }

    /// Whether the instance is listed and does not count as dead.
    pub fn is_live(&self, now: Moment, id: &InstanceId) -> bool {
        self.records.contains_key(id) && !self.is_dead(now, id)
    }

    /// Returns the record of an instance, also of one that counts as dead.
    pub fn get(&self, id: &InstanceId) -> Option<&InstanceRecord> {
        self.records.get(id)
    }

    /// Returns the live instances of a service, ordered by id.
    pub fn live_instances(&self, now: Moment, service: &ServiceName) -> Vec<&InstanceRecord> {
        let mut instances: Vec<_> = self
            .records
            .values()
            .filter(|record| record.service == *service && !self.is_dead(now, &record.id))
            .collect();
        instances.sort_by(|left, right| left.id.cmp(&right.id));
        instances
    }

    /// Iterates over all records in arbitrary order, dead instances included.
    pub fn records(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.records.values()
    }

    fn is_dead(&self, now: Moment, id: &InstanceId) -> bool {
        self.failures.get(id).is_some_and(|record| {
            record.count >= self.settings.failures
                && now.since(record.last_failure) < self.settings.dead_for
        })
    }
}

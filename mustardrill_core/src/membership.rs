//! Who is in the fleet: the platform's lagging list, corrected by what connections show.

use mustardrill_types::{DataCentre, FastMap, InstanceId, Millis, Moment, RegionName, ServiceName};
use serde::{Deserialize, Serialize};

/// What the platform's list says of one upstream instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance.
    pub id: InstanceId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: RegionName,
    /// Where its agent listens, as `ip:port`.
    pub agent: Box<str>,
    /// Whether it is live or leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The members as one process sees them.
#[derive(Debug)]
pub struct MemberTable {
    records: FastMap<InstanceId, InstanceRecord>,
    suspected: FastMap<InstanceId, Suspicion>,
    settings: MemberSettings,
}

/// How connections correct the list.
#[derive(Debug, Clone)]
pub struct MemberSettings {
    /// Failures in a row after which an instance counts as dead.
    pub failures: u32,
    /// How long it counts as dead before it is tried again.
    pub dead_for: Millis,
}

#[derive(Debug, Clone, Copy, Default)]
struct Suspicion {
    failures: u32,
    since: Moment,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self { failures: 2, dead_for: Millis(3_000) }
    }
}

impl MemberTable {
    /// A table without members.
    pub fn new(settings: MemberSettings) -> Self {
        Self { records: FastMap::default(), suspected: FastMap::default(), settings }
    }

    /// Takes the platform's list in place of the one before; says whether anything changed.
    pub fn replace(&mut self, list: Vec<InstanceRecord>) -> bool {
        let fresh: FastMap<_, _> =
            list.into_iter().map(|record| (record.id.clone(), record)).collect();
        if fresh == self.records {
            return false;
        }
        // A replaced instance comes back under a new address and starts with a clean slate.
        let old = std::mem::replace(&mut self.records, fresh);
        let records = &self.records;
        self.suspected.retain(|id, _| {
            records.get(id).map(|record| &record.agent) == old.get(id).map(|record| &record.agent)
        });
        true
    }

    /// Notes that a call to the instance failed.
    pub fn failed(&mut self, now: Moment, id: &InstanceId) {
        if !self.records.contains_key(id) {
            return;
        }
        let suspicion = self.suspected.entry(id.clone()).or_default();
        suspicion.failures += 1;
        suspicion.since = now;
    }

    /// Notes that the instance answered.
    pub fn answered(&mut self, id: &InstanceId) {
        self.suspected.remove(id);
    }

    /// Whether the instance is listed and not believed dead.
    pub fn is_live(&self, now: Moment, id: &InstanceId) -> bool {
        self.records.contains_key(id) && !self.is_dead(now, id)
    }

    /// The record of an instance.
    pub fn get(&self, id: &InstanceId) -> Option<&InstanceRecord> {
        self.records.get(id)
    }

    /// The instances of a service that are listed and not believed dead, ordered by name.
    pub fn live_of(&self, now: Moment, service: &ServiceName) -> Vec<&InstanceRecord> {
        let mut found: Vec<_> = self
            .records
            .values()
            .filter(|record| record.service == *service && !self.is_dead(now, &record.id))
            .collect();
        found.sort_by(|left, right| left.id.cmp(&right.id));
        found
    }

    /// All records, in no order.
    pub fn records(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.records.values()
    }

    fn is_dead(&self, now: Moment, id: &InstanceId) -> bool {
        self.suspected.get(id).is_some_and(|suspicion| {
            suspicion.failures >= self.settings.failures
                && now.since(suspicion.since) < self.settings.dead_for
        })
    }
}

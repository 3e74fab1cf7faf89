//! Decides how long an entry lets changes accumulate in the store before it reads them.
//!
//! Engines that load weights update their registrations many times a second. Each answered watch is
//! a billed call, and entries learn the state of engines from agents anyway, so such changes are
//! coalesced. Upstreams that register or go are more urgent: after a restart of the whole fleet an
//! entry that knows only the old instances has nobody to send to, and requests for a service are
//! refused while its last upstream is gone.
//!
//! Large configurations in quick succession are coalesced, too. A watch sends each of them in full
//! to each entry and fills the links between regions for seconds, so that other entries reach
//! neither the store nor weights. If an entry reads a snapshot after a pause, only the newest
//! configuration is transferred.

use mustardrill_types::{
    FastMap, FastSet, Generation, InstanceId, Millis, Moment, ServiceName, StartStamp,
};

use crate::direct::fleet::update::{FleetChange, FleetUpdate};

/// Pause after changes of the membership or any other kind. An upstream that shuts down must
/// receive no further requests within twice this time.
const MEMBERSHIP_PAUSE: Millis = Millis(150);

/// Pause after changes of engines' served weights only: a quarter of the tightest limit on the
/// delay of a change.
const SERVING_PAUSE: Millis = Millis(500);

/// Pause after any changes while a service that had upstreams lately has none.
const UNSERVED_PAUSE: Millis = Millis(50);

/// How long a service without upstreams shortens the pauses: a store that has lost registrations
/// has them again within a lease, and one that is shut down for good must not cost calls.
const UNSERVED_WINDOW: Millis = Millis(10_000);

/// A configuration that follows another one within this time belongs to a series.
const SERIES_WINDOW: Millis = Millis(2_000);

/// Pause within a series of configurations. Together with a read over a busy link it leaves half of
/// the tightest limit on the delay of a change.
const SERIES_PAUSE: Millis = Millis(800);

/// When and how the store is read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextRead {
    /// How long to wait before the read.
    pub pause: Millis,
    /// Whether to read a snapshot instead of each change since the last read.
    pub is_snapshot: bool,
}

/// Chooses the pause before the next read from the changes of the last one.
///
/// It remembers the upstreams that were reported, to tell which ones are new and which services
/// have none left.
#[derive(Debug, Default)]
pub struct ChangeCoalescer {
    known_upstreams: FastMap<InstanceId, KnownUpstream>,
    /// The services that have lost their last upstream, each with the moment of that.
    unserved_since: FastMap<ServiceName, Moment>,
    /// The newest configuration, and when it was first received.
    configured: Option<(Generation, Moment)>,
}

/// The parts of an upstream's last registration that make a change urgent.
#[derive(Debug, PartialEq, Eq)]
struct KnownUpstream {
    service: ServiceName,
    start: StartStamp,
    leaving: bool,
}

impl ChangeCoalescer {
    /// Returns how to read the store after an update received at `now`. There is no pause after a
    /// snapshot, an empty update, or one that leaves a service without upstreams.
    pub fn next_read(&mut self, now: Moment, update: &FleetUpdate) -> NextRead {
        let is_series = self.is_series(now, update);
        let pause = self.pause_after(now, update);
        if is_series {
            return NextRead { pause: SERIES_PAUSE, is_snapshot: true };
        }
        NextRead { pause, is_snapshot: false }
    }

    /// Whether an update contains a new configuration soon after another one.
    fn is_series(&mut self, now: Moment, update: &FleetUpdate) -> bool {
        let generations = update.changes.iter().filter_map(|change| match change {
            FleetChange::Configured(document) => Some(document.generation),
            _ => None,
        });
        let Some(newest) = generations.max() else { return false };
        if self.configured.is_some_and(|(generation, _)| newest <= generation) {
            return false;
        }
        let before = self.configured.replace((newest, now));
        !update.is_snapshot && before.is_some_and(|(_, before)| now.since(before) < SERIES_WINDOW)
    }

    fn pause_after(&mut self, now: Moment, update: &FleetUpdate) -> Millis {
        let mut affected_services = self.services_left(update);
        affected_services.retain(|service| self.is_served(service));
        if update.is_snapshot {
            self.known_upstreams.clear();
        }
        let mut has_membership_change = false;
        for change in &update.changes {
            has_membership_change |= self.record_change(change);
        }
        let is_service_lost = self.record_unserved_services(now, affected_services);
        if update.is_snapshot || update.changes.is_empty() || is_service_lost {
            return Millis(0);
        }
        let pause = if has_membership_change { MEMBERSHIP_PAUSE } else { SERVING_PAUSE };
        if self.unserved_since.is_empty() { pause } else { pause.min(UNSERVED_PAUSE) }
    }

    /// Updates the services that have lost their last upstream lately; returns whether one of these,
    /// which had some, has none any more.
    fn record_unserved_services(&mut self, now: Moment, services: Vec<ServiceName>) -> bool {
        let mut unserved_since = std::mem::take(&mut self.unserved_since);
        unserved_since.retain(|service, since| {
            now.since(*since) < UNSERVED_WINDOW && !self.is_served(service)
        });
        let mut is_service_lost = false;
        for service in services.into_iter().filter(|service| !self.is_served(service)) {
            unserved_since.insert(service, now);
            is_service_lost = true;
        }
        self.unserved_since = unserved_since;
        is_service_lost
    }

    /// Records a change and returns whether it is more than news of the weights of a known upstream.
    fn record_change(&mut self, change: &FleetChange) -> bool {
        match change {
            FleetChange::Upstream(record) => {
                let (service, leaving) = (record.service.clone(), record.leaving);
                let upstream = KnownUpstream { service, start: record.start, leaving };
                let is_known = self.known_upstreams.get(&record.id) == Some(&upstream);
                self.known_upstreams.insert(record.id.clone(), upstream);
                !is_known
            }
            FleetChange::UpstreamGone(id) | FleetChange::UpstreamInvalid(id) => {
                self.known_upstreams.remove(id);
                true
            }
            FleetChange::LoadRecorded(_) => false,
            _ => true,
        }
    }

    /// Returns the services that may lose an upstream by an update.
    fn services_left(&self, update: &FleetUpdate) -> Vec<ServiceName> {
        if update.is_snapshot {
            let services = self.known_upstreams.values().map(|known| known.service.clone());
            return services.collect::<FastSet<_>>().into_iter().collect();
        }
        update.changes.iter().filter_map(|change| self.service_left(change)).collect()
    }

    /// Returns the service that loses an upstream by a change.
    fn service_left(&self, change: &FleetChange) -> Option<ServiceName> {
        let (id, stays_in) = match change {
            FleetChange::Upstream(record) if record.leaving => (&record.id, None),
            FleetChange::Upstream(record) => (&record.id, Some(&record.service)),
            FleetChange::UpstreamGone(id) | FleetChange::UpstreamInvalid(id) => (id, None),
            _ => return None,
        };
        let service = &self.known_upstreams.get(id)?.service;
        (stays_in != Some(service)).then(|| service.clone())
    }

    fn is_served(&self, service: &ServiceName) -> bool {
        self.known_upstreams.values().any(|known| known.service == *service && !known.leaving)
    }
}

//! How long an entry lets changes gather at the store before it asks for more of them.
//!
//! Load pattern: engines load weights and tell so by their registrations, fifty times a second in a
//! fleet of 45. Each answered watch is a billed call, and agents tell entries of their engines anyway.
//! Upstreams that come or go are another matter: after a restart of all, whoever knows only the names
//! of before sends to nobody, and while the last one of a service is gone its requests are refused.

use mustardrill_types::{FastMap, InstanceId, Millis, ServiceName, StartStamp};

use crate::direct::fleet::{FleetChange, FleetPage};

/// The pause where anything else changed, above all where upstreams came or went: one that leaves is
/// sent nothing more within 0.3 s.
const SOON: Millis = Millis(150);

/// The pause where engines only told what they serve: a quarter of the tightest bound on a change.
const LATER: Millis = Millis(500);

/// The upstreams that were told of, to see who is new and which service is without any.
#[derive(Debug, Default)]
pub struct GatherPause {
    known: FastMap<InstanceId, KnownUpstream>,
}

/// What was told last of an upstream.
#[derive(Debug, PartialEq, Eq)]
struct KnownUpstream {
    service: ServiceName,
    start: StartStamp,
    leaving: bool,
}

impl GatherPause {
    /// How long to wait after a page; nothing where it tells nothing, or all at once.
    pub fn after(&mut self, page: &FleetPage) -> Millis {
        let mut moved = false;
        let mut bereft = false;
        for change in &page.changes {
            let left = self.service_left(change);
            moved |= self.takes(change);
            bereft |= left.is_some_and(|service| !self.is_served(&service));
        }
        match (page.whole || page.changes.is_empty() || bereft, moved) {
            (true, _) => Millis(0),
            (false, true) => SOON,
            (false, false) => LATER,
        }
    }

    /// Takes a change over; says whether it is more than another state of an upstream that is known.
    fn takes(&mut self, change: &FleetChange) -> bool {
        match change {
            FleetChange::Upstream(record) => {
                let (service, leaving) = (record.service.clone(), record.leaving);
                let told = KnownUpstream { service, start: record.start, leaving };
                let is_known = self.known.get(&record.id) == Some(&told);
                self.known.insert(record.id.clone(), told);
                !is_known
            }
            FleetChange::UpstreamGone(id) | FleetChange::UpstreamVoid(id) => {
                self.known.remove(id);
                true
            }
            _ => true,
        }
    }
    /// The service that an upstream leaves by a change.
    fn service_left(&self, change: &FleetChange) -> Option<ServiceName> {
        let id = match change {
            FleetChange::Upstream(record) if record.leaving => &record.id,
            FleetChange::UpstreamGone(id) | FleetChange::UpstreamVoid(id) => id,
            _ => return None,
        };
        self.known.get(id).map(|known| known.service.clone())
    }

    fn is_served(&self, service: &ServiceName) -> bool {
        self.known.values().any(|known| known.service == *service && !known.leaving)
    }
}

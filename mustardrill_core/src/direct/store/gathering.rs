//! How long an entry lets changes gather at the store before it asks for more of them.
//!
//! Load pattern: engines load weights and tell so by their registrations, many times a second. Each
//! answered watch is a billed call, and agents tell entries of their engines anyway.
//! Upstreams that come or go are another matter: after a restart of all, whoever knows only the names
//! of before sends to nobody, and while the last one of a service is gone its requests are refused.
//!
//! Load pattern: large configurations in quick succession. A watch tells each of them in full to each
//! entry, and fills the links between regions for seconds, over which other
//! entries then reach neither the store nor weights. Read as a whole after a pause, only the newest
//! one crosses.

use mustardrill_types::{FastMap, Generation, InstanceId, Millis, Moment, ServiceName, StartStamp};

use crate::direct::fleet::page::{FleetChange, FleetPage};

/// The pause where anything else changed, above all where upstreams came or went: one that leaves is to
/// be sent nothing more within twice that.
const SOON: Millis = Millis(150);

/// The pause where engines only told what they serve: a quarter of the tightest bound on a change.
const LATER: Millis = Millis(500);

/// A configuration that follows another one within this time is one of a series.
const SERIES_SPAN: Millis = Millis(2_000);

/// The pause within a series: with a reading over a busy link it leaves half of the tightest bound on
/// a change.
const SERIES_PAUSE: Millis = Millis(800);

/// How the store is read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextReading {
    /// How long changes gather before.
    pub pause: Millis,
    /// Whether all is read anew, in place of each change since.
    pub anew: bool,
}

/// The upstreams that were told of, to see who is new and which service is without any.
#[derive(Debug, Default)]
pub struct GatherPause {
    known: FastMap<InstanceId, KnownUpstream>,
    /// The newest configuration that was told, and when it was told first.
    configured: Option<(Generation, Moment)>,
}

/// What was told last of an upstream.
#[derive(Debug, PartialEq, Eq)]
struct KnownUpstream {
    service: ServiceName,
    start: StartStamp,
    leaving: bool,
}

impl GatherPause {
    /// How to go on after a page that came at `now`: at once where it tells nothing, or all at once.
    pub fn after(&mut self, now: Moment, page: &FleetPage) -> NextReading {
        if self.is_series(now, page) {
            for change in &page.changes {
                self.takes(change);
            }
            return NextReading { pause: SERIES_PAUSE, anew: true };
        }
        NextReading { pause: self.pause_after(page), anew: false }
    }

    /// Whether a page brings a configuration soon after another one.
    fn is_series(&mut self, now: Moment, page: &FleetPage) -> bool {
        let told = page.changes.iter().filter_map(|change| match change {
            FleetChange::Configured(document) => Some(document.generation),
            _ => None,
        });
        let Some(newest) = told.max() else { return false };
        if self.configured.is_some_and(|(generation, _)| newest <= generation) {
            return false;
        }
        let before = self.configured.replace((newest, now));
        !page.whole && before.is_some_and(|(_, before)| now.since(before) < SERIES_SPAN)
    }

    fn pause_after(&mut self, page: &FleetPage) -> Millis {
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

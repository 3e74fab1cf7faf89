//! Which data centres are evacuated: nothing is sent to their upstreams until the operator takes
//! them back.

use derive_more::Display;
use log::{info, warn};
use mustardrill_types::{DataCentre, FastMap, FastSet, Moment};

use crate::direct::event::{DirectEffect, RequestNumber};
use crate::direct::fleet::update::{FleetChange, FleetUpdate};
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestStage;

/// One data centre's evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Evacuation {
    /// When this entry learned of it.
    since: Moment,
    /// Whether a store restored from an older copy does not contain it, and may have lost it.
    is_unconfirmed: bool,
}

/// The evacuated data centres.
#[derive(Debug, Default)]
pub(crate) struct EvacuationTable {
    evacuations: FastMap<DataCentre, Evacuation>,
    /// Whether one has begun whose consequences for requests are still to be drawn.
    has_begun: bool,
}

/// Why an evacuation is over.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
enum EvacuationEnd {
    /// The store reported the removal.
    #[display("removed")]
    Removed,
    /// A snapshot of the store does not contain it.
    #[display("not-in-snapshot")]
    Missing,
    /// A restored store does not contain it, and the operator had the time to write it again.
    #[display("not-written-again")]
    NotWrittenAgain,
}

impl EvacuationTable {
    /// Whether nothing may be sent to the upstreams of a data centre.
    pub(crate) fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        !self.evacuations.is_empty() && self.evacuations.contains_key(data_centre)
    }

    /// The number of evacuated data centres, also of those that have no upstream.
    pub(crate) fn len(&self) -> usize {
        self.evacuations.len()
    }

    /// Records that the store contains an evacuation; returns whether it was not known.
    pub(crate) fn begin(&mut self, now: Moment, data_centre: DataCentre) -> bool {
        let mut is_new = false;
        let evacuation = self.evacuations.entry(data_centre).or_insert_with(|| {
            is_new = true;
            Evacuation { since: now, is_unconfirmed: false }
        });
        evacuation.is_unconfirmed = false;
        self.has_begun |= is_new;
        is_new
    }

    /// Records that the store has removed an evacuation; a missing one is ignored.
    pub(crate) fn end(&mut self, now: Moment, data_centre: &DataCentre) {
        if let Some(evacuation) = self.evacuations.remove(data_centre) {
            log_end(now, data_centre, evacuation, EvacuationEnd::Removed);
        }
    }

    /// Drops the evacuations that a snapshot does not contain. Where the store was restored from an
    /// older copy, they stay in force until the operator had the time to write them again.
    pub(crate) fn drop_missing(&mut self, now: Moment, update: &FleetUpdate, is_restored: bool) {
        let mut present = FastSet::default();
        for change in &update.changes {
            if let FleetChange::EvacuationRequested(data_centre) = change {
                present.insert(data_centre);
            }
        }
        self.evacuations.retain(|data_centre, evacuation| {
            if present.contains(data_centre) {
                return true;
            }
            evacuation.is_unconfirmed = is_restored;
            if !is_restored {
                log_end(now, data_centre, *evacuation, EvacuationEnd::Missing);
            }
            is_restored
        });
    }

    /// Drops the evacuations that were not written again after the store's restore.
    pub(crate) fn drop_unconfirmed(&mut self, now: Moment) {
        self.evacuations.retain(|data_centre, evacuation| {
            if evacuation.is_unconfirmed {
                log_end(now, data_centre, *evacuation, EvacuationEnd::NotWrittenAgain);
            }
            !evacuation.is_unconfirmed
        });
    }

    fn take_begun(&mut self) -> bool {
        std::mem::take(&mut self.has_begun)
    }
}

impl DirectReducer {
    /// Records that the store contains the operator's request to evacuate a data centre.
    pub(in crate::direct) fn begin_evacuation(&mut self, now: Moment, data_centre: DataCentre) {
        if !self.upstreams.evacuations.begin(now, data_centre.clone()) {
            return;
        }
        let listed = self.upstreams.iter();
        let evacuated = listed.filter(|state| state.record.data_centre == data_centre).count();
        let line = format!(
            "evacuation data_centre={data_centre} outcome=begun source=store upstreams={evacuated} \
             evacuated={} proof_age={}",
            self.upstreams.evacuations.len(),
            self.store_freshness.age(now).map_or(-1, |age| age.0 as i64),
        );
        // It may be misspelled, or empty already.
        if evacuated == 0 { warn!("{line} reason=no-upstream-listed") } else { info!("{line}") }
    }

    /// Draws the consequences of evacuations that have begun: takes back the attempts there of which
    /// nothing has been written, and refuses what no upstream elsewhere can serve.
    pub(in crate::direct) fn leave_evacuated(&mut self, now: Moment) -> Vec<DirectEffect> {
        if !self.upstreams.evacuations.take_begun() {
            return Vec::new();
        }
        let unanswered = self.unanswered_evacuated();
        let services: Vec<_> = self.queues.keys().cloned().collect();
        let withdrawals = unanswered.into_iter().map(DirectEffect::WithdrawUnsent);
        let mut effects: Vec<_> = withdrawals.collect();
        for service in services {
            effects.extend(self.refuse_unservable(now, &service));
        }
        effects
    }

    /// The attempts at evacuated upstreams whose answer has not started.
    fn unanswered_evacuated(&self) -> Vec<RequestNumber> {
        let is_affected = |stage: &RequestStage| match stage {
            RequestStage::Sent(target) => {
                self.upstreams.get(&target.id).is_some_and(|it| self.upstreams.is_evacuated(it))
            }
            _ => false,
        };
        let requests = self.requests.values();
        let unanswered = requests.filter(|state| !state.has_started && is_affected(&state.stage));
        unanswered.map(|state| state.number).collect()
    }
}

fn log_end(now: Moment, data_centre: &DataCentre, evacuation: Evacuation, end: EvacuationEnd) {
    let age = now.since(evacuation.since);
    info!(
        "evacuation data_centre={data_centre} outcome=ended reason={end} source=store after={age}"
    );
}

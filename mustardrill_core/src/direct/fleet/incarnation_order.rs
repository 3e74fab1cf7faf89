//! Which of two incarnations of an upstream, read under one id, is the later one.
//!
//! A start stamp is a time of day, which may jump back between two starts. Registrations of an
//! upstream that has ended may be written late as well, so the order of the store's revisions alone
//! proves nothing either. What orders two incarnations where the stamps may not: one that goes on
//! registering, with a growing sequence, while the other does not, is alive. That takes two
//! registrations, one heartbeat apart.

use mustardrill_types::{FastMap, InstanceId, StartStamp};

use crate::direct::fleet::update::UpstreamRecord;

/// Incarnations under ids of listed upstreams whose stamps do not show them to be the later ones.
#[derive(Debug, Default)]
pub(crate) struct IncarnationOrder {
    challengers: FastMap<InstanceId, Challenger>,
    /// Incarnations that were replaced by one with a lower stamp.
    replaced: FastMap<InstanceId, StartStamp>,
}

/// An incarnation that registered after the listed one.
#[derive(Debug)]
struct Challenger {
    start: StartStamp,
    sequence: u64,
}

impl IncarnationOrder {
    /// Records that the listed incarnation has registered, and so goes on.
    pub(crate) fn record_listed(&mut self, id: &InstanceId) {
        self.challengers.remove(id);
    }

    /// Whether a registration of another incarnation than the listed one, which started at `listed`,
    /// shows that it is the later one.
    pub(crate) fn is_later(&mut self, listed: StartStamp, record: &UpstreamRecord) -> bool {
        let (start, sequence) = (record.start, record.warmup.sequence);
        let was_replaced = self.replaced.get(&record.id).is_some_and(|it| *it >= start);
        let before = self.challengers.get(&record.id).filter(|it| it.start == start);
        let goes_on = before.is_some_and(|challenger| sequence > challenger.sequence);
        if !goes_on && (start < listed || was_replaced) {
            let sequence = before.map_or(sequence, |challenger| challenger.sequence);
            self.challengers.insert(record.id.clone(), Challenger { start, sequence });
            return false;
        }
        self.challengers.remove(&record.id);
        if start < listed {
            self.replaced.insert(record.id.clone(), listed);
        } else {
            self.replaced.remove(&record.id);
        }
        true
    }

    /// Forgets the upstreams that `is_known` does not name.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&InstanceId) -> bool) {
        self.challengers.retain(|id, _| is_known(id));
        self.replaced.retain(|id, _| is_known(id));
    }
}

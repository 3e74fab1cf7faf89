//! The operator evacuates a data centre and takes it back, beside the other faults; each request is
//! judged by where it arrived.

use std::time::{Duration, Instant};

use mustardrill_types::FastMap;
use rand::Rng;
use serde_json::json;

use super::{CallOutcome, RecoveryAction, Soak};
use crate::evacuation::{DATA_CENTRES, EVACUATION_BOUND};
use crate::worker::Worker;

/// Range of the time for which a data centre is evacuated, in milliseconds: some shorter than the
/// bound, some longer.
const SPANS_MS: std::ops::Range<u64> = 1_000..4_000;

/// Range of the time between two evacuations, in milliseconds.
const PAUSES_MS: std::ops::Range<u64> = 0..600;

/// Range of the time between two faults, in milliseconds: long enough that some entries are
/// undisturbed for the whole bound.
pub const FAULT_PAUSES_MS: std::ops::Range<u64> = 600..2_000;

/// An evacuation that the store accepted.
pub struct Evacuation {
    data_centre: &'static str,
    from: Instant,
    /// When the operator took it back.
    until: Option<Instant>,
    /// When the next one may begin.
    next: Instant,
}

/// Distributes the workers over the data centres.
pub fn place_workers(engines: &[Worker], desks: &[Worker]) {
    for workers in [engines, desks] {
        for (worker, data_centre) in workers.iter().zip(DATA_CENTRES.into_iter().cycle()) {
            worker.set_data_centre(data_centre);
        }
    }
}

fn key(data_centre: &str) -> String {
    format!("op/evacuate/{data_centre}")
}

impl Evacuation {
    /// Whether no request may arrive there at `at`.
    fn forbids(&self, at: Instant) -> bool {
        at > self.from + EVACUATION_BOUND && self.until.is_none_or(|until| at < until)
    }
}

impl Soak {
    /// Begins an evacuation some time after the last one has ended, and schedules its end. There is
    /// one at a time, so that a data centre is left to the callers.
    pub fn inject_evacuation(&mut self) {
        let now = Instant::now();
        if self.evacuations.last().is_some_and(|last| last.until.is_none() || last.next > now) {
            return;
        }
        let data_centre = DATA_CENTRES[self.delay_random.random_range(0..DATA_CENTRES.len())];
        let span = Duration::from_millis(self.delay_random.random_range(SPANS_MS));
        let pause = Duration::from_millis(self.delay_random.random_range(PAUSES_MS));
        self.store.write(&key(data_centre), &json!({}));
        let from = Instant::now();
        let next = from + span + pause;
        self.evacuations.push(Evacuation { data_centre, from, until: None, next });
        self.recovery_actions.push((from + span, RecoveryAction::TakeBack(data_centre)));
        self.faults.push(format!("{data_centre} is evacuated for {span:?}"));
    }

    pub fn take_back(&mut self, data_centre: &str) {
        if let Some(evacuation) = self.evacuations.last_mut() {
            // Requests may return as soon as the store removes it.
            evacuation.until = Some(Instant::now());
        }
        self.store.remove(&key(data_centre));
    }

    /// Writes again what a copy of the store lacks, and removes what was taken back since it was
    /// made.
    pub fn rewrite_evacuations(&self) {
        let current = self.evacuations.last().filter(|last| last.until.is_none());
        for data_centre in DATA_CENTRES {
            let is_evacuated = current.is_some_and(|it| it.data_centre == data_centre);
            let key = key(data_centre);
            match (is_evacuated, self.store.value(&key).is_some()) {
                (true, false) => self.store.write(&key, &json!({})),
                (false, true) => self.store.remove(&key),
                _ => {}
            }
        }
    }

    /// Requests that arrived in an evacuated data centre after the bound, sent by undisturbed
    /// entries, and the number of requests that arrived anywhere then from such entries.
    pub fn requests_to_evacuated(&self, outcomes: &[CallOutcome]) -> (Vec<String>, usize) {
        let calls: FastMap<_, _> = outcomes.iter().map(|it| (it.attempt.as_str(), it)).collect();
        let (mut late, mut judged) = (Vec::new(), 0);
        for (place, worker) in self.workers().enumerate() {
            for (attempt, at) in worker.arrivals() {
                let Some(evacuation) = self.evacuations.iter().find(|it| it.forbids(at)) else {
                    continue;
                };
                // Recovery probes belong to no caller.
                let Some(call) = calls.get(attempt.as_str()) else { continue };
                let is_held = self.is_held_by_link(place, at);
                if is_held || self.may_lack_updates(self.entry_of(call), at) {
                    continue;
                }
                judged += 1;
                if worker.data_centre() == evacuation.data_centre {
                    late.push(format!(
                        "{attempt} arrived at {} {:?} after {} was evacuated",
                        worker.id,
                        at - evacuation.from,
                        evacuation.data_centre
                    ));
                }
            }
        }
        (late, judged)
    }

    /// Whether the link of a plain worker may have delivered at `at` what was sent long before.
    fn is_held_by_link(&self, place: usize, at: Instant) -> bool {
        let desk = place.checked_sub(self.engines.len());
        self.desk_disturbances
            .iter()
            .any(|(of, from, until)| Some(*of) == desk && *from <= at && at <= *until)
    }
}

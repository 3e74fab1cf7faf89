//! Admission control and priority queue in front of one upstream.
//!
//! Requests run in the order of their class, without starving lower classes, and are refused where
//! the predicted wait goes beyond their deadline. Starts of lower classes are spaced in time, so
//! that slots become free one by one and a request of a higher class soon finds one. Without that,
//! requests that started together finish together.

use std::collections::VecDeque;

use mustardrill_types::{AttemptId, FastMap, Millis, Moment, ResultCode};

use crate::document::RequestClass;

/// How long starts are spaced after the last request of a higher class, in average run times.
const SPACING_RUN_COUNT: f64 = 20.0;

/// Settings of an upstream's queue.
#[derive(Debug, Clone)]
pub struct AdmissionSettings {
    /// Requests that the upstream runs concurrently.
    pub capacity: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// After this many consecutive starts of a higher class, a waiting request of a lower one
    /// starts.
    pub max_starts_ahead: u32,
    /// Minimum time from any start to one of a lower class while requests of a higher class arrive,
    /// in percent of the average time in which one slot becomes free (run time / capacity). With 0
    /// nothing is spaced; towards 100 the higher class waits less and more capacity is unused.
    pub spacing_percent: u32,
}

/// The decision on a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now.
    Run,
    /// The request waits; it will be run or refused later.
    Queued,
    /// The request waits and takes the queue slot of this attempt of a lower class, which was not
    /// run and must be refused.
    Displaced(AttemptId),
    /// The request is refused without being run; a retry is worthwhile after this time.
    Refused(ResultCode, Millis),
}

/// The requests that wait for one upstream or run on it, in the order of their class.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    waiting: [VecDeque<Waiting>; RequestClass::ALL.len()],
    /// When each running attempt started.
    running: FastMap<AttemptId, Moment>,
    /// Consecutive starts of a higher class while a lower one waited.
    starts_ahead: u32,
    last_start: Moment,
    /// When the last request of each class arrived.
    last_arrival: [Option<Moment>; RequestClass::ALL.len()],
    /// Moving average of the run time.
    average_run_ms: f64,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    attempt: AttemptId,
    deadline: Moment,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { capacity: 8, queue: 32, max_starts_ahead: 8, spacing_percent: 50 }
    }
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(settings: AdmissionSettings) -> Self {
        const INITIAL_RUN_MS: f64 = 100.0;
        Self {
            settings,
            waiting: Default::default(),
            running: FastMap::default(),
            starts_ahead: 0,
            last_start: Moment(0),
            last_arrival: Default::default(),
            average_run_ms: INITIAL_RUN_MS,
        }
    }

    /// Decides on a request that arrives and must be answered by `deadline`.
    pub fn offer(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        class: RequestClass,
        deadline: Moment,
    ) -> Admission {
        if deadline <= now {
            return Admission::Refused(ResultCode::DeadlinePassed, Millis(0));
        }
        self.last_arrival[class.rank()] = Some(now);
        let ahead = self.queued_ahead_of(class);
        if self.has_free_slot() && ahead == 0 && !self.is_held(now, class.rank()) {
            // It overtakes waiting requests of lower classes, which counts towards `max_starts_ahead`.
            self.starts_ahead += u32::from(self.queued() > 0);
            self.start(now, attempt);
            return Admission::Run;
        }
        let wait = self.predicted_wait(ahead);
        // The deadline also has to cover the run itself, or the answer comes too late to be used.
        let is_late = now + wait + Millis(self.average_run_ms as u64) > deadline;
        let refusal = Admission::Refused(ResultCode::Overloaded, wait.max(Millis(1)));
        if is_late {
            return refusal;
        }
        let is_full = self.queued() >= self.settings.queue as usize;
        let displaced = if is_full { self.displace(class) } else { None };
        if is_full && displaced.is_none() {
            return refusal;
        }
        self.waiting[class.rank()].push_back(Waiting { attempt, deadline });
        displaced.map_or(Admission::Queued, Admission::Displaced)
    }

    /// Removes a waiting request; returns false where it already runs or is not in the queue.
    pub fn withdraw(&mut self, attempt: AttemptId) -> bool {
        let mut found = false;
        for queue in &mut self.waiting {
            let before = queue.len();
            queue.retain(|waiting| waiting.attempt != attempt);
            found |= queue.len() < before;
        }
        found
    }

    /// Releases the slot of an attempt and adds its run time to the moving average.
    pub fn finish(&mut self, now: Moment, attempt: AttemptId) {
        const SMOOTHING: f64 = 0.1;
        if let Some(started) = self.running.remove(&attempt) {
            let took = now.since(started).0 as f64;
            self.average_run_ms += (took - self.average_run_ms) * SMOOTHING;
        }
    }

    /// Starts the next waiting request where the upstream has a free slot and no spacing holds the
    /// request back.
    pub fn start_next(&mut self, now: Moment) -> Option<AttemptId> {
        if !self.has_free_slot() {
            return None;
        }
        let rank = self.next_rank(now)?;
        let waiting = self.waiting[rank].pop_front()?;
        self.start(now, waiting.attempt);
        Some(waiting.attempt)
    }

    /// When `start_next` is to be called again: set where a slot is free but spacing holds the
    /// waiting requests back.
    pub fn next_start_at(&self) -> Option<Moment> {
        let is_waiting = self.has_free_slot() && self.queued() > 0;
        is_waiting.then(|| self.last_start + self.spacing())
    }

    /// Removes the waiting requests whose deadline has passed, and returns them.
    pub fn take_expired(&mut self, now: Moment) -> Vec<AttemptId> {
        let mut expired = Vec::new();
        for queue in &mut self.waiting {
            queue.retain(|waiting| {
                let is_late = waiting.deadline <= now;
                if is_late {
                    expired.push(waiting.attempt);
                }
                !is_late
            });
        }
        expired
    }

    /// Removes and returns all waiting requests, for a planned stop.
    pub fn drain(&mut self) -> Vec<AttemptId> {
        self.waiting.iter_mut().flat_map(std::mem::take).map(|waiting| waiting.attempt).collect()
    }

    /// Number of waiting requests.
    pub fn queued(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that the upstream runs concurrently, as set.
    pub fn capacity(&self) -> u32 {
        self.settings.capacity
    }

    /// Predicted wait behind all queued requests, for a caller to retry after; at least 1 ms.
    pub fn retry_after(&self) -> Millis {
        self.predicted_wait(self.queued()).max(Millis(1))
    }

    fn next_rank(&mut self, now: Moment) -> Option<usize> {
        let mut ranks = (0..self.waiting.len()).filter(|rank| !self.waiting[*rank].is_empty());
        let first = ranks.next()?;
        let lower = ranks.next();
        if self.starts_ahead >= self.settings.max_starts_ahead {
            // This start is not spaced, or frequent starts of the higher class would starve the
            // lower.
            self.starts_ahead = 0;
            return lower.or(Some(first));
        }
        if self.is_held(now, first) {
            return None;
        }
        self.starts_ahead = if lower.is_some() { self.starts_ahead + 1 } else { 0 };
        Some(first)
    }

    fn start(&mut self, now: Moment, attempt: AttemptId) {
        self.last_start = now;
        self.running.insert(attempt, now);
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.settings.capacity as usize
    }

    /// Whether a start of the class has to wait for the spacing after the last start.
    fn is_held(&self, now: Moment, rank: usize) -> bool {
        let is_recent = |arrival: &Moment| {
            now.since(*arrival).0 as f64 <= SPACING_RUN_COUNT * self.average_run_ms
        };
        let is_spaced = self.last_arrival[..rank].iter().flatten().any(is_recent);
        is_spaced && !self.running.is_empty() && now < self.last_start + self.spacing()
    }

    fn spacing(&self) -> Millis {
        let slot_interval_ms = self.average_run_ms / f64::from(self.settings.capacity.max(1));
        Millis((slot_interval_ms * f64::from(self.settings.spacing_percent) / 100.0) as u64)
    }

    /// Removes the newest waiting request of the lowest class, where that is below `class`.
    fn displace(&mut self, class: RequestClass) -> Option<AttemptId> {
        let lower = self.waiting.iter_mut().skip(class.rank() + 1).rev();
        lower.into_iter().find_map(VecDeque::pop_back).map(|waiting| waiting.attempt)
    }

    fn queued_ahead_of(&self, class: RequestClass) -> usize {
        self.waiting[..=class.rank()].iter().map(VecDeque::len).sum()
    }

    fn predicted_wait(&self, ahead: usize) -> Millis {
        let rounds = (ahead + 1) as f64 / f64::from(self.settings.capacity.max(1));
        Millis((rounds * self.average_run_ms).ceil() as u64)
    }
}

//! The queue before one upstream: classes in order, bounded starvation, bounded predicted wait.
//!
//! Starts of lower classes are spread in time, so that slots free up one by one and a request of
//! a higher class finds the next one soon. Without that, runs that began together end together.

use std::collections::VecDeque;

use mustardrill_types::{AttemptId, FastMap, Millis, Moment, ResultCode};

use crate::document::RequestClass;

/// For how many runs after the last request of a higher class starts are spread.
const SPREAD_RUNS: f64 = 20.0;

/// How requests wait for an upstream.
#[derive(Debug, Clone)]
pub struct AdmissionSettings {
    /// How many requests the upstream runs at once.
    pub capacity: u32,
    /// How many may wait.
    pub queue: u32,
    /// After this many in a row of a higher class, one of a lower class goes first.
    pub turns: u32,
    /// The least time between a start and one of a lower class, in percent of the time in which one
    /// slot frees up, while requests of a higher class come. Zero spreads nothing; nearer to 100
    /// the higher class waits less and more of the capacity is lost.
    pub spread: u32,
}

/// What becomes of a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Run it now.
    Run,
    /// It waits; it will be run or refused later.
    Queued,
    /// It waits in the place of this one of a lower class, which was not run and is refused.
    Displaced(AttemptId),
    /// It is refused, was not run, and may come back after this time.
    Refused(ResultCode, Millis),
}

/// The requests that wait for one upstream or run on it.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    waiting: [VecDeque<Waiting>; RequestClass::ALL.len()],
    running: FastMap<AttemptId, Moment>,
    /// Starts of the higher class in a row while a lower one waited.
    turn: u32,
    last_start: Moment,
    /// When a request of each class came last.
    last_offer: [Option<Moment>; RequestClass::ALL.len()],
    /// The usual time of a run, smoothed, in milliseconds.
    pace: f64,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    attempt: AttemptId,
    deadline: Moment,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { capacity: 8, queue: 32, turns: 8, spread: 50 }
    }
}

impl AdmissionQueue {
    /// An empty queue.
    pub fn new(settings: AdmissionSettings) -> Self {
        const FIRST_PACE: f64 = 100.0;
        Self {
            settings,
            waiting: Default::default(),
            running: FastMap::default(),
            turn: 0,
            last_start: Moment(0),
            last_offer: Default::default(),
            pace: FIRST_PACE,
        }
    }

    /// Takes a request that must be answered by `deadline`.
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
        self.last_offer[class.rank()] = Some(now);
        let ahead = self.ahead_of(class);
        if self.has_room() && ahead == 0 && !self.is_held(now, class.rank()) {
            // It passes what waits of lower classes, which counts towards their turn.
            self.turn += u32::from(self.queued() > 0);
            self.start(now, attempt);
            return Admission::Run;
        }
        let wait = self.predicted_wait(ahead);
        // The run itself needs its time too; queueing for an answer that comes late helps nobody.
        let is_late = now + wait + Millis(self.pace as u64) > deadline;
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

    /// Takes a request out before it is run; false where it runs already or is not here.
    pub fn withdraw(&mut self, attempt: AttemptId) -> bool {
        let mut found = false;
        for queue in &mut self.waiting {
            let before = queue.len();
            queue.retain(|waiting| waiting.attempt != attempt);
            found |= queue.len() < before;
        }
        found
    }

    /// Notes the end of a run.
    pub fn finished(&mut self, now: Moment, attempt: AttemptId) {
        const SMOOTHING: f64 = 0.1;
        if let Some(started) = self.running.remove(&attempt) {
            let took = now.since(started).0 as f64;
            self.pace += (took - self.pace) * SMOOTHING;
        }
    }

    /// The next request to run, while the upstream has room.
    pub fn next_run(&mut self, now: Moment) -> Option<AttemptId> {
        if !self.has_room() {
            return None;
        }
        let class = self.next_class(now)?;
        let waiting = self.waiting[class].pop_front()?;
        self.start(now, waiting.attempt);
        Some(waiting.attempt)
    }

    /// When the next start comes, where there is room and the request that waits is held back.
    pub fn held_until(&self) -> Option<Moment> {
        let is_waiting = self.has_room() && self.queued() > 0;
        is_waiting.then(|| self.last_start + self.spacing())
    }

    /// Takes out what waits and can no longer be answered in time.
    pub fn expired(&mut self, now: Moment) -> Vec<AttemptId> {
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

    /// Takes out all that waits, for a planned stop.
    pub fn drain(&mut self) -> Vec<AttemptId> {
        self.waiting.iter_mut().flat_map(std::mem::take).map(|waiting| waiting.attempt).collect()
    }

    /// How many wait.
    pub fn queued(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// How many run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// How many the upstream runs at once.
    pub fn capacity(&self) -> u32 {
        self.settings.capacity
    }

    /// When it is worth coming back, as things stand.
    pub fn retry_after(&self) -> Millis {
        self.predicted_wait(self.queued()).max(Millis(1))
    }

    fn next_class(&mut self, now: Moment) -> Option<usize> {
        let mut classes = (0..self.waiting.len()).filter(|class| !self.waiting[*class].is_empty());
        let first = classes.next()?;
        let lower = classes.next();
        if self.turn >= self.settings.turns {
            // Its turn is not held back as well, or many starts of the higher class would starve it.
            self.turn = 0;
            return lower.or(Some(first));
        }
        if self.is_held(now, first) {
            return None;
        }
        self.turn = if lower.is_some() { self.turn + 1 } else { 0 };
        Some(first)
    }

    fn start(&mut self, now: Moment, attempt: AttemptId) {
        self.last_start = now;
        self.running.insert(attempt, now);
    }

    fn has_room(&self) -> bool {
        self.running.len() < self.settings.capacity as usize
    }

    /// Whether a start of the class would come too soon after the last one.
    fn is_held(&self, now: Moment, class: usize) -> bool {
        let recent = |offer: &Moment| now.since(*offer).0 as f64 <= SPREAD_RUNS * self.pace;
        let is_spread = self.last_offer[..class].iter().flatten().any(recent);
        is_spread && !self.running.is_empty() && now < self.last_start + self.spacing()
    }

    fn spacing(&self) -> Millis {
        let freed = self.pace / f64::from(self.settings.capacity.max(1));
        Millis((freed * f64::from(self.settings.spread) / 100.0) as u64)
    }

    /// Takes out the newest of the lowest class that waits, where that is below `class`.
    fn displace(&mut self, class: RequestClass) -> Option<AttemptId> {
        let lower = self.waiting.iter_mut().skip(class.rank() + 1).rev();
        lower.into_iter().find_map(VecDeque::pop_back).map(|waiting| waiting.attempt)
    }

    fn ahead_of(&self, class: RequestClass) -> usize {
        self.waiting[..=class.rank()].iter().map(VecDeque::len).sum()
    }

    fn predicted_wait(&self, ahead: usize) -> Millis {
        let rounds = (ahead + 1) as f64 / f64::from(self.settings.capacity.max(1));
        Millis((rounds * self.pace).ceil() as u64)
    }
}

//! The queue before one upstream: classes in order, bounded starvation, bounded predicted wait.

use std::collections::VecDeque;

use mustardrill_types::{AttemptId, FastMap, Millis, Moment, ResultCode};

use crate::document::RequestClass;

/// How requests wait for an upstream.
#[derive(Debug, Clone)]
pub struct AdmissionSettings {
    /// How many requests the upstream runs at once.
    pub capacity: u32,
    /// How many may wait.
    pub queue: u32,
    /// After this many in a row of a higher class, one of a lower class goes first.
    pub turns: u32,
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
    turn: u32,
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
        Self { capacity: 8, queue: 32, turns: 8 }
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
        if self.running.len() < self.settings.capacity as usize && self.queued() == 0 {
            self.running.insert(attempt, now);
            return Admission::Run;
        }
        let ahead = self.ahead_of(class);
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
        if self.running.len() >= self.settings.capacity as usize {
            return None;
        }
        let class = self.next_class()?;
        let waiting = self.waiting[class].pop_front()?;
        self.running.insert(waiting.attempt, now);
        Some(waiting.attempt)
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

    fn next_class(&mut self) -> Option<usize> {
        let mut classes = (0..self.waiting.len()).filter(|class| !self.waiting[*class].is_empty());
        let first = classes.next()?;
        let Some(lower) = classes.next() else {
            self.turn = 0;
            return Some(first);
        };
        self.turn += 1;
        if self.turn > self.settings.turns {
            self.turn = 0;
            return Some(lower);
        }
        Some(first)
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

//! What the queue before an upstream does to the top class at overload, without and with `spread`.
//!
//! One upstream of 8 slots and runs of 200 to 220 ms, urgent requests at a quarter of its capacity
//! and background ones at three times it, for ten minutes in steps of a millisecond. Seeded, so
//! that every run gives the same table.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mustardrill_core::admission::{Admission, AdmissionQueue, AdmissionSettings};
use mustardrill_core::document::RequestClass;
use mustardrill_types::{AttemptId, FastMap, Moment};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 8;
const RUN_MS: u64 = 200;
const JITTER_MS: u64 = 20;
const SPAN_MS: u64 = 600_000;
const TIME_LIMIT_MS: u64 = 10_000;
const URGENT_LOAD: f64 = 0.25;
const BACKGROUND_LOAD: f64 = 3.0;

/// One upstream with its queue and what was sent to it.
struct QueueTrial {
    now: u64,
    random: SmallRng,
    queue: AdmissionQueue,
    ends: BinaryHeap<Reverse<(u64, u128)>>,
    arrived: FastMap<AttemptId, (u64, RequestClass)>,
    next: u128,
    ended: u64,
    urgent_times: Vec<u64>,
}

fn main() {
    println!(
        "{:>7} {:>5} {:>10} {:>8} {:>8} {:>6} {:>8}",
        "spread", "seed", "alone p99", "p50", "p99", "ratio", "goodput"
    );
    for spread in [0, 35, 50, 80] {
        for seed in 1..=3 {
            let alone = QueueTrial::play(seed, spread, 0.0);
            let crowded = QueueTrial::play(seed, spread, BACKGROUND_LOAD);
            let (unloaded, tail) = (alone.quantile(0.99), crowded.quantile(0.99));
            println!(
                "{spread:>6}% {seed:>5} {unloaded:>10} {:>8} {tail:>8} {:>6.2} {:>7.1}%",
                crowded.quantile(0.5),
                tail as f64 / unloaded as f64,
                crowded.share_used() * 100.0
            );
        }
    }
}

impl QueueTrial {
    fn play(seed: u64, spread: u32, background: f64) -> Self {
        let settings = AdmissionSettings { capacity: SLOTS, queue: 32, turns: 8, spread };
        let mut trial = Self {
            now: 0,
            random: SmallRng::seed_from_u64(seed),
            queue: AdmissionQueue::new(settings),
            ends: BinaryHeap::new(),
            arrived: FastMap::default(),
            next: 0,
            ended: 0,
            urgent_times: Vec::new(),
        };
        for now in 1..SPAN_MS {
            trial.now = now;
            trial.step(background);
        }
        trial.urgent_times.sort_unstable();
        trial
    }

    fn step(&mut self, background: f64) {
        while self.ends.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
            let Some(Reverse((_, number))) = self.ends.pop() else { break };
            self.end(AttemptId(number));
        }
        self.arrive(RequestClass::Urgent, URGENT_LOAD);
        self.arrive(RequestClass::Background, background);
        while let Some(attempt) = self.queue.start_next(Moment(self.now)) {
            self.run(attempt);
        }
    }

    fn arrive(&mut self, class: RequestClass, load: f64) {
        let chance = load * f64::from(SLOTS) / RUN_MS as f64;
        if !self.random.random_bool(chance) {
            return;
        }
        self.next += 1;
        let attempt = AttemptId(self.next);
        let (now, deadline) = (Moment(self.now), Moment(self.now + TIME_LIMIT_MS));
        let admission = self.queue.offer(now, attempt, class, deadline);
        if matches!(admission, Admission::Refused(..)) {
            return;
        }
        self.arrived.insert(attempt, (self.now, class));
        match admission {
            Admission::Run => self.run(attempt),
            Admission::Displaced(other) => {
                self.arrived.remove(&other);
            }
            Admission::Queued | Admission::Refused(..) => {}
        }
    }

    fn run(&mut self, attempt: AttemptId) {
        let end = self.now + RUN_MS + self.random.random_range(0..JITTER_MS);
        self.ends.push(Reverse((end, attempt.0)));
    }

    fn end(&mut self, attempt: AttemptId) {
        self.queue.finish(Moment(self.now), attempt);
        self.ended += 1;
        if let Some((since, RequestClass::Urgent)) = self.arrived.remove(&attempt) {
            self.urgent_times.push(self.now - since);
        }
    }

    fn quantile(&self, part: f64) -> u64 {
        self.urgent_times[((self.urgent_times.len() - 1) as f64 * part) as usize]
    }

    /// What was run, as a share of what the slots hold.
    fn share_used(&self) -> f64 {
        let mean = RUN_MS as f64 + (JITTER_MS - 1) as f64 / 2.0;
        self.ended as f64 * mean / (SPAN_MS as f64 * f64::from(SLOTS))
    }
}

//! Latency of urgent requests at an overloaded upstream, for several values of the setting `spread`.
//!
//! Simulates the admission queue of one upstream with 8 slots and runs of 200 to 220 ms. Urgent
//! requests arrive at a quarter of its capacity and background requests at three times its capacity,
//! for ten minutes in steps of a millisecond. The seeds are fixed, so every run prints the same
//! table.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mustardrill_core::admission::{Admission, AdmissionQueue, AdmissionSettings};
use mustardrill_core::document::RequestClass;
use mustardrill_types::{AttemptId, FastMap, Moment};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 8;
const MIN_RUN_MS: u64 = 200;
const RUN_JITTER_MS: u64 = 20;
const SIMULATION_MS: u64 = 600_000;
const REQUEST_TIMEOUT_MS: u64 = 10_000;
/// Offered load as a multiple of the upstream's capacity.
const URGENT_LOAD: f64 = 0.25;
const BACKGROUND_LOAD: f64 = 3.0;

/// A simulation of one upstream and its admission queue. Times are in milliseconds.
struct QueueSimulation {
    now: u64,
    random: SmallRng,
    queue: AdmissionQueue,
    /// End time and attempt of each run in progress.
    run_ends: BinaryHeap<Reverse<(u64, u128)>>,
    /// Arrival time and class of each attempt that is queued or runs.
    admitted: FastMap<AttemptId, (u64, RequestClass)>,
    last_attempt: u128,
    finished_runs: u64,
    /// Time from arrival to end of each finished urgent request.
    urgent_latencies: Vec<u64>,
}

fn main() {
    println!(
        "{:>7} {:>5} {:>10} {:>8} {:>8} {:>6} {:>8}",
        "spread", "seed", "alone p99", "p50", "p99", "ratio", "goodput"
    );
    for spacing_percent in [0, 35, 50, 80] {
        for seed in 1..=3 {
            let urgent_only = QueueSimulation::run_to_end(seed, spacing_percent, 0.0);
            let overloaded = QueueSimulation::run_to_end(seed, spacing_percent, BACKGROUND_LOAD);
            let (baseline_p99, overloaded_p99) =
                (urgent_only.quantile(0.99), overloaded.quantile(0.99));
            println!(
                "{spacing_percent:>6}% {seed:>5} {baseline_p99:>10} {:>8} {overloaded_p99:>8} {:>6.2} {:>7.1}%",
                overloaded.quantile(0.5),
                overloaded_p99 as f64 / baseline_p99 as f64,
                overloaded.utilisation() * 100.0
            );
        }
    }
}

impl QueueSimulation {
    fn run_to_end(seed: u64, spacing_percent: u32, background: f64) -> Self {
        let settings =
            AdmissionSettings { capacity: SLOTS, queue: 32, max_starts_ahead: 8, spacing_percent };
        let mut simulation = Self {
            now: 0,
            random: SmallRng::seed_from_u64(seed),
            queue: AdmissionQueue::new(settings),
            run_ends: BinaryHeap::new(),
            admitted: FastMap::default(),
            last_attempt: 0,
            finished_runs: 0,
            urgent_latencies: Vec::new(),
        };
        for now in 1..SIMULATION_MS {
            simulation.now = now;
            simulation.step(background);
        }
        simulation.urgent_latencies.sort_unstable();
        simulation
    }

    fn step(&mut self, background: f64) {
        while self.run_ends.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
            let Some(Reverse((_, number))) = self.run_ends.pop() else { break };
            self.finish_run(AttemptId(number));
        }
        self.offer_at_random(RequestClass::Urgent, URGENT_LOAD);
        self.offer_at_random(RequestClass::Background, background);
        while let Some(attempt) = self.queue.start_next(Moment(self.now)) {
            self.start_run(attempt);
        }
    }

    fn offer_at_random(&mut self, class: RequestClass, load: f64) {
        let probability = load * f64::from(SLOTS) / MIN_RUN_MS as f64;
        if !self.random.random_bool(probability) {
            return;
        }
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let (now, deadline) = (Moment(self.now), Moment(self.now + REQUEST_TIMEOUT_MS));
        let admission = self.queue.offer(now, attempt, class, deadline);
        if matches!(admission, Admission::Refused(..)) {
            return;
        }
        self.admitted.insert(attempt, (self.now, class));
        match admission {
            Admission::Run => self.start_run(attempt),
            Admission::Displaced(displaced) => {
                self.admitted.remove(&displaced);
            }
            Admission::Queued | Admission::Refused(..) => {}
        }
    }

    fn start_run(&mut self, attempt: AttemptId) {
        let end_time = self.now + MIN_RUN_MS + self.random.random_range(0..RUN_JITTER_MS);
        self.run_ends.push(Reverse((end_time, attempt.0)));
    }

    fn finish_run(&mut self, attempt: AttemptId) {
        self.queue.finish(Moment(self.now), attempt);
        self.finished_runs += 1;
        if let Some((since, RequestClass::Urgent)) = self.admitted.remove(&attempt) {
            self.urgent_latencies.push(self.now - since);
        }
    }

    fn quantile(&self, fraction: f64) -> u64 {
        self.urgent_latencies[((self.urgent_latencies.len() - 1) as f64 * fraction) as usize]
    }

    /// The finished runs as a share of the runs that the slots have time for.
    fn utilisation(&self) -> f64 {
        let mean_run_ms = MIN_RUN_MS as f64 + (RUN_JITTER_MS - 1) as f64 / 2.0;
        self.finished_runs as f64 * mean_run_ms / (SIMULATION_MS as f64 * f64::from(SLOTS))
    }
}

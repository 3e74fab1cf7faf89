//! Faults of the soak around the time at which weights become superseded.

use super::*;

/// Bounds of the agents in seconds, from which follows when their engines load: before the bound of
/// the entries ends, just after it or long after it.
const AGENT_BOUNDS_S: [u64; 3] = [3, 6, 9];

/// Time after a suspension within which an entry has acted on what it missed.
const RESUMPTION_DELAY: Duration = Duration::from_millis(250);

/// Routes of a large configuration beyond those that callers use.
const ROUTES: usize = 1_800;

const STORE_DELAYS_MS: std::ops::Range<u64> = 200..600;
const SUSPENSIONS_MS: std::ops::Range<u64> = 50..3_000;
const STOPS_MS: std::ops::Range<u64> = 0..4_200;
const RESTARTS_MS: std::ops::Range<u64> = 0..1_500;
const BELIEFS_MS: std::ops::Range<u64> = 500..4_000;
const ENGINE_SILENCES_MS: std::ops::Range<u64> = 500..1_500;

/// Settings of the agent of the engine at `place`, with a bound for its kind and seed.
pub(super) fn agent_settings(kind: SoakKind, seed: u64, place: usize, settings: String) -> String {
    match kind {
        SoakKind::VersionBounds => {
            let choice = (seed / 64) as usize / AGENT_BOUNDS_S.len().pow(place as u32);
            let bound_s = AGENT_BOUNDS_S[choice % AGENT_BOUNDS_S.len()];
            settings.replace("version = 3s", &format!("version = {bound_s}s"))
        }
        _ => settings,
    }
}

impl Soak {
    /// Draws the engines that send the heads of their answers before requests start.
    pub(super) fn draw_early_heads(&mut self) {
        for engine in &self.engines {
            if self.random.random() {
                engine.send_head_first();
            }
        }
    }

    /// Injects a random fault that bears on when requests start, and schedules its end.
    pub(super) fn disturb_versions(&mut self) {
        let entry = self.random.random_range(0..self.kind.entries());
        let engine = self.random.random_range(0..self.engines.len());
        match self.random.random_range(0..9) {
            0 | 1 => self.suspend_entry(entry),
            2 => {
                let is_kill = self.random.random();
                self.end_process(entry, is_kill);
            }
            3 | 4 => {
                let agents = self.kind.entries()..self.processes.len();
                agents.for_each(|agent| self.end_process(agent, true));
                self.write_large_configuration();
            }
            5 => {
                let seed = self.random.random();
                self.store.set_delays(seed, Some(STORE_DELAYS_MS));
                self.end_after_random(BELIEFS_MS, RecoveryAction::EndStoreDelays);
            }
            6 => {
                self.engines[engine].set_reported_version(self.version);
                self.end_after_random(BELIEFS_MS, RecoveryAction::EndWrongReport(engine));
            }
            7 => {
                let length = Duration::from_millis(self.random.random_range(ENGINE_SILENCES_MS));
                self.engines[engine].fall_silent(length);
                self.faults.push(format!("engine {engine} silent for {length:?}"));
            }
            _ => {
                self.announce_version();
                self.faults.push(format!("version {}", self.version));
            }
        }
    }

    /// Makes the store slow, or an engine report weights that it does not hold, beside the other
    /// faults and independently of them.
    pub(super) fn disturb_beliefs(&mut self) {
        let place = self.delay_random.random_range(0..self.engines.len() + 1);
        if place == self.engines.len() {
            return self.delay_answers();
        }
        self.engines[place].set_reported_version(self.version);
        let span = self.belief_span();
        self.end_after(span, RecoveryAction::EndWrongReport(place));
    }

    /// Makes the store slow for a while.
    pub(super) fn delay_answers(&mut self) {
        self.store.set_delays(self.seed, Some(STORE_DELAYS_MS));
        let span = self.belief_span();
        self.end_after(span, RecoveryAction::EndStoreDelays);
    }

    fn belief_span(&mut self) -> Duration {
        Duration::from_millis(self.delay_random.random_range(BELIEFS_MS))
    }

    /// Notes that an entry runs again, in whose suspension nothing could be withdrawn.
    pub(super) fn note_resumption(&mut self, place: usize) {
        let until = Instant::now() + RESUMPTION_DELAY;
        if self.kind == SoakKind::VersionBounds {
            let own = self.entry_disturbances.iter_mut().filter(|it| it.entry == Some(place));
            own.for_each(|disturbance| disturbance.until = disturbance.until.min(until));
        }
    }

    fn suspend_entry(&mut self, place: usize) {
        let Some(process) = &self.processes[place].process else { return };
        process.suspend();
        let from = Instant::now();
        // Its end is noted when the process is resumed.
        let until = from + RECOVERY_TIMEOUT;
        let disturbance = Disturbance { entry: Some(place), is_store_outage: false, from, until };
        self.entry_disturbances.push(disturbance);
        self.end_after_random(SUSPENSIONS_MS, RecoveryAction::Thaw(place));
    }

    /// Kills a process or asks it to stop, and schedules the start of its successor.
    fn end_process(&mut self, place: usize, is_kill: bool) {
        let Some(process) = &mut self.processes[place].process else { return };
        if !is_kill {
            process.terminate();
            return self.end_after_random(STOPS_MS, RecoveryAction::Restart(place));
        }
        process.kill();
        self.processes[place].process = None;
        self.end_after_random(RESTARTS_MS, RecoveryAction::Restart(place));
    }

    fn end_after_random(&mut self, spans_ms: std::ops::Range<u64>, action: RecoveryAction) {
        let span = Duration::from_millis(self.random.random_range(spans_ms));
        self.end_after(span, action);
    }

    fn end_after(&mut self, span: Duration, action: RecoveryAction) {
        self.recovery_actions.push((Instant::now() + span, action));
        self.faults.push(format!("{action:?} after {span:?}"));
    }

    fn write_large_configuration(&mut self) {
        let mut document = self.next_configuration();
        let routes = document["routes"].as_array_mut().unwrap();
        let pattern = routes[0].clone();
        routes.extend((0..ROUTES).map(|number| {
            let mut route = pattern.clone();
            route["name"] = format!("more-{number}").into();
            route["host"] = format!("more-{number}.example").into();
            route
        }));
        self.store.write("op/config", &document);
        self.faults.push(format!("configuration {} with {ROUTES} more routes", self.generation));
    }
}

//! Evaluates a finished simulation: outcomes of the calls, and an upper bound on timely answers.

use mustardrill_types::{Millis, Moment};

use crate::experiment::call::CallOutcome;
use crate::experiment::report::{LimitCount, SecondCount, SimulationReport};
use crate::experiment::simulation::{PatternSimulation, START};

/// The span in which requests are counted against an engine's limit.
const COUNTED_SPAN: Millis = Millis(4_000);

/// How long after an engine limits its rate its requests are counted.
const LIMIT_NOTICE_SPAN: Millis = Millis(3_000);

impl PatternSimulation<'_> {
    /// Counts the outcomes of all calls and sets the bound of each second.
    ///
    /// A call without an outcome at the end of the simulation counts as failed.
    pub(super) fn into_report(mut self) -> SimulationReport {
        let seconds = self.pattern.span.0.div_ceil(1_000) as usize;
        self.report.seconds = vec![SecondCount::default(); seconds];
        for call in &self.calls {
            let kind = &self.pattern.kinds[call.kind];
            // Requests that crash engines cannot be answered, so they are left out of the counts.
            if kind.crashes_engines {
                continue;
            }
            let second = (call.arrived_at.since(START).0 / 1_000) as usize;
            let kind_count = self.report.kinds.entry(kind.name.clone()).or_default();
            for count in [kind_count, &mut self.report.seconds[second].count] {
                count.asked += 1;
                let is_failed = !matches!(call.outcome, Some(it) if it != CallOutcome::Failed);
                count.cut += u32::from(is_failed && call.last_event.is_some());
                let counter = match call.outcome.unwrap_or(CallOutcome::Failed) {
                    CallOutcome::InTime => &mut count.in_time,
                    CallOutcome::Late => &mut count.late,
                    CallOutcome::Refused => &mut count.refused,
                    CallOutcome::Failed => &mut count.failed,
                };
                *counter += 1;
            }
        }
        self.report.limits = self.limit_counts();
        let engine_rate = self.pattern.engine_rate();
        for (index, second) in self.report.seconds.iter_mut().enumerate() {
            let engines = self.pattern.effective_engines(Millis(index as u64 * 1_000));
            second.bound = (engines * engine_rate).min(f64::from(second.count.asked));
        }
        self.report
    }

    /// The requests that engines got while they limited their rate, once all entries could know of it.
    fn limit_counts(&self) -> Vec<LimitCount> {
        let mut counts = Vec::new();
        for (index, engines) in &self.limited_engines {
            let disturbance = &self.pattern.disturbances[*index];
            let from = START + disturbance.at + LIMIT_NOTICE_SPAN;
            let until = START + disturbance.at + disturbance.span;
            for engine in engines {
                let arrivals = self.engines[*engine].arrivals.iter().copied();
                let arrivals: Vec<_> = arrivals.filter(|at| from <= *at && *at < until).collect();
                let in_span = |start: &Moment| {
                    arrivals
                        .iter()
                        .filter(|at| *start <= **at && **at < *start + COUNTED_SPAN)
                        .count()
                };
                let seconds = until.since(from).0 as f64 / 1_000.0;
                counts.push(LimitCount {
                    rate: disturbance.factor,
                    largest: arrivals.iter().map(in_span).max().unwrap_or(0),
                    used: arrivals.len() as f64 / (seconds * disturbance.factor),
                });
            }
        }
        counts
    }
}

//! Evaluates a finished simulation: outcomes of the calls, and an upper bound on timely answers.

use mustardrill_core::direct::{EngineForecast, WorkSize};
use mustardrill_types::Millis;

use crate::experiment::call::CallOutcome;
use crate::experiment::report::{SecondCount, SimulationReport};
use crate::experiment::simulation::{PatternSimulation, START};

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
                let counter = match call.outcome.unwrap_or(CallOutcome::Failed) {
                    CallOutcome::InTime => &mut count.in_time,
                    CallOutcome::Late => &mut count.late,
                    CallOutcome::Refused => &mut count.refused,
                    CallOutcome::Failed => &mut count.failed,
                };
                *counter += 1;
            }
        }
        let mean_size = WorkSize {
            prompt_tokens: self.pattern.profile.mean_prompt,
            answer_tokens: self.pattern.profile.mean_answer,
        };
        let slots = self.pattern.profile.slots;
        let service_ms = EngineForecast::new(&self.pattern.profile).service_ms(slots, mean_size);
        for (index, second) in self.report.seconds.iter_mut().enumerate() {
            let engines = self.pattern.effective_engines(Millis(index as u64 * 1_000));
            let capacity = engines * f64::from(slots) * 1_000.0 / service_ms.max(1.0);
            second.bound = capacity.min(f64::from(second.count.asked));
        }
        self.report
    }
}

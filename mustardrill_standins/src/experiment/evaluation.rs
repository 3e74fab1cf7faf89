//! What a play came to, beside what was possible.

use mustardrill_core::direct::{EngineForecast, WorkSize};
use mustardrill_types::Millis;

use crate::experiment::call::CallEnd;
use crate::experiment::report::{PlayReport, SecondCount};
use crate::experiment::simulation::{PatternPlay, START};

impl PatternPlay<'_> {
    /// Counts what became of the callers.
    pub(super) fn into_report(mut self) -> PlayReport {
        let seconds = self.pattern.span.0.div_ceil(1_000) as usize;
        self.report.seconds = vec![SecondCount::default(); seconds];
        for call in &self.calls {
            let kind = &self.pattern.kinds[call.kind];
            // Those that end engines are owed nothing.
            if kind.ends_engines {
                continue;
            }
            let second = (call.came.since(START).0 / 1_000) as usize;
            let by_kind = self.report.kinds.entry(kind.name.clone()).or_default();
            for count in [by_kind, &mut self.report.seconds[second].count] {
                count.asked += 1;
                let field = match call.end.unwrap_or(CallEnd::Failed) {
                    CallEnd::InTime => &mut count.in_time,
                    CallEnd::Late => &mut count.late,
                    CallEnd::Refused => &mut count.refused,
                    CallEnd::Failed => &mut count.failed,
                };
                *field += 1;
            }
        }
        let usual = WorkSize {
            prompt_tokens: self.pattern.profile.mean_prompt,
            answer_tokens: self.pattern.profile.mean_answer,
        };
        let slots = self.pattern.profile.slots;
        let whole_ms = EngineForecast::new(&self.pattern.profile).service_ms(slots, usual);
        for (place, second) in self.report.seconds.iter_mut().enumerate() {
            let engines = self.pattern.engines_at(Millis(place as u64 * 1_000));
            let capacity = engines * f64::from(slots) * 1_000.0 / whole_ms.max(1.0);
            second.bound = capacity.min(f64::from(second.count.asked));
        }
        self.report
    }
}

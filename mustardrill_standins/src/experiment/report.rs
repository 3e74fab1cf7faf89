//! The report of a simulated load pattern.

use mustardrill_types::FastMap;
use serde::Serialize;

/// Numbers of calls by outcome, as the callers saw it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct OutcomeCounts {
    /// Calls made; the sum of the outcomes below.
    pub asked: u32,
    /// Complete answers with every event in time.
    pub in_time: u32,
    /// Complete answers with at least one late event.
    pub late: u32,
    /// Refused as not run, with no retry or no time left.
    pub refused: u32,
    /// All others: abandoned at the deadline, or refused when the request may have run.
    pub failed: u32,
    /// Those of `failed` whose answer had begun.
    pub cut: u32,
}

/// The calls that arrived in one second of a simulation.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize)]
pub struct SecondCount {
    /// Their outcomes, whenever those were reached.
    pub count: OutcomeCounts,
    /// Upper bound on answers in time, from the calls and the engines' capacity in this second.
    pub bound: f64,
}

/// What an engine that limited its rate got.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LimitCount {
    /// The requests per second that it accepted.
    pub rate: f64,
    /// The largest number of requests that it got within four seconds.
    pub largest: usize,
    /// The share of `rate` that it got in the mean.
    pub used: f64,
}

/// The result of one simulation.
#[derive(Debug, Default, Clone, Serialize)]
pub struct SimulationReport {
    /// Outcomes by the name of the caller kind.
    pub kinds: FastMap<Box<str>, OutcomeCounts>,
    /// Outcomes by the second of arrival.
    pub seconds: Vec<SecondCount>,
    /// Engines that limited their rate, once for each disturbance.
    pub limits: Vec<LimitCount>,
    /// Engine crashes caused by a request; crashes of a disturbance are not counted.
    pub engines_ended: u32,
    /// Attempts rejected by engines whose slots and queue were full.
    pub turned_away: u32,
    /// Attempts beyond the first of their call.
    pub repeats: u32,
    /// Attempts whose engine sent nothing for the silence timeout, once for each time.
    pub silences: u32,
    /// Second attempts sent beside a silent one.
    pub backups_sent: u32,
    /// Second attempts that were the first to go on.
    pub backups_won: u32,
    /// Second attempts beside which the silent one was the first to go on.
    pub backups_overtaken: u32,
}

impl SimulationReport {
    /// The sum over all kinds of callers.
    pub fn total(&self) -> OutcomeCounts {
        self.kinds.values().fold(OutcomeCounts::default(), |sum, count| OutcomeCounts {
            asked: sum.asked + count.asked,
            in_time: sum.in_time + count.in_time,
            late: sum.late + count.late,
            refused: sum.refused + count.refused,
            failed: sum.failed + count.failed,
            cut: sum.cut + count.cut,
        })
    }

    /// Attempts beyond the first, in percent of the calls.
    pub fn repeats_percent(&self) -> f64 {
        f64::from(self.repeats) * 100.0 / f64::from(self.total().asked.max(1))
    }

    /// The sum of the bounds of all seconds.
    pub fn bound(&self) -> f64 {
        self.seconds.iter().map(|second| second.bound).sum()
    }

    /// Answers in time divided by their upper bound; a little above 1 where answers end after the span.
    pub fn goodput(&self) -> f64 {
        f64::from(self.total().in_time) / self.bound().max(1.0)
    }

    /// The lowest share of complete answers of any kind, divided by the share over all kinds; at most 1.
    pub fn fairness(&self) -> f64 {
        let share = |count: &OutcomeCounts| {
            f64::from(count.in_time + count.late) / f64::from(count.asked.max(1))
        };
        let all = share(&self.total()).max(f64::MIN_POSITIVE);
        self.kinds.values().map(|count| share(count) / all).fold(1.0, f64::min)
    }
}

//! How strongly crashes speak against what was present at them.

use mustardrill_types::Moment;

/// The evidence against a request or a part: its crashes in sequence, then all its crashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CrashEvidence {
    pub(crate) sequential: usize,
    pub(crate) crashes: usize,
}

impl CrashEvidence {
    /// Evaluates runs that ended with crashes, each given as the moments of its start and its end.
    pub(crate) fn of(runs: impl Iterator<Item = (Moment, Moment)>) -> Self {
        let mut spans: Vec<_> = runs.map(|(sent, ended)| (ended, sent)).collect();
        // Greedy selection by end time yields the largest set of runs that do not overlap, whatever
        // the order in which they were reported.
        spans.sort_unstable();
        let (mut sequential, mut free_from) = (0, Moment(0));
        for (ended, sent) in &spans {
            if *sent >= free_from {
                sequential += 1;
                free_from = *ended;
            }
        }
        Self { sequential, crashes: spans.len() }
    }
}

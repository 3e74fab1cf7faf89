//! Which parts of prompts were answered completely a short time ago.

use std::collections::VecDeque;

use mustardrill_types::{FastMap, Millis, Moment, PartId, PartSet};

/// How long a complete answer shows that a part does not crash upstreams. Longer than the time in
/// which a whole fleet returns from a loss of power.
pub(super) const SOUND_SPAN: Millis = Millis(30_000);

/// Parts remembered in each of two generations. A busy entry sees some hundred in `SOUND_SPAN`.
const GENERATION_LIMIT: usize = 4_096;

/// Moments of answers that are remembered.
const ANSWERS_LIMIT: usize = 256;

/// The moments of the last complete answers, by part. The older generation is dropped when the
/// younger one is full or as old as `SOUND_SPAN`.
#[derive(Debug, Default)]
pub(super) struct SoundParts {
    young: FastMap<PartId, Moment>,
    old: FastMap<PartId, Moment>,
    young_since: Moment,
    /// When requests with any shared parts were answered completely, the last ones.
    answers: VecDeque<Moment>,
}

impl SoundParts {
    /// Records that a request with these parts was answered completely at `at`.
    pub(super) fn record(&mut self, now: Moment, parts: &PartSet, at: Moment) {
        if parts.is_empty() {
            return;
        }
        if self.answers.len() >= ANSWERS_LIMIT {
            self.answers.pop_front();
        }
        self.answers.push_back(at);
        if self.young.len() + parts.len() > GENERATION_LIMIT
            || now.since(self.young_since) >= SOUND_SPAN
        {
            self.old = std::mem::take(&mut self.young);
            self.young_since = now;
        }
        for part in parts.iter() {
            let answered_at = self.young.entry(part).or_insert(at);
            *answered_at = (*answered_at).max(at);
        }
    }

    /// When a request with the part was last answered completely, if that is remembered.
    fn answered_at(&self, part: PartId) -> Option<Moment> {
        self.young.get(&part).max(self.old.get(&part)).copied()
    }

    /// Whether a part was answered so shortly before `moment`, or since, that it did not cause a
    /// crash then.
    pub(super) fn is_sound(&self, part: PartId, moment: Moment) -> bool {
        self.sound_since(part, moment).is_some()
    }

    /// When a part was last answered completely, if that shows that it did not cause a crash at
    /// `moment`.
    pub(super) fn sound_since(&self, part: PartId, moment: Moment) -> Option<Moment> {
        self.answered_at(part).filter(|at| *at + SOUND_SPAN > moment)
    }

    /// How many requests with shared parts were answered completely after `moment`, at most
    /// [`ANSWERS_LIMIT`].
    pub(super) fn answers_since(&self, moment: Moment) -> usize {
        self.answers.iter().filter(|at| **at > moment).count()
    }
}

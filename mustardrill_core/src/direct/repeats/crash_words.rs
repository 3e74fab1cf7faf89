//! What entries tell each other of requests under which upstreams ended, and how often.
//!
//! Load pattern: a link loses a part of what is sent, or an entry is cut off for a second. A word that
//! is lost costs an engine, and each telling costs a datagram for each entry, so words are told a few
//! times with growing pauses.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment, RequestDigest};

use crate::quarantine::CrashWord;

/// When a word is told, counted from the event.
const ROUNDS: [Millis; 5] = [Millis(0), Millis(60), Millis(250), Millis(1_000), Millis(3_000)];

/// Words that wait to be told again; what exceeds this was told least lately.
const WORDS_LIMIT: usize = 1_024;

/// Remembers what is yet to be told.
#[derive(Debug, Default)]
pub(crate) struct CrashTeller {
    pending: VecDeque<PendingWord>,
}

#[derive(Debug)]
struct PendingWord {
    word: CrashWord,
    since: Moment,
    round: usize,
}

impl CrashTeller {
    /// Takes a word that is to be told from `now` on.
    pub(crate) fn push(&mut self, now: Moment, word: CrashWord) {
        if self.pending.len() >= WORDS_LIMIT {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingWord { word, since: now, round: 0 });
    }

    /// Tells a verdict no more that has been overturned.
    pub(crate) fn withdraw_verdict(&mut self, digest: RequestDigest) {
        self.pending.retain(
            |pending| !matches!(pending.word, CrashWord::Quarantined(told, _) if told == digest),
        );
    }

    /// Whether this entry tells of a crash under a request.
    pub(crate) fn tells_crash_of(&self, digest: RequestDigest) -> bool {
        let mut words = self.pending.iter().map(|pending| &pending.word);
        words.any(|word| matches!(word, CrashWord::Crashed(run) if run.digest == digest))
    }

    /// The words that are to be told at `now`.
    pub(crate) fn due(&mut self, now: Moment) -> Vec<CrashWord> {
        let mut due = Vec::new();
        for pending in &mut self.pending {
            if pending.since + ROUNDS[pending.round] <= now {
                pending.round += 1;
                due.push(pending.word.clone());
            }
        }
        self.pending.retain(|pending| pending.round < ROUNDS.len());
        due
    }
}

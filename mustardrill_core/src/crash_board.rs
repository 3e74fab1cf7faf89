//! What entries and agents pass on of requests under which upstreams ended.
//!
//! Entries of the catalogue's own interface talk to agents alone. Each heartbeat carries what its
//! sender has heard lately, so that a word reaches all entries over any agent that both talk to, and
//! a lost heartbeat or an agent that starts again costs nothing but time.

use mustardrill_types::{FastMap, Millis, Moment, RequestDigest};

use crate::quarantine::CrashWord;

/// How long a word is passed on: a few heartbeats.
const PASS_SPAN: Millis = Millis(3_000);

/// Words that are kept at most; a crash makes as many as an upstream has requests.
const WORDS_LIMIT: usize = 256;

/// Quarantines that are passed on at most, those with the longest terms.
const TERMS_LIMIT: usize = 256;

/// Words as they were heard, and the quarantines that last.
#[derive(Debug, Default)]
pub struct CrashBoard {
    words: Vec<(Moment, CrashWord)>,
    terms: FastMap<RequestDigest, Moment>,
}

impl CrashBoard {
    /// Takes a word.
    pub fn hear(&mut self, now: Moment, word: CrashWord) {
        self.words.retain(|(heard, _)| now.since(*heard) < PASS_SPAN);
        self.terms.retain(|_, until| *until > now);
        match &word {
            CrashWord::Quarantined(digest, left) => return self.note_term(now, *digest, *left),
            CrashWord::Sound(digest, _) => self.end_term(*digest),
            CrashWord::Crashed(_) => {}
        }
        let is_known = self.words.iter().any(|(_, known)| known.is_same(&word));
        if !is_known && self.words.len() < WORDS_LIMIT {
            self.words.push((now, word));
        }
    }

    /// Passes a quarantine on no more.
    pub fn end_term(&mut self, digest: RequestDigest) {
        self.terms.remove(&digest);
    }

    /// What is passed on at `now`.
    pub fn read(&self, now: Moment) -> Vec<CrashWord> {
        let fresh = self.words.iter().filter(|(heard, _)| now.since(*heard) < PASS_SPAN);
        let fresh = fresh.map(|(_, word)| word.clone());
        let terms = self.terms.iter().filter(|(_, until)| **until > now);
        let terms = terms.map(|(digest, until)| CrashWord::Quarantined(*digest, until.since(now)));
        fresh.chain(terms).collect()
    }

    fn note_term(&mut self, now: Moment, digest: RequestDigest, left: Millis) {
        // A word that was on its way for longer tells a shorter term.
        let until = self.terms.entry(digest).or_insert(now + left);
        *until = (*until).max(now + left);
        if self.terms.len() > TERMS_LIMIT {
            let shortest = self.terms.iter().min_by_key(|(_, until)| **until);
            if let Some(shortest) = shortest.map(|(digest, _)| *digest) {
                self.terms.remove(&shortest);
            }
        }
    }
}

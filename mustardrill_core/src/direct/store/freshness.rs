//! How long ago the configuration was proved to be the newest.
//!
//! A key that is taken away must be refused after a bounded time by entries that the store turns
//! away, too. Such an entry hears nothing, so it goes by the age of its last proof. The moments
//! must come from a clock that counts suspension: an entry that was frozen has an old proof.

use mustardrill_types::{Millis, Moment};

/// The time of the last proof.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProofClock {
    proved: Option<Moment>,
}

impl ProofClock {
    /// Notes a complete answer of the store to a call that was sent at `sent`.
    ///
    /// The answer may have been made any time after that, so only the sending is certain.
    pub fn prove(&mut self, sent: Moment) {
        self.proved = Some(self.proved.map_or(sent, |proved| proved.max(sent)));
    }

    /// How old the proof is; nothing where there was none.
    pub fn age(&self, now: Moment) -> Option<Millis> {
        self.proved.map(|proved| now.since(proved))
    }

    /// The moment of the last proof.
    pub fn last(&self) -> Option<Moment> {
        self.proved
    }

    /// Whether the store was proved to be there at `moment` or later.
    pub fn reaches(&self, moment: Moment) -> bool {
        self.proved.is_some_and(|proved| proved >= moment)
    }

    /// Whether the proof is younger than `limit`.
    pub fn is_fresh(&self, now: Moment, limit: Millis) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

/// For which moment the answer to a watch proves that nothing newer is there, where the watch was
/// sent at `sent` for `wait` and answered at `answered`.
///
/// The store answers a watch when something changes, and after its time otherwise. Where nothing
/// changed and that time has passed, it looked at the end of it; any other answer may have been made
/// just after the sending. Load pattern: the store goes away. Proved at its end, a watch lets entries go
/// on with known customers for longer by its own time.
pub fn proved_at(sent: Moment, answered: Moment, wait: Millis, unchanged: bool) -> Moment {
    if unchanged && answered.since(sent) >= wait { sent + wait } else { sent }
}

/// How long after the store came back from an older copy an entry reads of it at the latest, where
/// it asked all the while.
const NOTICED_WITHIN: Millis = Millis(800);

/// The earliest moment at which the store can have come back from an older copy, where that was seen
/// at `now` and what it held before was proved last at `last_proof`.
pub fn returned_at(now: Moment, last_proof: Option<Moment>) -> Moment {
    last_proof.unwrap_or(now).max(now - NOTICED_WITHIN)
}

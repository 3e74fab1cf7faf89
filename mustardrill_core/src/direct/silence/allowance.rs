//! How many second attempts silence alone may cause.

/// What each request adds, in second attempts.
const SHARE: f64 = 0.015;

/// What a process starts with.
const FIRST_CREDIT: f64 = 2.0;

/// The most that is saved up, so that many connections that fall silent at once can be left.
const MAX_CREDIT: f64 = 64.0;

/// Second attempts that one entry may send to a service without other evidence than silence.
///
/// Most upstreams that fall silent go on, so that a second attempt is mostly wasted work.
#[derive(Debug)]
pub(in crate::direct) struct SilenceAllowance {
    credit: f64,
}

impl Default for SilenceAllowance {
    fn default() -> Self {
        Self { credit: FIRST_CREDIT }
    }
}

impl SilenceAllowance {
    /// Records a request, which adds a part of a second attempt.
    pub(in crate::direct) fn record_request(&mut self) {
        self.credit = (self.credit + SHARE).min(MAX_CREDIT);
    }

    /// Whether a second attempt may be sent.
    pub(in crate::direct) fn is_open(&self) -> bool {
        self.credit >= 1.0
    }

    /// Records that a second attempt was sent.
    pub(in crate::direct) fn spend(&mut self) {
        self.credit -= 1.0;
    }
}

//! How long work takes at an upstream at this moment, compared with usual.
//!
//! Upstreams that share their machines with others are slowed down for some hundred milliseconds at
//! a time. One that states how long work takes there is used less while it is slow. What it states
//! is old soon, so it counts less with its age; what is observed of its answers counts longer.

use std::fmt;
use std::num::{NonZeroU32, ParseIntError};
use std::str::FromStr;

use derive_more::Display;
use mustardrill_types::{InstanceId, Millis, Moment};

/// The stated figure at usual speed.
const USUAL_PERCENT: f64 = 100.0;

/// The least and the greatest stated figure that counts. A wrong one must neither attract all
/// requests nor shut an upstream out for good.
const PERCENT_RANGE: (u32, u32) = (50, 1_000);

/// How long a stated figure counts, less and less: about as long as another user of the machine
/// slows it down.
const HOLD_SPAN: Millis = Millis(400);

/// How old a figure from this entry's own answers may be to be passed on to peers.
const REPORT_AGE: Millis = Millis(100);

/// Weight of one answer in the moving average of observed starts. Most of their variation comes
/// from other requests at the upstream.
const OBSERVED_WEIGHT: f64 = 0.2;

/// The least and the greatest ratio of a start to its forecast that counts.
const RATIO_RANGE: (f64, f64) = (0.5, 6.0);

/// Ratios up to this one come from requests that this entry did not know of.
const USUAL_RATIO: f64 = 2.0;

/// How long observed starts count, less and less, once nothing is observed any more. An upstream
/// that was slow is tried again after that.
const OBSERVED_SPAN: Millis = Millis(2_000);

/// How long work takes, in percent of usual.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct WorkPace(NonZeroU32);

impl WorkPace {
    /// A pace in percent of usual, limited to what counts; `None` for zero, which no work takes.
    pub fn from_percent(percent: u32) -> Option<Self> {
        let (least, greatest) = PERCENT_RANGE;
        NonZeroU32::new(percent)?;
        NonZeroU32::new(percent.clamp(least, greatest)).map(Self)
    }

    /// The pace in percent.
    pub fn percent(self) -> u32 {
        self.0.get()
    }

    fn factor(self) -> f64 {
        f64::from(self.percent()) / USUAL_PERCENT
    }
}

/// Why a text is no pace.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum ParsePaceError {
    /// It is no whole number.
    #[display("no whole number: {_0}")]
    Number(ParseIntError),
    /// It is zero.
    #[display("zero")]
    Zero,
}

impl std::error::Error for ParsePaceError {}

impl FromStr for WorkPace {
    type Err = ParsePaceError;

    fn from_str(text: &str) -> Result<Self, ParsePaceError> {
        let percent = text.parse().map_err(ParsePaceError::Number)?;
        Self::from_percent(percent).ok_or(ParsePaceError::Zero)
    }
}

/// A pace that an upstream stated to this entry, for the broadcast to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PaceReport {
    /// The upstream.
    pub upstream: InstanceId,
    /// What it stated.
    pub pace: WorkPace,
    /// How long ago it stated that.
    pub age: Millis,
}

/// Who received a stated pace.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PaceSource {
    #[display("own")]
    Own,
    #[display("peer")]
    Peer,
}

/// A stated pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PaceSample {
    pub(crate) pace: WorkPace,
    pub(crate) at: Moment,
    pub(crate) source: PaceSource,
}

/// An estimate with its source, as shown in log lines.
#[derive(Debug)]
pub(crate) struct PaceView {
    factor: f64,
    stated: Option<PaceSample>,
    now: Moment,
}

impl fmt::Display for PaceView {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(PaceSample { pace, at, source }) = self.stated else {
            return formatter.write_str("pace=unknown");
        };
        let (factor, age) = (self.factor, self.now.since(at));
        write!(formatter, "pace={factor:.2} stated_pace={pace} pace_from={source} pace_age={age}")
    }
}

/// How long work takes at one upstream.
#[derive(Debug, Default)]
pub(crate) struct PaceEstimate {
    stated: Option<PaceSample>,
    /// The last one stated to this entry itself.
    own: Option<(WorkPace, Moment)>,
    /// Moving average of the ratios of starts to their forecasts.
    observed: Option<(f64, Moment)>,
}

impl PaceEstimate {
    /// Records what the upstream stated at `at`. An older figure than the known one is ignored.
    pub(crate) fn record_stated(&mut self, at: Moment, pace: WorkPace, source: PaceSource) {
        if source == PaceSource::Own && self.own.is_none_or(|(_, known_at)| at >= known_at) {
            self.own = Some((pace, at));
        }
        if self.stated.is_none_or(|known| at >= known.at) {
            self.stated = Some(PaceSample { pace, at, source });
        }
    }

    /// Records that an answer started after `actual` where `expected` was forecast from the pace of
    /// that time. Upstreams that state nothing are not observed either.
    pub(crate) fn record_start(&mut self, now: Moment, expected: Millis, actual: Millis) {
        if self.stated.is_none() || expected == Millis(0) {
            return;
        }
        let ratio = actual.0 as f64 / expected.0 as f64;
        let ratio = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        let known = self.observed.map_or(1.0, |(average, at)| faded(average, now.since(at)));
        self.observed = Some((known + OBSERVED_WEIGHT * (ratio - known), now));
    }

    /// How long work takes at `now` compared with usual; 1.0 where nothing is known.
    pub(crate) fn factor(&self, now: Moment) -> f64 {
        let Some(stated) = self.stated else { return 1.0 };
        let held = remaining(now.since(stated.at), HOLD_SPAN);
        let stated_factor = 1.0 + (stated.pace.factor() - 1.0) * held;
        let slowed =
            self.observed.map_or(1.0, |(average, at)| faded(average, now.since(at)) / USUAL_RATIO);
        stated_factor * slowed.max(1.0)
    }

    /// Whether the upstream has stated its pace, to this entry or to a peer.
    pub(crate) fn is_stated(&self) -> bool {
        self.stated.is_some()
    }

    /// The estimate with its source, for log lines.
    pub(crate) fn view(&self, now: Moment) -> PaceView {
        PaceView { factor: self.factor(now), stated: self.stated, now }
    }

    /// What the upstream has just stated to this entry, for the peers.
    pub(crate) fn report(&self, now: Moment) -> Option<(WorkPace, Millis)> {
        let (pace, at) = self.own?;
        let age = now.since(at);
        (age <= REPORT_AGE).then_some((pace, age))
    }
}

/// A ratio that was observed `age` ago, as far as it counts still.
fn faded(ratio: f64, age: Millis) -> f64 {
    1.0 + (ratio - 1.0) * remaining(age, OBSERVED_SPAN)
}

/// The share of its weight that something of this age has left.
fn remaining(age: Millis, span: Millis) -> f64 {
    1.0 - (age.0 as f64 / span.0 as f64).min(1.0)
}

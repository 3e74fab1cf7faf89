//! Moments on a process's monotonic clock and spans of time, both in milliseconds.

use std::ops::{Add, Sub};
use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::unit::{ParseUnitError, split_unit};

/// A moment on the monotonic clock of one process, in milliseconds. Moments of two processes cannot
/// be compared.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0}ms")]
pub struct Moment(pub u64);

/// A span of time in milliseconds. It is written in ms; the parser also accepts s and min.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}ms")]
pub struct Millis(pub u64);

impl Moment {
    /// The value with which the clock of each process starts, 24 hours above zero. This leaves room
    /// for events that other processes report from before the start; zero stands for long ago.
    pub const CLOCK_START: Self = Self(86_400_000);

    /// The span since `earlier`; zero if `earlier` is after `self`.
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// The time between two moments, whichever is earlier.
    pub fn distance(self, other: Self) -> Millis {
        Millis(self.0.abs_diff(other.0))
    }
}

impl Add<Millis> for Moment {
    type Output = Self;

    fn add(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Millis> for Moment {
    type Output = Self;

    fn sub(self, span: Millis) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Millis {
    /// Converts to the standard library's type.
    pub fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl FromStr for Millis {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        const EXPECTED: &str = "a whole number followed by ms, s or min, such as 250ms";
        let (number, unit) = split_unit(text, EXPECTED)?;
        let factor = match unit {
            "ms" => 1,
            "s" => 1_000,
            "min" => 60_000,
            _ => return Err(ParseUnitError::new(text, EXPECTED)),
        };
        number.checked_mul(factor).map(Self).ok_or(ParseUnitError::new(text, EXPECTED))
    }
}

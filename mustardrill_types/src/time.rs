//! Moments on a process's monotonic clock and spans of time, both in milliseconds.

use std::ops::{Add, Mul, Sub};
use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::unit::ParseUnitError;

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

impl Add for Millis {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Mul<u64> for Millis {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Millis {
    /// Returns this share of the span.
    pub fn percent(self, percent: u64) -> Self {
        let share = u128::from(self.0) * u128::from(percent) / 100;
        Self(share.try_into().unwrap_or(u64::MAX))
    }

    /// Converts to the standard library's type.
    pub fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl FromStr for Millis {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        const EXPECTED: &str = "a number followed by ms, s or min, such as 250ms";
        parse_millis(text.trim()).map(Self).ok_or(ParseUnitError::new(text, EXPECTED))
    }
}

/// Reads a decimal number with its unit; what is less than a millisecond is cut off.
fn parse_millis(text: &str) -> Option<u64> {
    let unit_at = text.find(|letter: char| !letter.is_ascii_digit() && letter != '.')?;
    let (number, unit) = text.split_at(unit_at);
    let factor: u64 = match unit.trim() {
        "ms" => 1,
        "s" => 1_000,
        "min" => 60_000,
        _ => return None,
    };
    let Some((whole, fraction)) = number.split_once('.') else {
        return number.parse::<u64>().ok()?.checked_mul(factor);
    };
    // More digits than these make no difference of a millisecond.
    let digits = fraction.get(..fraction.len().min(9))?;
    let fraction = digits.parse::<u64>().ok()?.checked_mul(factor)?;
    let fraction = fraction / 10_u64.pow(digits.len() as u32);
    whole.parse::<u64>().ok()?.checked_mul(factor)?.checked_add(fraction)
}

//! Sizes in bytes, rates in bytes or requests per second, parsed from text with decimal units (1 KB
//! is 1,000 B).

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// A size in bytes. It is written in bytes; the parser also accepts KB, MB and GB.
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
#[display("{_0}B")]
pub struct ByteSize(pub u64);

/// A data rate in bytes per second. It is written in B/s; the parser also accepts KB/s, MB/s and
/// GB/s.
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
#[display("{_0}B/s")]
pub struct ByteRate(pub u64);

/// A rate of requests, in thousandths of a request per second. It is written as a decimal number of
/// requests per second, such as `2.5/s`; the parser also accepts it without `/s`.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[display("{}/s", *_0 as f64 / 1_000.0)]
pub struct RequestRate(pub u64);

/// The error for text that is not a valid size, rate or span of time.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("\"{value}\" is not {expected}")]
pub struct ParseUnitError {
    value: Box<str>,
    expected: &'static str,
}

impl ParseUnitError {
    pub(crate) fn new(value: &str, expected: &'static str) -> Self {
        Self { value: value.into(), expected }
    }
}

impl ByteRate {
    /// The time to transfer `size` at this rate, rounded up. A rate of zero is unlimited and takes
    /// no time.
    pub fn time_for(self, size: ByteSize) -> Millis {
        if self.0 == 0 {
            return Millis(0);
        }
        Millis(size.0.saturating_mul(1_000).div_ceil(self.0))
    }
}

impl RequestRate {
    /// The largest rate that the parser accepts.
    pub const MAX: Self = Self(1_000_000_000);

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl FromStr for RequestRate {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        const EXPECTED: &str =
            "a decimal number of requests per second from 0 to 1000000, such as 2.5";
        let number = text.trim();
        let number = number.strip_suffix("/s").unwrap_or(number);
        // The standard parser also accepts signs, exponents, infinity and NaN.
        let is_decimal = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let rate = number.parse::<f64>().ok().filter(|_| is_decimal);
        let rate = rate.map(|rate| rate * 1_000.0).filter(|rate| *rate <= Self::MAX.0 as f64);
        rate.map(|rate| Self(rate.round() as u64)).ok_or(ParseUnitError::new(text, EXPECTED))
    }
}

impl FromStr for ByteSize {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        const EXPECTED: &str = "a whole number followed by B, KB, MB or GB, such as 64MB";
        let (number, unit) = split_unit(text, EXPECTED)?;
        to_bytes(number, unit).map(Self).ok_or(ParseUnitError::new(text, EXPECTED))
    }
}

impl FromStr for ByteRate {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        const EXPECTED: &str = "a whole number followed by B/s, KB/s, MB/s or GB/s, such as 40MB/s";
        let (number, unit) = split_unit(text, EXPECTED)?;
        let unit = unit.strip_suffix("/s").ok_or(ParseUnitError::new(text, EXPECTED))?;
        to_bytes(number, unit).map(Self).ok_or(ParseUnitError::new(text, EXPECTED))
    }
}

/// Splits `text` into a leading whole number and the unit that follows it.
pub(crate) fn split_unit<'a>(
    text: &'a str,
    expected: &'static str,
) -> Result<(u64, &'a str), ParseUnitError> {
    let text = text.trim();
    let end = text.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(text.len());
    let number = text[..end].parse().map_err(|_| ParseUnitError::new(text, expected))?;
    Ok((number, text[end..].trim()))
}

/// Converts to bytes; `None` if the unit is unknown or the result exceeds 64 bits.
fn to_bytes(number: u64, unit: &str) -> Option<u64> {
    let factor = match unit {
        "B" => 1,
        "KB" => 1_000,
        "MB" => 1_000_000,
        "GB" => 1_000_000_000,
        _ => return None,
    };
    number.checked_mul(factor)
}

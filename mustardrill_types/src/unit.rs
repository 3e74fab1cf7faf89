//! Sizes in bytes and rates in bytes a second, read and written with decimal units.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// A number of bytes.
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

/// A number of bytes a second.
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

/// A value that is not a size, rate or span.
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
    /// The time `size` takes at this rate, rounded up; a rate of zero means unlimited.
    pub fn time_for(self, size: ByteSize) -> Millis {
        if self.0 == 0 {
            return Millis(0);
        }
        Millis((size.0 * 1_000).div_ceil(self.0))
    }
}

impl FromStr for ByteSize {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        const EXPECTED: &str = "a whole number followed by B, KB, MB or GB, such as 64MB";
        let (number, unit) = split_unit(text, EXPECTED)?;
        scaled(number, unit).map(Self).ok_or(ParseUnitError::new(text, EXPECTED))
    }
}

impl FromStr for ByteRate {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        const EXPECTED: &str = "a whole number followed by B/s, KB/s, MB/s or GB/s, such as 40MB/s";
        let (number, unit) = split_unit(text, EXPECTED)?;
        let unit = unit.strip_suffix("/s").ok_or(ParseUnitError::new(text, EXPECTED))?;
        scaled(number, unit).map(Self).ok_or(ParseUnitError::new(text, EXPECTED))
    }
}

/// Splits `text` into its whole number and the unit behind it.
pub(crate) fn split_unit<'a>(
    text: &'a str,
    expected: &'static str,
) -> Result<(u64, &'a str), ParseUnitError> {
    let text = text.trim();
    let end = text.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(text.len());
    let number = text[..end].parse().map_err(|_| ParseUnitError::new(text, expected))?;
    Ok((number, text[end..].trim()))
}

fn scaled(number: u64, unit: &str) -> Option<u64> {
    let factor = match unit {
        "B" => 1,
        "KB" => 1_000,
        "MB" => 1_000_000,
        "GB" => 1_000_000_000,
        _ => return None,
    };
    number.checked_mul(factor)
}

//! The parts of a prompt that requests share.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error};

/// Identifies a part of a prompt, such as a system prompt or a document. Ids are compared as
/// numbers: letter case and leading zeros do not matter.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:x}")]
pub struct PartId(pub u128);

/// The error for text that is not the id of a part.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("not 1 to 32 hexadecimal digits")]
pub struct ParsePartError;

impl FromStr for PartId {
    type Err = ParsePartError;

    fn from_str(text: &str) -> Result<Self, ParsePartError> {
        let is_hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let significant = text.trim_start_matches('0');
        let number = if significant.is_empty() { "0" } else { significant };
        let number = is_hex.then(|| u128::from_str_radix(number, 16).ok()).flatten();
        number.map(Self).ok_or(ParsePartError)
    }
}

/// A set of parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartSet(Arc<[PartId]>);

impl PartSet {
    /// Whether the set has no parts.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The number of parts.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The parts in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = PartId> {
        self.0.iter().copied()
    }

    /// Whether the set has this part.
    pub fn contains(&self, part: PartId) -> bool {
        self.0.binary_search(&part).is_ok()
    }

    /// Whether the set has all parts of `other`.
    pub fn contains_all(&self, other: &Self) -> bool {
        other.iter().all(|part| self.contains(part))
    }
}

impl FromIterator<PartId> for PartSet {
    fn from_iter<I: IntoIterator<Item = PartId>>(parts: I) -> Self {
        let mut parts: Vec<_> = parts.into_iter().collect();
        parts.sort_unstable();
        parts.dedup();
        Self(parts.into())
    }
}

/// The parts joined by `+`, `none` for the empty set; at most [`DISPLAYED_PARTS`] of them.
impl fmt::Display for PartSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some((first, rest)) = self.0.split_first() else { return formatter.write_str("none") };
        write!(formatter, "{first}")?;
        for part in rest.iter().take(DISPLAYED_PARTS - 1) {
            write!(formatter, "+{part}")?;
        }
        match self.len().saturating_sub(DISPLAYED_PARTS) {
            0 => Ok(()),
            hidden => write!(formatter, "+{hidden}-more"),
        }
    }
}

/// Parts shown in a log line.
const DISPLAYED_PARTS: usize = 8;

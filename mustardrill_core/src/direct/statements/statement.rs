//! The statements of one answer.

use mustardrill_types::{Millis, RequestRate};

/// A value that an answer may state, as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatedValue<T> {
    /// The stated value; the strictest one where the answer states several.
    pub value: Option<T>,
    /// The statement as received, if it is not exactly one valid value.
    pub malformed: Option<Box<str>>,
}

/// What one answer states about the upstream that sent it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamStatement {
    /// The request rate that it accepts from all entries together.
    pub limit: StatedValue<RequestRate>,
    /// Whether it is leaving and wants no further requests.
    pub leaving: StatedValue<bool>,
    /// For how long it wants no requests from this entry, from the sending of the answer on.
    pub rest: StatedValue<Millis>,
    /// For how long it is still cold; zero if it is warm.
    pub cold_for: StatedValue<Millis>,
}

impl<T> Default for StatedValue<T> {
    fn default() -> Self {
        Self { value: None, malformed: None }
    }
}

impl<T> StatedValue<T> {
    /// A valid statement of `value`.
    pub fn valid(value: T) -> Self {
        Self { value: Some(value), malformed: None }
    }

    /// Whether the answer states nothing.
    pub fn is_absent(&self) -> bool {
        self.value.is_none() && self.malformed.is_none()
    }
}

impl UpstreamStatement {
    /// Whether the answer states nothing about its upstream.
    pub fn is_absent(&self) -> bool {
        self.limit.is_absent()
            && self.leaving.is_absent()
            && self.rest.is_absent()
            && self.cold_for.is_absent()
    }
}

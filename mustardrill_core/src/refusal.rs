//! An agent's refusal of an attempt that it did not run.

use mustardrill_types::{ManifestDigest, Millis, ResultCode};

/// Why an attempt was not run, when a retry is worthwhile, and which weights the upstream serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRefusal {
    /// The result code; always one that says that the request was not run.
    pub code: ResultCode,
    /// Time after which the caller may retry.
    pub retry_after: Millis,
    /// The weights that the upstream serves, where it doesn't serve those that the attempt was
    /// pinned to; empty where they are not known.
    ///
    /// With these the entry learns of a switch of weights without waiting for a heartbeat.
    pub serving: Vec<ManifestDigest>,
}

impl AttemptRefusal {
    /// Creates a refusal without information on weights.
    pub fn new(code: ResultCode, retry_after: Millis) -> Self {
        Self { code, retry_after, serving: Vec::new() }
    }

    /// Creates a refusal for an attempt pinned to weights that the upstream doesn't serve.
    pub fn other_weights(retry_after: Millis, serving: Vec<ManifestDigest>) -> Self {
        Self { code: ResultCode::NoUpstream, retry_after, serving }
    }
}

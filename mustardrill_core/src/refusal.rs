//! What an agent says of an attempt that it did not run.

use mustardrill_types::{ManifestDigest, Millis, ResultCode};

/// Why an attempt was not run, when to come back, and what the upstream serves instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRefusal {
    /// The result code; always one that means "not run".
    pub code: ResultCode,
    /// When the caller may come back.
    pub retry_after: Millis,
    /// Where the pinned weights are not served: the weights that are; empty where none are known.
    ///
    /// With these the entry need not wait for a heartbeat to learn of a switch.
    pub serving: Vec<ManifestDigest>,
}

impl AttemptRefusal {
    /// A refusal that says nothing of weights.
    pub fn new(code: ResultCode, retry_after: Millis) -> Self {
        Self { code, retry_after, serving: Vec::new() }
    }

    /// A refusal because other weights are served.
    pub fn other_weights(retry_after: Millis, serving: Vec<ManifestDigest>) -> Self {
        Self { code: ResultCode::NoUpstream, retry_after, serving }
    }
}

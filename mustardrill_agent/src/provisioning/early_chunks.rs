//! Buffers chunks that are fetched before the local engine answers for the first time.
//!
//! An agent runs about a second before its engine does, which is half of the time that a copy takes
//! over its link. Without the buffer that second is lost when engines are added while the others
//! are overloaded.

use std::sync::Mutex;

use bytes::Bytes;
use mustardrill_core::provisioning::VersionId;
use mustardrill_types::{ByteSize, ChunkIndex};

/// The largest total size of buffered chunks: what a narrow link carries while an engine starts,
/// and a small part of an engine machine's memory.
const BUFFER_LIMIT: ByteSize = ByteSize(8 << 20);

/// Verified chunks of one version, until the engine has answered; then it is closed for good.
#[derive(Debug)]
pub(crate) struct EarlyChunkBuffer {
    /// `None` once the buffer is closed.
    chunks: Mutex<Option<EarlyChunks>>,
}

/// The buffered chunks, to be staged once the engine answers.
#[derive(Debug, Default)]
pub(crate) struct EarlyChunks {
    pub(crate) version: Option<VersionId>,
    pub(crate) chunks: Vec<(ChunkIndex, Bytes)>,
}

impl EarlyChunkBuffer {
    pub(crate) fn new() -> Self {
        Self { chunks: Mutex::new(Some(EarlyChunks::default())) }
    }

    /// Adds a chunk and returns whether it was added; it is not once the buffer is closed or full.
    /// A chunk of another version replaces everything that was buffered.
    pub(crate) fn push(&self, version: &VersionId, index: ChunkIndex, bytes: &Bytes) -> bool {
        let mut chunks = self.chunks.lock().expect("no lock holder panics");
        let Some(early) = chunks.as_mut() else { return false };
        if early.version.as_ref() != Some(version) {
            *early = EarlyChunks { version: Some(version.clone()), chunks: Vec::new() };
        }
        let buffered: usize = early.chunks.iter().map(|(_, bytes)| bytes.len()).sum();
        if (buffered + bytes.len()) as u64 > BUFFER_LIMIT.0 {
            return false;
        }
        early.chunks.push((index, bytes.clone()));
        true
    }

    /// Closes the buffer and returns its content; `None` where it was closed before.
    pub(crate) fn close(&self) -> Option<EarlyChunks> {
        self.chunks.lock().expect("no lock holder panics").take()
    }
}

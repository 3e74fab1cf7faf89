//! Chunks that came before the engine beside the agent answered for the first time.
//!
//! Load pattern: engines are added while the others are overloaded. An agent runs about a second
//! before its engine does, which is half of what a copy takes over its link.

use std::sync::Mutex;

use bytes::Bytes;
use mustardrill_core::provisioning::VersionId;
use mustardrill_types::{ByteSize, ChunkIndex};

/// The most that is kept: what a narrow link carries while an engine starts, and a small part of an
/// engine machine's memory.
const SHELF_LIMIT: ByteSize = ByteSize(8 << 20);

/// Chunks of one version; closed for good once the engine has answered.
#[derive(Debug)]
pub(crate) struct ChunkShelf {
    kept: Mutex<Option<ShelfContent>>,
}

/// What is kept.
#[derive(Debug, Default)]
pub(crate) struct ShelfContent {
    pub(crate) version: Option<VersionId>,
    pub(crate) chunks: Vec<(ChunkIndex, Bytes)>,
}

impl ChunkShelf {
    /// An open shelf with nothing on it.
    pub(crate) fn new() -> Self {
        Self { kept: Mutex::new(Some(ShelfContent::default())) }
    }

    /// Keeps a chunk; says whether it did, which it does not once it is closed or full.
    pub(crate) fn keep(&self, version: &VersionId, index: ChunkIndex, bytes: &Bytes) -> bool {
        let mut kept = self.kept.lock().expect("no holder panics");
        let Some(content) = kept.as_mut() else { return false };
        if content.version.as_ref() != Some(version) {
            *content = ShelfContent { version: Some(version.clone()), chunks: Vec::new() };
        }
        let length: usize = content.chunks.iter().map(|(_, bytes)| bytes.len()).sum();
        if (length + bytes.len()) as u64 > SHELF_LIMIT.0 {
            return false;
        }
        content.chunks.push((index, bytes.clone()));
        true
    }

    /// Closes it; what was kept, the first time.
    pub(crate) fn close(&self) -> Option<ShelfContent> {
        self.kept.lock().expect("no holder panics").take()
    }
}

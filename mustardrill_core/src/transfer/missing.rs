//! The set of missing chunks of a version, unordered, with constant-time changes.

use mustardrill_types::ChunkIndex;

/// Set of missing chunks with removal and random choice in constant time.
#[derive(Debug)]
pub(super) struct MissingSet {
    pub(super) chunks: Vec<ChunkIndex>,
    positions: Vec<u32>,
}

impl MissingSet {
    pub(super) fn full(total: u32) -> Self {
        Self { chunks: (0..total).map(ChunkIndex).collect(), positions: (0..total).collect() }
    }

    /// Adds a chunk that is not in the set.
    pub(super) fn add(&mut self, index: ChunkIndex) {
        self.positions[index.0 as usize] = self.chunks.len() as u32;
        self.chunks.push(index);
    }

    /// Removes a chunk that is in the set; the last chunk moves to its position.
    pub(super) fn remove(&mut self, index: ChunkIndex) {
        let position = self.positions[index.0 as usize] as usize;
        self.chunks.swap_remove(position);
        if let Some(moved) = self.chunks.get(position) {
            self.positions[moved.0 as usize] = position as u32;
        }
    }
}

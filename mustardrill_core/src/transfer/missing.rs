//! The chunks of a version that are missing, in no order, with one step for each change.

use mustardrill_types::ChunkIndex;

/// The chunks still missing, with removal and random choice at constant cost.
#[derive(Debug)]
pub(super) struct MissingSet {
    pub(super) chunks: Vec<ChunkIndex>,
    places: Vec<u32>,
}

impl MissingSet {
    pub(super) fn full(total: u32) -> Self {
        Self { chunks: (0..total).map(ChunkIndex).collect(), places: (0..total).collect() }
    }

    /// Adds a chunk that is not in the set.
    pub(super) fn add(&mut self, index: ChunkIndex) {
        self.places[index.0 as usize] = self.chunks.len() as u32;
        self.chunks.push(index);
    }

    /// Removes a chunk that is in the set; the last one takes its place.
    pub(super) fn remove(&mut self, index: ChunkIndex) {
        let place = self.places[index.0 as usize] as usize;
        self.chunks.swap_remove(place);
        if let Some(moved) = self.chunks.get(place) {
            self.places[moved.0 as usize] = place as u32;
        }
    }
}

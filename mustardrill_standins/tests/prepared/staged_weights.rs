//! The weights of a stand-in engine after the published interface: chunks staged beside it, and the
//! layers that it took from them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::worker::{CHUNKS, chunk};

/// Number of layers of the model.
pub const LAYERS: u32 = 16;

/// Time for which a damaged chunk may be taken without fault, by the platform's rules: no agent can
/// check a chunk at the very moment at which it is loaded.
const CORRUPTION_GRACE: Duration = Duration::from_secs(3);

/// An order to hold a range of layers of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LayerOrder {
    pub version: u64,
    pub from: u32,
    /// The end of the range, exclusive.
    pub target: u32,
}

/// What follows from a load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEffect {
    /// The engine holds these layers already.
    InEffect,
    /// The engine took the layers that it lacked.
    Taken {
        /// Whether all chunks of these layers were those of the version.
        is_complete: bool,
    },
}

/// A layer as it was taken.
#[derive(Debug, Clone, Copy)]
struct TakenLayer {
    version: u64,
    /// Whether each of its chunks was intact.
    is_intact: bool,
    /// The same, where chunks damaged within `CORRUPTION_GRACE` are excused.
    is_sound: bool,
}

/// Staged chunks, and the layers that an engine holds.
#[derive(Debug)]
pub struct StagedWeights {
    chunks: BTreeMap<u32, Bytes>,
    /// Since when chunks are damaged.
    damaged_since: BTreeMap<u32, Instant>,
    layers: [Option<TakenLayer>; LAYERS as usize],
}

impl StagedWeights {
    /// The weights of an engine that starts with a version, which is staged as well; zero is none.
    pub fn new(version: u64) -> Self {
        let chunks =
            (0..CHUNKS).filter(|_| version > 0).map(|index| (index, chunk(version, index)));
        let layer =
            (version > 0).then_some(TakenLayer { version, is_intact: true, is_sound: true });
        Self {
            chunks: chunks.collect(),
            damaged_since: BTreeMap::new(),
            layers: [layer; LAYERS as usize],
        }
    }

    pub fn get(&self, index: u32) -> Option<Bytes> {
        self.chunks.get(&index).cloned()
    }

    pub fn put(&mut self, index: u32, bytes: Bytes) {
        self.damaged_since.remove(&index);
        self.chunks.insert(index, bytes);
    }

    /// Replaces a staged chunk by invalid bytes.
    pub fn damage(&mut self, index: u32) {
        self.damaged_since.entry(index).or_insert_with(Instant::now);
        self.chunks.insert(index, Bytes::from_static(b"bad"));
    }

    /// Takes the layers of an order that are not held, with what is staged now, and gives up those
    /// outside it.
    pub fn load(&mut self, order: LayerOrder) -> OrderEffect {
        let wanted = order.from..order.target;
        let holds = |layer: u32| {
            self.layers[layer as usize].is_some_and(|held| held.version == order.version)
        };
        if (0..LAYERS).all(|layer| holds(layer) == wanted.contains(&layer)) {
            return OrderEffect::InEffect;
        }
        let missing: Vec<_> = wanted.clone().filter(|layer| !holds(*layer)).collect();
        let mut is_complete = true;
        for layer in 0..LAYERS {
            if !wanted.contains(&layer) {
                self.layers[layer as usize] = None;
            } else if missing.contains(&layer) {
                let chunks = layer * CHUNKS / LAYERS..((layer + 1) * CHUNKS).div_ceil(LAYERS);
                let version = order.version;
                let is_intact = chunks.clone().all(|index| self.is_intact(version, index));
                let is_sound = chunks.clone().all(|index| self.is_sound(version, index));
                is_complete &= is_intact;
                self.layers[layer as usize] = Some(TakenLayer { version, is_intact, is_sound });
            }
        }
        OrderEffect::Taken { is_complete }
    }

    /// Gives up all layers, as an engine that starts again holds none.
    pub fn give_up_layers(&mut self) {
        self.layers = [None; LAYERS as usize];
    }

    /// Whether all chunks of a version are staged and intact.
    pub fn is_staged(&self, version: u64) -> bool {
        (0..CHUNKS).all(|index| self.is_intact(version, index))
    }

    fn is_intact(&self, version: u64, index: u32) -> bool {
        self.chunks.get(&index) == Some(&chunk(version, index))
    }

    fn is_sound(&self, version: u64, index: u32) -> bool {
        let since = self.damaged_since.get(&index);
        self.is_intact(version, index) || since.is_some_and(|at| at.elapsed() < CORRUPTION_GRACE)
    }

    /// The version and the layers that are held; version zero without any.
    pub fn held(&self) -> (u64, u32, u32) {
        let held: Vec<_> =
            (0..LAYERS).filter(|layer| self.layers[*layer as usize].is_some()).collect();
        let Some((first, last)) = held.first().zip(held.last()) else { return (0, 0, 0) };
        let version = self.layers[*first as usize].map_or(0, |layer| layer.version);
        (version, *first, last + 1)
    }

    /// Whether all layers are held.
    pub fn is_whole(&self) -> bool {
        self.layers.iter().all(Option::is_some)
    }

    /// Whether a token that is made now is made with layers of intact chunks only.
    pub fn is_intact_throughout(&self) -> bool {
        self.layers.iter().flatten().all(|layer| layer.is_intact)
    }

    /// Whether the platform's rules excuse all layers that are held.
    pub fn is_sound_throughout(&self) -> bool {
        self.layers.iter().flatten().all(|layer| layer.is_sound)
    }
}

//! The manifest of a version, with a digest of each chunk, and the set of chunks that a holder has.

use derive_more::{Display, Error};
use mustardrill_types::{ByteSize, ChunkIndex, ManifestDigest, ModelName, VersionName};
use serde::{Deserialize, Serialize};

/// The description of a version's weights as published at the origin.
///
/// It contains the digest of each chunk, so pinning the manifest's own digest pins every byte of
/// the version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The model the version belongs to.
    pub model: ModelName,
    /// The name of the version.
    pub version: VersionName,
    /// The total size of the weights.
    pub size: ByteSize,
    /// The size of each chunk except the last, which may be shorter; not zero.
    pub chunk_size: ByteSize,
    /// The digest of each chunk, in the order of the weights.
    pub chunks: Vec<ManifestDigest>,
}

/// The reason for rejecting bytes as a manifest.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum ManifestError {
    /// The digest of the bytes is not the pinned one.
    #[display("the manifest's digest is {found}, pinned is {pinned}")]
    WrongDigest {
        /// The digest that the catalogue pins.
        pinned: ManifestDigest,
        /// The digest of the bytes.
        found: ManifestDigest,
    },
    /// The bytes are not valid JSON for a manifest, or their values contradict each other.
    #[display("not a manifest: {reason}")]
    Malformed {
        /// The first problem found.
        reason: Box<str>,
    },
}

/// The set of chunks of one version that a holder has.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChunkBitmap {
    words: Vec<u64>,
    total: u32,
    count: u32,
}

impl Manifest {
    /// Creates the manifest of the weights in `bytes`; a `chunk_size` of zero splits them into
    /// chunks of one byte.
    pub fn describe(
        model: ModelName,
        version: VersionName,
        chunk_size: ByteSize,
        bytes: &[u8],
    ) -> Self {
        let chunks = bytes.chunks(chunk_size.0.max(1) as usize).map(ManifestDigest::of).collect();
        Self { model, version, size: ByteSize(bytes.len() as u64), chunk_size, chunks }
    }

    /// Encodes the manifest as published by the origin, in JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest is plain data")
    }

    /// The digest of the encoded manifest, as pinned by the catalogue.
    pub fn digest(&self) -> ManifestDigest {
        ManifestDigest::of(&self.encode())
    }

    /// Decodes a published manifest after checking that its digest is `pinned`.
    pub fn decode_verified(bytes: &[u8], pinned: ManifestDigest) -> Result<Self, ManifestError> {
        let found = ManifestDigest::of(bytes);
        if found != pinned {
            return Err(ManifestError::WrongDigest { pinned, found });
        }
        Self::decode(bytes)
    }

    /// Decodes a published manifest whose digest is not pinned yet.
    pub fn decode(bytes: &[u8]) -> Result<Self, ManifestError> {
        let malformed = |reason: String| ManifestError::Malformed { reason: reason.into() };
        let manifest: Self =
            serde_json::from_slice(bytes).map_err(|error| malformed(error.to_string()))?;
        if manifest.chunk_size.0 == 0 {
            return Err(malformed("chunk_size is zero".into()));
        }
        let expected = manifest.size.0.div_ceil(manifest.chunk_size.0);
        if expected != manifest.chunks.len() as u64 {
            let found = manifest.chunks.len();
            return Err(malformed(format!(
                "{found} chunk digests, expected {expected} for the size"
            )));
        }
        Ok(manifest)
    }

    /// The number of chunks that the weights are split into.
    pub fn chunk_count(&self) -> u32 {
        self.chunks.len() as u32
    }

    /// The byte range of a chunk within the weights, as start and exclusive end offset.
    pub fn range(&self, index: ChunkIndex) -> (u64, u64) {
        let start = u64::from(index.0).saturating_mul(self.chunk_size.0).min(self.size.0);
        (start, start.saturating_add(self.chunk_size.0).min(self.size.0))
    }

    /// Whether `bytes` have the digest of the chunk `index`; false if there is no such chunk.
    pub fn verifies(&self, index: ChunkIndex, bytes: &[u8]) -> bool {
        self.chunks.get(index.0 as usize).is_some_and(|digest| *digest == ManifestDigest::of(bytes))
    }
}

impl ChunkBitmap {
    /// Creates a bitmap for `total` chunks with none held.
    pub fn empty(total: u32) -> Self {
        Self { words: vec![0; (total as usize).div_ceil(64)], total, count: 0 }
    }

    /// Creates a bitmap for `total` chunks with all held.
    pub fn full(total: u32) -> Self {
        let mut bitmap = Self::empty(total);
        (0..total).for_each(|index| {
            bitmap.insert(ChunkIndex(index));
        });
        bitmap
    }

    /// Whether the chunk is held; false for an index out of range.
    pub fn contains(&self, index: ChunkIndex) -> bool {
        let word = self.words.get(index.0 as usize / 64).copied().unwrap_or(0);
        word >> (index.0 % 64) & 1 == 1
    }

    /// Adds a chunk and returns whether it was missing. An index out of range is ignored.
    pub fn insert(&mut self, index: ChunkIndex) -> bool {
        if index.0 >= self.total || self.contains(index) {
            return false;
        }
        self.words[index.0 as usize / 64] |= 1 << (index.0 % 64);
        self.count += 1;
        true
    }

    /// Removes a chunk and returns whether it was held.
    pub fn remove(&mut self, index: ChunkIndex) -> bool {
        if !self.contains(index) {
            return false;
        }
        self.words[index.0 as usize / 64] &= !(1 << (index.0 % 64));
        self.count -= 1;
        true
    }

    /// The chunks that are held, in ascending order.
    pub fn held(&self) -> Vec<ChunkIndex> {
        Self::empty(self.total).added_in(self)
    }

    /// The number of chunks that are held.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// The chunks that `newer` has and `self` lacks, in ascending order. Both bitmaps must be for
    /// the same manifest.
    pub fn added_in(&self, newer: &Self) -> Vec<ChunkIndex> {
        let mut added = Vec::new();
        for (word_index, (old, new)) in self.words.iter().zip(&newer.words).enumerate() {
            let mut added_bits = new & !old;
            while added_bits != 0 {
                added.push(ChunkIndex(word_index as u32 * 64 + added_bits.trailing_zeros()));
                added_bits &= added_bits - 1;
            }
        }
        added
    }

    /// Encodes the bitmap for a message: bit `n % 8` of byte `n / 8` is chunk `n`.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.words.iter().flat_map(|word| word.to_le_bytes()).collect()
    }

    /// Decodes a bitmap of `total` chunks from a message. Bits past the end are dropped, and
    /// missing bytes count as chunks not held.
    pub fn from_bytes(bytes: &[u8], total: u32) -> Self {
        let mut bitmap = Self::empty(total);
        for (word, part) in bitmap.words.iter_mut().zip(bytes.chunks(8)) {
            let mut word_bytes = [0; 8];
            word_bytes[..part.len()].copy_from_slice(part);
            *word = u64::from_le_bytes(word_bytes);
        }
        if let (Some(last_word), used_bits @ 1..) = (bitmap.words.last_mut(), total % 64) {
            *last_word &= (1 << used_bits) - 1;
        }
        bitmap.count = bitmap.words.iter().map(|word| word.count_ones()).sum();
        bitmap
    }
}

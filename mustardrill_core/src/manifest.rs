//! A version's manifest: its size, and a digest for each chunk.

use derive_more::{Display, Error};
use mustardrill_types::{ByteSize, ChunkIndex, ManifestDigest, ModelName, VersionName};
use serde::{Deserialize, Serialize};

/// What a version consists of. Its digest pins every byte of the version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The model the version belongs to.
    pub model: ModelName,
    /// The version's name.
    pub version: VersionName,
    /// The size of the weights.
    pub size: ByteSize,
    /// The size of each chunk but the last.
    pub chunk_size: ByteSize,
    /// The digest of each chunk, in order.
    pub chunks: Vec<ManifestDigest>,
}

/// Why bytes are not a manifest that may be used.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum ManifestError {
    /// The bytes have another digest than the one pinned.
    #[display("the manifest's digest is {found}, pinned is {pinned}")]
    WrongDigest {
        /// The digest that the catalogue pins.
        pinned: ManifestDigest,
        /// The digest of the bytes.
        found: ManifestDigest,
    },
    /// The bytes do not read as a manifest.
    #[display("not a manifest: {reason}")]
    Malformed {
        /// What does not fit.
        reason: Box<str>,
    },
}

/// Which chunks of a version somebody holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChunkBitmap {
    words: Vec<u64>,
    total: u32,
    count: u32,
}

impl Manifest {
    /// Describes `bytes` in chunks of `chunk_size`.
    pub fn describe(
        model: ModelName,
        version: VersionName,
        chunk_size: ByteSize,
        bytes: &[u8],
    ) -> Self {
        let chunks = bytes.chunks(chunk_size.0.max(1) as usize).map(ManifestDigest::of).collect();
        Self { model, version, size: ByteSize(bytes.len() as u64), chunk_size, chunks }
    }

    /// The manifest as the origin publishes it.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest is plain data")
    }

    /// The digest of the published bytes.
    pub fn digest(&self) -> ManifestDigest {
        ManifestDigest::of(&self.encode())
    }

    /// Reads published bytes, which must have the `pinned` digest.
    pub fn open(bytes: &[u8], pinned: ManifestDigest) -> Result<Self, ManifestError> {
        let found = ManifestDigest::of(bytes);
        if found != pinned {
            return Err(ManifestError::WrongDigest { pinned, found });
        }
        Self::read(bytes)
    }

    /// Reads published bytes whose digest nobody has pinned yet.
    pub fn read(bytes: &[u8]) -> Result<Self, ManifestError> {
        let malformed = |reason: String| ManifestError::Malformed { reason: reason.into() };
        let manifest: Self =
            serde_json::from_slice(bytes).map_err(|error| malformed(error.to_string()))?;
        if manifest.chunk_size.0 == 0 {
            return Err(malformed("chunk_size is zero".into()));
        }
        let expected = manifest.size.0.div_ceil(manifest.chunk_size.0);
        if expected != manifest.chunks.len() as u64 {
            let found = manifest.chunks.len();
            return Err(malformed(format!("{found} chunk digests, the size asks for {expected}")));
        }
        Ok(manifest)
    }

    /// The number of chunks.
    pub fn chunk_count(&self) -> u32 {
        self.chunks.len() as u32
    }

    /// The bytes that a chunk takes up, as start and end offset.
    pub fn range(&self, index: ChunkIndex) -> (u64, u64) {
        let start = u64::from(index.0) * self.chunk_size.0;
        (start, (start + self.chunk_size.0).min(self.size.0))
    }

    /// Whether `bytes` are this chunk.
    pub fn verifies(&self, index: ChunkIndex, bytes: &[u8]) -> bool {
        self.chunks.get(index.0 as usize).is_some_and(|digest| *digest == ManifestDigest::of(bytes))
    }
}

impl ChunkBitmap {
    /// An empty bitmap for `total` chunks.
    pub fn empty(total: u32) -> Self {
        Self { words: vec![0; (total as usize).div_ceil(64)], total, count: 0 }
    }

    /// A full bitmap for `total` chunks.
    pub fn full(total: u32) -> Self {
        let mut bitmap = Self::empty(total);
        (0..total).for_each(|index| {
            bitmap.insert(ChunkIndex(index));
        });
        bitmap
    }

    /// Whether the chunk is held.
    pub fn contains(&self, index: ChunkIndex) -> bool {
        let word = self.words.get(index.0 as usize / 64).copied().unwrap_or(0);
        word >> (index.0 % 64) & 1 == 1
    }

    /// Adds a chunk; says whether it was new. A chunk past the end is ignored.
    pub fn insert(&mut self, index: ChunkIndex) -> bool {
        if index.0 >= self.total || self.contains(index) {
            return false;
        }
        self.words[index.0 as usize / 64] |= 1 << (index.0 % 64);
        self.count += 1;
        true
    }

    /// Removes a chunk; says whether it was there.
    pub fn remove(&mut self, index: ChunkIndex) -> bool {
        if !self.contains(index) {
            return false;
        }
        self.words[index.0 as usize / 64] &= !(1 << (index.0 % 64));
        self.count -= 1;
        true
    }

    /// The chunks that are held, in order.
    pub fn held(&self) -> Vec<ChunkIndex> {
        Self::empty(self.total).added_in(self)
    }

    /// How many chunks are held.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// The chunks that `newer` has and `self` lacks; both are for the same manifest.
    pub fn added_in(&self, newer: &Self) -> Vec<ChunkIndex> {
        let mut added = Vec::new();
        for (place, (old, new)) in self.words.iter().zip(&newer.words).enumerate() {
            let mut fresh = new & !old;
            while fresh != 0 {
                added.push(ChunkIndex(place as u32 * 64 + fresh.trailing_zeros()));
                fresh &= fresh - 1;
            }
        }
        added
    }

    /// The bitmap as bytes, for a message.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.words.iter().flat_map(|word| word.to_le_bytes()).collect()
    }

    /// Reads a message's bytes for `total` chunks; bits past the end are dropped.
    pub fn from_bytes(bytes: &[u8], total: u32) -> Self {
        let mut bitmap = Self::empty(total);
        for (word, part) in bitmap.words.iter_mut().zip(bytes.chunks(8)) {
            let mut whole = [0; 8];
            whole[..part.len()].copy_from_slice(part);
            *word = u64::from_le_bytes(whole);
        }
        if let (Some(last), rest @ 1..) = (bitmap.words.last_mut(), total % 64) {
            *last &= (1 << rest) - 1;
        }
        bitmap.count = bitmap.words.iter().map(|word| word.count_ones()).sum();
        bitmap
    }
}

//! The staged bytes of weights, in memory: verified chunks only.

use std::sync::{Arc, RwLock};

use bytes::Bytes;
use mustardrill_core::manifest::Manifest;
use mustardrill_types::{ChunkIndex, FastMap, ManifestDigest};

/// The staged bytes of all versions.
#[derive(Debug, Default)]
pub(crate) struct ChunkStore {
    versions: RwLock<FastMap<ManifestDigest, StagedVersion>>,
}

#[derive(Debug)]
struct StagedVersion {
    manifest: Arc<Manifest>,
    published: Bytes,
    chunks: Vec<Option<Bytes>>,
}

impl ChunkStore {
    /// Makes room for a version whose manifest was checked against its digest.
    pub(crate) fn open(&self, digest: ManifestDigest, manifest: Arc<Manifest>, published: Bytes) {
        let chunks = vec![None; manifest.chunks.len()];
        let version = StagedVersion { manifest, published, chunks };
        self.write().entry(digest).or_insert(version);
    }

    /// The manifest of a version.
    pub(crate) fn manifest(&self, digest: ManifestDigest) -> Option<Arc<Manifest>> {
        self.read().get(&digest).map(|version| version.manifest.clone())
    }

    /// The manifest of a version as the origin published it.
    pub(crate) fn published(&self, digest: ManifestDigest) -> Option<Bytes> {
        self.read().get(&digest).map(|version| version.published.clone())
    }

    /// Keeps a chunk if its digest is right; says whether it was.
    pub(crate) fn keep(&self, digest: ManifestDigest, index: ChunkIndex, bytes: Bytes) -> bool {
        let Some(manifest) = self.manifest(digest) else { return false };
        // Hashed outside of the lock: readers go on meanwhile.
        if !manifest.verifies(index, &bytes) {
            return false;
        }
        if let Some(version) = self.write().get_mut(&digest) {
            version.chunks[index.0 as usize] = Some(bytes);
        }
        true
    }

    /// A verified chunk.
    pub(crate) fn chunk(&self, digest: ManifestDigest, index: ChunkIndex) -> Option<Bytes> {
        self.read().get(&digest)?.chunks.get(index.0 as usize)?.clone()
    }

    /// Drops a version.
    pub(crate) fn remove(&self, digest: ManifestDigest) {
        self.write().remove(&digest);
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, FastMap<ManifestDigest, StagedVersion>> {
        self.versions.read().expect("nobody panics under this lock")
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, FastMap<ManifestDigest, StagedVersion>> {
        self.versions.write().expect("nobody panics under this lock")
    }
}

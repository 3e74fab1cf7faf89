//! Staged weights in memory; only verified chunks are stored.

use std::sync::{Arc, RwLock};

use bytes::Bytes;
use mustardrill_core::manifest::Manifest;
use mustardrill_types::{ChunkIndex, FastMap, ManifestDigest};

/// The verified chunks of all staged versions.
#[derive(Debug, Default)]
pub(crate) struct ChunkStore {
    versions: RwLock<FastMap<ManifestDigest, StagedVersion>>,
}

#[derive(Debug)]
struct StagedVersion {
    manifest: Arc<Manifest>,
    /// The manifest as the origin published it.
    published: Bytes,
    /// By index; `None` where a chunk has not been fetched.
    chunks: Vec<Option<Bytes>>,
}

impl ChunkStore {
    /// Adds a version without chunks. The caller has checked the manifest against the digest.
    pub(crate) fn open(&self, digest: ManifestDigest, manifest: Arc<Manifest>, published: Bytes) {
        let chunks = vec![None; manifest.chunks.len()];
        let version = StagedVersion { manifest, published, chunks };
        self.write().entry(digest).or_insert(version);
    }

    /// The manifest of a version; `None` where the version is not staged.
    pub(crate) fn manifest(&self, digest: ManifestDigest) -> Option<Arc<Manifest>> {
        self.read().get(&digest).map(|version| version.manifest.clone())
    }

    /// The manifest of a version as the origin published it.
    pub(crate) fn published(&self, digest: ManifestDigest) -> Option<Bytes> {
        self.read().get(&digest).map(|version| version.published.clone())
    }

    /// Stores a chunk where its digest is right; returns whether it was.
    pub(crate) fn verify_and_insert(
        &self,
        digest: ManifestDigest,
        index: ChunkIndex,
        bytes: Bytes,
    ) -> bool {
        let Some(manifest) = self.manifest(digest) else { return false };
        // Hashed without holding the write lock, so that readers are not blocked.
        if !manifest.verifies(index, &bytes) {
            return false;
        }
        if let Some(version) = self.write().get_mut(&digest) {
            version.chunks[index.0 as usize] = Some(bytes);
        }
        true
    }

    /// A verified chunk; `None` where it has not been fetched.
    pub(crate) fn chunk(&self, digest: ManifestDigest, index: ChunkIndex) -> Option<Bytes> {
        self.read().get(&digest)?.chunks.get(index.0 as usize)?.clone()
    }

    /// Frees the memory of a version.
    pub(crate) fn remove(&self, digest: ManifestDigest) {
        self.write().remove(&digest);
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, FastMap<ManifestDigest, StagedVersion>> {
        self.versions.read().expect("no lock holder panics")
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, FastMap<ManifestDigest, StagedVersion>> {
        self.versions.write().expect("no lock holder panics")
    }
}

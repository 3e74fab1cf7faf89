//! Stages chunks beside the engine and reads them back.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use kameo::prelude::*;
use mustardrill_core::manifest::ChunkBitmap;
use mustardrill_core::provisioning::VersionId;
use mustardrill_runtime::adapters::{ChunkList, StagedChunk, StagingOutcome};
use mustardrill_types::{ChunkIndex, Millis, Moment};
use tokio::sync::RwLock;

use crate::provisioning::actor::{ProvisioningActor, ProvisioningContext, StagedRead};

/// How many chunks are read back at once. An engine that is slow to return each would otherwise
/// leave a long time between the first one and the load order.
const CONCURRENT_READS: usize = 4;

/// Chunks that were read longer ago are read again before a load is ordered. Older ones may have
/// turned bad since, and a load of a damaged chunk has to be repeated.
const MAX_READ_AGE: Millis = Millis(1_000);

/// How many times chunks are read again: an engine may be too slow for all to be recent at once.
const MAX_REPEATED_READS: u32 = 2;

/// Admits staging while chunks of a version are fetched, and no more once they are read back: what is
/// staged later would hide that the engine took a damaged chunk.
#[derive(Debug, Default)]
pub(crate) struct StagingGate {
    admitted: RwLock<Option<VersionId>>,
}

impl StagingGate {
    /// Admits the chunks of a version, and no others.
    pub(crate) async fn open(&self, version: &VersionId) {
        if self.admitted.read().await.as_ref() != Some(version) {
            *self.admitted.write().await = Some(version.clone());
        }
    }

    /// Waits for the calls that stage chunks to end, and admits no further ones.
    async fn close(&self) {
        *self.admitted.write().await = None;
    }
}

/// Stages a chunk and returns whether the engine has stored it. Goes on when the caller is cancelled:
/// a call that is abandoned may take effect at any later time.
pub(crate) async fn stage_chunk(
    context: &Arc<ProvisioningContext>,
    version: &VersionId,
    index: ChunkIndex,
    bytes: &Bytes,
) -> bool {
    let (context, version, bytes) = (context.clone(), version.clone(), bytes.clone());
    let staging = tokio::spawn(async move {
        let admitted = context.staging_gate.admitted.read().await;
        if admitted.as_ref() != Some(&version) {
            log::info!("chunk version={version} index={index} outcome=not-admitted");
            return false;
        }
        stage_admitted(&context, &version, index, &bytes).await
    });
    staging.await.unwrap_or(false)
}

/// Repeats the call while the engine is silent: the chunk would only be fetched again.
async fn stage_admitted(
    context: &ProvisioningContext,
    version: &VersionId,
    index: ChunkIndex,
    bytes: &Bytes,
) -> bool {
    let mut is_silent = false;
    loop {
        match context.adapters.engine.stage(&version.model, index, bytes.clone()).await {
            StagingOutcome::Staged => return true,
            StagingOutcome::Failed => {
                log::warn!("chunk version={version} index={index} outcome=not-staged");
                return false;
            }
            StagingOutcome::Unanswered if !is_silent => {
                is_silent = true;
                log::warn!(
                    "chunk version={version} index={index} call=stage decision=wait reason=silent"
                );
            }
            StagingOutcome::Unanswered => {}
        }
    }
}

/// What staged chunks are read back for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadPurpose {
    /// A load is to be ordered: all reads should be recent.
    Order,
    /// A load is to be proven: a chunk that is intact now was intact when it was taken.
    Proof,
}

/// Staged chunks to read back.
pub(crate) struct ReadTask {
    pub(crate) version: VersionId,
    pub(crate) list: Arc<ChunkList>,
    pub(crate) purpose: ReadPurpose,
    /// Identifies the task; a later one has a greater number.
    pub(crate) round: u64,
}

/// Reads all staged chunks back from the engine and reports which of them pass verification.
pub(crate) fn verify_staged(
    context: Arc<ProvisioningContext>,
    actor: ActorRef<ProvisioningActor>,
    task: ReadTask,
) {
    tokio::spawn(async move {
        let ReadTask { version, list, purpose, round } = task;
        context.staging_gate.close().await;
        let started_at = context.clock.now();
        let mut reads = vec![None; list.digests.len()];
        let mut due: Vec<_> = (0..list.digests.len() as u32).map(ChunkIndex).collect();
        let mut rounds = 0;
        while !due.is_empty() {
            read_chunks(&context, &version, &list, due, &mut reads).await;
            due = if purpose == ReadPurpose::Order && rounds < MAX_REPEATED_READS {
                outdated(&reads, context.clock.now())
            } else {
                Vec::new()
            };
            rounds += 1;
        }
        let mut intact = ChunkBitmap::empty(reads.len() as u32);
        let indexes = (0..).map(ChunkIndex).zip(&reads);
        indexes.filter(|(_, read)| read.is_some()).for_each(|(index, _)| {
            intact.insert(index);
        });
        let now = context.clock.now();
        let oldest = reads.iter().flatten().min().copied().unwrap_or(now);
        log::info!(
            "weights version={version} outcome=read-back whole={} of={} took={} oldest={} passes={rounds}",
            intact.count(),
            reads.len(),
            now.since(started_at),
            now.since(oldest)
        );
        let _ = actor.tell(StagedRead { round, version, intact }).await;
    });
}

/// Reads chunks back; notes in `reads` when those that pass verification were asked for.
async fn read_chunks(
    context: &ProvisioningContext,
    version: &VersionId,
    list: &ChunkList,
    indexes: Vec<ChunkIndex>,
    reads: &mut [Option<Moment>],
) {
    let read = |index: ChunkIndex| async move {
        let asked_at = context.clock.now();
        let bytes = read_staged(context, version, index).await;
        let is_intact =
            bytes.is_some_and(|bytes| context.adapters.origin.verifies(list, index, &bytes));
        (index, is_intact.then_some(asked_at))
    };
    let mut results = stream::iter(indexes).map(read).buffer_unordered(CONCURRENT_READS);
    while let Some((index, asked_at)) = results.next().await {
        reads[index.0 as usize] = asked_at;
    }
}

/// The intact chunks that were read too long ago.
fn outdated(reads: &[Option<Moment>], now: Moment) -> Vec<ChunkIndex> {
    let is_outdated = |read: &Option<Moment>| read.is_some_and(|at| now.since(at) > MAX_READ_AGE);
    let reads = (0..).map(ChunkIndex).zip(reads);
    reads.filter(|(_, read)| is_outdated(read)).map(|(index, _)| index).collect()
}

/// Reads a staged chunk back; `None` if the engine does not have it. Waits while the engine is
/// silent, as the chunks of an engine that goes on are not lost.
async fn read_staged(
    context: &ProvisioningContext,
    version: &VersionId,
    index: ChunkIndex,
) -> Option<Bytes> {
    let mut is_silent = false;
    loop {
        match context.adapters.engine.staged(&version.model, index).await {
            StagedChunk::Held(bytes) => return Some(bytes),
            StagedChunk::Missing => return None,
            StagedChunk::Unanswered if !is_silent => {
                is_silent = true;
                log::warn!(
                    "chunk version={version} index={index} call=read-back decision=wait reason=silent"
                );
            }
            StagedChunk::Unanswered => {}
        }
    }
}

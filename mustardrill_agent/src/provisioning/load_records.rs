//! Reads and writes the record of the engine's latest load in the store.

use std::sync::Arc;

use futures_util::FutureExt;
use kameo::prelude::*;
use log::{info, warn};
use mustardrill_core::direct::LoadRecord;
use mustardrill_core::provisioning::ProvisioningEvent;
use mustardrill_runtime::adapters::StoredLoad;
use mustardrill_runtime::backoff::RetryBackoff;
use mustardrill_runtime::supervision::ProcessFailure;
use mustardrill_types::{Millis, StoreRevision};
use tokio::sync::{mpsc, watch};

use crate::provisioning::actor::{Event, ProvisioningActor, ProvisioningContext};

/// The longest backoff after the first failed call. No load is ordered before it is recorded.
const FIRST_BACKOFF: Millis = Millis(100);

/// The longest backoff after any failed call.
const MAX_BACKOFF: Millis = Millis(1_000);

/// Passes records to the task that writes them.
#[derive(Debug)]
pub(crate) struct LoadRecorder {
    read_requests: mpsc::UnboundedSender<()>,
    /// The record to be stored; a newer one replaces it.
    pending: watch::Sender<Option<LoadRecord>>,
}

/// The other ends of a [`LoadRecorder`].
pub(crate) struct RecorderInputs {
    read_requests: mpsc::UnboundedReceiver<()>,
    pending: watch::Receiver<Option<LoadRecord>>,
}

impl LoadRecorder {
    /// Creates a recorder whose inputs are served by [`spawn`].
    pub(crate) fn new() -> (Self, RecorderInputs) {
        let (requests, read_requests) = mpsc::unbounded_channel();
        let (pending, receiver) = watch::channel(None);
        let inputs = RecorderInputs { read_requests, pending: receiver };
        (Self { read_requests: requests, pending }, inputs)
    }

    /// Reads the record once the store answers.
    pub(crate) fn read(&self) {
        // The task ends only with the agent.
        let _ = self.read_requests.send(());
    }

    /// Writes a record once the store answers, in place of one that is not stored yet.
    pub(crate) fn write(&self, record: LoadRecord) {
        self.pending.send_replace(Some(record));
    }
}

/// Starts the task that serves a recorder. Its inputs end with it, and no load is ordered without a
/// record.
pub(crate) fn spawn(
    inputs: RecorderInputs,
    actor: ActorRef<ProvisioningActor>,
    context: Arc<ProvisioningContext>,
    failure: &ProcessFailure,
) {
    let halt = context.halt.clone();
    let serving = serve(inputs, actor, context).map(|()| "its inputs have ended");
    failure.spawn_essential("load-records", halt, serving);
}

async fn serve(
    mut inputs: RecorderInputs,
    actor: ActorRef<ProvisioningActor>,
    context: Arc<ProvisioningContext>,
) {
    // Records are written only after the first read.
    if inputs.read_requests.recv().await.is_none() {
        return;
    }
    let StoredLoad { record, mut revision } = read(&context).await;
    let _ = actor.tell(Event(ProvisioningEvent::LoadRecordRead(record))).await;
    while inputs.pending.changed().await.is_ok() {
        revision = write_pending(&mut inputs.pending, &actor, &context, revision).await;
    }
}

async fn read(context: &ProvisioningContext) -> StoredLoad {
    let mut backoff = RetryBackoff::new(FIRST_BACKOFF, MAX_BACKOFF);
    loop {
        match context.adapters.load_register.read(context.config.settings.engine).await {
            Ok(stored) => return stored,
            Err(error) => warn!("load record=unread reason=\"{error}\""),
        }
        let delay = backoff.failed(&mut rand::rng());
        tokio::time::sleep(delay.to_std()).await;
    }
}

/// Writes the pending record, or a newer one that replaces it meanwhile; returns the item's revision.
async fn write_pending(
    pending: &mut watch::Receiver<Option<LoadRecord>>,
    actor: &ActorRef<ProvisioningActor>,
    context: &ProvisioningContext,
    mut revision: StoreRevision,
) -> StoreRevision {
    let mut backoff = RetryBackoff::new(FIRST_BACKOFF, MAX_BACKOFF);
    loop {
        let Some(record) = pending.borrow_and_update().clone() else { return revision };
        let written = match context.adapters.load_register.write(&record, revision).await {
            Ok(Some(written)) => Some(written),
            Ok(None) => {
                // An earlier write whose answer was lost has taken effect, of this process or of the
                // one before.
                let stored = read(context).await;
                revision = stored.revision;
                if stored.record.as_ref() != Some(&record) {
                    info!("load record=changed revision={revision}");
                    // What is written next follows from it.
                    let read = ProvisioningEvent::LoadRecordRead(stored.record);
                    let _ = actor.tell(Event(read)).await;
                    return revision;
                }
                Some(revision)
            }
            Err(error) => {
                warn!("load record=unwritten state={} reason=\"{error}\"", record.state);
                None
            }
        };
        let Some(written) = written else {
            let delay = backoff.failed(&mut rand::rng());
            tokio::time::sleep(delay.to_std()).await;
            continue;
        };
        info!(
            "load number={} version={}:{} outcome=recorded state={}",
            record.number, record.model, record.version, record.state
        );
        let _ = actor.tell(Event(ProvisioningEvent::LoadRecordStored(record))).await;
        return written;
    }
}

//! Writes quarantines of requests to the store, from which entries read them when they start.

use std::sync::Arc;

use log::{info, warn};
use mustardrill_core::quarantine::{QUARANTINE_SPAN, QuarantineSubject};
use mustardrill_runtime::adapters::{LeaseGrant, StoreError};
use mustardrill_runtime::backoff::RetryBackoff;
use mustardrill_types::{FastMap, Millis};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::direct::actor::DirectContext;

/// The longest backoff after the first failed write.
const FIRST_BACKOFF: Millis = Millis(500);

/// The longest backoff after any number of failed writes.
const MAX_BACKOFF: Millis = Millis(4_000);

/// A change to a quarantine record.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RecordChange {
    /// The requests are quarantined for this time.
    Keep(Millis),
    /// The quarantine is over.
    End,
}

/// The changes that the store has not accepted yet.
#[derive(Debug, Default)]
pub(crate) struct RecordWrites {
    pending: FastMap<QuarantineSubject, PendingWrite>,
}

/// A task that writes a change.
#[derive(Debug)]
struct PendingWrite {
    task: JoinHandle<Option<()>>,
    /// Cancelled when a newer change to the record is to be written.
    superseded: CancellationToken,
}

impl RecordWrites {
    /// Writes a change in a task of its own, with retries until the store accepts it, the time of a
    /// quarantine has passed or a newer change to the record follows.
    pub(crate) fn spawn(
        &mut self,
        context: Arc<DirectContext>,
        subject: QuarantineSubject,
        change: RecordChange,
    ) {
        self.pending.retain(|_, write| !write.task.is_finished());
        let predecessor = self.pending.remove(&subject);
        let superseded = CancellationToken::new();
        let halt = context.halt.clone();
        let (key, own) = (subject.clone(), superseded.clone());
        let writing = async move {
            if let Some(write) = predecessor {
                // Its last attempt must not arrive after this change.
                write.superseded.cancel();
                let _ = write.task.await;
            }
            write_with_retries(context, subject, change, own).await;
        };
        let task = tokio::spawn(halt.run_until_cancelled_owned(writing));
        self.pending.insert(key, PendingWrite { task, superseded });
    }
}

async fn write_with_retries(
    context: Arc<DirectContext>,
    subject: QuarantineSubject,
    change: RecordChange,
    superseded: CancellationToken,
) {
    let mut lease = None;
    let mut backoff = RetryBackoff::new(FIRST_BACKOFF, MAX_BACKOFF);
    let started_at = context.clock.now();
    while !superseded.is_cancelled() && context.clock.now().since(started_at) < QUARANTINE_SPAN {
        match write_once(&context, &subject, change, &mut lease).await {
            Ok(()) => {
                info!("quarantine subject={subject} change={change:?} outcome=written");
                return;
            }
            Err(error) => {
                warn!(
                    "quarantine subject={subject} change={change:?} outcome=unwritten reason=\"{error}\""
                );
            }
        }
        let pause = backoff.failed(&mut rand::rng());
        superseded.run_until_cancelled(tokio::time::sleep(pause.to_std())).await;
    }
    if let Some(lease) = lease {
        prevent_late_write(&context, lease).await;
    }
}

/// Makes a change once. Repeated writes of a record use one lease, which is left in `lease`.
async fn write_once(
    context: &DirectContext,
    subject: &QuarantineSubject,
    change: RecordChange,
    lease: &mut Option<LeaseGrant>,
) -> Result<(), StoreError> {
    let fleet_source = &context.adapters.fleet_source;
    let RecordChange::Keep(span) = change else {
        return fleet_source.end_quarantine(subject).await;
    };
    let grant = match *lease {
        Some(grant) => grant,
        None => fleet_source.grant_lease(subject.record_lifetime(span)).await?,
    };
    *lease = Some(grant);
    let written = fleet_source.keep_quarantine(subject, span, grant).await;
    if matches!(written, Err(StoreError::LeaseGone | StoreError::EraChanged)) {
        *lease = None;
    }
    written
}

/// Ends the lease of a write without an answer, which the store could otherwise carry out after the
/// change that follows.
async fn prevent_late_write(context: &DirectContext, lease: LeaseGrant) {
    let mut backoff = RetryBackoff::new(FIRST_BACKOFF, MAX_BACKOFF);
    while let Err(error) = context.adapters.fleet_source.end_lease(lease).await {
        if error == StoreError::LeaseGone {
            return;
        }
        warn!("quarantine lease={lease} outcome=unended reason=\"{error}\"");
        let pause = backoff.failed(&mut rand::rng());
        tokio::time::sleep(pause.to_std()).await;
    }
}

//! Writes to the store which requests are run no more, for entries that start.

use std::sync::Arc;

use log::{info, warn};
use mustardrill_core::quarantine::QUARANTINE_SPAN;
use mustardrill_runtime::backoff::RetryBackoff;
use mustardrill_types::{Millis, RequestDigest};

use crate::direct::actor::DirectContext;

/// The longest pause after a first write that failed.
const FIRST_PAUSE: Millis = Millis(500);

/// The longest pause after any.
const LONGEST_PAUSE: Millis = Millis(4_000);

/// What is written of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RecordChange {
    /// It is run no more for so long.
    Keep(Millis),
    /// It is run again.
    End,
}

/// Writes a change, again and again while the store does not take it and the change is of use.
pub(crate) fn spawn(context: Arc<DirectContext>, digest: RequestDigest, change: RecordChange) {
    let halt = context.halt.clone();
    tokio::spawn(halt.run_until_cancelled_owned(write(context, digest, change)));
}

async fn write(context: Arc<DirectContext>, digest: RequestDigest, change: RecordChange) {
    let source = &context.borders.source;
    let mut backoff = RetryBackoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    let begun = context.clock.now();
    while context.clock.now().since(begun) < QUARANTINE_SPAN {
        let written = match change {
            RecordChange::Keep(span) => source.keep_quarantine(digest, span).await,
            RecordChange::End => source.end_quarantine(digest).await,
        };
        match written {
            Ok(()) => {
                info!("quarantine digest={digest} change={change:?} outcome=written");
                return;
            }
            Err(error) => {
                warn!(
                    "quarantine digest={digest} change={change:?} outcome=unwritten reason=\"{error}\""
                );
            }
        }
        let pause = backoff.failed(&mut rand::rng());
        tokio::time::sleep(pause.to_std()).await;
    }
}

//! Follows the catalogue and the instance list of the platform.

use std::sync::Arc;

use kameo::prelude::*;
use log::warn;
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::entry::EntryEvent;
use mustardrill_types::Millis;
use rand::Rng;

use crate::actor::{EntryActor, Event};
use crate::context::{CATALOGUE_KEY, EntryContext};

/// How long one watch waits for a change.
const WATCH: Millis = Millis(20_000);

/// The first wait after a failed watch; each failure doubles it.
const BACKOFF: Millis = Millis(200);

/// The longest wait after a failed watch.
const LONGEST_BACKOFF: Millis = Millis(3_000);

/// Follows the catalogue by one watch. An outage changes nothing of what is in force.
pub(crate) fn spawn_catalogue(actor: ActorRef<EntryActor>, context: Arc<EntryContext>) {
    tokio::spawn(async move {
        let mut known = 0;
        let mut failures = 0_u32;
        let mut patience = Millis(0);
        while !context.halt.is_cancelled() {
            let watched = tokio::select! {
                watched = context.key_value.watch(CATALOGUE_KEY, known, patience) => watched,
                () = context.halt.cancelled() => return,
            };
            patience = WATCH;
            let Ok(value) = watched else {
                failures += 1;
                if failures == 1 {
                    warn!(
                        "catalogue decision=keep reason=\"the key-value service does not answer\""
                    );
                }
                tokio::time::sleep(backoff(failures).to_std()).await;
                // After an outage the first read answers at once.
                patience = Millis(0);
                continue;
            };
            failures = 0;
            if value.revision == known {
                continue;
            }
            known = value.revision;
            match CatalogueDocument::decode(&value.bytes) {
                Ok(document) => {
                    let event = EntryEvent::CatalogueSeen(Arc::new(document));
                    let _ = actor.tell(Event(event)).await;
                }
                Err(error) => {
                    warn!("catalogue revision={known} decision=keep reason=\"{error}\"");
                }
            }
        }
    });
}

/// Reads the instance list again and again.
pub(crate) fn spawn_instances(
    actor: ActorRef<EntryActor>,
    context: Arc<EntryContext>,
    every: Millis,
) {
    tokio::spawn(async move {
        while !context.halt.is_cancelled() {
            if let Ok(listing) = context.instances.read().await {
                let addresses: Vec<_> =
                    listing.instances.iter().map(|record| record.agent.clone()).collect();
                context.agents.retain(&addresses);
                let _ = actor.tell(Event(EntryEvent::EntriesCounted(listing.entries))).await;
                let _ = actor.tell(Event(EntryEvent::InstancesSeen(listing.instances))).await;
            }
            tokio::time::sleep(every.to_std()).await;
        }
    });
}

/// Doubles with each failure, with half of it at random, so that entries don't return in step.
fn backoff(failures: u32) -> Millis {
    let longest = BACKOFF.0.saturating_mul(1 << failures.min(10)).min(LONGEST_BACKOFF.0);
    Millis(rand::rng().random_range(longest / 2..=longest))
}

//! Follows the catalogue and the instance list of the platform.

use std::sync::Arc;

use kameo::prelude::*;
use log::warn;
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::entry::EntryEvent;
use mustardrill_runtime::backoff::RetryBackoff;
use mustardrill_types::Millis;

use crate::actor::{EntryActor, Event};
use crate::context::{CATALOGUE_KEY, EntryContext};

/// How long one watch waits for a change.
const WATCH: Millis = Millis(20_000);

/// The longest wait after a first failed watch; each failure doubles it.
const FIRST_BACKOFF: Millis = Millis(400);

/// The longest wait after a failed watch.
const LONGEST_BACKOFF: Millis = Millis(3_000);

/// Follows the catalogue by one watch. An outage changes nothing of what is in force.
pub(crate) fn spawn_catalogue(actor: ActorRef<EntryActor>, context: Arc<EntryContext>) {
    tokio::spawn(async move {
        let mut known = 0;
        let mut backoff = RetryBackoff::new(FIRST_BACKOFF, LONGEST_BACKOFF);
        let mut is_away = false;
        let mut patience = Millis(0);
        while !context.halt.is_cancelled() {
            let watched = tokio::select! {
                watched = context.key_value.watch(CATALOGUE_KEY, known, patience) => watched,
                () = context.halt.cancelled() => return,
            };
            patience = WATCH;
            let Ok(value) = watched else {
                if !is_away {
                    warn!(
                        "catalogue decision=keep reason=\"the key-value service does not answer\""
                    );
                }
                is_away = true;
                let pause = backoff.failed(&mut rand::rng());
                tokio::time::sleep(pause.to_std()).await;
                // After an outage the first read answers at once.
                patience = Millis(0);
                continue;
            };
            backoff.answered();
            is_away = false;
            if value.revision == known {
                continue;
            }
            known = value.revision;
            match CatalogueDocument::decode(&value.bytes) {
                Ok(document) => {
                    let event = EntryEvent::CatalogueReceived(Arc::new(document));
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
        let mut is_away = false;
        while !context.halt.is_cancelled() {
            match context.instances.read().await {
                Ok(listing) => {
                    is_away = false;
                    let addresses: Vec<_> =
                        listing.instances.iter().map(|record| record.agent.clone()).collect();
                    context.agents.retain(&addresses);
                    let _ = actor.tell(Event(EntryEvent::EntriesCounted(listing.entries))).await;
                    let _ =
                        actor.tell(Event(EntryEvent::InstancesReceived(listing.instances))).await;
                }
                Err(error) if !is_away => {
                    is_away = true;
                    warn!("instances decision=keep reason=\"{error}\"");
                }
                Err(_) => {}
            }
            tokio::time::sleep(every.to_std()).await;
        }
    });
}

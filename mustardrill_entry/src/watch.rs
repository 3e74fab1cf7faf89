//! Watches the catalogue in the platform's key-value service and polls its instance list.

use std::sync::Arc;

use kameo::prelude::*;
use log::warn;
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::entry::EntryEvent;
use mustardrill_runtime::backoff::RetryBackoff;
use mustardrill_runtime::supervision;
use mustardrill_types::Millis;

use crate::actor::{EntryActor, Event};
use crate::context::{CATALOGUE_KEY, EntryContext};

/// How long one watch waits for a change of the catalogue.
const WATCH_WAIT: Millis = Millis(20_000);

/// The longest backoff after the first failed watch; each further failure doubles it.
const FIRST_BACKOFF: Millis = Millis(400);

/// The longest backoff after any number of failed watches.
const MAX_BACKOFF: Millis = Millis(3_000);

/// Starts the task that watches the catalogue. During an outage of the key-value service the
/// catalogue in force stays in force.
pub(crate) fn spawn_catalogue(actor: ActorRef<EntryActor>, context: Arc<EntryContext>) {
    let halt = context.halt.clone();
    supervision::spawn("catalogue", halt, move || follow_catalogue(actor.clone(), context.clone()));
}

async fn follow_catalogue(actor: ActorRef<EntryActor>, context: Arc<EntryContext>) {
    let mut known_revision = 0;
    let mut backoff = RetryBackoff::new(FIRST_BACKOFF, MAX_BACKOFF);
    let mut is_unavailable = false;
    let mut wait = Millis(0);
    loop {
        let (asked_at, asked_wait) = (context.clock.now(), wait);
        let watched = context.key_value.watch(CATALOGUE_KEY, known_revision, wait).await;
        wait = WATCH_WAIT;
        let Ok(value) = watched else {
            if !is_unavailable {
                warn!("catalogue decision=keep reason=\"the key-value service does not answer\"");
            }
            is_unavailable = true;
            let pause = backoff.failed(&mut rand::rng());
            tokio::time::sleep(pause.to_std()).await;
            // After an outage the catalogue is first read without waiting for a change.
            wait = Millis(0);
            continue;
        };
        is_unavailable = false;
        if value.revision == known_revision {
            // A service that does not wait for changes must not be called without pause.
            if context.clock.now().since(asked_at) < Millis(asked_wait.0 / 2) {
                let pause = backoff.failed(&mut rand::rng());
                tokio::time::sleep(pause.to_std()).await;
            } else {
                backoff.answered();
            }
            continue;
        }
        backoff.answered();
        known_revision = value.revision;
        match CatalogueDocument::decode(&value.bytes) {
            Ok(document) => {
                let event = EntryEvent::CatalogueReceived(Arc::new(document));
                let _ = actor.tell(Event(event)).await;
            }
            Err(error) => {
                warn!("catalogue revision={known_revision} decision=keep reason=\"{error}\"");
            }
        }
    }
}

/// Starts the task that reads the instance list every `interval`. If it can't be read, the last one
/// stays in force.
pub(crate) fn spawn_instances(
    actor: ActorRef<EntryActor>,
    context: Arc<EntryContext>,
    interval: Millis,
) {
    let halt = context.halt.clone();
    supervision::spawn("instances", halt, move || {
        follow_instances(actor.clone(), context.clone(), interval)
    });
}

async fn follow_instances(
    actor: ActorRef<EntryActor>,
    context: Arc<EntryContext>,
    interval: Millis,
) {
    let mut is_unavailable = false;
    loop {
        match context.instances.read().await {
            Ok(listing) => {
                is_unavailable = false;
                let addresses: Vec<_> =
                    listing.instances.iter().map(|record| record.agent.clone()).collect();
                context.agents.retain(&addresses);
                let entries = match listing.entry_ids {
                    ids if ids.is_empty() => EntryEvent::EntriesCounted(listing.entries),
                    ids => EntryEvent::EntriesListed(ids, context.clock.wall()),
                };
                let _ = actor.tell(Event(entries)).await;
                let _ = actor.tell(Event(EntryEvent::InstancesReceived(listing.instances))).await;
            }
            Err(error) if !is_unavailable => {
                is_unavailable = true;
                warn!("instances decision=keep reason=\"{error}\"");
            }
            Err(_) => {}
        }
        tokio::time::sleep(interval.to_std()).await;
    }
}

//! Watches the store for changes of the configuration, upstreams, versions and entries.

use std::sync::Arc;

use kameo::prelude::*;
use log::{info, warn};
use mustardrill_core::direct::{
    ChangeCoalescer, DirectEvent, FleetUpdate, NextRead, OwnListing, PeerRecord, ReadOutcome,
    ReadPacing, StoreReader, WatchTiming,
};
use mustardrill_runtime::adapters::{FleetScope, StoreError};
use mustardrill_runtime::backoff::RetryBackoff;
use mustardrill_runtime::supervision;
use mustardrill_types::{Millis, Moment, StoreRevision};
use tokio::sync::{Notify, watch};

use crate::direct::actor::{DirectActor, DirectContext, Event};
use crate::direct::config::DirectConfig;
use crate::direct::registration::keep_registered;

/// The longest backoff after the first failed call. Refused calls are billed like others.
pub(super) const FIRST_BACKOFF: Millis = Millis(300);

/// The longest backoff after any number of failed calls. An entry that can't confirm its
/// configuration as current serves nobody, so it must recover within this time once the store is
/// available again.
pub(super) const MAX_BACKOFF: Millis = Millis(600);

/// Starts the tasks that watch the store and keep the entry registered.
pub(crate) fn spawn(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) {
    let halt = context.halt.clone();
    let store_recovered = Arc::new(Notify::new());
    let (listing_sender, listings) = watch::channel(None);
    let (entry, recovered) = (context.clone(), store_recovered.clone());
    supervision::spawn("store", halt.clone(), move || {
        follow_store(actor.clone(), entry.clone(), recovered.clone(), listing_sender.clone())
    });
    supervision::spawn("registration", halt, move || {
        keep_registered(context.clone(), store_recovered.clone(), listings.clone())
    });
}

async fn follow_store(
    actor: ActorRef<DirectActor>,
    context: Arc<DirectContext>,
    store_recovered: Arc<Notify>,
    listing_sender: watch::Sender<Option<OwnListing>>,
) {
    let mut reader = StoreReader::default();
    let mut backoff = RetryBackoff::new(FIRST_BACKOFF, MAX_BACKOFF);
    let mut coalescer = ChangeCoalescer::default();
    let mut pacing = ReadPacing::default();
    loop {
        let sent_at = context.clock.now();
        let (usual, grace) = (context.config.watch, context.config.direct.expiry_grace);
        let timing = reader.next_watch(sent_at, usual, grace, rand::random());
        let read = reader.revision();
        let read_result = match read_store(&context, read, timing).await {
            Ok(update) => {
                backoff.answered();
                let now = context.clock.now();
                let Some(outcome) = reader.record_answer(now, sent_at, timing, &update) else {
                    info!("store outcome=void era={} at={}", update.era, update.revision);
                    tokio::time::sleep(pacing.record_idle_answer().to_std()).await;
                    continue;
                };
                let pause = pacing.record_answer(now.since(sent_at), timing, read, &update);
                if outcome.is_recovered {
                    store_recovered.notify_one();
                }
                if let Some(listing) = OwnListing::of(&update, &context.config.direct.own_id) {
                    listing_sender.send_replace(Some(listing));
                    let event = DirectEvent::OwnListingRead(listing.is_listed);
                    let _ = actor.tell(Event(event)).await;
                }
                let next = coalescer.next_read(now, &update);
                apply_update(&actor, update, outcome).await;
                tokio::time::sleep(pause.to_std()).await;
                finish_read(&actor, &context, &mut reader, next).await
            }
            Err(error) => Err(error),
        };
        match read_result {
            Ok(()) => {}
            Err(error @ (StoreError::HistoryGone | StoreError::EraChanged)) => {
                info!(
                    "store outcome=read-anew reason=\"{error}\" revision={}",
                    reader.revision().unwrap_or_default()
                );
                reader.reset();
                tokio::time::sleep(pacing.record_idle_answer().to_std()).await;
            }
            Err(error) => {
                warn!("store outcome=failed reason=\"{error}\"");
                let _ = actor.tell(Event(DirectEvent::StoreFailed)).await;
                reader.record_failure();
                // The time that a hanging call took counts towards the pause.
                let elapsed = context.clock.now().since(sent_at);
                let pause = backoff.failed(&mut rand::rng());
                tokio::time::sleep(Millis(pause.0.saturating_sub(elapsed.0)).to_std()).await;
            }
        }
    }
}

async fn apply_update(actor: &ActorRef<DirectActor>, update: FleetUpdate, outcome: ReadOutcome) {
    let _ = actor.tell(Event(DirectEvent::StoreAnswered(update, outcome.confirmed_at))).await;
    confirm_read(actor, outcome.read_through).await;
}

/// Asks whether everything has been read, where no answer has shown that for a while, and pauses
/// before the next read unless there is more.
async fn finish_read(
    actor: &ActorRef<DirectActor>,
    context: &DirectContext,
    reader: &mut StoreReader,
    next: NextRead,
) -> Result<(), StoreError> {
    let asked_at = context.clock.now();
    if reader.is_proof_due(asked_at, context.config.direct.expiry_grace) {
        let (revision, era) = context.adapters.fleet_source.read_revision().await?;
        confirm_read(actor, reader.record_revision(asked_at, era, revision)).await;
    }
    if !reader.is_behind() {
        tokio::time::sleep(next.pause.to_std()).await;
    }
    if next.is_snapshot {
        reader.reset();
    }
    Ok(())
}

async fn confirm_read(actor: &ActorRef<DirectActor>, read_through: Option<Moment>) {
    if let Some(moment) = read_through {
        let _ = actor.tell(Event(DirectEvent::StoreReadThrough(moment))).await;
    }
}

async fn read_store(
    context: &DirectContext,
    revision: Option<StoreRevision>,
    timing: WatchTiming,
) -> Result<FleetUpdate, StoreError> {
    let fleet_source = &context.adapters.fleet_source;
    match revision {
        Some(revision) => fleet_source.read_changes(FleetScope::All, revision, timing).await,
        None => fleet_source.read_all().await,
    }
}

/// The record under which peers and agents know this entry.
pub(crate) fn own_record(config: &DirectConfig) -> PeerRecord {
    PeerRecord {
        id: config.direct.own_id.clone(),
        address: config.peer_listen,
        data_centre: config.direct.data_centre.clone(),
        link_mbps: config.link_mbps as u32,
    }
}

//! Watches the store for announced versions, and polls the engine for its state.

use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use log::{info, warn};
use mustardrill_core::direct::{CursorVerdict, FleetChange, ReadPacing, StoreCursor, WatchTiming};
use mustardrill_core::provisioning::{EngineView, ProvisioningEvent};
use mustardrill_runtime::adapters::{
    EngineState, FleetPart, FleetScope, StagingOutcome, StoreError,
};
use mustardrill_runtime::backoff::RetryBackoff;
use mustardrill_runtime::supervision;
use mustardrill_types::Millis;

use crate::provisioning::actor::{BusyQuery, Event, ProvisioningActor, ProvisioningContext};
use crate::provisioning::early_chunks::EarlyChunks;
use crate::provisioning::fleet;

/// The longest backoff after the first failed call.
const FIRST_BACKOFF: Millis = Millis(400);

/// The longest backoff after any failed call. Refused calls are billed, and agents outnumber
/// entries; entries retry more often and notify the agents.
const MAX_BACKOFF: Millis = Millis(2_000);

/// Interval of the reducer's ticks while chunks are fetched or a load order is in progress: a chunk
/// takes about 30 ms on the links of the engines.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which the engine is polled while chunks are fetched or a load order is in progress.
const BUSY_POLL_INTERVAL: Millis = Millis(100);

/// Starts the tasks that watch the store and poll the engine.
pub(crate) fn spawn(actor: ActorRef<ProvisioningActor>, context: Arc<ProvisioningContext>) {
    let halt = context.halt.clone();
    let (follower, followed) = (actor.clone(), context.clone());
    supervision::spawn("store", halt.clone(), move || {
        follow_store(follower.clone(), followed.clone())
    });
    supervision::spawn("engine", halt, move || poll_engine(actor.clone(), context.clone()));
}

async fn follow_store(actor: ActorRef<ProvisioningActor>, context: Arc<ProvisioningContext>) {
    let fleet_source = &context.adapters.fleet_source;
    let (mut cursor, mut scope) = (StoreCursor::default(), FleetScope::Operator);
    let mut has_read = false;
    let mut backoff = RetryBackoff::new(FIRST_BACKOFF, MAX_BACKOFF);
    let mut pacing = ReadPacing::default();
    let timing = WatchTiming::for_agent(context.config.watch_time);
    loop {
        let (sent_at, read) = (context.clock.now(), cursor.revision());
        let read_result = match read {
            Some(revision) => fleet_source.read_changes(scope, revision, timing).await,
            // An agent needs only a few lines of the configuration. If each agent read everything
            // after an outage, that would fill the links between regions just when entries read it.
            None if has_read && scope == FleetScope::Versions => {
                fleet_source.read_part(FleetPart::Versions).await
            }
            // The answer of an entry may be older than the history that the store keeps.
            None if has_read => fleet_source.read_all().await,
            None => match fleet::read_from_entries(&context).await {
                Some(update) => Ok(update),
                None => fleet_source.read_all().await,
            },
        };
        has_read |= read_result.is_ok();
        match read_result {
            Ok(update) => {
                backoff.answered();
                let elapsed = context.clock.now().since(sent_at);
                let pause = pacing.record_answer(elapsed, timing, read, &update);
                let verdict = cursor.take(&update);
                if !matches!(verdict, CursorVerdict::Taken { .. }) {
                    info!("store outcome=void era={} reason={verdict:?}", update.era);
                    // Entries of the data centre have read the new era, or will soon: ask them
                    // first.
                    has_read = false;
                    let delay = backoff.failed(&mut rand::rng());
                    tokio::time::sleep(delay.to_std()).await;
                    continue;
                }
                if update.changes.iter().any(|change| matches!(change, FleetChange::Configured(_)))
                {
                    scope = FleetScope::Versions;
                }
                let _ = actor.tell(Event(ProvisioningEvent::FleetUpdated(update))).await;
                tokio::time::sleep(pause.to_std()).await;
            }
            Err(error @ (StoreError::HistoryGone | StoreError::EraChanged)) => {
                info!(
                    "store outcome=read-anew reason=\"{error}\" revision={}",
                    cursor.revision().unwrap_or_default()
                );
                cursor.reset();
                tokio::time::sleep(pacing.record_idle_answer().to_std()).await;
            }
            Err(error) => {
                warn!("dependency=store outcome=failed reason=\"{error}\"");
                let delay = backoff.failed(&mut rand::rng());
                tokio::time::sleep(delay.to_std()).await;
            }
        }
    }
}

/// Polls the engine for its state; both polls and ticks come more often while there is work.
async fn poll_engine(actor: ActorRef<ProvisioningActor>, context: Arc<ProvisioningContext>) {
    loop {
        let state = context.adapters.engine.state().await.map(engine_view);
        if state.is_some() {
            stage_early_chunks(&context).await;
        }
        let _ = actor.tell(Event(ProvisioningEvent::EnginePolled(state))).await;
        let polled_at = context.clock.now();
        loop {
            let is_busy = actor.ask(BusyQuery).await.unwrap_or(false);
            let (tick_interval, poll_interval) = if is_busy {
                (BUSY_TICK_INTERVAL, BUSY_POLL_INTERVAL)
            } else {
                (context.config.engine_poll_interval.to_std(), context.config.engine_poll_interval)
            };
            tokio::time::sleep(tick_interval).await;
            if context.clock.now().since(polled_at) >= poll_interval {
                break;
            }
            let _ = actor.tell(Event(ProvisioningEvent::Tick)).await;
        }
    }
}

/// Stages the chunks that were buffered before the engine first answered. Staged chunks are read
/// back before a load is ordered, so one that could not be staged is fetched again.
async fn stage_early_chunks(context: &ProvisioningContext) {
    let Some(EarlyChunks { version: Some(version), chunks }) = context.early_chunks.close() else {
        return;
    };
    info!("weights version={version} decision=stage-kept chunks={}", chunks.len());
    for (index, bytes) in chunks {
        let outcome = context.adapters.engine.stage(&version.model, index, bytes).await;
        if outcome != StagingOutcome::Staged {
            warn!("chunk version={version} index={index} outcome=not-staged");
        }
    }
}

fn engine_view(state: EngineState) -> EngineView {
    let EngineState { start, busy, sequence, serving, .. } = state;
    EngineView { start, busy, sequence, serving }
}

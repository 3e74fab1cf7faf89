//! Follows the versions named in the store, and the engine's state.

use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use log::{info, warn};
use mustardrill_core::direct::{CursorVerdict, FleetChange, StoreCursor, WatchTiming};
use mustardrill_core::provisioning::{EngineView, ProvisioningEvent};
use mustardrill_runtime::adapters::{EngineState, FleetPart, FleetScope, StoreError};
use mustardrill_runtime::backoff::RetryBackoff;
use mustardrill_types::Millis;

use crate::stock::actor::{BusyQuery, Event, StockActor, StockContext};
use crate::stock::fleet;
use crate::stock::shelf::ShelfContent;

/// The longest pause after a first call that failed.
const FIRST_PAUSE: Millis = Millis(400);

/// The longest pause after any. Refused calls are billed, and agents outnumber entries, which ask more
/// often and tell agents.
const LONGEST_PAUSE: Millis = Millis(2_000);

/// How often the time is looked at while chunks are drawn or an order is under way: a chunk takes
/// about 30 ms on the links of the engines.
const BUSY_EVERY: Duration = Duration::from_millis(25);

/// How often the engine is asked while there is something to be done.
const BUSY_LOOK: Millis = Millis(100);

/// Starts following the store and the engine.
pub(crate) fn spawn(actor: ActorRef<StockActor>, context: Arc<StockContext>) {
    let halt = context.halt.clone();
    let following = follow(actor.clone(), context.clone());
    tokio::spawn(halt.clone().run_until_cancelled_owned(following));
    tokio::spawn(halt.run_until_cancelled_owned(look(actor, context)));
}

async fn follow(actor: ActorRef<StockActor>, context: Arc<StockContext>) {
    let source = &context.borders.source;
    let (mut cursor, mut scope) = (StoreCursor::default(), FleetScope::Operator);
    let mut begun = false;
    let mut backoff = RetryBackoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    loop {
        let read = match cursor.revision() {
            Some(revision) => {
                let span = WatchTiming::for_agent(context.config.watch);
                source.read_changes(scope, revision, span).await
            }
            // A whole reading by each agent, with a configuration of which it needs some lines, fills
            // the links between regions just as entries read it after an outage.
            None if begun && scope == FleetScope::Versions => {
                source.read_part(FleetPart::Versions).await
            }
            // What an entry tells may be older than the history that the store keeps.
            None if begun => source.read_all().await,
            None => match fleet::read(&context).await {
                Some(page) => Ok(page),
                None => source.read_all().await,
            },
        };
        begun |= read.is_ok();
        match read {
            Ok(page) => {
                backoff.answered();
                let verdict = cursor.take(&page);
                if !matches!(verdict, CursorVerdict::Taken { .. }) {
                    info!("store outcome=void era={} reason={verdict:?}", page.era);
                    // Entries near by have read the new era, or are about to.
                    begun = false;
                    let pause = backoff.failed(&mut rand::rng());
                    tokio::time::sleep(pause.to_std()).await;
                    continue;
                }
                if page.changes.iter().any(|change| matches!(change, FleetChange::Configured(_))) {
                    scope = FleetScope::Versions;
                }
                let _ = actor.tell(Event(ProvisioningEvent::FleetUpdated(page))).await;
            }
            Err(error @ (StoreError::HistoryGone | StoreError::EraChanged)) => {
                info!(
                    "store outcome=read-anew reason=\"{error}\" revision={}",
                    cursor.revision().unwrap_or_default()
                );
                cursor.reset();
            }
            Err(error) => {
                warn!("dependency=store outcome=failed reason=\"{error}\"");
                let pause = backoff.failed(&mut rand::rng());
                tokio::time::sleep(pause.to_std()).await;
            }
        }
    }
}

/// Asks the engine for its state, and looks at the time more often while there is work.
async fn look(actor: ActorRef<StockActor>, context: Arc<StockContext>) {
    loop {
        let state = context.borders.engine.state().await.map(view);
        if state.is_some() {
            stage_kept(&context).await;
        }
        let _ = actor.tell(Event(ProvisioningEvent::EnginePolled(state))).await;
        let asked = context.clock.now();
        loop {
            let busy = actor.ask(BusyQuery).await.unwrap_or(false);
            let (pause, look) = if busy {
                (BUSY_EVERY, BUSY_LOOK)
            } else {
                (context.config.look_every.to_std(), context.config.look_every)
            };
            tokio::time::sleep(pause).await;
            if context.clock.now().since(asked) >= look {
                break;
            }
            let _ = actor.tell(Event(ProvisioningEvent::Tick)).await;
        }
    }
}

/// Stages what came before the engine first answered. The staged chunks are read back before any
/// order, so one that could not be staged is drawn again.
async fn stage_kept(context: &StockContext) {
    let Some(ShelfContent { version: Some(version), chunks }) = context.shelf.close() else {
        return;
    };
    info!("weights version={version} decision=stage-kept chunks={}", chunks.len());
    for (index, bytes) in chunks {
        if !context.borders.engine.stage(&version.model, index, bytes).await {
            warn!("chunk version={version} index={index} outcome=not-staged");
        }
    }
}

fn view(state: EngineState) -> EngineView {
    let EngineState { start, busy, sequence, serving, .. } = state;
    EngineView { start, busy, sequence, serving }
}

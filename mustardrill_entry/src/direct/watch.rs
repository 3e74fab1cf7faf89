//! Follows the store: configuration, upstreams, versions, and the entries' own registrations.

use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use log::{info, warn};
use mustardrill_core::direct::{
    ChangeCoalescer, DirectEvent, FleetUpdate, PeerRecord, StoreReader, WatchTiming,
};
use mustardrill_runtime::backoff::RetryBackoff;
use mustardrill_runtime::border::{FleetScope, StoreError};
use mustardrill_types::{Millis, StoreRevision};
use tokio::sync::Notify;

use crate::direct::actor::{DirectActor, DirectContext, Event};
use crate::direct::config::DirectConfig;

/// The longest pause after a first call that failed. Refused calls are billed like others.
const FIRST_PAUSE: Millis = Millis(300);

/// The longest pause after any. An entry without a proof of its configuration serves nobody, so it
/// is back within this of the store's return.
const LONGEST_PAUSE: Millis = Millis(600);

/// The pause after an answer of another history than was read: two stores behind one address that
/// answer in turn are not asked without an end.
const VOID_PAUSE: Duration = Duration::from_millis(20);

/// How long a registration outlives its entry.
const LEASE_SPAN: Millis = Millis(10_000);

/// How often it is renewed: a renewal may fail twice.
const RENEW_EVERY: Millis = Millis(3_000);

/// Starts following the store, and registers the entry.
pub(crate) fn spawn(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) {
    let halt = context.halt.clone();
    let regained = Arc::new(Notify::new());
    let following = follow(actor, context.clone(), regained.clone());
    tokio::spawn(halt.clone().run_until_cancelled_owned(following));
    tokio::spawn(halt.run_until_cancelled_owned(register(context, regained)));
}

async fn follow(actor: ActorRef<DirectActor>, context: Arc<DirectContext>, regained: Arc<Notify>) {
    let mut reader = StoreReader::default();
    let mut backoff = RetryBackoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    let mut gathering = ChangeCoalescer::default();
    loop {
        let sent = context.clock.now();
        let span =
            reader.next_watch(sent, context.config.watch, context.config.direct.expiry_grace);
        match read(&context, reader.revision(), span).await {
            Ok(page) => {
                backoff.answered();
                let now = context.clock.now();
                let Some(outcome) = reader.record_answer(now, sent, span, &page) else {
                    info!("store outcome=void era={} at={}", page.era, page.revision);
                    tokio::time::sleep(VOID_PAUSE).await;
                    continue;
                };
                if outcome.is_recovered {
                    regained.notify_one();
                }
                let next = gathering.next_read(now, &page);
                let _ =
                    actor.tell(Event(DirectEvent::StoreAnswered(page, outcome.confirmed_at))).await;
                tokio::time::sleep(next.pause.to_std()).await;
                if next.is_snapshot {
                    reader.reset();
                }
            }
            Err(error @ (StoreError::HistoryGone | StoreError::EraChanged)) => {
                info!(
                    "store outcome=read-anew reason=\"{error}\" revision={}",
                    reader.revision().unwrap_or_default()
                );
                reader.reset();
                tokio::time::sleep(VOID_PAUSE).await;
            }
            Err(error) => {
                warn!("store outcome=failed reason=\"{error}\"");
                let _ = actor.tell(Event(DirectEvent::StoreFailed)).await;
                reader.record_failure();
                // A call that hung has paused enough.
                let spent = context.clock.now().since(sent);
                let pause = backoff.failed(&mut rand::rng());
                tokio::time::sleep(Millis(pause.0.saturating_sub(spent.0)).to_std()).await;
            }
        }
    }
}

async fn read(
    context: &DirectContext,
    revision: Option<StoreRevision>,
    span: WatchTiming,
) -> Result<FleetUpdate, StoreError> {
    let source = &context.borders.source;
    match revision {
        Some(revision) => source.read_changes(FleetScope::Whole, revision, span).await,
        None => source.read_all().await,
    }
}

/// The entry as the others and the agents know it.
pub(crate) fn own_record(config: &DirectConfig) -> PeerRecord {
    PeerRecord {
        id: config.direct.own_id.clone(),
        address: config.peer_listen,
        data_centre: config.direct.data_centre.clone(),
        link_mbps: config.link_mbps as u32,
    }
}

/// Keeps the entry registered. The registration may have run out while the store was away, and who
/// is not registered is told nothing by the others, so it is renewed as soon as the store is back.
async fn register(context: Arc<DirectContext>, regained: Arc<Notify>) {
    let peer = own_record(&context.config);
    let source = &context.borders.source;
    let mut backoff = RetryBackoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    loop {
        let lease = match source.announce(&peer, LEASE_SPAN).await {
            Ok(lease) => lease,
            Err(error) => {
                warn!("registration outcome=failed reason=\"{error}\"");
                pause(&mut backoff).await;
                continue;
            }
        };
        backoff.answered();
        info!("registration lease={lease} outcome=made");
        loop {
            let _ = tokio::time::timeout(RENEW_EVERY.to_std(), regained.notified()).await;
            match source.renew(lease).await {
                Ok(()) => {}
                Err(StoreError::LeaseGone) => break,
                Err(error) => warn!("registration lease={lease} outcome=late reason=\"{error}\""),
            }
        }
    }
}

async fn pause(backoff: &mut RetryBackoff) {
    let pause = backoff.failed(&mut rand::rng());
    tokio::time::sleep(pause.to_std()).await;
}

//! Keeps this entry registered in the store.

use std::sync::Arc;

use log::{info, warn};
use mustardrill_core::direct::{
    OwnListing, PeerRecord, RegistrationCall, RegistrationKeeper, RegistrationWrite,
};
use mustardrill_runtime::adapters::StoreError;
use mustardrill_runtime::backoff::RetryBackoff;
use mustardrill_types::Millis;
use tokio::sync::{Notify, watch};

use crate::direct::actor::DirectContext;
use crate::direct::watch::{FIRST_BACKOFF, MAX_BACKOFF, own_record};

/// Lease of the entry's registration: how long it stays listed after the entry has ended.
const REGISTRATION_LEASE: Millis = Millis(10_000);

/// Interval between renewals of the lease: two in a row may fail.
const RENEW_INTERVAL: Millis = Millis(3_000);

/// Keeps the entry registered. Peers send nothing to an entry that is not registered. Its lease may
/// have expired while the store was unavailable, so it is renewed as soon as the store is available
/// again, and an entry that is no longer listed registers at once.
pub(super) async fn keep_registered(
    context: Arc<DirectContext>,
    store_recovered: Arc<Notify>,
    mut listings: watch::Receiver<Option<OwnListing>>,
) {
    let peer = own_record(&context.config);
    let mut keeper = RegistrationKeeper::default();
    let mut backoff = RetryBackoff::new(FIRST_BACKOFF, MAX_BACKOFF);
    loop {
        let call = keeper.next_call();
        let outcome = carry_out(&context, &peer, &mut keeper, call).await;
        let is_renewal = matches!(call, RegistrationCall::Renew(_));
        if let Err(error) = outcome {
            warn!("registration call={call:?} outcome=failed reason=\"{error}\"");
            if matches!(error, StoreError::LeaseGone | StoreError::EraChanged) {
                keeper.record_lease_end();
            }
            if !is_renewal {
                wait_backoff(&mut backoff).await;
            }
        } else if keeper.next_call() == call && !is_renewal {
            wait_backoff(&mut backoff).await;
        } else {
            backoff.answered();
        }
        if matches!(keeper.next_call(), RegistrationCall::Renew(_)) {
            wait_until_due(&mut keeper, &store_recovered, &mut listings).await;
        }
    }
}

async fn carry_out(
    context: &DirectContext,
    peer: &PeerRecord,
    keeper: &mut RegistrationKeeper,
    call: RegistrationCall,
) -> Result<(), StoreError> {
    let fleet_source = &context.adapters.fleet_source;
    match call {
        RegistrationCall::Grant => {
            keeper.record_grant(fleet_source.grant_lease(REGISTRATION_LEASE).await?);
        }
        RegistrationCall::Write(lease, expected) => {
            let written = fleet_source.register(peer, lease, expected).await?;
            match written {
                RegistrationWrite::Written(revision) => {
                    info!("registration lease={lease} revision={revision} outcome=made");
                }
                RegistrationWrite::Differs(held) => info!(
                    "registration lease={lease} expected={expected} held={} held_lease={} \
                     outcome=differs",
                    held.revision, held.lease
                ),
            }
            keeper.record_write(written);
        }
        RegistrationCall::Renew(lease) => fleet_source.renew(lease).await?,
    }
    Ok(())
}

/// Waits until the lease is to be renewed, or the registration to be made again.
async fn wait_until_due(
    keeper: &mut RegistrationKeeper,
    store_recovered: &Notify,
    listings: &mut watch::Receiver<Option<OwnListing>>,
) {
    let interval = tokio::time::sleep(RENEW_INTERVAL.to_std());
    tokio::pin!(interval);
    loop {
        tokio::select! {
            () = &mut interval => return,
            () = store_recovered.notified() => return,
            Ok(()) = listings.changed() => {
                let listing = *listings.borrow_and_update();
                if listing.is_some_and(|listing| keeper.record_listing(listing)) {
                    warn!("registration outcome=lost reason=unlisted");
                    return;
                }
            }
        }
    }
}

async fn wait_backoff(backoff: &mut RetryBackoff) {
    let pause = backoff.failed(&mut rand::rng());
    tokio::time::sleep(pause.to_std()).await;
}

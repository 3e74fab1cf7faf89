//! Reads the fleet from an entry of the data centre: when the agent starts, when a version is
//! announced, and before the agent notifies entries of its engine's state.
//!
//! When a version is announced, every agent needs to know which others need it. If each of them
//! read the store, all registrations would cross the links between regions together with the
//! chunks. An entry has read them already and returns them within the data centre.

use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use log::info;
use mustardrill_core::direct::{FleetChange, FleetUpdate, PeerRecord};
use mustardrill_core::relays::{RelayItem, RelayTable};
use mustardrill_runtime::adapters::{FleetPart, StoreError};
use mustardrill_runtime::fleet_digest::FleetDigest;
use mustardrill_runtime::http::request;
use mustardrill_runtime::peer_call::PeerCall;

use crate::provisioning::actor::ProvisioningContext;

/// How long an entry may take to answer, which it does from memory.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(500);

/// How many times entries are asked before the agent reads the store itself. Where everything
/// starts at once, an entry takes up to a second to read a large configuration.
const MAX_ROUNDS: u32 = 5;

const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// The largest answer accepted from an entry.
const DIGEST_LIMIT_BYTES: usize = 4 << 20;

/// Reads the fleet from an entry of the agent's data centre; `None` where no entry answered.
pub(crate) async fn read_from_entries(context: &ProvisioningContext) -> Option<FleetUpdate> {
    for round in 0..MAX_ROUNDS {
        if round > 0 {
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
        let entries = match entries(context).await {
            Ok(entries) => entries,
            Err(error) => {
                info!("fleet outcome=unread source=store reason=\"{error}\"");
                continue;
            }
        };
        if let Some(update) = ask_entry(context, entries, round).await {
            return Some(update);
        }
    }
    None
}

/// Reads the fleet from one of the known entries; `None` where it did not answer.
pub(crate) async fn ask_known_entry(context: &ProvisioningContext) -> Option<FleetUpdate> {
    let known = context.entries.lock().await.entries().to_vec();
    let update = ask_entry(context, known, 0).await?;
    record_entries(context, &update).await;
    Some(update)
}

/// The entries as they are known, or read from an entry or else the store where they are due to be
/// read again.
pub(crate) async fn entries(context: &ProvisioningContext) -> Result<Vec<PeerRecord>, StoreError> {
    if is_read_due(context).await
        && let Some(update) = ask_known_entry(context).await
    {
        return Ok(peers_of(&update));
    }
    entries_from_store(context).await
}

/// The entries as they are known, or read from the store where they are due to be read again. The
/// lock is not held during the read, so that notices to the known entries do not wait for the
/// store.
pub(crate) async fn entries_from_store(
    context: &ProvisioningContext,
) -> Result<Vec<PeerRecord>, StoreError> {
    if !is_read_due(context).await {
        return Ok(context.entries.lock().await.entries().to_vec());
    }
    let update = context.adapters.fleet_source.read_part(FleetPart::Entries).await?;
    record_entries(context, &update).await;
    Ok(peers_of(&update))
}

async fn is_read_due(context: &ProvisioningContext) -> bool {
    let now = context.clock.now();
    context.entries.lock().await.is_refresh_due(now)
}

async fn record_entries(context: &ProvisioningContext, update: &FleetUpdate) {
    let now = context.clock.now();
    context.entries.lock().await.update(now, peers_of(update));
}

fn peers_of(update: &FleetUpdate) -> Vec<PeerRecord> {
    let peers = update.changes.iter().filter_map(|change| match change {
        FleetChange::Peer(peer) => Some(peer.clone()),
        _ => None,
    });
    peers.collect()
}

async fn ask_entry(
    context: &ProvisioningContext,
    entries: Vec<PeerRecord>,
    round: u32,
) -> Option<FleetUpdate> {
    let (data_centre, service) =
        (&context.config.settings.data_centre, &context.config.settings.service);
    let mut table = RelayTable::default();
    table.set_relays(entries);
    // The subject spreads the agents over the entries, and picks another entry in each round.
    let subject = format!("{}/{round}", context.config.settings.own_id);
    let entry = table.nearest(context.clock.now(), &subject, RelayItem::List, data_centre)?;
    let uri = format!("http://{}{}", entry.address, PeerCall::Fleet(service.clone()));
    let call = context.peer_client.call(
        request("GET", &uri, Bytes::new()),
        ENTRY_TIMEOUT,
        DIGEST_LIMIT_BYTES,
    );
    let update = match call.await {
        Ok(answer) if answer.status == StatusCode::OK => {
            FleetDigest::read(&answer.body)?.into_snapshot(service)
        }
        Ok(answer) => {
            info!("fleet outcome=unread source={} status={}", entry.id, answer.status);
            None
        }
        Err(error) => {
            info!("fleet outcome=unread source={} reason=\"{error}\"", entry.id);
            None
        }
    };
    if let Some(update) = &update {
        info!("fleet outcome=read source={} revision={}", entry.id, update.revision);
    }
    update
}

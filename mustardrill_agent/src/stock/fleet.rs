//! Learns of the fleet from an entry near by: when the agent starts, when a version is named, and
//! before the agent tells entries of its engine.
//!
//! Load pattern: a version is named, and every agent wants to know who else needs it. Read from the
//! store by each of them, all registrations cross the links between regions just as the chunks do.
//! An entry has read it all and tells it within the data centre.

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

use crate::stock::actor::StockContext;

/// How long an entry may take: it has everything in memory.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(500);

/// How often entries are asked before the agent reads the store itself. They start at the same
/// time as the agents where all do, and take up to a second to read a large configuration.
const ROUNDS: u32 = 5;

/// The pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// The largest answer taken.
const DIGEST_LIMIT: usize = 4 << 20;

/// What an entry of the agent's data centre tells of the fleet; nothing where none can.
pub(crate) async fn read(context: &StockContext) -> Option<FleetUpdate> {
    for round in 0..ROUNDS {
        if round > 0 {
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        let entries = match entries(context).await {
            Ok(entries) => entries,
            Err(error) => {
                info!("fleet outcome=unread source=store reason=\"{error}\"");
                continue;
            }
        };
        if let Some(page) = ask_entry(context, entries, round).await {
            return Some(page);
        }
    }
    None
}

/// What one of the entries known from before tells of the fleet; nothing where none can.
pub(crate) async fn ask_known(context: &StockContext) -> Option<FleetUpdate> {
    let known = context.entries.lock().await.entries().to_vec();
    let page = ask_entry(context, known, 0).await?;
    note_entries(context, &page).await;
    Some(page)
}

/// The entries, as an entry or else the store tells where they were not read lately.
pub(crate) async fn entries(context: &StockContext) -> Result<Vec<PeerRecord>, StoreError> {
    if is_due(context).await
        && let Some(page) = ask_known(context).await
    {
        return Ok(entries_of(&page));
    }
    stored_entries(context).await
}

/// The entries, as the store tells where they were not read lately. The book is not held meanwhile,
/// so that a word to those that are known does not wait for the store.
pub(crate) async fn stored_entries(context: &StockContext) -> Result<Vec<PeerRecord>, StoreError> {
    if !is_due(context).await {
        return Ok(context.entries.lock().await.entries().to_vec());
    }
    let page = context.borders.source.read_part(FleetPart::Entries).await?;
    note_entries(context, &page).await;
    Ok(entries_of(&page))
}

async fn is_due(context: &StockContext) -> bool {
    let now = context.clock.now();
    context.entries.lock().await.is_refresh_due(now)
}

async fn note_entries(context: &StockContext, page: &FleetUpdate) {
    let now = context.clock.now();
    context.entries.lock().await.update(now, entries_of(page));
}

fn entries_of(page: &FleetUpdate) -> Vec<PeerRecord> {
    let peers = page.changes.iter().filter_map(|change| match change {
        FleetChange::Peer(peer) => Some(peer.clone()),
        _ => None,
    });
    peers.collect()
}

async fn ask_entry(
    context: &StockContext,
    entries: Vec<PeerRecord>,
    round: u32,
) -> Option<FleetUpdate> {
    let (centre, service) = (&context.config.stock.data_centre, &context.config.stock.service);
    let mut table = RelayTable::default();
    table.set_relays(entries);
    // Each agent asks in an order of its own, and another entry in each round.
    let subject = format!("{}/{round}", context.config.stock.own);
    let entry = table.nearest(context.clock.now(), &subject, RelayItem::List, centre)?;
    let uri = format!("http://{}{}", entry.address, PeerCall::Fleet(service.clone()));
    let call = context.client.call(request("GET", &uri, Bytes::new()), ENTRY_TIMEOUT, DIGEST_LIMIT);
    let page = match call.await {
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
    if let Some(page) = &page {
        info!("fleet outcome=read source={} revision={}", entry.id, page.revision);
    }
    page
}

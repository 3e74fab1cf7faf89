//! Learns of the fleet from an entry near by, when the agent starts.

use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use log::info;
use mustardrill_core::direct::{FleetPage, PeerRecord};
use mustardrill_core::relays::{RelayItem, RelayTable};
use mustardrill_runtime::fleet_digest::FleetDigest;
use mustardrill_runtime::http::request;
use mustardrill_runtime::peer_call::PeerCall;

use crate::stock::actor::StockContext;
use crate::stock::effects;

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
pub(crate) async fn read(context: &StockContext) -> Option<FleetPage> {
    for round in 0..ROUNDS {
        if round > 0 {
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        let entries = match effects::entries(context).await {
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

async fn ask_entry(
    context: &StockContext,
    entries: Vec<PeerRecord>,
    round: u32,
) -> Option<FleetPage> {
    let (centre, service) = (&context.config.stock.data_centre, &context.config.stock.service);
    let mut table = RelayTable::default();
    table.set(entries);
    // Each agent asks in an order of its own, and another entry in each round.
    let subject = format!("{}/{round}", context.config.stock.own);
    let entry = table.nearest(context.clock.now(), &subject, RelayItem::List, centre)?;
    let uri = format!("http://{}{}", entry.address, PeerCall::Fleet(service.clone()));
    let call = context.client.call(request("GET", &uri, Bytes::new()), ENTRY_TIMEOUT, DIGEST_LIMIT);
    let page = match call.await {
        Ok(answer) if answer.status == StatusCode::OK => {
            FleetDigest::read(&answer.body)?.into_page(service)
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
        info!("fleet outcome=read source={} revision={}", entry.id, page.at);
    }
    page
}

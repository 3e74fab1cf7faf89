//! Queries peer entries by datagram, and answers their queries: since when the store has answered,
//! which configuration is in force and when versions were announced.
//!
//! Answers carry ages, and a datagram may have waited in the socket of a suspended process. An age
//! therefore counts only if the querying entry's own clock shows that the answer came without
//! delay.

use std::net::SocketAddr;

use kameo::prelude::*;
use mustardrill_core::direct::{DirectEvent, PeerRecord};
use mustardrill_runtime::datagram::{AvailabilityRow, Datagram};
use mustardrill_types::{Generation, Millis, Moment};
use rand::Rng;

use crate::direct::actor::{AvailabilityQuery, DirectActor, DirectContext, Event};

/// Peers queried at a time. One to which the store was available all the time is enough.
const PEERS_PER_QUERY: usize = 8;

/// Queries peers at a limited rate.
#[derive(Debug, Default)]
pub(crate) struct AvailabilityQuerier {
    last_query_at: Moment,
}

impl AvailabilityQuerier {
    /// Queries up to `PEERS_PER_QUERY` peers, unless the last query was less than `interval` ago.
    pub(crate) async fn query_peers(
        &mut self,
        context: &DirectContext,
        peers: &[PeerRecord],
        interval: Millis,
    ) {
        let now = context.clock.now();
        if now.since(self.last_query_at) < interval || peers.is_empty() {
            return;
        }
        self.last_query_at = now;
        let mut datagram = Datagram::new(&context.config.direct.own_id);
        datagram.availability_request = Some(now.0);
        let bytes = datagram.to_bytes();
        let first = rand::rng().random_range(0..peers.len());
        let queried = peers.iter().cycle().skip(first).take(peers.len().min(PEERS_PER_QUERY));
        for peer in queried {
            context.send_datagram(peer.address, &bytes).await;
        }
    }
}

/// Answers a peer whose query carries `requested_at`, its own clock's time in milliseconds when it
/// made the query.
pub(crate) async fn send_answer(
    actor: &ActorRef<DirectActor>,
    context: &DirectContext,
    to: SocketAddr,
    requested_at: u64,
) {
    let Ok(reply) = actor.ask(AvailabilityQuery).await else { return };
    let Some(span) = reply.availability_span else { return };
    let mut datagram = Datagram::new(&context.config.direct.own_id);
    let now = context.clock.now();
    let row = AvailabilityRow::new(now, span, reply.generation, requested_at);
    datagram.availability = Some(row.with_announcements(now, reply.announcements));
    context.send_datagram(to, &datagram.to_bytes()).await;
}

/// Passes a peer's answer to the reducer; its ages only if it came without delay.
pub(crate) async fn process_answer(
    actor: &ActorRef<DirectActor>,
    now: Moment,
    row: &AvailabilityRow,
) {
    if let Some(span) = row.span(now) {
        let _ = actor.tell(Event(DirectEvent::AvailabilityReceived(span))).await;
    }
    let announcements = row.announcements(now);
    if !announcements.is_empty() {
        let _ = actor.tell(Event(DirectEvent::AnnouncementsReceived(announcements))).await;
    }
    // Generations only increase, so this one counts however long the answer took.
    let generation = Generation(row.generation);
    let _ = actor.tell(Event(DirectEvent::GenerationReceived(generation))).await;
}

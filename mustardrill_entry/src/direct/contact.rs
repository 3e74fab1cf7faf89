//! Asks the other entries since when the store has answered them, which configuration they have and
//! when versions were named, and answers them.
//!
//! Ages that come by datagram may have waited in the socket of a process that stood still. An answer
//! therefore counts only where the asker knows by its own clock that it came at once.

use std::net::SocketAddr;

use kameo::prelude::*;
use mustardrill_core::direct::{DirectEvent, PeerRecord};
use mustardrill_runtime::datagram::{ContactRow, Datagram};
use mustardrill_types::{Generation, Millis, Moment};
use rand::Rng;

use crate::direct::actor::{ContactQuery, DirectActor, DirectContext, Event};

/// How many are asked each time; one that was in touch with the store all the while is enough.
const ASKED_AT_ONCE: usize = 8;

/// When the others were asked last.
#[derive(Debug, Default)]
pub(crate) struct ContactAsker {
    asked_at: Moment,
}

impl ContactAsker {
    /// Asks some of the other entries, unless they were asked less than `every` ago.
    pub(crate) async fn ask(
        &mut self,
        context: &DirectContext,
        peers: &[PeerRecord],
        every: Millis,
    ) {
        let now = context.clock.now();
        if now.since(self.asked_at) < every || peers.is_empty() {
            return;
        }
        self.asked_at = now;
        let mut datagram = Datagram::new(&context.config.direct.own_id);
        datagram.contact_ask = Some(now.0);
        let bytes = datagram.to_bytes();
        let first = rand::rng().random_range(0..peers.len());
        let asked = peers.iter().cycle().skip(first).take(peers.len().min(ASKED_AT_ONCE));
        for peer in asked {
            context.send_datagram(peer.address, &bytes).await;
        }
    }
}

/// Answers an entry that asked at `asked` by its own clock.
pub(crate) async fn answer(
    actor: &ActorRef<DirectActor>,
    context: &DirectContext,
    to: SocketAddr,
    asked: u64,
) {
    let Ok(reply) = actor.ask(ContactQuery).await else { return };
    let Some(span) = reply.answer_span else { return };
    let mut datagram = Datagram::new(&context.config.direct.own_id);
    let now = context.clock.now();
    let row = ContactRow::new(now, span, reply.generation, asked);
    datagram.contact = Some(row.with_namings(now, reply.namings));
    context.send_datagram(to, &datagram.to_bytes()).await;
}

/// Takes an answer over; its ages only where it came at once.
pub(crate) async fn take(actor: &ActorRef<DirectActor>, now: Moment, row: &ContactRow) {
    if let Some(span) = row.span(now) {
        let _ = actor.tell(Event(DirectEvent::AvailabilityReceived(span))).await;
    }
    let namings = row.namings(now);
    if !namings.is_empty() {
        let _ = actor.tell(Event(DirectEvent::AnnouncementsReceived(namings))).await;
    }
    // A generation only rises, so that it counts however long it took.
    let generation = Generation(row.generation);
    let _ = actor.tell(Event(DirectEvent::GenerationReceived(generation))).await;
}

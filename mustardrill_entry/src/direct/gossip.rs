//! Tells the other entries what this one has at upstreams, and hears them and the agents.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use log::warn;
use mustardrill_core::direct::{
    DirectEvent, LoadBroadcaster, LoadUpdate, PeerLoad, PeerRecord, UpstreamLoad,
};
use mustardrill_runtime::datagram::{DATAGRAM_LIMIT, Datagram, LoadRow, VersionRow, WaitRow};
use mustardrill_runtime::wire::{crash_message, crash_word};
use mustardrill_types::{Millis, ModelName, Moment, WeightVersion};

use crate::direct::actor::{DirectActor, DirectContext, Event, GossipQuery};
use crate::direct::contact::{self, ContactAsker};

/// How often the load is looked at: what other entries don't know of yet, they send as well.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// The upstreams of one datagram. A row takes 20 to 25 bytes, so that these pass every link whole.
const ROWS_LIMIT: usize = 50;

/// The crashes of one datagram: a row takes 50 bytes, or 90 with the longest names.
const CRASHES_LIMIT: usize = 14;

/// How long nothing is heard after an error.
const HEAR_PAUSE: Duration = Duration::from_millis(50);

/// When a word to agents is told once more, as datagrams get lost.
const TELL_AGAIN: Duration = Duration::from_millis(60);

/// Starts to listen and to tell.
pub(crate) fn spawn(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) {
    let halt = context.halt.clone();
    let hearing = hear(actor.clone(), context.clone());
    tokio::spawn(halt.clone().run_until_cancelled_owned(hearing));
    tokio::spawn(halt.run_until_cancelled_owned(tell(actor, context)));
}

/// Tells the agents on these machines that a version was named.
pub(crate) fn tell_agents(
    context: Arc<DirectContext>,
    model: &ModelName,
    version: WeightVersion,
    machines: Vec<IpAddr>,
) {
    let Some(port) = context.config.agent_port else { return };
    let mut datagram = Datagram::new(&context.config.direct.own_id);
    datagram.named = Some(VersionRow { model: model.to_string(), version: version.0 });
    tokio::spawn(async move {
        let bytes = datagram.to_bytes();
        for round in 0..2 {
            if round > 0 {
                tokio::time::sleep(TELL_AGAIN).await;
            }
            for machine in &machines {
                context.send_datagram(SocketAddr::new(*machine, port), &bytes).await;
            }
        }
    });
}

async fn hear(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        let (length, from) = match context.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // An earlier datagram met a closed port: its receiver is gone.
                warn!("datagram outcome=unheard reason=\"{error}\"");
                tokio::time::sleep(HEAR_PAUSE).await;
                continue;
            }
        };
        let Some(datagram) = Datagram::read(&buffer[..length]) else { continue };
        let now = context.clock.now();
        if let Some(asked) = datagram.contact_ask {
            contact::answer(&actor, &context, from, asked).await;
            continue;
        }
        if let Some(row) = &datagram.contact {
            contact::take(&actor, now, row).await;
            continue;
        }
        for event in events_of(now, datagram) {
            let _ = actor.tell(Event(event)).await;
        }
    }
}

fn events_of(now: Moment, datagram: Datagram) -> Vec<DirectEvent> {
    if datagram.crashes.is_empty() {
        return event_of(datagram).into_iter().collect();
    }
    let words = datagram.crashes.iter().filter_map(|row| crash_word(now, row));
    words.map(DirectEvent::CrashReportReceived).collect()
}

fn event_of(datagram: Datagram) -> Option<DirectEvent> {
    if let Some(engine) = datagram.engine {
        return Some(DirectEvent::EngineNoticeReceived {
            address: engine.address.parse::<SocketAddr>().ok()?,
            model: engine.model.parse().ok()?,
            notice: engine.word(),
        });
    }
    let loads = datagram.loads.into_iter();
    let rows = loads.filter_map(|row| Some((row.upstream.parse().ok()?, load_of(&row))));
    let waiting = datagram.waiting.into_iter();
    let waiting = waiting.filter_map(|row| Some((row.service.parse().ok()?, row.count)));
    let news = LoadUpdate {
        rows: rows.collect(),
        is_snapshot: !datagram.partial,
        waiting: waiting.collect(),
    };
    let load = PeerLoad { from: datagram.from.parse().ok()?, update: news };
    Some(DirectEvent::PeerLoadReceived(load))
}

fn load_of(row: &LoadRow) -> UpstreamLoad {
    UpstreamLoad { requests: row.outstanding, pending_prefill: Millis(u64::from(row.reading_ms)) }
}

async fn tell(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) {
    let (mut teller, mut asker) = (LoadBroadcaster::default(), ContactAsker::default());
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let Ok(reply) = actor.ask(GossipQuery).await else { return };
        if let Some(every) = reply.doubts {
            asker.ask(&context, &reply.peers, every).await;
        }
        let now = context.clock.now();
        for words in reply.crash_words.chunks(CRASHES_LIMIT) {
            let mut datagram = Datagram::new(&context.config.direct.own_id);
            datagram.crashes = words.iter().map(|word| crash_message(now, word)).collect();
            send(&context, &reply.peers, &datagram.to_bytes()).await;
        }
        let Some(news) = teller.next_update(now, reply.outstanding, reply.waiting) else {
            continue;
        };
        for part in news.split(ROWS_LIMIT) {
            send(&context, &reply.peers, &load_datagram(&context, &part).to_bytes()).await;
        }
    }
}

async fn send(context: &DirectContext, peers: &[PeerRecord], bytes: &[u8]) {
    for peer in peers {
        context.send_datagram(peer.address, bytes).await;
    }
}

fn load_datagram(context: &DirectContext, news: &LoadUpdate) -> Datagram {
    let mut datagram = Datagram::new(&context.config.direct.own_id);
    datagram.partial = !news.is_snapshot;
    let rows = news.rows.iter().map(|(id, load)| LoadRow {
        upstream: id.to_string(),
        outstanding: load.requests,
        reading_ms: load.pending_prefill.0 as u32,
    });
    datagram.loads = rows.collect();
    let waiting = news.waiting.iter();
    let waiting =
        waiting.map(|(service, count)| WaitRow { service: service.to_string(), count: *count });
    datagram.waiting = waiting.collect();
    datagram
}

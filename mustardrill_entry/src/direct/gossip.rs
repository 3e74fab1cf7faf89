//! Tells the other entries what this one has at upstreams, and hears them and the agents.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use log::warn;
use mustardrill_core::direct::{DirectEvent, PeerLoad, UpstreamLoad};
use mustardrill_runtime::datagram::{DATAGRAM_LIMIT, Datagram, LoadRow, VersionRow};
use mustardrill_types::{Millis, ModelName, WeightVersion};

use crate::direct::actor::{DirectActor, DirectContext, Event, GossipQuery};

/// How often changed load is told. An engine ends a request about every 85 ms at full load, so
/// others are a request or two behind.
const TELL_EVERY: Duration = Duration::from_millis(50);

/// Unchanged load is told anew after this many times, so that silence means absence.
const TELL_UNCHANGED: u32 = 10;

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
    let mut datagram = Datagram::new(&context.config.direct.own);
    datagram.named = Some(VersionRow { model: model.to_string(), version: version.0 });
    tokio::spawn(async move {
        let bytes = datagram.to_bytes();
        for round in 0..2 {
            if round > 0 {
                tokio::time::sleep(TELL_AGAIN).await;
            }
            for machine in &machines {
                let to = SocketAddr::new(*machine, port);
                if let Err(error) = context.socket.send_to(&bytes, to).await {
                    log::debug!("datagram to={to} outcome=unsent reason=\"{error}\"");
                }
            }
        }
    });
}

async fn hear(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        let length = match context.socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                // An earlier datagram met a closed port: its receiver is gone.
                warn!("datagram outcome=unheard reason=\"{error}\"");
                tokio::time::sleep(TELL_EVERY).await;
                continue;
            }
        };
        let Some(event) = Datagram::read(&buffer[..length]).and_then(event_of) else { continue };
        let _ = actor.tell(Event(event)).await;
    }
}

fn event_of(datagram: Datagram) -> Option<DirectEvent> {
    if let Some(engine) = datagram.engine {
        return Some(DirectEvent::EngineHeard {
            address: engine.address.parse::<SocketAddr>().ok()?,
            model: engine.model.parse().ok()?,
            word: engine.word(),
        });
    }
    let loads = datagram.loads.into_iter();
    let rows = loads.filter_map(|row| Some((row.upstream.parse().ok()?, load_of(&row))));
    let load = PeerLoad { from: datagram.from.parse().ok()?, outstanding: rows.collect() };
    Some(DirectEvent::PeerHeard(load))
}

fn load_of(row: &LoadRow) -> UpstreamLoad {
    UpstreamLoad { requests: row.outstanding, reading: Millis(u64::from(row.reading_ms)) }
}

async fn tell(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) {
    let (mut told, mut unchanged) = (Vec::new(), 0);
    loop {
        tokio::time::sleep(TELL_EVERY).await;
        let Ok(reply) = actor.ask(GossipQuery).await else { return };
        unchanged += 1;
        if reply.outstanding == told && unchanged < TELL_UNCHANGED {
            continue;
        }
        unchanged = 0;
        told = reply.outstanding;
        let mut datagram = Datagram::new(&context.config.direct.own);
        datagram.loads = told
            .iter()
            .map(|(id, load)| LoadRow {
                upstream: id.to_string(),
                outstanding: load.requests,
                reading_ms: load.reading.0 as u32,
            })
            .collect();
        let bytes = datagram.to_bytes();
        for peer in &reply.peers {
            if let Err(error) = context.socket.send_to(&bytes, peer.address).await {
                log::debug!("datagram to={} outcome=unsent reason=\"{error}\"", peer.id);
            }
        }
    }
}

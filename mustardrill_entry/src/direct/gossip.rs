//! Broadcasts this entry's load and crash reports to peer entries by datagram, and receives the
//! datagrams of peers and agents.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use kameo::prelude::*;
use log::warn;
use mustardrill_core::direct::{DirectEvent, LoadBroadcaster, LoadUpdate, PeerLoad, PeerRecord};
use mustardrill_runtime::datagram::{
    DATAGRAM_LIMIT, Datagram, IntakeRow, LoadRow, VersionRow, WaitRow, split_crash_rows,
};
use mustardrill_runtime::supervision;
use mustardrill_runtime::wire::{crash_message, crash_report};
use mustardrill_types::{ModelName, Moment, StartStamp, WeightVersion};

use crate::direct::actor::{DirectActor, DirectContext, Event, GossipQuery};
use crate::direct::availability::{self, AvailabilityQuerier};

/// How often the load is checked for changes to broadcast. Until peers know of this entry's
/// requests at an upstream, they send theirs there as well.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Upstreams per datagram. A row takes 20 to 25 bytes, and 5 more with a pace, so that such a
/// datagram passes every link without fragmentation.
const LOAD_ROWS_PER_DATAGRAM: usize = 40;

/// Limits of upstreams per datagram: a row takes 40 bytes, or 90 with the longest names.
const INTAKE_ROWS_PER_DATAGRAM: usize = 14;

/// Pause after a receive error.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Time until a notification to agents is sent a second time, as datagrams may be lost.
const RESEND_AFTER: Duration = Duration::from_millis(60);

/// Starts the receiving and the broadcasting task.
pub(crate) fn spawn(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) {
    let halt = context.halt.clone();
    let (receiver, received) = (actor.clone(), context.clone());
    supervision::spawn("datagrams", halt.clone(), move || {
        receive_datagrams(receiver.clone(), received.clone())
    });
    supervision::spawn("broadcast", halt, move || broadcast(actor.clone(), context.clone()));
}

/// Notifies the agents on these machines that a version was announced.
pub(crate) fn notify_agents(
    context: Arc<DirectContext>,
    model: &ModelName,
    version: WeightVersion,
    machines: Vec<IpAddr>,
) {
    let Some(port) = context.config.agent_port else { return };
    let mut datagram = Datagram::new(&context.config.direct.own_id);
    datagram.announced_version = Some(VersionRow { model: model.to_string(), version: version.0 });
    tokio::spawn(async move {
        let bytes = datagram.to_bytes();
        for round in 0..2 {
            if round > 0 {
                tokio::time::sleep(RESEND_AFTER).await;
            }
            for machine in &machines {
                context.send_datagram(SocketAddr::new(*machine, port), &bytes).await;
            }
        }
    });
}

async fn receive_datagrams(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        let (length, from) = match context.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // An earlier datagram was sent to a port that is closed, as its receiver has ended.
                warn!("datagram outcome=unheard reason=\"{error}\"");
                tokio::time::sleep(RECEIVE_ERROR_PAUSE).await;
                continue;
            }
        };
        let Some(datagram) = Datagram::read(&buffer[..length]) else { continue };
        let now = context.clock.now();
        if let Some(requested_at) = datagram.availability_request {
            availability::send_answer(&actor, &context, from, requested_at).await;
            continue;
        }
        if let Some(row) = &datagram.availability {
            availability::process_answer(&actor, now, row).await;
            continue;
        }
        for event in events_of(now, datagram) {
            // Waits until it is handled: the kernel drops what comes faster.
            let _ = actor.ask(Event(event)).await;
        }
    }
}

fn events_of(now: Moment, datagram: Datagram) -> Vec<DirectEvent> {
    if !datagram.intakes.is_empty() {
        let Ok(from) = datagram.from.parse() else {
            warn!(
                "datagram from={:?} outcome=dropped reason=\"invalid instance id\"",
                datagram.from
            );
            return Vec::new();
        };
        let reports = datagram.intakes.iter().filter_map(IntakeRow::report);
        return vec![DirectEvent::IntakeReportsReceived(from, reports.collect())];
    }
    if datagram.crashes.is_empty() {
        return event_of(datagram).into_iter().collect();
    }
    let reports = datagram.crashes.iter().filter_map(|row| crash_report(now, row));
    reports.map(DirectEvent::CrashReportReceived).collect()
}

fn event_of(datagram: Datagram) -> Option<DirectEvent> {
    if let Some(engine) = datagram.engine {
        return Some(DirectEvent::EngineNoticeReceived {
            address: engine.address.parse::<SocketAddr>().ok()?,
            model: engine.model.parse().ok()?,
            start: engine.start.map(StartStamp),
            notice: engine.notice(),
        });
    }
    let paces = datagram.loads.iter().filter_map(LoadRow::pace_report).collect();
    let loads = datagram.loads.iter();
    let rows = loads.filter_map(|row| Some((row.upstream.parse().ok()?, row.load())));
    let waiting = datagram.waiting.into_iter();
    let waiting = waiting.filter_map(|row| Some((row.service.parse().ok()?, row.count)));
    let update = LoadUpdate {
        rows: rows.collect(),
        is_snapshot: !datagram.partial,
        waiting: waiting.collect(),
        paces,
    };
    let load = PeerLoad { from: datagram.from.parse().ok()?, update };
    Some(DirectEvent::PeerLoadReceived(load))
}

async fn broadcast(actor: ActorRef<DirectActor>, context: Arc<DirectContext>) {
    let (mut broadcaster, mut querier) =
        (LoadBroadcaster::default(), AvailabilityQuerier::default());
    loop {
        tokio::time::sleep(LOAD_CHECK_INTERVAL).await;
        let Ok(reply) = actor.ask(GossipQuery).await else { return };
        if let Some(interval) = reply.query_interval {
            querier.query_peers(&context, &reply.peers, interval).await;
        }
        let now = context.clock.now();
        let rows = reply.crash_reports.iter().map(|report| crash_message(now, report));
        for rows in split_crash_rows(rows) {
            let mut datagram = Datagram::new(&context.config.direct.own_id);
            datagram.crashes = rows;
            send_to_all(&context, &reply.peers, &datagram.to_bytes()).await;
        }
        for reports in reply.intake_reports.chunks(INTAKE_ROWS_PER_DATAGRAM) {
            let mut datagram = Datagram::new(&context.config.direct.own_id);
            datagram.partial = true;
            datagram.intakes = reports.iter().map(IntakeRow::new).collect();
            send_to_all(&context, &reply.peers, &datagram.to_bytes()).await;
        }
        let Some(update) = broadcaster.next_update(now, reply.outstanding, reply.waiting) else {
            continue;
        };
        let update = update.with_paces(&reply.paces);
        for part in update.split(LOAD_ROWS_PER_DATAGRAM) {
            send_to_all(&context, &reply.peers, &load_datagram(&context, &part).to_bytes()).await;
        }
    }
}

async fn send_to_all(context: &DirectContext, peers: &[PeerRecord], bytes: &[u8]) {
    for peer in peers {
        context.send_datagram(peer.address, bytes).await;
    }
}

fn load_datagram(context: &DirectContext, update: &LoadUpdate) -> Datagram {
    let mut datagram = Datagram::new(&context.config.direct.own_id);
    datagram.partial = !update.is_snapshot;
    let rows = update.rows.iter().map(|(id, load)| {
        let pace = update.paces.iter().find(|report| report.upstream == *id);
        LoadRow::new(id, load, pace)
    });
    datagram.loads = rows.collect();
    let waiting = update.waiting.iter();
    let waiting =
        waiting.map(|(service, count)| WaitRow { service: service.to_string(), count: *count });
    datagram.waiting = waiting.collect();
    datagram
}

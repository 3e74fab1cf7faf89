//! Several entries with requests waiting for the same slots, replayed with the delay of their words.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mustardrill_core::direct::{
    AttemptOutcome, CallerLimits, DirectEffect, DirectEvent, DirectReducer, DirectSettings,
    EngineProfile, EngineWord, FleetChange, FleetUpdate, LoadBroadcaster, PeerLoad, RepeatRule,
    RequestNumber, RouteDocument, RouteRule, ServedWeights, ServiceProfile, UpstreamRecord,
    WorkSize,
};
use mustardrill_types::{
    FastMap, Generation, InstanceId, Millis, Moment, StartStamp, StoreRevision, WeightVersion,
};

mod common;

const START: Moment = Moment(100_000);
/// Entries that callers ask.
const ASKED: u64 = 6;
const SLOTS: u32 = 16;
/// What an engine at full load takes for a request: one ends about every 100 ms.
const RUN: Millis = Millis(1_600);
const SIZE: WorkSize = WorkSize { prompt: 100, answer: 100 };
/// The way of a datagram.
const WAY: Millis = Millis(3);

fn document() -> Arc<RouteDocument> {
    let engine = EngineProfile {
        slots: SLOTS,
        stride: 5,
        step_ms: 8.9,
        read_per_ms: 1_000.0,
        usual_answer: 100,
        ..common::engine_profile()
    };
    let route = RouteRule {
        gap: Millis(400),
        ..common::public_route("drafts", "/", "pool", RepeatRule::StreamResumable)
    };
    let mut services = FastMap::default();
    let pool = ServiceProfile { engine: Some(engine), ..ServiceProfile::default() };
    services.insert("pool".parse().unwrap(), pool);
    let limits = CallerLimits::default();
    Arc::new(RouteDocument::new(Generation(1), vec![route], services, Vec::new(), limits))
}

fn name(place: u64) -> InstanceId {
    format!("entry-{place}").parse().unwrap()
}

fn entry(place: u64, pattern: &LoadPattern) -> DirectReducer {
    let settings = DirectSettings {
        own: name(place),
        ahead: 1,
        wait_percent: 25,
        ..common::direct_settings()
    };
    let mut reducer = DirectReducer::new(settings, place);
    let peer = |place| FleetChange::Peer(common::peer(&name(place)));
    let mut changes = vec![FleetChange::Configured(document())];
    changes.extend((1..=1 + pattern.paused).map(engine));
    changes.extend((0..pattern.entries).map(peer));
    let page = FleetUpdate {
        changes,
        revision: StoreRevision(1),
        is_snapshot: false,
        ..FleetUpdate::default()
    };
    reducer.reduce(START, DirectEvent::Fleet(page, START));
    reducer
}

/// The n-th engine; the first one is the one that the entries share.
fn engine(place: u8) -> FleetChange {
    let served = ServedWeights { model: "m".parse().unwrap(), version: WeightVersion(1) };
    FleetChange::Upstream(UpstreamRecord {
        id: format!("u{place}").parse().unwrap(),
        start: StartStamp(1),
        service: "pool".parse().unwrap(),
        address: address(place),
        data_centre: "hall-a".parse().unwrap(),
        slots: SLOTS,
        leaving: false,
        serving: vec![served],
    })
}

fn address(place: u8) -> SocketAddr {
    ([10, 0, 0, place], 8_000).into()
}

/// Something under way, at the millisecond at which it arrives.
enum Arrival {
    Word(usize, PeerLoad),
    End(usize, RequestNumber),
    Wake(usize),
}

/// Who asks for what, for 4 s.
struct LoadPattern {
    entries: u64,
    /// A request comes each so many milliseconds.
    every: u64,
    /// The entry that the n-th request asks, which comes at this millisecond.
    asks: fn(step: u64, number: u64) -> u64,
    /// The engine takes no requests before that.
    opens: u64,
    /// Further engines, which take none at all.
    paused: u8,
}

/// More than seven times what one engine can run: requests of the first 1.5 s ask one entry, the others
/// five others; the rest idle.
const HANDED_OVER: LoadPattern = LoadPattern {
    entries: ASKED,
    every: 13,
    asks: |step, number| if step < 1_500 { 0 } else { 1 + number % (ASKED - 1) },
    opens: 0,
    paused: 0,
};

/// All engines but one load weights, and that one has just loaded them; requests wait for them at 36
/// entries.
const REOPENED: LoadPattern =
    LoadPattern { entries: 36, every: 4, asks: |_, number| number % 36, opens: 1_000, paused: 60 };

/// Plays a pattern. Returns the most requests that the engine had, and how many it ran.
fn play(pattern: &LoadPattern) -> (u32, u32) {
    let count = pattern.entries;
    let mut entries: Vec<_> = (0..count).map(|place| entry(place, pattern)).collect();
    let mut tellers: Vec<_> = (0..count).map(|_| LoadBroadcaster::default()).collect();
    let mut arrivals: BTreeMap<u64, Vec<Arrival>> = BTreeMap::new();
    let (mut there, mut most, mut ended, mut number) = (0, 0, 0, 0);
    let mut free_at = vec![START; SLOTS as usize];
    for step in 0..4_000 {
        let now = START + Millis(step);
        let mut due = arrivals.remove(&now.0).unwrap_or_default();
        let comes = step % pattern.every == 0;
        number += u64::from(comes);
        for (place, entry) in entries.iter_mut().enumerate() {
            let mut effects = Vec::new();
            for arrival in due.extract_if(.., |arrival| arrival.place() == place) {
                effects.extend(match arrival {
                    Arrival::Word(_, load) => entry.reduce(now, DirectEvent::PeerHeard(load)),
                    Arrival::Wake(_) => entry.reduce(now, DirectEvent::Woke),
                    Arrival::End(_, number) => {
                        there -= 1;
                        ended += 1;
                        entry.reduce(now, DirectEvent::Ended(number, AttemptOutcome::Whole))
                    }
                });
            }
            if pattern.opens > 0 && step == 0 {
                let engines = 1..=1 + pattern.paused;
                engines.for_each(|it| drop(entry.reduce(now, word(it, EngineWord::Pausing))));
            }
            if pattern.opens > 0 && step == pattern.opens {
                let serving = EngineWord::Serving(WeightVersion(1));
                effects.extend(entry.reduce(now, word(1, serving)));
            }
            if comes && (pattern.asks)(step, number) == place as u64 {
                effects.extend(entry.reduce(
                    now,
                    DirectEvent::Arrived(common::direct_request(number, "/x", SIZE, now)),
                ));
            }
            for effect in effects {
                match effect {
                    DirectEffect::Send(number, _) => {
                        there += 1;
                        most = most.max(there);
                        let slot = free_at.iter_mut().min().unwrap();
                        *slot = (*slot).max(now) + RUN;
                        arrivals.entry(slot.0).or_default().push(Arrival::End(place, number));
                        entry.reduce(now, DirectEvent::Answering(number, None, None));
                    }
                    DirectEffect::Wake(at) => {
                        let at = at.0.max(now.0 + 1);
                        arrivals.entry(at).or_default().push(Arrival::Wake(place));
                    }
                    _ => {}
                }
            }
            if step % 10 == 0
                && let Some(news) =
                    tellers[place].next_update(now, entry.outstanding(), entry.waiting())
            {
                let load = PeerLoad { from: name(place as u64), news };
                let to = (0..count as usize).filter(|other| *other != place);
                let words = to.map(|other| Arrival::Word(other, load.clone()));
                arrivals.entry(now.0 + WAY.0).or_default().extend(words);
            }
        }
    }
    (most, ended)
}

/// What the agent of the n-th engine tells.
fn word(place: u8, word: EngineWord) -> DirectEvent {
    DirectEvent::EngineHeard { address: address(place), model: "m".parse().unwrap(), word }
}

impl Arrival {
    fn place(&self) -> usize {
        match self {
            Self::Word(place, _) | Self::End(place, _) | Self::Wake(place) => *place,
        }
    }
}

fn check(pattern: &LoadPattern) {
    let (most, ended) = play(pattern);
    assert!(most <= SLOTS + 3, "{most} requests at once for {SLOTS} slots and one ahead");
    let bound = ((4_000 - pattern.opens) / RUN.0) as u32 * SLOTS;
    assert!(ended >= bound * 9 / 10, "{ended} of {bound} that the slots can run");
}

/// Taken by all entries at the same moment, the places of one engine were 21 at the most for 16
/// slots, and requests that were sent to be in time waited there.
#[test]
fn a_freed_place_is_taken_once() {
    check(&HANDED_OVER);
}

/// Each entry that goes first was waited for, also those that had nothing to send.
#[test]
fn a_freed_place_is_not_kept_for_entries_in_which_nothing_waits() {
    check(&LoadPattern { entries: 36, ..HANDED_OVER });
    check(&LoadPattern { entries: 120, ..HANDED_OVER });
}

/// An engine that is back from loading got the requests of all entries at once.
#[test]
fn an_engine_that_opens_is_filled_and_not_overrun() {
    check(&REOPENED);
}

//! Several entries compete for the slots of one engine; their load broadcasts take time to arrive.

use std::collections::BTreeMap;
use std::sync::Arc;

use mustardrill_core::direct::{
    AttemptOutcome, CallerLimits, DirectEffect, DirectEvent, DirectReducer, DirectSettings,
    EngineNotice, EngineProfile, FleetChange, FleetUpdate, LoadBroadcaster, PeerLoad, RepeatRule,
    RequestNumber, RouteDocument, RouteRule, ServiceProfile, WorkSize,
};
use mustardrill_types::{
    FastMap, Generation, InstanceId, Millis, Moment, StoreRevision, WeightVersion,
};

mod common;

const START: Moment = Moment(100_000);
/// Entries to which callers send requests.
const ACTIVE_ENTRIES: u64 = 6;
const SLOTS: u32 = 16;
/// How long a fully loaded engine takes for a request: one ends about every 100 ms.
const RUN_TIME: Millis = Millis(1_600);
const SIZE: WorkSize = WorkSize { prompt_tokens: 100, answer_tokens: 100 };
/// The latency of a datagram.
const LATENCY: Millis = Millis(3);

fn document() -> Arc<RouteDocument> {
    let engine = EngineProfile {
        slots: SLOTS,
        steps_per_pass: 5,
        step_ms: 8.9,
        prefill_tokens_per_ms: 1_000.0,
        mean_answer: 100,
        ..common::engine_profile()
    };
    let route = RouteRule {
        event_gap: Millis(400),
        ..common::public_route("drafts", "/", "pool", RepeatRule::StreamResumable)
    };
    let mut services = FastMap::default();
    let pool = ServiceProfile { engine: Some(engine), ..ServiceProfile::default() };
    services.insert("pool".parse().unwrap(), pool);
    let limits = CallerLimits::default();
    Arc::new(RouteDocument::new(Generation(1), vec![route], services, Vec::new(), limits))
}

fn name(index: u64) -> InstanceId {
    format!("entry-{index}").parse().unwrap()
}

fn entry(index: u64, pattern: &LoadPattern) -> DirectReducer {
    let settings = DirectSettings {
        own_id: name(index),
        requests_ahead: 1,
        in_time_percent: 25,
        ..common::direct_settings()
    };
    let mut reducer = DirectReducer::new(settings, index);
    let peer = |index| FleetChange::Peer(common::peer(&name(index)));
    let mut changes = vec![FleetChange::Configured(document())];
    changes.extend((1..=1 + pattern.paused_engines).map(engine));
    changes.extend((0..pattern.entries).map(peer));
    let update = FleetUpdate {
        changes,
        revision: StoreRevision(1),
        is_snapshot: false,
        ..FleetUpdate::default()
    };
    reducer.reduce(START, DirectEvent::StoreAnswered(update, START));
    reducer
}

/// The n-th engine; all entries share the first one.
fn engine(index: u8) -> FleetChange {
    common::pool_engine(index, SLOTS)
}

/// An event that reaches an entry later than it was sent, kept by its millisecond of arrival.
enum Arrival {
    Load(usize, PeerLoad),
    End(usize, RequestNumber),
    Wake(usize),
}

/// Arrivals of requests during 4 s.
struct LoadPattern {
    entries: u64,
    /// The interval between requests, in milliseconds.
    interval: u64,
    /// The entry that receives the n-th request, which arrives at millisecond `step`.
    entry_for: fn(step: u64, number: u64) -> u64,
    /// The engine accepts no requests before this millisecond.
    opens_at: u64,
    /// The number of further engines, which accept no requests at all.
    paused_engines: u8,
}

/// More than seven times the load that one engine can run: one entry receives the requests of the
/// first 1.5 s, five others receive the rest; further entries are idle.
const HANDED_OVER: LoadPattern = LoadPattern {
    entries: ACTIVE_ENTRIES,
    interval: 13,
    entry_for: |step, number| if step < 1_500 { 0 } else { 1 + number % (ACTIVE_ENTRIES - 1) },
    opens_at: 0,
    paused_engines: 0,
};

/// All engines but one are loading weights, and that one has just finished; requests wait for it at
/// 36 entries.
const REOPENED: LoadPattern = LoadPattern {
    entries: 36,
    interval: 4,
    entry_for: |_, number| number % 36,
    opens_at: 1_000,
    paused_engines: 60,
};

/// Simulates a pattern. Returns the largest number of requests that the engine had at once, and how
/// many it finished.
fn simulate(pattern: &LoadPattern) -> (u32, u32) {
    let count = pattern.entries;
    let mut entries: Vec<_> = (0..count).map(|index| entry(index, pattern)).collect();
    let mut broadcasters: Vec<_> = (0..count).map(|_| LoadBroadcaster::default()).collect();
    let mut arrivals: BTreeMap<u64, Vec<Arrival>> = BTreeMap::new();
    let (mut at_engine, mut most, mut ended, mut number) = (0, 0, 0, 0);
    let mut free_at = vec![START; SLOTS as usize];
    for step in 0..4_000 {
        let now = START + Millis(step);
        let mut due = arrivals.remove(&now.0).unwrap_or_default();
        let arrives = step % pattern.interval == 0;
        number += u64::from(arrives);
        for (index, entry) in entries.iter_mut().enumerate() {
            let mut effects = Vec::new();
            for arrival in due.extract_if(.., |arrival| arrival.index() == index) {
                effects.extend(match arrival {
                    Arrival::Load(_, load) => {
                        entry.reduce(now, DirectEvent::PeerLoadReceived(load))
                    }
                    Arrival::Wake(_) => entry.reduce(now, DirectEvent::TimerFired),
                    Arrival::End(_, number) => {
                        at_engine -= 1;
                        ended += 1;
                        entry.reduce(now, DirectEvent::AttemptEnded(number, AttemptOutcome::Whole))
                    }
                });
            }
            if pattern.opens_at > 0 && step == 0 {
                let engines = 1..=1 + pattern.paused_engines;
                engines.for_each(|it| {
                    drop(entry.reduce(now, engine_notice(it, EngineNotice::Loading)))
                });
            }
            if pattern.opens_at > 0 && step == pattern.opens_at {
                let serving = EngineNotice::Serving(WeightVersion(1));
                effects.extend(entry.reduce(now, engine_notice(1, serving)));
            }
            if arrives && (pattern.entry_for)(step, number) == index as u64 {
                effects.extend(entry.reduce(
                    now,
                    DirectEvent::RequestArrived(common::direct_request(number, "/x", SIZE, now)),
                ));
            }
            for effect in effects {
                match effect {
                    DirectEffect::Send(number, _) => {
                        at_engine += 1;
                        most = most.max(at_engine);
                        let slot = free_at.iter_mut().min().unwrap();
                        *slot = (*slot).max(now) + RUN_TIME;
                        arrivals.entry(slot.0).or_default().push(Arrival::End(index, number));
                        entry.reduce(now, DirectEvent::AnswerStarted(number, None, None));
                    }
                    DirectEffect::SetTimer(at) => {
                        let at = at.0.max(now.0 + 1);
                        arrivals.entry(at).or_default().push(Arrival::Wake(index));
                    }
                    _ => {}
                }
            }
            if step % 10 == 0
                && let Some(update) = broadcasters[index].next_update(
                    now,
                    entry.outstanding_load(),
                    entry.waiting_counts(),
                )
            {
                let load = PeerLoad { from: name(index as u64), update };
                let to = (0..count as usize).filter(|other| *other != index);
                let loads = to.map(|other| Arrival::Load(other, load.clone()));
                arrivals.entry(now.0 + LATENCY.0).or_default().extend(loads);
            }
        }
    }
    (most, ended)
}

/// The notice that the agent of the n-th engine sends.
fn engine_notice(index: u8, notice: EngineNotice) -> DirectEvent {
    DirectEvent::EngineNoticeReceived {
        address: common::pool_address(index),
        model: "m".parse().unwrap(),
        start: Some(common::desk(0).start),
        notice,
    }
}

impl Arrival {
    fn index(&self) -> usize {
        match self {
            Self::Load(index, _) | Self::End(index, _) | Self::Wake(index) => *index,
        }
    }
}

fn check_engine_load(pattern: &LoadPattern) {
    let (most, ended) = simulate(pattern);
    assert!(most <= SLOTS + 3, "{most} requests at once for {SLOTS} slots and one request ahead");
    let bound = ((4_000 - pattern.opens_at) / RUN_TIME.0) as u32 * SLOTS;
    assert!(ended >= bound * 9 / 10, "finished {ended} of {bound} requests that the slots can run");
}

/// When all entries used a freed slot at the same moment, one engine had up to 21 requests for 16
/// slots, and requests that were sent to meet their objective waited there.
#[test]
fn freed_slot_is_taken_by_several_entries() {
    check_engine_load(&HANDED_OVER);
}

/// Every entry that was earlier in the order was waited for, even those that had nothing to send.
#[test]
fn freed_slot_idles_for_entries_without_waiting_requests() {
    check_engine_load(&LoadPattern { entries: 36, ..HANDED_OVER });
    check_engine_load(&LoadPattern { entries: 120, ..HANDED_OVER });
}

/// An engine that finished loading was sent the requests of all entries at once.
#[test]
fn engine_back_from_loading_is_overrun_or_not_filled() {
    check_engine_load(&REOPENED);
}

//! What an upstream that limits its request rate gets from few and many entries, and what the
//! decisions about it cost.

use std::time::Instant;

use intake::{IntakeScenario, IntakeSimulation};
use mustardrill_core::direct::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectReducer, FleetChange, FleetUpdate,
    RequestNumber, StatedValue, UpstreamStatement,
};
use mustardrill_types::{InstanceId, Millis, Moment, RequestRate};

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/intake.rs"]
mod intake;

/// Upstreams of the entry whose decisions are timed.
const UPSTREAMS: u16 = 120;

/// Requests that are timed for each row.
const REQUESTS: u64 = 20_000;

fn main() {
    println!(
        "news late by 0 to 2 s, 10 % lost; largest count in 4 s of what is allowed, part of the rate used"
    );
    for entries in [1, 4, 36, 340] {
        for rate in [500, 1_000, 2_500, 20_000] {
            print_use(entries, RequestRate(rate));
        }
    }
    for entries in [4, 36, 340] {
        let costs: Vec<_> = [0, 1, 12].into_iter().map(|it| decision_cost(entries, it)).collect();
        println!(
            "entries {entries}, {UPSTREAMS} upstreams: {:.1} us a request; {:.1} with 1 limited, {:.1} with 12",
            costs[0], costs[1], costs[2]
        );
    }
}

fn print_use(entries: usize, rate: RequestRate) {
    let demand = 6.0 * rate.per_second().max(2.0 * entries as f64);
    let news_delay = Millis(2_000);
    let scenario = IntakeScenario { entries, demand, news_delay, lost_percent: 10, seed: 7 };
    let mut simulation = IntakeSimulation::start(scenario);
    simulation.run_for(Millis(1_500));
    simulation.limit = Some(rate);
    let counted_from = simulation.now + Millis(1_500);
    simulation.run_for(Millis(2_500));
    let used_from = simulation.now;
    simulation.run_for(Millis(12_000));
    let allowed = (6.0 * rate.per_second() + 5.0) as usize;
    println!(
        "entries {entries} limit {rate}: {} of {allowed}, {:.2}",
        simulation.largest_count(counted_from),
        simulation.arrival_rate(used_from) / rate.per_second()
    );
}

/// Microseconds from a request's arrival to its end in the reducer of an entry.
fn decision_cost(entries: usize, limited: u16) -> f64 {
    let mut reducer = DirectReducer::new(common::direct_settings(), 1);
    let mut now = Moment(100_000_000);
    let id = |place: usize| -> InstanceId { format!("peer-{place}").parse().unwrap() };
    let mut changes = common::desk_fleet(UPSTREAMS);
    changes.extend((1..entries).map(|place| FleetChange::Peer(common::peer(&id(place)))));
    let update = FleetUpdate { changes, ..FleetUpdate::default() };
    reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
    let started_at = Instant::now();
    for number in 0..REQUESTS {
        if number % 100 == 0 {
            now = now + Millis(100);
            let update = FleetUpdate::default();
            reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
        }
        let effects =
            reducer.reduce(now, DirectEvent::RequestArrived(common::desk_request(number, now)));
        let is_limited = effects.iter().any(|effect| match effect {
            DirectEffect::Send(_, plan) => {
                (0..limited).any(|place| plan.upstream == common::desk_id(place))
            }
            _ => false,
        });
        let number = RequestNumber(number);
        if is_limited {
            let statement = UpstreamStatement {
                limit: StatedValue::valid(RequestRate(1_000)),
                ..UpstreamStatement::default()
            };
            reducer.reduce(now, DirectEvent::UpstreamStated(number, statement));
        }
        reducer.reduce(now, DirectEvent::AnswerStarted(number, None, None));
        reducer.reduce(now, DirectEvent::AttemptEnded(number, AttemptOutcome::Whole));
        reducer.reduce(now, DirectEvent::CallerGone(number));
    }
    started_at.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64
}

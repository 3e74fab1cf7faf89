//! Load patterns in which kinds of unlike priority compete for too little room, played on the
//! entries' reducers.

use mustardrill_core::direct::DirectSettings;
use mustardrill_entry::direct;
use mustardrill_runtime::settings::SettingsReader;
use mustardrill_standins::experiment::{
    DEFAULT_ENTRY_SETTINGS, LoadPattern, OutcomeCounts, SimulationReport, simulate,
};

/// The most urgent kind has the largest prompts, the least urgent one twice the objective.
const UNLIKE_PRIORITIES: &str = include_str!("../../deploy/patterns/unlike-priorities.ini");

/// The kinds in the order of their urgency.
const KINDS: [&str; 3] = ["writeup", "query", "summary"];

fn settings() -> DirectSettings {
    let reader = SettingsReader::read("entry.ini", DEFAULT_ENTRY_SETTINGS).unwrap();
    direct::read(reader).settings.unwrap().direct
}

fn play(text: &str, seed: u64) -> SimulationReport {
    let outcome = LoadPattern::read(SettingsReader::read("pattern.ini", text).unwrap());
    simulate(&outcome.settings.unwrap(), &settings(), seed)
}

/// The share of a kind's calls that `part` counts.
fn share(report: &SimulationReport, kind: &str, part: fn(&OutcomeCounts) -> u32) -> f64 {
    let count = &report.kinds[kind];
    f64::from(part(count)) / f64::from(count.asked.max(1))
}

/// A less urgent kind is not served more often than a more urgent one by over 5 in 100, nor in time
/// by over 15 in 100.
fn assert_in_order_of_urgency(report: &SimulationReport, context: &str) {
    let served = |kind| share(report, kind, |it| it.in_time + it.late);
    let in_time = |kind| share(report, kind, |it| it.in_time);
    for (urgent, less_urgent) in [(0, 1), (0, 2), (1, 2)] {
        let (urgent, less_urgent) = (KINDS[urgent], KINDS[less_urgent]);
        let kinds = format!("{context}: {urgent} and {less_urgent}: {:?}", report.kinds);
        assert!(served(less_urgent) - served(urgent) <= 0.05, "{kinds}");
        assert!(in_time(less_urgent) - in_time(urgent) <= 0.15, "{kinds}");
    }
}

#[test]
fn less_urgent_kinds_were_served_more_than_the_most_urgent_under_a_burst() {
    for seed in 1..=3 {
        let report = play(UNLIKE_PRIORITIES, seed);
        assert_in_order_of_urgency(&report, "twice the traffic");
        assert!(share(&report, KINDS[0], |it| it.in_time) >= 0.9, "{:?}", report.kinds);
    }
}

#[test]
fn burst_of_one_kind_is_served_in_the_order_of_urgency() {
    let most_urgent = ("the most urgent", "rate = 27", "rate = 54");
    let least_urgent = ("the least urgent", "rate = 21", "rate = 84");
    for (kind, rate, burst_rate) in [most_urgent, least_urgent] {
        let text = UNLIKE_PRIORITIES.replace(rate, burst_rate).replace("factor = 2", "factor = 1");
        let text = text.replace("span = 24s", "span = 6s");
        let report = play(&text, 1);
        assert_in_order_of_urgency(&report, kind);
        let all = report.total();
        let served = f64::from(all.in_time + all.late) / f64::from(all.asked);
        for kind in KINDS {
            let kind_served = share(&report, kind, |it| it.in_time + it.late);
            assert!(kind_served >= served / 4.0, "{kind} starves: {:?}", report.kinds);
        }
    }
}

#[test]
fn short_burst_within_the_room_loses_nobody() {
    let text = UNLIKE_PRIORITIES.replace("for = 6s", "for = 300ms");
    for seed in 1..=3 {
        let total = play(&text, seed).total();
        assert_eq!(total.refused + total.failed, 0, "{total:?}");
        assert!(f64::from(total.late) <= 0.01 * f64::from(total.asked), "{total:?}");
    }
}

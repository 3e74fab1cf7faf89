//! Prints how parts that crash engines are found, for fleets of different sizes and shares of such
//! requests.

use mustardrill_types::Millis;

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/prompts.rs"]
mod prompts;

use prompts::{PromptDisturbance, PromptScenario, PromptSimulation, part_set};

/// Entries, engines and requests per second; the largest fleet with the argument `--large` only.
fn fleets() -> Vec<(usize, usize, f64)> {
    let mut fleets = vec![(1, 8, 40.0), (4, 18, 80.0), (36, 60, 400.0)];
    if std::env::args().any(|argument| argument == "--large") {
        fleets.push((340, 200, 1_500.0));
    }
    fleets
}

fn main() {
    println!(
        "scenario | crashes | late arrivals | sound quarantined | first attempts before, after | messages"
    );
    for (entries, engines, rate) in fleets() {
        for percent in [1.0, 10.0, 30.0] {
            for report_loss in [0.0, 0.5] {
                let scenario = PromptScenario {
                    entries,
                    engines,
                    requests_per_second: rate * (1.0 - percent / 100.0),
                    culprits: vec![(part_set(&[0xbad]), rate * percent / 100.0)],
                    report_loss,
                    ..PromptScenario::default()
                };
                print(
                    &format!(
                        "{entries} entries, {engines} engines, {percent} %, loss {report_loss}"
                    ),
                    scenario,
                );
            }
        }
    }
    let default = PromptScenario::default;
    print("cold start", PromptScenario { is_warm: false, ..default() });
    print("companion", PromptScenario { companions: part_set(&[0xc0]), ..default() });
    let two = vec![(part_set(&[0xbad]), 5.0), (part_set(&[0xbad2]), 5.0)];
    print("two culprits", PromptScenario { culprits: two, ..default() });
    let power = vec![(1_000, PromptDisturbance::PowerLoss(18))];
    print(
        "power loss, no culprit",
        PromptScenario { culprits: Vec::new(), disturbances: power, ..default() },
    );
    let series =
        (0..6).map(|round| (1_000 + round * 700, PromptDisturbance::PowerLoss(9))).collect();
    print(
        "power losses in series",
        PromptScenario { culprits: Vec::new(), disturbances: series, ..default() },
    );
    let series =
        (0..6).map(|round| (1_000 + round * 700, PromptDisturbance::PowerLoss(9))).collect();
    print(
        "the same, cold",
        PromptScenario { culprits: Vec::new(), disturbances: series, is_warm: false, ..default() },
    );
    let restart = vec![(3_000, PromptDisturbance::RestartEntries)];
    print("entries restart", PromptScenario { disturbances: restart, ..default() });
    let cut = vec![(0, PromptDisturbance::CutOff(0, Millis(4_000)))];
    print("an entry is cut off", PromptScenario { disturbances: cut, ..default() });
}

fn print(name: &str, scenario: PromptScenario) {
    let simulation = PromptSimulation::play(scenario);
    let late = simulation.late_arrivals(Millis(3_000));
    let before = simulation.first_attempt_share(
        simulation.moment(0) - Millis(4_000),
        simulation.moment(0) - Millis(2_000),
    );
    let after = simulation.first_attempt_share(simulation.moment(7_000), simulation.moment(10_000));
    println!(
        "{name} | {} | {late} | {} | {before:.2} {after:.2} | {}",
        simulation.crashes.len(),
        simulation.sound_quarantined(),
        simulation.messages
    );
}

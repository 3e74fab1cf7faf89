//! How many retries entries of any number spend while every request fails, with and without
//! disturbances, and which part of the bound that is.

use mustardrill_types::Millis;
use retries::{Disturbance, RetryScenario, RetrySimulation};

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/retries.rs"]
mod retries;

fn main() {
    let kill = |percent, down| Disturbance::Kill { percent, down: Millis(down), is_renamed: false };
    let series = |period: usize, disturbance: &Disturbance| -> Vec<_> {
        (1_000u64..20_000).step_by(period).map(|at| (at, disturbance.clone())).collect()
    };
    let schedules = [
        ("none", Vec::new()),
        ("all killed once", vec![(3_000, kill(100, 300))]),
        ("all killed each second", series(1_000, &kill(100, 100))),
        ("half killed each 1.5 s", series(1_500, &kill(50, 500))),
        ("oldest killed each 0.5 s", series(500, &Disturbance::KillOldest)),
        ("as many added", vec![(3_000, Disturbance::Double)]),
    ];
    println!("10 s with the most retries for what is allowed: retries, allowed, part used");
    for (entries, requests_per_second) in
        [(1, 130.0), (4, 4.0), (4, 130.0), (36, 40.0), (36, 400.0), (340, 400.0), (340, 4_000.0)]
    {
        for (name, disturbances) in &schedules {
            let scenario = RetryScenario {
                entries,
                requests_per_second,
                disturbances: disturbances.clone(),
                span: Millis(25_000),
                seed: 53,
            };
            let fullest = RetrySimulation::play(scenario).fullest_window();
            println!(
                "entries {entries}, {requests_per_second} requests a second, {name}: {} {:.0} {:.2}",
                fullest.retries,
                fullest.allowed,
                fullest.used()
            );
        }
    }
}

//! Measures how long an engine serves the weights of a late load order from an earlier lease holder,
//! with engines that check fencing numbers and engines that do not.
//!
//! `cargo run --release -p mustardrill_standins --example late_order`, after
//! `cargo build --release --workspace --bins --examples`.

use mustardrill_standins::scenario::late_order;

#[tokio::main]
async fn main() {
    println!(
        "{:>16} {:>8} {:>9} {:>12} {:>18}",
        "checks fencing", "run", "refused", "out of turn", "old served for ms"
    );
    for checks_fencing in [true, false] {
        for run in 1..=3 {
            let outcome = late_order(checks_fencing).await;
            let pairs = outcome.orders.windows(2);
            let out_of_turn = pairs.filter(|pair| pair[1].0 < pair[0].0).count();
            let served_ms =
                outcome.served_for.map_or("never".into(), |span| format!("{}", span.as_millis()));
            println!(
                "{checks_fencing:>16} {run:>8} {:>9} {out_of_turn:>12} {served_ms:>18}",
                outcome.refused
            );
        }
    }
}

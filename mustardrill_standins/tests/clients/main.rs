//! Clients that keep to no limit: heads without end, connections without number, answers that are
//! read slowly. After each crowd the process lives, its memory and descriptors were under a bound,
//! and an ordinary request is answered.

mod crowd;
mod endless_answers;
mod own;
mod prepared;
mod process_meter;

#[path = "../common/mod.rs"]
mod common;
#[allow(dead_code, reason = "these tests use a part of it")]
#[path = "../prepared/fleet.rs"]
mod fleet;
#[path = "../prepared/network.rs"]
mod network;
#[allow(dead_code, reason = "these tests use a part of it")]
#[path = "../prepared/staged_weights.rs"]
mod staged_weights;
#[allow(dead_code, reason = "these tests use a part of it")]
#[path = "../prepared/store.rs"]
mod store;
#[allow(dead_code, reason = "these tests use a part of it")]
#[path = "../prepared/worker.rs"]
mod worker;

use tokio::sync::{Mutex, MutexGuard};

/// Waits for the other tests of this program: each is played alone.
async fn exclusive_run() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::const_new(());
    RUNNING.lock().await
}

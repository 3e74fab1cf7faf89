//! Whether callers get tokens from chunks that turned bad around the moment at which an engine took
//! them.

use std::time::Duration;

use mustardrill_standins::process::daemon;
use serde_json::json;

use crate::fleet::{Fleet, agent_settings, entry_settings, register};
use crate::worker::{CHUNKS, StagingCall, StagingFault, Worker};

/// Longer than the time for which the platform's rules excuse a damaged chunk.
const LONG_SILENCE: Duration = Duration::from_millis(3_400);

const LOAD_TIME: Duration = Duration::from_millis(100);

/// Two engines serve version 1 and version 2 is announced; `disturb` is called before.
async fn announce_after(disturb: impl FnOnce(&Worker)) -> Fleet {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    fleet.engines.iter().for_each(|engine| engine.set_load_time(LOAD_TIME));
    disturb(&fleet.engines[0]);
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    fleet
}

/// Calls the entry until the disturbed engine has answered `count` requests on version 2, and
/// returns the requests that were answered with a damaged layer.
async fn damaged_runs(fleet: &Fleet, count: usize) -> Vec<String> {
    let engine = &fleet.engines[0];
    let mut number = 0;
    let starts = || engine.request_starts().iter().filter(|start| start.version == 2).count();
    let deadline = tokio::time::Instant::now() + Duration::from_secs(25);
    while starts() < count {
        assert!(tokio::time::Instant::now() < deadline, "version 2 is not used\n{}", fleet.logs());
        number += 1;
        fleet.call(&format!("w{number}"), "/drafts/x", "key-1").await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    engine.damaged_runs()
}

async fn assert_whole(fleet: &Fleet) {
    let damaged = damaged_runs(fleet, 20).await;
    assert!(!fleet.engines[0].has_staging_fault(), "the fault did not strike");
    assert!(damaged.is_empty(), "answered with damaged layers: {damaged:?}\n{}", fleet.logs());
}

/// The agent stood still between two chunks of its check, and ordered the load by what it had read
/// before.
#[tokio::test(flavor = "multi_thread")]
async fn a_chunk_that_turned_bad_after_it_was_read_back_made_tokens() {
    let fleet = announce_after(|engine| {
        engine.set_read_back_time(Duration::from_millis(20));
        engine.set_staging_fault(StagingFault {
            call: StagingCall::ReadBack(CHUNKS / 2),
            version: 2,
            damaged: vec![0, 1],
            silence: Duration::ZERO,
        });
    })
    .await;
    let has_struck = async || !fleet.engines[0].has_staging_fault();
    fleet.wait_until("the fault has struck", has_struck).await;
    fleet.agents[0].suspend();
    tokio::time::sleep(LONG_SILENCE).await;
    fleet.agents[0].resume();
    assert_whole(&fleet).await;
}

/// The order reached the engine with whole chunks; the engine accepted it seconds later.
#[tokio::test(flavor = "multi_thread")]
async fn a_chunk_that_turned_bad_while_the_order_waited_made_tokens() {
    let fleet = announce_after(|engine| {
        engine.set_staging_fault(held_order());
    })
    .await;
    assert_whole(&fleet).await;
}

/// No silence is needed where the check takes longer than a chunk may be bad.
#[tokio::test(flavor = "multi_thread")]
async fn a_chunk_that_turned_bad_during_a_slow_read_back_made_tokens() {
    let fleet = announce_after(|engine| {
        engine.set_read_back_time(Duration::from_millis(380));
        engine.set_staging_fault(StagingFault {
            call: StagingCall::ReadBack(2),
            version: 2,
            damaged: vec![0],
            silence: Duration::ZERO,
        });
    })
    .await;
    assert_whole(&fleet).await;
}

/// The order of an engine that holds it for `LONG_SILENCE`, while a chunk turns bad.
fn held_order() -> StagingFault {
    StagingFault { call: StagingCall::Order, version: 2, damaged: vec![5], silence: LONG_SILENCE }
}

/// The agent that gave the order is killed before the engine accepts it, and the next one knows of it
/// from the store only.
#[tokio::test(flavor = "multi_thread")]
async fn a_load_ordered_by_a_killed_agent_made_tokens() {
    let mut fleet = announce_after(|engine| engine.set_staging_fault(held_order())).await;
    let has_struck = async || !fleet.engines[0].has_staging_fault();
    fleet.wait_until("the order is held", has_struck).await;
    fleet.agents[0].kill();
    let (store, engine) = (fleet.stand_ins[0].address, fleet.stand_ins[2].address);
    let settings = agent_settings("agent-0", fleet.network.machine_ip(10), engine, store);
    fleet.agents[0] = daemon(&fleet.folder, "mustardrill-agent", "agent-0-next", &settings);
    assert_whole(&fleet).await;
}

/// The entry starts while the load is in doubt, and learns of the new weights from the registration of
/// the engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_load_in_doubt_made_tokens_at_an_entry_that_had_just_started() {
    let mut fleet = announce_after(|engine| engine.set_staging_fault(held_order())).await;
    let engine = &fleet.engines[0];
    fleet.wait_until("the order is held", async || !engine.has_staging_fault()).await;
    // The proof takes long enough for the entry to start before it.
    engine.set_read_back_time(Duration::from_millis(350));
    fleet.wait_until("the engine has accepted", async || engine.version() == 2).await;
    let address = fleet.stand_ins[2].address;
    register(&fleet.store, engine, address, "pool");
    fleet.entry.kill();
    let store = fleet.stand_ins[0].address;
    let settings = entry_settings("entry-1", fleet.network.machine_ip(3), store);
    fleet.entry = daemon(&fleet.folder, "mustardrill-entry", "entry-next", &settings);
    fleet.wait_until("the entry is ready", async || fleet.is_ready().await).await;
    assert_whole(&fleet).await;
}

/// The protocol: what is staged survives a crash, and workers that restarted hold no layers.
#[test]
fn an_engine_that_restarted_holds_layers() {
    let engine = Worker::new("i-1", 1);
    engine.corrupt_chunk(3);
    let before = engine.born();
    engine.restart();
    assert!(engine.born() > before);
    assert_eq!((engine.version(), engine.reported_version()), (0, 0));
    assert!(engine.loads().is_empty());
}

/// An engine took a damaged chunk and crashed before its agent had read the copy back. It was held to
/// have started with sound layers.
#[tokio::test(flavor = "multi_thread")]
async fn a_chunk_taken_just_before_a_crash_made_tokens_after_it() {
    let fleet = announce_after(|engine| {
        engine.set_staging_fault(StagingFault {
            call: StagingCall::Order,
            version: 2,
            damaged: vec![5],
            silence: Duration::ZERO,
        });
    })
    .await;
    let engine = &fleet.engines[0];
    fleet.wait_until("the engine has accepted", async || !engine.loads().is_empty()).await;
    engine.restart();
    register(&fleet.store, engine, fleet.stand_ins[2].address, "pool");
    let holds = async || engine.version() == 2;
    fleet.wait_until("the engine has loaded again", holds).await;
    register(&fleet.store, engine, fleet.stand_ins[2].address, "pool");
    assert_whole(&fleet).await;
    assert!(engine.loads().len() >= 2, "nothing was loaded after the crash");
}

//! Runs entry and agents as processes against stand-ins of the prepared platform and checks what
//! callers and workers observe.

mod answers;
mod callers;
mod chunk_lists;
mod crash;
mod cut_answers;
mod damaged_weights;
mod endless;
mod evacuation;
mod fleet;
mod framing;
mod late_records;
mod leaving;
mod limits;
mod listings;
mod network;
mod odd_entries;
mod pages;
mod parts;
mod planned_stops;
mod returns;
mod revocations;
mod rewound;
mod silences;
mod soak;
mod staged_weights;
mod statements;
mod statuses;
mod store;
mod store_calls;
mod versions;
mod worker;

use std::time::{Duration, Instant};

use fleet::{Fleet, complete_stream, configuration};
use hyper::StatusCode;
use serde_json::json;
use store::StoreMode;
use worker::{CHUNKS, EVENTS, Worker, WorkerFault};

#[tokio::test(flavor = "multi_thread")]
async fn callers_get_complete_answers_and_invalid_calls_are_refused() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    let answer = fleet.call("a1", "/drafts/x", "key-1").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body, complete_stream());
    assert!(answer.headers["x-server-signature"].to_str().unwrap().starts_with("s-i-"));
    let answer = fleet.call("a2", "/notices/x", "key-2").await;
    assert_eq!((answer.status, &*answer.body), (StatusCode::OK, &b"done a2"[..]));
    let tenants: Vec<_> = fleet.desks.iter().flat_map(Worker::runs).collect();
    assert_eq!(
        tenants,
        ["a2 comedor"],
        "requests run for the key's customer, not for the forged one"
    );
    for (path, key, status) in
        [("/drafts/x", "wrong", 401), ("/drafts/x", "", 401), ("/none/x", "key-1", 404)]
    {
        let answer = fleet.call("a3", path, key).await;
        assert_eq!(answer.status.as_u16(), status, "{path} {key}");
    }
    assert_eq!(fleet.runs("a3"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_cut_resumes_at_another_engine() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    for after in 0..EVENTS {
        for engine in &fleet.engines {
            engine.set_fault(WorkerFault::CutAfter(after), 1);
        }
        // Either engine may get the request: once one has started it, the fault is cleared on both,
        // so that the retry succeeds.
        let attempt = format!("b{after}");
        let first = fleet.engines[0].runs().len() + fleet.engines[1].runs().len();
        let answer = fleet.call(&attempt, "/drafts/x", "key-1");
        let clear_faults = async {
            while fleet.engines[0].runs().len() + fleet.engines[1].runs().len() == first {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            fleet.engines.iter().for_each(|engine| engine.set_fault(WorkerFault::None, 0));
        };
        let (answer, ()) = tokio::join!(answer, clear_faults);
        assert_eq!(answer.body, complete_stream(), "cut after {after} events\n{}", fleet.logs());
        assert_eq!(fleet.runs(&attempt), 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_runs_once_and_its_outcome_is_reported_correctly() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    for (fault, attempt) in [(WorkerFault::LoseAnswer, "c1"), (WorkerFault::WrongRequestId, "c2")] {
        fleet.desks.iter().for_each(|desk| desk.set_fault(fault, 9));
        let answer = fleet.call(attempt, "/notices/x", "key-1").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{fault:?}");
        assert_eq!(fleet.runs(attempt), 1, "{fault:?}");
    }
    fleet.desks.iter().for_each(|desk| desk.set_fault(WorkerFault::NotExecuted, 9));
    let answer = fleet.call("c3", "/notices/x", "key-1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(fleet.runs("c3"), 0);
    fleet.desks.iter().for_each(|desk| desk.set_fault(WorkerFault::None, 0));
    fleet.desks[0].set_fault(WorkerFault::LoseAnswer, 1);
    fleet.desks[1].set_fault(WorkerFault::LoseAnswer, 1);
    let answer = fleet.call("c4", "/status/x", "key-1").await;
    assert!(fleet.runs("c4") <= 2, "{}", answer.status);
}

#[tokio::test(flavor = "multi_thread")]
async fn new_weights_reach_all_engines_complete_and_about_once_from_the_origin() {
    let engines = vec![Worker::new("i-1", 1), Worker::new("i-2", 1), Worker::empty("i-3")];
    let fleet = Fleet::start(engines).await;
    let all = async |version| fleet.engines.iter().all(|engine| engine.version() == version);
    fleet.wait_until("the empty engine has loaded version 1", async || all(1).await).await;
    let before = fleet.origin.sent();
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    // A chunk is corrupted after staging and before loading.
    fleet.engines[0].corrupt_chunk(3);
    fleet.wait_until("all have version 2", async || all(2).await).await;
    let loads: Vec<_> = fleet.engines.iter().flat_map(Worker::loads).collect();
    assert!(
        loads.iter().all(|is_complete| *is_complete),
        "a load took a chunk that was not complete: {loads:?}"
    );
    let fetched = fleet.origin.sent() - before;
    assert!(fetched <= CHUNKS * 3 / 2, "{fetched} chunks of {CHUNKS} from the origin");
    fleet
        .wait_until("the entry knows that version 2 is loaded", async || {
            let answer = fleet.call("d1", "/drafts/x", "key-1").await;
            answer.headers.get("x-weight-versions").is_some_and(|version| version == "2")
        })
        .await;
}

/// The agents' pending calls hang in the outage for longer than the version bound; entries poll
/// more often and forward the announcement.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_announced_while_the_store_is_silent_is_loaded_soon_after_it_recovers() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.set_mode(StoreMode::Silent);
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.store.set_mode(StoreMode::Available);
    let all = async || fleet.engines.iter().all(|engine| engine.version() == 2);
    let took = fleet.wait_until("all have version 2", async || all().await).await;
    assert!(took < Duration::from_secs(8), "{took:?}");
}

/// The configuration may be large and agents need only a few lines of it, so they get it from an
/// entry instead of reading the whole store.
#[tokio::test(flavor = "multi_thread")]
async fn agents_that_start_get_the_configuration_from_an_entry() {
    let engines = vec![Worker::empty("i-1"), Worker::empty("i-2"), Worker::empty("i-3")];
    let fleet = Fleet::start(engines).await;
    let all = async || fleet.engines.iter().all(|engine| engine.version() == 1);
    fleet.wait_until("all engines have loaded version 1", async || all().await).await;
    assert_eq!(
        fleet.store.reads(""),
        1,
        "only the entry may read the whole store\n{}",
        fleet.logs()
    );
}

/// If every agent read the registrations of all upstreams, these reads would take up the links that
/// the chunks need.
#[tokio::test(flavor = "multi_thread")]
async fn agents_get_the_upstreams_that_need_a_version_from_an_entry() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    let all = async || fleet.engines.iter().all(|engine| engine.version() == 2);
    fleet.wait_until("all have version 2", async || all().await).await;
    assert_eq!(fleet.store.reads("servers/"), 0, "{}", fleet.logs());
}

/// Entries relay weights. With a suspended entry or with none, agents exchange the chunks among
/// themselves.
#[tokio::test(flavor = "multi_thread")]
async fn new_weights_reach_all_engines_without_an_entry_that_relays_them() {
    let engines = vec![Worker::new("i-1", 1), Worker::new("i-2", 1), Worker::new("i-3", 1)];
    let mut fleet = Fleet::start(engines).await;
    let all = async |fleet: &Fleet, version| {
        fleet.engines.iter().all(|engine| engine.version() == version)
    };
    fleet.entry.suspend();
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    fleet.wait_until("all have version 2", async || all(&fleet, 2).await).await;
    fleet.entry.kill();
    let before = fleet.origin.sent();
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 3}));
    fleet.wait_until("all have version 3", async || all(&fleet, 3).await).await;
    let loads: Vec<_> = fleet.engines.iter().flat_map(Worker::loads).collect();
    assert!(
        loads.iter().all(|is_complete| *is_complete),
        "a load took a chunk that was not complete: {loads:?}"
    );
    let fetched = fleet.origin.sent() - before;
    assert!(fetched <= CHUNKS * 3 / 2, "{fetched} chunks of {CHUNKS} from the origin");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_refused_and_every_key_while_the_store_is_unavailable() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    let newer = configuration(4, fleet.origin_address, &["key-1"]);
    fleet.store.write("op/config", &newer);
    let took = fleet
        .wait_until("key-2 is refused", async || {
            fleet.call("e1", "/notices/x", "key-2").await.status == StatusCode::UNAUTHORIZED
        })
        .await;
    assert!(took < Duration::from_secs(2), "{took:?}");
    // The history is compacted and an older configuration appears: the revoked key stays refused.
    fleet.store.write("op/config", &configuration(3, fleet.origin_address, &["key-2"]));
    fleet.store.compact();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fleet.call("e2", "/notices/x", "key-2").await.status, StatusCode::UNAUTHORIZED);
    for mode in [StoreMode::Silent, StoreMode::Unavailable] {
        fleet.store.set_mode(mode);
        let took = fleet
            .wait_until("key-1 is refused", async || {
                let answer = fleet.call("e3", "/notices/x", "key-1").await;
                answer.status == StatusCode::SERVICE_UNAVAILABLE
            })
            .await;
        assert!(took < Duration::from_secs(3), "{mode:?} {took:?}");
        assert!(!fleet.is_ready().await);
        fleet.store.set_mode(StoreMode::Available);
        fleet
            .wait_until("key-1 is accepted again", async || {
                fleet.call("e4", "/notices/x", "key-1").await.status == StatusCode::OK
            })
            .await;
    }
}

/// The store's history moves on in an outage, and afterwards every agent asks for changes again at
/// the same time.
#[tokio::test(flavor = "multi_thread")]
async fn agents_read_versions_not_the_configuration_when_the_history_is_gone() {
    let engines: Vec<_> = ["i-1", "i-2", "i-3"].map(|id| Worker::new(id, 1)).into();
    let fleet = Fleet::start(engines).await;
    let serve =
        |fleet: &Fleet, version| fleet.engines.iter().all(|engine| engine.version() == version);
    fleet.wait_until("the entry is ready", async || fleet.is_ready().await).await;
    // By now the agents have read the configuration and watch only the version keys.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (full_reads, version_reads) = (fleet.store.reads(""), fleet.store.reads("op/version/"));
    fleet.store.write("op/note", &json!({}));
    fleet.store.compact();
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    fleet.wait_until("all have version 2", async || serve(&fleet, 2)).await;
    let read = fleet.store.reads("") - full_reads;
    assert!(read <= 1, "whole store read {read} times; only the entry may read it");
    assert!(
        fleet.store.reads("op/version/") - version_reads <= 3,
        "each agent may read the version keys once"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_completes_the_requests_in_progress() {
    let mut fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    fleet.engines[0].set_answer_delay(Duration::from_millis(200));
    let answer = fleet.call("f1", "/drafts/x", "key-1");
    let stop = async {
        fleet.wait_until("the request runs", async || fleet.runs("f1") == 1).await;
        fleet.entry.terminate();
        fleet.wait_until("the entry is not ready", async || !fleet.is_ready().await).await;
        // New requests are still served while draining, with an instruction to close the
        // connection.
        let answer = fleet.call("f2", "/notices/x", "key-1").await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.headers["connection"], "close");
    };
    let (answer, ()) = tokio::join!(answer, stop);
    assert_eq!(answer.body, complete_stream());
    let stopped_at = Instant::now();
    while !fleet.entry.has_ended() {
        assert!(stopped_at.elapsed() < Duration::from_secs(5));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(fleet.agents.iter_mut().all(|agent| !agent.has_ended()));
    assert!(!fleet.stand_ins.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deregistered_worker_gets_no_more_requests() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    fleet.store.remove("servers/i-1");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = fleet.engines[0].runs().len();
    for number in 0..10 {
        let answer = fleet.call(&format!("g{number}"), "/drafts/x", "key-1").await;
        assert_eq!(answer.body, complete_stream());
    }
    assert_eq!(fleet.engines[0].runs().len(), before);
}

//! The daemons as processes on a stand-in of the prepared platform, seen by callers and workers.

mod crash;
mod fleet;
mod leaving;
mod rewound;
mod soak;
mod store;
mod versions;
mod worker;

use std::time::{Duration, Instant};

use fleet::{Fleet, configuration, whole_stream};
use hyper::StatusCode;
use serde_json::json;
use store::StoreMode;
use worker::{CHUNKS, EVENTS, Worker, WorkerFault};

#[tokio::test(flavor = "multi_thread")]
async fn callers_get_whole_answers_and_wrong_ones_a_clear_word() {
    let fleet = Fleet::start(1, vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    let answer = fleet.call("a1", "/drafts/x", "key-1").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body, whole_stream());
    assert!(answer.headers["x-server-signature"].to_str().unwrap().starts_with("s-i-"));
    let answer = fleet.call("a2", "/notices/x", "key-2").await;
    assert_eq!((answer.status, &*answer.body), (StatusCode::OK, &b"done a2"[..]));
    let tenants: Vec<_> = fleet.desks.iter().flat_map(Worker::runs).collect();
    assert_eq!(tenants, ["a2 comedor"], "the key's customer, not the one that was forged");
    for (path, key, status) in
        [("/drafts/x", "wrong", 401), ("/drafts/x", "", 401), ("/none/x", "key-1", 404)]
    {
        let answer = fleet.call("a3", path, key).await;
        assert_eq!(answer.status.as_u16(), status, "{path} {key}");
    }
    assert_eq!(fleet.runs("a3"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_goes_on_at_another_worker() {
    let fleet = Fleet::start(2, vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    for after in 0..EVENTS {
        for engine in &fleet.engines {
            engine.set_fault(WorkerFault::BreakAfter(after), 1);
        }
        // One of the two breaks off; the other's fault is taken back as soon as it did.
        let attempt = format!("b{after}");
        let first = fleet.engines[0].runs().len() + fleet.engines[1].runs().len();
        let answer = fleet.call(&attempt, "/drafts/x", "key-1");
        let calm = async {
            while fleet.engines[0].runs().len() + fleet.engines[1].runs().len() == first {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            fleet.engines.iter().for_each(|engine| engine.set_fault(WorkerFault::None, 0));
        };
        let (answer, ()) = tokio::join!(answer, calm);
        assert_eq!(answer.body, whole_stream(), "broken off after {after}\n{}", fleet.logs());
        assert_eq!(fleet.runs(&attempt), 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_may_run_once_runs_once_and_is_told_truly() {
    let fleet = Fleet::start(3, vec![Worker::new("i-1", 1)]).await;
    for (fault, attempt) in [(WorkerFault::LoseAnswer, "c1"), (WorkerFault::Foreign, "c2")] {
        fleet.desks.iter().for_each(|desk| desk.set_fault(fault, 9));
        let answer = fleet.call(attempt, "/notices/x", "key-1").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{fault:?}");
        assert_eq!(fleet.runs(attempt), 1, "{fault:?}");
    }
    fleet.desks.iter().for_each(|desk| desk.set_fault(WorkerFault::Full, 9));
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
async fn new_weights_come_to_all_engines_whole_and_once_from_the_origin() {
    let engines = vec![Worker::new("i-1", 1), Worker::new("i-2", 1), Worker::empty("i-3")];
    let fleet = Fleet::start(4, engines).await;
    let all = async |version| fleet.engines.iter().all(|engine| engine.version() == version);
    fleet.until("the empty engine is filled", async || all(1).await).await;
    let before = fleet.origin.sent();
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    // Bad chunks turn up between staging and loading.
    fleet.engines[0].spoil(3);
    fleet.until("all have version 2", async || all(2).await).await;
    let loads: Vec<_> = fleet.engines.iter().flat_map(Worker::loads).collect();
    assert!(loads.iter().all(|whole| *whole), "a load took a chunk that was not whole: {loads:?}");
    let drawn = fleet.origin.sent() - before;
    assert!(drawn <= CHUNKS * 3 / 2, "{drawn} chunks of {CHUNKS} from the origin");
    fleet
        .until("the entry knows", async || {
            let answer = fleet.call("d1", "/drafts/x", "key-1").await;
            answer.headers.get("x-weight-versions").is_some_and(|version| version == "2")
        })
        .await;
}

/// The agents' calls hang with the store, for longer than a version may take; entries ask more often.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_named_while_the_store_is_silent_comes_soon_after_it_is_back() {
    let fleet = Fleet::start(10, vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.set_mode(StoreMode::Silent);
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.store.set_mode(StoreMode::Sound);
    let all = async || fleet.engines.iter().all(|engine| engine.version() == 2);
    let took = fleet.until("all have version 2", async || all().await).await;
    assert!(took < Duration::from_secs(8), "{took:?}");
}

/// Agents need some lines of a configuration that may be large.
#[tokio::test(flavor = "multi_thread")]
async fn agents_that_start_learn_of_the_fleet_from_an_entry() {
    let engines = vec![Worker::empty("i-1"), Worker::empty("i-2"), Worker::empty("i-3")];
    let fleet = Fleet::start(9, engines).await;
    let all = async || fleet.engines.iter().all(|engine| engine.version() == 1);
    fleet.until("all engines are filled", async || all().await).await;
    assert_eq!(fleet.store.reads(""), 1, "only the entry reads everything\n{}", fleet.logs());
}

/// The registrations of all upstreams, read by every agent, fill the links that the chunks need.
#[tokio::test(flavor = "multi_thread")]
async fn agents_learn_from_an_entry_who_needs_a_version() {
    let fleet = Fleet::start(11, vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    let all = async || fleet.engines.iter().all(|engine| engine.version() == 2);
    fleet.until("all have version 2", async || all().await).await;
    assert_eq!(fleet.store.reads("servers/"), 0, "{}", fleet.logs());
}

/// Entries hand weights on; without any, or with one that stands still, agents do so themselves.
#[tokio::test(flavor = "multi_thread")]
async fn new_weights_come_though_no_entry_hands_them_on() {
    let engines = vec![Worker::new("i-1", 1), Worker::new("i-2", 1), Worker::new("i-3", 1)];
    let mut fleet = Fleet::start(8, engines).await;
    let all = async |fleet: &Fleet, version| {
        fleet.engines.iter().all(|engine| engine.version() == version)
    };
    fleet.entry.suspend();
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    fleet.until("all have version 2", async || all(&fleet, 2).await).await;
    fleet.entry.kill();
    let before = fleet.origin.sent();
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 3}));
    fleet.until("all have version 3", async || all(&fleet, 3).await).await;
    let loads: Vec<_> = fleet.engines.iter().flat_map(Worker::loads).collect();
    assert!(loads.iter().all(|whole| *whole), "a load took a chunk that was not whole: {loads:?}");
    let drawn = fleet.origin.sent() - before;
    assert!(drawn <= CHUNKS * 3 / 2, "{drawn} chunks of {CHUNKS} from the origin");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_taken_away_is_refused_and_without_the_store_every_key_in_the_end() {
    let fleet = Fleet::start(5, vec![Worker::new("i-1", 1)]).await;
    let newer = configuration(4, fleet.origin_address, &["key-1"]);
    fleet.store.write("op/config", &newer);
    let took = fleet
        .until("key-2 is refused", async || {
            fleet.call("e1", "/notices/x", "key-2").await.status == StatusCode::UNAUTHORIZED
        })
        .await;
    assert!(took < Duration::from_secs(2), "{took:?}");
    // The history is forgotten, and an older configuration turns up: nothing goes back.
    fleet.store.write("op/config", &configuration(3, fleet.origin_address, &["key-2"]));
    fleet.store.compact();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fleet.call("e2", "/notices/x", "key-2").await.status, StatusCode::UNAUTHORIZED);
    for mode in [StoreMode::Silent, StoreMode::Busy] {
        fleet.store.set_mode(mode);
        let took = fleet
            .until("keys are refused", async || {
                let answer = fleet.call("e3", "/notices/x", "key-1").await;
                answer.status == StatusCode::SERVICE_UNAVAILABLE
            })
            .await;
        assert!(took < Duration::from_secs(3), "{mode:?} {took:?}");
        assert!(!fleet.ready().await);
        fleet.store.set_mode(StoreMode::Sound);
        fleet
            .until("keys are taken again", async || {
                fleet.call("e4", "/notices/x", "key-1").await.status == StatusCode::OK
            })
            .await;
    }
}

/// The history goes on in an outage, and every agent asks again at its end.
#[tokio::test(flavor = "multi_thread")]
async fn each_agent_reads_the_configuration_again_when_the_history_is_gone() {
    let engines: Vec<_> = ["i-1", "i-2", "i-3"].map(|id| Worker::new(id, 1)).into();
    let fleet = Fleet::start(23, engines).await;
    let serve =
        |fleet: &Fleet, version| fleet.engines.iter().all(|engine| engine.version() == version);
    fleet.until("all serve", async || fleet.ready().await).await;
    // Agents have read the configuration, and wait for versions alone.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (whole, versions) = (fleet.store.reads(""), fleet.store.reads("op/version/"));
    fleet.store.write("op/note", &json!({}));
    fleet.store.compact();
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    fleet.until("all have version 2", async || serve(&fleet, 2)).await;
    let read = fleet.store.reads("") - whole;
    assert!(read <= 1, "the entry alone reads everything, not {read} processes");
    assert!(fleet.store.reads("op/version/") - versions <= 3, "one small reading an agent");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_what_it_has_begun() {
    let mut fleet = Fleet::start(6, vec![Worker::new("i-1", 1)]).await;
    fleet.engines[0].set_pause(Duration::from_millis(200));
    let answer = fleet.call("f1", "/drafts/x", "key-1");
    let stop = async {
        fleet.until("it runs", async || fleet.runs("f1") == 1).await;
        fleet.entry.terminate();
        fleet.until("it is not ready", async || !fleet.ready().await).await;
        // Who still comes is served, and asked to use another connection.
        let answer = fleet.call("f2", "/notices/x", "key-1").await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.headers["connection"], "close");
    };
    let (answer, ()) = tokio::join!(answer, stop);
    assert_eq!(answer.body, whole_stream());
    let begun = Instant::now();
    while !fleet.entry.has_ended() {
        assert!(begun.elapsed() < Duration::from_secs(5));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(fleet.agents.iter_mut().all(|agent| !agent.has_ended()));
    assert!(!fleet.listening.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_worker_gets_nothing_more() {
    let fleet = Fleet::start(7, vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    fleet.store.remove("servers/i-1");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = fleet.engines[0].runs().len();
    for number in 0..10 {
        let answer = fleet.call(&format!("g{number}"), "/drafts/x", "key-1").await;
        assert_eq!(answer.body, whole_stream());
    }
    assert_eq!(fleet.engines[0].runs().len(), before);
}

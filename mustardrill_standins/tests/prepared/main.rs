//! The daemons as processes on a stand-in of the prepared platform, seen by callers and workers.

mod store;
mod worker;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::StatusCode;
use mustardrill_runtime::http::{HttpClient, WholeAnswer, request};
use mustardrill_standins::StandIn;
use mustardrill_standins::process::{LabProcess, daemon};
use serde_json::{Value, json};
use store::{Store, StoreMode};
use worker::{CHUNKS, EVENTS, Origin, Worker, WorkerFault};

/// One entry, two engines with their agents and two plain workers.
struct Fleet {
    store: Store,
    origin: Origin,
    engines: Vec<Worker>,
    desks: Vec<Worker>,
    entry: LabProcess,
    agents: Vec<LabProcess>,
    folder: PathBuf,
    client: HttpClient,
    /// Where things listen; dropped with the fleet.
    listening: Vec<StandIn>,
    origin_address: SocketAddr,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An address of this machine alone for each machine of a fleet, and another for each test.
fn machine(test: u8, number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 10, test, number))
}

async fn listen(
    address: IpAddr,
    handler: Box<dyn mustardrill_runtime::http::HttpHandler>,
) -> StandIn {
    StandIn::spawn(SocketAddr::new(address, 0), handler).await.unwrap()
}

const AGENT_PORT: u16 = 17_701;

impl Fleet {
    async fn start(test: u8, engines: Vec<Worker>) -> Self {
        let folder = std::env::temp_dir()
            .join(format!("mustardrill-prepared-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (store, origin) = (Store::new(), Origin::default());
        let store_at = listen(machine(test, 1), Box::new(store.clone())).await;
        let origin_at = listen(machine(test, 2), Box::new(origin.clone())).await;
        let (store_address, origin_address) = (store_at.address, origin_at.address);
        let mut listening = vec![store_at, origin_at];
        let desks = vec![Worker::new("i-desk-1", 0), Worker::new("i-desk-2", 0)];
        let settings = format!(
            "[entry]\nplatform = prepared\ninstance = entry-1\ndata_centre = hall-a\n\
             listen = {ip}:0\nready_listen = {ip}:0\npeer_listen = {ip}:17700\n\
             linger = 500ms\n[platform]\nstore = {store_address}\n\
             [bounds]\nrevocation = 3s\nversion = 3s\ngrace = 4s\n",
            ip = machine(test, 3)
        );
        let entry = daemon(&folder, "mustardrill-entry", "entry", &settings);
        let mut agents = Vec::new();
        for (place, engine) in engines.iter().enumerate() {
            let ip = machine(test, 10 + place as u8);
            let at = listen(ip, Box::new(engine.clone())).await;
            register(&store, engine, at.address, "pool");
            let settings = format!(
                "[agent]\nplatform = prepared\ninstance = agent-{place}\ndata_centre = hall-a\n\
                 service = pool\nlisten = {ip}:{AGENT_PORT}\n[upstream]\naddress = {}\n\
                 look_every = 50ms\n[platform]\nstore = {store_address}\n[bounds]\nversion = 3s\n",
                at.address
            );
            listening.push(at);
            agents.push(daemon(&folder, "mustardrill-agent", &format!("agent-{place}"), &settings));
        }
        for (place, desk) in desks.iter().enumerate() {
            let at = listen(machine(test, 30 + place as u8), Box::new(desk.clone())).await;
            register(&store, desk, at.address, "desk");
            listening.push(at);
        }
        store.write("op/config", &configuration(1, origin_address, &["key-1", "key-2"]));
        let client = HttpClient::open(Duration::from_secs(1));
        let fleet = Self {
            store,
            origin,
            engines,
            desks,
            entry,
            agents,
            folder,
            client,
            listening,
            origin_address,
        };
        fleet.until("the entry is ready", async || fleet.ready().await).await;
        fleet
    }

    async fn ready(&self) -> bool {
        let uri = format!("http://{}/v1/readiness", self.entry.second.unwrap());
        let call = self.client.call(request("GET", &uri, ""), Duration::from_secs(1), 1_000);
        call.await.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// Waits until something holds; how long it took.
    async fn until(&self, what: &str, holds: impl AsyncFn() -> bool) -> Duration {
        let begun = Instant::now();
        while !holds().await {
            assert!(begun.elapsed() < Duration::from_secs(20), "{what}\n{}", self.logs());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        begun.elapsed()
    }

    fn logs(&self) -> String {
        let names = std::fs::read_dir(&self.folder).unwrap().flatten();
        let logs = names.filter(|file| file.path().extension().is_some_and(|it| it == "log"));
        logs.map(|file| std::fs::read_to_string(file.path()).unwrap_or_default()).collect()
    }

    async fn call(&self, attempt: &str, path: &str, key: &str) -> WholeAnswer {
        let uri = format!("http://{}{path}", self.entry.address);
        let method = if path.starts_with("/status/") { "GET" } else { "POST" };
        let mut call = request(method, &uri, Bytes::from_static(b""));
        let headers = call.headers_mut();
        headers.insert("host", "drafts.example".parse().unwrap());
        headers.insert("x-attempt-id", attempt.parse().unwrap());
        headers.insert("x-deadline-ms", "6000".parse().unwrap());
        headers.insert("x-tenant", "forged".parse().unwrap());
        if path.starts_with("/drafts/") {
            headers.insert("x-model", "m0".parse().unwrap());
            headers.insert("x-token-usage", "300,36".parse().unwrap());
        }
        if !key.is_empty() {
            headers.insert("authorization", format!("Token {key}").parse().unwrap());
        }
        self.client.call(call, Duration::from_secs(10), 1_000_000).await.unwrap_or_else(|error| {
            panic!("{error}\n{}", self.logs());
        })
    }

    /// How often a request was run, by all workers together.
    fn runs(&self, attempt: &str) -> usize {
        let workers = self.engines.iter().chain(&self.desks);
        let runs = workers.flat_map(Worker::runs);
        runs.filter(|run| run.split(' ').next() == Some(attempt)).count()
    }
}

fn register(store: &Store, worker: &Worker, address: SocketAddr, service: &str) {
    let models = if service == "pool" && worker.version() > 0 {
        json!([{"name": "m0", "version": worker.version(), "adapters": []}])
    } else {
        json!([])
    };
    let entry = json!({"service": service, "address": address, "zone": "hall-a", "version": "v1",
        "slots": 16, "state": "ready", "cold_remaining_ms": 0, "models": models, "sequence": 1});
    store.write(&format!("servers/{}", worker.id), &entry);
}

fn configuration(version: u64, origin: SocketAddr, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "drafts.example", "prefix": prefix, "kind": kind,
            "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1, "service": service,
            "max_attempts": 2, "public": false, "stream_resumption": true, "target_gap_ms": 300})
    };
    json!({"version": version,
        "routes": [route("drafts", "/drafts/", "streaming", "pool"),
            route("notices", "/notices/", "non_idempotent", "desk"),
            route("status", "/status/", "idempotent", "desk")],
        "services": [
            {"name": "pool", "max_connections": 64, "engine_profile": {"slots": 16, "stride": 6,
                "step_ms": 6.7, "read_per_s": 30600.0, "usual": {"prompt": 300, "answer": 36},
                "models": [{"name": "m0", "warmup_s": 0.1}], "layers": 16, "chunks": CHUNKS,
                "chunk_bytes": 1600}},
            {"name": "records", "origin": origin, "zone": "hall-a", "link_mbps": 50.0},
            {"name": "desk", "max_connections": 64}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "comedor", "api_keys": keys}]})
}

fn whole_stream() -> String {
    (1..=EVENTS).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

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

/// Agents need some lines of a configuration that may be large.
#[tokio::test(flavor = "multi_thread")]
async fn agents_that_start_learn_of_the_fleet_from_an_entry() {
    let engines = vec![Worker::empty("i-1"), Worker::empty("i-2"), Worker::empty("i-3")];
    let fleet = Fleet::start(9, engines).await;
    let all = async || fleet.engines.iter().all(|engine| engine.version() == 1);
    fleet.until("all engines are filled", async || all().await).await;
    assert_eq!(fleet.store.whole_reads(), 1, "only the entry reads everything\n{}", fleet.logs());
}

/// Entries hand weights on; without any, or with one that stands still, agents do so themselves.
#[tokio::test(flavor = "multi_thread")]
async fn new_weights_come_though_no_entry_hands_them_on() {
    let engines = vec![Worker::new("i-1", 1), Worker::new("i-2", 1), Worker::new("i-3", 1)];
    let mut fleet = Fleet::start(8, engines).await;
    let all = async |fleet: &Fleet, version| {
        fleet.engines.iter().all(|engine| engine.version() == version)
    };
    fleet.entry.freeze();
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

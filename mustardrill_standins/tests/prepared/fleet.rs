//! A fleet of daemons on stand-ins of the prepared platform, and the documents it is configured
//! with.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use mustardrill_runtime::http::{BufferedResponse, HttpClient, request};
use mustardrill_standins::StandIn;
use mustardrill_standins::process::{LabProcess, daemon};
use serde_json::{Value, json};

use crate::network::TestNetwork;
use crate::store::Store;
use crate::worker::{CHUNKS, EVENTS, Origin, Worker};

/// One entry, engines with an agent each, and two plain workers of the service `desk`.
pub struct Fleet {
    pub store: Store,
    pub origin: Origin,
    pub engines: Vec<Worker>,
    pub desks: Vec<Worker>,
    pub entry: LabProcess,
    pub agents: Vec<LabProcess>,
    pub folder: PathBuf,
    pub network: TestNetwork,
    pub client: HttpClient,
    /// Servers of the stand-ins; they stop listening when the fleet is dropped.
    pub stand_ins: Vec<StandIn>,
    pub origin_address: SocketAddr,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub async fn listen(
    address: IpAddr,
    handler: Box<dyn mustardrill_runtime::http::HttpHandler>,
) -> StandIn {
    StandIn::spawn(SocketAddr::new(address, 0), handler).await.unwrap()
}

const AGENT_PORT: u16 = 17_701;

impl Fleet {
    pub async fn start(engines: Vec<Worker>) -> Self {
        let network = TestNetwork::open();
        let folder = std::env::temp_dir()
            .join(format!("mustardrill-prepared-{network}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (store, origin) = (Store::new(), Origin::default());
        let store_server = listen(network.machine_ip(1), Box::new(store.clone())).await;
        let origin_server = listen(network.machine_ip(2), Box::new(origin.clone())).await;
        let (store_address, origin_address) = (store_server.address, origin_server.address);
        let mut stand_ins = vec![store_server, origin_server];
        let desks = vec![Worker::new("i-desk-1", 0), Worker::new("i-desk-2", 0)];
        // Each request earns a retry: an entry that has just started has no part of the allowance.
        let settings =
            entry_settings("entry-1", network.machine_ip(3), store_address) + "retry_ratio = 2\n";
        let entry = daemon(&folder, "mustardrill-entry", "entry", &settings);
        let mut agents = Vec::new();
        for (place, engine) in engines.iter().enumerate() {
            let ip = network.machine_ip(10 + place as u8);
            let at = listen(ip, Box::new(engine.clone())).await;
            register(&store, engine, at.address, "pool");
            let name = format!("agent-{place}");
            let settings = agent_settings(&name, ip, at.address, store_address);
            stand_ins.push(at);
            agents.push(daemon(&folder, "mustardrill-agent", &name, &settings));
        }
        for (place, desk) in desks.iter().enumerate() {
            let at = listen(network.machine_ip(30 + place as u8), Box::new(desk.clone())).await;
            register(&store, desk, at.address, "desk");
            stand_ins.push(at);
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
            network,
            client,
            stand_ins,
            origin_address,
        };
        fleet.wait_until("the entry is ready", async || fleet.is_ready().await).await;
        fleet
    }

    pub async fn is_ready(&self) -> bool {
        let uri = format!("http://{}/v1/readiness", self.entry.second_address.unwrap());
        let call = self.client.call(request("GET", &uri, ""), Duration::from_secs(1), 1_000);
        call.await.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// Waits until `holds` returns true and returns the time taken; panics with the logs after 20
    /// s.
    pub async fn wait_until(&self, what: &str, holds: impl AsyncFn() -> bool) -> Duration {
        let started_at = Instant::now();
        while !holds().await {
            assert!(started_at.elapsed() < Duration::from_secs(20), "{what}\n{}", self.logs());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        started_at.elapsed()
    }

    pub fn logs(&self) -> String {
        let names = std::fs::read_dir(&self.folder).unwrap().flatten();
        let logs = names.filter(|file| file.path().extension().is_some_and(|it| it == "log"));
        logs.map(|file| std::fs::read_to_string(file.path()).unwrap_or_default()).collect()
    }

    pub async fn call(&self, attempt: &str, path: &str, key: &str) -> BufferedResponse {
        let call = caller_request(self.entry.address, attempt, path, key);
        self.client.call(call, Duration::from_secs(10), 1_000_000).await.unwrap_or_else(|error| {
            panic!("{error}\n{}", self.logs());
        })
    }

    /// Renews the registration of a plain worker, which says that it is ready.
    pub fn renew_desk(&self, place: usize) {
        let address = self.stand_ins[2 + self.engines.len() + place].address;
        register(&self.store, &self.desks[place], address, "desk");
    }

    /// Counts the runs of an attempt over all workers.
    pub fn runs(&self, attempt: &str) -> usize {
        let workers = self.engines.iter().chain(&self.desks);
        let runs = workers.flat_map(Worker::runs);
        runs.filter(|run| run.split(' ').next() == Some(attempt)).count()
    }
}

/// Builds a caller's request. It carries a forged customer in `x-tenant`, which entries must
/// replace by that of the key.
pub fn caller_request(
    entry: SocketAddr,
    attempt: &str,
    path: &str,
    key: &str,
) -> Request<Full<Bytes>> {
    let uri = format!("http://{}{path}", entry);
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
    call
}

/// Settings of an entry that receives its peers' datagrams at port 17700.
pub fn entry_settings(name: &str, ip: IpAddr, store: SocketAddr) -> String {
    format!(
        "[entry]\nplatform = prepared\ninstance = {name}\ndata_centre = hall-a\n\
         listen = {ip}:0\nready_listen = {ip}:0\npeer_listen = {ip}:17700\nagent_port = {AGENT_PORT}\n\
         linger = 500ms\n[platform]\nstore = {store}\n\
         [bounds]\nrevocation = 3s\nversion = 3s\ngrace = 4s\n"
    )
}

/// The settings of an agent beside the engine at `engine`.
pub fn agent_settings(name: &str, ip: IpAddr, engine: SocketAddr, store: SocketAddr) -> String {
    format!(
        "[agent]\nplatform = prepared\ninstance = {name}\ndata_centre = hall-a\n\
         service = pool\nlisten = {ip}:{AGENT_PORT}\n[upstream]\naddress = {engine}\n\
         look_every = 50ms\n[platform]\nstore = {store}\nwatch = 12s\n\
         [bounds]\nversion = 3s\n"
    )
}

/// Writes a worker's registration to the store, with its weights if it is an engine of the service
/// `pool`.
pub fn register(store: &Store, worker: &Worker, address: SocketAddr, service: &str) {
    let version = worker.reported_version();
    let models = if service == "pool" && version > 0 {
        json!([{"name": "m0", "version": version, "adapters": []}])
    } else {
        json!([])
    };
    let entry = json!({"service": service, "address": address, "zone": worker.data_centre(),
        "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0, "models": models, "sequence": 1,
        "born": worker.born()});
    store.write(&format!("servers/{}", worker.id), &entry);
}

pub fn configuration(version: u64, origin: SocketAddr, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "drafts.example", "prefix": prefix, "kind": kind,
            "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1, "service": service,
            "max_attempts": 2, "public": false, "stream_resumption": true, "target_gap_ms": 750})
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

/// The complete event stream that engines answer to a draft with.
pub fn complete_stream() -> String {
    (1..=EVENTS).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

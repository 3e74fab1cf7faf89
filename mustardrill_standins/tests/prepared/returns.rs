//! The return of all entries and agents after they were killed at once.
//!
//! Of the requests sent later than [`RECOVERY_SPAN`] after the return, at least a quarter must be
//! served. `RETURN_SCENARIOS=all` plays the scenarios that take longer than CI has, too; another text
//! plays those whose names contain it. `RETURN_LOGS` keeps the folders with the logs.

use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::future::join_all;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use mustardrill_runtime::http::{
    AnyResponse, HttpClient, HttpHandler, buffered_body, text_response,
};
use mustardrill_standins::StandIn;
use mustardrill_standins::process::{LabProcess, daemon};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::task::{JoinHandle, block_in_place};

use crate::fleet::{
    agent_settings, caller_request, complete_stream, configuration, entry_settings, listen,
    register,
};
use crate::network::TestNetwork;
use crate::store::Store;
use crate::worker::{Origin, Worker};

/// The time after the return from which a share of the requests must be served: `recovery_s`.
const RECOVERY_SPAN: Duration = Duration::from_secs(12);

/// The share of later requests that must be served, in percent.
const SERVED_PERCENT: usize = 25;

/// The share from which service counts as normal in what is printed, in percent.
const USUAL_PERCENT: usize = 90;

/// For how long after the return requests are sent.
const REQUEST_SPAN: Duration = Duration::from_secs(14);

/// Time between two requests of the same kind.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);

/// Longer than the deadline that requests carry.
const CALL_TIMEOUT: Duration = Duration::from_secs(7);

/// One path of each kind of request.
const PATHS: [&str; 3] = ["/drafts/x", "/notices/x", "/status/x"];

/// Time for which a killed worker stays registered: three heartbeat intervals.
const REGISTRATION_EXPIRY: Duration = Duration::from_millis(3_600);

/// Interval at which workers look whether their registration is to be changed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

const ENTRIES: usize = 2;
const ENGINES: usize = 3;
const DESKS: usize = 2;

/// The most items in a page of the platform's store.
const PAGE_LIMIT: usize = 500;

/// Seed of the foreign items and of the times between the starts.
const SEED: u64 = 91;

/// What a machine gets from the store instead of answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreRefusal {
    Status(StatusCode),
    Silence,
}

/// Which machines the store refuses, and for how long after their return.
#[derive(Debug, Clone, Copy)]
struct StoreOutage {
    refusal: StoreRefusal,
    /// One of this many machines is refused; all where it is 1.
    machines_per_refused: usize,
    length: Duration,
}

/// What the operator does right before the loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OperatorChange {
    /// A configuration that is acknowledged before the loss.
    Configuration,
    /// A configuration that takes effect after the return, without an answer.
    LateConfiguration,
    /// A version that is announced before the loss.
    Version,
}

/// A loss of all processes, and the state of the rest of the platform as they return.
#[derive(Debug, Clone)]
struct ReturnScenario {
    name: &'static str,
    /// Items of other writers, half of them with odd names, spread over the store.
    foreign_items: usize,
    /// Registrations of a service that no route names.
    listed_workers: usize,
    /// Routes and tenants that no caller uses.
    unused_routes: usize,
    page_limit: usize,
    /// Whether the workers lose power too, and return empty under new ids.
    loses_workers: bool,
    /// Pause between the starts of two processes.
    start_interval: Duration,
    store_delays_ms: Option<Range<u64>>,
    /// Reads that the store answers per second, for all processes together.
    reads_per_s: Option<f64>,
    outage: Option<StoreOutage>,
    /// How long after the return the registrations of live workers are back.
    registrations_after: Option<Duration>,
    /// How long the origin sends one chunk; it sends one at a time.
    chunk_time: Duration,
    /// Number of chunks that the origin sends with wrong bytes first.
    wrong_chunks: u32,
    change: Option<OperatorChange>,
    /// Callers that send their next request as soon as the last one ends.
    callers: usize,
}

impl ReturnScenario {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            foreign_items: 0,
            listed_workers: 0,
            unused_routes: 0,
            page_limit: PAGE_LIMIT,
            loses_workers: false,
            start_interval: Duration::ZERO,
            store_delays_ms: None,
            reads_per_s: None,
            outage: None,
            registrations_after: None,
            chunk_time: Duration::ZERO,
            wrong_chunks: 0,
            change: None,
            callers: 0,
        }
    }

    fn outage(
        name: &'static str,
        refusal: StoreRefusal,
        machines_per_refused: usize,
        seconds: u64,
    ) -> Self {
        let length = Duration::from_secs(seconds);
        let outage = StoreOutage { refusal, machines_per_refused, length };
        Self { outage: Some(outage), ..Self::new(name) }
    }

    /// A store whose list is as long as that of a large fleet.
    fn with_large_store(self) -> Self {
        Self { listed_workers: 120, unused_routes: 400, foreign_items: 2_000, ..self }
    }
}

/// Reads that may be made, refilled with time.
#[derive(Debug)]
struct ReadBudget {
    per_s: f64,
    left: f64,
    refilled_at: Instant,
}

impl ReadBudget {
    fn new(now: Instant, per_s: f64) -> Self {
        Self { per_s, left: per_s, refilled_at: now }
    }

    fn spend(&mut self, now: Instant, price: f64) -> bool {
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.per_s;
        self.left = (self.left + refill).min(self.per_s);
        self.refilled_at = now;
        let is_allowed = self.left >= price;
        self.left -= if is_allowed { price } else { 0.0 };
        is_allowed
    }
}

/// The store as one machine reaches it.
#[derive(Clone)]
struct StoreDoor {
    store: Store,
    refusal: Arc<Mutex<Option<StoreRefusal>>>,
    budget: Arc<Mutex<Option<ReadBudget>>>,
}

/// The price of a call in reads; `None` for a write.
fn read_price(path: &str) -> Option<f64> {
    match path {
        "/v1/kv-range" | "/v1/kv-watch" | "/v1/kv-key" => Some(1.0),
        path if path.starts_with("/v1/kv-keep/") => Some(0.1),
        _ => None,
    }
}

impl HttpHandler for StoreDoor {
    fn handle(
        &self,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> BoxFuture<'static, AnyResponse> {
        let door = self.clone();
        Box::pin(async move {
            let refusal = *door.refusal.lock().unwrap();
            match refusal {
                Some(StoreRefusal::Status(status)) => return text_response(status, ""),
                Some(StoreRefusal::Silence) => std::future::pending().await,
                None => {}
            }
            let price = read_price(request.uri().path());
            let may_read = price.is_none_or(|price| {
                let mut budget = door.budget.lock().unwrap();
                budget.as_mut().is_none_or(|budget| budget.spend(Instant::now(), price))
            });
            if !may_read {
                return text_response(StatusCode::TOO_MANY_REQUESTS, "");
            }
            door.store.handle(request, from).await
        })
    }
}

/// An origin on a slow link, whose first chunks are wrong.
#[derive(Clone)]
struct SlowOrigin {
    origin: Origin,
    link: Arc<tokio::sync::Mutex<()>>,
    chunk_time: Arc<Mutex<Duration>>,
    wrong_chunks: Arc<AtomicU32>,
}

impl SlowOrigin {
    fn take_wrong_chunk(&self) -> bool {
        let order = Ordering::SeqCst;
        self.wrong_chunks.fetch_update(order, order, |count| count.checked_sub(1)).is_ok()
    }
}

impl HttpHandler for SlowOrigin {
    fn handle(
        &self,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> BoxFuture<'static, AnyResponse> {
        let slow = self.clone();
        Box::pin(async move {
            if !request.uri().path().starts_with("/v1/piece/") {
                return slow.origin.handle(request, from).await;
            }
            let _turn = slow.link.lock().await;
            let chunk_time = *slow.chunk_time.lock().unwrap();
            tokio::time::sleep(chunk_time).await;
            if slow.take_wrong_chunk() {
                return Response::new(buffered_body(Bytes::from_static(b"wrong bytes")));
            }
            slow.origin.handle(request, from).await
        })
    }
}

/// A daemon, and what it is started with.
struct FleetProcess {
    program: &'static str,
    name: String,
    settings: String,
    starts: u32,
    process: Option<LabProcess>,
}

impl FleetProcess {
    fn start(&mut self, folder: &std::path::Path) {
        self.starts += 1;
        let name = format!("{}-{}", self.name, self.starts);
        self.process = Some(block_in_place(|| daemon(folder, self.program, &name, &self.settings)));
    }
}

/// A worker at its machine.
struct PlacedWorker {
    worker: Worker,
    service: &'static str,
    server: StandIn,
}

impl PlacedWorker {
    fn key(&self) -> String {
        format!("servers/{}", self.worker.id)
    }

    fn register(&self, store: &Store) {
        register(store, &self.worker, self.server.address, self.service);
    }
}

/// The workers that run, with the version that each has registered; `None` while it registers
/// nothing.
type Registrations = Arc<Mutex<Vec<(Worker, SocketAddr, &'static str, Option<u64>)>>>;

/// Several entries, engines with an agent each, and plain workers.
struct ReturnFleet {
    scenario: ReturnScenario,
    random: StdRng,
    store: Store,
    doors: Vec<StoreDoor>,
    origin: SlowOrigin,
    origin_address: SocketAddr,
    workers: Vec<PlacedWorker>,
    registrations: Registrations,
    /// Entries first, then agents.
    processes: Vec<FleetProcess>,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    client: HttpClient,
    folder: PathBuf,
    heartbeats: JoinHandle<()>,
    _servers: Vec<StandIn>,
}

impl Drop for ReturnFleet {
    fn drop(&mut self) {
        self.heartbeats.abort();
        if std::env::var_os("RETURN_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A configuration with routes and tenants that nobody uses beside those of the tests.
fn large_configuration(version: u64, origin: SocketAddr, keys: &[&str], unused: usize) -> Value {
    let mut document = configuration(version, origin, keys);
    let template = document["routes"][1].clone();
    for number in 0..unused {
        let mut route = template.clone();
        route["name"] = json!(format!("unused-{number}"));
        route["prefix"] = json!(format!("/unused-{number}/"));
        document["routes"].as_array_mut().unwrap().push(route);
        let keys = [format!("unused-key-{number}-a"), format!("unused-key-{number}-b")];
        let tenant = json!({"name": format!("tenant-{number}"), "api_keys": keys});
        document["tenants"].as_array_mut().unwrap().push(tenant);
    }
    document
}

/// Writes items that no process of the fleet has written, under the prefixes that processes read and
/// under others.
pub fn write_foreign_items(store: &Store, random: &mut StdRng, count: usize) {
    const PREFIXES: [&str; 6] = ["servers/", "a/", "mustardrill/", "mustardrill/x/", "op/x", "z/"];
    const ODD_PARTS: [&str; 8] = ["&", "#", "%", "+", " ", "=", "é", "\"\\"];
    const VALUES: [&str; 5] = ["{}", "[[[[]]]]", "null", "17", "{\"slots\":4294967295}"];
    for number in 0..count {
        let prefix = PREFIXES[random.random_range(0..PREFIXES.len())];
        let odd = if number % 2 == 0 { ODD_PARTS[random.random_range(0..8)] } else { "-" };
        let value = serde_json::from_str(VALUES[random.random_range(0..VALUES.len())]).unwrap();
        store.write(&format!("{prefix}{odd}{number}"), &value);
    }
}

/// Renews the registrations of workers whose weights have changed.
async fn send_heartbeats(store: Store, registrations: Registrations) {
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        for (worker, address, service, registered) in registrations.lock().unwrap().iter_mut() {
            let version = worker.reported_version();
            if registered.is_some_and(|registered| registered != version) {
                register(&store, worker, *address, service);
                *registered = Some(version);
            }
        }
    }
}

impl ReturnFleet {
    async fn start(scenario: ReturnScenario, seed: u64) -> Self {
        let network = TestNetwork::open();
        let folder = std::env::temp_dir()
            .join(format!("mustardrill-return-{network}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (store, mut random) = (Store::new(), StdRng::seed_from_u64(seed));
        store.set_page_limit(scenario.page_limit);
        let origin = SlowOrigin {
            origin: Origin::default(),
            link: Arc::default(),
            chunk_time: Arc::default(),
            wrong_chunks: Arc::default(),
        };
        let origin_server = listen(network.machine_ip(2), Box::new(origin.clone())).await;
        let (origin_address, mut servers) = (origin_server.address, vec![origin_server]);
        let budget = Arc::new(Mutex::new(None));
        let (mut doors, mut workers, mut processes) = (Vec::new(), Vec::new(), Vec::new());
        for place in 0..ENTRIES + ENGINES {
            let (store, refusal) = (store.clone(), Arc::default());
            let door = StoreDoor { store, refusal, budget: budget.clone() };
            let server = listen(network.machine_ip(1), Box::new(door.clone())).await;
            let store_address = server.address;
            doors.push(door);
            servers.push(server);
            let (program, name, settings) = if place < ENTRIES {
                let name = format!("entry-{place}");
                let ip = network.machine_ip(3 + place as u8);
                let settings = entry_settings(&name, ip, store_address);
                ("mustardrill-entry", name, settings)
            } else {
                let engine = place - ENTRIES;
                let ip = network.machine_ip(10 + engine as u8);
                let worker = Worker::new(&format!("i-{engine}"), 1);
                let server = listen(ip, Box::new(worker.clone())).await;
                let name = format!("agent-{engine}");
                let settings = agent_settings(&name, ip, server.address, store_address);
                workers.push(PlacedWorker { worker, service: "pool", server });
                ("mustardrill-agent", name, settings)
            };
            processes.push(FleetProcess { program, name, settings, starts: 0, process: None });
        }
        for desk in 0..DESKS {
            let worker = Worker::new(&format!("i-desk-{desk}"), 0);
            let ip = network.machine_ip(30 + desk as u8);
            let server = listen(ip, Box::new(worker.clone())).await;
            workers.push(PlacedWorker { worker, service: "desk", server });
        }
        for number in 0..scenario.listed_workers {
            let (address, octet) = (SocketAddr::new(network.machine_ip(250), 9), number % 200);
            let worker = Worker::new(&format!("i-listed-{number}"), 0);
            let address = SocketAddr::new(address.ip(), 9_000 + octet as u16);
            register(&store, &worker, address, "unrouted");
        }
        write_foreign_items(&store, &mut random, scenario.foreign_items);
        let keys = ["key-1", "key-2"];
        let document = large_configuration(1, origin_address, &keys, scenario.unused_routes);
        store.write("op/config", &document);
        let registrations = Registrations::default();
        let heartbeats = tokio::spawn(send_heartbeats(store.clone(), registrations.clone()));
        let mut fleet = Self {
            scenario,
            random,
            store,
            doors,
            origin,
            origin_address,
            workers,
            registrations,
            processes,
            addresses: Arc::default(),
            client: HttpClient::open(Duration::from_secs(1)),
            folder,
            heartbeats,
            _servers: servers,
        };
        fleet.register_workers();
        fleet.processes.iter_mut().for_each(|process| process.start(&fleet.folder));
        fleet.publish_addresses();
        fleet.wait_until_served().await;
        fleet
    }

    fn publish_addresses(&mut self) {
        let running = self.processes.iter().take(ENTRIES);
        let addresses = running.filter_map(|it| Some(it.process.as_ref()?.address));
        *self.addresses.lock().unwrap() = addresses.collect();
    }

    /// Registers all workers that run, and keeps their registrations up to date.
    fn register_workers(&mut self) {
        self.workers.iter().for_each(|placed| placed.register(&self.store));
        let rows = self.workers.iter().map(|placed| {
            let version = Some(placed.worker.reported_version());
            (placed.worker.clone(), placed.server.address, placed.service, version)
        });
        *self.registrations.lock().unwrap() = rows.collect();
    }

    async fn wait_until_served(&self) {
        let started_at = Instant::now();
        let mut number = 0;
        loop {
            number += 1;
            let entries = self.addresses.lock().unwrap().clone();
            let calls = entries.into_iter().flat_map(|entry| {
                PATHS.into_iter().enumerate().map(move |(kind, path)| {
                    let attempt = format!("w{number}-{kind}-{}", entry.port());
                    is_served(self.client.clone(), entry, attempt, path, "key-1")
                })
            });
            if join_all(calls).await.into_iter().all(|is_served| is_served) {
                return;
            }
            assert!(
                started_at.elapsed() < Duration::from_secs(20),
                "{}: the first start\n{}",
                self.scenario.name,
                self.logs()
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn logs(&self) -> String {
        let names = std::fs::read_dir(&self.folder).unwrap().flatten();
        let mut logs: Vec<_> = names
            .map(|file| file.path())
            .filter(|path| path.extension().is_some_and(|it| it == "log"))
            .collect();
        logs.sort();
        let text = |path: &PathBuf| {
            let text = std::fs::read_to_string(path).unwrap_or_default();
            format!("== {}\n{text}", path.file_stem().unwrap_or_default().display())
        };
        logs.iter().map(text).collect()
    }

    /// Lets the operator make the change of the scenario, or begin it.
    fn change_as_operator(&self) {
        let document = large_configuration(
            3,
            self.origin_address,
            &["key-1", "key-3"],
            self.scenario.unused_routes,
        );
        match self.scenario.change {
            Some(OperatorChange::Configuration) => self.store.write("op/config", &document),
            Some(OperatorChange::LateConfiguration) => {
                let store = self.store.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(1_500)).await;
                    store.write("op/config", &document);
                });
            }
            Some(OperatorChange::Version) => {
                self.store.write("op/version/m0", &json!({"model": "m0", "version": 2}))
            }
            None => {}
        }
    }

    fn lose_all(&mut self) {
        self.processes.iter_mut().for_each(|process| {
            if let Some(mut running) = process.process.take() {
                running.kill();
            }
        });
        if self.scenario.loses_workers || self.scenario.registrations_after.is_some() {
            self.registrations.lock().unwrap().clear();
        }
    }

    /// Starts workers without weights under new ids at the addresses of those that lost power.
    async fn replace_workers(&mut self) {
        for placed in &mut self.workers {
            let (address, old_key) = (placed.server.address, placed.key());
            let worker = Worker::empty(&format!("{}-b", placed.worker.id));
            placed.server.stop();
            let started_at = Instant::now();
            placed.server = loop {
                match StandIn::spawn(address, Box::new(worker.clone())).await {
                    Ok(server) => break server,
                    Err(error) => assert!(started_at.elapsed().as_secs() < 5, "{error}"),
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            };
            placed.worker = worker;
            let store = self.store.clone();
            tokio::spawn(async move {
                tokio::time::sleep(REGISTRATION_EXPIRY).await;
                store.remove(&old_key);
            });
        }
    }

    fn worsen_platform(&self) {
        self.store.set_delays(7, self.scenario.store_delays_ms.clone());
        *self.origin.chunk_time.lock().unwrap() = self.scenario.chunk_time;
        self.origin.wrong_chunks.store(self.scenario.wrong_chunks, Ordering::SeqCst);
        let budget = self.scenario.reads_per_s.map(|per_s| ReadBudget::new(Instant::now(), per_s));
        *self.doors[0].budget.lock().unwrap() = budget;
        let Some(outage) = self.scenario.outage else { return };
        let refused = self.doors.iter().step_by(outage.machines_per_refused);
        refused.for_each(|door| *door.refusal.lock().unwrap() = Some(outage.refusal));
    }

    /// Starts all processes again; returns the moment from which they are back and the store serves
    /// each of them.
    async fn bring_back(&mut self) -> Instant {
        if self.scenario.loses_workers {
            self.replace_workers().await;
            self.register_workers();
        }
        if self.scenario.registrations_after.is_some() {
            self.workers.iter().for_each(|placed| self.store.remove(&placed.key()));
        }
        let returned_at = Instant::now();
        for place in 0..self.processes.len() {
            let pause = self.scenario.start_interval;
            tokio::time::sleep(pause.mul_f64(self.random.random_range(0.5..1.5))).await;
            self.processes[place].start(&self.folder);
            self.publish_addresses();
        }
        if let Some(after) = self.scenario.registrations_after {
            tokio::time::sleep(after.saturating_sub(returned_at.elapsed())).await;
            self.register_workers();
        }
        let Some(outage) = self.scenario.outage else { return returned_at };
        tokio::time::sleep(outage.length.saturating_sub(returned_at.elapsed())).await;
        self.doors.iter().for_each(|door| *door.refusal.lock().unwrap() = None);
        Instant::now()
    }

    /// The key that callers use: one that the newest configuration has brought, if there is one.
    fn caller_key(&self) -> &'static str {
        match self.scenario.change {
            Some(OperatorChange::Configuration) => "key-3",
            _ => "key-1",
        }
    }
}

async fn is_served(
    client: HttpClient,
    entry: SocketAddr,
    attempt: String,
    path: &'static str,
    key: &'static str,
) -> bool {
    let call = caller_request(entry, &attempt, path, key);
    let answer = client.call(call, CALL_TIMEOUT, 1_000_000).await;
    answer.is_ok_and(|answer| {
        let is_whole = !path.starts_with("/drafts/") || answer.body == complete_stream();
        answer.status.is_success() && is_whole
    })
}

/// A request and its outcome.
#[derive(Debug, Clone, Copy)]
struct SentRequest {
    sent_at: Instant,
    answered_at: Instant,
    kind: usize,
    is_served: bool,
}

/// Calls entries without a pause until `until`.
fn spawn_callers(fleet: &ReturnFleet, until: Instant) -> Vec<JoinHandle<()>> {
    let callers = (0..fleet.scenario.callers).map(|caller| {
        let (client, addresses) = (fleet.client.clone(), fleet.addresses.clone());
        let key = fleet.caller_key();
        tokio::spawn(async move {
            let mut number = caller;
            while Instant::now() < until {
                let (entries, path) =
                    (addresses.lock().unwrap().clone(), PATHS[number % PATHS.len()]);
                let entry = entries[number % entries.len()];
                let attempt = format!("p{caller}-{number}");
                if !is_served(client.clone(), entry, attempt, path, key).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                number += 1;
            }
        })
    });
    callers.collect()
}

/// Sends a request of each kind at a steady rate until `stop` holds, and returns all outcomes.
async fn send_requests(
    client: HttpClient,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    key: &'static str,
    mut stop: tokio::sync::oneshot::Receiver<()>,
) -> Vec<SentRequest> {
    let mut sent = Vec::new();
    let mut ticks = tokio::time::interval(REQUEST_INTERVAL);
    while stop.try_recv().is_err() {
        ticks.tick().await;
        let entries = addresses.lock().unwrap().clone();
        for (kind, path) in PATHS.into_iter().enumerate() {
            let number = sent.len();
            let (client, entry) = (client.clone(), entries[(number / 3) % entries.len()]);
            sent.push(tokio::spawn(async move {
                let sent_at = Instant::now();
                let is_served = is_served(client, entry, format!("r{number}"), path, key).await;
                SentRequest { sent_at, answered_at: Instant::now(), kind, is_served }
            }));
        }
    }
    join_all(sent).await.into_iter().map(Result::unwrap).collect()
}

/// What callers saw of a return.
#[derive(Debug)]
struct ReturnReport {
    name: &'static str,
    seed: u64,
    /// Between the start of the processes and the moment from which the return counts.
    outage: Duration,
    requests: Vec<SentRequest>,
    back_at: Instant,
}

impl ReturnReport {
    /// The requests of one kind that were sent no earlier than `after` the return.
    fn later(&self, kind: usize, after: Duration) -> impl Iterator<Item = &SentRequest> {
        let from = self.back_at + after;
        self.requests.iter().filter(move |it| it.kind == kind && it.sent_at >= from)
    }

    fn is_served_to(&self, kind: usize, after: Duration, percent: usize) -> bool {
        let (count, served) = self.counts(kind, after);
        served * 100 >= count * percent && count > 0
    }

    fn counts(&self, kind: usize, after: Duration) -> (usize, usize) {
        let count = self.later(kind, after).count();
        (count, self.later(kind, after).filter(|it| it.is_served).count())
    }

    /// The first answer to a served request of a kind, and the time of sending from which the usual
    /// share is served.
    fn times(&self, kind: usize) -> [Option<Duration>; 2] {
        let served = self.requests.iter().filter(|it| it.kind == kind && it.is_served);
        let first = served.map(|it| it.answered_at).min();
        let offsets = self.later(kind, Duration::ZERO).map(|it| it.sent_at - self.back_at);
        let offsets: Vec<_> = offsets.collect();
        let usual = offsets.into_iter().find(|at| self.is_served_to(kind, *at, USUAL_PERCENT));
        [first.map(|at| at.saturating_duration_since(self.back_at)), usual]
    }

    /// What breaks the rule, if anything.
    fn fault(&self) -> Option<String> {
        let kinds = 0..PATHS.len();
        let broken = kinds.filter(|kind| !self.is_served_to(*kind, RECOVERY_SPAN, SERVED_PERCENT));
        let broken: Vec<_> = broken
            .map(|kind| format!("{} {:?}", PATHS[kind], self.counts(kind, RECOVERY_SPAN)))
            .collect();
        (!broken.is_empty()).then(|| format!("{} seed {}: {broken:?}", self.name, self.seed))
    }

    fn print(&self) {
        let seconds = |time: Option<Duration>| {
            time.map_or("never".into(), |time| format!("{:.2}", time.as_secs_f64()))
        };
        let kinds = PATHS.iter().enumerate().map(|(kind, path)| {
            let [first, usual] = self.times(kind);
            let (count, served) = self.counts(kind, RECOVERY_SPAN);
            let (first, usual) = (seconds(first), seconds(usual));
            format!("{path} first_answer={first} usual_from={usual} late={served}/{count}")
        });
        let kinds: Vec<_> = kinds.collect();
        println!(
            "return {} seed={} outage={:.1} {}",
            self.name,
            self.seed,
            self.outage.as_secs_f64(),
            kinds.join("; ")
        );
    }
}

/// Kills all processes, starts them again, and returns what callers saw, with the logs.
async fn play(scenario: ReturnScenario, seed: u64) -> (ReturnReport, String) {
    let name = scenario.name;
    let mut fleet = ReturnFleet::start(scenario, seed).await;
    let (stop_sender, stop) = tokio::sync::oneshot::channel();
    let until = Instant::now() + REQUEST_SPAN * 2;
    let callers = spawn_callers(&fleet, until);
    fleet.change_as_operator();
    fleet.lose_all();
    fleet.worsen_platform();
    let (client, addresses) = (fleet.client.clone(), fleet.addresses.clone());
    let sending = send_requests(client, addresses, fleet.caller_key(), stop);
    let sending = tokio::spawn(sending);
    let lost_at = Instant::now();
    let back_at = fleet.bring_back().await;
    tokio::time::sleep(REQUEST_SPAN.saturating_sub(back_at.elapsed())).await;
    let _ = stop_sender.send(());
    let requests = sending.await.unwrap();
    callers.iter().for_each(JoinHandle::abort);
    let outage = back_at.saturating_duration_since(lost_at);
    let report = ReturnReport { name, seed, outage, requests, back_at };
    report.print();
    (report, fleet.logs())
}

/// Plays scenarios at the same time; returns what breaks the rule, with the logs.
async fn play_all(scenarios: Vec<ReturnScenario>) -> Vec<String> {
    let plays = scenarios.into_iter().map(|scenario| tokio::spawn(play(scenario, SEED)));
    let mut faults = Vec::new();
    for result in join_all(plays).await {
        let (report, logs) = result.unwrap();
        faults.extend(report.fault().map(|fault| format!("{fault}\n{logs}")));
    }
    faults
}

fn scenarios() -> Vec<ReturnScenario> {
    let new = ReturnScenario::new;
    let unavailable = StoreRefusal::Status(StatusCode::SERVICE_UNAVAILABLE);
    let limited = StoreRefusal::Status(StatusCode::TOO_MANY_REQUESTS);
    let millis = Duration::from_millis;
    vec![
        new("at once"),
        ReturnScenario { start_interval: millis(60), ..new("one after the other") },
        ReturnScenario { loses_workers: true, ..new("workers too") },
        new("large store").with_large_store(),
        ReturnScenario { page_limit: 7, foreign_items: 60, ..new("odd names, many pages") },
        ReturnScenario { store_delays_ms: Some(200..260), ..new("slow store") },
        ReturnScenario { store_delays_ms: Some(200..260), ..new("slow large store") }
            .with_large_store(),
        ReturnScenario {
            store_delays_ms: Some(200..260),
            loses_workers: true,
            start_interval: millis(60),
            ..new("slow large store, workers too")
        }
        .with_large_store(),
        ReturnScenario { reads_per_s: Some(64.0), ..new("limited store") },
        ReturnScenario {
            reads_per_s: Some(64.0),
            store_delays_ms: Some(3..5),
            loses_workers: true,
            ..new("limited large store, workers too")
        }
        .with_large_store(),
        ReturnScenario {
            reads_per_s: Some(40.0),
            page_limit: 50,
            store_delays_ms: Some(3..5),
            ..new("limited store of sixty pages")
        }
        .with_large_store(),
        ReturnScenario::outage("store down", unavailable, 1, 4),
        ReturnScenario::outage("store down for long", unavailable, 1, 15),
        ReturnScenario::outage("store silent", StoreRefusal::Silence, 1, 4),
        ReturnScenario::outage("store silent for long", StoreRefusal::Silence, 1, 15),
        ReturnScenario::outage("store refuses half", limited, 2, 4),
        ReturnScenario::outage("store silent to half", StoreRefusal::Silence, 2, 4),
        ReturnScenario {
            loses_workers: true,
            ..ReturnScenario::outage("store down, workers too", unavailable, 1, 6)
        },
        ReturnScenario { registrations_after: Some(millis(2_000)), ..new("lapsed registrations") },
        ReturnScenario {
            registrations_after: Some(millis(2_000)),
            loses_workers: true,
            ..new("lapsed registrations, workers too")
        },
        ReturnScenario {
            loses_workers: true,
            chunk_time: millis(40),
            ..new("slow origin, workers too")
        },
        ReturnScenario {
            loses_workers: true,
            chunk_time: millis(40),
            wrong_chunks: 24,
            ..new("wrong chunks, workers too")
        },
        ReturnScenario { change: Some(OperatorChange::Configuration), ..new("new configuration") },
        ReturnScenario {
            change: Some(OperatorChange::LateConfiguration),
            ..new("late configuration")
        },
        ReturnScenario { change: Some(OperatorChange::Version), ..new("new version") },
        ReturnScenario {
            change: Some(OperatorChange::Version),
            loses_workers: true,
            chunk_time: millis(40),
            wrong_chunks: 6,
            ..new("new version, workers too")
        },
        ReturnScenario { callers: 24, ..new("callers that go on") },
        ReturnScenario { callers: 24, loses_workers: true, ..new("callers, workers too") },
        ReturnScenario { foreign_items: 6_000, ..new("thousands of foreign items") },
        ReturnScenario {
            foreign_items: 6_000,
            store_delays_ms: Some(200..260),
            start_interval: millis(60),
            callers: 24,
            loses_workers: true,
            change: Some(OperatorChange::Configuration),
            ..new("all at once")
        }
        .with_large_store(),
    ]
}

/// The scenarios that `RETURN_SCENARIOS` names, or else those of CI.
fn chosen_scenarios() -> Vec<ReturnScenario> {
    const OF_CI: [&str; 7] = [
        "one after the other",
        "odd names, many pages",
        "slow large store, workers too",
        "limited store of sixty pages",
        "store silent to half",
        "lapsed registrations, workers too",
        "wrong chunks, workers too",
    ];
    let choice = std::env::var("RETURN_SCENARIOS").ok();
    let mut chosen = scenarios();
    chosen.retain(|scenario| match choice.as_deref() {
        Some("all") => true,
        Some(word) => scenario.name.contains(word),
        None => OF_CI.contains(&scenario.name),
    });
    chosen
}

/// Plays so many scenarios at a time that their processes do not wait for each other.
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_that_returns_serves_nobody_in_time() {
    const AT_A_TIME: usize = 3;
    let mut scenarios = chosen_scenarios();
    let mut faults = Vec::new();
    while !scenarios.is_empty() {
        let rest = scenarios.split_off(AT_A_TIME.min(scenarios.len()));
        faults.extend(play_all(scenarios).await);
        scenarios = rest;
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

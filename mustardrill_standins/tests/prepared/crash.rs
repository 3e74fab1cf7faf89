//! Engines that crash while they run a request, and the effect on callers: a request that crashes
//! engines is quarantined, others are served.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::StatusCode;
use mustardrill_runtime::http::{BufferedResponse, HttpClient};
use mustardrill_standins::StandIn;
use mustardrill_standins::link::LabLink;
use mustardrill_standins::process::{LabProcess, daemon};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::fleet::{
    caller_request, complete_stream, configuration, entry_settings, listen, register,
};
use crate::network::TestNetwork;
use crate::store::Store;
use crate::worker::{CrashCause, CrashTrigger, Worker};

/// Path of the requests that crash an engine.
pub const CRASHING_PATH: &str = "/drafts/crashing";

/// Time between the crash of an engine and the start of the next one on its machine.
pub const ENGINE_RESTART_DELAY: Duration = Duration::from_millis(400);

/// Number of crashes that entries must observe before they may quarantine a request as their cause.
pub const CRASHES_UNTIL_QUARANTINE: usize = 3;

/// Number of further runs of such a request that are allowed after that.
pub const LATE_RUNS_LIMIT: usize = 3;

/// A machine that starts a new engine under another id after each crash.
struct EngineHost {
    /// Dropped on a crash: new connections are refused and open ones end.
    link: Option<LabLink>,
    address: SocketAddr,
    engine: Worker,
    /// Engines that crashed on this machine.
    former_engines: Vec<Worker>,
    crashed_at: Vec<Instant>,
    _server: StandIn,
}

/// Shared with the task that restarts engines.
type EngineHosts = Arc<Mutex<Vec<EngineHost>>>;

/// Entries in front of engines that crash on certain requests.
pub struct CrashFleet {
    pub entries: Vec<LabProcess>,
    hosts: EngineHosts,
    folder: PathBuf,
    pub client: HttpClient,
    restart_task: JoinHandle<()>,
    store_server: StandIn,
    network: TestNetwork,
}

impl Drop for CrashFleet {
    fn drop(&mut self) {
        self.restart_task.abort();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl CrashFleet {
    pub async fn start(entries: u8, engines: u8, cause: CrashCause) -> Self {
        let network = TestNetwork::open();
        let folder = std::env::temp_dir()
            .join(format!("mustardrill-crash-{network}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::new();
        let server = listen(network.machine_ip(1), Box::new(store.clone())).await;
        let (crash_sender, crashes) = mpsc::unbounded_channel();
        let mut engine_hosts = Vec::new();
        for place in 0..engines {
            let engine = new_engine(&format!("i-{place}-0"), cause, &crash_sender);
            let engine_server =
                listen(network.machine_ip(60 + place), Box::new(engine.clone())).await;
            let address = SocketAddr::new(network.machine_ip(10 + place), 8_000);
            let link = LabLink::spawn_at(address, engine_server.address).unwrap();
            register(&store, &engine, address, "pool");
            engine_hosts.push(EngineHost {
                link: Some(link),
                address,
                engine,
                former_engines: Vec::new(),
                crashed_at: Vec::new(),
                _server: engine_server,
            });
        }
        let origin = SocketAddr::new(network.machine_ip(2), 9);
        store.write("op/config", &configuration(1, origin, &["key-1", "key-2"]));
        let hosts = Arc::new(Mutex::new(engine_hosts));
        let restart_task = tokio::spawn(restart_crashed_engines(
            crashes,
            hosts.clone(),
            store,
            crash_sender,
            cause,
            network,
        ));
        let mut fleet = Self {
            entries: Vec::new(),
            hosts,
            folder,
            client: HttpClient::open(Duration::from_secs(1)),
            restart_task,
            store_server: server,
            network,
        };
        for place in 0..entries {
            fleet.start_entry(place).await;
        }
        // Entries discover each other through the store.
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet
    }

    async fn start_entry(&mut self, place: u8) {
        let name = format!("entry-{place}");
        let settings =
            entry_settings(&name, self.network.machine_ip(100 + place), self.store_server.address);
        self.entries.push(daemon(&self.folder, "mustardrill-entry", &name, &settings));
        let entry = self.entries.len() - 1;
        let started_at = Instant::now();
        while self.call(entry, &format!("ready-{place}"), "/drafts/ready").await.status
            != StatusCode::OK
        {
            assert!(started_at.elapsed() < Duration::from_secs(10), "{}", self.logs());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn call(&self, entry: usize, attempt: &str, path: &str) -> BufferedResponse {
        let entry = self.entries[entry % self.entries.len()].address;
        let call = caller_request(entry, attempt, path, "key-1");
        let answer = self.client.call(call, Duration::from_secs(10), 1_000_000).await;
        // A truncated stream counts as a failed answer.
        answer.unwrap_or_else(|_| BufferedResponse {
            status: StatusCode::BAD_GATEWAY,
            headers: Default::default(),
            body: Default::default(),
        })
    }

    fn crashes(&self) -> usize {
        self.crash_times().len()
    }

    /// When engines crashed, in order.
    pub fn crash_times(&self) -> Vec<Instant> {
        let hosts = self.hosts.lock().unwrap();
        let mut times: Vec<_> = hosts.iter().flat_map(|host| host.crashed_at.clone()).collect();
        times.sort_unstable();
        times
    }

    /// Requests that reached engines, with their times.
    pub fn arrivals(&self) -> Vec<(String, Instant)> {
        let hosts = self.hosts.lock().unwrap();
        let engines =
            hosts.iter().flat_map(|host| host.former_engines.iter().chain([&host.engine]));
        engines.flat_map(Worker::arrivals).collect()
    }

    pub fn logs(&self) -> String {
        let names = std::fs::read_dir(&self.folder).unwrap().flatten();
        let logs = names.filter(|file| file.path().extension().is_some_and(|it| it == "log"));
        logs.map(|file| std::fs::read_to_string(file.path()).unwrap_or_default()).collect()
    }
}

fn new_engine(id: &str, cause: CrashCause, crash_sender: &mpsc::UnboundedSender<String>) -> Worker {
    let engine = Worker::new(id, 1);
    engine.set_answer_delay(Duration::from_millis(15));
    let after = Duration::from_millis(40);
    let crash_sender = crash_sender.clone();
    engine.set_crash(CrashTrigger { cause, after, silent: false, crash_sender });
    engine
}

/// Terminates each engine that reports a crash, and starts its successor after
/// `ENGINE_RESTART_DELAY`.
async fn restart_crashed_engines(
    mut crashes: mpsc::UnboundedReceiver<String>,
    hosts: EngineHosts,
    store: Store,
    crash_sender: mpsc::UnboundedSender<String>,
    cause: CrashCause,
    network: TestNetwork,
) {
    let mut starts = 0;
    while let Some(id) = crashes.recv().await {
        let place = {
            let mut hosts = hosts.lock().unwrap();
            let Some(place) = hosts.iter().position(|it| it.engine.id == id) else { continue };
            // Two requests may crash the same engine; it is terminated once.
            if hosts[place].link.take().is_none() {
                continue;
            }
            hosts[place].crashed_at.push(Instant::now());
            place
        };
        starts += 1;
        let successor = new_engine(&format!("i-{place}-{starts}"), cause, &crash_sender);
        let (hosts, store) = (hosts.clone(), store.clone());
        tokio::spawn(async move {
            tokio::time::sleep(ENGINE_RESTART_DELAY).await;
            store.remove(&format!("servers/{id}"));
            let engine_server =
                listen(network.machine_ip(60 + place as u8), Box::new(successor.clone())).await;
            let address = hosts.lock().unwrap()[place].address;
            let link = LabLink::spawn_at(address, engine_server.address).unwrap();
            register(&store, &successor, address, "pool");
            let mut hosts = hosts.lock().unwrap();
            let host = &mut hosts[place];
            let crashed = std::mem::replace(&mut host.engine, successor);
            host.former_engines.push(crashed);
            host.link = Some(link);
            host._server = engine_server;
        });
    }
}

/// Guards against a request that crashes engine after engine. It is sent again by its caller and by
/// other callers that retry, at every entry and under new attempt ids: 26 engines crashed within
/// ten seconds, each with the 6 to 15 other requests that it ran. Nothing distinguished the retries
/// from new requests, and no entry recorded which requests an engine had when it crashed. What
/// identifies such a request is the digest of its content, the same in every loss whatever the
/// attempt: `request=crash-0 instance=i-7-0 outcome=Lost { delivered: true, crashed: true }
/// digest=da64ba38...`, `request=crash-2 instance=i-3-0 ... digest=da64ba38...`.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_is_quarantined() {
    let fleet = CrashFleet::start(3, 8, CrashCause::Path(CRASHING_PATH)).await;
    let mut crashing = Vec::new();
    for round in 0..24 {
        let answer = fleet.call(round, &format!("crash-{round}"), CRASHING_PATH).await;
        assert_ne!(answer.status, StatusCode::OK);
        crashing.push(answer);
        let crashes = fleet.crashes();
        assert!(
            crashes <= CRASHES_UNTIL_QUARANTINE + LATE_RUNS_LIMIT,
            "{crashes} engines crashed after {round} calls\n{}",
            fleet.logs()
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for answer in &crashing[12..] {
        let body = String::from_utf8_lossy(&answer.body);
        assert_eq!(
            answer.status,
            StatusCode::BAD_GATEWAY,
            "a request that ran must not get a status for requests that did not: {body}"
        );
        assert!(body.contains("\"Quarantined\""), "{body}");
        assert!(answer.headers.contains_key("retry-after"));
    }
    // Other requests are served while the quarantined one keeps coming.
    for round in 0..12 {
        let (attempt, late) = (format!("other-{round}"), format!("late-{round}"));
        let (other, _) = tokio::join!(
            fleet.call(round, &attempt, "/drafts/other"),
            fleet.call(round + 1, &late, CRASHING_PATH),
        );
        assert_eq!(other.body, complete_stream(), "{}", fleet.logs());
    }
}

/// Entries that start have received none of the earlier crash reports. Unless they read the stored
/// quarantines, each of them lets the request crash engines again after a restart of all entries.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_later_knows_the_quarantined_requests() {
    let mut fleet = CrashFleet::start(2, 6, CrashCause::Path(CRASHING_PATH)).await;
    for round in 0..4 {
        fleet.call(round, &format!("crash-{round}"), CRASHING_PATH).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let crashes = fleet.crashes();
    fleet.entries.iter_mut().for_each(LabProcess::kill);
    fleet.entries.clear();
    for place in 2..4 {
        fleet.start_entry(place).await;
    }
    for round in 0..4 {
        let answer = fleet.call(round, &format!("again-{round}"), CRASHING_PATH).await;
        let body = String::from_utf8_lossy(&answer.body);
        assert!(body.contains("\"Quarantined\""), "{body}\n{}", fleet.logs());
    }
    assert_eq!(fleet.crashes(), crashes);
}

//! Engines that crash under a request, or for another reason, and what callers see of it.

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
    caller_request, configuration, entry_settings, listen, machine, register, whole_stream,
};
use crate::store::Store;
use crate::worker::{CrashTrigger, Worker};

/// The path of requests under which engines crash.
pub const CRASHING: &str = "/drafts/crashing";

/// How long a machine has no engine after a crash.
pub const RESTART: Duration = Duration::from_millis(400);

/// Crashes that must be seen before a request can be held to be their cause.
pub const LESSONS: usize = 3;

/// How often a request may reach engines after that.
pub const MORE_REACHES: usize = 3;

/// One machine, on which an engine starts again after each crash, under another id.
struct Machine {
    /// Dropping it refuses connections and ends those that are open, as a crash does.
    link: Option<LabLink>,
    address: SocketAddr,
    engine: Worker,
    crashes: usize,
    _serving: StandIn,
}

/// The machines; shared with the task that starts engines again.
type Machines = Arc<Mutex<Vec<Machine>>>;

/// Entries before engines that crash.
struct CrashFleet {
    entries: Vec<LabProcess>,
    machines: Machines,
    folder: PathBuf,
    client: HttpClient,
    restarting: JoinHandle<()>,
    _store_at: StandIn,
}

impl Drop for CrashFleet {
    fn drop(&mut self) {
        self.restarting.abort();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl CrashFleet {
    async fn start(test: u8, entries: u8, engines: u8) -> Self {
        let folder =
            std::env::temp_dir().join(format!("mustardrill-crash-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::new();
        let store_at = listen(machine(test, 1), Box::new(store.clone())).await;
        let (crashed, crashes) = mpsc::unbounded_channel();
        let mut started = Vec::new();
        for place in 0..engines {
            let engine = new_engine(&format!("i-{place}-0"), &crashed);
            let hidden = listen(machine(test, 60 + place), Box::new(engine.clone())).await;
            let address = SocketAddr::new(machine(test, 10 + place), 8_000);
            let link = LabLink::spawn_at(address, hidden.address).unwrap();
            register(&store, &engine, address, "pool");
            started.push(Machine {
                link: Some(link),
                address,
                engine,
                crashes: 0,
                _serving: hidden,
            });
        }
        let origin = SocketAddr::new(machine(test, 2), 9);
        store.write("op/config", &configuration(1, origin, &["key-1", "key-2"]));
        let machines = Arc::new(Mutex::new(started));
        let restarting = tokio::spawn(restart(crashes, machines.clone(), store, crashed, test));
        let mut fleet = Self {
            entries: Vec::new(),
            machines,
            folder,
            client: HttpClient::open(Duration::from_secs(1)),
            restarting,
            _store_at: store_at,
        };
        for place in 0..entries {
            fleet.start_entry(test, place).await;
        }
        // The entries hear of each other by the store.
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet
    }

    async fn start_entry(&mut self, test: u8, place: u8) {
        let name = format!("entry-{place}");
        let settings = entry_settings(&name, machine(test, 100 + place), self._store_at.address);
        self.entries.push(daemon(&self.folder, "mustardrill-entry", &name, &settings));
        let entry = self.entries.len() - 1;
        let begun = Instant::now();
        while self.call(entry, &format!("ready-{place}"), "/drafts/ready").await.status
            != StatusCode::OK
        {
            assert!(begun.elapsed() < Duration::from_secs(10), "{}", self.logs());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn call(&self, entry: usize, attempt: &str, path: &str) -> BufferedResponse {
        let entry = self.entries[entry % self.entries.len()].address;
        let call = caller_request(entry, attempt, path, "key-1");
        let answer = self.client.call(call, Duration::from_secs(10), 1_000_000).await;
        // A stream that is cut is no whole answer.
        answer.unwrap_or_else(|_| BufferedResponse {
            status: StatusCode::BAD_GATEWAY,
            headers: Default::default(),
            body: Default::default(),
        })
    }

    fn crashes(&self) -> usize {
        self.machines.lock().unwrap().iter().map(|machine| machine.crashes).sum()
    }

    fn logs(&self) -> String {
        let names = std::fs::read_dir(&self.folder).unwrap().flatten();
        let logs = names.filter(|file| file.path().extension().is_some_and(|it| it == "log"));
        logs.map(|file| std::fs::read_to_string(file.path()).unwrap_or_default()).collect()
    }
}

fn new_engine(id: &str, crashed: &mpsc::UnboundedSender<String>) -> Worker {
    let engine = Worker::new(id, 1);
    engine.set_pause(Duration::from_millis(15));
    let after = Duration::from_millis(40);
    let crashed = crashed.clone();
    engine.set_crash(CrashTrigger { path: CRASHING, after, silent: false, crashed });
    engine
}

/// Ends the engines that crash, and starts others in their places.
async fn restart(
    mut crashes: mpsc::UnboundedReceiver<String>,
    machines: Machines,
    store: Store,
    crashed: mpsc::UnboundedSender<String>,
    test: u8,
) {
    let mut starts = 0;
    while let Some(id) = crashes.recv().await {
        let place = {
            let mut machines = machines.lock().unwrap();
            let Some(place) = machines.iter().position(|it| it.engine.id == id) else { continue };
            // Two requests may have crashed one engine; it ends once.
            if machines[place].link.take().is_none() {
                continue;
            }
            machines[place].crashes += 1;
            place
        };
        starts += 1;
        let next = new_engine(&format!("i-{place}-{starts}"), &crashed);
        let (machines, store) = (machines.clone(), store.clone());
        tokio::spawn(async move {
            tokio::time::sleep(RESTART).await;
            store.remove(&format!("servers/{id}"));
            let hidden = listen(machine(test, 60 + place as u8), Box::new(next.clone())).await;
            let address = machines.lock().unwrap()[place].address;
            let link = LabLink::spawn_at(address, hidden.address).unwrap();
            register(&store, &next, address, "pool");
            let mut machines = machines.lock().unwrap();
            let crashes = machines[place].crashes;
            machines[place] =
                Machine { link: Some(link), address, engine: next, crashes, _serving: hidden };
        });
    }
}

/// One request crashed each engine that began to run it, and came again, from its caller and by
/// callers that tried once more, at every entry. Each entry sent it on anew under each of its
/// attempt ids: 26 engines ended within ten seconds, and with each the six to fifteen other requests
/// that it had. Nothing told a request that comes again from a new one, and nobody kept who was
/// there when an engine ended. What settled it was that each loss had the same content, whatever the
/// attempt: `request=crash-0 instance=i-7-0 outcome=Lost { delivered: true, crashed: true }
/// digest=da64ba38...`, `request=crash-2 instance=i-3-0 ... digest=da64ba38...`.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_is_soon_run_no_more() {
    let fleet = CrashFleet::start(20, 3, 8).await;
    let mut crashing = Vec::new();
    for round in 0..24 {
        let answer = fleet.call(round, &format!("crash-{round}"), CRASHING).await;
        assert_ne!(answer.status, StatusCode::OK);
        crashing.push(answer);
        let crashes = fleet.crashes();
        assert!(
            crashes <= LESSONS + MORE_REACHES,
            "{crashes} engines ended after {round} sendings\n{}",
            fleet.logs()
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for answer in &crashing[12..] {
        let body = String::from_utf8_lossy(&answer.body);
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "it has run: {body}");
        assert!(body.contains("\"Quarantined\""), "{body}");
        assert!(answer.headers.contains_key("retry-after"));
    }
    // All others are served, also while it still comes.
    for round in 0..12 {
        let (attempt, late) = (format!("other-{round}"), format!("late-{round}"));
        let (other, _) = tokio::join!(
            fleet.call(round, &attempt, "/drafts/other"),
            fleet.call(round + 1, &late, CRASHING),
        );
        assert_eq!(other.body, whole_stream(), "{}", fleet.logs());
    }
}

/// Entries that start have heard none of the words on the crashes of before. After a restart of all,
/// each of them lets the request end engines anew.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_later_knows_what_is_run_no_more() {
    let mut fleet = CrashFleet::start(21, 2, 6).await;
    for round in 0..4 {
        fleet.call(round, &format!("crash-{round}"), CRASHING).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let crashes = fleet.crashes();
    fleet.entries.iter_mut().for_each(LabProcess::kill);
    fleet.entries.clear();
    for place in 2..4 {
        fleet.start_entry(21, place).await;
    }
    for round in 0..4 {
        let answer = fleet.call(round, &format!("again-{round}"), CRASHING).await;
        let body = String::from_utf8_lossy(&answer.body);
        assert!(body.contains("\"Quarantined\""), "{body}\n{}", fleet.logs());
    }
    assert_eq!(fleet.crashes(), crashes);
}

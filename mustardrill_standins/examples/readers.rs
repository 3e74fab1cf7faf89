//! How soon an edit is in force, and what the key-value service is asked, by readers.
//!
//! `cargo run --release -p mustardrill_standins --example readers [edits|outage]`. Entries and agents run within
//! this process, each with its own sockets; the key-value service and list are stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mustardrill_core::membership::InstanceRecord;
use mustardrill_entry::EntryHandle;
use mustardrill_runtime::http::{HttpClient, request};
use mustardrill_runtime::platform::InstanceListing;
use mustardrill_runtime::settings::SettingsReader;
use mustardrill_standins::StandIn;
use mustardrill_standins::engine::{EngineHandler, EngineOptions, EngineState};
use mustardrill_standins::fault::FaultSwitches;
use mustardrill_standins::instances::{InstancesHandler, LaggingList};
use mustardrill_standins::key_value::{KeyValueHandler, KeyValueStore};

const TOKEN: &str = "bench-operator";
const EDITS: usize = 12;

/// Where agents keep who owns an upstream.
const OWNER_KEYS: &str = "mustardrill/owner/";

/// For how many seconds calls are counted after an outage.
const SETTLE: usize = 20;

struct Fleet {
    entries: Vec<EntryHandle>,
    agents: Vec<mustardrill_agent::AgentHandle>,
    store: Arc<KeyValueStore>,
    client: HttpClient,
    _stand_ins: Vec<StandIn>,
}

#[tokio::main]
async fn main() {
    let part = std::env::args().nth(1).unwrap_or_default();
    if part.is_empty() || part == "edits" {
        edits().await;
    }
    if part.is_empty() || part == "outage" {
        outages().await;
    }
}

async fn edits() {
    println!(
        "time from acceptance until in force at every reader, over {EDITS} edits; calls a second at rest"
    );
    println!(
        "{:>8} {:>8} {:>10} {:>10} {:>9} {:>9} {:>8} {:>12}",
        "readers",
        "entries",
        "median ms",
        "worst ms",
        "reads/s",
        "writes/s",
        "calls/s",
        "reads/edit"
    );
    for (entries, agents) in [(3, 1), (3, 7), (3, 97), (3, 337), (10, 90), (34, 306)] {
        run(entries, agents).await;
    }
}

/// Calls to the key-value service before, during and after an outage that outlasts every lease.
async fn outages() {
    println!("calls a second at rest, during an outage of 15 s, and after it; leases of 10 s");
    println!(
        "{:>8} {:>8} {:>9} {:>9} {:>9} {:>11} {:>14}",
        "agents", "entries", "rest", "outage", "most", "most after", "all owned in s"
    );
    for agents in [10, 100, 337] {
        let fleet = Fleet::spawn(3, agents).await;
        fleet.wait(0).await;
        fleet.wait_owned(agents).await;
        let rest = fleet.calls_by_second(10).await;
        fleet.store.faults.set(FaultSwitches { down: true, ..FaultSwitches::default() });
        let outage = fleet.calls_by_second(15).await;
        fleet.store.faults.set(FaultSwitches::default());
        let ended = Instant::now();
        let owned = async {
            fleet.wait_owned(agents).await;
            ended.elapsed().as_secs_f64()
        };
        let (after, owned) = tokio::join!(fleet.calls_by_second(SETTLE), owned);
        let mean = |bins: &[u64]| bins.iter().sum::<u64>() as f64 / bins.len() as f64;
        let most = |bins: &[u64]| bins.iter().max().copied().unwrap_or_default();
        println!(
            "{agents:>8} {:>8} {:>9.1} {:>9.1} {:>9} {:>11} {owned:>14.1}",
            3,
            mean(&rest),
            mean(&outage),
            most(&outage),
            most(&after)
        );
        fleet.halt();
    }
}

async fn run(entries: usize, agents: usize) {
    let fleet = Fleet::spawn(entries, agents).await;
    fleet.wait(0).await;
    let before = fleet.store.counts();
    const REST: Duration = Duration::from_secs(6);
    tokio::time::sleep(REST).await;
    let after = fleet.store.counts();
    let a_second = |count: u64| count as f64 / REST.as_secs_f64();
    let (reads, writes) = (a_second(after.0 - before.0), a_second(after.1 - before.1));
    let mut times = Vec::new();
    let before = fleet.store.counts().0;
    let begun = Instant::now();
    for edit in 1..=EDITS {
        fleet.edit(edit).await;
        let accepted = Instant::now();
        fleet.wait(edit as u64).await;
        times.push(accepted.elapsed().as_secs_f64() * 1_000.0);
    }
    let resting = reads * begun.elapsed().as_secs_f64();
    let for_edits = (fleet.store.counts().0 - before) as f64 - resting;
    times.sort_by(f64::total_cmp);
    println!(
        "{:>8} {entries:>8} {:>10.1} {:>10.1} {reads:>9.1} {writes:>9.1} {:>8.1} {:>12.1}",
        entries + agents,
        times[EDITS / 2],
        times[EDITS - 1],
        reads + writes,
        for_edits / EDITS as f64
    );
    fleet.halt();
}

impl Fleet {
    async fn spawn(entries: usize, agents: usize) -> Self {
        let local: SocketAddr = ([127, 0, 0, 1], 0).into();
        let handler = KeyValueHandler::default();
        let store = handler.store.clone();
        let list = Arc::new(LaggingList::new(Duration::ZERO));
        let key_value = StandIn::spawn(local, Box::new(handler)).await.expect("a stand-in");
        let instances = InstancesHandler { list: list.clone() };
        let instances = StandIn::spawn(local, Box::new(instances)).await.expect("a stand-in");
        let state = Arc::new(EngineState::new(EngineOptions::default()));
        let engine =
            StandIn::spawn(local, Box::new(EngineHandler { state })).await.expect("a stand-in");
        let platform = format!(
            "[platform]\nkey_value = {}\ninstances = {}\n[weights]\norigin = {}\n",
            key_value.address, instances.address, engine.address
        );
        let mut fleet = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            store,
            client: HttpClient::open(Duration::from_secs(2)),
            _stand_ins: Vec::new(),
        };
        let mut records: Vec<InstanceRecord> = Vec::new();
        for place in 0..agents {
            let text = format!(
                "[agent]\ninstance = worker-{place}\nservice = mustard-pool\ndata_centre = centre\nregion = region\nlisten = 127.0.0.1:0\nlog = off\n[upstream]\naddress = {}\n{platform}retry_every = 60s\n",
                engine.address
            );
            let reader = SettingsReader::read("agent", &text).expect("the settings read");
            let config = mustardrill_agent::config::read(reader).settings.expect("right settings");
            let handle = mustardrill_agent::spawn(config).await.expect("an agent");
            records.push(InstanceRecord {
                id: format!("worker-{place}").parse().expect("a valid name"),
                service: "mustard-pool".parse().expect("a valid name"),
                data_centre: "centre".parse().expect("a valid name"),
                region: "region".parse().expect("a valid name"),
                agent: handle.address.to_string().into(),
                leaving: false,
            });
            fleet.agents.push(handle);
        }
        list.set(InstanceListing { instances: records, entries });
        // So many agents for each entry that every agent is one of somebody's.
        let subset = (agents * 3).div_ceil(entries).max(32);
        for place in 0..entries {
            let text = format!(
                "[entry]\ninstance = entry-{place}\ndata_centre = centre\nlisten = 127.0.0.1:0\noperator_listen = 127.0.0.1:0\nlog = off\n[routing]\nsubset = {subset}\n[operators]\nana = {TOKEN}\n{platform}"
            );
            let reader = SettingsReader::read("entry", &text).expect("the settings read");
            let config = mustardrill_entry::config::read(reader).settings.expect("right settings");
            fleet.entries.push(mustardrill_entry::spawn(config).await.expect("an entry"));
        }
        fleet._stand_ins = vec![key_value, instances, engine];
        fleet
    }

    fn halt(&self) {
        self.agents.iter().for_each(mustardrill_agent::AgentHandle::halt);
        self.entries.iter().for_each(EntryHandle::halt);
    }

    /// Waits until every agent has its lease.
    async fn wait_owned(&self, agents: usize) {
        while self.store.count_keys(OWNER_KEYS) < agents {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The calls that the service got in each of the next seconds.
    async fn calls_by_second(&self, seconds: usize) -> Vec<u64> {
        let count = || {
            let (reads, writes) = self.store.counts();
            reads + writes + self.store.refused()
        };
        let mut bins = Vec::new();
        for _ in 0..seconds {
            let before = count();
            tokio::time::sleep(Duration::from_secs(1)).await;
            bins.push(count() - before);
        }
        bins
    }

    async fn operate(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        text: String,
    ) -> serde_json::Value {
        let address = self.entries[entry].operator_address;
        let mut sent = request(method, &format!("http://{address}{path}"), Bytes::from(text));
        let value = format!("Bearer {TOKEN}").parse().expect("a token makes a header");
        sent.headers_mut().insert("authorization", value);
        let answer = self.client.call(sent, Duration::from_secs(20), 64_000_000).await;
        serde_json::from_slice(&answer.expect("an answer").body).unwrap_or_default()
    }

    async fn edit(&self, edit: usize) {
        let revision = if edit > 1 { format!("revision = {}\n", edit - 1) } else { String::new() };
        let text = format!(
            "[plain desk]\n{revision}service = mustard-pool\nowner = ana\nclass = standard\ncallers = all\nrequests_per_second = 10\nin_flight = {}\n",
            edit + 10
        );
        let answer =
            self.operate(edit % self.entries.len(), "POST", "/v1/catalogue/edits", text).await;
        assert_eq!(answer["generation"].as_u64(), Some(edit as u64), "{answer}");
    }

    /// Waits until every entry and every agent that any entry sees has the generation.
    async fn wait(&self, generation: u64) {
        let mut open: Vec<usize> = (0..self.entries.len()).collect();
        while !open.is_empty() {
            let mut still = Vec::new();
            for entry in open {
                let status = self.operate(entry, "GET", "/v1/status", String::new()).await;
                let agents = status["agents"].as_array().cloned().unwrap_or_default();
                let has =
                    |value: &serde_json::Value| value["generation"].as_u64() == Some(generation);
                let is_heard = |agent: &serde_json::Value| !agent["silent_ms"].is_null();
                if !(has(&status)
                    && !agents.is_empty()
                    && agents.iter().all(|it| has(it) && is_heard(it)))
                {
                    still.push(entry);
                }
            }
            open = still;
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

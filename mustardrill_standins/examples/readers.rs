//! Measures how soon a catalogue edit is in force, and the load on the key-value service, against the
//! number of readers (entries and agents).
//!
//! `cargo run --release -p mustardrill_standins --example readers [edits|outage]`. Entries and agents run
//! within this process, each with its own sockets; key-value service and instance list are stand-ins.

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

/// Prefix of the keys with which agents hold the ownership of their upstreams.
const OWNER_KEYS: &str = "mustardrill/owner/";

/// Seconds after an outage in which calls are counted.
const SECONDS_AFTER: usize = 20;

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
        measure_edits().await;
    }
    if part.is_empty() || part == "outage" {
        measure_outages().await;
    }
}

async fn measure_edits() {
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
        measure_fleet(entries, agents).await;
    }
}

/// Counts calls to the key-value service before, during and after an outage that outlasts every lease.
async fn measure_outages() {
    println!("calls a second at rest, during an outage of 15 s, and after it; leases of 10 s");
    println!(
        "{:>8} {:>8} {:>9} {:>9} {:>9} {:>11} {:>14}",
        "agents", "entries", "rest", "outage", "most", "most after", "all owned in s"
    );
    for agents in [10, 100, 337] {
        let fleet = Fleet::spawn(3, agents).await;
        fleet.wait_until_in_force(0).await;
        fleet.wait_until_owned(agents).await;
        let rest = fleet.calls_by_second(10).await;
        fleet.store.faults.set(FaultSwitches { down: true, ..FaultSwitches::default() });
        let outage = fleet.calls_by_second(15).await;
        fleet.store.faults.set(FaultSwitches::default());
        let ended = Instant::now();
        let owned = async {
            fleet.wait_until_owned(agents).await;
            ended.elapsed().as_secs_f64()
        };
        let (after, owned) = tokio::join!(fleet.calls_by_second(SECONDS_AFTER), owned);
        let mean = |counts: &[u64]| counts.iter().sum::<u64>() as f64 / counts.len() as f64;
        let maximum = |counts: &[u64]| counts.iter().max().copied().unwrap_or_default();
        println!(
            "{agents:>8} {:>8} {:>9.1} {:>9.1} {:>9} {:>11} {owned:>14.1}",
            3,
            mean(&rest),
            mean(&outage),
            maximum(&outage),
            maximum(&after)
        );
        fleet.halt();
    }
}

async fn measure_fleet(entries: usize, agents: usize) {
    let fleet = Fleet::spawn(entries, agents).await;
    fleet.wait_until_in_force(0).await;
    let before = fleet.store.counts();
    const REST_TIME: Duration = Duration::from_secs(6);
    tokio::time::sleep(REST_TIME).await;
    let after = fleet.store.counts();
    let per_second = |count: u64| count as f64 / REST_TIME.as_secs_f64();
    let (reads, writes) = (per_second(after.0 - before.0), per_second(after.1 - before.1));
    let mut times = Vec::new();
    let before = fleet.store.counts().0;
    let started = Instant::now();
    for edit in 1..=EDITS {
        fleet.apply_edit(edit).await;
        let accepted = Instant::now();
        fleet.wait_until_in_force(edit as u64).await;
        times.push(accepted.elapsed().as_secs_f64() * 1_000.0);
    }
    let background_reads = reads * started.elapsed().as_secs_f64();
    let edit_reads = (fleet.store.counts().0 - before) as f64 - background_reads;
    times.sort_by(f64::total_cmp);
    println!(
        "{:>8} {entries:>8} {:>10.1} {:>10.1} {reads:>9.1} {writes:>9.1} {:>8.1} {:>12.1}",
        entries + agents,
        times[EDITS / 2],
        times[EDITS - 1],
        reads + writes,
        edit_reads / EDITS as f64
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
        for index in 0..agents {
            let text = format!(
                "[agent]\ninstance = worker-{index}\nservice = mustard-pool\ndata_centre = centre\nregion = region\nlisten = 127.0.0.1:0\nlog = off\n[upstream]\naddress = {}\n{platform}retry_every = 60s\n",
                engine.address
            );
            let reader = SettingsReader::read("agent", &text).expect("the settings read");
            let config = mustardrill_agent::config::read(reader).settings.expect("right settings");
            let handle = mustardrill_agent::spawn(config).await.expect("an agent");
            records.push(InstanceRecord {
                id: format!("worker-{index}").parse().expect("a valid name"),
                service: "mustard-pool".parse().expect("a valid name"),
                data_centre: "centre".parse().expect("a valid name"),
                region: "region".parse().expect("a valid name"),
                agent: handle.address.to_string().into(),
                leaving: false,
            });
            fleet.agents.push(handle);
        }
        list.set(InstanceListing { instances: records, entries, ..InstanceListing::default() });
        // The subset of each entry is large enough that every agent is in the subset of some entry.
        let subset = (agents * 3).div_ceil(entries).max(32);
        for index in 0..entries {
            let text = format!(
                "[entry]\ninstance = entry-{index}\ndata_centre = centre\nlisten = 127.0.0.1:0\noperator_listen = 127.0.0.1:0\nlog = off\n[routing]\nsubset = {subset}\n[operators]\nana = {TOKEN}\n{platform}"
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

    /// Waits until every agent owns its upstream.
    async fn wait_until_owned(&self, agents: usize) {
        while self.store.count_keys(OWNER_KEYS) < agents {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Numbers of calls to the service in each of the next `seconds`, with those refused in an outage.
    async fn calls_by_second(&self, seconds: usize) -> Vec<u64> {
        let count = || {
            let (reads, writes) = self.store.counts();
            reads + writes + self.store.refused()
        };
        let mut counts = Vec::new();
        for _ in 0..seconds {
            let before = count();
            tokio::time::sleep(Duration::from_secs(1)).await;
            counts.push(count() - before);
        }
        counts
    }

    async fn call_operator(
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

    async fn apply_edit(&self, edit: usize) {
        let revision = if edit > 1 { format!("revision = {}\n", edit - 1) } else { String::new() };
        let text = format!(
            "[plain desk]\n{revision}service = mustard-pool\nowner = ana\nclass = standard\ncallers = all\nrequests_per_second = 10\nin_flight = {}\n",
            edit + 10
        );
        let answer = self
            .call_operator(edit % self.entries.len(), "POST", "/v1/catalogue/edits", text)
            .await;
        assert_eq!(answer["generation"].as_u64(), Some(edit as u64), "{answer}");
    }

    /// Waits until every entry, and every agent in an entry's status, uses the generation.
    async fn wait_until_in_force(&self, generation: u64) {
        let mut pending: Vec<usize> = (0..self.entries.len()).collect();
        while !pending.is_empty() {
            let mut not_yet = Vec::new();
            for entry in pending {
                let status = self.call_operator(entry, "GET", "/v1/status", String::new()).await;
                let agents = status["agents"].as_array().cloned().unwrap_or_default();
                let has =
                    |value: &serde_json::Value| value["generation"].as_u64() == Some(generation);
                let has_answered = |agent: &serde_json::Value| !agent["silent_ms"].is_null();
                if !(has(&status)
                    && !agents.is_empty()
                    && agents.iter().all(|it| has(it) && has_answered(it)))
                {
                    not_yet.push(entry);
                }
            }
            pending = not_yet;
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

//! Starts the daemons and stand-ins as separate processes on this machine, and ends them again.
//!
//! Only programs that this workspace built are started, and only they are ended, by their ids.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mustardrill_core::membership::InstanceRecord;
use mustardrill_runtime::http::{BufferedResponse, HttpClient, request};
use mustardrill_runtime::platform::InstanceListing;

pub use crate::access::{CUSTOMER_TOKEN, OPERATOR_TOKEN, SECOND_OPERATOR_TOKEN, caller_request};
use crate::lab_settings::LabSettings;
use crate::link::{LabLink, LinkState};
pub use crate::process::LabProcess;
use crate::process::{build_folder, daemon, stand_in};

/// The size of a lab.
#[derive(Debug, Clone)]
pub struct LabOptions {
    /// Agents, each beside a model engine, in turn in one of two data centres.
    pub agents: usize,
    /// Entries.
    pub entries: usize,
    /// Plain services with an agent each.
    pub plain: usize,
    /// The origin's link in bytes a second; zero is unlimited.
    pub origin_rate: u64,
    /// Each machine's link in bytes a second; zero is unlimited.
    pub machine_rate: u64,
    /// How long an engine takes to load weights that are there.
    pub load_ms: u64,
    /// Further lines for each agent's settings, by section.
    pub agent_lines: Vec<(&'static str, String)>,
    /// Further lines for each entry's settings, by section.
    pub entry_lines: Vec<(&'static str, String)>,
    /// Whether engines refuse old fencing numbers.
    pub checks_fencing: bool,
    /// The pieces of an engine's answer, and the milliseconds of each.
    pub pieces: (u64, u64),
    /// The milliseconds of a plain service's call.
    pub plain_ms: u64,
    /// Whether each agent is reached over a link that can be cut.
    pub links: bool,
    /// Where the processes' logs go; a folder of the lab's own where there is none.
    pub folder: Option<PathBuf>,
}

/// An agent and the upstream beside it.
#[derive(Debug)]
pub struct LabUpstream {
    /// The agent.
    pub agent: LabProcess,
    /// The engine or plain service.
    pub upstream: LabProcess,
    /// The link to the agent, where the lab has links.
    pub link: Option<LabLink>,
    /// The link from the agent to the upstream, where the lab has links.
    pub order_link: Option<LabLink>,
    /// What the instance list says of it.
    pub record: InstanceRecord,
}

/// The processes of one lab; dropping it ends them all.
#[derive(Debug)]
pub struct Lab {
    /// The key-value service.
    pub key_value: LabProcess,
    /// The instance list.
    pub instances: LabProcess,
    /// The origin.
    pub origin: LabProcess,
    /// The entries.
    pub entries: Vec<LabProcess>,
    /// The model engines with their agents.
    pub engines: Vec<LabUpstream>,
    /// The plain services with their agents.
    pub plain: Vec<LabUpstream>,
    /// A client for calls of the lab's own.
    pub client: HttpClient,
    options: LabOptions,
    folder: PathBuf,
    next_agent: usize,
}

impl Default for LabOptions {
    fn default() -> Self {
        Self {
            agents: 4,
            entries: 2,
            plain: 1,
            origin_rate: 0,
            machine_rate: 0,
            load_ms: 50,
            agent_lines: Vec::new(),
            entry_lines: Vec::new(),
            checks_fencing: true,
            pieces: (8, 5),
            plain_ms: 2,
            links: false,
            folder: None,
        }
    }
}

impl Lab {
    /// Starts all processes and tells the instance list of them.
    pub async fn spawn(options: LabOptions) -> Self {
        let folder = options.folder.clone().unwrap_or_else(|| {
            let unique =
                format!("mustardrill-lab-{}-{:08x}", std::process::id(), rand::random::<u32>());
            std::env::temp_dir().join(unique)
        });
        std::fs::create_dir_all(&folder).expect("the lab's folder can be made");
        let origin_rate = options.origin_rate.to_string();
        let mut lab = Self {
            key_value: stand_in(&folder, "key_value", "key-value", &[]),
            instances: stand_in(&folder, "instances", "instances", &["--lag-ms", "100"]),
            origin: stand_in(&folder, "origin", "origin", &["--rate", &origin_rate]),
            entries: Vec::new(),
            engines: Vec::new(),
            plain: Vec::new(),
            client: HttpClient::open(Duration::from_secs(2)),
            options,
            folder,
            next_agent: 0,
        };
        for _ in 0..lab.options.agents {
            lab.add_engine();
        }
        for _ in 0..lab.options.plain {
            let upstream = lab.spawn_upstream("plain", "records-desk");
            lab.plain.push(upstream);
        }
        for place in 0..lab.options.entries {
            let entry = lab.spawn_entry(place);
            lab.entries.push(entry);
        }
        lab.publish_instances().await;
        lab
    }

    /// Starts one more engine with its agent; `publish_instances` tells the list of it.
    pub fn add_engine(&mut self) {
        let upstream = self.spawn_upstream("engine", "mustard-pool");
        self.engines.push(upstream);
    }

    /// Starts a second agent for an engine, as a platform does that takes the first for dead, and
    /// lists it in the first one's place; returns the first one with its link to the engine.
    pub async fn replace_agent(&mut self, place: usize) -> (LabProcess, Option<LabLink>) {
        let engine = &self.engines[place];
        let settings = self.settings().agent(&engine.record, engine.upstream.address, true);
        let name = format!("{}-again", engine.record.id);
        let agent = daemon(&self.folder, "mustardrill-agent", &name, &settings);
        let engine = &mut self.engines[place];
        engine.record.agent = agent.address.to_string().into();
        engine.link = None;
        let first = (std::mem::replace(&mut engine.agent, agent), engine.order_link.take());
        self.publish_instances().await;
        first
    }

    /// Starts an entry in the place of one that ended.
    pub fn restart_entry(&mut self, place: usize) {
        self.entries[place] = self.spawn_entry(place);
    }

    /// Tells the instance list who is there, as the platform would.
    pub async fn publish_instances(&self) {
        let upstreams = self.engines.iter().chain(&self.plain);
        let instances = upstreams.map(|upstream| upstream.record.clone()).collect();
        let listing = InstanceListing { instances, entries: self.entries.len() };
        let body = serde_json::to_vec(&listing).expect("a listing is plain data");
        self.call("PUT", self.instances.address, "/v1/instances", body).await;
    }

    /// Publishes a version at the origin; returns its manifest's digest.
    pub async fn publish(
        &self,
        model: &str,
        version: &str,
        size: u64,
        chunk: u64,
        seed: u64,
    ) -> String {
        let path = format!(
            "/admin/publish?model={model}&version={version}&size={size}&chunk={chunk}&seed={seed}"
        );
        let answer = self.call("POST", self.origin.address, &path, Bytes::new()).await;
        String::from_utf8_lossy(&answer.body).into_owned()
    }

    /// Applies a catalogue file through the operator port of an entry, as `ana`.
    pub async fn apply(&self, entry: usize, text: &str) -> (u16, serde_json::Value) {
        self.operate(entry, "POST", "/v1/catalogue/edits", text, OPERATOR_TOKEN).await
    }

    /// Runs an operator's command line against an entry; returns exit code and output.
    pub fn command(&self, entry: usize, words: &[&str]) -> (i32, String) {
        let address = self.entries[entry].second.expect("an entry has an operator port");
        let output = Command::new(build_folder().join("mustardrill-entry"))
            .arg("catalogue")
            .args(words)
            .args(["--operator", &address.to_string()])
            .env("MUSTARDRILL_TOKEN", OPERATOR_TOKEN)
            .output()
            .expect("the command line runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code().unwrap_or(-1), text)
    }

    /// Waits until the agents that an entry sees have its generation in force.
    pub async fn wait_in_force(&self, entry: usize, generation: u64, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            let (_, status) = self.operate(entry, "GET", "/v1/status", "", OPERATOR_TOKEN).await;
            let agents = status["agents"].as_array().cloned().unwrap_or_default();
            let has = |value: &serde_json::Value| value["generation"].as_u64() == Some(generation);
            if has(&status) && !agents.is_empty() && agents.iter().all(has) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Waits until an entry has heard of this many agents.
    pub async fn wait_fleet(&self, entry: usize, agents: usize, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            let (_, status) = self.operate(entry, "GET", "/v1/status", "", OPERATOR_TOKEN).await;
            let heard = status["agents"].as_array().into_iter().flatten();
            if heard.filter(|agent| !agent["silent_ms"].is_null()).count() >= agents {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Sets what becomes of the bytes to and from an agent.
    pub fn set_link(&self, upstream: &LabUpstream, state: LinkState) {
        upstream.link.as_ref().expect("the lab has links").set(state);
    }

    /// What an agent says of itself.
    pub async fn agent_status(&self, upstream: &LabUpstream) -> serde_json::Value {
        let local = upstream.agent.second.expect("an agent has a local port");
        let answer = self.call("GET", local, "/status", Bytes::new()).await;
        serde_json::from_slice(&answer.body).unwrap_or_default()
    }

    /// Bytes of weights down and up the link of each machine: of one version down, of all up.
    pub async fn link_bytes(&self, digest: &str) -> Vec<(u64, u64)> {
        let mut links = Vec::new();
        for engine in &self.engines {
            let status = self.agent_status(engine).await;
            let versions = status["versions"].as_array().into_iter().flatten();
            let down = versions.filter(|version| version["manifest"] == digest).map(|version| {
                let bytes = |key: &str| version[key].as_u64().unwrap_or_default();
                bytes("origin_bytes") + bytes("peer_bytes")
            });
            links.push((down.sum(), status["sent_bytes"].as_u64().unwrap_or_default()));
        }
        links
    }

    /// What an engine tells of itself; nothing where it does not answer.
    async fn engine_state(&self, engine: &LabUpstream) -> serde_json::Value {
        let answer = self.call("GET", engine.upstream.address, "/v1/state", Bytes::new()).await;
        serde_json::from_slice(&answer.body).unwrap_or_default()
    }

    /// The load orders that an engine accepted, fencing number and digest, and how many it refused.
    pub async fn orders(&self, engine: &LabUpstream) -> (Vec<(u64, String)>, u64) {
        let state = self.engine_state(engine).await;
        let orders = serde_json::from_value(state["orders"].clone()).unwrap_or_default();
        (orders, state["refused_orders"].as_u64().unwrap_or_default())
    }

    /// How many load orders have come to an engine whole, whatever became of them.
    pub async fn received_orders(&self, engine: &LabUpstream) -> u64 {
        let state = self.engine_state(engine).await;
        state["received_orders"].as_u64().unwrap_or_default()
    }

    /// What an upstream ran, in order.
    pub async fn runs(&self, upstream: &LabUpstream) -> Vec<String> {
        let answer = self.call("GET", upstream.upstream.address, "/admin/runs", Bytes::new()).await;
        serde_json::from_slice(&answer.body).unwrap_or_default()
    }

    /// All logs of the lab's processes.
    pub fn logs(&self) -> String {
        let files = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let logs = files.filter(|file| file.path().extension().is_some_and(|it| it == "log"));
        logs.filter_map(|file| std::fs::read_to_string(file.path()).ok()).collect()
    }

    /// Calls the operator port of an entry.
    pub async fn operate(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        text: &str,
        token: &str,
    ) -> (u16, serde_json::Value) {
        let address = self.entries[entry].second.expect("an entry has an operator port");
        let mut sent = request(method, &format!("http://{address}{path}"), text.to_owned());
        let value = format!("Bearer {token}").parse().expect("a token makes a header");
        sent.headers_mut().insert("authorization", value);
        let answer = self.client.call(sent, Duration::from_secs(20), 16_000_000).await;
        let answer = answer.expect("the entry answers");
        let body = serde_json::from_slice(&answer.body).unwrap_or_else(|_| {
            serde_json::Value::String(String::from_utf8_lossy(&answer.body).into_owned())
        });
        (answer.status.as_u16(), body)
    }

    /// Calls one of the lab's processes.
    pub async fn call(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> BufferedResponse {
        let sent = request(method, &format!("http://{address}{path}"), body);
        let answer = self.client.call(sent, Duration::from_secs(20), 64_000_000).await;
        answer.unwrap_or_else(|error| panic!("{address}{path}: {error}"))
    }

    /// Sets a stand-in's switches, such as `down=1`.
    pub async fn switch(&self, address: SocketAddr, switches: &str) {
        self.call("POST", address, &format!("/admin/faults?{switches}"), Bytes::new()).await;
    }

    /// The digest that each engine serves, in the order of the engines.
    pub async fn serving(&self) -> Vec<Option<String>> {
        let mut digests = Vec::new();
        for engine in &self.engines {
            digests.push(self.serving_of(engine).await);
        }
        digests
    }

    /// The digest that an engine serves; nothing where it is gone.
    pub async fn serving_of(&self, engine: &LabUpstream) -> Option<String> {
        let uri = format!("http://{}/v1/state", engine.upstream.address);
        let sent = request("GET", &uri, Bytes::new());
        let answer = self.client.call(sent, Duration::from_secs(2), 1_000_000).await.ok()?;
        let state: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
        state["serving"][0].as_str().map(str::to_owned)
    }

    /// Waits until `count` engines serve `digest`; returns how long it took.
    pub async fn wait_serving(
        &self,
        digest: &str,
        count: usize,
        limit: Duration,
    ) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < limit {
            let serving = self.serving().await;
            if serving.iter().flatten().filter(|found| *found == digest).count() >= count {
                return Some(started.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        None
    }

    /// Waits until an entry answers for a model or service.
    pub async fn wait_ready(&self, path: &str, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            let mut is_ready = true;
            for entry in &self.entries {
                let sent = caller_request(entry.address, path, "ready?");
                let answer = self.client.call(sent, Duration::from_secs(5), 1_000_000).await;
                is_ready &= answer.is_ok_and(|answer| answer.status.is_success());
            }
            if is_ready {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// The bytes that the origin sent so far.
    pub async fn origin_sent(&self) -> u64 {
        let answer = self.call("GET", self.origin.address, "/admin/sent", Bytes::new()).await;
        String::from_utf8_lossy(&answer.body).parse().unwrap_or(0)
    }

    /// The folder with settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts an upstream and its agent, with links before both where the lab has links.
    fn spawn_upstream(&mut self, kind: &str, service: &str) -> LabUpstream {
        let place = self.next_agent;
        self.next_agent += 1;
        let arguments = self.upstream_arguments(kind);
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let upstream = stand_in(&self.folder, kind, &format!("{kind}-{place}"), &arguments);
        let order_link = self.link_to(upstream.address);
        let reached = order_link.as_ref().map_or(upstream.address, |link| link.address);
        let mut record = record_of(place, service);
        let settings = self.settings().agent(&record, reached, kind == "engine");
        let agent = daemon(&self.folder, "mustardrill-agent", record.id.as_str(), &settings);
        let link = self.link_to(agent.address);
        let listed = link.as_ref().map_or(agent.address, |link| link.address);
        record.agent = listed.to_string().into();
        LabUpstream { agent, upstream, link, order_link, record }
    }

    fn upstream_arguments(&self, kind: &str) -> Vec<String> {
        let options = &self.options;
        let pair = |name: &str, value: String| [format!("--{name}"), value];
        let pairs = match kind {
            "engine" => vec![
                pair("load-ms", options.load_ms.to_string()),
                pair("checks-fencing", options.checks_fencing.to_string()),
                pair("pieces", options.pieces.0.to_string()),
                pair("piece-ms", options.pieces.1.to_string()),
            ],
            _ => vec![pair("work-ms", options.plain_ms.to_string())],
        };
        pairs.into_iter().flatten().collect()
    }

    fn link_to(&self, target: SocketAddr) -> Option<LabLink> {
        self.options.links.then(|| LabLink::spawn(target).expect("a free port"))
    }

    fn spawn_entry(&self, place: usize) -> LabProcess {
        let settings = self.settings().entry(place);
        daemon(&self.folder, "mustardrill-entry", &format!("entry-{place}"), &settings)
    }

    fn settings(&self) -> LabSettings<'_> {
        LabSettings {
            options: &self.options,
            key_value: self.key_value.address,
            instances: self.instances.address,
            origin: self.origin.address,
        }
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        // A failed test keeps its logs for whoever looks for the cause.
        if !std::thread::panicking() && self.options.folder.is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The record of the instance at a place, in turn in one of two data centres.
fn record_of(place: usize, service: &str) -> InstanceRecord {
    let (centre, region) = if place.is_multiple_of(2) {
        ("gc-hall-a", "guate-central")
    } else {
        ("xela-hall", "occidente")
    };
    InstanceRecord {
        id: format!("{service}-{place}").parse().expect("a valid instance name"),
        service: service.parse().expect("a valid service name"),
        data_centre: centre.parse().expect("a valid data centre name"),
        region: region.parse().expect("a valid region name"),
        agent: "".into(),
        leaving: false,
    }
}

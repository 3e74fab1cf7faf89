//! A lab: the daemons and stand-ins as separate processes on this machine.
//!
//! It starts programs from this workspace's build folder only, and terminates only those that it started,
//! by their process ids.

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

/// Numbers of processes in a lab, and how they are set up.
#[derive(Debug, Clone)]
pub struct LabOptions {
    /// Number of agents with a model engine each, placed alternately in two data centres.
    pub agents: usize,
    /// Number of entries, placed alternately in the same data centres.
    pub entries: usize,
    /// Number of plain services, with an agent each.
    pub plain: usize,
    /// Rate of the origin's link in bytes per second; zero is unlimited.
    pub origin_rate: u64,
    /// Upload and download rate of each agent in bytes per second; zero is unlimited.
    pub machine_rate: u64,
    /// Milliseconds that an engine takes to load weights after fetching them.
    pub load_ms: u64,
    /// Extra `key = value` lines for each agent's settings, with their section; they replace lines with
    /// the same key.
    pub agent_lines: Vec<(&'static str, String)>,
    /// The same for each entry's settings.
    pub entry_lines: Vec<(&'static str, String)>,
    /// Whether engines reject load orders with a fencing number below the highest seen.
    pub checks_fencing: bool,
    /// Number of pieces in an engine's answer, and the milliseconds that each takes.
    pub pieces: (u64, u64),
    /// Milliseconds that a plain service takes for a call.
    pub plain_ms: u64,
    /// Whether agents, and upstreams from their agents, are reached over a [`LabLink`].
    pub has_links: bool,
    /// Folder for settings and logs. `None` creates a temporary one, which is removed with the lab.
    pub folder: Option<PathBuf>,
}

/// An agent and the upstream on the same machine.
#[derive(Debug)]
pub struct LabUpstream {
    /// The agent's process.
    pub agent: LabProcess,
    /// The process of the engine or plain service.
    pub upstream: LabProcess,
    /// Link through which others reach the agent; `None` without [`LabOptions::has_links`] or after the
    /// agent was replaced.
    pub link: Option<LabLink>,
    /// Link through which the agent reaches the upstream; `None` in the same cases.
    pub upstream_link: Option<LabLink>,
    /// The agent's record in the instance list.
    pub record: InstanceRecord,
}

/// The processes of one lab; dropping it kills them all.
#[derive(Debug)]
pub struct Lab {
    /// Stand-in for the key-value service.
    pub key_value: LabProcess,
    /// Stand-in for the platform's instance list.
    pub instances: LabProcess,
    /// Stand-in for the origin of weights.
    pub origin: LabProcess,
    /// The entries, by the index that methods take.
    pub entries: Vec<LabProcess>,
    /// The model engines with their agents.
    pub engines: Vec<LabUpstream>,
    /// The plain services with their agents.
    pub plain: Vec<LabUpstream>,
    /// Client for the lab's calls; it connects within two seconds or fails.
    pub client: HttpClient,
    options: LabOptions,
    folder: PathBuf,
    next_agent_index: usize,
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
            has_links: false,
            folder: None,
        }
    }
}

impl Lab {
    /// Starts all processes and publishes the agents in the instance list.
    ///
    /// Panics where a program was not built or does not start. Returns before the entries know the fleet.
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
            next_agent_index: 0,
        };
        for _ in 0..lab.options.agents {
            lab.add_engine();
        }
        for _ in 0..lab.options.plain {
            let upstream = lab.spawn_upstream("plain", "records-desk");
            lab.plain.push(upstream);
        }
        for index in 0..lab.options.entries {
            let entry = lab.spawn_entry(index);
            lab.entries.push(entry);
        }
        lab.publish_instances().await;
        lab
    }

    /// Starts one more engine with its agent; [`Lab::publish_instances`] must follow.
    pub fn add_engine(&mut self) {
        let upstream = self.spawn_upstream("engine", "mustard-pool");
        self.engines.push(upstream);
    }

    /// Starts a second agent for an engine, as a platform does that wrongly takes the first one for dead,
    /// and lists it instead of the first. Returns the first agent with its link to the engine.
    pub async fn replace_agent(&mut self, index: usize) -> (LabProcess, Option<LabLink>) {
        let engine = &self.engines[index];
        let settings = self.settings().agent(&engine.record, engine.upstream.address, true);
        let name = format!("{}-again", engine.record.id);
        let agent = daemon(&self.folder, "mustardrill-agent", &name, &settings);
        let engine = &mut self.engines[index];
        engine.record.agent = agent.address.to_string().into();
        engine.link = None;
        let replaced = (std::mem::replace(&mut engine.agent, agent), engine.upstream_link.take());
        self.publish_instances().await;
        replaced
    }

    /// Starts an entry again under the name of the one with this index.
    pub fn restart_entry(&mut self, index: usize) {
        self.entries[index] = self.spawn_entry(index);
    }

    /// Sets the instance list to the lab's agents, as the platform would.
    pub async fn publish_instances(&self) {
        let upstreams = self.engines.iter().chain(&self.plain);
        let instances = upstreams.map(|upstream| upstream.record.clone()).collect();
        let entries = self.entries.len();
        let entry_ids = (0..entries).map(|index| format!("entry-{index}").parse());
        let entry_ids = entry_ids.collect::<Result<_, _>>().expect("the ids are valid");
        let listing = InstanceListing { instances, entries, entry_ids };
        let body = serde_json::to_vec(&listing).expect("a listing is plain data");
        self.call("PUT", self.instances.address, "/v1/instances", body).await;
    }

    /// Publishes `size` bytes of weights, generated from `seed`, at the origin; returns the manifest's digest.
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

    /// Applies a catalogue file through an entry's operator port, as `ana`; returns status and body.
    pub async fn apply_catalogue(&self, entry: usize, text: &str) -> (u16, serde_json::Value) {
        self.call_operator(entry, "POST", "/v1/catalogue/edits", text, OPERATOR_TOKEN).await
    }

    /// Runs `mustardrill-entry catalogue` with `words` against an entry; returns exit code and output.
    pub fn run_catalogue_command(&self, entry: usize, words: &[&str]) -> (i32, String) {
        let address = self.entries[entry].second_address.expect("an entry has an operator port");
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

    /// Waits until an entry and all agents in its status use this generation; false after `limit`.
    pub async fn wait_until_in_force(
        &self,
        entry: usize,
        generation: u64,
        limit: Duration,
    ) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            let (_, status) =
                self.call_operator(entry, "GET", "/v1/status", "", OPERATOR_TOKEN).await;
            let agents = status["agents"].as_array().cloned().unwrap_or_default();
            let has = |value: &serde_json::Value| value["generation"].as_u64() == Some(generation);
            if has(&status) && !agents.is_empty() && agents.iter().all(has) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Waits until an entry has received heartbeats of this many agents; false after `limit`.
    pub async fn wait_for_agents(&self, entry: usize, agents: usize, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            let (_, status) =
                self.call_operator(entry, "GET", "/v1/status", "", OPERATOR_TOKEN).await;
            let agents_seen = status["agents"].as_array().into_iter().flatten();
            if agents_seen.filter(|agent| !agent["silent_ms"].is_null()).count() >= agents {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Sets the state of the link to an agent; panics where the lab has no links.
    pub fn set_link(&self, upstream: &LabUpstream, state: LinkState) {
        upstream.link.as_ref().expect("the lab has links").set(state);
    }

    /// The status that an agent reports on its local port; null where it is malformed.
    pub async fn agent_status(&self, upstream: &LabUpstream) -> serde_json::Value {
        let local = upstream.agent.second_address.expect("an agent has a local port");
        let answer = self.call("GET", local, "/status", Bytes::new()).await;
        serde_json::from_slice(&answer.body).unwrap_or_default()
    }

    /// Bytes of weights over each machine's link, by engine: received of this version, sent of all versions.
    pub async fn link_bytes(&self, digest: &str) -> Vec<(u64, u64)> {
        let mut links = Vec::new();
        for engine in &self.engines {
            let status = self.agent_status(engine).await;
            let versions = status["versions"].as_array().into_iter().flatten();
            let received =
                versions.filter(|version| version["manifest"] == digest).map(|version| {
                    let bytes = |key: &str| version[key].as_u64().unwrap_or_default();
                    bytes("origin_bytes") + bytes("peer_bytes")
                });
            links.push((received.sum(), status["sent_bytes"].as_u64().unwrap_or_default()));
        }
        links
    }

    /// The state that an engine reports; null where it is malformed.
    async fn engine_state(&self, engine: &LabUpstream) -> serde_json::Value {
        let answer = self.call("GET", engine.upstream.address, "/v1/state", Bytes::new()).await;
        serde_json::from_slice(&answer.body).unwrap_or_default()
    }

    /// The load orders that an engine accepted (fencing number and digest), and the number it rejected.
    pub async fn orders(&self, engine: &LabUpstream) -> (Vec<(u64, String)>, u64) {
        let state = self.engine_state(engine).await;
        let orders = serde_json::from_value(state["orders"].clone()).unwrap_or_default();
        (orders, state["refused_orders"].as_u64().unwrap_or_default())
    }

    /// Number of load orders that an engine received completely, accepted or not.
    pub async fn received_orders(&self, engine: &LabUpstream) -> u64 {
        let state = self.engine_state(engine).await;
        state["received_orders"].as_u64().unwrap_or_default()
    }

    /// The prompts or calls that an upstream ran, in order; one that ran twice is listed twice.
    pub async fn runs(&self, upstream: &LabUpstream) -> Vec<String> {
        let answer = self.call("GET", upstream.upstream.address, "/admin/runs", Bytes::new()).await;
        serde_json::from_slice(&answer.body).unwrap_or_default()
    }

    /// The logs of all processes of the lab, one after the other.
    pub fn logs(&self) -> String {
        let files = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let logs = files.filter(|file| file.path().extension().is_some_and(|it| it == "log"));
        logs.filter_map(|file| std::fs::read_to_string(file.path()).ok()).collect()
    }

    /// Calls an entry's operator port; returns the status and the body, as JSON or else as a string.
    pub async fn call_operator(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        text: &str,
        token: &str,
    ) -> (u16, serde_json::Value) {
        let address = self.entries[entry].second_address.expect("an entry has an operator port");
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

    /// Calls one of the lab's processes; panics where it does not answer within 20 seconds.
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

    /// Sets a stand-in's fault switches, such as `down=1`; those left out are switched off.
    pub async fn set_faults(&self, address: SocketAddr, switches: &str) {
        self.call("POST", address, &format!("/admin/faults?{switches}"), Bytes::new()).await;
    }

    /// The digest that each engine serves, in the order of [`Lab::engines`].
    pub async fn serving(&self) -> Vec<Option<String>> {
        let mut digests = Vec::new();
        for engine in &self.engines {
            digests.push(self.serving_of(engine).await);
        }
        digests
    }

    /// The digest that an engine serves; `None` without weights or where it does not answer.
    pub async fn serving_of(&self, engine: &LabUpstream) -> Option<String> {
        let uri = format!("http://{}/v1/state", engine.upstream.address);
        let sent = request("GET", &uri, Bytes::new());
        let answer = self.client.call(sent, Duration::from_secs(2), 1_000_000).await.ok()?;
        let state: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
        state["serving"][0].as_str().map(str::to_owned)
    }

    /// Waits until `count` engines serve `digest`; returns the time taken, or `None` after `limit`.
    pub async fn wait_until_serving(
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

    /// Waits until every entry answers a request to this path with success; false after `limit`.
    pub async fn wait_until_ready(&self, path: &str, limit: Duration) -> bool {
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

    /// Bytes of weights that the origin has sent so far.
    pub async fn origin_sent(&self) -> u64 {
        let answer = self.call("GET", self.origin.address, "/admin/sent", Bytes::new()).await;
        String::from_utf8_lossy(&answer.body).parse().unwrap_or(0)
    }

    /// The folder with settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts an upstream and its agent, each behind a link where the options ask for links.
    fn spawn_upstream(&mut self, kind: &str, service: &str) -> LabUpstream {
        let index = self.next_agent_index;
        self.next_agent_index += 1;
        let arguments = self.upstream_arguments(kind);
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let upstream = stand_in(&self.folder, kind, &format!("{kind}-{index}"), &arguments);
        let upstream_link = self.spawn_link(upstream.address);
        let upstream_address = upstream_link.as_ref().map_or(upstream.address, |link| link.address);
        let mut record = instance_record(index, service);
        let settings = self.settings().agent(&record, upstream_address, kind == "engine");
        let agent = daemon(&self.folder, "mustardrill-agent", record.id.as_str(), &settings);
        let link = self.spawn_link(agent.address);
        let agent_address = link.as_ref().map_or(agent.address, |link| link.address);
        record.agent = agent_address.to_string().into();
        LabUpstream { agent, upstream, link, upstream_link, record }
    }

    fn upstream_arguments(&self, kind: &str) -> Vec<String> {
        let options = &self.options;
        let argument_pair = |name: &str, value: String| [format!("--{name}"), value];
        let pairs = match kind {
            "engine" => vec![
                argument_pair("load-ms", options.load_ms.to_string()),
                argument_pair("checks-fencing", options.checks_fencing.to_string()),
                argument_pair("pieces", options.pieces.0.to_string()),
                argument_pair("piece-ms", options.pieces.1.to_string()),
            ],
            _ => vec![argument_pair("work-ms", options.plain_ms.to_string())],
        };
        pairs.into_iter().flatten().collect()
    }

    fn spawn_link(&self, target: SocketAddr) -> Option<LabLink> {
        self.options.has_links.then(|| LabLink::spawn(target).expect("a free port"))
    }

    fn spawn_entry(&self, index: usize) -> LabProcess {
        let settings = self.settings().entry(index);
        daemon(&self.folder, "mustardrill-entry", &format!("entry-{index}"), &settings)
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
        // The logs of a failed test are kept to find the cause.
        if !std::thread::panicking() && self.options.folder.is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The record of the agent with this index; even and odd ones are in different data centres.
fn instance_record(index: usize, service: &str) -> InstanceRecord {
    let (centre, region) = if index.is_multiple_of(2) {
        ("gc-hall-a", "guate-central")
    } else {
        ("xela-hall", "occidente")
    };
    InstanceRecord {
        id: format!("{service}-{index}").parse().expect("a valid instance name"),
        service: service.parse().expect("a valid service name"),
        data_centre: centre.parse().expect("a valid data centre name"),
        region: region.parse().expect("a valid region name"),
        agent: "".into(),
        leaving: false,
    }
}

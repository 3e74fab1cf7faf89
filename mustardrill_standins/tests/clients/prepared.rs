//! The processes on the prepared platform.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::time::Duration;

use hyper::StatusCode;
use mustardrill_runtime::datagram::{Datagram, LoadRow};
use mustardrill_standins::process::{LabProcess, daemon};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::crowd::{
    ENDLESS_HEADS, EndlessInput, connect, ordinary_status, request_slowly, send_endless,
    wait_for_reading,
};
use crate::exclusive_run;
use crate::fleet::{Fleet, agent_settings, entry_settings};
use crate::process_meter::{ProcessBounds, ProcessMeter};
use crate::worker::Worker;

/// The machine of the process under test; its settings name these limits.
pub const BOUNDS: ProcessBounds = ProcessBounds { memory_mb: 64, descriptors: 256 };

/// A machine on which bodies that are kept chunk by chunk are too large within seconds.
const SMALLER_BOUNDS: ProcessBounds = ProcessBounds { memory_mb: 40, descriptors: 256 };

/// Clients that send without end.
const SENDERS: usize = 200;

/// Clients that only connect: more than the process may have descriptors.
const SILENT: usize = 400;

/// Clients that read slowly.
const READERS: usize = 40;

/// The length of an answer that is read slowly.
const LONG_ANSWER: usize = 6 << 20;

/// Senders of datagrams.
const DATAGRAM_SENDERS: usize = 200_000;

/// A machine on which as many clients are admitted as their memory allows.
pub const CROWDED_BOUNDS: ProcessBounds = ProcessBounds { memory_mb: 64, descriptors: 1_400 };

/// Clients whose bodies stop short of their end, and the length of each.
const SHORT_SENDERS: usize = 600;
const SHORT_BODY: usize = 60_000;
const SHORT_PIECE: usize = 5_900;

/// Clients that send bodies in chunks of one byte, and the chunks of each.
const CHUNKERS: usize = 5;
const ONE_BYTE_CHUNKS: usize = 600_000;

/// A fleet with a second entry, and an agent of its own, on small machines.
pub struct SmallMachines {
    bounds: ProcessBounds,
    pub fleet: Fleet,
    pub entry: LabProcess,
    entry_metrics: SocketAddr,
    entry_peers: SocketAddr,
    agent: LabProcess,
    agent_metrics: SocketAddr,
}

impl SmallMachines {
    pub async fn start(bounds: ProcessBounds) -> Self {
        let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
        let (store, engine) = (fleet.stand_ins[0].address, fleet.stand_ins[2].address);
        let limits =
            format!("memory_mb = {}\ndescriptors = {}\n", bounds.memory_mb, bounds.descriptors);
        let (entry_ip, agent_ip) = (fleet.network.machine_ip(4), fleet.network.machine_ip(5));
        let free_port = |ip| StdListener::bind((ip, 0)).unwrap().local_addr().unwrap();
        let (entry_metrics, agent_metrics) = (free_port(entry_ip), free_port(agent_ip));
        let settings = entry_settings("entry-2", entry_ip, store)
            .replace("linger", &format!("metrics = {entry_metrics}\n{limits}linger"));
        let entry = daemon(&fleet.folder, "mustardrill-entry", "entry-2", &settings);
        let settings = agent_settings("agent-2", agent_ip, engine, store)
            .replace("[upstream]", &format!("metrics = {agent_metrics}\n{limits}[upstream]"));
        let agent = daemon(&fleet.folder, "mustardrill-agent", "agent-2", &settings);
        let entry_peers = SocketAddr::new(entry_ip, 17_700);
        let machines =
            Self { bounds, fleet, entry, entry_metrics, entry_peers, agent, agent_metrics };
        machines.wait_until_served("/notices/x").await;
        machines
    }

    /// Sends ordinary requests, as a client does that honours refusals, until one is answered.
    pub async fn wait_until_served(&self, path: &str) {
        let request = request(path, "ordinary");
        let is_served = async || ordinary_status(self.entry.address, &request).await == Some(200);
        self.fleet.wait_until("an ordinary request is answered", is_served).await;
    }

    /// Checks a process after a crowd.
    pub fn check(&mut self, what: &str, meter: &ProcessMeter) {
        assert!(!self.entry.has_ended(), "{what}\n{}", self.fleet.logs());
        assert!(!self.agent.has_ended(), "{what}\n{}", self.fleet.logs());
        meter.check(what, self.bounds);
    }

    /// Lets a crowd send each endless head to a listener of the entry.
    async fn send_heads_to_entry(&mut self, address: SocketAddr) {
        let meter = ProcessMeter::open(&self.entry);
        for input in &ENDLESS_HEADS {
            let mut clients = connect(address, SENDERS).await;
            send_endless(&mut clients, input).await;
            self.wait_until_served("/notices/x").await;
            self.check(input.name, &meter);
        }
    }

    /// Lets a crowd connect to a listener and send nothing.
    async fn connect_silently(&mut self, address: SocketAddr, meter: &ProcessMeter) {
        let clients = connect(address, SILENT).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        self.wait_until_served("/notices/x").await;
        drop(clients);
        self.check("silent clients", meter);
    }
}

pub fn request(path: &str, attempt: &str) -> String {
    let method = if path.starts_with("/status/") { "GET" } else { "POST" };
    let model =
        if path.starts_with("/drafts/") { "x-model: m0\r\nx-token-usage: 300,36\r\n" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: drafts.example\r\nx-attempt-id: {attempt}\r\n{model}\
         x-deadline-ms: 6000\r\nauthorization: Token key-1\r\ncontent-length: 0\r\n\r\n"
    )
}

/// An upstream of one answer, which takes any number of requests at once.
async fn spawn_upstream(fleet: &Fleet, service: &str, head: &'static str, piece: String) {
    let listener = TcpListener::bind((fleet.network.machine_ip(90), 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_long(stream, head, piece.clone()));
        }
    });
    register_upstream(fleet, "i-long", service, address).await;
}

/// Registers an upstream with as many slots as any test needs.
pub async fn register_upstream(fleet: &Fleet, id: &str, service: &str, address: SocketAddr) {
    let models = json!([{"name": "m0", "version": 1, "adapters": []}]);
    let entry = json!({"service": service, "address": address, "zone": "hall-a", "version": "v1",
        "slots": 400, "state": "ready", "cold_remaining_ms": 0,
        "models": if service == "pool" { models } else { json!([]) }, "sequence": 1,
        "born": 1_700_000_000_000_u64});
    fleet.store.write(&format!("servers/{id}"), &entry);
    tokio::time::sleep(Duration::from_millis(300)).await;
}

/// Answers the first request of a connection and closes it.
async fn answer_long(mut stream: TcpStream, head: &'static str, piece: String) {
    let mut received = Vec::new();
    while !received.windows(4).any(|end| end == b"\r\n\r\n") {
        if !matches!(stream.read_buf(&mut received).await, Ok(count) if count > 0) {
            return;
        }
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    let attempt = text.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
    let opening = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {}\r\nx-server-signature: s-i-long\r\n\
         x-weight-versions: 1\r\nconnection: close\r\n{head}",
        attempt.unwrap_or_default()
    );
    let _ = stream.write_all(opening.as_bytes()).await;
    for id in 1.. {
        let sent = if head.contains("event-stream") {
            format!("id: {id}\ndata: {piece}\n\n")
        } else if id <= LONG_ANSWER / piece.len() {
            piece.clone()
        } else {
            return;
        };
        if stream.write_all(sent.as_bytes()).await.is_err() {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_take_more_than_the_memory_of_an_entry() {
    let _run = exclusive_run().await;
    let mut machines = SmallMachines::start(BOUNDS).await;
    machines.send_heads_to_entry(machines.entry.address).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_at_the_readiness_listener_take_more_than_the_memory_of_an_entry() {
    let _run = exclusive_run().await;
    let mut machines = SmallMachines::start(BOUNDS).await;
    machines.send_heads_to_entry(machines.entry.second_address.unwrap()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_at_the_peer_listener_take_more_than_the_memory_of_an_entry() {
    let _run = exclusive_run().await;
    let mut machines = SmallMachines::start(BOUNDS).await;
    machines.send_heads_to_entry(machines.entry_peers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_at_the_metrics_listener_take_more_than_the_memory_of_an_entry() {
    let _run = exclusive_run().await;
    let mut machines = SmallMachines::start(BOUNDS).await;
    machines.send_heads_to_entry(machines.entry_metrics).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_take_more_than_the_memory_of_an_agent() {
    let _run = exclusive_run().await;
    let mut machines = SmallMachines::start(BOUNDS).await;
    let meter = ProcessMeter::open(&machines.agent);
    for address in [machines.agent.address, machines.agent_metrics] {
        for input in &ENDLESS_HEADS {
            let mut clients = connect(address, SENDERS).await;
            send_endless(&mut clients, input).await;
            let metrics = "GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n";
            let is_served =
                async || ordinary_status(machines.agent_metrics, metrics).await == Some(200);
            machines.fleet.wait_until("the agent answers", is_served).await;
            machines.check(input.name, &meter);
        }
    }
}

/// Every descriptor was given to clients, and none was left for the calls to upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_take_all_descriptors_of_an_entry() {
    let _run = exclusive_run().await;
    let mut machines = SmallMachines::start(BOUNDS).await;
    let meter = ProcessMeter::open(&machines.entry);
    let addresses = [
        machines.entry.address,
        machines.entry.second_address.unwrap(),
        machines.entry_peers,
        machines.entry_metrics,
    ];
    for address in addresses {
        machines.connect_silently(address, &meter).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_take_all_descriptors_of_an_agent() {
    let _run = exclusive_run().await;
    let mut machines = SmallMachines::start(BOUNDS).await;
    let meter = ProcessMeter::open(&machines.agent);
    for address in [machines.agent.address, machines.agent_metrics] {
        machines.connect_silently(address, &meter).await;
    }
    let metrics = "GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n";
    assert_eq!(ordinary_status(machines.agent_metrics, metrics).await, Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn long_answers_that_are_read_slowly_take_more_than_the_memory_of_an_entry() {
    let _run = exclusive_run().await;
    let mut machines = SmallMachines::start(BOUNDS).await;
    for desk in &machines.fleet.desks {
        machines.fleet.store.remove(&format!("servers/{}", desk.id));
    }
    const HEAD: &str = "content-length: 6291456\r\n\r\n";
    spawn_upstream(&machines.fleet, "desk", HEAD, "x".repeat(1 << 16)).await;
    let meter = ProcessMeter::open(&machines.entry);
    let mut clients = connect(machines.entry.address, READERS).await;
    let send = |number: usize| request("/status/x", &format!("slow-{number}")).into_bytes();
    request_slowly(&mut clients, send).await;
    machines.wait_until_served("/drafts/x").await;
    machines.check("long answers", &meter);
    drop(clients);
    // In calm an answer of that length is still served.
    let client = &machines.fleet.client;
    let call = crate::fleet::caller_request(machines.entry.address, "calm", "/status/x", "key-1");
    let answer = client.call(call, Duration::from_secs(20), 2 * LONG_ANSWER).await.unwrap();
    assert_eq!((answer.status, answer.body.len()), (StatusCode::OK, LONG_ANSWER));
    machines.check("a long answer in calm", &meter);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_are_read_slowly_take_more_than_the_memory_of_an_entry() {
    let _run = exclusive_run().await;
    let mut machines = SmallMachines::start(BOUNDS).await;
    machines.fleet.store.remove(&format!("servers/{}", machines.fleet.engines[0].id));
    const HEAD: &str = "content-type: text/event-stream\r\n\r\n";
    spawn_upstream(&machines.fleet, "pool", HEAD, "x".repeat(200_000)).await;
    let meter = ProcessMeter::open(&machines.entry);
    let mut clients = connect(machines.entry.address, 2 * READERS).await;
    let send = |number: usize| request("/drafts/x", &format!("slow-{number}")).into_bytes();
    request_slowly(&mut clients, send).await;
    machines.wait_until_served("/notices/x").await;
    machines.check("streams", &meter);
}

/// Each chunk of a body was kept by itself, with the buffer that it was read into.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte_take_more_than_the_memory_of_an_entry() {
    let _run = exclusive_run().await;
    let mut machines = SmallMachines::start(SMALLER_BOUNDS).await;
    let meter = ProcessMeter::open(&machines.entry);
    let input = EndlessInput {
        name: "chunks of one byte",
        opening: "POST /notices/x HTTP/1.1\r\nhost: drafts.example\r\nx-attempt-id: chunks\r\n\
                  x-deadline-ms: 6000\r\nauthorization: Token key-1\r\n\
                  transfer-encoding: chunked\r\n\r\n",
        piece: "1\r\nx\r\n",
        bytes: ONE_BYTE_CHUNKS * 6,
    };
    let mut clients = connect(machines.entry.address, CHUNKERS).await;
    send_endless(&mut clients, &input).await;
    wait_for_reading().await;
    machines.wait_until_served("/notices/x").await;
    machines.check(input.name, &meter);
}

#[tokio::test(flavor = "multi_thread")]
async fn many_unfinished_bodies_take_more_than_the_memory_of_an_entry() {
    let _run = exclusive_run().await;
    let mut machines = SmallMachines::start(CROWDED_BOUNDS).await;
    let meter = ProcessMeter::open(&machines.entry);
    let opening = request("/notices/x", "short")
        .replace("content-length: 0", &format!("content-length: {SHORT_BODY}"));
    let input = EndlessInput {
        name: "unfinished bodies",
        opening: opening.leak(),
        piece: "x".repeat(SHORT_PIECE).leak(),
        bytes: SHORT_BODY - 1_000,
    };
    let mut clients = connect(machines.entry.address, SHORT_SENDERS).await;
    send_endless(&mut clients, &input).await;
    wait_for_reading().await;
    machines.wait_until_served("/notices/x").await;
    machines.check(input.name, &meter);
}

/// An entry kept the load that each sender of a datagram reported, whether it is a peer or not.
#[tokio::test(flavor = "multi_thread")]
async fn datagrams_of_many_senders_take_more_than_the_memory_of_an_entry() {
    let _run = exclusive_run().await;
    let mut machines = SmallMachines::start(BOUNDS).await;
    let meter = ProcessMeter::open(&machines.entry);
    let socket = UdpSocket::bind((machines.fleet.network.machine_ip(6), 0)).await.unwrap();
    for sender in 0..DATAGRAM_SENDERS {
        let mut datagram = Datagram::new(&format!("entry-{sender}").parse().unwrap());
        let row = |row| LoadRow { upstream: format!("i-{sender}-{row}"), ..LoadRow::default() };
        datagram.loads = (0..70).map(row).collect();
        let _ = socket.send_to(&datagram.to_bytes(), machines.entry_peers).await;
        if sender % 50 == 0 {
            tokio::task::yield_now().await;
        }
    }
    machines.wait_until_served("/notices/x").await;
    machines.check("datagrams", &meter);
}

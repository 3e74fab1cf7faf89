//! Odd items of other writers in the store, beside entries and agents that run and that start.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use mustardrill_runtime::http::request;
use mustardrill_standins::process::{LabProcess, daemon};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::fleet::{Fleet, agent_settings, caller_request, entry_settings};
use crate::framing::{fleet_without_desks, read_head, register_raw};
use crate::worker::Worker;

/// The time within which an entry that starts is ready.
const START_SPAN: Duration = Duration::from_secs(12);

/// An item that no process of the fleet writes.
struct OddItem {
    key: String,
    value: Vec<u8>,
}

/// What another writer leaves in the store.
struct OddShape {
    name: &'static str,
    items: Vec<OddItem>,
}

impl OddShape {
    fn new(name: &'static str, key: &str, value: impl Into<Vec<u8>>) -> Self {
        Self { name, items: vec![OddItem { key: key.into(), value: value.into() }] }
    }

    /// A registration of the engines' service with one field replaced.
    fn registration(name: &'static str, field: &str, stated: Value) -> Self {
        Self::new(name, "servers/i-odd", registration(field, stated).to_string())
    }
}

/// A registration at an address where nobody listens.
fn registration(field: &str, stated: Value) -> Value {
    let mut value = json!({"service": "pool", "address": "127.0.0.1:9", "zone": "hall-a",
        "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        "born": 7, "models": [{"name": "m0", "version": 1, "adapters": []}]});
    value[field] = stated;
    value
}

/// A registration in which a field holds this JSON text.
fn registration_text(field: &str, text: &str) -> String {
    registration(field, json!("PLACE")).to_string().replacen("\"PLACE\"", text, 1)
}

fn nested(depth: usize) -> String {
    format!("{}0{}", "[".repeat(depth), "]".repeat(depth))
}

fn odd_values() -> Vec<OddShape> {
    let long = "x".repeat(900_000);
    vec![
        OddShape::registration("most slots", "slots", json!(u32::MAX)),
        OddShape::registration("more slots", "slots", json!(u64::MAX)),
        OddShape::registration("no slots", "slots", json!(0)),
        OddShape::registration("the last start", "born", json!(u64::MAX)),
        OddShape::registration("a start far ahead", "born", json!((1_u64 << 53) - 1)),
        OddShape::registration("the last sequence", "sequence", json!(u64::MAX)),
        OddShape::registration("a port out of range", "address", json!("127.0.0.1:65536")),
        OddShape::registration("port 0", "address", json!("127.0.0.1:0")),
        OddShape::registration("no address", "address", json!("0.0.0.0:8080")),
        OddShape::registration("broadcast", "address", json!("255.255.255.255:8080")),
        OddShape::registration("multicast", "address", json!("224.0.0.1:8080")),
        OddShape::registration(
            "the last version",
            "models",
            json!([{"name": "m0", "version": u64::MAX, "adapters": []}]),
        ),
        OddShape::registration("a long name", "service", json!(long)),
        OddShape::registration("a long note", "note", json!(long)),
        OddShape::new("an endless number", "servers/i-odd", registration_text("slots", "1e999")),
        OddShape::new("nested", "servers/i-odd", nested(400_000)),
        OddShape::new(
            "nested in a field",
            "servers/i-odd",
            registration_text("models", &nested(400_000)),
        ),
        OddShape::new(
            "nested in another field",
            "servers/i-odd",
            registration_text("note", &nested(400_000)),
        ),
        OddShape::new("no text", "servers/i-odd", vec![0xff; 900_000]),
        OddShape::new("nothing", "servers/i-odd", ""),
    ]
}

fn odd_keys(fleet: &Fleet) -> Vec<OddShape> {
    let engine = fleet.stand_ins[2].address;
    let load = json!({"born": fleet.engines[0].born(), "number": u64::MAX, "model": "m0",
        "version": 1, "state": "ordered"});
    let peer = |address: &str| {
        json!({"address": address, "data_centre": "hall-a", "link_mbps": 100}).to_string()
    };
    let many = (0..3_000).map(|number| OddItem {
        key: format!("servers/i-odd-{number}"),
        value: registration("slots", json!(1 << 21)).to_string().into(),
    });
    let mut shapes = vec![
        OddShape::new(
            "another model",
            "op/version/m-odd",
            json!({"model": "m-odd", "version": u64::MAX}).to_string(),
        ),
        OddShape::new("a version that is nested", "op/version/m-odd", nested(400_000)),
        OddShape::new("an odd evacuation", "op/evacuate/hall-z", vec![0xff; 900_000]),
        OddShape::new("a peer at port 0", "mustardrill/entry/e-odd", peer("127.0.0.1:0")),
        OddShape::new("a peer nowhere", "mustardrill/entry/e-odd", peer("0.0.0.0:17700")),
        OddShape::new("a peer everywhere", "mustardrill/entry/e-odd", peer("255.255.255.255:9")),
        OddShape::new("a nested peer", "mustardrill/entry/e-odd", nested(400_000)),
        OddShape::new("the last load", "weights/load/10.1.2.3:9", load.to_string()),
        OddShape::new("a nested load", &format!("weights/load/{engine}"), nested(400_000)),
        OddShape { name: "thousands", items: many.collect() },
    ];
    for (name, born) in [
        ("no start at the address of a sound worker", 0),
        ("the last start at the address of a sound worker", u64::MAX),
        ("a late start at the address of a sound worker", 1 << 52),
    ] {
        let mut foreign = registration("born", json!(born));
        foreign["address"] = json!(engine);
        shapes.push(OddShape::new(name, "servers/i-odd", foreign.to_string()));
    }
    shapes
}

/// Starts another entry on a machine of its own.
fn start_entry(fleet: &Fleet) -> LabProcess {
    let store = fleet.stand_ins[0].address;
    let settings =
        entry_settings("entry-2", fleet.network.machine_ip(4), store) + "retry_ratio = 2\n";
    daemon(&fleet.folder, "mustardrill-entry", "entry-2", &settings)
}

fn restart_agent(fleet: &mut Fleet) {
    fleet.agents[0].kill();
    let (ip, store) = (fleet.network.machine_ip(10), fleet.stand_ins[0].address);
    let settings = agent_settings("agent-0", ip, fleet.stand_ins[2].address, store);
    fleet.agents[0] = daemon(&fleet.folder, "mustardrill-agent", "agent-0", &settings);
}

async fn wait_until_ready(fleet: &Fleet, entry: &LabProcess) {
    let started_at = Instant::now();
    let uri = format!("http://{}/v1/readiness", entry.second_address.unwrap());
    while started_at.elapsed() < START_SPAN {
        let call = fleet.client.call(request("GET", &uri, ""), Duration::from_secs(1), 1_000);
        if call.await.is_ok_and(|answer| answer.status == StatusCode::OK) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends 16 requests to an entry; returns how many were served.
async fn served_by(fleet: &Fleet, entry: &LabProcess, round: usize) -> usize {
    let mut served = 0;
    for number in 0..16 {
        let path = if number % 2 == 0 { "/drafts/x" } else { "/notices/x" };
        let attempt = format!("{}-{round}-{number}", entry.name);
        let call = caller_request(entry.address, &attempt, path, "key-1");
        let answer = fleet.client.call(call, Duration::from_secs(10), 1_000_000).await;
        served += usize::from(answer.is_ok_and(|answer| answer.status.is_success()));
    }
    served
}

/// What goes wrong beside a shape, if anything.
async fn fault_beside(fleet: &mut Fleet, round: usize, shape: &OddShape) -> Option<String> {
    for item in &shape.items {
        fleet.store.write_bytes(&item.key, &item.value);
    }
    let revision = fleet.store.revision();
    restart_agent(fleet);
    let mut starting = start_entry(fleet);
    wait_until_ready(fleet, &starting).await;
    let running = served_by(fleet, &fleet.entry, round).await;
    let started = served_by(fleet, &starting, round).await;
    let has_panicked = fleet.logs().contains("panicked at");
    let processes = fleet.agents.iter_mut().chain([&mut fleet.entry, &mut starting]);
    let ended = processes.filter_map(|it| it.has_ended().then(|| it.name.clone()));
    let ended: Vec<_> = ended.collect();
    starting.kill();
    for item in &shape.items {
        fleet.store.remove(&item.key);
    }
    assert!(fleet.store.revision() > revision);
    let is_sound = running == 16 && started == 16 && !has_panicked && ended.is_empty();
    (!is_sound).then(|| {
        format!(
            "{}: served {running} of 16 by the running entry, {started} by the starting one; \
             panic: {has_panicked}; ended: {ended:?}",
            shape.name
        )
    })
}

async fn check_shapes(mut fleet: Fleet, shapes: Vec<OddShape>) {
    let mut faults = Vec::new();
    for (round, shape) in shapes.iter().enumerate() {
        faults.extend(fault_beside(&mut fleet, round, shape).await);
    }
    assert!(faults.is_empty(), "{faults:#?}\n{}", fleet.logs());
    // Entries and agents still follow the store.
    fleet.store.write("op/version/m0", &json!({"model": "m0", "version": 2}));
    let all = async || fleet.engines.iter().all(|engine| engine.version() == 2);
    fleet.wait_until("all have version 2", async || all().await).await;
}

async fn start_fleet() -> Fleet {
    Fleet::start(vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_odd_registration_keeps_callers_from_being_served() {
    check_shapes(start_fleet().await, odd_values()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_odd_item_of_another_kind_keeps_callers_from_being_served() {
    let fleet = start_fleet().await;
    let shapes = odd_keys(&fleet);
    check_shapes(fleet, shapes).await;
}

/// Starts an upstream that answers each request with this head and body, on kept connections.
async fn start_upstream(fleet: &Fleet, id: &'static str, service: &str, head: &str, body: &str) {
    let listener = TcpListener::bind((fleet.network.machine_ip(91), 0)).await.unwrap();
    register_raw(fleet, id, service, listener.local_addr().unwrap());
    let (head, body): (Arc<str>, Arc<str>) = (head.into(), body.into());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (head, body) = (head.clone(), body.clone());
            tokio::spawn(async move {
                while let Some(call) = read_head(&mut stream).await {
                    let attempt = call.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nx-attempt-id: {}\r\nx-server-signature: s-{id}\r\n\
                         content-length: {}\r\n{head}\r\n{body}",
                        attempt.unwrap_or_default(),
                        body.len()
                    );
                    let _ = stream.write_all(text.as_bytes()).await;
                }
            });
        }
    });
}

/// Headers and event ids at the ends of their ranges, and beyond.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_number_in_an_answer_ends_the_task_that_reads_it() {
    let mut fleet = fleet_without_desks().await;
    let stated = "keep-alive: timeout=18446744073709551615\r\n\
                  x-instance-load: 4294967295,4294967295,4294967295\r\n\
                  server-limit: 999999\r\nx-cold-start-ms: 99999999999999999999\r\n\
                  retry-after: 18446744073709551615\r\n";
    start_upstream(&fleet, "i-desk-odd", "desk", stated, "done").await;
    let stream_head = format!(
        "content-type: text/event-stream\r\nx-weight-versions: 18446744073709551615\r\n{stated}"
    );
    let events = "id: 18446744073709551615\ndata: a\n\n".repeat(3);
    start_upstream(&fleet, "i-odd", "pool", &stream_head, &events).await;
    let listed = async || fleet.logs().contains("instance=i-odd");
    fleet.wait_until("both upstreams are listed", listed).await;
    let mut served = 0;
    for number in 0..8 {
        let answer = fleet.call(&format!("n{number}"), "/notices/x", "key-1").await;
        served += usize::from(answer.status == StatusCode::OK && *answer.body == *b"done");
        // Its ids don't count up, so its outcome is the entry's to judge.
        let call = caller_request(fleet.entry.address, &format!("d{number}"), "/drafts/x", "key-1");
        let _ = fleet.client.call(call, Duration::from_secs(10), 1_000_000).await;
    }
    assert_eq!(served, 8, "{}", fleet.logs());
    assert!(!fleet.logs().contains("panicked at"), "{}", fleet.logs());
    assert!(!fleet.entry.has_ended());
}

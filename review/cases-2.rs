//! The script cases of the second review. `cases-2 NAME FOLDER` plays one of them and writes
//! FOLDER/record.txt; it exits with 1 if the rule was broken, 0 if it held and 2 if the case could
//! not run. With TROUBLE=0 the case is played without the disruption.

#[path = "standins-2.rs"]
#[allow(dead_code)]
mod standins;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use standins::*;

const ZONES: [(&str, &str); 3] =
    [("gc-hall-a", "guate-central"), ("xela-hall", "occidente"), ("zacapa-hall", "oriente")];

/// The settings that the platform gives each machine, with the bounds of sello-limpio.
fn machine_fields(name: &str, ip: IpAddr, zone: &str, store: SocketAddr) -> BTreeMap<String, String> {
    let mut fields: BTreeMap<String, String> = [
        ("node_name", name.to_owned()),
        ("ip", ip.to_string()),
        ("zone", zone.to_owned()),
        ("internal_port_range.0", "7700".into()),
        ("internal_port_range.1", "7715".into()),
        ("platform.address", store.to_string()),
        ("heartbeat_interval_ms", "1200".into()),
        ("bounds.revocation_ms", "5000".into()),
        ("bounds.version_ms", "8000".into()),
        ("bounds.grace_period_s", "8".into()),
        ("bounds.retry_budget_ratio", "0.2".into()),
        ("bounds.retry_allowance", "102".into()),
        ("bounds.retry_window_s", "10".into()),
    ]
    .into_iter()
    .map(|(key, value)| (key.to_owned(), value))
    .collect();
    for (zone, region) in ZONES {
        fields.insert(format!("zones.{zone}"), region.into());
    }
    fields
}

fn edge_fields(name: &str, ip: IpAddr, zone: &str, store: SocketAddr) -> BTreeMap<String, String> {
    let mut fields = machine_fields(name, ip, zone, store);
    fields.insert("listen_addresses.front".into(), format!("{ip}:8005"));
    fields.insert("listen_addresses.ready".into(), format!("{ip}:8002"));
    fields.insert("limits.link_mbps".into(), "1000.0".into());
    fields
}

fn side_fields(
    name: &str,
    ip: IpAddr,
    zone: &str,
    store: SocketAddr,
    service: &str,
    app: SocketAddr,
) -> BTreeMap<String, String> {
    let mut fields = machine_fields(name, ip, zone, store);
    fields.insert("service".into(), service.into());
    fields.insert("app".into(), app.to_string());
    fields.insert("limits.link_mbps".into(), "7.3".into());
    fields
}

/// A route of the config.
struct Route {
    prefix: &'static str,
    kind: &'static str,
    service: String,
    timeout_ms: u32,
    max_attempts: u32,
    public: bool,
}

fn route_json(number: usize, route: &Route) -> String {
    format!(
        "{{\"name\":\"r-{number}\",\"host\":\"dossier.example\",\"prefix\":\"{}\",\"kind\":\"{}\",\"timeout_ms\":{},\"target_latency_ms\":400,\"priority\":1,\"service\":\"{}\",\"max_attempts\":{},\"public\":{},\"session_affinity\":false,\"stream_resumption\":{},\"target_gap_ms\":300}}",
        route.prefix,
        route.kind,
        route.timeout_ms,
        route.service,
        route.max_attempts,
        route.public,
        route.kind == "streaming"
    )
}

fn config(version: u64, routes: &[String], origin: Option<SocketAddr>, plain: &[(&str, u32)]) -> String {
    config_with(version, routes, origin, plain, "")
}

/// A config whose pool has further fields.
fn config_with(
    version: u64,
    routes: &[String],
    origin: Option<SocketAddr>,
    plain: &[(&str, u32)],
    pool_fields: &str,
) -> String {
    let mut services = vec![format!(
        "{{\"name\":\"mustard-pool\",\"health_path\":\"/health\",\"max_connections\":364,{pool_fields}\"engine_profile\":{{\"slots\":16,\"stride\":6,\"step_ms\":6.73,\"per_seq_ms\":0.02,\"read_per_s\":30600,\"pairs_per_m\":0.6,\"usual\":{{\"prompt\":300,\"answer\":48}},\"models\":[{{\"name\":\"m0\",\"warmup_s\":0.3}}],\"layers\":16,\"chunks\":{CHUNKS},\"chunk_bytes\":{CHUNK_BYTES}}}}}"
    )];
    for (name, connections) in plain {
        services.push(format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":{connections}}}"
        ));
    }
    if let Some(origin) = origin {
        services.push(format!(
            "{{\"name\":\"records-origin\",\"origin\":\"{origin}\",\"zone\":\"gc-hall-a\",\"link_mbps\":7.3,\"max_connections\":48}}"
        ));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"comedor\",\"api_keys\":[\"key-1\"]}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Whether the readiness question is answered with 200 before `until`.
fn wait_ready(entry: IpAddr, until: u64) -> bool {
    while now_ms() < until {
        let at = SocketAddr::new(entry, 8002);
        if request(at, "GET", "/v1/readiness", &[("Host", "x")], b"", 1_000).status == 200 {
            return true;
        }
        sleep_ms(50);
    }
    false
}

fn temporary_folder(case: &str) -> String {
    let folder = std::env::temp_dir().join(format!("mustardrill-review-2-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder.to_string_lossy().into_owned()
}

/// What a case needs to know.
struct Case {
    record: Record,
    folder: String,
    trouble: bool,
    network: Network,
}

/// A case that could not run.
fn cannot_run(case: &Case, why: &str) -> i32 {
    case.record.say(format!("the case could not run: {why}; logs in the temporary folder are kept"));
    2
}

fn verdict(case: &Case, is_broken: bool, what: &str) -> i32 {
    case.record.say(format!("{what}: {}", if is_broken { "BROKEN" } else { "held" }));
    i32::from(is_broken)
}

// ---------------------------------------------------------------- a spoilt manifest

const RECOVERY_MS: u64 = 12_000;

/// Everything loses power right after a change of the config; when it is back, the origin spoils
/// one digit in one of its answers.
fn manifest(case: &Case) -> i32 {
    let (network, record) = (&case.network, &case.record);
    let store = Store::new(20_000);
    let origin = Origin::new();
    let _origin_server = origin.listen(network.at(2, 8_001), record.clone());
    origin.digests(1);
    origin.digests(2);
    let mut stores = Vec::new();
    let mut store_of = |machine: u8| {
        let server = store.listen(network.at(machine, 8_007), Arc::default());
        let address = server.address;
        stores.push(server);
        address
    };
    let mut engines = Vec::new();
    let mut sides = Vec::new();
    for (place, (zone, _)) in ZONES.iter().enumerate() {
        let machine = 20 + place as u8;
        let app = network.at(machine, 8_001);
        let id = format!("i-first-{place}");
        engines.push(Engine::start(&id, app, zone, "mustard-pool", &origin, &store, record));
        let name = format!("side-{zone}-1");
        sides.push(side_fields(&name, network.ip(machine), zone, store_of(machine), "mustard-pool", app));
    }
    let mut edges = Vec::new();
    for (place, (zone, _)) in ZONES.iter().take(2).enumerate() {
        let machine = 10 + place as u8;
        edges.push(edge_fields(&format!("edge-{zone}-1"), network.ip(machine), zone, store_of(machine)));
    }
    let routes = [route_json(
        1,
        &Route {
            prefix: "/drafts/",
            kind: "streaming",
            service: "mustard-pool".into(),
            timeout_ms: 6_000,
            max_attempts: 2,
            public: false,
        },
    )];
    store.write("op/config", &config(1, &routes, Some(network.at(2, 8_001)), &[]));
    let start_all = || -> Vec<Process> {
        let agents = sides.iter().map(|fields| Process::start(&case.folder, "agent", fields));
        let entries = edges.iter().map(|fields| Process::start(&case.folder, "entry", fields));
        agents.chain(entries).collect()
    };
    let mut processes = start_all();
    for place in 0..2 {
        if !wait_ready(network.ip(10 + place), now_ms() + 10_000) {
            return cannot_run(case, "an entry did not become ready");
        }
    }

    // Clients: a request every 100 ms at each entry.
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<(u64, bool)>>> = Arc::default();
    let mut clients = Vec::new();
    for place in 0..2u8 {
        let (stop, outcomes, record) = (stop.clone(), outcomes.clone(), record.clone());
        let entry = network.at(10 + place, 8_005);
        clients.push(std::thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let attempt = format!("{place}{number:015x}");
                let (outcomes, record) = (outcomes.clone(), record.clone());
                std::thread::spawn(move || {
                    let sent = now_ms();
                    let headers = [
                        ("Host", "dossier.example"),
                        ("X-Attempt-Id", &*attempt),
                        ("X-Deadline-Ms", "6000"),
                        ("X-Model", "m0"),
                        ("X-Token-Usage", "300,48"),
                        ("Authorization", "Token key-1"),
                    ];
                    let seen = request(entry, "POST", "/drafts/x", &headers, b"draft", 7_000);
                    let is_served = seen.status == 200
                        && seen.whole
                        && seen.body == complete_stream().as_bytes();
                    record.line(format!(
                        "client {attempt} sent at {sent} ms, status {}, served {is_served}",
                        seen.status
                    ));
                    outcomes.lock().unwrap().push((sent, is_served));
                });
                sleep_ms(100);
            }
        }));
    }
    let share = |from: u64, to: u64| {
        let outcomes = outcomes.lock().unwrap();
        let sent: Vec<_> = outcomes.iter().filter(|(sent, _)| (from..to).contains(sent)).collect();
        let served = sent.iter().filter(|(_, served)| *served).count();
        (served, sent.len())
    };

    let calm_from = now_ms() + 1_000;
    sleep_until(calm_from + 5_000);
    let calm_to = now_ms();
    let confirmed = store.write("op/version/m0", "{\"model\":\"m0\",\"version\":2}");
    record.say(format!("the operator names version 2, confirmed at {confirmed} ms"));
    record.say("final fault: all machines lose power");
    processes.iter_mut().for_each(Process::kill);
    engines.iter().for_each(Engine::power_off);
    if case.trouble {
        origin.spoil_manifests.store(1, Ordering::SeqCst);
    }
    sleep_ms(1_200);
    for (place, engine) in engines.iter().enumerate() {
        engine.power_on(&format!("i-second-{place}"));
    }
    processes = start_all();
    let back = now_ms();
    record.say("all machines are back");
    // Workers write their entries about every 1,200 ms.
    let judged_from = back + RECOVERY_MS;
    let judged_to = judged_from + 25_000;
    while now_ms() < judged_to + 500 {
        sleep_ms(1_200);
        engines.iter().for_each(Engine::register);
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    sleep_ms(500);
    let versions: Vec<u64> = engines.iter().map(Engine::version).collect();
    let (served_before, sent_before) = share(calm_from, calm_to);
    let (served_after, sent_after) = share(judged_from, judged_to);
    let answers = origin.answers.load(Ordering::SeqCst);
    let spoilt = origin.spoilt.load(Ordering::SeqCst);
    record.say(format!("before the fault {served_before} of {sent_before} requests are served"));
    record.say(format!(
        "sent later than recovery_s after the return: {served_after} of {sent_after} are served; the engines hold versions {versions:?}"
    ));
    record.say(format!("the origin spoilt {spoilt} of its {answers} answers"));
    if served_before * 4 < sent_before || sent_after == 0 {
        return cannot_run(case, "too few requests were served before the fault");
    }
    drop(processes);
    verdict(case, served_after * 4 < sent_after, "RECOVER")
}

// ---------------------------------------------------------------- an answer that comes twice

/// A worker that is full rejects a request, and sends that answer a second time, late, at the point
/// where the next answer on the channel is expected.
fn twice(case: &Case) -> i32 {
    let (network, record) = (&case.network, &case.record);
    let store = Store::new(20_000);
    let store_server = store.listen(network.at(10, 8_007), Arc::default());
    let desk = Plain::new(
        "i-records-1",
        network.at(30, 8_001),
        "gc-hall-a",
        "records-desk",
        (8, 4),
        &store,
        record,
    );
    desk.start("i-records-1", None);
    let route = Route {
        prefix: "/notices/",
        kind: "non_idempotent",
        service: "records-desk".into(),
        timeout_ms: 2_500,
        max_attempts: 3,
        public: false,
    };
    let routes = [route_json(1, &route)];
    store.write("op/config", &config(1, &routes, None, &[("records-desk", 48)]));
    let fields = edge_fields("edge-gc-hall-a-1", network.ip(10), "gc-hall-a", store_server.address);
    let entry = Process::start(&case.folder, "entry", &fields);
    if !wait_ready(network.ip(10), now_ms() + 10_000) {
        return cannot_run(case, "the entry did not become ready");
    }
    let front = network.at(10, 8_005);
    let ask = |attempt: &str| {
        let headers = [
            ("Host", "dossier.example"),
            ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", "2500"),
            ("Authorization", "Token key-1"),
        ];
        record.line(format!("client sends {attempt}"));
        let seen = request(front, "POST", "/notices/x", &headers, b"notice", 3_000);
        let body = String::from_utf8_lossy(&seen.body).into_owned();
        record.line(format!("client gets {} for {attempt}: {body}", seen.status));
        seen
    };
    let (mut victims, mut rounds) = (Vec::new(), 0);
    while rounds < 6 {
        rounds += 1;
        desk.register();
        // The usual traffic of a second, one request after the other.
        desk.set_work_ms(15);
        for number in 0..40 {
            ask(&format!("{rounds:04x}{number:012x}"));
        }
        // For a moment other callers take all places of the worker.
        desk.set_work_ms(120);
        let others: Vec<_> = (0..12)
            .map(|other| {
                let (address, id) = (desk.address, desk.id());
                std::thread::spawn(move || {
                    let attempt = format!("0e{rounds:06x}{other:08x}");
                    let headers = [("Host", "x"), ("X-Attempt-Id", &*attempt), ("X-Expected-Instance", &*id)];
                    request(address, "POST", "/other", &headers, b"", 3_000)
                })
            })
            .collect();
        sleep_ms(30);
        desk.set_work_ms(15);
        if case.trouble {
            desk.set_extras(1);
        }
        let victim = format!("0f{rounds:014x}");
        let seen = ask(&victim);
        victims.push((victim, seen.status));
        desk.set_extras(0);
        others.into_iter().for_each(|other| drop(other.join()));
        sleep_ms(800);
    }
    let runs = desk.runs();
    let (mut is_broken, mut was_full) = (false, 0);
    for (victim, status) in &victims {
        let times = runs.iter().filter(|(_, attempt)| attempt == victim).count();
        let arrivals = desk.arrivals().iter().filter(|(_, attempt)| attempt == victim).count();
        was_full += usize::from(arrivals > 1 || times == 0);
        record.say(format!(
            "{victim}: reached the worker {arrivals} times, ran {times} times, answered {status}"
        ));
        is_broken |= times > 1 || (times > 0 && *status == 503);
    }
    record.say(format!("the worker gave {} answers", desk.answers()));
    drop(entry);
    if was_full == 0 {
        return cannot_run(case, "the worker was never full");
    }
    verdict(case, is_broken, "TWICE and REFUSED")
}

// ---------------------------------------------------------------- a start that seems earlier

/// The bound of cpma-lot-desk-grown, whose pages have `born`.
const DRAIN_MS: u64 = 3_000;

/// A worker crashes soon after its start and starts again under its id, while its machine's time of
/// day jumps back. Later it reports that it is draining.
fn born(case: &Case) -> i32 {
    let (network, record) = (&case.network, &case.record);
    let store = Store::new(20_000);
    let store_server = store.listen(network.at(10, 8_007), Arc::default());
    let desk = |number: u8| {
        let id = format!("i-desk-{number}");
        let address = network.at(30 + number, 8_001);
        Plain::new(&id, address, "gc-hall-a", "renewal-desk", (6, 6), &store, record)
    };
    let desks = [desk(1), desk(2), desk(3)];
    for worker in &desks[..2] {
        let id = worker.id();
        worker.start(&id, Some(unix_ms()));
    }
    let route = Route {
        prefix: "/notices/",
        kind: "non_idempotent",
        service: "renewal-desk".into(),
        timeout_ms: 2_500,
        max_attempts: 1,
        public: false,
    };
    store.write("op/config", &config(1, &[route_json(1, &route)], None, &[("renewal-desk", 100)]));
    let fields = edge_fields("edge-gc-hall-a-1", network.ip(10), "gc-hall-a", store_server.address);
    let entry = Process::start(&case.folder, "entry", &fields);
    if !wait_ready(network.ip(10), now_ms() + 10_000) {
        return cannot_run(case, "the entry did not become ready");
    }
    let stop = Arc::new(AtomicBool::new(false));
    // Workers write their entries about every 1,200 ms.
    let beating = {
        let (stop, desks) = (stop.clone(), desks.clone());
        let third_runs = Arc::new(AtomicBool::new(false));
        let flag = third_runs.clone();
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                sleep_ms(1_200);
                for worker in &desks[..2] {
                    worker.register();
                }
                if flag.load(Ordering::SeqCst) {
                    desks[2].register();
                }
            }
        });
        third_runs
    };
    // Clients: 20 requests a second.
    let front = network.at(10, 8_005);
    let outcomes: Arc<Mutex<Vec<(u64, String, u16)>>> = Arc::default();
    let clients = {
        let (stop, outcomes, record) = (stop.clone(), outcomes.clone(), record.clone());
        std::thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let attempt = format!("{number:016x}");
                let (outcomes, record) = (outcomes.clone(), record.clone());
                std::thread::spawn(move || {
                    let sent = now_ms();
                    let headers = [
                        ("Host", "dossier.example"),
                        ("X-Attempt-Id", &*attempt),
                        ("X-Deadline-Ms", "2500"),
                        ("Authorization", "Token key-1"),
                    ];
                    let seen = request(front, "POST", "/notices/x", &headers, b"notice", 3_000);
                    record.line(format!("client {attempt} sent at {sent} ms, status {}", seen.status));
                    outcomes.lock().unwrap().push((sent, attempt, seen.status));
                });
                sleep_ms(50);
            }
        })
    };
    sleep_ms(2_000);
    let third = &desks[2];
    third.start("i-desk-3", Some(unix_ms()));
    sleep_ms(1_000);
    third.end();
    record.say("i-desk-3 crashes");
    let mut step = 0;
    if case.trouble {
        step = 2_400;
        record.say("the time of day of its machine jumps back by 2,400 ms");
    }
    sleep_ms(500);
    third.start("i-desk-3", Some(unix_ms() - step));
    record.say("i-desk-3 starts again under its id");
    beating.store(true, Ordering::SeqCst);
    sleep_ms(12_000);
    beating.store(false, Ordering::SeqCst);
    let drained = third.drain();
    // It goes on for drain_ms and a little longer, and then exits.
    sleep_ms(DRAIN_MS + 3_000);
    let ended = now_ms();
    third.end();
    store.remove("servers/i-desk-3");
    sleep_ms(2_000);
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    sleep_ms(2_600);
    let late: Vec<_> = third
        .arrivals()
        .into_iter()
        .filter(|(at, _)| *at > drained + DRAIN_MS && *at < ended)
        .collect();
    let served = third.arrivals().iter().filter(|(at, _)| *at < drained).count();
    let lost = outcomes.lock().unwrap().iter().filter(|(_, _, status)| *status == 502).count();
    record.say(format!("{served} requests reached i-desk-3 before it reported draining"));
    record.say(format!(
        "{} requests reached it later than drain_ms after that; {lost} requests in all ended with 502",
        late.len()
    ));
    drop(entry);
    if served == 0 {
        return cannot_run(case, "the worker got no requests at all");
    }
    verdict(case, !late.is_empty(), "DRAIN")
}

// ---------------------------------------------------------------- a registration made late

/// The figures of cpma-lot-desk-grown, whose pages have cold workers.
const COLD_PER_S: usize = 32;
const COLD_OVERSHOOT: f64 = 1.5;
const COLD_TOLERANCE: usize = 5;
const COLD_START_MS: u64 = 3_000;

/// At the start of the entries the store makes some of their writes late and does not answer them.
/// Later a worker becomes cold again.
fn late(case: &Case) -> i32 {
    let (network, record) = (&case.network, &case.record);
    let store = Store::new(20_000);
    let origin = Origin::new();
    let _origin_server = origin.listen(network.at(2, 8_001), record.clone());
    origin.digests(1);
    let mut servers = Vec::new();
    let (mut engines, mut processes) = (Vec::new(), Vec::new());
    let engine = |number: u8| {
        let app = network.at(20 + number, 8_001);
        let id = format!("i-pool-{number}");
        let zone = ZONES[usize::from(number) % 3].0;
        let engine = Engine::start(&id, app, zone, "mustard-pool", &origin, &store, record);
        engine.set_pace(12, 22);
        engine.register();
        engine
    };
    engines.push(engine(0));
    engines.push(engine(1));
    let route = Route {
        prefix: "/drafts/",
        kind: "streaming",
        service: "mustard-pool".into(),
        timeout_ms: 6_000,
        max_attempts: 2,
        public: false,
    };
    let cold_fields = format!("\"cold_start_s\":{},\"cold_per_s\":{COLD_PER_S},", COLD_START_MS / 1_000);
    store.write(
        "op/config",
        &config_with(1, &[route_json(1, &route)], Some(network.at(2, 8_001)), &[], &cold_fields),
    );
    let late_ms = if case.trouble { 3_000 } else { 0 };
    let places: [(u8, &str, &str); 4] = [
        (10, "edge-gc-hall-a-1", "gc-hall-a"),
        (11, "edge-gc-hall-a-2", "gc-hall-a"),
        (12, "edge-xela-hall-1", "xela-hall"),
        (13, "edge-zacapa-hall-1", "zacapa-hall"),
    ];
    for (machine, name, zone) in places {
        let server = store.listen_late(network.at(machine, 8_007), late_ms, record.clone());
        let mut fields = edge_fields(name, network.ip(machine), zone, server.address);
        fields.insert("bounds.cold_overshoot".into(), COLD_OVERSHOOT.to_string());
        fields.insert("bounds.cold_tolerance".into(), COLD_TOLERANCE.to_string());
        servers.push(server);
        processes.push(Process::start(&case.folder, "entry", &fields));
    }
    for (machine, ..) in places {
        if !wait_ready(network.ip(machine), now_ms() + 10_000) {
            return cannot_run(case, "an entry did not become ready");
        }
    }
    let stop = Arc::new(AtomicBool::new(false));
    {
        let (stop, engines) = (stop.clone(), engines.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                sleep_ms(1_200);
                engines.iter().for_each(Engine::register);
            }
        });
    }
    let traffic = |per_s: u64| {
        let stop = Arc::new(AtomicBool::new(false));
        for (machine, ..) in places {
            let (stop, record) = (stop.clone(), record.clone());
            let front = network.at(machine, 8_005);
            std::thread::spawn(move || {
                let mut number = now_ms() * 1_000;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let attempt = format!("{machine:02x}{number:014x}");
                    let record = record.clone();
                    std::thread::spawn(move || {
                        let headers = [
                            ("Host", "dossier.example"),
                            ("X-Attempt-Id", &*attempt),
                            ("X-Deadline-Ms", "6000"),
                            ("X-Model", "m0"),
                            ("X-Token-Usage", "300,48"),
                            ("Authorization", "Token key-1"),
                        ];
                        let seen = request(front, "POST", "/drafts/x", &headers, b"draft", 7_000);
                        record.line(format!("client {attempt}, status {}", seen.status));
                    });
                    sleep_ms(1_000 / per_s);
                }
            });
        }
        stop
    };
    let calm = traffic(8);
    sleep_until(24_000);
    record.say(format!("entries in the store: {:?}", store.keys("mustardrill/entry/")));
    calm.store(true, Ordering::SeqCst);
    // Many users come, and one of the workers becomes cold again.
    let rush = traffic(70);
    sleep_ms(1_500);
    let cold = &engines[1];
    cold.become_cold(COLD_START_MS);
    cold.register();
    let cold_from = now_ms();
    sleep_ms(COLD_START_MS + 500);
    rush.store(true, Ordering::SeqCst);
    stop.store(true, Ordering::SeqCst);
    sleep_ms(1_000);
    let cold_to = cold_from + COLD_START_MS;
    let arrivals: Vec<u64> =
        cold.arrivals().into_iter().filter(|at| (cold_from..cold_to).contains(at)).collect();
    let within = |from: u64| arrivals.iter().filter(|at| (from..from + 1_000).contains(*at)).count();
    let most = arrivals.iter().map(|at| within(*at)).max().unwrap_or(0);
    let bound = (COLD_PER_S as f64 * COLD_OVERSHOOT) as usize + COLD_TOLERANCE;
    record.say(format!(
        "the cold worker got {} requests while it was cold, at most {most} of them in one second; the bound is {bound}",
        arrivals.len()
    ));
    drop(processes);
    if arrivals.is_empty() {
        return cannot_run(case, "the cold worker got no requests");
    }
    verdict(case, most > bound, "FAILBACK")
}

// ---------------------------------------------------------------- a config that can't be read

/// The operator takes a key away and changes a time-out in one config. The time-out is written as a
/// number with a decimal point.
fn unread(case: &Case) -> i32 {
    let (network, record) = (&case.network, &case.record);
    let store = Store::new(20_000);
    let store_server = store.listen(network.at(10, 8_007), Arc::default());
    let desk =
        Plain::new("i-desk-1", network.at(31, 8_001), "gc-hall-a", "renewal-desk", (6, 24), &store, record);
    desk.start("i-desk-1", None);
    let route = Route {
        prefix: "/notices/",
        kind: "non_idempotent",
        service: "renewal-desk".into(),
        timeout_ms: 6_000,
        max_attempts: 1,
        public: false,
    };
    let routes = [route_json(1, &route)];
    let first = config(1, &routes, None, &[("renewal-desk", 100)])
        .replace("[\"key-1\"]", "[\"key-1\",\"key-2\"]");
    store.write("op/config", &first);
    let fields = edge_fields("edge-gc-hall-a-1", network.ip(10), "gc-hall-a", store_server.address);
    let entry = Process::start(&case.folder, "entry", &fields);
    if !wait_ready(network.ip(10), now_ms() + 10_000) {
        return cannot_run(case, "the entry did not become ready");
    }
    let front = network.at(10, 8_005);
    let ask = |attempt: &str, key: &str| {
        let key = format!("Token {key}");
        let headers = [
            ("Host", "dossier.example"),
            ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", "2500"),
            ("Authorization", &*key),
        ];
        let seen = request(front, "POST", "/notices/x", &headers, b"notice", 3_000);
        record.line(format!("client {attempt} with {key}: status {}", seen.status));
        seen.status
    };
    let before = ask("a1", "key-2");
    let timeout = if case.trouble { "1200.0" } else { "1200" };
    let second = config(4, &routes, None, &[("renewal-desk", 100)])
        .replace("\"timeout_ms\":6000", &format!("\"timeout_ms\":{timeout}"));
    let confirmed = store.write("op/config", &second);
    record.say(format!(
        "config 4 takes key-2 away and sets timeout_ms to {timeout}, confirmed at {confirmed} ms"
    ));
    let mut late = 0;
    for number in 0..80 {
        let attempt = format!("b{number}");
        let sent = now_ms();
        ask(&attempt, "key-2");
        let ran = desk.runs().iter().any(|(_, run)| *run == attempt);
        late += usize::from(ran && sent > confirmed + 5_000);
        sleep_ms(250);
    }
    if before != 200 {
        return cannot_run(case, "the key was not served before");
    }
    record.say(format!(
        "{late} requests with key-2, sent later than revocation_ms after that, ran"
    ));
    drop(entry);
    verdict(case, late > 0, "CONFIG")
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (name, folder) = (arguments[1].clone(), arguments[2].clone());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    now_ms();
    let case = Case {
        record: Record::create(&format!("{folder}/record.txt")),
        folder: temporary_folder(&name),
        trouble,
        network: Network::draw(),
    };
    case.record.say(format!("case {name}, trouble {trouble}"));
    let code = match &*name {
        "manifest" => manifest(&case),
        "twice" => twice(&case),
        "unread" => unread(&case),
        "late" => late(&case),
        "born" => born(&case),
        _ => panic!("no such case"),
    };
    if code != 2 && std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&case.folder);
    } else {
        println!("logs: {}", case.folder);
    }
    std::process::exit(code);
}

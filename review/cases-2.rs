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
        // MAX_ATTEMPTS=2 shows REFUSED instead of TWICE.
        max_attempts: std::env::var("MAX_ATTEMPTS").map_or(3, |text| text.parse().unwrap()),
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

// ---------------------------------------------------------------- a check that has grown old

/// A machine stands still for 4 s while its agent reads the staged pieces back; one of those that it
/// has read turns bad meanwhile.
fn stale(case: &Case) -> i32 {
    const FREEZE_MS: u64 = 4_000;
    const PIECE: usize = 10;
    let (network, record) = (&case.network, &case.record);
    let store = Store::new(20_000);
    let origin = Origin::new();
    let _origin_server = origin.listen(network.at(2, 8_001), record.clone());
    origin.digests(1);
    origin.digests(2);
    let entry_store = store.listen(network.at(10, 8_007), Arc::default());
    let side_store = store.listen(network.at(20, 8_007), Arc::default());
    let zone = ZONES[0].0;
    let app = network.at(20, 8_001);
    let engine = Engine::start("i-pool-1", app, zone, "mustard-pool", &origin, &store, record);
    let route = Route {
        prefix: "/drafts/",
        kind: "streaming",
        service: "mustard-pool".into(),
        timeout_ms: 6_000,
        max_attempts: 2,
        public: false,
    };
    store.write("op/config", &config(1, &[route_json(1, &route)], Some(network.at(2, 8_001)), &[]));
    let fields = edge_fields("edge-gc-hall-a-1", network.ip(10), zone, entry_store.address);
    let entry = Process::start(&case.folder, "entry", &fields);
    if !wait_ready(network.ip(10), now_ms() + 10_000) {
        return cannot_run(case, "the entry did not become ready");
    }
    let fields =
        side_fields("side-gc-hall-a-1", network.ip(20), zone, side_store.address, "mustard-pool", app);
    let agent = Process::start(&case.folder, "agent", &fields);
    sleep_ms(2_000);
    let named = store.write("op/version/m0", "{\"model\":\"m0\",\"version\":2}");
    record.say(format!("version 2 is named at {named} ms"));
    // All pieces are staged by then, and the agent reads them back before its order.
    let until = now_ms() + 15_000;
    while !engine.is_staged(2) {
        if now_ms() > until {
            return cannot_run(case, "version 2 was not staged");
        }
        sleep_ms(1);
    }
    engine.reset_read_back();
    while engine.read_back() < 40 {
        if now_ms() > until {
            return cannot_run(case, "the agent did not read the pieces back");
        }
        std::hint::spin_loop();
    }
    if engine.has_order() {
        return cannot_run(case, "the order came too soon");
    }
    engine.spoil(PIECE);
    if case.trouble {
        engine.freeze(true);
        agent.signal("STOP");
        record.say("the machine of the agent and its worker stands still");
        sleep_ms(FREEZE_MS);
        engine.freeze(false);
        agent.signal("CONT");
        record.say("it goes on");
    }
    let until = now_ms() + 15_000;
    while engine.version() != 2 && now_ms() < until {
        sleep_ms(20);
        if (now_ms() - named) % 1_200 < 20 {
            engine.register();
        }
    }
    engine.register();
    sleep_ms(1_500);
    let mut made = 0;
    for number in 0..5 {
        let attempt = format!("{number:016x}");
        let headers = [
            ("Host", "dossier.example"),
            ("X-Attempt-Id", &*attempt),
            ("X-Deadline-Ms", "6000"),
            ("X-Model", "m0"),
            ("X-Token-Usage", "300,48"),
            ("Authorization", "Token key-1"),
        ];
        let seen = request(network.at(10, 8_005), "POST", "/drafts/x", &headers, b"draft", 7_000);
        record.line(format!("client {attempt}: status {}", seen.status));
        made += usize::from(seen.status == 200 && seen.header("x-weight-versions") == Some("2"));
    }
    let taken = engine.taken_bad();
    let is_broken = made > 0 && taken.iter().any(|(_, age)| *age > 3_000);
    for (index, age) in &taken {
        record.say(format!("the worker took piece {index}, which had been bad for {age} ms"));
    }
    record.say(format!("{made} of 5 requests got tokens of version 2"));
    drop((entry, agent));
    if made == 0 {
        return cannot_run(case, "nothing was served on version 2");
    }
    verdict(case, is_broken, "WHOLE")
}

// ---------------------------------------------------------------- the last tenant is taken away

/// The operator takes all keys away, with the tenants that held them.
fn tenants(case: &Case) -> i32 {
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
        timeout_ms: 2_500,
        max_attempts: 1,
        public: false,
    };
    let routes = [route_json(1, &route)];
    let tenant = "{\"name\":\"comedor\",\"api_keys\":[\"key-1\"]}";
    let first = config(1, &routes, None, &[("renewal-desk", 100)]);
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
    let before = (ask("a1", "key-1"), ask("a2", "never-a-key"));
    if before != (200, 401) {
        return cannot_run(case, "the keys were not checked before");
    }
    // With TROUBLE=0 the tenant stays, with another key.
    let rest = if case.trouble { String::new() } else { tenant.replace("key-1", "key-2") };
    let second = config(4, &routes, None, &[("renewal-desk", 100)]).replace(tenant, &rest);
    let confirmed = store.write("op/config", &second);
    record.say(format!("config 4 takes key-1 away, confirmed at {confirmed} ms; tenants: [{rest}]"));
    let (mut late, mut never) = (0, 0);
    for number in 0..80 {
        let (attempt, other) = (format!("b{number}"), format!("c{number}"));
        let sent = now_ms();
        ask(&attempt, "key-1");
        ask(&other, "never-a-key");
        let runs = desk.runs();
        let ran = |attempt: &str| runs.iter().any(|(_, run)| run == attempt);
        late += usize::from(ran(&attempt) && sent > confirmed + 5_000);
        never += usize::from(ran(&other));
        sleep_ms(250);
    }
    record.say(format!(
        "{late} requests with key-1, sent later than revocation_ms after that, ran; {never} ran with a key that no config ever held"
    ));
    drop(entry);
    verdict(case, late + never > 0, "CONFIG and ROUTE")
}

// ---------------------------------------------------------------- many large bodies

/// The memory of an `edge` machine; a process that exceeds it is killed (DEPLOY.md).
const MEMORY_MB: u64 = 260;
const BODY_BYTES: usize = 4_194_304;

fn resident_mb(process: &Process) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("0 0");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1_024
}

/// Many clients send bodies as large as the config allows, at once.
fn memory(case: &Case) -> i32 {
    let (network, record) = (&case.network, &case.record);
    let store = Store::new(20_000);
    let store_server = store.listen(network.at(10, 8_007), Arc::default());
    let desks: Vec<Plain> = (1..=3)
        .map(|number| {
            let id = format!("i-desk-{number}");
            let address = network.at(30 + number, 8_001);
            let desk = Plain::new(&id, address, "gc-hall-a", "renewal-desk", (6, 24), &store, record);
            desk.start(&id, None);
            desk.set_work_ms(60);
            desk
        })
        .collect();
    let route = Route {
        prefix: "/notices/",
        kind: "non_idempotent",
        service: "renewal-desk".into(),
        timeout_ms: 6_000,
        max_attempts: 1,
        public: false,
    };
    store.write("op/config", &config(1, &[route_json(1, &route)], None, &[("renewal-desk", 100)]));
    let fields = edge_fields("edge-gc-hall-a-1", network.ip(10), "gc-hall-a", store_server.address);
    let mut entry = Process::start(&case.folder, "entry", &fields);
    if !wait_ready(network.ip(10), now_ms() + 10_000) {
        return cannot_run(case, "the entry did not become ready");
    }
    let front = network.at(10, 8_005);
    let outcomes: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let send = |attempt: String, body: Arc<Vec<u8>>| {
        let (outcomes, record) = (outcomes.clone(), record.clone());
        std::thread::spawn(move || {
            let headers = [
                ("Host", "dossier.example"),
                ("X-Attempt-Id", &*attempt),
                ("X-Deadline-Ms", "6000"),
                ("Authorization", "Token key-1"),
            ];
            let seen = request(front, "POST", "/notices/x", &headers, &body, 8_000);
            record.line(format!("client {attempt}, {} bytes, status {}", body.len(), seen.status));
            outcomes.lock().unwrap().push((attempt, seen.status));
        })
    };
    let small = Arc::new(vec![b'x'; 600]);
    let large = Arc::new(vec![b'x'; if case.trouble { BODY_BYTES } else { 600 }]);
    let mut threads = Vec::new();
    let (mut most, mut was_killed) = (0, false);
    for number in 0..600 {
        threads.push(send(format!("0a{number:014x}"), small.clone()));
        if number == 100 {
            for number in 0..100 {
                threads.push(send(format!("0b{number:014x}"), large.clone()));
            }
        }
        let until = now_ms() + 20;
        while now_ms() < until && !was_killed {
            let resident = resident_mb(&entry);
            most = most.max(resident);
            if resident > MEMORY_MB {
                record.say(format!("the entry has {resident} MB; the platform kills it"));
                entry.kill();
                was_killed = true;
            }
            sleep_ms(5);
        }
        if was_killed {
            break;
        }
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let runs: Vec<String> =
        desks.iter().flat_map(Plain::runs).map(|(_, attempt)| attempt).collect();
    let outcomes = outcomes.lock().unwrap();
    let lost = outcomes.iter().filter(|(attempt, status)| *status == 0 && runs.contains(attempt)).count();
    record.say(format!("at most {most} MB; {lost} requests ran and got no answer"));
    drop(entry);
    verdict(case, was_killed && lost > 3, "LOST")
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
        "twice" => twice(&case),
        "tenants" => tenants(&case),
        "memory" => memory(&case),
        "stale" => stale(&case),
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

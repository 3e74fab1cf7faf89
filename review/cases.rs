/// How often the client of a case sends a request.
const CLIENT_INTERVAL_MS: u64 = 20;

/// The bound of a revocation, in seconds.
const REVOCATION_S: f64 = 5.0;

/// A request that a client sent, and how it ended.
struct Sent {
    at: f64,
    attempt: String,
    status: u16,
}

/// Clients with one key, each on a kept channel, until the case ends.
fn start_clients(
    bench: &Arc<Bench>,
    entry: SocketAddr,
    path: &'static str,
    key: &'static str,
    count: usize,
) -> Arc<Mutex<Vec<Sent>>> {
    let sent = Arc::new(Mutex::new(Vec::new()));
    for client in 0..count {
        let (bench, sent) = (bench.clone(), sent.clone());
        thread::spawn(move || {
            let mut channel = Channel::new(entry);
            for number in 0.. {
                let attempt = format!("{key}-{client}-{number}");
                let at = bench.now();
                let status = channel.call(path, &attempt, key, &[]).map_or(0, |answer| answer.0);
                sent.lock().unwrap().push(Sent { at, attempt, status });
                pause(CLIENT_INTERVAL_MS);
            }
        });
    }
    sent
}

/// Lists the requests that were sent with a key over 5 s after the confirmation of the config that
/// took it away, and that ran.
fn judge_revocation(
    bench: &Bench,
    sent: &Mutex<Vec<Sent>>,
    runs: &Runs,
    revoked_at: f64,
) -> i32 {
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    let mut broken = 0;
    for request in sent.iter().filter(|it| it.at > revoked_at - 1.0) {
        let run = runs.iter().find(|run| run.attempt == request.attempt);
        let is_late = request.at > revoked_at + REVOCATION_S;
        if let Some(run) = run {
            let verdict = if is_late { "BROKEN" } else { "allowed" };
            broken += usize::from(is_late);
            bench.note(format!(
                "{verdict}: {} sent at {:.3} s, {:.3} s after the confirmation, ran at {:.3} s on {} \
                 for tenant {}; status {}",
                request.attempt,
                request.at,
                request.at - revoked_at,
                run.at,
                run.worker,
                run.tenant,
                request.status
            ));
        }
    }
    let late = sent.iter().filter(|it| it.at > revoked_at + REVOCATION_S);
    let mut statuses = BTreeMap::new();
    late.for_each(|it| *statuses.entry(it.status).or_insert(0) += 1);
    bench.note(format!("sent over 5 s after the confirmation, by status: {statuses:?}; ran: {broken}"));
    if broken > 0 { BROKEN } else { HELD }
}

/// Case 2. The store gives one entry no response for 9 s. Meanwhile the operator changes the config
/// a dozen times, and takes a key away.
fn revoked_key(bench: &Arc<Bench>, has_trouble: bool) -> i32 {
    const IDLE_ROUTES: usize = 1_400;
    let (store, store_address) = Store::start();
    let runs = Runs::default();
    let desk = start_plain_worker(bench, "i-desk", &runs);
    register(&store, "i-desk", "desk", desk, None);
    let write = |version: u64, keys: &[&str]| {
        let parts = ConfigParts {
            version,
            idle_routes: IDLE_ROUTES,
            keys,
            origin: None,
            desk_is_public: false,
        };
        let text = config(&parts);
        store.write("op/config", &text);
        bench.note(format!("config {version} confirmed, {} bytes, keys {keys:?}", text.len()));
    };
    let all = ["key-a", "key-b"];
    write(10, &all);
    let entry = start_entry(bench, store_address, free_port(ENTRY_IP), "/notices/x");
    let sent = start_clients(bench, entry, "/notices/x", "key-a", 4);
    pause(3_000);
    if has_trouble {
        bench.note("the store gives the entry no response");
        store.is_silent.store(true, Ordering::SeqCst);
    }
    pause(300);
    for step in 1..=10 {
        write(10 + step * 3, &all);
        pause(80);
    }
    write(43, &["key-b"]);
    let revoked_at = bench.now();
    write(46, &["key-b"]);
    pause(7_600);
    bench.note("the store responds to the entry again");
    store.is_silent.store(false, Ordering::SeqCst);
    pause(6_000);
    judge_revocation(bench, &sent, &runs, revoked_at)
}

/// A key is taken away; its clients go on with it on a route that is public.
fn public_key(bench: &Arc<Bench>, has_trouble: bool) -> i32 {
    let (store, store_address) = Store::start();
    let runs = Runs::default();
    let desk = start_plain_worker(bench, "i-desk", &runs);
    register(&store, "i-desk", "desk", desk, None);
    let write = |version: u64, keys: &[&str]| {
        let parts =
            ConfigParts { version, idle_routes: 10, keys, origin: None, desk_is_public: true };
        store.write("op/config", &config(&parts));
        bench.note(format!("config {version} confirmed, keys {keys:?}"));
    };
    write(10, &["key-a", "key-b"]);
    let entry = start_entry(bench, store_address, free_port(ENTRY_IP), "/notices/x");
    let keyed = start_clients(bench, entry, "/notices/x", "key-a", 1);
    let open = start_clients(bench, entry, "/open/x", "key-a", 1);
    pause(3_000);
    let changed_at = bench.now();
    write(13, if has_trouble { &["key-b"] } else { &["key-a", "key-b"] });
    pause(9_000);
    if !has_trouble {
        bench.note("no key was taken away");
        let failed = open.lock().unwrap().iter().filter(|it| it.status != 200).count();
        return if failed > 0 { COULD_NOT_RUN } else { HELD };
    }
    bench.note("requests on the route that wants a key:");
    let on_keyed = judge_revocation(bench, &keyed, &runs, changed_at);
    bench.note("requests on the public route:");
    on_keyed.max(judge_revocation(bench, &open, &runs, changed_at))
}

/// Pieces are read back before the order to load; the machine stands still meanwhile.
fn spoilt_weights(bench: &Arc<Bench>, has_trouble: bool) -> i32 {
    const FREEZE_MS: u64 = 4_000;
    const SPOILT: usize = 10;
    let (store, store_address) = Store::start();
    let runs = Runs::default();
    let origin = start_origin(bench, &Arc::default());
    let (engine, engine_address) = Engine::start(bench, &runs, ENGINE_IP);
    register(&store, "", "pool", engine_address, Some(engine.clone()));
    let parts = ConfigParts {
        version: 10,
        idle_routes: 10,
        keys: &["key-a"],
        origin: Some(origin),
        desk_is_public: false,
    };
    store.write("op/config", &config(&parts));
    let agent_port = free_port(ENGINE_IP);
    let entry = start_entry(bench, store_address, agent_port, "/drafts/x");
    let agent =
        bench.spawn("mustardrill-agent", "agent", &agent_settings(store_address, agent_port, engine_address));
    pause(2_000);
    engine.read_back.store(0, Ordering::SeqCst);
    store.write(&format!("op/version/{MODEL}"), &format!("{{\"model\":\"{MODEL}\",\"version\":2}}"));
    bench.note("version 2 of the weights is named");
    // A copy is staged by then, and the agent reads it back before its order.
    let whole: Vec<_> = (0..CHUNKS).map(|index| chunk(2, index)).collect();
    bench.wait_until("version 2 is staged", 20.0, || engine.state.lock().unwrap().staged == whole);
    engine.read_back.store(0, Ordering::SeqCst);
    let is_read_back = || engine.read_back.load(Ordering::SeqCst) >= 40;
    bench.wait_until("the agent has read 40 pieces back", 20.0, is_read_back);
    engine.spoil(SPOILT);
    if has_trouble {
        engine.is_frozen.store(true, Ordering::SeqCst);
        bench.signal("agent", agent, "STOP");
        bench.note("the machine of agent and engine stands still");
        pause(FREEZE_MS);
        bench.signal("agent", agent, "CONT");
        engine.is_frozen.store(false, Ordering::SeqCst);
    }
    bench.wait_until("the engine serves version 2", 25.0, || engine.version() == 2);
    pause(300);
    let mut channel = Channel::new(entry);
    for number in 1..=5 {
        let attempt = format!("draft-{number}");
        let answered = channel.call("/drafts/x", &attempt, "key-a", DRAFT_HEADERS);
        let status = answered.map_or(0, |answer| answer.0);
        let ran = runs.lock().unwrap().iter().any(|run| run.attempt == attempt);
        let taken = engine.state.lock().unwrap().taken_spoilt.clone();
        bench.note(format!("{attempt}: status {status}, ran {ran}, layers with spoilt pieces {taken:?}"));
        if ran && !taken.is_empty() {
            bench.note("BROKEN: tokens are made with layers that were taken spoilt for over 3 s");
            return BROKEN;
        }
        if !ran {
            return COULD_NOT_RUN;
        }
    }
    HELD
}

/// A small generator of random numbers below 1.
struct Random(Mutex<u64>);

impl Random {
    fn next(&self) -> f64 {
        let mut state = self.0.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Additional bytes after a complete response: what `fleetbench wire` prints of "a server sheds" and of
/// "another server has the address", with the length that it leaves out. Neither bears an id.
const STRAY_BYTES: [&str; 2] = [
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-02d9e6b4\r\nContent-Length: 0\r\n\r\n",
];

/// An application worker that runs each request in 15 ms. While `is_faulty`, a share of its answers are
/// followed by additional bytes, which come late: where the next answer on the channel is expected.
fn start_garbling_worker(
    bench: &Arc<Bench>,
    id: &'static str,
    seed: u64,
    runs: &Runs,
    is_faulty: &Arc<AtomicBool>,
) -> SocketAddr {
    const SPOILT_SHARE: f64 = 0.03;
    let (bench, runs, is_faulty) = (bench.clone(), runs.clone(), is_faulty.clone());
    let random = Random(Mutex::new(seed * 7_919 + 1));
    serve_channels(ENTRY_IP, move |call, last_answer| {
        if call.path() == "/health" {
            return (Vec::new(), answer(200, &[("X-Instance-Id", id)], b""));
        }
        let attempt = call.header("x-attempt-id").unwrap_or("").to_string();
        let is_spoilt = is_faulty.load(Ordering::SeqCst)
            && !last_answer.is_empty()
            && random.next() < SPOILT_SHARE;
        let stray = STRAY_BYTES[usize::from(random.next() < 0.5)];
        if is_spoilt {
            let first = stray.lines().next().unwrap_or("");
            bench.note(format!("{id} sends stray bytes ({first}) as {attempt} arrives"));
        }
        pause(15);
        let ran = run_request(&bench, id, &runs, &call);
        (if is_spoilt { stray.as_bytes().to_vec() } else { Vec::new() }, ran)
    })
}

/// Case 1. Workers send additional bytes after some of their answers.
fn late_refusal(bench: &Arc<Bench>, has_trouble: bool) -> i32 {
    let (store, store_address) = Store::start();
    let runs = Runs::default();
    let is_faulty = Arc::new(AtomicBool::new(false));
    // Three of the five workers are faulty.
    let sound = Arc::new(AtomicBool::new(false));
    let workers = [("i-desk-1", 1), ("i-desk-2", 2), ("i-desk-3", 3), ("i-desk-4", 4), ("i-desk-5", 5)];
    for (id, seed) in workers {
        let fault = if seed <= 3 { &is_faulty } else { &sound };
        let address = start_garbling_worker(bench, id, seed, &runs, fault);
        register(&store, id, "desk", address, None);
    }
    let parts = ConfigParts {
        version: 10,
        idle_routes: 10,
        keys: &["key-a", "key-b"],
        origin: None,
        desk_is_public: false,
    };
    store.write("op/config", &config(&parts));
    let entry = start_entry(bench, store_address, free_port(ENTRY_IP), "/notices/x");
    let once = start_clients(bench, entry, "/notices/x", "key-a", 8);
    let twice = start_clients(bench, entry, "/claims/x", "key-b", 8);
    pause(2_000);
    let mut broken = 0;
    for _ in 0..4 {
        bench.note("three workers send additional bytes");
        is_faulty.store(has_trouble, Ordering::SeqCst);
        pause(5_000);
        is_faulty.store(false, Ordering::SeqCst);
        bench.note("no worker does");
        pause(1_500);
    }
    let runs = runs.lock().unwrap();
    for sent in [&once, &twice] {
        let sent = sent.lock().unwrap();
        let mut statuses = BTreeMap::new();
        for request in sent.iter() {
            *statuses.entry(request.status).or_insert(0) += 1;
            let ran: Vec<_> = runs.iter().filter(|run| run.attempt == request.attempt).collect();
            let places: Vec<_> =
                ran.iter().map(|run| format!("{} at {:.3} s", run.worker, run.at)).collect();
            if request.status == 502 || (request.status == 200 && ran.len() != 1) {
                bench.note(format!(
                    "{} sent at {:.3} s, answered {}, ran: {places:?}",
                    request.attempt, request.at, request.status
                ));
            }
            if matches!(request.status, 408 | 421 | 429 | 503) && !ran.is_empty() {
                broken += 1;
                bench.note(format!(
                    "BROKEN (REFUSED): {} sent at {:.3} s, answered {}, ran: {places:?}",
                    request.attempt, request.at, request.status
                ));
            }
            if ran.len() > 1 {
                broken += 1;
                bench.note(format!(
                    "BROKEN (TWICE): {} sent at {:.3} s, answered {}, ran: {places:?}",
                    request.attempt, request.at, request.status
                ));
            }
        }
        bench.note(format!(
            "requests by status: {statuses:?}; those not listed above were answered 200 and ran once, or \
             503 and did not run"
        ));
    }
    if broken > 0 { BROKEN } else { HELD }
}

/// Case 3. All machines lose power; as they recover, one answer of the origin has a wrong digit.
fn spoilt_list(bench: &Arc<Bench>, has_trouble: bool) -> i32 {
    const ENGINES: [&str; 3] = ["127.0.0.2", "127.0.0.3", "127.0.0.4"];
    const ENTRIES: [&str; 2] = ["edge-a-1", "edge-a-2"];
    const RECOVERY_MS: u64 = 12_000;
    let (store, store_address) = Store::start();
    let runs = Runs::default();
    let spoils_list = Arc::new(AtomicBool::new(false));
    let origin = start_origin(bench, &spoils_list);
    let engines = ENGINES.map(|ip| Engine::start(bench, &runs, ip));
    for (engine, address) in &engines {
        register(&store, "", "pool", *address, Some(engine.clone()));
    }
    let parts = ConfigParts {
        version: 10,
        idle_routes: 10,
        keys: &["key-a"],
        origin: Some(origin),
        desk_is_public: false,
    };
    store.write("op/config", &config(&parts));
    let agent_port = loop {
        let port = free_port(ENGINES[0]);
        if ENGINES.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
            break port;
        }
    };
    let entries =
        ENTRIES.map(|name| start_entry_named(bench, name, store_address, agent_port, "/drafts/x"));
    let start_agents = || {
        for (engine, address) in &engines {
            let settings = agent_settings(store_address, agent_port, *address);
            bench.spawn("mustardrill-agent", &format!("agent-of-{}", engine.name), &settings);
        }
    };
    start_agents();
    let send = |name: &str, for_ms: u64| {
        let until = bench.now() + for_ms as f64 / 1_000.0;
        let (mut served, mut sent, mut statuses) = (0, 0, BTreeMap::new());
        let mut channels = entries.map(Channel::new);
        while bench.now() < until {
            let attempt = format!("{name}-{sent}");
            let channel = &mut channels[sent % ENTRIES.len()];
            let answered = channel.call("/drafts/x", &attempt, "key-a", DRAFT_HEADERS);
            let status = answered.map_or(0, |answer| answer.0);
            served += usize::from(status == 200);
            sent += 1;
            *statuses.entry(status).or_insert(0) += 1;
            pause(50);
        }
        let ran = runs.lock().unwrap().iter().filter(|it| it.attempt.starts_with(name)).count();
        bench.note(format!("{name}: {sent} requests sent, {ran} ran, answered by status: {statuses:?}"));
        (sent, served)
    };
    let before = send("before", 4_000);
    if before.1 * 4 < before.0 {
        return COULD_NOT_RUN;
    }
    bench.note("all machines lose power");
    engines.iter().for_each(|(engine, _)| engine.is_frozen.store(true, Ordering::SeqCst));
    for child in bench.children.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let old_ids = engines.each_ref().map(|(engine, _)| engine.id());
    engines.iter().for_each(|(engine, _)| engine.lose_power());
    pause(1_200);
    old_ids.iter().for_each(|id| store.remove(&format!("servers/{id}")));
    spoils_list.store(has_trouble, Ordering::SeqCst);
    engines.iter().for_each(|(engine, _)| engine.is_frozen.store(false, Ordering::SeqCst));
    for (name, address) in ENTRIES.iter().zip(&entries) {
        let settings = entry_settings(name, store_address, agent_port, address.port());
        bench.spawn("mustardrill-entry", name, &settings);
    }
    start_agents();
    bench.note("the machines are back");
    pause(RECOVERY_MS);
    let after = send("after", 20_000);
    if after.1 * 4 < after.0 {
        bench.note("BROKEN: less than a quarter is served, from 12 s on after the machines are back");
        return BROKEN;
    }
    HELD
}

/// A model worker without an agent, which adopts versions when the case says so.
struct PlainEngine {
    id: String,
    version: AtomicU64,
    runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
}

fn start_plain_engine(
    id: &str,
    runs: &Arc<Mutex<BTreeMap<String, Vec<String>>>>,
) -> (Arc<PlainEngine>, SocketAddr) {
    let engine = Arc::new(PlainEngine {
        id: id.into(),
        version: AtomicU64::new(1),
        runs: runs.clone(),
    });
    let served = engine.clone();
    let address = serve(ENGINE_IP, move |call| {
        let (id, version) = (&*served.id, served.version.load(Ordering::SeqCst));
        if call.path() == "/health" {
            return answer(200, &[("X-Instance-Id", id)], b"");
        }
        if call.path() == "/v1/report" {
            let fields = engine_fields(version);
            return json_answer(200, &format!("{{\"phase\":\"prefill_decode\",{fields},\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":0}}"));
        }
        let attempt = call.header("x-attempt-id").unwrap_or("").to_string();
        let is_other = call.header("x-expected-instance").is_some_and(|it| it != id)
            || call.header("x-expected-version").is_some_and(|it| it != version.to_string());
        if is_other {
            return answer(421, &[("X-Instance-Id", id)], b"");
        }
        served.runs.lock().unwrap().entry(attempt.clone()).or_default().push(id.to_string());
        let mut text = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             X-Attempt-Id: {attempt}\r\nX-Server-Signature: s.{id}.{attempt}\r\n\
             X-Weight-Versions: {version}\r\n\r\n"
        );
        let event = "id: 1\ndata: token\n\n";
        let _ = write!(text, "{:x}\r\n{event}\r\n0\r\n\r\n", event.len());
        text.into_bytes()
    });
    (engine, address)
}

/// A machine freezes as it sends a stream that may run once, near the end of its weights' time.
fn stalled_send(bench: &Arc<Bench>, has_trouble: bool) -> i32 {
    const ENTRIES: usize = 100;
    const BUSY: usize = 12;
    const ROUNDS: usize = 11;
    let (store, store_address) = Store::start();
    let runs: Arc<Mutex<BTreeMap<String, Vec<String>>>> = Arc::default();
    let engines: Vec<_> = (0..8).map(|n| start_plain_engine(&format!("i-engine-{n}"), &runs)).collect();
    for (engine, address) in &engines {
        let (store, engine, address) = (store.clone(), engine.clone(), *address);
        thread::spawn(move || {
            for sequence in 1.. {
                let version = engine.version.load(Ordering::SeqCst);
                store.write(
                    &format!("servers/{}", engine.id),
                    &format!(
                        "{{\"service\":\"pool\",\"address\":\"{address}\",\"zone\":\"hall-a\",\
                         \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\
                         \"phase\":\"prefill_decode\",{},\"sequence\":{sequence}}}",
                        engine_fields(version)
                    ),
                );
                for _ in 0..24 {
                    pause(50);
                    if engine.version.load(Ordering::SeqCst) != version {
                        break;
                    }
                }
            }
        });
    }
    let parts = ConfigParts {
        version: 10,
        idle_routes: 10,
        keys: &["key-a"],
        origin: None,
        desk_is_public: false,
    };
    let text = config(&parts).replace("\"stream_resumption\":true,", "").replace("\"slots\":16", "\"slots\":64");
    store.write("op/config", &text);
    let agent_port = free_port(ENGINE_IP);
    let mut entries = Vec::new();
    for number in 0..ENTRIES {
        let listen = free_port(ENTRY_IP);
        let name = format!("edge-a-{number}");
        let process = bench.spawn("mustardrill-entry", &name, &entry_settings(&name, store_address, agent_port, listen));
        let address: SocketAddr = format!("{ENTRY_IP}:{listen}").parse().unwrap();
        entries.push((name, process, address));
    }
    pause(5_000);
    let sent = Arc::new(Mutex::new(BTreeMap::new()));
    for (name, _, address) in entries.iter().take(BUSY) {
        for client in 0..5 {
            let (sent, name, address) = (sent.clone(), name.clone(), *address);
            thread::spawn(move || {
                let mut channel = Channel::new(address);
                channel.body = vec![b'x'; 50_000];
                for number in 0.. {
                    let attempt = format!("{name}-{client}-{number}");
                    let status = channel.call("/drafts/x", &attempt, "key-a", DRAFT_HEADERS).map_or(0, |it| it.0);
                    sent.lock().unwrap().insert(attempt, status);
                    if status != 200 {
                        pause(50);
                    }
                }
            });
        }
    }
    pause(2_000);
    for round in 0..ROUNDS as u64 {
        let version = round + 2;
        store.write(&format!("op/version/{MODEL}"), &format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}"));
        bench.note(format!("version {version} is named; {} requests sent", sent.lock().unwrap().len()));
        pause(6_200);
        for (name, process, _) in entries.iter().take(BUSY) {
            if has_trouble {
                bench.signal(name, *process, "STOP");
                pause(3);
            }
        }
        pause(1_300);
        engines.iter().for_each(|it| it.0.version.store(version, Ordering::SeqCst));
        pause(700);
        for (name, process, _) in entries.iter().take(BUSY) {
            if has_trouble {
                bench.signal(name, *process, "CONT");
            }
        }
        pause(500);
    }
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    let (mut broken, mut statuses) = (0, BTreeMap::new());
    for (attempt, status) in sent.iter() {
        *statuses.entry(*status).or_insert(0) += 1;
        let places = runs.get(attempt).cloned().unwrap_or_default();
        if places.len() > 1 || (*status == 503 && !places.is_empty()) {
            broken += 1;
            bench.note(format!("BROKEN: {attempt} answered {status}, ran {places:?}"));
        }
    }
    bench.note(format!("requests by status: {statuses:?}"));
    if broken > 0 { BROKEN } else { HELD }
}

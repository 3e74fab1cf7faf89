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

/// Case 1. The store gives one entry no response for 9 s. Meanwhile the operator changes the config
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

/// Case 3. A key is taken away; its clients go on with it on a route that is public.
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

/// Case 2. Pieces are read back before the order to load; the machine stands still meanwhile.
fn spoilt_weights(bench: &Arc<Bench>, has_trouble: bool) -> i32 {
    const FREEZE_MS: u64 = 4_000;
    const SPOILT: usize = 10;
    let (store, store_address) = Store::start();
    let runs = Runs::default();
    let origin = start_origin(bench);
    let (engine, engine_address) = Engine::start(bench, &runs);
    register(&store, ENGINE_ID, "pool", engine_address, Some(engine.clone()));
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

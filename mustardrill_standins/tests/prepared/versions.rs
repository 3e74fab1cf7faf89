//! On which weights requests begin, as engines see it, while newer ones are late.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use mustardrill_runtime::http::{HttpClient, request};
use mustardrill_standins::StandIn;
use mustardrill_standins::link::{LabLink, LinkState};
use mustardrill_standins::process::{LabProcess, daemon};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::fleet::{
    caller_request, configuration, entry_settings, listen, machine, register, whole_stream,
};
use crate::store::Store;
use crate::worker::{Beginning, Worker};

/// Between two calls to an entry.
const CALL_EVERY: Duration = Duration::from_millis(25);

/// What a caller saw: the status and body; nothing where the connection ended.
type CallerView = Option<(StatusCode, String)>;

/// Entries that reach the store over a link each, before engines without agents: these keep the
/// weights that they have.
struct EngineFleet {
    store: Store,
    links: Vec<LabLink>,
    entries: Vec<LabProcess>,
    engines: Vec<Worker>,
    client: HttpClient,
    folder: PathBuf,
    /// How long a request may still begin on weights after newer ones were named.
    bound: Duration,
    _listening: Vec<StandIn>,
}

impl Drop for EngineFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl EngineFleet {
    async fn start(test: u8, entries: u8, engines: Vec<Worker>, bound_s: u64) -> Self {
        let folder = std::env::temp_dir()
            .join(format!("mustardrill-versions-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::new();
        let store_at = listen(machine(test, 1), Box::new(store.clone())).await;
        let links: Vec<_> =
            (0..entries).map(|_| LabLink::spawn(store_at.address).unwrap()).collect();
        let mut listening = vec![store_at];
        for (place, engine) in engines.iter().enumerate() {
            let at = listen(machine(test, 10 + place as u8), Box::new(engine.clone())).await;
            register(&store, engine, at.address, "pool");
            listening.push(at);
        }
        let mut document = configuration(1, (machine(test, 2), 9).into(), &["key-1"]);
        // Without keys nothing is refused for want of a proof that they are still good.
        document["routes"]
            .as_array_mut()
            .unwrap()
            .iter_mut()
            .for_each(|it| it["public"] = true.into());
        store.write("op/config", &document);
        let mut fleet = Self {
            store,
            links,
            entries: Vec::new(),
            engines,
            client: HttpClient::open(Duration::from_secs(1)),
            folder,
            bound: Duration::from_secs(bound_s),
            _listening: listening,
        };
        for place in 0..entries {
            let name = format!("entry-{place}");
            let store = fleet.links[usize::from(place)].address;
            let settings = entry_settings(&name, machine(test, 100 + place), store);
            let settings = settings.replace("version = 3s", &format!("version = {bound_s}s"));
            fleet.entries.push(daemon(&fleet.folder, "mustardrill-entry", &name, &settings));
        }
        // The entries hear of each other by the store.
        let warm = fleet.call_for(Duration::from_millis(1_500), "warm").await.join_all().await;
        assert!(warm.iter().any(is_whole), "{warm:?}");
        fleet
    }

    /// Names a version; when that was acknowledged.
    fn name(&self, version: u64) -> Instant {
        self.store.write("op/version/m0", &json!({"model": "m0", "version": version}));
        Instant::now()
    }

    /// Calls every entry again and again for so long; the calls may last longer. An attempt's name
    /// ends with its entry.
    async fn call_for(&self, span: Duration, name: &str) -> JoinSet<CallerView> {
        let begun = Instant::now();
        let mut calls = JoinSet::new();
        for number in 0.. {
            if begun.elapsed() >= span {
                break;
            }
            for place in 0..self.entries.len() {
                calls.spawn(self.call(place, format!("{name}-{number}.entry-{place}")));
            }
            tokio::time::sleep(CALL_EVERY).await;
        }
        calls
    }

    /// So many calls to the first entry at once.
    async fn burst(&self, count: usize, name: &str) -> JoinSet<CallerView> {
        let mut calls = JoinSet::new();
        for number in 0..count {
            calls.spawn(self.call(0, format!("{name}-{number}.entry-0")));
        }
        calls
    }

    /// A call to an entry.
    fn call(&self, entry: usize, attempt: String) -> impl Future<Output = CallerView> + use<> {
        let call = caller_request(self.entries[entry].address, &attempt, "/drafts/x", "");
        let client = self.client.clone();
        async move {
            let answer = client.call(call, Duration::from_secs(7), 1_000_000).await.ok()?;
            Some((answer.status, String::from_utf8_lossy(&answer.body).into_owned()))
        }
    }

    /// What began on weights older than `version` later than the bound after it was named, and how
    /// long after the naming.
    fn late(&self, version: u64, named: Instant) -> Vec<(Beginning, Duration)> {
        let begun = self.engines.iter().flat_map(Worker::beginnings);
        let late = begun.filter(|it| it.version < version && it.at > named + self.bound);
        late.map(|it| (it.clone(), it.at - named)).collect()
    }

    /// Fails where something began too late.
    fn assert_none_late(&self, version: u64, named: Instant) {
        let mut late = self.late(version, named);
        late.sort_by_key(|(_, after)| *after);
        let seen = late.first().zip(late.last());
        let span = seen.map(|(first, last)| (&first.0.attempt, first.1, &last.0.attempt, last.1));
        assert!(
            late.is_empty(),
            "{} requests began on weights before {version} later than {:?} after it was named, first \
             and last {span:?}\n{}",
            late.len(),
            self.bound,
            self.words()
        );
    }

    /// What the entries' logs say of versions and of the store.
    fn words(&self) -> String {
        let logs = self.entries.iter().map(|entry| {
            let path = self.folder.join(format!("{}.log", entry.name));
            std::fs::read_to_string(path).unwrap_or_default()
        });
        let is_told = |line: &&str| line.contains("weights model") || line.contains("=store");
        let lines: Vec<_> = logs
            .flat_map(|log| log.lines().filter(is_told).map(str::to_owned).collect::<Vec<_>>())
            .collect();
        lines.join("\n")
    }
}

fn is_whole(view: &CallerView) -> bool {
    view.as_ref().is_some_and(|(status, body)| *status == StatusCode::OK && *body == whole_stream())
}

/// The stand-in itself: what the tests below rest on.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_begins_in_an_engine_after_its_connection_closed() {
    let engine = Worker::new("i-1", 1);
    let at = listen(machine(28, 10), Box::new(engine.clone())).await;
    let delay = Duration::from_millis(300);
    engine.set_begin_delay(delay);
    let send = async |attempt: &str| {
        let mut stream = TcpStream::connect(at.address).await.unwrap();
        let call = format!(
            "POST /drafts/x HTTP/1.1\r\nhost: x\r\nx-attempt-id: {attempt}\r\nx-model: m0\r\n\
             content-length: 0\r\n\r\n"
        );
        stream.write_all(call.as_bytes()).await.unwrap();
        stream
    };
    let sent = Instant::now();
    let (mut closed, _kept) = (send("closed").await, send("kept").await);
    tokio::time::sleep(Duration::from_millis(100)).await;
    // Processes that other tests start just then hold the socket until they run: dropped alone, it
    // closes with the last of them.
    closed.shutdown().await.unwrap();
    drop(closed);
    let client = HttpClient::open(Duration::from_secs(1));
    let order = json!({"precondition": 0, "version": 2}).to_string();
    let order = request("POST", &format!("http://{}/v1/order", at.address), order);
    client.call(order, Duration::from_secs(1), 1_000).await.unwrap();
    tokio::time::sleep(2 * delay).await;
    let mut arrived: Vec<_> = engine.arrivals().into_iter().map(|(attempt, _)| attempt).collect();
    arrived.sort();
    assert_eq!(arrived, ["closed", "kept"]);
    let begun = engine.beginnings();
    assert_eq!(begun.len(), 1, "{begun:?}");
    assert_eq!((&*begun[0].attempt, begun[0].version), ("kept", 2));
    assert!(begun[0].at >= sent + delay);
    assert_eq!(engine.runs(), ["kept "]);
}

/// An entry that came back after 4 s without the store counted the bound from its own hearing. Two
/// versions are named meanwhile, and the store's history is gone: it shows only the second one.
#[tokio::test(flavor = "multi_thread")]
async fn requests_begin_on_replaced_weights_after_an_entry_was_cut_off_from_the_store() {
    let engines = vec![Worker::new("i-1", 1), Worker::new("i-2", 1)];
    let fleet = EngineFleet::start(24, 2, engines, 5).await;
    let cut = Instant::now();
    fleet.links[0].set(LinkState::Silent);
    let _before = fleet.call_for(Duration::from_millis(300), "before").await;
    let named = fleet.name(2);
    let _between = fleet.call_for(Duration::from_millis(500), "between").await;
    fleet.name(3);
    fleet.store.compact();
    let away = Duration::from_millis(4_300).saturating_sub(cut.elapsed());
    let _away = fleet.call_for(away, "away").await;
    fleet.links[0].set(LinkState::Open);
    let rest = (fleet.bound + Duration::from_millis(2_500)).saturating_sub(named.elapsed());
    let _back = fleet.call_for(rest, "back").await;
    let begun: Vec<_> = fleet.engines.iter().flat_map(Worker::beginnings).collect();
    for place in ["entry-0", "entry-1"] {
        // Within the bound the older weights are all there is.
        let is_own =
            |it: &&Beginning| it.attempt.starts_with("away") && it.attempt.ends_with(place);
        assert!(begun.iter().filter(is_own).count() > 20, "{place} sent little");
    }
    fleet.assert_none_late(2, named);
}

/// The engine with the older weights, which from 1 s before their bound on begins only 1 s after a
/// request has come, and the answers to the calls of the span in which nobody can know that.
async fn late_beginnings(test: u8, others: Vec<Worker>) -> (EngineFleet, Vec<CallerView>) {
    let slow = Worker::new("i-slow", 1);
    let engines = [vec![slow.clone()], others].concat();
    let fleet = EngineFleet::start(test, 1, engines, 3).await;
    let named = fleet.name(2);
    fleet.call_for(Duration::from_millis(2_000), "before").await.join_all().await;
    slow.set_begin_delay(Duration::from_millis(1_000));
    let slow_from = Instant::now();
    let calls = fleet.call_for(Duration::from_millis(500), "waiting").await;
    let views = calls.join_all().await;
    let rest = (fleet.bound + Duration::from_millis(1_500)).saturating_sub(named.elapsed());
    tokio::time::sleep(rest).await;
    let waited = slow.arrivals().into_iter().filter(|(_, at)| *at > slow_from).count();
    assert!(waited > 0, "no request waited in the engine");
    fleet.assert_none_late(2, named);
    (fleet, views)
}

/// The entry's forecast for an idle engine of this profile is 50 ms.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_inside_an_engine_begins_on_replaced_weights_after_their_bound() {
    let newer = Worker::new("i-newer", 2);
    // Its answers last long enough that the other one is chosen as well.
    newer.set_pause(Duration::from_millis(40));
    let (fleet, views) = late_beginnings(25, vec![newer]).await;
    let cut: Vec<_> = views.iter().filter(|view| !is_whole(view)).collect();
    assert!(cut.is_empty(), "{} of {} had no whole answer: {cut:?}", cut.len(), views.len());
    let begun = fleet.engines.iter().flat_map(Worker::beginnings);
    let waiting = begun.filter(|it| it.attempt.starts_with("waiting")).count();
    assert_eq!(waiting, views.len(), "each begins once");
}

/// The same where nothing newer is there: what has not begun is refused, and what is refused does not
/// begin.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_inside_the_only_engine_begins_on_replaced_weights_after_their_bound()
{
    let (fleet, views) = late_beginnings(26, Vec::new()).await;
    let is_told = |view: &CallerView| view.as_ref().is_some_and(|(status, _)| !status.is_success());
    let begun = fleet.engines[0].beginnings();
    let waiting = begun.iter().filter(|it| it.attempt.starts_with("waiting")).count();
    let refused = views.iter().filter(|view| is_told(view)).count();
    assert_eq!(waiting + refused, views.len(), "{views:?}");
}

/// How many calls of a burst begin, and which of them too late, where the entry stands still from
/// `after` the burst, which comes shortly before the bound, until after it.
async fn late_after_standstill(test: u8, after: Duration) -> (usize, Vec<(Beginning, Duration)>) {
    let fleet = EngineFleet::start(test, 1, vec![Worker::new("i-1", 1)], 3).await;
    let named = fleet.name(2);
    // Many connections to the entry are open, so that the burst reaches it at once.
    for _ in 0..2 {
        fleet.burst(8, "warm").await.join_all().await;
    }
    tokio::time::sleep(Duration::from_millis(2_200).saturating_sub(named.elapsed())).await;
    let _burst = fleet.burst(16, "burst").await;
    tokio::time::sleep(after).await;
    fleet.entries[0].suspend();
    let rest = (fleet.bound + Duration::from_millis(100)).saturating_sub(named.elapsed());
    tokio::time::sleep(rest).await;
    fleet.entries[0].resume();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let begun = fleet.engines[0].beginnings();
    let burst = begun.iter().filter(|it| it.attempt.starts_with("burst")).count();
    (burst, fleet.late(2, named))
}

/// Between the decision and the sending an entry may stand still: its decision is then of the past. The
/// platform counts nothing that an entry does within 3 s of a standstill; the weights are replaced all
/// the same. At which moment of the burst the entry stands still is tried out.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_while_its_entry_stood_still_begins_on_replaced_weights() {
    let plays = (0..11u8).map(|play| {
        late_after_standstill(29 + play, Duration::from_micros(700 * u64::from(play) + 200))
    });
    let seen = futures_util::future::join_all(plays).await;
    let begun: usize = seen.iter().map(|(begun, _)| begun).sum();
    assert!(begun > 0, "no call of any burst was sent");
    let late: Vec<_> = seen.into_iter().map(|(_, late)| late).collect();
    let counts: Vec<_> = late.iter().map(Vec::len).collect();
    let last = late.iter().flatten().map(|(_, after)| after).max();
    assert!(
        late.iter().all(Vec::is_empty),
        "of {begun}, {counts:?} in the plays began later than 3 s after the naming, the last {last:?}"
    );
}

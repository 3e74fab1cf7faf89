//! Which weights requests start on, as engines observe it, while newer weights are late.

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
    caller_request, complete_stream, configuration, entry_settings, listen, register,
};
use crate::network::TestNetwork;
use crate::store::Store;
use crate::worker::{RequestStart, Worker};

/// Interval between two calls to an entry.
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// What a caller observed: status and body, or `None` if the connection ended.
type CallerView = Option<(StatusCode, String)>;

/// Entries with a link each to the store, in front of engines without agents: these keep the
/// weights that they have.
pub struct EngineFleet {
    pub store: Store,
    pub links: Vec<LabLink>,
    pub entries: Vec<LabProcess>,
    pub engines: Vec<Worker>,
    client: HttpClient,
    folder: PathBuf,
    /// How long a request may still start on superseded weights after newer ones were announced.
    bound: Duration,
    _stand_ins: Vec<StandIn>,
}

impl Drop for EngineFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl EngineFleet {
    pub async fn start(entries: u8, engines: Vec<Worker>, bound_s: u64) -> Self {
        let network = TestNetwork::open();
        let folder = std::env::temp_dir()
            .join(format!("mustardrill-versions-{network}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::new();
        let store_server = listen(network.machine_ip(1), Box::new(store.clone())).await;
        let links: Vec<_> =
            (0..entries).map(|_| LabLink::spawn(store_server.address).unwrap()).collect();
        let mut stand_ins = vec![store_server];
        for (place, engine) in engines.iter().enumerate() {
            let at = listen(network.machine_ip(10 + place as u8), Box::new(engine.clone())).await;
            register(&store, engine, at.address, "pool");
            stand_ins.push(at);
        }
        let mut document = configuration(1, (network.machine_ip(2), 9).into(), &["key-1"]);
        // Public routes need no key, so no request is refused because the configuration could not
        // be confirmed as current.
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
            _stand_ins: stand_ins,
        };
        for place in 0..entries {
            let name = format!("entry-{place}");
            let store = fleet.links[usize::from(place)].address;
            let settings = entry_settings(&name, network.machine_ip(100 + place), store);
            let settings = settings.replace("version = 3s", &format!("version = {bound_s}s"));
            fleet.entries.push(daemon(&fleet.folder, "mustardrill-entry", &name, &settings));
        }
        // Entries discover each other through the store.
        let warm = fleet.call_for(Duration::from_millis(1_500), "warm").await.join_all().await;
        assert!(warm.iter().any(is_complete), "{warm:?}");
        fleet
    }

    /// Announces a version and returns when the store had accepted it.
    fn announce(&self, version: u64) -> Instant {
        self.store.write("op/version/m0", &json!({"model": "m0", "version": version}));
        Instant::now()
    }

    /// Starts a call to every entry each `CALL_INTERVAL` for `span`; the calls may last longer. An
    /// attempt's id ends with its entry.
    pub async fn call_for(&self, span: Duration, name: &str) -> JoinSet<CallerView> {
        let started_at = Instant::now();
        let mut calls = JoinSet::new();
        for number in 0.. {
            if started_at.elapsed() >= span {
                break;
            }
            for place in 0..self.entries.len() {
                calls.spawn(self.call(place, format!("{name}-{number}.entry-{place}")));
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        calls
    }

    /// Starts `count` calls to the first entry at once.
    async fn burst(&self, count: usize, name: &str) -> JoinSet<CallerView> {
        let mut calls = JoinSet::new();
        for number in 0..count {
            calls.spawn(self.call(0, format!("{name}-{number}.entry-0")));
        }
        calls
    }

    fn call(&self, entry: usize, attempt: String) -> impl Future<Output = CallerView> + use<> {
        let call = caller_request(self.entries[entry].address, &attempt, "/drafts/x", "");
        let client = self.client.clone();
        async move {
            let answer = client.call(call, Duration::from_secs(7), 1_000_000).await.ok()?;
            Some((answer.status, String::from_utf8_lossy(&answer.body).into_owned()))
        }
    }

    /// Requests that started on weights older than `version` after the bound, each with the time
    /// since the announcement.
    fn late_starts(&self, version: u64, announced_at: Instant) -> Vec<(RequestStart, Duration)> {
        let starts = self.engines.iter().flat_map(Worker::request_starts);
        let late_starts =
            starts.filter(|it| it.version < version && it.at > announced_at + self.bound);
        late_starts.map(|it| (it.clone(), it.at - announced_at)).collect()
    }

    /// Fails if a request started on weights older than `version` after the bound.
    fn assert_no_late_start(&self, version: u64, announced_at: Instant) {
        let mut late_starts = self.late_starts(version, announced_at);
        late_starts.sort_by_key(|(_, after)| *after);
        let extremes = late_starts.first().zip(late_starts.last());
        let span =
            extremes.map(|(first, last)| (&first.0.attempt, first.1, &last.0.attempt, last.1));
        assert!(
            late_starts.is_empty(),
            "{} requests started on weights before {version} later than {:?} after it was announced, first \
             and last {span:?}\n{}",
            late_starts.len(),
            self.bound,
            self.store_and_version_logs()
        );
    }

    /// The entries' log lines on versions and on the store.
    fn store_and_version_logs(&self) -> String {
        let logs = self.entries.iter().map(|entry| {
            let path = self.folder.join(format!("{}.log", entry.name));
            std::fs::read_to_string(path).unwrap_or_default()
        });
        let is_relevant = |line: &&str| line.contains("weights model") || line.contains("=store");
        let lines: Vec<_> = logs
            .flat_map(|log| log.lines().filter(is_relevant).map(str::to_owned).collect::<Vec<_>>())
            .collect();
        lines.join("\n")
    }
}

pub fn is_complete(view: &CallerView) -> bool {
    view.as_ref()
        .is_some_and(|(status, body)| *status == StatusCode::OK && *body == complete_stream())
}

/// Checks the stand-in that the tests below rely on: a request waiting in an engine does not start
/// once its connection has closed.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_request_does_not_start_in_the_engine_stand_in() {
    let engine = Worker::new("i-1", 1);
    let at = listen(TestNetwork::open().machine_ip(10), Box::new(engine.clone())).await;
    let delay = Duration::from_millis(300);
    engine.set_start_delay(delay);
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
    // A process that another test starts at this moment holds a copy of the socket until it
    // executes its program: a dropped socket closes only with the last copy, so it is shut down
    // explicitly.
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
    let starts = engine.request_starts();
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert_eq!((&*starts[0].attempt, starts[0].version), ("kept", 2));
    assert!(starts[0].at >= sent + delay);
    assert_eq!(engine.runs(), ["kept "]);
}

/// An entry that reached the store again after 4 s counted the bound from when it received the
/// announcement. Two versions are announced meanwhile and the history is compacted, so that it sees
/// only the second one.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_starts_on_superseded_weights_after_its_entry_was_cut_off_from_the_store() {
    let engines = vec![Worker::new("i-1", 1), Worker::new("i-2", 1)];
    let fleet = EngineFleet::start(2, engines, 5).await;
    let cut = Instant::now();
    fleet.links[0].set(LinkState::Silent);
    let _before = fleet.call_for(Duration::from_millis(300), "before").await;
    let announced_at = fleet.announce(2);
    let _between = fleet.call_for(Duration::from_millis(500), "between").await;
    fleet.announce(3);
    fleet.store.compact();
    let disconnected = Duration::from_millis(4_300).saturating_sub(cut.elapsed());
    let _away = fleet.call_for(disconnected, "away").await;
    fleet.links[0].set(LinkState::Open);
    let rest = (fleet.bound + Duration::from_millis(2_500)).saturating_sub(announced_at.elapsed());
    let _back = fleet.call_for(rest, "back").await;
    let starts: Vec<_> = fleet.engines.iter().flat_map(Worker::request_starts).collect();
    for place in ["entry-0", "entry-1"] {
        // Until the bound the superseded weights are the only ones available.
        let is_own =
            |it: &&RequestStart| it.attempt.starts_with("away") && it.attempt.ends_with(place);
        assert!(
            starts.iter().filter(is_own).count() > 20,
            "{place} sent too few requests while disconnected"
        );
    }
    fleet.assert_no_late_start(2, announced_at);
}

/// Runs an engine with the superseded weights that from 1.8 s before the bound on starts a request
/// only 2 s after it was received. An entry may count the announcement from up to a watch of the
/// store earlier, and requests are sent before its own bound. Returns the fleet and the answers to the calls of the period in
/// which an entry cannot know of this delay.
async fn run_with_slow_engine(other_engines: Vec<Worker>) -> (EngineFleet, Vec<CallerView>) {
    let slow = Worker::new("i-slow", 1);
    let engines = [vec![slow.clone()], other_engines].concat();
    let fleet = EngineFleet::start(1, engines, 3).await;
    let announced_at = fleet.announce(2);
    fleet.call_for(Duration::from_millis(1_200), "before").await.join_all().await;
    slow.set_start_delay(Duration::from_millis(2_000));
    let slow_from = Instant::now();
    let calls = fleet.call_for(Duration::from_millis(500), "waiting").await;
    let views = calls.join_all().await;
    let rest = (fleet.bound + Duration::from_millis(1_500)).saturating_sub(announced_at.elapsed());
    tokio::time::sleep(rest).await;
    let waited = slow.arrivals().into_iter().filter(|(_, at)| *at > slow_from).count();
    assert!(waited > 0, "no request waited in the engine");
    fleet.assert_no_late_start(2, announced_at);
    (fleet, views)
}

/// The entry's forecast of the start is 50 ms for an idle engine of this profile.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_waiting_in_an_engine_does_not_start_on_superseded_weights_after_their_bound() {
    let newer = Worker::new("i-newer", 2);
    // Its answers last long enough that the other engine is chosen as well.
    newer.set_answer_delay(Duration::from_millis(40));
    let (fleet, views) = run_with_slow_engine(vec![newer]).await;
    let cut: Vec<_> = views.iter().filter(|view| !is_complete(view)).collect();
    assert!(
        cut.is_empty(),
        "{} of {} calls had no complete answer: {cut:?}",
        cut.len(),
        views.len()
    );
    let starts = fleet.engines.iter().flat_map(Worker::request_starts);
    let waiting = starts.filter(|it| it.attempt.starts_with("waiting")).count();
    assert_eq!(waiting, views.len(), "each request starts once");
}

/// The same without an engine that has the newer weights: a request that has not started is
/// refused, and a refused request does not start.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_waiting_in_the_only_engine_does_not_start_on_superseded_weights_after_their_bound()
 {
    let (fleet, views) = run_with_slow_engine(Vec::new()).await;
    let is_refused =
        |view: &CallerView| view.as_ref().is_some_and(|(status, _)| !status.is_success());
    let starts = fleet.engines[0].request_starts();
    let waiting = starts.iter().filter(|it| it.attempt.starts_with("waiting")).count();
    let refused = views.iter().filter(|view| is_refused(view)).count();
    assert_eq!(waiting + refused, views.len(), "{views:?}");
}

/// A request starts with its first token, and an engine may send the head of the answer before.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_starts_behind_the_head_of_its_answer_after_the_bound_of_its_weights() {
    assert_no_start_behind(&[]).await;
}

/// The second part of the comment was taken for the first one of an event.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_starts_behind_a_comment_in_two_parts_after_the_bound_of_its_weights() {
    assert_no_start_behind(&[": the request ", "waits\n\n"]).await;
}

/// Lets requests wait behind the heads of their answers and a comment in these parts.
async fn assert_no_start_behind(comment_parts: &'static [&'static str]) {
    let engine = Worker::new("i-1", 1);
    engine.send_comment_first(comment_parts);
    let fleet = EngineFleet::start(2, vec![engine.clone()], 3).await;
    let announced_at = fleet.announce(2);
    fleet.call_for(Duration::from_millis(1_200), "before").await.join_all().await;
    engine.send_head_first();
    engine.set_start_delay(Duration::from_millis(2_000));
    let views = fleet.call_for(Duration::from_millis(400), "waiting").await.join_all().await;
    let rest = (fleet.bound + Duration::from_millis(1_500)).saturating_sub(announced_at.elapsed());
    tokio::time::sleep(rest).await;
    let is_waiting = |attempt: &String| attempt.starts_with("waiting");
    let waited = engine.arrivals().into_iter().filter(|(attempt, _)| is_waiting(attempt)).count();
    assert!(waited > 0, "no request waited in the engine");
    fleet.assert_no_late_start(2, announced_at);
    let starts = engine.request_starts().into_iter().filter(|it| is_waiting(&it.attempt)).count();
    let complete = views.iter().filter(|view| is_complete(view)).count();
    assert_eq!(starts, complete, "what has started is answered, and nothing else: {views:?}");
}

/// Sends a burst shortly before the bound and suspends the entry from `after` the burst until after
/// the bound. Returns how many calls of the burst started, and which of them too late.
async fn late_starts_after_suspension(after: Duration) -> (usize, Vec<(RequestStart, Duration)>) {
    let fleet = EngineFleet::start(1, vec![Worker::new("i-1", 1)], 3).await;
    let announced_at = fleet.announce(2);
    // Opens many connections to the entry, so that the burst reaches it at once.
    for _ in 0..2 {
        fleet.burst(8, "warm").await.join_all().await;
    }
    tokio::time::sleep(Duration::from_millis(2_200).saturating_sub(announced_at.elapsed())).await;
    let _burst = fleet.burst(16, "burst").await;
    tokio::time::sleep(after).await;
    fleet.entries[0].suspend();
    let rest = (fleet.bound + Duration::from_millis(100)).saturating_sub(announced_at.elapsed());
    tokio::time::sleep(rest).await;
    fleet.entries[0].resume();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let starts = fleet.engines[0].request_starts();
    let burst = starts.iter().filter(|it| it.attempt.starts_with("burst")).count();
    (burst, fleet.late_starts(2, announced_at))
}

/// An entry may be suspended between its decision and the sending, and the decision is outdated
/// when it resumes. The platform ignores what an entry does within 3 s of a suspension, but the
/// weights are superseded all the same. Several delays are tried, to hit the moment between the
/// two.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_while_its_entry_was_suspended_does_not_start_on_superseded_weights() {
    let runs = (0..11u8)
        .map(|run| late_starts_after_suspension(Duration::from_micros(700 * u64::from(run) + 200)));
    let outcomes = futures_util::future::join_all(runs).await;
    let starts: usize = outcomes.iter().map(|(starts, _)| starts).sum();
    assert!(starts > 0, "no call of any burst was sent");
    let late_starts: Vec<_> = outcomes.into_iter().map(|(_, late_starts)| late_starts).collect();
    let counts: Vec<_> = late_starts.iter().map(Vec::len).collect();
    let last = late_starts.iter().flatten().map(|(_, after)| after).max();
    assert!(
        late_starts.iter().all(Vec::is_empty),
        "of {starts}, {counts:?} by run started later than 3 s after the announcement, the last {last:?}"
    );
}

//! Data centres that the operator evacuates and takes back, judged by what callers get and where
//! their requests arrive.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hyper::StatusCode;
use mustardrill_runtime::http::HttpClient;
use mustardrill_standins::process::{LabProcess, daemon};
use serde_json::json;
use tokio::task::JoinHandle;

use crate::fleet::{Fleet, caller_request, complete_stream, configuration, entry_settings};
use crate::store::StoreMode;
use crate::worker::Worker;

/// The two data centres; entries stand in the first one.
pub const DATA_CENTRES: [&str; 2] = ["hall-a", "hall-b"];

/// Time after the store accepted an evacuation in which requests may still arrive there; less than
/// the 5 s that the platform allows.
pub const EVACUATION_BOUND: Duration = Duration::from_secs(2);

/// Time for which an evacuation is judged once its bound has passed.
const JUDGED_SPAN: Duration = Duration::from_millis(1_500);

/// Time that requests wait in an engine, so that some are there unanswered when it is evacuated.
const START_DELAY: Duration = Duration::from_millis(200);

const CALLERS: usize = 8;
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
const PATHS: [&str; 3] = ["/drafts/x", "/notices/x", "/status/x"];

/// An engine and a plain worker in each of two data centres.
async fn two_data_centres() -> Fleet {
    let engines = vec![Worker::new("i-1", 1), Worker::new("i-2", 1)];
    engines.iter().for_each(|engine| engine.set_start_delay(START_DELAY));
    engines[1].set_data_centre(DATA_CENTRES[1]);
    let fleet = Fleet::start(engines).await;
    fleet.desks[1].set_data_centre(DATA_CENTRES[1]);
    fleet.renew_desk(1);
    fleet
}

/// Public routes need no key, so no request without one is refused because the configuration could not be
/// confirmed as current.
async fn make_routes_public(fleet: &Fleet) {
    let mut document = configuration(2, fleet.origin_address, &["key-1"]);
    let routes = document["routes"].as_array_mut().unwrap();
    routes.iter_mut().for_each(|route| route["public"] = true.into());
    fleet.store.write("op/config", &document);
    let is_public = async || fleet.call("public", "/status/x", "").await.status == StatusCode::OK;
    fleet.wait_until("routes are public", is_public).await;
}

fn workers_in<'a>(fleet: &'a Fleet, data_centre: &str) -> [&'a Worker; 2] {
    let place = DATA_CENTRES.iter().position(|it| *it == data_centre).unwrap();
    [&fleet.engines[place], &fleet.desks[place]]
}

/// The requests of callers with this name that arrived in a data centre after `since`, by worker.
fn arrivals(fleet: &Fleet, data_centre: &str, name: &str, since: Instant) -> [Vec<String>; 2] {
    workers_in(fleet, data_centre).map(|worker| {
        let found = worker.arrivals().into_iter();
        let found = found.filter(|(attempt, at)| attempt.starts_with(name) && *at > since);
        found.map(|(attempt, _)| attempt).collect()
    })
}

/// Waits until requests of these callers arrive at every worker.
async fn wait_for_all_workers(fleet: &Fleet, name: &str) {
    let since = Instant::now();
    let is_used =
        |data_centre| !arrivals(fleet, data_centre, name, since).iter().any(Vec::is_empty);
    let are_used = async || DATA_CENTRES.into_iter().all(is_used);
    fleet.wait_until("all workers get requests", are_used).await;
}

/// Callers that call one entry without a pause until they are stopped.
struct SteadyCallers {
    is_over: Arc<AtomicBool>,
    /// Each returns the number of its calls and what it got instead of complete answers.
    tasks: Vec<JoinHandle<(usize, Vec<String>)>>,
}

impl SteadyCallers {
    fn start(entry: &LabProcess, name: &'static str, key: &'static str) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let address = entry.address;
        let tasks = (0..CALLERS).map(|number| {
            let is_over = Arc::clone(&is_over);
            tokio::spawn(async move {
                let client = HttpClient::open(Duration::from_secs(1));
                let (mut count, mut failures) = (0, Vec::new());
                while !is_over.load(Ordering::SeqCst) {
                    let path = PATHS[(number + count) % PATHS.len()];
                    let attempt = format!("{name}-{number}-{count}");
                    let call = caller_request(address, &attempt, path, key);
                    let complete = match path {
                        "/drafts/x" => complete_stream(),
                        _ => format!("done {attempt}"),
                    };
                    match client.call(call, CALL_TIMEOUT, 1_000_000).await {
                        Ok(it) if it.status == StatusCode::OK && it.body == complete => {}
                        other => failures.push(format!("{attempt} {path}: {other:?}")),
                    }
                    count += 1;
                }
                (count, failures)
            })
        });
        Self { tasks: tasks.collect(), is_over }
    }

    /// Ends the calls; every one must have got its complete answer.
    async fn finish(self, fleet: &Fleet) {
        self.is_over.store(true, Ordering::SeqCst);
        for task in self.tasks {
            let (count, failures) = task.await.unwrap();
            assert!(count > 0 && failures.is_empty(), "{failures:#?}\n{}", fleet.logs());
        }
    }
}

fn evacuate(fleet: &Fleet, data_centre: &str) -> Instant {
    fleet.store.write(&format!("op/evacuate/{data_centre}"), &json!({}));
    Instant::now()
}

fn take_back(fleet: &Fleet, data_centre: &str) {
    fleet.store.remove(&format!("op/evacuate/{data_centre}"));
}

/// Panics if a request of these callers arrived in the data centre after `since`.
fn assert_empty(fleet: &Fleet, data_centre: &str, name: &str, since: Instant) {
    let found = arrivals(fleet, data_centre, name, since).concat();
    assert!(found.is_empty(), "{data_centre} got {found:?}\n{}", fleet.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_elsewhere_while_a_data_centre_is_evacuated() {
    let fleet = two_data_centres().await;
    let callers = SteadyCallers::start(&fleet.entry, "old", "key-1");
    for data_centre in DATA_CENTRES {
        wait_for_all_workers(&fleet, "old").await;
        let since = evacuate(&fleet, data_centre) + EVACUATION_BOUND;
        tokio::time::sleep(EVACUATION_BOUND + JUDGED_SPAN).await;
        assert_empty(&fleet, data_centre, "old", since);
        take_back(&fleet, data_centre);
    }
    wait_for_all_workers(&fleet, "old").await;
    callers.finish(&fleet).await;
    let desk_runs = fleet.desks.iter().flat_map(Worker::runs);
    let mut desk_runs: Vec<_> = desk_runs.collect();
    let count = desk_runs.len();
    desk_runs.sort_unstable();
    desk_runs.dedup();
    assert_eq!(desk_runs.len(), count, "each request runs once\n{}", fleet.logs());
}

/// It knows no upstreams before it has read the store, and learns of them and of the evacuation at
/// once.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_in_an_evacuation_sends_nothing_there() {
    let fleet = two_data_centres().await;
    let evacuated = DATA_CENTRES[0];
    let started_at = evacuate(&fleet, evacuated);
    let store = fleet.stand_ins[0].address;
    let settings = entry_settings("entry-2", fleet.network.machine_ip(4), store);
    let entry = daemon(&fleet.folder, "mustardrill-entry", "entry-2", &settings);
    let is_serving = async || {
        let call = caller_request(entry.address, "early", "/status/x", "key-1");
        let answer = fleet.client.call(call, CALL_TIMEOUT, 1_000).await;
        answer.is_ok_and(|it| it.status == StatusCode::OK)
    };
    fleet.wait_until("the new entry serves", is_serving).await;
    let callers = SteadyCallers::start(&entry, "new", "key-1");
    tokio::time::sleep(JUDGED_SPAN).await;
    assert_empty(&fleet, evacuated, "early", started_at);
    assert_empty(&fleet, evacuated, "new", started_at);
    take_back(&fleet, evacuated);
    wait_for_all_workers(&fleet, "new").await;
    callers.finish(&fleet).await;
}

/// Neither the silence nor the end of it lets requests return, and a data centre that is taken back
/// meanwhile gets them once the store answers.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_lasts_while_the_store_is_silent() {
    let fleet = two_data_centres().await;
    make_routes_public(&fleet).await;
    let evacuated = DATA_CENTRES[0];
    let callers = SteadyCallers::start(&fleet.entry, "old", "");
    wait_for_all_workers(&fleet, "old").await;
    let since = evacuate(&fleet, evacuated) + EVACUATION_BOUND;
    tokio::time::sleep(EVACUATION_BOUND).await;
    for mode in [StoreMode::Silent, StoreMode::Available] {
        fleet.store.set_mode(mode);
        tokio::time::sleep(JUDGED_SPAN).await;
    }
    fleet.store.set_mode(StoreMode::Silent);
    assert_empty(&fleet, evacuated, "old", since);
    take_back(&fleet, evacuated);
    tokio::time::sleep(JUDGED_SPAN).await;
    fleet.store.set_mode(StoreMode::Available);
    wait_for_all_workers(&fleet, "old").await;
    callers.finish(&fleet).await;
}

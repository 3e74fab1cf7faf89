//! Upstreams that shut down, or whose registrations the store has lost, while entries cannot reach
//! the store.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use mustardrill_runtime::http::HttpClient;
use mustardrill_standins::StandIn;
use mustardrill_standins::link::{LabLink, LinkState};
use mustardrill_standins::process::{LabProcess, daemon};
use serde_json::json;

use crate::fleet::{caller_request, configuration, entry_settings, listen, register};
use crate::network::TestNetwork;
use crate::store::{Store, StoreMode};
use crate::worker::Worker;

/// Time after an upstream's deregistration in which entries may still send it requests.
const LEAVE_BOUND: Duration = Duration::from_secs(2);

/// Entries with a link each to the store, and plain workers.
struct LinkedFleet {
    store: Store,
    links: Vec<LabLink>,
    entries: Vec<LabProcess>,
    plain_workers: Vec<Worker>,
    client: HttpClient,
    folder: PathBuf,
    _stand_ins: Vec<StandIn>,
}

impl Drop for LinkedFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl LinkedFleet {
    async fn start(entries: u8, worker_count: u8) -> Self {
        let network = TestNetwork::open();
        let folder = std::env::temp_dir()
            .join(format!("mustardrill-leaving-{network}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::new();
        let store_server = listen(network.machine_ip(1), Box::new(store.clone())).await;
        let links: Vec<_> =
            (0..entries).map(|_| LabLink::spawn(store_server.address).unwrap()).collect();
        let mut stand_ins = vec![store_server];
        let mut workers = Vec::new();
        for place in 0..worker_count {
            let worker = Worker::new(&format!("i-{place}"), 0);
            let at = listen(network.machine_ip(30 + place), Box::new(worker.clone())).await;
            register(&store, &worker, at.address, "desk");
            stand_ins.push(at);
            workers.push(worker);
        }
        let origin = (network.machine_ip(2), 9).into();
        // Public routes need no key, so no request is refused because the configuration could not
        // be confirmed as current.
        let mut document = configuration(1, origin, &["key-1"]);
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
            plain_workers: workers,
            client: HttpClient::open(Duration::from_secs(1)),
            folder,
            _stand_ins: stand_ins,
        };
        for place in 0..entries {
            let name = format!("entry-{place}");
            let store = fleet.links[usize::from(place)].address;
            let settings = entry_settings(&name, network.machine_ip(100 + place), store);
            fleet.entries.push(daemon(&fleet.folder, "mustardrill-entry", &name, &settings));
        }
        // Entries discover each other through the store.
        fleet.call_for(Duration::from_millis(1_500), "warm").await;
        fleet
    }

    /// Makes the store available without the workers' registrations, which are written again 1.7 s
    /// later, and keeps calling all the while and for `after` more. Returns the counts of
    /// successful and of all calls for the two periods.
    async fn call_after_registration_loss(&self, after: Duration) -> [(usize, usize); 2] {
        let names = self.plain_workers.iter().map(|worker| format!("servers/{}", worker.id));
        let records = names.map(|name| (name.clone(), self.store.value(&name).unwrap()));
        let records: Vec<_> = records.inspect(|(name, _)| self.store.remove(name)).collect();
        self.store.set_mode(StoreMode::Available);
        let missing = self.call_for(Duration::from_millis(1_700), "missing").await;
        records.iter().for_each(|(name, value)| self.store.write(name, value));
        [missing, self.call_for(after, "back").await]
    }

    /// Calls all entries in turn for `span` and returns the counts of successful and of all calls.
    async fn call_for(&self, span: Duration, name: &str) -> (usize, usize) {
        let started_at = Instant::now();
        let (mut successful, mut all) = (0, 0);
        while started_at.elapsed() < span {
            for entry in &self.entries {
                let attempt = format!("{name}-{all}");
                let call = caller_request(entry.address, &attempt, "/status/x", "");
                let answer = self.client.call(call, Duration::from_secs(7), 1_000_000).await;
                successful += usize::from(answer.is_ok_and(|it| it.status == StatusCode::OK));
                all += 1;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        (successful, all)
    }
}

/// Returns the runs that the first `leaving` of three upstreams received later than `LEAVE_BOUND`
/// after they deregistered while one of two entries was cut off from the store.
async fn late_requests_after_disconnection(leaving: usize) -> Vec<(String, Duration)> {
    let fleet = LinkedFleet::start(2, 3).await;
    fleet.links[0].set(LinkState::Silent);
    fleet.call_for(Duration::from_millis(1_900), "cut").await;
    (0..leaving).for_each(|place| fleet.store.remove(&format!("servers/i-{place}")));
    let deregistered_at = Instant::now();
    fleet.call_for(Duration::from_millis(800), "left").await;
    fleet.links[0].set(LinkState::Open);
    fleet.call_for(Duration::from_millis(3_500), "healed").await;
    let runs = fleet.plain_workers[..leaving].iter().flat_map(Worker::timed_runs);
    let late = runs.filter(|(_, at)| *at > deregistered_at + LEAVE_BOUND);
    late.map(|(run, at)| (run, at - deregistered_at)).collect()
}

/// An entry that was cut off from the store, alone, kept a deregistered upstream for another 2.2 s.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_shut_down_while_its_entry_was_cut_off_gets_no_requests() {
    let late = late_requests_after_disconnection(1).await;
    assert!(
        late.is_empty(),
        "{} requests came after the bound, the last {:?} after deregistration",
        late.len(),
        late.last()
    );
}

/// Most registrations are missing, as after an outage of the store: only the other entry's report
/// shows that the store was available.
#[tokio::test(flavor = "multi_thread")]
async fn most_upstreams_that_shut_down_while_an_entry_was_cut_off_get_no_requests() {
    let late = late_requests_after_disconnection(2).await;
    assert!(
        late.is_empty(),
        "{} requests came after the bound, the last {:?} after deregistration",
        late.len(),
        late.last()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn live_upstreams_are_kept_after_an_outage_of_the_store() {
    let fleet = LinkedFleet::start(2, 3).await;
    fleet.store.set_mode(StoreMode::Unavailable);
    let mut calls = vec![fleet.call_for(Duration::from_millis(4_000), "away").await];
    calls.extend(fleet.call_after_registration_loss(Duration::from_millis(3_000)).await);
    assert!(
        calls.iter().all(|(successful, all)| successful == all),
        "successful and all calls by period: {calls:?}"
    );
}

/// The watch hung for 2.5 s, and the next call reused another connection that was dead as well.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_shut_down_behind_silent_store_connections_gets_no_requests() {
    let fleet = LinkedFleet::start(1, 3).await;
    for place in 0..2 {
        // The change completes the pending watch, so that the next one starts with its full
        // time-out.
        fleet.store.write("op/other", &json!({}));
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.links[0].set(LinkState::Stale);
        fleet.store.remove(&format!("servers/i-{place}"));
        let deregistered_at = Instant::now();
        fleet.call_for(Duration::from_millis(3_500), "silent").await;
        let runs = fleet.plain_workers[place].timed_runs().into_iter();
        let late: Vec<_> = runs.filter(|(_, at)| *at > deregistered_at + LEAVE_BOUND).collect();
        assert!(late.is_empty(), "{} requests reached worker {place} after the bound", late.len());
        fleet.links[0].set(LinkState::Open);
        fleet.call_for(Duration::from_millis(500), "calm").await;
    }
}

/// Peers send no reports to an entry whose registration has expired; it stayed unregistered for up
/// to 3 s after the store was available again.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_reaches_the_store_again_renews_its_registration() {
    let fleet = LinkedFleet::start(1, 1).await;
    fleet.store.set_mode(StoreMode::Unavailable);
    fleet.call_for(Duration::from_millis(3_000), "away").await;
    let before = fleet.store.renewals();
    fleet.store.set_mode(StoreMode::Available);
    fleet.call_for(Duration::from_millis(1_000), "back").await;
    assert!(fleet.store.renewals() > before, "lease not renewed within a second");
}

/// Peer reports that were queued in the entry's socket while it was suspended made the store seem
/// available during the outage, so that missing registrations were taken for shutdowns.
#[tokio::test(flavor = "multi_thread")]
async fn live_upstreams_are_kept_by_an_entry_suspended_in_an_outage() {
    let fleet = LinkedFleet::start(2, 3).await;
    fleet.store.set_mode(StoreMode::Unavailable);
    fleet.call_for(Duration::from_millis(500), "away").await;
    fleet.entries[0].suspend();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.entries[0].resume();
    let mut calls = vec![fleet.call_for(Duration::from_millis(1_000), "thawed").await];
    calls.extend(fleet.call_after_registration_loss(Duration::from_millis(500)).await);
    assert!(
        calls.iter().all(|(successful, all)| successful == all),
        "successful and all calls by period: {calls:?}"
    );
}

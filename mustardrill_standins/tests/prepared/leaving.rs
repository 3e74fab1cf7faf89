//! Upstreams that leave, or are only forgotten by the store, while entries can't reach it.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use mustardrill_runtime::http::HttpClient;
use mustardrill_standins::StandIn;
use mustardrill_standins::link::{LabLink, LinkState};
use mustardrill_standins::process::{LabProcess, daemon};
use serde_json::json;

use crate::fleet::{caller_request, configuration, entry_settings, listen, machine, register};
use crate::store::{Store, StoreMode};
use crate::worker::Worker;

/// How long after it has left an upstream may still be sent requests.
const LEAVE_BOUND: Duration = Duration::from_secs(2);

/// Entries that reach the store over a link each, and plain workers.
struct LinkedFleet {
    store: Store,
    links: Vec<LabLink>,
    entries: Vec<LabProcess>,
    desks: Vec<Worker>,
    client: HttpClient,
    folder: PathBuf,
    _listening: Vec<StandIn>,
}

impl Drop for LinkedFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl LinkedFleet {
    async fn start(test: u8, entries: u8, desks: u8) -> Self {
        let folder =
            std::env::temp_dir().join(format!("mustardrill-leaving-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::new();
        let store_at = listen(machine(test, 1), Box::new(store.clone())).await;
        let links: Vec<_> =
            (0..entries).map(|_| LabLink::spawn(store_at.address).unwrap()).collect();
        let mut listening = vec![store_at];
        let mut workers = Vec::new();
        for place in 0..desks {
            let desk = Worker::new(&format!("i-{place}"), 0);
            let at = listen(machine(test, 30 + place), Box::new(desk.clone())).await;
            register(&store, &desk, at.address, "desk");
            listening.push(at);
            workers.push(desk);
        }
        let origin = (machine(test, 2), 9).into();
        // Without keys nothing is refused for want of a proof that they are still good.
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
            desks: workers,
            client: HttpClient::open(Duration::from_secs(1)),
            folder,
            _listening: listening,
        };
        for place in 0..entries {
            let name = format!("entry-{place}");
            let store = fleet.links[usize::from(place)].address;
            let settings = entry_settings(&name, machine(test, 100 + place), store);
            fleet.entries.push(daemon(&fleet.folder, "mustardrill-entry", &name, &settings));
        }
        // The entries hear of each other by the store.
        fleet.call_for(Duration::from_millis(1_500), "warm").await;
        fleet
    }

    /// The store is back without registrations, which are written again 1.7 s later; calls all the
    /// while, and for `after` more. How many calls were answered well, of all, in the two spans.
    async fn call_at_forgetful_return(&self, after: Duration) -> [(usize, usize); 2] {
        let names = self.desks.iter().map(|desk| format!("servers/{}", desk.id));
        let records = names.map(|name| (name.clone(), self.store.value(&name).unwrap()));
        let records: Vec<_> = records.inspect(|(name, _)| self.store.remove(name)).collect();
        self.store.set_mode(StoreMode::Sound);
        let missing = self.call_for(Duration::from_millis(1_700), "missing").await;
        records.iter().for_each(|(name, value)| self.store.write(name, value));
        [missing, self.call_for(after, "back").await]
    }

    /// Calls all entries in turn for so long; how many calls were answered well.
    async fn call_for(&self, span: Duration, name: &str) -> (usize, usize) {
        let begun = Instant::now();
        let (mut good, mut all) = (0, 0);
        while begun.elapsed() < span {
            for entry in &self.entries {
                let attempt = format!("{name}-{all}");
                let call = caller_request(entry.address, &attempt, "/status/x", "");
                let answer = self.client.call(call, Duration::from_secs(7), 1_000_000).await;
                good += usize::from(answer.is_ok_and(|it| it.status == StatusCode::OK));
                all += 1;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        (good, all)
    }
}

/// The requests that reach the first `leaving` of three upstreams after their bound, where they left
/// while one of two entries was cut off from the store.
async fn late_requests_after_a_cut(test: u8, leaving: usize) -> Vec<(String, Duration)> {
    let fleet = LinkedFleet::start(test, 2, 3).await;
    fleet.links[0].set(LinkState::Silent);
    fleet.call_for(Duration::from_millis(1_900), "cut").await;
    (0..leaving).for_each(|place| fleet.store.remove(&format!("servers/i-{place}")));
    let left = Instant::now();
    fleet.call_for(Duration::from_millis(800), "left").await;
    fleet.links[0].set(LinkState::Open);
    fleet.call_for(Duration::from_millis(3_500), "healed").await;
    let runs = fleet.desks[..leaving].iter().flat_map(Worker::timed_runs);
    let late = runs.filter(|(_, at)| *at > left + LEAVE_BOUND);
    late.map(|(run, at)| (run, at - left)).collect()
}

/// An entry that alone was cut off from the store kept what had left for another 2.2 s.
#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_an_upstream_that_left_while_the_entry_was_cut_off() {
    let late = late_requests_after_a_cut(12, 1).await;
    assert!(late.is_empty(), "{} requests came late, the last {:?}", late.len(), late.last());
}

/// Most are missing, as after an outage: only the other entry's word tells that there was none.
#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_most_upstreams_after_they_left_while_the_entry_was_cut_off() {
    let late = late_requests_after_a_cut(15, 2).await;
    assert!(late.is_empty(), "{} requests came late, the last {:?}", late.len(), late.last());
}

#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_live_are_thrown_away_after_an_outage_of_the_store() {
    let fleet = LinkedFleet::start(13, 2, 3).await;
    fleet.store.set_mode(StoreMode::Busy);
    let mut calls = vec![fleet.call_for(Duration::from_millis(4_000), "away").await];
    calls.extend(fleet.call_at_forgetful_return(Duration::from_millis(3_000)).await);
    assert!(calls.iter().all(|(good, all)| good == all), "answered well, of all: {calls:?}");
}

/// The watch hung for 2.5 s, and the next call took another connection that was as dead.
#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_an_upstream_that_left_after_connections_to_the_store_fell_silent() {
    let fleet = LinkedFleet::start(14, 1, 3).await;
    for place in 0..2 {
        // The change ends the watch under way: the next one has its whole time before it.
        fleet.store.write("op/other", &json!({}));
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.links[0].set(LinkState::Stale);
        fleet.store.remove(&format!("servers/i-{place}"));
        let left = Instant::now();
        fleet.call_for(Duration::from_millis(3_500), "silent").await;
        let runs = fleet.desks[place].timed_runs().into_iter();
        let late: Vec<_> = runs.filter(|(_, at)| *at > left + LEAVE_BOUND).collect();
        assert!(late.is_empty(), "{} requests came late to {place}", late.len());
        fleet.links[0].set(LinkState::Open);
        fleet.call_for(Duration::from_millis(500), "calm").await;
    }
}

/// Entries whose registrations had run out were told nothing by the others for up to 3 s.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_reaches_the_store_again_stays_unregistered() {
    let fleet = LinkedFleet::start(16, 1, 1).await;
    fleet.store.set_mode(StoreMode::Busy);
    fleet.call_for(Duration::from_millis(3_000), "away").await;
    let before = fleet.store.renewals();
    fleet.store.set_mode(StoreMode::Sound);
    fleet.call_for(Duration::from_millis(1_000), "back").await;
    assert!(fleet.store.renewals() > before, "not renewed within a second");
}

/// Words that had waited in its socket made the store seem to have answered while it was away.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_live_are_thrown_away_by_an_entry_that_was_frozen_in_an_outage() {
    let fleet = LinkedFleet::start(19, 2, 3).await;
    fleet.store.set_mode(StoreMode::Busy);
    fleet.call_for(Duration::from_millis(500), "away").await;
    fleet.entries[0].suspend();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.entries[0].resume();
    let mut calls = vec![fleet.call_for(Duration::from_millis(1_000), "thawed").await];
    calls.extend(fleet.call_at_forgetful_return(Duration::from_millis(500)).await);
    assert!(calls.iter().all(|(good, all)| good == all), "answered well, of all: {calls:?}");
}

//! Registrations of entries whose writes the store carries out late, or whose items it loses.

use std::time::{Duration, Instant};

use mustardrill_standins::process::{LabProcess, daemon};

use crate::fleet::{Fleet, entry_settings};
use crate::worker::Worker;

const KEY: &str = "mustardrill/entry/entry-2";

/// How late a write is made, less than the lease of the registration.
const WRITE_DELAY: Duration = Duration::from_secs(3);

/// Longer than the lease of a registration.
const WATCHED_SPAN: Duration = Duration::from_secs(14);

fn start_entry(fleet: &Fleet) -> LabProcess {
    let store = fleet.stand_ins[0].address;
    let settings = entry_settings("entry-2", fleet.network.machine_ip(4), store);
    daemon(&fleet.folder, "mustardrill-entry", "entry-2", &settings)
}

async fn wait_until_listed(fleet: &Fleet) {
    fleet.wait_until("the entry is listed", async || fleet.store.value(KEY).is_some()).await;
}

async fn assert_stays_listed(fleet: &Fleet) {
    let started_at = Instant::now();
    while started_at.elapsed() < WATCHED_SPAN {
        let after = started_at.elapsed();
        assert!(fleet.store.value(KEY).is_some(), "unlisted after {after:?}\n{}", fleet.logs());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_registration_that_is_written_late_ends_with_a_lease_that_nobody_renews() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    fleet.store.delay_next_write(KEY, WRITE_DELAY);
    let _entry = start_entry(&fleet);
    wait_until_listed(&fleet).await;
    assert_stays_listed(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_write_of_a_killed_entry_replaces_the_registration_of_the_next_one() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    fleet.store.delay_next_write(KEY, WRITE_DELAY);
    let killed = start_entry(&fleet);
    fleet.wait_until("the write is sent", async || !fleet.store.awaits_write(KEY)).await;
    drop(killed);
    let _entry = start_entry(&fleet);
    wait_until_listed(&fleet).await;
    assert_stays_listed(&fleet).await;
}

/// The entry renewed its lease and took that for a proof that it was listed.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_does_not_notice_that_its_registration_is_lost() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    let _entry = start_entry(&fleet);
    wait_until_listed(&fleet).await;
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.store.remove(KEY);
        let took = fleet.wait_until("listed again", async || fleet.store.value(KEY).is_some());
        let took = took.await;
        assert!(took < Duration::from_secs(2), "{took:?}");
    }
}

//! What upstreams state of themselves in their answers: that they leave, and that they want a rest.

use std::time::{Duration, Instant};

use hyper::StatusCode;

use crate::fleet::Fleet;
use crate::worker::{Worker, WorkerStatement};

/// Time after the answer in which an upstream said that it leaves in which requests may still reach
/// it.
pub const LEAVING_BOUND: Duration = Duration::from_secs(2);

/// Time after the answer in which an upstream asked for a rest from which the rest is counted.
pub const REST_NOTICE_SPAN: Duration = Duration::from_millis(500);

/// The most requests that may reach an upstream within a counted rest.
pub const REST_REQUEST_LIMIT: usize = 2;

/// Counts the requests that reached a worker within a rest for which one of its answers asked.
pub fn requests_in_rest(statement: &WorkerStatement, arrivals: &[Instant]) -> usize {
    let Some(rest) = statement.rest else { return 0 };
    let (from, until) = (statement.at + REST_NOTICE_SPAN, statement.at + rest);
    arrivals.iter().filter(|at| **at > from && **at < until).count()
}

/// The largest count of [`requests_in_rest`] over all answers of a worker to one entry, with the
/// attempt that was answered.
fn most_requests_in_a_rest(worker: &Worker) -> (usize, String) {
    let arrivals: Vec<_> = worker.arrivals().into_iter().map(|(_, at)| at).collect();
    let statements = worker.statements().into_iter();
    let counts = statements.map(|it| (requests_in_rest(&it, &arrivals), it.attempt));
    counts.max().expect("an answer asked for a rest")
}

/// Sends requests one after the other for a while; returns how many of them were served.
async fn call_for(fleet: &Fleet, span: Duration, name: &str) -> (usize, usize) {
    let started_at = Instant::now();
    let (mut served, mut sent) = (0, 0);
    while started_at.elapsed() < span {
        let answer = fleet.call(&format!("{name}-{sent}."), "/status/x", "key-1").await;
        served += usize::from(answer.status == StatusCode::OK);
        sent += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (served, sent)
}

/// The store lists the upstream as ready all the while, and its registration is renewed.
#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_an_upstream_that_said_that_it_leaves() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    call_for(&fleet, Duration::from_millis(300), "before").await;
    fleet.desks[0].set_leaving(true);
    call_for(&fleet, Duration::from_millis(500), "told").await;
    let statements = fleet.desks[0].statements().into_iter();
    let first = statements.filter(|it| it.is_leaving).map(|it| it.at).min();
    let first = first.expect("an answer said that it leaves");
    fleet.renew_desk(0);
    let (served, sent) = call_for(&fleet, Duration::from_secs(3), "after").await;
    let late = fleet.desks[0].arrivals().into_iter();
    let late = late.filter(|(_, at)| *at > first + LEAVING_BOUND).count();
    assert_eq!(late, 0, "requests after the bound\n{}", fleet.logs());
    assert_eq!(served, sent, "the other upstream has room for all");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_an_upstream_that_asked_for_a_rest() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    call_for(&fleet, Duration::from_millis(300), "before").await;
    fleet.desks[0].set_rest(Some(Duration::from_secs(5)));
    let (served, sent) = call_for(&fleet, Duration::from_secs(6), "resting").await;
    let (count, attempt) = most_requests_in_a_rest(&fleet.desks[0]);
    assert!(
        count <= REST_REQUEST_LIMIT,
        "{count} requests in the rest asked for in the answer to {attempt}\n{}",
        fleet.logs()
    );
    assert_eq!(served, sent, "the other upstream has room for all");
}

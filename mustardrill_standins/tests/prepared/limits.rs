//! How many requests reach an upstream that limits the rate that it accepts.

use std::time::{Duration, Instant};

use crate::versions::EngineFleet;
use crate::worker::Worker;

/// The span in which requests at an upstream are counted against its limit.
const COUNTED_SPAN: Duration = Duration::from_secs(4);

/// Time after an upstream first states a limit from which it must be kept: all entries get an
/// answer from it within half a second here, and have half a second more by the platform's rules.
const NOTICE_SPAN: Duration = Duration::from_secs(1);

/// The most requests that an upstream limited to `per_second` may get in `COUNTED_SPAN`, by the
/// platform's rules.
pub fn request_bound(per_second: f64) -> usize {
    (1.5 * per_second * COUNTED_SPAN.as_secs_f64() + 5.0).floor() as usize
}

/// The largest number of the arrivals from `from` on that lie within one `COUNTED_SPAN`.
pub fn largest_count(arrivals: &[(String, Instant)], from: Instant) -> usize {
    let times: Vec<_> = arrivals.iter().map(|(_, at)| *at).filter(|at| *at >= from).collect();
    let count_from = |start: &Instant| {
        times.iter().filter(|at| *at >= start && **at < *start + COUNTED_SPAN).count()
    };
    times.iter().map(count_from).max().unwrap_or(0)
}

/// Four entries have more requests than the limit allows; the other engines have room for them.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_gets_no_more_requests_a_second_than_it_states() {
    let engines: Vec<_> = ["i-1", "i-2", "i-3"].map(|id| Worker::new(id, 1)).into();
    let fleet = EngineFleet::start(4, engines, 3).await;
    for (engine, limit) in fleet.engines.iter().zip(["1", "2.5"]) {
        engine.set_intake_limit(Some(limit));
    }
    let limited_at = Instant::now();
    let outcomes = fleet.call_for(Duration::from_secs(6), "limited").await.join_all().await;
    for (engine, per_second) in fleet.engines.iter().zip([1.0, 2.5]) {
        let count = largest_count(&engine.arrivals(), limited_at + NOTICE_SPAN);
        let bound = request_bound(per_second);
        assert!(count <= bound, "{}: {count} requests in 4 s, {bound} allowed", engine.id);
        assert!(count > 0, "{} gets what it accepts", engine.id);
    }
    let refused = outcomes.iter().filter(|view| !crate::versions::is_complete(view)).count();
    assert_eq!(refused, 0, "of {} requests; the third engine has room for all", outcomes.len());
    // Without a limit, engines get a similar number of requests again.
    fleet.engines.iter().for_each(|engine| engine.set_intake_limit(None));
    fleet.call_for(Duration::from_secs(4), "unlimited").await.join_all().await;
    let since = Instant::now() - Duration::from_secs(2);
    let late = |engine: &Worker| engine.arrivals().iter().filter(|(_, at)| *at >= since).count();
    let counts: Vec<_> = fleet.engines.iter().map(late).collect();
    assert!(counts.iter().all(|count| count * 4 >= counts[2]), "{counts:?}");
}

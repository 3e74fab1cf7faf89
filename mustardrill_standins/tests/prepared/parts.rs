//! A part of prompts that crashes each engine that begins to answer a request with it, among sound
//! requests that share their caller and their other parts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;

use crate::crash::CrashFleet;
use crate::fleet::{caller_request, complete_stream};
use crate::worker::CrashCause;

/// The part that crashes engines.
const CRASHING_PART: &str = "bad";

/// Time after the fifth crash from which requests with the part count: the platform's stability
/// window.
const NOTICE_SPAN: Duration = Duration::from_secs(3);

/// Requests with the part that may still reach engines after that.
const LATE_ARRIVALS_LIMIT: usize = 3;

/// Interval between two requests with the part, and between two sound ones.
const CULPRIT_INTERVAL: Duration = Duration::from_millis(60);
const SOUND_INTERVAL: Duration = Duration::from_millis(20);

const SPAN: Duration = Duration::from_secs(7);

/// What callers received.
#[derive(Debug, Clone)]
struct PromptOutcome {
    sent: Instant,
    is_culprit: bool,
    status: Option<StatusCode>,
    body: String,
}

/// Sends a request whose prompt has these parts; `None` where its answer is cut.
async fn send(fleet: &CrashFleet, number: usize, attempt: &str, parts: &str) -> PromptOutcome {
    let entry = fleet.entries[number % fleet.entries.len()].address;
    let mut call = caller_request(entry, attempt, &format!("/drafts/{attempt}"), "key-1");
    call.headers_mut().insert("x-prompt-prefix", parts.parse().unwrap());
    let sent = Instant::now();
    let answer = fleet.client.call(call, Duration::from_secs(8), 1_000_000).await.ok();
    let body = answer.as_ref().map(|it| String::from_utf8_lossy(&it.body).into_owned());
    PromptOutcome {
        sent,
        is_culprit: attempt.starts_with("bad-"),
        status: answer.map(|it| it.status),
        body: body.unwrap_or_default(),
    }
}

/// Sends requests with and without the crashing part for `SPAN`.
async fn play(fleet: Arc<CrashFleet>) -> Vec<PromptOutcome> {
    let mut calls = Vec::new();
    for (name, interval, crashing) in [
        ("bad", CULPRIT_INTERVAL, format!("{CRASHING_PART}:200,")),
        ("sound", SOUND_INTERVAL, String::new()),
    ] {
        let fleet = fleet.clone();
        calls.push(tokio::spawn(async move {
            let started_at = Instant::now();
            let mut calls = Vec::new();
            for number in 0.. {
                tokio::time::sleep_until((started_at + interval * number).into()).await;
                if started_at.elapsed() > SPAN {
                    break;
                }
                let subject = 0x100 + number % 4;
                let parts = format!("a1:40,{subject:x}:300,{crashing}{:x}:90", 0x10_000 + number);
                let (fleet, attempt) = (fleet.clone(), format!("{name}-{number}"));
                calls.push(tokio::spawn(async move {
                    send(&fleet, number as usize, &attempt, &parts).await
                }));
            }
            futures_util::future::join_all(calls).await
        }));
    }
    let outcomes = futures_util::future::join_all(calls).await.into_iter();
    outcomes.flat_map(Result::unwrap).map(Result::unwrap).collect()
}

/// Requests with one part in their prompts, no two alike, crashed engine after engine: what entries
/// counted was the content of a request, and each had another one.
#[tokio::test(flavor = "multi_thread")]
async fn engines_crash_one_after_the_other_under_a_common_part() {
    let fleet = Arc::new(CrashFleet::start(3, 8, CrashCause::Part(CRASHING_PART)).await);
    let outcomes = play(fleet.clone()).await;
    let crashes = fleet.crash_times();
    let fifth = crashes.get(4).copied();
    let arrivals = fleet.arrivals();
    let culprits = arrivals.iter().filter(|(attempt, _)| attempt.starts_with("bad-"));
    let late = culprits.filter(|(_, at)| fifth.is_some_and(|fifth| *at > fifth + NOTICE_SPAN));
    let late = late.count();
    assert!(
        late <= LATE_ARRIVALS_LIMIT,
        "{late} late requests, {} crashes\n{}",
        crashes.len(),
        fleet.logs()
    );
    let end = outcomes.iter().map(|outcome| outcome.sent).max().unwrap();
    let last = outcomes.iter().filter(|it| !it.is_culprit && it.sent + NOTICE_SPAN > end);
    let (whole, other): (Vec<_>, Vec<_>) =
        last.partition(|it| it.status == Some(StatusCode::OK) && it.body == complete_stream());
    assert!(whole.len() > other.len(), "{} of {other:?}\n{}", whole.len(), fleet.logs());
    let quarantined =
        outcomes.iter().filter(|it| !it.is_culprit && it.body.contains("Quarantined"));
    assert_eq!(quarantined.count(), 0, "{}", fleet.logs());
}

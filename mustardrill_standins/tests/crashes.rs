//! Engines that crash while they run a request, on the product's own interface.

mod common;

use std::time::Duration;

use common::{MODEL, serving_lab};
use mustardrill_runtime::http::BufferedResponse;
use mustardrill_standins::engine::CRASH_PROMPT;
use mustardrill_standins::lab::{Lab, LabOptions, caller_request};

/// Crashes that must be seen before a request may be quarantined as their cause, and the number of
/// further ones allowed.
const CRASH_LIMIT: usize = 3 + 3;

async fn draft(
    lab: &Lab,
    entry: usize,
    key: Option<&str>,
    prompt: &str,
) -> Option<BufferedResponse> {
    let path = format!("/v1/models/{MODEL}/draft");
    let mut sent = caller_request(lab.entries[entry].address, &path, prompt);
    if let Some(key) = key {
        sent.headers_mut().insert("idempotency-key", key.parse().unwrap());
    }
    lab.client.call(sent, Duration::from_secs(20), 1_000_000).await.ok()
}

fn crash_count(lab: &mut Lab) -> usize {
    lab.engines.iter_mut().map(|engine| usize::from(engine.upstream.has_ended())).sum()
}

/// Guards against a request that crashes engine after engine. It was sent again by entries, which
/// may retry a request without a key, and by its caller under one key after another. Each attempt
/// was a new request to every entry, so that ten of ten engines crashed.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_is_refused_by_all_entries_whatever_its_key() {
    let options = LabOptions { agents: 10, entries: 2, ..LabOptions::default() };
    let (mut lab, _) = serving_lab(options).await;
    for round in 0..12 {
        let key = (round % 2 == 1).then(|| format!("key-{round}"));
        draft(&lab, round / 2 % 2, key.as_deref(), CRASH_PROMPT).await;
        let crashed = crash_count(&mut lab);
        assert!(
            crashed <= CRASH_LIMIT,
            "{crashed} engines crashed after {round} calls\n{}",
            lab.logs()
        );
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let before = crash_count(&mut lab);
    lab.restart_entry(1);
    let path = format!("/v1/models/{MODEL}/x");
    assert!(lab.wait_until_ready(&path, Duration::from_secs(20)).await, "{}", lab.logs());
    for entry in [0, 1] {
        for key in [None, Some("a-new-key")] {
            let answer =
                draft(&lab, entry, key, CRASH_PROMPT).await.expect("the refused call is answered");
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            assert_eq!(answer.headers["mustardrill-code"], "3005", "{body}\n{}", lab.logs());
            assert!(body.contains("\"run\":\"has-run\""), "{body}");
            assert!(answer.headers.contains_key("retry-after"), "{body}");
        }
        let other =
            draft(&lab, entry, None, "another prompt").await.expect("the other call is answered");
        assert_eq!(other.headers["mustardrill-code"], "1000", "{}", lab.logs());
    }
    assert_eq!(crash_count(&mut lab), before);
}

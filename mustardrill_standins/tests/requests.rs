//! Requests under failures of processes: each is answered completely and once, or refused with the
//! truth about whether it ran.

mod common;

use std::time::{Duration, Instant};

use common::{
    CHUNK, LONG, MODEL, SIZE, assert_truthful_answers, callers, keyed_callers, model_file,
    plain_file, rested_lab, runs, serving_lab,
};
use mustardrill_runtime::http::BufferedResponse;
use mustardrill_standins::lab::{Lab, LabOptions, OPERATOR_TOKEN, caller_request};
use mustardrill_standins::load::{LoadDriver, LoadOptions};

async fn call_desk(lab: &Lab, entry: usize, key: &str, body: &str) -> BufferedResponse {
    let mut sent = caller_request(lab.entries[entry].address, "/v1/services/desk/file", body);
    sent.headers_mut().insert("idempotency-key", key.parse().unwrap());
    lab.client.call(sent, Duration::from_secs(20), 1_000_000).await.unwrap()
}

fn result_code(answer: &BufferedResponse) -> &str {
    answer.headers["mustardrill-code"].to_str().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_notice_sent_twice_runs_once() {
    let (lab, _) = serving_lab(LabOptions { agents: 1, ..LabOptions::default() }).await;
    let first = call_desk(&lab, 0, "notice-1", "a hull").await;
    assert_eq!(result_code(&first), "1000");
    let again = call_desk(&lab, 1, "notice-1", "a hull").await;
    assert_eq!((result_code(&again), again.status.as_u16()), ("2015", 409));
    let other = call_desk(&lab, 1, "notice-2", "a mast").await;
    assert_eq!(result_code(&other), "1000");
    let run_counts = runs(&lab).await;
    assert!(
        run_counts.len() == 2 && run_counts.values().all(|count| *count == 1),
        "{run_counts:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_key_value_service_only_claims_are_refused() {
    let (lab, _) = serving_lab(LabOptions { agents: 2, ..LabOptions::default() }).await;
    lab.set_faults(lab.key_value.address, "down=1").await;
    let load = callers(&lab, 50.0);
    let refused = call_desk(&lab, 0, "notice-1", "a hull").await;
    assert_eq!(result_code(&refused), "2014");
    assert!(refused.headers.contains_key("retry-after"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let report = load.finish().await;
    assert_eq!(report.complete, report.sent, "{:?}", report.codes);
    lab.set_faults(lab.key_value.address, "").await;
    let mut last = String::new();
    for _ in 0..200 {
        last = result_code(&call_desk(&lab, 1, "notice-1", "a hull").await).to_owned();
        if last == "1000" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(last, "1000", "a call that was answered as not run must run when sent again");
    assert_eq!(runs(&lab).await.values().sum::<usize>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_claims_never_run_a_call_twice() {
    let (lab, _) = serving_lab(LabOptions { agents: 1, plain: 2, ..LabOptions::default() }).await;
    let load = keyed_callers(&lab, 100.0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    lab.set_faults(lab.key_value.address, "lose_answers=1").await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    lab.set_faults(lab.key_value.address, "").await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    let report = load.finish().await;
    let run_counts = runs(&lab).await;
    assert!(run_counts.values().all(|count| *count == 1), "{run_counts:?}");
    assert_eq!((report.wrong, report.lost), (0, 0));
    assert_eq!(run_counts.len() as u64, report.complete + report.unknown, "{:?}", report.codes);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_agent_loses_no_request_that_may_be_retried() {
    let (mut lab, _) = serving_lab(LabOptions { agents: 4, ..LabOptions::default() }).await;
    let load = callers(&lab, 200.0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    lab.engines[1].agent.kill();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let report = load.finish().await;
    assert_eq!((report.wrong, report.lost), (0, 0), "{:?}", report.codes);
    assert_eq!(report.complete, report.sent, "{:?}", report.codes);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_agents_never_run_a_claim_notice_twice() {
    let (mut lab, _) =
        serving_lab(LabOptions { agents: 1, plain: 3, ..LabOptions::default() }).await;
    let load = keyed_callers(&lab, 150.0);
    tokio::time::sleep(Duration::from_millis(400)).await;
    lab.plain[0].agent.kill();
    tokio::time::sleep(Duration::from_millis(400)).await;
    lab.plain[1].agent.suspend();
    tokio::time::sleep(Duration::from_millis(700)).await;
    lab.plain[1].agent.resume();
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_truthful_answers(&lab, load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_entry_runs_no_call_twice_after_it_resumes() {
    let (lab, _) = serving_lab(LabOptions { agents: 1, plain: 3, ..LabOptions::default() }).await;
    let load = keyed_callers(&lab, 150.0);
    tokio::time::sleep(Duration::from_millis(400)).await;
    lab.entries[0].suspend();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    lab.entries[0].resume();
    tokio::time::sleep(Duration::from_millis(700)).await;
    let report = load.finish().await;
    let run_counts = runs(&lab).await;
    assert!(run_counts.values().all(|count| *count == 1), "{run_counts:?}");
    assert_eq!(report.wrong, 0, "{:?}", report.codes);
    let run_count = run_counts.len() as u64;
    let may_have_run = report.complete + report.unknown + report.lost;
    assert!(run_count >= report.complete && run_count <= may_have_run, "{run_count} {report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_shard_coordinator_causes_delay_but_no_second_run() {
    let (lab, _) = serving_lab(LabOptions { agents: 3, plain: 2, ..LabOptions::default() }).await;
    let load = keyed_callers(&lab, 100.0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    // Agents of engines coordinate shards of claims as well; two of the five agents are suspended
    // and resumed.
    lab.engines[0].agent.suspend();
    lab.engines[1].agent.suspend();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    lab.engines[0].agent.resume();
    lab.engines[1].agent.resume();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_truthful_answers(&lab, load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_is_resumed_under_the_same_weights() {
    let (lab, _) = rested_lab(LabOptions { agents: 3, ..LabOptions::default() }).await;
    let load = callers(&lab, 100.0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    // This engine terminates every answer with an error after its first piece.
    lab.set_faults(lab.engines[0].upstream.address, "corrupt=1").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    lab.set_faults(lab.engines[0].upstream.address, "").await;
    let report = load.finish().await;
    assert_eq!(report.wrong, 0);
    assert_eq!(report.complete, report.sent, "{:?} lost {}", report.codes, report.lost);
}

/// The callers send as fast as the machine allows: no request is refused or lost because of the
/// rate alone.
#[tokio::test(flavor = "multi_thread")]
async fn many_callers_at_once_are_all_answered() {
    const CALLS: usize = 150;
    let capacity = ("upstream", "capacity = 256".to_owned());
    let options =
        LabOptions { agents: 1, plain: 2, agent_lines: vec![capacity], ..LabOptions::default() };
    let (lab, _) = serving_lab(options).await;
    let address = lab.entries[0].address;
    let callers: Vec<_> = (0..64)
        .map(|caller| {
            let client = lab.client.clone();
            tokio::spawn(async move {
                for call in 0..CALLS {
                    let body = format!("{caller}-{call}");
                    let sent = caller_request(address, "/v1/services/desk/x", &body);
                    let answer = client.call(sent, LONG, 1_000_000).await.unwrap();
                    assert_eq!(result_code(&answer), "1000", "{body}: {:?}", answer.body);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_from_other_weights_reaches_no_caller() {
    let (lab, digest) = rested_lab(LabOptions { agents: 3, ..LabOptions::default() }).await;
    lab.set_faults(lab.engines[0].upstream.address, "wrong_weights=1").await;
    let load = callers(&lab, 100.0);
    tokio::time::sleep(Duration::from_millis(800)).await;
    let report = load.finish().await;
    assert_eq!((report.wrong, report.lost), (0, 0));
    assert_eq!(report.complete, report.sent, "{:?}", report.codes);
    assert_eq!(report.weights.keys().collect::<Vec<_>>(), [&digest]);
    assert!(lab.logs().contains("reason=wrong-weights"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request() {
    let options = LabOptions { agents: 4, plain: 2, plain_ms: 40, ..LabOptions::default() };
    let (mut lab, _) = rested_lab(options).await;
    let load = callers(&lab, 200.0);
    // A keyed request that ran must not run again, so a retry cannot hide a connection that was
    // cut.
    let keyed = keyed_callers(&lab, 100.0);
    tokio::time::sleep(Duration::from_millis(400)).await;
    lab.engines[2].agent.terminate();
    lab.plain[1].agent.terminate();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let before = lab.runs(&lab.engines[2]).await.len();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        lab.runs(&lab.engines[2]).await.len(),
        before,
        "the stopping agent got a new request after two seconds"
    );
    let report = load.finish().await;
    assert_eq!(report.complete, report.sent, "{:?} lost {}", report.codes, report.lost);
    let report = keyed.finish().await;
    assert_eq!(report.complete, report.sent, "{:?} lost {}", report.codes, report.lost);
    for _ in 0..500 {
        if lab.engines[2].agent.has_ended() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the agent did not exit in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_completes_its_requests() {
    let options = LabOptions { agents: 2, pieces: (8, 60), ..LabOptions::default() };
    let (mut lab, digest) = serving_lab(options).await;
    let sent = caller_request(lab.entries[1].address, "/v1/models/drafts/draft", "a long one");
    let client = lab.client.clone();
    let call = tokio::spawn(async move { client.call(sent, LONG, 1_000_000).await });
    tokio::time::sleep(Duration::from_millis(150)).await;
    lab.entries[1].terminate();
    let answer = call.await.unwrap().unwrap();
    assert_eq!(answer.body, mustardrill_standins::engine::answer_text(&digest, "a long one", 8));
    for _ in 0..500 {
        if lab.entries[1].has_ended() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the entry did not exit in time");
}

/// The process ended when its time for a stop was over, and open requests with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_leaves_a_long_request_without_an_answer() {
    const DRAIN: Duration = Duration::from_secs(2);
    let options = LabOptions {
        agents: 1,
        plain: 1,
        plain_ms: 3_500,
        entry_lines: vec![("entry", "drain = 2s".into())],
        ..LabOptions::default()
    };
    let (mut lab, _) = serving_lab(options).await;
    let address = lab.entries[1].address;
    let calls = ["", "notice-long"].map(|key| {
        let mut sent = caller_request(address, "/v1/services/desk/file", "a long one");
        if !key.is_empty() {
            sent.headers_mut().insert("idempotency-key", key.parse().unwrap());
        }
        let client = lab.client.clone();
        tokio::spawn(async move { client.call(sent, LONG, 1_000_000).await })
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let stopped_at = Instant::now();
    lab.entries[1].terminate();
    for call in calls {
        let answer = call.await.unwrap();
        let answer = answer.unwrap_or_else(|error| panic!("{error}\n{}", lab.logs()));
        assert_eq!((result_code(&answer), answer.status.as_u16()), ("3001", 502));
    }
    while !lab.entries[1].has_ended() {
        assert!(stopped_at.elapsed() < DRAIN + Duration::from_secs(1), "it does not end");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_switch_between_two_heartbeats_refuses_nobody() {
    // All upstreams switch long before an entry learns of it by a heartbeat.
    let options = LabOptions {
        entry_lines: vec![("routing", "sync_every = 2s".into())],
        ..LabOptions::default()
    };
    let (lab, _) = rested_lab(options).await;
    let v2 = lab.publish(MODEL, "v2", SIZE, CHUNK, 2).await;
    let load = callers(&lab, 200.0);
    assert_eq!(lab.apply_catalogue(0, &model_file("v2", 1, 4)).await.0, 200);
    assert!(lab.wait_until_serving(&v2, 4, LONG).await.is_some(), "v2 was never served");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let report = load.finish().await;
    assert_eq!((report.wrong, report.lost, report.unknown), (0, 0, 0), "{:?}", report.codes);
    assert_eq!(report.complete, report.sent, "{:?}", report.codes);
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_share_a_limit_by_demand() {
    const LIMIT: f64 = 50.0;
    let options = LabOptions { agents: 1, plain: 2, entries: 3, ..LabOptions::default() };
    let (lab, _) = serving_lab(options).await;
    let (_, body) = lab.call_operator(0, "GET", "/v1/catalogue?json=1", "", OPERATOR_TOKEN).await;
    let revision = body["catalogue"]["entries"]["desk"]["revision"].as_u64().unwrap();
    let text = plain_file()
        .replace("requests_per_second = 100000", &format!("requests_per_second = {LIMIT}"))
        .replace("[plain desk]\n", &format!("[plain desk]\nrevision = {revision}\n"));
    let (status, body) = lab.apply_catalogue(0, &text).await;
    assert_eq!(status, 200, "{body}");
    // Four of five calls use one entry, at four times the rate that the limit allows.
    let address = |place: usize| lab.entries[place].address;
    let entries = vec![address(0), address(0), address(0), address(0), address(1)];
    let options = LoadOptions {
        entries,
        path: "/v1/services/desk/x".into(),
        rate: LIMIT * 4.0,
        pieces: None,
        has_idempotency_key: false,
        timeout: Duration::from_secs(5),
    };
    let load = LoadDriver::spawn(lab.client.clone(), options);
    tokio::time::sleep(Duration::from_secs(3)).await;
    load.reset();
    let started = Instant::now();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let report = load.report();
    let allowed = LIMIT * started.elapsed().as_secs_f64();
    load.finish().await;
    let share = report.complete as f64 / allowed;
    assert!((0.6..=1.4).contains(&share), "{share} of the limit was admitted: {report:?}");
    assert!(report.codes.keys().all(|result_code| result_code == "2010"), "{:?}", report.codes);
}

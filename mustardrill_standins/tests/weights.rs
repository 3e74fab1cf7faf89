//! Distribution of weights under failures: no engine loads a wrong byte, and the origin sends no
//! more than needed.

mod common;

use std::time::Duration;

use common::{CHUNK, LONG, MODEL, SIZE, callers, model_file, serving_lab};
use mustardrill_standins::lab::{Lab, LabOptions};

/// Options of a lab whose links are slow enough that a burst takes about a second.
fn rate_limited_options(agents: usize) -> LabOptions {
    LabOptions {
        agents,
        machine_rate: SIZE,
        origin_rate: SIZE * 2,
        agent_lines: vec![
            ("weights", "stall_after = 400ms".into()),
            ("weights", "chunk_patience = 400ms".into()),
        ],
        ..LabOptions::default()
    }
}

/// Checks that every engine serves one of the given versions, if any.
async fn assert_known_weights(lab: &Lab, digests: &[&str]) {
    for engine in &lab.engines {
        if let Some(serving) = lab.serving_of(engine).await {
            assert!(
                digests.contains(&serving.as_str()),
                "an engine serves unpublished weights {serving}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn eight_of_ten_agents_get_the_weights_after_two_are_killed_half_way() {
    // The time-outs are long enough that a busy machine is not taken for a stalled one: only the
    // killed processes may cause repeated transfers.
    let mut options = rate_limited_options(10);
    options.agent_lines =
        vec![("weights", "stall_after = 3s".into()), ("weights", "chunk_patience = 3s".into())];
    let (mut lab, v1) = serving_lab(options).await;
    let v2 = lab.publish(MODEL, "v2", SIZE, CHUNK, 2).await;
    let before = lab.origin_sent().await;
    assert_eq!(lab.apply_catalogue(0, &model_file("v2", 1, 10)).await.0, 200);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for place in [3, 7] {
        lab.engines[place].agent.kill();
        lab.engines[place].upstream.kill();
    }
    assert!(
        lab.wait_until_serving(&v2, 8, LONG).await.is_some(),
        "the other engines did not serve v2 in time"
    );
    let share = (lab.origin_sent().await - before) as f64 / SIZE as f64;
    assert!(share <= 1.25, "the origin sent {share} copies");
    assert_known_weights(&lab, &[&v1, &v2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_completes_while_the_key_value_service_is_down() {
    let (lab, _) = serving_lab(rate_limited_options(4)).await;
    let v2 = lab.publish(MODEL, "v2", SIZE, CHUNK, 2).await;
    assert_eq!(lab.apply_catalogue(0, &model_file("v2", 1, 4)).await.0, 200);
    lab.set_faults(lab.key_value.address, "down=1").await;
    let load = callers(&lab, 50.0);
    // The outage lasts longer than the leases of three seconds.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    assert!(lab.wait_until_serving(&v2, 4, LONG).await.is_some(), "v2 was not served in time");
    let report = load.finish().await;
    assert_eq!((report.wrong, report.lost, report.unknown), (0, 0, 0), "{:?}", report.codes);
    assert_eq!(report.complete, report.sent, "{:?}", report.codes);
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_bytes_at_the_origin_are_never_loaded() {
    let (lab, v1) = serving_lab(rate_limited_options(4)).await;
    let v2 = lab.publish(MODEL, "v2", SIZE, CHUNK, 2).await;
    lab.set_faults(lab.origin.address, "corrupt=1").await;
    assert_eq!(lab.apply_catalogue(0, &model_file("v2", 1, 4)).await.0, 200);
    let load = callers(&lab, 50.0);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let serving = lab.serving().await;
    assert!(serving.iter().flatten().all(|digest| *digest == v1), "{serving:?}");
    let mut troubles = Vec::new();
    for engine in &lab.engines {
        let status = lab.agent_status(engine).await;
        troubles.push(status["versions"][0]["trouble"].as_str().unwrap_or_default().to_owned());
    }
    assert!(troubles.iter().any(|it| it.contains("another digest")), "{troubles:?}");
    lab.set_faults(lab.origin.address, "").await;
    assert!(lab.wait_until_serving(&v2, 4, LONG).await.is_some(), "v2 was not served in time");
    let report = load.finish().await;
    assert_eq!((report.wrong, report.lost), (0, 0), "{:?}", report.codes);
    assert_eq!(report.complete, report.sent, "{:?}", report.codes);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_origin_and_a_suspended_agent_only_delay_a_burst() {
    let (lab, v1) = serving_lab(rate_limited_options(6)).await;
    let v2 = lab.publish(MODEL, "v2", SIZE, CHUNK, 2).await;
    assert_eq!(lab.apply_catalogue(0, &model_file("v2", 1, 6)).await.0, 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    lab.set_faults(lab.origin.address, "stall=1").await;
    lab.engines[2].agent.suspend();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    lab.set_faults(lab.origin.address, "").await;
    assert!(
        lab.wait_until_serving(&v2, 5, LONG).await.is_some(),
        "the other engines did not serve v2 in time"
    );
    lab.engines[2].agent.resume();
    assert!(
        lab.wait_until_serving(&v2, 6, LONG).await.is_some(),
        "the suspended agent's engine did not serve v2 in time"
    );
    assert_known_weights(&lab, &[&v1, &v2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_was_cut_off_completes_the_burst_afterwards() {
    let (lab, v1) = serving_lab(rate_limited_options(8)).await;
    let v2 = lab.publish(MODEL, "v2", SIZE, CHUNK, 2).await;
    let before = lab.origin_sent().await;
    assert_eq!(lab.apply_catalogue(0, &model_file("v2", 1, 8)).await.0, 200);
    tokio::time::sleep(Duration::from_millis(400)).await;
    // Every other agent is in the second data centre; while suspended, it answers nobody.
    let cut = || lab.engines.iter().skip(1).step_by(2);
    cut().for_each(|engine| engine.agent.suspend());
    assert!(
        lab.wait_until_serving(&v2, 4, LONG).await.is_some(),
        "the first data centre did not serve v2 in time"
    );
    cut().for_each(|engine| engine.agent.resume());
    assert!(
        lab.wait_until_serving(&v2, 8, LONG).await.is_some(),
        "the second data centre did not serve v2 in time"
    );
    let share = (lab.origin_sent().await - before) as f64 / SIZE as f64;
    assert!(share <= 2.0, "the origin sent {share} copies");
    assert_known_weights(&lab, &[&v1, &v2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newer_version_supersedes_one_half_way_through_its_burst() {
    let (lab, v1) = serving_lab(rate_limited_options(4)).await;
    let v2 = lab.publish(MODEL, "v2", SIZE, CHUNK, 2).await;
    let v3 = lab.publish(MODEL, "v3", SIZE, CHUNK, 3).await;
    assert_eq!(lab.apply_catalogue(0, &model_file("v2", 1, 4)).await.0, 200);
    let load = callers(&lab, 50.0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(lab.apply_catalogue(1, &model_file("v3", 2, 4)).await.0, 200);
    assert!(lab.wait_until_serving(&v3, 4, LONG).await.is_some(), "v3 was not served in time");
    assert_known_weights(&lab, &[&v1, &v2, &v3]).await;
    let report = load.finish().await;
    assert_eq!((report.wrong, report.lost, report.unknown), (0, 0, 0), "{:?}", report.codes);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_joins_during_a_burst_gets_the_weights() {
    let (mut lab, _) = serving_lab(rate_limited_options(4)).await;
    let v2 = lab.publish(MODEL, "v2", SIZE, CHUNK, 2).await;
    lab.add_engine();
    lab.publish_instances().await;
    assert!(lab.wait_for_agents(0, 6, LONG).await);
    assert_eq!(lab.apply_catalogue(0, &model_file("v2", 1, 5)).await.0, 200);
    tokio::time::sleep(Duration::from_millis(400)).await;
    lab.add_engine();
    lab.publish_instances().await;
    assert!(lab.wait_until_serving(&v2, 5, LONG).await.is_some(), "v2 was not served in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn weights_above_the_staging_limit_are_refused_with_the_size() {
    let limit = ("weights", "staging_limit = 3MB".to_owned());
    let (lab, v1) =
        serving_lab(LabOptions { agents: 2, agent_lines: vec![limit], ..LabOptions::default() })
            .await;
    lab.publish(MODEL, "v2", 4_000_000, CHUNK, 2).await;
    assert_eq!(lab.apply_catalogue(0, &model_file("v2", 1, 2)).await.0, 200);
    let mut trouble = String::new();
    for _ in 0..500 {
        let status = lab.agent_status(&lab.engines[0]).await;
        trouble = status["versions"][0]["trouble"].as_str().unwrap_or_default().to_owned();
        if !trouble.is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(trouble.contains("needs 4000000B"), "{trouble}");
    assert_eq!(lab.serving().await, [Some(v1.clone()), Some(v1)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_status_shows_an_estimate_only_during_a_burst() {
    // The links need three seconds for the weights; a status is received twice a second.
    let (lab, _) =
        serving_lab(LabOptions { machine_rate: SIZE / 3, ..rate_limited_options(4) }).await;
    let v2 = lab.publish(MODEL, "v2", SIZE, CHUNK, 2).await;
    assert_eq!(lab.apply_catalogue(0, &model_file("v2", 1, 4)).await.0, 200);
    assert!(
        wait_for_status(&lab, |model| model.contains("; fetched in about")).await,
        "the status shows no estimate"
    );
    assert!(lab.wait_until_serving(&v2, 4, LONG).await.is_some(), "v2 was not served in time");
    let is_over = |model: &str| model.contains("4 serving") && !model.contains("fetched in");
    assert!(wait_for_status(&lab, is_over).await, "the status shows an estimate after the burst");
}

/// Waits until the model's line of `status` satisfies the predicate; returns false after `LONG`.
async fn wait_for_status(lab: &Lab, is_expected: impl Fn(&str) -> bool) -> bool {
    let poll_status = async {
        loop {
            let (_, text) = lab.run_catalogue_command(0, &["status"]);
            if text.lines().any(|line| line.starts_with("model") && is_expected(line)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(LONG, poll_status).await.is_ok()
}

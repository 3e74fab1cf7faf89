//! Set-up, load and checks that the tests between processes share.
#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::BTreeMap;
use std::time::Duration;

use mustardrill_standins::lab::{Lab, LabOptions};
use mustardrill_standins::load::{LoadDriver, LoadOptions, LoadReport};

/// Name of the model that the tests publish and call.
pub const MODEL: &str = "drafts";

/// Number of pieces of a complete engine answer.
pub const PIECES: u64 = 8;

/// Time-out that only a defect exceeds, also on a busy machine.
pub const LONG: Duration = Duration::from_secs(60);

/// Size of the weights of a version, in bytes.
pub const SIZE: u64 = 2_000_000;

/// Size of a chunk, in bytes.
pub const CHUNK: u64 = 1 << 15;

/// Returns the model's section of an operator's edit file; a `revision` of 0 leaves that key out.
pub fn model_file(version: &str, revision: u64, replicas: usize) -> String {
    let revision = if revision > 0 { format!("revision = {revision}\n") } else { String::new() };
    format!(
        "[model {MODEL}]\n{revision}service = mustard-pool\nowner = ana\nclass = urgent\n\
         callers = comedor\nrequests_per_second = 100000\nin_flight = 500\nversion = {version}\n\
         replicas = {replicas}\n"
    )
}

/// Returns the plain service's section of an operator's edit file.
pub fn plain_file() -> String {
    "[plain desk]\nservice = records-desk\nowner = ana\nclass = standard\ncallers = all\n\
     requests_per_second = 100000\nin_flight = 500\n"
        .into()
}

/// Starts a lab that serves version v1 of the model and the plain service; returns v1's digest as
/// well.
pub async fn serving_lab(options: LabOptions) -> (Lab, String) {
    let agents = options.agents;
    let lab = Lab::spawn(options).await;
    let digest = lab.publish(MODEL, "v1", SIZE, CHUNK, 1).await;
    assert!(
        lab.wait_for_agents(0, agents + 1, LONG).await,
        "the entries did not receive all agents"
    );
    let file = format!("{}\n{}", model_file("v1", 0, agents), plain_file());
    let (status, body) = lab.apply_catalogue(0, &file).await;
    assert_eq!(status, 200, "{body}");
    assert!(lab.wait_until_serving(&digest, agents, LONG).await.is_some(), "v1 was never served");
    assert!(
        lab.wait_until_ready(&format!("/v1/models/{MODEL}/x"), LONG).await,
        "the entries were not ready in time"
    );
    assert!(
        lab.wait_until_ready("/v1/services/desk/x", LONG).await,
        "the entries were not ready in time"
    );
    (lab, digest)
}

/// A serving lab whose entries have been there long enough to spend their reserve of retries.
pub async fn rested_lab(options: LabOptions) -> (Lab, String) {
    let serving = serving_lab(options).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    serving
}

/// Starts `rate` calls of the model a second, with a time-out of 5 s.
pub fn callers(lab: &Lab, rate: f64) -> LoadDriver {
    callers_within(lab, rate, Duration::from_secs(5))
}

/// Starts `rate` calls of the model a second, with the given time-out.
pub fn callers_within(lab: &Lab, rate: f64, timeout: Duration) -> LoadDriver {
    let entries = lab.entries.iter().map(|entry| entry.address).collect();
    LoadDriver::spawn(
        lab.client.clone(),
        LoadOptions {
            entries,
            path: format!("/v1/models/{MODEL}/draft"),
            rate,
            pieces: Some(PIECES),
            has_idempotency_key: false,
            timeout,
        },
    )
}

/// Starts `rate` calls of the plain service a second, each with an idempotency key of its own.
pub fn keyed_callers(lab: &Lab, rate: f64) -> LoadDriver {
    let entries = lab.entries.iter().map(|entry| entry.address).collect();
    LoadDriver::spawn(
        lab.client.clone(),
        LoadOptions {
            entries,
            path: "/v1/services/desk/file".into(),
            rate,
            pieces: None,
            has_idempotency_key: true,
            timeout: Duration::from_secs(3),
        },
    )
}

/// Counts the runs of each call over all plain services, without the readiness probes.
pub async fn runs(lab: &Lab) -> BTreeMap<String, usize> {
    let mut run_counts = BTreeMap::new();
    for plain in &lab.plain {
        for run in lab.runs(plain).await.into_iter().filter(|run| run != "ready?") {
            *run_counts.entry(run).or_default() += 1;
        }
    }
    run_counts
}

/// Stops keyed callers and compares their answers with the runs: no call ran twice, and none ran
/// that was answered as not run.
pub async fn assert_truthful_answers(lab: &Lab, load: LoadDriver) -> LoadReport {
    let report = load.finish().await;
    let run_counts = runs(lab).await;
    assert!(run_counts.values().all(|count| *count == 1), "{run_counts:?}");
    assert_eq!((report.wrong, report.lost), (0, 0), "{:?}", report.codes);
    let run_count = run_counts.len() as u64;
    assert!(
        run_count >= report.complete && run_count <= report.complete + report.unknown,
        "{run_count} {report:?}"
    );
    report
}

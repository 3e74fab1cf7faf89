//! What the tests between processes share.
#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::BTreeMap;
use std::time::Duration;

use mustardrill_standins::lab::{Lab, LabOptions};
use mustardrill_standins::load::{LoadDriver, LoadOptions, LoadReport};

/// The model of the tests.
pub const MODEL: &str = "drafts";

/// The pieces of an engine's answer.
pub const PIECES: u64 = 8;

/// A wait that only a broken build exceeds.
pub const LONG: Duration = Duration::from_secs(60);

/// The size of the weights.
pub const SIZE: u64 = 2_000_000;

/// The size of a chunk.
pub const CHUNK: u64 = 1 << 15;

/// The model as an operator's file.
pub fn model_file(version: &str, revision: u64, replicas: usize) -> String {
    let revision = if revision > 0 { format!("revision = {revision}\n") } else { String::new() };
    format!(
        "[model {MODEL}]\n{revision}service = mustard-pool\nowner = ana\nclass = urgent\n\
         callers = comedor\nrequests_per_second = 100000\nin_flight = 500\nversion = {version}\n\
         replicas = {replicas}\n"
    )
}

/// The plain service as an operator's file.
pub fn plain_file() -> String {
    "[plain desk]\nservice = records-desk\nowner = ana\nclass = standard\ncallers = all\n\
     requests_per_second = 100000\nin_flight = 500\n"
        .into()
}

/// A lab that serves the model at version v1 and the plain service; returns v1's digest too.
pub async fn serving_lab(options: LabOptions) -> (Lab, String) {
    let agents = options.agents;
    let lab = Lab::spawn(options).await;
    let digest = lab.publish(MODEL, "v1", SIZE, CHUNK, 1).await;
    assert!(lab.wait_for_agents(0, agents + 1, LONG).await, "the entries never saw the fleet");
    let file = format!("{}\n{}", model_file("v1", 0, agents), plain_file());
    let (status, body) = lab.apply_catalogue(0, &file).await;
    assert_eq!(status, 200, "{body}");
    assert!(lab.wait_until_serving(&digest, agents, LONG).await.is_some(), "v1 was never served");
    assert!(lab.wait_until_ready(&format!("/v1/models/{MODEL}/x"), LONG).await, "never ready");
    assert!(lab.wait_until_ready("/v1/services/desk/x", LONG).await, "never ready");
    (lab, digest)
}

/// Callers of the model.
pub fn callers(lab: &Lab, rate: f64) -> LoadDriver {
    callers_within(lab, rate, Duration::from_secs(5))
}

/// Callers of the model that wait this long.
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

/// Callers of the plain service, with a key for each request.
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

/// How often each call was run by the plain services.
pub async fn runs(lab: &Lab) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for plain in &lab.plain {
        for run in lab.runs(plain).await.into_iter().filter(|run| run != "ready?") {
            *counts.entry(run).or_default() += 1;
        }
    }
    counts
}

/// Ends callers with keys and holds what they were told against what ran: nothing twice, nothing
/// that was told "not run".
pub async fn told_the_truth(lab: &Lab, load: LoadDriver) -> LoadReport {
    let report = load.finish().await;
    let counts = runs(lab).await;
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
    assert_eq!((report.wrong, report.lost), (0, 0), "{:?}", report.codes);
    let ran = counts.len() as u64;
    assert!(ran >= report.complete && ran <= report.complete + report.unknown, "{ran} {report:?}");
    report
}

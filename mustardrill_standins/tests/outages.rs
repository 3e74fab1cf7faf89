//! The key-value service flapping, slow and losing answers, under requests, claims and edits.

mod common;

use std::time::Duration;

use common::{callers, keyed_callers, plain_file, serving_lab, told_the_truth};
use mustardrill_standins::lab::{Lab, LabOptions, OPERATOR_TOKEN};

/// What the service does in turn, each for `PHASE`, with good times between.
const TROUBLES: [&str; 6] =
    ["down=1", "lose_writes=1", "delay_ms=200", "down=1", "lose_answers=1", "delay_ms=700"];

const PHASE: Duration = Duration::from_millis(400);

/// What an operator was told of an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Accepted,
    Refused,
    NotYetKnown,
}

async fn flap(lab: &Lab) {
    for trouble in TROUBLES {
        lab.set_faults(lab.key_value.address, trouble).await;
        tokio::time::sleep(PHASE).await;
        lab.set_faults(lab.key_value.address, "").await;
        tokio::time::sleep(PHASE / 2).await;
    }
}

/// An edit of the plain service from whatever revision it has now; returns what was told.
async fn edit(lab: &Lab, number: u64) -> Told {
    let (_, body) = lab.call_operator(0, "GET", "/v1/catalogue?json=1", "", OPERATOR_TOKEN).await;
    let Some(revision) = body["catalogue"]["entries"]["desk"]["revision"].as_u64() else {
        return Told::Refused;
    };
    let text = plain_file()
        .replace("[plain desk]", &format!("[plain desk]\nrevision = {revision}"))
        .replace("in_flight = 500", &format!("in_flight = {}", 400 + number));
    let path = format!("/v1/catalogue/edits?id={}", edit_id(number));
    told(lab.call_operator(number as usize % 2, "POST", &path, &text, OPERATOR_TOKEN).await.0)
}

fn edit_id(number: u64) -> String {
    format!("{:04x}", 0xa000 + number)
}

fn told(status: u16) -> Told {
    match status {
        200 => Told::Accepted,
        202 => Told::NotYetKnown,
        _ => Told::Refused,
    }
}

/// What is told of an edit in quiet times.
async fn settle(lab: &Lab, number: u64) -> Told {
    let path = format!("/v1/catalogue/edits/{}", edit_id(number));
    for _ in 0..200 {
        let answer = told(lab.call_operator(1, "GET", &path, "", OPERATOR_TOKEN).await.0);
        if answer != Told::NotYetKnown {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Told::NotYetKnown
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_and_claims_are_told_the_truth_while_it_flaps() {
    let (lab, _) = serving_lab(LabOptions { agents: 3, plain: 2, ..LabOptions::default() }).await;
    let load = callers(&lab, 100.0);
    let keyed = keyed_callers(&lab, 100.0);
    flap(&lab).await;
    tokio::time::sleep(PHASE).await;
    let report = load.finish().await;
    assert_eq!(report.complete, report.sent, "{:?} lost {}", report.codes, report.lost);
    let report = told_the_truth(&lab, keyed).await;
    assert!(
        report.complete > 0 && report.not_run > 0,
        "both good and bad times were met: {report:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn edits_are_told_the_truth_while_it_flaps() {
    let patience = ("edits", "patience = 600ms".to_owned());
    let options = LabOptions { agents: 1, entry_lines: vec![patience], ..LabOptions::default() };
    let (lab, _) = serving_lab(options).await;
    let mut answers = Vec::new();
    let editing = async {
        for number in 0..10 {
            answers.push(edit(&lab, number).await);
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    tokio::join!(flap(&lab), editing);
    let mut accepted = 0;
    for (number, answer) in answers.iter().enumerate() {
        let settled = settle(&lab, number as u64).await;
        match answer {
            Told::Accepted => assert_eq!(settled, Told::Accepted, "{number} reverted: {answers:?}"),
            Told::Refused => assert_eq!(settled, Told::Refused, "{number}: {answers:?}"),
            Told::NotYetKnown => assert_ne!(settled, Told::NotYetKnown, "{number} is never known"),
        }
        accepted += u64::from(settled == Told::Accepted);
    }
    assert!(accepted > 0, "{answers:?}");
    // One generation for the lab's own edit and one for each accepted one: none was made twice.
    let (_, body) = lab.call_operator(0, "GET", "/v1/catalogue?json=1", "", OPERATOR_TOKEN).await;
    assert_eq!(body["catalogue"]["generation"].as_u64(), Some(accepted + 1), "{answers:?}");
}

//! The catalogue between processes: in force everywhere, never reverting, settled after outages.

mod common;

use std::time::Duration;

use common::{LONG, model_file, plain_file, serving_lab};
use mustardrill_standins::lab::{LabOptions, OPERATOR_TOKEN, SECOND_OPERATOR_TOKEN};

fn small() -> LabOptions {
    LabOptions { agents: 2, ..LabOptions::default() }
}

/// The plain service with another limit.
fn desk(revision: u64, in_flight: u32) -> String {
    let text =
        plain_file().replace("[plain desk]", &format!("[plain desk]\nrevision = {revision}"));
    text.replace("in_flight = 500", &format!("in_flight = {in_flight}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_edit_is_in_force_everywhere() {
    let (lab, _) = serving_lab(small()).await;
    let (status, body) = lab.apply_catalogue(0, &desk(1, 400)).await;
    assert_eq!((status, body["generation"].as_u64()), (200, Some(2)), "{body}");
    for entry in 0..2 {
        assert!(
            lab.wait_until_in_force(entry, 2, LONG).await,
            "never in force at what {entry} sees"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_one_is_told_what_the_other_changed() {
    let (lab, _) = serving_lab(small()).await;
    let (first, second) = (desk(1, 400), desk(1, 300));
    let (left, right) =
        tokio::join!(lab.apply_catalogue(0, &first), lab.apply_catalogue(1, &second));
    let (won, lost) = if left.0 == 200 { (left, right) } else { (right, left) };
    assert_eq!((won.0, lost.0), (200, 409), "{won:?} {lost:?}");
    let refusal = &lost.1["refusals"][0];
    assert_eq!(refusal["rule"], 5121, "{lost:?}");
    assert!(refusal["message"].as_str().unwrap().contains("in_flight: 500 ->"), "{lost:?}");
    // On different entries both are accepted, whichever comes first.
    let (left, right) = (model_file("v1", 1, 1), desk(2, 250));
    let (left, right) = tokio::join!(lab.apply_catalogue(0, &left), lab.apply_catalogue(1, &right));
    assert_eq!((left.0, right.0), (200, 200), "{left:?} {right:?}");
    let (path, revision) = ("/v1/catalogue/edits", right.1["generation"].as_u64().unwrap());
    let text = desk(revision, 100);
    let (status, body) = lab.call_operator(1, "POST", path, &text, SECOND_OPERATOR_TOKEN).await;
    assert_eq!((status, &body["refusals"][0]["rule"]), (409, &5104.into()), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_settled_by_the_edits_id() {
    let patience = ("edits", "patience = 1s".to_owned());
    let (lab, _) = serving_lab(LabOptions { entry_lines: vec![patience], ..small() }).await;
    lab.set_faults(lab.key_value.address, "lose_answers=1").await;
    let path = "/v1/catalogue/edits?id=77aa";
    let (status, body) = lab.call_operator(0, "POST", path, &desk(1, 400), OPERATOR_TOKEN).await;
    // Nothing was read, so nothing was written: the answer is a refusal that holds.
    assert_eq!((status, body["outcome"].as_str()), (409, Some("refused")), "{body}");
    lab.set_faults(lab.key_value.address, "").await;
    let (status, body) = lab.call_operator(0, "POST", path, &desk(1, 400), OPERATOR_TOKEN).await;
    assert_eq!((status, body["generation"].as_u64()), (200, Some(2)), "{body}");
    // The answer to the write alone is lost: reads go on.
    lab.set_faults(lab.key_value.address, "lose_writes=1").await;
    let path = "/v1/catalogue/edits?id=77bb";
    let (status, body) = lab.call_operator(1, "POST", path, &desk(2, 300), OPERATOR_TOKEN).await;
    assert_eq!((status, body["generation"].as_u64()), (200, Some(3)), "{body}");
    lab.set_faults(lab.key_value.address, "").await;
    let (status, body) =
        lab.call_operator(0, "GET", "/v1/catalogue/edits/77bb", "", OPERATOR_TOKEN).await;
    assert_eq!((status, body["generation"].as_u64()), (200, Some(3)), "{body}");
    let (status, body) = lab.call_operator(0, "POST", path, &desk(2, 300), OPERATOR_TOKEN).await;
    assert_eq!((status, body["generation"].as_u64()), (200, Some(3)), "sent again: {body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_during_an_outage_learns_the_catalogue_from_agents() {
    let (mut lab, digest) = serving_lab(small()).await;
    assert_eq!(lab.apply_catalogue(0, &desk(1, 400)).await.0, 200);
    assert!(lab.wait_until_in_force(0, 2, LONG).await);
    lab.set_faults(lab.key_value.address, "down=1").await;
    lab.entries[1].kill();
    lab.restart_entry(1);
    assert!(lab.wait_until_in_force(1, 2, LONG).await, "the new entry never learned generation 2");
    assert!(lab.wait_until_ready("/v1/models/drafts/x", LONG).await, "the new entry never served");
    assert!(lab.serving().await.iter().flatten().all(|it| *it == digest));
    let (status, body) = lab.apply_catalogue(1, &desk(2, 300)).await;
    assert_eq!((status, body["outcome"].as_str()), (409, Some("refused")), "{body}");
    lab.set_faults(lab.key_value.address, "").await;
    let mut accepted = false;
    for _ in 0..100 {
        accepted = lab.apply_catalogue(1, &desk(2, 300)).await.0 == 200;
        if accepted {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(accepted, "edits never went on after the outage");
}

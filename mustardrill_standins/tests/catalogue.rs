//! The catalogue between processes: an edit comes into force everywhere, is never reverted, and its
//! outcome is known after an outage.

mod common;

use std::time::Duration;

use common::{LONG, model_file, plain_file, serving_lab};
use mustardrill_standins::lab::{LabOptions, OPERATOR_TOKEN, SECOND_OPERATOR_TOKEN};

fn small_lab_options() -> LabOptions {
    LabOptions { agents: 2, ..LabOptions::default() }
}

/// Returns an edit of the plain service's limit `in_flight`.
fn desk_edit(revision: u64, in_flight: u32) -> String {
    let text =
        plain_file().replace("[plain desk]", &format!("[plain desk]\nrevision = {revision}"));
    text.replace("in_flight = 500", &format!("in_flight = {in_flight}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_edit_is_in_force_everywhere() {
    let (lab, _) = serving_lab(small_lab_options()).await;
    let (status, body) = lab.apply_catalogue(0, &desk_edit(1, 400)).await;
    assert_eq!((status, body["generation"].as_u64()), (200, Some(2)), "{body}");
    for entry in 0..2 {
        assert!(
            lab.wait_until_in_force(entry, 2, LONG).await,
            "entry {entry} did not see generation 2 in force"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_edits_one_is_refused_with_the_change_of_the_other() {
    let (lab, _) = serving_lab(small_lab_options()).await;
    let (first, second) = (desk_edit(1, 400), desk_edit(1, 300));
    let (first_result, second_result) =
        tokio::join!(lab.apply_catalogue(0, &first), lab.apply_catalogue(1, &second));
    let (accepted_result, refused_result) = if first_result.0 == 200 {
        (first_result, second_result)
    } else {
        (second_result, first_result)
    };
    assert_eq!(
        (accepted_result.0, refused_result.0),
        (200, 409),
        "{accepted_result:?} {refused_result:?}"
    );
    let refusal = &refused_result.1["refusals"][0];
    assert_eq!(refusal["rule"], 5121, "{refused_result:?}");
    assert!(
        refusal["message"].as_str().unwrap().contains("in_flight: 500 ->"),
        "{refused_result:?}"
    );
    // Edits of different catalogue entries are both accepted, in either order.
    let (first_edit, second_edit) = (model_file("v1", 1, 1), desk_edit(2, 250));
    let (first_result, second_result) =
        tokio::join!(lab.apply_catalogue(0, &first_edit), lab.apply_catalogue(1, &second_edit));
    assert_eq!((first_result.0, second_result.0), (200, 200), "{first_result:?} {second_result:?}");
    let (path, revision) = ("/v1/catalogue/edits", second_result.1["generation"].as_u64().unwrap());
    let text = desk_edit(revision, 100);
    let (status, body) = lab.call_operator(1, "POST", path, &text, SECOND_OPERATOR_TOKEN).await;
    assert_eq!((status, &body["refusals"][0]["rule"]), (409, &5104.into()), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_of_an_edit_whose_answer_was_lost_is_found_by_its_id() {
    let edit_timeout = ("edits", "patience = 1s".to_owned());
    let (lab, _) =
        serving_lab(LabOptions { entry_lines: vec![edit_timeout], ..small_lab_options() }).await;
    lab.set_faults(lab.key_value.address, "lose_answers=1").await;
    let path = "/v1/catalogue/edits?id=77aa";
    let (status, body) =
        lab.call_operator(0, "POST", path, &desk_edit(1, 400), OPERATOR_TOKEN).await;
    // The catalogue could not be read, so nothing was written: the refusal is final.
    assert_eq!((status, body["outcome"].as_str()), (409, Some("refused")), "{body}");
    lab.set_faults(lab.key_value.address, "").await;
    let (status, body) =
        lab.call_operator(0, "POST", path, &desk_edit(1, 400), OPERATOR_TOKEN).await;
    assert_eq!((status, body["generation"].as_u64()), (200, Some(2)), "{body}");
    // Only the answer to the write is lost; reads succeed.
    lab.set_faults(lab.key_value.address, "lose_writes=1").await;
    let path = "/v1/catalogue/edits?id=77bb";
    let (status, body) =
        lab.call_operator(1, "POST", path, &desk_edit(2, 300), OPERATOR_TOKEN).await;
    assert_eq!((status, body["generation"].as_u64()), (200, Some(3)), "{body}");
    lab.set_faults(lab.key_value.address, "").await;
    let (status, body) =
        lab.call_operator(0, "GET", "/v1/catalogue/edits/77bb", "", OPERATOR_TOKEN).await;
    assert_eq!((status, body["generation"].as_u64()), (200, Some(3)), "{body}");
    let (status, body) =
        lab.call_operator(0, "POST", path, &desk_edit(2, 300), OPERATOR_TOKEN).await;
    assert_eq!((status, body["generation"].as_u64()), (200, Some(3)), "sent again: {body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_during_an_outage_gets_the_catalogue_from_agents() {
    let (mut lab, digest) = serving_lab(small_lab_options()).await;
    assert_eq!(lab.apply_catalogue(0, &desk_edit(1, 400)).await.0, 200);
    assert!(lab.wait_until_in_force(0, 2, LONG).await);
    lab.set_faults(lab.key_value.address, "down=1").await;
    lab.entries[1].kill();
    lab.restart_entry(1);
    assert!(
        lab.wait_until_in_force(1, 2, LONG).await,
        "the new entry did not receive generation 2"
    );
    assert!(
        lab.wait_until_ready("/v1/models/drafts/x", LONG).await,
        "the new entry did not serve in time"
    );
    assert!(lab.serving().await.iter().flatten().all(|it| *it == digest));
    let (status, body) = lab.apply_catalogue(1, &desk_edit(2, 300)).await;
    assert_eq!((status, body["outcome"].as_str()), (409, Some("refused")), "{body}");
    lab.set_faults(lab.key_value.address, "").await;
    let mut accepted = false;
    for _ in 0..100 {
        accepted = lab.apply_catalogue(1, &desk_edit(2, 300)).await.0 == 200;
        if accepted {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(accepted, "no edit was accepted after the outage");
}

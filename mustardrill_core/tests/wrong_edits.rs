//! Validation of operators' files: each kind of wrong edit must be refused by its own rule before
//! anything is written, and correct edits must not conflict with each other.

mod common;

use common::{V1, V2, document_with, drafts, facts, model_text, request};
use mustardrill_core::catalogue::{format_document, parse_drafts};
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::edit::{EditChange, apply_edit};
use mustardrill_core::rule::EditRule;
use mustardrill_types::EditId;

/// The rules, with their lines, for which a file is refused when the operator `ana` submits it.
fn rules_violated(document: &CatalogueDocument, text: &str) -> Vec<(EditRule, usize)> {
    let refusals = match parse_drafts("edit.ini", text) {
        Err(refusals) => refusals,
        Ok(drafts) => apply_edit(document, &request(9, "ana", drafts), &facts())
            .expect_err("the edit is wrong"),
    };
    refusals.iter().map(|refusal| (refusal.rule, refusal.line)).collect()
}

/// The current section of the model `drafts` with `line` in place of the line that has the same
/// key.
fn section_with(line: &str) -> String {
    let key = line.split(" = ").next().unwrap();
    let revised =
        format!("[model drafts]\nrevision = 1\n{}", model_text().split_once('\n').unwrap().1);
    let mut found = false;
    let mut lines: Vec<String> = Vec::new();
    for old in revised.lines() {
        let same = old.split(" = ").next() == Some(key);
        found |= same;
        lines.push(if same { line.to_owned() } else { old.to_owned() });
    }
    if !found {
        lines.push(line.to_owned());
    }
    lines.join("\n")
}

fn section_without(key: &str) -> String {
    let text = section_with("class = urgent");
    let kept = text.lines().filter(|line| line.split(" = ").next() != Some(key));
    kept.collect::<Vec<_>>().join("\n")
}

#[test]
fn each_wrong_edit_is_refused_by_its_own_rule() {
    let document = document_with(&model_text());
    let none = CatalogueDocument::default();
    let both = |first: &str, second: &str| format!("{first}\n{second}");
    let closed = section_with("callers = none");
    let cases: Vec<(&str, &CatalogueDocument, String, EditRule)> = vec![
        ("no brackets", &document, "[model drafts\nowner = ana".into(), EditRule::UnreadableFile),
        ("nothing in it", &document, "; only a comment\n".into(), EditRule::EmptyFile),
        ("a kind misspelt", &document, "[modle drafts]\n".into(), EditRule::UnknownSection),
        (
            "a blank in a name",
            &document,
            model_text().replace("drafts", "the drafts"),
            EditRule::BadName,
        ),
        ("twice in the file", &none, both(&model_text(), &model_text()), EditRule::DuplicateEntry),
        (
            "a key twice",
            &document,
            section_with("class = urgent\nclass = standard"),
            EditRule::DuplicateKey,
        ),
        ("a key misspelt", &document, section_with("replica = 2"), EditRule::UnknownKey),
        ("a key forgotten", &document, section_without("owner"), EditRule::MissingKey),
        (
            "a number with a unit",
            &document,
            section_with("in_flight = 10 calls"),
            EditRule::BadNumber,
        ),
        ("a negative number", &document, section_with("replicas = -1"), EditRule::BadNumber),
        ("a class misspelt", &document, section_with("class = urgnet"), EditRule::UnknownClass),
        ("nobody in callers", &document, section_with("callers = ,"), EditRule::EmptyCallers),
        (
            "a caller twice",
            &document,
            section_with("callers = comedor, comedor"),
            EditRule::DuplicateCaller,
        ),
        (
            "a version of a plain service",
            &none,
            model_text().replace("model", "plain"),
            EditRule::WeightsOnPlain,
        ),
        (
            "a removal with a value",
            &document,
            "[remove drafts]\nrevision = 1\nowner = ana".into(),
            EditRule::RemovalWithKeys,
        ),
        (
            "a caller misspelt",
            &document,
            section_with("callers = comedro"),
            EditRule::UnknownCaller,
        ),
        (
            "a service misspelt",
            &none,
            model_text().replace("mustard-pool", "mustard-poool"),
            EditRule::UnknownService,
        ),
        ("an owner who left", &document, section_with("owner = carla"), EditRule::UnknownOwner),
        (
            "owner and limits at once",
            &document,
            section_with("owner = beto").replace("in_flight = 10", "in_flight = 20"),
            EditRule::OwnerWithLimits,
        ),
        ("zero replicas in use", &document, section_with("replicas = 0"), EditRule::NoReplicas),
        ("too many replicas", &document, section_with("replicas = 400"), EditRule::TooManyReplicas),
        (
            "two models, too few instances",
            &document,
            model_text().replace("drafts", "summaries"),
            EditRule::ServiceOvercommitted,
        ),
        (
            "a version not published",
            &document,
            section_with("version = v99"),
            EditRule::VersionMissing,
        ),
        (
            "a version too large",
            &document,
            section_with("version = huge"),
            EditRule::VersionTooLarge,
        ),
        ("a rate of zero", &document, section_with("requests_per_second = 0"), EditRule::ZeroLimit),
        (
            "three zeros too many",
            &document,
            section_with("requests_per_second = 50000000"),
            EditRule::LimitTooHigh,
        ),
        ("below what is in use", &document, section_with("in_flight = 2"), EditRule::LimitBelowUse),
        (
            "a model made plain",
            &document,
            section_without("version").replace("[model", "[plain").replace("replicas = 4", ""),
            EditRule::KindChanged,
        ),
        (
            "moved while in use",
            &document,
            section_with("service = records-desk").replace("replicas = 4", "replicas = 1"),
            EditRule::ServiceChanged,
        ),
        (
            "removed while in use",
            &document,
            "[remove drafts]\nrevision = 1\n".into(),
            EditRule::RemovedInUse,
        ),
        (
            "removed twice",
            &none,
            "[remove drafts]\nrevision = 0\n".into(),
            EditRule::NothingToRemove,
        ),
        (
            "typed anew, not from show",
            &document,
            model_text().replace("in_flight = 10", "in_flight = 11"),
            EditRule::RevisionMissing,
        ),
        (
            "a revision made up",
            &document,
            section_with("class = standard").replace("revision = 1", "revision = 77"),
            EditRule::RevisionUnknown,
        ),
        ("nothing changed", &document, section_with("class = urgent"), EditRule::NoChange),
    ];
    let mut seen = Vec::new();
    for (name, document, text, rule) in cases {
        let found = rules_violated(document, &text);
        assert!(found.iter().any(|(other, _)| *other == rule), "{name}: {rule}, found {found:?}");
        seen.push(rule);
    }
    assert!(seen.len() >= 25);
    assert!(apply_edit(&document, &request(2, "ana", drafts(&closed)), &facts()).is_ok());
}

#[test]
fn refusal_names_line_and_remedy() {
    let found =
        parse_drafts("edit.ini", "[model drafts]\nowner = ana\n\nreplica = 2\n").unwrap_err();
    let unknown = found.iter().find(|refusal| refusal.rule == EditRule::UnknownKey).unwrap();
    assert_eq!(unknown.line, 4);
    assert!(unknown.to_string().contains("did you mean replicas?"), "{unknown}");
}

#[test]
fn edit_of_another_operators_entry_is_refused() {
    let document = document_with(&model_text());
    let edit = request(2, "beto", drafts(&section_with("class = standard")));
    let refusals = apply_edit(&document, &edit, &facts()).unwrap_err();
    assert_eq!(refusals[0].rule, EditRule::NotOwner);
}

#[test]
fn a_version_name_keeps_its_bytes() {
    let mut document = document_with(&model_text());
    for (id, version) in [(2, "v2"), (3, "v1")] {
        let revision = document.generation;
        let text = section_with(&format!("version = {version}"));
        let text = text.replace("revision = 1", &format!("revision = {revision}"));
        let mut facts = facts();
        if id == 3 {
            // The origin now shows other bytes under the old name.
            let changed =
                facts.versions.values_mut().find(|fact| fact.manifest == V1.parse().unwrap());
            changed.unwrap().manifest = "cc".repeat(32).parse().unwrap();
        }
        let result = apply_edit(&document, &request(id, "ana", drafts(&text)), &facts);
        if id == 3 {
            assert_eq!(result.unwrap_err()[0].rule, EditRule::VersionReused);
        } else {
            document = result.unwrap();
        }
    }
}

#[test]
fn edit_race_on_one_entry_names_the_other_change() {
    let document = document_with(&model_text());
    let first = request(2, "ana", drafts(&section_with("in_flight = 20")));
    let document = apply_edit(&document, &first, &facts()).unwrap();
    let second = request(3, "ana", drafts(&section_with("class = standard")));
    let refusals = apply_edit(&document, &second, &facts()).unwrap_err();
    assert_eq!(refusals[0].rule, EditRule::EditRace);
    assert!(refusals[0].message.contains("in_flight: 10 -> 20"), "{}", refusals[0]);
}

#[test]
fn edits_of_different_entries_do_not_conflict() {
    let plain = model_text()
        .replace("[model drafts]", "[plain desk]")
        .replace("mustard-pool", "records-desk");
    let plain: String = plain
        .lines()
        .filter(|line| !line.starts_with("version") && !line.starts_with("replicas"))
        .map(|line| format!("{line}\n"))
        .collect();
    let document = document_with(&format!("{}\n{plain}", model_text()));
    // Both edits start from the same output of `catalogue show`, and each changes another entry.
    let shown = format_document(&document);
    let first = shown.replacen("in_flight = 10", "in_flight = 20", 1);
    let at = shown.rfind("in_flight = 10").unwrap();
    let second = format!("{}in_flight = 30{}", &shown[..at], &shown[at + "in_flight = 10".len()..]);
    let document = apply_edit(&document, &request(2, "ana", drafts(&first)), &facts()).unwrap();
    let document = apply_edit(&document, &request(3, "ana", drafts(&second)), &facts()).unwrap();
    let limits: Vec<_> = document.entries.values().map(|entry| entry.limits.in_flight).collect();
    assert_eq!(limits, [20, 30], "desk, then drafts");
}

#[test]
fn undo_restores_the_entry_as_a_new_edit() {
    let document = document_with(&model_text());
    let edit = request(2, "ana", drafts(&section_with("version = v2")));
    let changed = apply_edit(&document, &edit, &facts()).unwrap();
    let name = "drafts".parse().unwrap();
    let version = |document: &CatalogueDocument| document.entries[&name].weights.clone().unwrap();
    assert_eq!(version(&changed).manifest, V2.parse().unwrap());
    let mut undo = request(3, "ana", Vec::new());
    undo.change = EditChange::Undo(EditId(2));
    let undone = apply_edit(&changed, &undo, &facts()).unwrap();
    assert_eq!(version(&undone), version(&document));
    assert_eq!(undone.generation.0, 3);
    undo.id = EditId(4);
    let refusals = apply_edit(&undone, &undo, &facts()).unwrap_err();
    assert_eq!(refusals[0].rule, EditRule::EditRace, "an undo is not undone twice");
}

#[test]
fn shown_catalogue_parses_back_to_the_same_entries() {
    let document = document_with(&model_text());
    let drafts = parse_drafts("shown", &format_document(&document)).unwrap();
    let entry = &document.entries[&drafts[0].name];
    assert!(drafts[0].content.as_ref().unwrap().matches(entry));
    let decoded = CatalogueDocument::decode(&document.encode()).unwrap();
    assert_eq!(decoded, document);
}

//! Checks that documentation and samples agree with the code.

use std::path::{Path, PathBuf};
use std::process::Command;

use mustardrill_core::catalogue::parse_drafts;
use mustardrill_core::rule::EditRule;
use mustardrill_runtime::metrics::METRICS;
use mustardrill_runtime::settings::SettingsReader;
use mustardrill_types::ResultCode;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().to_owned()
}

fn read(name: &str) -> String {
    std::fs::read_to_string(root().join(name)).unwrap()
}

#[test]
fn every_code_and_rule_is_listed_with_its_remedy() {
    let page = read("docs/CODES.md");
    for code in ResultCode::ALL {
        let row = format!("| {} | {code:?} | {} |", code.number(), code.http_status());
        assert!(page.contains(&row), "{row}");
        assert_eq!(ResultCode::from_number(code.number()), Some(code));
    }
    for rule in EditRule::ALL {
        let row = format!("| {} | {rule} |", rule.number());
        assert!(page.contains(&row) && page.contains(rule.remedy()), "{row}");
    }
}

#[test]
fn every_metric_is_listed() {
    let page = read("docs/OPERATORS.md");
    for (name, _) in METRICS {
        assert!(page.contains(name), "{name}");
    }
}

#[test]
fn every_metric_of_the_prepared_platform_is_listed() {
    let page = read("docs/OPERATIONS.md");
    let rows =
        mustardrill_entry::direct::METRICS.iter().chain(&mustardrill_agent::provisioning::METRICS);
    for row in rows {
        assert!(page.contains(row.name), "{}", row.name);
    }
}

#[test]
fn every_proof_that_is_named_exists() {
    let page = read("docs/PROOFS.md");
    let mut tests = String::new();
    for folder in [
        "mustardrill_core/tests",
        "mustardrill_standins/tests",
        "mustardrill_standins/tests/prepared",
        "platform/tests",
    ] {
        for file in std::fs::read_dir(root().join(folder)).unwrap().flatten() {
            tests.push_str(&std::fs::read_to_string(file.path()).unwrap_or_default());
        }
    }
    let promises = page.split("## Not proved").next().unwrap();
    let named = promises.split('`').skip(1).step_by(2).filter(|name| !name.contains('/'));
    for name in named {
        let (file, test) = name.split_once("::").unwrap_or((name, ""));
        let folders =
            ["core/tests", "core/examples", "runtime/tests", "standins/tests", "standins/examples"];
        let is_file = folders
            .iter()
            .any(|folder| root().join(format!("mustardrill_{folder}/{file}.rs")).exists());
        let is_file = is_file
            || root().join(format!("mustardrill_standins/tests/{file}/main.rs")).exists()
            || root().join(format!("mustardrill_standins/tests/prepared/{file}.rs")).exists()
            || root().join(format!("platform/tests/{file}.rs")).exists();
        let is_test = tests.contains(&format!("fn {file}("));
        assert!(is_file || is_test, "no {name}");
        assert!(test.is_empty() || tests.contains(&format!("fn {test}(")), "no test {name}");
    }
}

#[test]
fn the_samples_are_right() {
    for team in ["sello-limpio", "lakeshore"] {
        let name = format!("settings/{team}-entry.ini");
        let outcome =
            mustardrill_entry::config::read(SettingsReader::read(&name, &read(&name)).unwrap());
        assert_eq!(outcome.warnings, []);
        outcome.settings.unwrap();
        let name = format!("settings/{team}-agent.ini");
        let outcome =
            mustardrill_agent::config::read(SettingsReader::read(&name, &read(&name)).unwrap());
        assert_eq!(outcome.warnings, []);
        outcome.settings.unwrap();
    }
    let name = "settings/sello-limpio-catalogue.ini";
    assert_eq!(parse_drafts(name, &read(name)).unwrap().len(), 3);
}

#[test]
fn every_setting_is_on_its_page() {
    let page = read("docs/SETTINGS.md");
    for source in [
        "mustardrill_agent/src/config.rs",
        "mustardrill_entry/src/config.rs",
        "mustardrill_runtime/src/config.rs",
        "mustardrill_agent/src/provisioning/config.rs",
        "mustardrill_entry/src/direct/config.rs",
    ] {
        let text = read(source).replace(['\n', ' '], "");
        for call in [
            "value(",
            "bounded(",
            "required(",
            "optional(",
            "address(reader,",
            "address(&mutreader,",
            "name(&mutreader,",
        ] {
            for part in text.split(call).skip(1) {
                let mut words = part.split('"').skip(1).step_by(2);
                let (Some(section), Some(key)) = (words.next(), words.next()) else { continue };
                // Calls among the helpers contain no literal names.
                let is_name = |text: &str| {
                    text.chars().all(|letter| letter.is_ascii_lowercase() || letter == '_')
                };
                let is_key = is_name(section) && is_name(key);
                assert!(!is_key || page.contains(key), "[{section}] {key} of {source}");
            }
        }
    }
}

#[test]
fn the_generated_messages_are_up_to_date() {
    let folder = std::env::temp_dir().join(format!("mustardrill-generated-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let own = std::env::current_exe().unwrap();
    let program = own.parent().unwrap().parent().unwrap().join("examples").join("generate");
    let status = Command::new(program).arg(&folder).status().unwrap();
    assert!(status.success());
    let fresh = std::fs::read_to_string(folder.join("generated.rs")).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(
        fresh == read("mustardrill_proto/src/generated.rs"),
        "run the generate example and commit"
    );
}

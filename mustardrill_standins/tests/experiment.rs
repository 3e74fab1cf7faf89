//! Load patterns played on the entries' real reducers against modelled engines.

use mustardrill_core::direct::{DirectSettings, EngineForecast, WorkSize};
use mustardrill_entry::direct;
use mustardrill_runtime::settings::SettingsReader;
use mustardrill_standins::experiment::{
    DEFAULT_ENTRY_SETTINGS, EngineEvent, EngineModel, EngineRun, LoadPattern, RunId, simulate,
};
use mustardrill_types::Millis;

const CALM: &str = "\
[pattern]
span = 4s
[fleet]
entries = 3
engines = 4
[kind draft]
rate = 10
prompt = 600
answer = 60
";

fn settings() -> DirectSettings {
    let reader = SettingsReader::read("entry.ini", DEFAULT_ENTRY_SETTINGS).unwrap();
    direct::read(reader).settings.unwrap().direct
}

fn pattern(text: &str) -> LoadPattern {
    let outcome = LoadPattern::read(SettingsReader::read("pattern.ini", text).unwrap());
    assert!(outcome.warnings.is_empty(), "{:?}", outcome.warnings);
    outcome.settings.unwrap()
}

#[test]
fn callers_of_a_calm_pattern_are_answered_in_time_and_alike_for_a_seed() {
    let pattern = pattern(CALM);
    let report = simulate(&pattern, &settings(), 1);
    let total = report.total();
    assert!(total.asked > 20, "{total:?}");
    assert_eq!(total.in_time, total.asked, "{total:?}");
    assert_eq!(report.seconds, simulate(&pattern, &settings(), 1).seconds);
    assert_ne!(report.seconds, simulate(&pattern, &settings(), 2).seconds);
}

#[test]
fn no_more_is_answered_in_time_than_the_engines_can() {
    let overload = CALM.replace("rate = 10", "rate = 300");
    let report = simulate(&pattern(&overload), &settings(), 1);
    let total = report.total();
    assert!(f64::from(total.asked) > 2.0 * report.bound(), "{total:?} {}", report.bound());
    // A run that began before the last second ends after it.
    assert!(report.goodput() <= 1.1, "{}", report.goodput());
    assert_eq!(total.asked, total.in_time + total.late + total.refused + total.failed);
    assert!(total.refused > 0, "{total:?}");
}

/// A mechanism that is switched off must make a difference where its load pattern comes: entries
/// that hear nothing of each other's requests fill the same engines.
#[test]
fn entries_that_do_not_hear_each_other_send_to_full_engines() {
    let pattern = pattern(&CALM.replace("rate = 10", "rate = 90"));
    let deaf = DirectSettings { peer_load_timeout: Millis(0), ..settings() };
    let (hearing, deaf) = (simulate(&pattern, &settings(), 1), simulate(&pattern, &deaf, 1));
    assert!(
        deaf.turned_away > hearing.turned_away + 20,
        "{} {}",
        deaf.turned_away,
        hearing.turned_away
    );
}

/// A request that ends engines comes twice a second by three entries, with a fifth of their words lost.
#[test]
fn a_request_that_ends_engines_ends_no_more_than_six() {
    let text = CALM.replace("[kind draft]", "word_loss = 0.2\n[kind draft]")
        + "[kind cause]\nrate = 2\nends_engines = true\n";
    for seed in 1..=5 {
        let report = simulate(&pattern(&text), &settings(), seed);
        assert!(report.engines_ended >= 2, "it came: {}", report.engines_ended);
        // Three from which it is learned, and three more.
        assert!(report.engines_ended <= 6, "{} with seed {seed}", report.engines_ended);
    }
}

#[test]
fn an_engine_takes_as_long_as_the_forecast_says_for_one_request() {
    let pattern = pattern(CALM);
    let mut engine = EngineModel::new(&pattern.profile, pattern.prefill_chunk);
    let id = RunId { call: 0, attempt: 1 };
    assert!(engine.try_enqueue(EngineRun {
        id,
        prompt_left: 600,
        answer_left: 60,
        crashes_engine: false
    }));
    let mut took = 0.0;
    let mut first = None;
    while let Some(span) = engine.start_pass() {
        took += span;
        let events = engine.finish_pass();
        assert!(events.iter().all(|event| !matches!(event, EngineEvent::Crashed)));
        if !events.is_empty() {
            first.get_or_insert(took);
        }
    }
    let forecast = EngineForecast::new(&pattern.profile);
    let size = WorkSize { prompt_tokens: 600, answer_tokens: 60 };
    let (first, told) = (first.unwrap(), forecast.time_to_first_token(0, size).0 as f64);
    assert!((first - told).abs() <= 0.15 * told, "first {first} forecast {told}");
    let whole = forecast.service_ms(1, size);
    assert!((took - whole).abs() <= 0.3 * whole, "whole {took} forecast {whole}");
}

#[test]
fn a_wrong_pattern_is_told_by_file_line_and_key() {
    let wrong = CALM.replace("engines = 4", "engines = 0") + "[disturbance x]\nkind = flood\n";
    let outcome = LoadPattern::read(SettingsReader::read("pattern.ini", &wrong).unwrap());
    let faults: Vec<_> = outcome.settings.unwrap_err().iter().map(ToString::to_string).collect();
    assert_eq!(
        faults,
        [
            "pattern.ini:11: [disturbance x] kind = flood: write burst, crash or slow",
            "pattern.ini:5: [fleet] engines = 0: write 1 to 10000",
        ]
    );
    let empty = LoadPattern::read(SettingsReader::read("pattern.ini", "[pattern]\n").unwrap());
    let faults = empty.settings.unwrap_err();
    assert!(faults[0].to_string().contains("add a section [kind NAME]"), "{faults:?}");
    let misspelt = CALM.replace("prompt =", "promt =");
    let outcome = LoadPattern::read(SettingsReader::read("pattern.ini", &misspelt).unwrap());
    let warning = outcome.warnings[0].to_string();
    assert!(warning.contains("promt") && warning.contains("prompt"), "{warning}");
}

#[test]
fn the_patterns_that_come_with_it_read() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/patterns");
    let mut read = 0;
    for file in std::fs::read_dir(folder).unwrap().flatten() {
        let reader = SettingsReader::open(&file.path()).unwrap();
        let outcome = LoadPattern::read(reader);
        assert!(outcome.warnings.is_empty(), "{:?}", outcome.warnings);
        assert!(outcome.settings.is_ok(), "{:?}", outcome.settings);
        read += 1;
    }
    assert!(read >= 4);
}

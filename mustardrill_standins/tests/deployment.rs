//! The settings templates in `deploy`, rendered with sample values, pass the daemons' settings
//! checks.

use std::path::{Path, PathBuf};

use mustardrill_core::direct::WarmupBound;
use mustardrill_entry::direct::DirectConfig;
use mustardrill_runtime::settings::{PlatformKind, SettingsReader};
use mustardrill_types::{ByteSize, Millis, RegionName};

/// Sample values of the fields that the platform provides on each machine.
const VALUES: [(&str, &str); 17] = [
    ("node_name", "edge-hall-a-1"),
    ("zone", "hall-a"),
    ("service", "pool"),
    ("ip", "10.1.0.40"),
    ("app", "10.1.0.40:8001"),
    ("listen_addresses.front", "10.1.0.40:8005"),
    ("listen_addresses.ready", "10.1.0.40:8002"),
    ("internal_port_range.0", "7700"),
    ("internal_port_range.1", "7715"),
    ("platform.address", "10.200.1.7:8007"),
    ("heartbeat_interval_ms", "1500"),
    ("limits.link_mbps", "7.3"),
    ("bounds.revocation_ms", "5000"),
    ("bounds.version_ms", "8000"),
    ("bounds.grace_period_s", "8"),
    ("bounds.retry_budget_ratio", "0.2"),
    ("bounds.retry_window_s", "10"),
];

/// The region of each data centre, as the platform provides them.
const ZONES: [(&str, &str); 2] = [("hall-a", "north"), ("hall-b", "south")];

/// Fields that not every platform provides, with values.
const OPTIONAL_FIELDS: [(&str, &str); 4] = [
    ("bounds.cold_overshoot", "1.5"),
    ("bounds.cold_tolerance", "1.5"),
    ("limits.memory_mb", "260.5"),
    ("limits.file_descriptors", "4200"),
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().to_owned()
}

fn render_template(name: &str) -> SettingsReader {
    render_with_allowance(name, "102")
}

fn render_with_allowance(name: &str, retry_allowance: &str) -> SettingsReader {
    render_with(name, &[("bounds.retry_allowance", retry_allowance)])
}

/// Renders with other values than the samples for some fields.
fn render_with(name: &str, values: &[(&str, &str)]) -> SettingsReader {
    let mut text = std::fs::read_to_string(root().join(name)).unwrap();
    for (field, value) in values.iter().copied().chain(VALUES) {
        text = text.replace(&format!("{{{{{field}}}}}"), value);
    }
    if let Some((before, rest)) = text.split_once("{{#zones}}") {
        let (row, after) = rest.split_once("{{/zones}}").expect("the section ends");
        let rows = ZONES.map(|(zone, region)| row.replace("{{@}}", zone).replace("{{.}}", region));
        text = [before, &rows.concat(), after].concat();
    }
    for (field, value) in OPTIONAL_FIELDS {
        text = render_optional(&text, field, value);
    }
    assert!(!text.contains("{{"), "placeholder without a value in {name}:\n{text}");
    SettingsReader::read(name, &text).unwrap()
}

/// Renders the section of a field that not every platform provides.
fn render_optional(text: &str, field: &str, value: &str) -> String {
    let (begin, end) = (format!("{{{{#{field}}}}}"), format!("{{{{/{field}}}}}"));
    let Some((before, rest)) = text.split_once(&begin) else { return text.to_owned() };
    let (section, after) = rest.split_once(&end).expect("the section ends");
    let section = section.replace(&format!("{{{{{field}}}}}"), value);
    [before, &section, after].concat()
}

fn entry_config() -> DirectConfig {
    let outcome = mustardrill_entry::direct::read(render_template("deploy/entry.ini"));
    assert_eq!(outcome.warnings, []);
    outcome.settings.unwrap()
}

#[test]
fn the_entry_template_gives_the_expected_settings() {
    assert_eq!(render_template("deploy/entry.ini").platform("entry"), PlatformKind::Prepared);
    let config = entry_config();
    assert_eq!(config.direct.own_id.as_str(), "edge-hall-a-1");
    assert_eq!(config.direct.freshness_limit, Millis(4_500), "must be below the revocation bound");
    assert_eq!(
        config.direct.version_bound,
        Millis(8_000),
        "the whole bound: forecasts subtract the time that engines need"
    );
    assert_eq!(
        config.direct.registration_expiry,
        Millis(3_000),
        "must be two heartbeats of upstreams"
    );
    for (zone, region) in ZONES {
        let known = config.direct.regions.region_of(&zone.parse().unwrap());
        assert_eq!(known.map(RegionName::as_str), Some(region));
    }
    assert_eq!(config.direct.warmup_bound, WarmupBound { overshoot: 1.5, tolerance: 1.5 });
    assert_eq!(config.process.memory, ByteSize(260_500_000));
    assert_eq!(config.process.descriptors, 4_200);
    assert!(config.linger < config.grace);
    assert_ne!(config.metrics, None);
}

#[test]
fn a_fraction_in_a_time_is_refused() {
    let values = [
        ("bounds.grace_period_s", "7.5"),
        ("bounds.retry_window_s", "2.0625"),
        ("bounds.revocation_ms", "5000.0"),
        ("heartbeat_interval_ms", "1500.9"),
        ("bounds.retry_allowance", "102"),
    ];
    let outcome = mustardrill_entry::direct::read(render_with("deploy/entry.ini", &values));
    assert_eq!(outcome.warnings, []);
    let config = outcome.settings.unwrap();
    assert_eq!(config.grace, Millis(7_500));
    assert_eq!(config.direct.retry_share.window, Millis(2_062));
    assert_eq!(config.direct.freshness_limit, Millis(4_500));
    assert_eq!(config.direct.registration_expiry, Millis(3_000));
    for text in ["2.s", ".5s", "1.2.3s", "-1s", "1e3ms", "2.5", "s", ""] {
        assert!(text.parse::<Millis>().is_err(), "{text}");
    }
}

#[test]
fn the_retry_share_of_all_entries_stays_below_the_bound() {
    let retry = entry_config().direct.retry_share;
    assert!(retry.ratio < 0.2);
    assert!(retry.allowance <= 102.0, "must not exceed the allowance of all entries");
}

#[test]
fn a_fractional_retry_allowance_is_accepted() {
    let reader = render_with_allowance("deploy/entry.ini", "43.47826086956522");
    let retry = mustardrill_entry::direct::read(reader).settings.unwrap().direct.retry_share;
    assert!(retry.allowance > 30.0 && retry.allowance < 43.5);
}

#[test]
fn an_invalid_region_is_reported() {
    let text = std::fs::read_to_string(root().join("deploy/entry.ini")).unwrap();
    assert!(text.contains("[regions]"));
    let reader = SettingsReader::read("entry.ini", "[regions]\nhall-a = no such name\n").unwrap();
    let faults = mustardrill_entry::direct::read(reader).settings.unwrap_err();
    let message = faults.iter().map(ToString::to_string).find(|it| it.contains("[regions]"));
    assert!(message.unwrap().starts_with("entry.ini:2: [regions] hall-a = no such name"));
}

#[test]
fn the_agent_template_gives_the_expected_settings() {
    assert_eq!(render_template("deploy/agent.ini").platform("agent"), PlatformKind::Prepared);
    let outcome = mustardrill_agent::provisioning::read(render_template("deploy/agent.ini"));
    assert_eq!(outcome.warnings, []);
    let config = outcome.settings.unwrap();
    assert_eq!(config.settings.own_id.as_str(), "10.1.0.40");
    assert_eq!(config.link_mbps, 7.3);
    assert!(config.settings.rollout.first < config.settings.rollout.last);
}

#[test]
fn an_invalid_value_is_reported_with_file_line_key_and_remedy() {
    let text = "[entry]\nplatform = prepared\ninstance = e1\ndata_centre = hall-a\n\
                listen = 10.1.0.40\nready_listen = 10.1.0.40:1\npeer_listen = 10.1.0.40:2\n\
                [platform]\nstore = 10.0.0.1:1\n[admission]\nwait_percent = 400\n";
    let reader = SettingsReader::read("entry.ini", text).unwrap();
    let faults = mustardrill_entry::direct::read(reader).settings.unwrap_err();
    let messages: Vec<_> = faults.iter().map(ToString::to_string).collect();
    assert!(messages[0].starts_with("entry.ini:5: [entry] listen = 10.1.0.40"), "{messages:?}");
    assert!(
        messages[1].starts_with("entry.ini:11: [admission] wait_percent = 400"),
        "{messages:?}"
    );
    assert!(messages[1].contains("0 to 100"), "{messages:?}");
}

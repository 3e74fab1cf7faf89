//! Settings of an agent that provisions its engine with weights.

use std::net::SocketAddr;

use log::LevelFilter;
use mustardrill_core::provisioning::{ProvisioningSettings, RolloutSettings};
use mustardrill_core::transfer::TransferSettings;
use mustardrill_runtime::config::{ProcessLimits, local, name};
use mustardrill_runtime::settings::{PlatformKind, SettingsOutcome, SettingsReader};
use mustardrill_types::Millis;

/// Settings of the process, and below them those of the reducer.
#[derive(Debug, Clone)]
pub struct ProvisioningConfig {
    /// Name of the process in logs.
    pub instance: Box<str>,
    /// Address on which other agents reach this one: TCP for chunks, UDP for datagrams.
    pub listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address on which metrics are served; none turns them off.
    pub metrics: Option<SocketAddr>,
    /// Least severe level that is logged.
    pub log: LevelFilter,
    /// How long the store may hold one watch request open. The agent allows a second more before it
    /// treats the store as unresponsive.
    pub watch_time: Millis,
    /// Interval at which an idle agent polls the engine for its state.
    pub engine_poll_interval: Millis,
    /// Bandwidth of the machine's link, in Mbit/s.
    pub link_mbps: f64,
    /// What the process may use of its machine.
    pub process: ProcessLimits,
    /// Settings of the reducer.
    pub settings: ProvisioningSettings,
}

/// When the first engine loads, in percent of the time bound for a version: about when the version
/// is staged on every machine. Where staging is faster, the short wait lets callers choose among
/// the engines with the old version for longer.
const FIRST_LOAD_PERCENT: u64 = 30;

/// How long before the end of the time bound for a version the last engine loads. Soon after that,
/// entries stop sending requests to engines without the version, so loading later gains nothing.
const LAST_LOAD_RESERVE: Millis = Millis(900);

/// Reads and checks all settings; the outcome holds every fault found, not just the first.
pub fn read(mut reader: SettingsReader) -> SettingsOutcome<ProvisioningConfig> {
    // The caller has read this key to choose the kind of settings; reading it again marks it as
    // known.
    let _: Option<PlatformKind> = reader.optional("agent", "platform");
    let version_bound = reader.value("bounds", "version", Millis(8_000));
    let listen: SocketAddr = reader.required("agent", "listen", "IP:PORT", local());
    let own_id = listen.ip().to_string().parse().expect("an address is a valid name");
    let config = ProvisioningConfig {
        instance: reader.required("agent", "instance", "NAME", String::new()).into(),
        listen,
        store: reader.required("platform", "store", "IP:PORT", local()),
        metrics: reader.optional("agent", "metrics"),
        log: reader.value("agent", "log", LevelFilter::Info),
        watch_time: reader.value("platform", "watch", Millis(4_000)),
        engine_poll_interval: reader.value("upstream", "look_every", Millis(250)),
        link_mbps: reader.bounded("weights", "link_mbps", 1_000.0, 0.1, 1_000_000.0),
        process: ProcessLimits::read(&mut reader, "agent", 128.0),
        settings: ProvisioningSettings {
            own_id,
            data_centre: name(&mut reader, "agent", "data_centre"),
            service: name(&mut reader, "agent", "service"),
            engine: reader.required("upstream", "address", "IP:PORT", local()),
            port: listen.port(),
            transfer: transfer(&mut reader),
            rollout: RolloutSettings {
                first: Millis(version_bound.0 * FIRST_LOAD_PERCENT / 100),
                last: Millis(version_bound.0.saturating_sub(LAST_LOAD_RESERVE.0)),
                load_duration: reader.value("weights", "switch", Millis(2_000)),
            },
            holdings_interval: reader.value("weights", "exchange_every", Millis(35)),
        },
    };
    reader.finish(config)
}

fn transfer(reader: &mut SettingsReader) -> TransferSettings {
    let default = TransferSettings::default();
    TransferSettings {
        origin_copies: reader.bounded("weights", "origin_copies", default.origin_copies, 1, 4),
        max_seeders: reader.bounded("weights", "drawers", 40, 1, 1_000),
        window: reader.bounded("weights", "window", 6, 1, 256),
        origin_window: reader.bounded("weights", "origin_window", 1, 1, 64),
        partners: reader.bounded("weights", "partners", 96, 1, 1_000),
        stall_after: reader.value("weights", "stall_after", Millis(500)),
        chunk_timeout: reader.value("weights", "chunk_patience", default.chunk_timeout),
        corrupt_limit: reader.bounded("weights", "corrupt_limit", default.corrupt_limit, 1, 100),
        sample: default.sample,
        remote_fetchers: reader.bounded("weights", "far_drawers", 1, 0, 1_000),
        uses_primary_holders: reader.value("weights", "homes", true),
        relay_window: reader.bounded("weights", "entry_window", 3, 0, 64),
        // The reducer sets it for each version.
        prefers_relays: default.prefers_relays,
        // The reducer sets it from the origin's rate in the configuration.
        origin_chunk_ms: default.origin_chunk_ms,
    }
}

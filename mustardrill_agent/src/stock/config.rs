//! The settings of an agent that stocks its engine.

use std::net::SocketAddr;

use log::LevelFilter;
use mustardrill_core::provisioning::{ProvisioningSettings, RolloutSettings};
use mustardrill_core::transfer::TransferSettings;
use mustardrill_runtime::config::{local, name};
use mustardrill_runtime::settings::{PlatformKind, SettingsOutcome, SettingsReader};
use mustardrill_types::Millis;

/// All settings of such an agent.
#[derive(Debug, Clone)]
pub struct StockConfig {
    /// The name of the process in logs.
    pub instance: Box<str>,
    /// Where other agents reach it, for chunks and for datagrams.
    pub listen: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Which lines are logged.
    pub log: LevelFilter,
    /// How long one watch of the store waits; a store that went silent is noticed a second later.
    pub watch: Millis,
    /// How often the engine is asked for its state.
    pub look_every: Millis,
    /// What the machine's link carries, in Mbit/s.
    pub link_mbps: f64,
    /// What the reducer is told.
    pub stock: ProvisioningSettings,
}

/// The part of the version bound after which the first engine loads, in percent: about when a version
/// is staged everywhere. Where it is sooner, waiting a little gives callers a choice of engines for
/// longer.
const FIRST_TURN_PERCENT: u64 = 30;

/// How long before the end of the version bound the last engine loads. Soon after it, entries send
/// nothing more to engines without the version, so waiting longer gains nothing.
const LAST_TURN_RESERVE: Millis = Millis(900);

/// Reads and checks all settings.
pub fn read(mut reader: SettingsReader) -> SettingsOutcome<StockConfig> {
    // Read before, to choose among the kinds of settings; named here as a known key.
    let _: Option<PlatformKind> = reader.optional("agent", "platform");
    let version = reader.value("bounds", "version", Millis(8_000));
    let listen: SocketAddr = reader.required("agent", "listen", "IP:PORT", local());
    let own = listen.ip().to_string().parse().expect("an address is a valid name");
    let config = StockConfig {
        instance: reader.required("agent", "instance", "NAME", String::new()).into(),
        listen,
        store: reader.required("platform", "store", "IP:PORT", local()),
        metrics: reader.optional("agent", "metrics"),
        log: reader.value("agent", "log", LevelFilter::Info),
        watch: reader.value("platform", "watch", Millis(4_000)),
        look_every: reader.value("upstream", "look_every", Millis(250)),
        link_mbps: reader.bounded("weights", "link_mbps", 1_000.0, 0.1, 1_000_000.0),
        stock: ProvisioningSettings {
            own,
            data_centre: name(&mut reader, "agent", "data_centre"),
            service: name(&mut reader, "agent", "service"),
            engine: reader.required("upstream", "address", "IP:PORT", local()),
            port: listen.port(),
            transfer: transfer(&mut reader),
            rollout: RolloutSettings {
                first: Millis(version.0 * FIRST_TURN_PERCENT / 100),
                last: Millis(version.0.saturating_sub(LAST_TURN_RESERVE.0)),
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
        // Set for each version.
        prefers_relays: default.prefers_relays,
        // Set by the origin's rate in the configuration.
        origin_chunk_ms: default.origin_chunk_ms,
    }
}

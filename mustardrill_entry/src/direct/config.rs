//! The settings of an entry that sends requests to upstreams itself.

use std::net::SocketAddr;

use log::LevelFilter;
use mustardrill_core::direct::{DirectSettings, RetryShare};
use mustardrill_runtime::config::{local, name};
use mustardrill_runtime::settings::{PlatformKind, SettingsOutcome, SettingsReader};
use mustardrill_types::{ByteSize, Millis};

/// All settings of such an entry.
#[derive(Debug, Clone)]
pub struct DirectConfig {
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready_listen: SocketAddr,
    /// Where it takes datagrams of other entries and of agents.
    pub peer_listen: SocketAddr,
    /// The port at which agents take datagrams; nothing where they are told nothing.
    pub agent_port: Option<u16>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Which lines are logged.
    pub log: LevelFilter,
    /// How long one watch of the store waits.
    pub watch: Millis,
    /// How long a planned stop may take.
    pub grace: Millis,
    /// How long a stopping entry still takes new work, until the balancer sends it none.
    pub linger: Millis,
    /// What the machine's link carries, in Mbit/s.
    pub link_mbps: f64,
    /// How much of the weights that it hands on an entry keeps.
    pub relay_memory: ByteSize,
    /// What the reducer is told.
    pub direct: DirectSettings,
}

/// The share of the revocation bound for which a proof is good, in percent. The rest is for the
/// way of the request that is checked.
const PROOF_PERCENT: u64 = 90;

/// The share of the retry ratio that one entry uses, as windows of entries don't begin together.
const RATIO_SHARE: f64 = 0.6;

/// The share of the allowance of repeats that all entries spend together. A restart forgets what
/// was spent, so that a fifth of all entries may restart within a window.
const ALLOWANCE_SHARE: f64 = 0.8;

/// The heartbeats that a registration outlives for certain: it ends with the third that is missing,
/// and the last one may have come just before the store went away.
const HEARTBEATS_KEPT: u64 = 2;

/// Reads and checks all settings.
pub fn read(mut reader: SettingsReader) -> SettingsOutcome<DirectConfig> {
    // Read before, to choose among the kinds of settings; named here as a known key.
    let _: Option<PlatformKind> = reader.optional("entry", "platform");
    let revocation = reader.value("bounds", "revocation", Millis(5_000));
    let version = reader.value("bounds", "version", Millis(8_000));
    let heartbeat = reader.value("platform", "heartbeat", Millis(1_200));
    let config = DirectConfig {
        listen: reader.required("entry", "listen", "IP:PORT", local()),
        ready_listen: reader.required("entry", "ready_listen", "IP:PORT", local()),
        peer_listen: reader.required("entry", "peer_listen", "IP:PORT", local()),
        agent_port: reader.optional("entry", "agent_port"),
        store: reader.required("platform", "store", "IP:PORT", local()),
        metrics: reader.optional("entry", "metrics"),
        log: reader.value("entry", "log", LevelFilter::Info),
        watch: reader.value("platform", "watch", Millis(1_000)),
        grace: reader.value("bounds", "grace", Millis(8_000)),
        linger: reader.value("entry", "linger", Millis(2_600)),
        link_mbps: reader.bounded("weights", "link_mbps", 1_000.0, 0.1, 1_000_000.0),
        relay_memory: reader.value("weights", "relay_memory", ByteSize(16 << 20)),
        direct: DirectSettings {
            own_id: name(&mut reader, "entry", "instance"),
            data_centre: name(&mut reader, "entry", "data_centre"),
            freshness_limit: Millis(revocation.0 * PROOF_PERCENT / 100),
            version_bound: version,
            retry_share: retry(&mut reader),
            requests_ahead: reader.bounded("admission", "ahead", 1, 0, 1_000),
            in_time_percent: reader.bounded("admission", "wait_percent", 25, 0, 100),
            prefill_limit: reader.value("admission", "reading_limit", Millis(80)),
            late_slots_percent: reader.bounded("admission", "late_percent", 75, 0, 100),
            wait_limit: reader.value("admission", "late_wait", Millis(1_000)),
            silence_timeout: reader.value("upstream", "silence", Millis(1_200)),
            forgetting_outage: Millis(heartbeat.0 * HEARTBEATS_KEPT),
            expiry_grace: reader.value("platform", "lapse_grace", Millis(2_000)),
            peer_load_timeout: reader.value("entry", "peer_patience", Millis(1_500)),
            base_ejection: reader.value("upstream", "ejection", Millis(500)),
        },
    };
    reader.finish(config)
}

fn retry(reader: &mut SettingsReader) -> RetryShare {
    let ratio: f64 = reader.bounded("bounds", "retry_ratio", 0.2, 0.0, 10.0);
    // The platform scales it with the installation and may write a fraction.
    let allowance: f64 = reader.bounded("bounds", "retry_allowance", 100.0, 0.0, 1_000_000.0);
    RetryShare {
        ratio: ratio * RATIO_SHARE,
        allowance: allowance * ALLOWANCE_SHARE,
        window: reader.value("bounds", "retry_window", Millis(10_000)),
    }
}

//! Settings of an entry that sends requests directly to upstreams; `docs/SETTINGS.md` lists every
//! key.

use std::net::SocketAddr;

use log::LevelFilter;
use mustardrill_core::direct::{DirectSettings, RegionMap, RetryBound, RetryShare, WarmupBound};
use mustardrill_runtime::config::{ProcessLimits, local, name};
use mustardrill_runtime::settings::{PlatformKind, SettingsOutcome, SettingsReader};
use mustardrill_types::{ByteSize, DataCentre, Millis, RegionName};

/// All settings of an entry that sends requests directly to upstreams.
#[derive(Debug, Clone)]
pub struct DirectConfig {
    /// Address that serves callers.
    pub listen: SocketAddr,
    /// Address that answers the load balancer's readiness probes.
    pub ready_listen: SocketAddr,
    /// Address for peers and agents: UDP for datagrams, TCP for the relay of weights.
    pub peer_listen: SocketAddr,
    /// UDP port of the agents; `None` if agents are not notified of announced versions.
    pub agent_port: Option<u16>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address that serves metrics; `None` for no metrics.
    pub metrics: Option<SocketAddr>,
    /// The least severe level that is logged.
    pub log: LevelFilter,
    /// How long one watch of the store waits for changes.
    pub watch: Millis,
    /// How long a planned stop may take, `linger` included.
    pub grace: Millis,
    /// How long a stopping entry accepts new requests, until the load balancer has noticed the
    /// stop.
    pub linger: Millis,
    /// Bandwidth of the machine's network link, in Mbit/s.
    pub link_mbps: f64,
    /// What the process may use of its machine.
    pub process: ProcessLimits,
    /// How much memory an entry uses to cache the weights that it relays.
    pub relay_memory: ByteSize,
    /// Settings of the reducer.
    pub direct: DirectSettings,
}

/// The share of the revocation bound for which a freshness check is valid, in percent. The rest
/// covers the time that a checked request is under way.
const FRESHNESS_PERCENT: u64 = 90;

/// The number of heartbeat intervals that a registration is certain to survive: it expires with the
/// third missing heartbeat, and the last one may have come just before the store became
/// unavailable.
const SURVIVED_HEARTBEATS: u64 = 2;

/// Reads and checks all settings. The outcome holds the settings or every fault found, and
/// warnings.
pub fn read(mut reader: SettingsReader) -> SettingsOutcome<DirectConfig> {
    // Its value was read before, to choose this kind of settings; this marks the key as known.
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
        process: ProcessLimits::read(&mut reader, "entry", 256.0),
        relay_memory: reader.value("weights", "relay_memory", ByteSize(16 << 20)),
        direct: DirectSettings {
            own_id: name(&mut reader, "entry", "instance"),
            data_centre: name(&mut reader, "entry", "data_centre"),
            regions: regions(&mut reader),
            freshness_limit: Millis(revocation.0 * FRESHNESS_PERCENT / 100),
            version_bound: version,
            retry_share: retry(&mut reader),
            requests_ahead: reader.bounded("admission", "ahead", 1, 0, 1_000),
            in_time_percent: reader.bounded("admission", "wait_percent", 25, 0, 100),
            prefill_limit: reader.value("admission", "reading_limit", Millis(80)),
            late_slots_percent: reader.bounded("admission", "late_percent", 75, 0, 100),
            wait_limit: reader.value("admission", "late_wait", Millis(1_000)),
            silence_timeout: reader.value("upstream", "silence", Millis(1_200)),
            registration_expiry: Millis(heartbeat.0 * SURVIVED_HEARTBEATS),
            expiry_grace: reader.value("platform", "lapse_grace", Millis(2_000)),
            peer_load_timeout: reader.value("entry", "peer_patience", Millis(1_500)),
            base_ejection: reader.value("upstream", "ejection", Millis(500)),
            warmup_bound: warmup_bound(&mut reader),
        },
    };
    reader.finish(config)
}

/// The region of each data centre; the operator chooses the names.
fn regions(reader: &mut SettingsReader) -> RegionMap {
    let mut regions = Vec::new();
    for key in reader.names("regions") {
        match (key.name.parse::<DataCentre>(), key.value.parse::<RegionName>()) {
            (Ok(data_centre), Ok(region)) => regions.push((data_centre, region)),
            (Err(error), _) | (_, Err(error)) => {
                let message = format!("[regions] {} = {}: {error}", key.name, key.value);
                reader.fault(key.line, message);
            }
        }
    }
    regions.into_iter().collect()
}

fn warmup_bound(reader: &mut SettingsReader) -> WarmupBound {
    let least = WarmupBound::default();
    WarmupBound {
        overshoot: reader.bounded("bounds", "cold_overshoot", least.overshoot, 0.0, 1_000.0),
        tolerance: reader.bounded("bounds", "cold_tolerance", least.tolerance, 0.0, 1_000_000.0),
    }
}

fn retry(reader: &mut SettingsReader) -> RetryShare {
    let ratio: f64 = reader.bounded("bounds", "retry_ratio", 0.2, 0.0, 10.0);
    // The platform scales it with the size of the installation, which may give a fraction.
    let allowance: f64 = reader.bounded("bounds", "retry_allowance", 100.0, 0.0, 1_000_000.0);
    let window = reader.value("bounds", "retry_window", Millis(10_000));
    RetryShare::within(&RetryBound { ratio, allowance, window })
}

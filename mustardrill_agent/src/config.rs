//! Settings of the agent; `docs/SETTINGS.md` lists every key.

use std::net::SocketAddr;

use log::LevelFilter;
use mustardrill_core::admission::AdmissionSettings;
use mustardrill_core::agent::AgentSettings;
use mustardrill_core::claim::ClaimSettings;
use mustardrill_core::ownership::OwnerSettings;
use mustardrill_core::transfer::{TransferPeer, TransferSettings};
use mustardrill_runtime::config::{PlatformConfig, ProcessLimits, address, local, name};
use mustardrill_runtime::settings::{SettingsOutcome, SettingsReader};
use mustardrill_types::{ByteRate, ByteSize, Millis};

/// Settings of the process, and below them those of the reducer.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// Address on which entries and other agents reach the agent.
    pub listen: SocketAddr,
    /// Address on which the local engine fetches weights and operators read the status.
    pub local_listen: SocketAddr,
    /// Address of the upstream, as `ip:port`.
    pub upstream: Box<str>,
    /// Addresses and time-outs of the platform's services and of the origin.
    pub platform: PlatformConfig,
    /// Interval at which the reducer gets a tick.
    pub tick_interval: Millis,
    /// Rate limit of chunks sent to peers; zero is unlimited.
    pub upload_rate: ByteRate,
    /// Rate limit of chunks received from peers and the origin; zero is unlimited.
    pub download_rate: ByteRate,
    /// How many uploads may be queued or running; others are refused as busy.
    pub upload_limit: u32,
    /// Address to which StatsD metrics are sent; none turns them off.
    pub metrics: Option<SocketAddr>,
    /// Least severe level that is logged.
    pub log: LevelFilter,
    /// What the process may use of its machine, besides the weights that it stages.
    pub process: ProcessLimits,
    /// How long a planned stop waits for requests in progress.
    pub drain_timeout: Millis,
    /// Settings of the reducer.
    pub agent: AgentSettings,
}

/// Reads and checks all settings; the outcome holds every fault found, not just the first.
pub fn read(mut reader: SettingsReader) -> SettingsOutcome<AgentConfig> {
    let platform = PlatformConfig::read(&mut reader);
    let config = AgentConfig {
        listen: reader.required("agent", "listen", "IP:PORT", local()),
        local_listen: reader.value("agent", "local_listen", local()),
        upstream: address(&mut reader, "upstream", "address"),
        platform: platform.clone(),
        tick_interval: reader.value("agent", "tick", Millis(20)),
        upload_rate: reader.value("weights", "upload_rate", ByteRate(0)),
        download_rate: reader.value("weights", "download_rate", ByteRate(0)),
        upload_limit: reader.bounded("weights", "uploads", 4, 1, 1_000),
        metrics: reader.optional("agent", "metrics"),
        log: reader.value("agent", "log", LevelFilter::Info),
        process: ProcessLimits::read(&mut reader, "agent", 1_024.0),
        drain_timeout: reader.value("agent", "drain", Millis(30_000)),
        agent: AgentSettings {
            own: TransferPeer {
                id: name(&mut reader, "agent", "instance"),
                data_centre: name(&mut reader, "agent", "data_centre"),
            },
            service: name(&mut reader, "agent", "service"),
            region: name(&mut reader, "agent", "region"),
            transfer: transfer(&mut reader),
            copy_per_region: reader.value("weights", "copy_per_region", false),
            admission: admission(&mut reader),
            claim: claim(&mut reader),
            owner: owner(&mut reader),
            members: platform.members.clone(),
            staging_limit: reader.value("weights", "staging_limit", ByteSize(64_000_000_000)),
            floor_percent: reader.bounded("weights", "floor_percent", 75, 0, 99),
            exchange_every: reader.value("weights", "exchange_every", Millis(100)),
            wave_timeout: reader.value("weights", "wave_patience", Millis(120_000)),
            retry_every: reader.value("weights", "retry_every", Millis(500)),
            is_engine: reader.value("upstream", "engine", true),
        },
    };
    let owner = &config.agent.owner;
    if owner.margin >= owner.lease {
        let message = format!(
            "[upstream] margin = {}: write less than lease, which is {}",
            owner.margin, owner.lease
        );
        reader.fault(0, message);
    }
    reader.finish(config)
}

fn transfer(reader: &mut SettingsReader) -> TransferSettings {
    let default = TransferSettings::default();
    TransferSettings {
        origin_copies: reader.bounded("weights", "origin_copies", default.origin_copies, 1, 4),
        max_seeders: reader.bounded("weights", "drawers", default.max_seeders, 1, 1_000),
        window: reader.bounded("weights", "window", default.window, 1, 256),
        origin_window: reader.bounded("weights", "origin_window", default.origin_window, 1, 64),
        partners: reader.bounded("weights", "partners", default.partners, 1, 1_000),
        stall_after: reader.value("weights", "stall_after", default.stall_after),
        chunk_timeout: reader.value("weights", "chunk_patience", default.chunk_timeout),
        corrupt_limit: reader.bounded("weights", "corrupt_limit", default.corrupt_limit, 1, 100),
        sample: default.sample,
        remote_fetchers: default.remote_fetchers,
        uses_primary_holders: default.uses_primary_holders,
        origin_chunk_ms: default.origin_chunk_ms,
        relay_window: default.relay_window,
        prefers_relays: default.prefers_relays,
    }
}

fn admission(reader: &mut SettingsReader) -> AdmissionSettings {
    let default = AdmissionSettings::default();
    AdmissionSettings {
        capacity: reader.bounded("upstream", "capacity", default.capacity, 1, 100_000),
        queue: reader.bounded("upstream", "queue", default.queue, 0, 100_000),
        max_starts_ahead: reader.bounded("upstream", "turns", default.max_starts_ahead, 1, 1_000),
        spacing_percent: reader.bounded("upstream", "spread", default.spacing_percent, 0, 100),
    }
}

fn owner(reader: &mut SettingsReader) -> OwnerSettings {
    let default = OwnerSettings::default();
    OwnerSettings {
        lease: reader.value("upstream", "lease", default.lease),
        margin: reader.value("upstream", "margin", default.margin),
        longest_order: reader.value("upstream", "longest_order", default.longest_order),
        upstream_checks_fencing: reader.value(
            "upstream",
            "checks_fencing",
            default.upstream_checks_fencing,
        ),
        retry_after: reader.value("platform", "retry_after", default.retry_after),
    }
}

fn claim(reader: &mut SettingsReader) -> ClaimSettings {
    let default = ClaimSettings::default();
    ClaimSettings {
        shards: reader.bounded("claims", "shards", default.shards, 1, 4_096),
        retention_s: reader.value("claims", "retention", Millis(default.retention_s * 1_000)).0
            / 1_000,
        write_every: reader.value("claims", "write_every", default.write_every),
        calls_per_second: reader.bounded(
            "claims",
            "calls_per_second",
            default.calls_per_second,
            1,
            100_000,
        ),
        claim_timeout: reader.value("claims", "patience", default.claim_timeout),
        shard_limit: default.shard_limit,
    }
}

//! Settings of an entry that sends requests to agents; `docs/SETTINGS.md` lists every key.

use std::net::SocketAddr;

use log::LevelFilter;
use mustardrill_core::budget::RetrySettings;
use mustardrill_core::entry::EntrySettings;
use mustardrill_core::routing::RoutingSettings;
use mustardrill_runtime::config::{PlatformConfig, ProcessLimits, local, name};
use mustardrill_runtime::settings::{SettingsOutcome, SettingsReader};
use mustardrill_types::{ByteSize, CustomerName, Millis};

/// All settings of an entry that sends requests to agents.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Address that serves callers.
    pub listen: SocketAddr,
    /// Address that serves operators.
    pub operator_listen: SocketAddr,
    /// Addresses of the platform's services and of the origins of weights.
    pub platform: PlatformConfig,
    /// Interval of the reducer's timer events.
    pub tick: Millis,
    /// Address of the StatsD server that receives metrics; `None` for no metrics.
    pub metrics: Option<SocketAddr>,
    /// The least severe level that is logged.
    pub log: LevelFilter,
    /// What the process may use of its machine.
    pub process: ProcessLimits,
    /// How long a planned stop waits for requests in progress.
    pub drain: Millis,
    /// Customers, who may call, and operators, who may edit.
    pub access: AccessConfig,
    /// Limits and defaults of callers' requests.
    pub callers: CallerConfig,
    /// Limits of edits.
    pub edits: EditConfig,
    /// Settings of the reducer.
    pub entry: EntrySettings,
}

/// Customers and operators with the digests of their tokens; the tokens themselves are not kept.
#[derive(Clone, Default)]
pub struct AccessConfig {
    customers: Vec<(CustomerName, blake3::Hash)>,
    operators: Vec<(Box<str>, blake3::Hash)>,
}

/// Limits and defaults of callers' requests.
#[derive(Debug, Clone)]
pub struct CallerConfig {
    /// Timeout of a request that does not set one.
    pub timeout: Millis,
    /// The longest timeout that a request may set.
    pub longest_timeout: Millis,
    /// The largest body of a request; a larger one is refused.
    pub body_limit: ByteSize,
    /// How many bytes at the start of a request to a model form its affinity key; zero for none.
    pub prefix: ByteSize,
}

/// Limits of edits.
#[derive(Debug, Clone)]
pub struct EditConfig {
    /// How long an edit is retried before its outcome is reported as "not yet known".
    pub timeout: Millis,
    /// The size of weights that an agent can stage, against which versions are checked.
    pub staging_limit: ByteSize,
}

impl std::fmt::Debug for AccessConfig {
    /// Shows names only, so that not even the digest of a token gets into a log.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let customers: Vec<_> = self.customers.iter().map(|(name, _)| name.as_str()).collect();
        let operators: Vec<_> = self.operators.iter().map(|(name, _)| &**name).collect();
        write!(formatter, "AccessConfig {{ customers: {customers:?}, operators: {operators:?} }}")
    }
}

impl AccessConfig {
    /// Returns the customer with this token. All tokens are compared, each in constant time, so
    /// that the time taken tells nothing about them.
    pub fn customer(&self, token: &str) -> Option<&CustomerName> {
        find(&self.customers, token)
    }

    /// Returns the operator with this token, compared like those of customers.
    pub fn operator(&self, token: &str) -> Option<&str> {
        find(&self.operators, token).map(|name| &**name)
    }

    /// Returns the names of all customers.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerName> {
        self.customers.iter().map(|(name, _)| name)
    }

    /// Returns the names of all operators.
    pub fn operators(&self) -> impl Iterator<Item = &str> {
        self.operators.iter().map(|(name, _)| &**name)
    }
}

/// Reads and checks all settings. The outcome holds the settings or every fault found, and
/// warnings.
pub fn read(mut reader: SettingsReader) -> SettingsOutcome<EntryConfig> {
    let platform = PlatformConfig::read(&mut reader);
    let config = EntryConfig {
        listen: reader.required("entry", "listen", "IP:PORT", local()),
        operator_listen: reader.required("entry", "operator_listen", "IP:PORT", local()),
        platform: platform.clone(),
        tick: reader.value("entry", "tick", Millis(10)),
        metrics: reader.optional("entry", "metrics"),
        log: reader.value("entry", "log", LevelFilter::Info),
        process: ProcessLimits::read(&mut reader, "entry", 1_024.0),
        drain: reader.value("entry", "drain", Millis(30_000)),
        access: access(&mut reader),
        callers: callers(&mut reader),
        edits: EditConfig {
            timeout: reader.value("edits", "patience", Millis(5_000)),
            staging_limit: reader.value("edits", "staging_limit", ByteSize(64_000_000_000)),
        },
        entry: EntrySettings {
            own_id: name(&mut reader, "entry", "instance"),
            data_centre: name(&mut reader, "entry", "data_centre"),
            routing: routing(&mut reader),
            retry: retry(&mut reader),
            claim_shards: reader.bounded("claims", "shards", 8, 1, 4_096),
            members: platform.members.clone(),
            subset: reader.bounded("routing", "subset", 32, 1, 10_000),
            sync_every: reader.value("routing", "sync_every", Millis(500)),
        },
    };
    let callers = &config.callers;
    if callers.timeout > callers.longest_timeout {
        let (timeout, longest) = (callers.timeout, callers.longest_timeout);
        let message =
            format!("[callers] timeout = {timeout}: write at most longest_timeout, {longest}");
        reader.fault(0, message);
    }
    reader.finish(config)
}

fn access(reader: &mut SettingsReader) -> AccessConfig {
    let mut access = AccessConfig::default();
    for key in reader.names("customers") {
        match key.name.parse() {
            Ok(name) => access.customers.push((name, blake3::hash(key.value.as_bytes()))),
            Err(error) => reader.fault(key.line, format!("[customers] {error}")),
        }
        check_token(reader, "customers", &key);
    }
    for key in reader.names("operators") {
        check_token(reader, "operators", &key);
        access.operators.push((key.name, blake3::hash(key.value.as_bytes())));
    }
    access
}

fn check_token(
    reader: &mut SettingsReader,
    section: &str,
    key: &mustardrill_core::ini_file::IniKey,
) {
    const SHORTEST_TOKEN: usize = 8;
    if key.value.len() < SHORTEST_TOKEN {
        // The message does not show the token.
        let message =
            format!("[{section}] {}: write a token of {SHORTEST_TOKEN} letters or more", key.name);
        reader.fault(key.line, message);
    }
}

fn callers(reader: &mut SettingsReader) -> CallerConfig {
    CallerConfig {
        timeout: reader.value("callers", "timeout", Millis(30_000)),
        longest_timeout: reader.value("callers", "longest_timeout", Millis(600_000)),
        body_limit: reader.value("callers", "body_limit", ByteSize(4_000_000)),
        prefix: reader.value("callers", "prefix", ByteSize(256)),
    }
}

fn routing(reader: &mut SettingsReader) -> RoutingSettings {
    let default = RoutingSettings::default();
    RoutingSettings {
        eject_after: reader.bounded("routing", "eject_after", default.eject_after, 1, 100),
        eject_for: reader.value("routing", "eject_for", default.eject_for),
        slow_start: reader.value("routing", "slow_start", default.slow_start),
        affinity_bound: reader.bounded("routing", "affinity_bound", default.affinity_bound, 0, 400),
        remote_penalty: reader.bounded("routing", "near_bonus", default.remote_penalty, 0.0, 100.0),
        silent_for: reader.value("routing", "silent_for", default.silent_for),
    }
}

fn retry(reader: &mut SettingsReader) -> RetrySettings {
    let default = RetrySettings::default();
    RetrySettings {
        percent: reader.bounded("retries", "percent", default.percent, 0, 100),
        reserve: reader.bounded("retries", "reserve", default.reserve, 0, 10_000),
        attempts: reader.bounded("retries", "attempts", default.attempts, 1, 20),
    }
}

fn find<'a, T>(known: &'a [(T, blake3::Hash)], token: &str) -> Option<&'a T> {
    let hash = blake3::hash(token.as_bytes());
    // `blake3::Hash` compares in constant time, and the search does not end early.
    let mut found = None;
    for (name, digest) in known {
        if *digest == hash {
            found = Some(name);
        }
    }
    found
}

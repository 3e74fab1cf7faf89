//! The entry's settings; `docs/SETTINGS.md` lists every key.

use std::net::SocketAddr;

use log::LevelFilter;
use mustardrill_core::budget::RetrySettings;
use mustardrill_core::entry::EntrySettings;
use mustardrill_core::routing::RoutingSettings;
use mustardrill_runtime::config::{PlatformConfig, local, name};
use mustardrill_runtime::settings::{SettingsOutcome, SettingsReader};
use mustardrill_types::{ByteSize, CustomerName, Millis};

/// All settings of one entry.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where operators reach it.
    pub operator_listen: SocketAddr,
    /// The platform and the origin.
    pub platform: PlatformConfig,
    /// How often the reducer looks at the time.
    pub tick: Millis,
    /// Where metrics go, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Which lines are logged.
    pub log: LevelFilter,
    /// How long a planned stop waits for requests in progress.
    pub drain: Millis,
    /// Who may call and who may edit.
    pub access: AccessConfig,
    /// What callers may ask for.
    pub callers: CallerConfig,
    /// How edits are made.
    pub edits: EditConfig,
    /// What the reducer is told.
    pub entry: EntrySettings,
}

/// Customers and operators with the digests of their tokens; the tokens themselves are not kept.
#[derive(Clone, Default)]
pub struct AccessConfig {
    customers: Vec<(CustomerName, blake3::Hash)>,
    operators: Vec<(Box<str>, blake3::Hash)>,
}

/// What callers may ask for.
#[derive(Debug, Clone)]
pub struct CallerConfig {
    /// The deadline of a request that names none.
    pub timeout: Millis,
    /// The longest deadline that a request may name.
    pub longest_timeout: Millis,
    /// The largest body of a request.
    pub body_limit: ByteSize,
    /// How many bytes at the start of a model's request make its affinity key.
    pub prefix: ByteSize,
}

/// How edits are made.
#[derive(Debug, Clone)]
pub struct EditConfig {
    /// How long an edit is tried before it is "not yet known".
    pub patience: Millis,
    /// How much an agent can stage.
    pub staging_limit: ByteSize,
}

impl std::fmt::Debug for AccessConfig {
    /// Names only: no trace of a token gets into a log.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let customers: Vec<_> = self.customers.iter().map(|(name, _)| name.as_str()).collect();
        let operators: Vec<_> = self.operators.iter().map(|(name, _)| &**name).collect();
        write!(formatter, "AccessConfig {{ customers: {customers:?}, operators: {operators:?} }}")
    }
}

impl AccessConfig {
    /// The customer with this token. Every token is compared, each in constant time.
    pub fn customer(&self, token: &str) -> Option<&CustomerName> {
        find(&self.customers, token)
    }

    /// The operator with this token. Every token is compared, each in constant time.
    pub fn operator(&self, token: &str) -> Option<&str> {
        find(&self.operators, token).map(|name| &**name)
    }

    /// The names of all customers.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerName> {
        self.customers.iter().map(|(name, _)| name)
    }

    /// The names of all operators.
    pub fn operators(&self) -> impl Iterator<Item = &str> {
        self.operators.iter().map(|(name, _)| &**name)
    }
}

/// Reads and checks all settings.
pub fn read(mut reader: SettingsReader) -> SettingsOutcome<EntryConfig> {
    let platform = PlatformConfig::read(&mut reader);
    let config = EntryConfig {
        listen: reader.required("entry", "listen", "IP:PORT", local()),
        operator_listen: reader.required("entry", "operator_listen", "IP:PORT", local()),
        platform: platform.clone(),
        tick: reader.value("entry", "tick", Millis(10)),
        metrics: reader.optional("entry", "metrics"),
        log: reader.value("entry", "log", LevelFilter::Info),
        drain: reader.value("entry", "drain", Millis(30_000)),
        access: access(&mut reader),
        callers: callers(&mut reader),
        edits: EditConfig {
            patience: reader.value("edits", "patience", Millis(5_000)),
            staging_limit: reader.value("edits", "staging_limit", ByteSize(64_000_000_000)),
        },
        entry: EntrySettings {
            own: name(&mut reader, "entry", "instance"),
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
    const SHORTEST: usize = 8;
    if key.value.len() < SHORTEST {
        // The token itself is not shown.
        let message =
            format!("[{section}] {}: write a token of {SHORTEST} letters or more", key.name);
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
        near_bonus: reader.bounded("routing", "near_bonus", default.near_bonus, 0.0, 100.0),
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

//! Settings that both daemons share: the platform's services, the origin, and when a member counts
//! as dead.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::str::FromStr;

use mustardrill_core::connections::ConnectionLimits;
use mustardrill_core::membership::MemberSettings;
use mustardrill_types::{ByteSize, Millis};
use rustix::process::{Resource, getrlimit};

use crate::settings::SettingsReader;

/// Addresses of the platform's services and of the origin, and how they are polled.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// Address of the key-value service, as `ip:port`.
    pub key_value: Box<str>,
    /// Address of the service that lists instances, as `ip:port`.
    pub instances: Box<str>,
    /// Addresses of the origin and, after it, of the weight store as its fallback.
    pub origins: Vec<Box<str>>,
    /// Timeout of a call to the key-value service or the instance list.
    pub timeout: Millis,
    /// Interval between two reads of the instance list.
    pub list_every: Millis,
    /// When a listed instance that fails is taken for dead, and for how long.
    pub members: MemberSettings,
}

impl PlatformConfig {
    /// Reads the section `[platform]`, and `origin` and `store` of the section `[weights]`.
    pub fn read(reader: &mut SettingsReader) -> Self {
        let members = MemberSettings::default();
        Self {
            key_value: address(reader, "platform", "key_value"),
            instances: address(reader, "platform", "instances"),
            origins: origins(reader),
            timeout: reader.value("platform", "timeout", Millis(1_000)),
            list_every: reader.value("platform", "list_every", Millis(2_000)),
            members: MemberSettings {
                failures: reader.bounded("platform", "failures", members.failures, 1, 100),
                dead_for: reader.value("platform", "dead_for", members.dead_for),
            },
        }
    }
}

/// What the process may use of its machine, and how long it waits for clients that do not read.
#[derive(Debug, Clone, Copy)]
pub struct ProcessLimits {
    /// The memory of the process.
    pub memory: ByteSize,
    /// Descriptors that it may have open.
    pub descriptors: usize,
    /// A connection whose client reads nothing of an answer for this long is closed.
    pub unread_timeout: Millis,
}

impl ProcessLimits {
    /// Reads `memory_mb`, `descriptors` and `unread` of a section; the memory is `megabytes` where
    /// none is stated, and the descriptors are what the operating system allows.
    pub fn read(reader: &mut SettingsReader, section: &str, megabytes: f64) -> Self {
        let megabytes = reader.bounded(section, "memory_mb", megabytes, 16.0, 1_000_000.0);
        const MOST_DESCRIPTORS: f64 = 1e9;
        let allowed = getrlimit(Resource::Nofile).current;
        let allowed = allowed.map_or(MOST_DESCRIPTORS, |allowed| allowed as f64);
        let allowed = allowed.min(MOST_DESCRIPTORS);
        // Platforms may scale their limits, which gives fractions.
        let descriptors = reader.bounded(section, "descriptors", allowed, 64.0, MOST_DESCRIPTORS);
        Self {
            memory: ByteSize((megabytes * 1_000_000.0) as u64),
            descriptors: descriptors as usize,
            unread_timeout: reader.value(section, "unread", Millis(30_000)),
        }
    }

    /// What all client connections of the process may take together.
    pub fn connections(&self) -> ConnectionLimits {
        ConnectionLimits::of_process(self.memory, self.descriptors, self.unread_timeout)
    }
}

/// Reads a mandatory address; reports a fault to `reader` if it is missing or malformed.
pub fn address(reader: &mut SettingsReader, section: &str, key: &str) -> Box<str> {
    reader.required(section, key, "IP:PORT", local()).to_string().into()
}

/// Placeholder for a missing address: any free port on the loopback interface.
pub fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Reads a mandatory name; reports a fault to `reader` if it is missing or malformed.
pub fn name<T: FromStr<Err: Debug + std::fmt::Display>>(
    reader: &mut SettingsReader,
    section: &str,
    key: &str,
) -> T {
    let placeholder = "unnamed".parse().expect("a valid name");
    reader.required(section, key, "NAME", placeholder)
}

fn origins(reader: &mut SettingsReader) -> Vec<Box<str>> {
    let origin = address(reader, "weights", "origin");
    let store: Option<SocketAddr> = reader.optional("weights", "store");
    let store = store.map(|address| address.to_string().into());
    std::iter::once(origin).chain(store).collect()
}

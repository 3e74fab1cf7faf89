//! The settings that both daemons have: the platform, the origin, and how members are judged.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::str::FromStr;

use mustardrill_core::membership::MemberSettings;
use mustardrill_types::Millis;

use crate::settings::SettingsReader;

/// Where the platform and the origin are, and how they are asked.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// The key-value service, as `ip:port`.
    pub key_value: Box<str>,
    /// The instance list.
    pub instances: Box<str>,
    /// The origin first, then what stands in for it.
    pub origins: Vec<Box<str>>,
    /// How long a call may take.
    pub timeout: Millis,
    /// How often the instance list is read.
    pub list_every: Millis,
    /// How the instance list is corrected.
    pub members: MemberSettings,
}

impl PlatformConfig {
    /// Reads the sections `[platform]` and, of `[weights]`, where weights come from.
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

/// An address that must be there.
pub fn address(reader: &mut SettingsReader, section: &str, key: &str) -> Box<str> {
    reader.required(section, key, "IP:PORT", local()).to_string().into()
}

/// Any free port of this machine, which stands in where a setting is missing.
pub fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A name that must be there.
pub fn name<T: FromStr<Err: Debug + std::fmt::Display>>(
    reader: &mut SettingsReader,
    section: &str,
    key: &str,
) -> T {
    let stand_in = "unnamed".parse().expect("a valid name");
    reader.required(section, key, "NAME", stand_in)
}

fn origins(reader: &mut SettingsReader) -> Vec<Box<str>> {
    let origin = address(reader, "weights", "origin");
    let store: Option<SocketAddr> = reader.optional("weights", "store");
    let store = store.map(|address| address.to_string().into());
    std::iter::once(origin).chain(store).collect()
}

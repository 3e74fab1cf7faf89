//! Names and ids. Each has its own type so that one cannot be passed in place of another.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The error for text that is not a valid name or id.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{value:?} is not a valid {kind}: {rule}")]
pub struct ParseIdError {
    value: Box<str>,
    kind: &'static str,
    rule: &'static str,
}

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String")]
        pub struct $name(Box<str>);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                text.parse()
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                check_name(text, $kind).map(Self)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $number:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        pub struct $name(pub $number);

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

/// Serialises a type as its text form, for documents read by people or by programs in other
/// languages.
macro_rules! serde_as_text {
    ($name:ident) => {
        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                text.parse()
            }
        }
    };
}

macro_rules! hex_id_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[display("{_0:032x}")]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(pub u128);

        serde_as_text!($name);

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                const RULE: &str = "1 to 32 hexadecimal digits";
                u128::from_str_radix(text, 16).map(Self).map_err(|_| ParseIdError {
                    value: text.into(),
                    kind: $kind,
                    rule: RULE,
                })
            }
        }
    };
}

name_type!(
    /// The name of a running machine of the fleet: an entry, or an upstream with its agent.
    InstanceId,
    "instance name"
);
name_type!(
    /// The name of a service: a group of upstreams that serve the same models or calls.
    ServiceName,
    "service name"
);
name_type!(
    /// The name by which callers request a model or plain service.
    ModelName,
    "model name"
);
name_type!(
    /// The name of a version of a model's weights.
    VersionName,
    "version name"
);
name_type!(
    /// The name of a customer, who calls models and has its own limits.
    CustomerName,
    "customer name"
);
/// The name of a customer in a configuration that other programs write: any text that a header can
/// carry unchanged.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerLabel(Box<str>);

impl CustomerLabel {
    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for CustomerLabel {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        const RULE: &str = "some text without control characters or spaces around it";
        if text.is_empty() || text.trim() != text || text.chars().any(char::is_control) {
            return Err(ParseIdError { value: text.into(), kind: "customer name", rule: RULE });
        }
        Ok(Self(text.into()))
    }
}

name_type!(
    /// The name of a data centre.
    DataCentre,
    "data centre name"
);
name_type!(
    /// The name of a region, which contains one or more data centres.
    RegionName,
    "region name"
);
number_type!(
    /// The number of a state of the catalogue; each accepted edit increases it by one.
    Generation,
    u64
);
number_type!(
    /// The number that an owner of an upstream sends with its orders. A later owner has a higher
    /// number, so that the upstream can refuse the orders of an earlier one.
    FencingNumber,
    u64
);
number_type!(
    /// The number of a version of a model's weights; a newer version has a higher number.
    WeightVersion,
    u64
);
number_type!(
    /// When an upstream started, in Unix milliseconds by its own clock; zero if it does not report
    /// it.
    ///
    /// It identifies one incarnation of an upstream, which may restart under the same id. A
    /// restarted upstream has no state of the earlier incarnation, so what is known of an upstream
    /// applies to one incarnation only.
    StartStamp,
    u64
);
number_type!(
    /// The revision of the platform's store; each change increases it.
    StoreRevision,
    u64
);
number_type!(
    /// How often the platform's store has been restored from an older copy of itself.
    ///
    /// Revisions and lease numbers are unique only within an era: after a restore the store assigns
    /// them again.
    StoreEra,
    u64
);
number_type!(
    /// The index of a chunk within its manifest, from zero.
    ChunkIndex,
    u32
);
hex_id_type!(
    /// Identifies one attempt to run a request on one upstream.
    AttemptId,
    "attempt id"
);
hex_id_type!(
    /// Identifies an edit of the catalogue; retries of the edit keep the id.
    EditId,
    "edit id"
);
hex_id_type!(
    /// Identifies a non-idempotent request of a customer, so that it runs at most once.
    RequestKey,
    "request key"
);

hex_id_type!(
    /// The digest of a request's content. A repeated request has the same digest at every entry.
    RequestDigest,
    "request digest"
);

/// The BLAKE3 digest of a version's manifest, which pins every byte of the version, or of one
/// chunk.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{}", blake3::Hash::from_bytes(*_0).to_hex())]
#[serde(into = "String", try_from = "String")]
pub struct ManifestDigest(pub [u8; 32]);

serde_as_text!(ManifestDigest);

impl ManifestDigest {
    /// Computes the BLAKE3 digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// The first eight hexadecimal digits, for log lines.
    pub fn short(&self) -> Box<str> {
        blake3::Hash::from_bytes(self.0).to_hex()[..8].into()
    }
}

impl FromStr for ManifestDigest {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        blake3::Hash::from_hex(text).map(|hash| Self(*hash.as_bytes())).map_err(|_| ParseIdError {
            value: text.into(),
            kind: "manifest digest",
            rule: "64 hexadecimal digits",
        })
    }
}

impl RequestKey {
    /// Derives the key from the idempotency key `text` that `customer` sent. The customer is part
    /// of the hash, so equal texts of two customers give different keys.
    pub fn of(customer: &CustomerName, text: &str) -> Self {
        Self(first_half(blake3::hash(format!("{}\n{text}", customer.as_str()).as_bytes())))
    }
}

impl RequestDigest {
    /// Computes the digest of the parts of a request, in order.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // Hashing each length first keeps different splits of the same bytes from colliding.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(first_half(hasher.finalize()))
    }
}

fn first_half(hash: blake3::Hash) -> u128 {
    let mut half = [0; 16];
    half.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_be_bytes(half)
}

fn check_name(text: &str, kind: &'static str) -> Result<Box<str>, ParseIdError> {
    const RULE: &str = "1 to 64 letters, digits, dots, hyphens or underscores";
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "._-".contains(letter);
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(allowed) {
        return Err(ParseIdError { value: text.into(), kind, rule: RULE });
    }
    Ok(text.into())
}

//! Datagrams between entries, and from agents to entries and to each other.
//!
//! They carry what is soon told anew: a lost one costs a moment's precision. A stream would cost
//! connections that go silent, and memory for each pair of processes.

use std::net::SocketAddr;

use mustardrill_core::direct::{
    AnnouncementReport, AnnouncementTime, AvailabilitySpan, EngineNotice,
};
use mustardrill_proto::CrashRow;
use mustardrill_types::{Generation, InstanceId, Millis, ModelName, Moment, WeightVersion};
use prost::Message;

/// The largest datagram that is sent: what passes every link whole.
pub const DATAGRAM_LIMIT: usize = 1_400;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// The sender's instance.
    #[prost(string, tag = "1")]
    pub from: String,
    /// What an entry has at upstreams.
    #[prost(message, repeated, tag = "2")]
    pub loads: Vec<LoadRow>,
    /// What an agent tells of its engine.
    #[prost(message, optional, tag = "3")]
    pub engine: Option<EngineRow>,
    /// What an agent holds of a version.
    #[prost(message, optional, tag = "4")]
    pub holding: Option<HoldingRow>,
    /// A version that was named, as an entry tells agents.
    #[prost(message, optional, tag = "5")]
    pub named: Option<VersionRow>,
    /// Whether upstreams that `loads` does not name are as they were told before.
    #[prost(bool, tag = "6")]
    pub partial: bool,
    /// What waits in an entry, of all services.
    #[prost(message, repeated, tag = "7")]
    pub waiting: Vec<WaitRow>,
    /// What is told of requests under which upstreams ended.
    #[prost(message, repeated, tag = "8")]
    pub crashes: Vec<CrashRow>,
    /// Since when the store has answered, as an entry tells another that asked.
    #[prost(message, optional, tag = "9")]
    pub contact: Option<ContactRow>,
    /// Asks for that, with the moment on the asker's clock.
    #[prost(uint64, optional, tag = "10")]
    pub contact_ask: Option<u64>,
}

/// A time in which the store answered, by its ages at the sending.
#[derive(Clone, PartialEq, Message)]
pub struct ContactRow {
    /// How long ago its first answer was, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub since_ms: u64,
    /// How long ago its last answer was, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub until_ms: u64,
    /// When it was asked for, on the asker's clock.
    #[prost(uint64, tag = "3")]
    pub asked: u64,
    /// The generation of the configuration that is in force.
    #[prost(uint64, tag = "4")]
    pub generation: u64,
    /// The versions named lately.
    #[prost(message, repeated, tag = "5")]
    pub namings: Vec<NamingRow>,
}

/// When a version was named, by its ages at the sending.
#[derive(Clone, PartialEq, Message)]
pub struct NamingRow {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// How long ago it was not named yet, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub earliest_ms: u64,
    /// How long ago somebody knew of it, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub known_ms: u64,
    /// How long ago somebody heard of it at once, in milliseconds; nothing where nobody did.
    #[prost(uint64, optional, tag = "5")]
    pub heard_ms: Option<u64>,
}

/// The namings that one answer carries: the newest of all, so that it passes every link whole.
const NAMINGS_LIMIT: usize = 8;

/// The longest that an answer may have taken whose ages are believed: one that waited while a process
/// stood still would make old answers of the store look new.
const ANSWER_LIMIT: Millis = Millis(150);

/// The requests that wait in an entry for a service.
#[derive(Clone, PartialEq, Message)]
pub struct WaitRow {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// How many.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// A version of a model.
#[derive(Clone, PartialEq, Message)]
pub struct VersionRow {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// An entry's requests at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct LoadRow {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// How many.
    #[prost(uint32, tag = "2")]
    pub outstanding: u32,
    /// How long the engine takes to read the prompts of those without an answer, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub reading_ms: u32,
}

/// What an engine serves.
#[derive(Clone, PartialEq, Message)]
pub struct EngineRow {
    /// Where it listens.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Whether newer weights will be there soon.
    #[prost(bool, tag = "2")]
    pub coming: bool,
    /// The model.
    #[prost(string, tag = "3")]
    pub model: String,
    /// The version that it serves; zero where it takes no requests.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// In how many milliseconds it loads newer weights; zero where that is not told.
    #[prost(uint64, tag = "5")]
    pub closing_ms: u64,
}

/// What an agent holds of a version.
#[derive(Clone, PartialEq, Message)]
pub struct HoldingRow {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// One bit a chunk.
    #[prost(bytes = "vec", tag = "3")]
    pub bitmap: Vec<u8>,
    /// Uploads that wait.
    #[prost(uint32, tag = "4")]
    pub queue: u32,
    /// Whether an answer is wanted.
    #[prost(bool, tag = "5")]
    pub asks: bool,
}

impl Datagram {
    /// A datagram from `from` with nothing in it.
    pub fn new(from: &InstanceId) -> Self {
        Self { from: from.to_string(), ..Self::default() }
    }

    /// The bytes to be sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Reads a datagram; nothing where it is malformed.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        Self::decode(bytes)
            .inspect_err(|error| log::warn!("datagram outcome=dropped reason=\"{error}\""))
            .ok()
    }
}

impl ContactRow {
    /// What is told at `now`, of the time in which the store answered, to who asked at `asked`.
    pub fn new(now: Moment, span: AvailabilitySpan, generation: Generation, asked: u64) -> Self {
        let (since_ms, until_ms) = (now.since(span.since).0, now.since(span.until).0);
        Self { since_ms, until_ms, asked, generation: generation.0, namings: Vec::new() }
    }

    /// The same with what is told at `now` of versions.
    pub fn with_namings(self, now: Moment, mut words: Vec<AnnouncementReport>) -> Self {
        words.sort_by_key(|word| std::cmp::Reverse(word.time.effective_at()));
        let rows = words.iter().take(NAMINGS_LIMIT).map(|word| NamingRow::new(now, word));
        Self { namings: rows.collect(), ..self }
    }

    /// The namings on the clock of the process that asked and hears them at `now`; nothing where the
    /// answer took too long.
    pub fn namings(&self, now: Moment) -> Vec<AnnouncementReport> {
        let took = now.since(Moment(self.asked));
        if took > ANSWER_LIMIT {
            return Vec::new();
        }
        self.namings.iter().filter_map(|row| row.word(now, took)).collect()
    }

    /// That time on the clock of the process that asked and hears it at `now`; nothing where the
    /// answer took too long, or the time was over before that clock began.
    pub fn span(&self, now: Moment) -> Option<AvailabilitySpan> {
        let took = now.since(Moment(self.asked));
        if took > ANSWER_LIMIT {
            return None;
        }
        // Told at the earliest when it was asked: the last answer of the store is no later than so.
        let until = Moment(now.0.checked_sub(took.0.saturating_add(self.until_ms))?);
        Some(AvailabilitySpan { since: now - Millis(self.since_ms), until })
    }
}

impl NamingRow {
    /// What is told of a version at `now`.
    fn new(now: Moment, word: &AnnouncementReport) -> Self {
        Self {
            model: word.model.to_string(),
            version: word.version.0,
            // What was there at this process's start may have been named any time before.
            earliest_ms: match word.time.earliest {
                Moment(0) => u64::MAX,
                earliest => now.since(earliest).0,
            },
            known_ms: now.since(word.time.known_at).0,
            heard_ms: word.time.observed.map(|heard| now.since(heard).0),
        }
    }

    /// The word as it is heard at `now`, `took` after it was asked for.
    fn word(&self, now: Moment, took: Millis) -> Option<AnnouncementReport> {
        // It was sent some time since the asking: what is told may be older by that.
        let age = |told: u64| now - took - Millis(told);
        let time = AnnouncementTime {
            earliest: age(self.earliest_ms),
            known_at: now - Millis(self.known_ms),
            observed: self.heard_ms.map(age),
        };
        Some(AnnouncementReport {
            model: self.model.parse().ok()?,
            version: WeightVersion(self.version),
            time,
            slack: took,
        })
    }
}

impl EngineRow {
    /// What an agent tells of the engine at `address`.
    pub fn new(address: SocketAddr, model: &ModelName, word: EngineNotice) -> Self {
        let (address, model) = (address.to_string(), model.to_string());
        // Who does not know of closing engines takes their weights for coming ones.
        let (coming, version, closing_ms) = match word {
            EngineNotice::UpdatePending => (true, 0, 0),
            EngineNotice::LoadingIn(after) => (true, 0, after.0.max(1)),
            EngineNotice::Loading => (false, 0, 0),
            EngineNotice::Serving(version) => (false, version.0, 0),
        };
        Self { address, coming, model, version, closing_ms }
    }

    /// The word that it carries.
    pub fn word(&self) -> EngineNotice {
        match (self.coming, self.closing_ms, self.version) {
            (true, 0, _) => EngineNotice::UpdatePending,
            (true, after, _) => EngineNotice::LoadingIn(Millis(after)),
            (false, _, 0) => EngineNotice::Loading,
            (false, _, version) => EngineNotice::Serving(WeightVersion(version)),
        }
    }
}

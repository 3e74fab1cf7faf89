//! Datagrams between entries, and from agents to entries and to each other.
//!
//! They carry state that is sent again soon, so a lost datagram only makes it outdated for a
//! moment. Streams would need memory for each pair of processes, and handling of dead connections.

use std::net::SocketAddr;

use mustardrill_core::direct::{
    AnnouncementReport, AnnouncementTime, AvailabilitySpan, EngineNotice, IntakeReport, PaceReport,
    UpstreamLoad, WorkPace,
};
use mustardrill_proto::CrashRow;
use mustardrill_types::{
    Generation, InstanceId, Millis, ModelName, Moment, RequestRate, StartStamp, WeightVersion,
};
use prost::Message;

/// Largest datagram sent, in bytes; small enough to pass every link without fragmentation.
pub const DATAGRAM_LIMIT: usize = 1_400;

/// Total size of the crash reports in a datagram, in bytes; the rest is for the sender's name.
const CRASH_BYTES_PER_DATAGRAM: usize = DATAGRAM_LIMIT - 100;

/// What a row takes in a datagram besides its own bytes.
const ROW_OVERHEAD_BYTES: usize = 4;

/// One datagram; each part may be absent.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// The sender's instance id.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Load that an entry puts on upstreams.
    #[prost(message, repeated, tag = "2")]
    pub loads: Vec<LoadRow>,
    /// State of an agent's engine.
    #[prost(message, optional, tag = "3")]
    pub engine: Option<EngineRow>,
    /// Chunks of a version that an agent holds.
    #[prost(message, optional, tag = "4")]
    pub holding: Option<HoldingRow>,
    /// Newly announced version, sent by an entry to agents.
    #[prost(message, optional, tag = "5")]
    pub announced_version: Option<VersionRow>,
    /// Whether `loads` is incremental: the last reported load still holds for upstreams that it
    /// does not contain.
    #[prost(bool, tag = "6")]
    pub partial: bool,
    /// Requests that wait in an entry, for all services.
    #[prost(message, repeated, tag = "7")]
    pub waiting: Vec<WaitRow>,
    /// Crash reports: requests during which an upstream crashed.
    #[prost(message, repeated, tag = "8")]
    pub crashes: Vec<CrashRow>,
    /// Availability of the store, sent by an entry in answer to another entry's request.
    #[prost(message, optional, tag = "9")]
    pub availability: Option<AvailabilityRow>,
    /// Requests `availability`; carries the time of the request on the requester's clock.
    #[prost(uint64, optional, tag = "10")]
    pub availability_request: Option<u64>,
    /// Request rates that upstreams accept. The datagram is marked `partial`, as entries of an
    /// earlier build take it for a load update.
    #[prost(message, repeated, tag = "11")]
    pub intakes: Vec<IntakeRow>,
}

/// The request rate that an upstream accepts from all entries together.
#[derive(Clone, PartialEq, Message)]
pub struct IntakeRow {
    /// The upstream's id.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start of the upstream's incarnation.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// Rate in thousandths of a request per second; `None` for any rate.
    #[prost(uint64, optional, tag = "3")]
    pub rate: Option<u64>,
    /// Number of changes of the rate, as the sender knows it.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Age of the last answer that stated the rate, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
}

/// A span in which the store was available. Its ends are sent as ages at the time of sending, since
/// processes share no clock.
#[derive(Clone, PartialEq, Message)]
pub struct AvailabilityRow {
    /// Age of the store's first answer in the span, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub since_ms: u64,
    /// Age of the store's last answer in the span, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub until_ms: u64,
    /// Time of the request, on the requester's clock.
    #[prost(uint64, tag = "3")]
    pub requested_at: u64,
    /// Generation of the configuration in force.
    #[prost(uint64, tag = "4")]
    pub generation: u64,
    /// Recently announced versions.
    #[prost(message, repeated, tag = "5")]
    pub announcements: Vec<AnnouncementRow>,
}

/// When a version was announced; times are sent as ages at the time of sending.
#[derive(Clone, PartialEq, Message)]
pub struct AnnouncementRow {
    /// Model that the version belongs to.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of the weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Age of the last time at which it was not announced yet, in milliseconds; `u64::MAX` if no
    /// such time is known.
    #[prost(uint64, tag = "3")]
    pub earliest_ms: u64,
    /// Age of a time at which some process knew of it, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub known_ms: u64,
}

/// Most announcements in one answer, so that it fits into a datagram; the newest ones are sent.
const ANNOUNCEMENTS_LIMIT: usize = 8;

/// Longest round trip after which the ages in an answer are used. An answer delayed by a suspended
/// process would make the store's answers look more recent than they are.
const MAX_ROUND_TRIP: Millis = Millis(150);

/// Number of requests that wait in an entry for one service.
#[derive(Clone, PartialEq, Message)]
pub struct WaitRow {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of waiting requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// A model's version.
#[derive(Clone, PartialEq, Message)]
pub struct VersionRow {
    /// Model that the version belongs to.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of the weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Load that an entry puts on one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct LoadRow {
    /// The upstream's id.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of the entry's requests at the upstream.
    #[prost(uint32, tag = "2")]
    pub outstanding: u32,
    /// Estimated prefill time of the requests whose answer has not started, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub prefill_ms: u32,
    /// Pace that the upstream has just stated to the entry, in percent of usual; `None` if it has
    /// stated none, and from entries of an earlier build.
    #[prost(uint32, optional, tag = "4")]
    pub pace: Option<u32>,
    /// Age of that statement, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub pace_age_ms: u32,
}

/// Which weights an engine serves or is about to load.
#[derive(Clone, PartialEq, Message)]
pub struct EngineRow {
    /// Address at which the engine listens.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Whether the engine will load newer weights soon.
    #[prost(bool, tag = "2")]
    pub update_pending: bool,
    /// Model that the version belongs to.
    #[prost(string, tag = "3")]
    pub model: String,
    /// Version served; zero while the engine takes no requests.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Time until it loads newer weights, in milliseconds; zero if not reported.
    #[prost(uint64, tag = "5")]
    pub loading_in_ms: u64,
    /// Start of the engine's incarnation; agents of an earlier build send none.
    #[prost(uint64, optional, tag = "6")]
    pub start: Option<u64>,
    /// The number of the load by which it got the version, if the chunks of that load were proven
    /// intact; zero otherwise.
    #[prost(uint64, tag = "7")]
    pub proven_load: u64,
}

/// Chunks of a version that an agent holds.
#[derive(Clone, PartialEq, Message)]
pub struct HoldingRow {
    /// Model that the version belongs to.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of the weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// One bit per chunk, set if the agent holds it.
    #[prost(bytes = "vec", tag = "3")]
    pub bitmap: Vec<u8>,
    /// Number of uploads that wait in the agent's queue.
    #[prost(uint32, tag = "4")]
    pub queue: u32,
    /// Whether the sender requests the receiver's holding in return.
    #[prost(bool, tag = "5")]
    pub wants_reply: bool,
}

impl Datagram {
    /// Creates an empty datagram from the instance `from`.
    pub fn new(from: &InstanceId) -> Self {
        Self { from: from.to_string(), ..Self::default() }
    }

    /// Encodes the datagram for sending.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes a datagram; returns `None` and logs a warning if it is malformed.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        Self::decode(bytes)
            .inspect_err(|error| log::warn!("datagram outcome=dropped reason=\"{error}\""))
            .ok()
    }
}

impl AvailabilityRow {
    /// Builds the answer sent at `now` to the request that was made at `requested_at` on the
    /// requester's clock.
    pub fn new(
        now: Moment,
        span: AvailabilitySpan,
        generation: Generation,
        requested_at: u64,
    ) -> Self {
        let (since_ms, until_ms) = (now.since(span.since).0, now.since(span.until).0);
        Self {
            since_ms,
            until_ms,
            requested_at,
            generation: generation.0,
            announcements: Vec::new(),
        }
    }

    /// Adds the newest of the announcements, with their ages at `now`.
    pub fn with_announcements(self, now: Moment, mut reports: Vec<AnnouncementReport>) -> Self {
        reports.sort_by_key(|report| std::cmp::Reverse(report.time.effective_at()));
        let rows = reports
            .iter()
            .take(ANNOUNCEMENTS_LIMIT)
            .map(|report| AnnouncementRow::new(now, report));
        Self { announcements: rows.collect(), ..self }
    }

    /// Converts the announcements to the clock of the requester, which receives them at `now`.
    /// Returns none if the round trip took too long.
    pub fn announcements(&self, now: Moment) -> Vec<AnnouncementReport> {
        let round_trip = now.since(Moment(self.requested_at));
        if round_trip > MAX_ROUND_TRIP {
            return Vec::new();
        }
        self.announcements.iter().filter_map(|row| row.report(now, round_trip)).collect()
    }

    /// Converts the span to the clock of the requester, which receives it at `now`. Returns `None`
    /// if the round trip took too long, or if the span ended before the requester's clock started.
    pub fn span(&self, now: Moment) -> Option<AvailabilitySpan> {
        let round_trip = now.since(Moment(self.requested_at));
        if round_trip > MAX_ROUND_TRIP {
            return None;
        }
        // The answer may have been sent as early as the request was made, so the store's last
        // answer may be older by the whole round trip.
        let until = Moment(now.0.checked_sub(round_trip.0.saturating_add(self.until_ms))?);
        Some(AvailabilitySpan { since: now - Millis(self.since_ms), until })
    }
}

impl AnnouncementRow {
    fn new(now: Moment, report: &AnnouncementReport) -> Self {
        Self {
            model: report.model.to_string(),
            version: report.version.0,
            // A version that existed when this process started may have been announced at any time
            // before.
            earliest_ms: match report.time.earliest {
                Moment(0) => u64::MAX,
                earliest => now.since(earliest).0,
            },
            known_ms: now.since(report.time.known_at).0,
        }
    }

    /// Converts the row to the clock of the requester, which receives it at `now`, `round_trip`
    /// after its request.
    fn report(&self, now: Moment, round_trip: Millis) -> Option<AnnouncementReport> {
        // It may have been sent at any time since the request, so it may be older by the round
        // trip.
        let time = AnnouncementTime {
            earliest: now - round_trip - Millis(self.earliest_ms),
            known_at: now - Millis(self.known_ms),
        };
        Some(AnnouncementReport {
            model: self.model.parse().ok()?,
            version: WeightVersion(self.version),
            time,
        })
    }
}

impl LoadRow {
    /// Encodes the load at an upstream with what it has just stated of its pace.
    pub fn new(upstream: &InstanceId, load: &UpstreamLoad, pace: Option<&PaceReport>) -> Self {
        Self {
            upstream: upstream.to_string(),
            outstanding: load.requests,
            prefill_ms: load.pending_prefill.0.try_into().unwrap_or(u32::MAX),
            pace: pace.map(|report| report.pace.percent()),
            pace_age_ms: pace.map_or(0, |report| report.age.0.try_into().unwrap_or(u32::MAX)),
        }
    }

    /// Decodes the load.
    pub fn load(&self) -> UpstreamLoad {
        let pending_prefill = Millis(u64::from(self.prefill_ms));
        UpstreamLoad { requests: self.outstanding, pending_prefill }
    }

    /// Decodes the pace; `None` if there is none or the upstream's id is invalid.
    pub fn pace_report(&self) -> Option<PaceReport> {
        Some(PaceReport {
            pace: WorkPace::from_percent(self.pace?)?,
            upstream: self.upstream.parse().ok()?,
            age: Millis(u64::from(self.pace_age_ms)),
        })
    }
}

impl IntakeRow {
    /// Encodes a report.
    pub fn new(report: &IntakeReport) -> Self {
        Self {
            upstream: report.upstream.to_string(),
            start: report.start.0,
            rate: report.rate.map(|rate| rate.0),
            revision: report.revision,
            age_ms: report.age.0,
        }
    }

    /// Decodes the report; `None` if the upstream's id is invalid.
    pub fn report(&self) -> Option<IntakeReport> {
        Some(IntakeReport {
            upstream: self.upstream.parse().ok()?,
            start: StartStamp(self.start),
            rate: self.rate.map(|rate| RequestRate(rate).min(RequestRate::MAX)),
            revision: self.revision,
            age: Millis(self.age_ms),
        })
    }
}

impl EngineRow {
    /// Builds the row that an agent sends about the engine at `address`.
    pub fn new(
        address: SocketAddr,
        model: &ModelName,
        start: Option<StartStamp>,
        notice: EngineNotice,
    ) -> Self {
        let (address, model) = (address.to_string(), model.to_string());
        // Receivers that do not know `loading_in_ms` treat the engine as having newer weights to
        // come.
        let (update_pending, version, loading_in_ms) = match notice {
            EngineNotice::UpdatePending => (true, 0, 0),
            EngineNotice::LoadingIn(after) => (true, 0, after.0.max(1)),
            EngineNotice::Loading => (false, 0, 0),
            EngineNotice::Serving(version) | EngineNotice::Proven(version, _) => {
                (false, version.0, 0)
            }
        };
        let proven_load = match notice {
            EngineNotice::Proven(_, number) => number,
            _ => 0,
        };
        let start = start.map(|start| start.0);
        Self { address, update_pending, model, version, loading_in_ms, start, proven_load }
    }

    /// Returns the notice that the row encodes.
    pub fn notice(&self) -> EngineNotice {
        match (self.update_pending, self.loading_in_ms, self.version) {
            (true, 0, _) => EngineNotice::UpdatePending,
            (true, after, _) => EngineNotice::LoadingIn(Millis(after)),
            (false, _, 0) => EngineNotice::Loading,
            (false, _, version) if self.proven_load > 0 => {
                EngineNotice::Proven(WeightVersion(version), self.proven_load)
            }
            (false, _, version) => EngineNotice::Serving(WeightVersion(version)),
        }
    }
}

/// Splits crash reports so that each part fits into a datagram.
pub fn split_crash_rows(rows: impl Iterator<Item = CrashRow>) -> Vec<Vec<CrashRow>> {
    let mut datagrams: Vec<Vec<_>> = Vec::new();
    let mut free_bytes = 0;
    for row in rows {
        let length = row.encoded_len() + ROW_OVERHEAD_BYTES;
        match datagrams.last_mut() {
            Some(last) if length <= free_bytes => {
                free_bytes -= length;
                last.push(row);
            }
            _ => {
                free_bytes = CRASH_BYTES_PER_DATAGRAM.saturating_sub(length);
                datagrams.push(vec![row]);
            }
        }
    }
    datagrams
}

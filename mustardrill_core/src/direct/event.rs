//! Events and effects of the direct mode's reducer, and its settings.

use std::net::{IpAddr, SocketAddr};

use mustardrill_types::{
    CustomerLabel, DataCentre, Generation, InstanceId, Millis, ModelName, Moment, PartSet,
    RequestDigest, ResultCode, StartStamp, StoreEra, WeightVersion,
};

use crate::direct::admission::counts::AdmissionCounts;
use crate::direct::fleet::load_broadcast::LoadUpdate;
use crate::direct::fleet::update::FleetUpdate;
use crate::direct::intake::report::IntakeReport;
use crate::direct::locality::regions::RegionMap;
use crate::direct::placement::forecast::WorkSize;
use crate::direct::placement::pace::WorkPace;
use crate::direct::retries::retry_budget::RetryShare;
use crate::direct::route::RepeatRule;
use crate::direct::statements::statement::{StatedValue, UpstreamStatement};
use crate::direct::store::availability::AvailabilitySpan;
use crate::direct::versions::table::AnnouncementReport;
use crate::direct::warmup::limit::WarmupBound;
use crate::quarantine::{CrashReport, QuarantineSubject};

/// Identifies a request within one entry process.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// Tells the two numbers apart under which one request may have an attempt each.
const SIBLING_BIT: u64 = 1 << 63;

impl RequestNumber {
    /// The number of the other attempt, where a request has two at a time.
    pub fn sibling(self) -> Self {
        Self(self.0 ^ SIBLING_BIT)
    }
}

/// A caller's request, parsed but not yet admitted.
#[derive(Debug, Clone)]
pub struct DirectRequest {
    /// The number under which later events and effects refer to it.
    pub number: RequestNumber,
    /// The caller's attempt ID, forwarded to upstreams and shown in log lines.
    pub attempt_id: Box<str>,
    /// The host header; may carry a port and upper-case letters.
    pub host: Box<str>,
    /// The path without the query string.
    pub path: Box<str>,
    /// Digest of method, path, query and body, without the caller's identity.
    pub content_digest: RequestDigest,
    /// The API key, if the caller sent one.
    pub api_key: Option<Box<str>>,
    /// How long the caller waits for the answer; `None` where the request states no timeout.
    pub timeout: Option<Millis>,
    /// When the request head was received.
    pub arrived_at: Moment,
    /// The model, where the request addresses one.
    pub model: Option<ModelName>,
    /// Prompt and answer length, as far as the caller states them.
    pub size: WorkSize,
    /// Whether the caller resumes a stream that started on another connection.
    pub is_resumed: bool,
    /// The parts of its prompt that other requests may share. The last part of a prompt belongs to
    /// the request itself and is not among them.
    pub shared_parts: StatedValue<PartSet>,
}

/// The outcome of sending a request to an upstream once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer was received and is being, or was, delivered to the caller.
    Whole,
    /// An answer without a length or chunks ended with its connection, at an upstream that still
    /// runs. It is delivered as complete, but nothing shows that it is.
    Undelimited,
    /// The upstream ran the request and failed; its complete error answer is available.
    Failed,
    /// The upstream reports that it is full and did not run the request.
    Full,
    /// The upstream reports that it did not run the request: it is another incarnation than the one
    /// addressed, or serves other weights.
    Misdirected,
    /// The connection could not be established, so nothing was sent.
    NotSent,
    /// The entry withdrew the attempt before its answer started.
    Withdrawn {
        /// Whether the upstream may have received the request.
        sent: bool,
    },
    /// The attempt was sent and may have run, but there is no complete answer.
    Lost {
        /// Whether the caller has received events of the answer.
        delivered: bool,
        /// Whether the upstream process crashed, rather than just the connection.
        crashed: bool,
    },
}

impl AttemptOutcome {
    /// Whether the upstream may have received the request.
    pub(in crate::direct) fn has_reached(self) -> bool {
        !matches!(self, Self::NotSent | Self::Withdrawn { sent: false })
    }

    /// Whether the upstream may have run the request.
    pub(in crate::direct) fn may_have_run(self) -> bool {
        match self {
            Self::Whole | Self::Undelimited | Self::Failed | Self::Lost { .. } => true,
            Self::Withdrawn { sent } => sent,
            Self::Full | Self::Misdirected | Self::NotSent => false,
        }
    }

    /// Whether the caller has the complete answer, or is being sent it.
    pub fn is_complete(self) -> bool {
        matches!(self, Self::Whole | Self::Undelimited)
    }
}

/// What an entry observes of an attempt whose upstream sends nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceReport {
    /// How long nothing has arrived.
    pub silent_for: Millis,
    /// Whether the caller has received events of the answer.
    pub delivered: bool,
    /// Whether the upstream accepts a new connection.
    pub is_reachable: bool,
    /// Whether it has sent something to another request meanwhile, within the last
    /// `silence_timeout`.
    pub is_upstream_heard: bool,
}

/// The load that an upstream reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the upstream is running.
    pub running: u32,
    /// Requests queued inside the upstream.
    pub waiting: u32,
    /// Requests that the upstream can run concurrently.
    pub slots: u32,
    /// How long work takes there, where the upstream states it.
    pub pace: Option<WorkPace>,
    /// How long ago the report arrived.
    pub age: Millis,
}

/// The load that one entry has placed on an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests of the entry that are at the upstream.
    pub requests: u32,
    /// Total prefill time of those requests whose answer has not started.
    pub pending_prefill: Millis,
}

/// The load that a peer entry has placed on upstreams.
#[derive(Debug, Clone)]
pub struct PeerLoad {
    /// The peer entry.
    pub from: InstanceId,
    /// The update that it broadcast; either a snapshot or only the changed rows.
    pub update: LoadUpdate,
}

/// An input of the reducer.
#[derive(Debug, Clone)]
pub enum DirectEvent {
    /// A caller sent a request.
    RequestArrived(DirectRequest),
    /// The caller disconnected, or its answer has been delivered completely.
    CallerGone(RequestNumber),
    /// The first part of the answer to the current attempt arrived; with the upstream's load and the weights that
    /// produce it, where reported.
    AnswerStarted(RequestNumber, Option<LoadReport>, Option<WeightVersion>),
    /// The answer to the current attempt states something about its upstream. Told before
    /// `AnswerStarted`, and only for answers that carry a statement.
    UpstreamStated(RequestNumber, UpstreamStatement),
    /// A peer entry reported which request rates upstreams accept.
    IntakeReportsReceived(InstanceId, Vec<IntakeReport>),
    /// The upstream of the attempt sends nothing. Repeated for as long as that lasts.
    AttemptSilent(RequestNumber, SilenceReport),
    /// The upstream of an attempt that was reported as silent goes on.
    AttemptHeard(RequestNumber),
    /// Of the request's two attempts, this one goes on; the other was dropped.
    AttemptWon(RequestNumber),
    /// The attempt of the request ended.
    AttemptEnded(RequestNumber, AttemptOutcome),
    /// The store answered a call that was sent at the given moment.
    StoreAnswered(FleetUpdate, Moment),
    /// Everything that the store held at this moment has been applied, though it may hold more now.
    StoreReadThrough(Moment),
    /// The list of entries in the store names this entry, or does not.
    OwnListingRead(bool),
    /// A call to the store failed or timed out.
    StoreFailed,
    /// A peer entry broadcast its load.
    PeerLoadReceived(PeerLoad),
    /// A peer entry reported for which span the store has been answering.
    AvailabilityReceived(AvailabilitySpan),
    /// A peer entry reported when versions were announced.
    AnnouncementsReceived(Vec<AnnouncementReport>),
    /// A peer entry reported the generation of its configuration in force.
    GenerationReceived(Generation),
    /// A peer entry reported that an upstream crashed while it ran a request.
    CrashReportReceived(CrashReport),
    /// An agent reports the state of its engine for a model.
    EngineNoticeReceived {
        /// The engine's listening address, which identifies the upstream.
        address: SocketAddr,
        /// The model whose weights the notice is about.
        model: ModelName,
        /// The incarnation of the engine that the notice is about; `None` from an agent of an
        /// earlier build.
        start: Option<StartStamp>,
        /// The reported state.
        notice: EngineNotice,
    },
    /// The moment of an earlier `DirectEffect::SetTimer` was reached.
    TimerFired,
}

/// An agent's notice about its engine's weights.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq)]
pub enum EngineNotice {
    /// Newer weights arrive soon; the engine keeps serving its current ones until then.
    #[display("coming")]
    UpdatePending,
    /// The engine starts to load newer weights after this time and serves until then.
    #[display("closing:{_0}")]
    LoadingIn(Millis),
    /// The engine is loading weights and accepts no requests.
    #[display("pausing")]
    Loading,
    /// The engine accepts requests and serves this version.
    #[display("serving:{_0}")]
    Serving(WeightVersion),
    /// The same, after a load whose chunks were proven intact; the number is that of the load.
    #[display("proven:{_0}")]
    Proven(WeightVersion, u64),
}

impl EngineNotice {
    /// The version that the engine serves by this notice.
    pub fn served_version(self) -> Option<WeightVersion> {
        match self {
            Self::Serving(version) | Self::Proven(version, _) => Some(version),
            Self::UpdatePending | Self::LoadingIn(_) | Self::Loading => None,
        }
    }
}

/// An output of the reducer, which the entry carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectEffect {
    /// Send the request to an upstream.
    Send(RequestNumber, SendPlan),
    /// Send the request to another upstream as well; the attempt of its sibling stays open. If that
    /// one is not silent any more, the new attempt ends as withdrawn before it was sent.
    SendBackup(RequestNumber, SendPlan),
    /// Answer the caller with a refusal, or cut the answer that is being delivered.
    Refuse(RequestNumber, RefusalPlan),
    /// Cancel an attempt whose answer has not started, and close its connection.
    Withdraw(RequestNumber),
    /// Cancel an attempt of which nothing has been written to its upstream yet.
    WithdrawUnsent(RequestNumber),
    /// Deliver the upstream's error answer, which is available, to the caller.
    ForwardFailure(RequestNumber),
    /// Notify the agents on these machines that a version was announced.
    NotifyAgents(ModelName, WeightVersion, Vec<IpAddr>),
    /// Record in the store that these requests must not run for the given time.
    StoreQuarantine(QuarantineSubject, Millis),
    /// Remove that record from the store.
    RemoveQuarantine(QuarantineSubject),
    /// Deliver `DirectEvent::TimerFired` at this moment.
    SetTimer(Moment),
}

/// Everything the entry needs to send one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct SendPlan {
    /// The upstream that gets the attempt.
    pub upstream: InstanceId,
    /// The upstream's incarnation.
    pub start: StartStamp,
    /// The upstream's address.
    pub address: SocketAddr,
    /// How many connections to the upstream this entry may keep; 0 where no limit is configured.
    pub connection_limit: u32,
    /// The calling customer; `None` on a public route without a key.
    pub customer: Option<CustomerLabel>,
    /// The version that must produce the answer, where only that one is allowed.
    pub pinned_version: Option<WeightVersion>,
    /// When the caller's timeout ends.
    pub deadline: Moment,
    /// The attempt is not sent after this moment.
    pub start_by: Option<Moment>,
    /// How long the upstream may send nothing, before and within its answer, until that is
    /// reported.
    pub silence_timeout: Millis,
    /// When a silence is reported once more, as the caller is about to leave without a part of the
    /// answer.
    pub silence_limit: Option<Moment>,
    /// Whether the caller has received events of the answer, which the attempt continues.
    pub has_delivered: bool,
    /// Whether the request may run again after an attempt that may have run.
    pub repeat_rule: RepeatRule,
    /// The priority sent to the upstream; zero is the most urgent.
    pub priority: u8,
    /// Whether the upstream limits the request rate that it accepts.
    pub is_limited: bool,
    /// When its answer should start, counted from sending; zero where the upstream states no pace.
    pub paced_start: Millis,
}

/// Why a request is refused, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusalPlan {
    /// The result code that the caller receives.
    pub code: ResultCode,
    /// How long the caller should wait before it retries.
    pub retry_after: Millis,
}

/// The entry's identity and the limits that its decisions use.
#[derive(Debug, Clone)]
pub struct DirectSettings {
    /// The instance ID of this entry.
    pub own_id: InstanceId,
    /// The data centre of this entry.
    pub data_centre: DataCentre,
    /// The region of each data centre.
    pub regions: RegionMap,
    /// API keys are accepted while the configuration was confirmed as current less than this ago.
    pub freshness_limit: Millis,
    /// How long after the announcement of a newer version requests may still start on older
    /// weights.
    pub version_bound: Millis,
    /// The budget for retries.
    pub retry_share: RetryShare,
    /// Requests beyond its slots that an upstream may have, counted over all entries, so that no
    /// slot idles for a network round trip.
    pub requests_ahead: u32,
    /// The share of its latency objective, in percent, during which a waiting request counts as
    /// able to meet it.
    pub in_time_percent: u32,
    /// Prefill time that may be pending at an engine when it is sent another request.
    pub prefill_limit: Millis,
    /// The share of an upstream's slots, in percent, that requests past their objective may fill.
    pub late_slots_percent: u32,
    /// How long after its arrival a request may wait in the queue before it is refused.
    pub wait_limit: Millis,
    /// How long an upstream may send nothing, before its first event and between events, until it
    /// counts as silent.
    pub silence_timeout: Millis,
    /// The shortest store outage after which the store may have lost registrations of running
    /// upstreams.
    pub registration_expiry: Millis,
    /// How long after the store's return an upstream whose registration it may have lost stays
    /// listed.
    pub expiry_grace: Millis,
    /// How long a peer entry's load counts after its last update.
    pub peer_load_timeout: Millis,
    /// The first ejection time of an unreachable upstream; doubled each further time.
    pub base_ejection: Millis,
    /// How far the arrivals at a cold upstream may exceed its rate.
    pub warmup_bound: WarmupBound,
}

/// The entry's state, for its operators and for the readiness check.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StatusRow {
    /// The generation of the configuration in force.
    pub generation: Option<Generation>,
    /// How long ago the configuration was confirmed as current.
    pub confirmed_ago: Option<Millis>,
    /// Whether the store holds a newer configuration that cannot be decoded.
    pub is_config_unreadable: bool,
    /// The store's era, which changes when it is restored from an older copy.
    pub era: StoreEra,
    /// Upstreams that the entry lists, including expired ones.
    pub upstreams: usize,
    /// Listed upstreams whose registration is missing from the store, which may have lost it.
    pub expired: usize,
    /// Requests in progress, waiting ones included.
    pub requests: usize,
    /// Requests that wait for an upstream with capacity.
    pub waiting: usize,
    /// Listed upstreams that have stated in their answers that they are leaving.
    pub leaving: usize,
    /// Listed upstreams that want no requests from this entry for a while.
    pub resting: usize,
    /// Listed upstreams that limit the request rate that they accept.
    pub limited: usize,
    /// Data centres that the operator has evacuated.
    pub evacuations: usize,
    /// Listed upstreams in evacuated data centres.
    pub evacuated: usize,
    /// Listed upstreams that are cold and whose service limits the rate meanwhile.
    pub cold: usize,
    /// Engines whose latest load is not proven to have taken intact chunks.
    pub unproven_loads: usize,
    /// Requests that are not run for a while because upstreams crash while running them.
    pub quarantined: usize,
    /// Groups of prompt parts whose requests are not run for a while, for the same reason.
    pub quarantined_parts: usize,
    /// Prompt parts that crashes count against.
    pub suspected_parts: usize,
    /// Answers that started on superseded weights after the allowed time, as observed by this
    /// entry.
    pub started_late: u64,
    /// Beliefs in the weights of upstreams that an answer contradicted.
    pub contradicted_beliefs: u64,
    /// What admission decided for services whose kinds of requests differ in urgency.
    pub admission: AdmissionCounts,
}

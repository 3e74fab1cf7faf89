//! What an entry that sends to upstreams itself sees, and what it does about it, as data.

use std::net::{IpAddr, SocketAddr};

use mustardrill_types::{
    CustomerName, DataCentre, Generation, InstanceId, Millis, ModelName, Moment, RequestDigest,
    ResultCode, StoreEra, WeightVersion,
};

use crate::direct::fleet::load_broadcast::LoadUpdate;
use crate::direct::fleet::update::FleetUpdate;
use crate::direct::placing::forecast::WorkSize;
use crate::direct::retries::retry_budget::RetryShare;
use crate::direct::route::RepeatRule;
use crate::direct::store::availability::AvailabilitySpan;
use crate::direct::versions::table::AnnouncementReport;
use crate::quarantine::CrashReport;

/// The number of a request within one entry.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// A request as it came from a caller.
#[derive(Debug, Clone)]
pub struct DirectRequest {
    /// The request.
    pub number: RequestNumber,
    /// The caller's own name for it, which upstreams are told and log lines show.
    pub attempt: Box<str>,
    /// The host that it is for.
    pub host: Box<str>,
    /// Its path without a query.
    pub path: Box<str>,
    /// Its method, path, query and body, whoever sends it.
    pub content: RequestDigest,
    /// The key that the caller showed.
    pub key: Option<Box<str>>,
    /// How long the caller waits; nothing where it did not say.
    pub patience: Option<Millis>,
    /// When its head came.
    pub arrived: Moment,
    /// The model that it is for, where it is for one.
    pub model: Option<ModelName>,
    /// How large it is, as far as the caller says.
    pub size: WorkSize,
    /// Whether the caller goes on with a stream that another connection began.
    pub resumes: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came and goes, or went, to the caller.
    Whole,
    /// The upstream ran the request and failed; its whole answer is at hand.
    Failed,
    /// The upstream says that it did not run the request: it is full.
    Full,
    /// The upstream says that it did not run the request: another start of it, or other weights.
    Misdirected,
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// It was taken back before its answer began.
    Withdrawn {
        /// Whether the upstream may have had it.
        sent: bool,
    },
    /// The attempt was sent, may have run, and has no whole answer.
    Lost {
        /// Whether the caller has events of it already.
        delivered: bool,
        /// Whether the upstream has ended, and not only the connection.
        crashed: bool,
    },
}

/// The load that an upstream told with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What one entry has at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Its requests there.
    pub requests: u32,
    /// How long the engine takes to read the prompts of those that have no answer yet.
    pub reading: Millis,
}

/// What another entry has at upstreams.
#[derive(Debug, Clone)]
pub struct PeerLoad {
    /// The entry.
    pub from: InstanceId,
    /// What it has at upstreams.
    pub news: LoadUpdate,
}

/// Something that happened at or to the entry.
#[derive(Debug, Clone)]
pub enum DirectEvent {
    /// A caller sent a request.
    Arrived(DirectRequest),
    /// The caller is gone, or its answer has ended.
    Gone(RequestNumber),
    /// An answer began.
    Answering(RequestNumber, Option<LoadReport>, Option<WeightVersion>),
    /// An attempt ended.
    Ended(RequestNumber, AttemptOutcome),
    /// The store answered; the call was sent at that moment.
    Fleet(FleetUpdate, Moment),
    /// The store did not answer.
    StoreFailed,
    /// Another entry told its load.
    PeerHeard(PeerLoad),
    /// Another entry told since when the store has answered somebody.
    ContactHeard(AvailabilitySpan),
    /// Another entry told when versions were named.
    NamingsHeard(Vec<AnnouncementReport>),
    /// Another entry told which configuration it has in force.
    GenerationHeard(Generation),
    /// Another entry told of a request under which an upstream ended.
    CrashHeard(CrashReport),
    /// An agent tells of its engine and a model.
    EngineHeard {
        /// Where the engine listens.
        address: SocketAddr,
        /// The model.
        model: ModelName,
        /// What is told.
        word: EngineWord,
    },
    /// The moment came for which `DirectEffect::Wake` asked.
    Woke,
}

/// What an agent tells of its engine.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq)]
pub enum EngineWord {
    /// Newer weights will be there soon; it serves on meanwhile what it has.
    #[display("coming")]
    Coming,
    /// It will load newer weights after so long, and serves on until then.
    #[display("closing:{_0}")]
    Closing(Millis),
    /// It takes no requests while it loads weights.
    #[display("pausing")]
    Pausing,
    /// It takes requests and serves this version.
    #[display("serving:{_0}")]
    Serving(WeightVersion),
}

/// Something that the entry does.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectEffect {
    /// Send a request to an upstream.
    Send(RequestNumber, SendPlan),
    /// Tell the caller that there is no answer, or cut the one that is under way.
    Refuse(RequestNumber, RefusalPlan),
    /// Take an attempt back whose answer has not begun, and close its connection.
    Withdraw(RequestNumber),
    /// Give the caller the upstream's failure that is at hand.
    PassOn(RequestNumber),
    /// Tell the agents on these machines that a version was named.
    TellAgents(ModelName, WeightVersion, Vec<IpAddr>),
    /// Keep in the store for so long that a request is run no more.
    KeepQuarantine(RequestDigest, Millis),
    /// Take that back.
    EndQuarantine(RequestDigest),
    /// Send `DirectEvent::Woke` at that moment.
    Wake(Moment),
}

/// An attempt to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct SendPlan {
    /// The upstream.
    pub upstream: InstanceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections to it that this entry may keep.
    pub connections: u32,
    /// Who calls; nothing on a public route without a key.
    pub customer: Option<CustomerName>,
    /// The weights that the answer must be made from, where only those will do.
    pub pinned: Option<WeightVersion>,
    /// When the caller's time ends.
    pub deadline: Moment,
    /// It is not sent later than this.
    pub begin_by: Option<Moment>,
    /// How long the upstream may be silent before and within its answer.
    pub silence: Millis,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// The rank towards the upstream; zero is the most urgent.
    pub priority: u8,
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusalPlan {
    /// The code.
    pub code: ResultCode,
    /// When it is worth coming back.
    pub retry_after: Millis,
}

/// What an entry must know of itself and how it decides.
#[derive(Debug, Clone)]
pub struct DirectSettings {
    /// The entry's own instance.
    pub own: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// A key is taken while the configuration was proved newest less than this ago.
    pub proof_limit: Millis,
    /// A request may begin on older weights for this long after newer ones were seen named.
    pub version_bound: Millis,
    /// What this entry may repeat.
    pub retry: RetryShare,
    /// Requests beyond its slots that an upstream gets at once, from all entries together.
    pub ahead: u32,
    /// The share of its objective for which a waiting request counts as in time, in percent.
    pub wait_percent: u32,
    /// Prompts that an engine may have yet to read, in its reading time, when it is given another.
    pub reading_limit: Millis,
    /// The share of its slots up to which an upstream is given late requests, in percent.
    pub late_percent: u32,
    /// The longest that a request waits here to be served at all.
    pub late_wait: Millis,
    /// How long an upstream may be silent before its first event and between events.
    pub silence: Millis,
    /// The store forgets no upstream that lives where it was away for less.
    pub forgetting: Millis,
    /// How long after the store's return an upstream stays listed that it may have forgotten.
    pub lapse_grace: Millis,
    /// Another entry's load counts for this long after its last word.
    pub peer_patience: Millis,
    /// How long an upstream that can't be reached is left alone at first; doubled each time.
    pub ejection: Millis,
}

/// Where the entry stands, for its operators and for readiness.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StatusRow {
    /// The configuration in force.
    pub generation: Option<Generation>,
    /// How old the proof is that it is the newest.
    pub proof_age: Option<Millis>,
    /// The era of the store.
    pub era: StoreEra,
    /// Upstreams listed.
    pub upstreams: usize,
    /// Those of them whose registration has ended, while the store may have forgotten it.
    pub lapsed: usize,
    /// Requests in progress.
    pub requests: usize,
    /// Requests that wait for an upstream.
    pub waiting: usize,
    /// Requests that are run no more for a while, as upstreams end under them.
    pub quarantined: usize,
    /// Answers that began on replaced weights after their time, as seen from here.
    pub begun_late: u64,
}

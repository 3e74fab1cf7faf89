//! The borders to a platform on which entries send to upstreams themselves, as traits.
//!
//! A platform's adapter implements them; the daemons know no platform.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::BoxFuture;
use hyper::{HeaderMap, Request, StatusCode, Uri, http};
use mustardrill_core::direct::{
    DirectRequest, FleetUpdate, LoadReport, PeerRecord, RequestNumber, SendPlan, ServedWeights,
    WatchTiming,
};
use mustardrill_types::{
    ChunkIndex, Millis, ModelName, Moment, RequestDigest, ResultCode, StartStamp, StoreEra,
    StoreRevision, WeightVersion,
};

/// Why the platform's store did not do what it was asked.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// No answer came, or the store says that it can't serve now; a write may have been done.
    #[display("the store did not answer: {reason}")]
    Unavailable {
        /// What went wrong.
        reason: Box<str>,
    },
    /// The changes asked for are no longer kept; read everything again.
    #[display("the store no longer has these changes")]
    HistoryGone,
    /// The lease has ended, or belongs to somebody else since the store came back from a copy.
    #[display("the lease has ended")]
    LeaseGone,
    /// The store came back from an older copy meanwhile, or the answer is one of before.
    #[display("the store came back from an older copy")]
    EraChanged,
}

/// A lease of the platform's store. Its number may belong to another process in another era.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display("{number}")]
pub struct LeaseGrant {
    /// The store's number for it.
    pub number: u64,
    /// The era in which it was given.
    pub era: StoreEra,
}

/// Which changes a process waits for; each kind of change that it leaves out spares calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetScope {
    /// Everything: an entry.
    Whole,
    /// What the operator writes: an agent that has no configuration yet.
    Operator,
    /// The versions named: an agent.
    Versions,
}

/// A kind of item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetPart {
    /// The versions named.
    Versions,
    /// Registrations of upstreams.
    Upstreams,
    /// Registrations of entries.
    Entries,
}

/// The platform's store, as far as it tells of the fleet.
pub trait FleetSource: Send + Sync {
    /// Reads everything.
    fn read_all(&self) -> BoxFuture<'_, Result<FleetUpdate, StoreError>>;

    /// Reads one kind of item; the page is not marked as whole.
    fn read_part(&self, part: FleetPart) -> BoxFuture<'_, Result<FleetUpdate, StoreError>>;

    /// Waits for changes after a state; an empty page where there were none in that time.
    fn read_changes(
        &self,
        scope: FleetScope,
        after: StoreRevision,
        span: WatchTiming,
    ) -> BoxFuture<'_, Result<FleetUpdate, StoreError>>;

    /// Registers an entry under a new lease of `span`.
    fn announce<'a>(
        &'a self,
        peer: &'a PeerRecord,
        span: Millis,
    ) -> BoxFuture<'a, Result<LeaseGrant, StoreError>>;

    /// Renews a lease.
    fn renew(&self, lease: LeaseGrant) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Ends a lease, and with it the registration.
    fn withdraw(&self, lease: LeaseGrant) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Keeps for `span` that a request is run no more, for entries that start.
    fn keep_quarantine(
        &self,
        digest: RequestDigest,
        span: Millis,
    ) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Takes that back.
    fn end_quarantine(&self, digest: RequestDigest) -> BoxFuture<'_, Result<(), StoreError>>;
}

/// What an upstream's answer turned out to be, from its head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerKind {
    /// The upstream did not run the request, as it is full.
    Full,
    /// The upstream did not run the request, as it is not the one, or has not the weights, asked.
    Misdirected,
    /// It answers another request, or is no answer that may be passed on.
    Foreign,
    /// It is the answer; whether a success, and what it tells.
    Answer {
        /// Whether the upstream did what it was asked.
        success: bool,
        /// The load that it tells.
        load: Option<LoadReport>,
        /// The weights that it was made from.
        version: Option<WeightVersion>,
    },
}

/// How callers and upstreams write requests and answers.
pub trait CallDialect: Send + Sync {
    /// Whether the platform asks if callers may be sent here.
    fn is_readiness(&self, uri: &Uri) -> bool;

    /// Reads a caller's head; the reason where it is malformed.
    fn read_request(
        &self,
        number: RequestNumber,
        now: Moment,
        head: &http::request::Parts,
    ) -> Result<DirectRequest, Box<str>>;

    /// The head for an upstream; `after` is the last event that the caller has.
    fn write_request(
        &self,
        head: &http::request::Parts,
        plan: &SendPlan,
        remaining: Millis,
        after: Option<&str>,
    ) -> Request<()>;

    /// Reads the head of an upstream's answer to the request with this head.
    fn read_answer(
        &self,
        asked: &http::request::Parts,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerKind;

    /// The status and headers of a refusal.
    fn write_refusal(&self, code: ResultCode, retry_after: Millis) -> (StatusCode, HeaderMap);
}

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineState {
    /// Which start of it this is.
    pub start: StartStamp,
    /// Whether an order is in progress.
    pub busy: bool,
    /// How many orders it has taken since its start.
    pub sequence: u64,
    /// Requests that run.
    pub running: u32,
    /// The weights that it holds with all layers.
    pub serving: Vec<ServedWeights>,
}

/// What an engine says to an order.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It has begun, or the order is in effect already.
    #[display("taken")]
    Taken,
    /// The order does not fit the engine's state.
    #[display("conflict")]
    Conflict,
    /// No answer, so it may have been taken.
    #[display("unknown: {_0}")]
    Unknown(Box<str>),
}

/// The engine beside an agent.
pub trait EngineControl: Send + Sync {
    /// What it says of itself; nothing where it does not answer.
    fn state(&self) -> BoxFuture<'_, Option<EngineState>>;

    /// Orders it to load what is staged, where it has taken `sequence` orders so far.
    fn load<'a>(
        &'a self,
        model: &'a ModelName,
        version: WeightVersion,
        sequence: u64,
    ) -> BoxFuture<'a, OrderAnswer>;

    /// Stages a chunk; says whether that was done.
    fn stage<'a>(
        &'a self,
        model: &'a ModelName,
        index: ChunkIndex,
        bytes: Bytes,
    ) -> BoxFuture<'a, bool>;

    /// Reads a staged chunk back.
    fn staged<'a>(
        &'a self,
        model: &'a ModelName,
        index: ChunkIndex,
    ) -> BoxFuture<'a, Option<Bytes>>;
}

/// A version's chunks with the digest of each, as its origin publishes them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkList {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightVersion,
    /// The digest of each chunk.
    pub digests: Vec<[u8; 32]>,
    /// The list as it was published, for other agents.
    pub published: Bytes,
}

/// Where weights come from.
pub trait ChunkOrigin: Send + Sync {
    /// A version's list of chunks.
    fn list<'a>(
        &'a self,
        origin: SocketAddr,
        model: &'a ModelName,
        version: WeightVersion,
    ) -> BoxFuture<'a, Result<ChunkList, Box<str>>>;

    /// Reads a published list.
    fn read_list(&self, published: Bytes) -> Result<ChunkList, Box<str>>;

    /// A chunk, not yet verified.
    fn chunk<'a>(
        &'a self,
        origin: SocketAddr,
        model: &'a ModelName,
        version: WeightVersion,
        index: ChunkIndex,
    ) -> BoxFuture<'a, Result<Bytes, Box<str>>>;

    /// Whether bytes have the digest of a chunk.
    fn verifies(&self, list: &ChunkList, index: ChunkIndex, bytes: &[u8]) -> bool;
}

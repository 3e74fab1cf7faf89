//! Traits towards a platform on which entries send requests directly to upstreams.
//!
//! Each platform implements them in an adapter, so that the daemons do not depend on any platform.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::BoxFuture;
use hyper::{HeaderMap, Request, StatusCode, Uri, http};
pub use mustardrill_core::direct::LeaseGrant;
use mustardrill_core::direct::{
    DirectRequest, FleetUpdate, LoadRecord, LoadReport, PeerRecord, RegistrationWrite,
    RequestNumber, SendPlan, ServedWeights, UpstreamStatement, WatchTiming,
};
use mustardrill_core::provisioning::LayerRange;
use mustardrill_core::quarantine::QuarantineSubject;
use mustardrill_types::{
    ChunkIndex, Millis, ModelName, Moment, ResultCode, StartStamp, StoreEra, StoreRevision,
    WeightVersion,
};

/// Error of a call to the platform's store.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store did not answer or reported that it can't serve now; a write may have taken effect.
    #[display("the store is unavailable: {reason}")]
    Unavailable {
        /// Message of the underlying error.
        reason: Box<str>,
    },
    /// The requested changes are no longer kept; the caller has to read a full snapshot.
    #[display("the store no longer keeps the changes after this revision")]
    HistoryGone,
    /// The lease has ended, or belongs to another process since the store was restored.
    #[display("the lease has ended")]
    LeaseGone,
    /// The store was restored from an older copy since, or the answer dates from before that.
    #[display("the store was restored from an older copy")]
    EraChanged,
}

/// Which changes a process watches. Each kind of change left out saves calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetScope {
    /// All changes; used by entries.
    All,
    /// What operators write; used by agents that have no configuration yet.
    Operator,
    /// Announcements of versions; used by agents.
    Versions,
}

/// A kind of item that can be read on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetPart {
    /// Announced versions.
    Versions,
    /// Registrations of upstreams.
    Upstreams,
    /// Registrations of entries.
    Entries,
}

/// Read access to the fleet's state in the platform's store, and registration of entries.
pub trait FleetSource: Send + Sync {
    /// Reads a full snapshot.
    fn read_all(&self) -> BoxFuture<'_, Result<FleetUpdate, StoreError>>;

    /// Reads all items of one kind; the update is not marked as a snapshot.
    fn read_part(&self, part: FleetPart) -> BoxFuture<'_, Result<FleetUpdate, StoreError>>;

    /// Waits for changes after revision `after`; the update is empty if there were none within
    /// the time that `timing` allows. An update with changes may continue.
    fn read_changes(
        &self,
        scope: FleetScope,
        after: StoreRevision,
        timing: WatchTiming,
    ) -> BoxFuture<'_, Result<FleetUpdate, StoreError>>;

    /// Reads the store's present revision and its era.
    fn read_revision(&self) -> BoxFuture<'_, Result<(StoreRevision, StoreEra), StoreError>>;

    /// Obtains a lease that ends `span` after its last renewal.
    fn grant_lease(&self, span: Millis) -> BoxFuture<'_, Result<LeaseGrant, StoreError>>;

    /// Registers an entry under a lease if the revision of its item is `expected`, zero for none.
    /// After an error the write may have been carried out, or may be later if that still holds.
    fn register<'a>(
        &'a self,
        peer: &'a PeerRecord,
        lease: LeaseGrant,
        expected: StoreRevision,
    ) -> BoxFuture<'a, Result<RegistrationWrite, StoreError>>;

    /// Renews a lease, or fails with [`StoreError::LeaseGone`] if it has ended.
    fn renew(&self, lease: LeaseGrant) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Ends a lease, which removes the items that hang on it and prevents writes under it.
    fn end_lease(&self, lease: LeaseGrant) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Stores that requests are quarantined for `span`, so that entries learn of it when they start.
    /// The record lasts as long as `lease`.
    fn keep_quarantine<'a>(
        &'a self,
        subject: &'a QuarantineSubject,
        span: Millis,
        lease: LeaseGrant,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Removes a stored quarantine, but none that is written after this call.
    fn end_quarantine<'a>(
        &'a self,
        subject: &'a QuarantineSubject,
    ) -> BoxFuture<'a, Result<(), StoreError>>;
}

/// A load record as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredLoad {
    /// The record; `None` if there is none, or it cannot be decoded.
    pub record: Option<LoadRecord>,
    /// Revision of the item at its last change; zero if there is no item.
    pub revision: StoreRevision,
}

/// Access to the records of load orders in the platform's store.
pub trait LoadRegister: Send + Sync {
    /// Reads the record of the latest load of an engine.
    fn read(&self, engine: SocketAddr) -> BoxFuture<'_, Result<StoredLoad, StoreError>>;

    /// Writes a record if the item has not changed since the revision `known`, and returns the new
    /// revision, or `None` if it has changed. A write without an answer may take effect later, but
    /// not after another one.
    fn write<'a>(
        &'a self,
        record: &'a LoadRecord,
        known: StoreRevision,
    ) -> BoxFuture<'a, Result<Option<StoreRevision>, StoreError>>;
}

/// What a connection has carried before the request whose answer is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionHistory {
    /// Nothing, so that whatever arrives is about this request.
    Unused,
    /// Earlier requests, whose upstream may send more answers than it got requests. No earlier
    /// sending bore the id of this request.
    Reused,
}

/// Classification of an upstream's answer by its status and headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerKind {
    /// The upstream has no capacity left and did not run the request.
    Full,
    /// The upstream is not the requested instance or lacks the requested weights, and did not run
    /// the request.
    Misdirected,
    /// The answer is not shown to belong to this request, or must not be passed on.
    Foreign,
    /// The answer to the request, whether successful or not.
    Answer {
        /// Whether the status reports success.
        success: bool,
        /// The upstream's load, if reported.
        load: Option<LoadReport>,
        /// The version of the weights that produced the answer, if reported.
        version: Option<WeightVersion>,
    },
}

/// Translates between the HTTP of callers and upstreams and the types of the core.
pub trait CallDialect: Send + Sync {
    /// Whether `uri` is the platform's readiness probe.
    fn is_readiness(&self, uri: &Uri) -> bool;

    /// Parses the head of a caller's request; the error says what is malformed.
    fn read_request(
        &self,
        number: RequestNumber,
        now: Moment,
        head: &http::request::Parts,
    ) -> Result<DirectRequest, Box<str>>;

    /// Builds the request head for an upstream. `after` is the id of the last event that the caller
    /// has received, for resuming a stream.
    fn write_request(
        &self,
        head: &http::request::Parts,
        plan: &SendPlan,
        remaining: Millis,
        after: Option<&str>,
    ) -> Request<()>;

    /// Classifies an upstream's answer to the request with the head `request_head`, which came on a
    /// connection with the given history.
    fn read_answer(
        &self,
        request_head: &http::request::Parts,
        history: ConnectionHistory,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerKind;

    /// Reads the version of the weights that a part of a streamed answer names, if it does.
    fn read_part_version(&self, part: &[u8]) -> Option<WeightVersion>;

    /// Reads what an answer states about the upstream that sent it.
    fn read_statement(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamStatement;

    /// Returns the status and headers with which a request is refused.
    fn write_refusal(&self, code: ResultCode, retry_after: Millis) -> (StatusCode, HeaderMap);
}

/// State that an engine reports about itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineState {
    /// Identifies the engine's incarnation.
    pub start: StartStamp,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// Number of orders that the engine has accepted since its start.
    pub sequence: u64,
    /// Number of running requests.
    pub running: u32,
    /// The weights of which the engine holds all layers.
    pub serving: Vec<ServedWeights>,
}

/// An engine's answer to an order.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine has started to carry it out.
    #[display("taken")]
    Taken,
    /// The engine has nothing to do for it.
    #[display("in-effect")]
    InEffect,
    /// The order was refused because it does not match the engine's state.
    #[display("conflict")]
    Conflict,
    /// No usable answer, so that the order may have been accepted; holds the reason.
    #[display("unknown: {_0}")]
    Unknown(Box<str>),
}

/// What an engine returned for a chunk staged at it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StagedChunk {
    /// The bytes of the chunk.
    Held(Bytes),
    /// The engine does not have the chunk, or has ended.
    Missing,
    /// The engine has not answered in time, so that it may have the chunk.
    Unanswered,
}

/// The outcome of staging a chunk at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StagingOutcome {
    /// The engine has stored the chunk.
    Staged,
    /// The engine has refused the chunk or has ended.
    Failed,
    /// The engine has not answered in time, so that it may have stored the chunk.
    Unanswered,
}

/// Control interface of the engine that an agent serves.
pub trait EngineControl: Send + Sync {
    /// Reads the engine's state; `None` if it does not answer.
    fn state(&self) -> BoxFuture<'_, Option<EngineState>>;

    /// Orders the engine to hold `layers` of the staged version, or all of them. The order is
    /// conditional: it applies only if the engine has accepted `sequence` orders so far.
    fn load<'a>(
        &'a self,
        weights: &'a ServedWeights,
        layers: Option<LayerRange>,
        sequence: u64,
    ) -> BoxFuture<'a, OrderAnswer>;

    /// Stages a chunk. Doing so again with the same bytes changes nothing.
    fn stage<'a>(
        &'a self,
        model: &'a ModelName,
        index: ChunkIndex,
        bytes: Bytes,
    ) -> BoxFuture<'a, StagingOutcome>;

    /// Reads back a staged chunk.
    fn staged<'a>(&'a self, model: &'a ModelName, index: ChunkIndex) -> BoxFuture<'a, StagedChunk>;
}

/// A version's list of chunk digests as published by its origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkList {
    /// Model that the version belongs to.
    pub model: ModelName,
    /// Version that the list describes.
    pub version: WeightVersion,
    /// Digest of each chunk, by chunk index.
    pub digests: Vec<[u8; 32]>,
    /// The list exactly as published, to be relayed to other agents.
    pub published: Bytes,
}

/// Access to the origin that publishes weights.
pub trait ChunkOrigin: Send + Sync {
    /// Fetches a version's chunk list; the error is a reason for the log.
    fn list<'a>(
        &'a self,
        origin: SocketAddr,
        model: &'a ModelName,
        version: WeightVersion,
    ) -> BoxFuture<'a, Result<ChunkList, Box<str>>>;

    /// Parses a published chunk list.
    fn read_list(&self, published: Bytes) -> Result<ChunkList, Box<str>>;

    /// Fetches a chunk; its digest is not verified yet.
    fn chunk<'a>(
        &'a self,
        origin: SocketAddr,
        model: &'a ModelName,
        version: WeightVersion,
        index: ChunkIndex,
    ) -> BoxFuture<'a, Result<Bytes, Box<str>>>;

    /// Whether `bytes` match the digest that `list` gives for the chunk.
    fn verifies(&self, list: &ChunkList, index: ChunkIndex, bytes: &[u8]) -> bool;
}

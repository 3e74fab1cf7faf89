//! Claims: before a non-idempotent request is dispatched, its key is claimed in the platform's
//! key-value service.
//!
//! Claims are batched by hash shard: all claims that wait for a shard go into one compare-and-swap
//! of the shard's document, so many claims cost one write. A key is granted once, whichever entry
//! asks and whichever agent coordinates the shard, because only one write can follow a given
//! revision. Where the response to a write is lost, the document is read back; the result is never
//! assumed.

use std::collections::BTreeMap;

use mustardrill_types::{AttemptId, FastMap, Millis, Moment, RequestKey};
use serde::{Deserialize, Serialize};

use crate::budget::TokenBucket;
use crate::coordinator;

/// Settings of claims.
#[derive(Debug, Clone)]
pub struct ClaimSettings {
    /// Number of shards, each with a document of its own.
    pub shards: u32,
    /// How long a claim stays in its document, in seconds of the wall clock.
    pub retention_s: u64,
    /// Minimum time between two writes of a shard by one coordinator.
    pub write_every: Millis,
    /// Reads and writes per second that all coordinators together may make.
    pub calls_per_second: u32,
    /// Timeout of a waiting claim, after which it is settled as unavailable.
    pub claim_timeout: Millis,
    /// Maximum number of claims in a shard's document; further claims wait until older ones are
    /// released or pass their retention.
    pub shard_limit: usize,
}

/// The stored claims of one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimDocument {
    /// Claims by request key.
    pub claims: BTreeMap<RequestKey, ClaimRecord>,
}

/// One stored claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// When it was claimed, in seconds of the wall clock.
    pub at_s: u64,
}

/// Index of a shard of claims, from zero.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardIndex(pub u32);

/// The result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is stored for this attempt.
    Granted,
    /// Another attempt holds the claim on the key.
    Taken,
    /// The claim was not settled in time. Whoever asked for it must release it, as it may have been
    /// stored.
    Unavailable,
}

/// A call to the platform's key-value service, or a settled claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Read the shard's document.
    Read(ShardIndex),
    /// Write the shard's document if its revision is still `expect` (0: it does not exist).
    Write {
        /// The shard.
        shard: ShardIndex,
        /// The expected revision.
        expect: u64,
        /// The new document.
        document: ClaimDocument,
    },
    /// The claim of this attempt is settled.
    Settle(AttemptId, ClaimOutcome),
}

/// The platform's response to a read or write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardResponse {
    /// The document and its revision; one that does not exist is empty at revision 0.
    Read(ClaimDocument, u64),
    /// The write succeeded and the document now has this revision.
    Written(u64),
    /// The document no longer had the expected revision.
    Conflict,
    /// No response, or an error; a write may or may not have taken effect.
    Unknown,
}

/// Calls that a coordinator may accumulate, so that the first claims after an idle time are written
/// at once.
const CALL_BURST: f64 = 10.0;

/// The unsettled claims of one coordinator, and its copy of each of its shards' documents.
#[derive(Debug)]
pub struct ClaimBatch {
    settings: ClaimSettings,
    shards: FastMap<ShardIndex, ShardState>,
    calls: TokenBucket,
    /// The shard that goes first at a tick; it advances with each, so that a small budget of calls
    /// serves all shards in turn.
    first_shard: u32,
}

#[derive(Debug, Default)]
struct ShardState {
    waiting: Vec<WaitingClaim>,
    /// Claims to be removed from the stored document.
    releasing: Vec<(RequestKey, AttemptId)>,
    /// The document and its revision; nothing where it must be read first.
    known: Option<(ClaimDocument, u64)>,
    pending: PendingCall,
    next_call: Moment,
}

#[derive(Debug, Default, PartialEq, Eq)]
enum PendingCall {
    #[default]
    Nothing,
    Reading,
    Writing(ClaimDocument),
}

#[derive(Debug, Clone, Copy)]
struct WaitingClaim {
    key: RequestKey,
    attempt: AttemptId,
    since: Moment,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            shards: 8,
            retention_s: 600,
            write_every: Millis(40),
            calls_per_second: 300,
            claim_timeout: Millis(1_000),
            shard_limit: 8_000,
        }
    }
}

impl ClaimBatch {
    /// Creates a batch without claims.
    pub fn new(settings: ClaimSettings) -> Self {
        let calls = TokenBucket::full(Moment(0), CALL_BURST);
        Self { settings, shards: FastMap::default(), calls, first_shard: 0 }
    }

    /// Requests a claim of `key` for `attempt`; returns the calls to make.
    ///
    /// `wall_s` is the wall clock in seconds, which records are stamped with.
    pub fn claim(
        &mut self,
        now: Moment,
        wall_s: u64,
        key: RequestKey,
        attempt: AttemptId,
    ) -> Vec<ClaimEffect> {
        let index = self.shard_of(key);
        let shard = self.shards.entry(index).or_default();
        // An entry that got no answer repeats its request for the same attempt.
        if !shard.waiting.iter().any(|claim| claim.attempt == attempt) {
            shard.waiting.push(WaitingClaim { key, attempt, since: now });
        }
        self.advance(now, wall_s, index)
    }

    /// Releases a claim, granted or not, once it is certain that the request was not run.
    pub fn release(
        &mut self,
        now: Moment,
        wall_s: u64,
        key: RequestKey,
        attempt: AttemptId,
    ) -> Vec<ClaimEffect> {
        let index = self.shard_of(key);
        let shard = self.shards.entry(index).or_default();
        shard.waiting.retain(|claim| claim.attempt != attempt);
        shard.releasing.push((key, attempt));
        self.advance(now, wall_s, index)
    }

    /// Handles the platform's response to a read or write of a shard.
    pub fn handle_response(
        &mut self,
        now: Moment,
        wall_s: u64,
        index: ShardIndex,
        response: ShardResponse,
    ) -> Vec<ClaimEffect> {
        let Some(shard) = self.shards.get_mut(&index) else { return Vec::new() };
        let pending = std::mem::take(&mut shard.pending);
        match (response, pending) {
            (ShardResponse::Read(document, revision), PendingCall::Reading) => {
                shard.known = Some((document, revision));
            }
            (ShardResponse::Written(revision), PendingCall::Writing(document)) => {
                shard.known = Some((document, revision));
            }
            // After a conflict, a lost response or a failed read, the document is read again first.
            _ => {
                shard.known = None;
                shard.next_call = now + self.settings.write_every;
            }
        }
        let mut effects = self.settle(index);
        effects.extend(self.advance(now, wall_s, index));
        effects
    }

    /// Settles claims that timed out as unavailable, and starts the calls that are due.
    pub fn tick(&mut self, now: Moment, wall_s: u64) -> Vec<ClaimEffect> {
        let mut effects = Vec::new();
        let timeout = self.settings.claim_timeout;
        let mut indexes: Vec<_> = self.shards.keys().copied().collect();
        self.first_shard = (self.first_shard + 1) % self.settings.shards.max(1);
        let shards = self.settings.shards.max(1);
        indexes.sort_unstable_by_key(|index| (index.0 + shards - self.first_shard) % shards);
        for index in indexes {
            let shard = self.shards.get_mut(&index).expect("an index of the map");
            let is_late = |claim: &WaitingClaim| now.since(claim.since) >= timeout;
            let late: Vec<_> = shard.waiting.iter().copied().filter(is_late).collect();
            shard.waiting.retain(|claim| !is_late(claim));
            for claim in late {
                // The claim is not released here, as another coordinator may have granted it to the
                // same attempt. Only the entry that asked knows, and it releases the claim where no
                // coordinator granted it.
                effects.push(ClaimEffect::Settle(claim.attempt, ClaimOutcome::Unavailable));
            }
            effects.extend(self.advance(now, wall_s, index));
        }
        effects
    }

    /// Whether no claim waits and no release is left to be written.
    pub fn is_idle(&self) -> bool {
        self.shards.values().all(|it| it.waiting.is_empty() && it.releasing.is_empty())
    }

    fn shard_of(&self, key: RequestKey) -> ShardIndex {
        coordinator::shard_of(key, self.settings.shards)
    }

    /// Settles every waiting claim whose key is in the known document, and drops the releases that
    /// took effect.
    fn settle(&mut self, index: ShardIndex) -> Vec<ClaimEffect> {
        let shard = self.shards.get_mut(&index).expect("the shard was looked up");
        let Some((document, _)) = &shard.known else { return Vec::new() };
        let mut effects = Vec::new();
        shard.waiting.retain(|claim| {
            let Some(record) = document.claims.get(&claim.key) else { return true };
            let is_own = record.attempt == claim.attempt;
            let outcome = if is_own { ClaimOutcome::Granted } else { ClaimOutcome::Taken };
            effects.push(ClaimEffect::Settle(claim.attempt, outcome));
            false
        });
        shard.releasing.retain(|(key, attempt)| {
            document.claims.get(key).is_some_and(|record| record.attempt == *attempt)
        });
        effects
    }

    /// Starts the next read or write of the shard, where one is needed and the rate limits allow
    /// it.
    fn advance(&mut self, now: Moment, wall_s: u64, index: ShardIndex) -> Vec<ClaimEffect> {
        // The budget is divided equally among all shards; this batch uses the part of its shards.
        let share = self.shards.len() as f64 / f64::from(self.settings.shards.max(1));
        let rate = f64::from(self.settings.calls_per_second) * share;
        let shard = self.shards.get_mut(&index).expect("the shard was looked up");
        let is_idle = shard.waiting.is_empty() && shard.releasing.is_empty();
        if is_idle || shard.pending != PendingCall::Nothing || now < shard.next_call {
            return Vec::new();
        }
        if self.calls.take(now, rate, CALL_BURST).is_err() {
            return Vec::new();
        }
        let Some((known, revision)) = &shard.known else {
            shard.pending = PendingCall::Reading;
            return vec![ClaimEffect::Read(index)];
        };
        let (mut document, expect) = (known.clone(), *revision);
        let oldest = wall_s.saturating_sub(self.settings.retention_s);
        document.claims.retain(|_, record| record.at_s >= oldest);
        for (key, attempt) in &shard.releasing {
            if document.claims.get(key).is_some_and(|record| record.attempt == *attempt) {
                document.claims.remove(key);
            }
        }
        for claim in &shard.waiting {
            if document.claims.len() < self.settings.shard_limit {
                let record = ClaimRecord { attempt: claim.attempt, at_s: wall_s };
                document.claims.entry(claim.key).or_insert(record);
            }
        }
        shard.next_call = now + self.settings.write_every;
        shard.pending = PendingCall::Writing(document.clone());
        vec![ClaimEffect::Write { shard: index, expect, document }]
    }
}

impl ClaimDocument {
    /// Encodes the document for storage: a JSON array with key, attempt and second of each claim.
    pub fn encode(&self) -> Vec<u8> {
        let rows: Vec<_> = self
            .claims
            .iter()
            .map(|(key, it)| (key.to_string(), it.attempt.to_string(), it.at_s))
            .collect();
        serde_json::to_vec(&rows).expect("a document is plain data")
    }

    /// Decodes a stored document; an error says which part could not be parsed.
    pub fn decode(bytes: &[u8]) -> Result<Self, Box<str>> {
        let rows: Vec<(Box<str>, Box<str>, u64)> =
            serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
        let mut claims = BTreeMap::new();
        for (key, attempt, at_s) in rows {
            let key = key.parse().map_err(|error| format!("{error}"))?;
            let attempt = attempt.parse().map_err(|error| format!("{error}"))?;
            claims.insert(key, ClaimRecord { attempt, at_s });
        }
        Ok(Self { claims })
    }
}

//! Values of the core as parts of messages, and back.

use bytes::Bytes;
use mustardrill_core::claim::ClaimOutcome;
use mustardrill_core::demand::DemandRow;
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::quarantine::{CrashReport, CrashedRun, QUARANTINE_SPAN};
use mustardrill_proto as proto;
use mustardrill_types::{
    AttemptId, ManifestDigest, Millis, Moment, RequestDigest, RequestKey, StartStamp,
};

/// A digest as a message's bytes.
pub fn digest_bytes(digest: ManifestDigest) -> Bytes {
    Bytes::copy_from_slice(&digest.0)
}

/// A message's bytes as a digest.
pub fn digest_of(bytes: &[u8]) -> Option<ManifestDigest> {
    Some(ManifestDigest(bytes.try_into().ok()?))
}

/// An attempt as a message's bytes.
pub fn attempt_bytes(attempt: AttemptId) -> Bytes {
    Bytes::copy_from_slice(&attempt.0.to_be_bytes())
}

/// A message's bytes as an attempt.
pub fn attempt_of(bytes: &[u8]) -> Option<AttemptId> {
    Some(AttemptId(u128::from_be_bytes(bytes.try_into().ok()?)))
}

/// A row of demand as a message.
pub fn demand_message(row: &DemandRow) -> proto::Demand {
    let (customer, target) = &row.key;
    let (customer, target) = (customer.to_string(), target.to_string());
    proto::Demand { customer, target, asked: row.requests }
}

/// A message as a row of demand; nothing where its names are malformed.
pub fn demand_row(row: &proto::Demand) -> Option<DemandRow> {
    let key = (row.customer.parse().ok()?, row.target.parse().ok()?);
    Some(DemandRow { key, requests: row.asked })
}

/// A word on a crash as a message, told at `now`.
pub fn crash_message(now: Moment, word: &CrashReport) -> proto::CrashRow {
    let row = |kind: proto::CrashKind, digest: RequestDigest| proto::CrashRow {
        kind: kind as i32,
        digest: Bytes::copy_from_slice(&digest.0.to_be_bytes()),
        ..proto::CrashRow::default()
    };
    match word {
        CrashReport::Crashed(run) => proto::CrashRow {
            upstream: run.upstream.to_string(),
            start: run.start.0,
            sent_ago_ms: now.since(run.sent).0,
            ended_ago_ms: now.since(run.ended).0,
            ..row(proto::CrashKind::Crashed, run.digest)
        },
        CrashReport::Sound(digest, at) => proto::CrashRow {
            ended_ago_ms: now.since(*at).0,
            ..row(proto::CrashKind::Sound, *digest)
        },
        CrashReport::Quarantined(digest, left) => {
            proto::CrashRow { left_ms: left.0, ..row(proto::CrashKind::Quarantined, *digest) }
        }
    }
}

/// A message, heard at `now`, as a word on a crash; nothing where it is malformed.
pub fn crash_word(now: Moment, row: &proto::CrashRow) -> Option<CrashReport> {
    let digest = RequestDigest(u128::from_be_bytes(row.digest.as_ref().try_into().ok()?));
    let ended = now - Millis(row.ended_ago_ms);
    Some(match proto::CrashKind::try_from(row.kind).ok()? {
        proto::CrashKind::Sound => CrashReport::Sound(digest, ended),
        proto::CrashKind::Quarantined => {
            CrashReport::Quarantined(digest, Millis(row.left_ms).min(QUARANTINE_SPAN))
        }
        proto::CrashKind::Crashed => CrashReport::Crashed(CrashedRun {
            digest,
            upstream: row.upstream.parse().ok()?,
            start: StartStamp(row.start),
            sent: now - Millis(row.sent_ago_ms),
            ended,
        }),
    })
}

/// A message's catalogue; nothing where there is none or it does not read, which is logged.
pub fn catalogue_of(bytes: &[u8], from: &str) -> Option<CatalogueDocument> {
    if bytes.is_empty() {
        return None;
    }
    let decoded = CatalogueDocument::decode(bytes);
    decoded
        .inspect_err(|error| {
            log::warn!("catalogue from={from} decision=keep reason=\"{error}\"");
        })
        .ok()
}

/// A request key as a message's bytes.
pub fn key_bytes(key: RequestKey) -> Bytes {
    Bytes::copy_from_slice(&key.0.to_be_bytes())
}

/// A message's bytes as a request key.
pub fn key_of(bytes: &[u8]) -> Option<RequestKey> {
    Some(RequestKey(u128::from_be_bytes(bytes.try_into().ok()?)))
}

/// What came of a claim as a message.
pub fn claim_message(outcome: ClaimOutcome) -> proto::ClaimOutcome {
    match outcome {
        ClaimOutcome::Granted => proto::ClaimOutcome::Granted,
        ClaimOutcome::Taken => proto::ClaimOutcome::Taken,
        ClaimOutcome::Unavailable => proto::ClaimOutcome::Unavailable,
    }
}

/// A message's word on a claim; whatever is not known counts as not agreed.
pub fn claim_of(outcome: proto::ClaimOutcome) -> ClaimOutcome {
    match outcome {
        proto::ClaimOutcome::Granted => ClaimOutcome::Granted,
        proto::ClaimOutcome::Taken => ClaimOutcome::Taken,
        proto::ClaimOutcome::Unavailable => ClaimOutcome::Unavailable,
    }
}

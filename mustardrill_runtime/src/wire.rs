//! Conversions between the core's types and protobuf messages.

use bytes::Bytes;
use mustardrill_core::claim::ClaimOutcome;
use mustardrill_core::demand::DemandRow;
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::quarantine::{CrashReport, CrashedRun, QUARANTINE_SPAN, QuarantineSubject};
use mustardrill_proto as proto;
use mustardrill_types::{
    AttemptId, ManifestDigest, Millis, Moment, PartId, PartSet, RequestDigest, RequestKey,
    StartStamp,
};

/// Encodes a manifest digest.
pub fn digest_bytes(digest: ManifestDigest) -> Bytes {
    Bytes::copy_from_slice(&digest.0)
}

/// Decodes a manifest digest; `None` if the length is wrong.
pub fn digest_of(bytes: &[u8]) -> Option<ManifestDigest> {
    Some(ManifestDigest(bytes.try_into().ok()?))
}

/// Encodes an attempt id as 16 big-endian bytes.
pub fn attempt_bytes(attempt: AttemptId) -> Bytes {
    Bytes::copy_from_slice(&attempt.0.to_be_bytes())
}

/// Decodes an attempt id; `None` if the length is not 16 bytes.
pub fn attempt_of(bytes: &[u8]) -> Option<AttemptId> {
    Some(AttemptId(u128::from_be_bytes(bytes.try_into().ok()?)))
}

/// Encodes how much a customer requested of a catalogue entry.
pub fn demand_message(row: &DemandRow) -> proto::Demand {
    let (customer, target) = &row.key;
    let (customer, target) = (customer.to_string(), target.to_string());
    proto::Demand { customer, target, asked: row.requests }
}

/// Decodes a row of demand; `None` if a name is malformed.
pub fn demand_row(row: &proto::Demand) -> Option<DemandRow> {
    let key = (row.customer.parse().ok()?, row.target.parse().ok()?);
    Some(DemandRow { key, requests: row.asked })
}

/// Encodes a crash report sent at `now`; its times become ages, since processes share no clock.
pub fn crash_message(now: Moment, report: &CrashReport) -> proto::CrashRow {
    let row = |kind: proto::CrashKind, subject: &QuarantineSubject| {
        let (digest, parts) = match subject {
            QuarantineSubject::Content(digest) => (request_digest_bytes(*digest), Bytes::new()),
            QuarantineSubject::Parts(parts) => (Bytes::new(), part_bytes(parts)),
        };
        proto::CrashRow { kind: kind as i32, digest, parts, ..proto::CrashRow::default() }
    };
    match report {
        CrashReport::Crashed(run) => proto::CrashRow {
            upstream: run.upstream.to_string(),
            start: run.start.0,
            sent_ago_ms: now.since(run.sent).0,
            ended_ago_ms: now.since(run.ended).0,
            parts: part_bytes(&run.parts),
            ..row(proto::CrashKind::Crashed, &run.digest.into())
        },
        CrashReport::Sound(digest, at) => proto::CrashRow {
            ended_ago_ms: now.since(*at).0,
            ..row(proto::CrashKind::Sound, &(*digest).into())
        },
        CrashReport::PartsSound(parts, at) => proto::CrashRow {
            ended_ago_ms: now.since(*at).0,
            ..row(proto::CrashKind::Sound, &parts.clone().into())
        },
        CrashReport::Quarantined(subject, left) => {
            proto::CrashRow { left_ms: left.0, ..row(proto::CrashKind::Quarantined, subject) }
        }
    }
}

/// Decodes a crash report received at `now`; `None` if it is malformed. A quarantine is limited to
/// [`QUARANTINE_SPAN`].
pub fn crash_report(now: Moment, row: &proto::CrashRow) -> Option<CrashReport> {
    let parts = parts_of(&row.parts)?;
    let digest = row.digest.as_ref().try_into().ok().map(u128::from_be_bytes).map(RequestDigest);
    let subject = match digest {
        Some(digest) => QuarantineSubject::Content(digest),
        None if row.digest.is_empty() && !parts.is_empty() => {
            QuarantineSubject::Parts(parts.clone())
        }
        None => return None,
    };
    let ended = now - Millis(row.ended_ago_ms);
    Some(match proto::CrashKind::try_from(row.kind).ok()? {
        proto::CrashKind::Sound => match subject {
            QuarantineSubject::Content(digest) => CrashReport::Sound(digest, ended),
            QuarantineSubject::Parts(parts) => CrashReport::PartsSound(parts, ended),
        },
        proto::CrashKind::Quarantined => {
            CrashReport::Quarantined(subject, Millis(row.left_ms).min(QUARANTINE_SPAN))
        }
        proto::CrashKind::Crashed => CrashReport::Crashed(CrashedRun {
            digest: digest?,
            parts,
            upstream: row.upstream.parse().ok()?,
            start: StartStamp(row.start),
            sent: now - Millis(row.sent_ago_ms),
            ended,
        }),
    })
}

fn request_digest_bytes(digest: RequestDigest) -> Bytes {
    Bytes::copy_from_slice(&digest.0.to_be_bytes())
}

fn part_bytes(parts: &PartSet) -> Bytes {
    parts.iter().flat_map(|part| part.0.to_be_bytes()).collect()
}

/// Decodes ids of parts; `None` if the length is wrong.
fn parts_of(bytes: &[u8]) -> Option<PartSet> {
    let (ids, rest) = bytes.as_chunks();
    rest.is_empty().then(|| ids.iter().map(|id| PartId(u128::from_be_bytes(*id))).collect())
}

/// Decodes the catalogue in a message from `from`. Returns `None` if the message carries none, and
/// also, with a warning in the log, if it can't be decoded.
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

/// Encodes a request key as 16 big-endian bytes.
pub fn key_bytes(key: RequestKey) -> Bytes {
    Bytes::copy_from_slice(&key.0.to_be_bytes())
}

/// Decodes a request key; `None` if the length is not 16 bytes.
pub fn key_of(bytes: &[u8]) -> Option<RequestKey> {
    Some(RequestKey(u128::from_be_bytes(bytes.try_into().ok()?)))
}

/// Encodes the outcome of a claim.
pub fn claim_message(outcome: ClaimOutcome) -> proto::ClaimOutcome {
    match outcome {
        ClaimOutcome::Granted => proto::ClaimOutcome::Granted,
        ClaimOutcome::Taken => proto::ClaimOutcome::Taken,
        ClaimOutcome::Unavailable => proto::ClaimOutcome::Unavailable,
    }
}

/// Decodes the outcome of a claim.
pub fn claim_of(outcome: proto::ClaimOutcome) -> ClaimOutcome {
    match outcome {
        proto::ClaimOutcome::Granted => ClaimOutcome::Granted,
        proto::ClaimOutcome::Taken => ClaimOutcome::Taken,
        proto::ClaimOutcome::Unavailable => ClaimOutcome::Unavailable,
    }
}

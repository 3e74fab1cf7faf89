//! Values of the core as parts of messages, and back.

use bytes::Bytes;
use mustardrill_core::demand::DemandRow;
use mustardrill_core::document::CatalogueDocument;
use mustardrill_proto as proto;
use mustardrill_types::{AttemptId, ManifestDigest};

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
    proto::Demand { customer, target, asked: row.asked }
}

/// A message as a row of demand; nothing where its names are malformed.
pub fn demand_row(row: &proto::Demand) -> Option<DemandRow> {
    let key = (row.customer.parse().ok()?, row.target.parse().ok()?);
    Some(DemandRow { key, asked: row.asked })
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

//! What several tests of the core share.
#![allow(dead_code, reason = "each test uses a part of it")]

use mustardrill_core::catalogue::{EntryDraft, read_drafts};
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::edit::{EditChange, EditRequest, FleetFacts, VersionFact, apply_edit};
use mustardrill_types::{ByteSize, EditId, FastMap};

/// The digest of version v1.
pub const V1: &str = "1111111111111111111111111111111111111111111111111111111111111111";

/// The digest of version v2.
pub const V2: &str = "2222222222222222222222222222222222222222222222222222222222222222";

/// How many cases a property test runs; a longer run sets `PROPTEST_CASES`.
pub fn cases(usual: u32) -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// The model `drafts` as an operator's file.
pub fn model_text() -> String {
    "[model drafts]\nservice = mustard-pool\nowner = ana\nclass = urgent\ncallers = comedor, inspector\n\
     requests_per_second = 50\nin_flight = 10\nversion = v1\nreplicas = 4\n"
        .into()
}

/// The drafts of a file that reads.
pub fn drafts(text: &str) -> Vec<EntryDraft> {
    read_drafts("edit.ini", text).expect("the file reads")
}

/// An edit of drafts.
pub fn request(id: u128, operator: &str, drafts: Vec<EntryDraft>) -> EditRequest {
    EditRequest { id: EditId(id), operator: operator.into(), change: EditChange::Drafts(drafts) }
}

/// The catalogue that one edit of a file makes.
pub fn document_with(text: &str) -> CatalogueDocument {
    let edit = request(1, "ana", drafts(text));
    apply_edit(&CatalogueDocument::default(), &edit, &facts()).expect("the edit is right")
}

/// A small fleet.
pub fn facts() -> FleetFacts {
    let mut versions = FastMap::default();
    for model in ["drafts", "summaries"] {
        for (version, digest, size) in [("v1", V1, 1_000), ("v2", V2, 1_000), ("huge", V2, 9_000)] {
            let fact = VersionFact { manifest: digest.parse().unwrap(), size: ByteSize(size) };
            versions.insert((model.parse().unwrap(), version.parse().unwrap()), fact);
        }
    }
    FleetFacts {
        customers: ["comedor", "inspector"].map(|name| name.parse().unwrap()).into_iter().collect(),
        operators: ["ana", "beto"].map(Into::into).into_iter().collect(),
        instances: [("mustard-pool", 4), ("records-desk", 1)]
            .map(|(name, count)| (name.parse().unwrap(), count))
            .into_iter()
            .collect(),
        versions,
        staging_limit: ByteSize(5_000),
        in_use: [("drafts".parse().unwrap(), 5)].into_iter().collect(),
    }
}

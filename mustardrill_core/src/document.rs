//! The catalogue as stored in the platform's key-value service: one JSON document under one key.

use std::collections::BTreeMap;
use std::str::FromStr;

use derive_more::Display;
use mustardrill_types::{
    CustomerName, EditId, Generation, ManifestDigest, ModelName, ServiceName, VersionName,
};
use serde::{Deserialize, Serialize};

/// Maximum number of edit records kept in the document, for the history, for undo and for finding
/// out whether an edit was applied.
pub const MAX_EDIT_RECORDS: usize = 64;

/// The complete catalogue at one generation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueDocument {
    /// Increases by one with each accepted edit.
    pub generation: Generation,
    /// The entries, keyed by the name that callers use.
    pub entries: BTreeMap<ModelName, CatalogueEntry>,
    /// The latest edits, oldest first; at most [`MAX_EDIT_RECORDS`].
    pub edits: Vec<EditRecord>,
}

/// A model or plain service that callers address by one name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueEntry {
    /// The generation in which the entry last changed. An edit of the entry states the revision
    /// that it is based on, so that conflicting edits are detected.
    pub revision: Generation,
    /// The service whose upstreams serve the entry.
    pub service: ServiceName,
    /// The only operator who may edit the entry.
    pub owner: Box<str>,
    /// The priority class of requests for the entry.
    pub class: RequestClass,
    /// The customers who may call the entry.
    pub callers: CallerSet,
    /// The limits that apply to each customer separately.
    pub limits: CustomerLimits,
    /// The weights of a model; `None` for a plain service.
    pub weights: Option<ModelWeights>,
}

/// The weights that a model's upstreams are to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelWeights {
    /// The version that upstreams should load.
    pub version: VersionName,
    /// The digest of the version's manifest, pinned when the edit was accepted.
    pub manifest: ManifestDigest,
    /// The number of instances that should serve the version.
    pub replicas: u32,
}

/// Limits on the requests of one customer for one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerLimits {
    /// Maximum rate of requests, per second; at least 1.
    pub requests_per_second: u32,
    /// Maximum number of requests in progress at a time; at least 1.
    pub in_flight: u32,
}

/// The customers who may call an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerSet {
    /// Every customer in the settings.
    All,
    /// Only these customers; nobody if the list is empty.
    Only(Vec<CustomerName>),
}

/// The priority class of a request, ordered from the highest priority to the lowest.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum RequestClass {
    /// Work due now, such as hull surveys and dossiers due today.
    #[display("urgent")]
    Urgent,
    /// Work without special priority.
    #[display("standard")]
    Standard,
    /// Work that can wait, such as status pings.
    #[display("background")]
    Background,
}

/// One accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    /// The id under which the operator submitted the edit.
    pub id: EditId,
    /// The generation that the edit created.
    pub generation: Generation,
    /// The operator who submitted the edit.
    pub operator: Box<str>,
    /// The changes, one for each changed entry.
    pub changes: Vec<EntryChange>,
}

/// The change that an edit made to one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryChange {
    /// The name of the entry.
    pub name: ModelName,
    /// The entry before the edit; `None` if the edit created it.
    pub before: Option<CatalogueEntry>,
    /// The entry after the edit; `None` if the edit removed it.
    pub after: Option<CatalogueEntry>,
}

impl RequestClass {
    /// Every class, highest priority first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Background];

    /// The index in the order of priority; 0 is the highest.
    pub fn rank(self) -> usize {
        self as usize
    }

    /// The class with this rank; [`Background`](Self::Background) if the rank is out of range.
    pub fn from_rank(rank: usize) -> Self {
        Self::ALL.get(rank).copied().unwrap_or(Self::Background)
    }
}

impl FromStr for RequestClass {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        Self::ALL.into_iter().find(|class| class.to_string() == text).ok_or(())
    }
}

impl CallerSet {
    /// Whether `customer` may call the entry.
    pub fn allows(&self, customer: &CustomerName) -> bool {
        match self {
            Self::All => true,
            Self::Only(names) => names.contains(customer),
        }
    }
}

impl CatalogueEntry {
    /// Whether the entries are equal apart from their revisions.
    pub fn equals_ignoring_revision(&self, other: &Self) -> bool {
        Self { revision: other.revision, ..self.clone() } == *other
    }
}

impl CatalogueDocument {
    /// Encodes the document as stored, in JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a document is plain data")
    }

    /// Decodes a stored value; an empty value is the empty catalogue.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        serde_json::from_slice(bytes)
    }

    /// The record of the edit with this id, if the history still has it.
    pub fn edit(&self, id: EditId) -> Option<&EditRecord> {
        self.edits.iter().find(|record| record.id == id)
    }

    /// The record of the edit that created `generation`, if the history still has it.
    pub fn edit_for_generation(&self, generation: Generation) -> Option<&EditRecord> {
        self.edits.iter().find(|record| record.generation == generation)
    }

    /// The entry as of `revision`, the generation of one of its changes, if it is current or the
    /// history still has it.
    pub fn entry_at_revision(
        &self,
        name: &ModelName,
        revision: Generation,
    ) -> Option<&CatalogueEntry> {
        let current = self.entries.get(name).filter(|entry| entry.revision == revision);
        let changes = self.edits.iter().flat_map(|record| &record.changes);
        let recorded = changes
            .filter(|change| change.name == *name)
            .flat_map(|change| [change.before.as_ref(), change.after.as_ref()])
            .flatten()
            .find(|entry| entry.revision == revision);
        current.or(recorded)
    }

    /// The models that the instances of `service` should serve, with their weights.
    pub fn weights_for_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a ModelName, &'a ModelWeights)> {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.service == *service)
            .filter_map(|(name, entry)| entry.weights.as_ref().map(|weights| (name, weights)))
    }
}

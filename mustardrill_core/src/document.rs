//! The catalogue as it is kept in the platform's key-value service: one document, one key.

use std::collections::BTreeMap;
use std::str::FromStr;

use derive_more::Display;
use mustardrill_types::{
    CustomerName, EditId, Generation, ManifestDigest, ModelName, ServiceName, VersionName,
};
use serde::{Deserialize, Serialize};

/// How many edits the document remembers, for settling, history and undo.
pub const HISTORY_LIMIT: usize = 64;

/// The whole catalogue at one generation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueDocument {
    /// The number of this state.
    pub generation: Generation,
    /// The entries by the name callers use.
    pub entries: BTreeMap<ModelName, CatalogueEntry>,
    /// The last edits, oldest first.
    pub edits: Vec<EditRecord>,
}

/// What one name that callers use stands for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueEntry {
    /// The generation in which the entry last changed.
    pub revision: Generation,
    /// The service whose upstreams serve it.
    pub service: ServiceName,
    /// The operator who may edit it.
    pub owner: Box<str>,
    /// Which requests go first.
    pub class: RequestClass,
    /// Who may call it.
    pub callers: CallerSet,
    /// The limits of each customer.
    pub limits: CustomerLimits,
    /// The weights, for a model; nothing for a plain service.
    pub weights: Option<ModelWeights>,
}

/// The weights that a model's upstreams are to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelWeights {
    /// The version wanted.
    pub version: VersionName,
    /// The digest of its manifest, pinned when the edit was accepted.
    pub manifest: ManifestDigest,
    /// How many instances are to serve it.
    pub replicas: u32,
}

/// The limits of each customer on one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerLimits {
    /// Requests a second.
    pub requests_per_second: u32,
    /// Requests in progress.
    pub in_flight: u32,
}

/// Who may call an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerSet {
    /// Every known customer.
    All,
    /// These customers.
    Only(Vec<CustomerName>),
}

/// The class of a request; the first goes first.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum RequestClass {
    /// Hull surveys, dossiers due today.
    #[display("urgent")]
    Urgent,
    /// The usual.
    #[display("standard")]
    Standard,
    /// Status pings and what else can wait.
    #[display("background")]
    Background,
}

/// One accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    /// The edit's id.
    pub id: EditId,
    /// The generation it made.
    pub generation: Generation,
    /// Who made it.
    pub operator: Box<str>,
    /// What it changed.
    pub changes: Vec<EntryChange>,
}

/// How an edit changed one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryChange {
    /// The entry.
    pub name: ModelName,
    /// The entry before; nothing where it is new.
    pub before: Option<CatalogueEntry>,
    /// The entry after; nothing where it was removed.
    pub after: Option<CatalogueEntry>,
}

impl RequestClass {
    /// Every class, first served first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Background];

    /// The place in the order, from zero.
    pub fn rank(self) -> usize {
        self as usize
    }

    /// The class with this place; the last where there is none.
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
    /// Whether the customer may call.
    pub fn allows(&self, customer: &CustomerName) -> bool {
        match self {
            Self::All => true,
            Self::Only(names) => names.contains(customer),
        }
    }
}

impl CatalogueEntry {
    /// Whether the entry is the same but for the generation of its last change.
    pub fn says_the_same(&self, other: &Self) -> bool {
        Self { revision: other.revision, ..self.clone() } == *other
    }
}

impl CatalogueDocument {
    /// The document as it is kept.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a document is plain data")
    }

    /// Reads what is kept; an empty value is the empty catalogue.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        serde_json::from_slice(bytes)
    }

    /// The record of an edit, where it is among the last.
    pub fn edit(&self, id: EditId) -> Option<&EditRecord> {
        self.edits.iter().find(|record| record.id == id)
    }

    /// The record of the edit that made a generation, where it is among the last.
    pub fn edit_of(&self, generation: Generation) -> Option<&EditRecord> {
        self.edits.iter().find(|record| record.generation == generation)
    }

    /// What an entry said at a generation that changed it, where that is remembered.
    pub fn entry_at(&self, name: &ModelName, revision: Generation) -> Option<&CatalogueEntry> {
        let current = self.entries.get(name).filter(|entry| entry.revision == revision);
        let changes = self.edits.iter().flat_map(|record| &record.changes);
        let remembered = changes
            .filter(|change| change.name == *name)
            .flat_map(|change| [change.before.as_ref(), change.after.as_ref()])
            .flatten()
            .find(|entry| entry.revision == revision);
        current.or(remembered)
    }

    /// Every version that a service's instances are to serve.
    pub fn weights_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a ModelName, &'a ModelWeights)> {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.service == *service)
            .filter_map(|(name, entry)| entry.weights.as_ref().map(|weights| (name, weights)))
    }
}

//! Validates edits of the catalogue and applies each one atomically.
//!
//! An edit is identified by its id, so a retry of an accepted edit does not apply it again. An
//! undo is itself a new edit that restores the entries as they were before an earlier one.

use std::sync::Arc;

use log::{info, warn};
use mustardrill_types::{
    ByteSize, CustomerName, EditId, FastMap, FastSet, Generation, ManifestDigest, ModelName,
    ServiceName, VersionName,
};

use crate::catalogue::{DraftContent, EntryDraft};
use crate::check::check_restricted_changes;
use crate::document::{
    CallerSet, CatalogueDocument, CatalogueEntry, EditRecord, EntryChange, MAX_EDIT_RECORDS,
};
use crate::rule::{EditRefusal, EditRule};

/// Maximum size of the encoded document, in bytes. It leaves a margin below the largest value that
/// the platform's key-value service stores.
pub const MAX_DOCUMENT_BYTES: usize = 900_000;

/// An edit as submitted by an operator.
#[derive(Debug, Clone)]
pub struct EditRequest {
    /// Identifies the edit; every retry sends the same id.
    pub id: EditId,
    /// The operator who submitted the edit; must own each entry that it changes.
    pub operator: Box<str>,
    /// The requested change.
    pub change: EditChange,
}

/// The content of an edit.
#[derive(Debug, Clone)]
pub enum EditChange {
    /// The sections of an operator's file, in the order of the file.
    Drafts(Vec<EntryDraft>),
    /// Reverts the edit with this id, whose record must still be in the history.
    Undo(EditId),
}

/// The state of the fleet against which an edit is validated.
#[derive(Debug, Clone, Default)]
pub struct FleetFacts {
    /// The customers in the settings; `callers` may name only these.
    pub customers: FastSet<CustomerName>,
    /// The operators in the settings; `owner` may name only these.
    pub operators: FastSet<Box<str>>,
    /// The number of instances of each service; a service without instances is unknown.
    pub instances: FastMap<ServiceName, u32>,
    /// The versions named by the edit that the origin has.
    pub versions: FastMap<(ModelName, VersionName), PublishedVersion>,
    /// The largest version that an agent can stage.
    pub staging_limit: ByteSize,
    /// For each entry, the highest number of requests that any single customer has in progress.
    pub in_use: FastMap<ModelName, u32>,
}

/// Digest and size of one version at the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishedVersion {
    /// The digest of the manifest that the origin has now.
    pub manifest: ManifestDigest,
    /// The size of the weights.
    pub size: ByteSize,
}

/// Validates an edit against `document` and returns the document that results from it.
///
/// The caller must write the result with a compare-and-swap, only if the key still holds
/// `document`. On an error nothing of the edit has been written and nothing of it will be.
pub fn apply_edit(
    document: &CatalogueDocument,
    request: &EditRequest,
    facts: &FleetFacts,
) -> Result<CatalogueDocument, Vec<EditRefusal>> {
    let generation = Generation(document.generation.0 + 1);
    let editor = Editor { document, operator: &request.operator, facts, generation };
    let changes = match &request.change {
        EditChange::Drafts(drafts) => editor.build_changes(drafts)?,
        EditChange::Undo(id) => editor.build_undo(*id)?,
    };
    let mut next = document.clone();
    next.generation = generation;
    for change in &changes {
        match &change.after {
            Some(entry) => next.entries.insert(change.name.clone(), entry.clone()),
            None => next.entries.remove(&change.name),
        };
    }
    editor.check_service_capacity(&next, &changes, &request.change)?;
    let operator = request.operator.clone();
    next.edits.push(EditRecord { id: request.id, generation, operator, changes });
    let excess = next.edits.len().saturating_sub(MAX_EDIT_RECORDS);
    next.edits.drain(..excess);
    check_size(&mut next)?;
    Ok(next)
}

/// Replaces `current` by `next` if `next` is a newer, valid generation; returns whether it did.
///
/// Every process that reads the catalogue repeats this check and keeps its last valid generation
/// if it fails.
pub fn adopt(current: &mut Arc<CatalogueDocument>, next: Arc<CatalogueDocument>) -> bool {
    if next.generation <= current.generation {
        return false;
    }
    if let Err(reason) = check_successor(current, &next) {
        warn!("catalogue generation={} decision=keep reason=\"{reason}\"", next.generation);
        return false;
    }
    info!("catalogue generation={} decision=apply", next.generation);
    *current = next;
    true
}

/// Checks that `next` is a valid successor of `current`, the document in force.
///
/// The error is the reason for rejecting it, which is logged.
pub fn check_successor(
    current: &CatalogueDocument,
    next: &CatalogueDocument,
) -> Result<(), Box<str>> {
    if next.generation < current.generation {
        let (next, current) = (next.generation, current.generation);
        return Err(format!("generation {next} is lower than generation {current} in force").into());
    }
    if next.generation == current.generation && next != current {
        return Err(format!(
            "a different document of generation {} is already in force",
            next.generation
        )
        .into());
    }
    let is_too_new = |entry: &&CatalogueEntry| entry.revision > next.generation;
    if let Some(entry) = next.entries.values().find(is_too_new) {
        let (revision, generation) = (entry.revision, next.generation);
        return Err(format!(
            "an entry has revision {revision}, above its document's generation {generation}"
        )
        .into());
    }
    let has_zero_limit = |entry: &&CatalogueEntry| {
        entry.limits.in_flight == 0 || entry.limits.requests_per_second == 0
    };
    if next.entries.values().any(|entry| has_zero_limit(&entry)) {
        return Err("an entry has a limit of zero, at least 1 is required".into());
    }
    Ok(())
}

pub(crate) struct Editor<'a> {
    pub(crate) document: &'a CatalogueDocument,
    pub(crate) operator: &'a str,
    pub(crate) facts: &'a FleetFacts,
    generation: Generation,
}

impl Editor<'_> {
    fn build_changes(&self, drafts: &[EntryDraft]) -> Result<Vec<EntryChange>, Vec<EditRefusal>> {
        let mut changes = Vec::new();
        let mut refusals = Vec::new();
        for draft in drafts {
            match self.build_change(draft) {
                Ok(change) => changes.extend(change),
                Err(found) => refusals.extend(found),
            }
        }
        if !refusals.is_empty() {
            return Err(refusals);
        }
        if changes.is_empty() {
            let line = drafts.first().map_or(0, |draft| draft.line);
            let message = "every entry of the file is in force as it stands";
            return Err(vec![EditRefusal::new("file", line, EditRule::NoChange, message)]);
        }
        Ok(changes)
    }

    /// Validates one draft; returns `None` if it leaves the entry as it was.
    fn build_change(&self, draft: &EntryDraft) -> Result<Option<EntryChange>, Vec<EditRefusal>> {
        let current = self.document.entries.get(&draft.name);
        if self.is_untouched(draft, current) {
            return Ok(None);
        }
        self.check_base(draft, current).map_err(|refusal| vec![refusal])?;
        let Some(content) = &draft.content else {
            return self.build_removal(draft, current).map(Some).map_err(|refusal| vec![refusal]);
        };
        let mut refusals = self.check_references(draft, content, current);
        refusals.extend(self.check_limits(draft, content));
        let weights = self.resolve_weights(draft, content, current, &mut refusals);
        if let Some(current) = current {
            refusals.extend(check_restricted_changes(draft, content, current));
        }
        if !refusals.is_empty() {
            return Err(refusals);
        }
        let after = CatalogueEntry {
            revision: self.generation,
            service: content.service.clone(),
            owner: content.owner.clone(),
            class: content.class,
            callers: content.callers.clone(),
            limits: content.limits,
            weights,
        };
        let name = draft.name.clone();
        Ok(Some(EntryChange { name, before: current.cloned(), after: Some(after) }))
    }

    /// Whether the draft requests no change.
    ///
    /// A section that equals its base revision was copied unchanged from `catalogue show`, so
    /// changes that others made to the entry since then are kept.
    fn is_untouched(&self, draft: &EntryDraft, current: Option<&CatalogueEntry>) -> bool {
        let Some(content) = &draft.content else { return false };
        let base = draft.base.and_then(|base| self.document.entry_at_revision(&draft.name, base));
        let matches_base = base.is_some_and(|entry| content.matches(entry));
        // A section that equals the current entry is no change either, whoever made that edit.
        let matches_current = current.is_some_and(|entry| content.matches(entry));
        matches_base || (matches_current && draft.base.is_some())
    }

    fn check_base(
        &self,
        draft: &EntryDraft,
        current: Option<&CatalogueEntry>,
    ) -> Result<(), EditRefusal> {
        let refuse =
            |rule, message: String| Err(EditRefusal::of(&draft.name, draft.line, rule, message));
        match (current, draft.base) {
            (None, _) if draft.content.is_none() => {
                refuse(EditRule::NothingToRemove, "the catalogue has no such entry".into())
            }
            (None, None) => Ok(()),
            (Some(entry), None) => {
                let revision = entry.revision;
                refuse(EditRule::RevisionMissing, format!("the entry exists, revision {revision}"))
            }
            (_, Some(base)) if base > self.document.generation => {
                refuse(EditRule::RevisionUnknown, format!("there is no revision {base} yet"))
            }
            (Some(entry), Some(base)) if entry.revision == base => Ok(()),
            (Some(entry), Some(base)) if entry.revision < base => {
                let revision = entry.revision;
                let message = format!("the entry is at revision {revision}, it never had {base}");
                refuse(EditRule::RevisionUnknown, message)
            }
            (current, Some(base)) => {
                refuse(EditRule::EditRace, self.describe_race(&draft.name, current, base))
            }
        }
    }

    /// Describes the conflict: who changed the entry since `base`, and which values.
    fn describe_race(
        &self,
        name: &ModelName,
        current: Option<&CatalogueEntry>,
        base: Generation,
    ) -> String {
        let later = self.document.edits.iter().rev().find(|record| {
            record.generation > base && record.changes.iter().any(|change| change.name == *name)
        });
        let who = later.map_or("somebody", |record| &record.operator);
        let Some(entry) = current else {
            return format!("{who} removed the entry since revision {base}");
        };
        let what = self
            .document
            .entry_at_revision(name, base)
            .map(|old| differences(old, entry).join(", "));
        let what = what.unwrap_or_else(|| "the entry".into());
        format!(
            "{who} changed {what} in revision {}, the edit was made from {base}",
            entry.revision
        )
    }

    fn build_removal(
        &self,
        draft: &EntryDraft,
        current: Option<&CatalogueEntry>,
    ) -> Result<EntryChange, EditRefusal> {
        let refuse = |rule, message: &str| EditRefusal::of(&draft.name, draft.line, rule, message);
        let Some(entry) = current else {
            return Err(refuse(EditRule::NothingToRemove, "the catalogue has no such entry"));
        };
        if &*entry.owner != self.operator {
            return Err(refuse(EditRule::NotOwner, &format!("it belongs to {}", entry.owner)));
        }
        if entry.callers != CallerSet::Only(Vec::new()) {
            return Err(refuse(EditRule::RemovedInUse, "customers may still call it"));
        }
        let name = draft.name.clone();
        Ok(EntryChange { name, before: Some(entry.clone()), after: None })
    }

    fn build_undo(&self, id: EditId) -> Result<Vec<EntryChange>, Vec<EditRefusal>> {
        let Some(record) = self.document.edit(id) else {
            let message = format!("edit {id} is not among the last {MAX_EDIT_RECORDS}");
            return Err(vec![EditRefusal::new("undo", 0, EditRule::UndoUnknown, message)]);
        };
        let mut refusals = Vec::new();
        let mut changes = Vec::new();
        for change in &record.changes {
            let current = self.document.entries.get(&change.name);
            let owner = current.or(change.before.as_ref()).map(|entry| &*entry.owner);
            let mut refuse = |rule, message: String| {
                refusals.push(EditRefusal::of(&change.name, 0, rule, message));
            };
            if current != change.after.as_ref() {
                let race = self.describe_race(&change.name, current, record.generation);
                refuse(EditRule::EditRace, race);
            } else if owner.is_some_and(|owner| owner != self.operator) {
                let owner = owner.unwrap_or_default();
                refuse(EditRule::NotOwner, format!("it belongs to {owner}"));
            }
            let with_new_revision = |entry: &CatalogueEntry| CatalogueEntry {
                revision: self.generation,
                ..entry.clone()
            };
            changes.push(EntryChange {
                name: change.name.clone(),
                before: current.cloned(),
                after: change.before.as_ref().map(with_new_revision),
            });
        }
        if refusals.is_empty() { Ok(changes) } else { Err(refusals) }
    }

    /// Checks that the models of each changed service do not need more instances than it has.
    ///
    /// This needs the complete new document because all models of a service share its instances.
    fn check_service_capacity(
        &self,
        next: &CatalogueDocument,
        changes: &[EntryChange],
        requested_change: &EditChange,
    ) -> Result<(), Vec<EditRefusal>> {
        let mut refusals = Vec::new();
        for change in changes {
            let Some(entry) = &change.after else { continue };
            let Some(instances) = self.facts.instances.get(&entry.service) else { continue };
            let required_instances: u32 =
                next.weights_for_service(&entry.service).map(|(_, weights)| weights.replicas).sum();
            if entry.weights.is_some() && required_instances > *instances {
                let service = &entry.service;
                let message =
                    format!("{service} has {instances} instances, {required_instances} are wanted");
                let rule = EditRule::ServiceOvercommitted;
                refusals.push(EditRefusal::of(
                    &change.name,
                    requested_change.line_of(&change.name),
                    rule,
                    message,
                ));
            }
        }
        if refusals.is_empty() { Ok(()) } else { Err(refusals) }
    }
}

impl EditChange {
    /// The line of the entry's header in the operator's file; zero for an undo.
    fn line_of(&self, name: &ModelName) -> usize {
        let Self::Drafts(drafts) = self else { return 0 };
        drafts.iter().find(|draft| draft.name == *name).map_or(0, |draft| draft.line)
    }
}

impl DraftContent {
    /// Whether the draft has the same values as the entry, apart from revision and manifest digest.
    pub fn matches(&self, entry: &CatalogueEntry) -> bool {
        let weights = entry.weights.as_ref().map(|it| (it.version.clone(), it.replicas));
        self.service == entry.service
            && self.owner == entry.owner
            && self.class == entry.class
            && self.callers == entry.callers
            && self.limits == entry.limits
            && self.weights == weights
    }
}

/// Removes the oldest edit records, all but the newest, until the document is within
/// [`MAX_DOCUMENT_BYTES`]; refuses the edit if it still does not fit.
fn check_size(document: &mut CatalogueDocument) -> Result<(), Vec<EditRefusal>> {
    let mut size = document.encode().len();
    while size > MAX_DOCUMENT_BYTES && document.edits.len() > 1 {
        document.edits.remove(0);
        size = document.encode().len();
    }
    if size > MAX_DOCUMENT_BYTES {
        let message = format!("{size} bytes, {MAX_DOCUMENT_BYTES} fit");
        return Err(vec![EditRefusal::new("file", 0, EditRule::CatalogueTooLarge, message)]);
    }
    Ok(())
}

/// Lists the values that differ between two states of an entry, each as `key: old -> new`.
///
/// The revision is left out, and so is a key that only `old` has.
pub fn differences(old: &CatalogueEntry, new: &CatalogueEntry) -> Vec<String> {
    let name: ModelName = "entry".parse().expect("a valid name");
    let lines = |entry: &CatalogueEntry| -> Vec<String> {
        let text = crate::catalogue::format_entry(&name, entry);
        text.lines().map(str::to_owned).collect()
    };
    let (old, new) = (lines(old), lines(new));
    let key_of = |line: &str| line.split(" = ").next().unwrap_or_default().to_owned();
    let value_of = |line: &str| line.split_once(" = ").unwrap_or_default().1.to_owned();
    new.iter()
        .filter(|line| !old.contains(line) && key_of(line) != "revision")
        .map(|line| {
            let key = key_of(line);
            let before = old.iter().find(|other| key_of(other) == key);
            let before = before.map_or("nothing".into(), |other| value_of(other));
            format!("{key}: {before} -> {}", value_of(line))
        })
        .collect()
}

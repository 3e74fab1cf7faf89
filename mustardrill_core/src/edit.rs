//! Edits of the catalogue: checked, applied as one change, settled by id, undone as a new edit.

use std::sync::Arc;

use log::{info, warn};
use mustardrill_types::{
    ByteSize, CustomerName, EditId, FastMap, FastSet, Generation, ManifestDigest, ModelName,
    ServiceName, VersionName,
};

use crate::catalogue::{DraftContent, EntryDraft};
use crate::check::check_kept;
use crate::document::{
    CallerSet, CatalogueDocument, CatalogueEntry, EditRecord, EntryChange, HISTORY_LIMIT,
};
use crate::rule::{EditRefusal, EditRule};

/// The largest document that the platform's service holds with room to spare, in bytes.
pub const DOCUMENT_LIMIT: usize = 900_000;

/// One edit as an operator sends it.
#[derive(Debug, Clone)]
pub struct EditRequest {
    /// The id, kept through every retry.
    pub id: EditId,
    /// Who makes the edit.
    pub operator: Box<str>,
    /// What is to change.
    pub change: EditChange,
}

/// What an edit is to change.
#[derive(Debug, Clone)]
pub enum EditChange {
    /// The sections of an operator's file.
    Drafts(Vec<EntryDraft>),
    /// The reverse of an earlier edit.
    Undo(EditId),
}

/// What the checking process knows of the fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetFacts {
    /// The customers of the settings.
    pub customers: FastSet<CustomerName>,
    /// The operators of the settings.
    pub operators: FastSet<Box<str>>,
    /// How many instances each service has.
    pub instances: FastMap<ServiceName, u32>,
    /// What the origin has of the versions that the edit names.
    pub versions: FastMap<(ModelName, VersionName), VersionFact>,
    /// How much an agent can stage.
    pub staging_limit: ByteSize,
    /// The most requests that one customer has in progress on an entry.
    pub in_use: FastMap<ModelName, u32>,
}

/// What the origin has of one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionFact {
    /// The digest of its manifest.
    pub manifest: ManifestDigest,
    /// Its size.
    pub size: ByteSize,
}

/// Checks an edit against a document and returns the document after it.
///
/// The result is to be written only where the key still holds the document that was given; a
/// refusal is final, and nothing of the edit was or will be written.
pub fn apply_edit(
    document: &CatalogueDocument,
    request: &EditRequest,
    facts: &FleetFacts,
) -> Result<CatalogueDocument, Vec<EditRefusal>> {
    let generation = Generation(document.generation.0 + 1);
    let editor = Editor { document, operator: &request.operator, facts, generation };
    let changes = match &request.change {
        EditChange::Drafts(drafts) => editor.changes_of(drafts)?,
        EditChange::Undo(id) => editor.reverse_of(*id)?,
    };
    let mut next = document.clone();
    next.generation = generation;
    for change in &changes {
        match &change.after {
            Some(entry) => next.entries.insert(change.name.clone(), entry.clone()),
            None => next.entries.remove(&change.name),
        };
    }
    editor.check_whole(&next, &changes, &request.change)?;
    let operator = request.operator.clone();
    next.edits.push(EditRecord { id: request.id, generation, operator, changes });
    let excess = next.edits.len().saturating_sub(HISTORY_LIMIT);
    next.edits.drain(..excess);
    check_size(&mut next)?;
    Ok(next)
}

/// Puts `next` in force in the place of `current`, where it may follow; says whether it did.
///
/// Every reader checks again what it is given, and keeps its last good generation.
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

/// Checks that a document may follow the one in force; every reader does so before it applies.
pub fn check_successor(
    current: &CatalogueDocument,
    next: &CatalogueDocument,
) -> Result<(), Box<str>> {
    if next.generation < current.generation {
        let (next, current) = (next.generation, current.generation);
        return Err(format!("generation {next} is lower than {current}, which is in force").into());
    }
    if next.generation == current.generation && next != current {
        return Err(format!("two documents of generation {}", next.generation).into());
    }
    let too_new = |entry: &&CatalogueEntry| entry.revision > next.generation;
    if let Some(entry) = next.entries.values().find(too_new) {
        let (revision, generation) = (entry.revision, next.generation);
        return Err(format!("an entry of revision {revision} in generation {generation}").into());
    }
    let is_zero = |entry: &&CatalogueEntry| {
        entry.limits.in_flight == 0 || entry.limits.requests_per_second == 0
    };
    if next.entries.values().any(|entry| is_zero(&entry)) {
        return Err("an entry with a limit of zero".into());
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
    fn changes_of(&self, drafts: &[EntryDraft]) -> Result<Vec<EntryChange>, Vec<EditRefusal>> {
        let mut changes = Vec::new();
        let mut refusals = Vec::new();
        for draft in drafts {
            match self.change_of(draft) {
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

    /// The change that a draft asks for; nothing where the operator left the entry as it was.
    fn change_of(&self, draft: &EntryDraft) -> Result<Option<EntryChange>, Vec<EditRefusal>> {
        let current = self.document.entries.get(&draft.name);
        if self.is_untouched(draft, current) {
            return Ok(None);
        }
        self.check_base(draft, current).map_err(|refusal| vec![refusal])?;
        let Some(content) = &draft.content else {
            return self.removal_of(draft, current).map(Some).map_err(|refusal| vec![refusal]);
        };
        let mut refusals = self.check_people(draft, content, current);
        refusals.extend(self.check_limits(draft, content));
        let weights = self.weights_of(draft, content, current, &mut refusals);
        if let Some(current) = current {
            refusals.extend(check_kept(draft, content, current));
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

    /// Whether the draft says just what its base said: such a section came along from
    /// `catalogue show`, and others' later changes to it stay.
    fn is_untouched(&self, draft: &EntryDraft, current: Option<&CatalogueEntry>) -> bool {
        let Some(content) = &draft.content else { return false };
        let base = draft.base.and_then(|base| self.document.entry_at(&draft.name, base));
        let says_base = base.is_some_and(|entry| content.matches(entry));
        // What is in force already is no change either, whoever put it there.
        let says_current = current.is_some_and(|entry| content.matches(entry));
        says_base || (says_current && draft.base.is_some())
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

    /// Names who changed the entry since the base and what.
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
        let what = self.document.entry_at(name, base).map(|old| differences(old, entry).join(", "));
        let what = what.unwrap_or_else(|| "the entry".into());
        format!(
            "{who} changed {what} in revision {}, the edit was made from {base}",
            entry.revision
        )
    }

    fn removal_of(
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

    fn reverse_of(&self, id: EditId) -> Result<Vec<EntryChange>, Vec<EditRefusal>> {
        let Some(record) = self.document.edit(id) else {
            let message = format!("edit {id} is not among the last {HISTORY_LIMIT}");
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
            let revived = |entry: &CatalogueEntry| CatalogueEntry {
                revision: self.generation,
                ..entry.clone()
            };
            changes.push(EntryChange {
                name: change.name.clone(),
                before: current.cloned(),
                after: change.before.as_ref().map(revived),
            });
        }
        if refusals.is_empty() { Ok(changes) } else { Err(refusals) }
    }

    /// Checks what only the whole catalogue shows: the models of a service share its instances.
    fn check_whole(
        &self,
        next: &CatalogueDocument,
        changes: &[EntryChange],
        asked: &EditChange,
    ) -> Result<(), Vec<EditRefusal>> {
        let mut refusals = Vec::new();
        for change in changes {
            let Some(entry) = &change.after else { continue };
            let Some(instances) = self.facts.instances.get(&entry.service) else { continue };
            let wanted: u32 =
                next.weights_of(&entry.service).map(|(_, weights)| weights.replicas).sum();
            if entry.weights.is_some() && wanted > *instances {
                let service = &entry.service;
                let message = format!("{service} has {instances} instances, {wanted} are wanted");
                let rule = EditRule::ServiceOvercommitted;
                refusals.push(EditRefusal::of(
                    &change.name,
                    asked.line_of(&change.name),
                    rule,
                    message,
                ));
            }
        }
        if refusals.is_empty() { Ok(()) } else { Err(refusals) }
    }
}

impl EditChange {
    /// The line of an entry in the operator's file; zero for an undo.
    fn line_of(&self, name: &ModelName) -> usize {
        let Self::Drafts(drafts) = self else { return 0 };
        drafts.iter().find(|draft| draft.name == *name).map_or(0, |draft| draft.line)
    }
}

impl DraftContent {
    /// Whether the draft says just what the entry says.
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

/// Drops old edits until the document fits; refuses where the entries alone don't.
fn check_size(document: &mut CatalogueDocument) -> Result<(), Vec<EditRefusal>> {
    let mut size = document.encode().len();
    while size > DOCUMENT_LIMIT && document.edits.len() > 1 {
        document.edits.remove(0);
        size = document.encode().len();
    }
    if size > DOCUMENT_LIMIT {
        let message = format!("{size} bytes, {DOCUMENT_LIMIT} fit");
        return Err(vec![EditRefusal::new("file", 0, EditRule::CatalogueTooLarge, message)]);
    }
    Ok(())
}

/// The values that differ between two states of an entry, as `key: old -> new`.
pub fn differences(old: &CatalogueEntry, new: &CatalogueEntry) -> Vec<String> {
    let name: ModelName = "entry".parse().expect("a valid name");
    let lines = |entry: &CatalogueEntry| -> Vec<String> {
        let text = crate::catalogue::write_entry(&name, entry);
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

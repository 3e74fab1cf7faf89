//! Makes an edit: reads the catalogue, checks, writes where nothing changed meanwhile, settles.

use std::sync::Arc;

use kameo::prelude::*;
use log::{info, warn};
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::edit::{EditChange, EditRequest, FleetFacts, VersionFact, apply_edit};
use mustardrill_core::entry::EntryEvent;
use mustardrill_core::manifest::Manifest;
use mustardrill_core::rule::EditRefusal;
use mustardrill_runtime::platform::{KeyValueError, VersionedValue};
use mustardrill_types::{EditId, Generation, Millis, Moment};

use crate::actor::{EntryActor, Event, FactsQuery};
use crate::context::{CATALOGUE_KEY, EntryContext};

/// How long one read of a manifest may take while an edit is checked.
const MANIFEST_TIMEOUT: Millis = Millis(3_000);

/// How long to wait before a call that had no answer is repeated.
const RETRY_AFTER: Millis = Millis(100);

/// What became of an edit. There are only these three, and "not yet known" is settled by its id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EditOutcome {
    /// It is written; this generation has it.
    Accepted(Generation),
    /// It is not and will not be written.
    Refused(Vec<EditRefusal>),
    /// Nothing was written, for the platform's service could not be reached.
    Unavailable,
    /// A write was sent whose answer is lost.
    NotYetKnown,
}

/// Makes edits for operators.
#[derive(Clone)]
pub(crate) struct CatalogueEditor {
    pub(crate) actor: ActorRef<EntryActor>,
    pub(crate) context: Arc<EntryContext>,
}

impl CatalogueEditor {
    /// Reads the newest catalogue from the platform's service.
    pub(crate) async fn read(&self) -> Result<(CatalogueDocument, u64), KeyValueError> {
        let VersionedValue { bytes, revision } = self.context.key_value.read(CATALOGUE_KEY).await?;
        let document = CatalogueDocument::decode(&bytes).map_err(|error| {
            KeyValueError::Unknown(format!("the catalogue does not read: {error}").into())
        })?;
        Ok((document, revision))
    }

    /// Checks an edit against the newest catalogue and writes nothing.
    pub(crate) async fn check(
        &self,
        request: &EditRequest,
    ) -> Result<Result<(CatalogueDocument, CatalogueDocument), Vec<EditRefusal>>, KeyValueError>
    {
        let (document, _) = self.read().await?;
        let facts = self.facts(&document, request).await;
        Ok(apply_edit(&document, request, &facts).map(|next| (document, next)))
    }

    /// Makes an edit. The same id may be sent again at any time; it takes effect once.
    pub(crate) async fn apply(&self, request: &EditRequest) -> EditOutcome {
        let deadline = self.context.clock.now() + self.context.edits.patience;
        let mut open_write = None;
        let outcome = loop {
            match self.try_once(request, &mut open_write).await {
                Some(outcome) => break outcome,
                None if !self.is_over(deadline) => {
                    tokio::time::sleep(RETRY_AFTER.to_std()).await;
                }
                None if open_write.is_some() => break EditOutcome::NotYetKnown,
                None => break EditOutcome::Unavailable,
            }
        };
        match &outcome {
            EditOutcome::Accepted(generation) => {
                info!(
                    "edit id={} operator={} generation={generation} decision=accept",
                    request.id, request.operator
                );
            }
            other => {
                warn!("edit id={} operator={} decision={other:?}", request.id, request.operator);
            }
        }
        outcome
    }

    /// Looks up what became of an edit. Absence is no refusal: a lost write may still arrive.
    pub(crate) async fn settle(&self, id: EditId) -> EditOutcome {
        match self.read().await {
            Ok((document, _)) => match document.edit(id) {
                Some(record) => EditOutcome::Accepted(record.generation),
                None => EditOutcome::NotYetKnown,
            },
            Err(_) => EditOutcome::NotYetKnown,
        }
    }

    fn is_over(&self, deadline: Moment) -> bool {
        self.context.clock.now() >= deadline
    }

    /// Reads, checks and writes once; nothing where that settled nothing.
    ///
    /// `open_write` is the revision that a write without an answer expected. Such a write can
    /// take effect only while the key still has that revision.
    async fn try_once(
        &self,
        request: &EditRequest,
        open_write: &mut Option<u64>,
    ) -> Option<EditOutcome> {
        let (document, revision) = self.read().await.ok()?;
        if let Some(record) = document.edit(request.id) {
            let generation = record.generation;
            self.announce(document).await;
            return Some(EditOutcome::Accepted(generation));
        }
        if open_write.is_some_and(|expected| expected != revision) {
            *open_write = None;
        }
        let facts = self.facts(&document, request).await;
        let next = match apply_edit(&document, request, &facts) {
            Ok(next) => next,
            Err(_) if open_write.is_some() => return None,
            Err(refusals) => return Some(EditOutcome::Refused(refusals)),
        };
        let bytes = next.encode().into();
        match self.context.key_value.write(CATALOGUE_KEY, bytes, revision, None).await {
            Ok(_) => {
                let generation = next.generation;
                self.announce(next).await;
                Some(EditOutcome::Accepted(generation))
            }
            Err(KeyValueError::Unknown(_)) => {
                *open_write = Some(revision);
                None
            }
            Err(_) => None,
        }
    }

    /// Puts a catalogue in force here without waiting for the watch.
    async fn announce(&self, document: CatalogueDocument) {
        let event = EntryEvent::CatalogueSeen(Arc::new(document));
        let _ = self.actor.tell(Event(event)).await;
    }

    /// What the edit is checked against: the fleet as seen here, and the origin's manifests.
    async fn facts(&self, document: &CatalogueDocument, request: &EditRequest) -> FleetFacts {
        let facts = self.actor.ask(FactsQuery).await;
        let mut facts = facts.map_or_else(|_| FleetFacts::default(), |facts| *facts);
        let EditChange::Drafts(drafts) = &request.change else { return facts };
        for draft in drafts {
            let wanted = draft.content.as_ref().and_then(|content| content.weights.as_ref());
            let Some((version, _)) = wanted else { continue };
            let kept = document.entries.get(&draft.name).and_then(|entry| entry.weights.as_ref());
            if kept.is_some_and(|weights| weights.version == *version) {
                continue;
            }
            let found = self.context.origin.manifest(&draft.name, version, MANIFEST_TIMEOUT).await;
            let Ok(Some(bytes)) = found else { continue };
            if let Ok(manifest) = Manifest::read(&bytes)
                && manifest.model == draft.name
                && manifest.version == *version
            {
                let manifest_digest = mustardrill_types::ManifestDigest::of(&bytes);
                let fact = VersionFact { manifest: manifest_digest, size: manifest.size };
                facts.versions.insert((draft.name.clone(), version.clone()), fact);
            }
        }
        facts
    }
}

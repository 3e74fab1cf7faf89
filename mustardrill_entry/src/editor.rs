//! Makes edits of the catalogue: reads it, checks the edit and writes the result if the catalogue
//! has not changed in between.

use std::sync::Arc;

use kameo::prelude::*;
use log::{info, warn};
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::edit::{EditChange, EditRequest, FleetFacts, PublishedVersion, apply_edit};
use mustardrill_core::entry::EntryEvent;
use mustardrill_core::manifest::Manifest;
use mustardrill_core::rule::EditRefusal;
use mustardrill_core::session::{EditOutcome, EditSession, SessionStep, WriteResult};
use mustardrill_runtime::platform::{KeyValueError, VersionedValue};
use mustardrill_types::{EditId, Millis};

use crate::actor::{EntryActor, Event, FactsQuery};
use crate::context::{CATALOGUE_KEY, EntryContext};

/// Timeout for reading one manifest from the origin while an edit is checked.
const MANIFEST_TIMEOUT: Millis = Millis(3_000);

/// Pause before a call is retried that had no answer.
const RETRY_PAUSE: Millis = Millis(100);

/// The catalogue before and after an edit, or the reasons for which the edit would be refused.
pub(crate) type EditCheck = Result<(CatalogueDocument, CatalogueDocument), Vec<EditRefusal>>;

/// Makes edits for operators.
#[derive(Clone)]
pub(crate) struct CatalogueEditor {
    pub(crate) actor: ActorRef<EntryActor>,
    pub(crate) context: Arc<EntryContext>,
}

impl CatalogueEditor {
    /// Reads the newest catalogue and its revision from the platform's key-value service.
    pub(crate) async fn read(&self) -> Result<(CatalogueDocument, u64), KeyValueError> {
        let VersionedValue { bytes, revision } = self.context.key_value.read(CATALOGUE_KEY).await?;
        let document = CatalogueDocument::decode(&bytes).map_err(|error| {
            KeyValueError::Unknown(format!("the catalogue does not read: {error}").into())
        })?;
        Ok((document, revision))
    }

    /// Checks an edit against the newest catalogue without writing anything.
    pub(crate) async fn check(&self, request: &EditRequest) -> Result<EditCheck, KeyValueError> {
        let (document, _) = self.read().await?;
        let facts = self.facts(&document, request).await;
        Ok(apply_edit(&document, request, &facts).map(|next| (document, next)))
    }

    /// Makes an edit. An edit with the same id may be sent again at any time; it takes effect once.
    pub(crate) async fn apply(&self, request: EditRequest) -> EditOutcome {
        let (id, operator) = (request.id, request.operator.clone());
        let deadline = self.context.clock.now() + self.context.edits.timeout;
        let mut session = EditSession::new(request, deadline);
        let mut step = self.read_for_session(&mut session).await;
        let outcome = loop {
            step = match step {
                SessionStep::Read => {
                    tokio::time::sleep(RETRY_PAUSE.to_std()).await;
                    self.read_for_session(&mut session).await
                }
                SessionStep::Write { expect, document } => {
                    let answer = self.write(expect, &document).await;
                    session.handle_write(self.context.clock.now(), answer)
                }
                SessionStep::Done(outcome, document) => {
                    self.apply_locally(document).await;
                    break outcome;
                }
            };
        };
        match &outcome {
            EditOutcome::Accepted(generation) => {
                info!("edit id={id} operator={operator} generation={generation} decision=accept");
            }
            other => warn!("edit id={id} operator={operator} decision={other:?}"),
        }
        outcome
    }

    /// Looks up the outcome of an edit. If the edit is not in the catalogue, that is not yet a
    /// refusal: a delayed write may still arrive.
    pub(crate) async fn settle(&self, id: EditId) -> EditOutcome {
        match self.read().await {
            Ok((document, _)) => match document.edit(id) {
                Some(record) => EditOutcome::Accepted(record.generation),
                None => EditOutcome::NotYetKnown,
            },
            Err(_) => EditOutcome::NotYetKnown,
        }
    }

    async fn read_for_session(&self, session: &mut EditSession) -> SessionStep {
        let found = self.read().await.ok();
        let facts = match &found {
            Some((document, _)) => self.facts(document, session.request()).await,
            None => FleetFacts::default(),
        };
        let found = found.as_ref().map(|(document, revision)| (document, *revision));
        session.handle_read(self.context.clock.now(), found, &facts)
    }

    async fn write(&self, expect: u64, document: &CatalogueDocument) -> WriteResult {
        let bytes = document.encode().into();
        match self.context.key_value.write(CATALOGUE_KEY, bytes, expect, None).await {
            Ok(_) => WriteResult::Written,
            Err(KeyValueError::Conflict) => WriteResult::Conflict,
            Err(KeyValueError::NotSent(_)) => WriteResult::NotSent,
            Err(_) => WriteResult::Unknown,
        }
    }

    /// Puts a catalogue in force at this entry without waiting for the watch.
    async fn apply_locally(&self, document: Option<Box<CatalogueDocument>>) {
        if let Some(document) = document {
            let event = EntryEvent::CatalogueReceived(Arc::from(document));
            let _ = self.actor.tell(Event(event)).await;
        }
    }

    /// Collects what the edit is checked against: the fleet as this entry knows it, and the
    /// manifests of new versions from the origin.
    async fn facts(&self, document: &CatalogueDocument, request: &EditRequest) -> FleetFacts {
        let facts = self.actor.ask(FactsQuery).await;
        let mut facts = facts.map_or_else(|_| FleetFacts::default(), |facts| *facts);
        let EditChange::Drafts(drafts) = &request.change else { return facts };
        for draft in drafts {
            let wanted = draft.content.as_ref().and_then(|content| content.weights.as_ref());
            let Some((version, _)) = wanted else { continue };
            let current =
                document.entries.get(&draft.name).and_then(|entry| entry.weights.as_ref());
            if current.is_some_and(|weights| weights.version == *version) {
                continue;
            }
            let found = self.context.origin.manifest(&draft.name, version, MANIFEST_TIMEOUT).await;
            let Ok(Some(bytes)) = found else { continue };
            if let Ok(manifest) = Manifest::decode(&bytes)
                && manifest.model == draft.name
                && manifest.version == *version
            {
                let manifest_digest = mustardrill_types::ManifestDigest::of(&bytes);
                let fact = PublishedVersion { manifest: manifest_digest, size: manifest.size };
                facts.versions.insert((draft.name.clone(), version.clone()), fact);
            }
        }
        facts
    }
}

//! State machine that applies one edit to the catalogue in the platform's key-value service: read,
//! validate, compare-and-swap, and determine the outcome.
//!
//! A write whose response was lost may still take effect as long as the key has the revision that
//! the write expected. The session therefore reads again to find out, and reports a refusal only
//! when no write of this edit can take effect any more.

use mustardrill_types::{Generation, Moment};

use crate::document::CatalogueDocument;
use crate::edit::{EditRequest, FleetFacts, apply_edit};
use crate::rule::EditRefusal;

/// The result of an edit, as reported to the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit was written and created this generation.
    Accepted(Generation),
    /// The edit violates these rules; it was not written and will not be.
    Refused(Vec<EditRefusal>),
    /// The platform's service did not answer before the deadline; the edit was not written and will
    /// not be.
    Unavailable,
    /// The deadline passed after a write whose response was lost. Whether the catalogue's history
    /// contains the edit's id tells the outcome later.
    NotYetKnown,
}

/// The result of a compare-and-swap write of the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect.
    Written,
    /// The key had another revision, so the write took no effect.
    Conflict,
    /// The write was not sent and cannot take effect.
    NotSent,
    /// The response was lost; the write may have taken effect or may do so later.
    Unknown,
}

/// The next step that the caller must perform for the session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionStep {
    /// Read the catalogue, after a short pause on a retry.
    Read,
    /// Write the document if the key still has the expected revision.
    Write {
        /// The revision of the key that was read.
        expect: u64,
        /// The document with the edit applied.
        document: Box<CatalogueDocument>,
    },
    /// The session has ended. An accepted edit comes with the document that contains it, as it was
    /// read or written.
    Done(EditOutcome, Option<Box<CatalogueDocument>>),
}

/// The state of one edit that is being applied.
#[derive(Debug)]
pub struct EditSession {
    request: EditRequest,
    deadline: Moment,
    /// The revision expected by a write whose response was lost and that may still take effect.
    open_write: Option<u64>,
    /// The write in progress: the expected revision and the new document.
    write_in_progress: Option<(u64, Box<CatalogueDocument>)>,
}

impl EditSession {
    /// Creates a session that stops retrying at `deadline`. Its first step is a read.
    pub fn new(request: EditRequest, deadline: Moment) -> Self {
        Self { request, deadline, open_write: None, write_in_progress: None }
    }

    /// The edit that the session applies.
    pub fn request(&self) -> &EditRequest {
        &self.request
    }

    /// Handles the result of a read: the document with the revision of its key, or `None` if the
    /// read failed.
    pub fn handle_read(
        &mut self,
        now: Moment,
        found: Option<(&CatalogueDocument, u64)>,
        facts: &FleetFacts,
    ) -> SessionStep {
        let Some((document, revision)) = found else { return self.retry_or_finish(now) };
        if let Some(record) = document.edit(self.request.id) {
            let outcome = EditOutcome::Accepted(record.generation);
            return SessionStep::Done(outcome, Some(Box::new(document.clone())));
        }
        if self.open_write.is_some_and(|expected| expected != revision) {
            // The key has another revision now, so the unresolved write can no longer take effect.
            self.open_write = None;
        }
        match apply_edit(document, &self.request, facts) {
            Ok(next) => {
                let document = Box::new(next);
                self.write_in_progress = Some((revision, document.clone()));
                SessionStep::Write { expect: revision, document }
            }
            Err(_) if self.open_write.is_some() => self.retry_or_finish(now),
            Err(refusals) => SessionStep::Done(EditOutcome::Refused(refusals), None),
        }
    }

    /// Handles the result of the write requested by the last step.
    pub fn handle_write(&mut self, now: Moment, answer: WriteResult) -> SessionStep {
        let Some((expected, document)) = self.write_in_progress.take() else {
            return self.retry_or_finish(now);
        };
        match answer {
            WriteResult::Written => {
                let outcome = EditOutcome::Accepted(document.generation);
                return SessionStep::Done(outcome, Some(document));
            }
            WriteResult::Unknown => self.open_write = Some(expected),
            WriteResult::Conflict | WriteResult::NotSent => {}
        }
        self.retry_or_finish(now)
    }

    /// Returns another read, or the final outcome once the deadline has passed.
    fn retry_or_finish(&self, now: Moment) -> SessionStep {
        if now < self.deadline {
            return SessionStep::Read;
        }
        let is_open = self.open_write.is_some();
        let outcome = if is_open { EditOutcome::NotYetKnown } else { EditOutcome::Unavailable };
        SessionStep::Done(outcome, None)
    }
}

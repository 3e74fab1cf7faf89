//! One edit on its way into the platform's service: read, check, write, settle.
//!
//! A write whose answer was lost may take effect as long as the key still has the revision that
//! the write expected. So it is settled by reading on, and "refused" is said only when no write
//! of this edit can take effect any more.

use mustardrill_types::{Generation, Moment};

use crate::document::CatalogueDocument;
use crate::edit::{EditRequest, FleetFacts, apply_edit};
use crate::rule::EditRefusal;

/// What became of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditOutcome {
    /// It is written; this generation has it.
    Accepted(Generation),
    /// It is not and will not be written.
    Refused(Vec<EditRefusal>),
    /// It is not and will not be written, for the platform's service did not answer.
    Unavailable,
    /// A write was sent whose answer is lost; the edit's id settles it later.
    NotYetKnown,
}

/// What came of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteAnswer {
    /// It took effect.
    Written,
    /// Another write came first; it took no effect.
    Conflict,
    /// It was not sent.
    NotSent,
    /// Its answer was lost.
    Unknown,
}

/// What an edit needs next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionStep {
    /// Wait a little, then read the catalogue.
    Read,
    /// Write the document where the key still has this revision.
    Write {
        /// The revision that must still be there.
        expect: u64,
        /// The new document.
        document: Box<CatalogueDocument>,
    },
    /// It is over. The document is the one in force, where it was read or written.
    Done(EditOutcome, Option<Box<CatalogueDocument>>),
}

/// The state of one edit on its way.
#[derive(Debug)]
pub struct EditSession {
    request: EditRequest,
    deadline: Moment,
    /// The revision that a write without an answer expected.
    open_write: Option<u64>,
    writing: Option<(u64, Box<CatalogueDocument>)>,
}

impl EditSession {
    /// A session that gives up at `deadline`. It begins with a read.
    pub fn new(request: EditRequest, deadline: Moment) -> Self {
        Self { request, deadline, open_write: None, writing: None }
    }

    /// The edit.
    pub fn request(&self) -> &EditRequest {
        &self.request
    }

    /// Takes what was read, with the facts for the check; nothing where the read failed.
    pub fn read(
        &mut self,
        now: Moment,
        found: Option<(&CatalogueDocument, u64)>,
        facts: &FleetFacts,
    ) -> SessionStep {
        let Some((document, revision)) = found else { return self.again(now) };
        if let Some(record) = document.edit(self.request.id) {
            let outcome = EditOutcome::Accepted(record.generation);
            return SessionStep::Done(outcome, Some(Box::new(document.clone())));
        }
        if self.open_write.is_some_and(|expected| expected != revision) {
            // Another write came first, so the open one can't take effect any more.
            self.open_write = None;
        }
        match apply_edit(document, &self.request, facts) {
            Ok(next) => {
                let document = Box::new(next);
                self.writing = Some((revision, document.clone()));
                SessionStep::Write { expect: revision, document }
            }
            Err(_) if self.open_write.is_some() => self.again(now),
            Err(refusals) => SessionStep::Done(EditOutcome::Refused(refusals), None),
        }
    }

    /// Takes the answer to the write.
    pub fn written(&mut self, now: Moment, answer: WriteAnswer) -> SessionStep {
        let Some((expected, document)) = self.writing.take() else { return self.again(now) };
        match answer {
            WriteAnswer::Written => {
                let outcome = EditOutcome::Accepted(document.generation);
                return SessionStep::Done(outcome, Some(document));
            }
            WriteAnswer::Unknown => self.open_write = Some(expected),
            WriteAnswer::Conflict | WriteAnswer::NotSent => {}
        }
        self.again(now)
    }

    fn again(&self, now: Moment) -> SessionStep {
        if now < self.deadline {
            return SessionStep::Read;
        }
        let is_open = self.open_write.is_some();
        let outcome = if is_open { EditOutcome::NotYetKnown } else { EditOutcome::Unavailable };
        SessionStep::Done(outcome, None)
    }
}

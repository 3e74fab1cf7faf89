//! Property test of concurrent edits: each reported outcome must agree with what was stored.
//!
//! Three editors write one key through calls that fail, crash or lose their response. A write
//! without a response may still take effect later, as long as the key has the revision that it
//! expected. The test guards against reporting such an edit as refused and against
//! applying it twice on a retry.

mod common;

use common::{cases, document_with, drafts, facts, model_text, request};
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::edit::check_successor;
use mustardrill_core::session::{EditOutcome, EditSession, SessionStep, WriteResult};
use mustardrill_types::{EditId, Millis, Moment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// How long a session retries before it ends without an outcome.
const SESSION_TIMEOUT: Millis = Millis(50);

/// The outcome of one call to the key-value service.
#[derive(Debug, Clone, Copy)]
enum CallOutcome {
    Served,
    /// The call is never sent.
    NotSent,
    /// The call takes effect but its response is lost.
    AnswerLost,
    /// The response is lost, and the write takes effect later if the key still has the revision.
    Late,
    /// The editor's process crashes and its session is lost.
    Crash,
}

#[derive(Debug, Clone, Copy)]
struct EditorStep {
    editor: usize,
    outcome: CallOutcome,
    edit: u8,
}

/// A key-value service with one key that is written by compare-and-swap.
struct FakeKey {
    revision: u64,
    history: Vec<CatalogueDocument>,
    late_writes: Vec<(u64, CatalogueDocument)>,
}

struct Editor {
    session: Option<(EditSession, SessionStep)>,
    base: Option<CatalogueDocument>,
}

impl FakeKey {
    fn latest(&self) -> &CatalogueDocument {
        self.history.last().expect("the history starts with one document")
    }

    fn write(&mut self, expect: u64, document: CatalogueDocument) -> bool {
        if self.revision != expect {
            return false;
        }
        self.revision += 1;
        self.history.push(document);
        true
    }

    fn deliver_late(&mut self) {
        if let Some((expect, document)) = self.late_writes.pop() {
            self.write(expect, document);
        }
    }
}

fn editor_steps() -> impl Strategy<Value = Vec<EditorStep>> {
    let outcome = prop_oneof![
        6 => Just(CallOutcome::Served),
        1 => Just(CallOutcome::NotSent),
        2 => Just(CallOutcome::AnswerLost),
        2 => Just(CallOutcome::Late),
        1 => Just(CallOutcome::Crash),
    ];
    let editor_step = (0..3_usize, outcome, 0..6_u8);
    prop::collection::vec(
        editor_step.prop_map(|(editor, outcome, edit)| EditorStep { editor, outcome, edit }),
        10..80,
    )
}

/// The file of one edit of `base`: a changed limit, class or version, or an unknown caller.
fn edit_text(base: &CatalogueDocument, edit: u8, salt: u64) -> String {
    let shown = mustardrill_core::catalogue::format_document(base);
    match edit {
        0 => shown.replace("in_flight = ", &format!("in_flight = {}", salt % 8 + 1)),
        1 => shown.replace("class = urgent", "class = standard"),
        2 => shown.replace("class = standard", "class = urgent"),
        3 => shown.replace("version = v1", "version = v2"),
        4 => shown.replace("callers = comedor", "callers = nobody, comedor"),
        _ => {
            shown.replace("requests_per_second = ", &format!("requests_per_second = {}", salt % 9))
        }
    }
}

fn run_steps(editor_steps: &[EditorStep]) -> Result<(), TestCaseError> {
    let mut key = FakeKey {
        revision: 1,
        history: vec![document_with(&model_text())],
        late_writes: Vec::new(),
    };
    let mut editors: Vec<_> = (0..3).map(|_| Editor { session: None, base: None }).collect();
    let mut reported: Vec<(EditId, EditOutcome)> = Vec::new();
    for (number, editor_step) in editor_steps.iter().enumerate() {
        let now = Moment(number as u64 * 2 + 1);
        let editor = &mut editors[editor_step.editor];
        let Some((session, step)) = editor.session.as_mut() else {
            start_session(editor, &key, editor_step, number as u64, now);
            continue;
        };
        if matches!(editor_step.outcome, CallOutcome::Crash) {
            editor.session = None;
            key.deliver_late();
            continue;
        }
        if matches!(editor_step.outcome, CallOutcome::NotSent) {
            key.deliver_late();
        }
        let next = match step.clone() {
            SessionStep::Read => {
                let found = matches!(editor_step.outcome, CallOutcome::Served)
                    .then(|| (key.latest(), key.revision));
                session.handle_read(now, found, &facts())
            }
            SessionStep::Write { expect, document } => {
                let answer = write(&mut key, editor_step.outcome, expect, *document);
                session.handle_write(now, answer)
            }
            SessionStep::Done(outcome, _) => {
                reported.push((session.request().id, outcome));
                editor.session = None;
                continue;
            }
        };
        *step = next;
    }
    while !key.late_writes.is_empty() {
        key.deliver_late();
    }
    check_history(&key, &reported)
}

fn start_session(
    editor: &mut Editor,
    key: &FakeKey,
    editor_step: &EditorStep,
    number: u64,
    now: Moment,
) {
    // After an odd `edit` the editor keeps its base, so that other editors may have changed the
    // document since.
    let base = editor.base.get_or_insert_with(|| key.latest().clone()).clone();
    if editor_step.edit.is_multiple_of(2) {
        editor.base = Some(key.latest().clone());
    }
    let edit = request(
        u128::from(number) + 100,
        "ana",
        drafts(&edit_text(&base, editor_step.edit, number)),
    );
    let session = EditSession::new(edit, now + SESSION_TIMEOUT);
    editor.session = Some((session, SessionStep::Read));
}

fn write(
    key: &mut FakeKey,
    outcome: CallOutcome,
    expect: u64,
    document: CatalogueDocument,
) -> WriteResult {
    match outcome {
        CallOutcome::NotSent => WriteResult::NotSent,
        CallOutcome::Late => {
            key.late_writes.push((expect, document));
            WriteResult::Unknown
        }
        CallOutcome::AnswerLost => {
            key.write(expect, document);
            WriteResult::Unknown
        }
        CallOutcome::Served | CallOutcome::Crash => {
            if key.write(expect, document) {
                WriteResult::Written
            } else {
                WriteResult::Conflict
            }
        }
    }
}

fn check_history(key: &FakeKey, reported: &[(EditId, EditOutcome)]) -> Result<(), TestCaseError> {
    let last = key.latest();
    for (id, outcome) in reported {
        let written = last.edit(*id);
        match outcome {
            EditOutcome::Accepted(generation) => {
                prop_assert!(written.is_some(), "edit {id} was accepted and is lost");
                prop_assert_eq!(written.unwrap().generation, *generation);
            }
            EditOutcome::Refused(_) | EditOutcome::Unavailable => {
                prop_assert!(written.is_none(), "edit {id} was refused and is written");
            }
            EditOutcome::NotYetKnown => {}
        }
    }
    for pair in key.history.windows(2) {
        prop_assert_eq!(pair[1].generation.0, pair[0].generation.0 + 1);
        prop_assert!(check_successor(&pair[0], &pair[1]).is_ok());
        check_single_edit(&pair[0], &pair[1])?;
    }
    Ok(())
}

/// Checks that `after` is `before` with all changes of one edit, and nothing else.
fn check_single_edit(
    before: &CatalogueDocument,
    after: &CatalogueDocument,
) -> Result<(), TestCaseError> {
    let record = after.edits.last().expect("an edit created the document");
    let mut entries = before.entries.clone();
    for change in &record.changes {
        prop_assert_eq!(entries.get(&change.name), change.before.as_ref());
        match &change.after {
            Some(entry) => entries.insert(change.name.clone(), entry.clone()),
            None => entries.remove(&change.name),
        };
    }
    prop_assert_eq!(&entries, &after.entries);
    let occurrences = after.edits.iter().filter(|other| other.id == record.id).count();
    prop_assert_eq!(occurrences, 1, "an edit took effect twice");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(1_000), rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn reported_outcome_agrees_with_stored_history(editor_steps in editor_steps()) {
        run_steps(&editor_steps)?;
    }
}

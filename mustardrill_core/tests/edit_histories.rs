//! Generated histories of edits against a sequential model: crashes, lost answers, outages, races.
//!
//! Several editors share one key. A lost write may arrive late, as long as the key still has the
//! revision that it expected. What each was told must agree with the key's history.

mod common;

use common::{cases, document_with, drafts, facts, model_text, request};
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::edit::check_successor;
use mustardrill_core::session::{EditOutcome, EditSession, SessionStep, WriteAnswer};
use mustardrill_types::{EditId, Millis, Moment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// How long an edit is tried.
const PATIENCE: Millis = Millis(50);

/// What happens to one call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Served,
    /// The call is not sent.
    NotSent,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It is lost, and takes effect later if it still can.
    Late,
    /// The editor's process ends.
    Crash,
}

#[derive(Debug, Clone, Copy)]
struct Turn {
    editor: usize,
    fate: Fate,
    edit: u8,
}

/// The key-value service: one key with compare-and-swap.
struct FakeKey {
    revision: u64,
    history: Vec<CatalogueDocument>,
    late: Vec<(u64, CatalogueDocument)>,
}

struct Editor {
    session: Option<(EditSession, SessionStep)>,
    base: Option<CatalogueDocument>,
}

impl FakeKey {
    fn now(&self) -> &CatalogueDocument {
        self.history.last().expect("the history begins with one")
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
        if let Some((expect, document)) = self.late.pop() {
            self.write(expect, document);
        }
    }
}

fn turns() -> impl Strategy<Value = Vec<Turn>> {
    let fate = prop_oneof![
        6 => Just(Fate::Served),
        1 => Just(Fate::NotSent),
        2 => Just(Fate::AnswerLost),
        2 => Just(Fate::Late),
        1 => Just(Fate::Crash),
    ];
    let turn = (0..3_usize, fate, 0..6_u8);
    prop::collection::vec(turn.prop_map(|(editor, fate, edit)| Turn { editor, fate, edit }), 10..80)
}

/// One edit of a base: another limit, class or version, or a file that is wrong.
fn edit_text(base: &CatalogueDocument, edit: u8, salt: u64) -> String {
    let shown = mustardrill_core::catalogue::write_document(base);
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

fn play(turns: &[Turn]) -> Result<(), TestCaseError> {
    let mut key =
        FakeKey { revision: 1, history: vec![document_with(&model_text())], late: Vec::new() };
    let mut editors: Vec<_> = (0..3).map(|_| Editor { session: None, base: None }).collect();
    let mut told: Vec<(EditId, EditOutcome)> = Vec::new();
    for (number, turn) in turns.iter().enumerate() {
        let now = Moment(number as u64 * 2 + 1);
        let editor = &mut editors[turn.editor];
        let Some((session, step)) = editor.session.as_mut() else {
            begin(editor, &key, turn, number as u64, now);
            continue;
        };
        if matches!(turn.fate, Fate::Crash) {
            editor.session = None;
            key.deliver_late();
            continue;
        }
        if matches!(turn.fate, Fate::NotSent) {
            key.deliver_late();
        }
        let next = match step.clone() {
            SessionStep::Read => {
                let found = matches!(turn.fate, Fate::Served).then(|| (key.now(), key.revision));
                session.read(now, found, &facts())
            }
            SessionStep::Write { expect, document } => {
                let answer = write(&mut key, turn.fate, expect, *document);
                session.written(now, answer)
            }
            SessionStep::Done(outcome, _) => {
                told.push((session.request().id, outcome));
                editor.session = None;
                continue;
            }
        };
        *step = next;
    }
    while !key.late.is_empty() {
        key.deliver_late();
    }
    judge(&key, &told)
}

fn begin(editor: &mut Editor, key: &FakeKey, turn: &Turn, number: u64, now: Moment) {
    // Every other edit starts from a state that others may have changed since.
    let base = editor.base.get_or_insert_with(|| key.now().clone()).clone();
    if turn.edit.is_multiple_of(2) {
        editor.base = Some(key.now().clone());
    }
    let edit =
        request(u128::from(number) + 100, "ana", drafts(&edit_text(&base, turn.edit, number)));
    let session = EditSession::new(edit, now + PATIENCE);
    editor.session = Some((session, SessionStep::Read));
}

fn write(key: &mut FakeKey, fate: Fate, expect: u64, document: CatalogueDocument) -> WriteAnswer {
    match fate {
        Fate::NotSent => WriteAnswer::NotSent,
        Fate::Late => {
            key.late.push((expect, document));
            WriteAnswer::Unknown
        }
        Fate::AnswerLost => {
            key.write(expect, document);
            WriteAnswer::Unknown
        }
        Fate::Served | Fate::Crash => {
            if key.write(expect, document) {
                WriteAnswer::Written
            } else {
                WriteAnswer::Conflict
            }
        }
    }
}

fn judge(key: &FakeKey, told: &[(EditId, EditOutcome)]) -> Result<(), TestCaseError> {
    let last = key.now();
    for (id, outcome) in told {
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
        replay(&pair[0], &pair[1])?;
    }
    Ok(())
}

/// Each state is the one before with all changes of one edit, and nothing else.
fn replay(before: &CatalogueDocument, after: &CatalogueDocument) -> Result<(), TestCaseError> {
    let record = after.edits.last().expect("an edit made it");
    let mut entries = before.entries.clone();
    for change in &record.changes {
        prop_assert_eq!(entries.get(&change.name), change.before.as_ref());
        match &change.after {
            Some(entry) => entries.insert(change.name.clone(), entry.clone()),
            None => entries.remove(&change.name),
        };
    }
    prop_assert_eq!(&entries, &after.entries);
    let twice = after.edits.iter().filter(|other| other.id == record.id).count();
    prop_assert_eq!(twice, 1, "an edit took effect twice");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(1_000), rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_an_editor_was_told_holds(turns in turns()) {
        play(&turns)?;
    }
}

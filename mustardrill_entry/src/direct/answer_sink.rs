//! The answer as its caller receives it, to which the attempts of one request send.

use std::sync::Mutex;

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use mustardrill_core::direct::RequestNumber;
use tokio::sync::{Notify, mpsc};

use crate::direct::answer::AnswerPart;

/// Passes parts of the answer to the caller.
///
/// While two attempts are open, the first one that has a part to pass on is the winner. The other
/// one passes nothing on any more, so that no part comes twice and no two answers are joined.
pub(crate) struct AnswerSink {
    parts: mpsc::Sender<AnswerPart>,
    state: Mutex<SinkState>,
    /// Notified when an attempt has won.
    won: Notify,
}

/// What the caller has received, and which attempt may send more.
#[derive(Debug, Default)]
struct SinkState {
    has_started: bool,
    /// Whether the last part was passed on.
    has_ended: bool,
    /// The id of the last event passed on.
    last_event: Option<Box<str>>,
    contest: Contest,
}

/// Which attempts may pass parts on.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Contest {
    /// The only open one.
    #[default]
    Uncontested,
    /// Any of two, until the first part.
    Open,
    /// Only this one.
    Won(RequestNumber),
}

impl AnswerSink {
    pub(crate) fn new(parts: mpsc::Sender<AnswerPart>) -> Self {
        Self { parts, state: Mutex::default(), won: Notify::new() }
    }

    /// Waits until the caller disconnects before the answer has ended.
    pub(crate) async fn caller_gone(&self) {
        self.parts.closed().await;
        if self.state.lock().expect("no lock holder panics").has_ended {
            std::future::pending().await
        }
    }

    /// Whether the caller has received events of the answer.
    pub(crate) fn has_started(&self) -> bool {
        self.state.lock().expect("no lock holder panics").has_started
    }

    /// Whether any part of the answer was passed on.
    pub(crate) fn has_part(&self) -> bool {
        let state = self.state.lock().expect("no lock holder panics");
        state.has_started || state.has_ended
    }

    /// The id of the last event that the caller has received.
    pub(crate) fn last_event(&self) -> Option<Box<str>> {
        self.state.lock().expect("no lock holder panics").last_event.clone()
    }

    /// Lets two attempts compete until one of them has a part to pass on.
    pub(crate) fn open_contest(&self) {
        self.state.lock().expect("no lock holder panics").contest = Contest::Open;
    }

    /// Ends the contest, as only one attempt is left.
    pub(crate) fn end_contest(&self) {
        self.state.lock().expect("no lock holder panics").contest = Contest::Uncontested;
    }

    /// Waits until an attempt has won the contest.
    pub(crate) async fn winner(&self) -> RequestNumber {
        loop {
            if let Some(winner) = self.current_winner() {
                return winner;
            }
            self.won.notified().await;
        }
    }

    /// The attempt that has won the contest.
    pub(crate) fn current_winner(&self) -> Option<RequestNumber> {
        match self.state.lock().expect("no lock holder panics").contest {
            Contest::Won(winner) => Some(winner),
            Contest::Uncontested | Contest::Open => None,
        }
    }

    /// Passes on complete events up to the one with the id `last_event`, after the head if they are
    /// the first ones.
    pub(crate) async fn send_events(
        &self,
        from: RequestNumber,
        head: (StatusCode, &HeaderMap),
        events: Bytes,
        last_event: Option<&str>,
    ) {
        self.claim(from).await;
        let is_first = {
            let mut state = self.state.lock().expect("no lock holder panics");
            state.last_event = last_event.map(Into::into);
            !std::mem::replace(&mut state.has_started, true)
        };
        if is_first {
            self.send_part(AnswerPart::Head(head.0, head.1.clone())).await;
        }
        self.send_part(AnswerPart::Events(events)).await;
    }

    /// Passes on the end of an attempt's answer, or a complete one.
    pub(crate) async fn send_end(&self, from: RequestNumber, part: AnswerPart) {
        self.claim(from).await;
        self.send_last(part).await;
    }

    /// Passes on the last part.
    pub(crate) async fn send_last(&self, part: AnswerPart) {
        self.state.lock().expect("no lock holder panics").has_ended = true;
        self.send_part(part).await;
    }

    /// Errors are ignored, as the request's task ends when the caller disconnects.
    async fn send_part(&self, part: AnswerPart) {
        let _ = self.parts.send(part).await;
    }

    /// Makes an attempt the winner; never returns to one that has lost.
    async fn claim(&self, number: RequestNumber) {
        let has_lost = {
            let mut state = self.state.lock().expect("no lock holder panics");
            match state.contest {
                Contest::Uncontested => false,
                Contest::Won(winner) => winner != number,
                Contest::Open => {
                    state.contest = Contest::Won(number);
                    self.won.notify_one();
                    false
                }
            }
        };
        if has_lost {
            std::future::pending().await
        }
    }
}

//! The task of one request: makes the attempts that the reducer orders and passes the answer on.

use std::sync::Arc;

use bytes::Bytes;
use cadence::Counted;
use futures_util::FutureExt;
use futures_util::future::{BoxFuture, select_all};
use hyper::http;
use kameo::prelude::*;
use mustardrill_core::direct::{
    AttemptOutcome, DirectEvent, DirectRequest, RefusalPlan, RequestNumber, SendPlan,
};
use mustardrill_runtime::body_memory::BodyReservation;
use mustardrill_runtime::client_connections::ClientConnection;
use mustardrill_types::{Millis, ResultCode};
use tokio::sync::mpsc;

use crate::direct::actor::{DirectActor, DirectContext, Event, RequestCommand, StartRequest};
use crate::direct::answer::{AnswerPart, LEAVING_REFUSAL};
use crate::direct::answer_sink::AnswerSink;
use crate::direct::attempt::{Attempt, AttemptEnd, AttemptStage, FailedAnswer};
use crate::direct::connections::UsedConnections;

/// A request's content, and where its answer goes.
pub(crate) struct RequestTask {
    pub(crate) context: Arc<DirectContext>,
    pub(crate) actor: ActorRef<DirectActor>,
    pub(crate) number: RequestNumber,
    /// The id that the caller gave the request; log lines carry it as `request=`.
    pub(crate) caller_request_id: Box<str>,
    pub(crate) head: http::request::Parts,
    pub(crate) body: Bytes,
    /// Held for as long as the body is.
    pub(crate) _body_reservation: BodyReservation,
    pub(crate) sink: AnswerSink,
    /// The caller's connection, for which the memory of the answer is reserved.
    pub(crate) client: ClientConnection,
    pub(crate) used_connections: UsedConnections,
}

/// An attempt that has not ended.
struct OpenAttempt<'a> {
    number: RequestNumber,
    stage: Arc<AttemptStage>,
    run: BoxFuture<'a, AttemptEnd>,
}

/// The open attempts of a request: at most two, the second one last.
struct OpenAttempts<'a> {
    task: &'a RequestTask,
    attempts: Vec<OpenAttempt<'a>>,
}

/// How a request ended for its caller; the label of the metric `ends`.
#[derive(Debug, Clone, Copy)]
enum RequestEnd {
    Answered,
    /// The error answer of an upstream was passed on.
    Failed,
    Refused,
    /// An answer that had begun was broken off.
    Cut,
    CallerGone,
}

impl RequestEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::CallerGone => "caller_gone",
        }
    }
}

impl RequestTask {
    /// Serves the request to its end, or until its caller disconnects.
    pub(crate) async fn run(self, request: DirectRequest) {
        let end = tokio::select! {
            end = self.serve(request) => end,
            () = self.sink.caller_gone() => RequestEnd::CallerGone,
        };
        let _ = self.context.metrics.count(&format!("ends.{}", end.label()), 1);
        // Sent for completed requests too: the actor then drops its state of the task.
        self.report(DirectEvent::CallerGone(self.number)).await;
    }

    async fn serve(&self, request: DirectRequest) -> RequestEnd {
        let (sender, mut commands) = mpsc::unbounded_channel();
        let _ = self.actor.tell(StartRequest(request, sender)).await;
        let sink = &self.sink;
        let mut open = OpenAttempts { task: self, attempts: Vec::new() };
        let (mut failure, mut was_sent) = (None, false);
        loop {
            tokio::select! {
                biased;
                winner = sink.winner(), if open.attempts.len() > 1 => open.keep(winner).await,
                (index, end) = open.next_end() => {
                    let number = open.finish(index).await;
                    failure = end.failure.or(failure);
                    self.report(DirectEvent::AttemptEnded(number, end.outcome)).await;
                    if end.outcome.is_complete() {
                        return RequestEnd::Answered;
                    }
                }
                () = self.refusal_due(was_sent) => return self.refuse_at_stop(was_sent).await,
                command = commands.recv() => {
                    let Some((number, command)) = command else {
                        log::warn!("request={} outcome=abandoned", self.caller_request_id);
                        return RequestEnd::Cut;
                    };
                    match command {
                        RequestCommand::Send(plan) => {
                            was_sent = true;
                            open.start(number, plan);
                        }
                        RequestCommand::SendBackup(plan) => open.start_backup(number, plan).await,
                        RequestCommand::Withdraw => open.withdraw(number).await,
                        RequestCommand::WithdrawUnsent => open.withdraw_unsent(number).await,
                        RequestCommand::ForwardFailure => {
                            return self.forward_failure(failure).await;
                        }
                        RequestCommand::Refuse(plan) => {
                            sink.send_last(AnswerPart::Refused(plan)).await;
                            let is_cut = sink.has_started();
                            return if is_cut { RequestEnd::Cut } else { RequestEnd::Refused };
                        }
                    }
                }
            }
        }
    }

    /// Waits until a planned stop leaves no more time for an answer; never returns if one has begun by
    /// then.
    async fn refusal_due(&self, was_sent: bool) {
        self.context.stop.refusal_due(was_sent).await;
        if self.sink.has_part() {
            std::future::pending().await
        }
    }

    /// Refuses the request, as the process ends before its answer could.
    async fn refuse_at_stop(&self, was_sent: bool) -> RequestEnd {
        let plan = if was_sent {
            RefusalPlan { code: ResultCode::Unknown, retry_after: Millis(0) }
        } else {
            LEAVING_REFUSAL
        };
        let code = plan.code;
        log::info!("request={} decision=refuse code={code} cause=stop", self.caller_request_id);
        self.sink.send_last(AnswerPart::Refused(plan)).await;
        RequestEnd::Refused
    }

    /// Passes on the error answer of an upstream.
    async fn forward_failure(&self, failure: Option<FailedAnswer>) -> RequestEnd {
        if let Some((status, headers, bytes)) = failure {
            self.sink.send_last(AnswerPart::Complete(status, headers, bytes)).await;
        }
        RequestEnd::Failed
    }

    /// Reports an event to the actor, which is gone only when the process exits.
    pub(crate) async fn report(&self, event: DirectEvent) {
        let _ = self.actor.tell(Event(event)).await;
    }

    /// Reports that an attempt was dropped before its answer started. `sent` tells whether the
    /// upstream may have received it.
    async fn report_withdrawal(&self, number: RequestNumber, sent: bool) {
        let _ = self.context.metrics.count("attempts.withdrawn", 1);
        let outcome = AttemptOutcome::Withdrawn { sent };
        self.report(DirectEvent::AttemptEnded(number, outcome)).await;
    }
}

impl<'a> OpenAttempts<'a> {
    fn start(&mut self, number: RequestNumber, plan: SendPlan) {
        let stage = Arc::new(AttemptStage::default());
        let activity = self.task.context.activity.of(plan.address);
        let attempt = Attempt { task: self.task, number, plan, stage: stage.clone(), activity };
        self.attempts.push(OpenAttempt { number, stage, run: attempt.run().boxed() });
    }

    /// Starts a second attempt, unless the first one has gone on since that was decided.
    async fn start_backup(&mut self, number: RequestNumber, plan: SendPlan) {
        let is_silent =
            self.attempts.iter().any(|it| it.number == number.sibling() && it.stage.is_silent());
        if is_silent && plan.has_delivered == self.task.sink.has_started() {
            self.task.sink.open_contest();
            self.start(number, plan);
            let _ = self.task.context.metrics.count("backups.sent", 1);
        } else {
            self.task.report_withdrawal(number, false).await;
        }
    }

    /// Waits for the end of an attempt and returns its index; forever if there is none.
    async fn next_end(&mut self) -> (usize, AttemptEnd) {
        if self.attempts.is_empty() {
            return std::future::pending().await;
        }
        let runs = self.attempts.iter_mut().map(|attempt| &mut attempt.run);
        let (end, index, _) = select_all(runs).await;
        (index, end)
    }

    /// Removes an attempt that has ended; if it had won, the other one is dropped as well.
    async fn finish(&mut self, index: usize) -> RequestNumber {
        let number = self.attempts[index].number;
        if let Some(winner) = self.task.sink.current_winner() {
            self.keep(winner).await;
        }
        self.attempts.retain(|attempt| attempt.number != number);
        self.task.sink.end_contest();
        number
    }

    /// Drops the attempt that has lost.
    async fn keep(&mut self, winner: RequestNumber) {
        let is_backup = self.attempts.last().is_some_and(|second| second.number == winner);
        self.attempts.retain(|attempt| attempt.number == winner);
        self.task.sink.end_contest();
        let label = if is_backup { "won" } else { "overtaken" };
        let _ = self.task.context.metrics.count(&format!("backups.{label}"), 1);
        let _ = self.task.context.metrics.count("attempts.overtaken", 1);
        self.task.report(DirectEvent::AttemptWon(winner)).await;
    }

    /// Drops an attempt whose answer has not started.
    async fn withdraw(&mut self, number: RequestNumber) {
        let is_withdrawable =
            |it: &OpenAttempt<'_>| it.number == number && !it.stage.is_wait_over();
        let index = self.attempts.iter().position(is_withdrawable);
        if let Some(index) = index {
            let sent = self.remove(index).stage.is_sent();
            self.task.report_withdrawal(number, sent).await;
        }
    }

    /// Drops an attempt of which nothing has been written.
    async fn withdraw_unsent(&mut self, number: RequestNumber) {
        let is_withdrawn =
            |it: &OpenAttempt<'_>| it.number == number && it.stage.withdraw_unwritten();
        let index = self.attempts.iter().position(is_withdrawn);
        if let Some(index) = index {
            self.remove(index);
            self.task.report_withdrawal(number, false).await;
        }
    }

    fn remove(&mut self, index: usize) -> OpenAttempt<'a> {
        self.task.sink.end_contest();
        self.attempts.swap_remove(index)
    }
}

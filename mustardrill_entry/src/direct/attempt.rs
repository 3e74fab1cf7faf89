//! The task of one request: sends it to the upstreams that the reducer chooses and forwards the
//! answer.

use std::fmt::Display;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use cadence::{Counted, Timed};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode, http};
use kameo::prelude::*;
use mustardrill_core::direct::{
    AttemptOutcome, DirectEvent, DirectRequest, LoadReport, RequestNumber, SendPlan, StatedValue,
    UpstreamStatement,
};
use mustardrill_runtime::adapters::AnswerKind;
use mustardrill_runtime::http::{is_delimited, refuses_connections};
use mustardrill_types::WeightVersion;
use tokio::sync::mpsc;

use crate::direct::actor::{DirectActor, DirectContext, Event, RequestCommand, StartRequest};
use crate::direct::answer::AnswerPart;
use crate::direct::connections::{SendFailure, UpstreamConnection};
use crate::direct::event_splitter::EventSplitter;
use crate::direct::gated_stream::SendGate;

/// The largest answer that is buffered completely before it is forwarded.
const BUFFERED_ANSWER_LIMIT: usize = 8 << 20;

/// A request's content, with the channel for the parts of its answer.
pub(crate) struct RequestTask {
    pub(crate) context: Arc<DirectContext>,
    pub(crate) actor: ActorRef<DirectActor>,
    pub(crate) number: RequestNumber,
    /// The id that the caller gave the request; log lines carry it as `request=`.
    pub(crate) caller_request_id: Box<str>,
    pub(crate) head: http::request::Parts,
    pub(crate) body: Bytes,
    pub(crate) parts: mpsc::Sender<AnswerPart>,
}

/// What the caller has received of a stream, and a failure that may still be forwarded.
#[derive(Debug, Default)]
struct AnswerProgress {
    splitter: EventSplitter,
    has_started: bool,
    failure: Option<(StatusCode, HeaderMap, Bytes)>,
}

/// How far an attempt has got, shared with the wait for its withdrawal.
#[derive(Debug, Default)]
struct AttemptStage {
    /// Whether the upstream may have received the request.
    is_sent: AtomicBool,
    /// Whether the head of the answer has arrived, or the wait for it has failed.
    is_wait_over: AtomicBool,
    /// The gate of the connection, once there is one.
    gate: OnceLock<Arc<SendGate>>,
}

impl AttemptStage {
    /// Withdraws the attempt unless a part of it has been written; returns whether it is withdrawn.
    fn withdraw_unwritten(&self) -> bool {
        self.gate.get().is_none_or(|gate| gate.withdraw_unwritten())
    }
}

/// An upstream's answer whose head was accepted.
struct AcceptedAnswer {
    response: Response<Incoming>,
    connection: UpstreamConnection,
    success: bool,
}

impl RequestTask {
    /// Serves the request to its end, or until its caller disconnects.
    pub(crate) async fn run(self, request: DirectRequest) {
        let parts = self.parts.clone();
        tokio::select! {
            () = self.serve(request) => {}
            () = parts.closed() => {}
        }
        // Sent for completed requests too: the actor then drops its state of the task.
        let _ = self.actor.tell(Event(DirectEvent::CallerGone(self.number))).await;
    }

    async fn serve(&self, request: DirectRequest) {
        let (sender, mut commands) = mpsc::unbounded_channel();
        let _ = self.actor.tell(StartRequest(request, sender)).await;
        let mut progress = AnswerProgress::default();
        while let Some(command) = commands.recv().await {
            match command {
                RequestCommand::Send(plan) => {
                    let outcome = self.run_attempt(&plan, &mut progress, &mut commands).await;
                    let label = outcome_label(outcome);
                    let _ = self.context.metrics.count(&format!("attempts.{label}"), 1);
                    let event = DirectEvent::AttemptEnded(self.number, outcome);
                    let _ = self.actor.tell(Event(event)).await;
                    if matches!(outcome, AttemptOutcome::Whole | AttemptOutcome::Undelimited) {
                        return;
                    }
                }
                // The attempt that was to be withdrawn has ended already.
                RequestCommand::Withdraw | RequestCommand::WithdrawUnsent => {}
                RequestCommand::ForwardFailure => {
                    if let Some((status, headers, bytes)) = progress.failure.take() {
                        self.send_part(AnswerPart::Complete(status, headers, bytes)).await;
                    }
                    return;
                }
                RequestCommand::Refuse(plan) => {
                    self.send_part(AnswerPart::Refused(plan)).await;
                    return;
                }
            }
        }
    }

    /// Sends a part to the caller. Errors are ignored, as `run` ends the task when the caller
    /// disconnects.
    async fn send_part(&self, part: AnswerPart) {
        let _ = self.parts.send(part).await;
    }

    /// Runs one attempt until it ends, the caller's deadline passes or the reducer withdraws it.
    async fn run_attempt(
        &self,
        plan: &SendPlan,
        progress: &mut AnswerProgress,
        commands: &mut mpsc::UnboundedReceiver<RequestCommand>,
    ) -> AttemptOutcome {
        let remaining = plan.deadline.since(self.context.clock.now());
        let stage = AttemptStage::default();
        let attempt = self.try_upstream(plan, progress, &stage);
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(remaining.to_std(), attempt) => outcome,
            sent = wait_for_withdrawal(commands, &stage) => {
                return AttemptOutcome::Withdrawn { sent };
            }
        };
        match outcome {
            Ok(outcome) => outcome,
            Err(_) if stage.is_sent.load(Ordering::Relaxed) => lost_attempt(progress.has_started),
            Err(_) => AttemptOutcome::NotSent,
        }
    }

    async fn try_upstream(
        &self,
        plan: &SendPlan,
        progress: &mut AnswerProgress,
        stage: &AttemptStage,
    ) -> AttemptOutcome {
        progress.splitter.drop_partial();
        let runs_once = !plan.repeat_rule.is_repeatable();
        let pool = &self.context.pool;
        let now = self.context.clock.now();
        let Some(connection) = pool.take(now, &plan.upstream, plan.address, runs_once).await else {
            return AttemptOutcome::NotSent;
        };
        // Nothing else sets the gate of this attempt.
        let _ = stage.gate.set(connection.gate());
        stage.is_sent.store(true, Ordering::Relaxed);
        let answer = match self.send_request(plan, connection, progress, stage).await {
            Ok(answer) => answer,
            Err(outcome) => return outcome,
        };
        if plan.repeat_rule.is_stream() && answer.response.status() == StatusCode::OK {
            return self.forward_stream(plan, answer, progress).await;
        }
        if progress.has_started {
            // The caller already has events of an earlier attempt's stream, so another upstream's
            // failure can't be forwarded any more.
            return lost_attempt(true);
        }
        self.forward_buffered(plan, answer, progress).await
    }

    /// Sends the request and checks the head of the answer.
    async fn send_request(
        &self,
        plan: &SendPlan,
        mut connection: UpstreamConnection,
        progress: &AnswerProgress,
        stage: &AttemptStage,
    ) -> Result<AcceptedAnswer, AttemptOutcome> {
        let lost = lost_attempt(progress.has_started);
        let remaining = plan.deadline.since(self.context.clock.now());
        let dialect = &self.context.adapters.dialect;
        let request =
            dialect.write_request(&self.head, plan, remaining, progress.splitter.last_id());
        let request = request.map(|()| Full::new(self.body.clone()));
        let reused = connection.is_reused();
        let sent_at = self.context.clock.now();
        let response = tokio::time::timeout(
            plan.silence_timeout.to_std(),
            connection.send(request, plan.start_by),
        )
        .await;
        stage.is_wait_over.store(true, Ordering::Relaxed);
        let response = match response {
            Ok(Ok(response)) => response,
            Ok(Err(SendFailure::NotSent)) => return Err(AttemptOutcome::NotSent),
            Ok(Err(SendFailure::TooLate)) => return Err(AttemptOutcome::Withdrawn { sent: false }),
            Ok(Err(SendFailure::Broken(error))) => {
                log::info!(
                    "request={} instance={} reused={reused} outcome=broken reason=\"{error}\"",
                    self.caller_request_id,
                    plan.upstream
                );
                return Err(self.classify_broken(plan, progress.has_started).await);
            }
            Err(_) => {
                log::info!(
                    "request={} instance={} outcome=silent after={}",
                    self.caller_request_id,
                    plan.upstream,
                    plan.silence_timeout
                );
                return Err(lost);
            }
        };
        let kind = dialect.read_answer(&self.head, response.status(), response.headers());
        match kind {
            AnswerKind::Answer { success, load, version } => {
                let took = self.context.clock.now().since(sent_at).0;
                let _ = self.context.metrics.time("first_ms", took);
                self.report_statement(plan, response.status(), response.headers()).await;
                self.report_answer_start(load, version).await;
                Ok(AcceptedAnswer { response, connection, success })
            }
            AnswerKind::Foreign => {
                log::warn!(
                    "request={} instance={} outcome=foreign status={}",
                    self.caller_request_id,
                    plan.upstream,
                    response.status()
                );
                Err(lost)
            }
            AnswerKind::Full | AnswerKind::Misdirected => {
                let is_full = kind == AnswerKind::Full;
                // A misdirected request may have been answered by another upstream.
                if is_full {
                    self.report_statement(plan, response.status(), response.headers()).await;
                }
                self.drain_refusal(plan, response, connection).await;
                Err(if is_full { AttemptOutcome::Full } else { AttemptOutcome::Misdirected })
            }
        }
    }

    async fn report_answer_start(&self, load: Option<LoadReport>, version: Option<WeightVersion>) {
        let event = DirectEvent::AnswerStarted(self.number, load, version);
        let _ = self.actor.tell(Event(event)).await;
    }

    /// Reports what the answer states about its upstream, if anything.
    async fn report_statement(&self, plan: &SendPlan, status: StatusCode, headers: &HeaderMap) {
        let statement = self.context.adapters.dialect.read_statement(status, headers);
        if statement.is_absent() {
            return;
        }
        self.log_statement(plan, status, &statement);
        let event = DirectEvent::UpstreamStated(self.number, statement);
        let _ = self.actor.tell(Event(event)).await;
    }

    fn log_statement(&self, plan: &SendPlan, status: StatusCode, statement: &UpstreamStatement) {
        let UpstreamStatement { limit, leaving, rest } = statement;
        self.check_statement(
            plan,
            "limit",
            limit,
            "one decimal number of requests per second, such as 2.5",
        );
        self.check_statement(plan, "leaving", leaving, "1 from an upstream that leaves");
        self.check_statement(
            plan,
            "rest",
            rest,
            "one decimal number of seconds up to 86400, such as 2.5",
        );
        if leaving.value == Some(true) || rest.value.is_some() {
            log::info!(
                "request={} instance={} start={} status={} leaving={} rest={}",
                self.caller_request_id,
                plan.upstream,
                plan.start,
                status.as_u16(),
                u8::from(leaving.value == Some(true)),
                rest.value.map_or("none".into(), |rest| rest.to_string()),
            );
        }
    }

    /// Counts a statement, and logs one that is malformed.
    fn check_statement<T: Display>(
        &self,
        plan: &SendPlan,
        name: &str,
        stated: &StatedValue<T>,
        expected: &str,
    ) {
        if stated.is_absent() {
            return;
        }
        if let Some(text) = &stated.malformed {
            log::warn!(
                "request={} instance={} {name}=malformed value={text:?} used={} expected=\"{expected}\"",
                self.caller_request_id,
                plan.upstream,
                stated.value.as_ref().map_or("none".into(), |value| value.to_string())
            );
        }
        let form = if stated.malformed.is_some() { "malformed" } else { "valid" };
        let _ = self.context.metrics.count(&format!("{name}_statements.{form}"), 1);
    }

    /// Reads a refusal to its end, so that its connection can be reused.
    async fn drain_refusal(
        &self,
        plan: &SendPlan,
        response: Response<Incoming>,
        connection: UpstreamConnection,
    ) {
        const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);
        let (head, body) = response.into_parts();
        let draining = Limited::new(body, BUFFERED_ANSWER_LIMIT).collect();
        if matches!(tokio::time::timeout(DRAIN_TIMEOUT, draining).await, Ok(Ok(_))) {
            self.return_connection(plan, connection, &head.headers).await;
        }
    }

    async fn return_connection(
        &self,
        plan: &SendPlan,
        mut connection: UpstreamConnection,
        headers: &HeaderMap,
    ) {
        if connection.wait_for_answer_end().await {
            let now = self.context.clock.now();
            self.context.pool.put_back(
                now,
                &plan.upstream,
                connection,
                headers,
                plan.connection_limit,
            );
        }
    }

    /// Buffers an answer completely and forwards it only then.
    async fn forward_buffered(
        &self,
        plan: &SendPlan,
        answer: AcceptedAnswer,
        progress: &mut AnswerProgress,
    ) -> AttemptOutcome {
        let (head, body) = answer.response.into_parts();
        let body = match Limited::new(body, BUFFERED_ANSWER_LIMIT).collect().await {
            Ok(body) => body,
            Err(error) => {
                log::info!(
                    "request={} instance={} outcome=broken part=body reason=\"{error}\"",
                    self.caller_request_id,
                    plan.upstream
                );
                return self.classify_broken(plan, false).await;
            }
        };
        let bytes = body.to_bytes();
        let headers = head.headers.clone();
        let is_delimited = is_delimited(&headers);
        if !is_delimited && refuses_connections(plan.address).await {
            self.log_end_by_crash(plan, None);
            return AttemptOutcome::Lost { delivered: false, crashed: true };
        }
        if !answer.success {
            progress.failure = Some((head.status, head.headers, bytes));
            self.return_connection(plan, answer.connection, &headers).await;
            return AttemptOutcome::Failed;
        }
        self.send_part(AnswerPart::Complete(head.status, head.headers, bytes)).await;
        self.return_connection(plan, answer.connection, &headers).await;
        whole_attempt(is_delimited)
    }

    /// Logs that the end of an answer without a length is due to the crash of its upstream.
    fn log_end_by_crash(&self, plan: &SendPlan, last_event: Option<&str>) {
        log::info!(
            "request={} instance={} outcome=broken last={last_event:?} reason=\"the answer has no \
             length and its upstream accepts no connections\"",
            self.caller_request_id,
            plan.upstream
        );
    }

    /// Classifies an attempt whose connection broke: an upstream that accepts no new connection has
    /// crashed, perhaps because of this very request.
    async fn classify_broken(&self, plan: &SendPlan, delivered: bool) -> AttemptOutcome {
        let crashed = refuses_connections(plan.address).await;
        AttemptOutcome::Lost { delivered, crashed }
    }

    /// Forwards the events of a stream as they arrive.
    async fn forward_stream(
        &self,
        plan: &SendPlan,
        answer: AcceptedAnswer,
        progress: &mut AnswerProgress,
    ) -> AttemptOutcome {
        let (head, mut body) = answer.response.into_parts();
        loop {
            let frame = tokio::time::timeout(plan.silence_timeout.to_std(), body.frame()).await;
            let Ok(frame) = frame else {
                log::info!(
                    "request={} instance={} outcome=silent last={:?}",
                    self.caller_request_id,
                    plan.upstream,
                    progress.splitter.last_id()
                );
                return lost_attempt(progress.has_started);
            };
            let data = match frame {
                None => break,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    log::info!(
                        "request={} instance={} outcome=broken last={:?} reason=\"{error}\"",
                        self.caller_request_id,
                        plan.upstream,
                        progress.splitter.last_id()
                    );
                    return self.classify_broken(plan, progress.has_started).await;
                }
            };
            match progress.splitter.push(&data) {
                Ok(Some(events)) => {
                    if !progress.has_started {
                        progress.has_started = true;
                        self.send_part(AnswerPart::Head(head.status, head.headers.clone())).await;
                    }
                    self.send_part(AnswerPart::Events(events)).await;
                }
                Ok(None) => {}
                Err(_) => {
                    log::warn!(
                        "request={} instance={} outcome=disordered last={:?}",
                        self.caller_request_id,
                        plan.upstream,
                        progress.splitter.last_id()
                    );
                    return lost_attempt(progress.has_started);
                }
            }
        }
        if !progress.splitter.is_complete() || !progress.has_started {
            return self.classify_broken(plan, progress.has_started).await;
        }
        let is_delimited = is_delimited(&head.headers);
        if !is_delimited && refuses_connections(plan.address).await {
            self.log_end_by_crash(plan, progress.splitter.last_id());
            return AttemptOutcome::Lost { delivered: true, crashed: true };
        }
        self.send_part(AnswerPart::End).await;
        self.return_connection(plan, answer.connection, &head.headers).await;
        whole_attempt(is_delimited)
    }
}

/// Waits for a command to withdraw an attempt that still can be withdrawn; returns whether the
/// upstream may have received it. Commands of other kinds come only after the attempt's end was
/// reported, so that none is lost here.
async fn wait_for_withdrawal(
    commands: &mut mpsc::UnboundedReceiver<RequestCommand>,
    stage: &AttemptStage,
) -> bool {
    while let Some(command) = commands.recv().await {
        match command {
            RequestCommand::Withdraw if !stage.is_wait_over.load(Ordering::Relaxed) => {
                return stage.is_sent.load(Ordering::Relaxed);
            }
            RequestCommand::WithdrawUnsent if stage.withdraw_unwritten() => return false,
            _ => {}
        }
    }
    std::future::pending().await
}

/// An attempt whose answer was delivered as complete.
fn whole_attempt(is_delimited: bool) -> AttemptOutcome {
    if is_delimited { AttemptOutcome::Whole } else { AttemptOutcome::Undelimited }
}

/// An attempt that was lost without evidence that its upstream crashed.
fn lost_attempt(delivered: bool) -> AttemptOutcome {
    AttemptOutcome::Lost { delivered, crashed: false }
}

/// The value of the `outcome` label of the metric `attempts`.
fn outcome_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Whole => "whole",
        AttemptOutcome::Undelimited => "undelimited",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Full => "full",
        AttemptOutcome::Misdirected => "misdirected",
        AttemptOutcome::NotSent => "not_sent",
        AttemptOutcome::Withdrawn { .. } => "withdrawn",
        AttemptOutcome::Lost { crashed: true, .. } => "crashed",
        AttemptOutcome::Lost { .. } => "lost",
    }
}

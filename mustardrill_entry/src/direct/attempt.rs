//! One request's task: sends it where the reducer says, and passes the answer on.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cadence::{Counted, Timed};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode, http};
use kameo::prelude::*;
use mustardrill_core::direct::{
    AttemptOutcome, DirectEvent, DirectRequest, LoadReport, RequestNumber, SendPlan,
};
use mustardrill_runtime::border::AnswerKind;
use mustardrill_runtime::http::has_ended;
use mustardrill_types::WeightVersion;
use tokio::sync::mpsc;

use crate::direct::actor::{Begin, DirectActor, DirectContext, Event, Verdict};
use crate::direct::answer::AnswerPart;
use crate::direct::connections::{SendFailure, UpstreamConnection};
use crate::direct::events::EventCutter;

/// The largest answer that is read whole before it is passed on.
const WHOLE_LIMIT: usize = 8 << 20;

/// A request's content and the way back to its caller.
pub(crate) struct RequestTask {
    pub(crate) context: Arc<DirectContext>,
    pub(crate) actor: ActorRef<DirectActor>,
    pub(crate) number: RequestNumber,
    /// The caller's name for the request, by which log lines are found.
    pub(crate) attempt: Box<str>,
    pub(crate) head: http::request::Parts,
    pub(crate) body: Bytes,
    pub(crate) parts: mpsc::Sender<AnswerPart>,
}

/// What the caller has of a stream, and the failure that may be passed on.
#[derive(Debug, Default)]
struct Progress {
    cutter: EventCutter,
    began: bool,
    failure: Option<(StatusCode, HeaderMap, Bytes)>,
}

/// How far an attempt has come.
#[derive(Debug, Default)]
struct AttemptStage {
    /// Whether the upstream may have had the request.
    sent: AtomicBool,
    /// Whether its wait for an answer is over, one way or another.
    ended: AtomicBool,
}

/// An upstream's answer whose head is good.
struct GoodAnswer {
    response: Response<Incoming>,
    connection: UpstreamConnection,
    success: bool,
}

impl RequestTask {
    /// Runs the request to its end, or until its caller is gone.
    pub(crate) async fn run(self, request: DirectRequest) {
        let parts = self.parts.clone();
        tokio::select! {
            () = self.serve(request) => {}
            () = parts.closed() => {}
        }
        // Told for ended requests too: the actor then lets go of what it keeps for the task.
        let _ = self.actor.tell(Event(DirectEvent::CallerGone(self.number))).await;
    }

    async fn serve(&self, request: DirectRequest) {
        let (sender, mut verdicts) = mpsc::unbounded_channel();
        let _ = self.actor.tell(Begin(request, sender)).await;
        let mut progress = Progress::default();
        while let Some(verdict) = verdicts.recv().await {
            match verdict {
                Verdict::Send(plan) => {
                    let outcome = self.attempt(&plan, &mut progress, &mut verdicts).await;
                    let name = outcome_name(outcome);
                    let _ = self.context.metrics.count(&format!("attempts.{name}"), 1);
                    let event = DirectEvent::AttemptEnded(self.number, outcome);
                    let _ = self.actor.tell(Event(event)).await;
                    if outcome == AttemptOutcome::Whole {
                        return;
                    }
                }
                // The attempt that it was for has ended.
                Verdict::Withdraw => {}
                Verdict::PassOn => {
                    if let Some((status, headers, bytes)) = progress.failure.take() {
                        self.pass(AnswerPart::Whole(status, headers, bytes)).await;
                    }
                    return;
                }
                Verdict::Refuse(plan) => {
                    self.pass(AnswerPart::Refused(plan)).await;
                    return;
                }
            }
        }
    }

    /// Passes a part on; the task ends with the caller, so a caller that is gone is no error.
    async fn pass(&self, part: AnswerPart) {
        let _ = self.parts.send(part).await;
    }

    /// One attempt, bounded by the caller's time, and taken back where the reducer says so.
    async fn attempt(
        &self,
        plan: &SendPlan,
        progress: &mut Progress,
        verdicts: &mut mpsc::UnboundedReceiver<Verdict>,
    ) -> AttemptOutcome {
        let left = plan.deadline.since(self.context.clock.now());
        let stage = AttemptStage::default();
        let tried = self.try_upstream(plan, progress, &stage);
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(left.to_std(), tried) => outcome,
            () = withdrawn(verdicts, &stage) => {
                return AttemptOutcome::Withdrawn { sent: stage.sent.load(Ordering::Relaxed) };
            }
        };
        match outcome {
            Ok(outcome) => outcome,
            Err(_) if stage.sent.load(Ordering::Relaxed) => lost(progress.began),
            Err(_) => AttemptOutcome::NotSent,
        }
    }

    async fn try_upstream(
        &self,
        plan: &SendPlan,
        progress: &mut Progress,
        stage: &AttemptStage,
    ) -> AttemptOutcome {
        progress.cutter.drop_partial();
        let once = !plan.repeat_rule.is_repeatable();
        let pool = &self.context.pool;
        let now = self.context.clock.now();
        let Some(connection) = pool.take(now, &plan.upstream, plan.address, once).await else {
            return AttemptOutcome::NotSent;
        };
        stage.sent.store(true, Ordering::Relaxed);
        let answer = match self.ask(plan, connection, progress, stage).await {
            Ok(answer) => answer,
            Err(outcome) => return outcome,
        };
        if plan.repeat_rule.is_stream() && answer.response.status() == StatusCode::OK {
            return self.stream(plan, answer, progress).await;
        }
        if progress.began {
            // The failure of another upstream can't be told after events of a first one.
            return lost(true);
        }
        self.whole(plan, answer, progress).await
    }

    /// Sends the request and judges the head of the answer.
    async fn ask(
        &self,
        plan: &SendPlan,
        mut connection: UpstreamConnection,
        progress: &Progress,
        stage: &AttemptStage,
    ) -> Result<GoodAnswer, AttemptOutcome> {
        let lost = lost(progress.began);
        let remaining = plan.deadline.since(self.context.clock.now());
        let dialect = &self.context.borders.dialect;
        let request = dialect.write_request(&self.head, plan, remaining, progress.cutter.last());
        let request = request.map(|()| Full::new(self.body.clone()));
        let reused = connection.is_reused();
        let sent = self.context.clock.now();
        let response = tokio::time::timeout(
            plan.silence_timeout.to_std(),
            connection.send(request, plan.start_by),
        )
        .await;
        stage.ended.store(true, Ordering::Relaxed);
        let response = match response {
            Ok(Ok(response)) => response,
            Ok(Err(SendFailure::NotSent)) => return Err(AttemptOutcome::NotSent),
            Ok(Err(SendFailure::TooLate)) => return Err(AttemptOutcome::Withdrawn { sent: false }),
            Ok(Err(SendFailure::Broken(error))) => {
                log::info!(
                    "request={} instance={} reused={reused} outcome=broken reason=\"{error}\"",
                    self.attempt,
                    plan.upstream
                );
                return Err(self.broken(plan, progress.began).await);
            }
            Err(_) => {
                log::info!(
                    "request={} instance={} outcome=silent after={}",
                    self.attempt,
                    plan.upstream,
                    plan.silence_timeout
                );
                return Err(lost);
            }
        };
        let kind = dialect.read_answer(&self.head, response.status(), response.headers());
        match kind {
            AnswerKind::Answer { success, load, version } => {
                let took = self.context.clock.now().since(sent).0;
                let _ = self.context.metrics.time("first_ms", took);
                self.tell_answering(load, version).await;
                Ok(GoodAnswer { response, connection, success })
            }
            AnswerKind::Foreign => {
                log::warn!(
                    "request={} instance={} outcome=foreign status={}",
                    self.attempt,
                    plan.upstream,
                    response.status()
                );
                Err(lost)
            }
            AnswerKind::Full | AnswerKind::Misdirected => {
                self.recycle(plan, response, connection).await;
                let full = kind == AnswerKind::Full;
                Err(if full { AttemptOutcome::Full } else { AttemptOutcome::Misdirected })
            }
        }
    }

    async fn tell_answering(&self, load: Option<LoadReport>, version: Option<WeightVersion>) {
        let event = DirectEvent::AnswerStarted(self.number, load, version);
        let _ = self.actor.tell(Event(event)).await;
    }

    /// Reads a refusal to its end, so that its connection can be used again.
    async fn recycle(
        &self,
        plan: &SendPlan,
        response: Response<Incoming>,
        connection: UpstreamConnection,
    ) {
        const RECYCLE_TIMEOUT: Duration = Duration::from_millis(50);
        let (head, body) = response.into_parts();
        let read = Limited::new(body, WHOLE_LIMIT).collect();
        if matches!(tokio::time::timeout(RECYCLE_TIMEOUT, read).await, Ok(Ok(_))) {
            self.keep(plan, connection, &head.headers).await;
        }
    }

    async fn keep(&self, plan: &SendPlan, mut connection: UpstreamConnection, headers: &HeaderMap) {
        if connection.settle().await {
            let now = self.context.clock.now();
            self.context.pool.keep(now, &plan.upstream, connection, headers, plan.connection_limit);
        }
    }

    /// Reads an answer whole before any of it is passed on.
    async fn whole(
        &self,
        plan: &SendPlan,
        answer: GoodAnswer,
        progress: &mut Progress,
    ) -> AttemptOutcome {
        let (head, body) = answer.response.into_parts();
        let body = match Limited::new(body, WHOLE_LIMIT).collect().await {
            Ok(body) => body,
            Err(error) => {
                log::info!(
                    "request={} instance={} outcome=broken part=body reason=\"{error}\"",
                    self.attempt,
                    plan.upstream
                );
                return self.broken(plan, false).await;
            }
        };
        let bytes = body.to_bytes();
        let headers = head.headers.clone();
        if !answer.success {
            progress.failure = Some((head.status, head.headers, bytes));
            self.keep(plan, answer.connection, &headers).await;
            return AttemptOutcome::Failed;
        }
        self.pass(AnswerPart::Whole(head.status, head.headers, bytes)).await;
        self.keep(plan, answer.connection, &headers).await;
        AttemptOutcome::Whole
    }

    /// What became of an attempt whose connection broke: an upstream that takes no other one has
    /// ended, perhaps by this very request.
    async fn broken(&self, plan: &SendPlan, delivered: bool) -> AttemptOutcome {
        let crashed = has_ended(plan.address).await;
        AttemptOutcome::Lost { delivered, crashed }
    }

    /// Passes events on as they come.
    async fn stream(
        &self,
        plan: &SendPlan,
        answer: GoodAnswer,
        progress: &mut Progress,
    ) -> AttemptOutcome {
        let (head, mut body) = answer.response.into_parts();
        loop {
            let frame = tokio::time::timeout(plan.silence_timeout.to_std(), body.frame()).await;
            let Ok(frame) = frame else {
                log::info!(
                    "request={} instance={} outcome=silent last={:?}",
                    self.attempt,
                    plan.upstream,
                    progress.cutter.last()
                );
                return lost(progress.began);
            };
            let data = match frame {
                None => break,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    log::info!(
                        "request={} instance={} outcome=broken last={:?} reason=\"{error}\"",
                        self.attempt,
                        plan.upstream,
                        progress.cutter.last()
                    );
                    return self.broken(plan, progress.began).await;
                }
            };
            match progress.cutter.push(&data) {
                Ok(Some(events)) => {
                    if !progress.began {
                        progress.began = true;
                        self.pass(AnswerPart::Head(head.status, head.headers.clone())).await;
                    }
                    self.pass(AnswerPart::Events(events)).await;
                }
                Ok(None) => {}
                Err(_) => {
                    log::warn!(
                        "request={} instance={} outcome=disordered last={:?}",
                        self.attempt,
                        plan.upstream,
                        progress.cutter.last()
                    );
                    return lost(progress.began);
                }
            }
        }
        if !progress.cutter.is_whole() || !progress.began {
            return self.broken(plan, progress.began).await;
        }
        self.pass(AnswerPart::End).await;
        self.keep(plan, answer.connection, &head.headers).await;
        AttemptOutcome::Whole
    }
}

/// Waits until an attempt is to be taken back whose answer has not begun. The next verdict of another
/// kind comes only after the attempt's end has been told.
async fn withdrawn(verdicts: &mut mpsc::UnboundedReceiver<Verdict>, stage: &AttemptStage) {
    while let Some(verdict) = verdicts.recv().await {
        if matches!(verdict, Verdict::Withdraw) && !stage.ended.load(Ordering::Relaxed) {
            return;
        }
    }
    std::future::pending().await
}

/// An attempt that ended without a word on whether its upstream is still there.
fn lost(delivered: bool) -> AttemptOutcome {
    AttemptOutcome::Lost { delivered, crashed: false }
}

/// The outcome as a label of a metric.
fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Whole => "whole",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Full => "full",
        AttemptOutcome::Misdirected => "misdirected",
        AttemptOutcome::NotSent => "not_sent",
        AttemptOutcome::Withdrawn { .. } => "withdrawn",
        AttemptOutcome::Lost { crashed: true, .. } => "crashed",
        AttemptOutcome::Lost { .. } => "lost",
    }
}

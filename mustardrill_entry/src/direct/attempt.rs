//! One attempt of a request: sends it to an upstream and passes the answer on.

use std::error::Error;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use cadence::{Counted, Timed};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::{HeaderMap, Response, StatusCode};
use mustardrill_core::direct::{
    AttemptOutcome, DirectEvent, LoadReport, RequestNumber, SendPlan, SilenceReport,
};
use mustardrill_runtime::adapters::AnswerKind;
use mustardrill_runtime::http::{is_delimited, refuses_connections};
use mustardrill_types::{Millis, Moment, WeightVersion};

use crate::direct::activity::UpstreamActivity;
use crate::direct::answer::AnswerPart;
use crate::direct::answer_buffer::{AnswerBuffer, AnswerMemoryError};
use crate::direct::attempt_counts::outcome_label;
use crate::direct::connections::{SendFailure, UpstreamConnection};
use crate::direct::event_splitter::has_event_line;
use crate::direct::gated_stream::SendGate;
use crate::direct::request_task::RequestTask;
use crate::direct::stream_part::{StreamPart, StreamReader};

/// The largest answer that is buffered completely before it is forwarded.
const BUFFERED_ANSWER_LIMIT: usize = 8 << 20;

/// How often a silence that lasts is reported again, as the request may then be sent to another
/// upstream.
const SILENCE_REPORT_INTERVAL: Millis = Millis(400);

/// How often an upstream is asked whether it has crashed before an answer without a length counts as
/// complete: a packet may get lost, and the caller would get a part of an answer as a success.
const END_CHECK_ATTEMPTS: u32 = 3;

/// An upstream's complete error answer.
pub(crate) type FailedAnswer = (StatusCode, HeaderMap, Bytes);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) outcome: AttemptOutcome,
    /// The error answer that may be passed on.
    pub(crate) failure: Option<FailedAnswer>,
}

/// How far an attempt has got, shared with the request's task.
#[derive(Debug, Default)]
pub(crate) struct AttemptStage {
    /// Whether the upstream may have received the request.
    is_sent: AtomicBool,
    /// Whether the answer has started, or can't start any more.
    is_wait_over: AtomicBool,
    /// Whether the upstream was reported as silent and has sent nothing since.
    is_silent: AtomicBool,
    /// The gate of the connection, once there is one.
    gate: OnceLock<Arc<SendGate>>,
}

impl AttemptStage {
    pub(crate) fn is_sent(&self) -> bool {
        self.is_sent.load(Ordering::Relaxed)
    }

    pub(crate) fn is_wait_over(&self) -> bool {
        self.is_wait_over.load(Ordering::Relaxed)
    }

    pub(crate) fn is_silent(&self) -> bool {
        self.is_silent.load(Ordering::Relaxed)
    }

    /// Withdraws the attempt unless a part of it has been written; returns whether it is withdrawn.
    pub(crate) fn withdraw_unwritten(&self) -> bool {
        self.gate.get().is_none_or(|gate| gate.withdraw_unwritten())
    }
}

/// An upstream's answer whose head was accepted.
struct AcceptedAnswer {
    head: hyper::http::response::Parts,
    sent_at: Moment,
    /// When the head arrived.
    head_at: Moment,
    connection: UpstreamConnection,
    success: bool,
    load: Option<LoadReport>,
    version: Option<WeightVersion>,
    has_started: bool,
}

/// One attempt of a request.
pub(crate) struct Attempt<'a> {
    pub(crate) task: &'a RequestTask,
    pub(crate) number: RequestNumber,
    pub(crate) plan: SendPlan,
    pub(crate) stage: Arc<AttemptStage>,
    pub(crate) activity: Arc<UpstreamActivity>,
}

impl Attempt<'_> {
    /// Makes the attempt, until it ends or the caller's deadline passes.
    pub(crate) async fn run(self) -> AttemptEnd {
        let remaining = self.plan.deadline.since(self.task.context.clock.now());
        let mut failure = None;
        let attempt = self.try_upstream(&mut failure);
        let outcome = match tokio::time::timeout(remaining.to_std(), attempt).await {
            Ok(outcome) => outcome,
            Err(_) if self.stage.is_sent() => self.lost(),
            Err(_) => AttemptOutcome::NotSent,
        };
        let label = outcome_label(outcome);
        let _ = self.task.context.metrics.count(&format!("attempts.{label}"), 1);
        AttemptEnd { outcome, failure }
    }

    /// An attempt that was lost without evidence that its upstream crashed.
    fn lost(&self) -> AttemptOutcome {
        AttemptOutcome::Lost { delivered: self.task.sink.has_started(), crashed: false }
    }

    /// Waits for what the upstream sends next, and reports its silence meanwhile. `is_sign` tells
    /// whether what arrived shows that the upstream goes on.
    async fn wait_for<T>(
        &self,
        awaited: impl Future<Output = T>,
        is_sign: impl Fn(&T) -> bool,
    ) -> T {
        let clock = &self.task.context.clock;
        let waiting_since = clock.now();
        // Summed up from the pauses, as a process that was suspended has heard nothing meanwhile.
        let mut silent_for = Millis(0);
        let timeout = self.plan.silence_timeout;
        let (mut pause, mut is_reachable) =
            (self.report_pause(timeout, Millis(timeout.0 / 2)), true);
        tokio::pin!(awaited);
        loop {
            is_reachable = tokio::select! {
                biased;
                arrived = &mut awaited => {
                    if is_sign(&arrived) {
                        self.activity.record(clock.now());
                    }
                    if self.stage.is_silent.swap(false, Ordering::Relaxed) && is_sign(&arrived) {
                        let _ = self.task.context.metrics.count("silences.ended", 1);
                        self.task.report(DirectEvent::AttemptHeard(self.number)).await;
                    }
                    return arrived;
                }
                probed = self.probe_after(pause) => probed.unwrap_or(is_reachable),
            };
            if !self.stage.is_silent.swap(true, Ordering::Relaxed) {
                let _ = self.task.context.metrics.count("silences.begun", 1);
            }
            silent_for = Millis(silent_for.0 + pause.0);
            let report = SilenceReport {
                silent_for,
                delivered: self.task.sink.has_started(),
                is_reachable,
                is_upstream_heard: self
                    .activity
                    .is_heard_after(waiting_since + Millis(silent_for.0.saturating_sub(timeout.0))),
            };
            self.task.report(DirectEvent::AttemptSilent(self.number, report)).await;
            pause = self.report_pause(SILENCE_REPORT_INTERVAL, Millis(1));
        }
    }

    /// How long to wait until a silence is reported: `regular`, or until the caller is about to leave
    /// without a part of the answer, where at least `shortest` is left.
    fn report_pause(&self, regular: Millis, shortest: Millis) -> Millis {
        let has_part = self.stage.is_wait_over() || self.task.sink.has_started();
        let limit = self.plan.silence_limit.filter(|_| !has_part);
        let until_limit = limit.map(|limit| limit.since(self.task.context.clock.now()));
        let until_limit = until_limit.filter(|until_limit| *until_limit >= shortest);
        until_limit.map_or(regular, |until_limit| regular.min(until_limit))
    }

    /// Returns after a pause whether the upstream accepts a connection; `None` where the caller is
    /// about to leave, so that there is no time to find out.
    async fn probe_after(&self, pause: Millis) -> Option<bool> {
        tokio::time::sleep(pause.to_std()).await;
        let context = &self.task.context;
        let now = context.clock.now();
        if self.plan.silence_limit.is_some_and(|limit| limit <= now) {
            return None;
        }
        Some(context.probes.is_reachable(now, self.plan.address).await)
    }

    async fn try_upstream(&self, failure: &mut Option<FailedAnswer>) -> AttemptOutcome {
        let Self { plan, stage, .. } = self;
        let runs_once = !plan.repeat_rule.is_repeatable();
        let context = &self.task.context;
        let (now, pool) = (context.clock.now(), &context.pool);
        let used = &self.task.used_connections;
        let taken = pool.take(now, &plan.upstream, plan.address, runs_once, used).await;
        let Some(connection) = taken else { return AttemptOutcome::NotSent };
        // Nothing else sets the gate of this attempt.
        let _ = stage.gate.set(connection.gate());
        stage.is_sent.store(true, Ordering::Relaxed);
        let (mut answer, body) = match self.send_request(connection).await {
            Ok(answer) => answer,
            Err(outcome) => return outcome,
        };
        if plan.repeat_rule.is_stream() && answer.head.status == StatusCode::OK {
            return self.forward_stream(answer, body).await;
        }
        if self.task.sink.has_started() {
            // The caller already has events of an earlier attempt's stream, so another upstream's
            // failure can't be forwarded any more.
            self.report_answer_start(&mut answer, &[]).await;
            return self.lost();
        }
        self.forward_buffered(answer, body, failure).await
    }

    /// Sends the request and checks the head of the answer.
    async fn send_request(
        &self,
        mut connection: UpstreamConnection,
    ) -> Result<(AcceptedAnswer, Incoming), AttemptOutcome> {
        let Self { plan, stage, .. } = self;
        let RequestTask { context, head, body, .. } = self.task;
        let remaining = plan.deadline.since(context.clock.now());
        let dialect = &context.adapters.dialect;
        let last_event = self.task.sink.last_event();
        let request = dialect.write_request(head, plan, remaining, last_event.as_deref());
        let request = request.map(|()| Full::new(body.clone()));
        let history = connection.history();
        let sent_at = context.clock.now();
        let response = self.wait_for(connection.send(request, plan.start_by), Result::is_ok).await;
        if response.is_err() {
            stage.is_wait_over.store(true, Ordering::Relaxed);
        }
        let response = match response {
            Ok(response) => response,
            Err(SendFailure::NotSent) => return Err(AttemptOutcome::NotSent),
            Err(SendFailure::TooLate { sent }) => return Err(AttemptOutcome::Withdrawn { sent }),
            Err(SendFailure::Broken(error)) => {
                log::info!(
                    "request={} instance={} connection={history:?} outcome=broken reason=\"{error}\"",
                    self.task.caller_request_id,
                    plan.upstream
                );
                self.report_cut(&connection.gate());
                return Err(self.classify_lost().await);
            }
        };
        connection.gate().record_head();
        let kind = dialect.read_answer(head, history, response.status(), response.headers());
        match kind {
            AnswerKind::Answer { success, load, version } => {
                let head_at = self.task.context.clock.now();
                let _ = self.task.context.metrics.time("first_ms", head_at.since(sent_at).0);
                self.report_statement(response.status(), response.headers()).await;
                let (head, body) = response.into_parts();
                let has_started = false;
                let answer = AcceptedAnswer {
                    head,
                    sent_at,
                    head_at,
                    connection,
                    success,
                    load,
                    version,
                    has_started,
                };
                Ok((answer, body))
            }
            AnswerKind::Foreign => {
                log::warn!(
                    "request={} instance={} connection={history:?} outcome=foreign status={}",
                    self.task.caller_request_id,
                    plan.upstream,
                    response.status()
                );
                Err(self.lost())
            }
            AnswerKind::Full | AnswerKind::Misdirected => {
                let is_full = kind == AnswerKind::Full;
                // A misdirected request may have been answered by another upstream.
                if is_full {
                    self.report_statement(response.status(), response.headers()).await;
                }
                self.drain_refusal(response, connection).await;
                Err(if is_full { AttemptOutcome::Full } else { AttemptOutcome::Misdirected })
            }
        }
    }

    /// Reports the first part of an answer. Its head shows only that the upstream has received the
    /// request, which may still wait there.
    async fn report_answer_start(&self, answer: &mut AcceptedAnswer, part: &[u8]) {
        answer.has_started = true;
        self.stage.is_wait_over.store(true, Ordering::Relaxed);
        answer.connection.gate().record_answer_start();
        let context = &self.task.context;
        let after_head = context.clock.now().since(answer.head_at);
        let _ = context.metrics.time("start_ms", after_head.0);
        if self.plan.start_by.is_some() {
            log::info!(
                "request={} instance={} outcome=started after_head={after_head}",
                self.task.caller_request_id,
                self.plan.upstream,
            );
        }
        let version = context.adapters.dialect.read_part_version(part).or(answer.version);
        let load = answer.load.map(|load| LoadReport { age: after_head, ..load });
        self.count_start(context.clock.now().since(answer.sent_at));
        self.task.report(DirectEvent::AnswerStarted(self.number, load, version)).await;
    }

    /// Reads a refusal to its end, so that its connection can be reused.
    async fn drain_refusal(&self, response: Response<Incoming>, connection: UpstreamConnection) {
        const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);
        let (head, body) = response.into_parts();
        let draining = Limited::new(body, BUFFERED_ANSWER_LIMIT).collect();
        if matches!(tokio::time::timeout(DRAIN_TIMEOUT, draining).await, Ok(Ok(_))) {
            self.return_connection(connection, &head.headers).await;
        }
    }

    async fn return_connection(&self, mut connection: UpstreamConnection, headers: &HeaderMap) {
        if connection.wait_for_answer_end().await {
            let (plan, context) = (&self.plan, &self.task.context);
            let now = context.clock.now();
            context.pool.put_back(now, &plan.upstream, connection, headers, plan.connection_limit);
        }
    }

    /// Buffers an answer completely and forwards it only then.
    async fn forward_buffered(
        &self,
        mut answer: AcceptedAnswer,
        body: Incoming,
        failure: &mut Option<FailedAnswer>,
    ) -> AttemptOutcome {
        let bytes = match self.read_body(&mut answer, body).await {
            Ok(bytes) => bytes,
            Err(error) => {
                log::info!(
                    "request={} instance={} outcome=broken part=body reason=\"{error}\"",
                    self.task.caller_request_id,
                    self.plan.upstream
                );
                return self.classify_broken(&answer).await;
            }
        };
        let AcceptedAnswer { head, connection, success, .. } = answer;
        let headers = head.headers.clone();
        let is_delimited = is_delimited(&headers);
        if !is_delimited && refuses_connections(self.plan.address, END_CHECK_ATTEMPTS).await {
            self.log_end_by_crash(None);
            return AttemptOutcome::Lost { delivered: false, crashed: true };
        }
        if !success {
            *failure = Some((head.status, head.headers, bytes));
            self.return_connection(connection, &headers).await;
            return AttemptOutcome::Failed;
        }
        let part = AnswerPart::Complete(head.status, head.headers, bytes);
        self.task.sink.send_end(self.number, part).await;
        self.return_connection(connection, &headers).await;
        whole_attempt(is_delimited)
    }

    /// Reads an answer's body to its end, and reports its start.
    async fn read_body(
        &self,
        answer: &mut AcceptedAnswer,
        body: Incoming,
    ) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
        // An error answer has no part for which its request waits in the upstream.
        if !answer.success {
            self.report_answer_start(answer, &[]).await;
        }
        let mut buffer = AnswerBuffer::open(&self.task.client, &body).await?;
        let mut body = Limited::new(body, BUFFERED_ANSWER_LIMIT);
        while let Some(frame) = self.next_frame(&mut body).await {
            buffer.push(&frame?.into_data().unwrap_or_default()).await?;
            answer.connection.gate().record_progress();
            if !answer.has_started && !buffer.is_empty() {
                self.report_answer_start(answer, &[]).await;
            }
        }
        if !answer.has_started {
            self.report_answer_start(answer, &[]).await;
        }
        Ok(buffer.into_bytes())
    }

    /// Waits for the next frame of a body.
    async fn next_frame<B: Body<Data = Bytes> + Unpin>(
        &self,
        body: &mut B,
    ) -> Option<Result<Frame<Bytes>, B::Error>> {
        self.wait_for(body.frame(), |frame| matches!(frame, Some(Ok(_)))).await
    }

    /// Logs that the end of an answer without a length is due to the crash of its upstream.
    fn log_end_by_crash(&self, last_event: Option<&str>) {
        log::info!(
            "request={} instance={} outcome=broken last={last_event:?} reason=\"the answer has no \
             length and its upstream accepts no connections\"",
            self.task.caller_request_id,
            self.plan.upstream
        );
    }

    /// Classifies an attempt whose connection broke: an upstream that accepts no new connection has
    /// crashed, perhaps because of this very request.
    async fn classify_broken(&self, answer: &AcceptedAnswer) -> AttemptOutcome {
        self.report_cut(&answer.connection.gate());
        if answer.connection.gate().has_refused() {
            return AttemptOutcome::Withdrawn { sent: true };
        }
        self.classify_lost().await
    }

    /// Ends an attempt for whose answer there is no memory.
    fn drop_for_memory(&self, error: &AnswerMemoryError) -> AttemptOutcome {
        log::warn!(
            "request={} instance={} outcome=dropped reason=\"{error}\"",
            self.task.caller_request_id,
            self.plan.upstream
        );
        self.lost()
    }

    async fn classify_lost(&self) -> AttemptOutcome {
        let crashed = refuses_connections(self.plan.address, 1).await;
        AttemptOutcome::Lost { delivered: self.task.sink.has_started(), crashed }
    }

    /// Forwards the events of a stream as they arrive.
    async fn forward_stream(&self, mut answer: AcceptedAnswer, body: Incoming) -> AttemptOutcome {
        let last_event = self.task.sink.last_event();
        let mut reader = StreamReader::open(body, &self.task.client, last_event);
        let is_resumed = self.task.sink.has_started();
        loop {
            let has_started = answer.has_started;
            let awaited = reader.next_part(has_started);
            let is_sign = |part: &_| matches!(part, Some(Ok(StreamPart::Received(..))));
            let Some(part) = self.wait_for(awaited, is_sign).await else { break };
            let (data, pushed) = match part {
                Ok(StreamPart::Received(data, events)) => (data, events),
                Ok(StreamPart::Unreserved) => {
                    if let Err(error) = reader.wait_for_memory().await {
                        return self.drop_for_memory(&error);
                    }
                    continue;
                }
                Err(error) => {
                    log::info!(
                        "request={} instance={} outcome=broken last={:?} reason=\"{error}\"",
                        self.task.caller_request_id,
                        self.plan.upstream,
                        reader.splitter.last_id()
                    );
                    return self.classify_broken(&answer).await;
                }
            };
            match &pushed {
                Ok(Some(events)) if has_event_line(events) => {
                    answer.connection.gate().record_progress();
                }
                _ if reader.splitter.is_complete() => answer.connection.gate().record_sign(),
                _ => {}
            }
            if !answer.has_started && reader.splitter.has_event() {
                self.report_answer_start(&mut answer, &data).await;
            }
            match pushed {
                Ok(Some(events)) => {
                    let head = (answer.head.status, &answer.head.headers);
                    self.task
                        .sink
                        .send_events(self.number, head, events, reader.splitter.last_id())
                        .await;
                }
                Ok(None) => {}
                Err(_) => {
                    log::warn!(
                        "request={} instance={} outcome=disordered last={:?}",
                        self.task.caller_request_id,
                        self.plan.upstream,
                        reader.splitter.last_id()
                    );
                    return self.lost();
                }
            }
        }
        if !reader.splitter.is_complete() || !(is_resumed || reader.splitter.has_event()) {
            return self.classify_broken(&answer).await;
        }
        let headers = &answer.head.headers;
        let is_delimited = is_delimited(headers);
        if !is_delimited && refuses_connections(self.plan.address, END_CHECK_ATTEMPTS).await {
            self.log_end_by_crash(reader.splitter.last_id());
            return AttemptOutcome::Lost { delivered: true, crashed: true };
        }
        self.task.sink.send_end(self.number, AnswerPart::End).await;
        self.return_connection(answer.connection, headers).await;
        whole_attempt(is_delimited)
    }
}

/// An attempt whose answer was delivered as complete.
fn whole_attempt(is_delimited: bool) -> AttemptOutcome {
    if is_delimited { AttemptOutcome::Whole } else { AttemptOutcome::Undelimited }
}

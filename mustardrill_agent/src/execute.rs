//! Runs one attempt of a request: asks for the verdict, calls the upstream, and streams the answer
//! back to the entry in frames.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Response};
use kameo::prelude::*;
use log::info;
use mustardrill_core::agent::AgentEvent;
use mustardrill_core::document::RequestClass;
use mustardrill_core::refusal::AttemptRefusal;
use mustardrill_proto as proto;
use mustardrill_proto::execute_frame::Part;
use mustardrill_runtime::http::{CallError, is_delimited};
use mustardrill_runtime::wire::{attempt_bytes, attempt_of, digest_bytes, digest_of};
use mustardrill_types::{AttemptId, ManifestDigest, Millis, ResultCode, StartStamp};
use tokio::sync::{mpsc, oneshot};
use tonic::Status;

use crate::actor::{AdmissionVerdict, Admit, AgentActor, Event};
use crate::context::AgentContext;
use crate::message_memory::MessageReservation;
use crate::upstream::{EXPECTED_WEIGHTS_HEADER, PRIORITY_HEADER, RESUME_HEADER, WEIGHTS_HEADER};

/// How many frames are buffered for a slow entry; then the answer is read no further.
const FRAME_BUFFER: usize = 16;

/// The status with which an engine refuses a request for weights that it does not serve; it has run
/// nothing.
const WEIGHTS_REFUSED_STATUS: u16 = 412;

/// Frames of one attempt's answer.
type FrameSender = mpsc::Sender<Result<proto::ExecuteFrame, Status>>;

/// Starts an attempt and returns the receiver of its frames. The memory of its request is released
/// when it ends.
pub(crate) fn spawn(
    actor: ActorRef<AgentActor>,
    context: Arc<AgentContext>,
    request: proto::ExecuteRequest,
    reservation: Option<Arc<MessageReservation>>,
) -> mpsc::Receiver<Result<proto::ExecuteFrame, Status>> {
    let (sender, receiver) = mpsc::channel(FRAME_BUFFER);
    tokio::spawn(async move {
        let _reservation = reservation;
        let Some(attempt) = attempt_of(&request.attempt) else {
            let _ = sender.send(Err(Status::invalid_argument("attempt"))).await;
            return;
        };
        let attempt_run = AttemptRun {
            actor,
            context,
            attempt,
            frames: sender,
            pinned: digest_of(&request.manifest),
        };
        attempt_run.run(request).await;
    });
    receiver
}

struct AttemptRun {
    actor: ActorRef<AgentActor>,
    context: Arc<AgentContext>,
    attempt: AttemptId,
    frames: FrameSender,
    /// The weights from which the answer must be made, if any.
    pinned: Option<ManifestDigest>,
}

/// Why an attempt did not end with a complete answer.
enum RunError {
    /// The attempt was not run.
    NotRun(AttemptRefusal),
    /// The attempt may have run; the stream ends with an error.
    Broken(Box<str>),
    /// The upstream crashed during the attempt; the incarnation that crashed.
    UpstreamCrashed(StartStamp),
    /// The answer was made from other weights than the pinned ones.
    WrongWeights,
    /// The entry has closed the stream.
    EntryGone,
}

impl RunError {
    fn not_run(code: ResultCode, retry_after: Millis) -> Self {
        Self::NotRun(AttemptRefusal::new(code, retry_after))
    }
}

impl AttemptRun {
    async fn run(self, request: proto::ExecuteRequest) {
        let (end_event, result) = match self.request_verdict(&request).await {
            Ok(()) => {
                let result = tokio::select! {
                    result = self.answer(request) => result,
                    // Dropping the answer closes the connection, which makes the upstream cancel
                    // it.
                    () = self.frames.closed() => Err(RunError::EntryGone),
                };
                (AgentEvent::RequestFinished(self.attempt), result)
            }
            Err(RunError::EntryGone) => {
                (AgentEvent::RequestWithdrawn(self.attempt), Err(RunError::EntryGone))
            }
            // The reducer has refused the attempt and keeps no state of it.
            Err(other) => return self.end_with_error(other).await,
        };
        let _ = self.actor.tell(Event(end_event)).await;
        if let Err(error) = result {
            self.end_with_error(error).await;
        }
    }

    async fn request_verdict(&self, request: &proto::ExecuteRequest) -> Result<(), RunError> {
        let now = self.context.clock.now();
        // This deadline is on the agent's own clock, so it holds however long the entry was
        // suspended.
        if request.agent_deadline_ms > 0 && now.0 >= request.agent_deadline_ms {
            return Err(RunError::not_run(ResultCode::DeadlinePassed, Millis(0)));
        }
        let (sender, receiver) = oneshot::channel();
        let admit = Admit {
            attempt: self.attempt,
            class: RequestClass::from_rank(request.priority as usize),
            pinned: self.pinned,
            deadline: now + Millis(request.remaining_ms),
            verdict_sender: sender,
        };
        let _ = self.actor.tell(admit).await;
        let verdict = tokio::select! {
            verdict = receiver => verdict,
            () = self.frames.closed() => return Err(RunError::EntryGone),
        };
        match verdict {
            Ok(AdmissionVerdict::Run) => Ok(()),
            Ok(AdmissionVerdict::Refuse(refusal)) => Err(RunError::NotRun(refusal)),
            Err(_) => Err(RunError::not_run(ResultCode::Leaving, Millis(1))),
        }
    }

    async fn answer(&self, request: proto::ExecuteRequest) -> Result<(), RunError> {
        let resume_from = request.resume_from;
        let upstream_request = self.upstream_request(request)?;
        let answer = match self.context.upstream.run(upstream_request).await {
            Ok(answer) => answer,
            Err(CallError::NotSent { .. }) => {
                return Err(RunError::not_run(ResultCode::NoUpstream, Millis(100)));
            }
            Err(other) => return Err(self.classify_failure(other).await),
        };
        if self.pinned.is_some() && answer.status().as_u16() == WEIGHTS_REFUSED_STATUS {
            let serving = weights_of(answer.headers()).into_iter().collect();
            return Err(RunError::NotRun(AttemptRefusal::other_weights(Millis(1), serving)));
        }
        self.check_weights(answer.headers())?;
        self.send_head(&answer).await?;
        self.send_body(answer, resume_from).await
    }

    fn upstream_request(
        &self,
        request: proto::ExecuteRequest,
    ) -> Result<hyper::Request<Full<Bytes>>, RunError> {
        let mut builder = hyper::Request::builder().method(&*request.method).uri(&*request.path);
        for header in &request.headers {
            builder = builder.header(&*header.name, &*header.value);
        }
        builder = builder.header(PRIORITY_HEADER, request.priority);
        if let Some(digest) = self.pinned {
            builder = builder.header(EXPECTED_WEIGHTS_HEADER, digest.to_string());
        }
        if request.resume_from > 0 {
            builder = builder.header(RESUME_HEADER, request.resume_from);
        }
        let built = builder.body(Full::new(request.body));
        built.map_err(|_| RunError::not_run(ResultCode::BadRequest, Millis(0)))
    }

    /// An answer that does not name the pinned weights is not passed on to the entry.
    fn check_weights(&self, headers: &HeaderMap) -> Result<(), RunError> {
        let Some(pinned) = self.pinned else { return Ok(()) };
        if weights_of(headers) == Some(pinned) { Ok(()) } else { Err(RunError::WrongWeights) }
    }

    async fn send_head(&self, answer: &Response<Incoming>) -> Result<(), RunError> {
        let headers = answer.headers().iter().filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(proto::Header { name: name.to_string(), value })
        });
        let head = proto::ExecuteHead {
            status: u32::from(answer.status().as_u16()),
            headers: headers.collect(),
            manifest: self.pinned.map(digest_bytes).unwrap_or_default(),
        };
        self.send(Part::Head(head)).await
    }

    async fn send_body(
        &self,
        answer: Response<Incoming>,
        resume_from: u64,
    ) -> Result<(), RunError> {
        let is_delimited = is_delimited(answer.headers());
        let mut body = answer.into_body();
        let mut hasher = blake3::Hasher::new();
        let mut length = resume_from;
        while let Some(frame) = body.frame().await {
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => return Err(self.classify_failure(error).await),
            };
            let Ok(data) = frame.into_data() else { continue };
            hasher.update(&data);
            length += data.len() as u64;
            self.send(Part::Data(data)).await?;
        }
        if !is_delimited && self.context.upstream.has_ended().await {
            return Err(self.upstream_crashed());
        }
        let digest = Bytes::copy_from_slice(hasher.finalize().as_bytes());
        self.send(Part::End(proto::ExecuteEnd { length, digest })).await
    }

    /// Distinguishes a crash of the upstream, which this attempt may have caused, from a broken
    /// connection.
    async fn classify_failure(&self, error: impl std::fmt::Display) -> RunError {
        if !self.context.upstream.has_ended().await {
            return RunError::Broken(error.to_string().into());
        }
        self.upstream_crashed()
    }

    fn upstream_crashed(&self) -> RunError {
        let now = self.context.clock.now();
        let mut incarnations = self.context.incarnations.lock().expect("no lock holder panics");
        RunError::UpstreamCrashed(incarnations.record_crash(now))
    }

    async fn send(&self, part: Part) -> Result<(), RunError> {
        let attempt = attempt_bytes(self.attempt);
        let frame = proto::ExecuteFrame { attempt, part: Some(part) };
        self.frames.send(Ok(frame)).await.map_err(|_| RunError::EntryGone)
    }

    async fn end_with_error(&self, error: RunError) {
        match error {
            RunError::NotRun(refusal) => {
                info!("request attempt={} decision=refuse code={}", self.attempt, refusal.code);
                let _ = self.send(Part::Refusal(refusal_message(refusal, "not run"))).await;
            }
            RunError::WrongWeights => {
                info!("request attempt={} decision=drop reason=wrong-weights", self.attempt);
                let refusal = AttemptRefusal::new(ResultCode::WrongWeights, Millis(0));
                let _ = self.send(Part::Refusal(refusal_message(refusal, "wrong weights"))).await;
            }
            RunError::Broken(reason) => {
                info!("request attempt={} decision=break reason=\"{reason}\"", self.attempt);
                let _ = self.frames.send(Err(Status::aborted(reason))).await;
            }
            RunError::UpstreamCrashed(incarnation) => {
                info!(
                    "request attempt={} decision=break reason=upstream-ended start={incarnation}",
                    self.attempt
                );
                let _ = self.send(Part::Ended(proto::UpstreamEnd { start: incarnation.0 })).await;
            }
            RunError::EntryGone => {
                info!("request attempt={} decision=cancel reason=entry-gone", self.attempt);
            }
        }
    }
}

/// The weights from which an engine says it made its answer.
fn weights_of(headers: &HeaderMap) -> Option<ManifestDigest> {
    headers.get(WEIGHTS_HEADER)?.to_str().ok()?.parse().ok()
}

fn refusal_message(refusal: AttemptRefusal, reason: &str) -> proto::Refusal {
    proto::Refusal {
        code: u32::from(refusal.code.number()),
        reason: reason.to_owned(),
        retry_after_ms: refusal.retry_after.0,
        serving: refusal.serving.into_iter().map(digest_bytes).collect(),
    }
}

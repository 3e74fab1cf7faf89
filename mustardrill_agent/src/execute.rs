//! One request at the agent: verdict, upstream, frames back to the entry.

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
use mustardrill_runtime::http::CallError;
use mustardrill_runtime::wire::{attempt_bytes, attempt_of, digest_bytes, digest_of};
use mustardrill_types::{AttemptId, ManifestDigest, Millis, ResultCode, StartStamp};
use tokio::sync::{mpsc, oneshot};
use tonic::Status;

use crate::actor::{Admit, AgentActor, Event, Verdict};
use crate::context::AgentContext;
use crate::upstream::{EXPECT_HEADER, PRIORITY_HEADER, RESUME_HEADER, WEIGHTS_HEADER};

/// How many frames may wait for a slow entry.
const FRAME_BUFFER: usize = 16;

/// The status with which an engine refuses weights other than those it serves; nothing was run.
const WEIGHTS_REFUSED: u16 = 412;

/// Frames of one attempt's answer.
type FrameSender = mpsc::Sender<Result<proto::ExecuteFrame, Status>>;

/// Starts a request; its frames come through the receiver.
pub(crate) fn spawn(
    actor: ActorRef<AgentActor>,
    context: Arc<AgentContext>,
    request: proto::ExecuteRequest,
) -> mpsc::Receiver<Result<proto::ExecuteFrame, Status>> {
    let (sender, receiver) = mpsc::channel(FRAME_BUFFER);
    tokio::spawn(async move {
        let Some(attempt) = attempt_of(&request.attempt) else {
            let _ = sender.send(Err(Status::invalid_argument("attempt"))).await;
            return;
        };
        let run =
            Run { actor, context, attempt, frames: sender, pinned: digest_of(&request.manifest) };
        run.run(request).await;
    });
    receiver
}

struct Run {
    actor: ActorRef<AgentActor>,
    context: Arc<AgentContext>,
    attempt: AttemptId,
    frames: FrameSender,
    pinned: Option<ManifestDigest>,
}

/// Why an attempt did not end with a whole answer.
enum RunError {
    /// It was not run.
    NotRun(AttemptRefusal),
    /// It may have run; the stream ends with an error.
    Broken(Box<str>),
    /// The upstream ended while it had the attempt.
    UpstreamEnded(StartStamp),
    /// It was answered from other weights than those pinned.
    WrongWeights,
    /// The entry is gone.
    EntryGone,
}

impl RunError {
    fn not_run(code: ResultCode, retry_after: Millis) -> Self {
        Self::NotRun(AttemptRefusal::new(code, retry_after))
    }
}

impl Run {
    async fn run(self, request: proto::ExecuteRequest) {
        let (end_event, ended) = match self.verdict(&request).await {
            Ok(()) => {
                let answered = tokio::select! {
                    answered = self.answer(request) => answered,
                    // Dropping the answer closes the connection to the upstream, which cancels it.
                    () = self.frames.closed() => Err(RunError::EntryGone),
                };
                (AgentEvent::RequestFinished(self.attempt), answered)
            }
            Err(RunError::EntryGone) => {
                (AgentEvent::RequestWithdrawn(self.attempt), Err(RunError::EntryGone))
            }
            // The reducer refused it and has nothing of it any more.
            Err(other) => return self.end_with(other).await,
        };
        let _ = self.actor.tell(Event(end_event)).await;
        if let Err(error) = ended {
            self.end_with(error).await;
        }
    }

    async fn verdict(&self, request: &proto::ExecuteRequest) -> Result<(), RunError> {
        let now = self.context.clock.now();
        // The deadline on this agent's own clock holds however long the entry was paused.
        if request.agent_deadline_ms > 0 && now.0 >= request.agent_deadline_ms {
            return Err(RunError::not_run(ResultCode::DeadlinePassed, Millis(0)));
        }
        let (sender, receiver) = oneshot::channel();
        let admit = Admit {
            attempt: self.attempt,
            class: RequestClass::from_rank(request.priority as usize),
            pinned: self.pinned,
            deadline: now + Millis(request.remaining_ms),
            verdict: sender,
        };
        let _ = self.actor.tell(admit).await;
        let verdict = tokio::select! {
            verdict = receiver => verdict,
            () = self.frames.closed() => return Err(RunError::EntryGone),
        };
        match verdict {
            Ok(Verdict::Run) => Ok(()),
            Ok(Verdict::Refuse(refusal)) => Err(RunError::NotRun(refusal)),
            Err(_) => Err(RunError::not_run(ResultCode::Leaving, Millis(1))),
        }
    }

    async fn answer(&self, request: proto::ExecuteRequest) -> Result<(), RunError> {
        let resume_from = request.resume_from;
        let sent = self.upstream_request(request)?;
        let answer = match self.context.upstream.run(sent).await {
            Ok(answer) => answer,
            Err(CallError::NotSent { .. }) => {
                return Err(RunError::not_run(ResultCode::NoUpstream, Millis(100)));
            }
            Err(other) => return Err(self.broken(other).await),
        };
        if self.pinned.is_some() && answer.status().as_u16() == WEIGHTS_REFUSED {
            let serving = named_weights(answer.headers()).into_iter().collect();
            return Err(RunError::NotRun(AttemptRefusal::other_weights(Millis(1), serving)));
        }
        self.check_weights(answer.headers())?;
        self.head(&answer).await?;
        self.body(answer, resume_from).await
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
            builder = builder.header(EXPECT_HEADER, digest.to_string());
        }
        if request.resume_from > 0 {
            builder = builder.header(RESUME_HEADER, request.resume_from);
        }
        let built = builder.body(Full::new(request.body));
        built.map_err(|_| RunError::not_run(ResultCode::BadRequest, Millis(0)))
    }

    /// An answer that does not name the pinned weights never leaves this process.
    fn check_weights(&self, headers: &HeaderMap) -> Result<(), RunError> {
        let Some(pinned) = self.pinned else { return Ok(()) };
        if named_weights(headers) == Some(pinned) { Ok(()) } else { Err(RunError::WrongWeights) }
    }

    async fn head(&self, answer: &Response<Incoming>) -> Result<(), RunError> {
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

    async fn body(&self, answer: Response<Incoming>, resume_from: u64) -> Result<(), RunError> {
        let mut body = answer.into_body();
        let mut hasher = blake3::Hasher::new();
        let mut length = resume_from;
        while let Some(frame) = body.frame().await {
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => return Err(self.broken(error).await),
            };
            let Ok(data) = frame.into_data() else { continue };
            hasher.update(&data);
            length += data.len() as u64;
            self.send(Part::Data(data)).await?;
        }
        let digest = Bytes::copy_from_slice(hasher.finalize().as_bytes());
        self.send(Part::End(proto::ExecuteEnd { length, digest })).await
    }

    /// Tells an upstream that has ended, perhaps by this very attempt, from a broken connection.
    async fn broken(&self, error: impl std::fmt::Display) -> RunError {
        if !self.context.upstream.has_ended().await {
            return RunError::Broken(error.to_string().into());
        }
        let now = self.context.clock.now();
        let mut starts = self.context.starts.lock().expect("no holder panics");
        RunError::UpstreamEnded(starts.ended(now))
    }

    async fn send(&self, part: Part) -> Result<(), RunError> {
        let attempt = attempt_bytes(self.attempt);
        let frame = proto::ExecuteFrame { attempt, part: Some(part) };
        self.frames.send(Ok(frame)).await.map_err(|_| RunError::EntryGone)
    }

    async fn end_with(&self, error: RunError) {
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
            RunError::UpstreamEnded(start) => {
                info!(
                    "request attempt={} decision=break reason=upstream-ended start={start}",
                    self.attempt
                );
                let _ = self.send(Part::Ended(proto::UpstreamEnd { start: start.0 })).await;
            }
            RunError::EntryGone => {
                info!("request attempt={} decision=cancel reason=entry-gone", self.attempt);
            }
        }
    }
}

/// The weights that an engine's answer names.
fn named_weights(headers: &HeaderMap) -> Option<ManifestDigest> {
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

//! Runs one attempt: sends a request to an agent and forwards the answer to the caller.

use std::error::Error;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cadence::Counted;
use mustardrill_core::entry::{AttemptEnd, SendOrder};
use mustardrill_core::refusal::AttemptRefusal;
use mustardrill_proto as proto;
use mustardrill_proto::execute_frame::Part;
use mustardrill_runtime::agents::NOT_RUN_METADATA;
use mustardrill_runtime::body_memory::BodyReservation;
use mustardrill_runtime::client_connections::ClientConnection;
use mustardrill_runtime::final_status::FinalStatus;
use mustardrill_runtime::wire::{attempt_bytes, digest_bytes, digest_of};
use mustardrill_types::{ByteSize, Millis, Moment, ResultCode, StartStamp};
use tokio::sync::mpsc;
use tonic::Status;

use crate::context::EntryContext;

/// When to retry a request for which its agent had no memory: some requests have ended by then.
const MEMORY_RETRY: Millis = Millis(500);

/// One part of the answer to a caller.
#[derive(Debug)]
pub(crate) enum CallerPart {
    /// Status and headers, followed by the first bytes.
    Head(AnswerHead),
    /// Bytes of the answer.
    Data(Bytes),
    /// The answer is complete.
    End,
    /// There is no answer; if the head was sent already, the answer is cut.
    Reject(ResultCode, Millis),
}

/// The head of an answer.
#[derive(Debug)]
pub(crate) struct AnswerHead {
    pub(crate) status: FinalStatus,
    pub(crate) headers: Vec<proto::Header>,
}

/// A request's content, with the channel to its caller.
#[derive(Debug)]
pub(crate) struct RequestIo {
    pub(crate) model: Box<str>,
    pub(crate) method: Box<str>,
    pub(crate) path: Box<str>,
    pub(crate) headers: Vec<proto::Header>,
    pub(crate) body: Bytes,
    /// Held for as long as the body is.
    pub(crate) _body_reservation: BodyReservation,
    /// The caller's connection, for which the memory of the answer is reserved.
    pub(crate) client: ClientConnection,
    pub(crate) is_idempotent: bool,
    pub(crate) deadline: Moment,
    /// Parts for the caller, whose bytes are in reserved memory. They don't wait for a slow caller
    /// here: its attempt would hold up all others on the same connection to the agent.
    pub(crate) parts: mpsc::UnboundedSender<CallerPart>,
    /// Bytes of the answer's body sent to the caller.
    pub(crate) delivered: AtomicU64,
}

/// How an attempt ended that has no complete answer.
struct AttemptFailure(AttemptEnd);

impl RequestIo {
    /// Answers the caller that there is no answer.
    pub(crate) fn reject(&self, code: ResultCode, retry_after: Millis) {
        // A send fails if the caller is gone, which `CallerGuard` reports to the reducer.
        let _ = self.parts.send(CallerPart::Reject(code, retry_after));
    }

    pub(crate) fn delivered(&self) -> u64 {
        self.delivered.load(Ordering::Acquire)
    }
}

/// Runs one attempt to its end; returns how it ended and the bytes delivered to the caller.
pub(crate) async fn run(
    context: &EntryContext,
    io: &RequestIo,
    order: &SendOrder,
) -> (AttemptEnd, u64) {
    let _ = context.metrics.count("attempts", 1);
    let end = match stream(context, io, order).await {
        Ok(()) => AttemptEnd::Complete,
        Err(AttemptFailure(end)) => end,
    };
    (end, io.delivered())
}

async fn stream(
    context: &EntryContext,
    io: &RequestIo,
    order: &SendOrder,
) -> Result<(), AttemptFailure> {
    let Some(mut client) = context.agents.client(&order.address) else {
        return Err(AttemptFailure(AttemptEnd::NotSent));
    };
    let request = execute_request(context, io, order);
    let answer =
        client.execute(request).await.map_err(|status| AttemptFailure(end_of_status(&status)))?;
    let mut frames = answer.into_inner();
    let mut head = None;
    let mut hasher = blake3::Hasher::new();
    loop {
        let frame =
            frames.message().await.map_err(|status| AttemptFailure(end_of_status(&status)))?;
        // A stream that ends without an end frame was cut off.
        let Some(frame) = frame else { return Err(AttemptFailure(AttemptEnd::Lost)) };
        if frame.attempt != attempt_bytes(order.attempt) {
            let _ = context.metrics.count("late_frames", 1);
            continue;
        }
        match frame.part {
            Some(Part::Head(found)) => head = Some(read_head(io, found)?),
            Some(Part::Data(data)) => {
                hasher.update(&data);
                deliver_head(io, head.take())?;
                let length = data.len() as u64;
                let data = reserve(io, data).await?;
                deliver(io, CallerPart::Data(data))?;
                io.delivered.fetch_add(length, Ordering::AcqRel);
            }
            Some(Part::End(end)) => {
                let is_whole =
                    end.length == io.delivered() && end.digest == hasher.finalize().as_bytes()[..];
                if !is_whole {
                    return Err(AttemptFailure(AttemptEnd::Lost));
                }
                deliver_head(io, head.take())?;
                deliver(io, CallerPart::End)?;
                read_stream_end(&mut frames).await;
                return Ok(());
            }
            Some(Part::Refusal(refusal)) => {
                read_stream_end(&mut frames).await;
                return Err(AttemptFailure(end_of_refusal(&refusal)));
            }
            Some(Part::Ended(end)) => {
                read_stream_end(&mut frames).await;
                return Err(AttemptFailure(AttemptEnd::UpstreamCrashed(StartStamp(end.start))));
            }
            None => {}
        }
    }
}

/// Reads the end of the stream, which follows the last frame.
///
/// Dropping the stream before its end resets it, and HTTP/2 servers treat many resets as an attack:
/// they close the connection, and with it all other attempts on it.
async fn read_stream_end(frames: &mut tonic::Streaming<proto::ExecuteFrame>) {
    const END_TIMEOUT: Duration = Duration::from_secs(1);
    let _ = tokio::time::timeout(END_TIMEOUT, frames.message()).await;
}

/// Reads the head that an agent passed on; an answer without a final status is none.
fn read_head(io: &RequestIo, head: proto::ExecuteHead) -> Result<AnswerHead, AttemptFailure> {
    let status = FinalStatus::try_from(head.status).map_err(|error| {
        log::warn!("request path={} outcome=lost reason=\"{error}\"", io.path);
        AttemptFailure(AttemptEnd::Lost)
    })?;
    Ok(AnswerHead { status, headers: head.headers })
}

/// Sends the head of an answer. It goes out only with the first bytes, so that another upstream may
/// answer until then. The head of a resumed answer was sent by the first attempt.
fn deliver_head(io: &RequestIo, head: Option<AnswerHead>) -> Result<(), AttemptFailure> {
    match head {
        Some(head) if io.delivered() == 0 => deliver(io, CallerPart::Head(head)),
        _ => Ok(()),
    }
}

/// Moves bytes of the answer into memory that is reserved for the caller's connection.
async fn reserve(io: &RequestIo, data: Bytes) -> Result<Bytes, AttemptFailure> {
    let reservation = io.client.reserve_answer(ByteSize(data.len() as u64)).await;
    let reservation = reservation.map_err(|error| {
        log::warn!("request path={} outcome=cut reason=\"{error}\"", io.path);
        AttemptFailure(AttemptEnd::Lost)
    })?;
    // A part that shares its memory with others would hold all of it.
    Ok(reservation.attach(Bytes::copy_from_slice(&data)))
}

fn deliver(io: &RequestIo, part: CallerPart) -> Result<(), AttemptFailure> {
    // A send fails if the caller is gone, which `CallerGuard` reports to the reducer.
    io.parts.send(part).map_err(|_| AttemptFailure(AttemptEnd::Lost))
}

fn execute_request(
    context: &EntryContext,
    io: &RequestIo,
    order: &SendOrder,
) -> proto::ExecuteRequest {
    let now = context.clock.now();
    let agent_now = context.agent_clocks.agent_ms_at(now, &order.instance);
    let remaining = io.deadline.since(now);
    let agent_deadline = if agent_now == 0 { 0 } else { agent_now + remaining.0 };
    proto::ExecuteRequest {
        attempt: attempt_bytes(order.attempt),
        model: io.model.to_string(),
        manifest: order.pinned.map(digest_bytes).unwrap_or_default(),
        priority: order.class.rank() as u32,
        remaining_ms: remaining.0.min(order.remaining.0),
        idempotent: io.is_idempotent,
        method: io.method.to_string(),
        path: io.path.to_string(),
        headers: io.headers.clone(),
        body: io.body.clone(),
        resume_from: order.resume_from,
        agent_deadline_ms: agent_deadline,
    }
}

fn end_of_refusal(refusal: &proto::Refusal) -> AttemptEnd {
    let code = u16::try_from(refusal.code).ok().and_then(ResultCode::from_number);
    match code {
        Some(ResultCode::WrongWeights) => AttemptEnd::WrongWeights,
        // The agent received this very attempt before, and may have run it.
        Some(ResultCode::AlreadyClaimed) => AttemptEnd::Lost,
        Some(code) if code.is_not_run() => {
            let serving = refusal.serving.iter().filter_map(|bytes| digest_of(bytes)).collect();
            let retry_after = Millis(refusal.retry_after_ms);
            AttemptEnd::Refused(AttemptRefusal { code, retry_after, serving })
        }
        _ => AttemptEnd::Lost,
    }
}

/// Classifies a failed call. Only a connect error proves that nothing was sent, and only the agent's
/// word that nothing was run.
fn end_of_status(status: &Status) -> AttemptEnd {
    if status.metadata().contains_key(NOT_RUN_METADATA) {
        let refusal = AttemptRefusal::new(ResultCode::Overloaded, MEMORY_RETRY);
        return AttemptEnd::Refused(refusal);
    }
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return AttemptEnd::NotSent;
        }
        source = error.source();
    }
    AttemptEnd::Lost
}

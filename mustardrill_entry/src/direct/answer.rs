//! The answer to a caller, passed in parts from the request's task to the caller's connection.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use mustardrill_core::direct::RefusalPlan;
use mustardrill_runtime::adapters::CallDialect;
use mustardrill_runtime::headers::copy_end_to_end;
use mustardrill_runtime::http::{AnyBody, AnyResponse, TruncatedBodyError, buffered_body};
use mustardrill_types::{Millis, ResultCode};
use tokio::sync::mpsc;

/// Parts buffered for a slow caller before the request's task waits.
pub(crate) const PART_BUFFER: usize = 4;

/// One part of the answer to a caller.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// An upstream's complete answer.
    Complete(StatusCode, HeaderMap, Bytes),
    /// The head of an answer that is streamed.
    Head(StatusCode, HeaderMap),
    /// Complete events of the stream.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// There is no answer; if the head was sent already, the stream is cut.
    Refused(RefusalPlan),
}

/// Builds the response from the parts of one answer; returns it with the result code known when its
/// head is sent.
pub(crate) async fn respond(
    mut parts: mpsc::Receiver<AnswerPart>,
    dialect: &dyn CallDialect,
) -> (ResultCode, AnyResponse) {
    let part = parts.recv().await;
    let code = match &part {
        Some(AnswerPart::Refused(plan)) => plan.code,
        Some(_) => ResultCode::Answered,
        None => TASK_ENDED_REFUSAL.code,
    };
    let response = match part {
        Some(AnswerPart::Complete(status, headers, bytes)) => {
            forwarded_response(status, &headers, buffered_body(bytes))
        }
        Some(AnswerPart::Head(status, headers)) => {
            forwarded_response(status, &headers, event_body(parts))
        }
        Some(AnswerPart::Refused(plan)) => refusal_response(&plan, dialect),
        _ => refusal_response(&TASK_ENDED_REFUSAL, dialect),
    };
    (code, response)
}

/// Refusal of a request whose task ended without sending any part, which happens at process exit.
const TASK_ENDED_REFUSAL: RefusalPlan =
    RefusalPlan { code: ResultCode::Unknown, retry_after: Millis(0) };

/// Refusal of a request that has not run and would not end before the process does. Its caller may
/// try another entry at once.
pub(crate) const LEAVING_REFUSAL: RefusalPlan =
    RefusalPlan { code: ResultCode::Leaving, retry_after: Millis(1) };

/// Builds the response of a refusal: its code, whether the request ran, and when to retry.
pub(crate) fn refusal_response(plan: &RefusalPlan, dialect: &dyn CallDialect) -> AnyResponse {
    let (status, headers) = dialect.write_refusal(plan.code, plan.retry_after);
    let body = serde_json::json!({
        "code": plan.code.number(),
        "name": format!("{:?}", plan.code),
        "run": plan.code.run_label(),
    });
    let mut response = Response::new(buffered_body(body.to_string()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn forwarded_response(status: StatusCode, headers: &HeaderMap, body: AnyBody) -> AnyResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    copy_end_to_end(headers, response.headers_mut());
    // hyper sets the length of a complete body. A stream may be longer than its first upstream
    // said, if another upstream resumes it.
    response.headers_mut().remove(CONTENT_LENGTH);
    response
}

/// Streams the events as they arrive. A stream that is cut ends with an error, which the caller's
/// HTTP library reports.
fn event_body(parts: mpsc::Receiver<AnswerPart>) -> AnyBody {
    let frames = stream::unfold(Some(parts), |parts| async move {
        let mut parts = parts?;
        match parts.recv().await {
            Some(AnswerPart::Events(bytes)) => Some((Ok(Frame::data(bytes)), Some(parts))),
            Some(AnswerPart::End) => None,
            _ => Some((Err(TruncatedBodyError), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

//! What a caller gets, as parts from the request's task to its connection.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use mustardrill_core::direct::RefusalPlan;
use mustardrill_runtime::border::CallDialect;
use mustardrill_runtime::headers::copy_end_to_end;
use mustardrill_runtime::http::{AnyBody, AnyResponse, CutError, whole_body};
use mustardrill_types::{Millis, ResultCode};
use tokio::sync::mpsc;

/// Parts that may wait for a slow caller.
pub(crate) const PART_BUFFER: usize = 4;

/// One part of what a caller gets.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// An upstream's whole answer.
    Whole(StatusCode, HeaderMap, Bytes),
    /// The head of an upstream's stream.
    Head(StatusCode, HeaderMap),
    /// Whole events of it.
    Events(Bytes),
    /// The stream is whole.
    End,
    /// There is no answer; after a head the stream is cut.
    Refused(RefusalPlan),
}

/// The response for the parts of one answer, and the result code that it has so far.
pub(crate) async fn respond(
    mut parts: mpsc::Receiver<AnswerPart>,
    dialect: &dyn CallDialect,
) -> (ResultCode, AnyResponse) {
    let part = parts.recv().await;
    let code = match &part {
        Some(AnswerPart::Refused(plan)) => plan.code,
        Some(_) => ResultCode::Answered,
        None => ENDED.code,
    };
    let response = match part {
        Some(AnswerPart::Whole(status, headers, bytes)) => {
            passed_on(status, &headers, whole_body(bytes))
        }
        Some(AnswerPart::Head(status, headers)) => passed_on(status, &headers, events(parts)),
        Some(AnswerPart::Refused(plan)) => refusal(&plan, dialect),
        _ => refusal(&ENDED, dialect),
    };
    (code, response)
}

/// What a request is told whose task ended without a word, as the process ends.
const ENDED: RefusalPlan = RefusalPlan { code: ResultCode::Unknown, retry_after: Millis(0) };

/// A response that says that there is no answer, whether the request ran, and when to come back.
pub(crate) fn refusal(plan: &RefusalPlan, dialect: &dyn CallDialect) -> AnyResponse {
    let (status, headers) = dialect.write_refusal(plan.code, plan.retry_after);
    let body = serde_json::json!({
        "code": plan.code.number(),
        "name": format!("{:?}", plan.code),
        "run": plan.code.run_label(),
    });
    let mut response = Response::new(whole_body(body.to_string()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn passed_on(status: StatusCode, headers: &HeaderMap, body: AnyBody) -> AnyResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    copy_end_to_end(headers, response.headers_mut());
    // The length is set anew where the body is whole; a stream may be longer than its first
    // upstream said, when another one goes on.
    response.headers_mut().remove(CONTENT_LENGTH);
    response
}

/// The events as they come; a cut is an error that the caller's HTTP library sees.
fn events(parts: mpsc::Receiver<AnswerPart>) -> AnyBody {
    let frames = stream::unfold(Some(parts), |parts| async move {
        let mut parts = parts?;
        match parts.recv().await {
            Some(AnswerPart::Events(bytes)) => Some((Ok(Frame::data(bytes)), Some(parts))),
            Some(AnswerPart::End) => None,
            _ => Some((Err(CutError), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

//! The operators' side: the catalogue, edits and the status over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode, Uri};
use kameo::prelude::*;
use mustardrill_core::catalogue::{format_document, parse_drafts};
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::edit::{EditChange, EditRequest, MAX_DOCUMENT_BYTES, differences};
use mustardrill_core::rule::{EditRefusal, EditRule};
use mustardrill_core::session::EditOutcome;
use mustardrill_runtime::http::{AnyResponse, HttpHandler, json_response, query, text_response};
use mustardrill_runtime::platform::KeyValueError;
use mustardrill_types::{EditId, ResultCode};
use serde_json::{Value, json};

use crate::actor::{DocumentQuery, EntryActor, StatusQuery};
use crate::callers::bearer;
use crate::context::EntryContext;
use crate::editor::CatalogueEditor;

/// Answers operators.
pub(crate) struct OperatorHandler {
    inner: OperatorSide,
}

#[derive(Clone)]
struct OperatorSide {
    actor: ActorRef<EntryActor>,
    context: Arc<EntryContext>,
    editor: CatalogueEditor,
}

impl OperatorHandler {
    pub(crate) fn new(actor: ActorRef<EntryActor>, context: Arc<EntryContext>) -> Self {
        let editor = CatalogueEditor { actor: actor.clone(), context: context.clone() };
        Self { inner: OperatorSide { actor, context, editor } }
    }
}

impl HttpHandler for OperatorHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let side = self.inner.clone();
        Box::pin(async move { side.answer(request).await })
    }
}

impl OperatorSide {
    async fn answer(self, request: Request<Incoming>) -> AnyResponse {
        let operator = bearer(request.headers()).and_then(|it| self.context.access.operator(it));
        let Some(operator) = operator.map(Box::<str>::from) else {
            let message = "send authorization: Bearer TOKEN with an operator's token";
            return coded(ResultCode::OperatorRefused, json!({ "message": message }));
        };
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_DOCUMENT_BYTES).collect().await;
        let Ok(body) = body.map(http_body_util::Collected::to_bytes) else {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "the file is too large\n");
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        let path = head.uri.path();
        match (&head.method, path) {
            (&Method::GET, "/v1/catalogue") => self.show(&head.uri).await,
            (&Method::GET, "/v1/catalogue/history") => self.history().await,
            (&Method::GET, "/v1/status") => self.status().await,
            (&Method::POST, "/v1/catalogue/check") => self.check(operator, &head.uri, &text).await,
            (&Method::POST, "/v1/catalogue/edits") => self.apply(operator, &head.uri, &text).await,
            (&Method::POST, "/v1/catalogue/undo") => self.undo(operator, &head.uri).await,
            (&Method::GET, path) if path.starts_with("/v1/catalogue/edits/") => {
                self.settle(path.trim_start_matches("/v1/catalogue/edits/")).await
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such call; see docs/OPERATORS.md\n"),
        }
    }

    /// Prints the newest catalogue; during an outage the one in force here, and says so.
    async fn show(&self, uri: &Uri) -> AnyResponse {
        let (document, is_newest) = match self.editor.read().await {
            Ok((document, _)) => (document, true),
            Err(_) => match self.actor.ask(DocumentQuery).await {
                Ok(document) => ((*document).clone(), false),
                Err(_) => return text_response(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
            },
        };
        if query(uri, "json") == Some("1") {
            let body = json!({ "newest": is_newest, "catalogue": document });
            return json_response(StatusCode::OK, &body);
        }
        let note = "; the key-value service does not answer: this is what is in force here\n";
        let note = if is_newest { "" } else { note };
        text_response(StatusCode::OK, format!("{note}{}", format_document(&document)))
    }

    async fn history(&self) -> AnyResponse {
        match self.editor.read().await {
            Ok((document, _)) => json_response(StatusCode::OK, &history_of(&document)),
            Err(error) => unavailable(&error),
        }
    }

    async fn status(&self) -> AnyResponse {
        match self.actor.ask(StatusQuery).await {
            Ok(status) => json_response(StatusCode::OK, &status),
            Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
        }
    }

    async fn check(&self, operator: Box<str>, uri: &Uri, text: &str) -> AnyResponse {
        let request = match request_of(operator, uri, text) {
            Ok(request) => request,
            Err(refusals) => return refused(&refusals),
        };
        match self.editor.check(&request).await {
            Ok(Ok((document, next))) => {
                let changes = changes_between(&document, &next);
                coded(ResultCode::EditAccepted, json!({ "would": "accept", "changes": changes }))
            }
            Ok(Err(refusals)) => refused(&refusals),
            Err(error) => unavailable(&error),
        }
    }

    async fn apply(&self, operator: Box<str>, uri: &Uri, text: &str) -> AnyResponse {
        match request_of(operator, uri, text) {
            Ok(request) => self.make(request).await,
            Err(refusals) => refused(&refusals),
        }
    }

    async fn undo(&self, operator: Box<str>, uri: &Uri) -> AnyResponse {
        let undone = query(uri, "edit").and_then(|text| text.parse().ok());
        let Some(undone) = undone else {
            return text_response(StatusCode::BAD_REQUEST, "name the edit: ?edit=ID\n");
        };
        let change = EditChange::Undo(undone);
        self.make(EditRequest { id: edit_id(uri), operator, change }).await
    }

    async fn settle(&self, id: &str) -> AnyResponse {
        match id.parse() {
            Ok(id) => outcome_response(id, &self.editor.settle(id).await),
            Err(_) => text_response(StatusCode::BAD_REQUEST, "an edit id has hex digits only\n"),
        }
    }

    async fn make(&self, request: EditRequest) -> AnyResponse {
        // The edit goes on when the operator's connection breaks; the id settles it later.
        let (editor, id) = (self.editor.clone(), request.id);
        let making = tokio::spawn(async move { editor.apply(request).await });
        outcome_response(id, &making.await.unwrap_or(EditOutcome::NotYetKnown))
    }
}

fn request_of(operator: Box<str>, uri: &Uri, text: &str) -> Result<EditRequest, Vec<EditRefusal>> {
    let file = query(uri, "file").unwrap_or("file");
    let change = EditChange::Drafts(parse_drafts(file, text)?);
    Ok(EditRequest { id: edit_id(uri), operator, change })
}

/// The id that the operator chose, so that a retry is known as one; else one of our own.
fn edit_id(uri: &Uri) -> EditId {
    let named = query(uri, "id").and_then(|text| text.parse().ok());
    named.unwrap_or_else(|| EditId(rand::random()))
}

fn outcome_response(id: EditId, outcome: &EditOutcome) -> AnyResponse {
    match outcome {
        EditOutcome::Accepted(generation) => coded(
            ResultCode::EditAccepted,
            json!({ "edit": id.to_string(), "generation": generation }),
        ),
        EditOutcome::Refused(refusals) => refused(refusals),
        EditOutcome::Unavailable => {
            let message = "the key-value service does not answer; nothing was written, try again";
            coded(ResultCode::EditRefused, json!({ "edit": id.to_string(), "message": message }))
        }
        EditOutcome::NotYetKnown => {
            let message = "it may or may not be written: ask again with `catalogue settle EDIT`, or apply it again with the same id";
            coded(ResultCode::EditUnknown, json!({ "edit": id.to_string(), "message": message }))
        }
    }
}

fn refused(refusals: &[EditRefusal]) -> AnyResponse {
    let rows: Vec<_> = refusals.iter().map(refusal_row).collect();
    coded(ResultCode::EditRefused, json!({ "refusals": rows }))
}

fn refusal_row(refusal: &EditRefusal) -> Value {
    let rule: EditRule = refusal.rule;
    json!({
        "entry": refusal.entry,
        "line": refusal.line,
        "rule": rule.number(),
        "name": rule.to_string(),
        "message": refusal.message,
        "remedy": rule.remedy(),
    })
}

fn unavailable(error: &KeyValueError) -> AnyResponse {
    let message = format!("{error}; try again");
    json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({ "message": message }))
}

fn coded(code: ResultCode, mut body: Value) -> AnyResponse {
    body["code"] = code.number().into();
    body["outcome"] = match code {
        ResultCode::EditAccepted => "accepted",
        ResultCode::EditUnknown => "not-yet-known",
        _ => "refused",
    }
    .into();
    let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
    json_response(status, &body)
}

fn history_of(document: &CatalogueDocument) -> Vec<Value> {
    let rows = document.edits.iter().rev().map(|record| {
        let changes: Vec<_> = record
            .changes
            .iter()
            .map(|change| match (&change.before, &change.after) {
                (Some(before), Some(after)) => json!({ "entry": change.name, "changes": differences(before, after) }),
                (None, _) => json!({ "entry": change.name, "changes": ["added"] }),
                (_, None) => json!({ "entry": change.name, "changes": ["removed"] }),
            })
            .collect();
        json!({ "edit": record.id.to_string(), "generation": record.generation, "operator": record.operator, "entries": changes })
    });
    rows.collect()
}

fn changes_between(document: &CatalogueDocument, next: &CatalogueDocument) -> Vec<Value> {
    let newest = CatalogueDocument {
        generation: next.generation,
        entries: document.entries.clone(),
        edits: next.edits.last().cloned().into_iter().collect(),
    };
    history_of(&newest)
}

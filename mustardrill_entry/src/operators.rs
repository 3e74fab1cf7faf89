//! Serves operators over HTTP: the catalogue, edits and the status.

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
use mustardrill_runtime::http::{
    AnyResponse, HttpHandler, json_response, query_parameter, text_response,
};
use mustardrill_runtime::platform::KeyValueError;
use mustardrill_types::{EditId, ResultCode};
use serde_json::{Value, json};

use crate::actor::{DocumentQuery, EntryActor, StatusQuery};
use crate::callers::bearer;
use crate::context::EntryContext;
use crate::editor::CatalogueEditor;

/// Answers operators' requests.
pub(crate) struct OperatorHandler {
    service: OperatorService,
}

#[derive(Clone)]
struct OperatorService {
    actor: ActorRef<EntryActor>,
    context: Arc<EntryContext>,
    editor: CatalogueEditor,
}

impl OperatorHandler {
    pub(crate) fn new(actor: ActorRef<EntryActor>, context: Arc<EntryContext>) -> Self {
        let editor = CatalogueEditor { actor: actor.clone(), context: context.clone() };
        Self { service: OperatorService { actor, context, editor } }
    }
}

impl HttpHandler for OperatorHandler {
    fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let service = self.service.clone();
        Box::pin(async move { service.answer(request).await })
    }
}

impl OperatorService {
    async fn answer(self, request: Request<Incoming>) -> AnyResponse {
        let operator = bearer(request.headers()).and_then(|it| self.context.access.operator(it));
        let Some(operator) = operator.map(Box::<str>::from) else {
            let message = "send authorization: Bearer TOKEN with an operator's token";
            return coded_response(ResultCode::OperatorRefused, json!({ "message": message }));
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

    /// Returns the newest catalogue; if the key-value service does not answer, the one in force at
    /// this entry, marked as such.
    async fn show(&self, uri: &Uri) -> AnyResponse {
        let (document, is_newest) = match self.editor.read().await {
            Ok((document, _)) => (document, true),
            Err(_) => match self.actor.ask(DocumentQuery).await {
                Ok(document) => ((*document).clone(), false),
                Err(_) => return text_response(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
            },
        };
        if query_parameter(uri, "json") == Some("1") {
            let body = json!({ "newest": is_newest, "catalogue": document });
            return json_response(StatusCode::OK, &body);
        }
        let note = "; the key-value service does not answer: this is what is in force here\n";
        let note = if is_newest { "" } else { note };
        text_response(StatusCode::OK, format!("{note}{}", format_document(&document)))
    }

    async fn history(&self) -> AnyResponse {
        match self.editor.read().await {
            Ok((document, _)) => json_response(StatusCode::OK, &history_rows(&document)),
            Err(error) => unavailable_response(&error),
        }
    }

    async fn status(&self) -> AnyResponse {
        match self.actor.ask(StatusQuery).await {
            Ok(status) => json_response(StatusCode::OK, &status),
            Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
        }
    }

    async fn check(&self, operator: Box<str>, uri: &Uri, text: &str) -> AnyResponse {
        let request = match parse_edit(operator, uri, text) {
            Ok(request) => request,
            Err(refusals) => return refused_response(&refusals),
        };
        match self.editor.check(&request).await {
            Ok(Ok((document, next))) => {
                let changes = changes_between(&document, &next);
                coded_response(
                    ResultCode::EditAccepted,
                    json!({ "would": "accept", "changes": changes }),
                )
            }
            Ok(Err(refusals)) => refused_response(&refusals),
            Err(error) => unavailable_response(&error),
        }
    }

    async fn apply(&self, operator: Box<str>, uri: &Uri, text: &str) -> AnyResponse {
        match parse_edit(operator, uri, text) {
            Ok(request) => self.make_edit(request).await,
            Err(refusals) => refused_response(&refusals),
        }
    }

    async fn undo(&self, operator: Box<str>, uri: &Uri) -> AnyResponse {
        let undone = query_parameter(uri, "edit").and_then(|text| text.parse().ok());
        let Some(undone) = undone else {
            return text_response(StatusCode::BAD_REQUEST, "name the edit: ?edit=ID\n");
        };
        let change = EditChange::Undo(undone);
        self.make_edit(EditRequest { id: edit_id(uri), operator, change }).await
    }

    async fn settle(&self, id: &str) -> AnyResponse {
        match id.parse() {
            Ok(id) => outcome_response(id, &self.editor.settle(id).await),
            Err(_) => text_response(StatusCode::BAD_REQUEST, "an edit id has hex digits only\n"),
        }
    }

    async fn make_edit(&self, request: EditRequest) -> AnyResponse {
        // In a task of its own, so that the edit goes on if the operator's connection breaks. Its
        // outcome can be looked up later by its id.
        let (editor, id) = (self.editor.clone(), request.id);
        let edit_task = tokio::spawn(async move { editor.apply(request).await });
        outcome_response(id, &edit_task.await.unwrap_or(EditOutcome::NotYetKnown))
    }
}

fn parse_edit(operator: Box<str>, uri: &Uri, text: &str) -> Result<EditRequest, Vec<EditRefusal>> {
    let file = query_parameter(uri, "file").unwrap_or("file");
    let change = EditChange::Drafts(parse_drafts(file, text)?);
    Ok(EditRequest { id: edit_id(uri), operator, change })
}

/// The edit id that the operator chose, by which a retry is recognised, or a random one.
fn edit_id(uri: &Uri) -> EditId {
    let chosen = query_parameter(uri, "id").and_then(|text| text.parse().ok());
    chosen.unwrap_or_else(|| EditId(rand::random()))
}

fn outcome_response(id: EditId, outcome: &EditOutcome) -> AnyResponse {
    match outcome {
        EditOutcome::Accepted(generation) => coded_response(
            ResultCode::EditAccepted,
            json!({ "edit": id.to_string(), "generation": generation }),
        ),
        EditOutcome::Refused(refusals) => refused_response(refusals),
        EditOutcome::Unavailable => {
            let message = "the key-value service does not answer; nothing was written, try again";
            coded_response(
                ResultCode::EditRefused,
                json!({ "edit": id.to_string(), "message": message }),
            )
        }
        EditOutcome::NotYetKnown => {
            let message = "it may or may not be written: ask again with `catalogue settle EDIT`, or apply it again with the same id";
            coded_response(
                ResultCode::EditUnknown,
                json!({ "edit": id.to_string(), "message": message }),
            )
        }
    }
}

fn refused_response(refusals: &[EditRefusal]) -> AnyResponse {
    let rows: Vec<_> = refusals.iter().map(refusal_row).collect();
    coded_response(ResultCode::EditRefused, json!({ "refusals": rows }))
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

fn unavailable_response(error: &KeyValueError) -> AnyResponse {
    let message = format!("{error}; try again");
    json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({ "message": message }))
}

fn coded_response(code: ResultCode, mut body: Value) -> AnyResponse {
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

fn history_rows(document: &CatalogueDocument) -> Vec<Value> {
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
    history_rows(&newest)
}

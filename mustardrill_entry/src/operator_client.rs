//! The operators' commands: calls an entry's operator port and formats the answer for the terminal.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use mustardrill_runtime::http::{BufferedResponse, CallError, HttpClient, request};
use mustardrill_types::ResultCode;
use serde_json::Value;

use crate::cli::{CatalogueCommand, OperatorAccess};
use crate::status::{FleetStatus, VersionStatus};

/// How a command ended, with the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandExit {
    /// Done or accepted.
    Done = 0,
    /// Refused.
    Refused = 1,
    /// The file of the command can't be read.
    Usage = 2,
    /// The outcome of the edit is not yet known.
    NotYetKnown = 3,
    /// The entry did not answer, or can't serve the command at present (status 503).
    NoAnswer = 4,
}

/// The output of a command and how it ended.
#[derive(Debug)]
pub struct CommandOutput {
    /// The text for standard output, which ends with a line break.
    pub text: String,
    /// The exit code to end with.
    pub exit: CommandExit,
}

/// Runs a command against the entry at `access`. Errors are returned as text with an exit code.
pub async fn run(command: &CatalogueCommand, access: &OperatorAccess) -> CommandOutput {
    let (method, path, body) = match http_call(command) {
        Ok(call) => call,
        Err(text) => return CommandOutput { text, exit: CommandExit::Usage },
    };
    let answer = match call(access, method, &path, body).await {
        Ok(answer) => answer,
        Err(error) => {
            let text = format!("no answer from the entry at {}: {error}\n", access.address);
            return CommandOutput { text, exit: CommandExit::NoAnswer };
        }
    };
    let exit = exit_code(&answer);
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let parsed = serde_json::from_str::<Value>(&text);
    let text = match parsed {
        Ok(value) if !access.json => format_answer(command, &value),
        _ => text,
    };
    let text = if text.ends_with('\n') { text } else { format!("{text}\n") };
    CommandOutput { text, exit }
}

fn http_call(command: &CatalogueCommand) -> Result<(&'static str, String, Bytes), String> {
    let empty = Bytes::new();
    Ok(match command {
        CatalogueCommand::Show => ("GET", "/v1/catalogue".into(), empty),
        CatalogueCommand::History => ("GET", "/v1/catalogue/history".into(), empty),
        CatalogueCommand::Status => ("GET", "/v1/status".into(), empty),
        CatalogueCommand::Settle(id) => ("GET", format!("/v1/catalogue/edits/{id}"), empty),
        CatalogueCommand::Undo(id) => ("POST", format!("/v1/catalogue/undo?edit={id}"), empty),
        CatalogueCommand::Check(file) | CatalogueCommand::Diff(file) => {
            ("POST", "/v1/catalogue/check".into(), read_file(file)?)
        }
        CatalogueCommand::Apply(file, id) => {
            let id = id.as_ref().map_or(String::new(), |id| format!("?id={id}"));
            ("POST", format!("/v1/catalogue/edits{id}"), read_file(file)?)
        }
    })
}

fn read_file(file: &Path) -> Result<Bytes, String> {
    let bytes = std::fs::read(file);
    bytes.map(Into::into).map_err(|error| format!("{}: can't be read: {error}\n", file.display()))
}

async fn call(
    access: &OperatorAccess,
    method: &str,
    path: &str,
    body: Bytes,
) -> Result<BufferedResponse, CallError> {
    const TIMEOUT: Duration = Duration::from_secs(15);
    const ANSWER_LIMIT: usize = 16_000_000;
    let mut call = request(method, &format!("http://{}{path}", access.address), body);
    let value = format!("Bearer {}", access.token).parse();
    let value = value.map_err(|_| CallError::NotSent { reason: "malformed token".into() })?;
    call.headers_mut().insert(hyper::header::AUTHORIZATION, value);
    HttpClient::open(Duration::from_secs(2)).call(call, TIMEOUT, ANSWER_LIMIT).await
}

fn exit_code(answer: &BufferedResponse) -> CommandExit {
    match answer.status.as_u16() {
        202 => CommandExit::NotYetKnown,
        200..300 => CommandExit::Done,
        503 => CommandExit::NoAnswer,
        _ => CommandExit::Refused,
    }
}

fn format_answer(command: &CatalogueCommand, value: &Value) -> String {
    match command {
        CatalogueCommand::Status => match serde_json::from_value(value.clone()) {
            Ok(status) => format_status(&status),
            Err(_) => format_outcome(value),
        },
        CatalogueCommand::History => format_history(value),
        _ => format_outcome(value),
    }
}

fn format_outcome(value: &Value) -> String {
    let text = |key: &str| value[key].as_str().unwrap_or_default().to_owned();
    let mut lines = match value["code"].as_u64().and_then(|code| u16::try_from(code).ok()) {
        Some(code) if Some(ResultCode::EditAccepted) == ResultCode::from_number(code) => {
            match value["generation"].as_u64() {
                Some(generation) => {
                    format!("accepted: generation {generation}, edit {}\n", edit_id(value))
                }
                None => "would be accepted\n".into(),
            }
        }
        Some(code) => {
            format!("{} ({code}) {}{}\n", text("outcome"), edit_id(value), text("message"))
        }
        None => format!("{}\n", text("message")),
    };
    for row in value["refusals"].as_array().into_iter().flatten() {
        let part = |key: &str| row[key].as_str().unwrap_or_default().to_owned();
        let (line, rule) = (&row["line"], &row["rule"]);
        let _ = writeln!(
            lines,
            "  line {line}, [{}]: {rule} {}: {}; {}",
            part("entry"),
            part("name"),
            part("message"),
            part("remedy")
        );
    }
    lines.push_str(&format_history(&value["changes"]));
    lines
}

/// Formats the id of an answer's edit with a trailing space; empty if the answer has none.
fn edit_id(value: &Value) -> String {
    value["edit"].as_str().map_or(String::new(), |id| format!("{id} "))
}

fn format_history(value: &Value) -> String {
    let mut lines = String::new();
    for record in value.as_array().into_iter().flatten() {
        let part = |key: &str| record[key].as_str().unwrap_or_default();
        let _ = writeln!(
            lines,
            "generation {} by {}, edit {}",
            record["generation"],
            part("operator"),
            part("edit")
        );
        for entry in record["entries"].as_array().into_iter().flatten() {
            let changes = entry["changes"].as_array().into_iter().flatten();
            let changes: Vec<_> = changes.filter_map(Value::as_str).collect();
            let name = entry["entry"].as_str().unwrap_or_default();
            let _ = writeln!(lines, "  {name}: {}", changes.join("; "));
        }
    }
    lines
}

/// Formats a line for each model: how many instances are in which state, and the source of the
/// bytes.
fn format_models(status: &FleetStatus) -> String {
    let mut models: BTreeMap<&str, Vec<&VersionStatus>> = BTreeMap::new();
    for version in status.agents.iter().flat_map(|agent| &agent.versions) {
        models.entry(&version.model).or_default().push(version);
    }
    let mut lines = String::new();
    for (model, versions) in models {
        let mut states: BTreeMap<&str, usize> = BTreeMap::new();
        versions.iter().for_each(|version| *states.entry(&version.state).or_default() += 1);
        let states: Vec<_> =
            states.iter().map(|(state, count)| format!("{count} {state}")).collect();
        let origin: u64 = versions.iter().map(|version| version.origin_bytes).sum();
        let peers: u64 = versions.iter().map(|version| version.peer_bytes).sum();
        let (wanted, states) = (versions.len(), states.join(", "));
        let _ = writeln!(
            lines,
            "model {model}: {wanted} wanted: {states}; {origin} bytes from the origin, {peers} from peers{}",
            format_remaining_time(&versions)
        );
    }
    lines
}

/// Formats the time until the last copy is fetched. The engines load the weights in waves after
/// that, which is not included.
fn format_remaining_time(versions: &[&VersionStatus]) -> String {
    let is_incomplete =
        |version: &&&VersionStatus| version.held < version.total || version.total == 0;
    let incomplete: Vec<_> = versions.iter().filter(is_incomplete).collect();
    let unknown = incomplete.iter().filter(|version| version.remaining_ms.is_none()).count();
    let last = incomplete.iter().filter_map(|version| version.remaining_ms).max();
    let estimate = last.map(|ms| format!("; fetched in about {:.0} s", ms as f64 / 1_000.0));
    let without_estimate = (unknown > 0).then(|| format!("; {unknown} without an estimate"));
    estimate.into_iter().chain(without_estimate).collect()
}

fn format_status(status: &FleetStatus) -> String {
    let mut lines = format!("entry {}: generation {}\n", status.entry, status.generation);
    let behind = status.behind().count();
    let agents = status.agents.len();
    let _ = writeln!(
        lines,
        "in force at {} of {agents} agents seen here; {} more are seen by other entries",
        agents - behind,
        status.elsewhere
    );
    lines.push_str(&format_models(status));
    for agent in &status.agents {
        let silent =
            agent.silent_ms.map_or("never heard of".into(), |ms| format!("heard {ms} ms ago"));
        let leaving = if agent.leaving { ", leaving" } else { "" };
        let _ = writeln!(
            lines,
            "  {} ({}, {}): generation {}, {silent}{leaving}, {} requests",
            agent.instance, agent.service, agent.data_centre, agent.generation, agent.outstanding
        );
        for version in &agent.versions {
            let trouble = if version.trouble.is_empty() {
                String::new()
            } else {
                format!(": {}", version.trouble)
            };
            let _ = writeln!(
                lines,
                "    {} {}: {} {}/{} chunks, {} bytes from the origin, {} from peers{trouble}",
                version.model,
                &version.manifest[..8],
                version.state,
                version.held,
                version.total,
                version.origin_bytes,
                version.peer_bytes
            );
        }
    }
    lines
}

//! The command line of the entry and of operators.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::prelude::*;

/// A parsed command line.
#[derive(Debug, PartialEq, Eq)]
pub enum EntryCommand {
    /// Run the entry with this settings file.
    Run(PathBuf),
    /// Check this settings file and exit.
    CheckSettings(PathBuf),
    /// Print this text and exit.
    Print(&'static str),
    /// Print the lines that explain the request with this id, from these log files.
    Explain(Box<str>, Vec<PathBuf>),
    /// Run a catalogue command against an entry's operator port.
    Catalogue(CatalogueCommand, OperatorAccess),
}

/// A catalogue command of an operator.
#[derive(Debug, PartialEq, Eq)]
pub enum CatalogueCommand {
    /// Print the catalogue as a file that can be edited and applied.
    Show,
    /// Check whether a file would be accepted, and print what it would change.
    Check(PathBuf),
    /// Print what a file would change.
    Diff(PathBuf),
    /// Make the edit in a file, with an id of the operator's choice for retries.
    Apply(PathBuf, Option<Box<str>>),
    /// Look up the outcome of the edit with this id.
    Settle(Box<str>),
    /// Make the reverse of the edit with this id.
    Undo(Box<str>),
    /// Print the last edits.
    History,
    /// Print each agent's generation and progress with weights.
    Status,
}

/// How an operator reaches an entry.
#[derive(PartialEq, Eq)]
pub struct OperatorAccess {
    /// The entry's operator port.
    pub address: SocketAddr,
    /// The operator's token; the environment variable `MUSTARDRILL_TOKEN` where no option gives it.
    pub token: Box<str>,
    /// Whether answers are printed as JSON.
    pub json: bool,
}

impl std::fmt::Debug for OperatorAccess {
    /// Omits the token.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "OperatorAccess {{ address: {}, json: {} }}", self.address, self.json)
    }
}

/// The text that `--help` prints.
pub const HELP: &str = "\
mustardrill-entry: takes requests and edits, and sends work to agents

Usage:
  mustardrill-entry --settings FILE
  mustardrill-entry check-settings --settings FILE
  mustardrill-entry catalogue COMMAND --operator IP:PORT [--json]
  mustardrill-entry explain ID FILE...

explain reads the logs of one or more processes and prints the life of the request with that id,
and what its processes learned in the 8 s before; docs/OPERATIONS.md shows how to read it.

Catalogue commands:
  show              the catalogue as a file that can be edited and applied
  check FILE        whether FILE would be accepted, and what it would change
  diff FILE         what FILE would change
  apply FILE        make the edit; --edit-id ID names it, for a retry
  settle ID         what became of an edit that was not yet known
  undo ID           make the reverse of an edit
  history           the last edits
  status            where the catalogue is in force, and how far weights are

Options:
  --settings FILE   the settings, in INI (docs/SETTINGS.md)
  --operator ADDR   the operator port of any entry
  --json            print JSON
  -h, --help        this text
  -V, --version     the version

The operator's token is read from the environment variable MUSTARDRILL_TOKEN.

The first SIGTERM or SIGINT drains: no new work is taken, what runs is finished.
The second ends at once.

Exit codes: 0 done or accepted, 1 refused, 2 wrong command line, settings or file,
  3 not yet known (ask again with settle), 4 no answer from the entry
";

/// The text that `--version` prints.
pub const VERSION: &str = concat!("mustardrill-entry ", env!("CARGO_PKG_VERSION"), "\n");

/// Parses the arguments after the program's name. `token` is the value of `MUSTARDRILL_TOKEN`.
pub fn parse(
    args: impl IntoIterator<Item = OsString>,
    token: Option<String>,
) -> Result<EntryCommand, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let (mut settings, mut operator, mut edit_id) = (None, None, None);
    let mut json = false;
    let mut arguments: Vec<String> = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(EntryCommand::Print(HELP)),
            Short('V') | Long("version") => return Ok(EntryCommand::Print(VERSION)),
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long("operator") => operator = Some(parser.value()?.parse()?),
            Long("edit-id") => edit_id = Some(parser.value()?.string()?.into()),
            Long("json") => json = true,
            Value(argument) => arguments.push(argument.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        [] => Ok(EntryCommand::Run(settings.ok_or("--settings FILE is missing; see --help")?)),
        ["check-settings"] => {
            let settings = settings.ok_or("--settings FILE is missing; see --help")?;
            Ok(EntryCommand::CheckSettings(settings))
        }
        ["explain", id, files @ ..] if !files.is_empty() => {
            Ok(EntryCommand::Explain((*id).into(), files.iter().map(PathBuf::from).collect()))
        }
        ["explain", ..] => Err("write explain ID FILE...; see --help".into()),
        ["catalogue", rest @ ..] => {
            let command = catalogue_command(rest, edit_id)?;
            let address = operator.ok_or("--operator IP:PORT is missing; see --help")?;
            let token = token.ok_or("set MUSTARDRILL_TOKEN to your operator's token")?.into();
            Ok(EntryCommand::Catalogue(command, OperatorAccess { address, token, json }))
        }
        [command, ..] => Err(format!("no command {command}; see --help").into()),
    }
}

fn catalogue_command(
    arguments: &[&str],
    edit_id: Option<Box<str>>,
) -> Result<CatalogueCommand, lexopt::Error> {
    match arguments {
        ["show"] => Ok(CatalogueCommand::Show),
        ["check", file] => Ok(CatalogueCommand::Check(file.into())),
        ["diff", file] => Ok(CatalogueCommand::Diff(file.into())),
        ["apply", file] => Ok(CatalogueCommand::Apply(file.into(), edit_id)),
        ["settle", id] => Ok(CatalogueCommand::Settle((*id).into())),
        ["undo", id] => Ok(CatalogueCommand::Undo((*id).into())),
        ["history"] => Ok(CatalogueCommand::History),
        ["status"] => Ok(CatalogueCommand::Status),
        _ => Err(format!("no command catalogue {}; see --help", arguments.join(" ")).into()),
    }
}

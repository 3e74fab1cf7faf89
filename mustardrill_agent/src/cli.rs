//! The agent's command line.

use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::prelude::*;

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum AgentCommand {
    /// Run with these settings.
    Run(PathBuf),
    /// Check these settings and end.
    CheckSettings(PathBuf),
    /// Print a text and end.
    Print(&'static str),
}

/// The text of `--help`.
pub const HELP: &str = "\
mustardrill-agent: the process in the slot beside each upstream

It draws new weights from the origin and from other agents, orders the upstream
to load them, and runs the requests that entries send.

Usage:
  mustardrill-agent --settings FILE
  mustardrill-agent check-settings --settings FILE

Options:
  --settings FILE   the settings, in INI (docs/SETTINGS.md)
  -h, --help        this text
  -V, --version     the version

The first SIGTERM or SIGINT drains: no new work is taken, what runs is finished.
The second ends at once.

Exit codes: 0 ended as planned, 1 could not start, 2 wrong command line or settings
";

/// The text of `--version`.
pub const VERSION: &str = concat!("mustardrill-agent ", env!("CARGO_PKG_VERSION"), "\n");

/// Reads the command line, without the program's name.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<AgentCommand, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut settings = None;
    let mut check = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(AgentCommand::Print(HELP)),
            Short('V') | Long("version") => return Ok(AgentCommand::Print(VERSION)),
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Value(word) if word == "check-settings" => check = true,
            other => return Err(other.unexpected()),
        }
    }
    let settings = settings.ok_or("--settings FILE is missing; see --help")?;
    Ok(if check { AgentCommand::CheckSettings(settings) } else { AgentCommand::Run(settings) })
}

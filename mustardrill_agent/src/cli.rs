//! Parses the command line of the agent.

use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::prelude::*;

/// What the command line asks the process to do.
#[derive(Debug, PartialEq, Eq)]
pub enum AgentCommand {
    /// Run an agent with the settings in this file.
    Run(PathBuf),
    /// Check the settings in this file and exit.
    CheckSettings(PathBuf),
    /// Print a text and exit.
    Print(&'static str),
}

/// Output of `--help`.
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

/// Output of `--version`.
pub const VERSION: &str = concat!("mustardrill-agent ", env!("CARGO_PKG_VERSION"), "\n");

/// Parses the arguments that follow the program's name. Fails on an unknown option and where
/// `--settings` is missing.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<AgentCommand, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut settings = None;
    let mut is_check = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(AgentCommand::Print(HELP)),
            Short('V') | Long("version") => return Ok(AgentCommand::Print(VERSION)),
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Value(value) if value == "check-settings" => is_check = true,
            other => return Err(other.unexpected()),
        }
    }
    let settings = settings.ok_or("--settings FILE is missing; see --help")?;
    Ok(if is_check { AgentCommand::CheckSettings(settings) } else { AgentCommand::Run(settings) })
}

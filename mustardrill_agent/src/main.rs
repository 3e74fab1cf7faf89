//! `mustardrill-agent`: the process in the slot beside each upstream.

use std::path::Path;
use std::process::ExitCode;

use mustardrill_agent::cli::{self, AgentCommand};
use mustardrill_agent::{AgentConfig, config};
use mustardrill_runtime::settings::SettingsReader;
use mustardrill_runtime::{logging, signal};
use tokio_util::sync::CancellationToken;

/// Wrong command line or settings.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let command = match cli::parse(std::env::args_os().skip(1)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("mustardrill-agent: {error}");
            return ExitCode::from(USAGE);
        }
    };
    match command {
        AgentCommand::Print(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        AgentCommand::CheckSettings(path) => match read(&path) {
            Some(_) => {
                println!("{}: the settings are right", path.display());
                ExitCode::SUCCESS
            }
            None => ExitCode::from(USAGE),
        },
        AgentCommand::Run(path) => match read(&path) {
            Some(config) => run(config),
            None => ExitCode::from(USAGE),
        },
    }
}

fn read(path: &Path) -> Option<AgentConfig> {
    let outcome = match SettingsReader::open(path) {
        Ok(reader) => config::read(reader),
        Err(fault) => {
            eprintln!("mustardrill-agent: {fault}");
            return None;
        }
    };
    outcome.warnings.iter().for_each(|warning| eprintln!("mustardrill-agent: warning: {warning}"));
    match outcome.settings {
        Ok(config) => Some(config),
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("mustardrill-agent: {fault}"));
            None
        }
    }
}

fn run(config: AgentConfig) -> ExitCode {
    logging::init(config.agent.own.id.as_str(), config.log);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let code = runtime.block_on(serve(config));
    runtime.shutdown_background();
    code
}

async fn serve(config: AgentConfig) -> ExitCode {
    let (stop, halt) = (CancellationToken::new(), CancellationToken::new());
    signal::spawn(stop.clone(), halt.clone()).expect("signals can be watched");
    let (listen, drain) = (config.listen, config.drain);
    let handle = match mustardrill_agent::spawn(config).await {
        Ok(handle) => handle,
        Err(error) => {
            eprintln!(
                "mustardrill-agent: can't listen at {listen}: {error}; free the port or change [agent] listen"
            );
            return ExitCode::FAILURE;
        }
    };
    println!("ready address={} local={}", handle.address, handle.local_address);
    tokio::select! {
        () = stop.cancelled() => {}
        () = handle.finished() => return ExitCode::SUCCESS,
    }
    tokio::select! {
        () = handle.stop(drain.to_std()) => {}
        () = halt.cancelled() => handle.halt(),
    }
    ExitCode::SUCCESS
}

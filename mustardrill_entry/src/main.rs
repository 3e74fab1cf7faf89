//! `mustardrill-entry`: the entry, and the command line of operators.

use std::path::Path;
use std::process::ExitCode;

use mustardrill_entry::cli::{self, EntryCommand};
use mustardrill_entry::{EntryConfig, config, operator_client};
use mustardrill_runtime::settings::SettingsReader;
use mustardrill_runtime::{logging, signal};
use tokio_util::sync::CancellationToken;

/// Wrong command line or settings.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let token = std::env::var("MUSTARDRILL_TOKEN").ok();
    let command = match cli::parse(std::env::args_os().skip(1), token) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("mustardrill-entry: {error}");
            return ExitCode::from(USAGE);
        }
    };
    match command {
        EntryCommand::Print(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        EntryCommand::CheckSettings(path) => match read(&path) {
            Some(_) => {
                println!("{}: the settings are right", path.display());
                ExitCode::SUCCESS
            }
            None => ExitCode::from(USAGE),
        },
        EntryCommand::Run(path) => match read(&path) {
            Some(config) => run(config),
            None => ExitCode::from(USAGE),
        },
        EntryCommand::Catalogue(command, access) => {
            let output = runtime().block_on(operator_client::run(&command, &access));
            print!("{}", output.text);
            ExitCode::from(output.exit as u8)
        }
    }
}

fn read(path: &Path) -> Option<EntryConfig> {
    let outcome = match SettingsReader::open(path) {
        Ok(reader) => config::read(reader),
        Err(fault) => {
            eprintln!("mustardrill-entry: {fault}");
            return None;
        }
    };
    outcome.warnings.iter().for_each(|warning| eprintln!("mustardrill-entry: warning: {warning}"));
    match outcome.settings {
        Ok(config) => Some(config),
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("mustardrill-entry: {fault}"));
            None
        }
    }
}

fn runtime() -> tokio::runtime::Runtime {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("the runtime starts")
}

fn run(config: EntryConfig) -> ExitCode {
    logging::init(config.entry.own.as_str(), config.log);
    let runtime = runtime();
    let code = runtime.block_on(serve(config));
    runtime.shutdown_background();
    code
}

async fn serve(config: EntryConfig) -> ExitCode {
    let (stop, halt) = (CancellationToken::new(), CancellationToken::new());
    signal::spawn(stop.clone(), halt.clone()).expect("signals can be watched");
    let (listen, operator_listen) = (config.listen, config.operator_listen);
    let drain = config.drain;
    let handle = match mustardrill_entry::spawn(config).await {
        Ok(handle) => handle,
        Err(error) => {
            eprintln!(
                "mustardrill-entry: can't listen at {listen} or {operator_listen}: {error}; free the port or change [entry] listen or operator_listen"
            );
            return ExitCode::FAILURE;
        }
    };
    println!("ready address={} operators={}", handle.address, handle.operator_address);
    stop.cancelled().await;
    tokio::select! {
        () = handle.stop(drain.to_std()) => {}
        () = halt.cancelled() => handle.halt(),
    }
    ExitCode::SUCCESS
}

//! `mustardrill-entry`: runs the entry, and the commands of operators.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use mustardrill_entry::cli::{self, EntryCommand};
use mustardrill_entry::direct::{self, DirectConfig, PlatformAdapters};
use mustardrill_entry::{EntryConfig, config, explain, operator_client};
use mustardrill_platform::{PlatformDialect, PlatformOrigin, PlatformStore};
use mustardrill_runtime::confirmed_origin::ConfirmedOrigin;
use mustardrill_runtime::http::HttpClient;
use mustardrill_runtime::settings::{PlatformKind, SettingsOutcome, SettingsReader};
use mustardrill_runtime::{logging, signal};
use tokio_util::sync::CancellationToken;

/// Exit code for a wrong command line, settings or log file.
const USAGE: u8 = 2;

/// Timeout for connecting to the store and to the origin.
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

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
        EntryCommand::CheckSettings(path) => match read_settings(&path) {
            Some(_) => {
                println!("{}: the settings are right", path.display());
                ExitCode::SUCCESS
            }
            None => ExitCode::from(USAGE),
        },
        EntryCommand::Run(path) => match read_settings(&path) {
            Some(config) => run(config),
            None => ExitCode::from(USAGE),
        },
        EntryCommand::Explain(id, files) => explain_request(&id, &files),
        EntryCommand::Catalogue(command, access) => {
            let output = build_runtime().block_on(operator_client::run(&command, &access));
            print!("{}", output.text);
            ExitCode::from(output.exit as u8)
        }
    }
}

fn explain_request(id: &str, files: &[PathBuf]) -> ExitCode {
    let mut logs = Vec::new();
    for file in files {
        match std::fs::read(file) {
            Ok(bytes) => logs.push(String::from_utf8_lossy(&bytes).into_owned()),
            Err(error) => {
                eprintln!("mustardrill-entry: {}: {error}; name a readable log", file.display());
                return ExitCode::from(USAGE);
            }
        }
    }
    let lines = explain::explain(id, logs.iter().map(String::as_str));
    if lines.is_empty() {
        eprintln!(
            "mustardrill-entry: no line names request {id}; it came by another entry, or never"
        );
        return ExitCode::FAILURE;
    }
    lines.iter().for_each(|line| println!("{line}"));
    ExitCode::SUCCESS
}

/// The settings of an entry, by the platform that it runs on.
enum LoadedConfig {
    Own(EntryConfig),
    Prepared(DirectConfig),
}

fn read_settings(path: &Path) -> Option<LoadedConfig> {
    let reader = match SettingsReader::open(path) {
        Ok(reader) => reader,
        Err(fault) => {
            eprintln!("mustardrill-entry: {fault}");
            return None;
        }
    };
    match reader.platform("entry") {
        PlatformKind::Own => report_problems(config::read(reader)).map(LoadedConfig::Own),
        PlatformKind::Prepared => report_problems(direct::read(reader)).map(LoadedConfig::Prepared),
    }
}

fn report_problems<T>(outcome: SettingsOutcome<T>) -> Option<T> {
    outcome.warnings.iter().for_each(|warning| eprintln!("mustardrill-entry: warning: {warning}"));
    match outcome.settings {
        Ok(config) => Some(config),
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("mustardrill-entry: {fault}"));
            None
        }
    }
}

fn build_runtime() -> tokio::runtime::Runtime {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("the runtime starts")
}

fn run(config: LoadedConfig) -> ExitCode {
    match config {
        LoadedConfig::Own(config) => run_own(config),
        LoadedConfig::Prepared(config) => run_prepared(config),
    }
}

fn run_prepared(config: DirectConfig) -> ExitCode {
    logging::init(config.direct.own_id.as_str(), config.log);
    // One thread is enough: an instance on that platform has a fraction of one core.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let code = runtime.block_on(serve_prepared(config));
    runtime.shutdown_background();
    code
}

async fn serve_prepared(config: DirectConfig) -> ExitCode {
    let (stop, halt) = (CancellationToken::new(), CancellationToken::new());
    signal::spawn(stop.clone(), halt.clone()).expect("signals can be watched");
    let client = HttpClient::open(CONNECT_TIMEOUT);
    let adapters = PlatformAdapters {
        fleet_source: Box::new(PlatformStore::open(client, config.store)),
        dialect: Box::new(PlatformDialect),
        origin: Box::new(ConfirmedOrigin::open(Box::new(PlatformOrigin::open(CONNECT_TIMEOUT)))),
    };
    let listen = config.listen;
    let handle = match direct::spawn(config, adapters).await {
        Ok(handle) => handle,
        Err(error) => {
            eprintln!(
                "mustardrill-entry: can't listen at {listen} or beside it: {error}; free the port or change [entry] listen, ready_listen or peer_listen"
            );
            return ExitCode::FAILURE;
        }
    };
    println!("ready address={} readiness={}", handle.address, handle.ready_address);
    let stopping = async {
        stop.cancelled().await;
        tokio::select! {
            () = handle.stop() => {}
            () = halt.cancelled() => handle.halt(),
        }
    };
    tokio::select! {
        () = stopping => ExitCode::SUCCESS,
        () = handle.failed() => {
            handle.halt();
            ExitCode::FAILURE
        }
    }
}

fn run_own(config: EntryConfig) -> ExitCode {
    logging::init(config.entry.own_id.as_str(), config.log);
    let runtime = build_runtime();
    let code = runtime.block_on(serve_own(config));
    runtime.shutdown_background();
    code
}

async fn serve_own(config: EntryConfig) -> ExitCode {
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
    let stopping = async {
        stop.cancelled().await;
        tokio::select! {
            () = handle.stop(drain) => {}
            () = halt.cancelled() => handle.halt(),
        }
    };
    tokio::select! {
        () = stopping => ExitCode::SUCCESS,
        () = handle.failed() => {
            handle.halt();
            ExitCode::FAILURE
        }
    }
}

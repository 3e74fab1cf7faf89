//! `mustardrill-agent`: the process on the machine of each upstream.

use std::path::Path;
use std::process::ExitCode;

use mustardrill_agent::cli::{self, AgentCommand};
use mustardrill_agent::provisioning::{self, PlatformAdapters, ProvisioningConfig};
use mustardrill_agent::{AgentConfig, config};
use mustardrill_platform::{PlatformEngine, PlatformOrigin, PlatformStore};
use mustardrill_runtime::confirmed_origin::ConfirmedOrigin;
use mustardrill_runtime::http::HttpClient;
use mustardrill_runtime::settings::{PlatformKind, SettingsOutcome, SettingsReader};
use mustardrill_runtime::{logging, signal};
use tokio_util::sync::CancellationToken;

/// Exit code for a wrong command line or wrong settings.
const USAGE_ERROR: u8 = 2;

/// Applies to connections to the store, the origin and the engine.
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

fn main() -> ExitCode {
    let command = match cli::parse(std::env::args_os().skip(1)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("mustardrill-agent: {error}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    match command {
        AgentCommand::Print(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        AgentCommand::CheckSettings(path) => match read_settings(&path) {
            Some(_) => {
                println!("{}: the settings are right", path.display());
                ExitCode::SUCCESS
            }
            None => ExitCode::from(USAGE_ERROR),
        },
        AgentCommand::Run(path) => match read_settings(&path) {
            Some(config) => run(config),
            None => ExitCode::from(USAGE_ERROR),
        },
    }
}

/// The settings of either kind of agent; `[agent] platform` selects the kind.
enum SelectedConfig {
    Own(AgentConfig),
    Prepared(ProvisioningConfig),
}

fn read_settings(path: &Path) -> Option<SelectedConfig> {
    let reader = match SettingsReader::open(path) {
        Ok(reader) => reader,
        Err(fault) => {
            eprintln!("mustardrill-agent: {fault}");
            return None;
        }
    };
    match reader.platform("agent") {
        PlatformKind::Own => report_faults(config::read(reader)).map(SelectedConfig::Own),
        PlatformKind::Prepared => {
            report_faults(provisioning::read(reader)).map(SelectedConfig::Prepared)
        }
    }
}

/// Prints warnings and faults of the settings to stderr.
fn report_faults<T>(outcome: SettingsOutcome<T>) -> Option<T> {
    outcome.warnings.iter().for_each(|warning| eprintln!("mustardrill-agent: warning: {warning}"));
    match outcome.settings {
        Ok(config) => Some(config),
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("mustardrill-agent: {fault}"));
            None
        }
    }
}

fn run(config: SelectedConfig) -> ExitCode {
    match config {
        SelectedConfig::Own(config) => run_own(config),
        SelectedConfig::Prepared(config) => run_prepared(config),
    }
}

fn run_prepared(config: ProvisioningConfig) -> ExitCode {
    logging::init(&config.instance, config.log);
    // A single thread, as machines of that platform have a fraction of one core.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let exit_code = runtime.block_on(serve_prepared(config));
    runtime.shutdown_background();
    exit_code
}

async fn serve_prepared(config: ProvisioningConfig) -> ExitCode {
    let (stop, halt) = (CancellationToken::new(), CancellationToken::new());
    signal::spawn(stop.clone(), halt).expect("signals can be watched");
    let client = HttpClient::open(CONNECT_TIMEOUT);
    let adapters = PlatformAdapters {
        fleet_source: Box::new(PlatformStore::open(client.clone(), config.store)),
        load_register: Box::new(PlatformStore::open(client.clone(), config.store)),
        engine: Box::new(PlatformEngine::open(client, config.settings.engine)),
        origin: Box::new(ConfirmedOrigin::open(Box::new(PlatformOrigin::open(CONNECT_TIMEOUT)))),
    };
    let listen = config.listen;
    let handle = match provisioning::spawn(config, adapters).await {
        Ok(handle) => handle,
        Err(error) => {
            eprintln!(
                "mustardrill-agent: can't listen at {listen}: {error}; free the port or change [agent] listen"
            );
            return ExitCode::FAILURE;
        }
    };
    println!("ready address={listen}");
    let code = tokio::select! {
        () = stop.cancelled() => ExitCode::SUCCESS,
        () = handle.failed() => ExitCode::FAILURE,
    };
    handle.halt();
    code
}

fn run_own(config: AgentConfig) -> ExitCode {
    logging::init(config.agent.own.id.as_str(), config.log);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let exit_code = runtime.block_on(serve(config));
    runtime.shutdown_background();
    exit_code
}

async fn serve(config: AgentConfig) -> ExitCode {
    let (stop, halt) = (CancellationToken::new(), CancellationToken::new());
    signal::spawn(stop.clone(), halt.clone()).expect("signals can be watched");
    let (listen, drain_timeout) = (config.listen, config.drain_timeout);
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
    let stopping = async {
        tokio::select! {
            () = stop.cancelled() => {}
            () = handle.finished() => return,
        }
        tokio::select! {
            () = handle.stop(drain_timeout.to_std()) => {}
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

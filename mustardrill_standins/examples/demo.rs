//! Demo of a rollout in separate processes, run by `scripts/demo`.
//!
//! Distributes a first version to all engines, then a second one under live requests, and compares the
//! times with a lower bound.

use std::io::Write;
use std::time::{Duration, Instant};

use lexopt::prelude::*;
use mustardrill_standins::lab::{Lab, LabOptions};
use mustardrill_standins::load::{LoadDriver, LoadOptions, LoadReport};

const HELP: &str = "\
scripts/demo: new weights to every instance, then a swap under live requests

  --agents N     agents, each beside a model engine (8)
  --size-mb N    the size of the weights in megabytes (32)
  --rate-mb N    each machine's link in megabytes a second (8); the origin's is twice that
  --chunk-kb N   the size of a chunk in units of 1024 bytes, a power of two (128)
  --requests N   live requests a second (100)
  --seed N       what the weights are made from (1)
  --keep         leave all running until Ctrl-C
";

const MODEL: &str = "renewal-drafts";
const LOAD_MS: u64 = 200;
const PIECES: u64 = 8;

struct DemoOptions {
    agents: usize,
    size: u64,
    rate: u64,
    requests: f64,
    chunk: u64,
    seed: u64,
    keep: bool,
}

struct RolloutResult {
    name: &'static str,
    time: Duration,
    bound: Duration,
    origin_share: f64,
    /// The largest numbers of bytes received and sent by any machine, divided by the size of the weights.
    link_shares: (f64, f64),
    report: LoadReport,
}

fn main() -> std::process::ExitCode {
    let options = match parse() {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return std::process::ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("demo: {error}; see --help");
            return std::process::ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("the runtime starts").block_on(async {
        tokio::select! {
            succeeded = run(&options) => if succeeded { 0 } else { 1 }.into(),
            // Dropping the lab kills every process that it started.
            _ = tokio::signal::ctrl_c() => 130.into(),
        }
    })
}

fn parse() -> Result<Option<DemoOptions>, lexopt::Error> {
    let mut options = DemoOptions {
        agents: 8,
        size: 32_000_000,
        rate: 8_000_000,
        requests: 100.0,
        chunk: 1 << 17,
        seed: 1,
        keep: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("agents") => options.agents = parser.value()?.parse()?,
            Long("size-mb") => options.size = parser.value()?.parse::<u64>()? * 1_000_000,
            Long("rate-mb") => options.rate = parser.value()?.parse::<u64>()? * 1_000_000,
            Long("chunk-kb") => options.chunk = parser.value()?.parse::<u64>()? << 10,
            Long("requests") => options.requests = parser.value()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("keep") => options.keep = true,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}

async fn run(options: &DemoOptions) -> bool {
    print_progress("starting the stand-ins, two entries and the agents");
    let lab = Lab::spawn(LabOptions {
        agents: options.agents,
        origin_rate: options.rate * 2,
        machine_rate: options.rate,
        load_ms: LOAD_MS,
        pieces: (PIECES, 5),
        ..LabOptions::default()
    })
    .await;
    let first_digest = lab.publish(MODEL, "v1", options.size, options.chunk, options.seed).await;
    let second_digest =
        lab.publish(MODEL, "v2", options.size, options.chunk, options.seed + 1).await;
    print_progress("waiting until the entries see the fleet");
    lab.wait_for_agents(0, options.agents + 1, Duration::from_secs(10)).await;

    let Some(cold) = run_rollout(&lab, options, "first version", "v1", &first_digest, None).await
    else {
        return report_failure(&lab);
    };
    print_progress("waiting until both entries route to the model");
    if !lab.wait_until_ready(&format!("/v1/models/{MODEL}/draft"), Duration::from_secs(20)).await {
        return report_failure(&lab);
    }
    let driver = LoadDriver::spawn(
        lab.client.clone(),
        LoadOptions {
            entries: lab.entries.iter().map(|entry| entry.address).collect(),
            path: format!("/v1/models/{MODEL}/draft"),
            rate: options.requests,
            pieces: Some(PIECES),
            has_idempotency_key: false,
            timeout: Duration::from_secs(10),
        },
    );
    print_progress("live requests alone, for comparison");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let baseline = driver.report();
    driver.reset();
    let Some(mut swap) =
        run_rollout(&lab, options, "swap under load", "v2", &second_digest, Some(&driver)).await
    else {
        return report_failure(&lab);
    };
    swap.report = driver.finish().await;
    print_progress("");
    print_table(options, &[cold, swap], &baseline);
    if options.keep {
        keep_running(&lab).await;
    }
    true
}

async fn run_rollout(
    lab: &Lab,
    options: &DemoOptions,
    name: &'static str,
    version: &str,
    digest: &str,
    driver: Option<&LoadDriver>,
) -> Option<RolloutResult> {
    let sent_before = lab.origin_sent().await;
    let links_before = lab.link_bytes(digest).await;
    let started = Instant::now();
    let revision = current_revision(lab).await;
    let (status, body) =
        lab.apply_catalogue(0, &entry_text(version, revision, options.agents)).await;
    if status != 200 {
        eprintln!("the edit was not accepted: {status} {body}");
        return None;
    }
    loop {
        let serving = lab.serving().await;
        let count = serving.iter().flatten().filter(|found| *found == digest).count();
        let answered = driver.map_or(0, |driver| driver.report().complete);
        print_progress(&format!(
            "{name}: {count} of {} serve {version}, {:.1} s, {answered} requests answered",
            options.agents,
            started.elapsed().as_secs_f64()
        ));
        if count == options.agents {
            break;
        }
        if started.elapsed() > Duration::from_secs(120) {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let time = started.elapsed();
    let origin_sent = lab.origin_sent().await - sent_before;
    let links = lab.link_bytes(digest).await;
    let largest_growth = |of: fn(&(u64, u64)) -> u64| {
        let pairs = links.iter().zip(&links_before);
        let largest = pairs.map(|(after, before)| of(after) - of(before)).max();
        largest.unwrap_or_default() as f64 / options.size as f64
    };
    let waves =
        if driver.is_some() { options.agents.div_ceil((options.agents / 4).max(1)) } else { 1 };
    Some(RolloutResult {
        name,
        time,
        bound: time_bound(options, waves),
        origin_share: origin_sent as f64 / options.size as f64,
        link_shares: (largest_growth(|link| link.0), largest_growth(|link| link.1)),
        report: driver.map(LoadDriver::report).unwrap_or_default(),
    })
}

/// Lower bound on the time of a rollout, for size S and N agents:
/// `S / min(origin, machine) + (1 + log2 N) * chunk / machine + waves * load`.
fn time_bound(options: &DemoOptions, waves: usize) -> Duration {
    let rate = options.rate as f64;
    let hops = 1.0 + (options.agents as f64).log2().ceil();
    let transfer = options.size as f64 / rate + hops * options.chunk as f64 / rate;
    Duration::from_secs_f64(transfer) + Duration::from_millis(LOAD_MS) * waves as u32
}

async fn current_revision(lab: &Lab) -> Option<u64> {
    let token = mustardrill_standins::lab::OPERATOR_TOKEN;
    let (_, body) = lab.call_operator(0, "GET", "/v1/catalogue?json=1", "", token).await;
    body["catalogue"]["entries"][MODEL]["revision"].as_u64()
}

fn entry_text(version: &str, revision: Option<u64>, replicas: usize) -> String {
    let revision = revision.map_or(String::new(), |revision| format!("revision = {revision}\n"));
    format!(
        "[model {MODEL}]\n{revision}service = mustard-pool\nowner = ana\nclass = urgent\ncallers = comedor, inspector\n\
         requests_per_second = 10000\nin_flight = 1000\nversion = {version}\nreplicas = {replicas}\n"
    )
}

fn print_table(options: &DemoOptions, results: &[RolloutResult], baseline: &LoadReport) {
    println!(
        "{} agents in two data centres, {} MB, machine links {} MB/s, origin {} MB/s",
        options.agents,
        options.size / 1_000_000,
        options.rate / 1_000_000,
        options.rate * 2 / 1_000_000
    );
    println!(
        "{:<16} {:>9} {:>9} {:>11} {:>13} {:>10} {:>8} {:>7} {:>7} {:>8} {:>6} {:>6}",
        "",
        "time s",
        "bound s",
        "time/bound",
        "origin/size",
        "most down",
        "most up",
        "sent",
        "whole",
        "not run",
        "lost",
        "wrong"
    );
    for result in results {
        let (time, bound) = (result.time.as_secs_f64(), result.bound.as_secs_f64());
        let report = &result.report;
        println!(
            "{:<16} {time:>9.2} {bound:>9.2} {:>11.3} {:>13.3} {:>10.3} {:>8.3} {:>7} {:>7} {:>8} {:>6} {:>6}",
            result.name,
            time / bound,
            result.origin_share,
            result.link_shares.0,
            result.link_shares.1,
            report.sent,
            report.complete,
            report.not_run,
            report.lost + report.unknown,
            report.wrong
        );
        if !report.codes.is_empty() {
            println!("                 result codes other than 1000: {:?}", report.codes);
        }
    }
    let during = results.last().map(|result| result.report.quantile_ms(0.99)).unwrap_or_default();
    let alone = baseline.quantile_ms(0.99);
    println!(
        "live requests p99: {alone:.1} ms without a burst, {during:.1} ms during the swap, ratio {:.2}",
        during / alone
    );
}

fn report_failure(lab: &Lab) -> bool {
    eprintln!("\nthe burst did not end; settings and logs were in {}", lab.folder().display());
    false
}

async fn keep_running(lab: &Lab) {
    println!("\nentries for callers:");
    lab.entries.iter().for_each(|entry| println!("  http://{}", entry.address));
    println!("operator ports:");
    lab.entries.iter().filter_map(|entry| entry.second_address).for_each(|it| println!("  {it}"));
    println!("customer token: {}", mustardrill_standins::lab::CUSTOMER_TOKEN);
    println!("operator token: {}", mustardrill_standins::lab::OPERATOR_TOKEN);
    println!("settings and logs: {}\nCtrl-C ends all of it.", lab.folder().display());
    std::future::pending::<()>().await;
}

/// Overwrites the progress line of a terminal. Elsewhere it writes lines, without the repeated ones that
/// give a time.
fn print_progress(text: &str) {
    use std::io::IsTerminal;
    let mut output = std::io::stderr();
    if output.is_terminal() {
        let _ = write!(output, "\r\x1b[K{text}");
        let _ = output.flush();
    } else if !text.contains(" s, ") && !text.is_empty() {
        let _ = writeln!(output, "{text}");
    }
}

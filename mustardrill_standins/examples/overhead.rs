//! Measures the latency that entry and agent add to a call, their processor time, and overload.
//!
//! `cargo run --release -p mustardrill_standins --example overhead` after
//! `cargo build --release --workspace --bins --examples`, with latency, overload, frames or idle as an
//! optional argument for one part. All figures of a ratio are from one run, so that it holds on any machine.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mustardrill_runtime::http::{HttpClient, request};
use mustardrill_standins::lab::{Lab, LabOptions, LabProcess, caller_request};
use mustardrill_standins::load::{LoadDriver, LoadOptions, LoadReport};

const WAIT_LIMIT: Duration = Duration::from_secs(30);
const RUN_TIME: Duration = Duration::from_secs(4);

#[tokio::main]
async fn main() {
    let part = std::env::args().nth(1).unwrap_or_default();
    if part.is_empty() || part == "latency" {
        measure_latency().await;
        println!();
    }
    if part.is_empty() || part == "overload" {
        measure_overload().await;
        println!();
    }
    if part.is_empty() || part == "frames" {
        measure_frames().await;
        println!();
    }
    if part.is_empty() || part == "idle" {
        measure_idle().await;
    }
}

fn plain_entry_text(name: &str, class: &str) -> String {
    format!(
        "[plain {name}]\nservice = records-desk\nowner = ana\nclass = {class}\ncallers = all\nrequests_per_second = 100000\nin_flight = 10000\n"
    )
}

async fn spawn_lab(plain: usize, plain_ms: u64, capacity: u32) -> Lab {
    let lines = vec![
        ("upstream", format!("capacity = {capacity}")),
        ("upstream", "queue = 64".to_owned()),
        ("agent", "log = warn".to_owned()),
    ];
    let options = LabOptions {
        agents: 0,
        plain,
        plain_ms,
        agent_lines: lines,
        entry_lines: vec![("entry", "log = warn".to_owned())],
        ..LabOptions::default()
    };
    let lab = Lab::spawn(options).await;
    assert!(lab.wait_for_agents(0, plain, WAIT_LIMIT).await, "the entries never saw the fleet");
    let file = plain_entry_text("surveys", "urgent") + &plain_entry_text("pings", "background");
    let (status, body) = lab.apply_catalogue(0, &file).await;
    assert_eq!(status, 200, "{body}");
    assert!(lab.wait_until_ready("/v1/services/surveys/x", WAIT_LIMIT).await, "never ready");
    lab
}

async fn measure_latency() {
    let lab = spawn_lab(2, 0, 256).await;
    println!("one caller, plain service of 0 ms: microseconds");
    let direct = lab.plain[0].upstream.address;
    let entry = lab.entries[0].address;
    // Alternating calls, so that other load on the machine affects both alike.
    let mut times = [Histogram::<u64>::new(3), Histogram::new(3)]
        .map(|it| it.expect("three digits are allowed"));
    for _ in 0..4_000 {
        times[0].record(call_direct(&lab.client, direct).await).expect("within range");
        times[1].record(call_entry(&lab.client, entry).await).expect("within range");
    }
    for (name, times) in ["direct", "entry and agent"].iter().zip(&times) {
        println!(
            "{name:>16}: p50 {:>6} p99 {:>6}",
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99)
        );
    }
    let added = |share| times[1].value_at_quantile(share) - times[0].value_at_quantile(share);
    println!("{:>16}: p50 {:>6} p99 {:>6}", "added", added(0.5), added(0.99));

    let before = [
        cpu_seconds(&lab.entries[0]),
        cpu_seconds(&lab.plain[0].agent) + cpu_seconds(&lab.plain[1].agent),
    ];
    let started = Instant::now();
    let count = run_callers(64, |_| {
        let client = lab.client.clone();
        move || {
            let client = client.clone();
            async move { call_entry(&client, entry).await }
        }
    })
    .await;
    let rate = count as f64 / started.elapsed().as_secs_f64();
    let after = [
        cpu_seconds(&lab.entries[0]),
        cpu_seconds(&lab.plain[0].agent) + cpu_seconds(&lab.plain[1].agent),
    ];
    println!("64 callers, one entry, two agents: {rate:.0} requests a second");
    println!(
        "requests for each second of a core: entry {:.0}, agent {:.0}",
        count as f64 / (after[0] - before[0]),
        count as f64 / (after[1] - before[1])
    );
}

async fn call_direct(client: &HttpClient, address: SocketAddr) -> u64 {
    time_call(client, request("POST", &format!("http://{address}/x"), "call")).await
}

async fn call_entry(client: &HttpClient, address: SocketAddr) -> u64 {
    time_call(client, caller_request(address, "/v1/services/surveys/x", "call")).await
}

/// Runs callers in tasks of their own, each with one call after the other, for the duration of a run;
/// returns the number of calls.
async fn run_callers<C, F>(callers: usize, caller: impl Fn(usize) -> C) -> u64
where
    C: Fn() -> F + Send + 'static,
    F: Future<Output = u64> + Send,
{
    let started = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|index| {
            let call = caller(index);
            tokio::spawn(async move {
                let mut count = 0;
                while started.elapsed() < RUN_TIME {
                    call().await;
                    count += 1;
                }
                count
            })
        })
        .collect();
    let mut count = 0;
    for task in tasks {
        count += task.await.expect("a caller ends");
    }
    count
}

async fn time_call(
    client: &HttpClient,
    sent: hyper::Request<http_body_util::Full<bytes::Bytes>>,
) -> u64 {
    let started = Instant::now();
    let answer = client.call(sent, WAIT_LIMIT, 10_000_000).await.expect("an answer");
    assert!(answer.status.is_success(), "{}", answer.status);
    started.elapsed().as_micros() as u64
}

/// Two upstreams with 8 slots and 20 ms a call can run at most 800 requests per second. Their timers
/// reduce that, so the capacity is measured in the same run.
async fn measure_overload() {
    let lab = spawn_lab(2, 20, 8).await;
    let capacity = measured_capacity(&lab).await;
    println!(
        "capacity {capacity:.0}/s, measured at the upstreams with 16 callers; surveys are urgent, pings background; time limit 1 s"
    );
    println!(
        "{:>22} {:>9} {:>12} {:>12} {:>12} {:>14}",
        "offered", "goodput", "of capacity", "survey p50", "survey p99", "refusal p50 ms"
    );
    let mut unloaded_p99_ms = 0.0;
    for (surveys, pings) in [(200.0, 0.0), (200.0, 600.0), (200.0, 2_200.0)] {
        let urgent = spawn_driver(&lab, "surveys", surveys);
        let background = (pings > 0.0).then(|| spawn_driver(&lab, "pings", pings));
        tokio::time::sleep(Duration::from_secs(1)).await;
        urgent.reset();
        background.iter().for_each(LoadDriver::reset);
        tokio::time::sleep(RUN_TIME).await;
        let (urgent_report, background_report) =
            (urgent.report(), background.as_ref().map(LoadDriver::report).unwrap_or_default());
        let goodput =
            (urgent_report.complete + background_report.complete) as f64 / RUN_TIME.as_secs_f64();
        let p99_ms = urgent_report.quantile_ms(0.99);
        if unloaded_p99_ms == 0.0 {
            unloaded_p99_ms = p99_ms;
        }
        println!(
            "{:>22} {goodput:>9.0} {:>11.1}% {:>12.1} {p99_ms:>7.1} x{:.2} {:>14.2}   {}",
            format!("{surveys} + {pings}"),
            goodput * 100.0 / capacity,
            urgent_report.quantile_ms(0.5),
            p99_ms / unloaded_p99_ms,
            background_report.refusal_times.value_at_quantile(0.5) as f64 / 1_000.0,
            outcome_text(&urgent_report, &background_report)
        );
        urgent.finish().await;
        if let Some(background) = background {
            background.finish().await;
        }
    }
}

/// Answers per second of the upstreams, called directly with all slots busy.
async fn measured_capacity(lab: &Lab) -> f64 {
    let started = Instant::now();
    let count = run_callers(16, |index| {
        let (client, address) = (lab.client.clone(), lab.plain[index % 2].upstream.address);
        move || {
            let client = client.clone();
            async move { call_direct(&client, address).await }
        }
    })
    .await;
    count as f64 / started.elapsed().as_secs_f64()
}

fn outcome_text(urgent: &LoadReport, background: &LoadReport) -> String {
    format!(
        "surveys refused {} lost {}; pings refused {} {:?} lost {}",
        urgent.not_run + urgent.unknown,
        urgent.lost,
        background.not_run + background.unknown,
        background.codes,
        background.lost
    )
}

fn spawn_driver(lab: &Lab, name: &str, rate: f64) -> LoadDriver {
    LoadDriver::spawn(
        lab.client.clone(),
        LoadOptions {
            entries: lab.entries.iter().map(|entry| entry.address).collect(),
            path: format!("/v1/services/{name}/x"),
            rate,
            pieces: None,
            has_idempotency_key: false,
            timeout: Duration::from_secs(1),
        },
    )
}

/// Measures long streamed answers, with a frame for each piece as for each token.
async fn measure_frames() {
    const PIECES: u64 = 2_000;
    let log_warn = |section| (section, "log = warn".to_owned());
    let options = LabOptions {
        agents: 1,
        plain: 0,
        pieces: (PIECES, 0),
        agent_lines: vec![log_warn("agent"), ("upstream", "capacity = 256".to_owned())],
        entry_lines: vec![log_warn("entry")],
        ..LabOptions::default()
    };
    let lab = Lab::spawn(options).await;
    let digest = lab.publish("drafts", "v1", 1_000_000, 1 << 16, 1).await;
    assert!(lab.wait_for_agents(0, 1, WAIT_LIMIT).await, "the entries never saw the fleet");
    let entry = plain_entry_text("drafts", "urgent").replace("[plain", "[model");
    let file = entry.replace("records-desk", "mustard-pool") + "version = v1\nreplicas = 1\n";
    let (status, body) = lab.apply_catalogue(0, &file).await;
    assert_eq!(status, 200, "{body}");
    assert!(lab.wait_until_serving(&digest, 1, WAIT_LIMIT).await.is_some(), "never served");
    assert!(lab.wait_until_ready("/v1/models/drafts/x", WAIT_LIMIT).await, "never ready");
    let (entry, agent) = (&lab.entries[0], &lab.engines[0].agent);
    let before = (cpu_seconds(entry), cpu_seconds(agent));
    let started = Instant::now();
    let count = PIECES
        * run_callers(16, |_| {
            let (client, address) = (lab.client.clone(), entry.address);
            move || {
                let client = client.clone();
                async move {
                    let sent = caller_request(address, "/v1/models/drafts/x", "a long answer");
                    time_call(&client, sent).await
                }
            }
        })
        .await;
    let rate = count as f64 / started.elapsed().as_secs_f64();
    let spent = (cpu_seconds(entry) - before.0, cpu_seconds(agent) - before.1);
    println!("streams of {PIECES} pieces of 65 bytes, 16 callers: {rate:.0} pieces a second");
    println!(
        "pieces for each second of a core: entry {:.0}, agent {:.0}",
        count as f64 / spent.0,
        count as f64 / spent.1
    );
}

/// Measures processor time and memory of the processes without any requests.
async fn measure_idle() {
    println!(
        "at rest, heartbeats every 500 ms, ticks of 10 and 20 ms: percent of a core and megabytes"
    );
    println!(
        "{:>8} {:>9} {:>9} {:>9} {:>9}",
        "agents", "entry %", "entry MB", "agent %", "agent MB"
    );
    for agents in [4, 16, 32] {
        let rate = |section| (section, "list_every = 2s".to_owned());
        let options = LabOptions {
            agents: 0,
            plain: agents,
            entries: 1,
            agent_lines: vec![rate("platform"), ("agent", "tick = 20ms".to_owned())],
            entry_lines: vec![rate("platform"), ("routing", "sync_every = 500ms".to_owned())],
            ..LabOptions::default()
        };
        let lab = Lab::spawn(options).await;
        assert!(lab.wait_for_agents(0, agents, WAIT_LIMIT).await, "the entry never saw the fleet");
        let agent_seconds = || lab.plain.iter().map(|it| cpu_seconds(&it.agent)).sum::<f64>();
        let before = (cpu_seconds(&lab.entries[0]), agent_seconds());
        let started = Instant::now();
        tokio::time::sleep(RUN_TIME * 2).await;
        let span = started.elapsed().as_secs_f64();
        let entry = (cpu_seconds(&lab.entries[0]) - before.0) * 100.0 / span;
        let agent = (agent_seconds() - before.1) * 100.0 / span / agents as f64;
        println!(
            "{agents:>8} {entry:>9.2} {:>9.1} {agent:>9.2} {:>9.1}",
            resident_megabytes(&lab.entries[0]),
            resident_megabytes(&lab.plain[0].agent)
        );
    }
}

/// Resident memory of a process, in megabytes.
fn resident_megabytes(process: &LabProcess) -> f64 {
    let text =
        std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1_000.0
}

/// Processor time that a process has used, in seconds, at 100 clock ticks per second.
fn cpu_seconds(process: &LabProcess) -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let text = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND
}

//! Failures of single links between processes: cut, silent without a close, slow in one direction.

mod common;

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{
    CHUNK, LONG, MODEL, SIZE, assert_truthful_answers, callers, callers_within, keyed_callers,
    model_file, serving_lab,
};
use mustardrill_standins::lab::{Lab, LabOptions, LabUpstream};
use mustardrill_standins::link::{LabLink, LinkState};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Requests per second, so few that the retries after cuts stay within the retry budget on a slow
/// machine too.
const REQUESTS_PER_SECOND: f64 = 20.0;

fn with_links(options: LabOptions) -> LabOptions {
    LabOptions { has_links: true, ..options }
}

fn rate_limited_options(agents: usize) -> LabOptions {
    // The time-outs are long enough that a busy machine is not taken for a stalled one: only the
    // link may cause repeated transfers.
    let timeout_line = |key: &str| ("weights", format!("{key} = 3s"));
    with_links(LabOptions {
        agents,
        machine_rate: SIZE,
        origin_rate: SIZE * 2,
        agent_lines: vec![timeout_line("stall_after"), timeout_line("chunk_patience")],
        ..LabOptions::default()
    })
}

/// Distributes a version to six agents while one agent's link is in `state`; returns the lab and
/// the copies that the origin sent.
async fn run_burst(state: LinkState) -> (Lab, f64) {
    let (lab, _) = serving_lab(rate_limited_options(6)).await;
    let v2 = lab.publish(MODEL, "v2", SIZE, CHUNK, 2).await;
    let before = lab.origin_sent().await;
    let load = callers(&lab, REQUESTS_PER_SECOND);
    assert_eq!(lab.apply_catalogue(0, &model_file("v2", 1, 6)).await.0, 200);
    tokio::time::sleep(Duration::from_millis(400)).await;
    lab.set_link(&lab.engines[2], state);
    // The agent's own calls use the links of the others, so it gets the weights as well.
    assert!(
        lab.wait_until_serving(&v2, 6, LONG).await.is_some(),
        "v2 was not served by all in time"
    );
    let share = (lab.origin_sent().await - before) as f64 / SIZE as f64;
    lab.set_link(&lab.engines[2], LinkState::Open);
    let report = load.finish().await;
    assert_eq!((report.wrong, report.lost), (0, 0), "{:?}", report.codes);
    (lab, share)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_that_is_cut_during_a_burst_costs_half_a_copy_at_most() {
    let (_lab, share) = run_burst(LinkState::Cut).await;
    assert!(share <= 1.5, "the origin sent {share} copies");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_that_falls_silent_during_a_burst_costs_half_a_copy_at_most() {
    let (_lab, share) = run_burst(LinkState::Silent).await;
    assert!(share <= 1.5, "the origin sent {share} copies");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_that_is_slow_in_one_direction_costs_half_a_copy_at_most() {
    // A sixteenth of a link's rate.
    let (_lab, share) = run_burst(LinkState::Slow(120)).await;
    assert!(share <= 1.5, "the origin sent {share} copies");
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_cut_under_load_lose_no_answer() {
    let (lab, _) = serving_lab(with_links(LabOptions { agents: 4, ..LabOptions::default() })).await;
    let load = callers(&lab, REQUESTS_PER_SECOND);
    for round in 0..6 {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let engine = &lab.engines[round % 4];
        lab.set_link(engine, LinkState::Cut);
        tokio::time::sleep(Duration::from_millis(100)).await;
        lab.set_link(engine, LinkState::Open);
    }
    let report = load.finish().await;
    assert_eq!((report.wrong, report.lost), (0, 0), "{:?}", report.codes);
    assert_eq!(report.complete, report.sent, "{:?}", report.codes);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_link_holds_no_request_until_its_deadline() {
    let (lab, _) = serving_lab(with_links(LabOptions { agents: 4, ..LabOptions::default() })).await;
    let load = callers_within(&lab, REQUESTS_PER_SECOND, LONG);
    tokio::time::sleep(Duration::from_millis(300)).await;
    lab.set_link(&lab.engines[1], LinkState::Silent);
    tokio::time::sleep(Duration::from_millis(500)).await;
    // Requests that were sent there are answered by another engine while the link stays silent.
    let report = tokio::time::timeout(LONG / 2, load.finish()).await;
    let report = report.expect("requests were held until their deadline");
    assert_eq!(report.complete, report.sent, "{:?} lost {}", report.codes, report.lost);
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_mute_and_silent_links_run_no_call_twice() {
    let options = LabOptions { agents: 2, plain: 3, plain_ms: 20, ..LabOptions::default() };
    let (lab, _) = serving_lab(with_links(options)).await;
    let load = keyed_callers(&lab, 150.0);
    let states = [LinkState::Cut, LinkState::Mute, LinkState::Silent];
    // Agents of engines coordinate shards of claims as well as those of plain services.
    let agents: Vec<&LabUpstream> = lab.plain.iter().chain(&lab.engines).collect();
    for (round, agent) in agents.into_iter().enumerate() {
        tokio::time::sleep(Duration::from_millis(300)).await;
        lab.set_link(agent, states[round % states.len()]);
        tokio::time::sleep(Duration::from_millis(400)).await;
        lab.set_link(agent, LinkState::Open);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_truthful_answers(&lab, load).await;
}

/// Checks the stand-in of a crashing engine: entries take an engine for crashed if it breaks a
/// connection and refuses the next one.
#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_link_refuses_connections_once_one_has_broken() {
    let target = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    // Below the port range of outgoing connections, so that no other connection uses the address.
    let run = 10 + (std::process::id() % 240) as u8;
    let address = SocketAddr::from(([127, run, 200, 1], 8_000));
    // A process that is being started holds copies of this one's sockets until it executes its own
    // program.
    let stop = Arc::new(AtomicBool::new(false));
    let process_starter = std::thread::spawn({
        let stop = stop.clone();
        move || {
            while !stop.load(Ordering::Relaxed) {
                Command::new("true").status().unwrap();
            }
        }
    });
    for round in 0..200 {
        let link = LabLink::spawn_at(address, target.local_addr().unwrap()).unwrap();
        let (mut connections, mut accepted) = (Vec::new(), Vec::new());
        for _ in 0..8 {
            connections.push(TcpStream::connect(address).await.unwrap());
            accepted.push(target.accept().await.unwrap());
        }
        let probes = connections.into_iter().map(|mut connection| {
            tokio::spawn(async move {
                let _ = connection.read_u8().await.unwrap_err();
                TcpStream::connect(address).await.map_err(|error| error.kind())
            })
        });
        let probes: Vec<_> = probes.collect();
        drop(link);
        for probe in probes {
            let reconnected = probe.await.unwrap();
            assert_eq!(reconnected.err(), Some(ErrorKind::ConnectionRefused), "in round {round}");
        }
    }
    stop.store(true, Ordering::Relaxed);
    process_starter.join().unwrap();
}

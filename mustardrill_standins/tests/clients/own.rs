//! The processes of the own interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use mustardrill_proto::ExecuteRequest;
use mustardrill_runtime::agents::AgentPool;
use mustardrill_standins::lab::{CUSTOMER_TOKEN, Lab, LabOptions};
use mustardrill_standins::process::LabProcess;

use crate::common::{LONG, serving_lab};
use crate::crowd::{
    ENDLESS_HEADS, EndlessInput, connect, ordinary_status, request_slowly, send_endless,
    wait_for_reading,
};
use crate::exclusive_run;
use crate::process_meter::{ProcessBounds, ProcessMeter};

/// The machine of each process; the settings name these limits.
const BOUNDS: ProcessBounds = ProcessBounds { memory_mb: 96, descriptors: 256 };

/// Clients that send without end.
const SENDERS: usize = 300;

/// Clients that only connect: more than a process may have descriptors.
const SILENT: usize = 400;

/// Clients with large bodies, and clients that read long answers slowly.
const LARGE: usize = 40;

/// The length of a large body, within the limit of 4 MB, and of its answer.
const LARGE_BYTES: usize = 3_900_000;

async fn start_lab() -> Lab {
    let limits = format!("memory_mb = {}\ndescriptors = {}", BOUNDS.memory_mb, BOUNDS.descriptors);
    let options = LabOptions {
        agents: 1,
        entries: 1,
        agent_lines: vec![("agent", limits.clone())],
        entry_lines: vec![("entry", limits)],
        ..LabOptions::default()
    };
    serving_lab(options).await.0
}

fn call(body: &str, length: usize) -> String {
    format!(
        "POST /v1/services/desk/file HTTP/1.1\r\nhost: desk\r\nauthorization: Bearer \
         {CUSTOMER_TOKEN}\r\nmustardrill-timeout-ms: 600000\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Sends ordinary requests until one is answered.
async fn wait_until_served(lab: &Lab) {
    let started_at = std::time::Instant::now();
    let request = call("a hull", 6);
    while ordinary_status(lab.entries[0].address, &request).await != Some(200) {
        assert!(started_at.elapsed() < LONG, "no ordinary request is answered");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Lets a crowd send each endless head to a listener, and then connect to it and send nothing.
async fn press_listener(lab: &Lab, process: &LabProcess, address: SocketAddr) {
    let meter = ProcessMeter::open(process);
    for input in &ENDLESS_HEADS {
        let mut clients = connect(address, SENDERS).await;
        send_endless(&mut clients, input).await;
        wait_until_served(lab).await;
        meter.check(input.name, BOUNDS);
    }
    let clients = connect(address, SILENT).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    wait_until_served(lab).await;
    drop(clients);
    meter.check("silent clients", BOUNDS);
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_of_the_own_interface_exhaust_an_entry() {
    let _run = exclusive_run().await;
    let lab = start_lab().await;
    press_listener(&lab, &lab.entries[0], lab.entries[0].address).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_at_the_operators_listener_exhaust_an_entry() {
    let _run = exclusive_run().await;
    let lab = start_lab().await;
    press_listener(&lab, &lab.entries[0], lab.entries[0].second_address.unwrap()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_at_the_local_listener_exhaust_an_agent() {
    let _run = exclusive_run().await;
    let lab = start_lab().await;
    let agent = &lab.plain[0].agent;
    press_listener(&lab, agent, agent.second_address.unwrap()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_at_the_listener_of_entries_exhaust_an_agent() {
    let _run = exclusive_run().await;
    let lab = start_lab().await;
    let agent = &lab.plain[0].agent;
    press_listener(&lab, agent, agent.address).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_take_more_than_the_memory_of_an_entry() {
    let _run = exclusive_run().await;
    let lab = start_lab().await;
    let meter = ProcessMeter::open(&lab.entries[0]);
    let mut clients = connect(lab.entries[0].address, LARGE).await;
    let opening = call("", LARGE_BYTES).leak();
    let input = EndlessInput { name: "bodies", opening, piece: "more", bytes: LARGE_BYTES - 8_000 };
    send_endless(&mut clients, &input).await;
    wait_for_reading().await;
    wait_until_served(&lab).await;
    meter.check(input.name, BOUNDS);
}

#[tokio::test(flavor = "multi_thread")]
async fn long_answers_that_are_read_slowly_hold_up_an_entry() {
    let _run = exclusive_run().await;
    let lab = start_lab().await;
    let meters = [&lab.entries[0], &lab.plain[0].agent].map(ProcessMeter::open);
    let mut clients = connect(lab.entries[0].address, LARGE).await;
    let body = "x".repeat(LARGE_BYTES);
    request_slowly(&mut clients, |_| call(&body, LARGE_BYTES).into_bytes()).await;
    wait_until_served(&lab).await;
    for meter in &meters {
        meter.check("long answers", BOUNDS);
    }
}

/// Requests of many entries at once, each with a body within the limit.
#[tokio::test(flavor = "multi_thread")]
async fn large_requests_of_entries_take_more_than_the_memory_of_an_agent() {
    let _run = exclusive_run().await;
    let lab = start_lab().await;
    let agent = &lab.plain[0].agent;
    let meter = ProcessMeter::open(agent);
    let body = Bytes::from(vec![b'x'; LARGE_BYTES]);
    let calls = (0..LARGE).map(async |number| {
        let mut client = AgentPool::default().client(&agent.address.to_string()).unwrap();
        let request = ExecuteRequest {
            attempt: Bytes::copy_from_slice(&[number as u8; 16]),
            remaining_ms: 5_000,
            method: "POST".into(),
            path: "/file".into(),
            body: body.clone(),
            ..ExecuteRequest::default()
        };
        // The answer stays unread.
        let answer = client.execute(request).await;
        wait_for_reading().await;
        drop(answer);
    });
    join_all(calls).await;
    wait_until_served(&lab).await;
    meter.check("large requests", BOUNDS);
}

//! An agent that violates the protocol: none of its data reaches callers or engines.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use common::{CHUNK, LONG, MODEL, SIZE, callers, model_file, rested_lab, serving_lab};
use mustardrill_core::membership::InstanceRecord;
use mustardrill_proto as proto;
use mustardrill_proto::agent_server::{Agent, AgentServer};
use mustardrill_proto::execute_frame::Part;
use mustardrill_runtime::agents::AgentPool;
use mustardrill_runtime::platform::InstanceListing;
use mustardrill_standins::lab::{Lab, LabOptions};
use mustardrill_types::ManifestDigest;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

/// An agent that claims to serve every version and answers each request with another violation in
/// turn.
#[derive(Clone)]
struct FaultyAgent {
    serving: Vec<Bytes>,
    violation_count: Arc<AtomicU64>,
    chunk_count: Arc<AtomicU64>,
}

fn frame(attempt: &Bytes, part: Part) -> Result<proto::ExecuteFrame, Status> {
    Ok(proto::ExecuteFrame { attempt: attempt.clone(), part: Some(part) })
}

/// Returns the frames of the violation with this number.
fn violation_frames(number: u64, attempt: &Bytes) -> Vec<Result<proto::ExecuteFrame, Status>> {
    let head = || Part::Head(proto::ExecuteHead { status: 200, ..proto::ExecuteHead::default() });
    let data = || Part::Data(Bytes::from_static(b"somebody else's answer"));
    let end = |length| Part::End(proto::ExecuteEnd { length, digest: vec![0; 32].into() });
    let crossed = Bytes::from_static(&[9; 16]);
    match number % 4 {
        // The complete answer of another attempt.
        0 => vec![frame(&crossed, head()), frame(&crossed, data()), frame(&crossed, end(22))],
        // No frames.
        1 => Vec::new(),
        // A head, followed by the end of a longer answer.
        2 => vec![frame(attempt, head()), frame(attempt, end(4_000))],
        // A refusal because the answer came from other weights than requested.
        _ => vec![frame(
            attempt,
            Part::Refusal(proto::Refusal { code: 3004, ..proto::Refusal::default() }),
        )],
    }
}

#[tonic::async_trait]
impl Agent for FaultyAgent {
    type ExecuteStream = ReceiverStream<Result<proto::ExecuteFrame, Status>>;

    async fn execute(
        &self,
        request: Request<proto::ExecuteRequest>,
    ) -> Result<Response<Self::ExecuteStream>, Status> {
        let number = self.violation_count.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = tokio::sync::mpsc::channel(8);
        for part in violation_frames(number, &request.into_inner().attempt) {
            sender.try_send(part).unwrap();
        }
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn sync(
        &self,
        request: Request<proto::SyncRequest>,
    ) -> Result<Response<proto::SyncReply>, Status> {
        Ok(Response::new(proto::SyncReply {
            instance: "liar".into(),
            generation: request.into_inner().generation,
            capacity: 1_000,
            serving: self.serving.clone(),
            ..proto::SyncReply::default()
        }))
    }

    async fn exchange(
        &self,
        request: Request<proto::ExchangeRequest>,
    ) -> Result<Response<proto::Holding>, Status> {
        Ok(Response::new(holding(request.into_inner().manifest)))
    }

    async fn claim(
        &self,
        _: Request<proto::ClaimRequest>,
    ) -> Result<Response<proto::ClaimReply>, Status> {
        Err(Status::unavailable("this agent coordinates no claims"))
    }

    async fn fetch_manifest(
        &self,
        _: Request<proto::FetchManifestRequest>,
    ) -> Result<Response<proto::FetchManifestReply>, Status> {
        Ok(Response::new(proto::FetchManifestReply { data: Bytes::from_static(b"{}") }))
    }

    async fn fetch_chunk(
        &self,
        request: Request<proto::FetchChunkRequest>,
    ) -> Result<Response<proto::FetchChunkReply>, Status> {
        self.chunk_count.fetch_add(1, Ordering::Relaxed);
        let result = proto::fetch_chunk_reply::Result::Data(vec![0; CHUNK as usize].into());
        let holding = Some(holding(request.into_inner().manifest));
        Ok(Response::new(proto::FetchChunkReply { holding, result: Some(result) }))
    }
}

/// A holding that claims every chunk.
fn holding(manifest: Bytes) -> proto::Holding {
    let bitmap = vec![255; 64].into();
    proto::Holding {
        manifest,
        instance: "liar".into(),
        bitmap,
        serving: true,
        ..proto::Holding::default()
    }
}

/// Starts such an agent and adds it to the instance list.
async fn add_faulty_agent(lab: &Lab, digests: &[&str]) -> FaultyAgent {
    let bytes = |digest: &&str| {
        let digest: ManifestDigest = digest.parse().unwrap();
        Bytes::copy_from_slice(&digest.0)
    };
    let faulty_agent = FaultyAgent {
        serving: digests.iter().map(bytes).collect(),
        violation_count: Arc::default(),
        chunk_count: Arc::default(),
    };
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server =
        tonic::transport::Server::builder().add_service(AgentServer::new(faulty_agent.clone()));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    let record = InstanceRecord {
        id: "liar".parse().unwrap(),
        agent: address.into(),
        ..lab.engines[0].record.clone()
    };
    let mut instances: Vec<_> =
        lab.engines.iter().chain(&lab.plain).map(|upstream| upstream.record.clone()).collect();
    instances.push(record);
    let body = serde_json::to_vec(&InstanceListing {
        instances,
        entries: 2,
        ..InstanceListing::default()
    })
    .unwrap();
    lab.call("PUT", lab.instances.address, "/v1/instances", body).await;
    faulty_agent
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_short_and_foreign_answers_reach_no_caller() {
    // The limit keeps the agent from being ejected for its failures, so that it sends each
    // violation several times.
    let ejection_line = ("routing", "eject_after = 100".to_owned());
    let options =
        LabOptions { agents: 3, entry_lines: vec![ejection_line], ..LabOptions::default() };
    let (lab, digest) = rested_lab(options).await;
    let faulty_agent = add_faulty_agent(&lab, &[&digest]).await;
    assert!(lab.wait_for_agents(0, 5, LONG).await);
    let load = callers(&lab, 100.0);
    for _ in 0..500 {
        if faulty_agent.violation_count.load(Ordering::Relaxed) >= 12 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let report = load.finish().await;
    assert!(
        faulty_agent.violation_count.load(Ordering::Relaxed) >= 12,
        "the faulty agent got fewer than 12 requests"
    );
    assert_eq!((report.wrong, report.lost), (0, 0), "{:?}", report.codes);
    assert_eq!(report.complete, report.sent, "{:?}", report.codes);
}

#[tokio::test(flavor = "multi_thread")]
async fn corrupt_chunks_of_a_peer_are_dropped() {
    let (lab, v1) = serving_lab(LabOptions { agents: 3, ..LabOptions::default() }).await;
    let v2 = lab.publish(MODEL, "v2", SIZE, CHUNK, 2).await;
    let faulty_agent = add_faulty_agent(&lab, &[&v1]).await;
    assert!(lab.wait_for_agents(0, 5, LONG).await);
    // The entry knows the agent; other agents read the list, which lags by 100 ms, every 100 ms.
    tokio::time::sleep(Duration::from_secs(1)).await;
    // With four replicas this agent is one of those that are to serve, and so a peer of the others.
    assert_eq!(lab.apply_catalogue(0, &model_file("v2", 1, 4)).await.0, 200);
    assert!(lab.wait_until_serving(&v2, 3, LONG).await.is_some(), "v2 was never served");
    let sent_chunks = faulty_agent.chunk_count.load(Ordering::Relaxed);
    // Each of three agents asks it a few times until it backs off.
    assert!(
        (1..=30).contains(&sent_chunks),
        "{sent_chunks} chunks were fetched from the faulty agent"
    );
    assert!(lab.logs().contains("decision=drop reason=corrupt"));
}

async fn execute(lab: &Lab, request: proto::ExecuteRequest) -> Vec<Part> {
    let pool = AgentPool::default();
    let mut client = pool.client(&lab.plain[0].agent.address.to_string()).unwrap();
    let mut frames = client.execute(request).await.unwrap().into_inner();
    let mut parts = Vec::new();
    while let Ok(Some(frame)) = frames.message().await {
        parts.extend(frame.part);
    }
    parts
}

fn refusal_code(parts: &[Part]) -> Option<u32> {
    match parts {
        [Part::Refusal(refusal_code)] => Some(refusal_code.code),
        _ => None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_refuses_late_and_repeated_requests() {
    let (lab, _) = serving_lab(LabOptions { agents: 1, ..LabOptions::default() }).await;
    let request = proto::ExecuteRequest {
        attempt: Bytes::from_static(&[7; 16]),
        remaining_ms: 5_000,
        method: "POST".into(),
        path: "/x".into(),
        body: Bytes::from_static(b"once"),
        ..proto::ExecuteRequest::default()
    };
    // The remaining time is ample, but on the agent's own clock the deadline is long over.
    let late = proto::ExecuteRequest { agent_deadline_ms: 1, ..request.clone() };
    assert_eq!(refusal_code(&execute(&lab, late).await), Some(2013));
    let pool = AgentPool::default();
    let mut client = pool.client(&lab.plain[0].agent.address.to_string()).unwrap();
    let (key, attempt) = (vec![5; 16].into(), vec![6; 16].into());
    let claim = proto::ClaimRequest { key, attempt, release: false, agent_deadline_ms: 1 };
    let late = client.claim(claim.clone()).await.unwrap_err();
    assert_eq!(late.code(), tonic::Code::DeadlineExceeded);
    let timely = client.claim(proto::ClaimRequest { agent_deadline_ms: 0, ..claim }).await.unwrap();
    assert_eq!(timely.into_inner().outcome(), proto::ClaimOutcome::Granted);
    let first = execute(&lab, request.clone()).await;
    assert!(matches!(first.last(), Some(Part::End(_))), "{first:?}");
    assert_eq!(refusal_code(&execute(&lab, request).await), Some(2015));
    let runs = lab.runs(&lab.plain[0]).await;
    assert_eq!(runs.iter().filter(|run| *run == "once").count(), 1);
}

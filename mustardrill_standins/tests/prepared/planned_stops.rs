//! Planned stops of an entry in calm: what callers get who send until the process is gone.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use mustardrill_standins::process::{LabProcess, daemon};
use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fleet::{Fleet, entry_settings};
use crate::worker::Worker;

/// The grace of the fleet's entry, at whose end the platform kills the process.
const GRACE: Duration = Duration::from_secs(4);

/// What an entry leaves of its grace for the exit of its process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// A moment of the stop at which the load balancer sends no more callers, with most of the grace
/// left.
const LATE: Duration = Duration::from_millis(1_500);

/// What a caller received until its connection ended, and when that was.
#[derive(Debug)]
struct ReceivedAnswer {
    attempt: String,
    text: String,
    ended_at: Instant,
}

impl ReceivedAnswer {
    fn status(&self) -> u16 {
        let status = self.text.strip_prefix("HTTP/1.1 ").and_then(|text| text.get(..3));
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Whether the first answer is there to its last byte.
    fn is_complete(&self) -> bool {
        let Some((head, body)) = self.text.split_once("\r\n\r\n") else { return false };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        match length {
            Some(length) => body.len() >= length.parse::<usize>().unwrap(),
            None => body.ends_with("0\r\n\r\n"),
        }
    }

    /// Whether it says truthfully that the request has not run, and lets the caller go elsewhere.
    fn is_refusal(&self) -> bool {
        let head = self.text.split("\r\n\r\n").next().unwrap_or_default();
        self.status() == 503
            && self.is_complete()
            && head.contains("retry-after: ")
            && head.contains("connection: close")
    }
}

/// The head of a request with a body of four bytes.
fn request_head(attempt: &str, path: &str, deadline: Duration) -> String {
    let model = if path.starts_with("/drafts/") { "x-model: m0\r\n" } else { "" };
    let method = if path.starts_with("/status/") { "GET" } else { "POST" };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: drafts.example\r\nx-attempt-id: {attempt}\r\n{model}\
         x-deadline-ms: {}\r\nauthorization: Token key-1\r\ncontent-length: 4\r\n\r\n",
        deadline.as_millis()
    )
}

/// Starts another entry with changed settings, and waits until it serves.
async fn start_entry(fleet: &Fleet, change: impl Fn(String) -> String) -> LabProcess {
    let ip = fleet.network.machine_ip(4);
    let settings = change(entry_settings("entry-2", ip, fleet.stand_ins[0].address));
    let entry = daemon(&fleet.folder, "mustardrill-entry", "entry-2", &settings);
    let is_served = async || {
        let request = request_head("probe", "/status/x", Duration::from_secs(1)) + "body";
        let mut stream = TcpStream::connect(entry.address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        read_one("probe", &mut stream).await.status() == 200
    };
    fleet.wait_until("the entry serves", is_served).await;
    entry
}

async fn open(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(fleet.entry.address).await.unwrap()
}

/// Reads until the connection ends, however it ends.
async fn read_answer(attempt: &str, mut stream: TcpStream) -> ReceivedAnswer {
    let (mut received, mut block) = (Vec::new(), vec![0; 4_096]);
    let reading = async {
        while let Ok(count) = stream.read(&mut block).await
            && count > 0
        {
            received.extend_from_slice(&block[..count]);
        }
    };
    tokio::time::timeout(Duration::from_secs(20), reading).await.expect("the connection ends");
    let text = String::from_utf8_lossy(&received).into_owned();
    ReceivedAnswer { attempt: attempt.into(), text, ended_at: Instant::now() }
}

/// Reads one answer of a kept connection.
async fn read_one(attempt: &str, stream: &mut TcpStream) -> ReceivedAnswer {
    let (mut text, mut block) = (String::new(), vec![0; 4_096]);
    loop {
        let answer = ReceivedAnswer { attempt: attempt.into(), text, ended_at: Instant::now() };
        if answer.is_complete() {
            return answer;
        }
        match stream.read(&mut block).await {
            Ok(count) if count > 0 => {
                text = answer.text + &String::from_utf8_lossy(&block[..count]);
            }
            _ => return answer,
        }
    }
}

/// Sends a whole request on a connection of its own; empty where that is refused.
async fn call(
    address: SocketAddr,
    attempt: &str,
    path: &str,
    deadline: Duration,
) -> ReceivedAnswer {
    let request = request_head(attempt, path, deadline) + "body";
    match TcpStream::connect(address).await {
        Ok(mut stream) => {
            let _ = stream.write_all(request.as_bytes()).await;
            read_answer(attempt, stream).await
        }
        Err(_) => ReceivedAnswer {
            attempt: attempt.into(),
            text: String::new(),
            ended_at: Instant::now(),
        },
    }
}

/// Waits for the end of a stop that has begun; an entry that outlives its grace is killed, as by the
/// platform.
async fn watch_stop(entry: &mut LabProcess, grace: Duration) {
    let stopped_at = Instant::now();
    while !entry.has_ended() {
        if stopped_at.elapsed() >= grace {
            entry.kill();
            panic!("the entry had not ended at the end of its grace");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A request whose last byte came late in the stop was passed on like all others. Its worker was still
/// at work when the process ended: a stream was cut, and what may run once ran without its answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_read_late_in_a_planned_stop_runs_without_an_answer() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    fleet.engines[0].set_answer_delay(Duration::from_millis(600));
    fleet.desks.iter().for_each(|desk| desk.set_answer_delay(Duration::from_millis(3_500)));
    let deadline = Duration::from_secs(6);
    let mut calls = Vec::new();
    for (path, name) in [("/drafts/x", "draft"), ("/notices/x", "notice"), ("/status/x", "status")]
    {
        for (share, part) in [(1, "head"), (2, "body")] {
            let attempt = format!("late-{name}-{part}");
            let request = request_head(&attempt, path, deadline) + "body";
            let cut_at = if share == 1 { request.len() / 2 } else { request.len() - 2 };
            let (first, last) = request.split_at(cut_at);
            let mut stream = open(&fleet).await;
            stream.write_all(first.as_bytes()).await.unwrap();
            calls.push((attempt, stream, last.to_owned()));
        }
    }
    // The entry has read the first parts.
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.entry.terminate();
    tokio::time::sleep(LATE).await;
    let answers = calls.into_iter().map(async |(attempt, mut stream, last)| {
        let _ = stream.write_all(last.as_bytes()).await;
        read_answer(&attempt, stream).await
    });
    for answer in join_all(answers).await {
        let runs = fleet.runs(&answer.attempt);
        assert!(
            answer.is_refusal() && runs == 0,
            "{}: {runs} runs, {:?}\n{}",
            answer.attempt,
            answer.text,
            fleet.logs()
        );
    }
}

/// What surely ends within the grace is served, as the caller might find no other entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_request_that_ends_within_the_grace_is_refused() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    let request = request_head("short", "/notices/x", Duration::from_millis(2_500)) + "body";
    let (first, last) = request.split_at(request.len() - 2);
    let mut stream = open(&fleet).await;
    stream.write_all(first.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.entry.terminate();
    tokio::time::sleep(Duration::from_millis(700)).await;
    stream.write_all(last.as_bytes()).await.unwrap();
    let answer = read_answer("short", stream).await;
    assert_eq!(
        (answer.status(), fleet.runs("short")),
        (200, 1),
        "{}\n{}",
        answer.text,
        fleet.logs()
    );
}

/// The refusal of what has no answer yet was also carried out on streams that had begun since their
/// last attempt was sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_has_begun_is_cut_before_the_end_of_the_grace() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    fleet.engines[0].set_answer_delay(Duration::from_millis(900));
    let deadline = Duration::from_secs(6);
    let stream = call(fleet.entry.address, "begun", "/drafts/x", deadline);
    let stopping = async {
        fleet.wait_until("it runs", async || fleet.runs("begun") == 1).await;
        let stopped_at = Instant::now();
        fleet.entry.terminate();
        stopped_at
    };
    let (answer, stopped_at) = tokio::join!(stream, stopping);
    let served_for = answer.ended_at.duration_since(stopped_at);
    assert!(answer.text.contains("id: 3"), "{}", answer.text);
    assert!(
        answer.is_complete() || served_for >= GRACE - EXIT_MARGIN,
        "cut after {served_for:?}\n{}",
        fleet.logs()
    );
    let refusal = "request=begun decision=refuse";
    assert!(!fleet.logs().contains(refusal), "{}", fleet.logs());
}

/// Callers of all kinds send from before the stop until the process is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_a_planned_stop_is_passed_on_and_gets_no_answer() {
    const INTERVAL: Duration = Duration::from_millis(50);
    let mut fleet = Fleet::start(vec![Worker::new("i-1", 1), Worker::new("i-2", 1)]).await;
    fleet.engines.iter().for_each(|it| it.set_answer_delay(Duration::from_millis(60)));
    fleet.desks.iter().for_each(|it| it.set_answer_delay(Duration::from_millis(300)));
    let address = fleet.entry.address;
    let trickle = async {
        let started_at = Instant::now();
        let mut open_calls = Vec::new();
        for number in 0_u32.. {
            if started_at.elapsed() >= GRACE + Duration::from_millis(500) {
                break;
            }
            let path = ["/drafts/x", "/notices/x", "/status/x"][number as usize % 3];
            let attempt = format!("trickle-{number}");
            let request = request_head(&attempt, path, Duration::from_secs(6)) + "body";
            open_calls.push(tokio::spawn(async move {
                let Ok(mut stream) = TcpStream::connect(address).await else { return None };
                let _ = stream.write_all(request.as_bytes()).await;
                Some(read_answer(&attempt, stream).await)
            }));
            tokio::time::sleep(INTERVAL).await;
        }
        join_all(open_calls).await.into_iter().map(Result::unwrap)
    };
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.entry.terminate();
        tokio::time::sleep(Duration::from_millis(100)).await;
        // The settings file may change at any time.
        let id = Pid::from_raw(fleet.entry.id() as i32).unwrap();
        kill_process(id, Signal::HUP).unwrap();
        watch_stop(&mut fleet.entry, GRACE).await;
    };
    let (answers, ()) = tokio::join!(trickle, stopping);
    let mut served = 0;
    for answer in answers.flatten() {
        let runs = fleet.runs(&answer.attempt);
        let is_sound = answer.is_complete() || runs == 0;
        let is_true = answer.status() != 503 || runs == 0;
        assert!(is_sound && is_true, "{}: {runs} runs, {}", answer.attempt, answer.text);
        served += usize::from(answer.status() == 200);
    }
    assert!(served > 0, "{}", fleet.logs());
}

/// The second of two requests that arrive at once on one connection is read with the first one.
#[tokio::test(flavor = "multi_thread")]
async fn a_pipelined_request_costs_the_answer_before_it_in_a_planned_stop() {
    const CALLERS: usize = 20;
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    fleet.desks.iter().for_each(|it| it.set_answer_delay(Duration::from_millis(600)));
    let pipeline = async |number: usize| {
        let (first, second) = (format!("first-{number}"), format!("second-{number}"));
        let deadline = Duration::from_secs(6);
        let requests = [&first, &second]
            .map(|attempt| request_head(attempt, "/notices/x", deadline) + "body")
            .concat();
        let mut stream = open(&fleet).await;
        tokio::time::sleep(Duration::from_millis(50) * number as u32).await;
        let _ = stream.write_all(requests.as_bytes()).await;
        (read_answer(&first, stream).await, second)
    };
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.entry.terminate();
    };
    let (answers, ()) = tokio::join!(join_all((0..CALLERS).map(pipeline)), stopping);
    for (answer, second) in answers {
        let runs = (fleet.runs(&answer.attempt), fleet.runs(&second));
        let answers = answer.text.matches("HTTP/1.1 ").count();
        let is_sound = answer.is_complete() || runs.0 == 0;
        assert!(is_sound && runs.1 < answers.max(1), "{runs:?} {answer:?}\n{}", fleet.logs());
    }
}

/// A request that gets a worker only in the last moments of the grace ran for nobody. The stop is as
/// long as on the platform.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_has_waited_starts_at_the_end_of_the_grace() {
    /// Twice the slots of the worker.
    const CALLERS: usize = 32;
    const DEPLOYED_GRACE: Duration = Duration::from_secs(8);
    /// The worker has free slots again in the last sixth of the grace.
    const FIRST_CALL: Duration = Duration::from_millis(1_500);
    const RUN_TIME: Duration = Duration::from_millis(5_500);
    let fleet = Fleet::start(Vec::new()).await;
    fleet.store.remove("servers/i-desk-2");
    let settings = |text: String| {
        let text = text.replace("linger = 500ms\n", "").replace("grace = 4s", "grace = 8s");
        text + "[admission]\nahead = 0\nlate_wait = 10s\n"
    };
    let mut entry = start_entry(&fleet, settings).await;
    fleet.desks[0].set_answer_delay(RUN_TIME);
    let stopped_at = Instant::now();
    entry.terminate();
    tokio::time::sleep(FIRST_CALL).await;
    let calls = (0..CALLERS).map(|number| {
        let (attempt, address) = (format!("waits-{number}"), entry.address);
        async move { call(address, &attempt, "/notices/x", Duration::from_secs(6)).await }
    });
    let mut refused = 0;
    for answer in join_all(calls).await {
        let runs = fleet.runs(&answer.attempt);
        let is_true = if runs == 0 { answer.is_refusal() } else { answer.is_complete() };
        assert!(is_true, "{runs} runs, {answer:?}\n{}", fleet.logs());
        refused += usize::from(runs == 0);
    }
    assert!(refused > 0, "none has waited\n{}", fleet.logs());
    let last_start = DEPLOYED_GRACE * 5 / 6;
    for (run, started_at) in fleet.desks[0].timed_runs() {
        let started_after = started_at.saturating_duration_since(stopped_at);
        assert!(started_after < last_start, "{run}: {started_after:?}\n{}", fleet.logs());
    }
    watch_stop(&mut entry, DEPLOYED_GRACE).await;
}

/// With a grace shorter than the time for which new requests were taken, the platform killed the
/// process under all of them.
#[tokio::test(flavor = "multi_thread")]
async fn a_grace_shorter_than_the_linger_ends_without_answers() {
    const SHORT_GRACE: Duration = Duration::from_secs(2);
    let fleet = Fleet::start(Vec::new()).await;
    let settings =
        |text: String| text.replace("linger = 500ms\n", "").replace("grace = 4s", "grace = 2s");
    let mut entry = start_entry(&fleet, settings).await;
    fleet.desks.iter().for_each(|desk| desk.set_answer_delay(Duration::from_secs(3)));
    let address = entry.address;
    let answer = call(address, "short-grace", "/notices/x", Duration::from_secs(6));
    let stopping = async {
        fleet.wait_until("it runs", async || fleet.runs("short-grace") == 1).await;
        entry.terminate();
        watch_stop(&mut entry, SHORT_GRACE).await;
    };
    let (answer, ()) = tokio::join!(answer, stopping);
    assert!(answer.status() == 502 && answer.is_complete(), "{answer:?}\n{}", fleet.logs());
}

/// Callers keep their connections until they are told to close them, or they are closed.
#[tokio::test(flavor = "multi_thread")]
async fn a_kept_connection_is_closed_under_a_request_that_runs() {
    const CALLERS: usize = 12;
    let mut fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    fleet.engines[0].set_answer_delay(Duration::from_millis(20));
    fleet.desks.iter().for_each(|it| it.set_answer_delay(Duration::from_millis(40)));
    let address = fleet.entry.address;
    let caller = async |place: usize| {
        let path = ["/drafts/x", "/notices/x", "/status/x"][place % 3];
        let mut answers = Vec::new();
        let Ok(mut stream) = TcpStream::connect(address).await else { return answers };
        for number in 0.. {
            let attempt = format!("kept-{place}-{number}");
            let request = request_head(&attempt, path, Duration::from_secs(6)) + "body";
            let _ = stream.write_all(request.as_bytes()).await;
            let answer = read_one(&attempt, &mut stream).await;
            let is_last = !answer.is_complete() || answer.text.contains("connection: close");
            answers.push(answer);
            if is_last {
                break;
            }
            // Longer than the linger of the stop for some: their connections are idle at its end.
            tokio::time::sleep(Duration::from_millis(60) * (place as u32 + 1)).await;
        }
        answers
    };
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        fleet.entry.terminate();
        watch_stop(&mut fleet.entry, GRACE).await;
    };
    let (answers, ()) = tokio::join!(join_all((0..CALLERS).map(caller)), stopping);
    for answer in answers.into_iter().flatten() {
        let runs = fleet.runs(&answer.attempt);
        assert!(answer.is_complete() || runs == 0, "{runs} {answer:?}\n{}", fleet.logs());
        assert!(answer.status() != 503 || runs == 0, "{runs} {answer:?}\n{}", fleet.logs());
    }
}

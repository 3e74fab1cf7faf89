//! Planned stops of an entry in calm: what callers get who send until the process is gone.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use mustardrill_standins::process::LabProcess;
use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fleet::Fleet;
use crate::worker::Worker;

/// The grace of the fleet's entry, at whose end the platform kills the process.
const GRACE: Duration = Duration::from_secs(4);

/// What an entry leaves of its grace for the exit of its process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

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
async fn call(fleet: &Fleet, attempt: &str, path: &str, deadline: Duration) -> ReceivedAnswer {
    let request = request_head(attempt, path, deadline) + "body";
    match TcpStream::connect(fleet.entry.address).await {
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
async fn watch_stop(entry: &mut LabProcess) {
    let stopped_at = Instant::now();
    while !entry.has_ended() {
        if stopped_at.elapsed() >= GRACE {
            entry.kill();
            panic!("the entry had not ended at the end of its grace");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The refusal of what has no answer yet was also carried out on streams that had begun since their
/// last attempt was sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_has_begun_is_cut_before_the_end_of_the_grace() {
    let fleet = Fleet::start(vec![Worker::new("i-1", 1)]).await;
    fleet.engines[0].set_answer_delay(Duration::from_millis(900));
    let deadline = Duration::from_secs(6);
    let stream = call(&fleet, "begun", "/drafts/x", deadline);
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
        watch_stop(&mut fleet.entry).await;
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

/// What waits for a worker until the end of the grace has not run, and its caller learns it in time.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_until_the_end_of_the_grace_is_answered_as_unknown() {
    const CALLERS: usize = 6;
    let mut fleet = Fleet::start(Vec::new()).await;
    fleet.store.remove("servers/i-desk-2");
    let address = fleet.stand_ins[2].address;
    let entry = serde_json::json!({"service": "desk", "address": address, "zone": "hall-a",
        "version": "v1", "slots": 1, "state": "ready", "cold_remaining_ms": 0, "models": [],
        "sequence": 2, "born": fleet.desks[0].born()});
    fleet.store.write("servers/i-desk-1", &entry);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.desks[0].set_answer_delay(Duration::from_millis(1_720));
    fleet.entry.terminate();
    let calls = join_all((0..CALLERS).map(async |number| {
        call(&fleet, &format!("waits-{number}"), "/notices/x", Duration::from_secs(6)).await
    }))
    .await;
    let mut refused = 0;
    for answer in calls {
        let runs = fleet.runs(&answer.attempt);
        let is_true = if runs == 0 { answer.is_refusal() } else { answer.status() == 200 };
        assert!(is_true, "{runs} runs, {answer:?}\n{}", fleet.logs());
        refused += usize::from(runs == 0);
    }
    assert!(refused > 0, "{}", fleet.logs());
    watch_stop(&mut fleet.entry).await;
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
        watch_stop(&mut fleet.entry).await;
    };
    let (answers, ()) = tokio::join!(join_all((0..CALLERS).map(caller)), stopping);
    for answer in answers.into_iter().flatten() {
        let runs = fleet.runs(&answer.attempt);
        assert!(answer.is_complete() || runs == 0, "{runs} {answer:?}\n{}", fleet.logs());
        assert!(answer.status() != 503 || runs == 0, "{runs} {answer:?}\n{}", fleet.logs());
    }
}

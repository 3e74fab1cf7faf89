//! Long-lived tasks that panic.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use kameo::prelude::*;
use mustardrill_runtime::supervision::{self, ProcessFailure};
use tokio_util::sync::CancellationToken;

/// Long enough for a task to start again after its first panic, whose pause is 200 ms at most.
const RESTART_SPAN: Duration = Duration::from_secs(5);

/// The shortest pauses after the first panics: half of 200, 400, 800 and 1,600 ms.
const LEAST_PAUSES_MS: [u64; 4] = [100, 200, 400, 800];

/// A task whose first runs panic.
#[derive(Debug, Clone, Default)]
struct FaultyTask {
    faults: usize,
    starts: Arc<Mutex<Vec<Instant>>>,
    ended: Arc<AtomicUsize>,
}

/// Counts the runs that were dropped.
struct RunGuard(Arc<AtomicUsize>);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl FaultyTask {
    fn new(faults: usize) -> Self {
        Self { faults, ..Self::default() }
    }

    fn spawn(&self, halt: CancellationToken) {
        let task = self.clone();
        supervision::spawn("faulty", halt, move || task.clone().run());
    }

    async fn run(self) {
        let _guard = RunGuard(self.ended.clone());
        let run = {
            let mut starts = self.starts.lock().unwrap();
            starts.push(Instant::now());
            starts.len()
        };
        tokio::task::yield_now().await;
        assert!(run > self.faults, "run {run}");
        std::future::pending::<()>().await;
    }

    fn starts(&self) -> Vec<Instant> {
        self.starts.lock().unwrap().clone()
    }

    async fn wait_for_starts(&self, count: usize) {
        let waiting = async {
            while self.starts().len() < count {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(RESTART_SPAN, waiting).await.expect("the task is started again");
    }
}

#[tokio::test]
async fn a_task_that_panicked_stays_away() {
    let (task, halt) = (FaultyTask::new(1), CancellationToken::new());
    task.spawn(halt.clone());
    task.wait_for_starts(2).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(task.starts().len(), 2, "a run that goes on is not repeated");
    halt.cancel();
}

#[tokio::test]
async fn a_task_that_always_panics_starts_in_a_tight_loop() {
    let (task, halt) = (FaultyTask::new(usize::MAX), CancellationToken::new());
    task.spawn(halt.clone());
    task.wait_for_starts(LEAST_PAUSES_MS.len() + 1).await;
    halt.cancel();
    let starts = task.starts();
    for (pair, least_ms) in starts.windows(2).zip(LEAST_PAUSES_MS) {
        let pause = pair[1] - pair[0];
        assert!(pause >= Duration::from_millis(least_ms), "{pause:?} of {least_ms} ms");
    }
}

#[tokio::test]
async fn a_task_outlives_the_cancellation() {
    for faults in [0, usize::MAX] {
        let (task, halt) = (FaultyTask::new(faults), CancellationToken::new());
        task.spawn(halt.clone());
        task.wait_for_starts(1).await;
        halt.cancel();
        tokio::time::sleep(Duration::from_millis(600)).await;
        let (starts, ended) = (task.starts().len(), task.ended.load(Ordering::SeqCst));
        assert_eq!((starts, ended), (1, 1), "faults={faults}");
    }
}

/// Whether a process has failed within a second.
async fn has_failed(failure: &ProcessFailure) -> bool {
    tokio::time::timeout(Duration::from_secs(1), failure.occurred()).await.is_ok()
}

#[tokio::test]
async fn a_process_outlives_its_essential_task() {
    let halt = CancellationToken::new();
    let failure = ProcessFailure::default();
    failure.spawn_essential("sound", halt.clone(), std::future::pending::<&str>());
    assert!(!has_failed(&failure).await);

    failure.spawn_essential("faulty", halt.clone(), async {
        if tokio::time::Instant::now().elapsed() < RESTART_SPAN {
            panic!("its state is lost");
        }
        ""
    });
    assert!(has_failed(&failure).await, "it panicked");

    let failure = ProcessFailure::default();
    failure.spawn_essential("ended", halt.clone(), async { "it returned" });
    assert!(has_failed(&failure).await, "it returned");
}

/// Owns state as the daemons' actors do.
#[derive(Actor)]
struct CountingActor(u32);

/// Adds to the count; panics where that overflows.
struct AddCount(u32);

impl Message<AddCount> for CountingActor {
    type Reply = u32;

    async fn handle(&mut self, AddCount(count): AddCount, _: &mut Context<Self, u32>) -> u32 {
        self.0 = self.0.checked_add(count).expect("the count is in range");
        self.0
    }
}

#[tokio::test]
async fn a_process_lives_on_without_its_actor() {
    let (halt, failure) = (CancellationToken::new(), ProcessFailure::default());
    let actor = CountingActor::spawn_with_mailbox(CountingActor(0), mailbox::unbounded());
    failure.watch_actor(halt.clone(), actor.clone());
    assert_eq!(actor.ask(AddCount(u32::MAX)).await.unwrap(), u32::MAX);
    assert!(!has_failed(&failure).await);
    let _ = actor.tell(AddCount(1)).await;
    assert!(has_failed(&failure).await, "the actor panicked");
}

#[tokio::test]
async fn an_actor_that_ends_with_its_process_counts_as_a_failure() {
    let (halt, failure) = (CancellationToken::new(), ProcessFailure::default());
    let actor = CountingActor::spawn_with_mailbox(CountingActor(0), mailbox::unbounded());
    failure.watch_actor(halt.clone(), actor.clone());
    halt.cancel();
    drop(actor);
    assert!(!has_failed(&failure).await);
}

#[tokio::test]
async fn a_process_that_was_halted_fails() {
    let (halt, failure) = (CancellationToken::new(), ProcessFailure::default());
    let ending = halt.clone();
    failure.spawn_essential("ending", halt.clone(), async move {
        ending.cancelled().await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        "it was halted"
    });
    halt.cancel();
    assert!(!has_failed(&failure).await);
}

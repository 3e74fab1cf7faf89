//! Long-lived tasks: each is started again after a panic, or ends the process where its state is lost.

use std::any::Any;
use std::fmt::Display;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;
use kameo::actor::{Actor, ActorRef};
use log::{error, warn};
use mustardrill_types::Millis;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::backoff::RetryBackoff;
use crate::logging;

/// The longest pause after the first panic of a task.
const FIRST_PAUSE: Millis = Millis(200);

/// The longest pause after any number of panics. An entry serves nobody while the task that confirms
/// its configuration pauses.
const MAX_PAUSE: Millis = Millis(2_000);

/// A run of this length ends a series of panics.
const SOUND_RUN: Duration = Duration::from_secs(10);

/// Spawns a task that runs until `halt` is cancelled. `start` begins each run anew, without the state
/// of the run before.
pub fn spawn<F>(
    name: &'static str,
    halt: CancellationToken,
    mut start: impl FnMut() -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(halt.run_until_cancelled_owned(async move {
        let mut backoff = RetryBackoff::new(FIRST_PAUSE, MAX_PAUSE);
        loop {
            let started_at = Instant::now();
            let run = AssertUnwindSafe(async { start().await }).catch_unwind();
            let Err(panic) = run.await else {
                warn!("task={name} outcome=ended");
                return;
            };
            if started_at.elapsed() >= SOUND_RUN {
                backoff.answered();
            }
            let pause = backoff.failed(&mut rand::rng());
            let reason = panic_message(&*panic);
            error!("task={name} outcome=panicked decision=restart after={pause} reason={reason:?}");
            tokio::time::sleep(pause.to_std()).await;
        }
    }));
}

/// The failure of a process: one of its essential tasks has ended, and with it state that nothing
/// restores but a new start of the process.
#[derive(Debug, Clone, Default)]
pub struct ProcessFailure(CancellationToken);

impl ProcessFailure {
    /// Spawns a task without which the process is of no use. The process has failed if the task ends
    /// before `halt` is cancelled; its output is the reason.
    pub fn spawn_essential<F>(&self, name: &'static str, halt: CancellationToken, task: F)
    where
        F: Future<Output: Display + Send> + Send + 'static,
    {
        let failure = self.0.clone();
        tokio::spawn(halt.run_until_cancelled_owned(async move {
            let reason = match AssertUnwindSafe(task).catch_unwind().await {
                Ok(reason) => reason.to_string(),
                Err(panic) => panic_message(&*panic).into(),
            };
            error!("task={name} outcome=ended decision=end-process reason={reason:?}");
            failure.cancel();
        }));
    }

    /// Watches the actor that owns a process's reducer, whose state a panic may leave half-changed.
    pub fn watch_actor<A: Actor>(&self, halt: CancellationToken, actor: ActorRef<A>) {
        self.spawn_essential("actor", halt, async move {
            actor
                .wait_for_shutdown_with_result(|end| match end {
                    Ok(reason) => reason.to_string(),
                    Err(error) => format!("{error:?}"),
                })
                .await
        });
    }

    /// Waits until the process has failed, and until the log has had the time to say so.
    pub async fn occurred(&self) {
        self.0.cancelled().await;
        tokio::time::sleep(logging::WRITE_SPAN).await;
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("unknown")
}

//! Planned stops: the first signal drains, the second ends at once.

use log::warn;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Cancels `stop` at the first SIGTERM or SIGINT, and `halt` at the second.
pub fn spawn(stop: CancellationToken, halt: CancellationToken) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        for token in [stop, halt] {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
            warn!("signal decision=stop");
            token.cancel();
        }
    });
    Ok(())
}

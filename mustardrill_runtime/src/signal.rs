//! Planned stops: the first signal drains, the second ends at once.

use log::warn;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Cancels `stop` at the first SIGTERM or SIGINT, and `halt` at the second.
pub fn spawn(stop: CancellationToken, halt: CancellationToken) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        // The settings of a process are read at its start; without a handler the signal would end
        // it and with it the requests in progress.
        while reload.recv().await.is_some() {
            log::info!("reload outcome=kept reason=\"settings are read at start\"");
        }
    });
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

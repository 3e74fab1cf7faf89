//! Signal handling: the first stop signal drains the process, the second ends it at once.

use log::warn;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Cancels `stop` on the first SIGTERM or SIGINT, and `halt` on the second. SIGHUP is ignored.
pub fn spawn(stop: CancellationToken, halt: CancellationToken) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        // Settings are read only at start, so there is nothing to reload. Without a handler, SIGHUP
        // would terminate the process and the requests in progress.
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

//! Detection of changes to a settings file, by polling and by SIGHUP.

use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Interval at which the file is read and compared with the last known content.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Sends an event after each change of the file at `path`, until the event loop has ended. SIGHUP
/// is caught from this call on and triggers an immediate check of the file.
///
/// # Errors
/// Fails if no handler can be installed for the signal.
pub fn changes<E: 'static>(
    path: PathBuf,
    events: mpsc::Sender<E>,
    event: impl Fn() -> E + 'static,
) -> std::io::Result<impl Future<Output = ()>> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut known = std::fs::read(&path).ok();
    Ok(async move {
        loop {
            tokio::select! {
                _ = hangup.recv() => {}
                () = sleep(POLL_INTERVAL) => {}
            }
            // The file may be missing briefly while it is being replaced.
            let content = std::fs::read(&path).ok();
            if content.is_none() || content == known {
                continue;
            }
            known = content;
            if events.send(event()).await.is_err() {
                return;
            }
        }
    })
}

//! Changes of a settings file, with and without a signal.

use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Interval at which the file is compared with what was read last.
const INTERVAL: Duration = Duration::from_secs(1);

/// Sends an event after each change of the file, until the loop has ended. SIGHUP is caught from
/// the call on and has the file looked at without delay.
///
/// # Errors
/// Fails if the signal can't be caught.
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
                () = sleep(INTERVAL) => {}
            }
            // A file that is being replaced may be missing for a moment.
            let present = std::fs::read(&path).ok();
            if present.is_none() || present == known {
                continue;
            }
            known = present;
            if events.send(event()).await.is_err() {
                return;
            }
        }
    })
}

//! Signals that request a graceful stop of the process.

use std::io;

use tokio::signal::unix::{SignalKind, signal as install_handler};

/// Signal that requested the stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// SIGTERM, as sent by a service manager.
    Terminate,
    /// SIGINT, as sent by control-C.
    Interrupt,
}

/// Returns a future that completes at SIGTERM or SIGINT.
///
/// The signals are caught from this call on, not from the first poll, so that a signal during
/// start-up is not lost.
///
/// # Errors
/// Fails if no handlers can be installed for the signals.
pub fn signal() -> io::Result<impl Future<Output = Signal>> {
    let mut terminate = install_handler(SignalKind::terminate())?;
    let mut interrupt = install_handler(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => Signal::Terminate,
            _ = interrupt.recv() => Signal::Interrupt,
        }
    })
}

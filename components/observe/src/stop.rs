//! Signals that stop a process.

use std::io;

use tokio::signal::unix::{SignalKind, signal as listen};

/// Signal that asked for the stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// The platform wants the process to stop.
    Terminate,
    /// Somebody pressed control-C.
    Interrupt,
}

/// Returns a future that ends at SIGTERM or SIGINT.
///
/// The signals are caught from the call on, not from the first poll, so that a signal during the
/// start is not lost.
///
/// # Errors
/// Fails if the signals can't be caught.
pub fn signal() -> io::Result<impl Future<Output = Signal>> {
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => Signal::Terminate,
            _ = interrupt.recv() => Signal::Interrupt,
        }
    })
}

//! Runtime of a process.

use std::process::ExitCode;

use anyhow::{Context, Result};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs `main` on a runtime of this thread alone. I/O tasks are started with `spawn_local`; those
/// still running when `main` ends are dropped.
///
/// # Errors
/// Returns the error of `main`, or of the start of the runtime.
pub fn block<T>(main: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start the runtime")?;
    LocalSet::new().block_on(&runtime, main)
}

/// Runs `main` like [`block`] and turns its result into the exit code of the process; an error goes
/// to standard error with its causes.
pub fn run(main: impl Future<Output = Result<()>>) -> ExitCode {
    match block(main) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

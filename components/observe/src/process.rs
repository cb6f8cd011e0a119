//! Async runtime and exit code of a process.

use std::process::ExitCode;

use anyhow::{Context, Result};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs `main` on a single-threaded runtime in the current thread. I/O tasks are started with
/// `spawn_local`; those still running when `main` ends are dropped.
///
/// # Errors
/// Returns the error of `main`, or of the start of the runtime.
pub fn block_on<T>(main: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start the runtime")?;
    LocalSet::new().block_on(&runtime, main)
}

/// Runs `main` like [`block_on`] and converts its result to the exit code of the process. An error
/// is written to standard error with its causes.
pub fn run(main: impl Future<Output = Result<()>>) -> ExitCode {
    match block_on(main) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

//! Set-up of the log.

use std::io;

use anyhow::{Result, anyhow};
use settings::{Format, Level};
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Sends log lines to standard error from now on.
///
/// # Errors
/// Fails if the log of this process is set up already.
pub fn init(format: Format, level: Level) -> Result<()> {
    let builder = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_ansi(false)
        .with_max_level(filter(level));
    match format {
        Format::Text => builder.try_init(),
        Format::Json => builder.json().try_init(),
    }
    .map_err(|error| anyhow!("set up the log: {error}"))
}

/// Lines that wait for standard output; further ones are left out.
const LINES: usize = 4096;

/// Sends log lines to standard output from now on, from a thread of its own: a reader that stops
/// reading costs lines, not time. Dropping the guard writes what waits.
///
/// # Errors
/// Fails if the log of this process is set up already.
pub fn to_stdout(format: Format, level: Level) -> Result<WorkerGuard> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES)
        .finish(io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_writer(writer)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(filter(level));
    match format {
        Format::Text => builder.try_init(),
        Format::Json => builder.json().flatten_event(true).try_init(),
    }
    .map_err(|error| anyhow!("set up the log: {error}"))?;
    Ok(guard)
}

fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}

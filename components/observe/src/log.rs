//! Initialisation of the log.

use std::io;

use anyhow::{Result, anyhow};
use settings::{Format, Level};
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Writes log lines to standard error from now on.
///
/// # Errors
/// Fails if the log of this process is already initialised.
pub fn init(format: Format, level: Level) -> Result<()> {
    let builder = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_ansi(false)
        .with_max_level(level_filter(level));
    match format {
        Format::Text => builder.try_init(),
        Format::Json => builder.json().try_init(),
    }
    .map_err(|error| anyhow!("initialise the log: {error}"))
}

/// Maximum number of lines that wait for standard output; further ones are dropped.
const MAX_BUFFERED_LINES: usize = 4096;

/// Writes log lines to standard output from now on, from a separate thread: if the reader of the
/// output stops reading, lines are lost, but the process is not blocked. Dropping the guard writes
/// the buffered lines.
///
/// # Errors
/// Fails if the log of this process is already initialised.
pub fn init_stdout(format: Format, level: Level) -> Result<WorkerGuard> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_writer(writer)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(level_filter(level));
    match format {
        Format::Text => builder.try_init(),
        Format::Json => builder.json().flatten_event(true).try_init(),
    }
    .map_err(|error| anyhow!("initialise the log: {error}"))?;
    Ok(guard)
}

fn level_filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}

//! Set-up of the log.

use std::io;

use anyhow::{Result, anyhow};
use settings::{Format, Level};
use tracing::level_filters::LevelFilter;

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

fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}

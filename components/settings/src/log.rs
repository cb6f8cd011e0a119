//! Settings of the log.

use crate::generated::{control, coordinator, entry, proxy, standin};

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Level {
    /// A guarantee of the system or the process itself is at risk.
    Error,
    /// An operation failed and the process continues.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Details for debugging.
    Debug,
    Trace,
}

/// Settings of the log of a process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Log {
    pub format: Format,
    /// Least severe level that is logged.
    pub level: Level,
}

/// Every schema defines the same log settings, for which typify generates separate types.
macro_rules! from_raw {
    ($($raw:ident),*) => {$(
        impl From<Option<$raw::Log>> for Log {
            fn from(raw: Option<$raw::Log>) -> Self {
                raw.map_or_else(Self::default, |raw| Self {
                    format: match raw.format {
                        $raw::LogFormat::Text => Format::Text,
                        $raw::LogFormat::Json => Format::Json,
                    },
                    level: match raw.level {
                        $raw::LogLevel::Error => Level::Error,
                        $raw::LogLevel::Warn => Level::Warn,
                        $raw::LogLevel::Info => Level::Info,
                        $raw::LogLevel::Debug => Level::Debug,
                        $raw::LogLevel::Trace => Level::Trace,
                    },
                })
            }
        }
    )*};
}

from_raw!(control, coordinator, entry, proxy, standin);

//! Settings of the log.

use crate::generated::{control, coordinator, entry, proxy, standin};

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Least severe level that is written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Level {
    /// A promise or the process itself is at risk.
    Error,
    /// A part failed and the process goes on.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details for the search of a fault.
    Debug,
    /// Everything.
    Trace,
}

/// How and what a process logs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Log {
    /// Form of a line.
    pub format: Format,
    /// Least severe level.
    pub level: Level,
}

/// Every schema has a log of the same form, for which typify makes separate types.
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

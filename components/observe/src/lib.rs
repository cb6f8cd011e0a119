//! Logs, metrics and the HTTP endpoint of a process.

//! Logs, metrics, the HTTP endpoint, and the start and stop of a process.

pub mod endpoint;
pub mod http;
pub mod log;
pub mod metrics;
pub mod process;
pub mod reload;
pub mod stop;
pub mod token;

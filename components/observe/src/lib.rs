//! Logs, metrics, the HTTP server, and the runtime, settings reload and stop signals of a process.

pub mod endpoint;
pub mod http;
pub mod log;
pub mod metrics;
pub mod process;
pub mod reload;
pub mod stop;
pub mod token;

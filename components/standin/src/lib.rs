//! Stand-in target for tests and the demo.
//!
//! Behaves like a PostgreSQL server in everything that a proxy depends on: the protocol,
//! transactions, asynchronous replication with timelines, promotion and limits. Faults are injected
//! by calling a SQL function.

mod aggregate;
mod announce;
mod cache;
mod config;
mod define;
mod describe;
mod eval;
mod event;
mod exec;
mod expr;
mod extended;
mod failure;
mod faults;
mod params;
mod parse;
mod plan;
mod projection;
mod query;
mod reply;
mod server;
mod session;
mod settings;
mod slots;
mod socket;
mod standby;
mod startup;
mod statement;
mod store;
mod upstream;
mod utility;
mod value;
mod wal;

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

pub use config::Config;

/// A target whose address is bound and that does not serve connections yet.
#[derive(Debug)]
pub struct Listener {
    config: Config,
    listener: TcpListener,
    address: SocketAddr,
}

impl Listener {
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves connections until `stop` completes.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let (sender, events) = mpsc::unbounded_channel();
        let server = server::Server::new(self.config, self.address, new_identity(), sender);
        server.run(self.listener, events, stop).await;
    }
}

/// Identifier of a new database: its creation time in nanoseconds, which no other database shares.
fn new_identity() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_nanos() as u64)
}

/// Checks a configuration and binds its address.
///
/// # Errors
/// When a field is out of range or the address cannot be bound.
pub async fn bind(config: Config) -> Result<Listener> {
    config.check()?;
    let listener = TcpListener::bind(config.listen)
        .await
        .with_context(|| format!("bind to {}", config.listen))?;
    let address = listener.local_addr().context("get the bound address")?;
    Ok(Listener {
        config,
        listener,
        address,
    })
}

/// Binds the configured address and serves connections until `stop` completes.
///
/// # Errors
/// As [`bind`].
pub async fn run(config: Config, stop: impl Future<Output = ()>) -> Result<()> {
    bind(config).await?.run(stop).await;
    Ok(())
}

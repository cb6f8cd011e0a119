//! Stand-in target for tests and the demo.
//!
//! Behaves as a PostgreSQL server does wherever a proxy depends on it: the protocol, transactions,
//! asynchronous replication with timelines, promotion, limits, and faults on command.

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

/// A target that listens but does not serve yet.
#[derive(Debug)]
pub struct Bound {
    config: Config,
    listener: TcpListener,
    address: SocketAddr,
}

impl Bound {
    /// Address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `stop` is done.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let (sender, events) = mpsc::unbounded_channel();
        let server = server::Server::new(self.config, self.address, identity(), sender);
        server.run(self.listener, events, stop).await;
    }
}

/// A number that no other database has: databases start at different times.
fn identity() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_nanos() as u64)
}

/// Checks a configuration and binds its address.
///
/// # Errors
/// When a field is out of range or the address cannot be bound.
pub async fn bind(config: Config) -> Result<Bound> {
    config.check()?;
    let listener = TcpListener::bind(config.listen)
        .await
        .with_context(|| format!("bind {}", config.listen))?;
    let address = listener.local_addr().context("bound address")?;
    Ok(Bound {
        config,
        listener,
        address,
    })
}

/// Binds and serves until `stop` is done.
///
/// # Errors
/// As [`bind`].
pub async fn run(config: Config, stop: impl Future<Output = ()>) -> Result<()> {
    bind(config).await?.run(stop).await;
    Ok(())
}

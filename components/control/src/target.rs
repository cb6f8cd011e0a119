//! Commands to targets over the PostgreSQL protocol.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use failover::Position;
use relay::probe;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};
use types::target::Role;
use types::{Lsn, Term};

/// Time limit for one command, including opening its connection.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval between position queries while a promotion is under way.
const PROMOTION_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Opens a connection to a target for each command.
#[derive(Clone, Debug)]
pub struct Connector {
    /// Address of the PostgreSQL protocol.
    pub address: SocketAddr,
    pub user: String,
    pub database: String,
}

impl Connector {
    async fn connect(&self) -> Result<Client> {
        let mut config = Config::new();
        config
            .host(self.address.ip().to_string())
            .port(self.address.port())
            .user(&self.user)
            .dbname(&self.database)
            .application_name("limpettally-control")
            .connect_timeout(COMMAND_TIMEOUT);
        let (client, connection) = config
            .connect(NoTls)
            .await
            .context("connect to the target")?;
        spawn_local(async move {
            // The client's next call reports a lost connection.
            let _ended = connection.await;
        });
        Ok(client)
    }

    /// Queries the role, term and position of the target.
    ///
    /// # Errors
    /// Fails if the target does not answer in time.
    pub async fn position(&self) -> Result<Position> {
        timeout(COMMAND_TIMEOUT, async {
            position(&self.connect().await?).await
        })
        .await
        .context("query the position: no answer in time")?
    }

    /// Promotes the target to primary, unless it is a primary already, and returns its term and the
    /// position where that term began. `chosen` is the position that the target had when it was
    /// chosen.
    ///
    /// # Errors
    /// Fails if the target does not answer in time, or is a replica that is on `term` or a later
    /// one.
    pub async fn promote(&self, term: Term, chosen: Lsn) -> Result<(Term, Lsn)> {
        timeout(COMMAND_TIMEOUT, self.try_promote(term, chosen))
            .await
            .context("promote the target: no answer in time")?
    }

    async fn try_promote(&self, term: Term, chosen: Lsn) -> Result<(Term, Lsn)> {
        let client = self.connect().await?;
        let initial = position(&client).await?;
        if !initial.recovering {
            // An earlier attempt promoted it, and the answer with the position before the promotion
            // was lost. A start that is too low reports kept writes as lost; one that is too high
            // would hide lost writes. A position below the chosen one means that the disk was
            // emptied.
            return Ok((initial.point.term, chosen.min(initial.point.lsn)));
        }
        ensure!(
            initial.point.term < term,
            "replica is on term {} already",
            initial.point.term.0
        );
        client
            .simple_query("SELECT pg_promote()")
            .await
            .context("call pg_promote")?;
        loop {
            let current = position(&client).await?;
            if !current.recovering {
                return Ok((current.point.term, initial.point.lsn));
            }
            sleep(PROMOTION_POLL_INTERVAL).await;
        }
    }

    /// Makes the target replicate from the primary at `primary`.
    ///
    /// # Errors
    /// Fails if the target does not answer in time.
    pub async fn follow(&self, primary: SocketAddr) -> Result<()> {
        let (host, port) = (primary.ip(), primary.port());
        let statement = format!("ALTER SYSTEM SET primary_conninfo = 'host={host} port={port}'");
        timeout(COMMAND_TIMEOUT, async {
            let client = self.connect().await?;
            client
                .simple_query(&statement)
                .await
                .context("set primary_conninfo")?;
            client
                .simple_query("SELECT pg_reload_conf()")
                .await
                .context("reload the configuration")?;
            Ok(())
        })
        .await
        .context("make the target follow a primary: no answer in time")?
    }
}

async fn position(client: &Client) -> Result<Position> {
    let messages = client
        .simple_query(probe::QUERY)
        .await
        .context("run the position query")?;
    for message in messages {
        let SimpleQueryMessage::Row(row) = message else {
            continue;
        };
        let columns = (row.try_get(0)?, row.try_get(1)?, row.try_get(2)?);
        let (Some(recovering), Some(term), Some(lsn)) = columns else {
            bail!("position query returned a row with a missing value");
        };
        let answer = probe::Answer::from_columns(recovering, term, lsn)
            .context("parse the answer to the position query")?;
        return Ok(Position {
            point: answer.point,
            recovering: answer.role == Role::Replica,
        });
    }
    bail!("position query returned no row")
}

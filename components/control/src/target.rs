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

/// Time for one command with its connection.
const LIMIT: Duration = Duration::from_millis(1000);
/// Pause between two looks at a promotion under way.
const PROMOTION_POLL: Duration = Duration::from_millis(2);

/// A target that commands go to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of the PostgreSQL protocol.
    pub address: SocketAddr,
    /// User.
    pub user: String,
    /// Database.
    pub database: String,
}

impl Target {
    async fn connect(&self) -> Result<Client> {
        let mut config = Config::new();
        config
            .host(self.address.ip().to_string())
            .port(self.address.port())
            .user(&self.user)
            .dbname(&self.database)
            .application_name("limpettally-control")
            .connect_timeout(LIMIT);
        let (client, connection) = config.connect(NoTls).await.context("connect")?;
        spawn_local(async move {
            // The client's next call reports the end of the connection.
            let _ended = connection.await;
        });
        Ok(client)
    }

    /// Asks for role, term and position.
    ///
    /// # Errors
    /// Fails if the target does not answer in time.
    pub async fn position(&self) -> Result<Position> {
        timeout(LIMIT, async { position(&self.connect().await?).await })
            .await
            .context("position")?
    }

    /// Promotes the target to primary of `term`, unless it is that already, and returns where the
    /// term began. `chosen` is the position that it had when it was chosen.
    ///
    /// # Errors
    /// Fails if the target does not answer in time or is on another term.
    pub async fn promote(&self, term: Term, chosen: Lsn) -> Result<(Term, Lsn)> {
        timeout(LIMIT, self.try_promote(term, chosen))
            .await
            .context("promote")?
    }

    async fn try_promote(&self, term: Term, chosen: Lsn) -> Result<(Term, Lsn)> {
        let client = self.connect().await?;
        let before = position(&client).await?;
        if !before.recovering {
            // Promoted by an earlier attempt, whose answer was lost with the position before it.
            // A start that is too low reports kept writes as lost, one that is too high would hide
            // lost ones; a position below the chosen one means that the disk was emptied.
            return Ok((before.point.term, chosen.min(before.point.lsn)));
        }
        ensure!(
            before.point.term < term,
            "replica is on term {} already",
            before.point.term.0
        );
        client
            .simple_query("SELECT pg_promote()")
            .await
            .context("pg_promote")?;
        loop {
            let now = position(&client).await?;
            if !now.recovering {
                return Ok((now.point.term, before.point.lsn));
            }
            sleep(PROMOTION_POLL).await;
        }
    }

    /// Lets the target follow the primary at `primary`.
    ///
    /// # Errors
    /// Fails if the target does not answer in time.
    pub async fn follow(&self, primary: SocketAddr) -> Result<()> {
        let (host, port) = (primary.ip(), primary.port());
        let set = format!("ALTER SYSTEM SET primary_conninfo = 'host={host} port={port}'");
        timeout(LIMIT, async {
            let client = self.connect().await?;
            client
                .simple_query(&set)
                .await
                .context("set primary_conninfo")?;
            client
                .simple_query("SELECT pg_reload_conf()")
                .await
                .context("reload")?;
            Ok(())
        })
        .await
        .context("follow")?
    }
}

async fn position(client: &Client) -> Result<Position> {
    let messages = client
        .simple_query(probe::QUERY)
        .await
        .context("position query")?;
    for message in messages {
        let SimpleQueryMessage::Row(row) = message else {
            continue;
        };
        let columns = (row.try_get(0)?, row.try_get(1)?, row.try_get(2)?);
        let (Some(recovering), Some(term), Some(lsn)) = columns else {
            bail!("a position without a value");
        };
        let answer =
            probe::Answer::from_columns(recovering, term, lsn).context("form of the answer")?;
        return Ok(Position {
            point: answer.point,
            recovering: answer.role == Role::Replica,
        });
    }
    bail!("no row")
}

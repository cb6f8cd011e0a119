//! One pass over the demo's system: `check wait` ends when it serves; `check pass PID` writes, reads
//! through another entry, kills the primary with the given process id, writes and reads again.

use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use tokio::time::sleep;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

const PORTS: [u16; 3] = [6432, 6433, 6434];
/// Time for the system to come up.
const START: Duration = Duration::from_secs(15);
/// Time for a change of primary.
const FAILOVER: Duration = Duration::from_secs(10);

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    match (args.next().as_deref(), args.next()) {
        (Some("wait"), _) => wait().await,
        (Some("pass"), Some(pid)) => pass(&pid).await,
        _ => bail!("usage: check wait | check pass PID"),
    }
}

async fn connect(port: u16, session: Option<&str>) -> Result<Client> {
    let mut config = Config::new();
    config
        .host("127.0.0.1")
        .port(port)
        .user("demo")
        .password("demo")
        .dbname("orders")
        .connect_timeout(Duration::from_secs(2));
    if let Some(token) = session {
        config.options(format!("-c limpettally.session={token}"));
    }
    let (client, connection) = config.connect(NoTls).await.context("connect")?;
    tokio::spawn(async move {
        // The client's next call reports the end of the connection.
        let _ended = connection.await;
    });
    Ok(client)
}

/// Waits until every entry takes a write.
async fn wait() -> Result<()> {
    let started = Instant::now();
    for port in PORTS {
        loop {
            let tried = async {
                let client = connect(port, None).await?;
                let create = "CREATE TABLE IF NOT EXISTS boxes (id int PRIMARY KEY, state text)";
                Ok::<_, anyhow::Error>(client.batch_execute(create).await?)
            };
            match tried.await {
                Ok(()) => break,
                Err(error) if started.elapsed() > START => {
                    return Err(error.context(format!("entry on port {port}")));
                }
                Err(_) => sleep(Duration::from_millis(50)).await,
            }
        }
    }
    Ok(())
}

async fn token(client: &Client) -> Result<String> {
    for message in client.simple_query("SHOW limpettally.session").await? {
        if let SimpleQueryMessage::Row(row) = message {
            return Ok(row.get(0).context("session token")?.to_owned());
        }
    }
    bail!("no session token")
}

async fn pass(pid: &str) -> Result<()> {
    let first = connect(PORTS[0], None).await?;
    let took = Instant::now();
    first
        .execute("INSERT INTO boxes VALUES ($1, $2)", &[&1_i32, &"ordered"])
        .await
        .context("write")?;
    println!("write through entry 1: {:.1} ms", ms(took));

    let second = connect(PORTS[1], Some(&token(&first).await?)).await?;
    let took = Instant::now();
    ensure!(
        state(&second, 1).await? == ["ordered"],
        "entry 2 does not show the session's write"
    );
    println!("read of that write through entry 2: {:.1} ms", ms(took));

    // SIGKILL through the shell's own tool, as this crate forbids unsafe code.
    let killed = std::process::Command::new("kill")
        .args(["-KILL", pid])
        .status()?;
    ensure!(killed.success(), "kill the primary");
    let killed = Instant::now();
    let mut refused = 0;
    let writer = loop {
        let writer = connect(PORTS[1], Some(&token(&second).await?)).await?;
        let write = "INSERT INTO boxes VALUES ($1, $2)";
        match writer.execute(write, &[&2_i32, &"paused"]).await {
            Ok(_) => break writer,
            Err(error) if killed.elapsed() > FAILOVER => return Err(error).context("write"),
            Err(_) => refused += 1,
        }
        sleep(Duration::from_millis(10)).await;
    };
    println!(
        "gap of writes after the primary was killed: {:.0} ms, {refused} refused",
        ms(killed)
    );

    let third = connect(PORTS[2], Some(&token(&writer).await?)).await?;
    let took = Instant::now();
    ensure!(
        state(&third, 1).await? == ["ordered"],
        "the write before the failover is lost"
    );
    ensure!(
        state(&third, 2).await? == ["paused"],
        "entry 3 does not show the session's write"
    );
    println!("two reads through entry 3: {:.1} ms", ms(took));
    println!("passed");
    Ok(())
}

async fn state(client: &Client, id: i32) -> Result<Vec<String>> {
    let rows = client
        .query("SELECT state FROM boxes WHERE id = $1", &[&id])
        .await
        .context("read")?;
    Ok(rows.iter().map(|row| row.get(0)).collect())
}

fn ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}

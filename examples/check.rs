//! Checks the system that `./demo.sh` starts. `check wait` returns when every entry accepts writes;
//! `check pass PID` writes, reads through another entry, kills the primary with process id PID, and
//! writes and reads again.

use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use tokio::time::sleep;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

const ENTRY_PORTS: [u16; 3] = [6432, 6433, 6434];
const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time of a failover.
const FAILOVER_LIMIT: Duration = Duration::from_secs(10);

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    match (args.next().as_deref(), args.next()) {
        (Some("wait"), _) => wait_until_ready().await,
        (Some("pass"), Some(pid)) => run_pass(&pid).await,
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
    if let Some(session_token) = session {
        config.options(format!("-c limpettally.session={session_token}"));
    }
    let (client, connection) = config.connect(NoTls).await.context("connect")?;
    tokio::spawn(async move {
        // The next call of the client reports the end of the connection.
        let _ended = connection.await;
    });
    Ok(client)
}

/// Waits until every entry accepts a write.
async fn wait_until_ready() -> Result<()> {
    let started = Instant::now();
    for port in ENTRY_PORTS {
        loop {
            let attempt = async {
                let client = connect(port, None).await?;
                let create = "CREATE TABLE IF NOT EXISTS boxes (id int PRIMARY KEY, state text)";
                Ok::<_, anyhow::Error>(client.batch_execute(create).await?)
            };
            match attempt.await {
                Ok(()) => break,
                Err(error) if started.elapsed() > STARTUP_TIMEOUT => {
                    return Err(error.context(format!("entry on port {port}")));
                }
                Err(_) => sleep(Duration::from_millis(50)).await,
            }
        }
    }
    Ok(())
}

async fn session_token(client: &Client) -> Result<String> {
    for message in client.simple_query("SHOW limpettally.session").await? {
        if let SimpleQueryMessage::Row(row) = message {
            return Ok(row.get(0).context("session token is NULL")?.to_owned());
        }
    }
    bail!("SHOW returned no session token")
}

async fn run_pass(pid: &str) -> Result<()> {
    let first = connect(ENTRY_PORTS[0], None).await?;
    let started = Instant::now();
    first
        .execute("INSERT INTO boxes VALUES ($1, $2)", &[&1_i32, &"ordered"])
        .await
        .context("write")?;
    println!("write through entry 1: {:.1} ms", elapsed_ms(started));

    let second = connect(ENTRY_PORTS[1], Some(&session_token(&first).await?)).await?;
    let started = Instant::now();
    ensure!(
        read_states(&second, 1).await? == ["ordered"],
        "entry 2 does not return the session's write"
    );
    println!(
        "read of that write through entry 2: {:.1} ms",
        elapsed_ms(started)
    );

    // The kill command sends SIGKILL, as this crate forbids the unsafe code of a system call.
    let status = std::process::Command::new("kill")
        .args(["-KILL", pid])
        .status()?;
    ensure!(status.success(), "kill the primary");
    let killed = Instant::now();
    let mut refused = 0;
    let writer = loop {
        let writer = connect(ENTRY_PORTS[1], Some(&session_token(&second).await?)).await?;
        let write = "INSERT INTO boxes VALUES ($1, $2)";
        match writer.execute(write, &[&2_i32, &"paused"]).await {
            Ok(_) => break writer,
            Err(error) if killed.elapsed() > FAILOVER_LIMIT => return Err(error).context("write"),
            Err(_) => refused += 1,
        }
        sleep(Duration::from_millis(10)).await;
    };
    println!(
        "gap of writes after the primary was killed: {:.0} ms, {refused} refused",
        elapsed_ms(killed)
    );

    let third = connect(ENTRY_PORTS[2], Some(&session_token(&writer).await?)).await?;
    let started = Instant::now();
    ensure!(
        read_states(&third, 1).await? == ["ordered"],
        "the write before the failover is lost"
    );
    ensure!(
        read_states(&third, 2).await? == ["paused"],
        "entry 3 does not return the session's write"
    );
    println!("two reads through entry 3: {:.1} ms", elapsed_ms(started));
    println!("passed");
    Ok(())
}

async fn read_states(client: &Client, id: i32) -> Result<Vec<String>> {
    let rows = client
        .query("SELECT state FROM boxes WHERE id = $1", &[&id])
        .await
        .context("read")?;
    Ok(rows.iter().map(|row| row.get(0)).collect())
}

fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}

//! Targets without data, which answer the position query, a promotion and any other statement. The port
//! identifies which of the three targets of a database is addressed.

use std::collections::BTreeMap;

use anyhow::{Context, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

const QUERY_QUEUE_LEN: usize = 1024;

/// Index of the primary target and the term, by database. A database without a promotion has no value.
type Primaries = BTreeMap<String, (usize, u32)>;

/// A simple query that a connection received.
struct Query {
    database: String,
    member: usize,
    body: Vec<u8>,
    reply: oneshot::Sender<Vec<u8>>,
}

/// Serves until Ctrl-C. The loop owns the primaries; the connections send it their queries.
pub async fn run(port: u16) -> Result<()> {
    let (queries, mut incoming) = mpsc::channel(QUERY_QUEUE_LEN);
    for member in 0..3_u16 {
        let listener = TcpListener::bind(("127.0.0.1", port + member)).await?;
        let queries = queries.clone();
        spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let queries = queries.clone();
                spawn_local(async move {
                    let _ended = serve(socket, member.into(), queries).await;
                });
            }
        });
    }
    let mut primaries = Primaries::new();
    loop {
        tokio::select! {
            Some(query) = incoming.recv() => {
                let Query { database, member, body, reply } = query;
                // Sending fails if the connection has ended.
                let _ended = reply.send(respond(&body, member, &database, &mut primaries));
            }
            ended = tokio::signal::ctrl_c() => return Ok(ended?),
        }
    }
}

async fn serve(mut socket: TcpStream, member: usize, queries: mpsc::Sender<Query>) -> Result<()> {
    socket.set_nodelay(true)?;
    let length = socket.read_u32().await? as usize;
    let mut body = vec![0; length.saturating_sub(4).min(10_000)];
    socket.read_exact(&mut body).await?;
    let mut parameters = body[4..].split(|byte| *byte == 0);
    parameters.find(|parameter| *parameter == b"database");
    let database = String::from_utf8(
        parameters
            .next()
            .context("the startup message has no database")?
            .to_vec(),
    )?;
    let mut output = Vec::new();
    push_frame(&mut output, b'R', &0_u32.to_be_bytes());
    push_frame(&mut output, b'K', &[0; 8]);
    push_frame(&mut output, b'Z', b"I");
    loop {
        socket.write_all(&output).await?;
        let tag = socket.read_u8().await?;
        let length = socket.read_u32().await? as usize;
        let mut body = vec![0; length.saturating_sub(4).min(1 << 20)];
        socket.read_exact(&mut body).await?;
        if tag != b'Q' {
            return Ok(());
        }
        let (reply, response) = oneshot::channel();
        let query = Query {
            database: database.clone(),
            member,
            body,
            reply,
        };
        queries
            .send(query)
            .await
            .ok()
            .context("the loop has ended")?;
        output = response.await?;
    }
}

fn respond(body: &[u8], member: usize, database: &str, primaries: &mut Primaries) -> Vec<u8> {
    let mut output = Vec::new();
    let contains = |text: &str| body.windows(text.len()).any(|part| part == text.as_bytes());
    let (primary, term) = *primaries.get(database).unwrap_or(&(0, 1));
    if contains("pg_promote") {
        let promoted = (member, term + 1);
        primaries.insert(database.to_owned(), promoted);
    }
    if contains("pg_control_checkpoint") {
        let recovering = if primary == member { "f" } else { "t" };
        push_row(&mut output, &[recovering, &term.to_string(), "0/1000"]);
    }
    push_frame(&mut output, b'C', b"SELECT 1\0");
    push_frame(&mut output, b'Z', b"I");
    output
}

fn push_row(output: &mut Vec<u8>, values: &[&str]) {
    let count = u16::try_from(values.len()).unwrap_or(0).to_be_bytes();
    let (mut description, mut data) = (count.to_vec(), count.to_vec());
    for value in values {
        // A column without a table, of type text.
        description.extend(b"c\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0");
        data.extend(u32::try_from(value.len()).unwrap_or(0).to_be_bytes());
        data.extend(value.as_bytes());
    }
    push_frame(output, b'T', &description);
    push_frame(output, b'D', &data);
}

fn push_frame(output: &mut Vec<u8>, tag: u8, body: &[u8]) {
    output.push(tag);
    output.extend(u32::try_from(body.len() + 4).unwrap_or(4).to_be_bytes());
    output.extend(body);
}

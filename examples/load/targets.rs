//! Targets without data: each answers the position query, a promotion and any other statement.
//! The port tells which of the three targets of a database it is.

use std::collections::BTreeMap;

use anyhow::{Context, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// Questions that wait for the loop.
const QUESTIONS: usize = 1024;

/// Member that is primary and the term, by database; only promotions are kept.
type Primaries = BTreeMap<String, (usize, u32)>;

/// A simple query of a connection.
struct Question {
    database: String,
    member: usize,
    body: Vec<u8>,
    reply: oneshot::Sender<Vec<u8>>,
}

/// Serves until the process is ended. The loop owns the primaries; connections ask it.
pub async fn run(port: u16) -> Result<()> {
    let (questions, mut asked) = mpsc::channel(QUESTIONS);
    for member in 0..3_u16 {
        let listener = TcpListener::bind(("127.0.0.1", port + member)).await?;
        let questions = questions.clone();
        spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let questions = questions.clone();
                spawn_local(async move {
                    let _ended = serve(socket, member.into(), questions).await;
                });
            }
        });
    }
    let mut primaries = Primaries::new();
    loop {
        tokio::select! {
            Some(question) = asked.recv() => {
                let Question { database, member, body, reply } = question;
                // A connection that has ended needs no answer.
                let _ended = reply.send(answer(&body, member, &database, &mut primaries));
            }
            ended = tokio::signal::ctrl_c() => return Ok(ended?),
        }
    }
}

async fn serve(
    mut socket: TcpStream,
    member: usize,
    questions: mpsc::Sender<Question>,
) -> Result<()> {
    socket.set_nodelay(true)?;
    let length = socket.read_u32().await? as usize;
    let mut body = vec![0; length.saturating_sub(4).min(10_000)];
    socket.read_exact(&mut body).await?;
    let mut words = body[4..].split(|byte| *byte == 0);
    words.find(|word| *word == b"database");
    let database = String::from_utf8(words.next().context("database")?.to_vec())?;
    let mut out = Vec::new();
    frame(&mut out, b'R', &0_u32.to_be_bytes());
    frame(&mut out, b'K', &[0; 8]);
    frame(&mut out, b'Z', b"I");
    loop {
        socket.write_all(&out).await?;
        let tag = socket.read_u8().await?;
        let length = socket.read_u32().await? as usize;
        let mut body = vec![0; length.saturating_sub(4).min(1 << 20)];
        socket.read_exact(&mut body).await?;
        if tag != b'Q' {
            return Ok(());
        }
        let (reply, answered) = oneshot::channel();
        let question = Question {
            database: database.clone(),
            member,
            body,
            reply,
        };
        questions.send(question).await.ok().context("the loop")?;
        out = answered.await?;
    }
}

fn answer(body: &[u8], member: usize, database: &str, primaries: &mut Primaries) -> Vec<u8> {
    let mut out = Vec::new();
    let has = |text: &str| body.windows(text.len()).any(|part| part == text.as_bytes());
    let (primary, term) = *primaries.get(database).unwrap_or(&(0, 1));
    if has("pg_promote") {
        let promoted = (member, term + 1);
        primaries.insert(database.to_owned(), promoted);
    }
    if has("pg_control_checkpoint") {
        let recovering = if primary == member { "f" } else { "t" };
        row(&mut out, &[recovering, &term.to_string(), "0/1000"]);
    }
    frame(&mut out, b'C', b"SELECT 1\0");
    frame(&mut out, b'Z', b"I");
    out
}

fn row(out: &mut Vec<u8>, values: &[&str]) {
    let count = u16::try_from(values.len()).unwrap_or(0).to_be_bytes();
    let (mut names, mut cells) = (count.to_vec(), count.to_vec());
    for value in values {
        // No table, type text.
        names.extend(b"c\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0");
        cells.extend(u32::try_from(value.len()).unwrap_or(0).to_be_bytes());
        cells.extend(value.as_bytes());
    }
    frame(out, b'T', &names);
    frame(out, b'D', &cells);
}

fn frame(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend(u32::try_from(body.len() + 4).unwrap_or(4).to_be_bytes());
    out.extend(body);
}

//! A requester: one session on the wire protocol.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::system::record;

/// A statement without an answer is given up after this time.
const TIME_LIMIT: Duration = Duration::from_secs(4);

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Answer to a statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    pub rows: Vec<String>,
    /// `COMPLETE`, the code of an error, or `closed` if the connection ended or gave no answer.
    pub outcome: String,
    pub state: String,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.outcome == "COMPLETE"
    }
}

pub struct Session {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    name: String,
}

/// A new statement id.
pub fn next_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::SeqCst) + 1)
}

impl Session {
    /// Opens a session; `None` if it is refused or the address does not answer.
    pub fn open(address: SocketAddr, database: &str, name: &str) -> Option<Self> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        socket.set_nodelay(true).ok()?;
        socket.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let mut session = Self {
            reader: BufReader::new(socket.try_clone().ok()?),
            writer: socket,
            name: name.to_owned(),
        };
        session.send(&format!("STARTUP {database} {name}"));
        let line = session.line()?;
        session.writer.set_read_timeout(Some(TIME_LIMIT)).ok()?;
        line.starts_with("READY").then_some(session)
    }

    /// The socket, for requesters with other habits.
    pub fn socket(&self) -> &TcpStream {
        &self.writer
    }

    pub fn send(&mut self, line: &str) {
        let _closed = self.writer.write_all(format!("{line}\r\n").as_bytes());
    }

    /// The next line; `None` at the end of the connection or without an answer in time.
    pub fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(1..) if line.ends_with("\r\n") => Some(line.trim_end().to_owned()),
            _ => None,
        }
    }

    /// Sends a statement and collects its answer. Both are recorded.
    pub fn run(&mut self, text: &str) -> Answer {
        let id = next_id();
        let answer = self.run_unrecorded(&id, text);
        record(&format!(
            "{}: {id} {text} -> {} {:?} state {}",
            self.name, answer.outcome, answer.rows, answer.state
        ));
        answer
    }

    pub fn run_unrecorded(&mut self, id: &str, text: &str) -> Answer {
        self.send(&format!("QUERY {id} {text}"));
        let mut answer = Answer {
            rows: Vec::new(),
            outcome: "closed".to_owned(),
            state: String::new(),
        };
        while let Some(line) = self.line() {
            let (keyword, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match keyword {
                "DATAROW" => answer.rows.push(rest.to_owned()),
                "COMPLETE" => answer.outcome = "COMPLETE".to_owned(),
                "ERROR" => answer.outcome = rest.split(' ').next().unwrap_or("").to_owned(),
                "READY" => {
                    answer.state = rest.split(' ').next().unwrap_or("").to_owned();
                    return answer;
                }
                _ => break,
            }
        }
        answer.outcome = "closed".to_owned();
        answer
    }
}

//! Callers of the line protocol.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// A caller with one session.
pub struct Caller {
    socket: TcpStream,
    reader: BufReader<TcpStream>,
    number: u64,
}

fn text(error: std::io::Error) -> String {
    error.to_string()
}

impl Caller {
    pub fn open(address: SocketAddr, database: &str) -> Result<Self, String> {
        let socket = TcpStream::connect(address).map_err(text)?;
        socket.set_nodelay(true).map_err(text)?;
        let reader = BufReader::new(socket.try_clone().map_err(text)?);
        let mut caller = Self {
            socket,
            reader,
            number: 0,
        };
        caller.send_raw(format!("STARTUP {database} u1\r\n").as_bytes())?;
        let wait = Duration::from_secs(2);
        caller.socket.set_read_timeout(Some(wait)).map_err(text)?;
        let line = caller.line()?;
        if line.starts_with("READY") {
            Ok(caller)
        } else {
            Err(format!("no session: {line}"))
        }
    }

    pub fn send_raw(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.socket.write_all(bytes).map_err(text)
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Err("closed".to_owned()),
            Ok(_) => Ok(line.trim_end().to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Sends a statement and returns the lines of its answer up to READY.
    pub fn run(&mut self, statement: &str, wait: Duration) -> Result<Vec<String>, String> {
        self.number += 1;
        let id = self.number;
        self.send_raw(format!("QUERY q{id} {statement}\r\n").as_bytes())?;
        self.socket.set_read_timeout(Some(wait)).map_err(text)?;
        let mut lines = Vec::new();
        loop {
            let line = self.line()?;
            let is_last = line.starts_with("READY");
            lines.push(line);
            if is_last {
                return Ok(lines);
            }
        }
    }

    /// Runs a statement, of whose answer a line has to begin with `start`.
    pub fn expect(&mut self, statement: &str, start: &str, wait: Duration) -> Result<(), String> {
        let lines = self.run(statement, wait)?;
        if lines.iter().any(|line| line.starts_with(start)) {
            Ok(())
        } else {
            let statement: String = statement.chars().take(60).collect();
            Err(format!("{statement}: {lines:?}"))
        }
    }

    pub fn terminate(mut self) {
        let _closed = self.send_raw(b"TERMINATE\r\n");
    }
}

/// Reads that each caller of a flood sends.
const MAX_READS: usize = 40_000;

/// Callers that send reads ahead.
pub struct Flood {
    sent: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    sockets: Vec<TcpStream>,
}

impl Flood {
    /// Starts callers. If `reads_answers` is not set, they read nothing after the start of the session.
    pub fn start(address: SocketAddr, callers: usize, reads_answers: bool) -> Result<Self, String> {
        let sent = Arc::new(AtomicUsize::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let mut sockets = Vec::new();
        for _ in 0..callers {
            let Caller { socket, reader, .. } = Caller::open(address, "till")?;
            sockets.push(socket.try_clone().map_err(text)?);
            let mut writer = socket;
            let (sent, stopped) = (Arc::clone(&sent), Arc::clone(&stopped));
            if reads_answers {
                let stopped = Arc::clone(&stopped);
                thread::spawn(move || {
                    let mut reader = reader;
                    let _timeout = reader.get_ref().set_read_timeout(None);
                    let mut buffer = vec![0; 1 << 16];
                    while !stopped.load(Ordering::Relaxed) {
                        match reader.read(&mut buffer) {
                            Ok(1..) => {}
                            _ => return,
                        }
                    }
                });
            }
            thread::spawn(move || {
                let mut number = 0;
                while !stopped.load(Ordering::Relaxed) && number < MAX_READS {
                    let mut batch = String::new();
                    for _ in 0..50 {
                        number += 1;
                        batch.push_str(&format!("QUERY r{number} READ egg\r\n"));
                    }
                    if writer.write_all(batch.as_bytes()).is_err() {
                        return;
                    }
                    sent.fetch_add(50, Ordering::Relaxed);
                }
            });
        }
        Ok(Self {
            sent,
            stopped,
            sockets,
        })
    }

    pub fn sent(&self) -> usize {
        self.sent.load(Ordering::Relaxed)
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for socket in &self.sockets {
            let _closed = socket.shutdown(Shutdown::Both);
        }
    }
}

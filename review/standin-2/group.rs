//! Stand-in servers of one service: a primary and replicas that receive its log at once.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

/// Name of the service.
pub const SERVICE: &str = "orders";
/// Bytes of a row. The sheets' answers have up to 3,000 bytes.
const ROW_BYTES: usize = 3000;

/// A server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub is_primary: bool,
    pub term: u64,
    /// Term and number of the last entry.
    pub position: (u64, u64),
    /// Term of the pause; 0 for none.
    pub paused: u64,
}

/// All servers and their data.
pub struct State {
    pub servers: Vec<Server>,
    items: BTreeMap<String, String>,
}

#[derive(Clone)]
pub struct Group(Arc<Mutex<State>>);

impl Group {
    /// Starts `count` servers; the first is the primary.
    pub fn start(count: usize) -> Result<Self, String> {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for index in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
            servers.push(Server {
                id: format!("s{index}"),
                address: listener.local_addr().map_err(|error| error.to_string())?,
                is_primary: index == 0,
                term: 1,
                position: (1, 0),
                paused: 0,
            });
            listeners.push(listener);
        }
        let items = BTreeMap::new();
        let group = Self(Arc::new(Mutex::new(State { servers, items })));
        for (index, listener) in listeners.into_iter().enumerate() {
            let group = group.clone();
            thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let group = group.clone();
                    thread::spawn(move || serve(&group, index, socket));
                }
            });
        }
        Ok(group)
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Makes a server the primary of the next term.
    pub fn promote(&self, id: &str) {
        let mut state = self.lock();
        if state
            .servers
            .iter()
            .any(|server| server.id == id && server.is_primary)
        {
            return;
        }
        let term = state
            .servers
            .iter()
            .map(|server| server.term)
            .max()
            .unwrap_or(0)
            + 1;
        for server in &mut state.servers {
            server.is_primary = server.id == id;
            server.term = term;
            server.paused = 0;
        }
    }
}

/// A connection to a server.
struct Connection<'a> {
    group: &'a Group,
    index: usize,
    /// Whether an open transaction may write, and its writes.
    transaction: Option<(bool, Vec<(String, String)>)>,
    prepared: BTreeMap<String, (bool, String)>,
}

fn serve(group: &Group, index: usize, socket: TcpStream) {
    let _nodelay = socket.set_nodelay(true);
    let Ok(mut writer) = socket.try_clone() else {
        return;
    };
    let mut connection = Connection {
        group,
        index,
        transaction: None,
        prepared: BTreeMap::new(),
    };
    for line in BufReader::new(socket).lines() {
        let Ok(line) = line else { return };
        let answer = connection.answer(line.trim_end());
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

impl Connection<'_> {
    fn ready(&self) -> String {
        let state = if self.transaction.is_some() { "T" } else { "I" };
        let (term, number) = self.group.lock().servers[self.index].position;
        format!("READY {state} {term}.{number}\r\n")
    }

    fn complete(&self, receipt: &str) -> String {
        format!("COMPLETE {receipt}\r\n{}", self.ready())
    }

    fn error(&self, code: &str) -> String {
        format!("ERROR {code} x\r\n{}", self.ready())
    }

    fn answer(&mut self, line: &str) -> String {
        let mut fields = line.splitn(3, ' ');
        let (word, first, rest) = (fields.next(), fields.next(), fields.next().unwrap_or(""));
        match word {
            Some("STARTUP") => {
                let id = rest.split(' ').nth(1);
                let own = self.group.lock().servers[self.index].id.clone();
                if first != Some(SERVICE) || id.is_some_and(|id| id != own) {
                    return "ERROR WRONGNODE x\r\n".to_owned();
                }
                self.ready()
            }
            Some("QUERY") => self.query(rest),
            _ => self.error("MALFORMED"),
        }
    }

    fn query(&mut self, text: &str) -> String {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let Some((point, statement)) = rest.split_once(' ') else {
                return self.error("MALFORMED");
            };
            let point = point.split_once('.').and_then(|(term, number)| {
                Some((term.parse::<u64>().ok()?, number.parse::<u64>().ok()?))
            });
            if point.is_none_or(|point| self.group.lock().servers[self.index].position < point) {
                return self.error("LAGGING");
            }
            text = statement;
        }
        let fields: Vec<&str> = text.splitn(4, ' ').collect();
        let is_primary = self.group.lock().servers[self.index].is_primary;
        match fields[..] {
            ["BEGIN"] if !is_primary => self.error("READONLY"),
            ["BEGIN", ..] => {
                self.transaction = Some((fields.len() == 1, Vec::new()));
                self.complete("-")
            }
            ["ROLLBACK"] => {
                self.transaction = None;
                self.complete("-")
            }
            ["COMMIT"] => {
                let writes = self.transaction.take().map(|(_, writes)| writes);
                let writes = writes.unwrap_or_default();
                if !writes.is_empty() && !is_primary {
                    return self.error("READONLY");
                }
                self.commit(&writes);
                self.complete("r.3")
            }
            ["RESET"] => {
                self.prepared.clear();
                self.complete("-")
            }
            ["SET", ..] => self.complete("-"),
            ["PREPARE", name, access, shape] => {
                let prepared = (access == "WRITE", shape.to_owned());
                self.prepared.insert(name.to_owned(), prepared);
                self.complete("-")
            }
            ["STATUS"] => self.status(),
            ["PAUSE", term] => {
                let term = term.parse().unwrap_or(0);
                {
                    let server = &mut self.group.lock().servers[self.index];
                    if !server.is_primary && term > server.term {
                        server.paused = term;
                    }
                }
                self.status()
            }
            ["STEPDOWN", term] => {
                let term: u64 = term.parse().unwrap_or(0);
                let mut state = self.group.lock();
                let server = &mut state.servers[self.index];
                server.is_primary &= server.term >= term;
                drop(state);
                self.status()
            }
            ["READ", item] => self.read(item),
            ["WRITE", item, data] => self.write(is_primary, item, data),
            ["EXECUTE", name, item, ..] => match self.prepared.get(name) {
                None => self.error("UNPREPARED"),
                Some((true, _)) => {
                    let data = fields.get(3).copied().unwrap_or("").to_owned();
                    self.write(is_primary, item, &data)
                }
                Some(_) => self.read(item),
            },
            _ => self.error("MALFORMED"),
        }
    }

    fn status(&self) -> String {
        let state = self.group.lock();
        let server = &state.servers[self.index];
        let role = if server.is_primary {
            "primary"
        } else {
            "replica"
        };
        let (term, number) = server.position;
        let row = format!(
            "{role} {} {term}.{number} {} 0 0 1",
            server.term, server.paused
        );
        drop(state);
        format!("DATAROW {row}\r\n{}", self.complete("-"))
    }

    fn read(&self, item: &str) -> String {
        let data = self.group.lock().items.get(item).cloned();
        let data = data.unwrap_or_else(|| "none".to_owned());
        let row = format!("{data} {}", "z".repeat(ROW_BYTES));
        format!("DATAROW {row}\r\n{}", self.complete("r.1"))
    }

    fn write(&mut self, is_primary: bool, item: &str, data: &str) -> String {
        if !is_primary {
            return self.error("READONLY");
        }
        let write = (item.to_owned(), data.to_owned());
        match &mut self.transaction {
            Some((_, writes)) => writes.push(write),
            None => self.commit(&[write]),
        }
        self.complete("r.2")
    }

    fn commit(&self, writes: &[(String, String)]) {
        let mut state = self.group.lock();
        let term = state.servers[self.index].term;
        for (item, data) in writes {
            state.items.insert(item.clone(), data.clone());
            let number = state.servers[self.index].position.1 + 1;
            for server in &mut state.servers {
                if server.paused <= term {
                    server.position = (term, number);
                }
            }
        }
    }
}

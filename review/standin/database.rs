//! Servers of a database: a primary and its replicas, which speak the wire protocol, replicate
//! their log and send heartbeats.

use std::collections::BTreeMap;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::system::{Coordinator, coordinator_at, record};

pub const CONNECTION_LIMIT: usize = 34;
const SLOTS: u32 = 5;
/// Time that a read, write or commit takes.
const WORK_TIME: Duration = Duration::from_millis(5);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Rows of the item `large`, and the bytes of each. A message has 1 MiB at most.
const LARGE_ROWS: usize = 8;
const LARGE_ROW_BYTES: usize = 1_000_000;

/// A commit in a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub writes: Vec<(String, String)>,
}

/// A promotion that took effect, with the log of the server at that moment.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub at: Instant,
    pub id: String,
    pub log: Vec<Entry>,
}

/// A statement that a server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub is_primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    /// Receives nothing until a promotion; 0 for no pause.
    pub paused: u64,
    /// Receives nothing from the primary.
    pub deaf: bool,
    /// Cut off or without power: neither answers, receives nor sends.
    pub dark: bool,
    /// Cut off from this coordinator only.
    cut_from: Option<Coordinator>,
    pub connections: usize,
    /// Connections of an earlier lifetime are closed.
    lifetime: u64,
    zone: &'static str,
    born: u64,
    sequence: u64,
}

impl Server {
    fn position(&self) -> (u64, u64) {
        self.log
            .last()
            .map_or((1, 0), |entry| (entry.term, entry.number))
    }
}

#[derive(Default)]
struct Shared {
    servers: Vec<Server>,
    runs: Vec<Run>,
    promotions: Vec<Promotion>,
}

/// A database, whose service has a name.
#[derive(Clone)]
pub struct Group {
    pub service: &'static str,
    shared: Arc<Mutex<Shared>>,
}

impl Group {
    /// Starts three servers, one in each zone; the first leads.
    pub fn start(service: &'static str, zones: [&'static str; 3]) -> Self {
        let group = Self {
            service,
            shared: Arc::default(),
        };
        let born = now_ms();
        for (index, zone) in zones.into_iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            group.lock().servers.push(Server {
                id: format!("{service}-{index}"),
                address: listener.local_addr().unwrap(),
                is_primary: index == 0,
                term: 1,
                log: Vec::new(),
                paused: 0,
                deaf: false,
                dark: false,
                cut_from: None,
                connections: 0,
                lifetime: 0,
                zone,
                born,
                sequence: 0,
            });
            let accepting = group.clone();
            thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let group = accepting.clone();
                    thread::spawn(move || Connection::serve(group, index, socket));
                }
            });
        }
        let replicating = group.clone();
        thread::spawn(move || {
            loop {
                replicating.replicate();
                thread::sleep(POLL_INTERVAL);
            }
        });
        group
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Changes or reads the state of a server.
    pub fn with<T>(&self, index: usize, access: impl FnOnce(&mut Server) -> T) -> T {
        access(&mut self.lock().servers[index])
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    pub fn promotions(&self) -> Vec<Promotion> {
        self.lock().promotions.clone()
    }

    /// Cuts a server off from everything, or takes its power.
    pub fn go_dark(&self, index: usize) {
        self.with(index, |server| {
            record(&format!("server {}: silent from now on", server.id));
            server.dark = true;
        });
    }

    /// Cuts a server off from one coordinator, or ends that.
    pub fn cut_from(&self, index: usize, coordinator: Option<Coordinator>) {
        self.with(index, |server| {
            match &coordinator {
                Some(cut) => record(&format!("server {}: cut off from {}", server.id, cut.name)),
                None => record(&format!("server {}: reaches all coordinators", server.id)),
            }
            server.cut_from = coordinator;
        });
    }

    /// Starts a server again after a crash. It has its log and a new lifetime.
    pub fn restart(&self, index: usize) {
        self.with(index, |server| {
            record(&format!("server {}: back after its crash", server.id));
            (server.dark, server.lifetime) = (false, server.lifetime + 1);
            (server.born, server.sequence, server.paused) = (now_ms(), 0, 0);
        });
    }

    pub fn is_running(&self, id: &str) -> bool {
        let shared = self.lock();
        shared
            .servers
            .iter()
            .any(|server| server.id == id && !server.dark)
    }

    pub fn is_primary(&self, id: &str) -> bool {
        let shared = self.lock();
        shared
            .servers
            .iter()
            .any(|server| server.id == id && server.is_primary)
    }

    /// Makes a server the leader of the next term, with what it has received.
    pub fn promote(&self, id: &str) {
        let mut shared = self.lock();
        let term = shared
            .servers
            .iter()
            .map(|server| server.term)
            .max()
            .unwrap_or(0)
            + 1;
        let log = shared.servers.iter().find(|server| server.id == id);
        let log = log.map_or_else(Vec::new, |server| server.log.clone());
        shared.promotions.push(Promotion {
            at: Instant::now(),
            id: id.to_owned(),
            log,
        });
        for server in &mut shared.servers {
            server.is_primary = server.id == id;
            server.paused = 0;
            if server.is_primary {
                server.term = term;
                record(&format!(
                    "server {id} leads term {term} at {:?}",
                    server.position()
                ));
            }
        }
    }

    /// Copies the leader's log to the replicas that receive. Returns whether there is one.
    fn replicate(&self) -> bool {
        let mut shared = self.lock();
        let Some(leader) = shared
            .servers
            .iter()
            .find(|server| server.is_primary && !server.dark)
        else {
            return false;
        };
        let (term, log) = (leader.term, leader.log.clone());
        let mut received = false;
        for server in shared
            .servers
            .iter_mut()
            .filter(|server| !server.is_primary)
        {
            if !server.dark && !server.deaf && server.paused <= term {
                server.term = term;
                server.log.clone_from(&log);
                received = true;
            }
        }
        received
    }

    /// Sends heartbeats of all servers to the control addresses.
    pub fn send_heartbeats(&self, control: &[SocketAddr]) {
        let count = self.lock().servers.len();
        for index in 0..count {
            let (group, control) = (self.clone(), control.to_vec());
            thread::spawn(move || group.run_heartbeats(index, &control));
        }
    }

    fn run_heartbeats(&self, index: usize, control: &[SocketAddr]) {
        let (mut sent_at, mut sent) = (None::<Instant>, None);
        let mut preferred = None::<SocketAddr>;
        loop {
            thread::sleep(POLL_INTERVAL);
            let (present, dark) = self.with(index, |server| (server.is_primary, server.dark));
            let due = sent_at.is_none_or(|at| at.elapsed() >= HEARTBEAT_INTERVAL);
            if dark || !(due || sent != Some(present)) {
                continue;
            }
            let (path, body, unreachable) = self.with(index, |server| {
                server.sequence += 1;
                (
                    format!("/-/instances/{}", server.id),
                    heartbeat(self.service, server),
                    server.cut_from.as_ref().map(|coordinator| coordinator.ip),
                )
            });
            let addresses: Vec<SocketAddr> =
                preferred.into_iter().chain(control.to_vec()).collect();
            let (status, answer) = http::call(&addresses, unreachable, "PUT", &path, &body);
            (sent_at, sent) = (Some(Instant::now()), Some(present));
            if status != 200 {
                (preferred, sent) = (None, None);
                continue;
            }
            let address = answer.split("\"heartbeat_address\":\"").nth(1);
            preferred = address.and_then(|rest| rest.split('"').next()?.parse().ok());
        }
    }
}

fn now_ms() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}

fn heartbeat(service: &str, server: &Server) -> String {
    let role = if server.is_primary {
        "primary"
    } else {
        "replica"
    };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
         \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"database_role\":\"{role}\",\"sequence\":{},\"born\":{}}}",
        server.address, server.zone, server.sequence, server.born
    )
}

/// An open transaction.
struct Transaction {
    may_write: bool,
    writes: Vec<(String, String)>,
    failed: bool,
}

struct Connection {
    group: Group,
    index: usize,
    transaction: Option<Transaction>,
    prepared: BTreeMap<String, String>,
    lifetime: u64,
    /// Process id of the coordinator from which it comes.
    coordinator: Option<u32>,
}

impl Connection {
    fn serve(group: Group, index: usize, mut socket: TcpStream) {
        let _set = socket.set_nodelay(true);
        let (connections, lifetime) = group.with(index, |server| {
            server.connections += 1;
            (server.connections, server.lifetime)
        });
        if connections > CONNECTION_LIMIT {
            let _closed = socket.write_all(b"ERROR CONNLIMIT full\r\n");
        } else {
            let mut connection = Self {
                group: group.clone(),
                index,
                transaction: None,
                prepared: BTreeMap::new(),
                lifetime,
                coordinator: socket.peer_addr().ok().and_then(coordinator_at),
            };
            connection.run(&mut socket);
        }
        group.with(index, |server| server.connections -= 1);
    }

    fn run(&mut self, socket: &mut TcpStream) {
        let Ok(reading) = socket.try_clone() else {
            return;
        };
        for line in BufReader::new(reading).lines() {
            let Ok(line) = line else { return };
            if !self.wait_while_dark() {
                return;
            }
            let Some(answer) = self.handle(line.trim_end()) else {
                return;
            };
            if !self.wait_while_dark() {
                return;
            }
            if socket.write_all(answer.as_bytes()).is_err() || answer.starts_with("ERROR WRONGNODE")
            {
                return;
            }
        }
    }

    /// Waits while nothing passes between the server and its peer. Returns false if the connection
    /// has not survived.
    fn wait_while_dark(&self) -> bool {
        let mut was_cut = false;
        loop {
            let (dark, cut, lifetime) = self.server(|server| {
                let cut = server.cut_from.as_ref().map(|cut| cut.process);
                (server.dark, cut, server.lifetime)
            });
            let cut = cut.is_some() && cut == self.coordinator;
            was_cut |= cut;
            if !dark && !cut {
                return !was_cut && lifetime == self.lifetime;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn server<T>(&self, access: impl FnOnce(&mut Server) -> T) -> T {
        self.group.with(self.index, access)
    }

    fn ready(&self) -> String {
        let state = match &self.transaction {
            None => "I",
            Some(transaction) if transaction.failed => "E",
            Some(_) => "T",
        };
        let (term, number) = self.server(|server| server.position());
        format!("READY {state} {term}.{number}\r\n")
    }

    fn complete(&self, rows: &[String], receipt: &str) -> String {
        let mut text = String::new();
        for row in rows {
            text += &format!("DATAROW {row}\r\n");
        }
        text + &format!("COMPLETE {receipt}\r\n{}", self.ready())
    }

    fn error(&mut self, code: &str) -> String {
        if let Some(transaction) = &mut self.transaction {
            transaction.failed = true;
        }
        let id = self.server(|server| server.id.clone());
        format!("ERROR {code} {id}\r\n{}", self.ready())
    }

    /// The answer to a message; `None` closes the connection.
    fn handle(&mut self, line: &str) -> Option<String> {
        let fields: Vec<&str> = line.splitn(3, ' ').collect();
        match fields[..] {
            ["STARTUP", service, rest] => {
                let expected = rest.split(' ').nth(1);
                let id = self.server(|server| server.id.clone());
                let matches =
                    service == self.group.service && expected.is_none_or(|expected| expected == id);
                Some(if matches {
                    self.ready()
                } else {
                    "ERROR WRONGNODE x\r\n".to_owned()
                })
            }
            ["QUERY", id, text] => self.query(id, text),
            ["TERMINATE", ..] => None,
            _ => Some(self.error("MALFORMED")),
        }
    }

    fn query(&mut self, id: &str, text: &str) -> Option<String> {
        let mut statement = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, after) = rest.split_once(' ')?;
            let (term, number) = position.split_once('.')?;
            let wanted: (u64, u64) = (term.parse().ok()?, number.parse().ok()?);
            let contains = |entry: &Entry| (entry.term, entry.number) == wanted;
            let lacks = wanted.1 > 0 && !self.server(|server| server.log.iter().any(contains));
            if lacks {
                return Some(self.error("LAGGING"));
            }
            statement = after;
        }
        let fields: Vec<&str> = statement.split(' ').collect();
        let is_ending = matches!(fields[0], "ROLLBACK" | "COMMIT");
        if self.transaction.as_ref().is_some_and(|open| open.failed) && !is_ending {
            return Some(self.error("MALFORMED"));
        }
        Some(match fields[..] {
            ["BEGIN"] if !self.server(|server| server.is_primary) => self.error("READONLY"),
            ["BEGIN", ref rest @ ..] => {
                self.transaction = Some(Transaction {
                    may_write: rest.is_empty(),
                    writes: Vec::new(),
                    failed: false,
                });
                self.complete(&[], "-")
            }
            ["ROLLBACK"] => {
                self.transaction = None;
                self.complete(&[], "-")
            }
            ["SET", ..] => self.complete(&[], "-"),
            ["RESET"] => {
                self.prepared.clear();
                self.complete(&[], "-")
            }
            ["PREPARE", name, access, ..] => {
                self.prepared.insert(name.to_owned(), access.to_owned());
                self.complete(&[], "-")
            }
            ["STATUS"] => self.status(),
            ["PAUSE", term] => {
                let term = term.parse().ok()?;
                self.server(|server| {
                    if !server.is_primary && term > server.term {
                        server.paused = term;
                        record(&format!("server {}: paused, term {term}", server.id));
                    }
                });
                self.status()
            }
            ["RESUME"] => {
                self.server(|server| server.paused = 0);
                self.status()
            }
            ["STEPDOWN", term] => {
                let term: u64 = term.parse().ok()?;
                self.server(|server| {
                    if server.is_primary && server.term < term {
                        server.is_primary = false;
                        record(&format!("server {}: steps down, term {term}", server.id));
                    }
                });
                self.status()
            }
            ["READ", item] => self.read(id, text, item),
            ["WRITE", item, data] => return self.write(id, text, item, data),
            ["EXECUTE", name, ref arguments @ ..] => {
                match self.prepared.get(name).map(String::as_str) {
                    Some("WRITE") => {
                        return self.write(id, text, arguments.first()?, arguments.get(1)?);
                    }
                    Some(_) => self.read(id, text, arguments.first()?),
                    None => self.error("UNPREPARED"),
                }
            }
            ["COMMIT"] => return self.commit(id, text),
            _ => self.error("MALFORMED"),
        })
    }

    fn status(&self) -> String {
        let row = self.server(|server| {
            let role = if server.is_primary {
                "primary"
            } else {
                "replica"
            };
            let (term, number) = server.position();
            format!(
                "{role} {} {term}.{number} {} 0 0 {}",
                server.term, server.paused, server.connections
            )
        });
        self.complete(&[row], "-")
    }

    /// Whether a transaction that may write is open on a server that does not lead.
    fn has_lost_lead(&self) -> bool {
        let may_write = self.transaction.as_ref().is_some_and(|open| open.may_write);
        may_write && !self.server(|server| server.is_primary)
    }

    fn note_run(&mut self, id: &str, text: &str) {
        thread::sleep(WORK_TIME);
        let server = self.server(|server| server.id.clone());
        record(&format!("server {server} runs {id} {text}"));
        self.group.lock().runs.push(Run { id: id.to_owned() });
    }

    fn read(&mut self, id: &str, text: &str, item: &str) -> String {
        if self.has_lost_lead() {
            return self.error("READONLY");
        }
        self.note_run(id, text);
        if item == "large" {
            let row = "x".repeat(LARGE_ROW_BYTES);
            return self.complete(&vec![row; LARGE_ROWS], "r.1");
        }
        let data = self.server(|server| {
            let writes = server.log.iter().flat_map(|entry| &entry.writes);
            let last = writes.filter(|(known, _)| known == item).next_back();
            last.map_or_else(|| "none".to_owned(), |(_, data)| data.clone())
        });
        self.complete(&[data], "r.1")
    }

    fn write(&mut self, id: &str, text: &str, item: &str, data: &str) -> Option<String> {
        if !self.server(|server| server.is_primary) {
            return Some(self.error("READONLY"));
        }
        self.note_run(id, text);
        let write = (item.to_owned(), data.to_owned());
        if let Some(open) = &mut self.transaction {
            open.writes.push(write);
            return Some(self.complete(&[], "r.2"));
        }
        self.append(vec![write])
    }

    fn commit(&mut self, id: &str, text: &str) -> Option<String> {
        let Some(open) = self.transaction.take() else {
            return Some(self.error("MALFORMED"));
        };
        if open.failed {
            return Some(self.error("ABORTED"));
        }
        if open.writes.is_empty() {
            self.note_run(id, text);
            return Some(self.complete(&[], "r.3"));
        }
        if !self.server(|server| server.is_primary) {
            return Some(self.error("READONLY"));
        }
        self.note_run(id, text);
        self.append(open.writes)
    }

    /// Appends a commit and waits until a replica has received it. The connection is closed without
    /// an answer if the server loses the lead meanwhile.
    fn append(&mut self, writes: Vec<(String, String)>) -> Option<String> {
        let appended = self.server(|server| {
            let number = server.position().1 + 1;
            let term = server.term;
            let entry = Entry {
                term,
                number,
                writes,
            };
            server.is_primary.then(|| server.log.push(entry))
        });
        appended?;
        loop {
            if !self.server(|server| server.is_primary) {
                return None;
            }
            if !self.wait_while_dark() {
                return None;
            }
            if self.group.replicate() {
                return Some(self.complete(&[], "r.2"));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

//! A whole system of real processes on loopback: 3 control instances, 3 entries and one database of
//! 3 stand-in targets.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

use crate::link::Link;

/// Time for anything that must come to pass at all; the design page has every change over in 10 s.
pub const LIMIT: Duration = Duration::from_secs(10);
/// Time for nine processes to start on a busy machine.
const START: Duration = Duration::from_secs(30);
/// Starts with new ports before giving up, in case another program took one of them.
const ATTEMPTS: usize = 3;
const TOKEN: &str = "system-test-token-0123456789";
const DOMAINS: [&str; 3] = ["catania", "ragusa", "enna"];

/// What a test may choose.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Delay of replication.
    pub lag_ms: u64,
    /// Deadline of an entry's graceful stop.
    pub stop_timeout_ms: u64,
    /// Deadline of a connection's start.
    pub start_timeout_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lag_ms: 2,
            stop_timeout_ms: 10_000,
            start_timeout_ms: 10_000,
        }
    }
}

#[derive(Debug)]
struct Process {
    binary: &'static str,
    child: Option<Child>,
}

/// A running system. Dropping it ends every process.
#[derive(Debug)]
pub struct System {
    folder: TempDir,
    ports: BTreeMap<String, u16>,
    processes: BTreeMap<String, Process>,
    /// From an entry to a control instance, by both numbers.
    pub links: BTreeMap<(usize, usize), Link>,
}

impl System {
    /// Starts a system and waits until every entry acknowledges a write.
    ///
    /// Only a process that ends at its start leads to another attempt, with new ports: a system that
    /// runs and does not serve is a fault.
    pub async fn start(options: Options) -> Self {
        for _ in 0..ATTEMPTS {
            let mut system = Self::attempt(options).await;
            match system.ready().await {
                Ok(()) => return system,
                Err(name) => eprintln!("{name} ended at its start:\n{}", system.log(&name)),
            }
        }
        panic!("no start in {ATTEMPTS} attempts");
    }

    async fn attempt(options: Options) -> Self {
        let mut held = BTreeMap::new();
        for i in 0..3 {
            for kind in ["control", "entry", "target", "control-http", "entry-http"] {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                held.insert(format!("{kind}-{i}"), listener);
            }
        }
        let port = |listener: &TcpListener| listener.local_addr().unwrap().port();
        let ports = held.iter().map(|(k, l)| (k.clone(), port(l))).collect();
        let mut system = Self {
            folder: tempfile::tempdir().unwrap(),
            ports,
            processes: BTreeMap::new(),
            links: BTreeMap::new(),
        };
        for entry in 0..3 {
            for control in 0..3 {
                let link = Link::start(system.address("control", control)).await;
                system.links.insert((entry, control), link);
            }
        }
        drop(held);
        for i in 0..3 {
            let control = system.control_settings(i);
            system.add(
                "control",
                i,
                env!("CARGO_BIN_EXE_limpettally-control"),
                &control,
            );
            let target = system.target_settings(i, options);
            system.add(
                "target",
                i,
                env!("CARGO_BIN_EXE_limpettally-standin"),
                &target,
            );
            let entry = system.entry_settings(i, options);
            system.add("entry", i, env!("CARGO_BIN_EXE_limpettally-entry"), &entry);
        }
        system
    }

    fn add(&mut self, kind: &str, i: usize, binary: &'static str, settings: &Value) {
        let name = format!("{kind}-{i}");
        let path = self.folder.path().join(format!("{name}.json"));
        std::fs::write(path, settings.to_string()).unwrap();
        let child = None;
        self.processes
            .insert(name.clone(), Process { binary, child });
        self.restart(&name);
    }

    fn control_settings(&self, i: usize) -> Value {
        let member =
            |i| json!({"instance": format!("control-{i}"), "address": self.address("control", i)});
        json!({
            "instance": format!("control-{i}"), "domain": DOMAINS[i], "token": TOKEN,
            "data": self.folder.path().join(format!("control-{i}.data")),
            "link": self.address("control", i), "http": self.address("control-http", i),
            "members": [member(0), member(1), member(2)],
        })
    }

    fn entry_settings(&self, i: usize, options: Options) -> Value {
        let control: Vec<_> = (0..3).map(|c| self.links[&(i, c)].address).collect();
        json!({
            "instance": format!("entry-{i}"), "domain": DOMAINS[i], "token": TOKEN,
            "listen": self.address("entry", i), "http": self.address("entry-http", i),
            "control": control,
            "cache": self.folder.path().join(format!("entry-{i}.catalog")),
            "session_keys": [{"id": 1, "secret": "system-test-secret-0123456789-0123456789"}],
            // The caller's password is "demo".
            "callers": [{
                "user": "demo", "salt": "bGltcGV0dGFsbHktZGVtbw==", "iterations": 4096,
                "hash": "wQavkR/YSZMjLYBvZ6xvqb/4eD0wwZx8Kaz8V0tB50A=",
            }],
            "stop_timeout_ms": options.stop_timeout_ms,
            "start_timeout_ms": options.start_timeout_ms,
        })
    }

    fn target_settings(&self, i: usize, options: Options) -> Value {
        let announce: Vec<_> = (0..3).map(|e| self.address("entry-http", e)).collect();
        let mut settings = json!({
            "target": format!("target-{i}"), "service": "registro-uova", "database": "orders",
            "group": "orders", "region": "sicilia-est", "domain": DOMAINS[i], "token": TOKEN,
            "listen": self.address("target", i), "announce": announce, "ttl_ms": 3000,
            "lag_ms": options.lag_ms,
        });
        if i > 0 {
            settings["primary"] = json!(self.address("target", 0));
        }
        settings
    }

    /// Waits until every entry acknowledges a write. Fails with a process that has ended.
    async fn ready(&mut self) -> Result<(), String> {
        let started = Instant::now();
        for entry in 0..3 {
            loop {
                for (name, process) in &mut self.processes {
                    if process.has_ended() {
                        return Err(name.clone());
                    }
                }
                let create = "CREATE TABLE IF NOT EXISTS log (id int, v text)";
                let tried = match self.connect(entry, None).await {
                    Ok(client) => client.batch_execute(create).await,
                    Err(error) => Err(error),
                };
                let Err(error) = tried else { break };
                assert!(
                    started.elapsed() < START,
                    "entry-{entry} does not serve: {error:?}"
                );
                sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Address of a process, or of its HTTP endpoint for a kind that ends in `-http`.
    pub fn address(&self, kind: &str, i: usize) -> SocketAddr {
        ([127, 0, 0, 1], self.ports[&format!("{kind}-{i}")]).into()
    }

    // --- Failures ---------------------------------------------------------------------------------

    /// Sends a signal to a process through the `kill` program.
    pub fn signal(&self, name: &str, signal: &str) {
        let child = self.processes[name].child.as_ref().expect("running");
        let sent = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status();
        assert!(sent.unwrap().success(), "kill {signal} {name}");
    }

    /// Ends a process at once.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.processes.get_mut(name).unwrap().child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Stops a process from running without ending it.
    pub fn freeze(&self, name: &str) {
        self.signal(name, "-STOP");
    }

    /// Lets a frozen process go on.
    pub fn unfreeze(&self, name: &str) {
        self.signal(name, "-CONT");
    }

    /// Waits for the end of a process that was told to stop.
    pub async fn exited(&mut self, name: &str, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < limit {
            let process = self.processes.get_mut(name).unwrap();
            if let Some(status) = process.child.as_mut().unwrap().try_wait().unwrap() {
                process.child = None;
                return Some(status);
            }
            sleep(Duration::from_millis(5)).await;
        }
        None
    }

    /// Starts an ended process with its earlier settings.
    pub fn restart(&mut self, name: &str) {
        let folder = self.folder.path();
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")));
        let process = self.processes.get_mut(name).unwrap();
        let child = Command::new(process.binary)
            .arg("--settings")
            .arg(folder.join(format!("{name}.json")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.unwrap())
            .spawn();
        process.child = Some(child.unwrap());
    }

    /// Removes the disk of an ended control instance.
    pub fn empty_disk(&self, control: usize) {
        std::fs::remove_dir_all(self.folder.path().join(format!("control-{control}.data")))
            .unwrap();
    }

    /// Cuts or heals every link from an entry to control.
    pub fn cut_control(&self, entry: usize, cut: bool) {
        (0..3).for_each(|control| self.links[&(entry, control)].cut(cut));
    }

    // --- Observation ------------------------------------------------------------------------------

    /// A caller of an entry, with a session token if there is one.
    pub async fn connect(
        &self,
        entry: usize,
        token: Option<&str>,
    ) -> Result<Client, tokio_postgres::Error> {
        connect(self.address("entry", entry), token).await
    }

    /// A connection to a target, past the entries.
    pub async fn target(&self, target: usize) -> Client {
        connect(self.address("target", target), None).await.unwrap()
    }

    /// A metric of a process; none if it has no such line or does not answer.
    pub async fn metric(&self, kind: &str, i: usize, name: &str) -> Option<u64> {
        let mut socket = TcpStream::connect(self.address(&format!("{kind}-http"), i))
            .await
            .ok()?;
        let request = b"GET /metrics HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n";
        socket.write_all(request).await.ok()?;
        let mut text = String::new();
        socket.read_to_string(&mut text).await.ok()?;
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value?.trim().parse().ok()
    }

    /// A counter of an entry by its reason.
    pub async fn count(&self, entry: usize, counter: &str, reason: &str) -> u64 {
        let name = format!("{counter}_total{{reason=\"{reason}\"}}");
        self.metric("entry", entry, &name).await.unwrap_or(0)
    }

    /// Log lines of a process.
    pub fn log(&self, name: &str) -> String {
        let path = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    fn logs(&self) -> String {
        let tail = |name: &String| {
            let log = self.log(name);
            let lines: Vec<_> = log.lines().rev().take(8).collect();
            let lines: Vec<_> = lines.into_iter().rev().collect();
            format!("--- {name}\n{}\n", lines.join("\n"))
        };
        self.processes.keys().map(tail).collect()
    }
}

impl Process {
    fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}

impl Drop for System {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.logs());
        }
        for child in self.processes.values_mut().filter_map(|p| p.child.as_mut()) {
            // SIGKILL ends a frozen process too.
            let _ended = child.kill();
            let _status = child.wait();
        }
    }
}

/// A caller at an address, with a session token if there is one.
pub async fn connect(
    address: SocketAddr,
    token: Option<&str>,
) -> Result<Client, tokio_postgres::Error> {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("demo")
        .password("demo")
        .dbname("orders")
        .connect_timeout(Duration::from_secs(5));
    if let Some(token) = token {
        config.options(format!("-c limpettally.session={token}"));
    }
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(async move {
        // The client's next call reports the end of the connection.
        let _ended = connection.await;
    });
    Ok(client)
}

/// First column of the first row.
pub async fn value(client: &Client, text: &str) -> Result<Option<String>, tokio_postgres::Error> {
    let messages = client.simple_query(text).await?;
    Ok(messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    }))
}

/// Token of a caller's session.
pub async fn token(client: &Client) -> String {
    let token = value(client, "SHOW limpettally.session").await;
    token.unwrap().expect("a token")
}

/// Waits until `probe` gives a value.
pub async fn eventually<T>(
    what: &str,
    limit: Duration,
    mut probe: impl AsyncFnMut() -> Option<T>,
) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(started.elapsed() < limit, "not within {limit:?}: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

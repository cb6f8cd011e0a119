//! A whole system of real processes on loopback: 3 control instances, 3 entries and one database of
//! 3 stand-in targets.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::caller::{Caller, connect, eventually, value};
use crate::link::Link;
use crate::settings::Options;

/// Time for anything that must come to pass at all; the design page has every change over in 10 s.
pub const LIMIT: Duration = Duration::from_secs(10);
/// Time for nine processes to start on a busy machine.
const START: Duration = Duration::from_secs(30);
/// Starts with new ports before giving up, in case another program took one of them.
const ATTEMPTS: usize = 3;
#[derive(Debug)]
struct Process {
    binary: &'static str,
    child: Option<Child>,
}

/// A running system. Dropping it ends every process.
#[derive(Debug)]
pub struct System {
    pub(crate) folder: TempDir,
    ports: BTreeMap<String, u16>,
    processes: BTreeMap<String, Process>,
    /// In front of each control instance.
    pub(crate) links: Vec<Link>,
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
                Err(ended) => eprintln!("ended at its start: {ended}\n{}", system.logs()),
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
            links: Vec::new(),
        };
        for control in 0..3 {
            let link = Link::start(system.address("control", control));
            system.links.push(link);
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

    /// Waits until every entry acknowledges a write. Fails with a process that has ended.
    async fn ready(&mut self) -> Result<(), String> {
        let started = Instant::now();
        for entry in 0..3 {
            loop {
                for (name, process) in &mut self.processes {
                    if let Some(status) = process.ended() {
                        return Err(format!("{name}: {status}"));
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

    /// Starts an ended target as a replica of another one.
    pub fn restart_as_replica(&mut self, target: usize, primary: usize) {
        let name = format!("target-{target}");
        let path = self.folder.path().join(format!("{name}.json"));
        let text = std::fs::read_to_string(&path).unwrap();
        let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
        settings["primary"] = serde_json::json!(self.address("target", primary));
        std::fs::write(path, settings.to_string()).unwrap();
        self.restart(&name);
    }

    /// Removes the disk of an ended control instance.
    pub fn empty_disk(&self, control: usize) {
        std::fs::remove_dir_all(self.folder.path().join(format!("control-{control}.data")))
            .unwrap();
    }

    /// Cuts or heals the links from a process to every control instance.
    pub fn cut_control(&self, name: &str, cut: bool) {
        self.links.iter().for_each(|link| link.cut(name, cut));
    }

    // --- Observation ------------------------------------------------------------------------------

    /// A caller of an entry, with a session token if there is one.
    pub async fn connect(
        &self,
        entry: usize,
        token: Option<&str>,
    ) -> Result<Caller, tokio_postgres::Error> {
        connect(self.address("entry", entry), token).await
    }

    /// A connection to a target, past the entries.
    pub async fn target(&self, target: usize) -> Caller {
        connect(self.address("target", target), None).await.unwrap()
    }

    /// The target that is the primary, as the targets say themselves.
    pub async fn primary(&self) -> usize {
        eventually("one primary", LIMIT, async || {
            let mut found = Vec::new();
            for i in 0..3 {
                let recovers = value(&self.target(i).await, "SELECT pg_is_in_recovery()").await;
                if recovers.ok()?.as_deref() == Some("f") {
                    found.push(i);
                }
            }
            (found.len() == 1).then(|| found[0])
        })
        .await
    }

    /// The primary, when another target has ended.
    pub async fn primary_beside(&self, ended: usize) -> usize {
        eventually("a primary beside the ended one", LIMIT, async || {
            for i in (0..3).filter(|i| *i != ended) {
                let recovers = value(&self.target(i).await, "SELECT pg_is_in_recovery()").await;
                if recovers.ok()?.as_deref() == Some("f") {
                    return Some(i);
                }
            }
            None
        })
        .await
    }

    /// Whether a target is a replica on the primary's timeline.
    pub async fn follows(&self, target: usize, primary: usize) -> bool {
        let timeline = "SELECT timeline_id FROM pg_control_checkpoint()";
        let Ok(client) = connect(self.address("target", target), None).await else {
            return false;
        };
        let recovers = value(&client, "SELECT pg_is_in_recovery()").await;
        let own = value(&client, timeline).await;
        let primary = value(&self.target(primary).await, timeline).await;
        let (Ok(recovers), Ok(own), Ok(primary)) = (recovers, own, primary) else {
            return false;
        };
        recovers.as_deref() == Some("t") && own == primary
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
    fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().unwrap()
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

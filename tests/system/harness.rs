//! System of real processes on loopback: 3 control instances, 3 entries and one database with 3
//! stand-in targets.

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

/// Time limit for each awaited condition; by design every change completes within 10 s.
pub const TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for the start of nine processes on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of starts, each with new ports, in case another program has taken one of the ports.
const START_ATTEMPTS: usize = 3;

#[derive(Debug)]
struct Process {
    binary: &'static str,
    child: Option<Child>,
}

/// A running system. Dropping it kills every process.
#[derive(Debug)]
pub struct System {
    pub(crate) folder: TempDir,
    ports: BTreeMap<String, u16>,
    processes: BTreeMap<String, Process>,
    /// Relays in front of the control instances.
    pub(crate) links: Vec<Link>,
}

impl System {
    /// Starts a system and waits until every entry acknowledges a write.
    ///
    /// Tries again with new ports only if a process exits during its start: a system that runs
    /// without serving callers is a fault.
    pub async fn start(options: Options) -> Self {
        for _ in 0..START_ATTEMPTS {
            let mut system = Self::spawn_all(options).await;
            match system.wait_until_ready().await {
                Ok(()) => return system,
                Err(exited) => eprintln!(
                    "process exited during its start: {exited}\n{}",
                    system.logs()
                ),
            }
        }
        panic!("the system did not start in {START_ATTEMPTS} attempts");
    }

    async fn spawn_all(options: Options) -> Self {
        let mut listeners = BTreeMap::new();
        for i in 0..3 {
            for kind in ["control", "entry", "target", "control-http", "entry-http"] {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                listeners.insert(format!("{kind}-{i}"), listener);
            }
        }
        let port = |listener: &TcpListener| listener.local_addr().unwrap().port();
        let ports = listeners
            .iter()
            .map(|(k, l)| (k.clone(), port(l)))
            .collect();
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
        drop(listeners);
        for i in 0..3 {
            let control = system.control_settings(i);
            system.add_process(
                "control",
                i,
                env!("CARGO_BIN_EXE_limpettally-control"),
                &control,
            );
            let target = system.target_settings(i, options);
            system.add_process(
                "target",
                i,
                env!("CARGO_BIN_EXE_limpettally-standin"),
                &target,
            );
            let entry = system.entry_settings(i, options);
            system.add_process("entry", i, env!("CARGO_BIN_EXE_limpettally-entry"), &entry);
        }
        system
    }

    fn add_process(&mut self, kind: &str, i: usize, binary: &'static str, settings: &Value) {
        let name = format!("{kind}-{i}");
        let path = self.folder.path().join(format!("{name}.json"));
        std::fs::write(path, settings.to_string()).unwrap();
        let child = None;
        self.processes
            .insert(name.clone(), Process { binary, child });
        self.restart(&name);
    }

    /// Waits until every entry acknowledges a write. Fails if a process has exited.
    async fn wait_until_ready(&mut self) -> Result<(), String> {
        let started = Instant::now();
        for entry in 0..3 {
            loop {
                for (name, process) in &mut self.processes {
                    if let Some(status) = process.exit_status() {
                        return Err(format!("{name}: {status}"));
                    }
                }
                let create = "CREATE TABLE IF NOT EXISTS log (id int, v text)";
                let result = match self.connect(entry, None).await {
                    Ok(client) => client.batch_execute(create).await,
                    Err(error) => Err(error),
                };
                let Err(error) = result else { break };
                assert!(
                    started.elapsed() < START_TIMEOUT,
                    "entry-{entry} does not serve callers: {error:?}"
                );
                sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Address of a process; its HTTP address for a kind that ends in `-http`.
    pub fn address(&self, kind: &str, i: usize) -> SocketAddr {
        ([127, 0, 0, 1], self.ports[&format!("{kind}-{i}")]).into()
    }

    // --- Failures ---------------------------------------------------------------------------------

    /// Sends a signal to a process through the `kill` program.
    pub fn signal(&self, name: &str, signal: &str) {
        let child = self.processes[name]
            .child
            .as_ref()
            .expect("the process runs");
        let sent = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status();
        assert!(sent.unwrap().success(), "kill {signal} {name}");
    }

    /// Kills a process.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.processes.get_mut(name).unwrap().child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Suspends a process with SIGSTOP.
    pub fn suspend(&self, name: &str) {
        self.signal(name, "-STOP");
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self, name: &str) {
        self.signal(name, "-CONT");
    }

    /// Waits until a process exits; `None` if it is still running after `limit`.
    pub async fn wait_for_exit(&mut self, name: &str, limit: Duration) -> Option<ExitStatus> {
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

    /// Starts an exited process with its previous settings.
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

    /// Starts an exited target as a replica of another one.
    pub fn restart_as_replica(&mut self, target: usize, primary: usize) {
        let name = format!("target-{target}");
        let path = self.folder.path().join(format!("{name}.json"));
        let text = std::fs::read_to_string(&path).unwrap();
        let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
        settings["primary"] = serde_json::json!(self.address("target", primary));
        std::fs::write(path, settings.to_string()).unwrap();
        self.restart(&name);
    }

    /// Removes the data of an exited control instance.
    pub fn empty_disk(&self, control: usize) {
        std::fs::remove_dir_all(self.folder.path().join(format!("control-{control}.data")))
            .unwrap();
    }

    /// Cuts or restores the links from a process to every control instance.
    pub fn cut_control(&self, name: &str, cut: bool) {
        self.links.iter().for_each(|link| link.cut(name, cut));
    }

    // --- Observation ------------------------------------------------------------------------------

    /// Connects to an entry as a caller, with an optional session token.
    pub async fn connect(
        &self,
        entry: usize,
        token: Option<&str>,
    ) -> Result<Caller, tokio_postgres::Error> {
        connect(self.address("entry", entry), token).await
    }

    /// Connects to a target directly.
    pub async fn target(&self, target: usize) -> Caller {
        connect(self.address("target", target), None).await.unwrap()
    }

    /// The primary, according to the targets themselves.
    pub async fn primary(&self) -> usize {
        eventually("exactly one primary", TIMEOUT, async || {
            let mut found = Vec::new();
            for i in 0..3 {
                let in_recovery = value(&self.target(i).await, "SELECT pg_is_in_recovery()").await;
                if in_recovery.ok()?.as_deref() == Some("f") {
                    found.push(i);
                }
            }
            (found.len() == 1).then(|| found[0])
        })
        .await
    }

    /// The primary while the target `exited` does not run.
    pub async fn primary_besides(&self, exited: usize) -> usize {
        eventually("a primary besides the exited target", TIMEOUT, async || {
            for i in (0..3).filter(|i| *i != exited) {
                let in_recovery = value(&self.target(i).await, "SELECT pg_is_in_recovery()").await;
                if in_recovery.ok()?.as_deref() == Some("f") {
                    return Some(i);
                }
            }
            None
        })
        .await
    }

    /// Whether a target is a replica on the primary's database timeline.
    pub async fn follows(&self, target: usize, primary: usize) -> bool {
        let timeline_query = "SELECT timeline_id FROM pg_control_checkpoint()";
        let Ok(client) = connect(self.address("target", target), None).await else {
            return false;
        };
        let in_recovery = value(&client, "SELECT pg_is_in_recovery()").await;
        let own = value(&client, timeline_query).await;
        let primary = value(&self.target(primary).await, timeline_query).await;
        let (Ok(in_recovery), Ok(own), Ok(primary)) = (in_recovery, own, primary) else {
            return false;
        };
        in_recovery.as_deref() == Some("t") && own == primary
    }

    /// A metric of a process; `None` if the process does not answer or has no such metric.
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

    /// A counter of an entry with the given reason; 0 if absent.
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
    fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().unwrap()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.logs());
        }
        for child in self.processes.values_mut().filter_map(|p| p.child.as_mut()) {
            // SIGKILL also ends suspended processes.
            let _killed = child.kill();
            let _status = child.wait();
        }
    }
}

//! A control cluster of real processes on loopback, and the operators' command line against it.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use serde_json::{Value, json};
use tempfile::TempDir;

const TOKEN: &str = "0123456789abcdef";
const SIZE: usize = 3;

struct Instance {
    process: Child,
    http: SocketAddr,
    log: PathBuf,
}

/// Three control instances. Dropping it kills them, stopped ones included.
pub struct Cluster {
    instances: Vec<Instance>,
    _folder: TempDir,
}

impl Cluster {
    /// Starts the instances and waits until a leader answers.
    pub fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let (links, https) = (addresses(), addresses());
        let member =
            |index: usize| json!({"instance": name(index), "address": links[index].to_string()});
        let members: Vec<Value> = (0..SIZE).map(member).collect();
        let mut cluster = Self {
            instances: Vec::new(),
            _folder: folder,
        };
        for index in 0..SIZE {
            let path = |kind: &str| cluster._folder.path().join(format!("{kind}-{index}"));
            let settings = json!({
                "instance": name(index), "domain": "catania", "organisation": "uova",
                "data": path("data"), "link": links[index].to_string(),
                "http": https[index].to_string(), "token": TOKEN, "members": members,
            });
            fs::write(path("settings"), settings.to_string()).unwrap();
            let process = Command::new(env!("CARGO_BIN_EXE_limpettally-control"))
                .arg("--settings")
                .arg(path("settings"))
                .stderr(File::create(path("log")).unwrap())
                .spawn()
                .unwrap();
            cluster.instances.push(Instance {
                process,
                http: https[index],
                log: path("log"),
            });
        }
        cluster.leader(&[0, 1, 2]);
        cluster
    }

    /// Starts the command line against these instances.
    pub fn spawn(&self, instances: &[usize], args: &[&str]) -> Child {
        let controls = instances
            .iter()
            .map(|i| self.instances[*i].http.to_string());
        let controls: Vec<String> = controls.collect();
        Command::new(env!("CARGO_BIN_EXE_limpettally"))
            .args(["--control", &controls.join(","), "--timeout-ms", "20000"])
            .args(args)
            .env("LIMPETTALLY_TOKEN", TOKEN)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    }

    /// Runs the command line against these instances.
    pub fn run(&self, instances: &[usize], args: &[&str]) -> Output {
        self.spawn(instances, args).wait_with_output().unwrap()
    }

    /// Runs the command line, which has to succeed, and returns its output as JSON.
    pub fn json(&self, instances: &[usize], args: &[&str]) -> Value {
        let output = self.run(instances, &[args, &["--json"]].concat());
        assert!(output.status.success(), "{args:?}: {output:?}");
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// Index of the leader as these instances know it.
    pub fn leader(&self, instances: &[usize]) -> usize {
        let status = self.json(instances, &["status"]);
        let leader = status["leader"].as_str().unwrap();
        (0..SIZE).find(|index| name(*index) == leader).unwrap()
    }

    /// Kills an instance with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        let process = &mut self.instances[index].process;
        process.kill().unwrap();
        process.wait().unwrap();
    }

    /// Sends a signal to an instance.
    pub fn signal(&self, index: usize, signal: &str) {
        let id = self.instances[index].process.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().unwrap();
        assert!(sent.success());
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ended = instance.process.kill();
            let _ended = instance.process.wait();
            if std::thread::panicking() {
                let log = fs::read_to_string(&instance.log).unwrap_or_default();
                eprintln!("{}:\n{log}", instance.log.display());
            }
        }
    }
}

fn name(index: usize) -> String {
    format!("control-{index}")
}

/// Free addresses. All are held until each is known, so that they are distinct.
fn addresses() -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").unwrap();
    let listeners: Vec<TcpListener> = (0..SIZE).map(bind).collect();
    let address = |it: &TcpListener| it.local_addr().unwrap();
    listeners.iter().map(address).collect()
}

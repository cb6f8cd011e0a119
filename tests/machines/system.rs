//! System of real coordinators and proxies, with stand-in servers and platform.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::standin::{Caller, Group, Platform, SERVICE, call, unused_address};
use tempfile::TempDir;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const TEST_TIMEOUT: Duration = Duration::from_secs(50);

/// First host of the proxies; those before it are the coordinators'.
const FIRST_PROXY_HOST: u8 = 10;

/// A host of this test. Tests run as concurrent processes. If two of them shared an IP address, one
/// could take a port that the other has found unused.
fn host(index: u8) -> [u8; 4] {
    let [.., high, low] = std::process::id().to_be_bytes();
    [127, 1 + high % 250, low, index]
}

async fn proxy_address(index: usize) -> SocketAddr {
    let mut address = unused_address().await;
    let index = u8::try_from(index).unwrap();
    address.set_ip(host(FIRST_PROXY_HOST + index).into());
    address
}

/// A process. Dropping it kills the process.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts a program. Its output goes to a log file beside its settings.
    pub fn start(program: &str, settings: &PathBuf) -> Self {
        let log = settings.with_extension("log");
        let log = fs::File::options().create(true).append(true).open(log);
        let log = log.unwrap();
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap();
        Self(child)
    }

    /// Sends a signal, given by name without `SIG`.
    pub fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(sent.unwrap().success());
    }

    /// Waits until the process exits and returns the time that this took.
    pub async fn wait_for_exit(&mut self) -> Duration {
        let started = Instant::now();
        while self.0.try_wait().unwrap().is_none() {
            sleep(Duration::from_millis(20)).await;
        }
        started.elapsed()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _killed = self.0.kill();
        let _reaped = self.0.wait();
    }
}

#[derive(Debug)]
pub struct Coordinator {
    pub name: String,
    pub http: SocketAddr,
    pub link: SocketAddr,
    pub process: Option<Process>,
}

/// Three coordinators, some proxies, and a service with three servers.
#[derive(Debug)]
pub struct System {
    pub folder: TempDir,
    pub group: Group,
    pub platform: Platform,
    pub promoter: SocketAddr,
    pub coordinators: Vec<Coordinator>,
    pub proxies: Vec<Proxy>,
    /// Whether all proxies are in one failure domain.
    pub share_domain: bool,
    /// Connection limit of each server.
    pub connections_per_server: usize,
}

#[derive(Debug)]
pub struct Proxy {
    pub listen_address: SocketAddr,
    pub http: Option<SocketAddr>,
    pub process: Option<Process>,
}

impl System {
    /// Starts a system with one proxy.
    pub async fn start() -> Self {
        Self::start_with(Group::start(3).await, 1).await
    }

    /// Starts a system with the given servers and number of proxies.
    pub async fn start_with(group: Group, proxies: usize) -> Self {
        let platform = Platform::default();
        let delay = Duration::from_millis(100);
        let promoter = platform.start(group.clone(), delay).await;
        // All links use the same port, as on the users' machines, so each needs its own IP address.
        let port = unused_address().await.port();
        let mut coordinators = Vec::new();
        for index in 1..=3 {
            let host = host(index);
            let mut http = unused_address().await;
            http.set_ip(host.into());
            coordinators.push(Coordinator {
                name: format!("c{index}"),
                http,
                link: (host, port).into(),
                process: None,
            });
        }
        let mut system = Self {
            folder: tempfile::tempdir().unwrap(),
            group,
            platform,
            promoter,
            coordinators,
            proxies: Vec::new(),
            share_domain: false,
            connections_per_server: 40,
        };
        for index in 0..3 {
            system.start_coordinator(index, true);
        }
        for index in 0..proxies {
            system.add_proxy(index).await;
        }
        system.send_heartbeats();
        system
    }

    /// Starts a system with four proxies of one domain that share six connections to each server.
    pub async fn start_crowded() -> Self {
        let limit = 6;
        let mut system = Self::start_with(Group::start(3).await, 0).await;
        (system.share_domain, system.connections_per_server) = (true, limit);
        for index in 0..3 {
            system.group.server(index).max_connections = limit;
        }
        for index in 0..4 {
            system.add_proxy(index).await;
        }
        system.put_plan(1, 1000).await;
        // Time for the proxies to discover each other.
        sleep(Duration::from_secs(2)).await;
        system
    }

    pub fn seed_addresses(&self) -> String {
        let seed_addresses = self
            .coordinators
            .iter()
            .map(|coordinator| format!("\"{}\"", coordinator.http));
        seed_addresses.collect::<Vec<_>>().join(",")
    }

    pub fn start_coordinator(&mut self, index: usize, founding: bool) {
        let seed_addresses = self.seed_addresses();
        let data_folder = self.data_folder(index).display().to_string();
        let promoter = self.promoter;
        let coordinator = &mut self.coordinators[index];
        let (name, link, http) = (&coordinator.name, coordinator.link, coordinator.http);
        let settings = format!(
            r#"{{"instance":"{name}","domain":"d{index}","domains":["d0","d1","d2"],"data":"{data_folder}",
            "link":"{link}","http":"{http}","seeds":[{seed_addresses}],"founding":{founding},"tolerated":1,
            "promoter":"{promoter}"}}"#
        );
        let path = self.folder.path().join(format!("{name}.json"));
        fs::write(&path, settings).unwrap();
        let program = env!("CARGO_BIN_EXE_limpettally-coordinator");
        coordinator.process = Some(Process::start(program, &path));
    }

    async fn add_proxy(&mut self, index: usize) {
        self.proxies.push(Proxy {
            listen_address: proxy_address(index).await,
            http: None,
            process: None,
        });
        self.start_proxy(index).await;
    }

    pub async fn start_proxy(&mut self, index: usize) {
        let domain = if self.share_domain { 0 } else { index };
        let (http, link, seed_addresses) = (
            proxy_address(index).await,
            proxy_address(index).await,
            self.seed_addresses(),
        );
        let port = self.coordinators[0].link.port();
        let proxy = &mut self.proxies[index];
        let listen_address = proxy.listen_address;
        proxy.http = Some(http);
        let settings = format!(
            r#"{{"instance":"p{index}","domain":"d{domain}","domains":["d0","d1","d2"],"listen":"{listen_address}",
            "link":"{link}","http":"{http}","link_port":{port},"seeds":[{seed_addresses}],"stop_timeout_s":3}}"#
        );
        let path = self.folder.path().join(format!("p{index}.json"));
        fs::write(&path, settings).unwrap();
        let program = env!("CARGO_BIN_EXE_limpettally-proxy");
        proxy.process = Some(Process::start(program, &path));
    }

    /// Whether the process of a coordinator has ended by itself.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let process = self.coordinators[index].process.as_mut();
        process.is_some_and(|process| process.0.try_wait().unwrap().is_some())
    }

    pub fn data_folder(&self, index: usize) -> PathBuf {
        let name = &self.coordinators[index].name;
        self.folder.path().join(format!("{name}.data"))
    }

    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        self.coordinators
            .iter()
            .map(|coordinator| coordinator.http)
            .collect()
    }

    /// Sends heartbeats of every server to the coordinators while it is not silent.
    pub fn send_heartbeats(&self) {
        for server in self.group.0.iter() {
            let (server, addresses) = (Rc::clone(server), self.http_addresses());
            spawn_local(async move {
                loop {
                    let (path, body) = {
                        let mut server = server.borrow_mut();
                        server.sequence += 1;
                        let role = if server.is_primary {
                            "primary"
                        } else {
                            "replica"
                        };
                        let state = if server.draining { "draining" } else { "ready" };
                        let (address, sequence) = (server.address, server.sequence);
                        let body = format!(
                            r#"{{"service":"{SERVICE}","address":"{address}","zone":"d0","slots":5,
                            "state":"{state}","database_role":"{role}","sequence":{sequence},"born":7}}"#
                        );
                        (format!("/-/instances/{}", server.id), body)
                    };
                    if !server.borrow().unresponsive {
                        send(&addresses, "PUT", &path, &body).await;
                    }
                    sleep(HEARTBEAT_INTERVAL).await;
                }
            });
        }
    }

    /// Sends a plan until it is acknowledged.
    pub async fn put_plan(&self, version: u64, timeout_ms: u64) {
        let limit = format!("\"connection_limit\":{}", self.connections_per_server);
        let body = plan(version, timeout_ms).replace("\"connection_limit\":40", &limit);
        for _ in 0..200 {
            if send(&self.http_addresses(), "PUT", "/-/configuration", &body)
                .await
                .0
                == 200
            {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("plan {version} not acknowledged\n{}", self.logs());
    }

    /// The last log lines of each coordinator.
    fn logs(&self) -> String {
        let tail = |coordinator: &Coordinator| {
            let path = self.folder.path().join(format!("{}.log", coordinator.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().rev().take(20).collect();
            let lines: Vec<&str> = lines.into_iter().rev().collect();
            format!("{}:\n{}", coordinator.name, lines.join("\n"))
        };
        let tails: Vec<String> = self.coordinators.iter().map(tail).collect();
        tails.join("\n")
    }

    /// The plans that the coordinators return, directly or by a redirect to the leader.
    pub async fn plans(&self) -> Vec<String> {
        let mut plans = Vec::new();
        for address in self.http_addresses() {
            let reply = send(&[address], "GET", "/-/configuration", "").await;
            if reply.0 == 200 {
                plans.push(reply.1.rsplit("\r\n\r\n").next().unwrap().to_owned());
            }
        }
        plans
    }

    /// Index of the coordinator that answers without a redirect.
    pub async fn leader(&self) -> usize {
        for _ in 0..200 {
            for (index, coordinator) in self.coordinators.iter().enumerate() {
                if call(coordinator.http, "GET", "/-/configuration", "")
                    .await
                    .0
                    == 200
                {
                    return index;
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("no leader");
    }

    /// Waits until a coordinator is a member again.
    pub async fn wait_for_member(&self, index: usize) {
        let address = self.coordinators[index].http;
        for _ in 0..200 {
            if call(address, "GET", "/ready", "").await.0 == 200 {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("coordinator {index} is not a member");
    }

    /// Opens a session and writes once.
    pub async fn open_session(&self) -> Caller {
        let mut caller = Caller::open(self.proxies[0].listen_address, "till").await;
        caller.run_until("WRITE egg 1", "ok I").await;
        caller
    }
}

pub fn plan(version: u64, timeout_ms: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"a","host":"till","route_kind":"primary",
        "timeout_ms":{timeout_ms},"target_latency_ms":200,"service":"{SERVICE}"}},
        {{"name":"b","host":"farm","route_kind":"read_your_writes","timeout_ms":{timeout_ms},
        "target_latency_ms":200,"service":"{SERVICE}","max_staleness_ms":1500}}],
        "services":[{{"name":"{SERVICE}","connection_limit":40,"sync_replicas":1}}]}}"#
    )
}

/// Sends a request to the addresses in turn until one gives a final reply; follows redirects.
pub async fn send(addresses: &[SocketAddr], method: &str, path: &str, body: &str) -> (u16, String) {
    let mut reply = (0, String::new());
    for address in addresses {
        reply = call(*address, method, path, body).await;
        if reply.0 == 307 {
            let location = reply.1.to_lowercase();
            let location = location.split("location: http://").nth(1).unwrap();
            let target = location.split('/').next().unwrap().parse().unwrap();
            reply = call(target, method, path, body).await;
        }
        if reply.0 == 200 || (400..500).contains(&reply.0) {
            return reply;
        }
    }
    reply
}

pub fn run<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(TEST_TIMEOUT, test())
            .await
            .expect("the test takes too long");
    });
}

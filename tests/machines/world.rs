//! Real processes of coordinators and proxies, and the stand-in platform.

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

const HEARTBEAT: Duration = Duration::from_millis(200);
const LIMIT: Duration = Duration::from_secs(50);

/// A process, killed when it is dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts a program. What it writes goes to a file beside its settings.
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

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(sent.unwrap().success());
    }

    pub async fn ended(&mut self) -> Duration {
        let started = Instant::now();
        while self.0.try_wait().unwrap().is_none() {
            sleep(Duration::from_millis(20)).await;
        }
        started.elapsed()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ended = self.0.kill();
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

/// Three coordinators, one proxy, and a service with three servers.
#[derive(Debug)]
pub struct World {
    pub folder: TempDir,
    pub group: Group,
    pub platform: Platform,
    pub promoter: SocketAddr,
    pub coordinators: Vec<Coordinator>,
    pub proxies: Vec<Proxy>,
    /// All proxies are in one failure domain.
    pub together: bool,
    /// Connections that each server takes.
    pub connections: usize,
}

/// A proxy and where it takes callers.
#[derive(Debug)]
pub struct Proxy {
    pub callers: SocketAddr,
    pub http: Option<SocketAddr>,
    pub process: Option<Process>,
}

impl World {
    /// A world with one proxy.
    pub async fn start() -> Self {
        Self::start_with(Group::start(3).await, 1).await
    }

    /// A world with these servers and a number of proxies.
    pub async fn start_with(group: Group, proxies: usize) -> Self {
        let platform = Platform::default();
        let delay = Duration::from_millis(100);
        let promoter = platform.start(group.clone(), delay).await;
        // All links have one port, as on the machines, and so an address each.
        let port = unused_address().await.port();
        let host = |index: u8| {
            // Tests run as processes beside each other: a host that two of them used could have the port
            // of the one taken by the other.
            let [.., high, low] = std::process::id().to_be_bytes();
            [127, 1 + high % 250, low, index]
        };
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
        let mut world = Self {
            folder: tempfile::tempdir().unwrap(),
            group,
            platform,
            promoter,
            coordinators,
            proxies: Vec::new(),
            together: false,
            connections: 40,
        };
        for index in 0..3 {
            world.start_coordinator(index, true);
        }
        for index in 0..proxies {
            world.proxies.push(Proxy {
                callers: unused_address().await,
                http: None,
                process: None,
            });
            world.start_proxy(index).await;
        }
        world.send_heartbeats();
        world
    }

    /// A world with four proxies of one domain, which outnumber the connections of each server.
    pub async fn start_crowded() -> Self {
        let limit = 6;
        let mut world = Self::start_with(Group::start(3).await, 0).await;
        (world.together, world.connections) = (true, limit);
        for index in 0..3 {
            world.group.server(index).max_connections = limit;
        }
        for index in 0..4 {
            world.proxies.push(Proxy {
                callers: unused_address().await,
                http: None,
                process: None,
            });
            world.start_proxy(index).await;
        }
        world.put_plan(1, 1000).await;
        // Until the proxies know each other.
        sleep(Duration::from_secs(2)).await;
        world
    }

    pub fn seeds(&self) -> String {
        let seeds = self
            .coordinators
            .iter()
            .map(|it| format!("\"{}\"", it.http));
        seeds.collect::<Vec<_>>().join(",")
    }

    pub fn start_coordinator(&mut self, index: usize, founding: bool) {
        let seeds = self.seeds();
        let data = self.data(index).display().to_string();
        let promoter = self.promoter;
        let it = &mut self.coordinators[index];
        let (name, link, http) = (&it.name, it.link, it.http);
        let settings = format!(
            r#"{{"instance":"{name}","domain":"d{index}","domains":["d0","d1","d2"],"data":"{data}",
            "link":"{link}","http":"{http}","seeds":[{seeds}],"founding":{founding},"tolerated":1,
            "promoter":"{promoter}"}}"#
        );
        let path = self.folder.path().join(format!("{name}.json"));
        fs::write(&path, settings).unwrap();
        let program = env!("CARGO_BIN_EXE_limpettally-coordinator");
        it.process = Some(Process::start(program, &path));
    }

    pub async fn start_proxy(&mut self, index: usize) {
        let domain = if self.together { 0 } else { index };
        let (http, link, seeds) = (unused_address().await, unused_address().await, self.seeds());
        let port = self.coordinators[0].link.port();
        let proxy = &mut self.proxies[index];
        let callers = proxy.callers;
        proxy.http = Some(http);
        let settings = format!(
            r#"{{"instance":"p{index}","domain":"d{domain}","domains":["d0","d1","d2"],"listen":"{callers}",
            "link":"{link}","http":"{http}","link_port":{port},"seeds":[{seeds}],"stop_timeout_s":3}}"#
        );
        let path = self.folder.path().join(format!("p{index}.json"));
        fs::write(&path, settings).unwrap();
        let program = env!("CARGO_BIN_EXE_limpettally-proxy");
        proxy.process = Some(Process::start(program, &path));
    }

    pub fn data(&self, index: usize) -> PathBuf {
        let name = &self.coordinators[index].name;
        self.folder.path().join(format!("{name}.data"))
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.coordinators.iter().map(|it| it.http).collect()
    }

    /// Has every server describe itself to the coordinators, as long as it is not silent.
    pub fn send_heartbeats(&self) {
        for server in self.group.0.iter() {
            let (server, addresses) = (Rc::clone(server), self.addresses());
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
                    sleep(HEARTBEAT).await;
                }
            });
        }
    }

    /// Sends a plan until it is acknowledged.
    pub async fn put_plan(&self, version: u64, timeout_ms: u64) {
        let limit = format!("\"connection_limit\":{}", self.connections);
        let body = plan(version, timeout_ms).replace("\"connection_limit\":40", &limit);
        for _ in 0..200 {
            if send(&self.addresses(), "PUT", "/-/configuration", &body)
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

    /// The last lines that each coordinator wrote.
    fn logs(&self) -> String {
        let tail = |it: &Coordinator| {
            let path = self.folder.path().join(format!("{}.log", it.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().rev().take(20).collect();
            let lines: Vec<&str> = lines.into_iter().rev().collect();
            format!("{}:\n{}", it.name, lines.join("\n"))
        };
        let tails: Vec<String> = self.coordinators.iter().map(tail).collect();
        tails.join("\n")
    }

    /// The plan as each coordinator that answers tells it, directly or through the leader.
    pub async fn plans(&self) -> Vec<String> {
        let mut found = Vec::new();
        for address in self.addresses() {
            let answer = send(&[address], "GET", "/-/configuration", "").await;
            if answer.0 == 200 {
                found.push(answer.1.rsplit("\r\n\r\n").next().unwrap().to_owned());
            }
        }
        found
    }

    /// Index of the coordinator that answers by itself.
    pub async fn leader(&self) -> usize {
        for _ in 0..200 {
            for (index, it) in self.coordinators.iter().enumerate() {
                if call(it.http, "GET", "/-/configuration", "").await.0 == 200 {
                    return index;
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("no leader");
    }

    /// Waits until a coordinator belongs to the member list again.
    pub async fn wait_for_member(&self, index: usize) {
        let address = self.coordinators[index].http;
        for _ in 0..200 {
            if call(address, "GET", "/ready", "").await.0 == 200 {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("not a member");
    }

    /// A session that has written once.
    pub async fn caller(&self) -> Caller {
        let mut caller = Caller::open(self.proxies[0].callers, "till").await;
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

/// Sends a request to one address after the other, following redirects.
pub async fn send(addresses: &[SocketAddr], method: &str, path: &str, body: &str) -> (u16, String) {
    let mut last = (0, String::new());
    for address in addresses {
        last = call(*address, method, path, body).await;
        if last.0 == 307 {
            let location = last.1.to_lowercase();
            let location = location.split("location: http://").nth(1).unwrap();
            let target = location.split('/').next().unwrap().parse().unwrap();
            last = call(target, method, path, body).await;
        }
        if last.0 == 200 || (400..500).contains(&last.0) {
            return last;
        }
    }
    last
}

pub fn run<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(LIMIT, test()).await.expect("the test ends in time");
    });
}

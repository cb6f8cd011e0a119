//! Coordinators and proxies as processes, against stand-in servers of the platform.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use standin::{Caller, Group, Platform, SERVICE, call, free};
use tempfile::TempDir;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const HEARTBEAT: Duration = Duration::from_millis(200);
const LIMIT: Duration = Duration::from_secs(50);

/// A process, killed when it is dropped.
struct Process(Child);

impl Process {
    fn start(program: &str, settings: &PathBuf) -> Self {
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self(child)
    }

    fn terminate(&self) {
        let id = self.0.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(sent.success());
    }

    async fn ended(&mut self) -> Duration {
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

struct Coordinator {
    name: String,
    http: SocketAddr,
    link: SocketAddr,
    process: Option<Process>,
}

/// Three coordinators, one proxy, and a service with three servers.
struct World {
    folder: TempDir,
    group: Group,
    platform: Platform,
    promoter: SocketAddr,
    coordinators: Vec<Coordinator>,
    proxy: Option<Process>,
    callers: SocketAddr,
}

impl World {
    async fn start() -> Self {
        let group = Group::start(3).await;
        let platform = Platform::default();
        let delay = Duration::from_millis(100);
        let promoter = platform.start(group.clone(), delay).await;
        // All links have one port, as on the machines, and so an address each.
        let port = free().await.port();
        let mut coordinators = Vec::new();
        for index in 1..=3 {
            let host = [127, 0, 0, 10 + index];
            let mut http = free().await;
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
            proxy: None,
            callers: free().await,
        };
        for index in 0..3 {
            world.start_coordinator(index, true);
        }
        world.start_proxy().await;
        world.send_heartbeats();
        world
    }

    fn seeds(&self) -> String {
        let seeds = self
            .coordinators
            .iter()
            .map(|it| format!("\"{}\"", it.http));
        seeds.collect::<Vec<_>>().join(",")
    }

    fn start_coordinator(&mut self, index: usize, founding: bool) {
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

    async fn start_proxy(&mut self) {
        let (callers, http, seeds) = (self.callers, free().await, self.seeds());
        let port = self.coordinators[0].link.port();
        let settings = format!(
            r#"{{"instance":"p1","domain":"d0","listen":"{callers}","http":"{http}",
            "link_port":{port},"seeds":[{seeds}],"stop_timeout_s":3}}"#
        );
        let path = self.folder.path().join("p1.json");
        fs::write(&path, settings).unwrap();
        let program = env!("CARGO_BIN_EXE_limpettally-proxy");
        self.proxy = Some(Process::start(program, &path));
    }

    fn data(&self, index: usize) -> PathBuf {
        let name = &self.coordinators[index].name;
        self.folder.path().join(format!("{name}.data"))
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.coordinators.iter().map(|it| it.http).collect()
    }

    /// Has every server describe itself to the coordinators, as long as it is not silent.
    fn send_heartbeats(&self) {
        for server in self.group.0.iter() {
            let (server, addresses) = (Rc::clone(server), self.addresses());
            spawn_local(async move {
                loop {
                    let (path, body) = {
                        let mut server = server.borrow_mut();
                        server.sequence += 1;
                        let role = if server.leads { "primary" } else { "replica" };
                        let state = if server.draining { "draining" } else { "ready" };
                        let (address, sequence) = (server.address, server.sequence);
                        let body = format!(
                            r#"{{"service":"{SERVICE}","address":"{address}","zone":"d0","slots":5,
                            "state":"{state}","database_role":"{role}","sequence":{sequence},"born":7}}"#
                        );
                        (format!("/-/instances/{}", server.id), body)
                    };
                    if !server.borrow().silent {
                        send(&addresses, "PUT", &path, &body).await;
                    }
                    sleep(HEARTBEAT).await;
                }
            });
        }
    }

    /// Sends a plan until it is acknowledged.
    async fn put_plan(&self, version: u64, timeout_ms: u64) {
        let body = plan(version, timeout_ms);
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
        panic!("plan {version} not acknowledged");
    }

    /// The plan as each coordinator that answers tells it, directly or through the leader.
    async fn plans(&self) -> Vec<String> {
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
    async fn leader(&self) -> usize {
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
    async fn wait_for_member(&self, index: usize) {
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
    async fn caller(&self) -> Caller {
        let mut caller = Caller::open(self.callers, "till").await;
        caller.until("WRITE egg 1", "ok I").await;
        caller
    }
}

fn plan(version: u64, timeout_ms: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"a","host":"till","route_kind":"primary",
        "timeout_ms":{timeout_ms},"target_latency_ms":200,"service":"{SERVICE}"}}],
        "services":[{{"name":"{SERVICE}","connection_limit":40,"sync_replicas":1}}]}}"#
    )
}

/// Sends a request to one address after the other, following redirects.
async fn send(addresses: &[SocketAddr], method: &str, path: &str, body: &str) -> (u16, String) {
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

fn run<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(LIMIT, test()).await.expect("the test ends in time");
    });
}

// A primary that goes dark is replaced by a replica with every acknowledged write, under a token of
// its own for each change.
#[test]
fn replaces_a_dark_primary_twice() {
    run(|| async {
        let world = World::start().await;
        world.put_plan(1, 1000).await;
        let mut caller = world.caller().await;
        for round in 2..4 {
            let old = world.group.leader().unwrap();
            world.group.server(old).silent = true;
            caller.until(&format!("WRITE egg {round}"), "ok I").await;
            caller.until("READ egg", &format!("{round} ok I")).await;
            let new = world.group.leader().unwrap();
            assert_ne!(new, old);
            // The old one comes back as a replica.
            let log = world.group.server(new).log.clone();
            let term = world.group.server(new).term;
            let mut server = world.group.server(old);
            (server.silent, server.log, server.term) = (false, log, term);
        }
        let calls = world.platform.calls.borrow();
        let mut tokens: Vec<u64> = calls.iter().map(|it| it.token).collect();
        tokens.dedup();
        assert!(tokens.len() >= 2 && tokens.is_sorted(), "{calls:?}");
    });
}

// A draining primary hands over while callers go on.
#[test]
fn moves_off_a_draining_primary() {
    run(|| async {
        let world = World::start().await;
        world.put_plan(1, 1000).await;
        let mut caller = world.caller().await;
        world.group.server(0).draining = true;
        for _ in 0..300 {
            if world.group.leader().is_some_and(|leader| leader != 0) {
                break;
            }
            sleep(Duration::from_millis(30)).await;
        }
        assert_ne!(world.group.leader(), Some(0));
        caller.until("WRITE egg 2", "ok I").await;
        caller.until("READ egg", "2 ok I").await;
    });
}

// What was acknowledged is there after the leader is killed, and an older plan changes nothing.
#[test]
fn keeps_plans_over_a_killed_leader() {
    run(|| async {
        let mut world = World::start().await;
        world.put_plan(3, 1000).await;
        world.put_plan(5, 900).await;
        let leader = world.leader().await;
        world.coordinators[leader].process = None;
        world.put_plan(4, 700).await;
        let plans = world.plans().await;
        assert!(!plans.is_empty());
        assert!(plans.iter().all(|it| *it == plan(5, 900)), "{plans:?}");
        world.start_coordinator(leader, false);
        world.wait_for_member(leader).await;
    });
}

// An emptied disk comes back as a voter; then another instance may be lost.
#[test]
fn takes_an_emptied_disk_back_before_the_next_loss() {
    run(|| async {
        let mut world = World::start().await;
        world.put_plan(3, 1000).await;
        let leader = world.leader().await;
        let emptied = (leader + 1) % 3;
        world.coordinators[emptied].process = None;
        fs::remove_dir_all(world.data(emptied)).unwrap();
        world.start_coordinator(emptied, false);
        world.wait_for_member(emptied).await;
        // The bound within which a machine counts again.
        sleep(Duration::from_secs(4)).await;
        world.coordinators[(leader + 2) % 3].process = None;
        world.put_plan(6, 800).await;
        let plans = world.plans().await;
        assert!(plans.iter().all(|it| *it == plan(6, 800)), "{plans:?}");
    });
}

#[test]
fn refuses_an_invalid_plan() {
    run(|| async {
        let world = World::start().await;
        world.put_plan(1, 1000).await;
        let answer = send(&world.addresses(), "PUT", "/-/configuration", &plan(2, 0)).await;
        assert_eq!(answer.0, 400);
        let plans = world.plans().await;
        assert!(plans.iter().all(|it| *it == plan(1, 1000)), "{plans:?}");
    });
}

// A stop cuts no answer: the last bytes of a session were lost when the process ended with them.
#[test]
fn cuts_no_answer_at_a_stop() {
    run(|| async {
        let mut world = World::start().await;
        world.put_plan(1, 1000).await;
        let mut callers = Vec::new();
        for _ in 0..8 {
            callers.push(world.caller().await);
        }
        world.group.server(0).work = Duration::from_millis(30);
        let mut tasks = Vec::new();
        for mut caller in callers {
            tasks.push(spawn_local(async move {
                loop {
                    let answer = caller.run("READ egg").await;
                    // The close comes in place of an answer to nothing that was run.
                    if answer == "closed" {
                        return;
                    }
                    assert_eq!(answer, "1 ok I");
                }
            }));
        }
        sleep(Duration::from_millis(300)).await;
        let mut proxy = world.proxy.take().unwrap();
        proxy.terminate();
        let took = proxy.ended().await;
        for task in tasks {
            task.await.unwrap();
        }
        assert!(took < Duration::from_millis(2900), "{took:?}");
    });
}

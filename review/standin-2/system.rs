//! Processes of the system, their settings, the platform's promotion call, heartbeats and the operator.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::callers::Caller;
use crate::group::{Group, SERVICE};

const DOMAINS: [&str; 3] = ["catania", "ragusa", "enna"];
/// `heartbeat_interval_ms` of the sheets.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// The file `record.txt`, whose lines are printed as well.
pub struct Record {
    file: File,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = File::create(path)?;
        let started = Instant::now();
        Ok(Self { file, started })
    }

    pub fn line(&mut self, text: &str) {
        let line = format!("{:8.3} {text}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        let _written = writeln!(self.file, "{line}");
    }
}

/// A process; dropping it kills it.
struct Process(Mutex<Child>);

impl Process {
    fn start(program: &str, settings: &Path) -> Result<Self, String> {
        let log = File::create(settings.with_extension("log")).map_err(|e| e.to_string())?;
        let child = Command::new(format!("target/release/{program}"))
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        Ok(Self(Mutex::new(child)))
    }

    fn child(&self) -> std::sync::MutexGuard<'_, Child> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn kill(&self) {
        let mut child = self.child();
        let _killed = child.kill();
        let _reaped = child.wait();
    }

    fn is_running(&self) -> bool {
        matches!(self.child().try_wait(), Ok(None))
    }

    /// A figure of `/proc/PID/status`, in MB.
    fn memory_mb(&self, field: &str) -> u64 {
        let id = self.child().id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(field));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Proxy {
    process: Process,
    address: SocketAddr,
}

/// Three coordinators, some proxies, and one service with three servers.
pub struct System {
    coordinators: Vec<Process>,
    http: Vec<SocketAddr>,
    proxies: Vec<Proxy>,
    _folder: Folder,
}

/// A temporary folder; dropping it removes it.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _removed = fs::remove_dir_all(&self.0);
    }
}

/// A loopback address of this script's own.
fn host(index: u8) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{index}", 1 + (id >> 8) % 250, id % 256)
}

fn unused(host: &str) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((host, 0)).map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

impl System {
    /// Starts a system and waits until a caller's read is served.
    pub fn start(record: &mut Record, proxies: u8, connection_limit: u32) -> Result<Self, String> {
        let name = format!("limpettally-review-2-{}", std::process::id());
        let folder = Folder(std::env::temp_dir().join(name));
        fs::create_dir_all(&folder.0).map_err(|error| error.to_string())?;
        let group = Group::start(3)?;
        let promoter = start_platform(group.clone())?;
        let link_port = unused(&host(1))?.port();
        let http = (1..=3).map(|index| unused(&host(index)));
        let http = http.collect::<Result<Vec<_>, _>>()?;
        let seeds: Vec<String> = http
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        let seeds = seeds.join(",");
        let domains = DOMAINS.map(|domain| format!("\"{domain}\"")).join(",");
        let mut coordinators = Vec::new();
        for (index, address) in http.iter().enumerate() {
            let path = folder.0.join(format!("core-{index}.json"));
            let data = folder.0.join(format!("core-{index}.data"));
            let settings = format!(
                r#"{{"instance":"core-{index}","domain":"{}","domains":[{domains}],"data":"{}",
                "link":"{}:{link_port}","http":"{address}","seeds":[{seeds}],"founding":true,"tolerated":1,
                "promoter":"{promoter}","log":{{"format":"json","level":"info"}}}}"#,
                DOMAINS[index],
                data.display(),
                address.ip(),
            );
            fs::write(&path, settings).map_err(|error| error.to_string())?;
            coordinators.push(Process::start("limpettally-coordinator", &path)?);
        }
        let mut started = Vec::new();
        for index in 0..proxies {
            let host = host(10 + index);
            let (listen, link, ready) = (unused(&host)?, unused(&host)?, unused(&host)?);
            let path = folder.0.join(format!("front-{index}.json"));
            let settings = format!(
                r#"{{"instance":"front-{index}","domain":"{}","domains":[{domains}],"listen":"{listen}",
                "link":"{link}","http":"{ready}","link_port":{link_port},"seeds":[{seeds}],"stop_timeout_s":6,
                "log":{{"format":"json","level":"info"}}}}"#,
                DOMAINS[usize::from(index) % DOMAINS.len()],
            );
            fs::write(&path, settings).map_err(|error| error.to_string())?;
            started.push(Proxy {
                process: Process::start("limpettally-proxy", &path)?,
                address: listen,
            });
        }
        send_heartbeats(&group, &http);
        let system = Self {
            coordinators,
            http,
            proxies: started,
            _folder: folder,
        };
        system.put_plan(1, connection_limit, 0)?;
        system.wait_until_served()?;
        record.line("three coordinators, the proxies and three servers are up; a read is served");
        Ok(system)
    }

    /// Sends a manifest with `more_routes` routes beside the first one until it is acknowledged.
    pub fn put_plan(
        &self,
        version: u64,
        connection_limit: u32,
        more_routes: usize,
    ) -> Result<(), String> {
        let more: String = (0..more_routes)
            .map(|number| {
                format!(
                    r#",{{"name":"r-{number}","host":"db{number}","path_prefix":"/","route_kind":"primary",
                    "timeout_ms":1000,"target_latency_ms":200,"priority":1,"service":"{SERVICE}"}}"#
                )
            })
            .collect();
        let body = format!(
            r#"{{"version":{version},"routes":[{{"name":"a","host":"till","path_prefix":"/","route_kind":"primary",
            "timeout_ms":1000,"target_latency_ms":200,"priority":1,"service":"{SERVICE}","max_attempts":2}}{more}],
            "services":[{{"name":"{SERVICE}","health_check_path":"/health","connection_limit":{connection_limit},
            "protocol":"h1","tls":false,"sync_replicas":1}}],
            "limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
            "idle_timeout_ms":15000,"transaction_idle_ms":3000}}}}"#
        );
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if call_any(&self.http, "PUT", "/-/configuration", &body) == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the manifest was not acknowledged".to_owned())
    }

    fn wait_until_served(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        let mut last = String::new();
        while Instant::now() < until {
            let served = Caller::open(self.proxy_address(0), "till").and_then(|mut caller| {
                caller.expect("READ egg", "COMPLETE", Duration::from_secs(2))
            });
            match served {
                Ok(()) => return Ok(()),
                Err(error) => last = error,
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("no read is served: {last}"))
    }

    pub fn proxy_address(&self, index: usize) -> SocketAddr {
        self.proxies[index].address
    }

    pub fn proxy_is_running(&self, index: usize) -> bool {
        self.proxies[index].process.is_running()
    }

    pub fn proxy_memory_mb(&self, index: usize) -> u64 {
        self.proxies[index].process.memory_mb("VmRSS:")
    }

    pub fn proxy_memory_peak_mb(&self, index: usize) -> u64 {
        self.proxies[index].process.memory_mb("VmHWM:")
    }

    /// Memory of each coordinator in use and at its peak.
    pub fn coordinator_memory_mb(&self) -> Vec<(u64, u64)> {
        let memory = |process: &Process| (process.memory_mb("VmRSS:"), process.memory_mb("VmHWM:"));
        self.coordinators.iter().map(memory).collect()
    }

    pub fn kill_proxy(&self, index: usize) {
        self.proxies[index].process.kill();
    }
}

/// Sends heartbeats of all servers while the script runs.
fn send_heartbeats(group: &Group, http: &[SocketAddr]) {
    let count = group.lock().servers.len();
    for index in 0..count {
        let (group, http) = (group.clone(), http.to_vec());
        thread::spawn(move || {
            for sequence in 1.. {
                let server = group.lock().servers[index].clone();
                let role = if server.is_primary {
                    "primary"
                } else {
                    "replica"
                };
                let body = format!(
                    r#"{{"service":"{SERVICE}","address":"{}","zone":"{}","version":"v1","slots":5,"state":"ready",
                    "cold_remaining_ms":0,"database_role":"{role}","sequence":{sequence},"born":1790000000000}}"#,
                    server.address,
                    DOMAINS[index % DOMAINS.len()],
                );
                let path = format!("/-/instances/{}", server.id);
                let acknowledged = call_any(&http, "PUT", &path, &body) == 200;
                thread::sleep(if acknowledged {
                    HEARTBEAT_INTERVAL
                } else {
                    Duration::from_millis(200)
                });
            }
        });
    }
}

/// Calls the addresses in turn until one acknowledges; follows a redirect. Returns the last status.
pub fn call_any(addresses: &[SocketAddr], method: &str, path: &str, body: &str) -> u16 {
    let mut status = 0;
    for address in addresses {
        let (first, text) = call(*address, method, path, body);
        status = first;
        if status == 307 {
            let lower = text.to_lowercase();
            let target = lower.split("location: http://").nth(1);
            let target = target.and_then(|rest| rest.split('/').next()?.parse().ok());
            status = target.map_or(0, |target| call(target, method, path, body).0);
        }
        if status == 200 {
            return status;
        }
    }
    status
}

fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let send = || -> std::io::Result<String> {
        let wait = Duration::from_secs(1);
        let mut socket = TcpStream::connect_timeout(&address, wait)?;
        socket.set_read_timeout(Some(wait))?;
        let length = body.len();
        write!(
            socket,
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        )?;
        let mut text = String::new();
        socket.read_to_string(&mut text)?;
        Ok(text)
    };
    let text = send().unwrap_or_default();
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok());
    (status.unwrap_or(0), text)
}

/// Serves `POST /promotion`: checks the fence and promotes the server after some hundred ms.
fn start_platform(group: Group) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    thread::spawn(move || {
        let mut highest = 0;
        for mut socket in listener.incoming().flatten() {
            let _timeout = socket.set_read_timeout(Some(Duration::from_millis(500)));
            let mut bytes = Vec::new();
            let mut chunk = [0; 4096];
            while !String::from_utf8_lossy(&bytes).contains("\"}") {
                match socket.read(&mut chunk) {
                    Ok(length @ 1..) => bytes.extend_from_slice(&chunk[..length]),
                    _ => break,
                }
            }
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let lower = text.to_lowercase();
            let token = lower.split("x-fencing-token: ").nth(1);
            let token = token.and_then(|rest| rest.lines().next()?.trim().parse::<u64>().ok());
            let id = text
                .split("\"id\":\"")
                .nth(1)
                .and_then(|rest| rest.split('"').next());
            let (Some(token), Some(id)) = (token, id) else {
                continue;
            };
            let fenced = token < highest;
            highest = highest.max(token);
            let status = if fenced { "409 Conflict" } else { "200 OK" };
            let answer =
                format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            let _sent = socket.write_all(answer.as_bytes());
            if !fenced {
                let (group, id) = (group.clone(), id.to_owned());
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(300));
                    group.promote(&id);
                });
            }
        }
    });
    Ok(address)
}

//! The project's own programs as separate processes, with the commands of the deploy file and
//! settings as its templates render them; and the record of a case.

use std::fs::{self, File};
use std::io::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, OnceLock};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::database::{CONNECTION_LIMIT, Group};
use crate::http;
use crate::platform::Platform;
use crate::requester::Session;

pub const ZONES: [&str; 3] = ["catania", "ragusa", "enna"];
const GRACE_PERIOD_S: u32 = 6;
/// Largest record, in lines.
const MAX_RECORD_LINES: usize = 20_000;

struct Record {
    file: Option<File>,
    started_at: Instant,
    lines: usize,
}

static RECORD: OnceLock<Mutex<Record>> = OnceLock::new();
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Ids of the coordinators' processes that were started.
static COORDINATORS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Services of the manifest. Requesters use the first one.
const SERVICES: [&str; 3] = ["ledger", "archive", "stock"];

/// The folder of the case: the second argument.
fn case_folder() -> PathBuf {
    std::env::args()
        .nth(2)
        .unwrap_or_else(|| ".".to_owned())
        .into()
}

/// Appends a line with the time since the start to `record.txt` in the folder of the case.
pub fn record(text: &str) {
    let record = RECORD.get_or_init(|| {
        Mutex::new(Record {
            file: File::create(case_folder().join("record.txt")).ok(),
            started_at: Instant::now(),
            lines: 0,
        })
    });
    let mut record = record
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    record.lines += 1;
    let at = record.started_at.elapsed().as_secs_f64();
    if record.lines <= MAX_RECORD_LINES
        && let Some(file) = &mut record.file
    {
        let _written = writeln!(file, "{at:8.3} {text}");
    }
}

/// Kills every process that was started and has not been reaped.
pub fn end_all() {
    let ids = std::mem::take(
        &mut *PROCESSES
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner()),
    );
    for id in ids {
        let _gone = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .stderr(Stdio::null())
            .status();
    }
}

/// A coordinator's process, and its address.
#[derive(Clone, Debug)]
pub struct Coordinator {
    pub name: String,
    pub process: u32,
    pub ip: IpAddr,
}

/// Process id of the coordinator of this run that has the loopback socket with this address.
/// Coordinators and proxies introduce themselves to servers in the same way, so the socket's owner
/// is looked up.
pub fn coordinator_at(socket: SocketAddr) -> Option<u32> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let port = format!(":{:04X}", socket.port());
    let inodes: Vec<String> = table
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .filter(|fields| fields.get(1).is_some_and(|local| local.ends_with(&port)))
        .filter_map(|fields| Some(format!("socket:[{}]", fields.get(9)?)))
        .collect();
    let ids = COORDINATORS.lock().unwrap().clone();
    let has_socket = |id: &u32| {
        let files = fs::read_dir(format!("/proc/{id}/fd"))
            .into_iter()
            .flatten()
            .flatten();
        let mut targets = files.filter_map(|file| fs::read_link(file.path()).ok());
        targets.any(|target| {
            inodes
                .iter()
                .any(|inode| target.to_string_lossy() == *inode)
        })
    };
    ids.into_iter().find(has_socket)
}

/// A process of the system.
pub struct Process {
    name: String,
    program: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"));
        let log = log.unwrap();
        let child = Command::new(self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        record(&format!("{} starts", self.name));
        PROCESSES.lock().unwrap().push(child.id());
        if self.program.ends_with("coordinator") {
            COORDINATORS.lock().unwrap().push(child.id());
        }
        self.child = Some(child);
    }

    /// Sends a signal, given by name without `SIG`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            record(&format!("{} gets SIG{name}", self.name));
            let _sent = Command::new("kill")
                .args([&format!("-{name}"), &child.id().to_string()])
                .status();
        }
    }

    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            PROCESSES.lock().unwrap().retain(|id| *id != child.id());
            let _status = child.wait();
            record(&format!("{} has ended", self.name));
        }
    }
}

pub struct Proxy {
    pub listen: SocketAddr,
    pub process: Process,
}

pub struct System {
    folder: PathBuf,
    /// The database that requesters use.
    pub group: Group,
    pub platform: Platform,
    pub control: Vec<SocketAddr>,
    pub coordinators: Vec<Process>,
    pub proxies: Vec<Proxy>,
}

/// Unused ports, all different.
fn unused_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let ports = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap().port());
    ports.collect()
}

/// A loopback address of this run; all machines use the same ports.
fn host(number: u8) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 250, low, number)
}

impl System {
    /// Starts three coordinators and `proxies` proxies before three servers, and waits until each
    /// proxy serves a write.
    pub fn start(proxies: u8, timeout_ms: u64) -> Option<Self> {
        let groups = SERVICES.map(|service| Group::start(service, ZONES));
        let platform = Platform::start(groups.to_vec());
        let group = groups[0].clone();
        let folder =
            std::env::temp_dir().join(format!("limpettally-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let ports = unused_ports(5);
        let address = |number: u8, port: usize| SocketAddr::from((host(number), ports[port]));
        let control: Vec<SocketAddr> = (1..=3).map(|number| address(number, 0)).collect();
        let seeds: Vec<String> = control.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(",");
        let domains = ZONES.map(|zone| format!("\"{zone}\"")).join(",");
        let mut system = Self {
            folder,
            group,
            platform,
            control,
            coordinators: Vec::new(),
            proxies: Vec::new(),
        };
        for number in 1..=3 {
            let (name, zone) = (format!("core-{number}"), ZONES[usize::from(number) - 1]);
            let data = system.folder.join(format!("{name}.data"));
            let settings = format!(
                "{{\"instance\":\"{name}\",\"domain\":\"{zone}\",\"domains\":[{domains}],\"data\":\"{}\",\
                 \"link\":\"{}\",\"http\":\"{}\",\"seeds\":[{seeds}],\"founding\":true,\"tolerated\":1,\
                 \"promoter\":\"{}\",\"log\":{{\"format\":\"json\",\"level\":\"info\"}}}}",
                data.display(),
                address(number, 1),
                address(number, 0),
                system.platform.address,
            );
            let process =
                system.process(&name, "target/release/limpettally-coordinator", &settings);
            system.coordinators.push(process);
        }
        for number in 1..=proxies {
            let (name, zone) = (
                format!("frontend-{number}"),
                ZONES[usize::from(number - 1) % 3],
            );
            let host = number + 10;
            let settings = format!(
                "{{\"instance\":\"{name}\",\"domain\":\"{zone}\",\"domains\":[{domains}],\"listen\":\"{}\",\
                 \"link\":\"{}\",\"http\":\"{}\",\"link_port\":{},\"seeds\":[{seeds}],\
                 \"stop_timeout_s\":{GRACE_PERIOD_S},\"log\":{{\"format\":\"json\",\"level\":\"info\"}}}}",
                address(host, 2),
                address(host, 3),
                address(host, 4),
                ports[1],
            );
            let process = system.process(&name, "target/release/limpettally-proxy", &settings);
            system.proxies.push(Proxy {
                listen: address(host, 2),
                process,
            });
        }
        // Later starts are not the first one.
        for process in &system.coordinators {
            let text = fs::read_to_string(&process.settings).unwrap();
            fs::write(
                &process.settings,
                text.replace("\"founding\":true", "\"founding\":false"),
            )
            .unwrap();
        }
        for group in &groups {
            group.send_heartbeats(&system.control);
        }
        if !system.put_plan(timeout_ms) {
            record("the manifest is not acknowledged");
            return None;
        }
        let served = (0..system.proxies.len()).all(|index| system.wait_served(index));
        if !served {
            record("a proxy serves no write");
        }
        served.then_some(system)
    }

    fn process(&self, name: &str, program: &'static str, settings: &str) -> Process {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).unwrap();
        let mut process = Process {
            name: name.to_owned(),
            program,
            settings: path,
            child: None,
        };
        process.start();
        // The settings are read at the start only once the process runs.
        sleep(Duration::from_millis(100));
        process
    }

    fn put_plan(&self, timeout_ms: u64) -> bool {
        let route = |name: &str, host: &str, kind: &str| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path_prefix\":\"/\",\"route_kind\":\"{kind}\",\
                 \"timeout_ms\":{timeout_ms},\"target_latency_ms\":200,\"priority\":1,\
                 \"service\":\"{}\",\"max_attempts\":2,\"max_staleness_ms\":1500}}",
                SERVICES[0]
            )
        };
        let service = |name: &str| {
            format!(
                "{{\"name\":\"{name}\",\"health_check_path\":\"/health\",\
                 \"connection_limit\":{CONNECTION_LIMIT},\"protocol\":\"h1\",\"tls\":false,\
                 \"sync_replicas\":1}}"
            )
        };
        let services = SERVICES.map(service).join(",");
        let body = format!(
            "{{\"version\":7,\"routes\":[{},{}],\"services\":[{services}],\"limits\":{{\
             \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000,\"transaction_idle_ms\":3000}}}}",
            route("a", "orders", "primary"),
            route("b", "board", "bounded_staleness"),
        );
        for _ in 0..250 {
            if http::call(&self.control, None, "PUT", "/-/configuration", &body).0 == 200 {
                record("operator: the manifest is acknowledged");
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until a write through a proxy succeeds.
    pub fn wait_served(&self, proxy: usize) -> bool {
        for _ in 0..250 {
            let session = Session::open(self.proxies[proxy].listen, "orders", "warm-up");
            if session.is_some_and(|mut session| session.run("WRITE warm-up 1").is_success()) {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// The coordinator that leads.
    pub fn leader(&self) -> Option<Coordinator> {
        let leads = |address: &SocketAddr| http::answers_itself(*address, "/-/configuration");
        let index = self.control.iter().position(leads)?;
        let process = &self.coordinators[index];
        Some(Coordinator {
            name: process.name.clone(),
            process: process.child.as_ref()?.id(),
            ip: self.control[index].ip(),
        })
    }

    /// Copies the log of each process beside the record, for a look at a failed case.
    pub fn keep_logs(&self) {
        if std::env::var("KEEP_LOGS").is_ok() {
            let Ok(files) = fs::read_dir(&self.folder) else {
                return;
            };
            for file in files
                .flatten()
                .filter(|file| file.path().extension().is_some_and(|e| e == "log"))
            {
                let _copied = fs::copy(file.path(), case_folder().join(file.file_name()));
            }
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.keep_logs();
        end_all();
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

//! Writes settings files to run a trace's system on loopback.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;

use anyhow::{Context, Result};
use serde_json::{Value, json};

use crate::format::{Database, Place};
use crate::{Addresses, Entry, Trace};

/// Ports are allocated from here, below the range that systems use for outgoing connections: such a
/// connection could take a port between this choice and the start of the process that listens on it.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;
/// Distance between the first ports of runs with consecutive process ids, so that concurrent runs
/// try different ports.
const PORT_STRIDE: u32 = 97;
const TOKEN: &str = "replay-token-0123456789";
/// User and password of the callers; `entry_settings` holds the hash of the password.
const USER: &str = "demo";

/// Allocator of free ports, in ascending order.
struct Ports(u16);

impl Ports {
    fn new() -> Self {
        let span = u32::from(LAST_PORT - FIRST_PORT) / 2;
        let offset = std::process::id().wrapping_mul(PORT_STRIDE) % span;
        Self(FIRST_PORT + u16::try_from(offset).unwrap_or(0))
    }

    fn next(&mut self) -> Result<SocketAddr> {
        while self.0 < LAST_PORT {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.0));
            self.0 += 1;
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        anyhow::bail!("no free port up to {LAST_PORT}")
    }

    fn allocate(&mut self, places: &[Place]) -> Result<Vec<SocketAddr>> {
        places.iter().map(|_| self.next()).collect()
    }
}

/// Writes one settings file per process to `folder`. Also writes `processes` (name and program, one
/// process per line), `controls` (HTTP addresses), `settings` (keys and values for the settings
/// tree), `token`, and `addresses.json` for the player.
///
/// # Errors
/// Fails if there are too few free ports, or if a file cannot be written.
pub fn prepare(trace: &Trace, folder: &Path) -> Result<()> {
    let system = &trace.system;
    let mut ports = Ports::new();
    let link_addresses = ports.allocate(&system.controls)?;
    let http_addresses = ports.allocate(&system.controls)?;
    let listen_addresses = ports.allocate(&system.entries)?;
    let announce_addresses = ports.allocate(&system.entries)?;
    let mut processes = Vec::new();
    let mut save_settings = |name: &str, program: &str, settings: Value| {
        processes.push(format!("{name} {program}"));
        write_file(folder, &format!("{name}.json"), &format!("{settings:#}\n"))
    };
    for (i, place) in system.controls.iter().enumerate() {
        let settings = control_settings(
            &system.controls,
            i,
            &link_addresses,
            http_addresses[i],
            folder,
        );
        save_settings(&place.name, "limpettally-control", settings)?;
    }
    for database in &system.databases {
        let addresses = ports.allocate(&database.targets)?;
        for i in 0..addresses.len() {
            let settings = target_settings(trace, database, i, &addresses, &announce_addresses);
            save_settings(&database.targets[i].name, "limpettally-standin", settings)?;
        }
    }
    for (i, place) in system.entries.iter().enumerate() {
        let settings = entry_settings(
            place,
            listen_addresses[i],
            announce_addresses[i],
            &link_addresses,
            folder,
        );
        save_settings(&place.name, "limpettally-entry", settings)?;
    }
    let controls: Vec<String> = http_addresses.iter().map(SocketAddr::to_string).collect();
    let tree = format!(
        "slots {}\nconnections.limit {}\n",
        system.slots, system.connections
    );
    write_file(folder, "processes", &(processes.join("\n") + "\n"))?;
    write_file(folder, "controls", &(controls.join(",") + "\n"))?;
    write_file(folder, "settings", &tree)?;
    write_file(folder, "token", TOKEN)?;
    let names = system.entries.iter().map(|place| place.name.to_string());
    let entries = names.zip(listen_addresses).zip(announce_addresses);
    let addresses = Addresses {
        entries: entries
            .map(|((name, listen), http)| Entry { name, listen, http })
            .collect(),
        user: USER.to_owned(),
        signals: folder.join("signals"),
    };
    write_file(
        folder,
        "addresses.json",
        &serde_json::to_string_pretty(&addresses)?,
    )
}

fn write_file(folder: &Path, name: &str, text: &str) -> Result<()> {
    let path = folder.join(name);
    fs::write(&path, text).with_context(|| format!("write {}", path.display()))
}

fn control_settings(
    places: &[Place],
    index: usize,
    link_addresses: &[SocketAddr],
    http: SocketAddr,
    folder: &Path,
) -> Value {
    let pairs = places.iter().zip(link_addresses);
    let members: Vec<Value> = pairs
        .map(|(place, link)| json!({ "instance": *place.name, "address": link.to_string() }))
        .collect();
    let place = &places[index];
    json!({
        "instance": *place.name, "domain": *place.domain, "data": folder.join(&**place.name),
        "link": link_addresses[index].to_string(), "http": http.to_string(), "token": TOKEN,
        "members": members,
    })
}

fn entry_settings(
    place: &Place,
    listen: SocketAddr,
    http: SocketAddr,
    link_addresses: &[SocketAddr],
    folder: &Path,
) -> Value {
    let control_addresses: Vec<String> = link_addresses.iter().map(SocketAddr::to_string).collect();
    json!({
        "instance": *place.name, "domain": *place.domain,
        "listen": listen.to_string(), "http": http.to_string(), "token": TOKEN,
        "control": control_addresses, "cache": folder.join(format!("{}.catalog", *place.name)),
        "session_keys": [{ "id": 1, "secret": "replay-session-secret-0123456789-0123456789" }],
        "callers": [{
            "user": USER, "salt": "bGltcGV0dGFsbHktZGVtbw==", "iterations": 4096,
            "hash": "wQavkR/YSZMjLYBvZ6xvqb/4eD0wwZx8Kaz8V0tB50A=",
        }],
        "stop_timeout_ms": 2000,
    })
}

fn target_settings(
    trace: &Trace,
    database: &Database,
    index: usize,
    addresses: &[SocketAddr],
    announce_addresses: &[SocketAddr],
) -> Value {
    let (system, place) = (&trace.system, &database.targets[index]);
    let announce_addresses: Vec<String> = announce_addresses
        .iter()
        .map(SocketAddr::to_string)
        .collect();
    let mut settings = json!({
        "target": *place.name, "service": *system.service, "database": *database.name,
        "group": *database.name, "region": *system.region, "domain": *place.domain,
        "listen": addresses[index].to_string(), "announce": announce_addresses, "token": TOKEN,
        "ttl_ms": 3000, "connections": system.connections, "slots": system.slots,
        "open_ms": system.open_ms, "statement_us": system.statement_us, "lag_ms": system.lag_ms,
    });
    if index > 0 {
        settings["primary"] = json!(addresses[0].to_string());
    }
    settings
}

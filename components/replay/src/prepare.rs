//! Settings files of a trace's system on loopback.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;

use anyhow::{Context, Result};
use serde_json::{Value, json};

use crate::format::{Database, Place};
use crate::{Addresses, Entry, Trace};

/// Ports are taken from here, below those that systems give to outgoing connections: one of these
/// could take a port between this choice and the start of the process that listens there.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;
/// Distance between the ports that two runs at once try first.
const STRIDE: u32 = 97;
const TOKEN: &str = "replay-token-0123456789";
/// User and password of the callers; the hash below is that of the password.
const USER: &str = "demo";

/// Free ports, in rising order.
struct Ports(u16);

impl Ports {
    fn new() -> Self {
        let span = u32::from(LAST_PORT - FIRST_PORT) / 2;
        let offset = std::process::id().wrapping_mul(STRIDE) % span;
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

    fn of(&mut self, places: &[Place]) -> Result<Vec<SocketAddr>> {
        places.iter().map(|_| self.next()).collect()
    }
}

/// Writes one settings file per process to `folder`, and beside them `processes` (name and program,
/// one process a line), `controls` (HTTP addresses), `settings` (keys and values for the settings
/// tree) and `addresses.json` for the player.
///
/// # Errors
/// Fails without free ports, or if a file cannot be written.
pub fn prepare(trace: &Trace, folder: &Path) -> Result<()> {
    let system = &trace.system;
    let mut ports = Ports::new();
    let links = ports.of(&system.controls)?;
    let https = ports.of(&system.controls)?;
    let listens = ports.of(&system.entries)?;
    let announce = ports.of(&system.entries)?;
    let mut processes = Vec::new();
    let mut save = |name: &str, program: &str, settings: Value| {
        processes.push(format!("{name} {program}"));
        write(folder, &format!("{name}.json"), &format!("{settings:#}\n"))
    };
    for (i, place) in system.controls.iter().enumerate() {
        let settings = control(&system.controls, i, &links, https[i], folder);
        save(&place.name, "limpettally-control", settings)?;
    }
    for database in &system.databases {
        let addresses = ports.of(&database.targets)?;
        for i in 0..addresses.len() {
            let settings = target(trace, database, i, &addresses, &announce);
            save(&database.targets[i].name, "limpettally-standin", settings)?;
        }
    }
    for (i, place) in system.entries.iter().enumerate() {
        let settings = entry(place, listens[i], announce[i], &links, folder);
        save(&place.name, "limpettally-entry", settings)?;
    }
    let controls: Vec<String> = https.iter().map(SocketAddr::to_string).collect();
    let tree = format!(
        "slots {}\nconnections.limit {}\n",
        system.slots, system.connections
    );
    write(folder, "processes", &(processes.join("\n") + "\n"))?;
    write(folder, "controls", &(controls.join(",") + "\n"))?;
    write(folder, "settings", &tree)?;
    write(folder, "token", TOKEN)?;
    let names = system.entries.iter().map(|place| place.name.to_string());
    let entries = names.zip(listens).zip(announce);
    let addresses = Addresses {
        entries: entries
            .map(|((name, listen), http)| Entry { name, listen, http })
            .collect(),
        user: USER.to_owned(),
        signals: folder.join("signals"),
    };
    write(
        folder,
        "addresses.json",
        &serde_json::to_string_pretty(&addresses)?,
    )
}

fn write(folder: &Path, name: &str, text: &str) -> Result<()> {
    let path = folder.join(name);
    fs::write(&path, text).with_context(|| format!("write {}", path.display()))
}

fn control(
    places: &[Place],
    index: usize,
    links: &[SocketAddr],
    http: SocketAddr,
    folder: &Path,
) -> Value {
    let named = places.iter().zip(links);
    let members: Vec<Value> = named
        .map(|(place, link)| json!({ "instance": *place.name, "address": link.to_string() }))
        .collect();
    let place = &places[index];
    json!({
        "instance": *place.name, "domain": *place.domain, "data": folder.join(&**place.name),
        "link": links[index].to_string(), "http": http.to_string(), "token": TOKEN,
        "members": members,
    })
}

fn entry(
    place: &Place,
    listen: SocketAddr,
    http: SocketAddr,
    links: &[SocketAddr],
    folder: &Path,
) -> Value {
    let control: Vec<String> = links.iter().map(SocketAddr::to_string).collect();
    json!({
        "instance": *place.name, "domain": *place.domain,
        "listen": listen.to_string(), "http": http.to_string(), "token": TOKEN,
        "control": control, "cache": folder.join(format!("{}.catalog", *place.name)),
        "session_keys": [{ "id": 1, "secret": "replay-session-secret-0123456789-0123456789" }],
        "callers": [{
            "user": USER, "salt": "bGltcGV0dGFsbHktZGVtbw==", "iterations": 4096,
            "hash": "wQavkR/YSZMjLYBvZ6xvqb/4eD0wwZx8Kaz8V0tB50A=",
        }],
        "stop_timeout_ms": 2000,
    })
}

fn target(
    trace: &Trace,
    database: &Database,
    index: usize,
    addresses: &[SocketAddr],
    announce: &[SocketAddr],
) -> Value {
    let (system, place) = (&trace.system, &database.targets[index]);
    let announce: Vec<String> = announce.iter().map(SocketAddr::to_string).collect();
    let mut settings = json!({
        "target": *place.name, "service": *system.service, "database": *database.name,
        "group": *database.name, "region": *system.region, "domain": *place.domain,
        "listen": addresses[index].to_string(), "announce": announce, "token": TOKEN,
        "ttl_ms": 3000, "connections": system.connections, "slots": system.slots,
        "open_ms": system.open_ms, "statement_us": system.statement_us, "lag_ms": system.lag_ms,
    });
    if index > 0 {
        settings["primary"] = json!(addresses[0].to_string());
    }
    settings
}

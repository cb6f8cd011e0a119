//! Stand-in target process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result};
use clap::{Arg, Command, value_parser};
use serde::Deserialize;
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;
use types::Name;

/// Settings file, in the shape of `schema/settings/standin.json`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    target: String,
    service: String,
    database: String,
    group: String,
    region: String,
    domain: String,
    listen: SocketAddr,
    primary: Option<SocketAddr>,
    #[serde(default)]
    announce: Vec<SocketAddr>,
    #[serde(default)]
    token: String,
    ttl_ms: Option<u64>,
    connections: Option<u32>,
    slots: Option<u32>,
    #[serde(default)]
    open_ms: u64,
    #[serde(default)]
    statement_us: u64,
    #[serde(default)]
    lag_ms: u64,
    #[serde(default)]
    log: Log,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Log {
    format: Option<String>,
    level: Option<String>,
}

impl TryFrom<Settings> for standin::Config {
    type Error = anyhow::Error;

    fn try_from(raw: Settings) -> Result<Self> {
        let name = |field: &str, raw: &str| Name::try_from(raw).with_context(|| field.to_owned());
        let target = name("target", &raw.target)?;
        let group = name("group", &raw.group)?;
        let mut config = Self::new(target, group, raw.listen);
        config.service = name("service", &raw.service)?;
        config.database = name("database", &raw.database)?;
        config.region = name("region", &raw.region)?;
        config.domain = name("domain", &raw.domain)?;
        config.primary = raw.primary;
        config.announce = raw.announce;
        config.token = raw.token;
        config.ttl = raw.ttl_ms.map_or(config.ttl, Duration::from_millis);
        config.connections = raw.connections.unwrap_or(config.connections);
        config.slots = raw.slots.unwrap_or(config.slots);
        config.open = Duration::from_millis(raw.open_ms);
        config.statement = Duration::from_micros(raw.statement_us);
        config.lag = Duration::from_millis(raw.lag_ms);
        config.check()?;
        Ok(config)
    }
}

fn main() -> Result<()> {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("JSON settings file");
    let command = Command::new("limpettally-standin")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs a stand-in target for tests and the demo")
        .arg(settings);
    let mut matches = command.get_matches();
    let path = matches
        .remove_one::<PathBuf>("settings")
        .context("no --settings")?;
    let settings = read(&path)?;
    init_log(&settings.log)?;
    let config = settings
        .try_into()
        .with_context(|| path.display().to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("runtime")?;
    runtime.block_on(serve(config))
}

async fn serve(config: standin::Config) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    standin::run(config, stop).await
}

fn read(path: &Path) -> Result<Settings> {
    let raw = std::fs::read(path).with_context(|| path.display().to_string())?;
    serde_json::from_slice(&raw).with_context(|| path.display().to_string())
}

fn init_log(log: &Log) -> Result<()> {
    let level = log.level.as_deref().unwrap_or("info");
    let filter = EnvFilter::try_new(level).context("log level")?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    if log.format.as_deref() == Some("json") {
        builder.json().init();
    } else {
        builder.init();
    }
    Ok(())
}

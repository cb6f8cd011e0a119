//! Command line of the replay tool.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail, ensure};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::{Report, Trace};

/// The command line.
#[must_use]
pub fn command() -> Command {
    let trace = file("trace", "TRACE", "Trace (JSON lines)").required(true);
    Command::new("limpettally-replay")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Plays recorded traces against a running system and prints the measures")
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 bad usage, 3 a stated outcome was not reached.",
        )
        .arg(option("compare", "Print two reports side by side").num_args(2))
        .args_conflicts_with_subcommands(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("play")
                .about("Play a trace against a running system")
                .arg(trace.clone())
                .arg(option("addresses", "Addresses of the system (JSON)").required(true))
                .arg(option("json", "Write the report as JSON"))
                .arg(option("plot", "Draw latency over time as SVG"))
                .arg(
                    Arg::new("label")
                        .long("label")
                        .value_name("TEXT")
                        .default_value("")
                        .help("Name of the run in reports, for example a commit"),
                ),
        )
        .subcommand(
            Command::new("prepare")
                .about("Write the settings files of a trace's system, on free loopback ports")
                .arg(trace.clone())
                .arg(option("folder", "Existing folder for the files").required(true)),
        )
        .subcommand(Command::new("check").about("Check a trace").arg(trace))
        .subcommand(
            Command::new("generate")
                .about("Write the committed traces anew")
                .arg(option("folder", "Existing folder for the files").required(true)),
        )
}

fn file(id: &'static str, name: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name(name)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn option(id: &'static str, help: &'static str) -> Arg {
    file(id, "PATH", help).long(id)
}

/// Runs what `matches` asks for. False if a stated outcome was not reached.
///
/// # Errors
/// Fails for a bad trace, an unreadable or unwritable file, or a system that does not come up.
pub fn run(matches: &ArgMatches) -> Result<bool> {
    if let Some(mut files) = matches.get_many::<PathBuf>("compare") {
        let (first, second) = files.next().zip(files.next()).context("two reports")?;
        print!("{}", crate::compare(&report(first)?, &report(second)?));
        return Ok(true);
    }
    match matches.subcommand() {
        Some(("play", sub)) => return play(sub),
        Some(("prepare", sub)) => crate::prepare(&load(sub)?, path(sub, "folder")?)?,
        Some(("check", sub)) => {
            let trace = load(sub)?;
            let (events, seconds) = (trace.events.len(), trace.length_us() as f64 / 1e6);
            println!("{}: {events} events in {seconds:.1} s", *trace.system.name);
        }
        Some(("generate", sub)) => generate(path(sub, "folder")?)?,
        _ => bail!("no subcommand is given"),
    }
    Ok(true)
}

fn play(matches: &ArgMatches) -> Result<bool> {
    let trace = load(matches)?;
    let addresses = path(matches, "addresses")?;
    let addresses = serde_json::from_str(&read(addresses)?).context("addresses")?;
    let label = matches
        .get_one::<String>("label")
        .map_or("", String::as_str);
    let run = observe::process::block_on(crate::play(&trace, &addresses))?;
    let report = Report::new(&trace, &run, label)?;
    print!("{report}");
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        let text = serde_json::to_string_pretty(&report)?;
        fs::write(path, text).with_context(|| format!("write {}", path.display()))?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        crate::plot(&report, path)?;
    }
    Ok(report.passed())
}

fn generate(folder: &Path) -> Result<()> {
    ensure!(folder.is_dir(), "{} is no folder", folder.display());
    for name in crate::NAMES {
        let text = crate::generate(name).context("a known name")?;
        let path = folder.join(format!("{name}.jsonl"));
        fs::write(&path, text).with_context(|| format!("write {}", path.display()))?;
    }
    Ok(())
}

fn path<'a>(matches: &'a ArgMatches, id: &str) -> Result<&'a Path> {
    let path = matches.get_one::<PathBuf>(id);
    path.map(PathBuf::as_path)
        .with_context(|| format!("{id} is missing"))
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).with_context(|| format!("read {}", path.display()))
}

fn load(matches: &ArgMatches) -> Result<Trace> {
    let path = path(matches, "trace")?;
    Trace::parse(&read(path)?).with_context(|| path.display().to_string())
}

fn report(path: &Path) -> Result<Report> {
    serde_json::from_str(&read(path)?).with_context(|| path.display().to_string())
}

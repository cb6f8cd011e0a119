//! Command line of `limpettally-replay`.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail, ensure};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::{Report, Trace};

#[must_use]
pub fn command() -> Command {
    let trace = path_arg("trace", "TRACE", "Trace (JSON lines)").required(true);
    Command::new("limpettally-replay")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Plays recorded traces against a running system and prints the measures")
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 bad usage, 3 a stated outcome was not reached.",
        )
        .arg(path_option("compare", "Print two reports side by side").num_args(2))
        .args_conflicts_with_subcommands(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("play")
                .about("Play a trace against a running system")
                .arg(trace.clone())
                .arg(path_option("addresses", "Addresses of the system (JSON)").required(true))
                .arg(path_option("json", "Write the report as JSON"))
                .arg(path_option("plot", "Draw latency over time as SVG"))
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
                .arg(path_option("folder", "Existing folder for the files").required(true)),
        )
        .subcommand(Command::new("check").about("Check a trace").arg(trace))
        .subcommand(
            Command::new("generate")
                .about("Write the committed traces anew")
                .arg(path_option("folder", "Existing folder for the files").required(true)),
        )
}

fn path_arg(id: &'static str, name: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name(name)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn path_option(id: &'static str, help: &'static str) -> Arg {
    path_arg(id, "PATH", help).long(id)
}

/// Runs the subcommand or the comparison in `matches`. Returns false if a stated outcome was not
/// reached.
///
/// # Errors
/// Fails for an invalid trace, an unreadable or unwritable file, or a system that does not become
/// ready.
pub fn run(matches: &ArgMatches) -> Result<bool> {
    if let Some(mut files) = matches.get_many::<PathBuf>("compare") {
        let (first, second) = files
            .next()
            .zip(files.next())
            .context("--compare needs two reports")?;
        print!(
            "{}",
            crate::compare(&load_report(first)?, &load_report(second)?)
        );
        return Ok(true);
    }
    match matches.subcommand() {
        Some(("play", submatches)) => return play(submatches),
        Some(("prepare", submatches)) => crate::prepare(
            &load_trace(submatches)?,
            required_path(submatches, "folder")?,
        )?,
        Some(("check", submatches)) => {
            let trace = load_trace(submatches)?;
            let (events, seconds) = (trace.events.len(), trace.length_us() as f64 / 1e6);
            println!("{}: {events} events in {seconds:.1} s", *trace.system.name);
        }
        Some(("generate", submatches)) => write_traces(required_path(submatches, "folder")?)?,
        _ => bail!("no subcommand is given"),
    }
    Ok(true)
}

fn play(matches: &ArgMatches) -> Result<bool> {
    let trace = load_trace(matches)?;
    let addresses = required_path(matches, "addresses")?;
    let addresses =
        serde_json::from_str(&read_file(addresses)?).context("invalid file of addresses")?;
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

fn write_traces(folder: &Path) -> Result<()> {
    ensure!(folder.is_dir(), "{} is not a folder", folder.display());
    for name in crate::TRACE_NAMES {
        let text = crate::generate(name).context("unknown trace name")?;
        let path = folder.join(format!("{name}.jsonl"));
        fs::write(&path, text).with_context(|| format!("write {}", path.display()))?;
    }
    Ok(())
}

fn required_path<'a>(matches: &'a ArgMatches, id: &str) -> Result<&'a Path> {
    let path = matches.get_one::<PathBuf>(id);
    path.map(PathBuf::as_path)
        .with_context(|| format!("{id} is missing"))
}

fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).with_context(|| format!("read {}", path.display()))
}

fn load_trace(matches: &ArgMatches) -> Result<Trace> {
    let path = required_path(matches, "trace")?;
    Trace::parse(&read_file(path)?).with_context(|| path.display().to_string())
}

fn load_report(path: &Path) -> Result<Report> {
    serde_json::from_str(&read_file(path)?).with_context(|| path.display().to_string())
}

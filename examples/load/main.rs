//! Puts the load of many entries, targets and callers on real processes, for the measurements in
//! `docs/CAPACITY.md`.
//!
//! - `load targets PORT`: fake targets that answer position queries and promotions of any number of
//!   databases on three ports from PORT on.
//! - `load entries ...`: fake entries that speak the link protocol with control processes.
//! - `load callers ...`: idle and active connections of callers to one entry.

mod callers;
mod changes;
mod entries;
mod fake;
mod process;
mod targets;

use anyhow::{Context, Result};
use clap::{Arg, ArgMatches, Command};
use tokio::task::LocalSet;

fn main() -> Result<()> {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).default_value(default).help(help);
        arg.value_parser(clap::value_parser!(u32))
    };
    let list_arg = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .value_delimiter(',')
            .required(true)
    };
    let matches = Command::new("load")
        .subcommand_required(true)
        .subcommand(Command::new("targets").arg(Arg::new("port").required(true)))
        .subcommand(
            Command::new("entries")
                .arg(list_arg("control").help("Link addresses, the leader's first"))
                .arg(list_arg("http").help("HTTP addresses"))
                .arg(list_arg("pids").help("Processes whose time and memory are printed"))
                .arg(number("entries", "1", "Fake entries"))
                .arg(number("targets", "0", "Targets that they announce"))
                .arg(number("port", "7000", "First port of `load targets`"))
                .arg(number("floor", "0", "Value of connections.floor"))
                .arg(number("report", "0", "Targets that each entry reports"))
                .arg(number("announce", "1", "Entries that announce each target"))
                .arg(number(
                    "demand",
                    "0",
                    "Targets of which each entry wants 2 connections",
                ))
                .arg(number("changes", "0", "Setting changes per second"))
                .arg(number("secs", "5", "Length of a window"))
                .arg(number("windows", "3", "Windows"))
                .arg(number("quiet", "0", "Windows without changes before"))
                .arg(number(
                    "joins",
                    "0",
                    "Entries that join at the end, one by one",
                ))
                .arg(number(
                    "fail",
                    "0",
                    "Databases whose primaries fail at the end",
                ))
                .arg(number("stay", "0", "Seconds to stay connected at the end")),
        )
        .subcommand(
            Command::new("callers")
                .arg(Arg::new("address").long("address").required(true))
                .arg(list_arg("pids"))
                .arg(number("callers", "100", "Connections"))
                .arg(number("active", "0", "Connections that send statements"))
                .arg(number("secs", "5", "Length of a window"))
                .arg(number("windows", "3", "Windows"))
                .arg(Arg::new("mode").long("mode").default_value("read"))
                .arg(
                    Arg::new("database")
                        .long("database")
                        .default_value("orders"),
                ),
        )
        .get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(&matches))
}

async fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand().context("no subcommand")? {
        ("targets", matches) => targets::run(value(matches, "port")?.parse()?).await,
        ("entries", matches) => entries::run(matches).await,
        (_, matches) => callers::run(matches).await,
    }
}

fn number(matches: &ArgMatches, name: &str) -> usize {
    matches.get_one::<u32>(name).map_or(0, |n| *n as usize)
}

fn value<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a str> {
    let option = matches.get_one::<String>(name);
    option.map(String::as_str).context(format!("--{name}"))
}

fn values<'a>(matches: &'a ArgMatches, name: &str) -> Vec<&'a str> {
    let options = matches.get_many::<String>(name);
    options.into_iter().flatten().map(String::as_str).collect()
}

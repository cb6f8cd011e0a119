//! `check-settings`: checks the settings file of a process.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use settings::{Control, Coordinator, Entry, Kind, Proxy, Standin};

use crate::failure::Failure;

/// The subcommand.
pub fn command() -> Command {
    Command::new("check-settings")
        .about("Check the settings file of a process")
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .value_parser(["control", "coordinator", "entry", "proxy", "standin"])
                .required(true),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
}

/// Reports every finding.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let kind = matches.get_one::<String>("kind").map(String::as_str);
    let file = matches.get_one::<PathBuf>("file");
    let file = file.map_or(Path::new(""), PathBuf::as_path);
    match kind {
        Some("control") => check::<Control>(file),
        Some("coordinator") => check::<Coordinator>(file),
        Some("entry") => check::<Entry>(file),
        Some("proxy") => check::<Proxy>(file),
        _ => check::<Standin>(file),
    }
}

fn check<T: Kind>(file: &Path) -> Result<(), Failure> {
    settings::load::<T>(file)
        .map(drop)
        .map_err(Failure::Settings)
}

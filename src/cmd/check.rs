//! `check-settings`: checks the settings file of a process.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use settings::{Control, Coordinator, Entry, Kind, Proxy, Standin};

use crate::failure::Failure;

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

/// Checks the file; the error holds all findings.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let kind = matches.get_one::<String>("kind").map(String::as_str);
    let path = matches.get_one::<PathBuf>("file");
    let path = path.map_or(Path::new(""), PathBuf::as_path);
    match kind {
        Some("control") => check::<Control>(path),
        Some("coordinator") => check::<Coordinator>(path),
        Some("entry") => check::<Entry>(path),
        Some("proxy") => check::<Proxy>(path),
        _ => check::<Standin>(path),
    }
}

fn check<T: Kind>(path: &Path) -> Result<(), Failure> {
    settings::load::<T>(path)
        .map(drop)
        .map_err(Failure::Settings)
}

//! Command-line arguments of the processes, and loading of their settings files.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use settings::{EXIT_FINDINGS, Kind, Ports, Report};

/// Parses the command line of the process `name` and loads its settings file.
///
/// `--help`, `--version` and invalid usage end the process.
///
/// # Errors
/// Returns the exit code if the process must not start: 0 after `--check-settings` of a valid file,
/// 2 if the settings have findings, which are printed to standard error.
pub fn load<T: Kind>(name: &'static str, about: &'static str) -> Result<T, ExitCode> {
    load_from(name, about, std::env::args_os())
}

/// Like [`load`]; also returns the path of the file, for a process that reloads it on changes.
///
/// # Errors
/// Returns the exit code if the process must not start.
pub fn load_with_path<T: Kind>(
    name: &'static str,
    about: &'static str,
) -> Result<(T, PathBuf), ExitCode> {
    let matches = command(name, about).get_matches();
    let path = matches.get_one::<PathBuf>("settings");
    let path = path.cloned().unwrap_or_default();
    load_file(&matches, &path).map(|settings| (settings, path))
}

/// Like [`load`], with the given arguments, the first of which is the name of the program.
///
/// # Errors
/// Returns the exit code if the process must not start.
pub fn load_from<T: Kind>(
    name: &'static str,
    about: &'static str,
    args: impl IntoIterator<Item = OsString>,
) -> Result<T, ExitCode> {
    let matches = command(name, about).get_matches_from(args);
    let path = matches.get_one::<PathBuf>("settings");
    load_file(&matches, path.map_or(Path::new(""), PathBuf::as_path))
}

fn load_file<T: Kind>(matches: &ArgMatches, path: &Path) -> Result<T, ExitCode> {
    let ports = if matches.get_flag("any-port") {
        Ports::Any
    } else {
        Ports::Fixed
    };
    let settings = settings::load_with(path, ports).map_err(|report| print_findings(&report))?;
    if matches.get_flag("check-settings") {
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// Prints the findings to standard error and returns the exit code for them.
#[must_use]
pub fn print_findings(report: &Report) -> ExitCode {
    eprintln!("{report}");
    ExitCode::from(EXIT_FINDINGS)
}

fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Settings file (JSON)"),
        )
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit: 0 if it is valid, 2 if it has findings"),
        )
        .arg(
            Arg::new("any-port")
                .long("any-port")
                .action(ArgAction::SetTrue)
                .hide(true)
                .help("Allow port 0 in the settings file, for tests"),
        )
}

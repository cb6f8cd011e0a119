//! Command line of a process, and the load of its settings.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use settings::{EXIT_FINDINGS, Kind, Ports, Report};

/// Reads the command line and the settings file of the process `name`.
///
/// `--help`, `--version` and bad usage end the process.
///
/// # Errors
/// Returns the exit code of a process that is not to start: 0 after `--check-settings` of a good
/// file, 2 after findings, which are on standard error.
pub fn load<T: Kind>(name: &'static str, about: &'static str) -> Result<T, ExitCode> {
    load_from(name, about, std::env::args_os())
}

/// Like [`load`], with the path of the file for a process that reads it again when it changes.
///
/// # Errors
/// Returns the exit code of a process that is not to start.
pub fn load_with_path<T: Kind>(
    name: &'static str,
    about: &'static str,
) -> Result<(T, PathBuf), ExitCode> {
    let matches = command(name, about).get_matches();
    let path = matches.get_one::<PathBuf>("settings");
    let path = path.cloned().unwrap_or_default();
    read(&matches, &path).map(|settings| (settings, path))
}

/// Like [`load`] with the given arguments, the first of which is the program.
///
/// # Errors
/// Returns the exit code of a process that is not to start.
pub fn load_from<T: Kind>(
    name: &'static str,
    about: &'static str,
    args: impl IntoIterator<Item = OsString>,
) -> Result<T, ExitCode> {
    let matches = command(name, about).get_matches_from(args);
    let file = matches.get_one::<PathBuf>("settings");
    read(&matches, file.map_or(Path::new(""), PathBuf::as_path))
}

fn read<T: Kind>(matches: &ArgMatches, file: &Path) -> Result<T, ExitCode> {
    let ports = if matches.get_flag("any-port") {
        Ports::Any
    } else {
        Ports::Fixed
    };
    let settings = settings::load_with(file, ports).map_err(|report| refuse(&report))?;
    if matches.get_flag("check-settings") {
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// Writes the findings to standard error; returns the exit code for them.
#[must_use]
pub fn refuse(report: &Report) -> ExitCode {
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
                .help("Check the settings file and exit: 0 if it is good, 2 with findings"),
        )
        .arg(
            Arg::new("any-port")
                .long("any-port")
                .action(ArgAction::SetTrue)
                .hide(true)
                .help("Allow port 0 in the settings file, for tests"),
        )
}

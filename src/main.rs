//! Operators' command line.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

mod cmd;
mod failure;
mod session;
mod table;

use failure::Failure;
use session::Session;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}

fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let Some((name, sub)) = matches.subcommand() else {
        return Err(Failure::Usage("no subcommand is given".to_owned()));
    };
    match name {
        "check-settings" => return cmd::check::run(sub),
        "explain" => return cmd::explain::run(sub),
        _ => {}
    }
    let session = Session::new(matches)?;
    observe::process::block_on(async {
        Ok(match name {
            "status" => cmd::status::run(&session).await,
            "targets" => cmd::targets::run(&session, sub).await,
            "settings" => cmd::settings::run(&session, sub).await,
            "members" => cmd::members::run(&session, sub).await,
            "switch" => cmd::switch::run(&session, sub).await,
            other => Err(Failure::Usage(format!("no subcommand {other}"))),
        })
    })?
}

fn command() -> Command {
    Command::new("limpettally")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a limpettally system")
        .after_help("Exit codes: 0 done, 1 refused or failed, 2 bad usage or settings.")
        .subcommand_required(true)
        .args(connection())
        .subcommand(cmd::status::command())
        .subcommand(cmd::targets::command())
        .subcommand(cmd::settings::command())
        .subcommand(cmd::members::command())
        .subcommand(cmd::switch::command())
        .subcommand(cmd::check::command())
        .subcommand(cmd::explain::command())
}

/// Options of every subcommand that calls control.
fn connection() -> [Arg; 4] {
    [
        Arg::new("control")
            .long("control")
            .value_name("ADDRESS")
            .value_parser(value_parser!(std::net::SocketAddr))
            .value_delimiter(',')
            .action(ArgAction::Append)
            .global(true)
            .help("HTTP address of a control instance; repeat it or separate several by commas"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .global(true)
            .help("File with the bearer token; without it, LIMPETTALLY_TOKEN holds the token"),
        Arg::new("json")
            .long("json")
            .action(ArgAction::SetTrue)
            .global(true)
            .help("Print the reply as JSON"),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .value_name("MS")
            .value_parser(value_parser!(u64).range(1..=600_000))
            .default_value("10000")
            .global(true)
            .help("Longest wait for an answer, all instances and attempts together"),
    ]
}

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
    let Some((name, submatches)) = matches.subcommand() else {
        return Err(Failure::Usage("a subcommand is missing".to_owned()));
    };
    match name {
        "check-settings" => return cmd::check::run(submatches),
        "explain" => return cmd::explain::run(submatches),
        _ => {}
    }
    let session = Session::new(matches)?;
    observe::process::block_on(async {
        Ok(match name {
            "status" => cmd::status::run(&session).await,
            "targets" => cmd::targets::run(&session, submatches).await,
            "settings" => cmd::settings::run(&session, submatches).await,
            "members" => cmd::members::run(&session, submatches).await,
            "switch" => cmd::switch::run(&session, submatches).await,
            other => Err(Failure::Usage(format!("unknown subcommand {other}"))),
        })
    })?
}

fn command() -> Command {
    Command::new("limpettally")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operate a limpettally system")
        .after_help("Exit codes: 0 success, 1 refused or failed, 2 invalid usage or settings.")
        .subcommand_required(true)
        .args(connection_options())
        .subcommand(cmd::status::command())
        .subcommand(cmd::targets::command())
        .subcommand(cmd::settings::command())
        .subcommand(cmd::members::command())
        .subcommand(cmd::switch::command())
        .subcommand(cmd::check::command())
        .subcommand(cmd::explain::command())
}

/// Options of all subcommands that send requests to control.
fn connection_options() -> [Arg; 4] {
    [
        Arg::new("control")
            .long("control")
            .value_name("ADDRESS")
            .value_parser(value_parser!(std::net::SocketAddr))
            .value_delimiter(',')
            .action(ArgAction::Append)
            .global(true)
            .help("HTTP address of a control instance; repeat the option or separate addresses by commas"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .global(true)
            .help("File with the bearer token; default: the value of LIMPETTALLY_TOKEN"),
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
            .help("Time limit of a request, over all instances and attempts"),
    ]
}

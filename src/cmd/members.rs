//! `members`: the control instances.

use admin::api::{Join, JoinDisk, Members, Retire};
use admin::client::Call;
use clap::{Arg, ArgMatches, Command};
use http::Method;

use super::{status, targets};
use crate::failure::Failure;
use crate::session::{Session, name, with_options};

const LIST: &str = "/v1/members";

/// The subcommand.
pub fn command() -> Command {
    let change = |verb: &'static str, about: &'static str| {
        let instance = name("instance", "INSTANCE").required(true);
        with_options(Command::new(verb).about(about).arg(instance))
    };
    let add = change("add", "Add a control instance as a learner, without a vote")
        .arg(
            Arg::new("address")
                .value_name("ADDRESS")
                .required(true)
                .help("Its link address"),
        )
        .arg(
            Arg::new("disk")
                .long("disk")
                .value_name("IDENTITY")
                .help("Identity of its disk, 16 hexadecimal digits; else the one that it reports"),
        );
    Command::new("members")
        .about("List and change the control instances")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List the control instances"))
        .subcommand(add)
        .subcommand(change(
            "promote",
            "Give a learner that has caught up a vote",
        ))
        .subcommand(change("remove", "Remove a control instance"))
}

/// Lists or changes members.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<(), Failure> {
    let Some((verb, matches)) = matches.subcommand() else {
        return Ok(());
    };
    if verb == "list" {
        let list = |reply: &Members| status::members(&reply.members);
        return session.show(&Call::get(LIST), list).await;
    }
    let instance = matches.get_one::<String>("instance");
    let path = format!("{LIST}/{}", instance.map_or("", String::as_str));
    match verb {
        "add" => add(session, matches).await,
        "promote" => promote(session, matches, &path).await,
        _ => {
            let change = session.options(matches, LIST).await?;
            targets::retire(session, &path, &change).await
        }
    }
}

async fn add(session: &Session, matches: &ArgMatches) -> Result<(), Failure> {
    let text = |name| matches.get_one::<String>(name).cloned();
    let disk = text("disk").map(JoinDisk::try_from).transpose();
    let disk = disk.map_err(|error| Failure::Usage(format!("--disk {error}")))?;
    let change = session.options(matches, LIST).await?;
    let body = Join {
        instance: text("instance").unwrap_or_default(),
        address: text("address").unwrap_or_default(),
        disk,
        base: change.base,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    session.change(Method::POST, LIST, &body, &change).await
}

async fn promote(session: &Session, matches: &ArgMatches, path: &str) -> Result<(), Failure> {
    let change = session.options(matches, LIST).await?;
    let body = Retire {
        base: change.base,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    let path = format!("{path}/promote");
    session.change(Method::POST, &path, &body, &change).await
}

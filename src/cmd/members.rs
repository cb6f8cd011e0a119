//! `members`: lists and changes the control instances.

use admin::api::{Join, JoinDisk, Members, Retire};
use admin::client::Call;
use clap::{Arg, ArgMatches, Command};
use http::Method;

use super::{status, targets};
use crate::failure::Failure;
use crate::session::{Session, name_argument, with_change_options};

const MEMBERS_PATH: &str = "/v1/members";

pub fn command() -> Command {
    let change_command = |verb: &'static str, about: &'static str| {
        let instance = name_argument("instance", "INSTANCE").required(true);
        with_change_options(Command::new(verb).about(about).arg(instance))
    };
    let add =
        change_command("add", "Add a control instance as a learner without a vote")
            .arg(
                Arg::new("address")
                    .value_name("ADDRESS")
                    .required(true)
                    .help("Link address of the instance"),
            )
            .arg(Arg::new("disk").long("disk").value_name("IDENTITY").help(
                "Identity of its disk, 16 hexadecimal digits; default: the one that it reports",
            ));
    Command::new("members")
        .about("List and change the control instances")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List the control instances"))
        .subcommand(add)
        .subcommand(change_command(
            "promote",
            "Give a vote to a learner that has caught up",
        ))
        .subcommand(change_command("remove", "Remove a control instance"))
}

/// Lists or changes members.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<(), Failure> {
    let Some((verb, matches)) = matches.subcommand() else {
        return Ok(());
    };
    if verb == "list" {
        let render = |reply: &Members| status::render_members(&reply.members);
        return session.show(&Call::get(MEMBERS_PATH), render).await;
    }
    let instance = matches.get_one::<String>("instance");
    let path = format!("{MEMBERS_PATH}/{}", instance.map_or("", String::as_str));
    match verb {
        "add" => add(session, matches).await,
        "promote" => promote(session, matches, &path).await,
        _ => {
            let change = session.change_options(matches, MEMBERS_PATH).await?;
            targets::delete(session, &path, &change).await
        }
    }
}

async fn add(session: &Session, matches: &ArgMatches) -> Result<(), Failure> {
    let argument = |id| matches.get_one::<String>(id).cloned();
    let disk = argument("disk").map(JoinDisk::try_from).transpose();
    let disk = disk.map_err(|error| Failure::Usage(format!("--disk {error}")))?;
    let change = session.change_options(matches, MEMBERS_PATH).await?;
    let body = Join {
        instance: argument("instance").unwrap_or_default(),
        address: argument("address").unwrap_or_default(),
        disk,
        base: change.base,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    session
        .change(Method::POST, MEMBERS_PATH, &body, &change)
        .await
}

async fn promote(session: &Session, matches: &ArgMatches, path: &str) -> Result<(), Failure> {
    let change = session.change_options(matches, MEMBERS_PATH).await?;
    let body = Retire {
        base: change.base,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    let path = format!("{path}/promote");
    session.change(Method::POST, &path, &body, &change).await
}

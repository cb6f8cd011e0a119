//! `targets`: lists targets, sets their state, retires them.

use admin::api::{Mark, Retire, State, Target, Targets};
use admin::client::Call;
use clap::{ArgMatches, Command};
use http::Method;

use crate::failure::Failure;
use crate::session::{Change, Session, name, with_options};
use crate::table::{self, optional};

const LIST: &str = "/v1/targets";

/// The subcommand.
pub fn command() -> Command {
    let change = |verb: &'static str, about: &'static str| {
        let target = name("target", "TARGET").required(true);
        with_options(Command::new(verb).about(about).arg(target))
    };
    Command::new("targets")
        .about("List targets and set what they may do")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List all targets"))
        .subcommand(change("serving", "Let a target take any work"))
        .subcommand(change(
            "draining",
            "Let a target finish its sessions and transactions and take no new ones",
        ))
        .subcommand(change("leaving", "Give a target no new work"))
        .subcommand(change("retire", "Remove a target that has left"))
}

/// Lists or changes targets.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<(), Failure> {
    let state = match matches.subcommand_name() {
        Some("serving") => Some(State::Serving),
        Some("draining") => Some(State::Draining),
        Some("leaving") => Some(State::Leaving),
        Some("retire") => None,
        _ => {
            let list = |reply: &Targets| render(&reply.targets.iter().collect::<Vec<_>>());
            return session.show(&Call::get(LIST), list).await;
        }
    };
    let Some((_, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let target = matches.get_one::<String>("target");
    let path = format!("{LIST}/{}", target.map_or("", String::as_str));
    let change = session.options(matches, LIST).await?;
    match state {
        Some(state) => mark(session, &path, state, &change).await,
        None => retire(session, &path, &change).await,
    }
}

async fn mark(session: &Session, path: &str, state: State, change: &Change) -> Result<(), Failure> {
    let body = Mark {
        state,
        base: change.base,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    let path = format!("{path}/state");
    session.change(Method::POST, &path, &body, change).await
}

/// Sends a change that consists of method and path alone with `DELETE`.
pub async fn retire(session: &Session, path: &str, change: &Change) -> Result<(), Failure> {
    let body = Retire {
        base: change.base,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    session.change(Method::DELETE, path, &body, change).await
}

/// Targets as a table.
pub fn render(targets: &[&Target]) -> String {
    let row = |target: &&Target| {
        [
            target.target.clone(),
            target.database.clone(),
            target.group.clone(),
            target.domain.clone(),
            target.address.clone(),
            target.state.to_string(),
            target.role.to_string(),
            optional(target.lsn.as_deref()),
            optional(target.lag_bytes),
            optional(target.silent_ms),
        ]
    };
    let rows: Vec<_> = targets.iter().map(row).collect();
    let head = [
        "TARGET",
        "DATABASE",
        "GROUP",
        "DOMAIN",
        "ADDRESS",
        "STATE",
        "ROLE",
        "LSN",
        "LAG_BYTES",
        "SILENT_MS",
    ];
    table::render(head, &rows)
}

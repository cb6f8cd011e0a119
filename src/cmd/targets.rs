//! `targets`: lists targets, sets their states and retires them.

use admin::api::{Mark, Retire, State, Target, Targets};
use admin::client::Call;
use clap::{ArgMatches, Command};
use http::Method;

use crate::failure::Failure;
use crate::session::{Change, Session, name_argument, with_change_options};
use crate::table::{self, optional};

const TARGETS_PATH: &str = "/v1/targets";

pub fn command() -> Command {
    let change_command = |verb: &'static str, about: &'static str| {
        let target = name_argument("target", "TARGET").required(true);
        with_change_options(Command::new(verb).about(about).arg(target))
    };
    Command::new("targets")
        .about("List targets and change their states")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List all targets"))
        .subcommand(change_command(
            "serving",
            "Let a target take work of any kind",
        ))
        .subcommand(change_command(
            "draining",
            "Let a target finish its sessions and transactions and take no new ones",
        ))
        .subcommand(change_command("leaving", "Send no new work to a target"))
        .subcommand(change_command("retire", "Remove a target that has left"))
}

/// Lists or changes targets.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<(), Failure> {
    let state = match matches.subcommand_name() {
        Some("serving") => Some(State::Serving),
        Some("draining") => Some(State::Draining),
        Some("leaving") => Some(State::Leaving),
        Some("retire") => None,
        _ => {
            let render_list = |reply: &Targets| render(&reply.targets.iter().collect::<Vec<_>>());
            return session.show(&Call::get(TARGETS_PATH), render_list).await;
        }
    };
    let Some((_, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let target = matches.get_one::<String>("target");
    let path = format!("{TARGETS_PATH}/{}", target.map_or("", String::as_str));
    let change = session.change_options(matches, TARGETS_PATH).await?;
    match state {
        Some(state) => set_state(session, &path, state, &change).await,
        None => delete(session, &path, &change).await,
    }
}

async fn set_state(
    session: &Session,
    path: &str,
    state: State,
    change: &Change,
) -> Result<(), Failure> {
    let body = Mark {
        state,
        base: change.base,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    let path = format!("{path}/state");
    session.change(Method::POST, &path, &body, change).await
}

/// Sends a `DELETE` request for a path.
pub async fn delete(session: &Session, path: &str, change: &Change) -> Result<(), Failure> {
    let body = Retire {
        base: change.base,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    session.change(Method::DELETE, path, &body, change).await
}

/// Renders targets as a table.
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
    let header = [
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
    table::render(header, &rows)
}

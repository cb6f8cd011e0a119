//! `switch`: planned switch of a database's primary.

use admin::api::Switch;
use clap::{ArgMatches, Command};
use http::Method;

use crate::failure::Failure;
use crate::session::{Session, name_argument, with_change_options};

pub fn command() -> Command {
    let command = Command::new("switch")
        .about("Switch the primary of a database; writes wait until the switch is over")
        .arg(name_argument("database", "DATABASE").required(true))
        .arg(
            name_argument("target", "TARGET")
                .long("target")
                .help("New primary; default: the most advanced replica"),
        );
    with_change_options(command)
}

pub async fn run(session: &Session, matches: &ArgMatches) -> Result<(), Failure> {
    let argument = |id| matches.get_one::<String>(id).cloned();
    let change = session.change_options(matches, "/v1/targets").await?;
    let path = format!(
        "/v1/databases/{}/switch",
        argument("database").unwrap_or_default()
    );
    let body = Switch {
        target: argument("target"),
        base: change.base,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    session.change(Method::POST, &path, &body, &change).await
}

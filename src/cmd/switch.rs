//! `switch`: moves the primary of a database in a planned way.

use admin::api::Switch;
use clap::{ArgMatches, Command};
use http::Method;

use crate::failure::Failure;
use crate::session::{Session, name, with_options};

/// The subcommand.
pub fn command() -> Command {
    let command = Command::new("switch")
        .about("Move the primary of a database; writes are held meanwhile")
        .arg(name("database", "DATABASE").required(true))
        .arg(
            name("target", "TARGET")
                .long("target")
                .help("New primary; the most advanced replica if it is not given"),
        );
    with_options(command)
}

/// Asks for the switch.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<(), Failure> {
    let text = |name| matches.get_one::<String>(name).cloned();
    let change = session.options(matches, "/v1/targets").await?;
    let path = format!(
        "/v1/databases/{}/switch",
        text("database").unwrap_or_default()
    );
    let body = Switch {
        target: text("target"),
        base: change.base,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    session.change(Method::POST, &path, &body, &change).await
}

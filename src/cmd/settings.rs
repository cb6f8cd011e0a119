//! `settings`: shows and changes the settings tree.

use admin::api::{Explanation, History, Set, Settings};
use admin::client::Call;
use clap::{Arg, ArgMatches, Command};
use http::Method;
use serde_json::Value;

use crate::failure::Failure;
use crate::session::{Session, with_change_options};
use crate::table;

const SETTINGS_PATH: &str = "/v1/settings";

pub fn command() -> Command {
    let node = Arg::new("path").value_name("PATH").required(true).help(
        "organisation/region/domain/service/database/group/target or a prefix of it; / is the root",
    );
    let key = Arg::new("key").value_name("KEY");
    let node_command =
        |name: &'static str, about: &'static str| Command::new(name).about(about).arg(node.clone());
    let value = Arg::new("value")
        .value_name("VALUE")
        .required(true)
        .allow_negative_numbers(true)
        .help("JSON value; anything else is taken as a string");
    Command::new("settings")
        .about("Read and change the settings tree")
        .subcommand_required(true)
        .subcommand(node_command("get", "Show the effective values at a node").arg(key.clone()))
        .subcommand(
            node_command(
                "explain",
                "Show the effective values and the nodes that set them",
            )
            .arg(key.clone()),
        )
        .subcommand(
            node_command("history", "Show the history of changes at a node").arg(key.clone()),
        )
        .subcommand(with_change_options(
            node_command("set", "Set a value on a node")
                .arg(key.clone().required(true))
                .arg(value),
        ))
        .subcommand(with_change_options(
            node_command(
                "unset",
                "Remove a value from a node, so that the inherited one applies",
            )
            .arg(key.required(true)),
        ))
}

/// Shows or changes settings.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<(), Failure> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let argument = |id| matches.get_one::<String>(id).map(String::as_str);
    let node = argument("path").unwrap_or_default().trim_matches('/');
    let key = argument("key");
    match name {
        "get" => {
            let call = Call::get_node(SETTINGS_PATH, node);
            session.show(&call, |reply| render_values(reply, key)).await
        }
        "explain" => {
            let call = Call::get_node(&format!("{SETTINGS_PATH}/explain"), node);
            session
                .show(&call, |reply| render_origins(reply, key))
                .await
        }
        "history" => {
            let call = Call::get_node(&format!("{SETTINGS_PATH}/history"), node);
            session
                .show(&call, |reply| render_changes(reply, key))
                .await
        }
        "set" => {
            let value = parse_value(matches.get_one::<String>("value"))?;
            set(session, matches, node, value).await
        }
        _ => set(session, matches, node, Value::Null).await,
    }
}

fn parse_value(raw: Option<&String>) -> Result<Value, Failure> {
    let raw = raw.map_or("", String::as_str);
    match serde_json::from_str(raw) {
        Ok(Value::Null) => Err(Failure::Usage(
            "null is not a value; `settings unset` removes a value".to_owned(),
        )),
        Ok(value) => Ok(value),
        Err(_) => Ok(Value::String(raw.to_owned())),
    }
}

async fn set(
    session: &Session,
    matches: &ArgMatches,
    node: &str,
    value: Value,
) -> Result<(), Failure> {
    let read_path = Call::get_node(SETTINGS_PATH, node).path;
    let change = session.change_options(matches, &read_path).await?;
    let key = matches.get_one::<String>("key").cloned();
    let body = Set {
        path: node.to_owned(),
        key: key.unwrap_or_default(),
        value,
        base: change.base,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    session
        .change(Method::POST, SETTINGS_PATH, &body, &change)
        .await
}

fn is_selected(selected: Option<&str>, key: &str) -> bool {
    selected.is_none_or(|selected| selected == key)
}

fn render_values(reply: &Settings, key: Option<&str>) -> String {
    let selected = reply
        .values
        .iter()
        .filter(|setting| is_selected(key, &setting.key));
    let rows: Vec<_> = selected
        .map(|setting| [setting.key.clone(), setting.value.to_string()])
        .collect();
    table::render(["KEY", "VALUE"], &rows)
}

fn render_origins(reply: &Explanation, key: Option<&str>) -> String {
    let mut rows = Vec::new();
    for origin in reply
        .values
        .iter()
        .filter(|origin| is_selected(key, &origin.key))
    {
        let source = origin.source.as_deref().map_or("default", display_path);
        rows.push([
            origin.key.clone(),
            origin.value.to_string(),
            source.to_owned(),
            table::optional(origin.revision),
        ]);
        for overridden in &origin.overridden {
            rows.push([
                String::new(),
                overridden.value.to_string(),
                format!("{} (overridden)", display_path(&overridden.source)),
                String::new(),
            ]);
        }
    }
    table::render(["KEY", "VALUE", "SOURCE", "REVISION"], &rows)
}

/// The root has an empty path, which would be invisible in a table.
fn display_path(source: &str) -> &str {
    if source.is_empty() { "/" } else { source }
}

fn render_changes(reply: &History, key: Option<&str>) -> String {
    let selected = reply
        .changes
        .iter()
        .filter(|change| is_selected(key, &change.key));
    let rows: Vec<_> = selected
        .map(|change| {
            let value = if change.value.is_null() {
                "(unset)".to_owned()
            } else {
                change.value.to_string()
            };
            [
                change.revision.to_string(),
                change.key.clone(),
                value,
                change.operator.clone(),
                change.request.clone(),
            ]
        })
        .collect();
    table::render(["REVISION", "KEY", "VALUE", "OPERATOR", "REQUEST"], &rows)
}

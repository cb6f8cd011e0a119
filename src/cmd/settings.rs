//! `settings`: reads and changes the settings tree.

use admin::api::{Explanation, History, Set, Settings};
use admin::client::Call;
use clap::{Arg, ArgMatches, Command};
use http::Method;
use serde_json::Value;

use crate::failure::Failure;
use crate::session::{Session, with_options};
use crate::table;

const TREE: &str = "/v1/settings";

/// The subcommand.
pub fn command() -> Command {
    let node = Arg::new("path")
        .value_name("PATH")
        .required(true)
        .help("organisation/region/domain/service/database/group/target or the start of it; / for the root");
    let key = Arg::new("key").value_name("KEY");
    let read =
        |name: &'static str, about: &'static str| Command::new(name).about(about).arg(node.clone());
    let value = Arg::new("value")
        .value_name("VALUE")
        .required(true)
        .allow_negative_numbers(true)
        .help("JSON; anything else is taken as a text");
    Command::new("settings")
        .about("Read and change the settings tree")
        .subcommand_required(true)
        .subcommand(read("get", "Show the values in force at a node").arg(key.clone()))
        .subcommand(read("explain", "Show where these values come from").arg(key.clone()))
        .subcommand(read("history", "Show the changes at a node").arg(key.clone()))
        .subcommand(with_options(
            read("set", "Set a value on a node")
                .arg(key.clone().required(true))
                .arg(value),
        ))
        .subcommand(with_options(
            read(
                "unset",
                "Remove a value from a node, so that the inherited one applies",
            )
            .arg(key.required(true)),
        ))
}

/// Reads or changes settings.
pub async fn run(session: &Session, matches: &ArgMatches) -> Result<(), Failure> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let text = |name| matches.get_one::<String>(name).map(String::as_str);
    let node = text("path").unwrap_or_default().trim_matches('/');
    let key = text("key");
    match name {
        "get" => {
            let call = Call::get_node(TREE, node);
            session.show(&call, |reply| values(reply, key)).await
        }
        "explain" => {
            let call = Call::get_node(&format!("{TREE}/explain"), node);
            session.show(&call, |reply| origins(reply, key)).await
        }
        "history" => {
            let call = Call::get_node(&format!("{TREE}/history"), node);
            session.show(&call, |reply| changes(reply, key)).await
        }
        "set" => {
            let value = parse(matches.get_one::<String>("value"))?;
            set(session, matches, node, value).await
        }
        _ => set(session, matches, node, Value::Null).await,
    }
}

fn parse(raw: Option<&String>) -> Result<Value, Failure> {
    let raw = raw.map_or("", String::as_str);
    match serde_json::from_str(raw) {
        Ok(Value::Null) => Err(Failure::Usage(
            "null is no value; `settings unset` removes one".to_owned(),
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
    let read = Call::get_node(TREE, node).path;
    let change = session.options(matches, &read).await?;
    let key = matches.get_one::<String>("key").cloned();
    let body = Set {
        path: node.to_owned(),
        key: key.unwrap_or_default(),
        value,
        base: change.base,
        request: change.request.clone(),
        operator: change.operator.clone(),
    };
    session.change(Method::POST, TREE, &body, &change).await
}

fn wanted(key: Option<&str>, found: &str) -> bool {
    key.is_none_or(|key| key == found)
}

fn values(reply: &Settings, key: Option<&str>) -> String {
    let found = reply.values.iter().filter(|it| wanted(key, &it.key));
    let rows: Vec<_> = found
        .map(|it| [it.key.clone(), it.value.to_string()])
        .collect();
    table::render(["KEY", "VALUE"], &rows)
}

fn origins(reply: &Explanation, key: Option<&str>) -> String {
    let mut rows = Vec::new();
    for origin in reply.values.iter().filter(|it| wanted(key, &it.key)) {
        let source = origin.source.as_deref().map_or("default", shown);
        rows.push([
            origin.key.clone(),
            origin.value.to_string(),
            source.to_owned(),
            table::optional(origin.revision),
        ]);
        for hidden in &origin.overridden {
            rows.push([
                String::new(),
                hidden.value.to_string(),
                format!("{} (overridden)", shown(&hidden.source)),
                String::new(),
            ]);
        }
    }
    table::render(["KEY", "VALUE", "SOURCE", "REVISION"], &rows)
}

/// The root has an empty path, which would be invisible in a table.
fn shown(source: &str) -> &str {
    if source.is_empty() { "/" } else { source }
}

fn changes(reply: &History, key: Option<&str>) -> String {
    let found = reply.changes.iter().filter(|it| wanted(key, &it.key));
    let rows: Vec<_> = found
        .map(|it| {
            let value = if it.value.is_null() {
                "(unset)".to_owned()
            } else {
                it.value.to_string()
            };
            [
                it.revision.to_string(),
                it.key.clone(),
                value,
                it.operator.clone(),
                it.request.clone(),
            ]
        })
        .collect();
    table::render(["REVISION", "KEY", "VALUE", "OPERATOR", "REQUEST"], &rows)
}

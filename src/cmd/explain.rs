//! `explain`: the way of a request through the logs of all processes.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::failure::Failure;

/// Time before a request's first line in which changes of state may explain it.
const BEFORE: Duration = Duration::from_secs(5);

/// A line of a process's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Seconds, by the process's clock.
    pub at: f64,
    /// The file that it stands in.
    pub source: String,
    /// Its fields.
    pub fields: Value,
}

/// The subcommand.
pub fn command() -> Command {
    Command::new("explain")
        .about(
            "Show the decisions on a request, and the changes of state before it, from log files",
        )
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("Id of the request, as its caller sent it"),
        )
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .value_parser(value_parser!(PathBuf))
                .action(ArgAction::Append)
                .required(true)
                .num_args(1..)
                .help("Log files of proxies and coordinators, in JSON lines"),
        )
}

/// Shows the way of a request.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let mut lines = Vec::new();
    for path in matches.get_many::<PathBuf>("logs").into_iter().flatten() {
        let text = fs::read_to_string(path)
            .map_err(|error| Failure::Usage(format!("{}: {error}", path.display())))?;
        let source = path.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(text.lines().filter_map(|line| parse(&source, line)));
    }
    let found = select(lines, id);
    if found.is_empty() {
        return Err(Failure::Usage(format!("no line about request {id}")));
    }
    for line in &found {
        println!("{}", render(line, matches.get_flag("json")));
    }
    Ok(())
}

/// Reads a line. What stands before its JSON, such as the name of a machine, is its source.
#[must_use]
pub fn parse(source: &str, line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let fields: Value = serde_json::from_str(&line[start..]).ok()?;
    let prefix = line[..start].split_whitespace().next_back();
    Some(Line {
        at: seconds(fields.get("timestamp")?.as_str()?)?,
        source: prefix.unwrap_or(source).to_owned(),
        fields,
    })
}

/// Seconds within its month of a time stamp like `2026-02-17T16:57:30.604824Z`.
fn seconds(stamp: &str) -> Option<f64> {
    let (date, time) = stamp.trim_end_matches('Z').split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.split(':').map(str::parse::<f64>);
    let mut next = || parts.next()?.ok();
    Some(((day * 24.0 + next()?) * 60.0 + next()?) * 60.0 + next()?)
}

/// The lines about a request, and before them those about its service's primary and about contact
/// with coordinators, in order of time.
#[must_use]
pub fn select(lines: Vec<Line>, id: &str) -> Vec<Line> {
    let is_about = |line: &Line| line.fields.get("request").and_then(Value::as_str) == Some(id);
    let Some(last) = lines.iter().rfind(|line| is_about(line)).cloned() else {
        return Vec::new();
    };
    let service = last.fields.get("service").cloned();
    let took = last.fields.get("ms").and_then(number).unwrap_or(0.0) / 1000.0;
    let from = last.at - took - BEFORE.as_secs_f64();
    let mut found: Vec<Line> = lines
        .into_iter()
        .filter(|line| {
            let near = (from..=last.at).contains(&line.at);
            is_about(line) || (near && is_state(line, service.as_ref()))
        })
        .collect();
    found.sort_by(|a, b| a.at.total_cmp(&b.at));
    found
}

fn number(value: &Value) -> Option<f64> {
    value.as_f64().or_else(|| value.as_str()?.parse().ok())
}

/// Whether a line tells of a change of state that the service's statements depend on.
fn is_state(line: &Line, service: Option<&Value>) -> bool {
    let message = line.fields.get("message").and_then(Value::as_str);
    match message {
        Some(
            "primary of a service changed"
            | "change of primary"
            | "primary changed"
            | "promotion call",
        ) => line.fields.get("service") == service,
        Some(message) => {
            message.contains("unusable primaries")
                || message.starts_with("coordinator")
                || message.ends_with("started")
                || message == "stop asked for"
        }
        None => false,
    }
}

/// A line as JSON, or as text in the order of its fields.
fn render(line: &Line, json: bool) -> String {
    if json {
        let fields = serde_json::json!({ "source": line.source, "fields": line.fields });
        return fields.to_string();
    }
    let stamp = line.fields.get("timestamp").and_then(Value::as_str);
    let mut text = format!("{} {}", stamp.unwrap_or(""), line.source);
    for (name, value) in line.fields.as_object().into_iter().flatten() {
        if !["timestamp", "level", "request"].contains(&name.as_str()) {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            text.push_str(&format!(" {name}={value}"));
        }
    }
    text
}

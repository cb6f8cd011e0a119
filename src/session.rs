//! Requests of a command to control, and the output of the replies.

use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use admin::api::{Accepted, Id, Operator};
use admin::client::{Call, Client};
use admin::{Answer, Error};
use anyhow::Context;
use clap::{Arg, ArgMatches, Command, value_parser};
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use settings::Secret;
use types::Name;

use crate::failure::Failure;

/// Environment variable that holds the bearer token.
const TOKEN_VARIABLE: &str = "LIMPETTALLY_TOKEN";

/// Client of control, with the format of the output.
#[derive(Debug)]
pub struct Session {
    client: Client,
    json: bool,
}

/// Options of a change.
#[derive(Debug)]
pub struct Change {
    /// Revision that the change is based on.
    pub base: u64,
    pub request: Id,
    pub operator: Operator,
}

/// Part of every read reply: the revision of the catalog.
#[derive(Debug, Deserialize)]
struct Revision {
    revision: u64,
}

impl Session {
    /// Takes the options of the command line.
    pub fn new(matches: &ArgMatches) -> Result<Self, Failure> {
        let controls: Vec<SocketAddr> = matches
            .get_many("control")
            .map(|controls| controls.copied().collect())
            .unwrap_or_default();
        if controls.is_empty() {
            let text = "--control ADDRESS is missing: give the HTTP address of a control instance";
            return Err(Failure::Usage(text.to_owned()));
        }
        let timeout = matches.get_one("timeout-ms").copied().unwrap_or(10_000);
        let timeout = Duration::from_millis(timeout);
        Ok(Self {
            client: Client::new(controls, read_token(matches)?, timeout),
            json: matches.get_flag("json"),
        })
    }

    /// Sends a read request and prints the reply.
    pub async fn show<T: DeserializeOwned>(
        &self,
        call: &Call,
        render: impl FnOnce(&T) -> String,
    ) -> Result<(), Failure> {
        let answer = self.client.send(call).await;
        self.print(&answer.map_err(|unanswered| unanswered.cause)?, render)
    }

    /// Sends a change and prints the reply.
    pub async fn change(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
        change: &Change,
    ) -> Result<(), Failure> {
        let body = serde_json::to_string(body).context("encode the change")?;
        let call = Call::new(method, path, body);
        let answer = self.client.send(&call).await;
        let answer = answer.map_err(|unanswered| unanswered_error(unanswered, change))?;
        self.print(&answer, render_accepted)
    }

    /// Options of a change. If no base is given, the current revision is read from `path`.
    pub async fn change_options(
        &self,
        matches: &ArgMatches,
        path: &str,
    ) -> Result<Change, Failure> {
        let argument = |id| matches.get_one::<String>(id).cloned();
        let request = argument("request-id").unwrap_or_else(random_request_id);
        let operator = argument("operator").or_else(current_user).ok_or_else(|| {
            Failure::Usage("--operator NAME is missing and USER is not set".to_owned())
        })?;
        let request = Id::try_from(request);
        let operator = Operator::try_from(operator);
        Ok(Change {
            request: request.map_err(|error| Failure::Usage(format!("--request-id {error}")))?,
            operator: operator.map_err(|error| Failure::Usage(format!("--operator {error}")))?,
            base: match matches.get_one("base") {
                Some(base) => *base,
                None => self.revision(path).await?,
            },
        })
    }

    async fn revision(&self, path: &str) -> Result<u64, Failure> {
        let answer = self.client.send(&Call::get(path)).await;
        let answer = answer
            .map_err(|unanswered| unanswered.cause)
            .context("nothing was changed: reading the base revision failed")?;
        if self.json && answer.status != StatusCode::OK {
            return self
                .print(&answer, |_: &Revision| String::new())
                .map(|()| 0);
        }
        Ok(answer.decode::<Revision>()?.revision)
    }

    fn print<T: DeserializeOwned>(
        &self,
        answer: &Answer,
        render: impl FnOnce(&T) -> String,
    ) -> Result<(), Failure> {
        if !self.json {
            return print_text(&render(&answer.decode()?));
        }
        print_text(&format!("{}\n", answer.body))?;
        if answer.status == StatusCode::OK {
            Ok(())
        } else {
            Err(Failure::Printed)
        }
    }
}

/// Argument whose value is a [`Name`].
pub fn name_argument(id: &'static str, value: &'static str) -> Arg {
    Arg::new(id)
        .value_name(value)
        .value_parser(|raw: &str| Name::try_from(raw).map(|name| name.as_str().to_owned()))
}

/// Adds the options of a change to a subcommand.
pub fn with_change_options(command: Command) -> Command {
    let option = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    command
        .arg(
            option(
                "base",
                "REVISION",
                "Revision that the change is based on; default: the current revision",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(option(
            "request-id",
            "ID",
            "Request id; default: a random one. A repeated change with the same id runs only once",
        ))
        .arg(option(
            "operator",
            "NAME",
            "Operator to record with the change; default: the value of USER",
        ))
}

/// Error that says whether a change without an answer may have been accepted.
fn unanswered_error(unanswered: Error, change: &Change) -> anyhow::Error {
    let (request, base) = (change.request.as_str(), change.base);
    unanswered.cause.context(if unanswered.outcome_unknown {
        format!(
            "it is unknown whether the change was accepted; repeat the command with --request-id \
             {request} --base {base}: the change then runs at most once"
        )
    } else {
        "nothing was changed: no control instance handled the request".to_owned()
    })
}

fn render_accepted(reply: &Accepted) -> String {
    let mut text = format!("accepted at revision {}\n", reply.revision);
    if !reply.pending.is_empty() {
        text.push_str("not yet in force on: ");
        text.push_str(&reply.pending.join(", "));
        text.push_str(
            "\nthey are disconnected or slow; `limpettally status` shows their revisions\n",
        );
    }
    text
}

fn read_token(matches: &ArgMatches) -> Result<Secret, Failure> {
    let Some(file) = matches.get_one::<String>("token-file") else {
        let token = std::env::var(TOKEN_VARIABLE).map_err(|_| {
            Failure::Usage(format!(
                "--token-file FILE is missing and {TOKEN_VARIABLE} is not set"
            ))
        })?;
        return Ok(Secret::new(token));
    };
    let token = fs::read_to_string(file)
        .map_err(|error| Failure::Usage(format!("--token-file {file}: {error}")))?;
    Ok(Secret::new(token.trim().to_owned()))
}

/// Random request id, formatted as a version 4 UUID.
fn random_request_id() -> String {
    let bits = rand::random::<u128>();
    let bits = bits & !(0xF << 76) | 4 << 76;
    let bits = bits & !(0x3 << 62) | 2 << 62;
    let hex = format!("{bits:032x}");
    [
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..],
    ]
    .join("-")
}

fn current_user() -> Option<String> {
    std::env::var("USER").ok().filter(|user| !user.is_empty())
}

fn print_text(text: &str) -> Result<(), Failure> {
    match io::stdout().write_all(text.as_bytes()) {
        // The reader closed the pipe early, as `head` does.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        other => Ok(other.context("write to standard output")?),
    }
}

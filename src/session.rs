//! Calls of one command, and the output of their replies.

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

/// Environment variable with the bearer token.
const TOKEN: &str = "LIMPETTALLY_TOKEN";

/// Connection to control and form of the output.
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
    /// Request id.
    pub request: Id,
    /// Who asks.
    pub operator: Operator,
}

/// The part of a reply that names the revision of the catalog.
#[derive(Debug, Deserialize)]
struct Revision {
    revision: u64,
}

impl Session {
    /// Reads the options of the connection.
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
            client: Client::new(controls, token(matches)?, timeout),
            json: matches.get_flag("json"),
        })
    }

    /// Reads something and prints it.
    pub async fn show<T: DeserializeOwned>(
        &self,
        call: &Call,
        render: impl FnOnce(&T) -> String,
    ) -> Result<(), Failure> {
        let answer = self.client.send(call).await;
        self.print(&answer.map_err(|unanswered| unanswered.cause)?, render)
    }

    /// Sends a change and prints what became of it.
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
        let answer = answer.map_err(|unanswered| missing(unanswered, change))?;
        self.print(&answer, accepted)
    }

    /// The options of a change. The base, if it is not given, is read from `path`.
    pub async fn options(&self, matches: &ArgMatches, path: &str) -> Result<Change, Failure> {
        let given = |name| matches.get_one::<String>(name).cloned();
        let request = given("request-id").unwrap_or_else(random);
        let operator = given("operator").or_else(user).ok_or_else(|| {
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
            .context("nothing was changed: the base revision can't be read")?;
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
            return write(&render(&answer.decode()?));
        }
        write(&format!("{}\n", answer.body))?;
        if answer.status == StatusCode::OK {
            Ok(())
        } else {
            Err(Failure::Printed)
        }
    }
}

/// An argument that is a name.
pub fn name(id: &'static str, value: &'static str) -> Arg {
    Arg::new(id)
        .value_name(value)
        .value_parser(|raw: &str| Name::try_from(raw).map(|name| name.as_str().to_owned()))
}

/// Adds the options of a change to a subcommand.
pub fn with_options(command: Command) -> Command {
    let option = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    command
        .arg(
            option(
                "base",
                "REVISION",
                "Revision that the change is based on; read from control if it is not given",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(option(
            "request-id",
            "ID",
            "Request id; random if it is not given. A repeated change with the same id runs once",
        ))
        .arg(option(
            "operator",
            "NAME",
            "Who asks; USER if it is not given",
        ))
}

/// Says whether a change without an answer may have been accepted.
fn missing(unanswered: Error, change: &Change) -> anyhow::Error {
    let (request, base) = (change.request.as_str(), change.base);
    unanswered.cause.context(if unanswered.outcome_unknown {
        format!(
            "it is unknown whether the change was accepted; repeat the command with --request-id \
             {request} --base {base}, which never runs it twice"
        )
    } else {
        "nothing was changed: no control instance took the request".to_owned()
    })
}

fn accepted(reply: &Accepted) -> String {
    let mut text = format!("accepted at revision {}\n", reply.revision);
    if !reply.pending.is_empty() {
        text.push_str("not yet in force on: ");
        text.push_str(&reply.pending.join(", "));
        text.push_str("\nthese are cut off or slow; `limpettally status` shows their revisions\n");
    }
    text
}

fn token(matches: &ArgMatches) -> Result<Secret, Failure> {
    let Some(file) = matches.get_one::<String>("token-file") else {
        let token = std::env::var(TOKEN).map_err(|_| {
            Failure::Usage(format!(
                "--token-file FILE is missing and {TOKEN} is not set"
            ))
        })?;
        return Ok(Secret::new(token));
    };
    let token = fs::read_to_string(file)
        .map_err(|error| Failure::Usage(format!("--token-file {file}: {error}")))?;
    Ok(Secret::new(token.trim().to_owned()))
}

/// A random request id in the form of a UUID of version 4.
fn random() -> String {
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

fn user() -> Option<String> {
    std::env::var("USER").ok().filter(|user| !user.is_empty())
}

fn write(text: &str) -> Result<(), Failure> {
    match io::stdout().write_all(text.as_bytes()) {
        // The reader has what it wants, such as `head`.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        other => Ok(other.context("write to standard output")?),
    }
}

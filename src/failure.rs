//! Why a command failed, and what the operator can do.

use std::fmt::Write;
use std::process::ExitCode;

use admin::Refusal;
use admin::api::{Conflict, Failure as Reason, Finding, Reason as Kind};
use settings::Report;

/// Outcome of a command that was not carried out.
#[derive(Debug)]
pub enum Failure {
    /// The command line is wrong.
    Usage(String),
    /// A settings file has findings.
    Settings(Report),
    /// Control refused the request.
    Refused(Refusal),
    /// Control refused the request and its reply is printed already.
    Printed,
    /// No answer, or an error of this machine.
    Failed(anyhow::Error),
}

impl From<anyhow::Error> for Failure {
    fn from(error: anyhow::Error) -> Self {
        Self::Failed(error)
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl Failure {
    /// Writes the failure to standard error; returns its exit code.
    pub fn report(&self) -> ExitCode {
        match self {
            Self::Usage(text) => {
                eprintln!("{text}; see limpettally --help");
                ExitCode::from(2)
            }
            Self::Settings(report) => limpettally::args::refuse(report),
            Self::Refused(refusal) => {
                eprintln!("{}", advice(refusal));
                ExitCode::FAILURE
            }
            Self::Printed => ExitCode::FAILURE,
            Self::Failed(error) => {
                eprintln!("{error:#}");
                ExitCode::FAILURE
            }
        }
    }
}

fn advice(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Conflict(conflict) => lost(conflict),
        Refusal::Findings(findings) => faults(findings),
        Refusal::Failure(failure) => match hint(failure) {
            "" => failure.text.clone(),
            hint => format!("{}; {hint}", failure.text),
        },
        Refusal::Unrecognized(status, text) => format!(
            "the reply has status {status} and is not of this API: {text}; check that --control \
             names the HTTP address of a control instance"
        ),
    }
}

fn lost(conflict: &Conflict) -> String {
    let Conflict {
        request,
        revision,
        operator,
    } = conflict;
    format!(
        "not accepted: the change {request} by {operator} at revision {revision} came first; look \
         at the present state and repeat the command if it still applies"
    )
}

fn faults(findings: &[Finding]) -> String {
    let mut text = "not accepted; correct this and repeat the command:".to_owned();
    for finding in findings {
        // Writing to a string does not fail.
        let _infallible = write!(text, "\n  {}: {}", finding.path, finding.text);
    }
    text
}

fn hint(failure: &Reason) -> &'static str {
    match failure.reason {
        Kind::NoQuorum | Kind::NotLeader => {
            "start the missing control instances, or give more addresses with --control"
        }
        Kind::Unknown => "repeat the command with the same --request-id",
        Kind::Unauthorized => "give the token with --token-file or LIMPETTALLY_TOKEN",
        Kind::NotFound => "the list subcommands and `limpettally status` show the names",
        Kind::BadMethod => "the control instance has another version than this program",
        Kind::Refused => "",
    }
}

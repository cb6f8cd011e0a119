//! Failures of a command, and advice for the operator.

use std::fmt::Write;
use std::process::ExitCode;

use admin::Refusal;
use admin::api::{Conflict, Failure as Rejection, Finding, Reason};
use settings::Report;

/// Reason why a command was not carried out.
#[derive(Debug)]
pub enum Failure {
    /// The command line is invalid.
    Usage(String),
    Settings(Report),
    Refused(Refusal),
    /// Control refused the request, and its reply has been printed.
    Printed,
    /// There was no answer, or an operation on this machine failed.
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
    /// Prints the failure to standard error and returns its exit code.
    pub fn report(&self) -> ExitCode {
        match self {
            Self::Usage(text) => {
                eprintln!("{text}; see limpettally --help");
                ExitCode::from(2)
            }
            Self::Settings(report) => limpettally::args::print_findings(report),
            Self::Refused(refusal) => {
                eprintln!("{}", describe(refusal));
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

fn describe(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Conflict(conflict) => describe_conflict(conflict),
        Refusal::Findings(findings) => describe_findings(findings),
        Refusal::Failure(failure) => match hint(failure) {
            "" => failure.text.clone(),
            hint => format!("{}; {hint}", failure.text),
        },
        Refusal::Unrecognized(status, text) => format!(
            "the reply with status {status} does not belong to this API: {text}; check that \
             --control names the HTTP address of a control instance"
        ),
    }
}

fn describe_conflict(conflict: &Conflict) -> String {
    let Conflict {
        request,
        revision,
        operator,
    } = conflict;
    format!(
        "not accepted: the change {request} by {operator} at revision {revision} came first; check \
         the current state and repeat the command if the change still applies"
    )
}

fn describe_findings(findings: &[Finding]) -> String {
    let mut text = "not accepted; correct these findings and repeat the command:".to_owned();
    for finding in findings {
        // Writing to a string does not fail.
        let _infallible = write!(text, "\n  {}: {}", finding.path, finding.text);
    }
    text
}

fn hint(failure: &Rejection) -> &'static str {
    match failure.reason {
        Reason::NoQuorum | Reason::NotLeader => {
            "start the missing control instances, or give more addresses with --control"
        }
        Reason::Unknown => "repeat the command with the same --request-id",
        Reason::Unauthorized => "give the token with --token-file or LIMPETTALLY_TOKEN",
        Reason::NotFound => "the list subcommands and `limpettally status` show the names",
        Reason::BadMethod => "the control instance and this program have different versions",
        Reason::Refused => "",
    }
}

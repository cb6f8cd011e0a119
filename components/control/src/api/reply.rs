//! Replies to changes, and the reason under which each refusal is counted.

use admin::api::{self, Reason};
use admin::{Fault, Reply};
use catalog::{Catalog, Command, Findings, Outcome, Winner};
use types::Revision;

/// The revision of an accepted change, or the reply to one that was not accepted.
///
/// `catalog` is the state after the change.
///
/// # Errors
/// Returns the reply to a change that was not accepted.
pub fn from_outcome(
    command: &Command,
    outcome: &Outcome,
    catalog: &Catalog,
) -> Result<Revision, Box<Reply>> {
    let refusal = match outcome {
        Outcome::Applied(revision) => return Ok(*revision),
        Outcome::Unchanged => return Ok(catalog.revision()),
        Outcome::Conflict(winner) => conflict(winner),
        Outcome::Refused(found) => match command {
            Command::Mark { target, .. } if catalog.target(target.as_str()).is_none() => {
                Reply::not_found(&format!("target {target}"))
            }
            Command::Fence {
                database, reason, ..
            } => match catalog.database(database.as_str()) {
                // A resend that arrived before the first request was committed.
                Some(database) if database.reason() == reason => return Ok(database.phase_since()),
                _ => Reply::refused(Findings(found.clone()).to_string()),
            },
            // It has no fields that could be wrong; only the state of the system can refuse it.
            Command::Retire { .. } => Reply::refused(Findings(found.clone()).to_string()),
            _ => findings(found),
        },
    };
    Err(refusal.into())
}

/// Reply to a committed change that the entries `pending` have not confirmed.
#[must_use]
pub fn accepted(revision: Revision, pending: Vec<String>) -> Reply {
    Reply::Accepted(api::Accepted {
        revision: revision.0,
        pending,
    })
}

/// Reply to a change that lost against another one.
#[must_use]
pub fn conflict(winner: &Winner) -> Reply {
    Reply::Conflict(api::Conflict {
        request: winner.request.to_string(),
        revision: winner.revision.0,
        operator: winner.operator.to_string(),
    })
}

/// Reply that lists all findings about a request.
#[must_use]
pub fn findings(found: &[catalog::Finding]) -> Reply {
    let finding = |finding: &catalog::Finding| api::Finding {
        path: finding.path.clone(),
        text: finding.text.clone(),
    };
    Fault::Findings(found.iter().map(finding).collect()).into()
}

/// Reason of a refusal in the counter `refusals`; `None` if the reply is not a refusal.
#[must_use]
pub fn refusal_reason(reply: &Reply) -> Option<&'static str> {
    match reply {
        Reply::Status(_)
        | Reply::Targets(_)
        | Reply::Settings(_)
        | Reply::Explanation(_)
        | Reply::History(_)
        | Reply::Members(_)
        | Reply::Accepted(_)
        | Reply::Announced => None,
        Reply::Conflict(_) => Some("conflict"),
        Reply::Findings(_) => Some("findings"),
        Reply::NotLeader(_) => Some("not_leader"),
        Reply::Failed(reason, _) => Some(match reason {
            Reason::NoQuorum => "no_quorum",
            Reason::NotLeader => "not_leader",
            Reason::Unknown => "unknown",
            Reason::Unauthorized => "unauthorized",
            Reason::NotFound => "not_found",
            Reason::BadMethod => "bad_method",
            Reason::Refused => "refused",
        }),
    }
}

//! Configuration parameters of SHOW and SET.

use std::collections::HashMap;

use crate::failure::{Outcome, failure};

/// Parameters that are reported to the client at start-up and whenever they change.
pub(crate) const REPORTED: [(&str, &str); 8] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
    ("integer_datetimes", "on"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("application_name", ""),
];

/// Other parameters that clients commonly use.
const UNREPORTED: [(&str, &str); 13] = [
    ("search_path", "\"$user\", public"),
    ("statement_timeout", "0"),
    ("lock_timeout", "0"),
    ("idle_in_transaction_session_timeout", "0"),
    ("transaction_isolation", "read committed"),
    ("default_transaction_isolation", "read committed"),
    ("default_transaction_read_only", "off"),
    ("transaction_read_only", "off"),
    ("extra_float_digits", "1"),
    ("client_min_messages", "notice"),
    ("synchronous_commit", "on"),
    ("bytea_output", "hex"),
    ("in_hot_standby", "off"),
];

const READ_ONLY: [&str; 5] = [
    "server_version",
    "server_encoding",
    "integer_datetimes",
    "in_hot_standby",
    "transaction_isolation",
];

fn find_default(name: &str) -> Option<(&'static str, &'static str)> {
    let mut parameters = REPORTED.iter().chain(&UNREPORTED);
    parameters
        .find(|(parameter, _)| parameter.eq_ignore_ascii_case(name))
        .copied()
}

/// Name with the case that clients are sent, if the parameter is reported.
pub(crate) fn reported_name(name: &str) -> Option<&'static str> {
    let mut names = REPORTED.iter().map(|(parameter, _)| *parameter);
    names.find(|parameter| parameter.eq_ignore_ascii_case(name))
}

/// Value of a parameter in a session with the given settings.
pub(crate) fn show(
    name: &str,
    settings: &HashMap<String, String>,
    in_recovery: bool,
) -> Outcome<String> {
    let name = name.to_lowercase();
    if in_recovery && (name == "in_hot_standby" || name == "transaction_read_only") {
        return Ok("on".to_owned());
    }
    if let Some(value) = settings.get(&name) {
        return Ok(value.clone());
    }
    match find_default(&name) {
        Some((_, value)) => Ok(value.to_owned()),
        None => failure(
            "42704",
            format!("unrecognized configuration parameter \"{name}\""),
        ),
    }
}

/// Checks that a parameter can be set; names with a dot belong to extensions and are all accepted.
pub(crate) fn check_settable(name: &str) -> Outcome<()> {
    if READ_ONLY.contains(&name) && name != "transaction_isolation" {
        return failure("55P02", format!("parameter \"{name}\" cannot be changed"));
    }
    if !name.contains('.') && find_default(name).is_none() {
        let text = format!("unrecognized configuration parameter \"{name}\"");
        return failure("42704", text);
    }
    Ok(())
}

//! Run-time parameters of SHOW and SET.

use std::collections::HashMap;

use crate::failure::{Outcome, failure};

/// Parameters that a server reports at start-up and whenever they change.
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

/// Other parameters that clients commonly set or show.
const SILENT: [(&str, &str); 13] = [
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

const FIXED: [&str; 5] = [
    "server_version",
    "server_encoding",
    "integer_datetimes",
    "in_hot_standby",
    "transaction_isolation",
];

fn default(name: &str) -> Option<(&'static str, &'static str)> {
    let mut all = REPORTED.iter().chain(&SILENT);
    all.find(|(known, _)| known.eq_ignore_ascii_case(name))
        .copied()
}

/// Name under which a change is reported, if it is.
pub(crate) fn reported(name: &str) -> Option<&'static str> {
    let mut names = REPORTED.iter().map(|(known, _)| *known);
    names.find(|known| known.eq_ignore_ascii_case(name))
}

/// Value of a parameter.
pub(crate) fn show(name: &str, own: &HashMap<String, String>, recovery: bool) -> Outcome<String> {
    let name = name.to_lowercase();
    if recovery && (name == "in_hot_standby" || name == "transaction_read_only") {
        return Ok("on".to_owned());
    }
    if let Some(value) = own.get(&name) {
        return Ok(value.clone());
    }
    match default(&name) {
        Some((_, value)) => Ok(value.to_owned()),
        None => failure(
            "42704",
            format!("unrecognized configuration parameter \"{name}\""),
        ),
    }
}

/// Checks that a parameter may be set; names with a dot belong to extensions and are free.
pub(crate) fn check(name: &str) -> Outcome<()> {
    if FIXED.contains(&name) && name != "transaction_isolation" {
        return failure("55P02", format!("parameter \"{name}\" cannot be changed"));
    }
    if !name.contains('.') && default(name).is_none() {
        let text = format!("unrecognized configuration parameter \"{name}\"");
        return failure("42704", text);
    }
    Ok(())
}

//! Loads and validates a settings file.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::check::Check;
use crate::finding::{Findings, Report};
use crate::schema::{Invalid, Schema};

/// Settings of one kind of process, such as an entry or a coordinator.
pub trait Kind: Sized + TryFrom<Self::Raw, Error = Invalid> {
    /// The generated type that the file deserializes to.
    type Raw: DeserializeOwned;
    /// Text of the JSON Schema.
    const SCHEMA: &'static str;
    /// Checks rules across fields. Also called for documents that violate the schema.
    fn check(check: &mut Check<'_, '_>);
}

/// Ports that an address may have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ports {
    /// Any port but 0, since other processes could not know the port that the system picks.
    Fixed,
    /// Any port including 0, for tests that read the port from the listener.
    Any,
}

/// Loads the settings file at `path`.
///
/// # Errors
/// Returns all findings in the file.
pub fn load<T: Kind>(path: &Path) -> Result<T, Report> {
    load_with(path, Ports::Fixed)
}

/// Loads the settings file at `path`, with the given rule for ports.
///
/// # Errors
/// Returns all findings in the file.
pub fn load_with<T: Kind>(path: &Path, ports: Ports) -> Result<T, Report> {
    match fs::read_to_string(path) {
        Ok(text) => parse(path, &text, ports),
        Err(error) => {
            let mut findings = Findings::new(path);
            findings.push("", format!("cannot be read: {error}"));
            Err(findings.report())
        }
    }
}

/// Parses and checks `text`, the content of the settings file at `path`.
///
/// # Errors
/// Returns all findings in the text.
pub fn parse<T: Kind>(path: &Path, text: &str, ports: Ports) -> Result<T, Report> {
    let mut findings = Findings::new(path);
    if let Some(settings) = check_and_convert(text, ports, &mut findings) {
        return Ok(settings);
    }
    Err(findings.report())
}

/// Returns `None` only after adding a finding.
fn check_and_convert<T: Kind>(text: &str, ports: Ports, findings: &mut Findings<'_>) -> Option<T> {
    let document: Value = match serde_json::from_str(text) {
        Ok(document) => document,
        // The text of the error includes the line and the column.
        Err(error) => {
            findings.push("", format!("is not JSON: {error}"));
            return None;
        }
    };
    match Schema::new(T::SCHEMA, None) {
        Ok(schema) => {
            for Invalid { path, text } in schema.check(&document) {
                findings.push(path, text);
            }
        }
        Err(error) => findings.push("", format!("the schema is invalid: {error:#}")),
    }
    T::check(&mut Check::new(&document, ports, findings));
    if !findings.is_empty() {
        return None;
    }
    let raw: T::Raw = match serde_json::from_value(document) {
        Ok(raw) => raw,
        Err(error) => {
            findings.push("", error.to_string());
            return None;
        }
    };
    T::try_from(raw)
        .map_err(|invalid| findings.push(invalid.path, invalid.text))
        .ok()
}

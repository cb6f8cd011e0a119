//! Loading of a settings file.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::check::Check;
use crate::finding::{Findings, Report};
use crate::schema::{Invalid, Schema};

/// Settings of one kind of process.
pub trait Kind: Sized + TryFrom<Self::Raw, Error = Invalid> {
    /// The file as it is written.
    type Raw: DeserializeOwned;
    /// Text of the JSON Schema.
    const SCHEMA: &'static str;
    /// Checks across fields. They see the document even if it breaks the schema.
    fn check(check: &mut Check<'_, '_>);
}

/// Which ports an address may name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ports {
    /// Any but 0, since peers could not know the port that the system picks.
    Fixed,
    /// Also 0; for tests that read the port from the listener.
    Any,
}

/// Loads the settings file at `path`.
///
/// # Errors
/// Returns everything that is wrong in the file.
pub fn load<T: Kind>(path: &Path) -> Result<T, Report> {
    load_with(path, Ports::Fixed)
}

/// Loads the settings file at `path` with a rule for ports.
///
/// # Errors
/// Returns everything that is wrong in the file.
pub fn load_with<T: Kind>(path: &Path, ports: Ports) -> Result<T, Report> {
    match fs::read_to_string(path) {
        Ok(text) => parse(path, &text, ports),
        Err(error) => {
            let mut findings = Findings::new(path);
            findings.push("", format!("can't be read: {error}"));
            Err(findings.report())
        }
    }
}

/// Checks `text`, the content of the settings file at `path`.
///
/// # Errors
/// Returns everything that is wrong in the text.
pub fn parse<T: Kind>(path: &Path, text: &str, ports: Ports) -> Result<T, Report> {
    let mut findings = Findings::new(path);
    if let Some(settings) = convert(text, ports, &mut findings) {
        return Ok(settings);
    }
    Err(findings.report())
}

/// Returns none only after a finding.
fn convert<T: Kind>(text: &str, ports: Ports, findings: &mut Findings<'_>) -> Option<T> {
    let document: Value = match serde_json::from_str(text) {
        Ok(document) => document,
        // The error's text holds the line and the column.
        Err(error) => {
            findings.push("", format!("is no JSON: {error}"));
            return None;
        }
    };
    match Schema::new(T::SCHEMA, None) {
        Ok(schema) => {
            for Invalid { path, text } in schema.check(&document) {
                findings.push(path, text);
            }
        }
        Err(error) => findings.push("", format!("the schema is broken: {error:#}")),
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

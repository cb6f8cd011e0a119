//! Parses request bodies and validates them against the schema.

use std::sync::LazyLock;

use anyhow::Result;
use serde::de::DeserializeOwned;
use serde_json::Value;
use settings::{Invalid, Schema};

use crate::api;

const SCHEMA_JSON: &str = include_str!("../../../schema/api.json");

/// A type of request body that has a schema.
pub(crate) trait Body: DeserializeOwned {
    /// The schema of this type. Compiled only once, as an entry parses an announcement of each
    /// target of its failure domain every third of the announcement's time to live.
    fn schema() -> &'static Result<Schema>;
}

macro_rules! body {
    ($body:ident, $definition:expr) => {
        impl Body for api::$body {
            fn schema() -> &'static Result<Schema> {
                static SCHEMA: LazyLock<Result<Schema>> =
                    LazyLock::new(|| Schema::new(SCHEMA_JSON, $definition));
                &SCHEMA
            }
        }
    };
}

body!(Announcement, None);
body!(Mark, Some("Mark"));
body!(Retire, Some("Retire"));
body!(Set, Some("Set"));
body!(Join, Some("Join"));
body!(Switch, Some("Switch"));

/// Parses a body, or returns all findings about it.
pub(crate) fn parse<T: Body>(bytes: &[u8]) -> Result<T, Vec<Invalid>> {
    let document_finding = |text: String| {
        vec![Invalid {
            path: String::new(),
            text,
        }]
    };
    let document: Value = serde_json::from_slice(bytes)
        .map_err(|error| document_finding(format!("is no JSON: {error}")))?;
    let schema = T::schema()
        .as_ref()
        .map_err(|error| document_finding(format!("the schema is broken: {error:#}")))?;
    let findings = schema.check(&document);
    if findings.is_empty() {
        serde_json::from_value(document).map_err(|error| document_finding(error.to_string()))
    } else {
        Err(findings)
    }
}

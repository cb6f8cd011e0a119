//! Bodies of requests, checked against the schema.

use std::sync::LazyLock;

use anyhow::Result;
use serde::de::DeserializeOwned;
use serde_json::Value;
use settings::{Invalid, Schema};

use crate::api;

const TEXT: &str = include_str!("../../../schema/api.json");

/// A body with a schema.
pub(crate) trait Body: DeserializeOwned {
    /// Its schema. Compiled once: an entry takes an announcement of each target of its domain
    /// every third of its time to live.
    fn schema() -> &'static Result<Schema>;
}

macro_rules! body {
    ($kind:ident, $definition:expr) => {
        impl Body for api::$kind {
            fn schema() -> &'static Result<Schema> {
                static SCHEMA: LazyLock<Result<Schema>> =
                    LazyLock::new(|| Schema::new(TEXT, $definition));
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

/// Parses a body, or returns everything that is wrong in it.
pub(crate) fn parse<T: Body>(bytes: &[u8]) -> Result<T, Vec<Invalid>> {
    let whole = |text: String| {
        vec![Invalid {
            path: String::new(),
            text,
        }]
    };
    let document: Value =
        serde_json::from_slice(bytes).map_err(|error| whole(format!("is no JSON: {error}")))?;
    let schema = T::schema()
        .as_ref()
        .map_err(|error| whole(format!("the schema is broken: {error:#}")))?;
    let found = schema.check(&document);
    if found.is_empty() {
        serde_json::from_value(document).map_err(|error| whole(error.to_string()))
    } else {
        Err(found)
    }
}

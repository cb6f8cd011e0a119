//! Validates a document against a JSON Schema.

use anyhow::{Context, Result};
use jsonschema::Validator;
use jsonschema::error::ValidationErrorKind;
use serde_json::{Value, json};

/// A value of a document that violates a rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Invalid {
    /// JSON pointer of the value; empty for the document as a whole.
    pub path: String,
    /// Description of the violation. Does not contain the value, since that may be a secret.
    pub text: String,
}

/// A compiled JSON Schema.
#[derive(Debug)]
pub struct Schema(Validator);

impl Schema {
    /// Compiles the schema in `text`, or the schema with the name `definition` in its
    /// `definitions`.
    ///
    /// # Errors
    /// Fails if the text is not a JSON Schema.
    pub fn new(text: &str, definition: Option<&str>) -> Result<Self> {
        let mut schema: Value = serde_json::from_str(text).context("parse the schema")?;
        if let Some(name) = definition {
            let definitions = schema["definitions"].take();
            schema = json!({
                "$schema": schema["$schema"],
                "$ref": format!("#/definitions/{name}"),
                "definitions": definitions,
            });
        }
        let validator = jsonschema::validator_for(&schema).context("compile the schema")?;
        Ok(Self(validator))
    }

    /// All violations of the schema in `document`.
    #[must_use]
    pub fn check(&self, document: &Value) -> Vec<Invalid> {
        let mut violations = Vec::new();
        let mut push = |path: String, text: &str| {
            let text = text.to_owned();
            violations.push(Invalid { path, text });
        };
        for error in self.0.iter_errors(document) {
            let path = error.instance_path().as_str();
            match error.kind() {
                ValidationErrorKind::AdditionalProperties { unexpected } => {
                    for key in unexpected {
                        push(format!("{path}/{key}"), "unknown key");
                    }
                }
                ValidationErrorKind::Required { property } => {
                    let key = property.as_str().unwrap_or_default();
                    push(format!("{path}/{key}"), "missing");
                }
                _ => push(path.to_owned(), &error.masked().to_string()),
            }
        }
        violations
    }
}

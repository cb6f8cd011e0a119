//! Generates the keys of the settings tree from `schema/settings/tree.json`: an enum of the keys, a
//! table with their bounds, and a struct with a value for each.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use anyhow::{Context, Result, ensure};
use serde_json::{Map, Value};

use crate::Files;
use crate::messages::HEADER;

/// Levels of the settings tree, from the root down.
const LEVELS: [&str; 7] = [
    "organisation",
    "region",
    "domain",
    "service",
    "database",
    "group",
    "target",
];

/// A key as defined by the schema.
struct Key<'a> {
    name: &'a str,
    description: &'a str,
    default: u64,
    minimum: u64,
    maximum: u64,
    max_depth: usize,
}

/// Adds the file with the keys of the settings tree.
pub fn generate(root: &Path, files: &mut Files) -> Result<()> {
    let path = root.join("schema/settings/tree.json");
    let text = fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let code = generate_code(&text).with_context(|| format!("generate from {}", path.display()))?;
    files.insert(
        "components/catalog/src/generated.rs".into(),
        format!("{HEADER}\n{code}"),
    );
    Ok(())
}

fn generate_code(text: &str) -> Result<String> {
    let schema: Value = serde_json::from_str(text).context("parse the schema")?;
    let properties = schema["properties"]
        .as_object()
        .context("schema without properties")?;
    let keys = properties
        .iter()
        .map(|(name, raw)| parse_key(name, raw).with_context(|| name.clone()))
        .collect::<Result<Vec<_>>>()?;
    let mut out = String::new();
    write_enum(&mut out, &keys)?;
    write_table(&mut out, &keys)?;
    write_values(&mut out, &keys)?;
    let syntax = syn::parse_file(&out).context("parse generated code")?;
    Ok(prettyplease::unparse(&syntax))
}

fn parse_key<'a>(name: &'a str, raw: &'a Value) -> Result<Key<'a>> {
    let raw = raw.as_object().context("not an object")?;
    ensure!(
        raw.get("type") == Some(&Value::from("integer")),
        "type is not integer"
    );
    let key = Key {
        name,
        description: raw["description"]
            .as_str()
            .context("key without a description")?,
        default: number(raw, "default")?,
        minimum: number(raw, "minimum")?,
        maximum: number(raw, "maximum")?,
        max_depth: max_depth(raw)?,
    };
    ensure!(
        key.maximum <= u64::from(u32::MAX),
        "maximum does not fit into u32"
    );
    ensure!(
        (key.minimum..=key.maximum).contains(&key.default),
        "default is out of bounds"
    );
    Ok(key)
}

/// Returns the unsigned integer at `field`.
fn number(raw: &Map<String, Value>, field: &'static str) -> Result<u64> {
    raw.get(field).and_then(Value::as_u64).context(field)
}

/// Number of levels of a path at which the key may be set: up to and including the level
/// `x-deepest`.
fn max_depth(raw: &Map<String, Value>) -> Result<usize> {
    let Some(level) = raw.get("x-deepest") else {
        return Ok(LEVELS.len());
    };
    let index = LEVELS.iter().position(|name| level == name);
    Ok(index.context("x-deepest names no level")? + 1)
}

fn variant_name(name: &str) -> String {
    let words = name.split(['.', '_']);
    words
        .map(|word| word[..1].to_uppercase() + &word[1..])
        .collect()
}

fn field_name(name: &str) -> String {
    name.replace('.', "_")
}

fn write_enum(out: &mut String, keys: &[Key<'_>]) -> Result<()> {
    writeln!(out, "/// A key of the settings tree.")?;
    writeln!(
        out,
        "#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)] pub enum Key {{"
    )?;
    for key in keys {
        writeln!(out, "/// {}\n{},", key.description, variant_name(key.name))?;
    }
    writeln!(out, "}}")?;
    Ok(())
}

fn write_table(out: &mut String, keys: &[Key<'_>]) -> Result<()> {
    writeln!(
        out,
        "/// Every key with its bounds, in the order of [`Key`]."
    )?;
    writeln!(
        out,
        "pub const TABLE: [crate::tree::Spec; {}] = [",
        keys.len()
    )?;
    for key in keys {
        writeln!(
            out,
            "crate::tree::Spec {{ key: Key::{}, name: {:?}, about: {:?}, default: {}, min: {}, max: {}, deepest: {} }},",
            variant_name(key.name),
            key.name,
            key.description,
            key.default,
            key.minimum,
            key.maximum,
            key.max_depth
        )?;
    }
    writeln!(out, "];")?;
    Ok(())
}

fn write_values(out: &mut String, keys: &[Key<'_>]) -> Result<()> {
    writeln!(out, "/// Value of every key at one place of the tree.")?;
    writeln!(
        out,
        "#[derive(Clone, Debug, Eq, PartialEq)] pub struct Values {{"
    )?;
    for key in keys {
        writeln!(
            out,
            "/// {}\npub {}: u32,",
            key.description,
            field_name(key.name)
        )?;
    }
    writeln!(
        out,
        "}} impl Default for Values {{ fn default() -> Self {{ Self {{"
    )?;
    for key in keys {
        writeln!(out, "{}: {},", field_name(key.name), key.default)?;
    }
    writeln!(
        out,
        "}} }} }} impl Values {{ /// The value of `key`.\n#[must_use]"
    )?;
    writeln!(
        out,
        "pub const fn get(&self, key: Key) -> u32 {{ match key {{"
    )?;
    for key in keys {
        writeln!(
            out,
            "Key::{} => self.{},",
            variant_name(key.name),
            field_name(key.name)
        )?;
    }
    writeln!(
        out,
        "}} }} pub(crate) const fn set(&mut self, key: Key, value: u32) {{"
    )?;
    writeln!(out, "let place = match key {{")?;
    for key in keys {
        writeln!(
            out,
            "Key::{} => &mut self.{},",
            variant_name(key.name),
            field_name(key.name)
        )?;
    }
    writeln!(out, "}}; *place = value; }} }}")?;
    Ok(())
}

//! Keys of the settings tree: `schema/settings/tree.json` to a table of keys and a typed struct.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use anyhow::{Context, Result, ensure};
use serde_json::{Map, Value};

use crate::Files;
use crate::messages::HEAD;

const LEVELS: [&str; 7] = [
    "organisation",
    "region",
    "domain",
    "service",
    "database",
    "group",
    "target",
];

/// One key as the schema states it.
struct Key<'a> {
    name: &'a str,
    about: &'a str,
    default: u64,
    min: u64,
    max: u64,
    deepest: usize,
}

/// Adds the file of the settings keys.
pub fn generate(root: &Path, files: &mut Files) -> Result<()> {
    let path = root.join("schema/settings/tree.json");
    let text = fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let code = convert(&text).with_context(|| format!("generate from {}", path.display()))?;
    files.insert(
        "components/catalog/src/generated.rs".into(),
        format!("{HEAD}\n{code}"),
    );
    Ok(())
}

fn convert(text: &str) -> Result<String> {
    let schema: Value = serde_json::from_str(text).context("parse")?;
    let properties = schema["properties"].as_object().context("properties")?;
    let keys = properties
        .iter()
        .map(|(name, raw)| key(name, raw).with_context(|| name.clone()))
        .collect::<Result<Vec<_>>>()?;
    let mut out = String::new();
    write_enum(&mut out, &keys)?;
    write_table(&mut out, &keys)?;
    write_values(&mut out, &keys)?;
    let tree = syn::parse_file(&out).context("parse generated code")?;
    Ok(prettyplease::unparse(&tree))
}

fn key<'a>(name: &'a str, raw: &'a Value) -> Result<Key<'a>> {
    let raw = raw.as_object().context("no object")?;
    ensure!(raw.get("type") == Some(&Value::from("integer")), "type");
    let key = Key {
        name,
        about: raw["description"].as_str().context("description")?,
        default: number(raw, "default")?,
        min: number(raw, "minimum")?,
        max: number(raw, "maximum")?,
        deepest: deepest(raw)?,
    };
    ensure!(key.max <= u64::from(u32::MAX), "maximum");
    ensure!((key.min..=key.max).contains(&key.default), "default");
    Ok(key)
}

fn number(raw: &Map<String, Value>, field: &'static str) -> Result<u64> {
    raw.get(field).and_then(Value::as_u64).context(field)
}

fn deepest(raw: &Map<String, Value>) -> Result<usize> {
    let Some(level) = raw.get("x-deepest") else {
        return Ok(LEVELS.len());
    };
    let index = LEVELS.iter().position(|name| level == name);
    Ok(index.context("x-deepest")? + 1)
}

fn variant(name: &str) -> String {
    let parts = name.split(['.', '_']);
    parts
        .map(|part| part[..1].to_uppercase() + &part[1..])
        .collect()
}

fn field(name: &str) -> String {
    name.replace('.', "_")
}

fn write_enum(out: &mut String, keys: &[Key<'_>]) -> Result<()> {
    writeln!(out, "/// A key of the settings tree.")?;
    writeln!(
        out,
        "#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)] pub enum Key {{"
    )?;
    for key in keys {
        writeln!(out, "/// {}\n{},", key.about, variant(key.name))?;
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
            variant(key.name),
            key.name,
            key.about,
            key.default,
            key.min,
            key.max,
            key.deepest
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
        writeln!(out, "/// {}\npub {}: u32,", key.about, field(key.name))?;
    }
    writeln!(
        out,
        "}} impl Default for Values {{ fn default() -> Self {{ Self {{"
    )?;
    for key in keys {
        writeln!(out, "{}: {},", field(key.name), key.default)?;
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
            variant(key.name),
            field(key.name)
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
            variant(key.name),
            field(key.name)
        )?;
    }
    writeln!(out, "}}; *place = value; }} }}")?;
    Ok(())
}

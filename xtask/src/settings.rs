//! Generates the types of settings files, traces and the administration API from JSON Schemas by
//! typify.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result, anyhow};
use typify::{TypeSpace, TypeSpaceSettings};

use crate::Files;
use crate::messages::HEADER;

/// Schema files and the Rust files generated from them.
const SOURCES: [(&str, &str); 7] = [
    (
        "schema/settings/control.json",
        "components/settings/src/generated/control.rs",
    ),
    (
        "schema/settings/entry.json",
        "components/settings/src/generated/entry.rs",
    ),
    (
        "schema/settings/coordinator.json",
        "components/settings/src/generated/coordinator.rs",
    ),
    (
        "schema/settings/proxy.json",
        "components/settings/src/generated/proxy.rs",
    ),
    (
        "schema/settings/standin.json",
        "components/settings/src/generated/standin.rs",
    ),
    ("schema/trace.json", "components/replay/src/generated.rs"),
    ("schema/api.json", "components/admin/src/generated.rs"),
];

/// Adds the files with the types of settings, traces and the administration API.
pub fn generate(root: &Path, files: &mut Files) -> Result<()> {
    for (schema_path, generated_path) in SOURCES {
        let path = root.join(schema_path);
        let text = fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
        let code =
            generate_types(&text).with_context(|| format!("generate from {}", path.display()))?;
        files.insert(generated_path.into(), format!("{HEADER}\n{code}"));
    }
    Ok(())
}

fn generate_types(text: &str) -> Result<String> {
    let schema: schemars::schema::RootSchema =
        serde_json::from_str(text).context("parse the schema")?;
    let mut types =
        TypeSpace::new(TypeSpaceSettings::default().with_derive("PartialEq".to_owned()));
    types
        .add_root_schema(schema)
        .map_err(|error| anyhow!("{error}"))?;
    let syntax = syn::parse2(types.to_stream()).context("parse generated code")?;
    Ok(prettyplease::unparse(&syntax))
}

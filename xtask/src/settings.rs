//! Settings and administration types: JSON Schema to Rust, by typify.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result, anyhow};
use typify::{TypeSpace, TypeSpaceSettings};

use crate::Files;
use crate::messages::HEAD;

/// Schema files and the files generated from them.
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

/// Adds the files of the settings types and of the administration types.
pub fn generate(root: &Path, files: &mut Files) -> Result<()> {
    for (source, target) in SOURCES {
        let path = root.join(source);
        let text = fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
        let code = convert(&text).with_context(|| format!("generate from {}", path.display()))?;
        files.insert(target.into(), format!("{HEAD}\n{code}"));
    }
    Ok(())
}

fn convert(text: &str) -> Result<String> {
    let schema: schemars::schema::RootSchema = serde_json::from_str(text).context("parse")?;
    let mut space =
        TypeSpace::new(TypeSpaceSettings::default().with_derive("PartialEq".to_owned()));
    space
        .add_root_schema(schema)
        .map_err(|error| anyhow!("{error}"))?;
    let tree = syn::parse2(space.to_stream()).context("parse generated code")?;
    Ok(prettyplease::unparse(&tree))
}

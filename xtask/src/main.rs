//! Generates the Rust types of messages, settings, traces and the administration API and the
//! settings reference from `schema/`, or checks that the generated files are up to date.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};

mod messages;
mod reference;
mod settings;
mod tree;

/// Contents of the generated files by path, relative to the repository root.
type Files = BTreeMap<PathBuf, String>;

fn main() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .context("find the workspace root")?;
    let mut files = Files::new();
    messages::generate(root, &mut files)?;
    settings::generate(root, &mut files)?;
    tree::generate(root, &mut files)?;
    reference::generate(root, &mut files)?;
    match std::env::args().nth(1).as_deref() {
        Some("generate") => write(root, &files),
        Some("check") => check(root, &files),
        _ => bail!("usage: xtask generate | check"),
    }
}

fn write(root: &Path, files: &Files) -> Result<()> {
    for (path, text) in files {
        let path = root.join(path);
        if let Some(folder) = path.parent() {
            fs::create_dir_all(folder).with_context(|| format!("create {}", folder.display()))?;
        }
        fs::write(&path, text).with_context(|| format!("write {}", path.display()))?;
    }
    Ok(())
}

fn check(root: &Path, files: &Files) -> Result<()> {
    let stale: Vec<String> = files
        .iter()
        .filter(|(path, text)| fs::read_to_string(root.join(path)).ok().as_ref() != Some(text))
        .map(|(path, _)| path.display().to_string())
        .collect();
    if stale.is_empty() {
        return Ok(());
    }
    bail!(
        "generated files are out of date; run `cargo run -p xtask -- generate`: {}",
        stale.join(", ")
    )
}

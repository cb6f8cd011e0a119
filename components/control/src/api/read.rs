//! Reads of the settings tree.

use admin::Reply;
use admin::api::{Change, Explanation, History, Origin, Overridden, Setting, Settings};
use catalog::tree::Resolution;
use catalog::{Catalog, Finding, Key, Path, TABLE};

use super::reply;

/// The tree node that a request names. The empty path names the organisation, which is the root.
///
/// # Errors
/// Returns the findings about the path.
pub fn node_path(catalog: &Catalog, path: &admin::Path) -> Result<Path, Box<Reply>> {
    let root = catalog.organisation();
    let mut names = path.names();
    if let Some(first) = names.next().filter(|first| *first != root.as_str()) {
        let text = format!("{first} is unknown: the organisation is {root}");
        return Err(reply::findings(&[Finding::new(path.as_str(), text)]).into());
    }
    let text = path_text(catalog, path);
    Path::try_from(text.as_str()).map_err(|found| reply::findings(&found.0).into())
}

/// The path as text, with the organisation's name in place of the empty path.
#[must_use]
pub fn path_text(catalog: &Catalog, path: &admin::Path) -> String {
    match path.as_str() {
        "" => catalog.organisation().to_string(),
        other => other.to_owned(),
    }
}

/// Replies with the values in force at a node.
#[must_use]
pub fn settings(catalog: &Catalog, path: &admin::Path) -> Reply {
    let path = match node_path(catalog, path) {
        Ok(path) => path,
        Err(reply) => return *reply,
    };
    let values = catalog.tree().effective(&path);
    let setting = |key: Key| Setting {
        key: key.name().to_owned(),
        value: values.get(key).into(),
    };
    Reply::Settings(Settings {
        path: path.to_string(),
        revision: catalog.revision().0,
        values: TABLE.iter().map(|spec| setting(spec.key)).collect(),
    })
}

/// Replies with the source of each value in force at a node, and the values that it overrides.
#[must_use]
pub fn explanation(catalog: &Catalog, path: &admin::Path) -> Reply {
    let path = match node_path(catalog, path) {
        Ok(path) => path,
        Err(reply) => return *reply,
    };
    let names = path.names();
    let prefix = |depth: usize| {
        let text: Vec<&str> = names[..depth].iter().map(types::Name::as_str).collect();
        Path::try_from(text.join("/").as_str()).ok()
    };
    // From the node itself up to the organisation.
    let chain: Vec<Path> = (1..=names.len()).rev().filter_map(prefix).collect();
    let sources = chain.iter().map(|node| catalog.tree().explain(node));
    let sources: Vec<Vec<Resolution<'_>>> = sources.collect();
    Reply::Explanation(Explanation {
        path: path.to_string(),
        revision: catalog.revision().0,
        values: TABLE
            .iter()
            .map(|spec| origin(catalog, spec.key, &chain, &sources))
            .collect(),
    })
}

fn origin(catalog: &Catalog, key: Key, chain: &[Path], sources: &[Vec<Resolution<'_>>]) -> Origin {
    let levels = chain.iter().zip(sources);
    let mut set_values = levels.filter_map(|(node, sources)| {
        let source = sources.iter().find(|source| source.key == key)?;
        (source.node == Some(node)).then_some((node, source.value))
    });
    let nearest = set_values.next();
    Origin {
        key: key.name().to_owned(),
        value: nearest
            .map_or(key.spec().default, |(_, value)| value)
            .into(),
        source: nearest.map(|(node, _)| node.to_string()),
        revision: nearest.and_then(|(node, _)| revision(catalog, node, key)),
        overridden: set_values
            .map(|(node, value)| Overridden {
                source: node.to_string(),
                value: value.into(),
            })
            .collect(),
    }
}

/// Revision that last set a key on a node; `None` if its record is not kept any more.
fn revision(catalog: &Catalog, node: &Path, key: Key) -> Option<u64> {
    let mut records = catalog.tree().records().rev();
    let record = records.find(|record| record.key == key && record.path == *node)?;
    Some(record.winner.revision.0)
}

/// Replies with the changes at a node, newest first.
#[must_use]
pub fn history(catalog: &Catalog, path: &admin::Path) -> Reply {
    let path = match node_path(catalog, path) {
        Ok(path) => path,
        Err(reply) => return *reply,
    };
    let records = catalog.tree().records().rev();
    let changes = records.filter(|record| record.path == path);
    Reply::History(History {
        path: path.to_string(),
        revision: catalog.revision().0,
        changes: changes
            .map(|record| Change {
                revision: record.winner.revision.0,
                key: record.key.name().to_owned(),
                value: record.value.into(),
                request: record.winner.request.to_string(),
                operator: record.winner.operator.to_string(),
            })
            .collect(),
    })
}

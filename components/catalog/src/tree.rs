//! Settings tree with inheritance.

use std::collections::{BTreeMap, VecDeque};

use crate::change::{Findings, Winner};
use crate::generated::{Key, TABLE, Values};
use crate::path::Path;

/// Changes kept for operators; older ones are dropped so that snapshots stay small.
pub const MAX_RECORDS: usize = 1_000;

/// Most nodes that hold values; bounds the snapshot.
pub const MAX_NODES: usize = 20_000;

/// What the schema says of a key.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// The key.
    pub key: Key,
    /// Its name, with the unit.
    pub name: &'static str,
    /// What it sets.
    pub about: &'static str,
    /// Value where no node sets one.
    pub default: u32,
    /// Least value.
    pub min: u32,
    /// Greatest value.
    pub max: u32,
    /// Number of levels of the deepest path that may set the key.
    pub deepest: usize,
}

impl Key {
    /// What the schema says of the key.
    #[must_use]
    pub const fn spec(self) -> &'static Spec {
        &TABLE[self as usize]
    }

    /// The name, with the unit.
    #[must_use]
    pub const fn name(self) -> &'static str {
        self.spec().name
    }

    /// The key called `name`.
    #[must_use]
    pub fn find(name: &str) -> Option<Self> {
        TABLE.iter().find(|s| s.name == name).map(|s| s.key)
    }
}

/// Checks a key and the JSON text of its value; adds everything that is wrong to `findings`.
///
/// `path` is none when the path itself is wrong; the other checks still run.
pub fn check(
    path: Option<&Path>,
    raw: &str,
    key: &str,
    value: Option<&str>,
    findings: &mut Findings,
) -> Option<(Key, Option<u32>)> {
    let place = format!("{raw}:{key}");
    let Some(found) = Key::find(key) else {
        findings.add(place, "unknown key");
        return None;
    };
    let spec = found.spec();
    let before = findings.0.len();
    if path.is_some_and(|path| path.names().len() > spec.deepest) {
        findings.add(&place, format!("not below level {}", spec.deepest));
    }
    let parsed = value.map(|text| parse(spec, text));
    let value = match parsed {
        Some(Ok(value)) => Some(value),
        Some(Err(text)) => {
            findings.add(place, text);
            None
        }
        None => None,
    };
    (findings.0.len() == before).then_some((found, value))
}

fn parse(spec: &Spec, text: &str) -> Result<u32, String> {
    let expected = || {
        let shown: String = text.chars().take(40).collect();
        let Spec { min, max, .. } = spec;
        format!("{shown} is no integer from {min} to {max}")
    };
    let value: u32 = serde_json::from_str(text).map_err(|_| expected())?;
    if (spec.min..=spec.max).contains(&value) {
        Ok(value)
    } else {
        Err(expected())
    }
}

/// Values set on one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    pub(crate) values: BTreeMap<Key, u32>,
    pub(crate) winner: Winner,
}

/// A change of the tree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Node that was changed.
    pub path: Path,
    /// Key that was changed.
    pub key: Key,
    /// New value; none removed it.
    pub value: Option<u32>,
    /// Value before the change; none if the node had none.
    pub previous: Option<u32>,
    /// Revision, request id and operator.
    pub winner: Winner,
}

/// Value in force at a node and where it comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Source<'a> {
    /// The key.
    pub key: Key,
    /// The value in force.
    pub value: u32,
    /// Node where it was set; none means the default.
    pub node: Option<&'a Path>,
}

/// Nodes that hold values.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tree {
    /// Nodes without values stay, since their last change decides later conflicts.
    pub(crate) nodes: BTreeMap<Path, Node>,
    /// Invariant: at most [`MAX_RECORDS`], oldest first.
    pub(crate) records: VecDeque<Record>,
}

impl Tree {
    /// Value of every key at `path`.
    #[must_use]
    pub fn effective(&self, path: &Path) -> Values {
        let mut values = Values::default();
        for (_, node) in self.chain(path) {
            for (key, value) in &node.values {
                values.set(*key, *value);
            }
        }
        values
    }

    /// Value of every key at `path` if `value` were set for `key` on `node`.
    pub(crate) fn assume(&self, path: &Path, node: &Path, key: Key, value: Option<u32>) -> Values {
        let mut values = Values::default();
        for depth in 1..=path.names().len() {
            let prefix = &path.names()[..depth];
            let changed = prefix == node.names();
            let set = self.nodes.get(prefix).into_iter().flat_map(|n| &n.values);
            for (other, old) in set.filter(|(other, _)| !changed || **other != key) {
                values.set(*other, *old);
            }
            if let Some(value) = value.filter(|_| changed) {
                values.set(key, value);
            }
        }
        values
    }

    /// Value of every key at `path` with the node where it was set.
    #[must_use]
    pub fn explain(&self, path: &Path) -> Vec<Source<'_>> {
        let source = |spec: &Spec| {
            let mut found = Source {
                key: spec.key,
                value: spec.default,
                node: None,
            };
            for (path, node) in self.chain(path) {
                if let Some(value) = node.values.get(&spec.key) {
                    found.value = *value;
                    found.node = Some(path);
                }
            }
            found
        };
        TABLE.iter().map(source).collect()
    }

    /// The change that last touched the node at `path` itself.
    #[must_use]
    pub fn winner(&self, path: &Path) -> Option<&Winner> {
        self.nodes.get(path).map(|node| &node.winner)
    }

    /// Greatest value that `key` had at `path` itself, as far as the latest changes tell.
    ///
    /// A new leader counts leases of earlier leaders with it, as a lease may be older than the last
    /// change of its length.
    #[must_use]
    pub fn greatest(&self, path: &Path, key: Key) -> u32 {
        let own = |record: &&Record| record.key == key && record.path == *path;
        let changes = self.records.iter().filter(own);
        // The previous value counts too: the change that set it may no longer be kept.
        let past = changes.flat_map(|record| [record.value, record.previous]);
        let past = past.map(|value| value.unwrap_or(key.spec().default));
        let first = key.spec().default;
        past.chain([self.effective(path).get(key), first])
            .max()
            .unwrap_or(first)
    }

    /// The latest changes, oldest first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &Record> {
        self.records.iter()
    }

    /// Whether a change at `path` would add one node too many.
    pub(crate) fn is_full_for(&self, path: &Path) -> bool {
        self.nodes.len() >= MAX_NODES && !self.nodes.contains_key(path)
    }

    /// Carries out a change. `record.previous` is filled in.
    pub(crate) fn set(&mut self, mut record: Record) {
        let node = self
            .nodes
            .entry(record.path.clone())
            .or_insert_with(|| Node {
                values: BTreeMap::new(),
                winner: record.winner.clone(),
            });
        node.winner = record.winner.clone();
        record.previous = match record.value {
            Some(value) => node.values.insert(record.key, value),
            None => node.values.remove(&record.key),
        };
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Nodes from the organisation down to `path`, as far as they hold values.
    fn chain<'a>(&'a self, path: &Path) -> impl Iterator<Item = (&'a Path, &'a Node)> {
        let names = path.names();
        (1..=names.len()).filter_map(|depth| self.nodes.get_key_value(&names[..depth]))
    }
}

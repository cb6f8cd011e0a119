//! Settings tree, in which a node inherits the values of the nodes above it.

use std::collections::{BTreeMap, VecDeque};

use crate::change::{Findings, Winner};
use crate::generated::{Key, TABLE, Values};
use crate::path::Path;

/// Change records kept for operators. Older ones are dropped so that snapshots stay small.
pub const MAX_CHANGE_RECORDS: usize = 1_000;

/// Nodes in the tree; bounds the size of the snapshot.
pub const MAX_NODES: usize = 20_000;

/// Schema of a key.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    pub key: Key,
    /// Name in the settings tree, with the unit.
    pub name: &'static str,
    /// Description.
    pub about: &'static str,
    /// Value where no node sets one.
    pub default: u32,
    pub min: u32,
    pub max: u32,
    /// Greatest number of names of a path that may set the key.
    pub deepest: usize,
}

impl Key {
    #[must_use]
    pub const fn spec(self) -> &'static Spec {
        &TABLE[self as usize]
    }

    /// Name in the settings tree, with the unit.
    #[must_use]
    pub const fn name(self) -> &'static str {
        self.spec().name
    }

    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        TABLE.iter().find(|s| s.name == name).map(|s| s.key)
    }
}

/// Parses a key and the JSON text of its value; adds every error to `findings`.
///
/// `path` is none if `raw`, its text, is not valid; key and value are still checked then.
pub fn parse_setting(
    path: Option<&Path>,
    raw: &str,
    key: &str,
    value: Option<&str>,
    findings: &mut Findings,
) -> Option<(Key, Option<u32>)> {
    let finding_path = format!("{raw}:{key}");
    let Some(key) = Key::from_name(key) else {
        findings.add(finding_path, "unknown key");
        return None;
    };
    let spec = key.spec();
    let count_before = findings.0.len();
    if path.is_some_and(|path| path.names().len() > spec.deepest) {
        findings.add(&finding_path, format!("not below level {}", spec.deepest));
    }
    let parsed_value = value.map(|text| parse_value(spec, text));
    let value = match parsed_value {
        Some(Ok(value)) => Some(value),
        Some(Err(text)) => {
            findings.add(finding_path, text);
            None
        }
        None => None,
    };
    (findings.0.len() == count_before).then_some((key, value))
}

fn parse_value(spec: &Spec, text: &str) -> Result<u32, String> {
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

/// Node of the tree with the values set on it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    pub(crate) values: BTreeMap<Key, u32>,
    pub(crate) winner: Winner,
}

/// Record of a change of the tree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    pub path: Path,
    pub key: Key,
    /// New value; none if the change removed the value.
    pub value: Option<u32>,
    /// Value before the change; none if the node had none.
    pub previous: Option<u32>,
    pub winner: Winner,
}

/// Effective value of a key at a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resolution<'a> {
    pub key: Key,
    pub value: u32,
    /// Node where the value was set; none if it is the default.
    pub node: Option<&'a Path>,
}

/// The settings tree.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tree {
    /// Nodes that were ever set. A node whose values were all removed stays, because its last
    /// change decides later conflicts.
    pub(crate) nodes: BTreeMap<Path, Node>,
    /// Invariant: at most [`MAX_CHANGE_RECORDS`], oldest first.
    pub(crate) records: VecDeque<Record>,
}

impl Tree {
    /// Effective value of every key at `path`.
    #[must_use]
    pub fn effective(&self, path: &Path) -> Values {
        let mut values = Values::default();
        for (_, node) in self.nodes_along(path) {
            for (key, value) in &node.values {
                values.set(*key, *value);
            }
        }
        values
    }

    /// Effective value of every key at `path` if `value` were set for `key` on `node`.
    pub(crate) fn effective_if_set(
        &self,
        path: &Path,
        node: &Path,
        key: Key,
        value: Option<u32>,
    ) -> Values {
        let mut values = Values::default();
        for depth in 1..=path.names().len() {
            let prefix = &path.names()[..depth];
            let is_node = prefix == node.names();
            let node_values = self.nodes.get(prefix).into_iter().flat_map(|n| &n.values);
            for (other, current) in node_values.filter(|(other, _)| !is_node || **other != key) {
                values.set(*other, *current);
            }
            if let Some(value) = value.filter(|_| is_node) {
                values.set(key, value);
            }
        }
        values
    }

    /// Effective value of every key at `path`, with the node where it was set.
    #[must_use]
    pub fn explain(&self, path: &Path) -> Vec<Resolution<'_>> {
        let effective_value = |spec: &Spec| {
            let mut effective = Resolution {
                key: spec.key,
                value: spec.default,
                node: None,
            };
            for (path, node) in self.nodes_along(path) {
                if let Some(value) = node.values.get(&spec.key) {
                    effective.value = *value;
                    effective.node = Some(path);
                }
            }
            effective
        };
        TABLE.iter().map(effective_value).collect()
    }

    /// The last change of the node at `path` itself.
    #[must_use]
    pub fn winner(&self, path: &Path) -> Option<&Winner> {
        self.nodes.get(path).map(|node| &node.winner)
    }

    /// Greatest value that `key` has or had at `path`, according to the kept change records.
    ///
    /// For the lease settings, a new leader assumes that earlier leaders used the greatest value,
    /// because a lease may be older than the last change of its settings.
    #[must_use]
    pub fn greatest_value(&self, path: &Path, key: Key) -> u32 {
        let is_of_key = |record: &&Record| record.key == key && record.path == *path;
        let changes = self.records.iter().filter(is_of_key);
        // The previous value counts too: the record of the change that set it may be dropped.
        let past = changes.flat_map(|record| [record.value, record.previous]);
        let past = past.map(|value| value.unwrap_or(key.spec().default));
        let default = key.spec().default;
        past.chain([self.effective(path).get(key), default])
            .max()
            .unwrap_or(default)
    }

    /// Records of the latest changes, oldest first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &Record> {
        self.records.iter()
    }

    /// Whether a change at `path` would exceed [`MAX_NODES`].
    pub(crate) fn is_full_for(&self, path: &Path) -> bool {
        self.nodes.len() >= MAX_NODES && !self.nodes.contains_key(path)
    }

    /// Applies a change and fills in `record.previous`.
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
        if self.records.len() == MAX_CHANGE_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Existing nodes from the organisation down to `path`.
    fn nodes_along<'a>(&'a self, path: &Path) -> impl Iterator<Item = (&'a Path, &'a Node)> {
        let names = path.names();
        (1..=names.len()).filter_map(|depth| self.nodes.get_key_value(&names[..depth]))
    }
}

//! Paths that name nodes of the settings tree in requests.

use std::fmt;

use types::Name;

/// Depth of the tree: organisation, region, failure domain, service, database, group and target.
const MAX_LEVELS: usize = 7;

/// Path of a node of the settings tree.
///
/// Invariant: up to seven valid names separated by slashes; empty for the root.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Path(String);

impl Path {
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The names of the path, from the root down.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.split('/').filter(|name| !name.is_empty())
    }
}

impl TryFrom<&str> for Path {
    type Error = String;

    fn try_from(raw: &str) -> Result<Self, String> {
        if raw.is_empty() {
            return Ok(Self::default());
        }
        let names: Vec<&str> = raw.split('/').collect();
        if names.len() > MAX_LEVELS {
            return Err(format!("has more than {MAX_LEVELS} levels"));
        }
        for name in names {
            Name::try_from(name).map_err(|error| error.to_string())?;
        }
        Ok(Self(raw.to_owned()))
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
